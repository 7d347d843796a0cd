//! Randomized simulation of four machines in three zones under failures, with a fixed seed per run.
//!
//! Links keep their order, as the real ones do, but lose and delay messages and are cut silently;
//! processes crash and lose all writes that were not synced. Backend servers, callers and operators
//! are simulated. Asserted throughout: a request is granted at most once and never after it was
//! refused; an idempotency key runs at most once; of two edits with the same base one is accepted,
//! and no accepted edit is lost; a server that left gets no grant afterwards; revisions do not
//! decrease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use control::{Answer, Clock, Contact, Input, Machine, Message, Output, PeerSetup, Setup, Status};
use model::{
    Announcement, Duty, Edit, EditId, EditOutcome, Entry, Fencing, Kind, Outcome, RawEntry,
    RequestId, ServerId, Span, Ticket, Tier, VmName, ZoneName,
};
use raft::{Member, StoredState, WriteBatch};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state::{ClaimKey, ClaimOutcome, Command, Placement};

const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-a"];
const VMS: usize = ZONES.len();
const FOUNDERS: usize = 3;
/// Simulated time of one step in milliseconds.
const STEP_MS: u64 = 10;
/// Steps of one run, and of its end, in which no VM crashes and no link is cut.
const STEPS: (u64, u64) = (2_500, 1_500);
/// Steps without load after which no request may count as running.
const LEAK_STEPS: u64 = 1_800;
/// Time after which a server that left may get no grant, in milliseconds.
const LEAVE_GRACE_MS: u64 = 3_000;

struct Vm {
    machine: Option<Machine>,
    disk: Option<StoredState>,
    /// Unsynced writes: batch id, cluster id and batch.
    writes: VecDeque<(u64, u64, WriteBatch)>,
    incarnation: u64,
    revision: u64,
    contact: Option<Contact>,
    /// Unanswered calls of operators and claims, by call id.
    calls: BTreeMap<u64, Call>,
}

