//! Finding the other control VMs, founding the log, and who votes.

use model::{Span, VmName};
use raft::{Raft, StoredState, Voters, WriteBatch};

use crate::{
    machine::{Change, HELLO_INTERVAL, Keeper, LOST_AFTER, Output, SPENT_FOR},
    seats::{Peer, Seats},
    wire::{AgedServer, Message},
};

/// Silence after which a VM is no longer asked whether it is there.
const FORGET_AFTER: Span = Span::from_secs(600);
/// Number of the write that records the founding of the log; batches count from 1.
const FOUNDING_WRITE: u64 = 0;

impl Keeper {
    pub(crate) fn learn(&mut self, vms: Vec<VmName>) {
        for vm in vms {
            if vm != self.setup.vm {
                let now = self.now;
                self.known.entry(vm).or_insert(now);
            }
        }
    }

    pub(crate) fn hello(&mut self) {
        let now = self.now;
        let live = self.peers.iter().filter(|(_, p)| now < p.heard + LOST_AFTER);
        let known = live.map(|(vm, _)| vm.clone()).collect();
        let message = Message::Hello {
            incarnation: self.setup.incarnation,
            zone: self.setup.zone.clone(),
            member: self.copy.me().clone(),
            cluster: self.copy.raft().map(Raft::cluster),
            known,
        };
        let voters = self.copy.raft().map(|r| r.voters().clone()).unwrap_or_default();
        self.learn(voters.into_iter().map(|m| m.vm).collect());
        for vm in self.known.keys().cloned().collect::<Vec<_>>() {
            self.send(vm, message.clone());
        }
    }

    pub(crate) fn on_hello(&mut self, from: VmName, peer: Peer, known: Vec<VmName>) {
        let old = self.peers.get(&from);
        let lost = old.is_none_or(|p| self.now >= p.heard + LOST_AFTER);
        let restarted = old.is_some_and(|p| p.incarnation != peer.incarnation);
        self.learn(known);
        self.known.insert(from.clone(), self.now);
        if lost {
            self.log(Change::Peer(from.clone(), true));
        }
        if lost || restarted {
            let seen = self.registry.with_ages(self.now);
            let servers = seen.map(|(server, age)| AgedServer { server, age }).collect();
            self.send(from.clone(), Message::Hold { token: None, servers });
        }
        if peer.cluster.is_none()
            && let Some(raft) = self.copy.raft()
        {
            let form = Message::Form { cluster: raft.cluster(), voters: raft.snapshot_voters() };
            self.send(from.clone(), form);
        }
        self.peers.insert(from, peer);
    }

    pub(crate) fn expire(&mut self) {
        let now = self.now;
        let lost: Vec<VmName> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                now >= p.heard + LOST_AFTER && now < p.heard + LOST_AFTER + HELLO_INTERVAL
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in lost {
            self.log(Change::Peer(vm, false));
        }
        // Seeds are the way back to the others, so they are asked however long they are silent.
        let seeds = &self.setup.seeds;
        self.known.retain(|vm, heard| seeds.contains(vm) || now < *heard + FORGET_AFTER);
        self.entries.retain(|_, (heard, _, _)| now < *heard + LOST_AFTER);
        self.spent.retain(|_, (at, _)| now < *at + SPENT_FOR);
        self.registry.expire(now, self.setup.silence);
    }

    /// Founds the log, if it is up to this VM: it is the first of the seeds, and has heard from
    /// all of them that none holds a log.
    pub(crate) fn found(&mut self) {
        let first = self.setup.seeds.iter().min() == Some(&self.setup.vm);
        if !self.setup.founding || !first || self.copy.raft().is_some() {
            return;
        }
        let member = |vm: &VmName| {
            if *vm == self.setup.vm {
                return Some(self.copy.me().clone());
            }
            self.peers.get(vm).filter(|p| p.cluster.is_none()).map(|p| p.member.clone())
        };
        let voters: Option<Voters> = self.setup.seeds.iter().map(member).collect();
        if let Some(voters) = voters {
            let cluster = self.copy.generate_cluster_id();
            self.form(cluster, voters);
            self.hello();
        }
    }

    pub(crate) fn form(&mut self, cluster: u64, voters: Voters) {
        let stored = StoredState::initial(cluster, voters);
        let persist =
            WriteBatch { snapshot: Some(stored.snapshot.clone()), ..WriteBatch::default() };
        self.copy.start(self.now, stored);
        self.out.push(Output::Persist { id: FOUNDING_WRITE, cluster, persist });
        self.log(Change::Formed(cluster));
    }

    pub(crate) fn arrange_seats(&mut self) {
        let leads = self.copy.leads();
        let Some(raft) = self.copy.raft() else {
            return;
        };
        let seats = Seats {
            now: self.now,
            me: raft.member(),
            zone: &self.setup.zone,
            peers: &self.peers,
            wanted: self.setup.losses * 2 + 1,
        };
        let learners = seats.learners(raft.cluster());
        let next = if leads { seats.next(raft) } else { None };
        let now = self.now;
        if let Some(raft) = self.copy.raft_mut() {
            raft.set_learners(learners);
            if let Some(next) = next {
                // Refused while another change is in flight or the new copy lags; tried again.
                let _ = raft.change_voters(now, next);
            }
        }
    }

    pub(crate) fn stop(&mut self) {
        self.stopping = true;
        if let Some(raft) = self.copy.raft_mut() {
            raft.transfer();
        }
    }
}
