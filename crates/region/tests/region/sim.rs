//! VMs, the network between them, and servers, one millisecond at a time.

use std::collections::{BTreeMap, BTreeSet};

use broker::{LateLimits, Offer};
use model::{
    Announcement, Duty, Fencing, Kind, Outcome, RequestId, ServerId, ServiceName, Span, Ticket,
    Tier, Time, VmName, ZoneName,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use region::{Frame, Gossip, GrantDecision, Region};

pub(crate) const SERVERS: usize = 12;
pub(crate) const SLOTS: usize = 3;
/// Time that a server takes for a request.
const SERVICE_TIME: Span = Span::from_millis(60);
/// Time for which a request waits for a server.
const WAIT: Span = Span::from_secs(20);
/// Interval at which VMs tell each other their homes.
const TELL_MS: u64 = 50;
/// Interval of ticks.
const TICK_MS: u64 = 10;
const STEP: Span = Span::from_millis(1);

#[derive(Clone)]
enum Datagram {
    Gossip(VmName, Gossip),
    Frame(Frame),
}

struct Vm {
    region: Region,
    /// Until when it does nothing.
    frozen: Time,
    alive: bool,
}

/// What became of a request.
struct Request {
    vm: usize,
    tier: u8,
    submitted: Time,
    decided: bool,
}

pub(crate) struct Sim {
    vms: Vec<Vm>,
    rng: SmallRng,
    pub(crate) now: Time,
    steps: u64,
    /// Datagrams on their way, by arrival.
    network: BTreeMap<(Time, u64), (usize, usize, Datagram)>,
    sent: u64,
    /// Share of datagrams that are lost, and the longest delay in microseconds.
    pub(crate) loss: f64,
    pub(crate) delay_us: u64,
    /// VMs that hear only each other.
    apart: BTreeSet<usize>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests at servers, with the time at which they end.
    at_servers: BTreeMap<RequestId, (usize, Time)>,
    /// When a request of which tier was granted.
    granted: Vec<(Time, u8)>,
    /// The most requests beyond its slots that a server ever had.
    pub(crate) most_excess: usize,
    incarnations: u64,
    asked: u128,
}

fn vm_name(n: usize) -> VmName {
    VmName::try_from(format!("vm-{n}")).unwrap()
}

fn index(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

fn server_id(n: usize) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

fn service() -> ServiceName {
    "loom-model".try_into().unwrap()
}

fn zone() -> ZoneName {
    "zone-a".try_into().unwrap()
}

fn announcement(n: usize) -> Announcement {
    Announcement {
        id: server_id(n),
        service: service(),
        kind: Kind::Model,
        address: ([127, 0, 0, 1], 1_000 + u16::try_from(n).unwrap()).into(),
        slots: u32::try_from(SLOTS).unwrap(),
        generation: 1,
        fencing: Fencing::Ignores,
        ttl: Span::from_secs(3_600),
        load: 0,
        prefixes: None,
    }
}

impl Sim {
    pub(crate) fn start(vms: usize, seed: u64) -> Self {
        let mut sim = Self {
            vms: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_micros(1_000_000),
            steps: 0,
            network: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            delay_us: 500,
            apart: BTreeSet::new(),
            requests: BTreeMap::new(),
            at_servers: BTreeMap::new(),
            granted: Vec::new(),
            most_excess: 0,
            incarnations: 0,
            asked: 0,
        };
        for n in 0..vms {
            let vm = sim.process(n);
            sim.vms.push(vm);
        }
        sim
    }

    fn process(&mut self, n: usize) -> Vm {
        self.incarnations += 1;
        let mut region = Region::new(vm_name(n), self.incarnations);
        for server in 0..SERVERS {
            let id = server_id(server);
            let told = (Duty::Serving, Some(announcement(server)));
            region.update_server(self.now, &service(), (&id, &zone()), told);
        }
        Vm { region, frozen: Time::default(), alive: true }
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until nothing waits and nothing runs, or all waiting is over.
    pub(crate) fn drain(&mut self) {
        let end = self.now + WAIT + WAIT;
        while self.now < end && (self.undecided() > 0 || self.running() > 0) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        self.serve();
        while let Some(entry) = self.network.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, datagram) = entry.remove();
            if self.acts(to) && self.connected(from, to) {
                let (now, region) = (self.now, &mut self.vms[to].region);
                match datagram {
                    Datagram::Gossip(vm, gossip) => region.receive_gossip(now, &vm, gossip),
                    Datagram::Frame(frame) => region.receive_frame(now, frame),
                }
                self.after(to);
            }
        }
        for n in 0..self.vms.len() {
            let at = self.steps + 3 * n as u64;
            if self.acts(n) && at.is_multiple_of(TICK_MS) {
                self.vms[n].region.tick(self.now);
                self.after(n);
            }
            if self.acts(n) && (at.is_multiple_of(TELL_MS) || self.vms[n].region.has_changes()) {
                let gossip = self.vms[n].region.gossip(self.now);
                for to in (0..self.vms.len()).filter(|to| *to != n) {
                    self.send(n, to, &Datagram::Gossip(vm_name(n), gossip.clone()));
                }
            }
        }
    }

    /// Ends what servers have finished.
    fn serve(&mut self) {
        let done = self.at_servers.iter().filter(|(_, (_, end))| *end <= self.now);
        let done: Vec<RequestId> = done.map(|(request, _)| *request).collect();
        for request in done {
            let vm = self.requests[&request].vm;
            if !self.acts(vm) {
                continue;
            }
            self.at_servers.remove(&request);
            let outcome = Outcome::Done { first: SERVICE_TIME, total: SERVICE_TIME, tokens: 1 };
            self.vms[vm].region.finish(self.now, &service(), (request, outcome));
            self.after(vm);
        }
    }

    fn acts(&self, n: usize) -> bool {
        self.vms[n].alive && self.vms[n].frozen <= self.now
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        self.apart.contains(&from) == self.apart.contains(&to)
    }

    /// Carries out what a VM decided and sent.
    fn after(&mut self, n: usize) {
        let region = &mut self.vms[n].region;
        region.flush(self.now);
        let (decided, frames) = (region.take_decisions(), region.take_frames());
        region.take_notices();
        for (to, frame) in frames {
            self.send(n, index(to.as_str()), &Datagram::Frame(frame));
        }
        for decided in decided {
            match decided {
                GrantDecision::Granted { request, server, .. } => {
                    let open = self.decide(n, request);
                    let tier = open.tier;
                    self.granted.push((self.now, tier));
                    let place = (index(server.as_str()), self.now + SERVICE_TIME);
                    self.at_servers.insert(request, place);
                    self.most_excess = self.most_excess.max(self.excess());
                }
                GrantDecision::Declined { request, .. } => {
                    self.decide(n, request);
                }
            }
        }
    }

    fn decide(&mut self, n: usize, request: RequestId) -> &Request {
        let open = self.requests.get_mut(&request).expect("only what was asked for is decided");
        assert_eq!(open.vm, n, "only the VM that asked is told");
        assert!(!std::mem::replace(&mut open.decided, true), "decided twice");
        open
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        // One in a hundred datagrams of a bad network comes twice.
        let copies = if self.loss > 0.0 && self.rng.random_bool(0.01) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.sent += 1;
            let delay = Span::from_micros(self.rng.random_range(200..=self.delay_us));
            self.network.insert((self.now + delay, self.sent), (from, to, datagram.clone()));
        }
    }

    pub(crate) fn submit(&mut self, vm: usize, tier: u8) {
        if !self.acts(vm) {
            return;
        }
        self.asked += 1;
        let request = RequestId::from(self.asked);
        let ticket = Ticket {
            request,
            account: "north-workshop".try_into().unwrap(),
            service: service(),
            tier: Tier::try_from(tier).unwrap(),
            budget: WAIT,
            prompt: 100,
            answer: 1,
            prefix: 0,
            cancellable: false,
        };
        let late = Some(LateLimits { wait: WAIT, whole: WAIT + WAIT, pause: Span::ZERO });
        let offer = Offer { ticket, owner: vm_name(vm), urgent: true, avoid: Vec::new(), late };
        let submitted = self.now;
        self.requests.insert(request, Request { vm, tier, submitted, decided: false });
        self.vms[vm].region.submit(self.now, offer);
        self.after(vm);
    }

    /// Ends a VM's process: its callers' connections and those to servers break.
    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].alive = false;
        let own: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| r.vm == vm).map(|(id, _)| *id).collect();
        for request in own {
            self.at_servers.remove(&request);
            self.requests.remove(&request);
        }
    }

    /// Starts a VM's process again.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.vms[vm] = self.process(vm);
    }

    pub(crate) fn is_alive(&self, vm: usize) -> bool {
        self.vms[vm].alive
    }

    pub(crate) fn freeze(&mut self, vm: usize, time: Span) {
        self.vms[vm].frozen = self.now + time;
    }

    /// Announces that a VM is about to stop.
    pub(crate) fn stop(&mut self, vm: usize) {
        self.vms[vm].region.set_eligible(false);
    }

    /// Cuts these VMs off from the others.
    pub(crate) fn cut(&mut self, vms: &[usize]) {
        self.apart = vms.iter().copied().collect();
    }

    pub(crate) fn heal(&mut self) {
        self.apart.clear();
    }

    /// Tells one VM that a server leaves.
    pub(crate) fn retire(&mut self, vm: usize, server: usize) {
        let (id, announcement) = (server_id(server), announcement(server));
        let told = (Duty::Leaving, Some(announcement));
        self.vms[vm].region.update_server(self.now, &service(), (&id, &zone()), told);
    }

    /// The home of the service that a VM has chosen.
    pub(crate) fn home(&mut self, vm: usize) -> usize {
        let gossip = self.vms[vm].region.gossip(self.now);
        let (_, home) = gossip.homes.iter().find(|(s, _)| *s == service()).unwrap();
        index(home.as_str())
    }

    pub(crate) fn running(&self) -> usize {
        self.at_servers.len()
    }

    pub(crate) fn running_at(&self, server: usize) -> usize {
        self.at_servers.values().filter(|(s, _)| *s == server).count()
    }

    /// Requests at servers beyond their slots.
    pub(crate) fn excess(&self) -> usize {
        (0..SERVERS).map(|s| self.running_at(s).saturating_sub(SLOTS)).sum()
    }

    /// When requests were granted, and their tiers.
    pub(crate) fn granted(&self) -> &[(Time, u8)] {
        &self.granted
    }

    pub(crate) fn undecided(&self) -> usize {
        self.requests.values().filter(|r| !r.decided).count()
    }

    /// The longest time for which a request that is not decided yet has waited.
    pub(crate) fn longest_wait(&self) -> Span {
        let waiting = self.requests.values().filter(|r| !r.decided);
        waiting.map(|r| self.now - r.submitted).max().unwrap_or(Span::ZERO)
    }
}
