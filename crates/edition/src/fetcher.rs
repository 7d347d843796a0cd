//! The fetching side: from which control VM an entry VM requests the plan's content, and when it
//! asks another one.
//!
//! Each version is requested from one control VM. It is one in the own zone if that has the version
//! soon enough, and otherwise one that a hash of both names selects, so that the entry VMs of a zone
//! spread over the control VMs. Another one is asked if the
//! content takes longer than the transfer to all entry VMs would take on the slowest link.

use std::collections::BTreeMap;

use model::{Span, Time, VmName, ZoneName, unit_hash};

use crate::{
    document::{Base, Digest},
    patch_cache::{Offer, Request},
};

/// Rate of the slowest link on which deployments run, in bytes per second: 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;
/// Time for a control VM to answer a request, besides the transfer. It covers the making of a patch
/// on a slow control VM.
const ANSWER_TIME: Span = Span::from_millis(400);
/// Time, besides that of a transfer, for which a control VM of another zone is not asked while one in
/// the own zone, which had the version before, has not reported the new one. Followers of the
/// replicated log apply an entry a heartbeat later than the leader.
const ZONE_GRACE: Span = Span::from_millis(150);
/// Time since a control VM last answered after which it is not asked.
const SOURCE_TIMEOUT: Span = Span::from_millis(1_500);
/// Time for which a control VM that failed is asked only if there is no other.
const SHUN_TIME: Span = Span::from_secs(3);
/// Pause after the first request that failed at once, such as on a refused connection or with damaged
/// content; it doubles with each failure up to the maximum. Without it, such requests would follow
/// each other without end.
const RETRY_DELAY: Span = Span::from_millis(50);
const MAX_RETRY_DELAY: Span = Span::from_secs(2);
/// Largest factor by which failures extend the time for a transfer.
const MAX_BACKOFF: u32 = 4;

/// What the answer of a control VM says about the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Version of the plan in force at the control VM; 0 if none.
    pub version: u64,
    /// Whether it was the leader and no newer plan had been acknowledged.
    pub is_current: bool,
    /// The newer plan that it offers.
    pub offer: Option<Offer>,
}

/// A request to be sent to a control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The control VM to ask.
    pub from: VmName,
    /// The request to send.
    pub request: Request,
    /// Number of requests for this content that gave nothing.
    pub failures: u32,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this request.
    Fetch(Fetch),
    /// Do nothing before this time, unless something is reported.
    Wait(Time),
    /// Do nothing until something is reported.
    Idle,
}

/// Why a request gave no plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The control VM did not answer.
    Silent,
    /// The control VM has no content for this VM, such as after its restart.
    Nothing,
    /// The content applies to a version that was replaced while it was on its way.
    Stale,
    /// The content does not apply to the document that is held, is damaged or forged. A whole
    /// document is requested next, from another control VM.
    Rejected,
    /// The document of this version cannot be read by this build. It is not requested again.
    Unreadable(u64),
}

#[derive(Clone, Debug)]
struct Source {
    version: u64,
    offer: Option<Offer>,
    zone: Option<ZoneName>,
    last_seen: Time,
    shunned_until: Time,
}

#[derive(Clone, Debug)]
struct Pending {
    from: VmName,
    sent: Time,
}

