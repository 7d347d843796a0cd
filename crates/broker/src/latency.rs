//! Latency model of one service, learnt from finished requests.
//!
//! The broker uses it to predict the time to the first byte and the duration of a request, and from
//! these the wait in its queue and the work on each server.

use model::{Span, Ticket};

/// Factor by which older observations are weighted down at each new one.
const DECAY: f64 = 0.98;
/// Number of observations before a prediction may refuse a request or leave out a server.
const MIN_SAMPLES: u32 = 16;
/// Assumed time to the first byte before anything was observed, in seconds.
const FIRST_DEFAULT_S: f64 = 0.02;
/// Share of a prompt's prefill that a cached prefix saves.
pub(crate) const PREFIX_SAVING: f64 = 0.8;

/// Measurements of one finished request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    /// Prompt tokens of earlier requests that the server still had to read when the request was
    /// granted.
    pub(crate) unread: f64,
    /// Duration of work on the server, relative to a server of ordinary speed, while the request
    /// ran.
    pub(crate) slowness: f64,
    /// Time from dispatch to the first byte.
    pub(crate) first: Span,
    /// Time from dispatch to the last byte.
    pub(crate) total: Span,
    /// Tokens generated; 0 if the answer does not consist of tokens.
    pub(crate) tokens: u32,
}

/// Linear fit of the time to the first byte against prompt tokens, and means of the time per
/// generated token, with exponentially decaying weights. Times are in seconds at a server of
/// ordinary speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyModel {
    samples: u32,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    token_gap: f64,
    length_ratio: f64,
    mean_total: f64,
}

impl LatencyModel {
    /// Updates the model from one finished request.
    ///
    /// Its times are divided by the server's slowness, and the tokens that the server read before
    /// its prompt count as part of the prompt.
    pub(crate) fn observe(&mut self, ticket: &Ticket, observation: &Observation) {
        let Observation { unread, slowness, first, total, tokens } = *observation;
        let x = f64::from(ticket.prompt) + unread;
        let (first, total) = (first.as_secs_f64() / slowness, total.as_secs_f64() / slowness);
        let y = first;
        self.weight = self.weight * DECAY + 1.0;
        self.sum_x = self.sum_x * DECAY + x;
        self.sum_y = self.sum_y * DECAY + y;
        self.sum_xx = self.sum_xx * DECAY + x * x;
        self.sum_xy = self.sum_xy * DECAY + x * y;
        self.samples = self.samples.saturating_add(1);
        self.mean_total = ewma(self.mean_total, total);
        if tokens > 0 {
            let token_gap = (total - first) / f64::from(tokens);
            let ratio = f64::from(tokens) / f64::from(ticket.answer.max(1));
            self.token_gap = ewma(self.token_gap, token_gap);
            self.length_ratio = ewma(self.length_ratio, ratio);
        }
    }

    /// Returns whether there are enough observations to refuse requests by prediction.
    pub(crate) fn is_calibrated(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the predicted seconds to the first byte at a server of ordinary speed.
    pub(crate) fn first_byte(&self, ticket: &Ticket, prefix_cached: bool) -> f64 {
        if self.weight < 1.0 {
            return FIRST_DEFAULT_S;
        }
        let saved = if prefix_cached { PREFIX_SAVING } else { 0.0 };
        let x = f64::from(ticket.prompt) * (1.0 - saved);
        let (base, slope) = self.linear_fit();
        (base + slope * x).max(1e-4)
    }

    /// Returns the predicted seconds from dispatch to the last byte at a server of ordinary speed.
    pub(crate) fn total(&self, ticket: &Ticket, prefix_cached: bool) -> f64 {
        let ratio = if self.length_ratio > 0.0 { self.length_ratio.min(1.0) } else { 1.0 };
        self.first_byte(ticket, prefix_cached) + self.token_gap * f64::from(ticket.answer) * ratio
    }

    /// Returns the predicted seconds from dispatch to the last byte for an answer of `tokens`
    /// tokens, at a server of ordinary speed.
    pub(crate) fn total_for(&self, ticket: &Ticket, tokens: u32) -> f64 {
        self.first_byte(ticket, false) + self.token_gap * f64::from(tokens)
    }

    /// Returns the seconds that a server of ordinary speed takes to read a prompt token.
    pub(crate) fn read_per_token(&self) -> f64 {
        if self.weight < 1.0 { 0.0 } else { self.linear_fit().1 }
    }

    /// Returns the seconds between two generated tokens at a server of ordinary speed.
    pub(crate) fn token_gap(&self) -> f64 {
        self.token_gap
    }

    /// Returns the mean seconds from dispatch to the last byte.
    pub(crate) fn mean_total(&self) -> f64 {
        self.mean_total
    }

    fn linear_fit(&self) -> (f64, f64) {
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let var = self.sum_xx / self.weight - mean_x * mean_x;
        if var <= mean_x * mean_x * 1e-6 {
            return (mean_y, 0.0);
        }
        let slope = ((self.sum_xy / self.weight - mean_x * mean_y) / var).max(0.0);
        ((mean_y - slope * mean_x).max(0.0), slope)
    }
}

/// Returns the exponentially weighted mean. The first observation counts in full.
fn ewma(old: f64, new: f64) -> f64 {
    if old == 0.0 { new } else { old * DECAY + new * (1.0 - DECAY) }
}
