//! The backend servers of one service in one availability zone, and the granted requests that run
//! on them.
//!
//! The pool observes how fast each server is, how often it fails, and what other VMs run there, and
//! chooses servers for tickets by these observations.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use model::{
    Announcement, Duty, Invariant, RequestId, ServerId, Span, Ticket, Tier, Time, VmName, ZoneName,
    unit_hash,
};

use crate::{
    action::{Action, RunningRequest, ServerLoad},
    broker::SlotUsage,
    latency::LatencyModel,
    prefix::PrefixMap,
    route::{Candidate, Router},
};

mod choose;
mod peers;
mod rate;
mod server;
mod versions;

use self::{
    peers::PeerReport,
    rate::RateLimit,
    server::{LoadSums, PRIOR_S, STRAGGLER_RATIO, Server},
    versions::{Standing, Versions},
};

pub(crate) use self::choose::Snapshot;
pub use self::versions::{OrderRules, VersionRules};

/// Slowness of an answer, relative to the median of the servers, up to which a straggler counts as
/// recovered.
const RECOVERED_RATIO: f64 = 1.5;
/// Longest request that may be sent as a probe, relative to a request of mean length.
const PROBE_SHARE: f64 = 0.6;
/// Minimum interval between two probes of one server.
const PROBE_INTERVAL: Span = Span::from_secs(8);
/// Share by which an idle server's slowness decays towards 1 at each tick.
const IDLE_DECAY: f64 = 0.000_5;
/// Factor by which the sums of a server decay at each observation.
const SUM_DECAY: f64 = 0.85;

/// Weight of the newest request in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure rate above which a server is suspended: reached by three failures in a row, but not by
/// one in a few requests.
const SUSPEND_ABOVE: f64 = 0.55;
/// Length of a suspension: about the time in which a crashed server is back or noticed to be gone.
const SUSPENSION_TIME: Span = Span::from_millis(1_500);

/// Time after which a granted request is dropped if its entry VM does not confirm it: several of
/// the intervals at which entry VMs confirm their requests.
const GRANT_TTL: Span = Span::from_secs(12);
/// Interval between two searches for such requests.
const EXPIRY_INTERVAL: Span = Span::from_secs(2);
/// Time after which the load report of a silent VM no longer counts: several times the interval of
/// these reports.
const PEER_TTL: Span = Span::from_millis(1_000);

/// A granted request that has not ended.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) ticket: Ticket,
    pub(crate) owner: VmName,
    pub(crate) server: ServerId,
    pub(crate) since: Time,
    /// Address of the server at the time of the grant; `None` for a request that was taken over.
    address: Option<SocketAddr>,
    /// The time at which the entry VM last confirmed that the request runs.
    confirmed_at: Time,
    work: f64,
    /// Whether its ticket has a soft deadline.
    pub(crate) soft: bool,
    /// Prompt tokens of earlier requests that the server still had to read at the time of the
    /// grant.
    pub(crate) unread: f64,
    /// Slowness that the server reported before the grant.
    slowness_at_grant: f64,
    /// Whether its answer has started.
    answer_started: bool,
    /// When its slot here is freed, if its entry VM reports it to another broker.
    handed_over: Option<Time>,
}

impl Running {
    /// Returns the grant as it was first issued, or `None` for a request that was taken over.
    pub(crate) fn grant(&self) -> Option<Action> {
        Some(Action::Grant {
            request: self.ticket.request,
            owner: self.owner.clone(),
            server: self.server.clone(),
            address: self.address?,
        })
    }
}

/// The capacity of a server that a grant uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotSource {
    /// A free slot within the server's window.
    Free,
    /// The slot of a request that was cancelled for this one.
    Cancelled,
}

