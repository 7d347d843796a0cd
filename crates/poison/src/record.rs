//! What is known of one part.

use model::{Part, ServerId, ServiceName, Span, Time};

use crate::suspect::{End, Suspect};

/// Number of ends kept for a part.
const MAX_ENDS: usize = 32;
/// Number of ends of a part in a message.
const MAX_SENT_ENDS: usize = 6;
/// Ends of one server within this time are the same end, seen by several VMs: one may see the
/// connection reset at once, and another only miss acknowledgements.
const SAME_END: Span = Span::from_secs(3);
/// Difference of two times of the same event at two VMs, by the time of the messages.
const MAX_SKEW: Span = Span::from_millis(100);

/// What is known of a part under which servers ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Ends since an answer last went on, in the order in which they became known.
    ends: Vec<(ServerId, Time)>,
    /// Time of the first of them, while it is kept or after it was dropped for lack of space.
    pub(crate) first_end: Option<Time>,
    pub(crate) last_end: Option<Time>,
    /// When an answer last went on.
    pub(crate) cleared: Option<Time>,
    pub(crate) blocked: Option<Time>,
    pub(crate) failures: u32,
    pub(crate) tried: Option<Time>,
    /// Whether the part was blocked until it was cleared.
    pub(crate) was_blocked: bool,
    /// Whether other VMs have not been told the latest.
    pub(crate) unsent: bool,
    /// Number of answers of the service that had gone on when the first end became known.
    pub(crate) answers_before: u64,
}

impl Record {
    pub(crate) fn ends(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn has_end(&self, server: &ServerId) -> bool {
        self.ends.iter().any(|(id, _)| id == server)
    }

    /// Returns whether the part is or was blocked.
    pub(crate) fn is_decided(&self) -> bool {
        self.blocked.is_some() || self.was_blocked
    }

    /// Returns whether other VMs are told again and again, so that those that missed it learn it.
    pub(crate) fn is_weighty(&self) -> bool {
        self.is_decided() || self.ends.len() > 1
    }

    /// Adds the end of a server. Returns whether it is a new one.
    pub(crate) fn add_end(&mut self, at: Time, server: &ServerId) -> bool {
        let same = |(id, known): &(ServerId, Time)| {
            id == server && at < *known + SAME_END && *known < at + SAME_END
        };
        if self.cleared.is_some_and(|cleared| at <= cleared) || self.ends.iter().any(same) {
            return false;
        }
        self.first_end = Some(self.first_end.map_or(at, |first| first.min(at)));
        self.last_end = Some(self.last_end.map_or(at, |last| last.max(at)));
        if self.ends.len() < MAX_ENDS {
            self.ends.push((server.clone(), at));
        }
        true
    }

    /// Records that an answer with the part went on. Returns whether that is news to other VMs.
    pub(crate) fn clear(&mut self, at: Time) -> bool {
        let is_news = self.cleared.is_none_or(|cleared| cleared + MAX_SKEW < at);
        if is_news || !self.ends.is_empty() {
            let kept = self.ends.drain(..).filter(|(_, end)| *end > at).collect();
            let was_blocked = self.was_blocked || self.blocked.is_some();
            *self = Self {
                ends: kept,
                cleared: Some(at),
                was_blocked,
                unsent: self.unsent,
                ..Self::default()
            };
            self.first_end = self.ends.iter().map(|(_, end)| *end).min();
            self.last_end = self.ends.iter().map(|(_, end)| *end).max();
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
        for End { server, age } in &suspect.ends {
            is_news |= self.add_end(before(now, *age), server);
        }
        let is_current = |at: &Time| self.cleared.is_none_or(|cleared| cleared < *at);
        if let Some(at) = suspect.blocked.map(|age| before(now, age)).filter(is_current) {
            is_news |= self.blocked.is_none() || suspect.failures > self.failures;
            self.blocked.get_or_insert(at);
            self.failures = self.failures.max(suspect.failures);
        }
        if let Some(at) = suspect.tried.map(|age| before(now, age))
            && self.tried.is_none_or(|tried| tried + MAX_SKEW < at)
        {
            is_news = true;
            self.tried = Some(at);
        }
        is_news
    }

    pub(crate) fn suspect(&self, now: Time, service: &ServiceName, part: Part) -> Suspect {
        let latest = self.ends.iter().rev().take(MAX_SENT_ENDS);
        let ends = latest.map(|(server, at)| End { server: server.clone(), age: now - *at });
        let age = |at: Option<Time>| at.map(|at| now - at);
        Suspect {
            service: service.clone(),
            part,
            ends: ends.collect(),
            cleared: age(self.cleared),
            blocked: age(self.blocked),
            failures: self.failures,
            tried: age(self.tried),
        }
    }
}

/// Returns the time that was `age` before `now`.
fn before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}
