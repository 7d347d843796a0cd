//! Usage counters over a window that slides in steps.

use std::collections::VecDeque;

use model::{Span, Time};

/// Number of steps in which a window slides.
pub(super) const WINDOW_STEPS: u64 = 32;
/// Number of steps that are merged into one entry of a report to the control VMs, so that the data
/// that they keep for a restarting VM stays small.
pub(super) const STEPS_PER_REPORT: u32 = 4;

/// The units used in one step of a window.
#[derive(Clone, Copy, Debug)]
struct Step {
    start: Time,
    units: f64,
}

/// The usage in a window, oldest step first.
#[derive(Debug, Default)]
pub(super) struct UsageWindow(VecDeque<Step>);

impl UsageWindow {
    pub(super) fn add(&mut self, at: Time, step_width: Span, units: f64) {
        let later = self.0.iter().rev().take_while(|s| s.start > at).count();
        let place = self.0.len() - later;
        match place.checked_sub(1).and_then(|i| self.0.get_mut(i)) {
            Some(step) if at - step.start < step_width => step.units += units,
            _ => self.0.insert(place, Step { start: at, units }),
        }
    }

    pub(super) fn slide(&mut self, now: Time, window: Span) {
        while self.0.front().is_some_and(|s| now - s.start > window) {
            self.0.pop_front();
        }
    }

    pub(super) fn sum(&self) -> f64 {
        self.0.iter().map(|s| s.units).sum()
    }

    /// Returns the usage of the steps that ended at or before `time`.
    pub(super) fn sum_until(&self, time: Time, step_width: Span) -> f64 {
        self.0.iter().take_while(|s| s.start + step_width <= time).map(|s| s.units).sum()
    }

    /// Adds `units` that another VM has used and this one has not counted yet. They are taken to be
    /// the newest of its `recent` units, each with its age, and any rest to be used now.
    pub(super) fn add_newest(
        &mut self,
        now: Time,
        step_width: Span,
        units: u64,
        recent: &[(Span, u64)],
    ) {
        let mut left = units;
        for (age, used) in recent.iter().rev() {
            let added = left.min(*used);
            self.add(before(now, *age), step_width, to_f64(added));
            left -= added;
        }
        if left > 0 {
            self.add(now, step_width, to_f64(left));
        }
    }

    /// Adds units that were used before `now`, each entry with its age.
    pub(super) fn add_aged(&mut self, now: Time, step_width: Span, aged: &[(Span, u64)]) {
        for (age, units) in aged {
            self.add(before(now, *age), step_width, to_f64(*units));
        }
    }

    /// Returns the usage with its age, oldest first. Neighbouring steps are merged.
    pub(super) fn aged(&self, now: Time) -> Vec<(Span, u64)> {
        let steps: Vec<Step> = self.0.iter().copied().collect();
        let sums = steps.rchunks(STEPS_PER_REPORT as usize).rev().filter_map(|chunk| {
            let newest = chunk.last()?;
            let units = from_f64(chunk.iter().map(|s| s.units).sum());
            (units > 0).then_some((now - newest.start, units))
        });
        sums.collect()
    }

    /// Returns the time after which at least `units` have left the window.
    pub(super) fn wait_for(&self, now: Time, window: Span, units: f64) -> Span {
        let mut left = units;
        for step in &self.0 {
            left -= step.units;
            if left <= 0.0 {
                return (step.start + window) - now;
            }
        }
        window
    }

    /// Subtracts refunded units from the newest step.
    pub(super) fn refund(&mut self, units: f64) {
        if let Some(step) = self.0.back_mut() {
            step.units -= units;
        }
    }
}

fn before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) fn to_f64(units: u64) -> f64 {
    units as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
pub(super) fn from_f64(units: f64) -> u64 {
    units as u64
}
