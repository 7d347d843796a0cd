//! Retry budgets, which limit the retries of each service across all entry VMs.
//!
//! Each VM counts the requests that it sends itself, in a sliding window, and no messages between
//! the VMs are needed.

use std::collections::{HashMap, VecDeque};

use model::{ServiceName, Span, Time};

/// Share of the budget that is used. The rest covers clocks and windows that differ slightly
/// between VMs, so that their sum cannot exceed the budget.
const USABLE_SHARE: f64 = 0.8;
/// Number of steps in which a window slides.
const WINDOW_STEPS: u64 = 40;

/// The requests sent in one step of a window.
#[derive(Clone, Copy, Debug)]
struct Step {
    start: Time,
    first: u32,
    retries: u32,
}

/// The retry budgets of all services, as used by one entry VM.
///
/// In every window, a service may be sent as many retries as `ratio` times its first sends, plus
/// `slack`. Each VM counts the requests that it sends, and the slack is divided evenly between all
/// VMs, so the sum over the VMs stays within the budget without communication.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use relay::RetryBudgets;
///
/// let mut budgets = RetryBudgets::new(0.2, 10, Span::from_secs(10));
/// let (service, now) = ("order-desk".try_into()?, Time::default());
/// budgets.set_vms(4);
/// assert!(budgets.try_retry(now, &service));
/// assert!(budgets.try_retry(now, &service));
/// assert!(!budgets.try_retry(now, &service));
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    slack: f64,
    window: Span,
    vms: usize,
    services: HashMap<ServiceName, VecDeque<Step>>,
}

impl RetryBudgets {
    /// Creates budgets of `ratio` and `slack` in every window of length `window`, for a single VM.
    #[must_use]
    pub fn new(ratio: f64, slack: u32, window: Span) -> Self {
        Self { ratio, slack: f64::from(slack), window, vms: 1, services: HashMap::new() }
    }

    /// Sets the number of entry VMs that the slack is divided between, this one included.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Records the first send of a request.
    pub fn record_first(&mut self, now: Time, service: &ServiceName) {
        self.step(now, service).first += 1;
    }

    /// Records a retry if the budget allows it, and returns whether it does.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        self.step(now, service);
        let steps = &self.services[service];
        let first: u32 = steps.iter().map(|s| s.first).sum();
        let retries: u32 = steps.iter().map(|s| s.retries).sum();
        let vms = u32::try_from(self.vms).unwrap_or(u32::MAX);
        let allowed = (self.ratio * f64::from(first) + self.slack / f64::from(vms)) * USABLE_SHARE;
        let allows = f64::from(retries) + 1.0 <= allowed;
        if allows {
            self.step(now, service).retries += 1;
        }
        allows
    }

    fn step(&mut self, now: Time, service: &ServiceName) -> &mut Step {
        let width = Span::from_micros(self.window.as_micros() / WINDOW_STEPS);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let steps = self.services.entry(service.clone()).or_default();
        while steps.front().is_some_and(|s| now - s.start > self.window + width) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|s| now - s.start >= width) {
            steps.push_back(Step { start: now, first: 0, retries: 0 });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
