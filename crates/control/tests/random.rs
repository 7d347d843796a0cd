//! Randomised runs of four machines in three zones under failures, with a fixed seed for each.
//!
//! Links keep their order, as the real ones do, but lose and delay messages and are cut silently;
//! processes die, and with them all that was not synced. Backend servers, callers and operators
//! are fakes. Asserted throughout: a request is granted at most once and never after it was
//! refused; an idempotency key runs at most once; of two edits with one base one wins, and no
//! accepted edit is lost; a server that left gets no grant afterwards; revisions do not go back.

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
/// Length of one step in milliseconds.
const STEP_MS: u64 = 10;
/// Steps of one run, and of its quiet end.
const STEPS: (u64, u64) = (2_500, 1_500);
/// Steps without load after which nothing may count as running.
const LEAK_STEPS: u64 = 1_800;
/// Time after which a server that left must get no grant, in milliseconds.
const LEAVE_GRACE_MS: u64 = 3_000;

struct Vm {
    machine: Option<Machine>,
    disk: Option<StoredState>,
    writes: VecDeque<(u64, u64, WriteBatch)>,
    incarnation: u64,
    revision: u64,
    contact: Option<Contact>,
    /// Operators' calls by number.
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
enum Fate {
    Open,
    Granted,
    Refused,
    Ended,
}

struct World {
    rng: StdRng,
    now: u64,
    vms: Vec<Vm>,
    links: BTreeMap<(usize, usize), VecDeque<(u64, Message)>>,
    cut: BTreeSet<(usize, usize)>,
    fates: BTreeMap<RequestId, (usize, u64, Fate)>,
    running: Vec<(u64, usize, RequestId)>,
    keys: BTreeMap<ClaimKey, u32>,
    accepted: BTreeMap<EditId, u64>,
    left: BTreeMap<ServerId, u64>,
    /// Orders on their way: when they arrive, from whom, to which server, with which number.
    orders: Vec<(u64, usize, ServerId, u64)>,
    /// Newest number that reached each server; the servers ignore the numbers.
    fences: BTreeMap<ServerId, u64>,
    /// Newest version of each placement that an operator was told.
    placed: BTreeMap<ServerId, u64>,
    status: Option<Status>,
    next: u64,
    faults: bool,
    loaded: bool,
}

fn name(at: usize) -> VmName {
    VmName::try_from(format!("vm-{at}")).unwrap()
}

fn zone(at: usize) -> ZoneName {
    ZoneName::try_from(ZONES[at]).unwrap()
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

impl World {
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
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000,
            vms: vms.collect(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            fates: BTreeMap::new(),
            running: Vec::new(),
            keys: BTreeMap::new(),
            accepted: BTreeMap::new(),
            left: BTreeMap::new(),
            orders: Vec::new(),
            fences: BTreeMap::new(),
            placed: BTreeMap::new(),
            status: None,
            next: 1,
            faults: false,
            loaded: true,
        };
        for at in 0..VMS {
            world.start(at);
        }
        world
    }

    fn start(&mut self, at: usize) {
        let peers = (0..VMS).filter(|p| *p != at);
        // A VM without a disk is a new copy of the log each time.
        let disk = if at < FOUNDERS { 1 } else { self.next };
        let vm = &mut self.vms[at];
        vm.incarnation = self.now;
        vm.revision = 0;
        vm.contact = None;
        vm.calls.clear();
        let setup = Setup {
            vm: name(at),
            zone: zone(at),
            peers: peers.map(|p| PeerSetup { vm: name(p), zone: zone(p) }).collect(),
            founders: (0..FOUNDERS).map(name).collect(),
            incarnation: self.now,
            member: Member { vm: name(at), disk },
            stored: vm.disk.clone(),
            seed: self.rng.random(),
            policy: control::Policy::default(),
        };
        vm.machine = Some(Machine::new(&setup));
        self.next += 1;
    }

    fn kill(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.machine = None;
        vm.writes.clear();
        if at >= FOUNDERS {
            vm.disk = None;
        }
        for ((from, to), link) in &mut self.links {
            if *from == at || *to == at {
                link.clear();
            }
        }
        self.running.retain(|(_, owner, _)| *owner != at);
        for (owner, _, fate) in self.fates.values_mut() {
            if *owner == at {
                *fate = Fate::Ended;
            }
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        let clock = Clock::at_millis(self.now);
        let mut out = Vec::new();
        if let Some(machine) = &mut self.vms[at].machine {
            machine.step(clock, input, &mut out);
        }
        for output in out {
            self.output(at, output);
        }
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(at, &to, message),
            Output::Granted { request, server, .. } => self.granted(at, request, &server),
            Output::Refused { request, .. } => {
                let fate = &mut self.fates.get_mut(&request).expect("a submitted request").2;
                assert_eq!(*fate, Fate::Open, "a request is refused once, and not once granted");
                *fate = Fate::Refused;
            }
            Output::Persist { id, cluster, persist } => {
                self.vms[at].writes.push_back((id, cluster, persist));
            }
            Output::Order(order) => {
                // It is taken at any moment before its time is over.
                let arrives = self.now + self.rng.random_range(0..order.timeout.as_millis());
                self.orders.push((arrives, at, order.server, order.fence));
            }
            Output::Reply { call, answer } => self.answered(at, call, answer),
            Output::Publish(published) => {
                let revision = published.catalogue.revision();
                let vm = &mut self.vms[at];
                assert!(revision >= vm.revision, "a revision went back");
                vm.revision = revision;
                vm.contact = Some(published.contact);
            }
            Output::Revoked { request } => {
                let fate = &mut self.fates.get_mut(&request).expect("a submitted request").2;
                assert_ne!(*fate, Fate::Open, "only what was granted is revoked");
            }
            Output::Retried { .. } | Output::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmName, message: Message) {
        let Some(to) = (0..VMS).find(|at| name(*at) == *to) else {
            return;
        };
        let lost = (self.faults || self.loaded) && self.rng.random_bool(0.02);
        if lost || self.cut.contains(&(from, to)) {
            return;
        }
        let delay = if self.rng.random_bool(0.02) { 300 } else { 3 };
        let at = self.now + self.rng.random_range(0..delay);
        self.links.entry((from, to)).or_default().push_back((at, message));
    }

    fn granted(&mut self, at: usize, request: RequestId, server: &ServerId) {
        let (owner, _, fate) = self.fates.get_mut(&request).expect("a submitted request");
        assert_eq!((*owner, *fate), (at, Fate::Open), "a request is granted at most once");
        *fate = Fate::Granted;
        if let Some(since) = self.left.get(server) {
            assert!(self.now < since + LEAVE_GRACE_MS, "{server} left and was granted");
        }
        let end = self.now + self.rng.random_range(10..400);
        self.running.push((end, at, request));
    }

    fn answered(&mut self, at: usize, call: u64, answer: Answer) {
        if let Answer::Status(status) = answer {
            self.status = Some(*status);
            return;
        }
        match (self.vms[at].calls.remove(&call), answer) {
            (
                Some(Call::Edit(id)),
                Answer::Edit { outcome: EditOutcome::Accepted { revision }, .. },
            ) => {
                let first = *self.accepted.entry(id).or_insert(revision);
                assert_eq!(first, revision, "an edit has one outcome");
            }
            (Some(Call::Claim(key)), Answer::Claim(ClaimOutcome::Granted)) => {
                let runs = self.keys.entry(key).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "a key runs at most once");
            }
            (Some(Call::Mark(server)), Answer::Marked { missing, kept: true, .. })
                if missing.is_empty() =>
            {
                self.left.entry(server).or_insert(self.now);
            }
            (Some(Call::Place(server)), Answer::Placed { version }) => {
                let newest = self.placed.entry(server).or_default();
                *newest = version.max(*newest);
            }
            (Some(Call::Place(server)), Answer::Refused { why }) => {
                // The operator looks again: the refusal names the version in force.
                let version = why.rsplit(' ').next().and_then(|v| v.parse().ok()).unwrap_or(0);
                self.placed.insert(server, version);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for at in 0..VMS {
            self.deliver(at);
            self.sync(at);
            self.input(at, Input::Tick);
        }
        self.finish();
        self.take_orders();
        self.announce();
        if self.loaded {
            self.load();
        }
        if self.faults && self.rng.random_bool(0.01) {
            self.fault();
        }
    }

    fn deliver(&mut self, to: usize) {
        for from in 0..VMS {
            while let Some((at, _)) = self.links.get(&(from, to)).and_then(VecDeque::front) {
                if *at > self.now {
                    break;
                }
                let link = self.links.get_mut(&(from, to)).unwrap();
                let (_, message) = link.pop_front().unwrap();
                self.input(to, Input::Message { from: name(from), message });
            }
        }
    }

    fn sync(&mut self, at: usize) {
        if self.rng.random_bool(0.3) {
            return;
        }
        let writes = std::mem::take(&mut self.vms[at].writes);
        for (id, cluster, persist) in writes {
            write(&mut self.vms[at].disk, cluster, persist);
            self.input(at, Input::Persisted { id });
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let (done, rest) = self.running.drain(..).partition(|(end, _, _)| *end <= now);
        self.running = rest;
        let done: Vec<(u64, usize, RequestId)> = done;
        for (_, at, request) in done {
            let span = Span::from_millis(100);
            let outcome = match self.rng.random_range(0..10) {
                0 => Outcome::Failed,
                1 => Outcome::Cancelled,
                _ => Outcome::Done { first: span, total: span, tokens: 5 },
            };
            self.fates.get_mut(&request).unwrap().2 = Fate::Ended;
            self.input(at, Input::Finish { request, outcome });
        }
    }

    fn take_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.orders.drain(..).partition(|o| o.0 <= now);
        self.orders = rest;
        for (_, at, server, fence) in due {
            let newest = self.fences.entry(server.clone()).or_default();
            assert!(fence > *newest, "an old giver's order came after a new giver's first");
            *newest = fence;
            let taken = self.rng.random_bool(0.7);
            self.input(at, Input::OrderEnded { server, fence, taken });
        }
    }

    /// Two servers in each zone announce themselves to an entry VM of their zone.
    fn announce(&mut self) {
        if !(self.now / STEP_MS).is_multiple_of(30) {
            return;
        }
        for n in 0..6 {
            let zone_name = ["zone-a", "zone-b", "zone-c"][usize::try_from(n % 3).unwrap()];
            let vms: Vec<usize> = (0..VMS).filter(|at| ZONES[*at] == zone_name).collect();
            let at = vms[self.rng.random_range(0..vms.len())];
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
            self.input(at, Input::Announce { announcement, zone: None });
        }
    }

    fn load(&mut self) {
        let at = self.rng.random_range(0..VMS);
        if self.vms[at].machine.is_none() {
            return;
        }
        self.next += 1;
        let n = self.next;
        match self.rng.random_range(0..20) {
            0..=7 => self.submit(at, n),
            8 => {
                let edit = Edit {
                    id: EditId::try_from(format!("edit-{}", n % 200)).unwrap(),
                    base: self.vms[at].revision,
                    put: vec![entry(&format!("account-{}", n % 200))],
                    remove: Vec::new(),
                };
                self.vms[at].calls.insert(n, Call::Edit(edit.id.clone()));
                self.input(at, Input::Propose { call: n, command: Command::Edit(edit) });
            }
            9 | 10 => {
                let key = ClaimKey {
                    issued: self.now - self.now % 5_000,
                    account: "a".try_into().unwrap(),
                    text: format!("key-{}", n % 4).into(),
                };
                let request = RequestId::from(u128::from(n));
                let call = Call::Claim(key.clone());
                self.vms[at].calls.insert(n, call);
                let command = Command::Claim { key, request, owner: name(at) };
                self.input(at, Input::Propose { call: n, command });
            }
            12 => {
                let placement = Placement {
                    model: format!("model-{n}").into(),
                    adapter: None,
                    version: "1".into(),
                    role: "decode".into(),
                };
                let server = server(n % 6);
                let base = self.placed.get(&server).copied().unwrap_or(0);
                self.vms[at].calls.insert(n, Call::Place(server.clone()));
                let command = Command::Place { server, placement: Some(placement), base };
                self.input(at, Input::Propose { call: n, command });
            }
            11 if self.faults && self.left.len() < 3 && self.rng.random_bool(0.05) => {
                let server = server(self.rng.random_range(0..3));
                self.vms[at].calls.insert(n, Call::Mark(server.clone()));
                let duty = Duty::Leaving;
                self.input(at, Input::Mark { call: n, server, duty, force: false });
            }
            _ => {}
        }
    }

    fn submit(&mut self, at: usize, n: u64) {
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
        self.fates.insert(ticket.request, (at, until, Fate::Open));
        self.input(at, Input::Submit { ticket });
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..VMS);
        let other = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..12) {
            0 | 1 => self.kill(at),
            2..=4 => self.restart_all(),
            5 => {
                // A silent cut of one VM.
                for peer in (0..VMS).filter(|p| *p != at) {
                    self.cut.insert((at, peer));
                    self.cut.insert((peer, at));
                }
            }
            6 => {
                // One zone cut off from the others.
                let inside = |vm: usize| ZONES[vm] == ZONES[at];
                let pairs = (0..VMS).flat_map(|a| (0..VMS).map(move |b| (a, b)));
                self.cut.extend(pairs.filter(|(a, b)| inside(*a) != inside(*b)));
            }
            7 => {
                self.cut.insert((at, other));
            }
            8 => self.input(at, Input::Drain),
            _ => self.cut.clear(),
        }
    }

    fn restart_all(&mut self) {
        for at in 0..VMS {
            if self.vms[at].machine.is_none() {
                self.start(at);
            }
        }
    }

    /// Asserts that after some time without load no VM counts a request as running, although
    /// messages of their ends were lost.
    fn assert_nothing_leaks(&mut self) {
        for _ in 0..LEAK_STEPS {
            self.step();
        }
        for at in 0..VMS {
            self.input(at, Input::Status { call: u64::MAX });
            let status = self.status.take().expect("a machine tells its state");
            let counts = (status.open, status.held, status.running, status.waiting);
            assert_eq!(counts, (0, 0, 0, 0), "vm-{at}: open, held, running, waiting");
        }
    }

    /// Ends all faults, and asserts that everything comes to an end and all VMs agree.
    fn settle(&mut self) {
        self.faults = false;
        self.cut.clear();
        // A VM that was told to stop is replaced by a new process.
        for at in 0..VMS {
            self.kill(at);
        }
        self.restart_all();
        for step in 0..STEPS.1 {
            // The last edits are given two seconds to reach all VMs.
            self.loaded = step < STEPS.1 - 200;
            self.step();
        }
        self.assert_nothing_leaks();
        let late = |(at, until, fate): &(usize, u64, Fate)| {
            *fate == Fate::Open && self.now > until + 500 && self.vms[*at].machine.is_some()
        };
        let stuck: Vec<_> = self.fates.iter().filter(|(_, f)| late(f)).collect();
        assert!(stuck.is_empty(), "requests without an end: {stuck:?}");
        let revisions: BTreeSet<u64> = self.vms.iter().map(|v| v.revision).collect();
        assert_eq!(revisions.len(), 1, "all VMs have one revision in force: {revisions:?}");
        let newest = *revisions.first().unwrap();
        let made: BTreeSet<u64> = self.accepted.values().copied().collect();
        assert_eq!(made.len(), self.accepted.len(), "a revision has one edit");
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
            let mut world = World::new(seed);
            for step in 0..STEPS.0 {
                world.faults = step > 300;
                world.step();
            }
            world.settle();
            let ended = world.fates.values().filter(|f| f.2 == Fate::Ended).count();
            assert!(!world.fences.is_empty(), "orders reached servers");
            (ended, world.accepted.len(), world.keys.len())
        });
        let (g, a, k) = result.unwrap_or_else(|_| panic!("seed {seed}"));
        granted += g;
        accepted += a;
        keys += k;
    }
    assert!(granted > 0 && accepted > 0 && keys > 0, "{granted} {accepted} {keys}");
}

#[test]
fn machines_keep_their_promises_under_random_failures_1() {
    run(0..30);
}

#[test]
fn machines_keep_their_promises_under_random_failures_2() {
    run(30..60);
}

#[test]
fn machines_keep_their_promises_under_random_failures_3() {
    run(60..90);
}

#[test]
fn machines_keep_their_promises_under_random_failures_4() {
    run(90..120);
}
