//! The sum of what all entry VMs counted during one order.

use std::{collections::BTreeMap, sync::Arc};

use model::{ServerId, VmName};

use crate::{
    collector::Report,
    tally::{Cell, Tally},
};

/// Maximum number of cells kept for all entry VMs of one order, some 16 MB. Further ones are ignored.
const MAX_CELLS: usize = 65_536;

/// Answers to comparable requests: those of one route and prompt size.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stratum {
    /// Answers of other versions than the new one.
    pub(crate) old: Tally,
    /// Answers of the new version by server.
    pub(crate) new: BTreeMap<ServerId, Tally>,
}

/// Identifies a [`Stratum`]: the name of the route and the order of magnitude of the prompt.
pub(crate) type StratumKey = (Arc<str>, u8);

/// The answers during one order at all entry VMs, also those of processes that ended.
///
/// # Examples
///
/// ```
/// use rollout::{Answer, Cell, Collector, Evidence};
///
/// let mut collector = Collector::default();
/// collector.set_open([7]);
/// collector.record(7, Cell::new("drafts".into(), 600, None), Answer::Failed);
/// let mut evidence = Evidence::default();
/// let vm = "10.0.0.1".try_into()?;
/// for report in collector.report(0).1.iter().chain(&collector.report(0).1) {
///     evidence.merge(&vm, 1, report);
/// }
/// assert_eq!(evidence.answers(), (1, 0), "a report that arrives twice counts once");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The latest count of each cell by VM and incarnation of its process.
    counted: BTreeMap<(VmName, u64), BTreeMap<Cell, Tally>>,
    cells: usize,
    strata: BTreeMap<StratumKey, Stratum>,
}

impl Evidence {
    /// Merges the report of a process of an entry VM.
    pub fn merge(&mut self, vm: &VmName, incarnation: u64, report: &Report) {
        let counted = self.counted.entry((vm.clone(), incarnation)).or_default();
        for (cell, tally) in &report.cells {
            let is_new = !counted.contains_key(cell);
            if is_new && self.cells >= MAX_CELLS {
                continue;
            }
            let before = counted.insert(cell.clone(), tally.clone()).unwrap_or_default();
            self.cells += usize::from(is_new);
            if tally.all() < before.all() {
                // An older report that was overtaken.
                counted.insert(cell.clone(), before);
                continue;
            }
            let stratum = self.strata.entry((Arc::clone(&cell.route), cell.size)).or_default();
            let sum = match &cell.server {
                Some(server) => stratum.new.entry(server.clone()).or_default(),
                None => &mut stratum.old,
            };
            sum.add(&tally.since(&before));
        }
    }

    pub(crate) fn strata(&self) -> &BTreeMap<StratumKey, Stratum> {
        &self.strata
    }

    /// Returns the number of answers and failures of other versions and of the new one.
    #[must_use]
    pub fn answers(&self) -> (u64, u64) {
        let old = self.strata.values().map(|s| u64::from(s.old.all())).sum();
        let new = self.strata.values().flat_map(|s| s.new.values());
        (old, new.map(|tally| u64::from(tally.all())).sum())
    }
}
