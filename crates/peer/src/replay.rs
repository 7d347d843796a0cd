//! Refusal of repeated calls.

use std::collections::{BTreeSet, HashMap};

use model::VmName;

/// Numbers remembered for calls that may arrive out of order.
const WINDOW: u64 = 4_096;

/// Numbers seen from one VM's present process.
#[derive(Debug, Default)]
struct Seen {
    incarnation: u64,
    last: u64,
    recent: BTreeSet<u64>,
}

/// Numbers seen from each VM.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    ordered: HashMap<VmName, Seen>,
    unordered: HashMap<VmName, Seen>,
}

impl Replay {
    /// Accepts a number that is larger than all before it. A late copy of an earlier delivery is
    /// refused too, so that messages are never reordered.
    pub(crate) fn accept_ordered(&mut self, from: &VmName, incarnation: u64, seq: u64) -> bool {
        let seen = current(&mut self.ordered, from, incarnation);
        seen.is_some_and(|seen| {
            let newer = seq > seen.last;
            seen.last = seen.last.max(seq);
            newer
        })
    }

    /// Accepts a number that was not seen before.
    pub(crate) fn accept(&mut self, from: &VmName, incarnation: u64, seq: u64) -> bool {
        let Some(seen) = current(&mut self.unordered, from, incarnation) else {
            return false;
        };
        let oldest = seen.last.saturating_sub(WINDOW);
        if seq < oldest || !seen.recent.insert(seq) {
            return false;
        }
        seen.last = seen.last.max(seq);
        let oldest = seen.last.saturating_sub(WINDOW);
        while seen.recent.first().is_some_and(|first| *first < oldest) {
            seen.recent.pop_first();
        }
        true
    }
}

/// The numbers of a process, unless a newer process of that VM was heard.
fn current<'a>(
    all: &'a mut HashMap<VmName, Seen>,
    from: &VmName,
    incarnation: u64,
) -> Option<&'a mut Seen> {
    let seen = all.entry(from.clone()).or_default();
    if incarnation < seen.incarnation {
        return None;
    }
    if incarnation > seen.incarnation {
        *seen = Seen { incarnation, ..Seen::default() };
    }
    Some(seen)
}
