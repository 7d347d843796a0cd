//! Quotas of client accounts across all entry VMs.
//!
//! Each VM counts the usage of its own requests and adds what the other VMs report. While some VMs
//! are not reachable, the others use only their share of each quota. The control VMs keep the
//! recent usage for VMs that restart.

use std::collections::HashMap;

use keeper::{Spending, Usage};
use model::{AccountName, Span, Time, VmName};
use routing::Quota;
use serde::{Deserialize, Serialize};

mod window;

use self::window::{STEPS_PER_REPORT, UsageWindow, WINDOW_STEPS, from_f64, to_f64};

/// Share of the allowance that is used. The rest covers the usage of VMs that the others have not
/// received a report of yet, including that of a VM after its last report.
const USABLE_SHARE: f64 = 0.9;
/// Share of the allowance that a VM assumes to have been used just before it started if the actual
/// usage is unknown. With it, an account at its usual rate is not refused, and one at its limit
/// stays within it.
const ASSUMED_SHARE: f64 = 0.75;

/// Time without a report after which another VM counts as unreachable: two intervals of the reports
/// without changes, plus some delay.
const PEER_TIMEOUT: Span = Span::from_millis(400);
/// Time without a report after which the remaining quotas are divided as if the other VM were
/// unreachable: one interval of the reports without changes, plus some delay. Until then both sides
/// of a network partition use the whole of each quota.
const SUSPECT_TIMEOUT: Span = Span::from_millis(250);
/// Delay after which VMs that have been reachable since the start of this one share a quota with
/// it. Until then, other VMs may not have given up its previous process, and still count on the
/// share of that process.
const START_JOIN_DELAY: Span = Span::from_millis(600);

/// Delay after which VMs that are reachable again share a quota. In this time, the VMs that they
/// were connected to before have certainly detected the separation.
const JOIN_DELAY: Span = Span::from_millis(800);
/// Time for which reports include the ages of the usage after a VM has joined: several intervals of
/// the reports without changes.
const DETAIL_DURATION: Span = Span::from_millis(1_000);
/// Interval of the reports to the control VMs when nothing changes.
const SYNC_INTERVAL: Span = Span::from_millis(300);
/// Time within which the control VMs send the previous usage to a VM that starts.
const RESTORE_TIMEOUT: Span = Span::from_millis(1_000);

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

/// The usage of one account in the last window, as far as this VM knows.
#[derive(Debug, Default)]
struct AccountUsage {
    /// Usage at all VMs.
    all: UsageWindow,
    /// Usage at this VM.
    own: UsageWindow,
    /// Units used at this VM in its lineage.
    total: u64,
}

/// The state of the connection to another entry VM.
#[derive(Debug)]
struct PeerState {
    last_seen: Time,
    /// Since when its reports have arrived without a break.
    connected_at: Time,
    /// When all of its usage was last counted here.
    counted_at: Time,
    /// Whether the last report was counted completely.
    is_counted: bool,
    lineage: u64,
    is_informed: bool,
}

/// The usage of an account at another VM, as of its last report.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    lineage: u64,
    total: u64,
    /// Total before the last window or an older time, so that `total - baseline` covers the window.
    baseline: u64,
    /// When `marked_total`, the next value of `baseline`, was recorded.
    marked_at: Time,
    /// The total at `marked_at`.
    marked_total: u64,
}

impl PeerUsage {
    /// Creates the state from a first report, of which `recent` units are from the last window.
    fn new(now: Time, lineage: u64, total: u64, recent: u64) -> Self {
        let baseline = total.saturating_sub(recent);
        Self { lineage, total, baseline, marked_at: now, marked_total: total }
    }

    fn update(&mut self, now: Time, window: Span, total: u64) {
        if now - self.marked_at >= window {
            (self.baseline, self.marked_at, self.marked_total) =
                (self.marked_total, now, self.total);
        }
        self.total = self.total.max(total);
    }

    /// Returns an upper bound of the usage in the last window: the usage of at most two windows.
    fn recent(&self) -> u64 {
        self.total - self.baseline
    }
}

/// A VM's report of its usage of one account's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Units used at the VM in its lineage.
    pub total: u64,
    /// The units of the last window, each entry with its age. Empty if neither this VM nor another
    /// one has joined recently, so that all reachable VMs know the previous total.
    pub recent: Vec<(Span, u64)>,
}

