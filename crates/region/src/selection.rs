//! Selection of the home of each service without an election.
//!
//! The home is the VM whose broker grants a service's servers. Each VM gossips which home it has
//! selected, and selects the one that most of the live VMs have selected; a hash breaks ties. VMs
//! that no longer receive messages from the home select another one among themselves, so each side
//! of a network partition has a home. While selections differ there are two homes, which exchange
//! what they have granted.

use std::collections::{BTreeMap, BTreeSet};

use model::{ServiceName, Span, Time, VmName, unit_hash};

/// Default of the time without news of a VM after which it is not a candidate. Covers several of the
/// intervals at which VMs gossip while nothing changes, as a few of the messages may be lost.
const PEER_TIMEOUT: Span = Span::from_millis(700);
/// How long this VM does not select a home again after the home's timeout. Within that time the
/// other VMs detect the failure too and select another home; if they keep it, this VM returns to
/// it.
const EXCLUSION_TIME: Span = Span::from_secs(2);

/// Odd factor of a multiplicative hash: 2^64 divided by the golden ratio.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Latest gossip of another VM.
#[derive(Debug)]
struct Peer {
    received_at: Time,
    eligible: bool,
    homes: BTreeMap<ServiceName, VmName>,
}

/// Homes selected by this VM, and the gossip of the other VMs on which the selection depends.
#[derive(Debug)]
pub(crate) struct HomeSelector {
    me: VmName,
    eligible: bool,
    peer_timeout: Span,
    peers: BTreeMap<VmName, Peer>,
    /// VMs that are not selected before the given time.
    excluded: BTreeMap<VmName, Time>,
    homes: BTreeMap<ServiceName, VmName>,
    /// Number of changes of the other fields, other than by the passing of time.
    changes: u64,
}

/// Everything on which the selection of homes depends. Equal ones lead to equal homes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Inputs {
    changes: u64,
    excluded: usize,
    /// Hash of which of the known VMs are live.
    live: u64,
}

impl HomeSelector {
    pub(crate) fn new(me: VmName) -> Self {
        let (peers, excluded, homes) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { me, eligible: true, peer_timeout: PEER_TIMEOUT, peers, excluded, homes, changes: 1 }
    }

    /// Returns the inputs of the selection at `now`. They are cheap to compare, unlike the selection
    /// itself, which looks at the names of all VMs.
    pub(crate) fn inputs(&self, now: Time) -> Inputs {
        let is_live = |peer: &Peer| now < peer.received_at + self.peer_timeout;
        let live = self.peers.values().fold(0_u64, |hash, peer| {
            hash.rotate_left(1).wrapping_mul(HASH_FACTOR) ^ u64::from(is_live(peer))
        });
        let excluded = self.excluded.values().filter(|until| now < **until).count();
        Inputs { changes: self.changes, excluded, live }
    }

    /// Sets whether this VM can be a home.
    pub(crate) fn set_eligible(&mut self, eligible: bool) {
        self.changes += 1;
        self.eligible = eligible;
    }

    pub(crate) fn is_eligible(&self) -> bool {
        self.eligible
    }

    pub(crate) fn set_peer_timeout(&mut self, timeout: Span) {
        self.peer_timeout = timeout;
    }

    /// Forgets the gossip of VMs that are not among `known`.
    pub(crate) fn retain(&mut self, known: &BTreeSet<VmName>) {
        let before = self.peers.len();
        self.peers.retain(|vm, _| known.contains(vm));
        self.changes += u64::from(before != self.peers.len());
    }

    /// Records that another VM is live.
    pub(crate) fn refresh(&mut self, now: Time, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.received_at = now;
        }
    }

    /// Records the gossip of another VM.
    pub(crate) fn record(
        &mut self,
        now: Time,
        vm: VmName,
        eligible: bool,
        homes: impl IntoIterator<Item = (ServiceName, VmName)>,
    ) {
        let peer = Peer { received_at: now, eligible, homes: homes.into_iter().collect() };
        let is_same = |old: &Peer| old.eligible == eligible && old.homes == peer.homes;
        self.changes += u64::from(!self.peers.get(&vm).is_some_and(is_same));
        self.peers.insert(vm, peer);
    }

    /// Excludes a VM from selection for [`EXCLUSION_TIME`].
    pub(crate) fn exclude(&mut self, now: Time, vm: VmName) {
        self.changes += 1;
        self.excluded.insert(vm, now + EXCLUSION_TIME);
    }

    /// Returns the home of a service as last selected, or this VM if none was selected yet.
    pub(crate) fn home(&self, service: &ServiceName) -> &VmName {
        self.homes.get(service).unwrap_or(&self.me)
    }

    pub(crate) fn homes(&self) -> impl Iterator<Item = (&ServiceName, &VmName)> {
        self.homes.iter()
    }

    /// Returns whether a live VM has selected another home for a service than this VM has.
    pub(crate) fn is_disputed(&self, now: Time, service: &ServiceName) -> bool {
        let home = self.home(service);
        let mut live = self.peers.values().filter(|p| now < p.received_at + self.peer_timeout);
        live.any(|p| p.homes.get(service).is_some_and(|h| h != home))
    }

    /// Returns the share of the live VMs, this one included, that have selected this VM as the home of
    /// a service. It is above 0, as this VM may serve its own requests.
    pub(crate) fn followers(&self, now: Time, service: &ServiceName) -> f64 {
        let live = self.peers.values().filter(|p| now < p.received_at + self.peer_timeout);
        let (mut all, mut mine) = (1_u32, 1_u32);
        for peer in live {
            all += 1;
            mine += u32::from(peer.homes.get(service).is_none_or(|home| *home == self.me));
        }
        f64::from(mine) / f64::from(all)
    }

    /// Selects the home of a service. Returns the previous home if it changes.
    pub(crate) fn select(&mut self, now: Time, service: &ServiceName) -> Option<VmName> {
        self.excluded.retain(|_, until| now < *until);
        let timeout = self.peer_timeout;
        let live = |p: &Peer| now < p.received_at + timeout;
        let mut votes: BTreeMap<&VmName, u32> = BTreeMap::new();
        let others = self.peers.values().filter(|p| live(p)).filter_map(|p| p.homes.get(service));
        for home in others.chain(self.homes.get(service)) {
            *votes.entry(home).or_default() += 1;
        }
        let peers = self.peers.iter().filter(|(vm, p)| live(p) && !self.excluded.contains_key(*vm));
        let peers = peers.map(|(vm, p)| (vm, p.eligible));
        let candidates: Vec<_> = peers.chain([(&self.me, self.eligible)]).collect();
        // If no VM is eligible because none can reach the control VMs, a shared home is still
        // better than a separate home for each VM.
        let any_eligible = candidates.iter().any(|(_, eligible)| *eligible);
        let candidates = candidates.into_iter().filter(|(_, eligible)| *eligible || !any_eligible);
        let rank = |vm: &VmName| {
            (votes.get(vm).copied().unwrap_or(0), unit_hash(service.as_str(), vm.as_str()))
        };
        let ranked = candidates.map(|(vm, _)| (rank(vm), vm));
        let best = ranked.max_by(|((a, x), _), ((b, y), _)| a.cmp(b).then(x.total_cmp(y)));
        let best = best.map_or(&self.me, |(_, vm)| vm).clone();
        let previous = self.homes.insert(service.clone(), best.clone());
        self.changes += u64::from(previous.as_ref() != Some(&best));
        match previous {
            Some(previous) if previous == best => None,
            Some(previous) => Some(previous),
            None => (best != self.me).then(|| self.me.clone()),
        }
    }
}