/// The servers and the granted requests.
#[derive(Debug)]
pub(crate) struct Pool {
    servers: BTreeMap<ServerId, Server>,
    running: HashMap<RequestId, Running>,
    duties: BTreeMap<ServerId, Duty>,
    /// Availability zones of servers.
    zones: BTreeMap<ServerId, ZoneName>,
    /// Entry VMs and their availability zones.
    vms: BTreeMap<VmName, ZoneName>,
    /// Median of the observed slowness of all servers.
    median: f64,
    /// Share of each server's window that this broker may use.
    window_share: f64,
    /// Share of the limit that a server names that this broker may use.
    limit_share: f64,
    max_prefixes: usize,
    windowed: bool,
    /// This VM, if other VMs grant the same servers.
    vm: Option<VmName>,
    /// Time after which any VM may grant a free slot that the VM picked for it did not grant.
    grace: Span,
    /// Weight of the waiting tickets in the last load report to the other VMs.
    reported_weight: f64,
    /// The earliest time for the next search for unconfirmed requests.
    next_expiry: Time,
    peers: BTreeMap<VmName, PeerReport>,
    /// Slowness that servers reported to this VM since the last load report to the other VMs.
    unsent_slowness: BTreeMap<ServerId, f64>,
    versions: Versions,
}

impl Pool {
    pub(crate) fn new(max_prefixes: usize, windowed: bool, vm: Option<VmName>) -> Self {
        Self {
            servers: BTreeMap::new(),
            running: HashMap::new(),
            duties: BTreeMap::new(),
            zones: BTreeMap::new(),
            vms: BTreeMap::new(),
            median: 1.0,
            window_share: 1.0,
            limit_share: 1.0,
            max_prefixes,
            windowed,
            vm,
            grace: Span::ZERO,
            reported_weight: 0.0,
            next_expiry: Time::default(),
            peers: BTreeMap::new(),
            unsent_slowness: BTreeMap::new(),
            versions: Versions::default(),
        }
    }

    pub(crate) fn set_grace(&mut self, grace: Span) {
        self.grace = grace;
    }

    pub(crate) fn set_window_share(&mut self, share: f64) {
        self.window_share = share;
    }

    pub(crate) fn set_limit_share(&mut self, share: f64) {
        self.limit_share = share;
    }

    /// Records the limit that a server named in an answer, or that it named none.
    pub(crate) fn record_limit(
        &mut self,
        now: Time,
        id: &ServerId,
        (named, answered_at): (Option<f64>, Time),
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        match (named, &mut server.limit) {
            (Some(rate), Some(limit)) => limit.rename(rate, answered_at),
            (Some(rate), None) if answered_at > server.limit_ended_at => {
                server.limit = Some(RateLimit::new(rate, answered_at, now));
            }
            (None, Some(limit)) if limit.is_ended_by(answered_at) => {
                server.limit = None;
                server.limit_ended_at = answered_at;
            }
            _ => {}
        }
    }

    pub(crate) fn announce(&mut self, now: Time, info: Announcement) {
        let expires_at = now + info.ttl;
        if let Some(server) = self.servers.get_mut(&info.id) {
            if server.info.address != info.address {
                server.backoff = None;
            }
            server.expires_at = expires_at;
            server.info = info;
            return;
        }
        let held: Vec<_> = self.running.values().filter(|r| r.server == info.id).collect();
        let running = u32::try_from(held.len()).unwrap_or(u32::MAX);
        let work = held.iter().map(|r| r.work).sum();
        let unread = held.iter().filter(|r| !r.answer_started).map(|r| r.ticket.prompt).sum();
        let duty = self.duties.get(&info.id).copied().unwrap_or(Duty::Serving);
        let zone = self.zones.get(&info.id).cloned();
        let announced = info.prefixes.and_then(|n| usize::try_from(n).ok());
        let prefixes = PrefixMap::new(announced.unwrap_or(self.max_prefixes));
        let id = info.id.clone();
        let standing = self.versions.standing(&id);
        let fixed_cost = self.vm.as_ref().map_or(0.0, |vm| unit_hash(id.as_str(), vm.as_str()));
        let server = Server {
            info,
            zone,
            expires_at,
            duty,
            running,
            work,
            unread,
            peer_load: LoadSums::default(),
            reported: None,
            limit: None,
            limit_ended_at: Time::default(),
            free_since: None,
            released: 0,
            fixed_cost,
            predicted: 0.0,
            observed: 0.0,
            overdue: 0.0,
            probe_at: now,
            failure_rate: 0.0,
            suspended_until: Time::default(),
            backoff: None,
            prefixes,
            standing,
            tried: 0,
        };
        self.servers.insert(id, server);
        self.rebuild_peer_load();
    }

