//! Admission and placement of requests on one entry VM.
//!
//! [`Scheduler`] checks a request against the retry budget of its service and the quota of its
//! client account, and submits it to the [`Region`], in which the brokers of all entry VMs grant
//! servers. It performs no input or output; [`event_loop`](crate::event_loop) drives it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use broker::{LateLimits, Offer};
use keeper::{Phase, Server, Spending};
use model::{
    AccountName, Duty, Kind, Outcome, Part, RefusalReason, RequestId, ServerId, ServiceName, Span,
    Ticket, Time, VmName, ZoneName,
};
use poison::{Admission, Detector};
use region::{Frame, Gossip, GrantDecision, LimitReport, Notice, Region, ServiceUsage, Session};
use routing::{Plan, Quota};
use spread::{Digest, Setup, Sharing, Spread};

use crate::{cluster::announcement, quota::Quotas, retry_budget::RetryBudgets};

mod hedging;
mod rollouts;
mod suspects;

pub use self::rollouts::Orders;

/// Interval at which all servers are offered to the brokers again, so that a server that refused
/// connections is retried.
const OFFER_INTERVAL: Span = Span::from_millis(1_000);
/// Minimum number of entry VMs assumed for the retry budgets, since the control VMs may not have
/// listed all of them yet.
const DEFAULT_ENTRY_VMS: usize = 4;

/// The charge of a request against the quota of its client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The client account that is charged.
    pub account: AccountName,
    /// The quota of the account in the plan that admitted the request.
    pub quota: Quota,
    /// Number of units charged, in the unit of the quota.
    pub units: u64,
}

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The request's id, service, tier, time budget and estimated length, for the broker.
    pub ticket: Ticket,
    /// Servers that are not granted to the request, since an earlier send to them failed.
    pub avoid: Vec<ServerId>,
    /// The limits within which the request is still served after its time budget has passed.
    pub late: LateLimits,
    /// The charge against a quota. `None` if the request has no quota or was charged before.
    pub charge: Option<Charge>,
    /// Whether the request may have reached a server before, so that it counts against the retry
    /// budget.
    pub is_retry: bool,
    /// Whether it is sent to a second server while the first one has not answered yet.
    pub is_hedge: bool,
    /// Parts of the request that other requests may have too. The last one is its own, which only its
    /// repetitions have.
    pub parts: Arc<[Part]>,
}

/// The result of placing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The request is granted a server, to which it may be sent once.
    Granted {
        /// Id of the backend server that the broker selected for the request.
        server: ServerId,
        /// The address on which the server listens.
        address: SocketAddr,
    },
    /// The request is refused and must not be sent.
    Refused {
        /// The reason that is reported to the caller.
        reason: RefusalReason,
        /// Predicted time after which a retry may succeed, if it is known.
        retry_after: Option<Span>,
    },
}

/// The decision about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Id of the submitted request.
    pub request: RequestId,
    /// Whether a server was granted.
    pub placement: Placement,
}

/// The backend servers and entry VMs that the control VMs list.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Backend servers, each with whether its announcements have stopped.
    pub servers: Vec<(Server, bool)>,
    /// Entry VMs with their availability zones, this one included.
    pub entries: BTreeMap<VmName, ZoneName>,
}

/// A request that waits or runs, with the parts by which it may end its server.
struct OpenRequest {
    service: ServiceName,
    parts: Arc<[Part]>,
    /// Server that was granted.
    server: Option<ServerId>,
    /// Whether it was let through to try a blocked part.
    is_trial: bool,
    /// Whether its answer went on for a while.
    went_on: bool,
    /// Whether it is known not to end servers.
    is_sound: bool,
}

/// Admits the requests of one entry VM and places them on backend servers, for all services.
pub struct Scheduler {
    vm: VmName,
    incarnation: u64,
    region: Region,
    spread: Spread,
    /// What each other VM told last.
    gossip: BTreeMap<VmName, Gossip>,
    plan: Arc<Plan>,
    fleet: Fleet,
    quotas: Quotas,
    budgets: RetryBudgets,
    /// Budgets of hedges. `None` if none are sent.
    hedges: Option<RetryBudgets>,
    charges: HashMap<RequestId, Charge>,
    detector: Detector,
    open: HashMap<RequestId, OpenRequest>,
    /// Limits that servers named in their last answer to this VM, in requests a second.
    limits: BTreeMap<ServerId, f64>,
    next_offer: Time,
    following: rollouts::Following,
}

impl std::fmt::Debug for Scheduler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").field("region", &self.region).finish_non_exhaustive()
    }
}