/// The decisions of an entry VM about requests for the plan's content.
///
/// # Examples
///
/// ```
/// use edition::{Digest, Fetcher, Heard, Offer, Step};
/// use model::{Span, Time, VmName, ZoneName};
///
/// let zone = ZoneName::try_from("a")?;
/// let mut fetcher = Fetcher::new(VmName::try_from("10.0.0.9")?, zone.clone());
/// let now = Time::from_micros(1);
/// assert_eq!(fetcher.step(now), Step::Idle);
/// let offer = Some(Offer { digest: Digest::of(b"routes"), bytes: 6, age: Span::ZERO, zone });
/// let control = VmName::try_from("10.0.0.1")?;
/// fetcher.hear(now, &control, Heard { version: 7, is_current: true, offer });
/// let Step::Fetch(fetch) = fetcher.step(now) else { panic!("not requested") };
/// assert_eq!(fetch.from, control);
/// assert!(matches!(fetcher.step(now), Step::Wait(_)), "it is requested once");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Fetcher {
    me: VmName,
    zone: ZoneName,
    held: Option<Base>,
    /// The newest version that a current leader named, and its digest. The first plan after a start
    /// is at least as new, since other control VMs may lag behind.
    committed: (u64, Option<Digest>),
    /// Newest version that cannot be read.
    unreadable: u64,
    sources: BTreeMap<VmName, Source>,
    /// Number of entry VMs that request the same content.
    entries: u64,
    /// The newest version that was heard of, and when that was first.
    news: (u64, Time),
    pending: Option<Pending>,
    /// When the next request may be sent, after one that failed at once.
    retry_at: Time,
    /// Number of requests for the newest version that gave nothing.
    failures: u32,
    /// Whether the next request is for a whole document.
    whole: bool,
}

impl Fetcher {
    /// Creates the state of an entry VM without a plan.
    #[must_use]
    pub fn new(me: VmName, zone: ZoneName) -> Self {
        Self {
            me,
            zone,
            held: None,
            committed: (0, None),
            unreadable: 0,
            sources: BTreeMap::new(),
            entries: 1,
            news: (0, Time::default()),
            pending: None,
            retry_at: Time::default(),
            failures: 0,
            whole: false,
        }
    }

