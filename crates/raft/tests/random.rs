//! Randomised runs of the replicated log under failures, with a fixed seed for each run.
//!
//! The driver delivers messages late, out of order, twice or not at all, cuts links in one or
//! both directions, crashes members so that unsynced writes are lost, skews and pauses clocks,
//! empties disks and replaces the voters that lost them. After every step it asserts: one leader
//! per term, one lease at a time, agreement on the committed prefix, and that a restart brings
//! back every entry that was acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use model::{Time, VmName};
use raft::{
    Config, Envelope, LogEntry, Member, Payload, Raft, Ready, RoleName, StoredState, Voters,
    WriteBatch,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Founding voters.
const VOTERS: usize = 3;
/// VMs, voters and learners.
const VMS: usize = 5;
/// Steps of one run.
const STEPS: usize = 6_000;
/// Identity of the cluster.
const CLUSTER: u64 = 7;

/// One VM: its disk, and its process unless it is down.
struct Vm {
    member: Member,
    disk: StoredState,
    unsynced: Vec<Ready>,
    raft: Option<Raft>,
    applied: u64,
    /// Speed of its clock in thousandths, and its offset in microseconds.
    rate: u64,
    offset: u64,
    paused_until: u64,
    slow_until: u64,
}

/// Which failures a run has most of.
#[derive(Clone, Copy, Debug)]
enum Profile {
    Splits,
    Crashes,
    Repairs,
}

impl std::fmt::Display for Vm {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(raft) = &self.raft else {
            return write!(f, "{} is down", self.member);
        };
        write!(
            f,
            "{}: {:?} in term {}, commit {}, voters {:?}",
            self.member,
            raft.role(),
            raft.term(),
            raft.commit_index(),
            raft.voters()
        )
    }
}

struct World {
    rng: StdRng,
    now: u64,
    vms: Vec<Vm>,
    net: BTreeMap<(u64, u64), Envelope>,
    sent: u64,
    cut: BTreeSet<(usize, usize)>,
    committed: Vec<LogEntry>,
    leaders: BTreeMap<u64, Member>,
    next_disk: u64,
    next_command: u32,
    faults: bool,
    profile: Profile,
}

fn vm_name(at: usize) -> VmName {
    VmName::try_from(format!("vm-{at}")).unwrap()
}

