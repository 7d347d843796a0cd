//! Quotas of client accounts across all entry VMs.
//!
//! Each VM charges its requests to the usage that [`Spread`] adds up over the region. While some VMs
//! are not reachable, the others use only their share of each quota. The control VMs keep the recent
//! usage of each VM for its next process.

use keeper::{Spending, Usage};
use model::{AccountName, Span, Time};
use routing::Quota;
use spread::{Sharing, Spread, Used};

/// Share of the allowance that is used. The rest covers the usage of VMs that the others have not
/// received a report of yet, including that of a VM after its last report.
const USABLE_SHARE: f64 = 0.9;
/// Share of the allowance that a VM assumes to have been used just before it started if the actual
/// usage is unknown. With it, an account at its usual rate is not refused, and one at its limit
/// stays within it.
const ASSUMED_SHARE: f64 = 0.75;
/// Time over which the rate of an account's usage is measured.
const RATE_TIME: Span = Span::from_millis(500);
/// Interval of the reports to the control VMs.
pub(crate) const SPENDING_INTERVAL: Span = Span::from_millis(1_000);
/// Time that an entry of the reports to the control VMs covers, as a share of the window, so that
/// the data that they keep stays small.
const ENTRIES_PER_WINDOW: u64 = 8;

/// The window and the tolerances of quotas.
///
/// In every window, an account may use the units that its rate and burst allow, plus `overage` as a
/// share of them, plus `slack` units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Length of the sliding window.
    pub window: Span,
    /// Tolerance as a share of the units that rate and burst allow: 0.1 is ten percent.
    pub overage: f64,
    /// Tolerance in units, on top of `overage`.
    pub slack: u64,
}

impl QuotaConfig {
    /// Returns the units that the VMs together let an account use in a window.
    fn allowance(&self, quota: Quota) -> f64 {
        let exact = to_f64(quota.rate) * self.window.as_secs_f64() + to_f64(quota.burst);
        (exact * (1.0 + self.overage) + to_f64(self.slack)) * USABLE_SHARE
    }
}

/// The quotas of all client accounts, as enforced by one entry VM.
///
/// Unreachable VMs may use quotas too, so the VMs of one network partition use only their share, and
/// the shares never add up to more than the quota.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use relay::{QuotaConfig, Quotas};
/// use routing::{Quota, Unit};
/// use spread::{Setup, Spread};
///
/// let config = QuotaConfig { window: Span::from_secs(8), overage: 0.1, slack: 0 };
/// let quotas = Quotas::new(config);
/// let (vm, zone) = ("10.0.0.1".try_into()?, "zone-a".try_into()?);
/// let mut spread = Spread::new(Setup { vm, zone, incarnation: 7, window: config.window });
/// let quota = Quota { unit: Unit::Requests, rate: 100, burst: 100, default_tokens: 1 };
/// let account = "north-workshop".try_into()?;
/// let now = Time::default() + Span::from_secs(60);
/// spread.start(Time::default());
/// let charge = |_: &u32| quotas.charge(now, &mut spread, &account, quota, 1).is_ok();
/// let taken = (0..2_000).filter(charge).count();
/// assert!((880..=990).contains(&taken), "nine tenths of the allowance, and never more");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Quotas {
    config: QuotaConfig,
    started: Option<Time>,
    /// Whether the usage before the start was restored from the control VMs.
    is_restored: bool,
}

impl Quotas {
    /// Creates quotas with the given window and tolerances.
    #[must_use]
    pub fn new(config: QuotaConfig) -> Self {
        Self { config, started: None, is_restored: false }
    }

    /// Returns the length of the window.
    #[must_use]
    pub fn window(&self) -> Span {
        self.config.window
    }

