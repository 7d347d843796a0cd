//! Authentication, admission and dispatch of a request.
//!
//! Each request needs an account that may use the service, and a ticket for which the control
//! thread grants a backend server. The request is sent to that server, and again to another one
//! only if no byte of it was sent. [`dispatch`] returns once the head of the response has arrived.

use std::time::{Duration, Instant};

use backend::{Exchange, Failure};
use bytes::Bytes;
use driver::{Event, Submission};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;
use model::{Entry, Outcome, Part, RefusalReason, ServiceName, Span, Ticket, Verdict};

use crate::{
    context::{RequestContext, RequestFailure},
    estimate::Estimate,
    headers::{self, REQUEST_ID},
    suspicion::Suspicion,
};

/// A dispatched request whose response head has arrived.
pub(crate) struct RunningRequest {
    pub(crate) exchange: Exchange,
    pub(crate) submission: Submission,
    pub(crate) sent: Instant,
    pub(crate) suspicion: Suspicion,
}

/// The parts of a request to a backend server.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Parts of its content that other requests may have too.
    pub(crate) parts: Vec<Part>,
}

/// Finds the account whose credential the request presents.
pub(crate) fn authenticate(
    context: &mut RequestContext,
    headers: &HeaderMap,
) -> Result<std::sync::Arc<Entry>, RequestFailure> {
    let published = context.app.config.handle.published();
    if !published.ready && published.catalogue.revision() == 0 {
        let mut failure =
            RequestFailure::not_run(RefusalReason::Stopping, "this VM has no catalogue yet");
        failure.retry_after = Some(Span::from_secs(1));
        return Err(failure);
    }
    let entry = headers::credential(headers)
        .and_then(|c| published.catalogue.authenticate(&c).cloned())
        .ok_or_else(|| {
            RequestFailure::not_run(
                RefusalReason::UnknownAccount,
                "no account has these credentials",
            )
        })?;
    context.account = Some(entry.account.clone());
    context.tier = Some(entry.tier);
    Ok(entry)
}

/// Checks that the account may use the service.
pub(crate) fn authorize(
    context: &mut RequestContext,
    entry: &Entry,
    service: &str,
) -> Result<ServiceName, RequestFailure> {
    let unknown = || {
        let why = format!("the account has no service {service:?}");
        RequestFailure::not_run(RefusalReason::UnknownService, why)
    };
    let service = ServiceName::try_from(service).map_err(|_| unknown())?;
    if !entry.services.contains(&service) {
        return Err(unknown());
    }
    context.service = Some(service.clone());
    Ok(service)
}

/// Creates the ticket of a request. `cancellable` allows revocation in favour of a higher tier.
pub(crate) fn create_ticket(
    context: &mut RequestContext,
    entry: &Entry,
    service: ServiceName,
    headers: &HeaderMap,
    estimate: Estimate,
    cancellable: bool,
) -> Result<Ticket, RequestFailure> {
    let bad_request = |why| RequestFailure::not_run(RefusalReason::BadRequest, why);
    let tier = headers::tier(headers, entry.tier).map_err(bad_request)?;
    let deadline =
        headers::deadline(headers, context.app.config.default_deadline).map_err(bad_request)?;
    context.tier = Some(tier);
    Ok(Ticket {
        request: context.request,
        account: entry.account.clone(),
        service,
        tier,
        budget: Span::from(deadline.saturating_sub(context.arrived.elapsed())),
        prompt: estimate.prompt_tokens,
        answer: estimate.answer_tokens,
        prefix: estimate.prefix_hash,
        cancellable,
    })
}

