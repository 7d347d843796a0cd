//! The budget of requests for a version under trial.

use model::Span;

/// Part of the allowed share that a home uses. The rest covers requests that a home counts and that
/// never reach a server.
const SHARE_USED: f64 = 0.9;
/// Number of homes that may grant servers of a service during one order, one after the other or on
/// the sides of a partition, and that each use their part of the slack.
pub(crate) const HOMES: usize = 4;

/// The bounds of an operator on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// Share of a service's requests, from 0 to 1, that a version under trial may get.
    pub share: f64,
    /// Number of requests that it may get in addition, over one order.
    pub slack: u64,
    /// Time after enough bad answers within which it must get no request any more.
    pub rollback: Span,
}

/// What one home has granted of a service since it knows an order.
///
/// The sum over all homes stays below the bound: the shares add up, as each home counts the requests
/// that it grants itself, and each home uses a part of the slack.
///
/// # Examples
///
/// ```
/// use model::Span;
/// use rollout::{Exposure, ExposureLimits};
///
/// let rollback = Span::from_secs(5);
/// let mut exposure = Exposure::new(ExposureLimits { share: 0.1, slack: 50, rollback });
/// let mut trial = 0;
/// for _ in 0..1_000 {
///     let under_trial = exposure.allows();
///     exposure.record(under_trial);
///     trial += u32::from(under_trial);
/// }
/// assert!((80..=1_000 / 10 + 50).contains(&trial));
/// ```
#[derive(Clone, Debug)]
pub struct Exposure {
    limits: ExposureLimits,
    /// Part of the slack that this home uses.
    part: u64,
    granted: u64,
    trial: u64,
}

impl Exposure {
    /// Creates the budget of a home that has just learned of an order, with one of the parts of the
    /// slack.
    #[must_use]
    pub fn new(limits: ExposureLimits) -> Self {
        let mut exposure = Self { limits, part: 0, granted: 0, trial: 0 };
        exposure.set_holder(true);
        exposure
    }

    /// Sets whether the home may use one of the parts of the slack. Without one it has the share of the
    /// requests that it grants itself, so that any number of homes stays within the share.
    pub fn set_holder(&mut self, is_holder: bool) {
        self.part = if is_holder { self.limits.slack / HOMES as u64 } else { 0 };
    }

    /// Returns whether one more request may be granted a server under trial.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn allows(&self) -> bool {
        let most = self.limits.share * SHARE_USED * self.granted as f64 + self.part as f64;
        (self.trial + 1) as f64 <= most
    }

    /// Records a granted request and whether its server is under trial.
    pub fn record(&mut self, under_trial: bool) {
        self.granted += 1;
        self.trial += u64::from(under_trial);
    }

    /// Returns the number of granted requests, and how many of them went to servers under trial.
    #[must_use]
    pub fn granted(&self) -> (u64, u64) {
        (self.granted, self.trial)
    }
}
