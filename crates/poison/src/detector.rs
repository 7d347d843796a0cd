//! The [`Detector`]: collects ends and answers, and decides about requests.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use model::{Part, ServerId, ServiceName, Span, Time, VmName, unit_hash};

use crate::{
    record::{MIN_ENDS, REFUTATION_TIME, Record, TRIAL_TIME},
    suspect::Suspect,
};

/// Minimum time from the first end until a part is blocked. Sound parts are usually in other
/// requests too, and one of these is answered within this time.
const MIN_DOUBT: Span = Span::from_millis(500);
/// Probability below which it is not put down to chance that all requests with a part failed.
const SIGNIFICANCE: f64 = 0.01;
/// The same for a part with which an answer went on lately. Most parts do not turn bad, and popular
/// ones are on most servers that end.
const SOUND_SIGNIFICANCE: f64 = 1e-6;
/// Minimum probability assumed for the failure of a sound request while servers end.
const MIN_FAILURE_RATE: f64 = 0.2;
/// Delay before the first request is let through to try a blocked part. It grows tenfold with each
/// trial that fails or of which no result becomes known.
const TRIAL_DELAY: Span = Span::from_millis(200);
/// Maximum delay between two trials of a part.
const MAX_TRIAL_DELAY: Span = Span::from_secs(600);
/// Share of the delay by which the trials of different VMs are spread, so that one of them has told
/// the others of its trial before they begin one.
const TRIAL_SPREAD: f64 = 0.25;
/// Minimum time over which VMs spread a further trial, in seconds. By then requests with the part
/// may wait at all of them.
const MIN_RETRIAL_SPREAD: f64 = 1.0;
/// Time after the last end for which a part that is not blocked stays a suspect.
const SUSPECT_TTL: Span = Span::from_secs(30);
/// Time after the last end for which a part stays blocked.
const BLOCKED_TTL: Span = Span::from_secs(900);
/// Time for which it is remembered that a part was cleared. Ends before that, which other VMs still
/// report, do not count.
const CLEARED_TTL: Span = Span::from_secs(10);
/// Time for which this is remembered of a part that was blocked: VMs that were cut off may still
/// block it.
const UNBLOCKED_TTL: Span = Span::from_secs(120);
/// Maximum number of parts that are remembered.
const MAX_RECORDS: usize = 512;
/// Maximum number of suspects in a message.
const MAX_SUSPECTS: usize = 12;
/// Time between two signs of the end of one server at one VM.
const SAME_MOMENT: Span = Span::from_millis(300);
/// Time after the end of an answer in which a refused connection shows that its server has ended.
const REFUSED_TIME: Span = Span::from_secs(1);
/// Maximum number of answers of a service that are remembered as possibly broken off.
const MAX_DOUBTFUL: usize = 64;
/// Number of failed requests of a service that are remembered.
const MAX_FAILED: usize = 128;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No part of it is blocked.
    Free,
    /// One of its parts is blocked, and the request tries it.
    Trial,
    /// A part of it is blocked.
    Refused {
        /// Time until a request with its parts may be let through.
        wait: Span,
    },
}

/// A change to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// What has changed.
    pub change: Change,
    /// Service whose servers ended.
    pub service: ServiceName,
    /// The part.
    pub part: Part,
    /// Number of servers that ended.
    pub ends: u32,
    /// Number of trials that ended a server.
    pub failures: u32,
}

/// What has changed about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part is blocked.
    Blocked,
    /// A request is let through to try the blocked part.
    Tried,
    /// The part is no longer blocked, since an answer with it went on or servers that seemed to end
    /// did not.
    Cleared,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Blocked => "part is blocked",
            Self::Tried => "blocked part is tried",
            Self::Cleared => "part is no longer blocked",
        })
    }
}

impl Notice {
    fn new(change: Change, (service, part): (&ServiceName, Part), record: &Record) -> Self {
        let (ends, failures) = (record.ends(), record.failures());
        Self { change, service: service.clone(), part, ends, failures }
    }
}