impl Scheduler {
    /// Creates a scheduler that has no plan and no servers yet.
    #[must_use]
    pub fn new(
        (vm, zone): (VmName, ZoneName),
        incarnation: u64,
        mut budgets: RetryBudgets,
        quotas: Quotas,
    ) -> Self {
        budgets.set_vms(DEFAULT_ENTRY_VMS);
        let window = quotas.window();
        Self {
            spread: Spread::new(Setup { vm: vm.clone(), zone, incarnation, window }),
            gossip: BTreeMap::new(),
            region: Region::new(vm.clone(), incarnation),
            detector: Detector::new(vm.clone()),
            open: HashMap::new(),
            limits: BTreeMap::new(),
            vm,
            incarnation,
            plan: Arc::default(),
            fleet: Fleet::default(),
            quotas,
            budgets,
            hedges: None,
            charges: HashMap::new(),
            next_offer: Time::default(),
            following: rollouts::Following::default(),
        }
    }

    /// Sets the speed of this VM's link in bytes a second, which bounds the messages about the state of
    /// entry VMs.
    pub fn set_link(&mut self, bytes_per_s: u64) {
        self.spread.set_link(bytes_per_s);
    }

    /// Puts a plan in force and offers the servers of its services to the brokers.
    pub fn set_plan(&mut self, now: Time, plan: Arc<Plan>, out: &mut Vec<Decision>) {
        self.plan = plan;
        self.offer_servers(now, out);
    }

    /// Replaces the known servers and entry VMs.
    pub fn set_fleet(&mut self, now: Time, fleet: Fleet, out: &mut Vec<Decision>) {
        self.budgets.set_vms(fleet.entries.len().max(DEFAULT_ENTRY_VMS));
        self.spread.set_vms(fleet.entries.clone());
        let timing = self.spread.timing();
        self.region.set_grace(timing.spread_time());
        self.region.set_peer_timeout(timing.give_up());
        self.region.set_vms(fleet.entries.clone());
        let mut known = self.live_vms(now);
        known.extend(fleet.entries.keys().cloned());
        self.gossip.retain(|vm, _| known.contains(vm));
        self.region.retain_vms(&known);
        let known: BTreeSet<&ServerId> =
            fleet.servers.iter().map(|(server, _)| &server.id).collect();
        self.limits.retain(|id, _| known.contains(id));
        let before = std::mem::replace(&mut self.fleet, fleet);
        self.forget_versions();
        let before: BTreeMap<&ServerId, &(Server, bool)> =
            before.servers.iter().map(|listed| (&listed.0.id, listed)).collect();
        // A process that starts under the id of another one may provide another service, whose
        // broker is not the one that knows the earlier process.
        for (server, _) in &self.fleet.servers {
            if let Some((earlier, _)) = before.get(&server.id)
                && earlier.service != server.service
            {
                let place = (&earlier.id, &earlier.zone);
                self.region.update_server(now, &earlier.service, place, (Duty::Leaving, None));
            }
        }
        self.offer(now, out, |listed| before.get(&listed.0.id) != Some(&listed));
    }

    /// Tells the brokers of all servers, so that they keep those that are still listed.
    fn offer_servers(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.next_offer = now + OFFER_INTERVAL;
        self.offer(now, out, |_| true);
    }

    /// Tells the brokers of the servers that `is_due` selects.
    fn offer(
        &mut self,
        now: Time,
        out: &mut Vec<Decision>,
        is_due: impl Fn(&(Server, bool)) -> bool,
    ) {
        let servers = std::mem::take(&mut self.fleet.servers);
        for (server, silent) in servers.iter().filter(|listed| is_due(listed)) {
            let Some(service) = self.plan.service(&server.service) else {
                continue;
            };
            let kind = if service.generates_tokens { Kind::Model } else { Kind::Plain };
            let is_live = server.phase != Phase::Gone && !*silent;
            let announcement = is_live.then(|| announcement(server, kind));
            if is_live {
                self.follow_version(server);
            }
            let is_serving = server.phase == Phase::Serving;
            let duty = if is_serving { Duty::Serving } else { Duty::Leaving };
            let server_zone = (&server.id, &server.zone);
            self.region.update_server(now, &server.service, server_zone, (duty, announcement));
        }
        self.fleet.servers = servers;
        self.collect_decisions(now, out);
    }

    /// Restores the quota usage of this VM's former processes, as they reported it to the control
    /// VMs.
    pub fn restore_usage(&mut self, now: Time, usage: &[(VmName, Spending)]) {
        let own = usage.iter().filter(|(vm, _)| *vm == self.vm).map(|(_, spending)| spending);
        self.quotas.restore(now, &mut self.spread, own);
    }