/// The quotas of all client accounts, as enforced by one entry VM.
///
/// Each VM counts its own requests at once, and those of the other VMs when they report them, a few
/// hundredths of a second later. Unreachable VMs may use quotas too, so the VMs of one network
/// partition use only their share, and the shares never add up to more than the quota. A VM that
/// restarts receives the previous usage from the control VMs, and continues the counters of its
/// previous process.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use relay::{Quotas, QuotaConfig};
/// use routing::{Quota, Unit};
///
/// let config = QuotaConfig { window: Span::from_secs(8), overage: 0.1, slack: 0 };
/// let mut quotas = Quotas::new(config, 7);
/// let quota = Quota { unit: Unit::Requests, rate: 100, burst: 100, default_tokens: 1 };
/// let account = "north-workshop".try_into()?;
/// let now = Time::default() + Span::from_secs(60);
/// quotas.start(Time::default());
/// let taken = (0..2_000).filter(|_| quotas.charge(now, &account, quota, 1).is_ok()).count();
/// assert!((880..=990).contains(&taken), "nine tenths of the allowance, and never more");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Quotas {
    config: QuotaConfig,
    lineage: u64,
    started: Option<Time>,
    /// Whether the usage before the start was restored from the control VMs.
    is_restored: bool,
    usage_by_account: HashMap<AccountName, AccountUsage>,
    /// The last reported usage of other VMs, by VM and account.
    peer_usage: HashMap<(VmName, AccountName), PeerUsage>,
    peers: HashMap<VmName, PeerState>,
    /// Lineage of each VM whose whole usage was known at some time.
    lineages: HashMap<VmName, u64>,
    /// Until when reports include the ages of the usage, because another VM has joined.
    detail_until: Time,
    /// Until when VMs that became reachable recently do not share quotas. One of them restarted
    /// while it was unreachable, and the usage of its previous process is unknown.
    joins_blocked_until: Time,
    /// Number of known entry VMs, this one included.
    vms: usize,
    /// The unreachable VM whose usage was relayed last.
    last_relayed: Option<VmName>,
}

/// The usage of an unreachable VM, relayed by a VM that received its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedUsage {
    /// The VM that used the units, silent at the relaying VM for less than the quota window.
    pub vm: VmName,
    /// Lineage of its counters.
    pub lineage: u64,
    /// For each account: the units used in this lineage, and how many of them may be from the last
    /// window.
    pub totals: Vec<(AccountName, u64, u64)>,
}

impl Quotas {
    /// Creates quotas without any usage, whose counters start a new lineage. `lineage` must be
    /// unique to this process.
    #[must_use]
    pub fn new(config: QuotaConfig, lineage: u64) -> Self {
        Self {
            config,
            lineage,
            started: None,
            is_restored: false,
            usage_by_account: HashMap::new(),
            peer_usage: HashMap::new(),
            peers: HashMap::new(),
            lineages: HashMap::new(),
            detail_until: Time::default(),
            joins_blocked_until: Time::default(),
            vms: 1,
            last_relayed: None,
        }
    }

    /// Sets the time of this VM's start, before which the usage is unknown. Later calls have no
    /// effect.
    pub fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    /// Restores the usage that all VMs reported to the control VMs before this one started. The
    /// counters of this VM's previous process are continued.
    pub fn restore(&mut self, now: Time, me: &VmName, spendings: &[(VmName, Spending)]) {
        for (vm, spending) in spendings {
            self.lineages.insert(vm.clone(), spending.lineage);
            for usage in &spending.usages {
                self.restore_usage(now, (vm, spending.lineage), usage);
            }
        }
        let own = spendings.iter().filter(|(vm, _)| vm == me).map(|(_, spending)| spending);
        if let Some(last) = own.min_by_key(|s| s.age().unwrap_or(self.config.window)) {
            self.lineage = last.lineage;
            for usage in &last.usages {
                let step_width = step_width(self.config);
                let used = self.usage_by_account.entry(usage.account.clone()).or_default();
                used.total += usage.total;
                used.own.add_aged(now, step_width, &usage.recent);
                // The process used more units after this report, but only until the next one was
                // due.
                let newest = usage.recent.last().map_or(0.0, |(_, units)| to_f64(*units));
                let step = step_width.as_secs_f64() * f64::from(STEPS_PER_REPORT);
                let unreported = (newest * SYNC_INTERVAL.as_secs_f64() / step).ceil();
                used.total += from_f64(unreported);
                used.all.add(now, step_width, unreported);
                used.own.add(now, step_width, unreported);
            }
        }
        self.is_restored = true;
    }