fn member(at: usize, disk: u64) -> Member {
    Member { vm: vm_name(at), disk }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters: Voters = (0..VOTERS).map(|at| member(at, 1)).collect();
        let vms = (0..VMS)
            .map(|at| Vm {
                member: member(at, 1),
                disk: StoredState::initial(CLUSTER, voters.clone()),
                unsynced: Vec::new(),
                raft: None,
                applied: 0,
                rate: rng.random_range(970..1_030),
                offset: rng.random_range(0..1_000_000_000),
                paused_until: 0,
                slow_until: 0,
            })
            .collect();
        let mut world = Self {
            rng,
            now: 1,
            vms,
            net: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            next_disk: 2,
            next_command: 0,
            faults: true,
            profile: [Profile::Splits, Profile::Crashes, Profile::Repairs]
                [usize::try_from(seed % 3).unwrap()],
        };
        for at in 0..VMS {
            world.start(at);
        }
        world
    }

    fn clock(&self, at: usize) -> Time {
        let vm = &self.vms[at];
        Time::from_micros(vm.offset + self.now * vm.rate / 1_000)
    }

    fn start(&mut self, at: usize) {
        let now = self.clock(at);
        let seed = self.rng.random();
        let vm = &mut self.vms[at];
        let raft = Raft::new(Config::new(vm.member.clone(), seed), now, vm.disk.clone());
        vm.applied = raft.applied_index();
        vm.raft = Some(raft);
    }

    /// Ends a process; what it had not synced is lost, or only the first part of it survives.
    fn crash(&mut self, at: usize) {
        let keep = self.rng.random_range(0..=self.vms[at].unsynced.len());
        let vm = &mut self.vms[at];
        vm.raft = None;
        for ready in std::mem::take(&mut vm.unsynced).into_iter().take(keep) {
            write(&mut vm.disk, ready.persist);
        }
    }

    fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        let disk = self.next_disk;
        self.next_disk += 1;
        let voters = (0..VOTERS).map(|v| member(v, 1)).collect();
        let vm = &mut self.vms[at];
        vm.member.disk = disk;
        vm.disk = StoredState::initial(CLUSTER, voters);
    }

    fn leader(&self) -> Option<usize> {
        (0..VMS).find(|at| self.vms[*at].raft.as_ref().is_some_and(Raft::is_established))
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(100..8_000);
        self.tick();
        self.deliver();
        for at in 0..VMS {
            let slow = self.vms[at].slow_until > self.now;
            if self.rng.random_bool(if slow { 0.005 } else { 0.4 }) {
                self.sync(at);
            }
        }
        // Quiet times let members that are cut off keep a log recent enough to be elected.
        let quiet = self.now / 3_000_000 % 2 == 1;
        if !quiet && self.rng.random_bool(0.2) {
            self.propose();
        }
        if self.faults && self.rng.random_bool(0.008) {
            self.fault();
        }
        for at in 0..VMS {
            self.collect(at);
        }
        self.check();
    }

    fn tick(&mut self) {
        for at in 0..VMS {
            if self.vms[at].paused_until <= self.now {
                let now = self.clock(at);
                if let Some(raft) = &mut self.vms[at].raft {
                    raft.tick(now);
                }
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..64 {
            let Some(first) = self.net.first_entry() else {
                return;
            };
            if first.key().0 > self.now {
                return;
            }
            let envelope = first.remove();
            let Some(to) = self.vms.iter().position(|v| v.member.vm == envelope.to.vm) else {
                continue;
            };
            let now = self.clock(to);
            let vm = &mut self.vms[to];
            if vm.paused_until <= self.now
                && let Some(raft) = &mut vm.raft
            {
                raft.step(now, envelope);
            }
        }
    }

    fn sync(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        let mut sent = Vec::new();
        for ready in std::mem::take(&mut vm.unsynced) {
            write(&mut vm.disk, ready.persist);
            if let Some(raft) = &mut vm.raft {
                raft.persisted(ready.id);
            }
            sent.extend(ready.messages);
        }
        self.send(at, sent);
    }

    fn send(&mut self, from: usize, messages: Vec<Envelope>) {
        for envelope in messages {
            let to = self.vms.iter().position(|v| v.member.vm == envelope.to.vm);
            if to.is_none_or(|to| self.cut.contains(&(from, to))) {
                continue;
            }
            let lost = self.faults && self.rng.random_bool(0.03);
            let copies = if lost { 0 } else { 1 + usize::from(self.rng.random_bool(0.03)) };
            for _ in 0..copies {
                let delay = if self.rng.random_bool(0.05) { 400_000 } else { 8_000 };
                let at = self.now + self.rng.random_range(0..delay);
                self.sent += 1;
                self.net.insert((at, self.sent), envelope.clone());
            }
        }
    }

    fn propose(&mut self) {
        let at = self.rng.random_range(0..VMS);
        let now = self.clock(at);
        self.next_command += 1;
        let command = Payload::Command(self.next_command.to_be_bytes().to_vec());
        if let Some(raft) = &mut self.vms[at].raft {
            let _ = raft.propose(now, command);
        }
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..VMS);
        let other = self.rng.random_range(0..VMS);
        let leader = self.leader();
        let kind = match self.profile {
            Profile::Splits => self.rng.random_range(0..8),
            Profile::Crashes => self.rng.random_range(6..14),
            Profile::Repairs => self.rng.random_range(12..24),
        };
        match kind {
            0 => {
                // Cut off in both directions, silently.
                for peer in 0..VMS {
                    self.cut_both(at, peer);
                }
            }
            1 => {
                self.cut.insert((at, other));
            }
            2 | 3 => {
                if let Some(leader) = leader {
                    self.cut_both(leader, at);
                }
            }
            4 => {
                // The leader hears others but is not heard, or the other way round.
                if let Some(leader) = leader {
                    let heard = self.rng.random_bool(0.5);
                    for peer in 0..VMS {
                        self.cut.insert(if heard { (leader, peer) } else { (peer, leader) });
                    }
                }
            }
            5 => self.vms[at].paused_until = self.now + self.rng.random_range(0..3_000_000),
            6 | 12 => self.mend(),
            7 => self.vms[at].slow_until = self.now + self.rng.random_range(0..2_000_000),
            8 | 13 => self.crash(at),
            9 => {
                if let Some(leader) = leader {
                    self.crash(leader);
                }
            }
            10 => {
                if let Some(leader) = leader {
                    self.vms[leader].slow_until = self.now + 400_000;
                    self.cut_both(leader, other);
                }
            }
            11 => self.restart_all(),
            14 | 15 => self.repair(),
            16 => {
                if let Some(leader) = leader {
                    self.vms[leader].raft.as_mut().unwrap().transfer();
                }
            }
            17 => {
                if let Some(leader) = leader {
                    self.vms[leader].raft.as_mut().unwrap().compact(Vec::new());
                }
            }
            18 => self.cut_both(at, other),
            _ => {
                if let Some(leader) = leader {
                    self.replace_one(leader);
                }
            }
        }
    }

    fn cut_both(&mut self, a: usize, b: usize) {
        self.cut.insert((a, b));
        self.cut.insert((b, a));
    }

    fn restart_all(&mut self) {
        for at in 0..VMS {
            if self.vms[at].raft.is_none() {
                self.start(at);
            }
        }
    }

    /// Ends all cuts and starts all processes.
    fn mend(&mut self) {
        self.cut.clear();
        self.restart_all();
    }

    /// Empties the disk of one VM, but only while a majority of every voter set in use keeps its
    /// data: that is what the log promises to survive.
    fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let at = self.rng.random_range(0..VMS);
        if self.all_voters().iter().all(|voters| self.survives(voters, at)) && self.is_quiet(leader)
        {
            self.lose_disk(at);
            self.start(at);
        }
    }

    /// Whether a majority of these voters has its data after the loss of one VM's disk.
    fn survives(&self, voters: &Voters, lost: usize) -> bool {
        let intact = self.vms.iter().enumerate().filter(|(at, _)| *at != lost);
        intact.filter(|(_, vm)| voters.contains(&vm.member)).count() > voters.len() / 2
    }

    /// Every voter set that any VM holds in its log: each may be the one in use.
    fn all_voters(&self) -> Vec<Voters> {
        let mut all = Vec::new();
        for vm in &self.vms {
            all.push(vm.disk.snapshot.voters.clone());
            all.extend(vm.raft.as_ref().map(|r| r.voters().clone()));
            let unsynced = vm.unsynced.iter().flat_map(|r| &r.persist.entries);
            for entry in vm.disk.entries.iter().chain(unsynced) {
                if let Payload::Voters(voters) = &entry.payload {
                    all.push(voters.clone());
                }
            }
        }
        all
    }

    /// Whether all intact voters have everything on disk, so that one more loss is survivable.
    fn is_quiet(&self, leader: usize) -> bool {
        let raft = self.vms[leader].raft.as_ref().unwrap();
        let last = raft.commit_index();
        raft.voters().iter().all(|m| {
            let vm = self.vms.iter().find(|v| v.member == *m);
            vm.is_none_or(|v| {
                let end = v.disk.entries.last().map_or(v.disk.snapshot.index, |e| e.index);
                end >= last
            })
        })
    }

    /// Adds a learner to the voters, or removes a voter that is gone or one too many.
    fn replace_one(&mut self, leader: usize) {
        let now = self.clock(leader);
        let present: BTreeSet<Member> = self.vms.iter().map(|v| v.member.clone()).collect();
        let add = self.vms[self.rng.random_range(0..VMS)].member.clone();
        let raft = self.vms[leader].raft.as_mut().unwrap();
        let mut voters = raft.voters().clone();
        let gone = voters.iter().find(|m| !present.contains(m)).cloned();
        if let Some(gone) = gone.filter(|_| voters.len() > VOTERS) {
            voters.remove(&gone);
        } else if voters.len() > VOTERS {
            let first = voters.first().cloned().unwrap();
            voters.remove(&first);
        } else {
            voters.insert(add);
        }
        let _ = raft.change_voters(now, voters);
    }

    /// Takes what a member wants written and sent, and what it committed.
    fn collect(&mut self, at: usize) {
        let learners: BTreeSet<Member> = self.vms.iter().map(|v| v.member.clone()).collect();
        let vm = &mut self.vms[at];
        let Some(raft) = &mut vm.raft else {
            return;
        };
        raft.set_learners(learners);
        while let Some(ready) = raft.ready() {
            vm.unsynced.push(ready);
        }
        if let Some(snapshot) = raft.take_restored() {
            vm.applied = snapshot.index;
            assert!(
                snapshot.index <= self.committed.len() as u64,
                "snapshots hold what is committed"
            );
        }
        for entry in raft.take_committed() {
            assert_eq!(entry.index, vm.applied + 1, "entries are applied in order");
            vm.applied = entry.index;
            let position = usize::try_from(entry.index - 1).unwrap();
            if let Some(known) = self.committed.get(position) {
                assert_eq!(*known, entry, "all members commit the same entries");
            } else {
                assert_eq!(position, self.committed.len());
                self.committed.push(entry);
            }
        }
    }

    fn check(&mut self) {
        let mut leases = 0;
        for at in 0..VMS {
            let now = self.clock(at);
            let Some(raft) = &self.vms[at].raft else {
                continue;
            };
            if raft.role() == RoleName::Leader {
                let me = raft.me().clone();
                let known = self.leaders.entry(raft.term()).or_insert_with(|| me.clone());
                assert_eq!(*known, me, "a term has one leader");
            }
            leases += usize::from(raft.has_lease(now));
        }
        assert!(leases <= 1, "{leases} members hold a lease at once");
    }

    /// Ends all faults and asserts that the log makes progress again.
    fn heal(&mut self) {
        self.faults = false;
        self.mend();
        for vm in &mut self.vms {
            vm.paused_until = 0;
            vm.slow_until = 0;
        }
        let before = self.committed.len();
        for _ in 0..20_000 {
            self.step();
            self.propose();
            if self.committed.len() > before + 5 {
                return;
            }
        }
        let states: Vec<String> = self.vms.iter().map(|v| format!("{v}")).collect();
        panic!("no progress after all faults ended:\n{}", states.join("\n"));
    }
}

