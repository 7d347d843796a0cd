//! The state of one caller request, from its arrival to its end.
//!
//! A [`RequestContext`] makes sure that each request ends exactly once and is counted. A request
//! that fails gets a refusal record before the caller gets the response.

use std::time::Instant;

use gotham::helpers::http::Body;
use http::Response;
use meters::Operation;
use model::{
    AccountName, Invariant, Refusal, RefusalKey, RefusalReason, RequestId, ServiceName, Span, Tier,
    Verdict,
};
use state::ClaimKey;

use crate::{
    app::{App, wall_micros},
    error::{ErrorBody, status_of},
    key,
};

/// The state of one request. The request ends exactly once: it is answered, it fails, or the
/// context is dropped because the caller left.
pub(crate) struct RequestContext {
    pub(crate) app: App,
    pub(crate) request: RequestId,
    pub(crate) account: Option<AccountName>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) tier: Option<Tier>,
    pub(crate) arrived: Instant,
    /// The idempotency key that this request has claimed.
    pub(crate) claim_key: Option<ClaimKey>,
    /// Whether the request is being sent, so that a server may already have read it.
    pub(crate) sending: bool,
    /// Set by [`RequestContext::mark_dispatched`].
    dispatched: bool,
    ended: bool,
}

/// The failure of a request. [`RequestContext::fail`] records it and turns it into an error body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestFailure {
    pub(crate) reason: RefusalReason,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Span>,
    pub(crate) message: String,
}

impl RequestFailure {
    /// Creates the failure of a request that was not dispatched.
    pub(crate) fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry_after: None, message: message.into() }
    }
}

impl RequestContext {
    /// Starts a request with a random id.
    pub(crate) fn open(app: &App) -> Self {
        app.config.meters.change_open_requests(1);
        Self {
            app: app.clone(),
            request: RequestId::from(rand::random::<u128>()),
            account: None,
            service: None,
            tier: None,
            arrived: Instant::now(),
            claim_key: None,
            sending: false,
            dispatched: false,
            ended: false,
        }
    }

    /// Marks that bytes of the request may have reached a backend server. Must be called at most
    /// once.
    pub(crate) fn mark_dispatched(&mut self) {
        Invariant::OneDispatch.check(!self.dispatched);
        self.dispatched = true;
        self.app.config.meters.count(Operation::Dispatched);
    }

    /// Ends the request with a complete response.
    pub(crate) fn mark_answered(&mut self) {
        self.ended = true;
        self.app.config.meters.count(Operation::Answered);
        self.app.recent.put(self.request, "answered whole".into());
    }

    /// Ends the request with a failure. Waits until the refusal record is synced, but not longer
    /// than a timeout.
    pub(crate) async fn fail(&mut self, failure: RequestFailure) -> ErrorBody {
        let (refusal, synced) = self.record(failure.reason, failure.verdict);
        self.app.sync_record(refusal, synced).await;
        let RequestFailure { reason, verdict, retry_after, message } = failure;
        ErrorBody::new(reason, verdict, self.request, retry_after, message)
    }

    /// Ends the request with a failure and returns the response for it.
    pub(crate) async fn refuse(&mut self, failure: RequestFailure) -> Response<Body> {
        let status = status_of(failure.reason);
        self.fail(failure).await.response(status)
    }

    /// Records a refusal in the ledger and releases the idempotency key if the request did not run.
    /// The receiver gets `true` once the record is synced.
    fn record(
        &mut self,
        reason: RefusalReason,
        verdict: Verdict,
    ) -> (Refusal, tokio::sync::oneshot::Receiver<bool>) {
        Invariant::NotRunTruth
            .check(verdict != Verdict::NotRun || !(self.dispatched || self.sending));
        self.ended = true;
        let config = &self.app.config;
        config.meters.count_refusal(reason);
        self.app.recent.put(self.request, format!("{reason}, {verdict:?}"));
        if verdict == Verdict::NotRun
            && let Some(key) = self.claim_key.take()
        {
            key::release(&self.app, key, self.request);
        }
        let make = |key: RefusalKey| Refusal {
            key,
            at: wall_micros(),
            account: self.account.clone(),
            service: self.service.clone(),
            tier: self.tier,
            reason,
            verdict,
            request: self.request,
        };
        config.ledger.record(make)
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.app.config.meters.change_open_requests(-1);
        if !self.ended {
            let may_have_run = self.dispatched || self.sending;
            let verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
            // The caller left, so no response has to wait until the record is synced.
            let _ = self.record(RefusalReason::CallerLeft, verdict);
        }
    }
}
