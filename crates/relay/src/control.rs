//! Polling of the control VMs for the version of the routing plan, its confirmation, and the known
//! VMs and servers.
//!
//! [`ControlClient`] polls every known control VM in a task of its own. What an answer says of the
//! plan is passed to [`PlanClient`], which fetches its content. The lists of servers and entry VMs are merged and passed to the
//! scheduler.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use edition::Request;
use host::{ControlProtocol, peer_address};
use keeper::{Phase, Server, Spending, Sync, Synced};
use model::{Time, VmName, ZoneName};
use peer::Links;
use rollout::{ControlAnswer, KnownOrders, ServiceVersion};

use crate::{
    cluster::Cluster,
    datagram::Datagram,
    event_loop::SchedulerHandle,
    frontend::{SharedRestraints, lock},
    plans::PlanClient,
    scheduler::{Fleet, Orders},
    trial::{self, SharedTrials},
};

/// Timeout of a poll. A control VM that has no changes to report answers after 300 ms.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which tasks are started for newly learned control VMs.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);
/// Polls all known control VMs.
pub(crate) struct ControlClient {
    pub(crate) incarnation: u64,
    pub(crate) zone: ZoneName,
    pub(crate) port: u16,
    pub(crate) links: Links<ControlProtocol>,
    plans: Arc<PlanClient>,
    /// When a control VM last answered, in microseconds.
    last_answer: Arc<AtomicU64>,
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) handle: SchedulerHandle,
    restraints: Arc<SharedRestraints>,
    /// Known control VMs.
    controls: Mutex<BTreeSet<VmName>>,
    cluster: Mutex<Cluster>,
    rollouts: Option<OrderLink>,
}

/// What a deployment with rollouts needs in addition.
pub(crate) struct OrderLink {
    /// What this VM learns of versions.
    pub(crate) trials: Arc<SharedTrials>,
    /// When the latest poll was sent that the leader answered, in microseconds.
    pub(crate) leader_heard: Arc<AtomicU64>,
    pub(crate) view: Mutex<OrderView>,
}

/// The orders of rollouts, merged from the answers of all control VMs.
#[derive(Debug, Default)]
pub(crate) struct OrderView {
    known: KnownOrders,
    /// The orders that were passed on last.
    passed_on: Orders,
    /// Digest of the orders that each control VM told last.
    digests: BTreeMap<VmName, u64>,
}

impl OrderLink {
    fn view(&self) -> MutexGuard<'_, OrderView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlClient {
    #[expect(clippy::too_many_arguments, reason = "the parts of one process")]
    pub(crate) fn new(
        (vm, incarnation): (VmName, u64),
        zone: ZoneName,
        port: u16,
        links: Links<ControlProtocol>,
        plans: Arc<PlanClient>,
        last_answer: Arc<AtomicU64>,
        stopping: Arc<AtomicBool>,
        handle: SchedulerHandle,
        restraints: Arc<SharedRestraints>,
        rollouts: Option<OrderLink>,
    ) -> Self {
        let cluster = Mutex::new(Cluster::new(vm, zone.clone()));
        Self {
            incarnation,
            zone,
            port,
            links,
            plans,
            last_answer,
            stopping,
            handle,
            restraints,
            controls: Mutex::default(),
            cluster,
            rollouts,
        }
    }

    /// Adds control VMs to poll.
    pub(crate) fn add_controls(&self, vms: impl IntoIterator<Item = VmName>) {
        self.controls().extend(vms);
    }

