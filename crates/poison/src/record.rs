//! What is known of one part.

use model::{Part, ServerId, ServiceName, Span, Time};

use crate::suspect::{End, Suspect};

/// Minimum number of servers that ended while a part is blocked.
pub(crate) const MIN_ENDS: u32 = 3;
/// Number of ends kept for a part.
const MAX_ENDS: usize = 32;
/// Number of ends of a part in a message.
const MAX_SENT_ENDS: usize = 6;
/// Ends of one server within this time are the same end, seen by several VMs: one may see the
/// connection reset at once, and another only miss acknowledgements.
const SAME_END: Span = Span::from_secs(3);
/// Difference of two times of the same event at two VMs, by the time of the messages.
const MAX_SKEW: Span = Span::from_millis(100);

/// Time for which it may be seen that a server that seemed to end answers others. A server that did
/// end is away for longer.
pub(crate) const REFUTATION_TIME: Span = Span::from_secs(1);
/// Time from an end from which an answer shows that the server did not end. Answers that were
/// received before may be processed later.
const REFUTATION_DELAY: Span = Span::from_millis(100);
/// Time after which a trial without a result counts as over.
pub(crate) const TRIAL_TIME: Span = Span::from_secs(3);
/// Time from an end until it counts, in which it may be refuted.
const CONFIRMATION_TIME: Span = Span::from_millis(300);

/// The end of a server, as it seemed to a VM.
#[derive(Clone, Debug)]
struct KnownEnd {
    server: ServerId,
    at: Time,
    is_trial: bool,
    is_refuted: bool,
}

/// What is known of a part under which servers ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Ends since an answer last went on, in the order in which they became known.
    ends: Vec<KnownEnd>,
    /// When an answer last went on.
    pub(crate) cleared: Option<Time>,
    pub(crate) blocked: Option<Time>,
    /// When a request was last let through.
    pub(crate) tried: Option<Time>,
    /// Number of earlier trials of which no result became known.
    unresolved: u32,
    /// Whether the part was blocked until it was cleared.
    pub(crate) was_blocked: bool,
    /// Whether other VMs have not been told the latest.
    pub(crate) unsent: bool,
    /// Number of answers of the service that had gone on when the first end became known.
    pub(crate) answers_before: u64,
}

impl Record {
    fn real_ends(&self) -> impl Iterator<Item = &KnownEnd> {
        self.ends.iter().filter(|end| !end.is_refuted)
    }

