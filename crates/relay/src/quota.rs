//! Quotas of client accounts over all entry VMs.

use std::collections::HashMap;

use keeper::{Spending, Usage};
use model::{AccountName, Span, Time, VmName};
use routing::Quota;
use serde::{Deserialize, Serialize};

mod window;

use self::window::{STEPS, Steps, TOLD_STEPS, from_f64, to_f64};

/// Part of the allowance that is used. The rest covers what the VMs use before they have heard of
/// each other's use, and what a VM used after it told that last.
const USED_PART: f64 = 0.9;
/// Part of the allowance that a VM takes to have been used just before it started, when it cannot
/// know: an account at its usual rate is not held back, one at its limit stays within it.
const ASSUMED_PART: f64 = 0.75;

/// Silence after which another VM no longer counts as heard: two of the messages that are sent when
/// nothing changes, and some delay.
const HEARD_FOR: Span = Span::from_millis(400);
/// Silence after which what is left is divided, as if the other VM were no longer heard: one of the
/// messages that are sent when nothing changes, and some delay. Until then both sides of a cut use
/// the whole of each quota.
const DOUBT_AFTER: Span = Span::from_millis(250);
/// Time after which VMs that are heard since the start share a quota: until then others may count on
/// the part of the process before.
const START_JOIN: Span = Span::from_millis(600);

/// Time after which VMs that hear each other again share a quota: in that time both have surely been
/// given up by those that they left.
const JOIN_TIME: Span = Span::from_millis(800);
/// Time for which VMs say when they used what, after one joined: several of the messages that they send
/// when nothing changes.
const DETAIL_TIME: Span = Span::from_millis(1_000);
/// Interval at which the control VMs are told when nothing changes.
const TELL_INTERVAL: Span = Span::from_millis(300);
/// Time in which the control VMs tell a VM that starts what was used before.
const TOLD_WAIT: Span = Span::from_millis(1_000);

/// How quotas are counted: in every window of this length, an account may use what its rate and
/// burst allow, a share more, and some units on top.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Length of the window.
    pub window: Span,
    /// Share beyond the rate and burst.
    pub overage: f64,
    /// Units on top.
    pub slack: u64,
}

impl QuotaConfig {
    /// Units that an account may use in a window.
    fn allowance(&self, quota: Quota) -> f64 {
        let exact = to_f64(quota.rate) * self.window.as_secs_f64() + to_f64(quota.burst);
        (exact * (1.0 + self.overage) + to_f64(self.slack)) * USED_PART
    }
}

/// One account's use in the last window, as this VM knows it.
#[derive(Debug, Default)]
struct Use {
    /// By all VMs.
    all: Steps,
    /// At this VM.
    own: Steps,
    /// Units used at this VM since it began to count.
    total: u64,
}

/// Another VM, as it was heard.
#[derive(Debug)]
struct Peer {
    heard: Time,
    /// Since when it is heard without a break.
    since: Time,
    /// When all that it had used was counted last.
    counted: Time,
    /// Whether that was when it was heard last.
    is_counted: bool,
    lineage: u64,
    is_informed: bool,
}

/// What another VM had used of an account's quota when it was heard last.
#[derive(Clone, Copy, Debug)]
struct Reported {
    lineage: u64,
    total: u64,
    /// Total before the units of the last window, or before some older ones.
    earlier: u64,
    /// When `total` became the next value of `earlier`.
    marked: Time,
    /// Total at that time.
    mark: u64,
}

impl Reported {
    /// A first report, with the units of the last window in it.
    fn new(now: Time, lineage: u64, total: u64, recent: u64) -> Self {
        let earlier = total.saturating_sub(recent);
        Self { lineage, total, earlier, marked: now, mark: total }
    }

    fn update(&mut self, now: Time, window: Span, total: u64) {
        if now - self.marked >= window {
            (self.earlier, self.marked, self.mark) = (self.mark, now, self.total);
        }
        self.total = self.total.max(total);
    }

    /// Units of the last window at least: those of two windows at most.
    fn recent(&self) -> u64 {
        self.total - self.earlier
    }
}

