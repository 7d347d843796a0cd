//! Enforcement of the limits of the accounts whose home a VM is.

use std::collections::HashMap;

use model::{AccountName, Invariant, Limits, RefusalReason, RequestId, Span, Time, VmName};

use crate::bucket::Bucket;

/// An account exceeds one of its limits, so that a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit {
    /// Limit that is exceeded: concurrent requests, requests per second, or tokens per second.
    pub reason: RefusalReason,
    /// Time after which to retry. For concurrent requests this is a fixed value, as nobody knows
    /// when one ends; for rates it is the time until the bucket allows a request.
    pub retry_after: Span,
}

/// Suggested time to retry after if the account has as many concurrent requests as its limit
/// allows. It is fixed, since it is unknown when one of them ends.
const CONCURRENCY_RETRY: Span = Span::from_millis(500);

#[derive(Debug)]
struct Account {
    rate: Bucket,
    tokens: Bucket,
    running: HashMap<RequestId, Admission>,
    limits: Limits,
}

#[derive(Debug)]
struct Admission {
    owner: VmName,
    tokens: u32,
    /// When the owner last reported that the request runs.
    reported_at: Time,
}

/// Token buckets and running requests of the accounts whose home this VM is.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<AccountName, Account>,
}

impl Limiter {
    /// Admits a request, which then counts as running until it is released.
    ///
    /// `owner` is the entry VM that holds the request, and `tokens` is the estimate that is taken
    /// from the token bucket. A request that runs already stays admitted and takes nothing more.
    ///
    /// # Errors
    ///
    /// Returns an error if the account is at one of its limits. Nothing is taken from the buckets
    /// then.
    pub fn admit(
        &mut self,
        now: Time,
        account: &AccountName,
        limits: Limits,
        request: RequestId,
        owner: &VmName,
        tokens: u32,
    ) -> Result<(), OverLimit> {
        let state = self.account(now, account, limits);
        if let Some(admission) = state.running.get_mut(&request) {
            admission.reported_at = now;
            return Ok(());
        }
        if state.running.len() >= usize::try_from(limits.concurrent).unwrap_or(usize::MAX) {
            let reason = RefusalReason::ConcurrencyLimit;
            return Err(OverLimit { reason, retry_after: CONCURRENCY_RETRY });
        }
        let wait = state.rate.time_until(1.0, limits.rate.into());
        if wait > Span::ZERO {
            return Err(OverLimit { reason: RefusalReason::RateLimit, retry_after: wait });
        }
        let wait = state.tokens.time_until(f64::MIN_POSITIVE, limits.tokens.into());
        if wait > Span::ZERO {
            return Err(OverLimit { reason: RefusalReason::TokenLimit, retry_after: wait });
        }
        state.rate.spend(1.0);
        state.tokens.spend(tokens.into());
        state.running.insert(request, Admission { owner: owner.clone(), tokens, reported_at: now });
        let running = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
        Invariant::Limit.check(running <= limits.concurrent);
        Ok(())
    }

    /// Takes over a request that an earlier home admitted, or records that a request still runs.
    ///
    /// The account may exceed its concurrency limit as a result, since requests that were admitted
    /// are not cut off.
    pub fn adopt(
        &mut self,
        now: Time,
        account: &AccountName,
        limits: Limits,
        request: RequestId,
        owner: &VmName,
    ) {
        let state = self.account(now, account, limits);
        let new = || Admission { owner: owner.clone(), tokens: 0, reported_at: now };
        state.running.entry(request).or_insert_with(new).reported_at = now;
    }

    /// Ends a request. If it did not run, what it took from the buckets is returned to them.
    pub fn release(&mut self, account: &AccountName, request: RequestId, ran: bool) {
        let Some(state) = self.accounts.get_mut(account) else {
            return;
        };
        if let Some(admission) = state.running.remove(&request)
            && !ran
        {
            state.rate.spend(-1.0);
            state.tokens.spend(-f64::from(admission.tokens));
        }
    }

    /// Ends all requests of an entry VM that failed.
    pub fn remove_owner(&mut self, owner: &VmName) {
        for state in self.accounts.values_mut() {
            state.running.retain(|_, admission| admission.owner != *owner);
        }
    }

    /// Ends requests that were last reported running earlier than `before`: the message that would
    /// have released them was lost.
    pub fn expire(&mut self, before: Time) {
        for state in self.accounts.values_mut() {
            state.running.retain(|_, admission| admission.reported_at >= before);
        }
    }

    /// Returns the number of running requests of all accounts.
    #[must_use]
    pub fn total_held(&self) -> usize {
        self.accounts.values().map(|a| a.running.len()).sum()
    }

    /// Drops accounts without running requests whose buckets are full, to bound memory. Their state
    /// equals that of a new account.
    pub fn compact(&mut self, now: Time) {
        self.accounts.retain(|_, state| {
            let idle = state.rate.is_full(now, state.limits.rate.into())
                && state.tokens.is_full(now, state.limits.tokens.into());
            !(idle && state.running.is_empty())
        });
    }

    /// Returns the number of accounts whose state is held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account's state is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the number of running requests of an account.
    #[must_use]
    pub fn held(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |a| a.running.len())
    }

    /// Returns the state of an account with its buckets refilled; creates it if it is not held.
    fn account(&mut self, now: Time, name: &AccountName, limits: Limits) -> &mut Account {
        let state = self.accounts.entry(name.clone()).or_insert_with(|| Account {
            rate: Bucket::full(now, limits.rate.into()),
            tokens: Bucket::full(now, limits.tokens.into()),
            running: HashMap::new(),
            limits,
        });
        state.limits = limits;
        state.rate.refill(now, limits.rate.into());
        state.tokens.refill(now, limits.tokens.into());
        state
    }
}
