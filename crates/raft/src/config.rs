//! Configuration of one copy of the log.

use model::Span;

use crate::types::Member;

/// Interval of a leader's heartbeats.
const HEARTBEAT: Span = Span::from_millis(200);
/// Shortest silence after which a voter campaigns; also the span of a lease.
const ELECTION_MIN: Span = Span::from_millis(1_000);
/// Longest random addition to [`ELECTION_MIN`].
const ELECTION_SPREAD: Span = Span::from_millis(1_000);
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

    /// Length of a leader's lease: shorter than the silence after which a voter may elect
    /// another leader, by more than clocks drift apart in that time.
    pub(crate) fn lease(&self) -> Span {
        Span::from_micros(self.election_min.as_micros() / 10 * 8)
    }
}