    fn controls(&self) -> MutexGuard<'_, BTreeSet<VmName>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Polls each control VM in a task of its own until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut polled = BTreeSet::new();
        loop {
            let new: Vec<VmName> = self.controls().difference(&polled).cloned().collect();
            for vm in new {
                polled.insert(vm.clone());
                match peer_address(&vm, self.port).map_err(|e| e.to_string()) {
                    Ok(address) => match self.links.add(&address) {
                        Ok(()) => drop(tokio::spawn(Arc::clone(&self).poll(vm))),
                        Err(error) => spdlog::error!("cannot poll control VM: {error}"),
                    },
                    Err(error) => spdlog::error!("cannot poll control VM: {error}"),
                }
            }
            tokio::time::sleep(DISCOVERY_INTERVAL).await;
        }
    }

    async fn poll(self: Arc<Self>, control: VmName) {
        let mut connected = false;
        // The incarnation of the control VM and the revision of the suspects that it was told.
        let mut told = None;
        let mut told_spending = None;
        // The newest plan that the control VM named.
        let mut named = 0;
        // The same for what was counted during orders.
        let mut told_counts = (0, 0);
        loop {
            let sent = clock::since_boot();
            let spending = self.handle.spending();
            let is_news = told_spending.as_ref().is_none_or(|told| !Arc::ptr_eq(told, &spending));
            let (registry, members) = self.cluster().reported(&control);
            let since = if told_counts.0 == registry.0 { told_counts.1 } else { 0 };
            let counts = self.rollouts.as_ref().map(|r| trial::lock(&r.trials).report(since));
            let (revision, reports) = counts.unwrap_or_default();
            let orders = self
                .rollouts
                .as_ref()
                .map(|rollouts| rollouts.view().digests.get(&control).copied().unwrap_or_default());
            let suspects = self.handle.known_suspects();
            let is_told = told.is_some_and(|(_, revision)| revision == suspects.revision);
            let plan = self.plans.version();
            let sync = Sync {
                incarnation: self.incarnation,
                zone: self.zone.clone(),
                stopping: self.stopping.load(Ordering::Relaxed),
                plan,
                registry,
                spent: if is_news { Spending::clone(&spending) } else { Spending::default() },
                starting: plan == 0,
                suspects: if is_told { Vec::new() } else { suspects.known.at(sent) },
                members,
                content: Some(Request { known: plan.max(named), fetch: false, base: None }),
                orders,
                progress: Vec::clone(&self.handle.order_progress()),
                reports,
            };
            let answer = self.links.ask(&control, &sync, POLL_TIMEOUT).await;
            if answer.is_ok() != connected {
                connected = answer.is_ok();
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
            if let Ok(synced) = answer {
                let (incarnation, _) = synced.registry;
                told = match told {
                    // It has started anew and was not told yet.
                    Some((before, _)) if is_told && before != incarnation => None,
                    _ => Some((incarnation, suspects.revision)),
                };
                told_spending = Some(spending);
                named = synced.plan;
                told_counts = (incarnation, if incarnation == registry.0 { revision } else { 0 });
                self.apply(sent, &control, synced).await;
            } else {
                self.plans.silent(&control);
                named = 0;
                told_spending = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn apply(&self, sent: Time, control: &VmName, mut synced: Synced) {
        if !synced.suspects.is_empty() {
            self.handle.receive(Datagram::Suspects(synced.suspects.clone()));
        }
        self.plans.hear(sent, control, &mut synced).await;
        let now = clock::since_boot();
        self.last_answer.store(now.as_micros(), Ordering::Relaxed);
        self.controls().extend(synced.controls.iter().cloned());
        let live = self.handle.live_vms();
        let mut cluster = self.cluster();
        self.apply_orders((now, sent), (control, &synced));
        let fleet = cluster.apply(now, control, synced, &live);
        cluster.take_contradictions().iter().for_each(log_contradiction);
        if let Some(fleet) = fleet {
            self.plans.set_entries(fleet.entries.len());
            log_fleet(&fleet, control);
            let servers = fleet.servers.iter().map(|(server, _)| server);
            if let Some(rollouts) = &self.rollouts {
                trial::lock(&rollouts.trials).set_servers(servers.clone());
                let versions = servers.clone().filter_map(version_of).collect();
                rollouts.view().known.retain(&versions);
            }
            lock(&self.restraints).set_servers(now, servers);
            self.handle.set_fleet(fleet);
        }
    }

    /// Passes the orders of rollouts on before the servers, so that a server of a version that is not
    /// confirmed is never granted.
    fn apply_orders(&self, (now, sent): (Time, Time), (control, synced): (&VmName, &Synced)) {
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        let mut view = rollouts.view();
        view.digests.insert(control.clone(), synced.orders);
        let listed = synced.servers.iter().filter_map(|listed| version_of(&listed.server));
        let answer = ControlAnswer {
            sent,
            is_current: synced.current,
            rollouts: synced.rollouts.clone(),
            listed: listed.collect(),
        };
        view.known.merge(now, &answer);
        let orders = Orders {
            latest: view.known.latest().clone(),
            unconfirmed: view.known.unconfirmed().cloned().collect(),
        };
        if orders != view.passed_on {
            let before = std::mem::replace(&mut view.passed_on, orders.clone());
            log_orders(&before, &orders, control);
            trial::lock(&rollouts.trials).set_orders(orders.latest.values());
            self.handle.set_orders(orders);
        }
        if synced.current {
            rollouts.leader_heard.fetch_max(sent.as_micros(), Ordering::Relaxed);
        }
    }
}

fn version_of(server: &Server) -> Option<ServiceVersion> {
    Some((server.service.clone(), server.version.clone()?))
}

/// Logs the orders that are new or have entered another phase.
fn log_orders(before: &Orders, orders: &Orders, control: &VmName) {
    for (service, rollout) in &orders.latest {
        let known = before.latest.get(service).map(|r| (r.id, r.phase));
        if known != Some((rollout.id, rollout.phase)) {
            spdlog::info!(
                "rollout is followed",
                kv: {
                    order = rollout.id,
                    service = service.as_str(),
                    to = rollout.order.to.as_str(),
                    phase = format!("{:?}", rollout.phase),
                    source = control.as_str()
                }
            );
        }
    }
}

fn log_fleet(fleet: &Fleet, control: &VmName) {
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
            source = control.as_str()
        }
    );
}

fn log_contradiction((server, count): &(Server, u32)) {
    spdlog::warn!(
        "list contradicts the known server and is ignored",
        kv: {
            server = server.id.as_str(),
            service = server.service.as_str(),
            address = server.address.to_string(),
            zone = server.zone.as_str(),
            born = server.born,
            count = *count
        }
    );
}
