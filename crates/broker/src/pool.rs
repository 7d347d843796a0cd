//! The backend servers of one service in one zone, and what runs on them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use model::{
    Announcement, Duty, Invariant, RequestId, ServerId, Span, Ticket, Tier, Time, VmName, ZoneName,
    lot,
};

use crate::{
    action::{Action, RunningRequest, ServerLoad},
    pace::Pace,
    prefix::PrefixMap,
    route::{Candidate, Router},
};

mod others;
mod place;
mod server;

use self::{
    others::Others,
    server::{PRIOR_S, STRAGGLER_RATIO, Server, Sums},
};

pub(crate) use self::place::Board;

/// Slowness of an answer up to which a straggler counts as recovered.
const RECOVERED_RATIO: f64 = 1.5;
/// Longest probe, relative to a request of ordinary length.
const PROBE_SHARE: f64 = 0.6;
/// Shortest time between two probes of one server.
const PROBE_INTERVAL: Span = Span::from_secs(8);
/// Share by which an idle straggler's slowness decays to 1 at each check.
const FORGIVE_RATE: f64 = 0.000_5;
/// Share of the old sums kept at each observation of a server.
const FADE: f64 = 0.85;

/// Weight of the newest request in the share of those that failed.
const FAILURE_WEIGHT: f64 = 0.25;
/// Share of failures above which a server rests: three in a row, not one in a few.
const REST_ABOVE: f64 = 0.55;
/// Length of a rest: about the time in which a crashed server is back or noticed to be gone.
const REST_TIME: Span = Span::from_millis(1_500);

/// Time after which a granted request of which nothing is heard is given up: several refreshes by
/// its entry VM.
const GRANT_LAPSE: Span = Span::from_secs(12);
/// Interval at which such requests are looked for.
const GIVE_UP_INTERVAL: Span = Span::from_secs(2);
/// Silence of another VM after which what it had in flight no longer counts: several times the
/// interval at which VMs tell each other.
const OTHERS_LAPSE: Span = Span::from_millis(1_000);

/// A granted request.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) ticket: Ticket,
    pub(crate) owner: VmName,
    pub(crate) server: ServerId,
    pub(crate) since: Time,
    /// Where the server listened when the request was granted; unknown for one taken over.
    address: Option<SocketAddr>,
    /// When the owner last said that the request runs.
    heard: Time,
    work: f64,
    /// Whether its ticket was of use when late.
    pub(crate) late: bool,
    /// Prompt tokens that its server had to read before.
    pub(crate) unread: f64,
    /// How long work took at its server when it was granted, by the server's own word.
    said: f64,
    /// Whether its answer has begun.
    begun: bool,
}

impl Running {
    /// The grant again, as it was made.
    pub(crate) fn grant(&self) -> Option<Action> {
        Some(Action::Grant {
            request: self.ticket.request,
            owner: self.owner.clone(),
            server: self.server.clone(),
            address: self.address?,
        })
    }
}

/// What a grant takes of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Take {
    /// Room within the window.
    Room,
    /// The slot of a request that was cancelled for it.
    Slot,
}