/// What another VM said of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Units used since it began to count.
    pub total: u64,
    /// Those of the last window, each with the time since they were used; nothing if all VMs that are
    /// heard knew the total a moment ago.
    pub recent: Vec<(Span, u64)>,
}

/// Allowances of all accounts.
///
/// Each VM counts its own requests at once and those of the others as soon as they report them, a
/// few hundredths of a second later. VMs that are not heard may spend too, so the VMs that hear
/// each other share only their part: the parts never add up to more than the quota. A VM that
/// restarts is told by the control VMs what was used, and goes on counting where the process before
/// it ended.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use relay::{Quotas, QuotaConfig};
/// use routing::{Quota, Unit};
///
/// let tolerance = QuotaConfig { window: Span::from_secs(8), overage: 0.1, slack: 0 };
/// let mut quotas = Quotas::new(tolerance, 7);
/// let quota = Quota { unit: Unit::Requests, rate: 100, burst: 100, default_tokens: 1 };
/// let account = "north-workshop".try_into()?;
/// let now = Time::default() + Span::from_secs(60);
/// quotas.start(Time::default());
/// let taken = (0..2_000).filter(|_| quotas.take(now, &account, quota, 1).is_ok()).count();
/// assert!((880..=990).contains(&taken), "nine tenths of what may be used, and never more");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Quotas {
    tolerance: QuotaConfig,
    lineage: u64,
    started: Option<Time>,
    /// Whether it was told what was used before the start.
    told: bool,
    uses: HashMap<AccountName, Use>,
    /// What other VMs reported last.
    reported: HashMap<(VmName, AccountName), Reported>,
    peers: HashMap<VmName, Peer>,
    /// Number under which each VM counted when all that it had used was known.
    lineages: HashMap<VmName, u64>,
    /// Until when the others are told in detail what was used here: one of them joined.
    detail_until: Time,
    /// Until when VMs that joined lately do not count: one of them restarted while it was not heard,
    /// and nobody knows what the process before it used.
    blind_until: Time,
    /// VMs that are known, this one included.
    vms: usize,
    /// The silent VM of which the others were told last.
    relayed: Option<VmName>,
}

/// What a VM that is silent used in all before, as another VM heard it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// The silent VM.
    pub vm: VmName,
    /// Number under which it counts.
    pub lineage: u64,
    /// By account: units used since it began to count, and how many of them may be of the last window.
    pub totals: Vec<(AccountName, u64, u64)>,
}

impl Quotas {
    /// Quotas of which nothing is known yet, counted under a number of this process.
    #[must_use]
    pub fn new(tolerance: QuotaConfig, lineage: u64) -> Self {
        Self {
            tolerance,
            lineage,
            started: None,
            told: false,
            uses: HashMap::new(),
            reported: HashMap::new(),
            peers: HashMap::new(),
            lineages: HashMap::new(),
            detail_until: Time::default(),
            blind_until: Time::default(),
            vms: 1,
            relayed: None,
        }
    }

    /// Notes when this VM started: what was used before is not known.
    pub fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    /// Takes what the control VMs were told of all VMs before this one started. It goes on counting
    /// where its last process ended.
    pub fn adopt(&mut self, now: Time, me: &VmName, told: &[(VmName, Spending)]) {
        for (vm, spending) in told {
            self.lineages.insert(vm.clone(), spending.lineage);
            for usage in &spending.usages {
                self.adopt_usage(now, (vm, spending.lineage), usage);
            }
        }
        let own = told.iter().filter(|(vm, _)| vm == me).map(|(_, spending)| spending);
        if let Some(last) = own.min_by_key(|s| s.age().unwrap_or(self.tolerance.window)) {
            self.lineage = last.lineage;
            for usage in &last.usages {
                let width = width(self.tolerance);
                let used = self.uses.entry(usage.account.clone()).or_default();
                used.total += usage.total;
                used.own.add_aged(now, width, &usage.recent);
                // It went on after it told that, but for no longer than until it would have told again.
                let newest = usage.recent.last().map_or(0.0, |(_, units)| to_f64(*units));
                let step = width.as_secs_f64() * f64::from(TOLD_STEPS);
                let untold = (newest * TELL_INTERVAL.as_secs_f64() / step).ceil();
                used.total += from_f64(untold);
                used.all.add(now, width, untold);
                used.own.add(now, width, untold);
            }
        }
        self.told = true;
    }

