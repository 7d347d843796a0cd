//! What VMs that grant the same servers tell each other, and who may take room that all see.

use model::{ServerId, TIER_COUNT, Tier, Time, VmName, lot};

use crate::action::VmLoad;

use super::{Pool, Server, server::Sums};

/// Weight of a ticket, relative to one of the tier below, when VMs share room. A few tickets of a high
/// tier that no room suits must not keep the others from it.
const TIER_WEIGHT: f64 = 4.0;

/// What another VM said that it has in flight.
#[derive(Debug)]
pub(super) struct Others {
    pub(super) heard: Time,
    told: VmLoad,
}

/// How much what waits at a VM weighs when VMs share room: a ticket as much as four of the tier below.
fn claim(waiting: &[(u32, f64); TIER_COUNT]) -> f64 {
    waiting.iter().fold(0.0, |sum, (count, _)| sum * TIER_WEIGHT + f64::from(*count))
}

impl Pool {
    /// Takes what another VM has in flight.
    pub(crate) fn share(&mut self, now: Time, vm: VmName, told: VmLoad) {
        for (id, slowness) in &told.slowness {
            if let Some(server) = self.servers.get_mut(id) {
                server.hear(now, *slowness);
            }
        }
        for busy in self.others.remove(&vm).into_iter().flat_map(|o| o.told.servers) {
            if let Some(server) = self.servers.get_mut(&busy.id) {
                server.elsewhere.remove(&busy);
            }
        }
        for busy in &told.servers {
            if let Some(server) = self.servers.get_mut(&busy.id) {
                server.elsewhere.add(busy);
            }
        }
        self.others.insert(vm, Others { heard: now, told });
    }

    /// Takes what a server said of its speed, to this VM.
    pub(crate) fn report(&mut self, now: Time, id: &ServerId, slowness: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.hear(now, slowness);
        }
        self.news.insert(id.clone(), slowness);
    }

    /// Notes what the others are told: they know of all room, and what waits here.
    pub(crate) fn note_told(&mut self, waiting: &[(u32, f64); TIER_COUNT]) {
        self.claimed = claim(waiting);
        for server in self.servers.values_mut() {
            server.released = 0;
        }
    }

    /// The VMs that want room, with the weight of what waits there; empty if no other VM does.
    pub(super) fn rivals(&self, own: &[(u32, f64); TIER_COUNT]) -> Vec<(&VmName, f64)> {
        let others = self.others.iter().map(|(vm, o)| (vm, claim(&o.told.waiting)));
        let mut rivals: Vec<_> = others.filter(|(_, weight)| *weight > 0.0).collect();
        if let (Some(me), false) = (&self.vm, rivals.is_empty()) {
            // The others go by what they were told.
            rivals.push((me, claim(own).max(self.claimed)));
        }
        rivals
    }

    /// Whether this VM may take room of a server now. All VMs see the same room at about the same
    /// time, so one of them has the first right to it: each as often as its waiting tickets weigh.
    pub(super) fn may_take(&self, now: Time, server: &Server, rivals: &[(&VmName, f64)]) -> bool {
        if rivals.is_empty() || server.released > 0 {
            return true;
        }
        if server.free_since.is_some_and(|since| now >= since + self.grace) {
            return true;
        }
        let id = server.info.id.as_str();
        let score =
            |vm: &VmName, weight: f64| -lot(id, vm.as_str()).max(f64::MIN_POSITIVE).ln() / weight;
        let weighty = rivals.iter().filter(|(_, weight)| *weight > 0.0);
        let scores = weighty.map(|(vm, weight)| (*vm, score(vm, *weight)));
        let first = scores.min_by(|(_, a), (_, b)| a.total_cmp(b));
        first.is_some_and(|(vm, _)| self.vm.as_ref() == Some(vm))
    }

    /// What servers said of their speed since this was asked last.
    pub(crate) fn take_news(&mut self) -> Vec<(ServerId, f64)> {
        std::mem::take(&mut self.news).into_iter().collect()
    }

    /// For each tier, tickets that wait at other VMs in the tiers above.
    pub(crate) fn waits_above(&self) -> [u32; TIER_COUNT] {
        let mut above = [0; TIER_COUNT];
        for other in self.others.values() {
            let mut sum = 0;
            for (above, (count, _)) in above.iter_mut().zip(&other.told.waiting) {
                *above += sum;
                sum += count;
            }
        }
        above
    }

    /// Predicted seconds of work that wait at other VMs up to this tier.
    pub(crate) fn work_elsewhere(&self, tier: Tier) -> f64 {
        let before = self.others.values().flat_map(|o| &o.told.waiting[..=tier.index()]);
        before.map(|(_, work)| work).sum()
    }

    pub(super) fn sum_others(&mut self) {
        for server in self.servers.values_mut() {
            server.elsewhere = Sums::default();
        }
        for busy in self.others.values().flat_map(|o| &o.told.servers) {
            if let Some(server) = self.servers.get_mut(&busy.id) {
                server.elsewhere.add(busy);
            }
        }
    }
}
