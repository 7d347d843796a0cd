//! Chat completions of model services.
//!
//! A request names its service as the model, and is dispatched like a call of a plain service but
//! may be revoked in favour of a higher tier. A response is either buffered or forwarded as a
//! stream of server-sent events, which ends with its end marker or with an error event.

use std::{io, time::Duration};

use backend::{Failure, PROOF_TIME, SOUND_TIME, StreamReader, StreamState};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Response, header};
use model::{Invariant, Outcome, RefusalReason, Verdict};

use crate::{
    body,
    context::{RequestContext, RequestFailure},
    dispatch::{
        OutgoingRequest, RunningRequest, authenticate, authorize, create_ticket, dispatch, done,
        exchange_failure, preempted, wait_revoked,
    },
    estimate::Chat,
    headers::REQUEST_ID,
};

/// Path of chat completions, at this VM and at model engines.
pub(crate) const PATH: &str = "/v1/chat/completions";
/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Serves one chat completion and returns its response.
pub(crate) async fn serve(
    mut context: RequestContext,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    match dispatch_chat(&mut context, headers, body).await {
        Ok((running, true)) => stream_response(context, running),
        Ok((running, false)) => buffer_response(context, running).await,
        Err(failure) => context.refuse(failure).await,
    }
}

/// Dispatches a request. Returns it once the head of the response has arrived, and whether the
/// response is a stream.
async fn dispatch_chat(
    context: &mut RequestContext,
    headers: HeaderMap,
    body: Bytes,
) -> Result<(RunningRequest, bool), RequestFailure> {
    let entry = authenticate(context, &headers)?;
    let chat = Chat::parse(&body).map_err(|why| {
        RequestFailure::not_run(RefusalReason::BadRequest, format!("body: {why}"))
    })?;
    let service = authorize(context, &entry, &chat.model)?;
    let ticket = create_ticket(context, &entry, service, &headers, chat.estimate(), true)?;
    let (method, path, parts) = (Method::POST, PATH.into(), chat.parts());
    let outgoing = OutgoingRequest { method, path, headers, body, parts };
    let mut running = dispatch(context, ticket, &outgoing).await?;
    let status = running.exchange.status();
    if status.is_server_error() {
        running.submission.finish(Outcome::Failed);
        return Err(RequestFailure {
            reason: RefusalReason::ServerFailed,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
            message: format!("the model engine answered {status}"),
        });
    }
    let streamed = chat.stream && status.is_success();
    Ok((running, streamed))
}

