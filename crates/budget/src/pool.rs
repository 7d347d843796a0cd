//! Which bodies may grow, and which yield.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

/// Time without [`PROGRESS`] after which a body yields to one that needs its memory. A caller on a
/// slow link of 64 kbit/s sends that much in it.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// Number of bytes by which a body must have grown within [`STALL_TIME`].
const PROGRESS: usize = 4_096;

/// Identifies a body in a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// The limits of a [`Pool`], in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum of all bodies together.
    pub total: usize,
    /// Part of `total` that only small bodies may use, whatever the large ones hold.
    pub reserve: usize,
    /// Maximum of the large bodies of one client address. It is below `total` less
    /// `reserve`, so that one address leaves memory to others.
    pub address: usize,
    /// Maximum of a body while no other large one is held, so that a single request within the plan's
    /// limits is served when the system is quiet.
    pub single: usize,
    /// Largest size of a small body. A large body has more bytes.
    pub small: usize,
}

/// The answer to a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveResult {
    /// The bytes are reserved.
    Granted,
    /// Not yet. These bodies were evicted just now and are to be told; others that were evicted
    /// before may not have been released yet.
    Wait(Vec<BodyId>),
    /// No body yields.
    Full,
    /// The body that asks has itself been evicted.
    Evicted,
}

#[derive(Debug)]
struct Body {
    address: Option<IpAddr>,
    /// Number of reserved bytes.
    bytes: usize,
    /// When the body had last grown by [`PROGRESS`], and its size then.
    mark: (Duration, usize),
    is_complete: bool,
    is_evicted: bool,
}

impl Body {
    fn is_stalled(&self, now: Duration) -> bool {
        !self.is_complete && !self.is_evicted && now.saturating_sub(self.mark.0) >= STALL_TIME
    }
}

/// The bytes of all bodies. Times are those since any fixed moment.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use budget::{Pool, PoolLimits, ReserveResult};
///
/// let limits = PoolLimits { total: 100_000, reserve: 20_000, address: 80_000, single: 90_000,
///     small: 1_000 };
/// let mut pool = Pool::new(limits);
/// let stalled = pool.open(None, Duration::ZERO);
/// assert_eq!(pool.reserve(stalled, 60_000, Duration::ZERO), ReserveResult::Granted);
///
/// let moving = pool.open(None, Duration::from_secs(1));
/// let now = Duration::from_secs(1);
/// assert_eq!(pool.reserve(moving, 40_000, now), ReserveResult::Wait(vec![stalled]));
/// pool.release(stalled);
/// assert_eq!(pool.reserve(moving, 40_000, now), ReserveResult::Granted);
/// ```
#[derive(Debug)]
pub struct Pool {
    limits: PoolLimits,
    /// Bytes of all small bodies, and of all large ones.
    held: [usize; 2],
    bodies: BTreeMap<BodyId, Body>,
    /// Bytes of the bodies of each address that are not small.
    addresses: HashMap<IpAddr, usize>,
    next: u64,
}