    /// Returns this VM's recent usage of quotas, for the control VMs.
    #[must_use]
    pub fn spending(&self, now: Time) -> Spending {
        self.quotas.spending(now, &self.spread, self.incarnation)
    }

    /// Returns with how many entry VMs this one shares quotas.
    #[must_use]
    pub fn sharing(&self, now: Time) -> Sharing {
        self.spread.sharing(now)
    }

    /// Submits a request that needs a server. It is refused at once if one of its parts is blocked,
    /// or if the retry budget or the quota is exhausted.
    pub fn submit(
        &mut self,
        now: Time,
        placement_request: PlacementRequest,
        out: &mut Vec<Decision>,
    ) {
        let PlacementRequest { ticket, avoid, late, charge, is_retry, is_hedge, parts } =
            placement_request;
        let request = ticket.request;
        let refuse = |reason, retry_after| Decision {
            request,
            placement: Placement::Refused { reason, retry_after },
        };
        if let Admission::Refused { wait } = self.detector.check(now, &ticket.service, &parts) {
            out.push(refuse(RefusalReason::BlockedPart, Some(wait)));
            return;
        }
        if !self.is_in_budget(now, &ticket.service, &parts, (is_retry, is_hedge)) {
            out.push(refuse(RefusalReason::RetryBudget, None));
            return;
        }
        if let Some(charge) = charge {
            let Charge { account, quota, units } = &charge;
            if let Err(wait) = self.quotas.charge(now, &mut self.spread, account, *quota, *units) {
                out.push(refuse(RefusalReason::TokenLimit, Some(wait)));
                return;
            }
            self.charges.insert(request, charge);
        }
        if !is_retry {
            self.record_first(now, &ticket.service);
        }
        let service = ticket.service.clone();
        let open = OpenRequest {
            service,
            parts,
            server: None,
            is_trial: false,
            went_on: false,
            is_sound: false,
        };
        self.open.insert(request, open);
        let owner = self.vm.clone();
        let offer = Offer { ticket, owner, urgent: true, avoid, late: Some(late) };
        self.region.submit(now, offer);
        self.collect_decisions(now, out);
    }

    /// Records the outcome of a granted request.
    pub fn finish(
        &mut self,
        now: Time,
        service: &ServiceName,
        (request, outcome): (RequestId, Outcome),
        out: &mut Vec<Decision>,
    ) {
        match (&outcome, self.open.get(&request).and_then(|open| open.server.as_ref())) {
            (Outcome::NotSent, Some(server)) => self.detector.record_refused(now, service, server),
            (Outcome::Done { .. }, Some(server)) => {
                self.detector.record_alive(now, service, server);
            }
            _ => {}
        }
        self.open.remove(&request);
        self.region.finish(now, service, (request, outcome));
        self.collect_decisions(now, out);
    }

    /// Records that the response to a granted request has started.
    pub fn response_started(
        &mut self,
        now: Time,
        service: &ServiceName,
        request: RequestId,
        out: &mut Vec<Decision>,
    ) {
        self.record_alive(now, request);
        self.region.answer_started(now, service, request);
        self.collect_decisions(now, out);
    }