/// Servers and granted requests.
#[derive(Debug)]
pub(crate) struct Pool {
    servers: BTreeMap<ServerId, Server>,
    running: HashMap<RequestId, Running>,
    duties: BTreeMap<ServerId, Duty>,
    /// Availability zones of servers.
    zones: BTreeMap<ServerId, ZoneName>,
    /// Entry VMs with their availability zones.
    vms: BTreeMap<VmName, ZoneName>,
    median: f64,
    share: f64,
    max_prefixes: usize,
    windowed: bool,
    /// This VM, if other VMs grant the same servers.
    vm: Option<VmName>,
    /// Time after which room is anyone's that the VM with the first right to it did not take.
    grace: Span,
    /// Weight of what the other VMs were told to wait here.
    claimed: f64,
    give_up_at: Time,
    others: BTreeMap<VmName, Others>,
    /// What servers said of their speed since the other VMs were told.
    news: BTreeMap<ServerId, f64>,
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
            share: 1.0,
            max_prefixes,
            windowed,
            vm,
            grace: Span::ZERO,
            claimed: 0.0,
            give_up_at: Time::default(),
            others: BTreeMap::new(),
            news: BTreeMap::new(),
        }
    }

    pub(crate) fn set_grace(&mut self, grace: Span) {
        self.grace = grace;
    }

    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    pub(crate) fn announce(&mut self, now: Time, info: Announcement) {
        let lapses = now + info.ttl;
        if let Some(server) = self.servers.get_mut(&info.id) {
            if server.info.address != info.address {
                server.absence = None;
            }
            server.lapses = lapses;
            server.info = info;
            return;
        }
        let held: Vec<_> = self.running.values().filter(|r| r.server == info.id).collect();
        let running = u32::try_from(held.len()).unwrap_or(u32::MAX);
        let work = held.iter().map(|r| r.work).sum();
        let unread = held.iter().filter(|r| !r.begun).map(|r| r.ticket.prompt).sum();
        let duty = self.duties.get(&info.id).copied().unwrap_or(Duty::Serving);
        let zone = self.zones.get(&info.id).cloned();
        let announced = info.prefixes.and_then(|n| usize::try_from(n).ok());
        let prefixes = PrefixMap::new(announced.unwrap_or(self.max_prefixes));
        let id = info.id.clone();
        let dislike = self.vm.as_ref().map_or(0.0, |vm| lot(id.as_str(), vm.as_str()));
        let server = Server {
            info,
            zone,
            lapses,
            duty,
            running,
            work,
            unread,
            elsewhere: Sums::default(),
            reported: None,
            free_since: None,
            released: 0,
            dislike,
            predicted: 0.0,
            observed: 0.0,
            overdue: 0.0,
            probe_at: now,
            failing: 0.0,
            rest_until: Time::default(),
            absence: None,
            prefixes,
        };
        self.servers.insert(id, server);
        self.sum_others();
    }

    /// Notes in which availability zone a server is.
    pub(crate) fn locate(&mut self, id: &ServerId, zone: &ZoneName) {
        if self.zones.get(id) != Some(zone) {
            self.zones.insert(id.clone(), zone.clone());
            if let Some(server) = self.servers.get_mut(id) {
                server.zone = Some(zone.clone());
            }
        }
    }

    /// Takes the entry VMs, with their availability zones.
    pub(crate) fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        self.vms = vms;
    }

    pub(crate) fn mark(&mut self, id: &ServerId, duty: Duty) {
        self.duties.insert(id.clone(), duty);
        if let Some(server) = self.servers.get_mut(id) {
            server.duty = duty;
        }
    }

    /// Notes that the answer to a request has begun, so its prompt is read.
    pub(crate) fn begun(&mut self, request: RequestId) {
        if let Some(run) = self.running.get_mut(&request)
            && !std::mem::replace(&mut run.begun, true)
            && let Some(server) = self.servers.get_mut(&run.server)
        {
            server.unread = server.unread.saturating_sub(run.ticket.prompt);
        }
    }

    /// How long work took at a server while a request ran there, by the server's own word.
    pub(crate) fn said_during(&self, now: Time, run: &Running) -> f64 {
        let at_end = self.servers.get(&run.server).and_then(|s| s.said(now));
        f64::midpoint(run.said, at_end.unwrap_or(run.said))
    }

    /// Notes whether a server served a request, and lets it rest when most of its requests failed.
    pub(crate) fn note_result(&mut self, now: Time, id: &ServerId, failed: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failing += (f64::from(u8::from(failed)) - server.failing) * FAILURE_WEIGHT;
            server.absence = None;
            if server.failing > REST_ABOVE {
                server.rest_until = now + REST_TIME;
                server.failing = REST_ABOVE;
            }
        }
    }

    /// What this VM has in flight, by server.
    pub(crate) fn loads(&self) -> impl Iterator<Item = ServerLoad> {
        let busy = self.servers.iter().filter(|(_, s)| s.running > 0);
        busy.map(|(id, s)| {
            let (id, running, work, unread) = (id.clone(), s.running, s.work, s.unread);
            ServerLoad { id, running, work, unread }
        })
    }

    /// Drops servers whose announcement lapsed, and looks for stragglers.
    pub(crate) fn refresh(&mut self, now: Time, pace: &Pace) {
        let known = self.others.len();
        self.others.retain(|_, o| now < o.heard + OTHERS_LAPSE);
        if self.others.len() < known {
            self.sum_others();
        }
        self.servers.retain(|_, s| s.lapses > now);
        self.give_up(now);
        for server in self.servers.values_mut() {
            server.overdue = 0.0;
            server.free_since =
                if server.room() > 0 { server.free_since.or(Some(now)) } else { None };
            if server.running == 0 {
                server.observed += (server.predicted - server.observed) * FORGIVE_RATE;
            }
        }
        let usual = pace.usual();
        for run in self.running.values().filter(|_| pace.is_known()) {
            if let Some(server) = self.servers.get_mut(&run.server) {
                let elapsed = (now - run.since).as_secs_f64();
                // Anything may wait behind one request of ordinary length.
                server.overdue = server.overdue.max(elapsed / (run.work + usual));
            }
        }
        self.median = self.median_slowness();
    }

    /// Ends requests of which nothing was heard for long: the message of their end was lost. Where
    /// VMs lose no messages, all that belongs to a silent VM is dropped instead.
    fn give_up(&mut self, now: Time) {
        if now < self.give_up_at || self.vm.is_some() {
            return;
        }
        self.give_up_at = now + GIVE_UP_INTERVAL;
        let silent = self.running.iter().filter(|(_, r)| r.heard + GRANT_LAPSE <= now);
        let silent: Vec<RequestId> = silent.map(|(request, _)| *request).collect();
        for request in silent {
            self.end(request);
        }
    }

    fn median_slowness(&self) -> f64 {
        let mut all: Vec<f64> = self.servers.values().map(Server::measured).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0).max(0.5)
    }

    /// Servers that take new work.
    fn serving(&self, now: Time) -> impl Iterator<Item = &Server> {
        let serves = move |s: &&Server| s.duty == Duty::Serving && s.lapses > now;
        self.servers.values().filter(serves).filter(move |s| !s.is_absent(now))
    }

    pub(crate) fn any_serving(&self, now: Time) -> bool {
        self.serving(now).next().is_some()
    }

    /// Requests that the serving servers can work on at once.
    pub(crate) fn capacity(&self, now: Time) -> u32 {
        self.serving(now).map(|s| s.window(self.median, self.share)).sum()
    }

    fn has_room_on(&self, now: Time, server: &Server) -> bool {
        if !self.windowed {
            return true;
        }
        let rests = server.straggles(self.median) && now < server.probe_at;
        !rests && server.in_flight() < server.window(self.median, self.share)
    }

    /// Whether a ticket may go to a server: one that straggles is probed with short ones only, so
    /// that few callers wait for it.
    fn suits(&self, server: &Server, ticket: &Ticket, pace: &Pace) -> bool {
        !self.windowed
            || !server.straggles(self.median)
            || pace.total(ticket, false) <= pace.usual() * PROBE_SHARE
    }

    /// Whether some server has room.
    pub(crate) fn has_room(&self, now: Time) -> bool {
        self.serving(now).any(|s| self.has_room_on(now, s))
    }

    /// Which of these tickets, in their order, wastes the least prefill if it is granted now: one
    /// whose prefix a server with room probably holds, then one whose prefix no server holds. The
    /// others are better served by a server that has no room yet.
    pub(crate) fn least_waste<'a>(
        &self,
        now: Time,
        tickets: impl Iterator<Item = &'a Ticket>,
    ) -> Option<&'a Ticket> {
        let (free, busy): (Vec<&Server>, Vec<&Server>) =
            self.serving(now).partition(|s| self.has_room_on(now, s));
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

    /// Chooses a server with room for this ticket.
    pub(crate) fn choose(
        &self,
        now: Time,
        (ticket, avoid): (&Ticket, &[ServerId]),
        pace: &Pace,
        router: &mut dyn Router,
    ) -> Option<ServerId> {
        let room = self.serving(now).filter(|s| self.has_room_on(now, s));
        let room = room.filter(|s| !avoid.contains(&s.info.id) && self.suits(s, ticket, pace));
        let candidates: Vec<_> = room
            .map(|s| Candidate {
                id: &s.info.id,
                slots: s.info.slots,
                running: s.in_flight(),
                reported: s.info.load,
                work: s.work + s.elsewhere.work,
                added: pace.total(ticket, s.prefixes.holds(ticket.prefix)),
                slowness: s.slowness(),
            })
            .collect();
        let chosen = router.choose(&candidates)?;
        Some(candidates[chosen].id.clone())
    }

    /// Starts a request on a server, which must take new work.
    pub(crate) fn start(
        &mut self,
        now: Time,
        (ticket, owner, late): (Ticket, VmName, bool),
        id: &ServerId,
        pace: &Pace,
        take: Take,
    ) -> Option<SocketAddr> {
        let server = self.servers.get_mut(id)?;
        Invariant::LeavingServer.check(server.duty == Duty::Serving);
        // A taken slot is no new one: requests reported to a broker that took over may already
        // exceed the window.
        let room = take == Take::Slot || server.running < server.info.slots;
        Invariant::Window.check(!self.windowed || room);
        let work = pace.total(&ticket, server.prefixes.holds(ticket.prefix));
        if server.straggles(self.median) {
            server.probe_at = now + PROBE_INTERVAL;
        }
        let unread = server.standing(now).unread;
        let said = server.said(now).unwrap_or(1.0);
        server.released = server.released.saturating_sub(1);
        server.running += 1;
        server.work += work;
        server.unread = server.unread.saturating_add(ticket.prompt);
        server.prefixes.touch(ticket.prefix);
        let address = server.info.address;
        let run = Running {
            owner,
            server: id.clone(),
            since: now,
            address: Some(address),
            heard: now,
            work,
            late,
            unread,
            said,
            begun: false,
            ticket,
        };
        let old = self.running.insert(run.ticket.request, run);
        Invariant::OneDispatch.check(old.is_none());
        Some(address)
    }

    /// Takes over a request that another broker granted, or hears that one still runs.
    pub(crate) fn adopt(&mut self, now: Time, placed: RunningRequest, pace: &Pace) {
        if let Some(run) = self.running.get_mut(&placed.ticket.request) {
            run.heard = now;
            return;
        }
        let work = pace.total(&placed.ticket, false);
        if let Some(server) = self.servers.get_mut(&placed.server) {
            server.running += 1;
            server.work += work;
            server.unread = server.unread.saturating_add(placed.ticket.prompt);
        }
        let RunningRequest { ticket, owner, server } = placed;
        let run = Running {
            owner,
            server,
            since: now,
            address: None,
            heard: now,
            work,
            late: self.vm.is_some(),
            unread: 0.0,
            said: 1.0,
            begun: false,
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
            if !run.begun {
                server.unread = server.unread.saturating_sub(run.ticket.prompt);
            }
        }
        Some(run)
    }

    /// Learns a server's speed from one finished request. One ordinary answer ends a server's
    /// time as a straggler: probes are rare, and forgetting by many of them would take minutes.
    pub(crate) fn observe(&mut self, id: &ServerId, predicted: f64, total: Span) {
        let median = self.median;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let observed = total.as_secs_f64();
        if server.straggles(median) && observed <= predicted * RECOVERED_RATIO * median {
            server.observed = server.predicted;
        }
        server.predicted = server.predicted * FADE + predicted;
        server.observed = server.observed * FADE + observed;
    }

    /// Counts a failure as a very slow answer, so that the server gets only probes for a while.
    pub(crate) fn penalize(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.observed = (server.predicted + PRIOR_S) * STRAGGLER_RATIO * 2.0;
        }
    }

    /// Leaves out a server that refused a connection: until it announces itself again, or, where
    /// servers do not announce themselves to this broker, for a while.
    pub(crate) fn refuse(&mut self, now: Time, id: &ServerId) {
        if self.vm.is_none() {
            self.lapse(id);
        } else if let Some(server) = self.servers.get_mut(id) {
            server.refuse(now);
        }
    }

    /// Forgets a server.
    pub(crate) fn lapse(&mut self, id: &ServerId) {
        self.servers.remove(id);
    }

    /// The running request to cancel first for a ticket of `tier`: of the lowest tier, the one
    /// with the least work spent on it.
    pub(crate) fn victim(&self, now: Time, tier: Tier) -> Option<RequestId> {
        let streams = self.running.values().filter(|r| r.ticket.cancellable);
        let lower = streams.filter(|r| tier.outranks(r.ticket.tier));
        let serving = |r: &&Running| {
            self.servers.get(&r.server).is_some_and(|s| s.duty == Duty::Serving && s.lapses > now)
        };
        lower
            .filter(serving)
            .max_by_key(|r| (r.ticket.tier, r.since, r.ticket.request))
            .map(|r| r.ticket.request)
    }

    /// A granted request. Its server may have lapsed since.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Running> {
        self.running.get(&request)
    }

    /// What operators, or the server itself, said of its work.
    pub(crate) fn duty(&self, id: &ServerId) -> Duty {
        self.duties.get(id).copied().unwrap_or(Duty::Serving)
    }

    /// Requests that this entry VM owns.
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
