//! The calls whose answers are still pending, each with its deadline.
//!
//! A call is answered when the state it waits for is reached, or when its deadline passes. The keys
//! are the call numbers that the driver assigned.

use std::collections::{BTreeMap, BTreeSet};

use edition::Base;
use model::{Span, Time, VmName};
use rollout::Order;

use crate::wire::Sync;

/// Longest wait for a plan to be committed. Operators time out after about a second and retry the
/// call.
const COMMIT_TIMEOUT: Span = Span::from_millis(3_000);
/// Longest wait until a majority of the voters stores a backend server's announcement. The backend
/// server times out after a second.
const HOLD_TIMEOUT: Span = Span::from_millis(900);
/// Interval at which [`Message::Hold`](crate::Message::Hold) is resent to the control VMs that have
/// not confirmed it.
pub(crate) const HOLD_RESEND: Span = Span::from_millis(200);
/// Longest time that an entry VM's call is held open while nothing changes. Each answer renews the
/// entry VM's lease on accepting keys, so this is a small fraction of the time within which a
/// revoked key must stop working.
const SYNC_TIMEOUT: Span = Span::from_millis(300);

/// Longest wait until a requested patch is made. The entry VM has asked another control VM by then.
const FETCH_TIMEOUT: Span = Span::from_secs(3);

/// A [`Call::Replace`](crate::Call::Replace) whose plan was proposed and is not yet committed.
#[derive(Debug)]
pub(crate) struct PendingCommit {
    pub(crate) version: u64,
    pub(crate) deadline: Time,
}

/// A [`Call::StartRollout`](crate::Call::StartRollout) whose order was proposed and is not yet
/// committed.
#[derive(Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: Order,
    /// Time of the proposal in Unix milliseconds.
    pub(crate) at_ms: u64,
    pub(crate) deadline: Time,
}

/// An announcement that is answered once a majority of the voters stores it, so that it survives
/// the loss of this VM.
#[derive(Debug)]
pub(crate) struct PendingHold {
    pub(crate) server: model::ServerId,
    /// Control VMs that store the announcement, this one included.
    pub(crate) confirmed: BTreeSet<VmName>,
    pub(crate) deadline: Time,
    pub(crate) resend_at: Time,
}

/// An entry VM's long poll for changes.
#[derive(Debug)]
pub(crate) struct PendingSync {
    pub(crate) from: VmName,
    pub(crate) sync: Sync,
    /// Digest of the control VMs and entry VMs that the caller has or, if it has none, at the time of
    /// the call.
    pub(crate) members_digest: u64,
    pub(crate) deadline: Time,
}

/// An entry VM's request for the content of the newest plan, for which a patch is being made.
#[derive(Debug)]
pub(crate) struct PendingFetch {
    /// The document that the entry VM has.
    pub(crate) base: Option<Base>,
    pub(crate) deadline: Time,
}

/// All pending calls, by call number.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pub(crate) commits: BTreeMap<u64, PendingCommit>,
    pub(crate) orders: BTreeMap<u64, PendingOrder>,
    pub(crate) holds: BTreeMap<u64, PendingHold>,
    pub(crate) syncs: BTreeMap<u64, PendingSync>,
    pub(crate) fetches: BTreeMap<u64, PendingFetch>,
}

impl PendingCalls {
    pub(crate) fn add_commit(&mut self, now: Time, call_id: u64, version: u64) {
        let deadline = now + COMMIT_TIMEOUT;
        self.commits.insert(call_id, PendingCommit { version, deadline });
    }

    pub(crate) fn add_order(&mut self, now: Time, call_id: u64, order: Order, at_ms: u64) {
        let deadline = now + COMMIT_TIMEOUT;
        self.orders.insert(call_id, PendingOrder { order, at_ms, deadline });
    }

    pub(crate) fn add_hold(
        &mut self,
        now: Time,
        call_id: u64,
        server: model::ServerId,
        me: VmName,
    ) {
        let (deadline, resend_at) = (now + HOLD_TIMEOUT, now + HOLD_RESEND);
        let confirmed = BTreeSet::from([me]);
        self.holds.insert(call_id, PendingHold { server, confirmed, deadline, resend_at });
    }

    pub(crate) fn add_fetch(&mut self, now: Time, call_id: u64, base: Option<Base>) {
        let deadline = now + FETCH_TIMEOUT;
        self.fetches.insert(call_id, PendingFetch { base, deadline });
    }

    pub(crate) fn add_sync(&mut self, now: Time, call_id: u64, call: (VmName, Sync), digest: u64) {
        let (from, sync) = call;
        let members_digest = if sync.members == 0 { digest } else { sync.members };
        let deadline = now + SYNC_TIMEOUT;
        self.syncs.insert(call_id, PendingSync { from, sync, members_digest, deadline });
    }
}
