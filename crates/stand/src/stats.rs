//! Statistics of the requests and placement orders that a stand-in received.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Sums since a stand-in was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that reached the stand-in, without placement orders.
    pub received: u64,
    /// Requests answered completely.
    pub finished: u64,
    /// Prompt tokens prefilled, without those of prefixes found in the cache.
    pub prefilled_tokens: u64,
    /// Prompt tokens prefilled for requests that did not finish, and tokens of prefixes that were
    /// prefilled again although a stand-in held them in its cache.
    pub wasted_tokens: u64,
    /// Answer tokens generated.
    pub generated_tokens: u64,
}

/// A placement order that reached a stand-in: an instruction to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The fencing number of the order; 0 if it has none.
    pub fence: u64,
    /// The model to load; empty if the order names none.
    pub model: String,
    /// Whether the stand-in accepted the order.
    pub accepted: bool,
}

/// Counters of a stand-in, updated while it runs.
#[derive(Debug, Default)]
pub struct Stats {
    pub(crate) received: AtomicU64,
    pub(crate) finished: AtomicU64,
    pub(crate) prefilled_tokens: AtomicU64,
    pub(crate) wasted_tokens: AtomicU64,
    pub(crate) generated_tokens: AtomicU64,
    pub(crate) running: AtomicU64,
    /// Runs by request id and by idempotency key.
    runs: Mutex<HashMap<String, u64>>,
    orders: Mutex<Vec<PlacementOrder>>,
    endless: Mutex<Vec<u64>>,
}

impl Stats {
    /// Counts one run of a request id or an idempotency key, each of which may run at most once.
    pub(crate) fn count_run(&self, key: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }

    /// Returns how often each request id and each idempotency key ran on this stand-in.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records an order and returns whether it is accepted. An order is refused if fencing numbers
    /// are checked and its number is not higher than those of all accepted orders.
    pub(crate) fn receive_order(&self, fence: u64, model: String, checks_fences: bool) -> bool {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = orders.iter().filter(|o| o.accepted).map(|o| o.fence).max();
        let accepted = !checks_fences || newest.is_none_or(|n| fence > n);
        orders.push(PlacementOrder { fence, model, accepted });
        accepted
    }

    /// Returns all placement orders received, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<PlacementOrder> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn record_endless(&self, bytes: u64) {
        self.endless.lock().unwrap_or_else(PoisonError::into_inner).push(bytes);
    }

    /// Returns the number of bytes sent of each response without end whose connection the client
    /// has closed.
    #[must_use]
    pub fn endless(&self) -> Vec<u64> {
        self.endless.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the sums since the stand-in was started.
    #[must_use]
    pub fn totals(&self) -> Totals {
        Totals {
            received: self.received.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            prefilled_tokens: self.prefilled_tokens.load(Ordering::Relaxed),
            wasted_tokens: self.wasted_tokens.load(Ordering::Relaxed),
            generated_tokens: self.generated_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of model requests in progress.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }
}

pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
