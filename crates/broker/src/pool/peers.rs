//! Load reports between VMs that grant the same servers, and the rule by which they share free
//! slots.
//!
//! All such VMs see the same free slots at about the same time. For each server, the rule picks one
//! VM that may grant them first, without a message between the VMs.

use model::{ServerId, TIER_COUNT, Tier, Time, VmName, unit_hash};

use crate::action::VmLoad;

use super::{Pool, Server, server::LoadSums};

/// Weight of a waiting ticket, relative to one of the tier below, when VMs share free slots. It is
/// limited so that a few tickets of a high tier that no free server suits do not keep other VMs
/// from the slots.
const TIER_WEIGHT: f64 = 4.0;

/// The last load report of another VM, and the time of its arrival.
#[derive(Debug)]
pub(super) struct PeerReport {
    pub(super) received_at: Time,
    load: VmLoad,
}

/// Returns the weight of a VM's waiting tickets when VMs share free slots: a ticket counts as much
/// as four of the tier below.
fn waiting_weight(waiting: &[(u32, f64); TIER_COUNT]) -> f64 {
    waiting.iter().fold(0.0, |sum, (count, _)| sum * TIER_WEIGHT + f64::from(*count))
}

impl Pool {
    /// Replaces the load that another VM reported.
    pub(crate) fn set_vm_load(&mut self, now: Time, vm: VmName, load: VmLoad) {
        for (id, slowness) in &load.slowness {
            if let Some(server) = self.servers.get_mut(id) {
                server.record_slowness(now, *slowness);
            }
        }
        self.clear_vm_load(&vm);
        for server_load in &load.servers {
            if let Some(server) = self.servers.get_mut(&server_load.id) {
                server.peer_load.add(server_load);
            }
        }
        self.peers.insert(vm, PeerReport { received_at: now, load });
    }

    /// Returns whether other VMs have reported their load.
    pub(crate) fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Drops the load that another VM reported.
    pub(crate) fn clear_vm_load(&mut self, vm: &VmName) {
        for server_load in self.peers.remove(vm).into_iter().flat_map(|p| p.load.servers) {
            if let Some(server) = self.servers.get_mut(&server_load.id) {
                server.peer_load.remove(&server_load);
            }
        }
    }

    /// Records the slowness that a server reported to this VM.
    pub(crate) fn record_slowness(&mut self, now: Time, id: &ServerId, slowness: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_slowness(now, slowness);
        }
        self.unsent_slowness.insert(id.clone(), slowness);
    }

    /// Records that a load report with these waiting tickets is sent: the other VMs now know of all
    /// free slots, and of the tickets that wait here.
    pub(crate) fn note_reported(&mut self, waiting: &[(u32, f64); TIER_COUNT]) {
        self.reported_weight = waiting_weight(waiting);
        for server in self.servers.values_mut() {
            server.released = 0;
        }
    }

    /// Returns the VMs with waiting tickets and the weight of these, this VM included; empty if no
    /// other VM has any.
    pub(super) fn contenders(
        &self,
        own: impl FnOnce() -> [(u32, f64); TIER_COUNT],
    ) -> Vec<(&VmName, f64)> {
        let others = self.peers.iter().map(|(vm, p)| (vm, waiting_weight(&p.load.waiting)));
        let mut contenders: Vec<_> = others.filter(|(_, weight)| *weight > 0.0).collect();
        if let (Some(this), false) = (&self.vm, contenders.is_empty()) {
            // The other VMs compare with the weight in this VM's last report.
            contenders.push((this, waiting_weight(&own()).max(self.reported_weight)));
        }
        contenders
    }

    /// Returns whether this VM may grant free slots of a server now. All VMs see the same free
    /// slots at about the same time, so one of them is picked to grant first: each as often as its
    /// weight says, by a weighted draw that is the same on all VMs.
    pub(super) fn may_grant(
        &self,
        now: Time,
        server: &Server,
        contenders: &[(&VmName, f64)],
    ) -> bool {
        if contenders.is_empty() || server.released > 0 {
            return true;
        }
        if server.free_since.is_some_and(|since| now >= since + self.grace) {
            return true;
        }
        let id = server.info.id.as_str();
        let score = |vm: &VmName, weight: f64| {
            -unit_hash(id, vm.as_str()).max(f64::MIN_POSITIVE).ln() / weight
        };
        let weighted = contenders.iter().filter(|(_, weight)| *weight > 0.0);
        let scores = weighted.map(|(vm, weight)| (*vm, score(vm, *weight)));
        let first = scores.min_by(|(_, a), (_, b)| a.total_cmp(b));
        first.is_some_and(|(vm, _)| self.vm.as_ref() == Some(vm))
    }

    /// Takes the reports of slowness that servers made to this VM since the last call.
    pub(crate) fn take_slowness(&mut self) -> Vec<(ServerId, f64)> {
        std::mem::take(&mut self.unsent_slowness).into_iter().collect()
    }

    /// Returns, for each tier, the number of tickets of higher tiers that wait at other VMs.
    pub(crate) fn peers_waiting_above(&self) -> [u32; TIER_COUNT] {
        let mut above = [0; TIER_COUNT];
        for other in self.peers.values() {
            let mut sum = 0;
            for (above, (count, _)) in above.iter_mut().zip(&other.load.waiting) {
                *above += sum;
                sum += count;
            }
        }
        above
    }

    /// Returns the predicted seconds of work that wait at other VMs in this tier and above.
    pub(crate) fn peer_work(&self, tier: Tier) -> f64 {
        let before = self.peers.values().flat_map(|p| &p.load.waiting[..=tier.index()]);
        before.map(|(_, work)| work).sum()
    }

    pub(super) fn rebuild_peer_load(&mut self) {
        for server in self.servers.values_mut() {
            server.peer_load = LoadSums::default();
        }
        for server_load in self.peers.values().flat_map(|p| &p.load.servers) {
            if let Some(server) = self.servers.get_mut(&server_load.id) {
                server.peer_load.add(server_load);
            }
        }
    }
}
