//! Claims of idempotency keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{AccountName, RequestId, VmName};
use serde::{Deserialize, Serialize};

/// How long a claim is kept after its key was issued, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;
/// How far ahead of the log's clock a key may be issued, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;
/// Longest answer kept with a claim, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2_048;

/// An idempotency key of one account, with its time of issue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued: u64,
    /// The client account.
    pub account: AccountName,
    /// The key's text.
    pub text: Arc<str>,
}

/// A finished call's answer, for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body, if it is at most [`MAX_ANSWER_BYTES`] long.
    pub body: Option<Vec<u8>>,
}

/// One claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that may run.
    pub request: RequestId,
    /// Its entry VM.
    pub owner: VmName,
    /// Its answer, once it ended.
    pub answer: Option<Answer>,
}

/// What became of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request may run; no other with the same key ever will.
    Granted,
    /// Another request holds the key.
    Taken(Claim),
    /// The key is older than claims are kept, so it is unknown whether it ran.
    Expired,
    /// The key's time of issue lies in the future.
    Ahead,
}

/// All claims, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    by_key: BTreeMap<ClaimKey, Claim>,
    /// Released keys may be claimed again, but not by the request that released them.
    released: BTreeSet<(ClaimKey, RequestId)>,
}

impl Claims {
    pub(crate) fn claim(
        &mut self,
        clock: u64,
        key: ClaimKey,
        request: RequestId,
        owner: VmName,
    ) -> ClaimOutcome {
        if key.issued + RETENTION_MS <= clock {
            return ClaimOutcome::Expired;
        }
        if key.issued > clock + MAX_AHEAD_MS {
            return ClaimOutcome::Ahead;
        }
        if let Some(held) = self.by_key.get(&key) {
            // The same request again: its first claim's response was lost on the way.
            return if held.request == request && held.answer.is_none() {
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Taken(held.clone())
            };
        }
        let claim = Claim { request, owner, answer: None };
        if self.released.contains(&(key.clone(), request)) {
            // A delayed copy of a claim that was given back must not take the key again: nobody
            // would release it.
            return ClaimOutcome::Taken(claim);
        }
        self.by_key.insert(key, claim);
        ClaimOutcome::Granted
    }

    pub(crate) fn settle(&mut self, key: &ClaimKey, request: RequestId, answer: Answer) {
        if let Some(claim) = self.by_key.get_mut(key)
            && claim.request == request
        {
            claim.answer.get_or_insert(answer);
        }
    }

    pub(crate) fn release(&mut self, key: ClaimKey, request: RequestId) {
        let held = self.by_key.get(&key);
        if held.is_some_and(|c| c.request == request && c.answer.is_none()) {
            self.by_key.remove(&key);
        }
        self.released.insert((key, request));
    }

    /// Drops claims whose keys are too old to be claimed again.
    pub(crate) fn expire(&mut self, clock: u64) {
        while let Some(first) = self.by_key.first_entry() {
            if first.key().issued + RETENTION_MS > clock {
                break;
            }
            first.remove();
        }
        while let Some((key, _)) = self.released.first() {
            if key.issued + RETENTION_MS > clock {
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
