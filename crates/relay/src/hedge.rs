//! When a request is sent to a second server before the first one has answered.
//!
//! A hedge is sent after a high quantile of the time that requests of the route and size take at
//! present. [`Hedges`] learns the quantile and performs no input or output. The budget of hedges is
//! that of [`RetryBudgets`](crate::RetryBudgets) with the operator's share as its ratio, and the broker
//! grants a hedge only a slot that no request waits for.

use std::{collections::BTreeMap, sync::Arc};

use hdrhistogram::Histogram;
use model::{Span, Time};

/// Time for which times are collected. The quantile is that of the present and the previous period,
/// so that it follows a change of the load within this time.
const PERIOD: Span = Span::from_secs(15);
/// Lowest quantile after which a hedge is sent. Below it, most hedges would be sent for requests that
/// are about to be answered.
const MIN_QUANTILE: f64 = 0.9;
/// Part of the share that requests beyond the quantile are to use. If they used all of it, a burst would
/// exhaust the budget, and the requests refused a hedge then are as often slow ones as any.
const USED_PART: f64 = 0.5;
/// Number of times above the quantile that must have been seen before it is used.
const MIN_ABOVE: f64 = 3.0;
/// Number of times after which the quantile is computed again.
const UPDATE_INTERVAL: u32 = 16;
/// Maximum number of routes and sizes of which times are kept; about 10 KB each.
const MAX_CLASSES: usize = 128;
/// Longest time that is distinguished, in milliseconds.
const MAX_MS: u64 = 600_000;

/// Requests that take a similar time: those of one route with prompts of a similar size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    route: Arc<str>,
    size: u32,
}

impl Class {
    /// Returns the class of a request of a route. `size` is the number of prompt tokens, or of bytes;
    /// sizes up to twice another one share its class.
    #[must_use]
    pub fn new(route: Arc<str>, size: u64) -> Self {
        Self { route, size: size.checked_ilog2().map_or(0, |size| size + 1) }
    }
}

/// The times of one class.
#[derive(Debug)]
struct Times {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// Start of the present period.
    start: Time,
    /// Number of times until the quantile is computed again.
    due: u32,
    delay: Option<Span>,
}

impl Times {
    fn new(now: Time) -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_MS, 2).ok()?;
        Some(Self {
            current: histogram.clone(),
            previous: histogram,
            start: now,
            due: 0,
            delay: None,
        })
    }

    fn record(&mut self, now: Time, time: Span, quantile: f64) {
        if now - self.start >= PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.start = now;
            self.due = 0;
        }
        self.current.saturating_record(time.as_millis().max(1));
        if self.due > 0 {
            self.due -= 1;
            return;
        }
        self.due = UPDATE_INTERVAL;
        let mut all = self.current.clone();
        // Both have the same bounds.
        let _ = all.add(&self.previous);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let above = all.len() as f64 * (1.0 - quantile);
        let is_known = above >= MIN_ABOVE;
        self.delay = is_known.then(|| Span::from_millis(all.value_at_quantile(quantile)));
    }
}

/// Learns after which time a request of each class is hedged.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use relay::{Class, Hedges};
///
/// let mut hedges = Hedges::new(0.05);
/// let class = Class::new("chat".into(), 700);
/// for n in 0..200 {
///     assert!(n > 100 || hedges.delay(&class).is_none());
///     let time = if n % 50 == 0 { 900 } else { 80 };
///     hedges.record(Time::from_micros(n * 1_000), &class, Span::from_millis(time));
/// }
/// assert_eq!(hedges.delay(&class), Some(Span::from_millis(80)));
/// ```
#[derive(Debug)]
pub struct Hedges {
    quantile: f64,
    classes: BTreeMap<Class, Times>,
}

impl Hedges {
    /// Creates an instance that has learned nothing. `share` is the share of requests that may be
    /// hedged; the quantile is chosen so that half as many requests take longer.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { quantile: (1.0 - share * USED_PART).max(MIN_QUANTILE), classes: BTreeMap::new() }
    }

    /// Records how long a request took from its send to the end of its response, or to its hedge's
    /// response if that came first.
    pub fn record(&mut self, now: Time, class: &Class, time: Span) {
        let quantile = self.quantile;
        if let Some(times) = self.classes.get_mut(class) {
            times.record(now, time, quantile);
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            let oldest = self.classes.iter().min_by_key(|(_, times)| times.start);
            if let Some(class) = oldest.map(|(class, _)| class.clone()) {
                self.classes.remove(&class);
            }
        }
        if let Some(mut times) = Times::new(now) {
            times.record(now, time, quantile);
            self.classes.insert(class.clone(), times);
        }
    }

    /// Returns the time after which a request of the class is hedged, or `None` while too little is
    /// known.
    #[must_use]
    pub fn delay(&self, class: &Class) -> Option<Span> {
        self.classes.get(class)?.delay
    }
}
