//! A [`Pool`] that tasks share.

use std::{
    collections::HashMap,
    fmt,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time::timeout};

use crate::pool::{BodyId, Pool, PoolLimits, ReserveResult};

/// Longest wait for the memory of other bodies: one and a half times [`STALL_TIME`](crate::STALL_TIME),
/// so that a body that stalls now yields within it.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(750);
/// Interval at which a body that waits for memory asks again, since bodies stall without notice.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// There is no memory for a body, or it was evicted because it stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory {
    /// Whether the body yielded to another one.
    pub is_evicted: bool,
}

impl fmt::Display for NoMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_evicted { "the body stalled" } else { "no memory for the body" })
    }
}

impl std::error::Error for NoMemory {}

#[derive(Debug)]
struct State {
    pool: Pool,
    /// Notified when a body is evicted.
    evictions: HashMap<BodyId, Arc<Notify>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    released: Notify,
    start: Instant,
}

/// A [`Pool`] that tasks share. Clones share it too.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

impl Memory {
    /// Creates a pool without bodies.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        let state = State { pool: Pool::new(limits), evictions: HashMap::new() };
        Self(Arc::new(Shared {
            state: Mutex::new(state),
            released: Notify::new(),
            start: Instant::now(),
        }))
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().pool.held()
    }

    /// Adds a body without bytes, from a client at this address.
    #[must_use]
    pub fn open(&self, address: Option<IpAddr>) -> BodyReservation {
        let now = self.0.start.elapsed();
        let evicted = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.pool.open(address, now);
        state.evictions.insert(id, Arc::clone(&evicted));
        BodyReservation { memory: self.clone(), id, evicted }
    }

    // The state stays consistent if a task panics.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The reserved bytes of one body, which are released when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Memory,
    id: BodyId,
    evicted: Arc<Notify>,
}

impl BodyReservation {
    /// Reserves more bytes, before they are read. Waits for a short time for bodies that yield.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory, or if this body has been evicted.
    pub async fn reserve(&self, bytes: usize) -> Result<(), NoMemory> {
        let until = Instant::now() + RESERVE_TIMEOUT;
        loop {
            let released = self.memory.0.released.notified();
            match self.try_reserve(bytes) {
                ReserveResult::Granted => return Ok(()),
                ReserveResult::Evicted => return Err(NoMemory { is_evicted: true }),
                ReserveResult::Full | ReserveResult::Wait(_) if Instant::now() >= until => {
                    return Err(NoMemory { is_evicted: false });
                }
                ReserveResult::Full | ReserveResult::Wait(_) => {
                    // The interval is over if nothing was released.
                    let _ = timeout(RETRY_INTERVAL, released).await;
                }
            }
        }
    }

    fn try_reserve(&self, bytes: usize) -> ReserveResult {
        let now = self.memory.0.start.elapsed();
        let mut state = self.memory.lock();
        let reservation = state.pool.reserve(self.id, bytes, now);
        if let ReserveResult::Wait(evicted) = &reservation {
            for id in evicted {
                if let Some(notify) = state.evictions.get(id) {
                    notify.notify_one();
                }
            }
        }
        reservation
    }

    /// Records the size that the body has reached.
    pub fn received(&self, size: usize) {
        self.memory.lock().pool.received(self.id, size, self.memory.0.start.elapsed());
    }

    /// Records that the body is complete, so that it does not yield any more. Returns false if it
    /// has been evicted.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.memory.lock().pool.complete(self.id)
    }

    /// Completes when the body has been evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.pool.release(self.id);
        state.evictions.remove(&self.id);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}
