//! Heartbeats, the loss of VMs, and their effect on contact and roles.
//!
//! A change of the live VMs updates the learners of the replicated log, the contact of this VM and
//! the choice of the VMs that host brokers and enforce limits.

use std::collections::BTreeSet;

use limits::PartitionSide;
use model::VmName;
use raft::{Snapshot, WriteBatch};

use crate::{
    contact::{Contact, Operation, is_allowed},
    event::{LogEvent, Output},
    machine::{FOUNDING_WRITE, Machine, SYNC_GRACE},
    members::HEARTBEAT_INTERVAL,
    wire::{Heartbeat, Message},
};

impl Machine {
    pub(crate) fn on_heartbeat(&mut self, from: &VmName, heartbeat: &Heartbeat) {
        let now = self.clock.now;
        let was_live = self.members.is_live(from);
        let effect = self.members.record_heartbeat(now, from, heartbeat.clone());
        if effect.restarted {
            self.remove_owner(from);
        }
        if effect.changed && !was_live {
            self.out.push(Output::Log(LogEvent::PeerUp(from.clone())));
            self.send_heartbeat(from.clone());
        }
        self.help_bootstrap(from, heartbeat);
        if heartbeat.marks == self.marks.digest() {
            self.members.ready = true;
        } else if effect.changed {
            let marks = self.marks.all().map(|(s, m)| (s.clone(), m.clone())).collect();
            self.send(from.clone(), Message::Marks { token: None, marks });
        }
        if effect.changed {
            self.update_contact();
            self.update_roles();
        }
    }

    /// Records if a VM holds no copy of the log, and sends it the founding if this VM holds one.
    pub(crate) fn help_bootstrap(&mut self, from: &VmName, heartbeat: &Heartbeat) {
        if heartbeat.cluster.is_none() {
            self.log.record_without_log(heartbeat.member.clone());
            if let Some(raft) = self.log.raft() {
                let form =
                    Message::Form { cluster: raft.cluster(), voters: raft.snapshot_voters() };
                self.send(from.clone(), form);
            }
        }
        self.update_learners();
    }

    /// Makes the copies of all live VMs of the cluster learners, so that those that do not vote
    /// receive the log.
    pub(crate) fn update_learners(&mut self) {
        let Some(raft) = self.log.raft() else {
            return;
        };
        let cluster = Some(raft.cluster());
        let live = self.members.live_peers().filter(|(_, h)| h.cluster == cluster);
        let learners: BTreeSet<_> = live.map(|(_, h)| h.member.clone()).collect();
        if let Some(raft) = self.log.raft_mut() {
            raft.set_learners(learners);
        }
    }

    pub(crate) fn found_log(&mut self) {
        if let Some(voters) = self.log.founding_voters() {
            let cluster = self.log.generate_cluster_id();
            if let Some(stored) = self.log.start_log(self.clock.now, cluster, voters) {
                self.record_founding(stored.cluster, stored.snapshot);
            }
        }
    }

    pub(crate) fn record_founding(&mut self, cluster: u64, snapshot: Snapshot) {
        let persist = WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() };
        self.out.push(Output::Persist { id: FOUNDING_WRITE, cluster, persist });
        self.out.push(Output::Log(LogEvent::Formed(cluster)));
        self.update_learners();
        self.broadcast_heartbeat();
    }

    pub(crate) fn on_peer_lost(&mut self, vm: &VmName) {
        self.out.push(Output::Log(self.members.liveness_event(vm)));
        self.remove_owner(vm);
        self.update_learners();
    }

    /// Removes the requests of a VM whose process ended.
    pub(crate) fn remove_owner(&mut self, vm: &VmName) {
        let mut actions = Vec::new();
        self.brokers.remove_owner(self.clock.now, vm, &mut actions);
        self.account_limits.remove_owner(vm);
        self.send_actions(actions);
    }

    pub(crate) fn update_ready(&mut self) {
        let started = self.started.unwrap_or_default();
        if self.clock.now >= started + SYNC_GRACE {
            self.members.ready = true;
        }
    }

    pub(crate) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            zone: self.members.zone.clone(),
            ready: self.members.ready,
            draining: self.members.draining,
            marks: self.marks.digest(),
            member: self.log.me().clone(),
            cluster: self.log.raft().map(raft::Raft::cluster),
            revision: self.log.state().catalogue().revision(),
        }
    }

    pub(crate) fn send_heartbeat(&mut self, to: VmName) {
        let heartbeat = self.heartbeat();
        self.send(to, Message::Heartbeat(heartbeat));
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        self.heartbeat_at = self.clock.now + HEARTBEAT_INTERVAL;
        let others: Vec<VmName> = self.members.peers().map(|(vm, _)| vm.clone()).collect();
        for vm in others {
            self.send_heartbeat(vm);
        }
    }

    pub(crate) fn drain(&mut self) {
        if self.members.draining {
            return;
        }
        self.members.draining = true;
        if let Some(raft) = self.log.raft_mut() {
            raft.transfer();
        }
        self.broadcast_heartbeat();
        self.update_roles();
    }

    pub(crate) fn update_contact(&mut self) {
        let quorum = self.log.in_quorum(self.clock.now);
        let (visible, all) = (self.members.live_count(), self.members.vm_count());
        let contact = match (quorum, visible) {
            (true, _) if visible == all => Contact::Whole,
            (true, _) => Contact::Quorum,
            (false, 1) => Contact::Alone,
            (false, _) => Contact::Minority,
        };
        if contact != self.contact {
            self.contact = contact;
            self.out.push(Output::Log(LogEvent::Contact(contact)));
            let zone_vms = self.members.vms_in_zone(&self.members.zone).len();
            let full = is_allowed(contact, Operation::FullWindow);
            let vms = u32::try_from(zone_vms).unwrap_or(1);
            self.brokers.set_window_share(if full { 1.0 } else { 1.0 / f64::from(vms) });
        }
    }

    /// Returns the side of a possible partition that this VM is on, which determines the share of
    /// every limit that it may spend.
    pub(crate) fn partition_side(&self) -> PartitionSide {
        PartitionSide {
            visible: self.members.live_count(),
            all: self.members.vm_count(),
            quorum: is_allowed(self.contact, Operation::FullLimit),
        }
    }

    /// Reassigns roles if the set of VMs that can hold them has changed.
    pub(crate) fn update_roles(&mut self) {
        let digest = self.members.role_digest();
        if digest == self.role_digest {
            return;
        }
        self.role_digest = digest;
        let (members, zone) = (&self.members, self.members.zone.clone());
        self.brokers
            .retain(|service| members.broker_vm(&zone, service).as_ref() == Some(&members.me));
        for (announcement, zone) in self.brokers.live_announcements(self.clock.now) {
            if let Some(broker) = self.members.broker_vm(&zone, &announcement.service) {
                self.send(broker, Message::Announce { announcement });
            }
        }
        self.reassign_requests();
    }
}