/// Returns a response with the status and the forwarded headers of the backend server's response.
pub(crate) fn response_head(
    context: &RequestContext,
    running: &RunningRequest,
    body: Body,
) -> Response<Body> {
    let echo = running.exchange.headers().get(REQUEST_ID);
    let matches = echo.is_none_or(|e| e.as_bytes() == context.request.to_string().as_bytes());
    Invariant::AnswerMatch.check(matches);
    let mut response = body::handler_response(body);
    *response.status_mut() = running.exchange.status();
    for (name, value) in running.exchange.headers() {
        if !crate::headers::is_hop_by_hop(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    if let Ok(id) = HeaderValue::from_str(&context.request.to_string()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Reads the whole response and returns it.
async fn buffer_response(
    mut context: RequestContext,
    mut running: RunningRequest,
) -> Response<Body> {
    let result = tokio::select! {
        result = running.exchange.read_whole(MAX_RESPONSE_BYTES) => result,
        () = wait_revoked(&mut running.submission) => {
            running.submission.finish(Outcome::Cancelled);
            return context.refuse(preempted(Verdict::MayHaveRun)).await;
        }
    };
    match result {
        Ok(body) => {
            if !running.exchange.ends_with_connection() {
                running.suspicion.proved_sound();
            }
            let total = running.sent.elapsed();
            let tokens = completion_tokens(&body);
            running.submission.finish(done(total, total, tokens));
            context.app.config.meters.record_first_byte(context.arrived.elapsed().as_secs_f64());
            let response = response_head(&context, &running, body::full(body));
            context.mark_answered();
            response
        }
        Err(failure) => {
            if matches!(failure, Failure::Broken { .. }) {
                running.suspicion.server_ended();
            }
            running.submission.finish(Outcome::Failed);
            context.refuse(exchange_failure(&failure)).await
        }
    }
}

/// Returns the number of generated tokens that the engine reports, or 0 if it reports none.
fn completion_tokens(body: &[u8]) -> u32 {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let tokens = value.and_then(|v| v.pointer("/usage/completion_tokens")?.as_u64());
    tokens.and_then(|t| u32::try_from(t).ok()).unwrap_or(0)
}

/// A stream while it is forwarded.
struct ForwardedStream {
    context: RequestContext,
    running: RunningRequest,
    reader: StreamReader,
    first_event: Option<Duration>,
    /// Whether the end marker was forwarded.
    complete: bool,
    /// Whether an error event was sent, after which nothing follows.
    ended: bool,
}

/// Returns a response whose body is forwarded while it arrives.
fn stream_response(context: RequestContext, running: RunningRequest) -> Response<Body> {
    let body = Body::default();
    let mut response = response_head(&context, &running, body);
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let reader = StreamReader::default();
    let forwarded = ForwardedStream {
        context,
        running,
        reader,
        first_event: None,
        complete: false,
        ended: false,
    };
    *response.body_mut() = body::stream(stream::unfold(forwarded, next_chunk));
    response
}

/// Returns the next piece for the caller. The stream ends with its end marker or an error event.
async fn next_chunk(
    mut forwarded: ForwardedStream,
) -> Option<(io::Result<Bytes>, ForwardedStream)> {
    if forwarded.ended {
        return None;
    }
    let chunk = tokio::select! {
        chunk = forwarded.running.exchange.chunk() => chunk,
        () = wait_revoked(&mut forwarded.running.submission), if !forwarded.complete => {
            forwarded.running.submission.finish(Outcome::Cancelled);
            return Some(forwarded.end_with_error(preempted(Verdict::MayHaveRun)).await);
        }
    };
    match chunk {
        Ok(Some(bytes)) => {
            forwarded.observe(&bytes);
            if forwarded.reader.state() == StreamState::Invalid {
                return Some(forwarded.break_off("the response is not a stream of events").await);
            }
            Some((Ok(bytes), forwarded))
        }
        Ok(None) if forwarded.reader.state() == StreamState::Complete => None,
        // The response was complete, so a failure after its end marker does not matter.
        Err(_) if forwarded.complete => None,
        Ok(None) => {
            forwarded.running.suspicion.server_ended();
            Some(forwarded.break_off("the stream ended without its end marker").await)
        }
        Err(failure) => {
            if matches!(failure, Failure::Broken { .. }) {
                forwarded.running.suspicion.server_ended();
            }
            forwarded.running.submission.finish(Outcome::Failed);
            let request_failure =
                RequestFailure { reason: RefusalReason::Broken, ..exchange_failure(&failure) };
            Some(forwarded.end_with_error(request_failure).await)
        }
    }
}

impl ForwardedStream {
    /// Notes the first event and the end marker in the next bytes.
    fn observe(&mut self, bytes: &Bytes) {
        self.reader.push(bytes);
        if self.first_event.is_none() && self.reader.events() > 0 {
            self.first_event = Some(self.running.sent.elapsed());
            let meters = &self.context.app.config.meters;
            meters.record_first_byte(self.context.arrived.elapsed().as_secs_f64());
        }
        let since_first =
            self.first_event.map(|first| self.running.sent.elapsed().saturating_sub(first));
        if since_first.is_some_and(|time| time >= SOUND_TIME) {
            self.running.suspicion.proved_sound();
        } else if since_first.is_some_and(|time| time >= PROOF_TIME) {
            self.running.suspicion.answer_went_on();
        }
        if self.reader.state() == StreamState::Complete && !self.complete {
            self.complete();
        }
    }

    /// Ends the request as answered. This happens at the end marker and not at the end of the body,
    /// because callers may close the connection once they have received the marker.
    fn complete(&mut self) {
        self.complete = true;
        self.running.suspicion.proved_sound();
        let total = self.running.sent.elapsed();
        let first = self.first_event.unwrap_or(total);
        self.running.submission.finish(done(first, total, self.reader.events()));
        self.context.mark_answered();
    }

    /// Ends a stream that is not complete.
    async fn break_off(mut self, message: &str) -> (io::Result<Bytes>, Self) {
        self.running.submission.finish(Outcome::Failed);
        let failure = RequestFailure {
            reason: RefusalReason::Broken,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
            message: message.into(),
        };
        self.end_with_error(failure).await
    }

    /// Ends the stream with an error event, so that the caller does not take it for complete.
    async fn end_with_error(mut self, failure: RequestFailure) -> (io::Result<Bytes>, Self) {
        let error_body = self.context.fail(failure).await;
        self.ended = true;
        // An event that has begun must not run into the error.
        let end = if self.reader.is_inside_event() { "\n\n" } else { "" };
        (Ok(Bytes::from(format!("{end}{}", error_body.event()))), self)
    }
}