/// Waits for a grant and sends the request. It asks for another grant only if no byte was sent.
pub(crate) async fn dispatch(
    context: &mut RequestContext,
    ticket: Ticket,
    outgoing: &OutgoingRequest,
) -> Result<RunningRequest, RequestFailure> {
    let mut parts = outgoing.parts.clone();
    let caller = ticket.account.as_str();
    parts.push(Part::request(caller, &outgoing.path, &outgoing.body));
    let mut suspicion = Suspicion::new(&context.app.detector, ticket.service.clone(), parts);
    let mut submission = context.app.config.handle.submit(ticket);
    loop {
        let address = match submission.next().await {
            Event::Granted { server, address } => {
                if let Err(wait) = suspicion.admit(server) {
                    submission.finish(Outcome::Cancelled);
                    let reason = RefusalReason::BlockedPart;
                    let mut failure = RequestFailure::not_run(reason, refusal_text(reason));
                    failure.retry_after = Some(wait);
                    return Err(failure);
                }
                address
            }
            Event::Refused { reason, retry } => {
                let mut failure = RequestFailure::not_run(reason, refusal_text(reason));
                failure.retry_after = retry;
                return Err(failure);
            }
            // The grant was revoked before the request was sent, which also ends the ticket.
            Event::Revoked => {
                submission.finish(Outcome::Cancelled);
                return Err(preempted(Verdict::NotRun));
            }
        };
        let sent = Instant::now();
        let client = context.app.config.client.clone();
        let id = context.request.to_string();
        let sending = client.send(address, &id, outgoing.build(context, address));
        // The caller may leave before the head of the response has arrived, which drops the context.
        context.sending = true;
        let result = tokio::select! {
            result = sending => result,
            () = wait_revoked(&mut submission) => {
                context.mark_dispatched();
                submission.finish(Outcome::Cancelled);
                return Err(preempted(Verdict::MayHaveRun));
            }
        };
        match result {
            Ok(exchange) => {
                context.mark_dispatched();
                return Ok(RunningRequest { exchange, submission, sent, suspicion });
            }
            Err(Failure::NotSent { .. }) => {
                context.sending = false;
                submission.finish(Outcome::NotSent);
            }
            Err(failure) => {
                context.mark_dispatched();
                if matches!(failure, Failure::Broken { .. }) {
                    suspicion.server_ended();
                }
                submission.finish(Outcome::Failed);
                return Err(exchange_failure(&failure));
            }
        }
    }
}

/// Waits until the request is revoked in favour of a higher tier.
pub(crate) async fn wait_revoked(submission: &mut Submission) {
    loop {
        match submission.next().await {
            Event::Revoked => return,
            // The control thread has ended. The process stops once this request is done, so it is
            // not interrupted.
            Event::Refused { .. } => std::future::pending().await,
            Event::Granted { .. } => {}
        }
    }
}

impl OutgoingRequest {
    /// Builds the HTTP request for a backend server. It lacks the caller's hop-by-hop headers and
    /// carries the request id and the account's name.
    fn build(
        &self,
        context: &RequestContext,
        address: std::net::SocketAddr,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        for (name, value) in &self.headers {
            if !headers::is_hop_by_hop(name) {
                request.headers_mut().append(name.clone(), value.clone());
            }
        }
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(http::header::HOST, host);
        }
        if let Ok(id) = HeaderValue::from_str(&context.request.to_string()) {
            headers.insert(REQUEST_ID, id);
        }
        if let Some(account) = &context.account
            && let Ok(account) = HeaderValue::from_str(account.as_str())
        {
            headers.insert("x-account", account);
        }
        request
    }
}

/// Converts the failure of an exchange into the failure of its request.
pub(crate) fn exchange_failure(failure: &Failure) -> RequestFailure {
    RequestFailure {
        reason: failure.reason(),
        verdict: failure.verdict(),
        retry_after: None,
        message: failure.to_string(),
    }
}

/// Creates the failure of a request that was cancelled in favour of a higher tier.
pub(crate) fn preempted(verdict: Verdict) -> RequestFailure {
    RequestFailure {
        reason: RefusalReason::Preempted,
        verdict,
        retry_after: Some(Span::from_secs(1)),
        message: "cancelled in favour of a request of a higher tier".into(),
    }
}

/// Creates the outcome of a complete exchange. The times are measured from dispatch to the first
/// byte and to the end of the response.
pub(crate) fn done(first: Duration, total: Duration, tokens: u32) -> Outcome {
    Outcome::Done { first: first.into(), total: total.into(), tokens }
}

/// Returns the message for a request that the control thread refused.
fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::RateLimit => "the account is over its requests per second",
        RefusalReason::ConcurrencyLimit => "the account is over its concurrent requests",
        RefusalReason::TokenLimit => "the account is over its tokens per second",
        RefusalReason::NoServer => "no backend server offers the service at the moment",
        RefusalReason::Shed => "capacity goes to requests of the same or a higher tier",
        RefusalReason::Deadline => "the deadline cannot be met",
        RefusalReason::Stopping => "this VM is stopping",
        RefusalReason::BlockedPart => "servers ended by requests that share a part with this one",
        _ => "the request was refused",
    }
}
