//! Fetching of the routing plan's content, and its coming into force.
//!
//! [`Fetcher`] decides which control VM is asked. The content is checked and compiled on a thread for
//! blocking work, one plan at a time, while the plan before serves requests. It is then passed to
//! the request tasks and the scheduler. A confirmation that the plan is current extends the time for
//! which keys are accepted.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use edition::{Base, Document, Failure, Fetch, Fetcher, Heard, Patch, Step};
use host::ControlProtocol;
use keeper::{Spending, Sync, Synced};
use meters::{Meters, Operation};
use model::{Span, Time, VmName, ZoneName};
use peer::Links;
use routing::Plan;
use tokio::sync::{Notify, watch};

use crate::{
    dialect::Dialect,
    event_loop::{PlanState, SchedulerHandle, SharedPlan},
};

/// Longest wait for content. Another control VM is asked earlier, but late content is still used.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of versions whose times are kept until they are in force. The first ones matter, since the
/// delay of the oldest change is measured.
const MAX_NEWS: usize = 64;
/// Interval at which it is checked whether a former plan is still in use.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Content as a control VM sent it.
enum Content {
    Patch(Arc<Patch>),
    /// The version and the whole document, from a control VM of a build without patches.
    Whole(u64, Arc<Vec<u8>>),
}

impl Content {
    fn version(&self) -> u64 {
        match self {
            Self::Patch(patch) => patch.target.version,
            Self::Whole(version, _) => *version,
        }
    }

    fn len(&self) -> usize {
        match self {
            Self::Patch(patch) => patch.content.len(),
            Self::Whole(_, document) => document.len(),
        }
    }

    fn is_delta(&self) -> bool {
        matches!(self, Self::Patch(patch) if patch.is_delta())
    }
}

#[derive(Debug)]
struct State {
    fetcher: Fetcher,
    /// When versions that are not in force yet came into force at a control VM.
    news: BTreeMap<u64, Time>,
    /// Version that the leader confirmed as current, and when the latest such poll was sent.
    confirmed: (u64, Time),
    /// Usage of this VM's former processes, until the first plan is in force.
    spent: Option<Vec<(VmName, Spending)>>,
}

/// Fetches plans and puts them in force.
pub(crate) struct PlanClient {
    incarnation: u64,
    zone: ZoneName,
    links: Links<ControlProtocol>,
    dialect: Arc<dyn Dialect>,
    plan_state: Arc<SharedPlan>,
    /// Publishes the version of each plan that is put in force.
    plan_updates: watch::Sender<u64>,
    /// When the latest poll was sent whose answer confirmed the plan as current, in microseconds.
    plan_confirmed: Arc<AtomicU64>,
    handle: SchedulerHandle,
    meters: Arc<Meters>,
    state: Mutex<State>,
    /// The document in force; locked while a plan is put in force.
    document: tokio::sync::Mutex<Option<Document>>,
    changed: Notify,
}

