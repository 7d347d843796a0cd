//! Coalescing of small events into fewer packets for callers behind a slow link.
//!
//! It answers the load of many long streams on an entry VM with a slow link. An event of some tokens is
//! smaller than the headers of its packet, and each packet that the network drops delays the stream by a
//! retransmission timeout. Events that arrive within a short window are sent together, which halves the
//! packets towards callers where engines produce an event every 20 to 40 ms.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

/// Speed of a VM's link, in Mbit/s, up to which events are coalesced.
const SLOW_LINK_MBPS: f64 = 12.0;
/// Longest time for which an event is held back: a reader notices no pause that short.
const MAX_WINDOW: Duration = Duration::from_millis(80);
/// Divisor of a route's target gap that limits the window, so that a held event uses little of the gap
/// that callers accept.
const GAP_DIVISOR: u32 = 6;
/// Number of held bytes that are sent at once: about what fits into a packet.
const MAX_HELD: usize = 1_200;

/// Returns the time for which events of a route are held back, zero if they are sent at once.
/// `link_mbps` is the speed of this VM's link, if it is known.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let gap = Duration::from_millis(600);
/// assert!(relay::coalescing_window(Some(10.0), gap) > Duration::ZERO);
/// assert_eq!(relay::coalescing_window(Some(1_000.0), gap), Duration::ZERO);
/// ```
#[must_use]
pub fn coalescing_window(link_mbps: Option<f64>, target_gap: Duration) -> Duration {
    if link_mbps.is_some_and(|speed| speed <= SLOW_LINK_MBPS) {
        MAX_WINDOW.min(target_gap / GAP_DIVISOR)
    } else {
        Duration::ZERO
    }
}

/// The events of one stream that are held back.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use relay::Coalescer;
///
/// let mut coalescer = Coalescer::new(Duration::from_millis(80));
/// let now = Instant::now();
/// assert_eq!(coalescer.push(now, "id: 1\n\n".into()), None);
/// assert_eq!(coalescer.push(now, "id: 2\n\n".into()), None);
/// assert_eq!(coalescer.due(), Some(now + Duration::from_millis(80)));
/// assert_eq!(coalescer.take().unwrap(), "id: 1\n\nid: 2\n\n");
/// ```
#[derive(Debug)]
pub struct Coalescer {
    window: Duration,
    held: BytesMut,
    due: Option<Instant>,
}

impl Coalescer {
    /// Creates an empty one that holds events for at most `window`; none if that is zero.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self { window, held: BytesMut::new(), due: None }
    }

    /// Adds events, and returns what is to be sent at once.
    pub fn push(&mut self, now: Instant, events: Bytes) -> Option<Bytes> {
        if self.window.is_zero() {
            return Some(events);
        }
        self.held.extend_from_slice(&events);
        self.due.get_or_insert(now + self.window);
        (self.held.len() >= MAX_HELD).then(|| self.take()).flatten()
    }

    /// Returns when the held events are to be sent; `None` if there are none.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns the held events.
    pub fn take(&mut self) -> Option<Bytes> {
        self.due = None;
        (!self.held.is_empty()).then(|| self.held.split().freeze())
    }
}
