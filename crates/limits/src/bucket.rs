//! A token bucket whose level may become negative.

use model::{Span, Time};

/// Capacity of a bucket, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// A token bucket. The caller passes the fill rate, in tokens per second, with each call.
///
/// Spending may leave the level negative. This lets a request pass that needs more tokens than the
/// bucket holds, and makes later requests of the account wait until the bucket has filled again.
/// Without it, a small limit would refuse a long request forever.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: f64,
    refilled_at: Time,
}

impl Bucket {
    pub(crate) fn full(now: Time, rate: f64) -> Self {
        Self { level: capacity(rate), refilled_at: now }
    }

    /// Adds the tokens gained since the last refill, up to the capacity. All of that time counts at
    /// `rate`, also if the rate was another one before.
    pub(crate) fn refill(&mut self, now: Time, rate: f64) {
        let gained = (now - self.refilled_at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(capacity(rate));
        self.refilled_at = now;
    }

    /// Returns the time until the level reaches `need`, or zero if it has.
    pub(crate) fn time_until(&self, need: f64, rate: f64) -> Span {
        if self.level >= need {
            return Span::ZERO;
        }
        Span::from_secs_f64((need - self.level) / rate.max(1e-6)) + Span::from_micros(1)
    }

    /// Takes tokens; a negative amount returns them.
    pub(crate) fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns whether the bucket would be full by now, so that it equals a new one and can be
    /// dropped.
    pub(crate) fn is_full(&self, now: Time, rate: f64) -> bool {
        self.level + (now - self.refilled_at).as_secs_f64() * rate >= capacity(rate)
    }
}

/// Returns the level of a full bucket: at least one token, so that a request can pass at any rate.
fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}
