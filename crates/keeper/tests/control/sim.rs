//! A deterministic simulation of control VMs, driven by a seed. Messages are delayed or lost, disks
//! are lost, and VMs are partitioned, killed and replaced.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use keeper::{Answer, Call, Input, Keeper, Message, Output, Phase, Server, Setup};
use model::{Span, Time, VmName};
use poison::Suspect;
use raft::{Member, StoredState, WriteBatch};

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// Time since boot at which every simulation starts, in milliseconds. It is large because VMs run
/// long before their process starts.
const START_MS: u64 = 5_000_000;

/// A disk with its identity and the log stored on it.
#[derive(Clone, Default)]
struct Disk {
    id: u64,
    stored: Option<StoredState>,
    /// What the VM kept for its next process, and when, in milliseconds.
    kept: (u64, Vec<Suspect>),
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
    /// Current time in milliseconds.
    pub(crate) now: u64,
    vms: BTreeMap<VmName, Keeper>,
    disks: BTreeMap<VmName, Disk>,
    seeds: Vec<VmName>,
    losses: usize,
    /// Messages in flight: time of arrival, sender, receiver and content.
    messages: VecDeque<(u64, VmName, VmName, Message)>,
    /// VMs whose disks are full, with the writes that wait for room.
    full: BTreeMap<VmName, Vec<(u64, u64, WriteBatch)>>,
    /// VMs that can exchange messages only with each other.
    isolated: BTreeSet<VmName>,
    pub(crate) answers: BTreeMap<u64, Answer>,
    /// State of the xorshift generator.
    random: u64,
    /// Counter for disk ids, incarnations and call numbers.
    last_id: u64,
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
            full: BTreeMap::new(),
            isolated: BTreeSet::new(),
            answers: BTreeMap::new(),
            random: seed | 1,
            last_id: 0,
            lossy: false,
        }
    }

    /// Returns a pseudorandom number below `n`.
    pub(crate) fn draw(&mut self, n: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % n
    }

    pub(crate) fn set_lossy(&mut self, lossy: bool) {
        self.lossy = lossy;
    }

    /// Starts a VM with the log stored on its disk.
    pub(crate) fn start(&mut self, n: u64, founding: bool) {
        self.last_id += 1;
        let number = self.last_id;
        let disk =
            self.disks.entry(vm(n)).or_insert_with(|| Disk { id: number, ..Disk::default() });
        let age = Span::from_millis(self.now - disk.kept.0);
        let setup = Setup {
            vm: vm(n),
            zone: format!("zone-{}", n % 3).try_into().unwrap(),
            incarnation: number,
            member: Member { vm: vm(n), disk: disk.id },
            stored: disk.stored.clone(),
            seeds: self.seeds.clone(),
            founding,
            losses: self.losses,
            silence: Span::from_secs(4),
            seed: number * 7_919 + self.random,
            suspects: disk.kept.1.iter().map(|s| s.after(age)).collect(),
            epoch_ms: 0,
            takes_orders: true,
        };
        self.vms.insert(vm(n), Keeper::new(&setup));
    }

    /// Returns the log on the disk of a VM.
    pub(crate) fn stored(&self, n: u64) -> Option<&StoredState> {
        self.disks[&vm(n)].stored.as_ref()
    }

    /// Fills the disk of a VM, so that its writes wait.
    pub(crate) fn fill(&mut self, n: u64) {
        self.full.entry(vm(n)).or_default();
    }

    /// Makes room on the disk of a VM, which takes the writes that wait.
    pub(crate) fn make_room(&mut self, n: u64) {
        for (id, cluster, persist) in self.full.remove(&vm(n)).unwrap_or_default() {
            self.disks.get_mut(&vm(n)).unwrap().write(cluster, persist);
            self.input(&vm(n), Input::Persisted { id });
        }
    }

    /// Ends the process of a VM; its disk survives.
    pub(crate) fn kill(&mut self, n: u64) {
        // Writes that wait for room are lost with the process.
        if let Some(waiting) = self.full.get_mut(&vm(n)) {
            waiting.clear();
        }
        self.vms.remove(&vm(n));
    }

    /// Ends the process of a VM and loses its disk.
    pub(crate) fn wipe(&mut self, n: u64) {
        self.kill(n);
        self.disks.remove(&vm(n));
    }

    /// Cuts a VM off from all VMs that are not isolated.
    pub(crate) fn isolate(&mut self, n: u64) {
        self.isolated.insert(vm(n));
    }

    pub(crate) fn heal(&mut self) {
        self.isolated.clear();
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

    /// Returns the VM that leads the log and holds the lease.
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
                Output::Persist { id, cluster, persist } if self.full.contains_key(to) => {
                    self.full.get_mut(to).unwrap().push((id, cluster, persist));
                }
                Output::Persist { id, cluster, persist } => {
                    self.disks.get_mut(to).unwrap().write(cluster, persist);
                    let mut out = Vec::new();
                    let keeper = self.vms.get_mut(to).unwrap();
                    keeper.step(now, Input::Persisted { id }, &mut out);
                    queue.extend(out);
                }
                Output::Send { to: other, message } => self.enqueue(to.clone(), other, message),
                Output::Reply { call_id, answer } => {
                    self.answers.insert(call_id, answer);
                }
                Output::Keep(suspects) => {
                    self.disks.get_mut(to).unwrap().kept = (self.now, suspects);
                }
                Output::Compress(job) => {
                    let patch = std::sync::Arc::new(job.run());
                    let mut out = Vec::new();
                    let keeper = self.vms.get_mut(to).unwrap();
                    keeper.step(now, Input::Compressed(patch), &mut out);
                    queue.extend(out);
                }
                Output::Changed(_) => {}
            }
        }
    }

    fn enqueue(&mut self, from: VmName, to: VmName, message: Message) {
        if self.lossy && self.draw(20) == 0 {
            return;
        }
        let at = self.now + 1 + self.draw(3);
        self.messages.push_back((at, from, to, message));
    }

    /// Advances the time by `ms` milliseconds, delivering messages and ticks.
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
                if self.isolated.contains(&from) == self.isolated.contains(&to) {
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

    /// Puts a plan in force by calling one VM after another, as operators do. Returns whether a
    /// call was acknowledged.
    pub(crate) fn replace(&mut self, version: u64) -> bool {
        for _ in 0..40 {
            for name in self.names() {
                self.last_id += 1;
                let call_id = 1_000_000 + self.last_id;
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

    /// Returns the version read back from the first VM that can answer.
    pub(crate) fn read(&mut self) -> Option<u64> {
        for name in self.names() {
            self.last_id += 1;
            let call_id = 2_000_000 + self.last_id;
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
        departed: false,
        version: None,
        cold: false,
    }
}
