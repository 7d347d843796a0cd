//! A plain service: answers every path, and counts runs by idempotency key.

use std::{io, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use serde_json::json;

use crate::{
    engine::{header_text, pause},
    faults::Fault,
    server::{Body, Shared, never},
    stats::add,
};

pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let id = header_text(&request, "x-request-id");
    let key = header_text(&request, "idempotency-key");
    let (method, path) = (request.method().clone(), request.uri().to_string());
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    add(&shared.stats.received, 1);
    shared.stats.run(&id);
    if !key.is_empty() {
        shared.stats.run(&key);
    }
    let fault = shared.faults.get();
    match fault {
        Fault::CloseUnanswered => return Err(io::Error::other("told to close")),
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    pause(shared.faults.slowed(shared.config.pace.decode_us)).await;
    add(&shared.stats.finished, 1);
    let value = json!({
        "server": shared.config.id,
        "method": method.as_str(),
        "path": path,
        "received": body.len(),
    });
    let content = Full::new(Bytes::from(value.to_string())).map_err(never);
    let mut response = Response::new(Body::new(content));
    let echo = if fault == Fault::WrongRequestId { "0".repeat(32) } else { id };
    if let Ok(echo) = echo.parse() {
        response.headers_mut().insert("x-request-id", echo);
    }
    Ok(response)
}
