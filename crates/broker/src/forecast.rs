//! How a backend server would serve a ticket that is of use when late.
//!
//! Answers to engines whose speeds differ by several times, and that read prompts in between the
//! tokens of the streams that they already run: a long prompt at a slow server delays every stream
//! there beyond the pause that its caller bears.

use model::{Span, Ticket};

use crate::{action::LateLimits, pace::Pace};

/// Predicted time of a whole answer, relative to its caller's, above which a server is too slow:
/// lengths are known only roughly.
const WHOLE_MARGIN: f64 = 1.2;
/// Part of the largest useful pause that reading prompts may take: the rest is left to tokens and to
/// disturbances of the server's VM, which make work take about twice as long for a while.
const READING_PART: f64 = 0.5;

/// How busy a server is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// How long its work takes, relative to usual.
    pub(crate) slowness: f64,
    /// Prompt tokens that it has not read yet.
    pub(crate) unread: f64,
    /// Share of its slots that are taken.
    pub(crate) taken: f64,
}

/// What a ticket needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    /// Time left to the first byte, for a ticket that can still be in time.
    on_time: Option<f64>,
    /// Time left for the whole answer.
    whole: f64,
    /// Longest pause between events that is of use; 0 if any is.
    pause: f64,
    /// Time between two events.
    event: f64,
    first: f64,
    total: f64,
    prompt: f64,
    token: f64,
    /// Whether enough was observed to leave servers out.
    known: bool,
}

impl Need {
    pub(crate) fn new(
        ticket: &Ticket,
        late: LateLimits,
        on_time: Option<Span>,
        pace: &Pace,
    ) -> Self {
        Self {
            on_time: on_time.map(Span::as_secs_f64),
            whole: late.whole.as_secs_f64(),
            pause: late.pause.as_secs_f64(),
            event: pace.event(),
            first: pace.first(ticket, false),
            total: pace.total(ticket, false),
            prompt: f64::from(ticket.prompt),
            token: pace.prompt_token(),
            known: pace.is_known(),
        }
    }

    /// Whether the first byte and the whole answer would come in time.
    pub(crate) fn is_served(&self, standing: &Standing) -> bool {
        if !self.known {
            return true;
        }
        let first = standing.slowness * (self.first + standing.unread * self.token);
        self.on_time.is_none_or(|left| first <= left)
            && standing.slowness * self.total * WHOLE_MARGIN <= self.whole
    }

    /// Whether, beside that, reading its prompt would not hold up the streams of the server. This
    /// is not asked for a ticket that is late already.
    pub(crate) fn is_smooth(&self, standing: &Standing) -> bool {
        let reading = standing.slowness * (self.prompt + standing.unread) * self.token;
        let any = !self.known || self.on_time.is_none() || self.pause <= 0.0;
        any || reading <= self.pause * READING_PART
    }

    /// What a server costs this ticket and the others: the parts of its caller's limits that it is
    /// predicted to use, and the share of the server's slots that are taken.
    ///
    /// Engines serve all slots at once, nearly as fast as one, so what runs there is no wait. A slot
    /// that is taken at a fast server is one that a longer answer may need, so short answers go where
    /// slots are free as long as they come well in time.
    pub(crate) fn cost(&self, standing: &Standing) -> f64 {
        let first = standing.slowness * (self.first + standing.unread * self.token);
        let whole = standing.slowness * self.total;
        let pause = standing.slowness * self.event;
        let part = |time: f64, limit: f64| if limit > 0.0 { time / limit } else { 0.0 };
        part(first, self.on_time.unwrap_or(self.whole))
            + part(whole, self.whole)
            + part(pause, self.pause)
            + standing.taken
    }
}
