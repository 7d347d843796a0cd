//! Accounts of requests that ended recently.
//!
//! A home may admit a request after its end. The account tells how to release the admission.

use std::collections::{HashMap, VecDeque};

use model::{AccountName, RequestId, Span, Time};

/// Time for which an ended request is kept.
const RETENTION: Span = Span::from_secs(5);

#[derive(Debug, Default)]
pub(crate) struct EndedRequests {
    by_id: HashMap<RequestId, AccountName>,
    expiries: VecDeque<(Time, RequestId)>,
    now: Time,
}

impl EndedRequests {
    pub(crate) fn insert(&mut self, request: RequestId, account: AccountName) {
        self.by_id.insert(request, account);
        self.expiries.push_back((self.now + RETENTION, request));
    }

    pub(crate) fn get(&self, request: &RequestId) -> Option<&AccountName> {
        self.by_id.get(request)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.now = now;
        while let Some((until, request)) = self.expiries.front().copied() {
            if until > now {
                break;
            }
            self.expiries.pop_front();
            self.by_id.remove(&request);
        }
    }
}
