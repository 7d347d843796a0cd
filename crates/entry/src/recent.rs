//! Requests that ended lately.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use model::RequestId;

/// Ended requests that are remembered.
const MAX_ENDED: usize = 8_192;

/// How the most recent requests ended.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    ended: Mutex<Ended>,
}

#[derive(Debug, Default)]
struct Ended {
    by_id: HashMap<RequestId, String>,
    order: VecDeque<RequestId>,
}

impl Recent {
    pub(crate) fn put(&self, request: RequestId, how: String) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        if ended.by_id.insert(request, how).is_none() {
            ended.order.push_back(request);
        }
        if ended.order.len() > MAX_ENDED
            && let Some(oldest) = ended.order.pop_front()
        {
            ended.by_id.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<String> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.by_id.get(&request).cloned()
    }
}