impl Pool {
    /// Creates a pool without bodies.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self { limits, held: [0; 2], bodies: BTreeMap::new(), addresses: HashMap::new(), next: 0 }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.iter().sum()
    }

    /// Adds a body without bytes, from a client at this address.
    pub fn open(&mut self, address: Option<IpAddr>, now: Duration) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        let body =
            Body { address, bytes: 0, mark: (now, 0), is_complete: false, is_evicted: false };
        self.bodies.insert(id, body);
        id
    }

    /// Reserves more bytes for a body, before they are read. Stalled bodies are
    /// evicted if that makes room.
    pub fn reserve(&mut self, id: BodyId, bytes: usize, now: Duration) -> ReserveResult {
        let Some(body) = self.bodies.get(&id) else { return ReserveResult::Evicted };
        if body.is_evicted {
            return ReserveResult::Evicted;
        }
        let (before, address) = (body.bytes, body.address);
        let size = before + bytes;
        let was_large = before > self.limits.small;
        if size <= self.limits.small {
            let over_reserve = (self.held[0] + bytes).saturating_sub(self.limits.reserve);
            let over_total = (self.held() + bytes).saturating_sub(self.limits.total);
            if over_reserve == 0 || over_total == 0 {
                self.held[0] += bytes;
                self.grow(id, size);
                return ReserveResult::Granted;
            }
            return self.evict(id, (0, None), over_reserve.min(over_total), now);
        }
        // A body that becomes large counts for its address from its first byte.
        let counted = if was_large { bytes } else { size };
        let used = address.and_then(|a| self.addresses.get(&a)).copied().unwrap_or(0);
        let over_address = if address.is_some() {
            (used + counted).saturating_sub(self.limits.address)
        } else {
            0
        };
        let allowed = self.limits.total.saturating_sub(self.limits.reserve);
        let over_total = (self.held[1] + counted).saturating_sub(allowed);
        let others = self.held[1] - if was_large { before } else { 0 };
        let is_single = others == 0 && size <= self.limits.single;
        if is_single || (over_address == 0 && over_total == 0) {
            self.held[1] += counted;
            self.held[0] -= if was_large { 0 } else { before };
            if let Some(address) = address {
                *self.addresses.entry(address).or_default() += counted;
            }
            self.grow(id, size);
            return ReserveResult::Granted;
        }
        self.evict(id, (over_address, address), over_total, now)
    }

    fn grow(&mut self, id: BodyId, size: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes = size;
        }
    }

    /// Evicts stalled bodies until the evicted ones hold as many bytes as are missing, those without
    /// progress for the longest time first.
    fn evict(
        &mut self,
        asking: BodyId,
        (over_address, address): (usize, Option<IpAddr>),
        over_total: usize,
        now: Duration,
    ) -> ReserveResult {
        let small = self.limits.small;
        let counts_for = |body: &Body| body.address == address && body.bytes > small;
        let (mut total, mut of_address) = (0, 0);
        for body in self.bodies.values().filter(|body| body.is_evicted) {
            total += body.bytes;
            of_address += if counts_for(body) { body.bytes } else { 0 };
        }
        let mut stalled: Vec<_> = self
            .bodies
            .iter()
            .filter(|(id, body)| **id != asking && body.bytes > 0 && body.is_stalled(now))
            .map(|(id, body)| (body.mark.0, *id, body.bytes, counts_for(body)))
            .collect();
        stalled.sort_unstable_by_key(|(mark, id, ..)| (*mark, *id));
        let mut evicted = Vec::new();
        for (_, id, bytes, is_counted) in stalled {
            let missing_here = of_address < over_address;
            if !missing_here && total >= over_total {
                break;
            }
            if missing_here && !is_counted && total >= over_total {
                continue;
            }
            total += bytes;
            of_address += if is_counted { bytes } else { 0 };
            evicted.push(id);
        }
        if total < over_total || of_address < over_address {
            return ReserveResult::Full;
        }
        for id in &evicted {
            if let Some(body) = self.bodies.get_mut(id) {
                body.is_evicted = true;
            }
        }
        ReserveResult::Wait(evicted)
    }

    /// Records the size that a body has reached.
    pub fn received(&mut self, id: BodyId, size: usize, now: Duration) {
        if let Some(body) = self.bodies.get_mut(&id).filter(|b| size >= b.mark.1 + PROGRESS) {
            body.mark = (now, size);
        }
    }

    /// Records that a body is complete, so that it does not yield any more. Returns false if it has
    /// been evicted.
    pub fn complete(&mut self, id: BodyId) -> bool {
        self.bodies.get_mut(&id).is_some_and(|body| {
            body.is_complete = !body.is_evicted;
            body.is_complete
        })
    }

    /// Removes a body, whose memory has been freed.
    pub fn release(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        let is_large = body.bytes > self.limits.small;
        self.held[usize::from(is_large)] -= body.bytes;
        let Some(address) = body.address.filter(|_| is_large) else { return };
        if let Some(used) = self.addresses.get_mut(&address) {
            *used -= body.bytes;
            if *used == 0 {
                self.addresses.remove(&address);
            }
        }
    }
}
