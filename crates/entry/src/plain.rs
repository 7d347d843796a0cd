//! Calls of plain services, passed through.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use model::{Outcome, RefusalReason, RequestId};
use state::{Answer, MAX_ANSWER_BYTES};

use crate::{
    body,
    case::{Case, Failing},
    chat::head,
    dispatch::{Outgoing, Running, authenticate, authorize, dispatch, done, failed, ticket},
    estimate::{self, Estimate},
    headers::{REPLAYED, REQUEST_ID},
    key::{self, Claimed},
};

/// Longest answer of a non-idempotent call, in bytes: it is read whole before it is passed on.
const MAX_CLAIMED_BYTES: usize = 16 << 20;

/// A call of a plain service.
pub(crate) struct Call {
    pub(crate) service: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Serves one call.
pub(crate) async fn serve(mut case: Case, call: Call) -> Response<Body> {
    match begin(&mut case, call).await {
        Ok(Begun::Running(running)) if case.claim.is_some() => whole(case, *running).await,
        Ok(Begun::Running(running)) => pass_through(case, *running),
        Ok(Begun::Replayed(answer)) => replay(case, answer),
        Err(failing) => case.refuse(failing).await,
    }
}

enum Begun {
    Running(Box<Running>),
    Replayed(Answer),
}

async fn begin(case: &mut Case, call: Call) -> Result<Begun, Failing> {
    let entry = authenticate(case, &call.headers)?;
    let service = authorize(case, &entry, &call.service)?;
    let estimate = Estimate { prompt: estimate::tokens(call.body.len()), answer: 1, prefix: 0 };
    let idempotent = call.method.is_idempotent();
    let ticket = ticket(case, &entry, service, &call.headers, estimate, false)?;
    if !idempotent {
        let key = key::parse(&call.headers, &entry.account)
            .map_err(|why| Failing::not_run(RefusalReason::BadRequest, why))?;
        match key::claim(&case.app, &key, case.request).await {
            Claimed::Run => case.claim = Some(key),
            Claimed::Replay(answer) => return Ok(Begun::Replayed(answer)),
            Claimed::Refuse(reason, verdict, message) => {
                return Err(Failing { reason, verdict, retry: None, message });
            }
        }
    }
    let Call { method, path, headers, body, .. } = call;
    let outgoing = Outgoing { method, path, headers, body };
    dispatch(case, ticket, &outgoing).await.map(|r| Begun::Running(Box::new(r)))
}

/// Reads the whole answer of a claimed call, keeps it for resends, and passes it on.
async fn whole(mut case: Case, mut running: Running) -> Response<Body> {
    let content = match running.exchange.read(MAX_CLAIMED_BYTES).await {
        Ok(content) => content,
        Err(failure) => {
            running.submitted.finish(Outcome::Failed);
            return case.refuse(failed(&failure)).await;
        }
    };
    let total = running.sent.elapsed();
    running.submitted.finish(done(total, total, 0));
    if let Some(claim) = case.claim.take() {
        let kept = (content.len() <= MAX_ANSWER_BYTES).then(|| content.to_vec());
        let answer = Answer { status: running.exchange.status().as_u16(), body: kept };
        key::settle(&case.app, claim, case.request, answer);
    }
    let response = head(&case, &running, body::full(content));
    case.answered();
    response
}

/// Gives the first answer of a key again.
fn replay(mut case: Case, answer: Answer) -> Response<Body> {
    let mut response = body::handled(body::full(answer.body.unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    headers.extend(id_header(case.request));
    case.answered();
    response
}

fn id_header(request: RequestId) -> Option<(http::HeaderName, HeaderValue)> {
    Some((REQUEST_ID, HeaderValue::from_str(&request.to_string()).ok()?))
}

struct Passing {
    case: Case,
    running: Running,
    first: Option<std::time::Duration>,
    /// Announced bytes that have not come yet.
    left: Option<u64>,
    ended: bool,
}

impl Passing {
    fn complete(&mut self) {
        self.ended = true;
        let total = self.running.sent.elapsed();
        let first = self.first.unwrap_or(total);
        self.running.submitted.finish(done(first, total, 0));
        self.case.app.config.meters.record_first_byte(first.as_secs_f64());
        self.case.answered();
    }
}

fn pass_through(case: Case, running: Running) -> Response<Body> {
    let mut response = head(&case, &running, Body::default());
    let length = running.exchange.headers().get(http::header::CONTENT_LENGTH).cloned();
    let left = length.as_ref().and_then(|l| l.to_str().ok()?.parse().ok());
    if let Some(length) = length {
        response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    }
    let passing = Passing { case, running, first: None, left, ended: false };
    *response.body_mut() = body::stream(stream::unfold(passing, next_piece));
    response
}

async fn next_piece(mut passing: Passing) -> Option<(io::Result<Bytes>, Passing)> {
    match passing.running.exchange.chunk().await {
        Ok(Some(bytes)) => {
            passing.first.get_or_insert(passing.running.sent.elapsed());
            passing.left = passing.left.map(|left| left.saturating_sub(bytes.len() as u64));
            if passing.left == Some(0) {
                // The body is not asked for its end once all announced bytes are there.
                passing.complete();
                passing.running.exchange.finish().await;
            }
            Some((Ok(bytes), passing))
        }
        Ok(None) => {
            if !passing.ended {
                passing.complete();
            }
            None
        }
        Err(_) if passing.ended => None,
        Err(failure) => {
            passing.running.submitted.finish(Outcome::Failed);
            let failing = Failing { reason: RefusalReason::Broken, ..failed(&failure) };
            passing.case.fail(failing).await;
            passing.ended = true;
            // An error in the body ends the connection before the announced or final length, so
            // the caller sees that the answer is not whole.
            Some((Err(io::Error::other(failure)), passing))
        }
    }
}
