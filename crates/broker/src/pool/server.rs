//! One backend server, as this VM knows it.

use model::{Announcement, Duty, Span, Time, ZoneName};

use crate::{action::ServerLoad, forecast::Standing, prefix::PrefixMap};

/// Slowness from which a server is given only probes.
pub(crate) const STRAGGLER_RATIO: f64 = 2.5;
/// Requests that a straggler may hold at once, so that its recovery is noticed.
const PROBE_WINDOW: u32 = 1;
/// Seconds at ordinary speed that a server is credited with before it was observed.
pub(crate) const PRIOR_S: f64 = 0.05;
/// Time for which what a server said of its speed holds: disturbances by its neighbours change
/// that several times a second. Later its mean counts.
const REPORT_LAPSE: Span = Span::from_millis(500);
/// Weight of the newest report in a server's mean slowness.
const REPORT_WEIGHT: f64 = 0.1;
/// First pause after a server refused a connection: the time in which one that crashed is back or
/// noticed to be gone.
const FIRST_PAUSE: Span = Span::from_millis(1_000);
/// Longest such pause: one that was cut off must not be left out for long when it is back.
const MAX_PAUSE: Span = Span::from_millis(4_000);

/// A server that refuses connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Absence {
    until: Time,
    pause: Span,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) info: Announcement,
    /// Its availability zone, if it is known.
    pub(crate) zone: Option<ZoneName>,
    pub(crate) lapses: Time,
    pub(crate) duty: Duty,
    pub(crate) running: u32,
    pub(crate) work: f64,
    /// Prompt tokens of requests whose answer has not begun.
    pub(crate) unread: u32,
    /// What other VMs say they have there.
    pub(crate) elsewhere: Sums,
    /// What the server says of its speed.
    pub(crate) reported: Option<Reported>,
    /// Since when it has room.
    pub(crate) free_since: Option<Time>,
    /// Requests of this VM that ended there since the other VMs were told: only this VM knows of
    /// their room.
    pub(crate) released: u32,
    /// From 0 for the server that this VM likes best, up to 1.
    pub(crate) dislike: f64,
    /// Sums of predicted and observed seconds, the oldest fading.
    pub(crate) predicted: f64,
    pub(crate) observed: f64,
    pub(crate) overdue: f64,
    /// When the next probe may be sent, if the server straggles.
    pub(crate) probe_at: Time,
    /// Share of its requests that failed, the newest weighing most.
    pub(crate) failing: f64,
    /// Until when it gets nothing because most of its requests failed.
    pub(crate) rest_until: Time,
    /// Set from a refused connection until a request was answered.
    pub(crate) absence: Option<Absence>,
    pub(crate) prefixes: PrefixMap,
}

/// Requests at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums {
    pub(crate) running: u32,
    pub(crate) work: f64,
    pub(crate) unread: u32,
}

impl Sums {
    pub(crate) fn add(&mut self, busy: &ServerLoad) {
        self.running = self.running.saturating_add(busy.running);
        self.work += busy.work;
        self.unread = self.unread.saturating_add(busy.unread);
    }

    pub(crate) fn remove(&mut self, busy: &ServerLoad) {
        self.running = self.running.saturating_sub(busy.running);
        self.work = (self.work - busy.work).max(0.0);
        self.unread = self.unread.saturating_sub(busy.unread);
    }
}

/// How long a server's work takes relative to usual, as it says itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    pub(crate) at: Time,
    pub(crate) newest: f64,
    pub(crate) mean: f64,
}

impl Server {
    /// Requests in flight of all VMs.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + self.elsewhere.running
    }

    /// Requests that it has room for. One that refused connections is tried with one request.
    pub(crate) fn room(&self) -> u32 {
        let slots = if self.absence.is_some() { PROBE_WINDOW } else { self.info.slots };
        slots.saturating_sub(self.in_flight())
    }

    /// Whether it is left out because it refused a connection a moment ago.
    pub(crate) fn is_absent(&self, now: Time) -> bool {
        self.absence.is_some_and(|absence| now < absence.until)
    }

    /// Notes a refused connection. Several that are refused at the same time count as one.
    pub(crate) fn refuse(&mut self, now: Time) {
        if self.is_absent(now) {
            return;
        }
        let pause = self.absence.map_or(FIRST_PAUSE, |a| (a.pause + a.pause).min(MAX_PAUSE));
        self.absence = Some(Absence { until: now + pause, pause });
    }

    /// How long work takes there, relative to usual: what the server says, if it says anything, and
    /// longer if its answers take longer than that.
    pub(crate) fn slowness_now(&self, now: Time) -> f64 {
        match self.said(now) {
            Some(said) => said * self.measured().max(1.0),
            None => self.measured(),
        }
    }

    /// How long work takes there, relative to usual, by its own word.
    pub(crate) fn said(&self, now: Time) -> Option<f64> {
        let said = self.reported?;
        Some(if now < said.at + REPORT_LAPSE { said.newest } else { said.mean })
    }

    /// Takes what it says of its speed.
    pub(crate) fn hear(&mut self, now: Time, newest: f64) {
        let mean = self.reported.map_or(newest, |said| said.mean);
        let mean = mean + (newest - mean) * REPORT_WEIGHT;
        self.reported = Some(Reported { at: now, newest, mean });
    }

    pub(crate) fn standing(&self, now: Time) -> Standing {
        Standing {
            slowness: self.slowness_now(now),
            unread: f64::from(self.unread + self.elsewhere.unread),
            taken: f64::from(self.in_flight()) / f64::from(self.info.slots.max(1)),
        }
    }

    /// Observed duration relative to the prediction. Long requests weigh more than short ones,
    /// whose duration says more about what they waited behind than about the server.
    pub(crate) fn measured(&self) -> f64 {
        ((self.observed + PRIOR_S) / (self.predicted + PRIOR_S)).clamp(0.1, 20.0)
    }

    pub(crate) fn slowness(&self) -> f64 {
        self.measured().max(self.overdue)
    }

    pub(crate) fn straggles(&self, median: f64) -> bool {
        self.slowness() > STRAGGLER_RATIO * median
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    pub(crate) fn window(&self, median: f64, share: f64) -> u32 {
        if self.straggles(median) {
            return PROBE_WINDOW;
        }
        ((f64::from(self.info.slots) * share) as u32).max(1)
    }
}
