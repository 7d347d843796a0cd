//! The listeners towards callers, and for the readiness check and metrics.

use std::{
    convert::Infallible,
    future::Future,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    forward::{Body, forward},
    gate::Gate,
};

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Added to the idle time that the plan grants, so that a caller's last request does not cross the
/// end of its connection.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Serves callers until `stop` ends, then finishes what is in flight.
pub(crate) async fn serve(
    listener: TcpListener,
    gate: Arc<Gate>,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> bool {
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => accept(stream, &gate, &graceful),
                Err(error) => {
                    spdlog::warn!("connection not accepted", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut stop => break,
        }
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        accept(stream, &gate, &graceful);
    }
    drop(listener);
    tokio::time::timeout(grace, graceful.shutdown()).await.is_ok()
}

fn accept(stream: TcpStream, gate: &Arc<Gate>, graceful: &GracefulShutdown) {
    // Without this, small pieces of a stream wait for the caller's acknowledgements.
    let _ = stream.set_nodelay(true);
    let limits = gate.views.load().plan.as_ref().map(|p| p.limits()).unwrap_or_default();
    let gate = Arc::clone(gate);
    let service = service_fn(move |request| answer(Arc::clone(&gate), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that goes away is noticed by its request.
        let _ = connection.await;
    });
}

async fn answer(gate: Arc<Gate>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let mut response = forward(Arc::clone(&gate), request).await;
    if gate.stopping.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Answers checks from `reply`, which gives the status and text for a path.
pub async fn serve_probes(
    listener: TcpListener,
    reply: impl Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
) {
    let reply = Arc::new(reply);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
            // Whoever checked may have gone.
            let _ = connection.await;
        });
    }
}
