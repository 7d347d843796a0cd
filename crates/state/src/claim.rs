//! Claims of idempotency keys.
//!
//! A request with an idempotency key may run only after its claim of the key was granted. At most
//! one request per key ever runs. A claim keeps the response of the request that ran, and expires
//! with the age of its key.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{AccountName, RequestId, VmName};
use serde::{Deserialize, Serialize};

/// Time for which a claim is kept, counted from the issue of its key, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;
/// Maximum time by which a key's time of issue may be ahead of the log's clock, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;
/// Maximum size of a response body kept with a claim, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2_048;

/// An idempotency key of one client account, with its time of issue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Time at which the caller issued the key, in milliseconds since the Unix epoch.
    pub issued: u64,
    /// The client account that the key belongs to.
    pub account: AccountName,
    /// Text of the key, which is unique only together with the other two fields.
    pub text: Arc<str>,
}

/// The response to a finished request, returned when its key is used again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response body, or `None` if it is longer than [`MAX_ANSWER_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that holds the key and may run.
    pub request: RequestId,
    /// The entry VM of that request.
    pub owner: VmName,
    /// The response to that request, or `None` until it has finished.
    pub answer: Option<Answer>,
}

/// The outcome of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request may run. No other request with the same key may, unless this one releases it.
    Granted,
    /// Another request holds the key, or the request has already released or used it.
    Taken(Claim),
    /// The key is older than [`RETENTION_MS`], so it is unknown whether its request ran.
    Expired,
    /// The key's time of issue is too far in the future.
    Ahead,
}

/// All claims, ordered by the time of issue of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    by_key: BTreeMap<ClaimKey, Claim>,
    /// Released keys with the request that released each: that request may not claim the key again,
    /// while others may.
    released: BTreeSet<(ClaimKey, RequestId)>,
}

impl Claims {
    /// Claims a key for a request; `clock` is the log's clock in milliseconds.
    pub(crate) fn claim(
        &mut self,
        clock: u64,
        key: ClaimKey,
        request: RequestId,
        owner: VmName,
    ) -> ClaimOutcome {
        if key.issued.saturating_add(RETENTION_MS) <= clock {
            return ClaimOutcome::Expired;
        }
        if key.issued > clock.saturating_add(MAX_AHEAD_MS) {
            return ClaimOutcome::Ahead;
        }
        if let Some(existing) = self.by_key.get(&key) {
            // The same request claims again: the response to its first claim was lost.
            return if existing.request == request && existing.answer.is_none() {
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Taken(existing.clone())
            };
        }
        let claim = Claim { request, owner, answer: None };
        if self.released.contains(&(key.clone(), request)) {
            // A delayed duplicate of a released claim must not take the key again, because nothing
            // would release it a second time.
            return ClaimOutcome::Taken(claim);
        }
        self.by_key.insert(key, claim);
        ClaimOutcome::Granted
    }

    /// Stores the response of the request that holds the key, unless one is stored already.
    pub(crate) fn settle(&mut self, key: &ClaimKey, request: RequestId, answer: Answer) {
        if let Some(claim) = self.by_key.get_mut(key)
            && claim.request == request
        {
            claim.answer.get_or_insert(answer);
        }
    }

    /// Removes the request's claim if it has no response yet, and refuses later claims of the key
    /// by the same request.
    pub(crate) fn release(&mut self, key: ClaimKey, request: RequestId) {
        let claim = self.by_key.get(&key);
        if claim.is_some_and(|c| c.request == request && c.answer.is_none()) {
            self.by_key.remove(&key);
        }
        self.released.insert((key, request));
    }

    /// Removes claims and released keys that are too old to be claimed again.
    pub(crate) fn expire(&mut self, clock: u64) {
        while let Some(first) = self.by_key.first_entry() {
            if first.key().issued.saturating_add(RETENTION_MS) > clock {
                break;
            }
            first.remove();
        }
        while let Some((key, _)) = self.released.first() {
            if key.issued.saturating_add(RETENTION_MS) > clock {
                break;
            }
            self.released.pop_first();
        }
    }

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }
}