impl PlanClient {
    #[expect(clippy::too_many_arguments, reason = "the parts of one process")]
    pub(crate) fn new(
        (vm, incarnation): (VmName, u64),
        zone: ZoneName,
        links: Links<ControlProtocol>,
        dialect: Arc<dyn Dialect>,
        plan_state: Arc<SharedPlan>,
        plan_updates: watch::Sender<u64>,
        plan_confirmed: Arc<AtomicU64>,
        handle: SchedulerHandle,
        meters: Arc<Meters>,
    ) -> Self {
        let state = State {
            fetcher: Fetcher::new(vm, zone.clone()),
            news: BTreeMap::new(),
            confirmed: (0, Time::default()),
            spent: None,
        };
        Self {
            incarnation,
            zone,
            links,
            dialect,
            plan_state,
            plan_updates,
            plan_confirmed,
            handle,
            meters,
            state: Mutex::new(state),
            document: tokio::sync::Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the plan in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.plan_state.load().plan.as_ref().map_or(0, |p| p.version())
    }

    /// Sets the number of entry VMs that fetch the same content.
    pub(crate) fn set_entries(&self, entries: usize) {
        self.state().fetcher.set_entries(entries);
    }

    /// Records that a control VM did not answer a poll.
    pub(crate) fn silent(&self, control: &VmName) {
        self.state().fetcher.silent(clock::since_boot(), control);
        self.changed.notify_one();
    }

    /// Records what a control VM answered to a poll that was sent at `sent`. A document that a control
    /// VM of an earlier build sent with it is put in force.
    pub(crate) async fn hear(self: &Arc<Self>, sent: Time, control: &VmName, synced: &mut Synced) {
        let now = clock::since_boot();
        {
            let mut state = self.state();
            let (version, is_current) = (synced.plan, synced.current);
            let offer = synced.offer.take();
            let age = offer.as_ref().map_or(Span::ZERO, |o| o.age);
            let is_known = state.news.contains_key(&version);
            if version > self.version() && (is_known || state.news.len() < MAX_NEWS) {
                let since = state.news.entry(version).or_insert(now);
                let accepted = now.as_micros().saturating_sub(age.as_micros());
                *since = (*since).min(Time::from_micros(accepted));
            }
            state.fetcher.hear(now, control, Heard { version, is_current, offer });
            if is_current && version >= state.confirmed.0 {
                let latest = if version == state.confirmed.0 { state.confirmed.1 } else { sent };
                state.confirmed = (version, sent.max(latest));
                if let Some(spent) = synced.spent.take() {
                    state.spent = Some(spent);
                }
            }
        }
        if let Some(document) = synced.document.take() {
            self.install(control, Content::Whole(synced.plan, document)).await;
        }
        self.confirm();
        self.changed.notify_one();
    }

    /// Extends the time for which keys are accepted, if the plan in force was confirmed as current.
    fn confirm(&self) {
        let (version, sent) = self.state().confirmed;
        if version > 0 && version == self.version() {
            self.plan_confirmed.fetch_max(sent.as_micros(), Ordering::Relaxed);
        }
    }

    /// Fetches newer plans until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let now = clock::since_boot();
            let step = self.state().fetcher.step(now);
            match step {
                Step::Fetch(fetch) => drop(tokio::spawn(Arc::clone(&self).fetch(fetch))),
                Step::Wait(until) => {
                    let wait = Duration::from(until - now);
                    // Ends early if something is reported.
                    let _ = tokio::time::timeout(wait, self.changed.notified()).await;
                }
                Step::Idle => self.changed.notified().await,
            }
        }
    }

    async fn fetch(self: Arc<Self>, fetch: Fetch) {
        let Fetch { from, request, failures } = fetch;
        if failures > 0 {
            self.meters.count(Operation::PlanAskedAgain);
            spdlog::warn!(
                "plan is requested again",
                kv: { source = from.as_str(), before = request.known, failures }
            );
        }
        let sync = Sync {
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            stopping: false,
            plan: request.known,
            registry: (0, 0),
            spent: Spending::default(),
            starting: false,
            suspects: Vec::new(),
            members: 0,
            content: Some(request),
            orders: None,
            progress: Vec::new(),
            reports: Vec::new(),
        };
        let failure = match self.links.ask(&from, &sync, FETCH_TIMEOUT).await {
            Ok(Synced { patch: Some(patch), .. }) => {
                self.install(&from, Content::Patch(patch)).await;
                None
            }
            Ok(Synced { document: Some(document), plan, .. }) => {
                self.install(&from, Content::Whole(plan, document)).await;
                None
            }
            Ok(_) => Some(Failure::Nothing),
            Err(_) => Some(Failure::Silent),
        };
        if let Some(failure) = failure {
            self.state().fetcher.failed(clock::since_boot(), &from, failure);
        }
        self.confirm();
        self.changed.notify_one();
    }

    /// Puts a plan in force if it is genuine and newer than the one in force.
    async fn install(self: &Arc<Self>, source: &VmName, content: Content) {
        let mut held = self.document.lock().await;
        let (version, before) = (content.version(), self.version());
        if version <= before {
            return;
        }
        let (bytes, is_delta) = (content.len(), content.is_delta());
        self.meters.add_plan_bytes(bytes);
        let start = clock::since_boot();
        let (client, document) = (Arc::clone(self), held.clone());
        let built = tokio::task::spawn_blocking(move || client.build(&content, document.as_ref()));
        let built = built.await.unwrap_or_else(|error| {
            spdlog::error!("cannot compile plan: {error}");
            Err((Failure::Unreadable(version), error.to_string()))
        });
        let now = clock::since_boot();
        let (document, plan) = match built {
            Ok(built) => built,
            Err((Failure::Stale, _)) => return,
            Err((failure, error)) => {
                self.meters.count(Operation::PlanRejected);
                let source_vm = source.as_str();
                spdlog::error!(
                    "plan is rejected, the one before stays in force",
                    kv: { plan = version, before, source = source_vm, by_patch = is_delta, error }
                );
                self.state().fetcher.failed(now, source, failure);
                return;
            }
        };
        let base = document.base();
        *held = Some(document);
        let since = self.put_in_force(base, plan);
        let delay = now - since.unwrap_or(start);
        self.meters.record_plan(version, delay.as_secs_f64(), is_delta);
        spdlog::info!(
            "plan is in force",
            kv: {
                plan = version,
                before,
                source = source.as_str(),
                digest = base.digest.to_string(),
                by_patch = is_delta,
                bytes,
                delay_ms = delay.as_millis(),
                compile_ms = (now - start).as_millis()
            }
        );
    }

    /// Returns the document and the plan compiled from it. It takes processor time proportional to
    /// the size of the plan.
    fn build(
        &self,
        content: &Content,
        held: Option<&Document>,
    ) -> Result<(Document, Plan), (Failure, String)> {
        let document = match content {
            Content::Patch(patch) => patch.apply(held).map_err(|error| {
                let is_stale = error == edition::Error::Stale;
                let failure = if is_stale { Failure::Stale } else { Failure::Rejected };
                (failure, error.to_string())
            })?,
            Content::Whole(version, document) => Document::new(*version, Arc::clone(document)),
        };
        if !self.state().fetcher.accepts(document.base()) {
            return Err((Failure::Rejected, "a current leader named another plan".into()));
        }
        let previous = self.plan_state.load().plan.clone().unwrap_or_default();
        match self.dialect.parse_plan(document.content(), &previous) {
            Ok(plan) => Ok((document, plan)),
            Err(error) => Err((Failure::Unreadable(document.version()), error)),
        }
    }

    /// Passes a plan to the request tasks and the scheduler. Returns when the first of the changes
    /// that it brings came into force at a control VM.
    fn put_in_force(&self, base: Base, plan: Plan) -> Option<Time> {
        let plan = Arc::new(plan);
        let (since, spent) = {
            let mut state = self.state();
            state.fetcher.installed(base);
            let newer = state.news.split_off(&(base.version + 1));
            let brought = std::mem::replace(&mut state.news, newer);
            (brought.into_values().min(), state.spent.take())
        };
        let previous = self.plan_state.load().plan.clone();
        if previous.is_none()
            && let Some(spent) = spent
        {
            self.handle.restore_usage(spent);
        }
        self.plan_state.store(Arc::new(PlanState { plan: Some(Arc::clone(&plan)) }));
        self.handle.set_plan(plan);
        self.plan_updates.send_replace(base.version);
        self.confirm();
        if let Some(previous) = previous {
            tokio::spawn(retire(previous));
        }
        since
    }
}

/// Drops a former plan on a thread for blocking work, once nothing else uses it. Otherwise the
/// scheduler thread or a request would free a large plan.
async fn retire(plan: Arc<Plan>) {
    loop {
        tokio::time::sleep(RETIRE_INTERVAL).await;
        if Arc::strong_count(&plan) == 1 {
            // Nothing waits for it.
            drop(tokio::task::spawn_blocking(move || drop(plan)));
            return;
        }
    }
}
