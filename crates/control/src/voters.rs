//! Replacing a voter of the replicated log, as its leader.

use model::{Span, Time, VmName};
use raft::{Member, Raft};

use crate::members::Members;

/// Longest wait for the steps of one replacement.
const TIMEOUT: Span = Span::from_secs(6);

/// A replacement in progress: the new copy joins first, then the old one leaves.
///
/// In between, a majority of the larger set is needed, so the replacement is refused when too few
/// of it are live.
#[derive(Debug)]
pub(crate) struct Replacement {
    pub(crate) asker: VmName,
    pub(crate) token: u64,
    old: Option<Member>,
    new: Option<Member>,
    until: Time,
}

impl Replacement {
    /// Checks the names against the present voters and the live VMs.
    pub(crate) fn new(
        now: Time,
        (asker, token): (VmName, u64),
        (old, new): (Option<&VmName>, Option<&VmName>),
        raft: &Raft,
        members: &Members,
    ) -> Result<Self, String> {
        let live = |vm: &VmName| {
            if *vm == members.me {
                Some(raft.member().clone())
            } else {
                members.member(vm).cloned()
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
        Ok(Self { asker, token, old, new, until: now + TIMEOUT })
    }

    /// Takes the next step.
    pub(crate) fn step(&self, now: Time, raft: &mut Raft) -> Step {
        let mut voters = raft.voters().clone();
        let joined = self.new.clone().is_some_and(|m| voters.insert(m));
        let left = !joined && self.old.as_ref().is_some_and(|m| voters.remove(m));
        if !joined && !left {
            let committed = raft.commit_index() >= raft.voters_index();
            return if committed { Step::Done } else { Step::Continues };
        }
        match raft.change_voters(now, voters) {
            Err(why) if now >= self.until => Step::Failed(why),
            _ => Step::Continues,
        }
    }
}

/// Progress of a replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// It waits for the log.
    Continues,
    /// It is committed.
    Done,
    /// It was given up, for this reason.
    Failed(String),
}
