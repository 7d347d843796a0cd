//! Admission and placing on one entry VM.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use broker::{LateLimits, Offer};
use keeper::{Phase, Server, Spending};
use model::{
    AccountName, Announcement, Duty, Fencing, Kind, Outcome, RefusalReason, RequestId, ServerId,
    ServiceName, Span, Ticket, Time, VmName, ZoneName,
};
use region::{Frame, GrantDecision, Notice, Region};
use routing::{Plan, Quota};

use crate::{
    budget::Budgets,
    load::{Load, share_interval},
    quota::Quotas,
};

/// Interval at which servers are offered to the brokers again, so that one that refused
/// connections is tried again.
const OFFER_INTERVAL: Span = Span::from_millis(1_000);
/// Time to live of what is offered: until it is taken back.
const OFFER_TTL: Span = Span::from_secs(3_600);
/// Entry VMs that are assumed until the control VMs have named all.
const ASSUMED_VMS: usize = 4;

/// What a request takes of its account's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The account.
    pub account: AccountName,
    /// Its quota.
    pub quota: Quota,
    /// Units taken.
    pub units: u64,
}

/// A request that wants a server.
#[derive(Clone, Debug)]
pub struct Want {
    /// Its ticket.
    pub ticket: Ticket,
    /// Servers that it was sent to before.
    pub avoid: Vec<ServerId>,
    /// How it is served when it is late.
    pub late: LateLimits,
    /// What it takes of a quota, the first time.
    pub charge: Option<Charge>,
    /// Whether it was sent before, so that it draws on the budget for this.
    pub again: bool,
}

/// What was decided about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdicted {
    /// Send it to this server, once.
    Granted {
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// It is not sent.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When trying again may help.
        retry: Option<Span>,
    },
}

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// What was decided.
    pub verdict: Verdicted,
}

/// Backend servers and entry VMs, as the control VMs list them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Backend servers, and whether their announcements stopped.
    pub servers: Vec<(Server, bool)>,
    /// Entry VMs with their availability zones, this one included.
    pub entries: BTreeMap<VmName, ZoneName>,
}

/// Decides which request is sent where, for all services, on one entry VM.
pub struct Desk {
    vm: VmName,
    incarnation: u64,
    seq: u64,
    region: Region,
    plan: Arc<Plan>,
    fleet: Fleet,
    quotas: Quotas,
    budgets: Budgets,
    charges: HashMap<RequestId, Charge>,
    /// Process and number of the last message of each other entry VM.
    heard: BTreeMap<VmName, (u64, u64)>,
    offer_at: Time,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").field("region", &self.region).finish_non_exhaustive()
    }
}

impl Desk {
    /// A desk without a plan or servers.
    #[must_use]
    pub fn new(vm: VmName, incarnation: u64, mut budgets: Budgets, quotas: Quotas) -> Self {
        budgets.set_vms(ASSUMED_VMS);
        Self {
            region: Region::new(vm.clone(), incarnation),
            vm,
            incarnation,
            seq: 0,
            plan: Arc::default(),
            fleet: Fleet::default(),
            quotas,
            budgets,
            charges: HashMap::new(),
            heard: BTreeMap::new(),
            offer_at: Time::default(),
        }
    }

    /// Puts a plan in force.
    pub fn set_plan(&mut self, now: Time, plan: Arc<Plan>, out: &mut Vec<Decision>) {
        self.plan = plan;
        self.offer_servers(now, out);
    }

    /// Takes the servers and entry VMs that are known.
    pub fn set_fleet(&mut self, now: Time, fleet: Fleet, out: &mut Vec<Decision>) {
        self.budgets.set_vms(fleet.entries.len().max(ASSUMED_VMS));
        self.quotas.set_vms(fleet.entries.len());
        let others = fleet.entries.len().saturating_sub(1);
        self.region.set_grace(share_interval(others) + share_interval(others));
        self.region.set_vms(fleet.entries.clone());
        self.fleet = fleet;
        self.offer_servers(now, out);
    }

    fn offer_servers(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.offer_at = now + OFFER_INTERVAL;
        for (server, silent) in &self.fleet.servers {
            let Some(service) = self.plan.service(&server.service) else {
                continue;
            };
            let kind = if service.generates_tokens { Kind::Model } else { Kind::Plain };
            let is_there = server.phase != Phase::Gone && !*silent;
            let announcement = is_there.then(|| announcement(server, kind));
            let serves = server.phase == Phase::Serving;
            let duty = if serves { Duty::Serving } else { Duty::Leaving };
            let server_at = (&server.id, &server.zone);
            self.region.update_server(now, &server.service, server_at, (duty, announcement));
        }
        self.act(out);
    }

    /// Takes what all entry VMs used of quotas before this one started.
    pub fn adopt(&mut self, now: Time, spent: &[(VmName, Spending)]) {
        self.quotas.adopt(now, &self.vm, spent);
    }

    /// What this VM used of quotas lately, for the control VMs.
    #[must_use]
    pub fn spending(&self, now: Time) -> Spending {
        self.quotas.spending(now)
    }

