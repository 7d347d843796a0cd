//! State of one backend server: its announcement, load, speed, and failures.
//!
//! The numbers combine what this broker granted and observed with what the server and other VMs
//! report.

use model::{Announcement, Duty, Span, Time, ZoneName};

use super::{rate::RateLimit, versions::Standing};
use crate::{action::ServerLoad, forecast::ServerState, prefix::PrefixMap};

/// Slowness, relative to the median of the servers, above which a server is a straggler and gets
/// only probes.
pub(crate) const STRAGGLER_RATIO: f64 = 2.5;
/// Number of requests that a straggler may hold at once, so that its recovery is noticed.
const PROBE_WINDOW: u32 = 1;
/// Seconds of work at ordinary speed with which a server is credited before it was observed.
pub(crate) const PRIOR_S: f64 = 0.05;
/// Time for which a server's newest report of its slowness is used: disturbances by its neighbours
/// change that several times a second. After it, the mean of the reports is used.
const REPORT_TTL: Span = Span::from_millis(500);
/// Weight of the newest report in a server's mean slowness.
const REPORT_WEIGHT: f64 = 0.1;
/// First backoff after a server refused a connection: the time in which a crashed server is back or
/// noticed to be gone.
const MIN_BACKOFF: Span = Span::from_millis(1_000);
/// Longest backoff: a server that was cut off must not be left out for long once it is back.
const MAX_BACKOFF: Span = Span::from_millis(4_000);

/// Exponential backoff of a server that refuses connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    until: Time,
    delay: Span,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) info: Announcement,
    /// The server's availability zone, if it is known.
    pub(crate) zone: Option<ZoneName>,
    /// When its announcement expires.
    pub(crate) expires_at: Time,
    pub(crate) duty: Duty,
    pub(crate) running: u32,
    pub(crate) work: f64,
    /// Prompt tokens of this VM's requests whose answer has not started.
    pub(crate) unread: u32,
    /// Load that the other VMs report for the server.
    pub(crate) peer_load: LoadSums,
    /// Slowness that the server reported, if any.
    pub(crate) reported: Option<ReportedSlowness>,
    /// Limit of requests a second that the server names, if any.
    pub(crate) limit: Option<RateLimit>,
    /// Time of the answer that ended the last limit.
    pub(crate) limit_ended_at: Time,
    /// The time since which it has a free slot.
    pub(crate) free_since: Option<Time>,
    /// Number of this VM's requests that ended on the server since the last load report to the
    /// other VMs: only this VM knows of their free slots.
    pub(crate) released: u32,
    /// Fixed cost of the server for this VM, from 0 for the cheapest up to 1. It differs between
    /// VMs, so that they do not all choose the same server.
    pub(crate) fixed_cost: f64,
    /// Decaying sums of predicted and observed seconds of work.
    pub(crate) predicted: f64,
    pub(crate) observed: f64,
    /// Longest time for which a request has been running, relative to its predicted time plus the
    /// mean time of a request; 0 if none runs or there are too few observations to predict.
    pub(crate) overdue: f64,
    /// The earliest time for the next probe, if the server is a straggler.
    pub(crate) probe_at: Time,
    /// Share of its requests that failed, as an exponentially weighted mean.
    pub(crate) failure_rate: f64,
    /// The end of its suspension after most of its requests failed.
    pub(crate) suspended_until: Time,
    /// Backoff after a refused connection, kept until a request was answered.
    pub(crate) backoff: Option<Backoff>,
    pub(crate) prefixes: PrefixMap,
    /// What its version means for grants.
    pub(crate) standing: Standing,
    /// Number of requests granted to it under trial.
    pub(crate) tried: u32,
}

/// Sums of the load that several VMs report for one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSums {
    pub(crate) running: u32,
    pub(crate) work: f64,
    pub(crate) unread: u32,
}

impl LoadSums {
    pub(crate) fn add(&mut self, load: &ServerLoad) {
        self.running = self.running.saturating_add(load.running);
        self.work += load.work;
        self.unread = self.unread.saturating_add(load.unread);
    }

    pub(crate) fn remove(&mut self, load: &ServerLoad) {
        self.running = self.running.saturating_sub(load.running);
        self.work = (self.work - load.work).max(0.0);
        self.unread = self.unread.saturating_sub(load.unread);
    }
}