/// What is known of all requests for a service.
#[derive(Debug, Default)]
struct ServiceRecord {
    /// Number of answers that went on.
    answers: u64,
    /// Requests that failed as their server ended.
    failed: VecDeque<(ServerId, Time)>,
    /// Answers that ended with their connection, complete or not.
    doubtful: VecDeque<DoubtfulEnd>,
}

/// An answer whose end may be that of its server.
#[derive(Clone, Debug)]
struct DoubtfulEnd {
    server: ServerId,
    at: Time,
    parts: Vec<Part>,
    is_trial: bool,
}

/// Decides whether requests may be sent, by the parts that they have in common with requests that
/// ended servers.
///
/// # Examples
///
/// ```
/// use model::{Part, ServerId, ServiceName, Time};
/// use poison::{Admission, Detector};
///
/// let mut detector = Detector::new("10.0.0.1".try_into()?);
/// let service = ServiceName::try_from("desk")?;
/// let (sound, bad) = ([Part::from("a1")], [Part::from("a1"), Part::from("b2")]);
/// for (n, id) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
///     let now = Time::from_micros(n as u64 * 300_000);
///     detector.record_end(now, &service, &bad, (&ServerId::try_from(id)?, false));
///     for _ in 0..3 {
///         detector.record_answer(now, &service, &sound);
///     }
/// }
/// let now = Time::from_micros(1_000_000);
/// assert_eq!(detector.check(now, &service, &sound), Admission::Free);
/// assert!(matches!(detector.check(now, &service, &bad), Admission::Refused { .. }));
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Detector {
    vm: VmName,
    records: BTreeMap<(ServiceName, Part), Record>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    notices: Vec<Notice>,
    /// Whether other VMs may not have been told the latest of a record.
    has_unsent: bool,
    /// When an end last became known.
    last_end: Time,
}

