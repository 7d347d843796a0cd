//! The in-memory log: a snapshot and the entries after it.
//!
//! It also records which entries change the voters, so that the voter set at any index after the
//! snapshot can be looked up. Writing the log to disk is left to the driver.

use std::collections::VecDeque;

use crate::types::{Index, LogEntry, Payload, Snapshot, Term, Voters};

/// A snapshot and the consecutive entries after it.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<LogEntry>,
    /// Indexes of the entries that change the voters, in ascending order.
    voter_changes: Vec<Index>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self { snapshot, entries: VecDeque::new(), voter_changes: Vec::new() };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Returns the term of an entry, or `None` if the log does not reach it or has compacted it.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns at most `max` entries from `index` on.
    pub(crate) fn entries_from(&self, index: Index, max: usize) -> Vec<LogEntry> {
        let skip = index.saturating_sub(self.snapshot.index + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        if matches!(entry.payload, Payload::Voters(_)) {
            self.voter_changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        while self.entries.back().is_some_and(|e| e.index >= index) {
            self.entries.pop_back();
        }
        self.voter_changes.retain(|i| *i < index);
    }

    /// Replaces the snapshot. Entries after it are kept if the log holds the snapshot's last entry
    /// with the same term, and are removed otherwise.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let continues = self.term(snapshot.index) == Some(snapshot.term);
        let index = snapshot.index;
        if continues {
            while self.entries.front().is_some_and(|e| e.index <= index) {
                self.entries.pop_front();
            }
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        let last = self.last_index();
        self.voter_changes.retain(|i| *i > index && *i <= last);
    }

    /// Returns the voters after the last entry, and the index of the entry that set them.
    pub(crate) fn voters(&self) -> (Index, Voters) {
        self.voters_at(self.last_index())
    }

    /// Returns the voters after the entry at `index`, and the index of the entry that set them.
    pub(crate) fn voters_at(&self, index: Index) -> (Index, Voters) {
        let change = self.voter_changes.iter().rev().find(|i| **i <= index);
        if let Some(entry) = change.and_then(|i| self.get(*i))
            && let Payload::Voters(voters) = &entry.payload
        {
            return (entry.index, voters.clone());
        }
        (self.snapshot.index, self.snapshot.voters.clone())
    }
}
