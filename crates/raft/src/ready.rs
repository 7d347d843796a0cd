//! Batches of work for the driver.

use crate::{
    message::Envelope,
    types::{HardState, Index, LogEntry, Snapshot},
};

/// What to write to disk in one synced transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term or vote.
    pub hard_state: Option<HardState>,
    /// New snapshot: replaces the old one and all entries up to its index. Entries after it stay.
    pub snapshot: Option<Snapshot>,
    /// Remove all entries from this index on, before appending.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
    }
}

/// One batch of work. Batches are persisted in the order in which they were handed out.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Number to report to [`Raft::persisted`](crate::Raft::persisted).
    pub id: u64,
    /// What to write.
    pub persist: WriteBatch,
    /// What to send, but only after this batch and all earlier ones are synced.
    pub messages: Vec<Envelope>,
}
