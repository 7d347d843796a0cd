//! What is read of a request before it is served, and the responses to requests that fail.

use std::{io, net::IpAddr, time::Duration};

use budget::{CollectError, Permit};
use bytes::Bytes;
use http::{HeaderValue, Response, header::CONNECTION};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use model::RefusalReason;
use tokio::time::timeout;

use super::{MIN_RETRY_AFTER, millis};
use crate::{
    dialect::RequestFailure,
    frontend::{Frontend, not_run},
};

/// The body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Timeout for the body of a caller's request once its head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The client that sent a request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) address: IpAddr,
    /// Its connection.
    pub(crate) permit: Permit,
}

/// Reads the body of a request, whose bytes are reserved before they are read.
///
/// # Errors
///
/// Returns the response to a request that is refused.
pub(super) async fn read_body(
    frontend: &Frontend,
    id: &str,
    body: Incoming,
    limit: usize,
    caller: &Caller,
) -> Result<Bytes, Box<Response<Body>>> {
    let reservation = frontend.client_limits.open_body(caller.address);
    let reason = match timeout(BODY_TIMEOUT, budget::collect(body, reservation, limit)).await {
        Ok(Ok(body)) if caller.permit.serve() => return Ok(body),
        Ok(Ok(_) | Err(CollectError::NoMemory(_))) => {
            return Err(Box::new(refuse_for_memory(frontend, id, caller.address)));
        }
        Ok(Err(CollectError::TooLong)) => RefusalReason::TooLarge,
        Ok(Err(CollectError::Broken(_))) | Err(_) => RefusalReason::BadRequest,
    };
    Err(Box::new(fail(frontend, id, &not_run(reason, None))))
}

/// Creates a body from bytes that are completely known.
pub(crate) fn full(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}

/// Refuses a request for which there is no memory. It has not run and will not.
pub(crate) fn refuse_for_memory(frontend: &Frontend, id: &str, address: IpAddr) -> Response<Body> {
    frontend.client_limits.body_refused(address);
    let failure = not_run(RefusalReason::NoMemory, Some(MIN_RETRY_AFTER));
    frontend.meters.count_refusal(failure.reason);
    let mut response = failure_response(frontend, id, &failure);
    // The rest of the body is not read.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Records the failure of a request and returns the response to its caller.
pub(crate) fn fail(frontend: &Frontend, id: &str, failure: &RequestFailure) -> Response<Body> {
    frontend.meters.count_refusal(failure.reason);
    spdlog::info!(
        "request failed",
        kv: {
            id,
            status = failure.status.as_u16(),
            reason = failure.reason.code(),
            verdict = format!("{:?}", failure.verdict),
            retry_ms = failure.retry_after.map_or(0, millis),
            plan_age_ms = frontend.plan_age().as_millis()
        }
    );
    failure_response(frontend, id, failure)
}

fn failure_response(frontend: &Frontend, id: &str, failure: &RequestFailure) -> Response<Body> {
    frontend
        .dialect
        .failure_response(id, failure)
        .map(|body| body.map_err(|never| match never {}).boxed_unsync())
}