/// Slowness as the server itself reports it: the duration of its work relative to a server of
/// ordinary speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedSlowness {
    pub(crate) at: Time,
    pub(crate) newest: f64,
    pub(crate) mean: f64,
}

impl Server {
    /// Returns the requests in flight of this VM and of the VMs that report theirs.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + self.peer_load.running
    }

    /// Returns the number of free slots. A server that refused connections is tried with one
    /// request.
    pub(crate) fn free_slots(&self) -> u32 {
        let slots = if self.backoff.is_some() { PROBE_WINDOW } else { self.info.slots };
        slots.saturating_sub(self.in_flight())
    }

    /// Returns the number of requests that may be granted now by a broker that may use `share` of the
    /// server's limit: one for each free slot, and no more than the limit allows.
    pub(crate) fn grantable(&self, now: Time, share: f64) -> u32 {
        let allowance = self.limit.map_or(u32::MAX, |limit| limit.allowance(now, share));
        self.free_slots().min(allowance)
    }

    /// Returns the seconds of work a second that the server takes, where a request of mean length
    /// takes `mean_total` seconds.
    pub(crate) fn speed(&self, now: Time, share: f64, mean_total: f64) -> f64 {
        let speed = f64::from(self.info.slots) / self.effective_slowness(now);
        self.limit.map_or(speed, |limit| speed.min(limit.rate(share) * mean_total))
    }

    /// Returns whether the server is left out because it refused a connection a short time ago.
    pub(crate) fn in_backoff(&self, now: Time) -> bool {
        self.backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Records a refused connection, which doubles the backoff. Connections that are refused during
    /// a backoff do not lengthen it.
    pub(crate) fn connection_refused(&mut self, now: Time) {
        if self.in_backoff(now) {
            return;
        }
        let delay = self.backoff.map_or(MIN_BACKOFF, |b| (b.delay + b.delay).min(MAX_BACKOFF));
        self.backoff = Some(Backoff { until: now + delay, delay });
    }

    /// Returns the duration of work relative to a server of ordinary speed: the slowness that the
    /// server reports, if it reports one, times the observed slowness if answers take longer than
    /// reported.
    pub(crate) fn effective_slowness(&self, now: Time) -> f64 {
        match self.reported_slowness(now) {
            Some(reported) => reported * self.observed_slowness().max(1.0),
            None => self.observed_slowness(),
        }
    }

    /// Returns the slowness that the server reported: the newest value while it is recent, else the
    /// mean.
    pub(crate) fn reported_slowness(&self, now: Time) -> Option<f64> {
        let reported = self.reported?;
        Some(if now < reported.at + REPORT_TTL { reported.newest } else { reported.mean })
    }

    /// Records a slowness that the server reported.
    pub(crate) fn record_slowness(&mut self, now: Time, newest: f64) {
        let mean = self.reported.map_or(newest, |reported| reported.mean);
        let mean = mean + (newest - mean) * REPORT_WEIGHT;
        self.reported = Some(ReportedSlowness { at: now, newest, mean });
    }

    pub(crate) fn state(&self, now: Time) -> ServerState {
        ServerState {
            slowness: self.effective_slowness(now),
            unread: f64::from(self.unread + self.peer_load.unread),
            used_share: f64::from(self.in_flight()) / f64::from(self.info.slots.max(1)),
        }
    }

    /// Returns the observed duration of work relative to its prediction. Long requests weigh more
    /// than short ones, whose duration says more about what they waited behind than about the
    /// server.
    pub(crate) fn observed_slowness(&self) -> f64 {
        ((self.observed + PRIOR_S) / (self.predicted + PRIOR_S)).clamp(0.1, 20.0)
    }

    pub(crate) fn slowness(&self) -> f64 {
        self.observed_slowness().max(self.overdue)
    }

    pub(crate) fn is_straggler(&self, median: f64) -> bool {
        self.slowness() > STRAGGLER_RATIO * median
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    pub(crate) fn window(&self, median: f64, share: f64) -> u32 {
        if self.is_straggler(median) {
            return PROBE_WINDOW;
        }
        ((f64::from(self.info.slots) * share) as u32).max(1)
    }
}
