//! Calls that wait.

use std::collections::{BTreeMap, BTreeSet};

use model::{Span, Time, VmName};

use crate::wire::Sync;

/// Longest wait for a plan to be committed: operators give up a call after about a second and
/// repeat it.
const COMMIT_TIMEOUT: Span = Span::from_millis(3_000);
/// Longest wait until a majority holds what a backend server said; the server gives up after a
/// second.
const HOLD_TIMEOUT: Span = Span::from_millis(900);
/// Interval at which a hold is sent again to those who have not confirmed it.
pub(crate) const HOLD_RESEND: Span = Span::from_millis(200);
/// Longest wait of an entry VM for a change. The answer renews its right to accept keys, so this
/// is a small part of the time in which a revoked key must stop working.
const SYNC_WAIT: Span = Span::from_millis(300);

/// A plan that was proposed.
#[derive(Debug)]
pub(crate) struct Committing {
    pub(crate) version: u64,
    pub(crate) until: Time,
}

/// A server's word that must survive this VM.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) server: model::ServerId,
    pub(crate) held: BTreeSet<VmName>,
    pub(crate) until: Time,
    pub(crate) resend: Time,
}

/// An entry VM that waits for a change.
#[derive(Debug)]
pub(crate) struct Polling {
    pub(crate) sync: Sync,
    /// Digest of the members when the call came.
    pub(crate) members: u64,
    pub(crate) until: Time,
}

/// Everything that waits, by number of the call.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub(crate) committing: BTreeMap<u64, Committing>,
    pub(crate) holding: BTreeMap<u64, Holding>,
    pub(crate) polling: BTreeMap<u64, Polling>,
}

impl Calls {
    pub(crate) fn commit(&mut self, now: Time, call_id: u64, version: u64) {
        let until = now + COMMIT_TIMEOUT;
        self.committing.insert(call_id, Committing { version, until });
    }

    pub(crate) fn hold(&mut self, now: Time, call_id: u64, server: model::ServerId, me: VmName) {
        let (until, resend) = (now + HOLD_TIMEOUT, now + HOLD_RESEND);
        let held = BTreeSet::from([me]);
        self.holding.insert(call_id, Holding { server, held, until, resend });
    }

    pub(crate) fn poll(&mut self, now: Time, call_id: u64, sync: Sync, members: u64) {
        self.polling.insert(call_id, Polling { sync, members, until: now + SYNC_WAIT });
    }
}
