//! Randomized simulations of the replicated log under failures, each with a fixed seed.
//!
//! The simulation delays, reorders, duplicates and drops messages, cuts links in one or both
//! directions, crashes members so that unsynced writes are lost, runs clocks at different speeds,
//! pauses processes, empties disks and replaces the voters that lost them. After every step it
//! asserts that each term has one leader, that at most one member holds a lease, that all members
//! agree on the committed entries, and that a restart restores every acknowledged entry.

use std::collections::{BTreeMap, BTreeSet};

use model::{Time, VmName};
use raft::{
    Config, Envelope, LogEntry, Member, Payload, Raft, Ready, RoleName, StoredState, Voters,
    WriteBatch,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Number of voters at the start.
const VOTERS: usize = 3;
/// Number of VMs, whether voters or learners.
const VMS: usize = 5;
/// Number of steps in one run, before all faults end.
const STEPS: usize = 6_000;
/// Identity of the simulated cluster.
const CLUSTER: u64 = 7;

/// One VM: its disk, and its process while that is running.
struct Vm {
    member: Member,
    disk: StoredState,
    unsynced: Vec<Ready>,
    raft: Option<Raft>,
    applied: u64,
    /// Speed of the VM's clock in thousandths of real time, and its offset in microseconds.
    clock_rate: u64,
    clock_offset: u64,
    paused_until: u64,
    slow_until: u64,
}

/// The kind of failure that is most frequent in a run.
#[derive(Clone, Copy, Debug)]
enum Profile {
    Partitions,
    Crashes,
    DiskLosses,
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

struct Simulation {
    rng: StdRng,
    now: u64,
    vms: Vec<Vm>,
    in_flight: BTreeMap<(u64, u64), Envelope>,
    sent: u64,
    cut_links: BTreeSet<(usize, usize)>,
    committed: Vec<LogEntry>,
    leaders: BTreeMap<u64, Member>,
    next_disk: u64,
    next_command: u32,
    faults: bool,
    profile: Profile,
}

fn vm_name(node: usize) -> VmName {
    VmName::try_from(format!("vm-{node}")).unwrap()
}

fn member(node: usize, disk: u64) -> Member {
    Member { vm: vm_name(node), disk }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters: Voters = (0..VOTERS).map(|node| member(node, 1)).collect();
        let vms = (0..VMS)
            .map(|node| Vm {
                member: member(node, 1),
                disk: StoredState::initial(CLUSTER, voters.clone()),
                unsynced: Vec::new(),
                raft: None,
                applied: 0,
                clock_rate: rng.random_range(970..1_030),
                clock_offset: rng.random_range(0..1_000_000_000),
                paused_until: 0,
                slow_until: 0,
            })
            .collect();
        let mut sim = Self {
            rng,
            now: 1,
            vms,
            in_flight: BTreeMap::new(),
            sent: 0,
            cut_links: BTreeSet::new(),
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            next_disk: 2,
            next_command: 0,
            faults: true,
            profile: [Profile::Partitions, Profile::Crashes, Profile::DiskLosses]
                [usize::try_from(seed % 3).unwrap()],
        };
        for node in 0..VMS {
            sim.start(node);
        }
        sim
    }

    fn clock(&self, node: usize) -> Time {
        let vm = &self.vms[node];
        Time::from_micros(vm.clock_offset + self.now * vm.clock_rate / 1_000)
    }

    fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let seed = self.rng.random();
        let vm = &mut self.vms[node];
        let raft = Raft::new(Config::new(vm.member.clone(), seed), now, vm.disk.clone());
        vm.applied = raft.applied_index();
        vm.raft = Some(raft);
    }

    /// Ends a process. Of its unsynced batches, a random number of the first ones reach the disk
    /// and the rest are lost.
    fn crash(&mut self, node: usize) {
        let keep = self.rng.random_range(0..=self.vms[node].unsynced.len());
        let vm = &mut self.vms[node];
        vm.raft = None;
        for ready in std::mem::take(&mut vm.unsynced).into_iter().take(keep) {
            write(&mut vm.disk, ready.persist);
        }
    }

    /// Crashes a process and empties its disk; the VM gets a new identity.
    fn lose_disk(&mut self, node: usize) {
        self.crash(node);
        let disk = self.next_disk;
        self.next_disk += 1;
        let voters = (0..VOTERS).map(|v| member(v, 1)).collect();
        let vm = &mut self.vms[node];
        vm.member.disk = disk;
        vm.disk = StoredState::initial(CLUSTER, voters);
    }

    fn leader(&self) -> Option<usize> {
        (0..VMS).find(|node| self.vms[*node].raft.as_ref().is_some_and(Raft::is_established))
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(100..8_000);
        self.tick();
        self.deliver();
        for node in 0..VMS {
            let slow = self.vms[node].slow_until > self.now;
            if self.rng.random_bool(if slow { 0.005 } else { 0.4 }) {
                self.sync(node);
            }
        }
        // Periods without proposals let partitioned members keep a log recent enough to be elected.
        let idle = self.now / 3_000_000 % 2 == 1;
        if !idle && self.rng.random_bool(0.2) {
            self.propose();
        }
        if self.faults && self.rng.random_bool(0.008) {
            self.inject_fault();
        }
        for node in 0..VMS {
            self.collect(node);
        }
        self.check();
    }

    fn tick(&mut self) {
        for node in 0..VMS {
            if self.vms[node].paused_until <= self.now {
                let now = self.clock(node);
                if let Some(raft) = &mut self.vms[node].raft {
                    raft.tick(now);
                }
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..64 {
            let Some(first) = self.in_flight.first_entry() else {
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

    fn sync(&mut self, node: usize) {
        let vm = &mut self.vms[node];
        let mut sent = Vec::new();
        for ready in std::mem::take(&mut vm.unsynced) {
            write(&mut vm.disk, ready.persist);
            if let Some(raft) = &mut vm.raft {
                raft.persisted(ready.id);
            }
            sent.extend(ready.messages);
        }
        self.send(node, sent);
    }

    fn send(&mut self, from: usize, messages: Vec<Envelope>) {
        for envelope in messages {
            let to = self.vms.iter().position(|v| v.member.vm == envelope.to.vm);
            if to.is_none_or(|to| self.cut_links.contains(&(from, to))) {
                continue;
            }
            let lost = self.faults && self.rng.random_bool(0.03);
            let copies = if lost { 0 } else { 1 + usize::from(self.rng.random_bool(0.03)) };
            for _ in 0..copies {
                let delay = if self.rng.random_bool(0.05) { 400_000 } else { 8_000 };
                let due = self.now + self.rng.random_range(0..delay);
                self.sent += 1;
                self.in_flight.insert((due, self.sent), envelope.clone());
            }
        }
    }

    fn propose(&mut self) {
        let node = self.rng.random_range(0..VMS);
        let now = self.clock(node);
        self.next_command += 1;
        let command = Payload::Command(self.next_command.to_be_bytes().to_vec());
        if let Some(raft) = &mut self.vms[node].raft {
            let _ = raft.propose(now, command);
        }
    }

    fn inject_fault(&mut self) {
        let node = self.rng.random_range(0..VMS);
        let other = self.rng.random_range(0..VMS);
        let leader = self.leader();
        let kind = match self.profile {
            Profile::Partitions => self.rng.random_range(0..8),
            Profile::Crashes => self.rng.random_range(6..14),
            Profile::DiskLosses => self.rng.random_range(12..24),
        };
        match kind {
            0 => {
                // Partitions one VM from all others in both directions.
                for peer in 0..VMS {
                    self.cut_both_ways(node, peer);
                }
            }
            1 => {
                self.cut_links.insert((node, other));
            }
            2 | 3 => {
                if let Some(leader) = leader {
                    self.cut_both_ways(leader, node);
                }
            }
            4 => {
                // The leader receives messages but cannot send any, or the other way round.
                if let Some(leader) = leader {
                    let outbound = self.rng.random_bool(0.5);
                    for peer in 0..VMS {
                        self.cut_links.insert(if outbound {
                            (leader, peer)
                        } else {
                            (peer, leader)
                        });
                    }
                }
            }
            5 => self.vms[node].paused_until = self.now + self.rng.random_range(0..3_000_000),
            6 | 12 => self.end_outages(),
            7 => self.vms[node].slow_until = self.now + self.rng.random_range(0..2_000_000),
            8 | 13 => self.crash(node),
            9 => {
                if let Some(leader) = leader {
                    self.crash(leader);
                }
            }
            10 => {
                if let Some(leader) = leader {
                    self.vms[leader].slow_until = self.now + 400_000;
                    self.cut_both_ways(leader, other);
                }
            }
            11 => self.restart_all(),
            14 | 15 => self.try_lose_disk(),
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
            18 => self.cut_both_ways(node, other),
            _ => {
                if let Some(leader) = leader {
                    self.change_one_voter(leader);
                }
            }
        }
    }

    fn cut_both_ways(&mut self, a: usize, b: usize) {
        self.cut_links.insert((a, b));
        self.cut_links.insert((b, a));
    }

    fn restart_all(&mut self) {
        for node in 0..VMS {
            if self.vms[node].raft.is_none() {
                self.start(node);
            }
        }
    }

    /// Restores all links and starts all processes.
    fn end_outages(&mut self) {
        self.cut_links.clear();
        self.restart_all();
    }

    /// Empties the disk of one VM, but only while a majority of every voter set in use keeps its
    /// data: the log is not required to survive more.
    fn try_lose_disk(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let node = self.rng.random_range(0..VMS);
        if self.all_voters().iter().all(|voters| self.keeps_majority(voters, node))
            && self.is_synced(leader)
        {
            self.lose_disk(node);
            self.start(node);
        }
    }

    /// Returns whether a majority of these voters still has its data after the loss of one VM's
    /// disk.
    fn keeps_majority(&self, voters: &Voters, lost: usize) -> bool {
        let intact = self.vms.iter().enumerate().filter(|(node, _)| *node != lost);
        intact.filter(|(_, vm)| voters.contains(&vm.member)).count() > voters.len() / 2
    }

    /// Returns every voter set that any VM has in its log: each may be the one in use.
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

    /// Returns whether all intact voters have all committed entries on disk, so that the loss of
    /// one more disk loses none.
    fn is_synced(&self, leader: usize) -> bool {
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

    /// Adds a VM to the voters, or removes a voter whose disk was lost or that exceeds [`VOTERS`].
    fn change_one_voter(&mut self, leader: usize) {
        let now = self.clock(leader);
        let present: BTreeSet<Member> = self.vms.iter().map(|v| v.member.clone()).collect();
        let add = self.vms[self.rng.random_range(0..VMS)].member.clone();
        let raft = self.vms[leader].raft.as_mut().unwrap();
        let mut voters = raft.voters().clone();
        let stale = voters.iter().find(|m| !present.contains(m)).cloned();
        if let Some(stale) = stale.filter(|_| voters.len() > VOTERS) {
            voters.remove(&stale);
        } else if voters.len() > VOTERS {
            let first = voters.first().cloned().unwrap();
            voters.remove(&first);
        } else {
            voters.insert(add);
        }
        let _ = raft.change_voters(now, voters);
    }

    /// Takes a member's batches and its committed entries, and checks the latter against those of
    /// the other members.
    fn collect(&mut self, node: usize) {
        let learners: BTreeSet<Member> = self.vms.iter().map(|v| v.member.clone()).collect();
        let vm = &mut self.vms[node];
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
                "a snapshot includes only committed entries"
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

    /// Asserts that each term has one leader and that at most one member holds a lease.
    fn check(&mut self) {
        let mut leases = 0;
        for node in 0..VMS {
            let now = self.clock(node);
            let Some(raft) = &self.vms[node].raft else {
                continue;
            };
            if raft.role() == RoleName::Leader {
                let me = raft.member().clone();
                let known = self.leaders.entry(raft.term()).or_insert_with(|| me.clone());
                assert_eq!(*known, me, "a term has one leader");
            }
            leases += usize::from(raft.has_lease(now));
        }
        assert!(leases <= 1, "{leases} members hold a lease at once");
    }

    /// Ends all faults and asserts that the log commits new entries again.
    fn assert_progress(&mut self) {
        self.faults = false;
        self.end_outages();
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

/// Writes one batch to a disk as a synced transaction would.
fn write(disk: &mut StoredState, persist: WriteBatch) {
    if let Some(hard) = persist.hard_state {
        assert!(hard.term >= disk.hard_state.term, "terms never decrease");
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
        assert_eq!(entry.index, end + 1, "the log on disk has no gaps");
        disk.entries.push(entry);
    }
}

fn run(seeds: std::ops::Range<u64>) {
    let mut committed = 0;
    for seed in seeds {
        let result = std::panic::catch_unwind(|| {
            let mut sim = Simulation::new(seed);
            for _ in 0..STEPS {
                sim.step();
            }
            sim.assert_progress();
            sim.committed.len()
        });
        committed += result.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    assert!(committed > 0, "the runs commit something");
}

#[test]
fn log_guarantees_hold_under_random_failures_1() {
    run(0..150);
}

#[test]
fn log_guarantees_hold_under_random_failures_2() {
    run(150..300);
}

#[test]
fn log_guarantees_hold_under_random_failures_3() {
    run(300..450);
}

#[test]
fn log_guarantees_hold_under_random_failures_4() {
    run(450..600);
}
