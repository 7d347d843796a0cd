//! The outcomes of the requests that ended most recently on this VM.
//!
//! They answer queries about requests that are no longer in progress. They are kept in memory only.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use model::RequestId;

/// Maximum number of requests whose outcome is kept.
const MAX_ENDED: usize = 8_192;

/// A bounded map from request ids to outcomes, which evicts the oldest entry.
#[derive(Debug, Default)]
pub(crate) struct RecentOutcomes {
    ended: Mutex<Ended>,
}

#[derive(Debug, Default)]
struct Ended {
    by_id: HashMap<RequestId, String>,
    /// Ids from the oldest to the newest entry.
    order: VecDeque<RequestId>,
}

impl RecentOutcomes {
    /// Stores how a request ended, as text for operators.
    pub(crate) fn put(&self, request: RequestId, outcome: String) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        if ended.by_id.insert(request, outcome).is_none() {
            ended.order.push_back(request);
        }
        if ended.order.len() > MAX_ENDED
            && let Some(oldest) = ended.order.pop_front()
        {
            ended.by_id.remove(&oldest);
        }
    }

    /// Returns how a request ended, or `None` if it is unknown or was evicted.
    pub(crate) fn get(&self, request: RequestId) -> Option<String> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.by_id.get(&request).cloned()
    }
}
