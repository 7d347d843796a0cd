//! Protection against replayed calls.
//!
//! Every call carries the incarnation of the sender's process and a sequence number. A number that
//! was already used is refused, and so is every call of an earlier incarnation.

use std::collections::{BTreeSet, HashMap};

use model::VmName;

/// Span of the sequence numbers that are remembered for calls that may arrive out of order; older
/// numbers are refused.
const REPLAY_WINDOW: u64 = 4_096;

/// Sequence numbers received from the current process of one VM.
#[derive(Debug, Default)]
struct Received {
    incarnation: u64,
    last: u64,
    recent: BTreeSet<u64>,
}

/// Sequence numbers received from each VM.
///
/// Deliveries and questions are tracked separately, because only deliveries must arrive in order.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    ordered: HashMap<VmName, Received>,
    unordered: HashMap<VmName, Received>,
}

impl ReplayGuard {
    /// Accepts a number that is higher than all earlier ones. This also refuses a late copy of an
    /// earlier delivery, so that messages are never reordered.
    pub(crate) fn accept_ordered(&mut self, from: &VmName, incarnation: u64, seq: u64) -> bool {
        let received = current_process(&mut self.ordered, from, incarnation);
        received.is_some_and(|received| {
            let newer = seq > received.last;
            received.last = received.last.max(seq);
            newer
        })
    }

    /// Accepts a number within the window that was not received before.
    pub(crate) fn accept(&mut self, from: &VmName, incarnation: u64, seq: u64) -> bool {
        let Some(received) = current_process(&mut self.unordered, from, incarnation) else {
            return false;
        };
        let oldest = received.last.saturating_sub(REPLAY_WINDOW);
        if seq < oldest || !received.recent.insert(seq) {
            return false;
        }
        received.last = received.last.max(seq);
        let oldest = received.last.saturating_sub(REPLAY_WINDOW);
        while received.recent.first().is_some_and(|first| *first < oldest) {
            received.recent.pop_first();
        }
        true
    }
}

/// Returns the numbers of a process, or `None` if a newer process of that VM has called. The first
/// call of a newer process starts with an empty record.
fn current_process<'a>(
    all: &'a mut HashMap<VmName, Received>,
    from: &VmName,
    incarnation: u64,
) -> Option<&'a mut Received> {
    let received = all.entry(from.clone()).or_default();
    if incarnation < received.incarnation {
        return None;
    }
    if incarnation > received.incarnation {
        *received = Received { incarnation, ..Received::default() };
    }
    Some(received)
}