    /// Takes a request that wants a server.
    pub fn submit(&mut self, now: Time, want: Want, out: &mut Vec<Decision>) {
        let Want { ticket, avoid, late, charge, again } = want;
        let request = ticket.request;
        let refuse =
            |reason, retry| Decision { request, verdict: Verdicted::Refused { reason, retry } };
        if again && !self.budgets.again(now, &ticket.service) {
            out.push(refuse(RefusalReason::RetryBudget, None));
            return;
        }
        if let Some(charge) = charge {
            let Charge { account, quota, units } = &charge;
            if let Err(wait) = self.quotas.take(now, account, *quota, *units) {
                out.push(refuse(RefusalReason::TokenLimit, Some(wait)));
                return;
            }
            self.charges.insert(request, charge);
        }
        if !again {
            self.budgets.first(now, &ticket.service);
        }
        let owner = self.vm.clone();
        let offer = Offer { ticket, owner, urgent: true, avoid, late: Some(late) };
        self.region.submit(now, offer);
        self.act(out);
    }

    /// Notes how a granted request ended.
    pub fn finish(
        &mut self,
        now: Time,
        service: &ServiceName,
        (request, outcome): (RequestId, Outcome),
        out: &mut Vec<Decision>,
    ) {
        self.region.finish(now, service, (request, outcome));
        self.act(out);
    }

    /// Notes that the answer to a granted request has begun.
    pub fn begun(
        &mut self,
        now: Time,
        service: &ServiceName,
        request: RequestId,
        out: &mut Vec<Decision>,
    ) {
        self.region.answer_started(now, service, request);
        self.act(out);
    }

    /// Takes what a server said of its speed: how long work takes there, relative to usual.
    pub fn report(&mut self, now: Time, service: &ServiceName, (id, slowness): (&ServerId, f64)) {
        self.region.record_slowness(now, service, (id, slowness));
    }

    /// Drops a request whose caller left before it was granted.
    pub fn withdraw(
        &mut self,
        now: Time,
        service: &ServiceName,
        request: RequestId,
        out: &mut Vec<Decision>,
    ) {
        self.refund(request);
        self.region.withdraw(now, service, request);
        self.act(out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.quotas.start(now);
        if now >= self.offer_at {
            self.offer_servers(now, out);
        }
        self.region.tick(now);
        self.act(out);
    }

    /// Whether this VM can grant servers to the requests of others: it hears control VMs, and is not
    /// about to stop.
    pub fn set_able(&mut self, able: bool) {
        self.region.set_eligible(able);
    }

    /// What the other entry VMs are told.
    pub fn load(&mut self, now: Time) -> Load {
        self.seq += 1;
        Load {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            region: self.region.gossip(now),
            counts: (self.quotas.lineage(), self.quotas.is_informed(now)),
            spent: self
                .quotas
                .spent(now)
                .map(|(account, spent)| (account.clone(), spent))
                .collect(),
            relayed: self.quotas.relay(now),
        }
    }

    /// Takes what another entry VM told; an older message than the last one is ignored.
    pub fn hear(&mut self, now: Time, load: Load) {
        let last = self.heard.get(&load.vm);
        if last.is_some_and(|(process, seq)| *process == load.incarnation && *seq >= load.seq) {
            return;
        }
        self.heard.insert(load.vm.clone(), (load.incarnation, load.seq));
        self.region.receive_gossip(now, &load.vm, load.region);
        if let Some(relayed) = load.relayed {
            self.quotas.take_relayed(now, relayed);
        }
        self.quotas.hear(now, &load.vm, load.counts, load.spent);
    }

    fn refund(&mut self, request: RequestId) {
        if let Some(charge) = self.charges.remove(&request) {
            self.quotas.refund(&charge.account, charge.units);
        }
    }

    /// Takes what another entry VM says of requests.
    pub fn receive(&mut self, now: Time, frame: Frame, out: &mut Vec<Decision>) {
        self.region.receive_frame(now, frame);
        self.act(out);
    }

    /// What other entry VMs must be told of requests, now.
    pub fn frames(&mut self, now: Time) -> Vec<(VmName, Frame)> {
        self.region.flush(now);
        self.region.take_frames()
    }

    /// Whether the other entry VMs should be told at once of what changed here.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.region.has_changes()
    }

    /// What changed about the VMs that grant servers.
    pub fn notices(&mut self) -> Vec<Notice> {
        self.region.take_notices()
    }

    fn act(&mut self, out: &mut Vec<Decision>) {
        for decided in self.region.take_decisions() {
            match decided {
                GrantDecision::Granted { request, server, address } => {
                    self.charges.remove(&request);
                    out.push(Decision { request, verdict: Verdicted::Granted { server, address } });
                }
                GrantDecision::Declined { request, reason, wait } => {
                    self.refund(request);
                    let retry = Some(wait);
                    out.push(Decision { request, verdict: Verdicted::Refused { reason, retry } });
                }
            }
        }
    }
}

fn announcement(server: &Server, kind: Kind) -> Announcement {
    Announcement {
        id: server.id.clone(),
        service: server.service.clone(),
        kind,
        address: server.address,
        slots: server.slots,
        generation: 0,
        fencing: Fencing::Ignores,
        ttl: OFFER_TTL,
        load: 0,
        prefixes: None,
    }
}
