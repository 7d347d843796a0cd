//! Calls that this VM has sent to the leader of the replicated log and not answered yet.
//!
//! A command or read is sent again until it is answered or its time is over; a change of voters is
//! sent once. An accepted edit is answered after all VMs have it in force, or after a timeout.

use std::collections::BTreeMap;

use model::{EditOutcome, Span, Time, VmName};
use state::{Command, Response};

use crate::event::Answer;

/// Longest wait for a command to be applied; a change of voters may take twice as long.
const TIMEOUT: Span = Span::from_secs(4);
/// Longest wait for a leader to be known, after which a call that was never sent has failed.
const LEADER_TIMEOUT: Span = Span::from_millis(1_500);
/// Longest wait for all VMs to have an accepted edit in force.
const CONFIRM_TIMEOUT: Span = Span::from_millis(1_500);
/// Interval at which an unanswered call is sent again.
pub(crate) const RESEND_AFTER: Span = Span::from_millis(400);

/// A call that was not answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) call: u64,
    pub(crate) kind: CallKind,
    /// Whether the call was ever sent, so that its command may have been applied.
    pub(crate) sent: bool,
    pub(crate) resend_at: Time,
    leader_deadline: Time,
    deadline: Time,
}

impl PendingCall {
    fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline || (!self.sent && now >= self.leader_deadline)
    }
}

/// The action that a call requests of the leader.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    /// Append a command.
    Command(Command),
    /// Read the state after this log entry is applied; `None` until the leader has named it.
    Read(Option<u64>),
    /// Remove the old copy of the first VM and add the present copy of the second one; either may
    /// be absent.
    Voter(Option<VmName>, Option<VmName>),
}

/// An accepted edit that is not known to be in force at all VMs.
#[derive(Debug)]
struct UnconfirmedEdit {
    call: u64,
    revision: u64,
    deadline: Time,
}

/// All calls that were not answered yet, by token.
#[derive(Debug, Default)]
pub(crate) struct LeaderCalls {
    last_token: u64,
    pending: BTreeMap<u64, PendingCall>,
    unconfirmed_edits: Vec<UnconfirmedEdit>,
}

impl LeaderCalls {
    pub(crate) fn add(&mut self, now: Time, call: u64, kind: CallKind) -> u64 {
        self.last_token += 1;
        let deadline =
            now + if matches!(kind, CallKind::Voter(..)) { TIMEOUT + TIMEOUT } else { TIMEOUT };
        let leader_deadline = now + LEADER_TIMEOUT;
        let pending =
            PendingCall { call, kind, sent: false, resend_at: now, leader_deadline, deadline };
        self.pending.insert(self.last_token, pending);
        self.last_token
    }

    pub(crate) fn due(&self, now: Time) -> Vec<u64> {
        let due = self.pending.iter().filter(|(_, p)| now >= p.resend_at);
        due.map(|(token, _)| *token).collect()
    }

    pub(crate) fn get_mut(&mut self, token: u64) -> Option<&mut PendingCall> {
        self.pending.get_mut(&token)
    }

    pub(crate) fn remove(&mut self, token: u64) -> Option<PendingCall> {
        self.pending.remove(&token)
    }

    /// Sets the log entry that must be applied before a read is answered. A later answer to the
    /// same read changes nothing.
    pub(crate) fn set_read_index(&mut self, token: u64, index: u64) {
        if let Some(PendingCall { kind: CallKind::Read(at), .. }) = self.pending.get_mut(&token) {
            at.get_or_insert(index);
        }
    }

    /// Removes and returns the calls whose reads can be answered, because the log entry that they
    /// wait for is at or before `applied`.
    pub(crate) fn readable(&mut self, applied: u64) -> Vec<u64> {
        let ready = |p: &PendingCall| matches!(p.kind, CallKind::Read(Some(at)) if at <= applied);
        self.pending.extract_if(.., |_, p| ready(p)).map(|(_, p)| p.call).collect()
    }

    /// Records the response to a command and returns the answer, unless the command is an edit that
    /// is to be confirmed first.
    pub(crate) fn applied(
        &mut self,
        now: Time,
        token: u64,
        response: Response,
    ) -> Option<(u64, Answer)> {
        let call = self.pending.remove(&token)?.call;
        let answer = match response {
            Response::Edit(EditOutcome::Accepted { revision }) => {
                let deadline = now + CONFIRM_TIMEOUT;
                self.unconfirmed_edits.push(UnconfirmedEdit { call, revision, deadline });
                return None;
            }
            Response::Edit(outcome) => {
                Answer::Edit { outcome, confirmed: Vec::new(), unconfirmed: Vec::new() }
            }
            Response::Claim(outcome) => Answer::Claim(outcome),
            Response::Fence(start, end) => Answer::Fence(start, end),
            Response::Placed(Ok(version)) => Answer::Placed { version },
            Response::Placed(Err(current)) => {
                Answer::Refused { why: format!("the placement in force has version {current}") }
            }
            Response::Done => Answer::Done,
        };
        Some((call, answer))
    }

    /// Removes and returns accepted edits, as call and revision, that are in force everywhere or
    /// have waited too long. `lowest` is the oldest revision in force at any configured VM.
    pub(crate) fn confirmed(&mut self, now: Time, lowest: u64) -> Vec<(u64, u64)> {
        let done = |c: &mut UnconfirmedEdit| c.revision <= lowest || now >= c.deadline;
        self.unconfirmed_edits.extract_if(.., done).map(|c| (c.call, c.revision)).collect()
    }

    /// Removes calls that have waited too long and returns their answers.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<(u64, Answer)> {
        let answer = |p: PendingCall| {
            let may_be_applied = p.sent && !matches!(p.kind, CallKind::Read(_));
            (p.call, if may_be_applied { Answer::Unknown } else { Answer::NoQuorum })
        };
        let expired = self.pending.extract_if(.., |_, p| p.is_expired(now));
        expired.map(|(_, p)| answer(p)).collect()
    }
}
