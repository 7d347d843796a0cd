//! Outcomes of earlier edits.

use std::collections::{BTreeMap, VecDeque};

use model::{EditId, EditOutcome};
use serde::{Deserialize, Serialize};

/// Outcomes kept for resends, two days at 15,000 edits a day.
const MAX_OUTCOMES: usize = 30_000;
/// Revisions listed in the history.
const MAX_HISTORY: usize = 1_000;

/// One line of the catalogue's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision made.
    pub revision: u64,
    /// The edit that made it.
    pub edit: EditId,
    /// When, in milliseconds since the Unix epoch by the log's clock.
    pub at: u64,
}

/// First outcomes by edit id, and the newest revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Edits {
    outcomes: BTreeMap<EditId, EditOutcome>,
    order: VecDeque<EditId>,
    history: VecDeque<Revision>,
}

impl Edits {
    /// The first outcome of an edit id.
    pub(crate) fn outcome(&self, id: &EditId) -> Option<&EditOutcome> {
        self.outcomes.get(id)
    }

    /// The edit that made a revision.
    pub(crate) fn maker(&self, revision: u64) -> Option<EditId> {
        self.history.iter().rev().find(|r| r.revision == revision).map(|r| r.edit.clone())
    }

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
