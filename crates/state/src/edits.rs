//! Outcomes of earlier catalogue edits and the catalogue's history.
//!
//! The outcome of each edit is kept by the edit's id, so that an edit sent again gets its first
//! outcome instead of being applied twice.

use std::collections::{BTreeMap, VecDeque};

use model::{EditId, EditOutcome};
use serde::{Deserialize, Serialize};

/// Maximum number of outcomes kept for edits that are sent again: two days at 15,000 edits a day.
const MAX_OUTCOMES: usize = 30_000;
/// Maximum number of revisions kept in the history.
const MAX_HISTORY: usize = 1_000;

/// One entry of the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Revision that the edit produced.
    pub revision: u64,
    /// The edit that produced it.
    pub edit: EditId,
    /// Time of the edit by the log's clock, in milliseconds since the Unix epoch.
    pub at: u64,
}

/// The first outcome of each edit by its id, and the newest revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Edits {
    outcomes: BTreeMap<EditId, EditOutcome>,
    /// Ids in `outcomes`, oldest first, for eviction.
    order: VecDeque<EditId>,
    /// The newest revisions, oldest first.
    history: VecDeque<Revision>,
}

impl Edits {
    /// Returns the first outcome of the edit with this id, if it is still kept.
    pub(crate) fn outcome(&self, id: &EditId) -> Option<&EditOutcome> {
        self.outcomes.get(id)
    }

    /// Returns the edit that produced a revision, if it is still in the history.
    pub(crate) fn edit_of(&self, revision: u64) -> Option<EditId> {
        self.history.iter().rev().find(|r| r.revision == revision).map(|r| r.edit.clone())
    }

    /// Stores the outcome of a new edit; evicts the oldest outcome and revision above the limits.
    pub(crate) fn record(&mut self, at: u64, id: EditId, outcome: EditOutcome) {
        if let EditOutcome::Accepted { revision } = outcome {
            self.history.push_back(Revision { revision, edit: id.clone(), at });
        }
        self.order.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        if self.order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    pub(crate) fn history(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.history.iter()
    }
}
