//! The HTTP listeners for callers, and for the readiness check and metrics.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use budget::Permits;
use bytes::Bytes;
use host::{Admitted, GuardedBody};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use model::RefusalReason;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    forward::{Body, Caller, fail, forward, refuse_for_memory},
    frontend::{Frontend, may_have_run},
};

/// Delay after a failed accept, for example because of a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of connections for health checks and metrics, above which the oldest is closed.
const MAX_PROBES: usize = 16;
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
                Ok((stream, client)) => accept((stream, client), &frontend, &graceful),
                Err(error) => {
                    spdlog::warn!("cannot accept connection", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut stop => break,
        }
    }
    while let Ok(Ok(accepted)) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        accept(accepted, &frontend, &graceful);
    }
    drop(listener);
    tokio::time::timeout(drain_timeout, graceful.shutdown()).await.is_ok()
}

fn accept(
    (stream, client): (TcpStream, SocketAddr),
    frontend: &Arc<Frontend>,
    graceful: &GracefulShutdown,
) {
    let limits = frontend.plan_state.load().plan.as_ref().map(|p| p.limits()).unwrap_or_default();
    let Some(admitted) = frontend.client_limits.admit(stream, client, limits.header_bytes) else {
        return;
    };
    let Admitted { stream, permit, buffer } = admitted;
    let (frontend, client_limits) = (Arc::clone(frontend), Arc::clone(&frontend.client_limits));
    let caller = Caller { address: client.ip(), permit: permit.clone() };
    let service = service_fn(move |request| answer(Arc::clone(&frontend), request, caller.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            // The task of the request detects that its caller has disconnected.
            _ = connection => {}
            () = permit.closed() => client_limits.connection_closed(client.ip()),
        }
    });
}

async fn answer(
    frontend: Arc<Frontend>,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<Response<Body>, Infallible> {
    let mut response = if !caller.permit.begin() {
        refuse_for_memory(&frontend, "", caller.address)
    } else if let Err(failure) = frontend.check_stop(Instant::now()) {
        fail(&frontend, "", &failure)
    } else {
        tokio::select! {
            response = forward(Arc::clone(&frontend), request, &caller) => response,
            () = frontend.stop_ends() => {
                fail(&frontend, "", &may_have_run(RefusalReason::Stopping))
            }
        }
    };
    if frontend.stopping.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let response = response.map(|body| GuardedBody::new(body, &caller.permit).boxed_unsync());
    Ok(response)
}

/// Serves health checks and metrics on `listener`, and never returns. `reply` gives the status and
/// the body of the response to a path.
pub async fn serve_probes(
    listener: TcpListener,
    reply: impl Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
) {
    let (reply, permits) = (Arc::new(reply), Permits::default());
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(permit) = permits.take(client.ip(), MAX_PROBES) else { continue };
        let reply = Arc::clone(&reply);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = reply(request.uri().path());
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // The client may have disconnected.
                _ = connection => {}
                () = permit.closed() => {}
            }
        });
    }
}