    /// Sets the time of this VM's start, before which the usage is unknown. Later calls have no
    /// effect.
    pub fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    /// Restores the usage that former processes of this VM reported to the control VMs.
    pub fn restore<'a>(
        &mut self,
        now: Time,
        spread: &mut Spread,
        spendings: impl IntoIterator<Item = &'a Spending>,
    ) {
        if std::mem::replace(&mut self.is_restored, true) {
            return;
        }
        // A process that restored the usage of the one before it reports that usage too.
        let units = |spending: &&Spending| -> u64 {
            spending.usages.iter().flat_map(|u| &u.recent).map(|(_, units)| units).sum()
        };
        let Some(spending) = spendings.into_iter().max_by_key(units) else { return };
        let interval = SPENDING_INTERVAL.as_secs_f64();
        let entry = self.config.window.as_secs_f64() / to_f64(ENTRIES_PER_WINDOW);
        for usage in &spending.usages {
            spread.restore(now, &usage.account, &usage.recent);
            // The process used more units after this report, but only until the next one was due.
            let newest = usage.recent.last().map_or(0, |(_, units)| *units);
            let unreported = (to_f64(newest) * (interval / entry).min(1.0)).ceil();
            spread.restore(now, &usage.account, &[(Span::ZERO, from_f64(unreported))]);
        }
    }

    /// Returns the usage at this VM, for the control VMs.
    #[must_use]
    pub fn spending(&self, now: Time, spread: &Spread, lineage: u64) -> Spending {
        let entry = Span::from_micros(self.config.window.as_micros() / ENTRIES_PER_WINDOW);
        let usages = spread.own_usage(now).map(|(account, steps)| {
            let mut recent: Vec<(Span, u64)> = Vec::new();
            // Each entry has the age of its newest step, since usage must not leave the window early.
            for (age, units) in steps.into_iter().rev() {
                match recent.last_mut() {
                    Some((newest, sum)) if age - *newest < entry => *sum += units,
                    _ => recent.push((age, units)),
                }
            }
            recent.reverse();
            let total = recent.iter().map(|(_, units)| units).sum();
            Usage { account: account.clone(), total, recent }
        });
        Spending { lineage, usages: usages.filter(|usage| usage.total > 0).collect() }
    }

    /// Returns the share of the allowance that is assumed to have been used before the start
    /// without being known. It declines evenly over the window, and is reduced by the share of the
    /// VMs that know their usage and share quotas with this one.
    fn assumed_share(&self, now: Time, sharing: Sharing) -> f64 {
        let Some(start) = self.started.filter(|_| !self.is_restored) else {
            return 0.0;
        };
        let passed = (now - start).as_secs_f64() / self.config.window.as_secs_f64();
        let unknown = 1.0 - ratio(sharing.settled, sharing.of);
        ASSUMED_SHARE * (1.0 - passed).max(0.0) * unknown
    }

    /// Charges `units` for a request to an account.
    ///
    /// # Errors
    ///
    /// If the quota is exhausted, returns the predicted time after which it allows the request.
    pub fn charge(
        &self,
        now: Time,
        spread: &mut Spread,
        account: &AccountName,
        quota: Quota,
        units: u64,
    ) -> Result<(), Span> {
        let (allowance, sharing) = (self.config.allowance(quota), spread.sharing(now));
        let share = ratio(sharing.vms, sharing.of);
        let assumed = allowance * self.assumed_share(now, sharing);
        let used = spread.used(now, account);
        // All partitions know the usage from before they were separated, and divide the rest.
        let before = if share < 1.0 { used_until(&used, sharing.since) } else { 0.0 };
        let limit = (allowance - assumed - before).max(0.0) * share + before;
        let unheard = unheard(now, &used, spread.news_age(now));
        let excess = to_f64(used.sum()) + unheard + to_f64(units) - limit;
        if excess > 0.0 {
            let window = self.config.window;
            let assumed_rate = allowance * ASSUMED_SHARE * share / window.as_secs_f64();
            return Err(if assumed > 0.0 {
                Span::from_secs_f64(excess / assumed_rate.max(1.0)).min(window)
            } else {
                wait_for(now, &used, spread.counted_time(), excess).unwrap_or(window)
            });
        }
        spread.record(now, account, i64::try_from(units).unwrap_or(i64::MAX));
        Ok(())
    }

    /// Refunds the charge of a request that was not sent to any server.
    pub fn refund(&self, now: Time, spread: &mut Spread, account: &AccountName, units: u64) {
        spread.record(now, account, -i64::try_from(units).unwrap_or(i64::MAX));
    }
}

/// Returns the units used in the steps that started before `time`.
fn used_until(used: &Used, time: Time) -> f64 {
    let before = used.steps.iter().take_while(|(start, _)| *start < time);
    to_f64(before.map(|(_, units)| units).sum())
}

/// Returns the units that the VMs have used since the newest news of them, at the rate of before.
fn unheard(now: Time, used: &Used, news_age: Span) -> f64 {
    let (rate_time, news_age) = (RATE_TIME.as_secs_f64(), news_age.as_secs_f64());
    let age = |start: Time| (now - start).as_secs_f64();
    let measured = used.steps.iter().rev().take_while(|(s, _)| age(*s) < news_age + rate_time);
    let units: u64 = measured.filter(|(s, _)| age(*s) >= news_age).map(|(_, u)| u).sum();
    to_f64(units) / rate_time * news_age
}

/// Returns the time after which at least `units` no longer count.
fn wait_for(now: Time, used: &Used, counted_time: Span, units: f64) -> Option<Span> {
    let mut left = units;
    let last = used.steps.iter().find(|(_, units)| {
        left -= to_f64(*units);
        left <= 0.0
    });
    last.map(|(start, _)| (*start + counted_time) - now)
}

#[expect(clippy::cast_precision_loss, reason = "the number of VMs is small")]
fn ratio(members: usize, known: usize) -> f64 {
    members as f64 / known.max(members).max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn to_f64(units: u64) -> f64 {
    units as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
fn from_f64(units: f64) -> u64 {
    units as u64
}
