//! Following the control VMs: the plan, the right to accept keys, and who is there.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use host::{ControlRole, peer_address};
use keeper::{Phase, Registry, ServerStatus, Sync, Synced};
use model::{ServerId, Span, Time, VmName, ZoneName};
use peer::Links;
use tokio::sync::watch;

use crate::{
    desk::Fleet,
    dialect::Dialect,
    thread::{Handle, View, Views},
};

/// Longest wait for an answer: a control VM answers a question without news after 300 ms.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a question that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which new control VMs are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Silence of a control VM after which what it listed no longer counts.
const LIST_LAPSE: Span = Span::from_millis(2_500);
/// Silence after which an entry VM that only this control VM knew is forgotten: it may be cut off,
/// and then goes on spending its part of the quotas.
const ENTRY_LAPSE: Span = Span::from_secs(15);

/// What one control VM said last.
#[derive(Debug, Default)]
struct Source {
    registry: (u64, u64),
    servers: BTreeMap<ServerId, ServerStatus>,
    heard: Time,
}

#[derive(Debug, Default)]
struct Known {
    sources: BTreeMap<VmName, Source>,
    registry: Registry,
    controls: BTreeSet<VmName>,
    entries: BTreeMap<VmName, (ZoneName, Time)>,
}

/// Follows all control VMs that are known.
pub(crate) struct Follower {
    pub(crate) vm: VmName,
    pub(crate) incarnation: u64,
    pub(crate) zone: ZoneName,
    pub(crate) port: u16,
    pub(crate) links: Links<ControlRole>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) views: Arc<Views>,
    /// Told the version of each plan that comes in force.
    plans: watch::Sender<u64>,
    /// When the newest question was asked whose answer proved the plan current, in microseconds.
    pub(crate) confirmed: Arc<AtomicU64>,
    /// When a control VM answered last, in microseconds.
    answered: Arc<AtomicU64>,
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) handle: Handle,
    known: Mutex<Known>,
}

impl Follower {
    #[expect(clippy::too_many_arguments, reason = "the parts of one process")]
    pub(crate) fn new(
        (vm, incarnation): (VmName, u64),
        zone: ZoneName,
        port: u16,
        links: Links<ControlRole>,
        dialect: Arc<dyn Dialect>,
        views: Arc<Views>,
        plans: watch::Sender<u64>,
        confirmed: Arc<AtomicU64>,
        answered: Arc<AtomicU64>,
        stopping: Arc<AtomicBool>,
        handle: Handle,
    ) -> Self {
        let known = Mutex::default();
        Self {
            vm,
            incarnation,
            zone,
            port,
            links,
            dialect,
            views,
            plans,
            confirmed,
            answered,
            stopping,
            handle,
            known,
        }
    }

