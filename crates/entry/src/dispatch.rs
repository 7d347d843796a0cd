//! From an authenticated request to the head of its backend server's answer.

use std::time::{Duration, Instant};

use backend::{Exchange, Failure};
use bytes::Bytes;
use driver::{Event, Submission};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;
use model::{Entry, Outcome, RefusalReason, ServiceName, Span, Ticket, Verdict};

use crate::{
    case::{Case, Failing},
    estimate::Estimate,
    headers::{self, REQUEST_ID},
};

/// A request that was dispatched and whose answer has begun.
pub(crate) struct Running {
    pub(crate) exchange: Exchange,
    pub(crate) submitted: Submission,
    pub(crate) sent: Instant,
}

/// A request as it is sent to the backend server.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Finds the account, and checks that it may use the service.
pub(crate) fn authenticate(
    case: &mut Case,
    headers: &HeaderMap,
) -> Result<std::sync::Arc<Entry>, Failing> {
    let published = case.app.config.handle.published();
    if !published.ready && published.catalogue.revision() == 0 {
        let mut failing = Failing::not_run(RefusalReason::Stopping, "this VM has no catalogue yet");
        failing.retry = Some(Span::from_secs(1));
        return Err(failing);
    }
    let entry = headers::credential(headers)
        .and_then(|c| published.catalogue.authenticate(&c).cloned())
        .ok_or_else(|| {
            Failing::not_run(RefusalReason::UnknownAccount, "no account has these credentials")
        })?;
    case.account = Some(entry.account.clone());
    case.tier = Some(entry.tier);
    Ok(entry)
}

/// Checks that the account may use the service.
pub(crate) fn authorize(
    case: &mut Case,
    entry: &Entry,
    service: &str,
) -> Result<ServiceName, Failing> {
    let unknown = || {
        let why = format!("the account has no service {service:?}");
        Failing::not_run(RefusalReason::UnknownService, why)
    };
    let service = ServiceName::try_from(service).map_err(|_| unknown())?;
    if !entry.services.contains(&service) {
        return Err(unknown());
    }
    case.service = Some(service.clone());
    Ok(service)
}

/// Makes the ticket of a request.
pub(crate) fn ticket(
    case: &mut Case,
    entry: &Entry,
    service: ServiceName,
    headers: &HeaderMap,
    estimate: Estimate,
    cancellable: bool,
) -> Result<Ticket, Failing> {
    let bad = |why| Failing::not_run(RefusalReason::BadRequest, why);
    let tier = headers::tier(headers, entry.tier).map_err(bad)?;
    let deadline = headers::deadline(headers, case.app.config.default_deadline).map_err(bad)?;
    case.tier = Some(tier);
    Ok(Ticket {
        request: case.request,
        account: entry.account.clone(),
        service,
        tier,
        budget: Span::from(deadline.saturating_sub(case.arrived.elapsed())),
        prompt: estimate.prompt,
        answer: estimate.answer,
        prefix: estimate.prefix,
        cancellable,
    })
}

/// Waits for a grant and sends the request, once.
pub(crate) async fn dispatch(
    case: &mut Case,
    ticket: Ticket,
    outgoing: &Outgoing,
) -> Result<Running, Failing> {
    let mut submitted = case.app.config.handle.submit(ticket);
    loop {
        let address = match submitted.next().await {
            Event::Granted { address, .. } => address,
            Event::Refused { reason, retry } => {
                let mut failing = Failing::not_run(reason, refusal_text(reason));
                failing.retry = retry;
                return Err(failing);
            }
            // Revoked before it was sent: the grant is used up and the ticket is gone.
            Event::Revoked => {
                submitted.finish(Outcome::Cancelled);
                return Err(preempted(Verdict::NotRun));
            }
        };
        let sent = Instant::now();
        let client = case.app.config.client.clone();
        let id = case.request.to_string();
        let sending = client.send(address, &id, outgoing.request(case, address));
        let result = tokio::select! {
            result = sending => result,
            () = revoked(&mut submitted) => {
                case.dispatched();
                submitted.finish(Outcome::Cancelled);
                return Err(preempted(Verdict::MayHaveRun));
            }
        };
        match result {
            Ok(exchange) => {
                case.dispatched();
                return Ok(Running { exchange, submitted, sent });
            }
            Err(Failure::NotSent { .. }) => submitted.finish(Outcome::NotSent),
            Err(failure) => {
                case.dispatched();
                submitted.finish(Outcome::Failed);
                return Err(failed(&failure));
            }
        }
    }
}

/// Ends when the request is cancelled for a higher tier.
pub(crate) async fn revoked(submitted: &mut Submission) {
    loop {
        match submitted.next().await {
            Event::Revoked => return,
            // The control state ended; the process stops once this request is done.
            Event::Refused { .. } => std::future::pending().await,
            Event::Granted { .. } => {}
        }
    }
}

impl Outgoing {
    fn request(&self, case: &Case, address: std::net::SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        for (name, value) in &self.headers {
            if !headers::is_hop(name) {
                request.headers_mut().append(name.clone(), value.clone());
            }
        }
        let set = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            set.insert(http::header::HOST, host);
        }
        if let Ok(id) = HeaderValue::from_str(&case.request.to_string()) {
            set.insert(REQUEST_ID, id);
        }
        if let Some(account) = &case.account
            && let Ok(account) = HeaderValue::from_str(account.as_str())
        {
            set.insert("x-account", account);
        }
        request
    }
}

/// The failure of an exchange after the request was sent.
pub(crate) fn failed(failure: &Failure) -> Failing {
    Failing {
        reason: failure.reason(),
        verdict: failure.verdict(),
        retry: None,
        message: failure.to_string(),
    }
}

/// Cancelled for a higher tier.
pub(crate) fn preempted(verdict: Verdict) -> Failing {
    Failing {
        reason: RefusalReason::Preempted,
        verdict,
        retry: Some(Span::from_secs(1)),
        message: "cancelled in favour of a request of a higher tier".into(),
    }
}

/// From dispatch to the first byte and to the end.
pub(crate) fn done(first: Duration, total: Duration, tokens: u32) -> Outcome {
    Outcome::Done { first: first.into(), total: total.into(), tokens }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::RateLimit => "the account is over its requests per second",
        RefusalReason::ConcurrencyLimit => "the account is over its concurrent requests",
        RefusalReason::TokenLimit => "the account is over its tokens per second",
        RefusalReason::NoServer => "no backend server offers the service at the moment",
        RefusalReason::Shed => "capacity goes to requests of the same or a higher tier",
        RefusalReason::Deadline => "the deadline cannot be met",
        RefusalReason::Stopping => "this VM is stopping",
        _ => "the request was refused",
    }
}
