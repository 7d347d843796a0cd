//! Which connections stay open.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// Number of connections that may be closing while others take their place.
const MAX_CLOSING: usize = 16;
/// Time that a request may take to arrive before its connection may be closed in favour of another
/// one. Connections without a request are closed first.
const READ_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the head of a request since then.
    Waiting(Instant),
    /// The body of a request is being read since then.
    Reading(Instant),
    /// A request is being served.
    Busy,
    /// The response is complete and is being written.
    Flushing,
    /// To be closed in favour of another connection.
    Closing,
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    phase: Phase,
    close: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Connections {
    open: BTreeMap<u64, Connection>,
    /// Number of open connections of each address.
    counts: HashMap<IpAddr, usize>,
    closing: usize,
    next: u64,
}

impl Connections {
    /// Chooses the connection to close: one that waits for a request, or else for the body of one, of
    /// the address with the most connections, that has waited for the longest time.
    fn victim(&self) -> Option<u64> {
        let now = Instant::now();
        let waiting = self.open.iter().filter_map(|(id, connection)| {
            let phase = match connection.phase {
                Phase::Waiting(since) => Some((false, since)),
                Phase::Reading(since) if now.duration_since(since) >= READ_TIME => {
                    Some((true, since))
                }
                _ => None,
            };
            phase.map(|(is_reading, since)| {
                let count = self.counts.get(&connection.address).copied().unwrap_or(0);
                (is_reading, Reverse(count), since, *id)
            })
        });
        waiting.min().map(|(.., id)| id)
    }
}

/// The open connections of a listener. Clones share them.
///
/// # Examples
///
/// ```
/// let permits = budget::Permits::default();
/// let address = "10.1.0.2".parse().unwrap();
/// let idle = permits.take(address, 1).unwrap();
/// // The idle connection is told to close, and the new one takes its place.
/// assert!(permits.take(address, 1).is_some());
/// assert!(!idle.begin());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits(Arc<Mutex<Connections>>);

impl Permits {
    /// Admits a connection. If `max` are open, one that waits for a request is told to close.
    /// Returns `None` if there is none.
    #[must_use]
    pub fn take(&self, address: IpAddr, max: usize) -> Option<Permit> {
        let mut connections = self.lock();
        if connections.open.len() - connections.closing >= max {
            if connections.closing >= MAX_CLOSING {
                return None;
            }
            let victim = connections.victim()?;
            let connection = connections.open.get_mut(&victim)?;
            connection.phase = Phase::Closing;
            connection.close.notify_one();
            connections.closing += 1;
        }
        let (id, close) = (connections.next, Arc::new(Notify::new()));
        connections.next += 1;
        let phase = Phase::Waiting(Instant::now());
        *connections.counts.entry(address).or_default() += 1;
        connections.open.insert(id, Connection { address, phase, close: Arc::clone(&close) });
        Some(Permit(Arc::new(Inner { permits: self.clone(), id, close })))
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().open.len()
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, id: u64, change: impl FnOnce(Phase) -> Phase) -> bool {
        let mut connections = self.lock();
        let Some(connection) = connections.open.get_mut(&id) else { return false };
        if connection.phase == Phase::Closing {
            return false;
        }
        connection.phase = change(connection.phase);
        true
    }
}

#[derive(Debug)]
struct Inner {
    permits: Permits,
    id: u64,
    close: Arc<Notify>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let mut connections = self.permits.lock();
        let Some(connection) = connections.open.remove(&self.id) else { return };
        connections.closing -= usize::from(connection.phase == Phase::Closing);
        if let Some(count) = connections.counts.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                connections.counts.remove(&connection.address);
            }
        }
    }
}

/// One open connection, until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Permit(Arc<Inner>);

impl Permit {
    /// Records that a request has begun to arrive. Returns false if the connection is to be closed,
    /// so that the request must not be run.
    #[must_use]
    pub fn begin(&self) -> bool {
        self.0.permits.set(self.0.id, |_| Phase::Reading(Instant::now()))
    }

    /// Records that a whole request has arrived and is served. Returns false as [`Permit::begin`].
    #[must_use]
    pub fn serve(&self) -> bool {
        self.0.permits.set(self.0.id, |_| Phase::Busy)
    }

    /// Returns a value whose drop records that the response is complete.
    #[must_use]
    pub fn guard(&self) -> ResponseGuard {
        ResponseGuard(self.clone())
    }

    /// Records that all bytes have been written.
    pub fn flushed(&self) {
        self.0.permits.set(self.0.id, |phase| match phase {
            Phase::Flushing => Phase::Waiting(Instant::now()),
            other => other,
        });
    }

    /// Completes when the connection is to be closed in favour of another one.
    pub async fn closed(&self) {
        self.0.close.notified().await;
    }
}

/// Held by the body of a response.
#[derive(Debug)]
pub struct ResponseGuard(Permit);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let inner = &self.0.0;
        inner.permits.set(inner.id, |_| Phase::Flushing);
    }
}