    /// Returns the number of ends that were not refuted.
    pub(crate) fn ends(&self) -> u32 {
        u32::try_from(self.real_ends().count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of ends that were not refuted in time.
    pub(crate) fn confirmed_ends(&self, now: Time) -> u32 {
        let confirmed = self.real_ends().filter(|end| now >= end.at + CONFIRMATION_TIME);
        u32::try_from(confirmed.count()).unwrap_or(u32::MAX)
    }

    /// Records that a request is let through.
    pub(crate) fn start_trial(&mut self, at: Time) {
        self.unresolved += u32::from(self.has_open_trial());
        self.tried = Some(at);
    }

    /// Returns whether the result of the last trial is not known.
    fn has_open_trial(&self) -> bool {
        let is_result = |end: &KnownEnd, tried| end.is_trial && end.at + MAX_SKEW >= tried;
        self.tried.is_some_and(|tried| !self.ends.iter().any(|end| is_result(end, tried)))
    }

    /// Returns the number of trials that ended a server or of which no result became known in time.
    pub(crate) fn fruitless_trials(&self, now: Time) -> u32 {
        let is_overdue = self.tried.is_some_and(|tried| now >= tried + TRIAL_TIME);
        self.failures() + self.unresolved + u32::from(is_overdue && self.has_open_trial())
    }

    /// Returns the number of trials that ended a server.
    pub(crate) fn failures(&self) -> u32 {
        let trials = self.real_ends().filter(|end| end.is_trial);
        u32::try_from(trials.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn first_end(&self) -> Option<Time> {
        self.real_ends().map(|end| end.at).min()
    }

    pub(crate) fn last_end(&self) -> Option<Time> {
        self.ends.iter().map(|end| end.at).max()
    }

    pub(crate) fn has_end(&self, server: &ServerId) -> bool {
        self.real_ends().any(|end| end.server == *server)
    }

    /// Returns whether the part is or was blocked.
    pub(crate) fn is_decided(&self) -> bool {
        self.blocked.is_some() || self.was_blocked
    }

    /// Returns whether other VMs are told again and again, so that those that missed it learn it.
    pub(crate) fn is_weighty(&self) -> bool {
        self.is_decided() || self.ends() > 1
    }

    /// Adds the end of a server. Returns whether any of it is new.
    pub(crate) fn add_end(
        &mut self,
        at: Time,
        server: &ServerId,
        (is_trial, is_refuted): (bool, bool),
    ) -> bool {
        if self.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        let is_same = |end: &&mut KnownEnd| {
            end.server == *server && at < end.at + SAME_END && end.at < at + SAME_END
        };
        if let Some(known) = self.ends.iter_mut().find(is_same) {
            let is_news = (is_trial && !known.is_trial) || (is_refuted && !known.is_refuted);
            known.is_trial |= is_trial;
            known.is_refuted |= is_refuted;
            return is_news;
        }
        if self.ends.len() == MAX_ENDS {
            // A refuted end makes space, or else one in the middle: the first one tells for how long
            // the part has been suspect, and the last ones which trials failed.
            let refuted = self.ends.iter().position(|end| end.is_refuted);
            self.ends.remove(refuted.unwrap_or(1));
        }
        self.ends.push(KnownEnd { server: server.clone(), at, is_trial, is_refuted });
        true
    }

    /// Records that a server answers. Returns whether that refutes an end.
    pub(crate) fn refute(&mut self, now: Time, server: &ServerId) -> bool {
        let mut is_news = false;
        for end in self.ends.iter_mut().filter(|end| end.server == *server && !end.is_refuted) {
            if now >= end.at + REFUTATION_DELAY && now < end.at + REFUTATION_TIME {
                end.is_refuted = true;
                is_news = true;
            }
        }
        is_news
    }

    /// Unblocks the part if too many of the ends were refuted. Returns whether it was blocked.
    pub(crate) fn unblock_if_refuted(&mut self, now: Time) -> bool {
        let is_refuted = self.blocked.is_some() && self.ends() < MIN_ENDS;
        if is_refuted {
            self.clear(now);
        }
        is_refuted
    }

    /// Records that an answer with the part went on. Returns whether that is news to other VMs.
    pub(crate) fn clear(&mut self, at: Time) -> bool {
        let is_news = self.cleared.is_none_or(|cleared| cleared + MAX_SKEW < at);
        if is_news || !self.ends.is_empty() {
            self.was_blocked |= self.blocked.is_some();
            self.ends.retain(|end| end.at > at);
            self.cleared = Some(at);
            (self.blocked, self.tried, self.unresolved) = (None, None, 0);
        }
        is_news
    }

    /// Merges what another VM knows. Returns whether any of it is new.
    pub(crate) fn merge(&mut self, now: Time, suspect: &Suspect) -> bool {
        let mut is_news = false;
        if let Some(at) = suspect.cleared.map(|age| before(now, age))
            && self.cleared.is_none_or(|cleared| cleared + MAX_SKEW < at)
        {
            is_news |= self.clear(at);
        }
        for End { server, age, is_trial, is_refuted } in &suspect.ends {
            is_news |= self.add_end(before(now, *age), server, (*is_trial, *is_refuted));
        }
        // The other VM may not know yet that the part was cleared or that ends were refuted.
        if let Some(at) = suspect.blocked.map(|age| before(now, age))
            && self.ends() >= MIN_ENDS
        {
            is_news |= self.blocked.is_none();
            self.blocked.get_or_insert(at);
        }
        self.unblock_if_refuted(now);
        if let Some(at) = suspect.tried.map(|age| before(now, age))
            && self.tried.is_none_or(|tried| tried + MAX_SKEW < at)
        {
            is_news = true;
            self.start_trial(at);
        }
        is_news
    }

    pub(crate) fn suspect(&self, now: Time, service: &ServiceName, part: Part) -> Suspect {
        let latest = self.ends.iter().rev().take(MAX_SENT_ENDS);
        let ends = latest.map(|end| End {
            server: end.server.clone(),
            age: now - end.at,
            is_trial: end.is_trial,
            is_refuted: end.is_refuted,
        });
        let age = |at: Option<Time>| at.map(|at| now - at);
        Suspect {
            service: service.clone(),
            part,
            ends: ends.collect(),
            cleared: age(self.cleared),
            blocked: age(self.blocked),
            tried: age(self.tried),
        }
    }
}

/// Returns the time that was `age` before `now`.
fn before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}
