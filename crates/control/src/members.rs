//! Which VMs are alive.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use model::{ServiceName, Span, Time, VmName, ZoneName, rendezvous_pick};
use raft::Member;

use crate::{event::LogEvent, setup::Setup, wire::Heartbeat};

/// Interval of heartbeats between VMs.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(250);
/// Silence after which a VM counts as lost.
pub(crate) const LOST_AFTER: Span = Span::from_millis(1_500);

/// Another VM as last heard.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneName,
    heard: Option<Time>,
    last: Option<Heartbeat>,
    live: bool,
}

/// What changed when a heartbeat arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Heard {
    /// The VM was not live before, or any part of its state changed.
    pub(crate) changed: bool,
    /// The VM's process is another one than before.
    pub(crate) restarted: bool,
}

/// This VM and the others.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) me: VmName,
    pub(crate) zone: ZoneName,
    peers: BTreeMap<VmName, Peer>,
    /// Whether this VM may grant and hold limits.
    pub(crate) ready: bool,
    pub(crate) draining: bool,
}

impl Members {
    pub(crate) fn new(setup: &Setup) -> Self {
        let peers = setup.peers.iter().map(|p| {
            let peer = Peer { zone: p.zone.clone(), heard: None, last: None, live: false };
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

    /// Notes a heartbeat; one of an unknown VM or an older process is ignored.
    pub(crate) fn hear(&mut self, now: Time, from: &VmName, beat: Heartbeat) -> Heard {
        let Some(peer) = self.peers.get_mut(from) else {
            return Heard::default();
        };
        let old = peer.last.as_ref();
        if old.is_some_and(|b| b.incarnation > beat.incarnation) {
            return Heard::default();
        }
        let restarted = old.is_some_and(|b| b.incarnation < beat.incarnation);
        let changed = !peer.live || old != Some(&beat);
        peer.heard = Some(now);
        peer.live = true;
        peer.last = Some(beat);
        Heard { changed, restarted }
    }

    /// Notes which VMs fell silent.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<VmName> {
        let mut lost = Vec::new();
        for (vm, peer) in &mut self.peers {
            let silent = peer.heard.is_none_or(|at| now >= at + LOST_AFTER);
            if peer.live && silent {
                peer.live = false;
                lost.push(vm.clone());
            }
        }
        lost
    }

    /// Live VMs other than this one.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&VmName, &Heartbeat)> {
        let live = self.peers.iter().filter(|(_, p)| p.live);
        live.filter_map(|(vm, p)| p.last.as_ref().map(|b| (vm, b)))
    }

    pub(crate) fn is_live(&self, vm: &VmName) -> bool {
        *vm == self.me || self.peers.get(vm).is_some_and(|p| p.live)
    }

    /// All other configured VMs with their zones.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&VmName, &Peer)> {
        self.peers.iter()
    }

    /// Number of configured VMs, this one included.
    pub(crate) fn all_len(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Number of live VMs, this one included.
    pub(crate) fn visible_len(&self) -> u32 {
        u32::try_from(self.live().count() + 1).unwrap_or(u32::MAX)
    }

    /// Configured VMs of a zone.
    pub(crate) fn of_zone(&self, zone: &ZoneName) -> BTreeSet<VmName> {
        let others = self.peers.iter().filter(|(_, p)| p.zone == *zone);
        let mut vms: BTreeSet<VmName> = others.map(|(vm, _)| vm.clone()).collect();
        if *zone == self.zone {
            vms.insert(self.me.clone());
        }
        vms
    }

    /// All configured zones.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        let others = self.peers.values().map(|p| p.zone.clone());
        others.chain([self.zone.clone()]).collect()
    }

    /// The VM that brokers a service in a zone, if any can.
    pub(crate) fn broker(&self, zone: &ZoneName, service: &ServiceName) -> Option<VmName> {
        let in_zone = |vm: &&VmName| {
            **vm == self.me && self.zone == *zone
                || self.peers.get(*vm).is_some_and(|p| p.zone == *zone)
        };
        self.choose(service.as_str(), in_zone)
    }

    /// The VM that holds the limits of an account, if any can.
    pub(crate) fn home(&self, account: &str) -> Option<VmName> {
        self.choose(account, |_| true)
    }

    /// Rendezvous hash over the ready VMs; one that is stopping is chosen only if all are.
    fn choose(&self, key: &str, filter: impl Fn(&&VmName) -> bool) -> Option<VmName> {
        let ready = || {
            let others = self.live().filter(|(_, b)| b.ready).map(|(vm, b)| (vm, b.draining));
            let own = self.ready.then_some((&self.me, self.draining));
            others.chain(own).filter(|(vm, _)| filter(vm))
        };
        let keep =
            |draining: bool| ready().filter(move |(_, d)| *d == draining).map(|(vm, _)| Named(vm));
        rendezvous_pick(key, keep(false))
            .or_else(|| rendezvous_pick(key, keep(true)))
            .map(|n| n.0.clone())
    }

    /// Equal as long as the same VMs can hold the same roles.
    pub(crate) fn view(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.ready, self.draining).hash(&mut hasher);
        for (vm, beat) in self.live() {
            (vm, beat.incarnation, beat.ready, beat.draining).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// The copy of the log that a live VM holds.
    pub(crate) fn member(&self, vm: &VmName) -> Option<&Member> {
        let peer = self.peers.get(vm).filter(|p| p.live)?;
        peer.last.as_ref().map(|b| &b.member)
    }

    /// Revision in force at a VM, as last heard.
    pub(crate) fn revision(&self, vm: &VmName) -> u64 {
        let peer = self.peers.get(vm);
        peer.and_then(|p| p.last.as_ref()).map_or(0, |b| b.revision)
    }

    pub(crate) fn change_of(&self, vm: &VmName) -> LogEvent {
        let live = self.is_live(vm);
        if live { LogEvent::PeerUp(vm.clone()) } else { LogEvent::PeerDown(vm.clone()) }
    }
}

/// A VM's name as a rendezvous candidate.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Named<'a>(&'a VmName);

impl AsRef<str> for Named<'_> {
    fn as_ref(&self) -> &str {
        self.0.as_str()
    }
}
