//! A bound on log lines that say the same again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time after which a subject may be logged again.
const QUIET_TIME: Duration = Duration::from_mins(1);
/// Largest number of subjects that are remembered. Further ones are not logged until some are
/// forgotten.
const MAX_SUBJECTS: usize = 1_024;

/// Decides which of many similar events are logged: the first about a subject, then no more for a
/// minute.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let mut repeats = logs::Repeats::default();
/// let start = Instant::now();
/// assert!(repeats.is_due("server i-1", start));
/// assert!(!repeats.is_due("server i-1", start + Duration::from_secs(59)));
/// assert!(repeats.is_due("server i-2", start + Duration::from_secs(59)));
/// assert!(repeats.is_due("server i-1", start + Duration::from_secs(60)));
/// ```
#[derive(Debug, Default)]
pub struct Repeats {
    logged: HashMap<String, Instant>,
}

impl Repeats {
    /// Returns whether an event about `subject` is to be logged at `now`, and remembers that it was.
    pub fn is_due(&mut self, subject: &str, now: Instant) -> bool {
        let is_quiet = |at: Instant| now.saturating_duration_since(at) < QUIET_TIME;
        if self.logged.get(subject).is_some_and(|at| is_quiet(*at)) {
            return false;
        }
        if self.logged.len() >= MAX_SUBJECTS {
            self.logged.retain(|_, at| is_quiet(*at));
        }
        let has_room = self.logged.len() < MAX_SUBJECTS;
        if has_room {
            self.logged.insert(subject.to_owned(), now);
        }
        has_room
    }
}
