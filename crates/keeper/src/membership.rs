//! Discovery of the other control VMs, founding of the replicated log, and changes of its voters.
//!
//! Control VMs find each other through the seeds and through the VMs that heartbeats list. The
//! first of the seeds founds the log once all seeds have reported that they belong to none. Other
//! VMs join as learners, from which the leader selects voters.

use model::{Span, VmName};
use raft::{Raft, StoredState, Voters, WriteBatch};

use crate::{
    machine::{Change, HELLO_INTERVAL, Keeper, Output, PEER_TIMEOUT, SPENDING_WINDOW},
    voters::{Peer, VoterSelection},
    wire::{AgedServer, Message},
};

/// Silence after which a control VM other than a seed receives no more heartbeats.
const FORGET_AFTER: Span = Span::from_secs(600);
/// Number of the batch that records the founding of the log. Other batches are numbered from 1.
const FOUNDING_WRITE: u64 = 0;

impl Keeper {
    /// Adds control VMs to send heartbeats to.
    pub(crate) fn add_contacts(&mut self, vms: Vec<VmName>) {
        for vm in vms {
            if vm != self.setup.vm {
                let now = self.now;
                self.contacts.entry(vm).or_insert(now);
            }
        }
    }

    /// Sends a heartbeat to all known control VMs.
    pub(crate) fn hello(&mut self) {
        let now = self.now;
        let live = self.peers.iter().filter(|(_, p)| now < p.last_seen + PEER_TIMEOUT);
        let known = live.map(|(vm, _)| vm.clone()).collect();
        let message = Message::Hello {
            incarnation: self.setup.incarnation,
            zone: self.setup.zone.clone(),
            member: self.replica.me().clone(),
            cluster: self.replica.raft().map(Raft::cluster),
            known,
        };
        let voters = self.replica.raft().map(|r| r.voters().clone()).unwrap_or_default();
        self.add_contacts(voters.into_iter().map(|m| m.vm).collect());
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.send(vm, message.clone());
        }
    }

    /// Records a heartbeat. A control VM that is new, returned or restarted is sent the registry,
    /// and one without a log is asked to join this one.
    pub(crate) fn on_hello(&mut self, from: VmName, peer: Peer, known: Vec<VmName>) {
        let old = self.peers.get(&from);
        let lost = old.is_none_or(|p| self.now >= p.last_seen + PEER_TIMEOUT);
        let restarted = old.is_some_and(|p| p.incarnation != peer.incarnation);
        self.add_contacts(known);
        self.contacts.insert(from.clone(), self.now);
        if lost {
            self.report(Change::Peer(from.clone(), true));
        }
        if lost || restarted {
            let servers = self.registry.with_ages(self.now);
            let servers = servers.map(|(server, age)| AgedServer { server, age }).collect();
            self.send(from.clone(), Message::Hold { token: None, servers });
        }
        if peer.cluster.is_none()
            && let Some(raft) = self.replica.raft()
        {
            let form = Message::Form { cluster: raft.cluster(), voters: raft.snapshot_voters() };
            self.send(from.clone(), form);
        }
        self.peers.insert(from, peer);
    }

    /// Reports control VMs that fell silent, and removes records that are too old.
    pub(crate) fn expire(&mut self) {
        let now = self.now;
        let lost: Vec<VmName> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                now >= p.last_seen + PEER_TIMEOUT
                    && now < p.last_seen + PEER_TIMEOUT + HELLO_INTERVAL
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in lost {
            self.report(Change::Peer(vm, false));
        }
        // Seeds are kept however long they are silent: an isolated VM finds the others through
        // them.
        let seeds = &self.setup.seeds;
        self.contacts.retain(|vm, last_seen| seeds.contains(vm) || now < *last_seen + FORGET_AFTER);
        self.entry_vms.retain(|_, (last_seen, _)| now < *last_seen + PEER_TIMEOUT);
        self.spending.retain(|_, (at, _)| now < *at + SPENDING_WINDOW);
        self.registry.expire(now, self.setup.silence);
    }

    /// Founds the log if this VM is the first of the seeds by name and every other seed has
    /// reported that it belongs to no log.
    pub(crate) fn try_found(&mut self) {
        let first = self.setup.seeds.iter().min() == Some(&self.setup.vm);
        if !self.setup.founding || !first || self.replica.raft().is_some() {
            return;
        }
        let member = |vm: &VmName| {
            if *vm == self.setup.vm {
                return Some(self.replica.me().clone());
            }
            self.peers.get(vm).filter(|p| p.cluster.is_none()).map(|p| p.member.clone())
        };
        let voters: Option<Voters> = self.setup.seeds.iter().map(member).collect();
        if let Some(voters) = voters {
            let cluster = self.replica.generate_cluster_id();
            self.start_log(cluster, voters);
            self.hello();
        }
    }

    /// Starts the replica of a log that was just founded or is joined, and records it on disk.
    pub(crate) fn start_log(&mut self, cluster: u64, voters: Voters) {
        let stored = StoredState::initial(cluster, voters);
        let persist =
            WriteBatch { snapshot: Some(stored.snapshot.clone()), ..WriteBatch::default() };
        self.replica.start(self.now, stored);
        self.out.push(Output::Persist { id: FOUNDING_WRITE, cluster, persist });
        self.report(Change::Formed(cluster));
    }

    /// Updates the learners and, as the leader, proposes the next change of voters.
    pub(crate) fn update_voters(&mut self) {
        let leads = self.replica.leads();
        let Some(raft) = self.replica.raft() else {
            return;
        };
        let selection = VoterSelection {
            now: self.now,
            me: raft.member(),
            zone: &self.setup.zone,
            peers: &self.peers,
            target: self.setup.losses * 2 + 1,
        };
        let learners = selection.learners(raft.cluster());
        let next = if leads { selection.next(raft) } else { None };
        let now = self.now;
        if let Some(raft) = self.replica.raft_mut() {
            raft.set_learners(learners);
            if let Some(next) = next {
                // The change is refused while another is in flight or the new replica lags. It is
                // proposed again at the next heartbeat.
                let _ = raft.change_voters(now, next);
            }
        }
    }

    /// Prepares for shutdown: a leader transfers its leadership.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
        if let Some(raft) = self.replica.raft_mut() {
            raft.transfer();
        }
    }
}
