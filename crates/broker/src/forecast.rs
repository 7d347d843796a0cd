//! Predicts how a backend server would serve a ticket with a soft deadline.
//!
//! Engine speeds differ by several times, and engines read prompts in between the tokens of the
//! streams that they already run: a long prompt at a slow server delays every stream there by more
//! than the gap that its caller accepts.

use model::{Span, Ticket};

use crate::{action::LateLimits, latency::LatencyModel};

/// A server is too slow if the predicted time of the whole answer times this factor exceeds the
/// caller's limit. The margin is there because lengths of answers are known only roughly.
const TOTAL_MARGIN: f64 = 1.2;
/// Share of the longest accepted gap that reading prompts may take. The rest is left to token
/// generation and to disturbances of the server's VM, which make work take about twice as long for
/// a while.
const READING_SHARE: f64 = 0.5;

/// Speed and load of a server at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerState {
    /// Duration of work on the server, relative to a server of ordinary speed.
    pub(crate) slowness: f64,
    /// Prompt tokens of granted requests that the server has not read yet.
    pub(crate) unread: f64,
    /// Share of the server's slots that are in use.
    pub(crate) used_share: f64,
}

/// Limits and predicted cost of a ticket; times are in seconds at a server of ordinary speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements {
    /// Time left until the first byte is late; `None` for a ticket that is late already.
    first_limit: Option<f64>,
    /// Time left until the whole answer must have arrived.
    total_limit: f64,
    /// Longest accepted gap between two events of the answer; 0 if there is no limit.
    gap_limit: f64,
    /// Predicted time between two events of the answer.
    token_gap: f64,
    first: f64,
    total: f64,
    prompt: f64,
    read_per_token: f64,
    /// Whether there are enough observations to leave servers out.
    calibrated: bool,
}

impl Requirements {
    pub(crate) fn new(
        ticket: &Ticket,
        late: LateLimits,
        first_limit: Option<Span>,
        latency: &LatencyModel,
    ) -> Self {
        Self {
            first_limit: first_limit.map(Span::as_secs_f64),
            total_limit: late.whole.as_secs_f64(),
            gap_limit: late.pause.as_secs_f64(),
            token_gap: latency.token_gap(),
            first: latency.first_byte(ticket, false),
            total: latency.total(ticket, false),
            prompt: f64::from(ticket.prompt),
            read_per_token: latency.read_per_token(),
            calibrated: latency.is_calibrated(),
        }
    }

    /// Returns whether the first byte and the whole answer are predicted to arrive within their
    /// limits.
    pub(crate) fn meets_limits(&self, state: &ServerState) -> bool {
        if !self.calibrated {
            return true;
        }
        let first = state.slowness * (self.first + state.unread * self.read_per_token);
        self.first_limit.is_none_or(|left| first <= left)
            && state.slowness * self.total * TOTAL_MARGIN <= self.total_limit
    }

    /// Returns whether reading the prompt, behind those that the server still has to read, would
    /// keep the gaps in the server's streams within the limit. A ticket that is late already passes
    /// on any server.
    pub(crate) fn avoids_stalls(&self, state: &ServerState) -> bool {
        let reading = state.slowness * (self.prompt + state.unread) * self.read_per_token;
        let exempt = !self.calibrated || self.first_limit.is_none() || self.gap_limit <= 0.0;
        exempt || reading <= self.gap_limit * READING_SHARE
    }

    /// Returns the cost of serving this ticket on the server: the shares of the caller's limits
    /// that it is predicted to use up, plus the share of the server's slots that are in use.
    ///
    /// Engines serve all their slots at once, nearly as fast as one, so requests in flight do not
    /// count as a wait. A slot in use at a fast server is one that a longer answer may need, so
    /// short answers go where slots are free as long as they arrive well within their limits.
    pub(crate) fn cost(&self, state: &ServerState) -> f64 {
        let first = state.slowness * (self.first + state.unread * self.read_per_token);
        let total = state.slowness * self.total;
        let gap = state.slowness * self.token_gap;
        let share = |time: f64, limit: f64| if limit > 0.0 { time / limit } else { 0.0 };
        share(first, self.first_limit.unwrap_or(self.total_limit))
            + share(total, self.total_limit)
            + share(gap, self.gap_limit)
            + state.used_share
    }
}
