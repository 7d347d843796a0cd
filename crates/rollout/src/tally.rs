//! Counts of answers.

use std::sync::Arc;

use model::{ServerId, Span};
use serde::{Deserialize, Serialize};

/// Number of classes of answer times.
pub(crate) const BINS: usize = 28;
/// Classes for each doubling of the time.
const BINS_PER_OCTAVE: f64 = 2.0;

/// How a server answered a request, or failed to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The server failed, reset the connection, or did not answer in time.
    Failed,
    /// The first event, or the whole answer if it is not a stream, arrived after this time, divided by
    /// the slowness that the server itself reported.
    Arrived(Span),
}

/// What makes answers comparable: the route and the size of the prompt. Those of the new version are
/// counted for each server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Name of the route.
    pub route: Arc<str>,
    /// Binary order of magnitude of the prompt's tokens.
    pub size: u8,
    /// The server of the new version; `None` for all servers of other versions.
    pub server: Option<ServerId>,
}

impl Cell {
    /// Creates the cell of an answer to a prompt of this many tokens.
    #[must_use]
    pub fn new(route: Arc<str>, prompt: u64, server: Option<ServerId>) -> Self {
        let size = u8::try_from(prompt.max(1).ilog2()).unwrap_or(u8::MAX);
        Self { route, size, server }
    }
}

/// The answers of one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of failures.
    pub(crate) failed: u32,
    /// Number of answers by the class of their time.
    pub(crate) times: [u32; BINS],
}

impl Tally {
    pub(crate) fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Failed => self.failed += 1,
            Answer::Arrived(time) => self.times[bin(time)] += 1,
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.failed += other.failed;
        for (sum, count) in self.times.iter_mut().zip(other.times) {
            *sum += count;
        }
    }

    /// Returns what was counted since `before`, an earlier state of the same tally.
    pub(crate) fn since(&self, before: &Self) -> Self {
        let mut new = self.clone();
        new.failed = new.failed.saturating_sub(before.failed);
        for (count, before) in new.times.iter_mut().zip(before.times) {
            *count = count.saturating_sub(before);
        }
        new
    }

    /// Returns the number of answers that arrived.
    pub(crate) fn arrived(&self) -> u32 {
        self.times.iter().sum()
    }

    /// Returns the number of answers and failures.
    pub(crate) fn all(&self) -> u32 {
        self.failed + self.arrived()
    }

    /// Returns the number of answers in classes after `bin`.
    pub(crate) fn slower_than(&self, bin: usize) -> u32 {
        self.times.iter().skip(bin + 1).sum()
    }

    /// Returns the first class up to which at least this share of the answers arrived.
    pub(crate) fn quantile(&self, share: f64) -> usize {
        let wanted = f64::from(self.arrived()) * share;
        let mut sum = 0.0;
        let reached = self.times.iter().position(|count| {
            sum += f64::from(*count);
            sum >= wanted
        });
        reached.unwrap_or(BINS - 1)
    }
}

/// Returns the class of a time. The first one ends at a millisecond, the last one holds all from 8 s on.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
fn bin(time: Span) -> usize {
    let ms = time.as_secs_f64() * 1_000.0;
    ((ms.max(1.0).log2() * BINS_PER_OCTAVE) as usize).min(BINS - 1)
}
