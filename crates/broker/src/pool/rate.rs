//! The rate of grants at a server that names a limit.

use model::{Span, Time};

/// Minimum number of requests that may be granted at once after a pause. It is what the limit
/// allows in a second if that is more.
const MIN_BURST: f64 = 2.0;
/// Minimum rate, in requests a second, so that a server that names a limit near 0 can name another
/// one.
const MIN_RATE: f64 = 0.5;
/// Time after the last answer with a limit from which an answer without one ends it. Answers of
/// different VMs may overtake each other.
const OVERTAKE_TIME: Span = Span::from_millis(300);
/// Time without an answer after which a limit is forgotten.
const LIMIT_TTL: Span = Span::from_secs(15);

/// A token bucket that keeps the grants of a server within the limit that it names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    /// Requests a second.
    rate: f64,
    named_at: Time,
    /// Number of requests that could be granted at `counted_at`.
    tokens: f64,
    counted_at: Time,
}

impl RateLimit {
    pub(crate) fn new(rate: f64, named_at: Time, now: Time) -> Self {
        Self { rate, named_at, tokens: MIN_BURST, counted_at: now }
    }

    /// Changes the rate to that of an answer, unless a later one has named a rate.
    pub(crate) fn rename(&mut self, rate: f64, named_at: Time) {
        if named_at >= self.named_at {
            (self.rate, self.named_at) = (rate, named_at);
        }
    }

    /// Returns whether an answer at that time without a limit ends this one.
    pub(crate) fn is_ended_by(&self, answered_at: Time) -> bool {
        answered_at >= self.named_at + OVERTAKE_TIME
    }

    pub(crate) fn is_expired(&self, now: Time) -> bool {
        now >= self.named_at + LIMIT_TTL
    }

    /// Returns the rate of grants of a broker that may use `share` of the limit, in requests a
    /// second.
    pub(crate) fn rate(&self, share: f64) -> f64 {
        (self.rate * share).max(MIN_RATE)
    }

    fn tokens(&self, now: Time, share: f64) -> f64 {
        let rate = self.rate(share);
        let earned = (now - self.counted_at).as_secs_f64() * rate;
        (self.tokens + earned).min(rate.max(MIN_BURST))
    }

    /// Returns the number of requests that may be granted now.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    pub(crate) fn allowance(&self, now: Time, share: f64) -> u32 {
        self.tokens(now, share) as u32
    }

    pub(crate) fn record_grant(&mut self, now: Time, share: f64) {
        self.tokens = (self.tokens(now, share) - 1.0).max(0.0);
        self.counted_at = now;
    }
}