#[derive(Clone)]
enum Call {
    Edit(EditId),
    Claim(ClaimKey),
    Mark(ServerId),
    Place(ServerId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Open,
    Granted,
    Refused,
    Ended,
}

struct Simulation {
    rng: StdRng,
    now: u64,
    vms: Vec<Vm>,
    /// Messages on each link from one node to another, with their times of arrival.
    links: BTreeMap<(usize, usize), VecDeque<(u64, Message)>>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Owning node, deadline and state of each request.
    requests: BTreeMap<RequestId, (usize, u64, RequestState)>,
    /// Granted requests: time of their end, owning node and id.
    running: Vec<(u64, usize, RequestId)>,
    /// How often each idempotency key was claimed with success.
    key_runs: BTreeMap<ClaimKey, u32>,
    /// Revision of each accepted edit.
    accepted: BTreeMap<EditId, u64>,
    /// When all VMs had confirmed the leaving of each server.
    left_at: BTreeMap<ServerId, u64>,
    /// Outstanding orders: time of arrival, sending node, server and fencing number.
    orders: Vec<(u64, usize, ServerId, u64)>,
    /// Largest fencing number that reached each server; the servers themselves ignore the numbers.
    fences: BTreeMap<ServerId, u64>,
    /// Newest version of each placement that was answered to an operator.
    placement_versions: BTreeMap<ServerId, u64>,
    status: Option<Status>,
    next_id: u64,
    faulty: bool,
    loaded: bool,
}

fn vm_name(node: usize) -> VmName {
    VmName::try_from(format!("vm-{node}")).unwrap()
}

fn zone(node: usize) -> ZoneName {
    ZoneName::try_from(ZONES[node]).unwrap()
}

fn server(n: u64) -> ServerId {
    ServerId::try_from(format!("server-{n}")).unwrap()
}

fn entry(account: &str) -> Entry {
    let raw = RawEntry {
        account: account.into(),
        tier: 0,
        services: vec!["loom-model".into()],
        rate: 1_000_000,
        concurrent: 1_000_000,
        tokens: 1_000_000_000,
        credential: model::digest(account.as_bytes()),
    };
    raw.try_into().unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let vms = (0..VMS).map(|_| Vm {
            machine: None,
            disk: None,
            writes: VecDeque::new(),
            incarnation: 0,
            revision: 0,
            contact: None,
            calls: BTreeMap::new(),
        });
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000,
            vms: vms.collect(),
            links: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            requests: BTreeMap::new(),
            running: Vec::new(),
            key_runs: BTreeMap::new(),
            accepted: BTreeMap::new(),
            left_at: BTreeMap::new(),
            orders: Vec::new(),
            fences: BTreeMap::new(),
            placement_versions: BTreeMap::new(),
            status: None,
            next_id: 1,
            faulty: false,
            loaded: true,
        };
        for node in 0..VMS {
            simulation.start(node);
        }
        simulation
    }

    fn start(&mut self, node: usize) {
        let peers = (0..VMS).filter(|p| *p != node);
        // A VM without a disk holds a new copy of the log after each start.
        let disk = if node < FOUNDERS { 1 } else { self.next_id };
        let vm = &mut self.vms[node];
        vm.incarnation = self.now;
        vm.revision = 0;
        vm.contact = None;
        vm.calls.clear();
        let setup = Setup {
            vm: vm_name(node),
            zone: zone(node),
            peers: peers.map(|p| PeerSetup { vm: vm_name(p), zone: zone(p) }).collect(),
            founders: (0..FOUNDERS).map(vm_name).collect(),
            incarnation: self.now,
            member: Member { vm: vm_name(node), disk },
            stored: vm.disk.clone(),
            seed: self.rng.random(),
            policy: control::Policy::default(),
        };
        vm.machine = Some(Machine::new(&setup));
        self.next_id += 1;
    }

    fn crash(&mut self, node: usize) {
        let vm = &mut self.vms[node];
        vm.machine = None;
        vm.writes.clear();
        if node >= FOUNDERS {
            vm.disk = None;
        }
        for ((from, to), link) in &mut self.links {
            if *from == node || *to == node {
                link.clear();
            }
        }
        self.running.retain(|(_, owner, _)| *owner != node);
        for (owner, _, state) in self.requests.values_mut() {
            if *owner == node {
                *state = RequestState::Ended;
            }
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let clock = Clock::at_millis(self.now);
        let mut out = Vec::new();
        if let Some(machine) = &mut self.vms[node].machine {
            machine.step(clock, input, &mut out);
        }
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(node, &to, message),
            Output::Granted { request, server, .. } => self.granted(node, request, &server),
            Output::Refused { request, .. } => {
                let state = &mut self.requests.get_mut(&request).expect("a submitted request").2;
                assert_eq!(
                    *state,
                    RequestState::Open,
                    "a request is refused twice or after its grant"
                );
                *state = RequestState::Refused;
            }
            Output::Persist { id, cluster, persist } => {
                self.vms[node].writes.push_back((id, cluster, persist));
            }
            Output::Order(order) => {
                // The order arrives at any time before its timeout.
                let arrives = self.now + self.rng.random_range(0..order.timeout.as_millis());
                self.orders.push((arrives, node, order.server, order.fence));
            }
            Output::Reply { call, answer } => self.answered(node, call, answer),
            Output::Publish(published) => {
                let revision = published.catalogue.revision();
                let vm = &mut self.vms[node];
                assert!(revision >= vm.revision, "the revision decreased");
                vm.revision = revision;
                vm.contact = Some(published.contact);
            }
            Output::Revoked { request } => {
                let state = &mut self.requests.get_mut(&request).expect("a submitted request").2;
                assert_ne!(*state, RequestState::Open, "a request is revoked without a grant");
            }
            Output::Retried { .. } | Output::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmName, message: Message) {
        let Some(to) = (0..VMS).find(|node| vm_name(*node) == *to) else {
            return;
        };
        let lost = (self.faulty || self.loaded) && self.rng.random_bool(0.02);
        if lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        let delay = if self.rng.random_bool(0.02) { 300 } else { 3 };
        let arrives = self.now + self.rng.random_range(0..delay);
        self.links.entry((from, to)).or_default().push_back((arrives, message));
    }

    fn granted(&mut self, node: usize, request: RequestId, server: &ServerId) {
        let (owner, _, state) = self.requests.get_mut(&request).expect("a submitted request");
        assert_eq!(
            (*owner, *state),
            (node, RequestState::Open),
            "a request is granted twice, after its end or at another VM"
        );
        *state = RequestState::Granted;
        if let Some(since) = self.left_at.get(server) {
            assert!(self.now < since + LEAVE_GRACE_MS, "{server} left and got a grant");
        }
        let end = self.now + self.rng.random_range(10..400);
        self.running.push((end, node, request));
    }

    fn answered(&mut self, node: usize, call: u64, answer: Answer) {
        if let Answer::Status(status) = answer {
            self.status = Some(*status);
            return;
        }
        match (self.vms[node].calls.remove(&call), answer) {
            (
                Some(Call::Edit(id)),
                Answer::Edit { outcome: EditOutcome::Accepted { revision }, .. },
            ) => {
                let first = *self.accepted.entry(id).or_insert(revision);
                assert_eq!(first, revision, "an edit has two outcomes");
            }
            (Some(Call::Claim(key)), Answer::Claim(ClaimOutcome::Granted)) => {
                let runs = self.key_runs.entry(key).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "a key runs twice");
            }
            (Some(Call::Mark(server)), Answer::Marked { missing, kept: true, .. })
                if missing.is_empty() =>
            {
                self.left_at.entry(server).or_insert(self.now);
            }
            (Some(Call::Place(server)), Answer::Placed { version }) => {
                let newest = self.placement_versions.entry(server).or_default();
                *newest = version.max(*newest);
            }
            (Some(Call::Place(server)), Answer::Refused { why }) => {
                // The operator reads the version in force, which the refusal names.
                let version = why.rsplit(' ').next().and_then(|v| v.parse().ok()).unwrap_or(0);
                self.placement_versions.insert(server, version);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for node in 0..VMS {
            self.deliver(node);
            self.sync(node);
            self.input(node, Input::Tick);
        }
        self.finish();
        self.take_orders();
        self.announce();
        if self.loaded {
            self.load();
        }
        if self.faulty && self.rng.random_bool(0.01) {
            self.fault();
        }
    }

    fn deliver(&mut self, to: usize) {
        for from in 0..VMS {
            while let Some((arrives, _)) = self.links.get(&(from, to)).and_then(VecDeque::front) {
                if *arrives > self.now {
                    break;
                }
                let link = self.links.get_mut(&(from, to)).unwrap();
                let (_, message) = link.pop_front().unwrap();
                self.input(to, Input::Message { from: vm_name(from), message });
            }
        }
    }

    fn sync(&mut self, node: usize) {
        if self.rng.random_bool(0.3) {
            return;
        }
        let writes = std::mem::take(&mut self.vms[node].writes);
        for (id, cluster, persist) in writes {
            write(&mut self.vms[node].disk, cluster, persist);
            self.input(node, Input::Persisted { id });
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let (done, rest) = self.running.drain(..).partition(|(end, _, _)| *end <= now);
        self.running = rest;
        let done: Vec<(u64, usize, RequestId)> = done;
        for (_, node, request) in done {
            let span = Span::from_millis(100);
            let outcome = match self.rng.random_range(0..10) {
                0 => Outcome::Failed,
                1 => Outcome::Cancelled,
                _ => Outcome::Done { first: span, total: span, tokens: 5 },
            };
            self.requests.get_mut(&request).unwrap().2 = RequestState::Ended;
            self.input(node, Input::Finish { request, outcome });
        }
    }

    fn take_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.orders.drain(..).partition(|o| o.0 <= now);
        self.orders = rest;
        for (_, node, server, fence) in due {
            let newest = self.fences.entry(server.clone()).or_default();
            assert!(fence > *newest, "an order of an old leader arrived after one of a new leader");
            *newest = fence;
            let taken = self.rng.random_bool(0.7);
            self.input(node, Input::OrderEnded { server, fence, taken });
        }
    }

    /// Announces two servers of each zone to an entry VM of their zone.
    fn announce(&mut self) {
        if !(self.now / STEP_MS).is_multiple_of(30) {
            return;
        }
        for n in 0..6 {
            let zone_name = ["zone-a", "zone-b", "zone-c"][usize::try_from(n % 3).unwrap()];
            let vms: Vec<usize> = (0..VMS).filter(|node| ZONES[*node] == zone_name).collect();
            let node = vms[self.rng.random_range(0..vms.len())];
            let announcement = Announcement {
                id: server(n),
                service: "loom-model".try_into().unwrap(),
                kind: Kind::Model,
                address: ([127, 0, 0, 1], 1_000 + u16::try_from(n).unwrap()).into(),
                slots: 2,
                generation: 1,
                fencing: Fencing::Ignores,
                ttl: Span::from_millis(1_500),
                load: 0,
                prefixes: None,
            };
            self.input(node, Input::Announce { announcement, zone: None });
        }
    }

    fn load(&mut self) {
        let node = self.rng.random_range(0..VMS);
        if self.vms[node].machine.is_none() {
            return;
        }
        self.next_id += 1;
        let n = self.next_id;
        match self.rng.random_range(0..20) {
            0..=7 => self.submit(node, n),
            8 => {
                let edit = Edit {
                    id: EditId::try_from(format!("edit-{}", n % 200)).unwrap(),
                    base: self.vms[node].revision,
                    put: vec![entry(&format!("account-{}", n % 200))],
                    remove: Vec::new(),
                };
                self.vms[node].calls.insert(n, Call::Edit(edit.id.clone()));
                self.input(node, Input::Propose { call: n, command: Command::Edit(edit) });
            }
            9 | 10 => {
                let key = ClaimKey {
                    issued: self.now - self.now % 5_000,
                    account: "a".try_into().unwrap(),
                    text: format!("key-{}", n % 4).into(),
                };
                let request = RequestId::from(u128::from(n));
                let call = Call::Claim(key.clone());
                self.vms[node].calls.insert(n, call);
                let command = Command::Claim { key, request, owner: vm_name(node) };
                self.input(node, Input::Propose { call: n, command });
            }
            12 => {
                let placement = Placement {
                    model: format!("model-{n}").into(),
                    adapter: None,
                    version: "1".into(),
                    role: "decode".into(),
                };
                let server = server(n % 6);
                let base = self.placement_versions.get(&server).copied().unwrap_or(0);
                self.vms[node].calls.insert(n, Call::Place(server.clone()));
                let command = Command::Place { server, placement: Some(placement), base };
                self.input(node, Input::Propose { call: n, command });
            }
            11 if self.faulty && self.left_at.len() < 3 && self.rng.random_bool(0.05) => {
                let server = server(self.rng.random_range(0..3));
                self.vms[node].calls.insert(n, Call::Mark(server.clone()));
                let duty = Duty::Leaving;
                self.input(node, Input::Mark { call: n, server, duty, force: false });
            }
            _ => {}
        }
    }

    fn submit(&mut self, node: usize, n: u64) {
        let budget = self.rng.random_range(200..3_000);
        let ticket = Ticket {
            request: RequestId::from(u128::from(n)),
            account: "account-0".try_into().unwrap(),
            service: "loom-model".try_into().unwrap(),
            tier: Tier::try_from(self.rng.random_range(0..5)).unwrap(),
            budget: Span::from_millis(budget),
            prompt: self.rng.random_range(1..2_000),
            answer: 20,
            prefix: 0,
            cancellable: true,
        };
        let until = self.now + budget;
        self.requests.insert(ticket.request, (node, until, RequestState::Open));
        self.input(node, Input::Submit { ticket });
    }

    fn fault(&mut self) {
        let node = self.rng.random_range(0..VMS);
        let other = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..12) {
            0 | 1 => self.crash(node),
            2..=4 => self.restart_all(),
            5 => {
                // One VM is cut off silently.
                for peer in (0..VMS).filter(|p| *p != node) {
                    self.cut_links.insert((node, peer));
                    self.cut_links.insert((peer, node));
                }
            }
            6 => {
                // One zone is cut off from the others.
                let inside = |vm: usize| ZONES[vm] == ZONES[node];
                let pairs = (0..VMS).flat_map(|a| (0..VMS).map(move |b| (a, b)));
                self.cut_links.extend(pairs.filter(|(a, b)| inside(*a) != inside(*b)));
            }
            7 => {
                self.cut_links.insert((node, other));
            }
            8 => self.input(node, Input::Drain),
            _ => self.cut_links.clear(),
        }
    }

    fn restart_all(&mut self) {
        for node in 0..VMS {
            if self.vms[node].machine.is_none() {
                self.start(node);
            }
        }
    }

    /// Asserts that after some time without load no VM counts a request as running, although
    /// messages that reported the ends of requests were lost.
    fn assert_no_leaked_requests(&mut self) {
        for _ in 0..LEAK_STEPS {
            self.step();
        }
        for node in 0..VMS {
            self.input(node, Input::Status { call: u64::MAX });
            let status = self.status.take().expect("a machine reports its status");
            let counts = (status.open, status.held, status.running, status.waiting);
            assert_eq!(counts, (0, 0, 0, 0), "vm-{node}: open, held, running, waiting");
        }
    }

    /// Ends all faults, and asserts that every request ends and all VMs agree.
    fn recover(&mut self) {
        self.faulty = false;
        self.cut_links.clear();
        // Replaces every process, since a draining one does not serve again.
        for node in 0..VMS {
            self.crash(node);
        }
        self.restart_all();
        for step in 0..STEPS.1 {
            // The last edits have two seconds to reach all VMs.
            self.loaded = step < STEPS.1 - 200;
            self.step();
        }
        self.assert_no_leaked_requests();
        let late = |(node, until, state): &(usize, u64, RequestState)| {
            *state == RequestState::Open
                && self.now > until + 500
                && self.vms[*node].machine.is_some()
        };
        let stuck: Vec<_> = self.requests.iter().filter(|(_, r)| late(r)).collect();
        assert!(stuck.is_empty(), "requests that did not end: {stuck:?}");
        let revisions: BTreeSet<u64> = self.vms.iter().map(|v| v.revision).collect();
        assert_eq!(revisions.len(), 1, "VMs have different revisions in force: {revisions:?}");
        let newest = *revisions.first().unwrap();
        let made: BTreeSet<u64> = self.accepted.values().copied().collect();
        assert_eq!(made.len(), self.accepted.len(), "a revision has two edits");
        assert!(made.last().is_none_or(|last| *last <= newest), "an accepted edit was lost");
        for vm in &self.vms {
            assert_eq!(vm.contact, Some(Contact::Whole));
        }
    }
}

