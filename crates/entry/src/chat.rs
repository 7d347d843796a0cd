//! Chat completions of model services.

use std::{io, time::Duration};

use backend::{StreamReader, StreamState};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Response, header};
use model::{Invariant, Outcome, RefusalReason, Verdict};

use crate::{
    body,
    case::{Case, Failing},
    dispatch::{
        Outgoing, Running, authenticate, authorize, dispatch, done, failed, preempted, revoked,
        ticket,
    },
    estimate::Chat,
    headers::REQUEST_ID,
};

/// Where model engines take chat completions.
pub(crate) const PATH: &str = "/v1/chat/completions";
/// Longest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Serves one chat completion.
pub(crate) async fn serve(mut case: Case, headers: HeaderMap, body: Bytes) -> Response<Body> {
    match begin(&mut case, headers, body).await {
        Ok((running, true)) => stream_answer(case, running),
        Ok((running, false)) => whole_answer(case, running).await,
        Err(failing) => case.refuse(failing).await,
    }
}

/// Dispatches the request; the answer's head has arrived, and whether it is streamed.
async fn begin(
    case: &mut Case,
    headers: HeaderMap,
    body: Bytes,
) -> Result<(Running, bool), Failing> {
    let entry = authenticate(case, &headers)?;
    let chat = Chat::parse(&body)
        .map_err(|why| Failing::not_run(RefusalReason::BadRequest, format!("body: {why}")))?;
    let service = authorize(case, &entry, &chat.model)?;
    let ticket = ticket(case, &entry, service, &headers, chat.estimate(), true)?;
    let outgoing = Outgoing { method: Method::POST, path: PATH.into(), headers, body };
    let mut running = dispatch(case, ticket, &outgoing).await?;
    let status = running.exchange.status();
    if status.is_server_error() {
        running.submitted.finish(Outcome::Failed);
        return Err(Failing {
            reason: RefusalReason::ServerFailed,
            verdict: Verdict::MayHaveRun,
            retry: None,
            message: format!("the model engine answered {status}"),
        });
    }
    let streamed = chat.stream && status.is_success();
    Ok((running, streamed))
}

/// The head of an answer.
pub(crate) fn head(case: &Case, running: &Running, content: Body) -> Response<Body> {
    let echo = running.exchange.headers().get(REQUEST_ID);
    let own = echo.is_none_or(|e| e.as_bytes() == case.request.to_string().as_bytes());
    Invariant::AnswerMatch.check(own);
    let mut response = body::handled(content);
    *response.status_mut() = running.exchange.status();
    for (name, value) in running.exchange.headers() {
        if !crate::headers::is_hop(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    if let Ok(id) = HeaderValue::from_str(&case.request.to_string()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

async fn whole_answer(mut case: Case, mut running: Running) -> Response<Body> {
    let read = tokio::select! {
        read = running.exchange.read(MAX_ANSWER_BYTES) => read,
        () = revoked(&mut running.submitted) => {
            running.submitted.finish(Outcome::Cancelled);
            return case.refuse(preempted(Verdict::MayHaveRun)).await;
        }
    };
    match read {
        Ok(content) => {
            let total = running.sent.elapsed();
            let tokens = completion_tokens(&content);
            running.submitted.finish(done(total, total, tokens));
            case.app.config.meters.record_first_byte(case.arrived.elapsed().as_secs_f64());
            let response = head(&case, &running, body::full(content));
            case.answered();
            response
        }
        Err(failure) => {
            running.submitted.finish(Outcome::Failed);
            case.refuse(failed(&failure)).await
        }
    }
}

/// Tokens that the engine says it generated.
fn completion_tokens(content: &[u8]) -> u32 {
    let value: Option<serde_json::Value> = serde_json::from_slice(content).ok();
    let tokens = value.and_then(|v| v.pointer("/usage/completion_tokens")?.as_u64());
    tokens.and_then(|t| u32::try_from(t).ok()).unwrap_or(0)
}

/// A stream on its way through.
struct Passing {
    case: Case,
    running: Running,
    reader: StreamReader,
    first: Option<Duration>,
    complete: bool,
    ended: bool,
}

fn stream_answer(case: Case, running: Running) -> Response<Body> {
    let content = Body::default();
    let mut response = head(&case, &running, content);
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let reader = StreamReader::default();
    let passing = Passing { case, running, reader, first: None, complete: false, ended: false };
    *response.body_mut() = body::stream(stream::unfold(passing, next_piece));
    response
}

/// The next piece for the caller. The stream ends with its end marker, or with an error event.
async fn next_piece(mut passing: Passing) -> Option<(io::Result<Bytes>, Passing)> {
    if passing.ended {
        return None;
    }
    let piece = tokio::select! {
        piece = passing.running.exchange.chunk() => piece,
        () = revoked(&mut passing.running.submitted), if !passing.complete => {
            passing.running.submitted.finish(Outcome::Cancelled);
            return Some(passing.break_off(preempted(Verdict::MayHaveRun)).await);
        }
    };
    match piece {
        Ok(Some(bytes)) => {
            passing.take(&bytes);
            Some((Ok(bytes), passing))
        }
        Ok(None) if passing.reader.state() == StreamState::Complete => None,
        // The answer was whole; what breaks after its end marker is of no matter.
        Err(_) if passing.complete => None,
        Ok(None) => {
            passing.running.submitted.finish(Outcome::Failed);
            let failing = Failing {
                reason: RefusalReason::Broken,
                verdict: Verdict::MayHaveRun,
                retry: None,
                message: "the stream ended without its end marker".into(),
            };
            Some(passing.break_off(failing).await)
        }
        Err(failure) => {
            passing.running.submitted.finish(Outcome::Failed);
            let failing = Failing { reason: RefusalReason::Broken, ..failed(&failure) };
            Some(passing.break_off(failing).await)
        }
    }
}

impl Passing {
    fn take(&mut self, bytes: &Bytes) {
        self.reader.push(bytes);
        if self.first.is_none() && self.reader.events() > 0 {
            self.first = Some(self.running.sent.elapsed());
            let meters = &self.case.app.config.meters;
            meters.record_first_byte(self.case.arrived.elapsed().as_secs_f64());
        }
        if self.reader.state() == StreamState::Complete && !self.complete {
            self.complete();
        }
    }

    /// Ends the request. This is done with the end marker, not with the end of the body, because
    /// callers may close the connection once they have the marker.
    fn complete(&mut self) {
        self.complete = true;
        let total = self.running.sent.elapsed();
        let first = self.first.unwrap_or(total);
        self.running.submitted.finish(done(first, total, self.reader.events()));
        self.case.answered();
    }

    /// Marks the stream as broken, so that the caller does not take it for whole.
    async fn break_off(mut self, failing: Failing) -> (io::Result<Bytes>, Self) {
        let failed = self.case.fail(failing).await;
        self.ended = true;
        (Ok(Bytes::from(failed.event())), self)
    }
}
