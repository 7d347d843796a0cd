//! Accounts of requests that ended lately, for messages that arrive late.

use std::collections::{HashMap, VecDeque};

use model::{AccountName, RequestId, Span, Time};

/// How long an ended request is remembered.
const KEEP: Span = Span::from_secs(5);

#[derive(Debug, Default)]
pub(crate) struct Ended {
    by_id: HashMap<RequestId, AccountName>,
    order: VecDeque<(Time, RequestId)>,
    now: Time,
}

impl Ended {
    pub(crate) fn insert(&mut self, request: RequestId, account: AccountName) {
        self.by_id.insert(request, account);
        self.order.push_back((self.now + KEEP, request));
    }

    pub(crate) fn get(&self, request: &RequestId) -> Option<&AccountName> {
        self.by_id.get(request)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.now = now;
        while let Some((until, request)) = self.order.front().copied() {
            if until > now {
                break;
            }
            self.order.pop_front();
            self.by_id.remove(&request);
        }
    }
}
