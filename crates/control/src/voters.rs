//! Replaces a voter of the replicated log, as its leader.
//!
//! A replacement changes the voters in two steps, each committed before the next one, and ends
//! with an answer to the VM that requested it.

use model::{Span, Time, VmName};
use raft::{Member, Raft};

use crate::members::Members;

/// Time after which a replacement fails if a step is still refused.
const TIMEOUT: Span = Span::from_secs(6);

/// A replacement in progress: the new copy joins first, then the old one leaves.
///
/// In between, a majority of the larger set is needed, so the replacement is refused if too few
/// members of that set are live.
#[derive(Debug)]
pub(crate) struct Replacement {
    pub(crate) requester: VmName,
    pub(crate) token: u64,
    old: Option<Member>,
    new: Option<Member>,
    deadline: Time,
}

impl Replacement {
    /// Resolves the names among the current voters and the live VMs.
    ///
    /// # Errors
    ///
    /// Returns the reason if a name has no matching copy of the log, or if no VM is named.
    pub(crate) fn new(
        now: Time,
        (requester, token): (VmName, u64),
        (old, new): (Option<&VmName>, Option<&VmName>),
        raft: &Raft,
        members: &Members,
    ) -> Result<Self, String> {
        let live = |vm: &VmName| {
            if *vm == members.me {
                Some(raft.member().clone())
            } else {
                members.log_copy(vm).cloned()
            }
        };
        let new = match new {
            Some(vm) => Some(live(vm).ok_or(format!("{vm} is not live"))?),
            None => None,
        };
        let voter = |vm: &VmName| {
            raft.voters().iter().find(|m| m.vm == *vm && Some(*m) != new.as_ref()).cloned()
        };
        let old = match old {
            Some(vm) => Some(voter(vm).ok_or(format!("{vm} has no other copy that votes"))?),
            None => None,
        };
        if old.is_none() && new.is_none() {
            return Err("name a VM to add, to remove, or both".into());
        }
        Ok(Self { requester, token, old, new, deadline: now + TIMEOUT })
    }

    /// Proposes the next change of voters, if one is left, and returns the progress.
    pub(crate) fn step(&self, now: Time, raft: &mut Raft) -> Progress {
        let mut voters = raft.voters().clone();
        let joined = self.new.clone().is_some_and(|m| voters.insert(m));
        let left = !joined && self.old.as_ref().is_some_and(|m| voters.remove(m));
        if !joined && !left {
            let committed = raft.commit_index() >= raft.voters_index();
            return if committed { Progress::Done } else { Progress::Continues };
        }
        match raft.change_voters(now, voters) {
            Err(why) if now >= self.deadline => Progress::Failed(why),
            _ => Progress::Continues,
        }
    }
}

/// Progress of a replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// A change waits for the log, or is to be proposed again.
    Continues,
    /// All changes are committed.
    Done,
    /// The replacement was given up for this reason.
    Failed(String),
}
