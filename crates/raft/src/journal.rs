//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;

use crate::types::{Index, LogEntry, Payload, Snapshot, Term, Voters};

#[derive(Debug)]
pub(crate) struct Journal {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<LogEntry>,
    /// Indexes of the entries that change the voters.
    changes: Vec<Index>,
}

impl Journal {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<LogEntry>) -> Self {
        let mut journal = Self { snapshot, entries: VecDeque::new(), changes: Vec::new() };
        for entry in entries {
            journal.push(entry);
        }
        journal
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of an entry, `None` if it is unknown or compacted away.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&LogEntry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// At most `max` entries from `index` on.
    pub(crate) fn from(&self, index: Index, max: usize) -> Vec<LogEntry> {
        let skip = index.saturating_sub(self.snapshot.index + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has no holes");
        if matches!(entry.payload, Payload::Voters(_)) {
            self.changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        while self.entries.back().is_some_and(|e| e.index >= index) {
            self.entries.pop_back();
        }
        self.changes.retain(|i| *i < index);
    }

    /// Replaces the snapshot; entries that continue it stay.
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
        self.changes.retain(|i| *i > index && *i <= last);
    }

    /// The voters after the last entry, and the index that set them.
    pub(crate) fn voters(&self) -> (Index, Voters) {
        self.voters_at(self.last_index())
    }

    /// The voters after the entry at `index`.
    pub(crate) fn voters_at(&self, index: Index) -> (Index, Voters) {
        let change = self.changes.iter().rev().find(|i| **i <= index);
        if let Some(entry) = change.and_then(|i| self.get(*i))
            && let Payload::Voters(voters) = &entry.payload
        {
            return (entry.index, voters.clone());
        }
        (self.snapshot.index, self.snapshot.voters.clone())
    }
}