    fn restore_usage(&mut self, now: Time, (vm, lineage): (&VmName, u64), usage: &Usage) {
        let key = (vm.clone(), usage.account.clone());
        // The VM's own reports that have arrived meanwhile are newer.
        if self.peer_usage.get(&key).is_some_and(|known| known.lineage == lineage) {
            return;
        }
        let used = self.usage_by_account.entry(usage.account.clone()).or_default();
        used.all.add_aged(now, step_width(self.config), &usage.recent);
        let recent = usage.recent.iter().map(|(_, units)| units).sum();
        self.peer_usage.insert(key, PeerUsage::new(now, lineage, usage.total, recent));
    }

    /// Sets the number of entry VMs, this one included. Quotas are divided between them as far as
    /// they are unreachable for each other.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns the lineage of this VM's usage counters: a number drawn when they started at zero. A
    /// process that continues the counters of the previous process keeps its lineage.
    #[must_use]
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Returns whether this VM knows all usage of the last window.
    #[must_use]
    pub fn is_informed(&self, now: Time) -> bool {
        self.is_restored || self.started.is_some_and(|at| now - at >= self.config.window)
    }

    /// Records the usage reports of another VM. `counts` holds the lineage of its counters and
    /// whether it knows all usage of the last window.
    pub fn record_reports(
        &mut self,
        now: Time,
        vm: &VmName,
        counts: (u64, bool),
        reports: impl IntoIterator<Item = (AccountName, UsageReport)>,
    ) {
        self.update_peer(now, vm, counts);
        // As long as the other VM uses a separate share, this one does so too.
        if !self.is_sharing(now, vm) {
            return;
        }
        let mut is_counted = true;
        for (account, report) in reports {
            is_counted &= self.record_report(now, (vm, counts.0), &account, &report);
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.is_counted = is_counted;
            peer.counted_at = if is_counted { now } else { peer.counted_at };
        }
        if is_counted {
            self.lineages.insert(vm.clone(), counts.0);
        }
    }

    fn update_peer(&mut self, now: Time, vm: &VmName, (lineage, is_informed): (u64, bool)) {
        let (counted_at, is_counted) = (self.started.unwrap_or(now), false);
        let new = || PeerState {
            last_seen: now,
            connected_at: now,
            counted_at,
            is_counted,
            lineage,
            is_informed,
        };
        let is_new = !self.peers.contains_key(vm);
        let peer = self.peers.entry(vm.clone()).or_insert_with(new);
        let is_back = now - peer.last_seen >= PEER_TIMEOUT;
        let is_renewed = peer.lineage != lineage;
        if is_back {
            peer.connected_at = now;
        }
        if is_back && is_renewed {
            self.joins_blocked_until = now + self.config.window;
        }
        if is_new || is_back || is_renewed {
            peer.is_counted = false;
            self.detail_until = now + JOIN_DELAY + DETAIL_DURATION;
        }
        (peer.last_seen, peer.lineage, peer.is_informed) = (now, lineage, is_informed);
    }

    /// Returns whether a reachable VM may share the quotas of this one. A share grows only after
    /// the VMs that joined have certainly been given up by those that they were connected to
    /// before. VMs that have been reachable since this VM's start left no others; in their case, it
    /// is this VM's previous process that must have been given up.
    fn is_sharing(&self, now: Time, vm: &VmName) -> bool {
        let Some(peer) = self.peers.get(vm) else {
            return false;
        };
        let from_start = self.started.is_some_and(|at| peer.connected_at - at < PEER_TIMEOUT);
        let after = if from_start {
            if self.is_restored { Span::ZERO } else { START_JOIN_DELAY }
        } else if now < self.joins_blocked_until {
            self.config.window
        } else {
            JOIN_DELAY
        };
        now - peer.last_seen < PEER_TIMEOUT && now - peer.connected_at >= after
    }

    /// Returns the share of every quota that this VM and those that share with it may use, and the
    /// time since when quotas have been divided. All partitions know the usage before that time.
    fn quota_share(&self, now: Time) -> (f64, Time) {
        let shares = |vm: &VmName, peer: &PeerState| {
            peer.is_counted && now - peer.last_seen < SUSPECT_TIMEOUT && self.is_sharing(now, vm)
        };
        let others = self.peers.iter().filter(|(vm, p)| !shares(vm, p)).map(|(_, p)| p);
        let others: Vec<&PeerState> = others.collect();
        let sharing_vms = self.peers.len() - others.len() + 1;
        let unknown_since = (self.vms > self.peers.len() + 1).then_some(self.started).flatten();
        let divided_at =
            others.iter().map(|p| p.counted_at).chain(unknown_since).min().unwrap_or(now);
        (ratio(sharing_vms, self.vms), divided_at)
    }