/// Writes one batch as a synced transaction does.
fn write(disk: &mut StoredState, persist: WriteBatch) {
    if let Some(hard) = persist.hard_state {
        assert!(hard.term >= disk.hard_state.term, "terms do not go back");
        disk.hard_state = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        disk.entries.retain(|e| e.index > snapshot.index);
        disk.snapshot = snapshot;
    }
    if let Some(index) = persist.truncate {
        disk.entries.retain(|e| e.index < index);
    }
    for entry in persist.entries {
        let end = disk.entries.last().map_or(disk.snapshot.index, |e| e.index);
        assert_eq!(entry.index, end + 1, "the log on disk has no holes");
        disk.entries.push(entry);
    }
}

fn run(seeds: std::ops::Range<u64>) {
    let mut committed = 0;
    for seed in seeds {
        let result = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            for _ in 0..STEPS {
                world.step();
            }
            world.heal();
            world.committed.len()
        });
        committed += result.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    assert!(committed > 0, "the runs commit something");
}

#[test]
fn log_keeps_its_promises_under_random_failures_1() {
    run(0..150);
}

#[test]
fn log_keeps_its_promises_under_random_failures_2() {
    run(150..300);
}

#[test]
fn log_keeps_its_promises_under_random_failures_3() {
    run(300..450);
}

#[test]
fn log_keeps_its_promises_under_random_failures_4() {
    run(450..600);
}
