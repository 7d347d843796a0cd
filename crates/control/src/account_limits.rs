//! Enforces the limits of the accounts whose home this VM is.
//!
//! The home of an account is the VM that all entry VMs ask to admit the requests of the account. A
//! home that takes over learns of the admitted requests from their entry VMs.

use std::sync::Arc;

use limits::{Limiter, PartitionSide, partition_share};
use model::{AccountName, Catalogue, RefusalReason, RequestId, Span, Time, VmName};

use crate::wire::Message;

/// Interval at which idle accounts and unreported requests are dropped.
const COMPACT_INTERVAL: Span = Span::from_secs(2);

/// Time after which a request that its entry VM no longer reports is dropped. It covers the loss of
/// several reports.
const HOLD_TIMEOUT: Span = Span::from_secs(12);

/// The limiter, and the time of its next cleanup.
#[derive(Debug, Default)]
pub(crate) struct AccountLimits {
    limiter: Limiter,
    compact_at: Time,
}

impl AccountLimits {
    /// Admits a request of an entry VM if it is within the limits, and returns the answer.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        catalogue: &Arc<Catalogue>,
        side: PartitionSide,
        from: &VmName,
        (request, account, tokens): (RequestId, &AccountName, u32),
    ) -> Message {
        let Some(entry) = catalogue.entry(account) else {
            let reason = RefusalReason::UnknownAccount;
            return Message::OverLimit { request, reason, retry: Span::ZERO };
        };
        let limits = partition_share(entry.limits, side);
        match self.limiter.admit(now, account, limits, request, from, tokens) {
            Ok(()) => Message::Admitted { request },
            Err(over) => {
                Message::OverLimit { request, reason: over.reason, retry: over.retry_after }
            }
        }
    }

    /// Records an admitted request that has not ended, also one that an earlier home admitted.
    pub(crate) fn adopt(
        &mut self,
        now: Time,
        catalogue: &Arc<Catalogue>,
        from: &VmName,
        account: &AccountName,
        request: RequestId,
    ) {
        if let Some(entry) = catalogue.entry(account) {
            self.limiter.adopt(now, account, entry.limits, request, from);
        }
    }

    pub(crate) fn release(&mut self, account: &AccountName, request: RequestId, ran: bool) {
        self.limiter.release(account, request, ran);
    }

    pub(crate) fn remove_owner(&mut self, vm: &VmName) {
        self.limiter.remove_owner(vm);
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if now >= self.compact_at {
            self.compact_at = now + COMPACT_INTERVAL;
            let before = Time::default() + ((now - Time::default()) - HOLD_TIMEOUT);
            self.limiter.expire(before);
            self.limiter.compact(now);
        }
    }

    /// Returns the number of admitted requests of all accounts.
    pub(crate) fn held_count(&self) -> usize {
        self.limiter.total_held()
    }
}
