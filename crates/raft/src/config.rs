//! Configuration of one copy of the log.

use model::Span;

use crate::types::Member;

/// Interval of a leader's heartbeats.
const HEARTBEAT: Span = Span::from_millis(200);
/// Shortest silence after which a voter campaigns; also the span of a lease.
const ELECTION_MIN: Span = Span::from_millis(1_000);
/// Longest random addition to [`ELECTION_MIN`].
const ELECTION_SPREAD: Span = Span::from_millis(1_000);
/// As [`HEARTBEAT`], for members of one region.
const LOCAL_HEARTBEAT: Span = Span::from_millis(100);
/// As [`ELECTION_MIN`], for members of one region.
const LOCAL_ELECTION_MIN: Span = Span::from_millis(550);
/// As [`ELECTION_SPREAD`], for members of one region.
const LOCAL_ELECTION_SPREAD: Span = Span::from_millis(350);
/// Most entries in one message.
const MAX_BATCH: usize = 512;

/// Builds a [`Raft`](crate::Raft).
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) me: Member,
    pub(crate) seed: u64,
    pub(crate) heartbeat: Span,
    pub(crate) election_min: Span,
    pub(crate) election_spread: Span,
    pub(crate) max_batch: usize,
}

impl Config {
    /// A configuration for `me`; `seed` spreads the election timeouts of the members.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        Self {
            me,
            seed,
            heartbeat: HEARTBEAT,
            election_min: ELECTION_MIN,
            election_spread: ELECTION_SPREAD,
            max_batch: MAX_BATCH,
        }
    }

    /// Times for members that are within a millisecond or two of each other, where a new leader is
    /// wanted within a second: a path that loses a packet delivers it again in a fifth of this.
    #[must_use]
    pub fn low_latency(mut self) -> Self {
        self.heartbeat = LOCAL_HEARTBEAT;
        self.election_min = LOCAL_ELECTION_MIN;
        self.election_spread = LOCAL_ELECTION_SPREAD;
        self
    }

    /// Length of a leader's lease: shorter than the silence after which a voter may elect
    /// another leader, by more than clocks drift apart in that time.
    pub(crate) fn lease(&self) -> Span {
        Span::from_micros(self.election_min.as_micros() / 10 * 8)
    }
}