    /// Adds control VMs to follow.
    pub(crate) fn learn(&self, vms: impl IntoIterator<Item = VmName>) {
        self.known().controls.extend(vms);
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows each control VM in a task of its own, until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut followed = BTreeSet::new();
        loop {
            let new: Vec<VmName> = self.known().controls.difference(&followed).cloned().collect();
            for vm in new {
                followed.insert(vm.clone());
                match peer_address(&vm, self.port).map_err(|e| e.to_string()) {
                    Ok(address) => match self.links.add(&address) {
                        Ok(()) => drop(tokio::spawn(Arc::clone(&self).follow(vm))),
                        Err(error) => spdlog::error!("control VM not followed: {error}"),
                    },
                    Err(error) => spdlog::error!("control VM not followed: {error}"),
                }
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    async fn follow(self: Arc<Self>, control: VmName) {
        let mut heard = false;
        loop {
            let asked = clock::since_boot();
            let sync = Sync {
                incarnation: self.incarnation,
                zone: self.zone.clone(),
                stopping: self.stopping.load(Ordering::Relaxed),
                plan: self.version(),
                registry: self.known().sources.get(&control).map_or((0, 0), |s| s.registry),
                spent: self.handle.spent(),
                starting: self.version() == 0,
            };
            let answer = self.links.ask(&control, &sync, ASK_TIMEOUT).await;
            if answer.is_ok() != heard {
                heard = answer.is_ok();
                let vm = control.as_str();
                match &answer {
                    Ok(synced) => {
                        spdlog::info!("control VM is heard", kv: { vm, plan = synced.plan });
                    }
                    Err(error) => {
                        let error = error.to_string();
                        spdlog::warn!("control VM is not heard", kv: { vm, error });
                    }
                }
            }
            match answer {
                Ok(synced) => self.take(asked, &control, synced),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn version(&self) -> u64 {
        self.views.load().plan.as_ref().map_or(0, |p| p.version())
    }

    fn take(&self, asked: Time, control: &VmName, synced: Synced) {
        self.take_plan(asked, control, &synced);
        let now = clock::since_boot();
        self.answered.store(now.as_micros(), Ordering::Relaxed);
        let mut known = self.known();
        known.controls.extend(synced.controls);
        for (vm, zone) in synced.entries {
            known.entries.insert(vm, (zone, now));
        }
        let changed = {
            let source = known.sources.entry(control.clone()).or_default();
            source.heard = now;
            if source.registry.0 != synced.registry.0 {
                source.servers.clear();
            }
            source.registry = synced.registry;
            let changed = !synced.servers.is_empty();
            for listed in synced.servers {
                source.servers.insert(listed.server.id.clone(), listed);
            }
            changed
        };
        let entries = known.entries.len();
        known.entries.retain(|_, (_, heard)| now < *heard + ENTRY_LAPSE);
        if changed || entries != known.entries.len() {
            let fleet = known.fleet(now, (&self.vm, &self.zone));
            note_fleet(&fleet, control);
            self.handle.fleet(fleet);
        }
    }

    /// Puts a newer plan in force. The first one after a start must come from a control VM that
    /// was the leader when it answered, since others may lag.
    fn take_plan(&self, asked: Time, control: &VmName, synced: &Synced) {
        let held = self.version();
        if let Some(document) = &synced.document
            && synced.plan > held
            && (held > 0 || synced.current)
        {
            match self.dialect.parse_plan(document) {
                Ok(plan) => {
                    let plan = Arc::new(plan);
                    if held == 0
                        && let Some(spent) = &synced.spent
                    {
                        self.handle.adopt(spent.clone());
                    }
                    self.views.store(Arc::new(View { plan: Some(Arc::clone(&plan)) }));
                    self.handle.plan(plan);
                    self.plans.send_replace(synced.plan);
                    spdlog::info!(
                        "plan is in force",
                        kv: { plan = synced.plan, before = held, source = control.as_str() }
                    );
                }
                Err(error) => {
                    spdlog::error!("plan cannot be read", kv: { plan = synced.plan, error });
                    return;
                }
            }
        }
        if synced.current && synced.plan == self.version() {
            self.confirmed.fetch_max(asked.as_micros(), Ordering::Relaxed);
        }
    }
}

fn note_fleet(fleet: &Fleet, source: &VmName) {
    let of = |phase| fleet.servers.iter().filter(|(s, _)| s.phase == phase).count();
    let silent = fleet.servers.iter().filter(|(_, silent)| *silent).count();
    spdlog::info!(
        "servers known",
        kv: {
            serving = of(Phase::Serving),
            draining = of(Phase::Draining),
            gone = of(Phase::Gone),
            silent,
            entries = fleet.entries.len(),
            source = source.as_str()
        }
    );
}

impl Known {
    /// Merges what all control VMs listed: the newest word of each server, which is silent only if
    /// no control VM heard it lately.
    fn fleet(&mut self, now: Time, (me, zone): (&VmName, &ZoneName)) -> Fleet {
        let mut heard: BTreeSet<(ServerId, u64)> = BTreeSet::new();
        for source in self.sources.values().filter(|s| now < s.heard + LIST_LAPSE) {
            for listed in source.servers.values() {
                let server = &listed.server;
                if !listed.silent {
                    heard.insert((server.id.clone(), server.born));
                }
                self.registry.merge(now, Span::ZERO, server);
            }
        }
        let listed = self.registry.list().map(|l| l.server);
        let servers = listed.map(|server| {
            let silent =
                server.phase < Phase::Gone && !heard.contains(&(server.id.clone(), server.born));
            (server, silent)
        });
        let others = self.entries.iter().map(|(vm, (zone, _))| (vm.clone(), zone.clone()));
        let entries = others.chain([(me.clone(), zone.clone())]).collect();
        Fleet { servers: servers.collect(), entries }
    }
}
