//! What a stand-in ran.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Sums over a stand-in's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that reached it.
    pub received: u64,
    /// Requests answered whole.
    pub finished: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens prefilled for requests that did not finish, or again although the prefix
    /// had been held.
    pub wasted_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}

/// An order that reached a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Its fencing number.
    pub fence: u64,
    /// The model to load.
    pub model: String,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// Counts what a stand-in ran.
#[derive(Debug, Default)]
pub struct Stats {
    pub(crate) received: AtomicU64,
    pub(crate) finished: AtomicU64,
    pub(crate) prefilled_tokens: AtomicU64,
    pub(crate) wasted_tokens: AtomicU64,
    pub(crate) generated_tokens: AtomicU64,
    pub(crate) running: AtomicU64,
    runs: Mutex<HashMap<String, u64>>,
    orders: Mutex<Vec<PlacementOrder>>,
}

impl Stats {
    /// Notes one run of something that may run once: a request id or an idempotency key.
    pub(crate) fn run(&self, what: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(what.to_owned()).or_default() += 1;
    }

    /// How often each request id and idempotency key ran here.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes an order, unless it has an old number and numbers are checked.
    pub(crate) fn order(&self, fence: u64, model: String, checks: bool) -> bool {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = orders.iter().filter(|o| o.accepted).map(|o| o.fence).max();
        let accepted = !checks || newest.is_none_or(|n| fence > n);
        orders.push(PlacementOrder { fence, model, accepted });
        accepted
    }

    /// Orders in the order in which they came.
    #[must_use]
    pub fn orders(&self) -> Vec<PlacementOrder> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sums so far.
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

    /// Requests in progress.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }
}

pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