    fn adopt_usage(&mut self, now: Time, (vm, lineage): (&VmName, u64), usage: &Usage) {
        let key = (vm.clone(), usage.account.clone());
        // What was heard of the VM itself meanwhile is newer.
        if self.reported.get(&key).is_some_and(|known| known.lineage == lineage) {
            return;
        }
        let used = self.uses.entry(usage.account.clone()).or_default();
        used.all.add_aged(now, width(self.tolerance), &usage.recent);
        let recent = usage.recent.iter().map(|(_, units)| units).sum();
        self.reported.insert(key, Reported::new(now, lineage, usage.total, recent));
    }

    /// Divides every quota between this many VMs, this one included, as far as they do not hear
    /// each other.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Number under which this VM counts.
    #[must_use]
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Whether this VM knows what was used in the last window.
    #[must_use]
    pub fn is_informed(&self, now: Time) -> bool {
        self.told || self.started.is_some_and(|at| now - at >= self.tolerance.window)
    }

    /// Takes what another VM used, which counts under this number, and whether it knows what was used
    /// in the last window.
    pub fn hear(
        &mut self,
        now: Time,
        vm: &VmName,
        counts: (u64, bool),
        spent: impl IntoIterator<Item = (AccountName, Spent)>,
    ) {
        self.greet(now, vm, counts);
        // As long as it counts on a part of its own, so does this VM.
        if !self.is_due(now, vm) {
            return;
        }
        let mut is_counted = true;
        for (account, spent) in spent {
            is_counted &= self.report(now, (vm, counts.0), &account, &spent);
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.is_counted = is_counted;
            peer.counted = if is_counted { now } else { peer.counted };
        }
        if is_counted {
            self.lineages.insert(vm.clone(), counts.0);
        }
    }

    fn greet(&mut self, now: Time, vm: &VmName, (lineage, is_informed): (u64, bool)) {
        let (counted, is_counted) = (self.started.unwrap_or(now), false);
        let new = || Peer { heard: now, since: now, counted, is_counted, lineage, is_informed };
        let is_new = !self.peers.contains_key(vm);
        let peer = self.peers.entry(vm.clone()).or_insert_with(new);
        let is_back = now - peer.heard >= HEARD_FOR;
        let is_renewed = peer.lineage != lineage;
        if is_back {
            peer.since = now;
        }
        if is_back && is_renewed {
            self.blind_until = now + self.tolerance.window;
        }
        if is_new || is_back || is_renewed {
            peer.is_counted = false;
            self.detail_until = now + JOIN_TIME + DETAIL_TIME;
        }
        (peer.heard, peer.lineage, peer.is_informed) = (now, lineage, is_informed);
    }

    /// Whether a VM shares what this one may use, or is about to. Parts grow only when the VMs that
    /// joined have surely been given up by those that they left; those that are heard since the
    /// start left nobody, and it is this VM's last process that must have been given up.
    fn is_due(&self, now: Time, vm: &VmName) -> bool {
        let Some(peer) = self.peers.get(vm) else {
            return false;
        };
        let from_start = self.started.is_some_and(|at| peer.since - at < HEARD_FOR);
        let after = if from_start {
            if self.told { Span::ZERO } else { START_JOIN }
        } else if now < self.blind_until {
            self.tolerance.window
        } else {
            JOIN_TIME
        };
        now - peer.heard < HEARD_FOR && now - peer.since >= after
    }

    /// Part of every quota that this VM and those it hears share, and since when: what was used before
    /// is known in all parts.
    fn part(&self, now: Time) -> (f64, Time) {
        let shares = |vm: &VmName, peer: &Peer| {
            peer.is_counted && now - peer.heard < DOUBT_AFTER && self.is_due(now, vm)
        };
        let others = self.peers.iter().filter(|(vm, p)| !shares(vm, p)).map(|(_, p)| p);
        let others: Vec<&Peer> = others.collect();
        let sharing = self.peers.len() - others.len() + 1;
        let unheard = (self.vms > self.peers.len() + 1).then_some(self.started).flatten();
        let since = others.iter().map(|p| p.counted).chain(unheard).min().unwrap_or(now);
        (ratio(sharing, self.vms), since)
    }

