//! One request of a caller, from its arrival to its only ending.

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
    fail::{ErrorBody, status_of},
    key,
};

/// One request. It ends exactly once: answered, failed, or dropped because the caller left.
pub(crate) struct Case {
    pub(crate) app: App,
    pub(crate) request: RequestId,
    pub(crate) account: Option<AccountName>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) tier: Option<Tier>,
    pub(crate) arrived: Instant,
    pub(crate) claim: Option<ClaimKey>,
    dispatched: bool,
    ended: bool,
}

/// A failure before it is told to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failing {
    pub(crate) reason: RefusalReason,
    pub(crate) verdict: Verdict,
    pub(crate) retry: Option<Span>,
    pub(crate) message: String,
}

impl Failing {
    /// A request that was refused before it was dispatched.
    pub(crate) fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry: None, message: message.into() }
    }
}

impl Case {
    pub(crate) fn open(app: &App) -> Self {
        app.config.meters.change_open_requests(1);
        Self {
            app: app.clone(),
            request: RequestId::from(rand::random::<u128>()),
            account: None,
            service: None,
            tier: None,
            arrived: Instant::now(),
            claim: None,
            dispatched: false,
            ended: false,
        }
    }

    /// Notes that bytes of the request may have reached a backend server.
    pub(crate) fn dispatched(&mut self) {
        Invariant::OneDispatch.check(!self.dispatched);
        self.dispatched = true;
        self.app.config.meters.count(Operation::Dispatched);
    }

    /// Ends the request with a whole answer.
    pub(crate) fn answered(&mut self) {
        self.ended = true;
        self.app.config.meters.count(Operation::Answered);
        self.app.recent.put(self.request, "answered whole".into());
    }

    /// Ends the request with a failure; its record is synced before this returns, if it can be.
    pub(crate) async fn fail(&mut self, failing: Failing) -> ErrorBody {
        let (refusal, synced) = self.record(failing.reason, failing.verdict);
        self.app.sync_record(refusal, synced).await;
        let Failing { reason, verdict, retry, message } = failing;
        ErrorBody::new(reason, verdict, self.request, retry, message)
    }

    /// Ends the request with a failure as its answer.
    pub(crate) async fn refuse(&mut self, failing: Failing) -> Response<Body> {
        let status = status_of(failing.reason);
        self.fail(failing).await.response(status)
    }

    fn record(
        &mut self,
        reason: RefusalReason,
        verdict: Verdict,
    ) -> (Refusal, tokio::sync::oneshot::Receiver<bool>) {
        Invariant::NotRunTruth.check(verdict != Verdict::NotRun || !self.dispatched);
        self.ended = true;
        let config = &self.app.config;
        config.meters.count_refusal(reason);
        self.app.recent.put(self.request, format!("{reason}, {verdict:?}"));
        if verdict == Verdict::NotRun
            && let Some(claim) = self.claim.take()
        {
            key::release(&self.app, claim, self.request);
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

impl Drop for Case {
    fn drop(&mut self) {
        self.app.config.meters.change_open_requests(-1);
        if !self.ended {
            let verdict = if self.dispatched { Verdict::MayHaveRun } else { Verdict::NotRun };
            // Nobody waits for the answer, so nobody waits for the record.
            let _ = self.record(RefusalReason::CallerLeft, verdict);
        }
    }
}
