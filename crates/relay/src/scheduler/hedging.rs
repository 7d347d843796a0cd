//! Admission of hedges: second sends of requests whose first one has not been answered yet.

use model::{Part, ServiceName, Time};

use super::Scheduler;
use crate::retry_budget::RetryBudgets;

impl Scheduler {
    /// Allows hedges within these budgets, of which the ratio is the share of requests that may be
    /// hedged. Without them, none are sent.
    pub fn set_hedge_budgets(&mut self, budgets: RetryBudgets) {
        self.hedges = Some(budgets);
    }

    /// Counts the first send of a request.
    pub(super) fn record_first(&mut self, now: Time, service: &ServiceName) {
        self.budgets.record_first(now, service);
        if let Some(hedges) = &mut self.hedges {
            hedges.record_first(now, service);
        }
    }

    /// Returns whether a request may be sent, and counts a retry and a hedge against their budgets.
    /// A request that may end its server is not sent to a second one.
    pub(super) fn is_in_budget(
        &mut self,
        now: Time,
        service: &ServiceName,
        parts: &[Part],
        (is_retry, is_hedge): (bool, bool),
    ) -> bool {
        if is_hedge {
            let Some(hedges) = &mut self.hedges else { return false };
            if self.detector.is_suspect(service, parts) || !hedges.try_retry(now, service) {
                return false;
            }
        }
        !(is_retry || is_hedge) || self.budgets.try_retry(now, service)
    }
}