    /// Sets the number of entry VMs, which share the links of the control VMs.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Returns the version that is held; 0 if none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.held.map_or(0, |base| base.version)
    }

    /// Records what a control VM answered to a poll.
    pub fn hear(&mut self, now: Time, from: &VmName, heard: Heard) {
        let Heard { version, is_current, offer } = heard;
        if is_current && version >= self.committed.0 {
            let digest = offer.as_ref().map(|o| o.digest);
            let known = self.committed.1.filter(|_| version == self.committed.0);
            self.committed = (version, digest.or(known));
        }
        if version > self.news.0 {
            self.news = (version, now);
            self.failures = 0;
        }
        let before = self.sources.get(from);
        let zone = offer.as_ref().map(|o| o.zone.clone());
        let zone = zone.or_else(|| before.and_then(|s| s.zone.clone()));
        let shunned_until = before.map_or(Time::default(), |s| s.shunned_until);
        let source = Source { version, offer, zone, last_seen: now, shunned_until };
        self.sources.insert(from.clone(), source);
    }

    /// Records that a control VM did not answer a poll. A request to it goes on, since the answer to
    /// the poll may be behind the content on a busy link.
    pub fn silent(&mut self, now: Time, from: &VmName) {
        if let Some(source) = self.sources.get_mut(from) {
            source.shunned_until = now + SHUN_TIME;
        }
    }

    /// Returns whether a document may come into force: it is newer than the one that is held, at
    /// least as new as the plan of the last known leader if none is held, and has the digest that
    /// the leader named if it is that version.
    #[must_use]
    pub fn accepts(&self, target: Base) -> bool {
        let (committed, digest) = self.committed;
        let is_due = self.held.is_some() || (committed > 0 && target.version >= committed);
        let is_genuine = target.version != committed || digest.is_none_or(|d| d == target.digest);
        target.version > self.version() && is_due && is_genuine
    }

    /// Records that a document is in force.
    pub fn installed(&mut self, base: Base) {
        if base.version > self.version() {
            (self.held, self.pending) = (Some(base), None);
            (self.failures, self.whole) = (0, false);
        }
    }

    /// Records that a request to this control VM gave no plan.
    pub fn failed(&mut self, now: Time, from: &VmName, failure: Failure) {
        let source = self.sources.get_mut(from);
        match failure {
            // A request that fits was sent when the version was replaced.
            Failure::Stale => return,
            Failure::Nothing => {
                if let Some(source) = source {
                    source.offer = None;
                }
            }
            Failure::Unreadable(version) => self.unreadable = self.unreadable.max(version),
            Failure::Silent | Failure::Rejected => {
                self.whole |= failure == Failure::Rejected;
                if let Some(source) = source {
                    source.shunned_until = now + SHUN_TIME;
                }
            }
        }
        if self.pending.as_ref().is_some_and(|p| p.from == *from) {
            self.pending = None;
            let delay = (0..self.failures)
                .fold(RETRY_DELAY, |delay, _| (delay + delay).min(MAX_RETRY_DELAY));
            self.retry_at = now + delay;
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// Returns what is to be done next. A request that it returns counts as sent.
    pub fn step(&mut self, now: Time) -> Step {
        if let Some(Pending { from, sent }) = self.pending.clone() {
            let due = sent + self.patience(&from);
            if now < due {
                return Step::Wait(due);
            }
            self.failed(now, &from, Failure::Silent);
            self.retry_at = now;
        }
        let Some(from) = self.choose(now) else { return Step::Idle };
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        let is_near = self.sources.get(&from).and_then(|s| s.zone.as_ref()) == Some(&self.zone);
        let grace = self.news.1 + ZONE_GRACE + self.transfer_time(&from);
        if !is_near && self.failures == 0 && now < grace && self.expects_near(now) {
            return Step::Wait(grace);
        }
        self.pending = Some(Pending { from: from.clone(), sent: now });
        let base = self.held.filter(|_| !self.whole);
        let request = Request { known: self.version(), fetch: true, base };
        Step::Fetch(Fetch { from, request, failures: self.failures })
    }

    /// Returns the control VM to ask: one that did not fail recently, in the own zone, if possible.
    fn choose(&self, now: Time) -> Option<VmName> {
        let floor = if self.held.is_some() { self.version() + 1 } else { self.committed.0.max(1) };
        if self.held.is_none() && self.committed.0 == 0 {
            return None;
        }
        let floor = floor.max(self.unreadable + 1);
        let candidates = self.sources.iter().filter(|(_, s)| {
            s.offer.is_some() && s.version >= floor && now < s.last_seen + SOURCE_TIMEOUT
        });
        let ranked = candidates.map(|(vm, source)| {
            let is_far = source.zone.as_ref() != Some(&self.zone);
            let hash = unit_hash(self.me.as_str(), vm.as_str());
            ((now < source.shunned_until, is_far), hash, vm)
        });
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, vm)| vm.clone())
    }

    /// Returns whether a control VM in the own zone had the version before and will soon have the
    /// new one.
    fn expects_near(&self, now: Time) -> bool {
        self.sources.values().any(|s| {
            s.zone.as_ref() == Some(&self.zone)
                && s.version >= self.version().max(1)
                && now < s.last_seen + SOURCE_TIMEOUT
                && now >= s.shunned_until
        })
    }

    /// Returns the time after which another control VM is asked in place of `from`. The part for the
    /// transfer grows with failures, since repeated transfers load the links further.
    fn patience(&self, from: &VmName) -> Span {
        let transfer = self.transfer_time(from);
        (0..self.failures.clamp(1, MAX_BACKOFF)).fold(ANSWER_TIME, |sum, _| sum + transfer)
    }

    /// Returns the time of the transfer to all entry VMs which probably ask the same control VM.
    fn transfer_time(&self, from: &VmName) -> Span {
        let version = self.sources.get(from).map_or(0, |s| s.version);
        let offers = self.sources.values().filter(|s| s.version == version);
        // The first offers are estimates, which a control VM that died does not correct.
        let bytes = offers.filter_map(|s| s.offer.as_ref()).map(|o| o.bytes).min().unwrap_or(0);
        let holders = self.sources.values().filter(|s| s.offer.is_some()).count().max(1) as u64;
        let bytes = bytes.saturating_mul(self.entries.div_ceil(holders));
        Span::from_micros(bytes.saturating_mul(1_000_000) / LINK_RATE)
    }
}