impl Detector {
    /// Creates the detector of a VM that has seen nothing yet.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            records: BTreeMap::new(),
            services: BTreeMap::new(),
            notices: Vec::new(),
            has_unsent: false,
            last_end: Time::default(),
        }
    }

    /// Returns whether a request with these parts could be sent now. The last one is the request's
    /// own, which only its repetitions have.
    pub fn check(&mut self, now: Time, service: &ServiceName, parts: &[Part]) -> Admission {
        if self.records.is_empty() {
            return Admission::Free;
        }
        for part in parts {
            self.block_if_proven(now, service, *part);
        }
        let blocked: Vec<_> = parts.iter().filter(|p| self.is_blocked(service, **p)).collect();
        // Alone, a part is tried sooner: if several parts came together each time, a request with
        // one of them shows which is to blame. The request's own part never comes alone.
        let own = parts.last().filter(|own| self.is_blocked(service, **own));
        let steps = u32::from(blocked.len() - usize::from(own.is_some()) > 1);
        let waits = blocked.iter().filter_map(|part| {
            let record = self.records.get(&(service.clone(), **part))?;
            Some(self.next_trial(now, **part, record, steps) - now)
        });
        match waits.max() {
            None => Admission::Free,
            Some(Span::ZERO) => Admission::Trial,
            Some(wait) => Admission::Refused { wait },
        }
    }

    /// Returns whether servers ended under a part of a request with these parts, or it is blocked.
    #[must_use]
    pub fn is_suspect(&self, service: &ServiceName, parts: &[Part]) -> bool {
        parts.iter().any(|part| {
            let record = self.records.get(&(service.clone(), *part));
            record.is_some_and(|record| record.ends() > 0 || record.blocked.is_some())
        })
    }

    /// Decides whether a request is sent now, as [`check`](Self::check) does. The caller must send it,
    /// unless it is refused.
    pub fn admit(&mut self, now: Time, service: &ServiceName, parts: &[Part]) -> Admission {
        let admission = self.check(now, service, parts);
        if admission == Admission::Trial {
            for part in parts {
                let record = self.records.get_mut(&(service.clone(), *part));
                if let Some(record) = record.filter(|r| r.blocked.is_some()) {
                    record.start_trial(now);
                    record.unsent = true;
                    self.has_unsent = true;
                    self.notices.push(Notice::new(Change::Tried, (service, *part), record));
                }
            }
        }
        admission
    }

    /// Records that the answer to a request went on for a while, so that these parts of it did not
    /// end the server.
    pub fn record_answer(&mut self, now: Time, service: &ServiceName, parts: &[Part]) {
        self.service(service).answers += 1;
        self.clear(now, service, parts);
    }

    /// Records that a request with this part of its own is sound: its answer was complete, or went on
    /// for so long that it would have ended its server.
    pub fn record_sound(&mut self, now: Time, service: &ServiceName, own: Part) {
        self.clear(now, service, &[own]);
    }

    fn clear(&mut self, now: Time, service: &ServiceName, parts: &[Part]) {
        if self.records.is_empty() {
            return;
        }
        for part in parts {
            let Some(record) = self.records.get_mut(&(service.clone(), *part)) else { continue };
            if record.ends() == 0 && record.blocked.is_none() {
                continue;
            }
            if record.blocked.is_some() {
                self.notices.push(Notice::new(Change::Cleared, (service, *part), record));
            }
            record.clear(now);
            record.unsent = true;
            self.has_unsent = true;
        }
    }

    /// Records that a server is answering. If it seemed to end shortly before, only connections to
    /// it ended.
    pub fn record_alive(&mut self, now: Time, service: &ServiceName, server: &ServerId) {
        if now >= self.last_end + REFUTATION_TIME {
            return;
        }
        for ((of_service, part), record) in &mut self.records {
            if of_service == service {
                record.unsent |= record.refute(now, server);
                self.has_unsent |= record.unsent;
                if record.unblock_if_refuted(now) {
                    self.notices.push(Notice::new(Change::Cleared, (service, *part), record));
                }
            }
        }
    }

    /// Records that a server ended before its answer to a request had gone on for a while.
    /// `is_trial` says whether the request was let through to try a blocked part.
    pub fn record_end(
        &mut self,
        now: Time,
        service: &ServiceName,
        parts: &[Part],
        (server, is_trial): (&ServerId, bool),
    ) {
        self.confirm(now, service, (server, SAME_MOMENT));
        let of_service = self.service(service);
        if of_service.failed.len() == MAX_FAILED {
            of_service.failed.pop_front();
        }
        of_service.failed.push_back((server.clone(), now));
        self.add_ends(now, service, parts, (server, is_trial));
    }

    /// Records that a server ended after its answer to a request with this part of its own had gone
    /// on for a while, and before the request was known to be sound. `is_trial` is that of
    /// [`record_end`](Self::record_end).
    pub fn record_late_end(
        &mut self,
        now: Time,
        service: &ServiceName,
        own: Part,
        (server, is_trial): (&ServerId, bool),
    ) {
        self.confirm(now, service, (server, SAME_MOMENT));
        self.add_ends(now, service, &[own], (server, is_trial));
    }

    fn add_ends(
        &mut self,
        now: Time,
        service: &ServiceName,
        parts: &[Part],
        (server, is_trial): (&ServerId, bool),
    ) {
        let answers = self.service(service).answers;
        self.last_end = self.last_end.max(now);
        for part in parts {
            let Some(record) = self.record(now, service, *part, answers) else { continue };
            let is_trial = is_trial && record.blocked.is_some();
            record.unsent |= record.add_end(now, server, (is_trial, false));
            let is_unsent = record.unsent;
            self.has_unsent |= is_unsent;
        }
    }

    /// Records that an answer ended with its connection before it had gone on for a while. It may be
    /// complete: it counts as the end of its server, as in [`record_end`](Self::record_end), if
    /// another sign of that end is seen.
    pub fn record_doubtful_end(
        &mut self,
        now: Time,
        service: &ServiceName,
        parts: &[Part],
        (server, is_trial): (&ServerId, bool),
    ) {
        let of_service = self.service(service);
        let seen = of_service.failed.iter().any(|(id, at)| id == server && now < *at + SAME_MOMENT);
        if seen {
            self.add_ends(now, service, parts, (server, is_trial));
            return;
        }
        if of_service.doubtful.len() == MAX_DOUBTFUL {
            of_service.doubtful.pop_front();
        }
        let (server, parts) = (server.clone(), parts.to_vec());
        of_service.doubtful.push_back(DoubtfulEnd { server, at: now, parts, is_trial });
    }

    /// Records that a server refused a connection.
    pub fn record_refused(&mut self, now: Time, service: &ServiceName, server: &ServerId) {
        self.confirm(now, service, (server, REFUSED_TIME));
    }

    /// Counts the answers that ended with their connection to a server within `time`.
    fn confirm(&mut self, now: Time, service: &ServiceName, (server, time): (&ServerId, Span)) {
        let of_service = self.service(service);
        let is_end = |end: &DoubtfulEnd| end.server == *server && now < end.at + time;
        let (ends, others): (VecDeque<_>, VecDeque<_>) =
            of_service.doubtful.drain(..).partition(is_end);
        of_service.doubtful = others;
        for DoubtfulEnd { server, at, parts, is_trial } in ends {
            self.add_ends(at, service, &parts, (&server, is_trial));
        }
    }

    /// Merges what another VM knows.
    pub fn merge(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects {
            let answers = self.service(&suspect.service).answers;
            let (service, part) = (&suspect.service, suspect.part);
            let Some(record) = self.record(now, service, part, answers) else { continue };
            let was_blocked = record.blocked.is_some();
            record.unsent |= record.merge(now, suspect);
            let (is_unsent, is_blocked) = (record.unsent, record.blocked.is_some());
            let change = if is_blocked { Change::Blocked } else { Change::Cleared };
            let notice =
                (was_blocked != is_blocked).then(|| Notice::new(change, (service, part), record));
            self.notices.extend(notice);
            self.has_unsent |= is_unsent;
            self.last_end = self.last_end.max(now);
        }
    }

    /// Returns the suspects for other VMs: first those of which they have not been told the latest,
    /// then those that VMs may have missed. It is empty if there are none.
    pub fn suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.forget(now);
        let keys: Vec<_> = self.records.keys().cloned().collect();
        for (service, part) in keys {
            self.block_if_proven(now, &service, part);
        }
        let due = self.records.iter_mut().filter(|(_, r)| r.unsent || r.is_weighty());
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, r)| std::cmp::Reverse((r.unsent, r.is_decided(), r.ends())));
        self.has_unsent = due.iter().skip(MAX_SUSPECTS).any(|(_, record)| record.unsent);
        let sent = due.into_iter().take(MAX_SUSPECTS);
        sent.map(|((service, part), record)| {
            record.unsent = false;
            record.suspect(now, service, *part)
        })
        .collect()
    }

    /// Returns what a VM that starts should know: the parts that are or were blocked, and then those
    /// under which several servers ended, the latter by their number.
    pub fn known(&mut self, now: Time) -> Vec<Suspect> {
        self.forget(now);
        let mut known: Vec<_> = self.records.iter().filter(|(_, r)| r.is_weighty()).collect();
        known.sort_by_key(|(_, r)| std::cmp::Reverse((r.is_decided(), r.ends())));
        known.into_iter().map(|((service, part), r)| r.suspect(now, service, *part)).collect()
    }

    /// Returns whether something changed that other VMs should learn at once.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.has_unsent
    }

    /// Takes the changes since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceRecord {
        self.services.entry(service.clone()).or_default()
    }

    /// Returns the record of a part, which is created if there is space. The suspect with the fewest
    /// ends, and of these the oldest, makes space, but no blocked part does.
    fn record(
        &mut self,
        now: Time,
        service: &ServiceName,
        part: Part,
        answers_before: u64,
    ) -> Option<&mut Record> {
        let key = (service.clone(), part);
        if !self.records.contains_key(&key) && self.records.len() >= MAX_RECORDS {
            self.forget(now);
            let suspects = self.records.iter().filter(|(_, r)| r.blocked.is_none());
            let least = suspects.min_by_key(|(_, r)| (r.ends(), r.last_end()));
            let least = least.map(|(key, _)| key.clone());
            if self.records.len() >= MAX_RECORDS {
                self.records.remove(&least?);
            }
        }
        let record = self.records.entry(key).or_default();
        if record.ends() == 0 {
            record.answers_before = answers_before;
        }
        Some(record)
    }

    fn forget(&mut self, now: Time) {
        self.records.retain(|_, record| {
            let within = |at: Option<Time>, ttl| at.is_some_and(|at| now < at + ttl);
            let is_blocked = record.blocked.is_some();
            let end_ttl = if is_blocked { BLOCKED_TTL } else { SUSPECT_TTL };
            let cleared_ttl = if record.was_blocked { UNBLOCKED_TTL } else { CLEARED_TTL };
            within(record.last_end(), end_ttl) || within(record.cleared, cleared_ttl)
        });
    }

    fn is_blocked(&self, service: &ServiceName, part: Part) -> bool {
        let record = self.records.get(&(service.clone(), part));
        record.is_some_and(|record| record.blocked.is_some())
    }

    /// Blocks a part if chance does not explain that no answer with it has gone on.
    fn block_if_proven(&mut self, now: Time, service: &ServiceName, part: Part) {
        let Some(record) = self.records.get_mut(&(service.clone(), part)) else { return };
        let Some(first_end) = record.first_end().filter(|first| now - *first >= MIN_DOUBT) else {
            return;
        };
        let ends = record.confirmed_ends(now);
        if record.blocked.is_some() || ends < MIN_ENDS {
            return;
        }
        let Some(of_service) = self.services.get(service) else { return };
        // Ends of the same servers are no evidence that others fail as well.
        let failed = of_service.failed.iter();
        let failed = failed.filter(|(id, at)| *at >= first_end && !record.has_end(id)).count();
        let failed = u32::try_from(failed).unwrap_or(u32::MAX);
        let answers = of_service.answers - record.answers_before;
        let was_sound = record.cleared.is_some_and(|cleared| now < cleared + CLEARED_TTL);
        let significance = if was_sound { SOUND_SIGNIFICANCE } else { SIGNIFICANCE };
        if chance(ends, failed, answers) > significance {
            return;
        }
        record.blocked = Some(now);
        record.unsent = true;
        self.has_unsent = true;
        let notice = Notice::new(Change::Blocked, (service, part), record);
        self.notices.push(notice);
    }

    /// Returns when the next trial of a blocked part may begin here, with the delay of `steps` more
    /// trials.
    fn next_trial(&self, now: Time, part: Part, record: &Record, steps: u32) -> Time {
        let factor = 10_u64.saturating_pow(record.fruitless_trials(now) + steps);
        let delay = Span::from_micros(TRIAL_DELAY.as_micros().saturating_mul(factor));
        let delay = delay.min(MAX_TRIAL_DELAY);
        let spread = delay.as_secs_f64() * TRIAL_SPREAD;
        let since = record.tried.max(record.blocked).unwrap_or_default();
        let (earliest, spread) = match record.tried {
            None => (since + delay, spread),
            Some(tried) => {
                ((since + delay).max(tried + TRIAL_TIME), spread.max(MIN_RETRIAL_SPREAD))
            }
        };
        let own = unit_hash(&part.to_string(), self.vm.as_str());
        earliest + Span::from_secs_f64(spread * own)
    }
}

/// Returns the probability that `ends` requests fail in a row by chance, when of the other requests
/// `failed` failed and `answers` were answered.
fn chance(ends: u32, failed: u32, answers: u64) -> f64 {
    let answers = f64::from(u32::try_from(answers).unwrap_or(u32::MAX));
    // With no other requests, nothing can be told.
    let rate = f64::from(failed + 1) / (f64::from(failed) + answers + 1.0);
    let ends = i32::try_from(ends).unwrap_or(i32::MAX);
    rate.max(MIN_FAILURE_RATE).powi(ends)
}
