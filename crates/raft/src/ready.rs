//! Batches of writes and messages that a member hands to its driver.
//!
//! The driver writes each batch to disk, syncs it, sends its messages and reports the batch number
//! back. Several batches may be synced together.

use crate::{
    message::Envelope,
    types::{HardState, Index, LogEntry, Snapshot},
};

/// Changes to write to disk in one synced transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term and vote, if either changed.
    pub hard_state: Option<HardState>,
    /// New snapshot, if there is one. It replaces the old one and all entries up to its index.
    /// Entries after it are kept.
    pub snapshot: Option<Snapshot>,
    /// Index from which on all entries are removed before `entries` are appended, if any.
    pub truncate: Option<Index>,
    /// Consecutive entries to append.
    pub entries: Vec<LogEntry>,
}

impl WriteBatch {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
    }
}

/// One batch of writes and messages. Batches must be persisted in the order in which
/// [`Raft::ready`](crate::Raft::ready) returned them.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Number to report to [`Raft::persisted`](crate::Raft::persisted), ascending from 1.
    pub id: u64,
    /// Changes to write to disk; may be empty.
    pub persist: WriteBatch,
    /// Messages to send, but only after this batch and all earlier ones are synced.
    pub messages: Vec<Envelope>,
}
