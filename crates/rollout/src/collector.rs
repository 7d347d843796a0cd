//! Counts of answers at an entry VM.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::tally::{Answer, Cell, Tally};

/// Maximum number of cells of one order at an entry VM. Answers of further cells are left out: they are of
/// routes or servers that each have few answers.
const MAX_CELLS: usize = 2_048;

/// The cells of one order that changed at an entry VM, with all that its process has counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the order.
    pub order: u64,
    /// The changed cells.
    pub cells: Vec<(Cell, Tally)>,
}

/// The answers that an entry VM has received during open orders.
///
/// Counts are cumulative, so that a report that is lost or arrives twice does no harm.
///
/// # Examples
///
/// ```
/// use rollout::{Answer, Cell, Collector};
///
/// let mut collector = Collector::default();
/// collector.set_open([7]);
/// let cell = Cell::new("drafts".into(), 600, None);
/// collector.record(7, cell.clone(), Answer::Failed);
/// let (revision, reports) = collector.report(0);
/// assert_eq!(reports[0].cells.len(), 1);
/// assert!(collector.report(revision).1.is_empty(), "nothing has changed since");
/// ```
#[derive(Debug, Default)]
pub struct Collector {
    revision: u64,
    /// Cells by order, each with the revision of its last change.
    orders: BTreeMap<u64, BTreeMap<Cell, (u64, Tally)>>,
}

impl Collector {
    /// Sets the orders that are open. What was counted for others is dropped.
    pub fn set_open(&mut self, orders: impl IntoIterator<Item = u64>) {
        let open: BTreeSet<u64> = orders.into_iter().collect();
        self.orders.retain(|order, _| open.contains(order));
        for order in open {
            self.orders.entry(order).or_default();
        }
    }

    /// Records an answer during an order. Those of orders that are not open are ignored.
    pub fn record(&mut self, order: u64, cell: Cell, answer: Answer) {
        let Some(cells) = self.orders.get_mut(&order) else {
            return;
        };
        if cells.len() >= MAX_CELLS && !cells.contains_key(&cell) {
            return;
        }
        self.revision += 1;
        let (revision, tally) = cells.entry(cell).or_default();
        *revision = self.revision;
        tally.record(answer);
    }

    /// Returns the cells that changed after a revision, and the present revision.
    #[must_use]
    pub fn report(&self, since: u64) -> (u64, Vec<Report>) {
        let reports = self.orders.iter().map(|(order, cells)| {
            let changed = cells.iter().filter(|(_, (revision, _))| *revision > since);
            let cells = changed.map(|(cell, (_, tally))| (cell.clone(), tally.clone())).collect();
            Report { order: *order, cells }
        });
        (self.revision, reports.filter(|report| !report.cells.is_empty()).collect())
    }
}
