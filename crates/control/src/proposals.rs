//! Commands, reads and voter changes that this VM asked the leader for.

use std::collections::BTreeMap;

use model::{EditOutcome, Span, Time, VmName};
use state::{Command, Response};

use crate::event::Answer;

/// Longest wait for a command to be applied.
const TIMEOUT: Span = Span::from_secs(4);
/// Longest wait for a leader to send a command to.
const LEADER_TIMEOUT: Span = Span::from_millis(1_500);
/// Longest wait for all VMs to confirm an edit.
const CONFIRM_TIMEOUT: Span = Span::from_millis(1_500);
/// Interval at which an unanswered command is sent again.
pub(crate) const RESEND_AFTER: Span = Span::from_millis(400);

/// A command that was not applied yet.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) call: u64,
    pub(crate) ask: Ask,
    /// Whether it was ever sent, so that it may have been taken.
    pub(crate) sent: bool,
    pub(crate) resend_at: Time,
    leader_until: Time,
    until: Time,
}

impl Pending {
    fn is_late(&self, now: Time) -> bool {
        now >= self.until || (!self.sent && now >= self.leader_until)
    }
}

/// What was asked for.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    /// Apply a command.
    Command(Command),
    /// Read, once this entry is applied.
    Read(Option<u64>),
    /// Replace a voter.
    Voter(Option<VmName>, Option<VmName>),
}

/// An accepted edit that waits for all VMs to confirm it.
#[derive(Debug)]
struct Confirming {
    call: u64,
    revision: u64,
    until: Time,
}

/// Everything asked for and not answered.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    next: u64,
    pending: BTreeMap<u64, Pending>,
    confirming: Vec<Confirming>,
}

impl Proposals {
    pub(crate) fn add(&mut self, now: Time, call: u64, ask: Ask) -> u64 {
        self.next += 1;
        let until = now + if matches!(ask, Ask::Voter(..)) { TIMEOUT + TIMEOUT } else { TIMEOUT };
        let leader_until = now + LEADER_TIMEOUT;
        let pending = Pending { call, ask, sent: false, resend_at: now, leader_until, until };
        self.pending.insert(self.next, pending);
        self.next
    }

    pub(crate) fn due(&self, now: Time) -> Vec<u64> {
        let due = self.pending.iter().filter(|(_, p)| now >= p.resend_at);
        due.map(|(token, _)| *token).collect()
    }

    pub(crate) fn get_mut(&mut self, token: u64) -> Option<&mut Pending> {
        self.pending.get_mut(&token)
    }

    pub(crate) fn remove(&mut self, token: u64) -> Option<Pending> {
        self.pending.remove(&token)
    }

    /// The entry that must be applied before a read is answered.
    pub(crate) fn read_at(&mut self, token: u64, index: u64) {
        if let Some(Pending { ask: Ask::Read(at), .. }) = self.pending.get_mut(&token) {
            at.get_or_insert(index);
        }
    }

    /// Calls whose reads can be answered with everything up to `applied`.
    pub(crate) fn readable(&mut self, applied: u64) -> Vec<u64> {
        let ready = |p: &Pending| matches!(p.ask, Ask::Read(Some(at)) if at <= applied);
        self.pending.extract_if(.., |_, p| ready(p)).map(|(_, p)| p.call).collect()
    }

    /// Takes the response to a command; the answer, unless an edit waits for confirmation.
    pub(crate) fn applied(
        &mut self,
        now: Time,
        token: u64,
        response: Response,
    ) -> Option<(u64, Answer)> {
        let call = self.pending.remove(&token)?.call;
        let answer = match response {
            Response::Edit(EditOutcome::Accepted { revision }) => {
                let until = now + CONFIRM_TIMEOUT;
                self.confirming.push(Confirming { call, revision, until });
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

    /// Accepted edits that are in force everywhere (`lowest` is the oldest revision in force on a
    /// configured VM) or waited too long, as call and revision.
    pub(crate) fn confirmed(&mut self, now: Time, lowest: u64) -> Vec<(u64, u64)> {
        let done = |c: &mut Confirming| c.revision <= lowest || now >= c.until;
        self.confirming.extract_if(.., done).map(|c| (c.call, c.revision)).collect()
    }

    /// Answers of calls that waited too long.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<(u64, Answer)> {
        let answer = |p: Pending| {
            let unsafe_to_tell = p.sent && matches!(p.ask, Ask::Command(_));
            (p.call, if unsafe_to_tell { Answer::Unknown } else { Answer::NoQuorum })
        };
        let late = self.pending.extract_if(.., |_, p| p.is_late(now));
        late.map(|(_, p)| answer(p)).collect()
    }
}
