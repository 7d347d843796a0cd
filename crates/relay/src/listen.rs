//! The HTTP listeners for callers, and for the readiness check and metrics.

use std::{
    convert::Infallible,
    future::Future,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use model::RefusalReason;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    forward::{Body, fail, forward},
    frontend::{Frontend, may_have_run},
};

/// Delay after a failed accept, for example because of a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Added to the idle timeout of the plan, so that a caller that reuses a connection just before
/// that timeout does not find it closed.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Serves callers until `stop` completes, and then drains the connections for at most
/// `drain_timeout`. Returns whether all requests in flight were finished by then.
pub(crate) async fn serve(
    listener: TcpListener,
    frontend: Arc<Frontend>,
    stop: impl Future<Output = ()>,
    drain_timeout: Duration,
) -> bool {
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => accept(stream, &frontend, &graceful),
                Err(error) => {
                    spdlog::warn!("cannot accept connection", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut stop => break,
        }
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        accept(stream, &frontend, &graceful);
    }
    drop(listener);
    tokio::time::timeout(drain_timeout, graceful.shutdown()).await.is_ok()
}

fn accept(stream: TcpStream, frontend: &Arc<Frontend>, graceful: &GracefulShutdown) {
    // With Nagle's algorithm, small chunks of a stream would wait for the caller's
    // acknowledgements.
    let _ = stream.set_nodelay(true);
    let limits = frontend.plan_state.load().plan.as_ref().map(|p| p.limits()).unwrap_or_default();
    let frontend = Arc::clone(frontend);
    let service = service_fn(move |request| answer(Arc::clone(&frontend), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The task of the request detects that its caller has disconnected.
        let _ = connection.await;
    });
}

async fn answer(
    frontend: Arc<Frontend>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = if let Err(failure) = frontend.check_stop(Instant::now()) {
        fail(&frontend, "", &failure)
    } else {
        tokio::select! {
            response = forward(Arc::clone(&frontend), request) => response,
            () = frontend.stop_ends() => {
                fail(&frontend, "", &may_have_run(RefusalReason::Stopping))
            }
        }
    };
    if frontend.stopping.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Serves health checks and metrics on `listener`, and never returns. `reply` gives the status and
/// the body of the response to a path.
pub async fn serve_probes(
    listener: TcpListener,
    reply: impl Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
) {
    let reply = Arc::new(reply);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let reply = Arc::clone(&reply);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = reply(request.uri().path());
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client may have disconnected.
            let _ = connection.await;
        });
    }
}