fn write(disk: &mut Option<StoredState>, cluster: u64, persist: WriteBatch) {
    let stored = disk.get_or_insert_with(|| StoredState::initial(cluster, BTreeSet::new()));
    if let Some(hard) = persist.hard_state {
        stored.hard_state = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        stored.entries.retain(|e| e.index > snapshot.index);
        stored.snapshot = snapshot;
    }
    if let Some(index) = persist.truncate {
        stored.entries.retain(|e| e.index < index);
    }
    stored.entries.extend(persist.entries);
}

fn run(seeds: std::ops::Range<u64>) {
    let (mut granted, mut accepted, mut keys) = (0, 0, 0);
    for seed in seeds {
        let result = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed);
            for step in 0..STEPS.0 {
                simulation.faulty = step > 300;
                simulation.step();
            }
            simulation.recover();
            let ended = simulation.requests.values().filter(|r| r.2 == RequestState::Ended).count();
            assert!(!simulation.fences.is_empty(), "no order reached a server");
            (ended, simulation.accepted.len(), simulation.key_runs.len())
        });
        let (g, a, k) = result.unwrap_or_else(|_| panic!("seed {seed}"));
        granted += g;
        accepted += a;
        keys += k;
    }
    assert!(granted > 0 && accepted > 0 && keys > 0, "{granted} {accepted} {keys}");
}

#[test]
fn invariants_hold_under_random_failures_1() {
    run(0..30);
}

#[test]
fn invariants_hold_under_random_failures_2() {
    run(30..60);
}

#[test]
fn invariants_hold_under_random_failures_3() {
    run(60..90);
}

#[test]
fn invariants_hold_under_random_failures_4() {
    run(90..120);
}