    /// Returns the share of the allowance that is assumed to have been used before the start
    /// without being known. It declines evenly over the window, and is reduced by the share of the
    /// reachable VMs that know their own usage.
    fn assumed_share(&self, now: Time) -> f64 {
        let Some(start) = self.started.filter(|_| !self.is_restored) else {
            return 0.0;
        };
        let passed = (now - start).as_secs_f64() / self.config.window.as_secs_f64();
        let informed = |peer: &&PeerState| peer.is_informed && now - peer.last_seen < PEER_TIMEOUT;
        let informed = if self.accepts_unknown(now) {
            self.peers.values().filter(informed).count()
        } else {
            0
        };
        let unknown = 1.0 - ratio(informed, self.vms);
        ASSUMED_SHARE * (1.0 - passed).max(0.0) * unknown
    }

    /// Returns whether reports of VMs without known usage are counted. They are not while the
    /// control VMs may still send more exact data.
    fn accepts_unknown(&self, now: Time) -> bool {
        self.is_restored || self.started.is_some_and(|at| now - at >= RESTORE_TIMEOUT)
    }

    /// Charges `units` for a request to an account.
    ///
    /// # Errors
    ///
    /// If the quota is exhausted, returns the predicted time after which it allows the request.
    pub fn charge(
        &mut self,
        now: Time,
        account: &AccountName,
        quota: Quota,
        units: u64,
    ) -> Result<(), Span> {
        self.start(now);
        let (window, step_width) = (self.config.window, step_width(self.config));
        let (allowance, (share, divided_at)) =
            (self.config.allowance(quota), self.quota_share(now));
        let assumed = allowance * self.assumed_share(now);
        let used = self.usage_by_account.entry(account.clone()).or_default();
        used.all.slide(now, window + step_width);
        used.own.slide(now, window);
        let requested = to_f64(units);
        // All partitions know the usage from before they were separated, and divide the rest.
        let before = if share < 1.0 { used.all.sum_until(divided_at, step_width) } else { 0.0 };
        let limit = (allowance - assumed - before) * share + before;
        let excess = used.all.sum() + requested - limit;
        if excess > 0.0 {
            let assumed_rate = allowance * ASSUMED_SHARE * share / window.as_secs_f64();
            let wait = if assumed > 0.0 {
                Span::from_secs_f64(excess / assumed_rate.max(1.0)).min(window)
            } else {
                used.all.wait_for(now, window + step_width, excess)
            };
            return Err(wait);
        }
        used.all.add(now, step_width, requested);
        used.own.add(now, step_width, requested);
        used.total += units;
        Ok(())
    }

