//! A token bucket that may go into debt.

use model::{Span, Time};

/// Seconds of its rate that a full bucket holds.
const BURST_S: f64 = 1.0;

/// Tokens that fill at a rate; a spend needs a positive level and may leave it negative.
///
/// Debt lets one long request pass under a small limit, and makes the account pay for it in
/// waiting time; a bucket without debt would refuse such a request for ever.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: f64,
    at: Time,
}

impl Bucket {
    pub(crate) fn full(now: Time, rate: f64) -> Self {
        Self { level: size(rate), at: now }
    }

    /// Fills up to now; a changed rate applies from here on.
    pub(crate) fn refill(&mut self, now: Time, rate: f64) {
        let gained = (now - self.at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(size(rate));
        self.at = now;
    }

    /// The time until a spend is possible, zero if it is possible now.
    pub(crate) fn wait(&self, need: f64, rate: f64) -> Span {
        if self.level >= need {
            return Span::ZERO;
        }
        Span::from_secs_f64((need - self.level) / rate.max(1e-6)) + Span::from_micros(1)
    }

    /// Takes tokens; a negative amount gives them back.
    pub(crate) fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Whether the bucket would be full by now, so that forgetting it changes nothing.
    pub(crate) fn is_full(&self, now: Time, rate: f64) -> bool {
        self.level + (now - self.at).as_secs_f64() * rate >= size(rate)
    }
}

fn size(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}
