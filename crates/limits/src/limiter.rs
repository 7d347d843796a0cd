//! The limits that one VM holds.

use std::collections::HashMap;

use model::{AccountName, Invariant, Limits, RefusalReason, RequestId, Span, Time, VmName};

use crate::bucket::Bucket;

/// Why an account's request was refused, and when to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit {
    /// Which limit.
    pub reason: RefusalReason,
    /// Time until a request may pass.
    pub retry_after: Span,
}

/// Suggested wait when all concurrent requests are in use, as their ends are unknown.
const CONCURRENCY_RETRY: Span = Span::from_millis(500);

#[derive(Debug)]
struct Account {
    rate: Bucket,
    tokens: Bucket,
    held: HashMap<RequestId, Hold>,
    limits: Limits,
}

#[derive(Debug)]
struct Hold {
    owner: VmName,
    tokens: u32,
    /// When the owner last said that the request runs.
    heard: Time,
}

/// Buckets and running requests of the accounts whose home this VM is.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<AccountName, Account>,
}

impl Limiter {
    /// Admits a request, or says which limit it exceeds. A request admitted before stays admitted.
    ///
    /// # Errors
    ///
    /// If the account is over one of its limits; nothing is spent then.
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
        if let Some(hold) = state.held.get_mut(&request) {
            hold.heard = now;
            return Ok(());
        }
        if state.held.len() >= usize::try_from(limits.concurrent).unwrap_or(usize::MAX) {
            let reason = RefusalReason::ConcurrencyLimit;
            return Err(OverLimit { reason, retry_after: CONCURRENCY_RETRY });
        }
        let wait = state.rate.wait(1.0, limits.rate.into());
        if wait > Span::ZERO {
            return Err(OverLimit { reason: RefusalReason::RateLimit, retry_after: wait });
        }
        let wait = state.tokens.wait(f64::MIN_POSITIVE, limits.tokens.into());
        if wait > Span::ZERO {
            return Err(OverLimit { reason: RefusalReason::TokenLimit, retry_after: wait });
        }
        state.rate.spend(1.0);
        state.tokens.spend(tokens.into());
        state.held.insert(request, Hold { owner: owner.clone(), tokens, heard: now });
        let held = u32::try_from(state.held.len()).unwrap_or(u32::MAX);
        Invariant::Limit.check(held <= limits.concurrent);
        Ok(())
    }

    /// Takes over a request that an earlier home admitted, or hears that one still runs. It may exceed the limit for a while:
    /// what was admitted is not cut off.
    pub fn adopt(
        &mut self,
        now: Time,
        account: &AccountName,
        limits: Limits,
        request: RequestId,
        owner: &VmName,
    ) {
        let state = self.account(now, account, limits);
        let new = || Hold { owner: owner.clone(), tokens: 0, heard: now };
        state.held.entry(request).or_insert_with(new).heard = now;
    }

    /// Ends a request; one that did not run gets its spent amounts back.
    pub fn release(&mut self, account: &AccountName, request: RequestId, ran: bool) {
        let Some(state) = self.accounts.get_mut(account) else {
            return;
        };
        if let Some(hold) = state.held.remove(&request)
            && !ran
        {
            state.rate.spend(-1.0);
            state.tokens.spend(-f64::from(hold.tokens));
        }
    }

    /// Ends all requests of an entry VM that was lost.
    pub fn remove_owner(&mut self, owner: &VmName) {
        for state in self.accounts.values_mut() {
            state.held.retain(|_, hold| hold.owner != *owner);
        }
    }

    /// Ends requests of which nothing was heard since `before`: the message of their end was lost.
    pub fn expire(&mut self, before: Time) {
        for state in self.accounts.values_mut() {
            state.held.retain(|_, hold| hold.heard >= before);
        }
    }

    /// Requests held over all accounts.
    #[must_use]
    pub fn total_held(&self) -> usize {
        self.accounts.values().map(|a| a.held.len()).sum()
    }

    /// Drops accounts whose state equals that of an account never seen, to bound memory.
    pub fn compact(&mut self, now: Time) {
        self.accounts.retain(|_, state| {
            let idle = state.rate.is_full(now, state.limits.rate.into())
                && state.tokens.is_full(now, state.limits.tokens.into());
            !(idle && state.held.is_empty())
        });
    }

    /// Accounts with state here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has state here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Concurrent requests of an account.
    #[must_use]
    pub fn held(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |a| a.held.len())
    }

    fn account(&mut self, now: Time, name: &AccountName, limits: Limits) -> &mut Account {
        let state = self.accounts.entry(name.clone()).or_insert_with(|| Account {
            rate: Bucket::full(now, limits.rate.into()),
            tokens: Bucket::full(now, limits.tokens.into()),
            held: HashMap::new(),
            limits,
        });
        state.limits = limits;
        state.rate.refill(now, limits.rate.into());
        state.tokens.refill(now, limits.tokens.into());
        state
    }
}