    /// Part of the allowance that may have been used before the start and not be known: evenly over
    /// the window, and as much of it as VMs that know their own use are not heard.
    fn assumed_part(&self, now: Time) -> f64 {
        let Some(start) = self.started.filter(|_| !self.told) else {
            return 0.0;
        };
        let passed = (now - start).as_secs_f64() / self.tolerance.window.as_secs_f64();
        let informed = |peer: &&Peer| peer.is_informed && now - peer.heard < HEARD_FOR;
        let informed =
            if self.listens(now) { self.peers.values().filter(informed).count() } else { 0 };
        let unknown = 1.0 - ratio(informed, self.vms);
        ASSUMED_PART * (1.0 - passed).max(0.0) * unknown
    }

    /// Whether reports are counted of VMs of which nothing is known: not while the control VMs may
    /// still tell more exactly.
    fn listens(&self, now: Time) -> bool {
        self.told || self.started.is_some_and(|at| now - at >= TOLD_WAIT)
    }

    /// Charges a request.
    ///
    /// # Errors
    ///
    /// If the quota is used up: the time after which it allows the request.
    pub fn take(
        &mut self,
        now: Time,
        account: &AccountName,
        quota: Quota,
        units: u64,
    ) -> Result<(), Span> {
        self.start(now);
        let (window, width) = (self.tolerance.window, width(self.tolerance));
        let (whole, (part, since)) = (self.tolerance.allowance(quota), self.part(now));
        let assumed = whole * self.assumed_part(now);
        let used = self.uses.entry(account.clone()).or_default();
        used.all.slide(now, window + width);
        used.own.slide(now, window);
        let wanted = to_f64(units);
        // All parts know what was used before they lost each other, and divide what it leaves.
        let before = if part < 1.0 { used.all.sum_until(since, width) } else { 0.0 };
        let most = (whole - assumed - before) * part + before;
        let over = used.all.sum() + wanted - most;
        if over > 0.0 {
            let assumed_rate = whole * ASSUMED_PART * part / window.as_secs_f64();
            let wait = if assumed > 0.0 {
                Span::from_secs_f64(over / assumed_rate.max(1.0)).min(window)
            } else {
                used.all.wait_for(now, window + width, over)
            };
            return Err(wait);
        }
        used.all.add(now, width, wanted);
        used.own.add(now, width, wanted);
        used.total += units;
        Ok(())
    }

