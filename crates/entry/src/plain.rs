//! Calls of plain services.
//!
//! A call with an idempotent method is forwarded as it arrives. A call with another method claims
//! its idempotency key first. Its response is read whole and stored with the claim for later calls
//! with the same key.

use std::io;

use backend::{Failure, StreamReader};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header::CONTENT_TYPE};
use model::{Outcome, Part, RefusalReason, RequestId};
use state::{Answer, MAX_ANSWER_BYTES};

use crate::{
    body,
    chat::response_head,
    context::{RequestContext, RequestFailure},
    dispatch::{
        OutgoingRequest, RunningRequest, authenticate, authorize, create_ticket, dispatch, done,
        exchange_failure,
    },
    estimate::{self, Estimate},
    headers::{REPLAYED, REQUEST_ID},
    key::{self, ClaimDecision},
};

/// Maximum size of the response to a non-idempotent call, in bytes. It is buffered before it is
/// forwarded.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// A call of a plain service.
pub(crate) struct ServiceCall {
    pub(crate) service: String,
    pub(crate) method: Method,
    /// Path and query after the service's name.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Serves one call and returns its response.
pub(crate) async fn serve(mut context: RequestContext, call: ServiceCall) -> Response<Body> {
    match dispatch_call(&mut context, call).await {
        Ok(Started::Running(running)) if context.claim_key.is_some() => {
            buffer_response(context, *running).await
        }
        Ok(Started::Running(running)) => forward_body(context, *running),
        Ok(Started::Replayed(answer)) => replay(context, answer),
        Err(failure) => context.refuse(failure).await,
    }
}

/// A call that has a response.
enum Started {
    /// The backend server has sent the head of the response.
    Running(Box<RunningRequest>),
    /// An earlier call with the same key has this response.
    Replayed(Answer),
}

/// Dispatches a call, or finds the stored response of an earlier call with the same key.
async fn dispatch_call(
    context: &mut RequestContext,
    call: ServiceCall,
) -> Result<Started, RequestFailure> {
    let entry = authenticate(context, &call.headers)?;
    let service = authorize(context, &entry, &call.service)?;
    let estimate = Estimate {
        prompt_tokens: estimate::tokens(call.body.len()),
        answer_tokens: 1,
        prefix_hash: 0,
    };
    let idempotent = call.method.is_idempotent();
    let ticket = create_ticket(context, &entry, service, &call.headers, estimate, false)?;
    if !idempotent {
        let key = key::parse(&call.headers, &entry.account)
            .map_err(|why| RequestFailure::not_run(RefusalReason::BadRequest, why))?;
        match key::claim(&context.app, &key, context.request).await {
            ClaimDecision::Run => context.claim_key = Some(key),
            ClaimDecision::Replay(answer) => return Ok(Started::Replayed(answer)),
            ClaimDecision::Refuse(reason, verdict, message) => {
                return Err(RequestFailure { reason, verdict, retry_after: None, message });
            }
        }
    }
    let ServiceCall { method, path, headers, body, .. } = call;
    let parts = vec![Part::whole(&path, &body)];
    let outgoing = OutgoingRequest { method, path, headers, body, parts };
    dispatch(context, ticket, &outgoing).await.map(|r| Started::Running(Box::new(r)))
}

/// Reads the whole response to a call that claimed its key, stores it with the claim and returns
/// it. A body above [`MAX_ANSWER_BYTES`] is not stored.
async fn buffer_response(
    mut context: RequestContext,
    mut running: RunningRequest,
) -> Response<Body> {
    let body = match running.exchange.read_whole(MAX_BUFFERED_BYTES).await {
        Ok(body) => body,
        Err(failure) => {
            if matches!(failure, Failure::Broken { .. }) {
                running.suspicion.server_ended();
            }
            running.submission.finish(Outcome::Failed);
            return context.refuse(exchange_failure(&failure)).await;
        }
    };
    if !running.exchange.ends_with_connection() {
        running.suspicion.proved_sound();
    }
    let total = running.sent.elapsed();
    running.submission.finish(done(total, total, 0));
    if let Some(key) = context.claim_key.take() {
        let stored_body = (body.len() <= MAX_ANSWER_BYTES).then(|| body.to_vec());
        let answer = Answer { status: running.exchange.status().as_u16(), body: stored_body };
        key::settle(&context.app, key, context.request, answer);
    }
    let response = response_head(&context, &running, body::full(body));
    context.mark_answered();
    response
}

/// Returns the stored response to the first call with a key.
fn replay(mut context: RequestContext, answer: Answer) -> Response<Body> {
    let mut response = body::handler_response(body::full(answer.body.unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    headers.extend(id_header(context.request));
    context.mark_answered();
    response
}

fn id_header(request: RequestId) -> Option<(http::HeaderName, HeaderValue)> {
    Some((REQUEST_ID, HeaderValue::from_str(&request.to_string()).ok()?))
}

/// The body of a response while it is forwarded.
struct ForwardedBody {
    context: RequestContext,
    running: RunningRequest,
    first_byte: Option<std::time::Duration>,
    /// Bytes of the announced content length that have not arrived. `None` without such a length.
    remaining: Option<u64>,
    /// Follows the events of a response that consists of events.
    events: Option<StreamReader>,
    ended: bool,
}

impl ForwardedBody {
    /// Ends the request after the last byte.
    fn complete(&mut self) {
        self.ended = true;
        if !self.running.exchange.ends_with_connection() {
            self.running.suspicion.proved_sound();
        }
        let total = self.running.sent.elapsed();
        let first = self.first_byte.unwrap_or(total);
        self.running.submission.finish(done(first, total, 0));
        self.context.app.config.meters.record_first_byte(first.as_secs_f64());
        self.context.mark_answered();
    }
}

impl ForwardedBody {
    /// Returns whether the response consists of events, and one has begun and not ended.
    fn is_inside_event(&self) -> bool {
        self.events.as_ref().is_some_and(StreamReader::is_inside_event)
    }

    /// Returns whether the response consists of events, has neither a length nor chunks, and no event
    /// has arrived.
    fn is_unframed_and_empty(&self) -> bool {
        let is_empty = self.events.as_ref().is_some_and(|events| events.events() == 0);
        is_empty && self.running.exchange.ends_with_connection()
    }

    /// Ends a response that is not complete. The error in the body aborts the connection before the
    /// announced length or the final chunk, so that the caller notices it.
    async fn break_off(mut self, failure: &Failure) -> (io::Result<Bytes>, Self) {
        if matches!(failure, Failure::Broken { .. }) {
            self.running.suspicion.server_ended();
        }
        self.running.submission.finish(Outcome::Failed);
        let request_failure =
            RequestFailure { reason: RefusalReason::Broken, ..exchange_failure(failure) };
        self.context.fail(request_failure).await;
        self.ended = true;
        (Err(io::Error::other(failure.clone())), self)
    }
}

/// Returns the failure of a stream that ended inside an event.
fn inside_event() -> Failure {
    Failure::Broken { why: "the stream ended inside an event".into() }
}

/// Returns a response whose body is forwarded while it arrives.
fn forward_body(context: RequestContext, running: RunningRequest) -> Response<Body> {
    let mut response = response_head(&context, &running, Body::default());
    let length = running.exchange.headers().get(http::header::CONTENT_LENGTH).cloned();
    let remaining = length.as_ref().and_then(|l| l.to_str().ok()?.parse().ok());
    if let Some(length) = length {
        response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    }
    let content_type = running.exchange.headers().get(CONTENT_TYPE).and_then(|t| t.to_str().ok());
    let is_stream = content_type.is_some_and(|t| t.starts_with("text/event-stream"));
    let events = is_stream.then(StreamReader::default);
    let forwarded =
        ForwardedBody { context, running, first_byte: None, remaining, events, ended: false };
    *response.body_mut() = body::stream(stream::unfold(forwarded, next_chunk));
    response
}

/// Returns the next piece of the body.
async fn next_chunk(mut forwarded: ForwardedBody) -> Option<(io::Result<Bytes>, ForwardedBody)> {
    match forwarded.running.exchange.chunk().await {
        Ok(Some(bytes)) => {
            forwarded.first_byte.get_or_insert(forwarded.running.sent.elapsed());
            if let Some(events) = &mut forwarded.events {
                events.push(&bytes);
            }
            forwarded.remaining =
                forwarded.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
            if forwarded.remaining == Some(0) && forwarded.is_inside_event() {
                return Some(forwarded.break_off(&inside_event()).await);
            }
            if forwarded.remaining == Some(0) {
                // hyper does not poll the body again once all announced bytes were forwarded.
                forwarded.complete();
                forwarded.running.exchange.finish().await;
            }
            Some((Ok(bytes), forwarded))
        }
        Ok(None) | Err(_) if forwarded.ended => None,
        Ok(None) if forwarded.is_inside_event() => Some(forwarded.break_off(&inside_event()).await),
        Ok(None) if forwarded.is_unframed_and_empty() => {
            let why = "the connection ended before the first event".into();
            Some(forwarded.break_off(&Failure::Broken { why }).await)
        }
        Ok(None) => match forwarded.running.exchange.confirm_end().await {
            Ok(()) => {
                forwarded.complete();
                None
            }
            Err(failure) => Some(forwarded.break_off(&failure).await),
        },
        Err(failure) => Some(forwarded.break_off(&failure).await),
    }
}
