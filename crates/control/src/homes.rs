//! Limits of the accounts whose home this VM is.

use std::sync::Arc;

use limits::{Limiter, PartitionSide, partition_share};
use model::{AccountName, Catalogue, RefusalReason, RequestId, Span, Time, VmName};

use crate::wire::Message;

/// Interval at which idle accounts are dropped.
const COMPACT_INTERVAL: Span = Span::from_secs(2);

/// Time after which a request of which nothing is heard is given up: several refreshes.
const HOLD_LAPSE: Span = Span::from_secs(12);

/// The limiter with the catalogue that it applies.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    limiter: Limiter,
    compact_at: Time,
}

impl Homes {
    /// The answer to an entry VM that asks for one request.
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

    /// Takes over a request that an earlier home admitted.
    pub(crate) fn hold(
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

    pub(crate) fn forget(&mut self, vm: &VmName) {
        self.limiter.remove_owner(vm);
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if now >= self.compact_at {
            self.compact_at = now + COMPACT_INTERVAL;
            let before = Time::default() + ((now - Time::default()) - HOLD_LAPSE);
            self.limiter.expire(before);
            self.limiter.compact(now);
        }
    }

    /// Requests of all accounts that are held here.
    pub(crate) fn held(&self) -> usize {
        self.limiter.total_held()
    }
}