    /// Gives back what was charged for a request that was not sent to any server.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(used) = self.uses.get_mut(account) {
            used.total = used.total.saturating_sub(units);
            used.all.take_back(to_f64(units));
            used.own.take_back(to_f64(units));
        }
    }

    /// What was used here, for the other VMs.
    pub fn spent(&self, now: Time) -> impl Iterator<Item = (&AccountName, Spent)> {
        let starts = self.started.is_none_or(|at| now - at < JOIN_TIME + DETAIL_TIME);
        let in_detail = starts || now < self.detail_until;
        self.uses.iter().filter(|(_, used)| used.total > 0).map(move |(account, used)| {
            let recent = if in_detail { used.own.aged(now) } else { Vec::new() };
            (account, Spent { total: used.total, recent })
        })
    }

    /// What was used here, for the control VMs.
    #[must_use]
    pub fn spending(&self, now: Time) -> Spending {
        let own = self.uses.iter().filter(|(_, used)| used.total > 0);
        let usages = own.map(|(account, used)| Usage {
            account: account.clone(),
            total: used.total,
            recent: used.own.aged(now),
        });
        Spending { lineage: self.lineage, usages: usages.collect() }
    }

    /// What a VM that fell silent in this window said last: one after the other, for VMs that did not
    /// hear it. Parts of a region that were cut off from each other learn what was used in the other
    /// part as soon as any of its VMs joins them.
    pub fn relay(&mut self, now: Time) -> Option<Relayed> {
        let window = self.tolerance.window;
        let silent = |peer: &Peer| {
            let silence = now - peer.heard;
            silence >= HEARD_FOR && silence < window
        };
        let all = || self.peers.iter().filter(|(_, p)| silent(p)).map(|(vm, p)| (vm, p.lineage));
        let after = all().filter(|(vm, _)| Some(*vm) > self.relayed.as_ref()).min();
        let (vm, lineage) = after.or_else(|| all().min())?;
        let of_vm = self.reported.iter().filter(|((v, _), r)| v == vm && r.lineage == lineage);
        let totals =
            of_vm.map(|((_, account), r)| (account.clone(), r.total, r.recent())).collect();
        let relayed = Relayed { vm: vm.clone(), lineage, totals };
        self.relayed = Some(relayed.vm.clone());
        Some(relayed)
    }

    /// Takes what another VM heard of one that is silent there.
    pub fn take_relayed(&mut self, now: Time, relayed: Relayed) {
        let Relayed { vm, lineage, totals } = relayed;
        let window = self.tolerance.window;
        for (account, total, recent) in totals {
            let key = (vm.clone(), account.clone());
            let is_other = self.lineages.get(&vm).is_some_and(|known| *known != lineage);
            let units = match self.reported.get_mut(&key) {
                Some(known) if known.lineage == lineage => {
                    let units = total.saturating_sub(known.total);
                    known.update(now, window, total);
                    units
                }
                // Another process of the VM: it says itself what it used.
                Some(_) => 0,
                None if is_other => 0,
                None => {
                    self.reported.insert(key, Reported::new(now, lineage, total, recent));
                    recent
                }
            };
            if units > 0 {
                let used = self.uses.entry(account).or_default();
                used.all.add(now, width(self.tolerance), to_f64(units));
            }
        }
    }

    /// Counts what another VM used of one quota, if it is known when.
    fn report(
        &mut self,
        now: Time,
        (vm, lineage): (&VmName, u64),
        account: &AccountName,
        spent: &Spent,
    ) -> bool {
        let key = (vm.clone(), account.clone());
        let known = self.reported.get(&key).filter(|known| known.lineage == lineage);
        let is_known = self.lineages.get(vm).is_some_and(|known| *known == lineage);
        // Of a VM that is known, an account that was not heard of before was not used before.
        let known = known.map(|known| known.total).or(is_known.then_some(0));
        if known.is_none() && !self.listens(now) {
            return false;
        }
        // A VM that joined says soon when it used what it did.
        let joins = self.peers.get(vm).is_some_and(|p| {
            let is_soon = now - p.since < JOIN_TIME + DETAIL_TIME;
            !p.is_counted && p.since - p.counted >= HEARD_FOR && is_soon
        });
        let is_unclear = known.is_none_or(|total| joins && total < spent.total);
        if spent.recent.is_empty() && is_unclear {
            return false;
        }
        // A VM that was told late of its last process's use repeats some of it.
        let recent = spent.recent.iter().map(|(_, units)| units).sum();
        let before = known.unwrap_or(spent.total.saturating_sub(recent));
        let used = self.uses.entry(account.clone()).or_default();
        let units = spent.total.saturating_sub(before);
        used.all.add_newest(now, width(self.tolerance), units, &spent.recent);
        let window = self.tolerance.window;
        let known = self.reported.get_mut(&key).filter(|known| known.lineage == lineage);
        if let Some(known) = known {
            known.update(now, window, spent.total);
        } else {
            let total = spent.total.max(before);
            self.reported.insert(key, Reported::new(now, lineage, total, recent));
        }
        true
    }
}

fn width(tolerance: QuotaConfig) -> Span {
    Span::from_micros(tolerance.window.as_micros() / STEPS)
}

#[expect(clippy::cast_precision_loss, reason = "few VMs")]
fn ratio(heard: usize, known: usize) -> f64 {
    heard as f64 / known.max(heard).max(1) as f64
}
