//! Heartbeats, lost VMs, contact, and the roles that move with them.

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
    pub(crate) fn on_heartbeat(&mut self, from: &VmName, beat: &Heartbeat) {
        let now = self.clock.now;
        let was_live = self.members.is_live(from);
        let heard = self.members.hear(now, from, beat.clone());
        if heard.restarted {
            self.forget(from);
        }
        if heard.changed && !was_live {
            self.out.push(Output::Log(LogEvent::PeerUp(from.clone())));
            self.send_beat(from.clone());
        }
        self.on_member(from, beat);
        if beat.marks == self.marks.digest() {
            self.members.ready = true;
        } else if heard.changed {
            let marks = self.marks.all().map(|(s, m)| (s.clone(), m.clone())).collect();
            self.send(from.clone(), Message::Marks { token: None, marks });
        }
        if heard.changed {
            self.update_contact();
            self.update_view();
        }
    }

    /// Helps a VM without a log to join, or counts it for the founding.
    pub(crate) fn on_member(&mut self, from: &VmName, beat: &Heartbeat) {
        if beat.cluster.is_none() {
            self.shared.hear_unformed(beat.member.clone());
            if let Some(raft) = self.shared.raft() {
                let form =
                    Message::Form { cluster: raft.cluster(), voters: raft.snapshot_voters() };
                self.send(from.clone(), form);
            }
        }
        self.update_learners();
    }

    /// Every live copy of the log that does not vote receives it.
    pub(crate) fn update_learners(&mut self) {
        let Some(raft) = self.shared.raft() else {
            return;
        };
        let cluster = Some(raft.cluster());
        let live = self.members.live().filter(|(_, b)| b.cluster == cluster);
        let learners: BTreeSet<_> = live.map(|(_, b)| b.member.clone()).collect();
        if let Some(raft) = self.shared.raft_mut() {
            raft.set_learners(learners);
        }
    }

    pub(crate) fn found(&mut self) {
        if let Some(voters) = self.shared.founders() {
            let cluster = self.shared.generate_cluster_id();
            if let Some(stored) = self.shared.form(self.clock.now, cluster, voters) {
                self.record_founding(stored.cluster, stored.snapshot);
            }
        }
    }

    pub(crate) fn record_founding(&mut self, cluster: u64, snapshot: Snapshot) {
        let persist = WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() };
        self.out.push(Output::Persist { id: FOUNDING_WRITE, cluster, persist });
        self.out.push(Output::Log(LogEvent::Formed(cluster)));
        self.update_learners();
        self.beat();
    }

    pub(crate) fn lose(&mut self, vm: &VmName) {
        self.out.push(Output::Log(self.members.change_of(vm)));
        self.forget(vm);
        self.update_learners();
    }

    /// Drops what belonged to a process that is gone.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        let mut actions = Vec::new();
        self.brokers.forget(self.clock.now, vm, &mut actions);
        self.homes.forget(vm);
        self.act(actions);
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
            member: self.shared.me().clone(),
            cluster: self.shared.raft().map(raft::Raft::cluster),
            revision: self.shared.state().catalogue().revision(),
        }
    }

    pub(crate) fn send_beat(&mut self, to: VmName) {
        let beat = self.heartbeat();
        self.send(to, Message::Heartbeat(beat));
    }

    pub(crate) fn beat(&mut self) {
        self.beat_at = self.clock.now + HEARTBEAT_INTERVAL;
        let others: Vec<VmName> = self.members.others().map(|(vm, _)| vm.clone()).collect();
        for vm in others {
            self.send_beat(vm);
        }
    }

    pub(crate) fn drain(&mut self) {
        if self.members.draining {
            return;
        }
        self.members.draining = true;
        if let Some(raft) = self.shared.raft_mut() {
            raft.transfer();
        }
        self.beat();
        self.update_view();
    }

    pub(crate) fn update_contact(&mut self) {
        let quorum = self.shared.in_quorum(self.clock.now);
        let (visible, all) = (self.members.visible_len(), self.members.all_len());
        let contact = match (quorum, visible) {
            (true, _) if visible == all => Contact::Whole,
            (true, _) => Contact::Quorum,
            (false, 1) => Contact::Alone,
            (false, _) => Contact::Minority,
        };
        if contact != self.contact {
            self.contact = contact;
            self.out.push(Output::Log(LogEvent::Contact(contact)));
            let zone_len = self.members.of_zone(&self.members.zone).len();
            let full = is_allowed(contact, Operation::FullWindow);
            let vms = u32::try_from(zone_len).unwrap_or(1);
            self.brokers.set_share(if full { 1.0 } else { 1.0 / f64::from(vms) });
        }
    }

    /// The part of every limit that this VM's side of a possible partition may spend.
    pub(crate) fn side(&self) -> PartitionSide {
        PartitionSide {
            visible: self.members.visible_len(),
            all: self.members.all_len(),
            quorum: is_allowed(self.contact, Operation::FullLimit),
        }
    }

    /// Moves roles when the set of VMs that can hold them changed.
    pub(crate) fn update_view(&mut self) {
        let view = self.members.view();
        if view == self.view {
            return;
        }
        self.view = view;
        let (members, zone) = (&self.members, self.members.zone.clone());
        self.brokers.retain(|service| members.broker(&zone, service).as_ref() == Some(&members.me));
        for (announcement, zone) in self.brokers.heard(self.clock.now) {
            if let Some(broker) = self.members.broker(&zone, &announcement.service) {
                self.send(broker, Message::Announce { announcement });
            }
        }
        self.reroute();
    }
}