    /// Sets the availability zone of a server.
    pub(crate) fn set_zone(&mut self, id: &ServerId, zone: &ZoneName) {
        if self.zones.get(id) != Some(zone) {
            self.zones.insert(id.clone(), zone.clone());
            if let Some(server) = self.servers.get_mut(id) {
                server.zone = Some(zone.clone());
            }
        }
    }

    /// Sets the entry VMs and their availability zones.
    pub(crate) fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        self.vms = vms;
    }

    pub(crate) fn set_duty(&mut self, id: &ServerId, duty: Duty) {
        self.duties.insert(id.clone(), duty);
        if let Some(server) = self.servers.get_mut(id) {
            server.duty = duty;
        }
    }

    /// Records that the answer to a request has started, so the server has read its prompt.
    pub(crate) fn answer_started(&mut self, request: RequestId) {
        if let Some(run) = self.running.get_mut(&request)
            && !std::mem::replace(&mut run.answer_started, true)
            && let Some(server) = self.servers.get_mut(&run.server)
        {
            server.unread = server.unread.saturating_sub(run.ticket.prompt);
        }
    }

    /// Returns the slowness that a server reported while a request ran there: the mean of the
    /// values at its grant and at its end.
    pub(crate) fn reported_during(&self, now: Time, run: &Running) -> f64 {
        let at_end = self.servers.get(&run.server).and_then(|s| s.reported_slowness(now));
        f64::midpoint(run.slowness_at_grant, at_end.unwrap_or(run.slowness_at_grant))
    }

    /// Records whether a server served a request, and suspends the server if most of its requests
    /// failed.
    pub(crate) fn record_result(&mut self, now: Time, id: &ServerId, failed: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failure_rate +=
                (f64::from(u8::from(failed)) - server.failure_rate) * FAILURE_WEIGHT;
            server.backoff = None;
            if server.failure_rate > SUSPEND_ABOVE {
                server.suspended_until = now + SUSPENSION_TIME;
                server.failure_rate = SUSPEND_ABOVE;
            }
        }
    }

    /// Returns the load that this VM has placed on each server with requests in flight, without
    /// those that another broker reports.
    pub(crate) fn loads(&self) -> Vec<ServerLoad> {
        let mut loads: BTreeMap<&ServerId, ServerLoad> = BTreeMap::new();
        let own = self.running.values().filter(|r| r.handed_over.is_none());
        for run in own.filter(|r| self.servers.contains_key(&r.server)) {
            let load = loads.entry(&run.server).or_insert_with(|| ServerLoad::idle(&run.server));
            load.running += 1;
            load.work += run.work;
            if !run.answer_started {
                load.unread = load.unread.saturating_add(run.ticket.prompt);
            }
        }
        loads.into_values().collect()
    }

    /// Marks the running requests of an entry VM as reported to another broker. Their slots are
    /// freed once that broker's load report has arrived.
    pub(crate) fn hand_over(&mut self, now: Time, owner: &VmName) {
        let until = now + self.grace;
        for run in self.running.values_mut().filter(|r| r.owner == *owner) {
            run.handed_over.get_or_insert(until);
        }
    }

    fn end_handed_over(&mut self, now: Time) {
        let due = self.running.iter().filter(|(_, r)| r.handed_over.is_some_and(|at| at <= now));
        for request in due.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.end(request);
        }
    }

    /// Drops expired load reports, servers and granted requests, and updates the state from which
    /// stragglers are recognised.
    pub(crate) fn refresh(&mut self, now: Time, latency: &LatencyModel) {
        let known = self.peers.len();
        self.peers.retain(|_, p| now < p.received_at + PEER_TTL);
        if self.peers.len() < known {
            self.rebuild_peer_load();
        }
        self.servers.retain(|_, s| s.expires_at > now);
        self.end_handed_over(now);
        self.expire_grants(now);
        for server in self.servers.values_mut() {
            server.overdue = 0.0;
            server.limit = server.limit.filter(|limit| !limit.is_expired(now));
            server.free_since =
                if server.free_slots() > 0 { server.free_since.or(Some(now)) } else { None };
            if server.running == 0 {
                server.observed += (server.predicted - server.observed) * IDLE_DECAY;
            }
        }
        let mean_total = latency.mean_total();
        for run in self.running.values().filter(|_| latency.is_calibrated()) {
            if let Some(server) = self.servers.get_mut(&run.server) {
                let elapsed = (now - run.since).as_secs_f64();
                // Any request may wait behind one of mean length.
                server.overdue = server.overdue.max(elapsed / (run.work + mean_total));
            }
        }
        self.median = self.median_slowness();
    }

    /// Drops requests that were not confirmed for long, because the message of their end was lost.
    ///
    /// Does nothing if other VMs grant the same servers: messages between these VMs are not lost,
    /// and everything that belongs to a silent VM is dropped instead.
    fn expire_grants(&mut self, now: Time) {
        if now < self.next_expiry || self.vm.is_some() {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let silent = self.running.iter().filter(|(_, r)| r.confirmed_at + GRANT_TTL <= now);
        let silent: Vec<RequestId> = silent.map(|(request, _)| *request).collect();
        for request in silent {
            self.end(request);
        }
    }

    fn median_slowness(&self) -> f64 {
        let mut all: Vec<f64> = self.servers.values().map(Server::observed_slowness).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0).max(0.5)
    }

    pub(crate) fn any_serving(&self, now: Time) -> bool {
        self.serving(now).next().is_some()
    }

    /// Returns the number of requests that the serving servers can work on at once.
    pub(crate) fn capacity(&self, now: Time) -> u32 {
        self.serving(now).map(|s| s.window(self.median, self.window_share)).sum()
    }

    /// Returns the slots of the serving servers. Tickets do not wait in the pool.
    pub(crate) fn slot_usage(&self, now: Time) -> SlotUsage {
        self.serving(now).fold(SlotUsage::default(), |sum, server| SlotUsage {
            slots: sum.slots + server.info.slots,
            free: sum.free + server.grantable(now, self.limit_share),
            running: sum.running + server.running,
            reported: sum.reported + server.peer_load.running,
            ..sum
        })
    }

    fn has_capacity_on(&self, now: Time, server: &Server) -> bool {
        if !self.windowed {
            return true;
        }
        let paused = server.is_straggler(self.median) && now < server.probe_at;
        let allowed = server.limit.is_none_or(|l| l.allowance(now, self.limit_share) > 0);
        !paused && allowed && server.in_flight() < server.window(self.median, self.window_share)
    }

    /// Returns whether a server accepts a ticket: a straggler is probed with short ones only, so
    /// that few callers wait for it.
    fn accepts(&self, server: &Server, ticket: &Ticket, latency: &LatencyModel) -> bool {
        !self.windowed
            || !server.is_straggler(self.median)
            || latency.total(ticket, false) <= latency.mean_total() * PROBE_SHARE
    }

    /// Returns whether some server can take a request now.
    pub(crate) fn has_capacity(&self, now: Time) -> bool {
        self.serving(now).any(|s| self.has_capacity_on(now, s))
    }

    /// Returns the ticket that wastes the least prefill if it is granted now: the first whose
    /// prefix is probably cached by a server with a free slot, else the first whose prefix no
    /// server has cached. The others are better served by a server that has no free slot yet.
    pub(crate) fn least_waste<'a>(
        &self,
        now: Time,
        tickets: impl Iterator<Item = &'a Ticket>,
    ) -> Option<&'a Ticket> {
        let (free, busy): (Vec<&Server>, Vec<&Server>) =
            self.serving(now).partition(|s| self.has_capacity_on(now, s));
        let holds =
            |servers: &[&Server], t: &Ticket| servers.iter().any(|s| s.prefixes.holds(t.prefix));
        let mut cold = None;
        for ticket in tickets {
            if holds(&free, ticket) {
                return Some(ticket);
            }
            if cold.is_none() && !holds(&busy, ticket) {
                cold = Some(ticket);
            }
        }
        cold
    }

    /// Chooses a server with a free slot for a ticket with a hard deadline.
    pub(crate) fn choose(
        &self,
        now: Time,
        (ticket, avoid): (&Ticket, &[ServerId]),
        latency: &LatencyModel,
        router: &mut dyn Router,
    ) -> Option<ServerId> {
        let free = self.serving(now).filter(|s| self.has_capacity_on(now, s));
        let free = free.filter(|s| !avoid.contains(&s.info.id) && self.accepts(s, ticket, latency));
        let candidates: Vec<_> = free
            .map(|s| Candidate {
                id: &s.info.id,
                slots: s.info.slots,
                running: s.in_flight(),
                reported_load: s.info.load,
                work: s.work + s.peer_load.work,
                added_work: latency.total(ticket, s.prefixes.holds(ticket.prefix)),
                slowness: s.slowness(),
            })
            .collect();
        let chosen = router.choose(&candidates)?;
        Some(candidates[chosen].id.clone())
    }

    /// Starts a request on a server that takes new work, and returns the server's address, or
    /// `None` if the server is not known.
    pub(crate) fn start(
        &mut self,
        now: Time,
        (ticket, owner, soft): (Ticket, VmName, bool),
        id: &ServerId,
        latency: &LatencyModel,
        source: SlotSource,
    ) -> Option<SocketAddr> {
        let server = self.servers.get_mut(id)?;
        Invariant::LeavingServer.check(server.duty == Duty::Serving);
        // A cancelled request's slot does not add to the window: requests reported to a broker that
        // took over may already exceed it.
        let fits = source == SlotSource::Cancelled || server.running < server.info.slots;
        Invariant::Window.check(!self.windowed || fits);
        if let Some(limit) = &mut server.limit {
            let allowed = limit.allowance(now, self.limit_share) > 0;
            Invariant::ServerLimit.check(source == SlotSource::Cancelled || allowed);
            limit.record_grant(now, self.limit_share);
        }
        let work = latency.total(&ticket, server.prefixes.holds(ticket.prefix));
        if server.is_straggler(self.median) {
            server.probe_at = now + PROBE_INTERVAL;
        }
        let unread = server.state(now).unread;
        let slowness_at_grant = server.reported_slowness(now).unwrap_or(1.0);
        server.released = server.released.saturating_sub(1);
        server.running += 1;
        server.tried += u32::from(server.standing == Standing::Trial);
        self.versions.record(server.standing);
        server.work += work;
        server.unread = server.unread.saturating_add(ticket.prompt);
        server.prefixes.touch(ticket.prefix);
        let address = server.info.address;
        let run = Running {
            owner,
            server: id.clone(),
            since: now,
            address: Some(address),
            confirmed_at: now,
            work,
            soft,
            unread,
            slowness_at_grant,
            answer_started: false,
            handed_over: None,
            ticket,
        };
        let old = self.running.insert(run.ticket.request, run);
        Invariant::OneDispatch.check(old.is_none());
        Some(address)
    }

    /// Takes over a request that another broker granted, or records that a known one still runs.
    pub(crate) fn adopt(&mut self, now: Time, running: RunningRequest, latency: &LatencyModel) {
        if let Some(run) = self.running.get_mut(&running.ticket.request) {
            run.confirmed_at = now;
            run.handed_over = None;
            return;
        }
        let work = latency.total(&running.ticket, false);
        if let Some(server) = self.servers.get_mut(&running.server) {
            server.running += 1;
            server.work += work;
            server.unread = server.unread.saturating_add(running.ticket.prompt);
        }
        let RunningRequest { ticket, owner, server } = running;
        let run = Running {
            owner,
            server,
            since: now,
            address: None,
            confirmed_at: now,
            work,
            soft: self.vm.is_some(),
            unread: 0.0,
            slowness_at_grant: 1.0,
            answer_started: false,
            handed_over: None,
            ticket,
        };
        self.running.insert(run.ticket.request, run);
    }

    /// Ends a request and frees its slot.
    pub(crate) fn end(&mut self, request: RequestId) -> Option<Running> {
        let run = self.running.remove(&request)?;
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.running = server.running.saturating_sub(1);
            server.released += 1;
            server.work = if server.running == 0 { 0.0 } else { (server.work - run.work).max(0.0) };
            if !run.answer_started {
                server.unread = server.unread.saturating_sub(run.ticket.prompt);
            }
        }
        Some(run)
    }

    /// Updates a server's speed from one finished request. One ordinary answer ends a server's time
    /// as a straggler: probes are rare, and decay by many of them would take minutes.
    pub(crate) fn observe(&mut self, id: &ServerId, predicted: f64, total: Span) {
        let median = self.median;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let observed = total.as_secs_f64();
        if server.is_straggler(median) && observed <= predicted * RECOVERED_RATIO * median {
            server.observed = server.predicted;
        }
        server.predicted = server.predicted * SUM_DECAY + predicted;
        server.observed = server.observed * SUM_DECAY + observed;
    }

    /// Counts a failure as a very slow answer, so that the server gets only probes for a while.
    pub(crate) fn penalize(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.observed = (server.predicted + PRIOR_S) * STRAGGLER_RATIO * 2.0;
        }
    }

    /// Leaves out a server that refused a connection: until it announces itself again, or, where
    /// servers do not announce themselves to this broker, for the time of its backoff.
    pub(crate) fn connection_refused(&mut self, now: Time, id: &ServerId) {
        if self.vm.is_none() {
            self.remove(id);
        } else if let Some(server) = self.servers.get_mut(id) {
            server.connection_refused(now);
        }
    }

    pub(crate) fn remove(&mut self, id: &ServerId) {
        self.servers.remove(id);
        self.versions.remove(id);
    }

    /// Returns the running request to cancel first for a ticket of `tier`: of the lowest tier, the
    /// one granted last, on which the least work was spent.
    pub(crate) fn victim(&self, now: Time, tier: Tier) -> Option<RequestId> {
        let streams = self.running.values().filter(|r| r.ticket.cancellable);
        let lower = streams.filter(|r| tier.outranks(r.ticket.tier));
        let serving = |r: &&Running| {
            self.servers
                .get(&r.server)
                .is_some_and(|s| s.duty == Duty::Serving && s.expires_at > now)
        };
        lower
            .filter(serving)
            .max_by_key(|r| (r.ticket.tier, r.since, r.ticket.request))
            .map(|r| r.ticket.request)
    }

    /// Returns a granted request. Its server may have expired since.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Running> {
        self.running.get(&request)
    }

    /// Returns the duty that operators, or the server itself, declared for a server.
    pub(crate) fn duty(&self, id: &ServerId) -> Duty {
        self.duties.get(id).copied().unwrap_or(Duty::Serving)
    }

    /// Returns the granted requests that this entry VM holds.
    pub(crate) fn owned_by(&self, vm: &VmName) -> Vec<RequestId> {
        let runs = self.running.values().filter(|r| r.owner == *vm);
        runs.map(|r| r.ticket.request).collect()
    }

    pub(crate) fn running_len(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn servers(&self) -> impl Iterator<Item = (&Announcement, Duty, u32, f64)> {
        self.servers.values().map(|s| (&s.info, s.duty, s.running, s.slowness()))
    }
}
