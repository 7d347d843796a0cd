//! Which requests are let in.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use backend::Client;
use http::{StatusCode, request};
use meters::Meters;
use model::{RefusalReason, RequestId, Span, Time, Verdict};
use routing::{Account, Plan, Route};
use tokio::{sync::watch, time::timeout};

use crate::{
    dialect::{CallerRequest, Dialect, RequestFailure},
    thread::{Handle, Views},
};

/// Wait after which a caller may find a VM that was just started, or lost its control VMs, able to
/// serve again, or be sent to another one.
const RETURN_AFTER: Duration = Duration::from_millis(700);

/// Longest wait for the first plan after the start: the time in which a leader is elected when all
/// VMs start at once. A caller that is sent away instead comes back no sooner, and has one try less.
const PLAN_WAIT: Duration = Duration::from_millis(1_500);

/// Everything that a request needs.
pub(crate) struct Gate {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) views: Arc<Views>,
    /// Version of the plan in force, 0 before the first.
    pub(crate) plans: watch::Receiver<u64>,
    pub(crate) confirmed: Arc<AtomicU64>,
    pub(crate) stopping: Arc<AtomicBool>,
    /// Time for which keys are accepted after the plan was last known to be current.
    pub(crate) key_lease: Span,
    pub(crate) handle: Handle,
    pub(crate) client: Client,
    pub(crate) meters: Arc<Meters>,
    pub(crate) incarnation: u64,
    pub(crate) count: AtomicU64,
}

/// A request that was let in.
pub(crate) struct Admitted {
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
}

impl Gate {
    /// Number of a request, for this and the other VMs.
    pub(crate) fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        RequestId::from(u128::from(self.incarnation) << 64 | u128::from(count))
    }

    /// Time since the plan was last known to be current.
    pub(crate) fn plan_age(&self) -> Span {
        clock::since_boot() - Time::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    /// Whether the plan is known to be current, closely enough to accept keys.
    pub(crate) fn is_fresh(&self) -> bool {
        self.plan_age() < self.key_lease
    }

    /// Whether new connections are wanted.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
            && self.views.load().plan.is_some()
            && self.is_fresh()
    }

    /// Waits for the first plan after the start, for a third of the caller's patience at most.
    pub(crate) async fn planned(&self, patience: Option<Duration>) {
        let longest = patience.map_or(PLAN_WAIT, |p| PLAN_WAIT.min(p / 3));
        let mut plans = self.plans.clone();
        // Without a plan the request is refused.
        let _ = timeout(longest, plans.wait_for(|version| *version > 0)).await;
    }

    /// Finds the route and the account of a request. What an old plan does not allow may be
    /// allowed by the one in force, so it is refused for good only while the plan is current.
    pub(crate) fn admit(
        &self,
        head: &request::Parts,
        asked: &CallerRequest,
    ) -> Result<Admitted, RequestFailure> {
        let Some(plan) = self.views.load().plan.clone() else {
            return Err(not_run(RefusalReason::NoPlan, Some(RETURN_AFTER)));
        };
        let fresh = self.is_fresh();
        let refuse = |reason| {
            Err(if fresh {
                not_run(reason, None)
            } else {
                not_run(RefusalReason::StalePlan, Some(RETURN_AFTER))
            })
        };
        let host = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = plan.route(host, head.uri.path()).cloned() else {
            return refuse(RefusalReason::BadRoute);
        };
        let account = asked.key.as_deref().and_then(|key| plan.account(key)).cloned();
        if plan.has_accounts() && !route.public {
            if account.is_none() {
                return refuse(RefusalReason::UnknownAccount);
            }
            if !fresh {
                return refuse(RefusalReason::StalePlan);
            }
        }
        let account = account.filter(|_| fresh);
        Ok(Admitted { plan, route, account })
    }
}

/// A refusal of a request that was not sent to any server and will not be.
pub(crate) fn not_run(reason: RefusalReason, retry: Option<Duration>) -> RequestFailure {
    RequestFailure {
        status: status_of(reason),
        reason,
        verdict: Verdict::NotRun,
        retry_after: retry,
    }
}

/// A failure of a request that may have run.
pub(crate) fn may_have_run(reason: RefusalReason) -> RequestFailure {
    let status = match reason {
        RefusalReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    RequestFailure { status, reason, verdict: Verdict::MayHaveRun, retry_after: None }
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnknownAccount => StatusCode::UNAUTHORIZED,
        RefusalReason::TokenLimit => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
