//! Liveness of the configured VMs, and the assignment of roles to them.
//!
//! Rendezvous hashing over the ready VMs chooses the VM that brokers a service in a zone and the
//! home of an account, which is the VM that enforces its limits. VMs with the same view of
//! liveness choose the same ones without messages.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use model::{ServiceName, Span, Time, VmName, ZoneName, rendezvous_pick};
use raft::Member;

use crate::{event::LogEvent, setup::Setup, wire::Heartbeat};

/// Interval at which a VM sends heartbeats to the others.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
/// Time without a heartbeat after which a VM counts as lost.
pub(crate) const LOST_AFTER: Span = Span::from_millis(1_500);

/// Another configured VM and its last heartbeat.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneName,
    last_seen: Option<Time>,
    heartbeat: Option<Heartbeat>,
    live: bool,
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatEffect {
    /// Whether the VM was not live before or any part of its state differs.
    pub(crate) changed: bool,
    /// Whether the VM's process restarted since its last heartbeat.
    pub(crate) restarted: bool,
}

/// This VM and the other configured VMs.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) me: VmName,
    pub(crate) zone: ZoneName,
    peers: BTreeMap<VmName, Peer>,
    /// Whether this VM may host brokers and enforce limits.
    pub(crate) ready: bool,
    pub(crate) draining: bool,
}

impl Members {
    pub(crate) fn new(setup: &Setup) -> Self {
        let peers = setup.peers.iter().map(|p| {
            let peer = Peer { zone: p.zone.clone(), last_seen: None, heartbeat: None, live: false };
            (p.vm.clone(), peer)
        });
        Self {
            me: setup.vm.clone(),
            zone: setup.zone.clone(),
            peers: peers.collect(),
            ready: setup.peers.is_empty(),
            draining: false,
        }
    }

    /// Records a heartbeat; one of an unknown VM or of an earlier process is ignored.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Time,
        from: &VmName,
        heartbeat: Heartbeat,
    ) -> HeartbeatEffect {
        let Some(peer) = self.peers.get_mut(from) else {
            return HeartbeatEffect::default();
        };
        let old = peer.heartbeat.as_ref();
        if old.is_some_and(|h| h.incarnation > heartbeat.incarnation) {
            return HeartbeatEffect::default();
        }
        let restarted = old.is_some_and(|h| h.incarnation < heartbeat.incarnation);
        let changed = !peer.live || old != Some(&heartbeat);
        peer.last_seen = Some(now);
        peer.live = true;
        peer.heartbeat = Some(heartbeat);
        HeartbeatEffect { changed, restarted }
    }

    /// Marks VMs without a recent heartbeat as lost, and returns those that were live.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<VmName> {
        let mut lost = Vec::new();
        for (vm, peer) in &mut self.peers {
            let silent = peer.last_seen.is_none_or(|at| now >= at + LOST_AFTER);
            if peer.live && silent {
                peer.live = false;
                lost.push(vm.clone());
            }
        }
        lost
    }

    /// Returns the live VMs other than this one, with their last heartbeats.
    pub(crate) fn live_peers(&self) -> impl Iterator<Item = (&VmName, &Heartbeat)> {
        let live = self.peers.iter().filter(|(_, p)| p.live);
        live.filter_map(|(vm, p)| p.heartbeat.as_ref().map(|h| (vm, h)))
    }

    pub(crate) fn is_live(&self, vm: &VmName) -> bool {
        *vm == self.me || self.peers.get(vm).is_some_and(|p| p.live)
    }

    /// Returns all configured VMs other than this one.
    pub(crate) fn peers(&self) -> impl Iterator<Item = (&VmName, &Peer)> {
        self.peers.iter()
    }

    /// Returns the number of configured VMs, including this one.
    pub(crate) fn vm_count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the number of live VMs, including this one.
    pub(crate) fn live_count(&self) -> u32 {
        u32::try_from(self.live_peers().count() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the configured VMs of a zone, live or not.
    pub(crate) fn vms_in_zone(&self, zone: &ZoneName) -> BTreeSet<VmName> {
        let others = self.peers.iter().filter(|(_, p)| p.zone == *zone);
        let mut vms: BTreeSet<VmName> = others.map(|(vm, _)| vm.clone()).collect();
        if *zone == self.zone {
            vms.insert(self.me.clone());
        }
        vms
    }

    /// Returns the zones of all configured VMs.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        let others = self.peers.values().map(|p| p.zone.clone());
        others.chain([self.zone.clone()]).collect()
    }

    /// Returns the VM that brokers a service in a zone, or `None` if no VM can.
    pub(crate) fn broker_vm(&self, zone: &ZoneName, service: &ServiceName) -> Option<VmName> {
        let in_zone = |vm: &&VmName| {
            **vm == self.me && self.zone == *zone
                || self.peers.get(*vm).is_some_and(|p| p.zone == *zone)
        };
        self.select(service.as_str(), in_zone)
    }

    /// Returns the home of an account, or `None` if no VM can be.
    pub(crate) fn home_vm(&self, account: &str) -> Option<VmName> {
        self.select(account, |_| true)
    }

    /// Chooses by rendezvous hash among the ready VMs that pass the filter; one that is draining is
    /// chosen only if all of them are.
    fn select(&self, key: &str, filter: impl Fn(&&VmName) -> bool) -> Option<VmName> {
        let ready = || {
            let others = self.live_peers().filter(|(_, h)| h.ready).map(|(vm, h)| (vm, h.draining));
            let own = self.ready.then_some((&self.me, self.draining));
            others.chain(own).filter(|(vm, _)| filter(vm))
        };
        let with_draining = |draining: bool| {
            ready().filter(move |(_, d)| *d == draining).map(|(vm, _)| Candidate(vm))
        };
        rendezvous_pick(key, with_draining(false))
            .or_else(|| rendezvous_pick(key, with_draining(true)))
            .map(|c| c.0.clone())
    }

    /// Returns a digest of all that decides which VMs can hold which roles.
    pub(crate) fn role_digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.ready, self.draining).hash(&mut hasher);
        for (vm, heartbeat) in self.live_peers() {
            (vm, heartbeat.incarnation, heartbeat.ready, heartbeat.draining).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the copy of the replicated log that a live VM holds.
    pub(crate) fn log_copy(&self, vm: &VmName) -> Option<&Member> {
        let peer = self.peers.get(vm).filter(|p| p.live)?;
        peer.heartbeat.as_ref().map(|h| &h.member)
    }

    /// Returns the catalogue revision of the last heartbeat of a VM, or 0 if there is none.
    pub(crate) fn revision(&self, vm: &VmName) -> u64 {
        let peer = self.peers.get(vm);
        peer.and_then(|p| p.heartbeat.as_ref()).map_or(0, |h| h.revision)
    }

    pub(crate) fn liveness_event(&self, vm: &VmName) -> LogEvent {
        let live = self.is_live(vm);
        if live { LogEvent::PeerUp(vm.clone()) } else { LogEvent::PeerDown(vm.clone()) }
    }
}

/// Name of a VM as a candidate of the rendezvous hash.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a>(&'a VmName);

impl AsRef<str> for Candidate<'_> {
    fn as_ref(&self) -> &str {
        self.0.as_str()
    }
}
