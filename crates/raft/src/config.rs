//! Configuration of one member: its identity, timeouts and message size.
//!
//! [`Config::low_latency`] shortens the default timeouts for members of one region.

use model::Span;

use crate::types::Member;

/// Interval between a leader's heartbeats.
const HEARTBEAT: Span = Span::from_millis(200);
/// Minimum election timeout: the shortest time without a message from a leader after which a voter
/// campaigns. The length of a lease is derived from it.
const ELECTION_MIN: Span = Span::from_millis(1_000);
/// Upper bound of the random time added to [`ELECTION_MIN`].
const ELECTION_SPREAD: Span = Span::from_millis(1_000);
/// Like [`HEARTBEAT`], for members of one region.
const LOCAL_HEARTBEAT: Span = Span::from_millis(100);
/// Like [`ELECTION_MIN`], for members of one region.
const LOCAL_ELECTION_MIN: Span = Span::from_millis(550);
/// Like [`ELECTION_SPREAD`], for members of one region.
const LOCAL_ELECTION_SPREAD: Span = Span::from_millis(350);
/// Maximum number of entries in one message.
const MAX_BATCH: usize = 512;

/// The configuration of a [`Raft`](crate::Raft) member.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) member: Member,
    pub(crate) seed: u64,
    pub(crate) heartbeat: Span,
    pub(crate) election_min: Span,
    pub(crate) election_spread: Span,
    pub(crate) max_batch: usize,
}

impl Config {
    /// Creates a configuration for `member` with the default timeouts.
    ///
    /// `seed` randomizes the election timeouts, so it should differ between members.
    #[must_use]
    pub fn new(member: Member, seed: u64) -> Self {
        Self {
            member,
            seed,
            heartbeat: HEARTBEAT,
            election_min: ELECTION_MIN,
            election_spread: ELECTION_SPREAD,
            max_batch: MAX_BATCH,
        }
    }

    /// Sets shorter timeouts for members with a network latency of a millisecond or two between
    /// them, where a new leader is required within a second.
    ///
    /// On such a network, a lost packet is retransmitted within a fifth of a second, which is well
    /// below the minimum election timeout.
    #[must_use]
    pub fn low_latency(mut self) -> Self {
        self.heartbeat = LOCAL_HEARTBEAT;
        self.election_min = LOCAL_ELECTION_MIN;
        self.election_spread = LOCAL_ELECTION_SPREAD;
        self
    }

    /// Returns the length of a leader's lease. It is shorter than the minimum election timeout, by
    /// more than clocks drift apart in that time, so that no other leader is elected before it
    /// ends.
    pub(crate) fn lease(&self) -> Span {
        Span::from_micros(self.election_min.as_micros() / 10 * 8)
    }
}