    /// Refunds the charge of a request that was not sent to any server.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(used) = self.usage_by_account.get_mut(account) {
            used.total = used.total.saturating_sub(units);
            used.all.refund(to_f64(units));
            used.own.refund(to_f64(units));
        }
    }

    /// Returns the usage at this VM by account, for the other entry VMs.
    pub fn usage_reports(&self, now: Time) -> impl Iterator<Item = (&AccountName, UsageReport)> {
        let starts = self.started.is_none_or(|at| now - at < JOIN_DELAY + DETAIL_DURATION);
        let is_detailed = starts || now < self.detail_until;
        self.usage_by_account.iter().filter(|(_, used)| used.total > 0).map(
            move |(account, used)| {
                let recent = if is_detailed { used.own.aged(now) } else { Vec::new() };
                (account, UsageReport { total: used.total, recent })
            },
        )
    }

    /// Returns the usage at this VM, for the control VMs.
    #[must_use]
    pub fn spending(&self, now: Time) -> Spending {
        let own = self.usage_by_account.iter().filter(|(_, used)| used.total > 0);
        let usages = own.map(|(account, used)| Usage {
            account: account.clone(),
            total: used.total,
            recent: used.own.aged(now),
        });
        Spending { lineage: self.lineage, usages: usages.collect() }
    }

    /// Returns the last reported usage of a VM that became unreachable within the window, for VMs
    /// that did not receive its reports. Successive calls go through all such VMs. In this way, the
    /// VMs of one network partition learn the usage in the other as soon as any VM of it joins
    /// them.
    pub fn next_relayed(&mut self, now: Time) -> Option<RelayedUsage> {
        let window = self.config.window;
        let silent = |peer: &PeerState| {
            let silence = now - peer.last_seen;
            silence >= PEER_TIMEOUT && silence < window
        };
        let all = || self.peers.iter().filter(|(_, p)| silent(p)).map(|(vm, p)| (vm, p.lineage));
        let after = all().filter(|(vm, _)| Some(*vm) > self.last_relayed.as_ref()).min();
        let (vm, lineage) = after.or_else(|| all().min())?;
        let of_vm = self.peer_usage.iter().filter(|((v, _), r)| v == vm && r.lineage == lineage);
        let totals =
            of_vm.map(|((_, account), r)| (account.clone(), r.total, r.recent())).collect();
        let relayed = RelayedUsage { vm: vm.clone(), lineage, totals };
        self.last_relayed = Some(relayed.vm.clone());
        Some(relayed)
    }

    /// Records the usage of a VM that is unreachable for the VM that relays it.
    pub fn record_relayed(&mut self, now: Time, relayed: RelayedUsage) {
        let RelayedUsage { vm, lineage, totals } = relayed;
        let window = self.config.window;
        for (account, total, recent) in totals {
            let key = (vm.clone(), account.clone());
            let is_other = self.lineages.get(&vm).is_some_and(|known| *known != lineage);
            let units = match self.peer_usage.get_mut(&key) {
                Some(known) if known.lineage == lineage => {
                    let units = total.saturating_sub(known.total);
                    known.update(now, window, total);
                    units
                }
                // The counters are of another process of that VM, which reports its usage itself.
                Some(_) => 0,
                None if is_other => 0,
                None => {
                    self.peer_usage.insert(key, PeerUsage::new(now, lineage, total, recent));
                    recent
                }
            };
            if units > 0 {
                let used = self.usage_by_account.entry(account).or_default();
                used.all.add(now, step_width(self.config), to_f64(units));
            }
        }
    }

    /// Counts the usage of one account at another VM. Returns whether it was counted, which
    /// requires that the time of the usage is known.
    fn record_report(
        &mut self,
        now: Time,
        (vm, lineage): (&VmName, u64),
        account: &AccountName,
        report: &UsageReport,
    ) -> bool {
        let key = (vm.clone(), account.clone());
        let known = self.peer_usage.get(&key).filter(|known| known.lineage == lineage);
        let is_known = self.lineages.get(vm).is_some_and(|known| *known == lineage);
        // If all usage of a VM is known, an account that it has not reported before was unused.
        let known = known.map(|known| known.total).or(is_known.then_some(0));
        if known.is_none() && !self.accepts_unknown(now) {
            return false;
        }
        // A VM that has just joined will soon send reports that include the ages of its usage.
        let joins = self.peers.get(vm).is_some_and(|p| {
            let is_soon = now - p.connected_at < JOIN_DELAY + DETAIL_DURATION;
            !p.is_counted && p.connected_at - p.counted_at >= PEER_TIMEOUT && is_soon
        });
        let is_unclear = known.is_none_or(|total| joins && total < report.total);
        if report.recent.is_empty() && is_unclear {
            return false;
        }
        // A VM that restored the usage of its previous process late repeats some of it.
        let recent = report.recent.iter().map(|(_, units)| units).sum();
        let before = known.unwrap_or(report.total.saturating_sub(recent));
        let used = self.usage_by_account.entry(account.clone()).or_default();
        let units = report.total.saturating_sub(before);
        used.all.add_newest(now, step_width(self.config), units, &report.recent);
        let window = self.config.window;
        let known = self.peer_usage.get_mut(&key).filter(|known| known.lineage == lineage);
        if let Some(known) = known {
            known.update(now, window, report.total);
        } else {
            let total = report.total.max(before);
            self.peer_usage.insert(key, PeerUsage::new(now, lineage, total, recent));
        }
        true
    }
}

fn step_width(config: QuotaConfig) -> Span {
    Span::from_micros(config.window.as_micros() / WINDOW_STEPS)
}

#[expect(clippy::cast_precision_loss, reason = "the number of VMs is small")]
fn ratio(members: usize, known: usize) -> f64 {
    members as f64 / known.max(members).max(1) as f64
}
