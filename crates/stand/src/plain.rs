//! A simulated plain service.
//!
//! It answers every path and method, and counts how often each request id and each idempotency key
//! ran.

use std::{io, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE};
use serde_json::json;

use crate::{
    engine::{header_text, pause},
    faults::Fault,
    server::{Body, Shared, infallible},
    stats::add,
};

/// Runs one request and answers with what was received.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let id = header_text(&request, "x-request-id");
    let key = header_text(&request, "idempotency-key");
    let (method, path) = (request.method().clone(), request.uri().to_string());
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    add(&shared.stats.received, 1);
    shared.stats.count_run(&id);
    if !key.is_empty() {
        shared.stats.count_run(&key);
    }
    let fault = shared.faults.get();
    match fault {
        Fault::CloseUnanswered => return Err(io::Error::other("closed by an injected fault")),
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    pause(shared.faults.slowed_duration(shared.config.pace.decode_us)).await;
    add(&shared.stats.finished, 1);
    if fault == Fault::EndInsideEvent {
        let body = Full::new(Bytes::from_static(b"data: a\n\ndata: b\n")).map_err(infallible);
        let mut response = Response::new(Body::new(body));
        response.headers_mut().insert(CONTENT_TYPE, "text/event-stream".parse().unwrap());
        return Ok(response);
    }
    let value = json!({
        "server": shared.config.id,
        "method": method.as_str(),
        "path": path,
        "received": body.len(),
    });
    let body = Full::new(Bytes::from(value.to_string())).map_err(infallible);
    let mut response = Response::new(Body::new(body));
    let echo = if fault == Fault::WrongRequestId { "0".repeat(32) } else { id };
    if let Ok(echo) = echo.parse() {
        response.headers_mut().insert("x-request-id", echo);
    }
    Ok(response)
}
