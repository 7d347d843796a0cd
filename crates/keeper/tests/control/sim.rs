//! Control VMs under a seeded driver: messages that are late or lost, disks that are lost, VMs that
//! are cut off, killed and replaced.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use keeper::{Answer, Call, Input, Keeper, Message, Output, Phase, Server, Setup};
use model::{Span, Time, VmName};
use raft::{Member, StoredState, WriteBatch};

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// The time at which every simulation starts: VMs have been up for long before their process.
const START_MS: u64 = 5_000_000;

/// What a disk holds.
#[derive(Clone, Default)]
struct Disk {
    id: u64,
    stored: Option<StoredState>,
}

impl Disk {
    fn write(&mut self, cluster: u64, persist: WriteBatch) {
        let stored = self.stored.get_or_insert_with(|| StoredState::initial(cluster, [].into()));
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
}

pub(crate) struct Sim {
    pub(crate) now: u64,
    vms: BTreeMap<VmName, Keeper>,
    disks: BTreeMap<VmName, Disk>,
    seeds: Vec<VmName>,
    losses: usize,
    messages: VecDeque<(u64, VmName, VmName, Message)>,
    cut: BTreeSet<VmName>,
    pub(crate) answers: BTreeMap<u64, Answer>,
    random: u64,
    drawn: u64,
    lossy: bool,
}

pub(crate) fn vm(n: u64) -> VmName {
    VmName::try_from(format!("10.0.0.{n}")).unwrap()
}

impl Sim {
    pub(crate) fn new(seed: u64, seeds: &[u64], losses: usize) -> Self {
        Self {
            now: START_MS,
            vms: BTreeMap::new(),
            disks: BTreeMap::new(),
            seeds: seeds.iter().map(|n| vm(*n)).collect(),
            losses,
            messages: VecDeque::new(),
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            random: seed | 1,
            drawn: 0,
            lossy: false,
        }
    }

    pub(crate) fn draw(&mut self, n: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % n
    }

    pub(crate) fn set_lossy(&mut self, lossy: bool) {
        self.lossy = lossy;
    }

    /// Starts a VM with what its disk holds.
    pub(crate) fn start(&mut self, n: u64, founding: bool) {
        self.drawn += 1;
        let drawn = self.drawn;
        let disk = self.disks.entry(vm(n)).or_insert_with(|| Disk { id: drawn, stored: None });
        let setup = Setup {
            vm: vm(n),
            zone: format!("zone-{}", n % 3).try_into().unwrap(),
            incarnation: drawn,
            member: Member { vm: vm(n), disk: disk.id },
            stored: disk.stored.clone(),
            seeds: self.seeds.clone(),
            founding,
            losses: self.losses,
            silence: Span::from_secs(4),
            seed: drawn * 7_919 + self.random,
        };
        self.vms.insert(vm(n), Keeper::new(&setup));
    }

    pub(crate) fn kill(&mut self, n: u64) {
        self.vms.remove(&vm(n));
    }

    pub(crate) fn wipe(&mut self, n: u64) {
        self.kill(n);
        self.disks.remove(&vm(n));
    }

    pub(crate) fn cut(&mut self, n: u64) {
        self.cut.insert(vm(n));
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[u64]) {
        self.seeds = seeds.iter().map(|n| vm(*n)).collect();
    }

    pub(crate) fn names(&self) -> Vec<VmName> {
        self.vms.keys().cloned().collect()
    }

    pub(crate) fn keeper(&self, n: u64) -> &Keeper {
        &self.vms[&vm(n)]
    }

    pub(crate) fn leader(&self) -> Option<VmName> {
        let leads =
            |k: &Keeper| k.raft().is_some_and(|r| r.is_established() && r.has_lease(self.time()));
        self.vms.iter().find(|(_, k)| leads(k)).map(|(vm, _)| vm.clone())
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now * 1_000)
    }

    pub(crate) fn call(&mut self, to: &VmName, call_id: u64, call: Call) {
        self.input(to, Input::Call { call_id, call });
    }

    fn input(&mut self, to: &VmName, input: Input) {
        let now = self.time();
        let Some(keeper) = self.vms.get_mut(to) else {
            return;
        };
        let mut out = Vec::new();
        keeper.step(now, input, &mut out);
        let mut queue: VecDeque<Output> = out.into();
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Persist { id, cluster, persist } => {
                    self.disks.get_mut(to).unwrap().write(cluster, persist);
                    let mut out = Vec::new();
                    let keeper = self.vms.get_mut(to).unwrap();
                    keeper.step(now, Input::Persisted { id }, &mut out);
                    queue.extend(out);
                }
                Output::Send { to: other, message } => self.post(to.clone(), other, message),
                Output::Reply { call_id, answer } => {
                    self.answers.insert(call_id, answer);
                }
                Output::Changed(_) => {}
            }
        }
    }

    fn post(&mut self, from: VmName, to: VmName, message: Message) {
        if self.lossy && self.draw(20) == 0 {
            return;
        }
        let at = self.now + 1 + self.draw(3);
        self.messages.push_back((at, from, to, message));
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            let now = self.now;
            let mut due = Vec::new();
            self.messages.retain(|m| {
                let is_due = m.0 <= now;
                if is_due {
                    due.push(m.clone());
                }
                !is_due
            });
            for (_, from, to, message) in due {
                if self.cut.contains(&from) == self.cut.contains(&to) {
                    self.input(&to, Input::Message { from, message });
                }
            }
            if now.is_multiple_of(TICK_MS) {
                for name in self.names() {
                    self.input(&name, Input::Tick);
                }
            }
        }
    }

    /// Puts a plan in force by asking one VM after another, as operators do. Whether it was
    /// acknowledged.
    pub(crate) fn replace(&mut self, version: u64) -> bool {
        for _ in 0..40 {
            for name in self.names() {
                self.drawn += 1;
                let call_id = 1_000_000 + self.drawn;
                let document = format!("plan {version}").into_bytes().into();
                self.call(&name, call_id, Call::Replace { version, document });
                self.run(100);
                if matches!(self.answers.get(&call_id), Some(Answer::Done { .. })) {
                    return true;
                }
            }
        }
        false
    }

    /// The version that any VM reads back, if one can.
    pub(crate) fn read(&mut self) -> Option<u64> {
        for name in self.names() {
            self.drawn += 1;
            let call_id = 2_000_000 + self.drawn;
            self.call(&name, call_id, Call::Read);
            if let Some(Answer::Document { version, .. }) = self.answers.get(&call_id) {
                return Some(*version);
            }
        }
        None
    }
}

pub(crate) fn server(id: &str, born: u64, seq: u64, phase: Phase) -> Server {
    Server {
        id: id.try_into().unwrap(),
        born,
        seq,
        service: "loom-model".try_into().unwrap(),
        address: "10.9.0.1:8080".parse().unwrap(),
        zone: "zone-0".try_into().unwrap(),
        slots: 9,
        phase,
    }
}
