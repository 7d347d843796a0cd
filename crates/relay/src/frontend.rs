//! The state shared by all request tasks, and the admission of requests.
//!
//! [`Frontend::admit`] finds the route and the client account of a request in the plan in force. It
//! refuses requests while no plan is known, or while the plan is too old to accept keys.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use backend::Client;
use host::ClientLimits;
use http::{StatusCode, request};
use meters::Meters;
use model::{RefusalReason, RequestId, ServiceName, Span, Time, Verdict};
use routing::{Account, DEFAULT_HEALTH_PATH, Plan, Route};
use tokio::{sync::watch, time::timeout};

use crate::{
    dialect::{CallerRequest, Dialect, RequestFailure},
    event_loop::{SchedulerHandle, SharedPlan},
    hedge::Hedges,
    restraint::Restraints,
    trial::SharedTrials,
};

/// Retry delay sent to callers while this VM has no current plan. By then a VM that has just
/// started or lost its control VMs may be able to serve again, or the caller may reach another one.
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// Maximum wait of a request for the first plan after the start: the time in which a leader is
/// elected when all VMs start at once. Refusing the caller instead would not bring it back sooner,
/// and would cost it one of its attempts.
const PLAN_WAIT: Duration = Duration::from_millis(1_500);

pub(crate) type SharedRestraints = Mutex<Restraints>;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    /// From then on, no request is taken that may last until the process ends.
    pub(crate) drain: Instant,
    /// By then, every caller has an answer, as the process is about to be killed.
    pub(crate) end: Instant,
}

/// The state shared by all request tasks of an entry VM.
pub(crate) struct Frontend {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) plan_state: Arc<SharedPlan>,
    /// Version of the plan in force, 0 before the first plan.
    pub(crate) plan_versions: watch::Receiver<u64>,
    pub(crate) plan_confirmed: Arc<AtomicU64>,
    pub(crate) stopping: Arc<AtomicBool>,
    /// Whether the VM that grants servers took nothing from this VM lately.
    pub(crate) stalled: Arc<AtomicBool>,
    /// The times of a planned stop, once it has begun.
    pub(crate) stop_times: watch::Receiver<Option<StopTimes>>,
    /// Time for which keys are accepted after the plan was last confirmed to be current.
    pub(crate) key_lease: Span,
    pub(crate) handle: SchedulerHandle,
    pub(crate) client: Client,
    /// Speed of this VM's link in Mbit/s, if the settings give it.
    pub(crate) link_mbps: Option<f64>,
    /// What servers said about further requests.
    pub(crate) restraints: Arc<SharedRestraints>,
    /// The times after which requests are hedged. `None` if none are.
    pub(crate) hedges: Option<Mutex<Hedges>>,
    /// What this VM learns of versions; `None` if the deployment has no rollouts.
    pub(crate) trials: Option<Arc<SharedTrials>>,
    pub(crate) meters: Arc<Meters>,
    /// The memory and the connections of callers.
    pub(crate) client_limits: Arc<ClientLimits>,
    pub(crate) incarnation: u64,
    pub(crate) request_count: AtomicU64,
}

/// The plan, route and client account of an admitted request.
pub(crate) struct Admitted {
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
}

impl Frontend {
    /// Returns an id for a request that is unique across all entry VMs.
    pub(crate) fn next_id(&self) -> RequestId {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        RequestId::from(u128::from(self.incarnation) << 64 | u128::from(count))
    }

    /// Returns the path of the health call of a service's servers, according to the plan in force.
    pub(crate) fn health_path(&self, service: &ServiceName) -> Arc<str> {
        let state = self.plan_state.load();
        let service = state.plan.as_ref().and_then(|plan| plan.service(service));
        service.map_or_else(|| DEFAULT_HEALTH_PATH.into(), |service| service.health_path.clone())
    }

    /// Returns what servers said about further requests.
    pub(crate) fn restraints(&self) -> MutexGuard<'_, Restraints> {
        lock(&self.restraints)
    }

    /// Returns the time since the plan was last confirmed to be current.
    pub(crate) fn plan_age(&self) -> Span {
        clock::since_boot() - Time::from_micros(self.plan_confirmed.load(Ordering::Relaxed))
    }

    /// Returns whether the plan was confirmed recently enough to accept keys.
    pub(crate) fn is_plan_fresh(&self) -> bool {
        self.plan_age() < self.key_lease
    }

    /// Returns whether this VM accepts new connections, for the readiness check.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
            && !self.stalled.load(Ordering::Relaxed)
            && self.plan_state.load().plan.is_some()
            && self.is_plan_fresh()
    }

    /// Refuses a request that may still be in progress when this process ends.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this VM drains its connections and the deadline is after its end.
    pub(crate) fn check_stop(&self, deadline: Instant) -> Result<(), RequestFailure> {
        let times = *self.stop_times.borrow();
        if times.is_some_and(|times| Instant::now() >= times.drain && deadline > times.end) {
            return Err(not_run(RefusalReason::Stopping, Some(RETRY_AFTER)));
        }
        Ok(())
    }

    /// Completes when every caller must have an answer, as this process is about to end.
    pub(crate) async fn stop_ends(&self) {
        let mut times = self.stop_times.clone();
        let times = match times.wait_for(Option::is_some).await {
            Ok(times) => *times,
            // The process goes on without a planned stop.
            Err(_) => None,
        };
        match times {
            Some(times) => tokio::time::sleep_until(times.end.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Waits for the first plan after the start, for at most a third of the caller's timeout.
    pub(crate) async fn wait_for_plan(&self, caller_timeout: Option<Duration>) {
        let longest = caller_timeout.map_or(PLAN_WAIT, |t| PLAN_WAIT.min(t / 3));
        let mut versions = self.plan_versions.clone();
        // Without a plan the request is refused.
        let _ = timeout(longest, versions.wait_for(|version| *version > 0)).await;
    }

    /// Finds the route and the client account of a request.
    ///
    /// The plan in force elsewhere may allow a request that an outdated plan here does not. So the
    /// actual reason is given only while the plan is current, and a retryable refusal otherwise.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no plan, no route, no known account or no current plan.
    pub(crate) fn admit(
        &self,
        head: &request::Parts,
        request: &CallerRequest,
    ) -> Result<Admitted, RequestFailure> {
        let Some(plan) = self.plan_state.load().plan.clone() else {
            return Err(not_run(RefusalReason::NoPlan, Some(RETRY_AFTER)));
        };
        let fresh = self.is_plan_fresh();
        let refuse = |reason| {
            Err(if fresh {
                not_run(reason, None)
            } else {
                not_run(RefusalReason::StalePlan, Some(RETRY_AFTER))
            })
        };
        let host = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let Some(route) = plan.route(host, head.uri.path()).cloned() else {
            return refuse(RefusalReason::BadRoute);
        };
        let account = request.key.as_deref().and_then(|key| plan.account(key)).cloned();
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

/// Locks state that stays consistent if a task panics.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Creates the failure of a request that was not run by any server and will not be.
pub(crate) fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> RequestFailure {
    RequestFailure { status: status_of(reason), reason, verdict: Verdict::NotRun, retry_after }
}

/// Creates the failure of a request that may have run.
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