    /// Records the slowness that a server reported: the duration of work there relative to usual.
    pub fn report_slowness(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, slowness): (&ServerId, f64),
    ) {
        self.region.record_slowness(now, service, (id, slowness));
    }

    /// Records the limit that a server names, in requests a second, or that it names none. Returns
    /// whether it differs from the last one.
    pub fn report_limit(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, limit): (&ServerId, Option<f64>),
    ) -> bool {
        self.region.record_limit(now, service, (id, limit));
        let previous = match limit {
            Some(limit) => self.limits.insert(id.clone(), limit),
            None => self.limits.remove(id),
        };
        previous != limit
    }

    /// Processes another entry VM's reports of limits that servers named.
    pub fn receive_limits(&mut self, now: Time, reports: &[LimitReport]) {
        self.region.receive_limits(now, reports);
    }

    /// Takes the reports of limits that are to be sent to other entry VMs now.
    pub fn take_limit_reports(&mut self) -> Vec<(VmName, Vec<LimitReport>)> {
        self.region.take_limit_reports()
    }

    /// Removes a request whose caller disconnected before it was granted, and refunds its charge.
    pub fn withdraw(
        &mut self,
        now: Time,
        service: &ServiceName,
        request: RequestId,
        out: &mut Vec<Decision>,
    ) {
        self.refund(now, request);
        self.open.remove(&request);
        self.region.withdraw(now, service, request);
        self.collect_decisions(now, out);
    }

    /// Advances the time. Must be called regularly.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.quotas.start(now);
        self.spread.start(now);
        if now >= self.next_offer {
            self.offer_servers(now, out);
        }
        self.region.tick(now);
        self.collect_decisions(now, out);
    }

    /// Sets whether this VM can grant servers to the requests of other VMs: it receives answers of
    /// control VMs and is not stopping.
    pub fn set_available(&mut self, available: bool) {
        self.region.set_eligible(available);
    }

    /// Sets whether this VM is about to stop, so that other VMs must not report to it.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.spread.set_stopping(stopping);
    }

    /// Returns the other entry VMs of which this one hears.
    #[must_use]
    pub fn live_vms(&self, now: Time) -> BTreeSet<VmName> {
        self.spread.members(now).map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the messages that spread this VM's state, each with the VM to send it to, if they are
    /// due.
    pub fn take_digests(&mut self, now: Time) -> Vec<(VmName, Digest)> {
        if !self.spread.is_due(now) && !self.region.has_changes() {
            return Vec::new();
        }
        let gossip = self.region.gossip(now);
        let digests = self.spread.messages(now, gossip);
        self.follow_members(now);
        digests
    }

    /// Processes a message that spreads the state of other VMs.
    pub fn receive_digest(&mut self, now: Time, digest: Digest) {
        self.spread.receive(now, digest);
    }

    /// Passes on what the other VMs told of their homes.
    fn follow_members(&mut self, now: Time) {
        for (vm, member) in self.spread.members(now) {
            if self.gossip.get(vm) == Some(&member.gossip) {
                self.region.refresh(now, vm);
            } else {
                self.gossip.insert(vm.clone(), member.gossip.clone());
                self.region.receive_gossip(now, vm, member.gossip.clone());
            }
        }
    }

    fn refund(&mut self, now: Time, request: RequestId) {
        if let Some(charge) = self.charges.remove(&request) {
            self.quotas.refund(now, &mut self.spread, &charge.account, charge.units);
        }
    }

    /// Processes another entry VM's messages about requests.
    pub fn receive_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Decision>) {
        self.region.receive_frame(now, frame);
        self.collect_decisions(now, out);
    }

    /// Takes the messages about requests that are to be sent to other entry VMs now.
    pub fn take_frames(&mut self, now: Time) -> Vec<(VmName, Frame)> {
        self.region.flush(now);
        self.region.take_frames()
    }

    /// Returns whether the VM that grants servers took nothing from this VM lately.
    #[must_use]
    pub fn is_stalled(&self, now: Time) -> bool {
        self.region.is_stalled(now)
    }

    /// Records what of the messages to another entry VM could not be sent.
    pub fn record_unsent(
        &mut self,
        now: Time,
        vm: &VmName,
        session: (Session, bool),
        unsent: (u32, &[u64]),
        out: &mut Vec<Decision>,
    ) {
        self.region.record_unsent(vm, session, unsent);
        self.collect_decisions(now, out);
    }

    /// Takes the notices about changed homes, the VMs that grant servers.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        self.region.take_notices()
    }

    /// Returns the slots of each service, as this VM counts them.
    #[must_use]
    pub fn service_usage(&self, now: Time) -> Vec<ServiceUsage> {
        self.region.service_usage(now)
    }

    fn collect_decisions(&mut self, now: Time, out: &mut Vec<Decision>) {
        let mut decisions = self.region.take_decisions();
        while !decisions.is_empty() {
            for decision in decisions {
                out.push(self.decide(now, decision));
            }
            // Returning a grant may grant the server to another request.
            decisions = self.region.take_decisions();
        }
    }

    /// Turns a decision about a grant into one about the request. A part may have been blocked while
    /// the request waited; its grant is then returned.
    fn decide(&mut self, now: Time, decision: GrantDecision) -> Decision {
        let (request, reason, wait) = match decision {
            GrantDecision::Granted { request, server, address } => {
                let open = self.open.get_mut(&request);
                let admission = open.map_or(Admission::Free, |open| {
                    let admission = self.detector.admit(now, &open.service, &open.parts);
                    open.is_trial = admission == Admission::Trial;
                    open.server = Some(server.clone());
                    admission
                });
                let Admission::Refused { wait } = admission else {
                    self.charges.remove(&request);
                    let placement = Placement::Granted { server, address };
                    return Decision { request, placement };
                };
                if let Some(OpenRequest { service, .. }) = self.open.get(&request) {
                    self.region.finish(now, service, (request, Outcome::Cancelled));
                }
                (request, RefusalReason::BlockedPart, wait)
            }
            GrantDecision::Declined { request, reason, wait } => (request, reason, wait),
        };
        self.open.remove(&request);
        self.refund(now, request);
        let placement = Placement::Refused { reason, retry_after: Some(wait) };
        Decision { request, placement }
    }
}
