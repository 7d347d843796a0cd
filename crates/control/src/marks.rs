//! Marks of backend servers: the duties that operators have set.
//!
//! Of two marks of one server the newer one wins, so that all VMs converge to the same set
//! whichever way the marks reach them.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use model::{Duty, Mark, ServerId, Span, Time, VmName};

use crate::event::Answer;

/// Longest wait for other VMs to confirm a mark.
const CONFIRM_TIMEOUT: Span = Span::from_secs(2);

/// A mark that other VMs have not all confirmed, or that is not replicated yet.
#[derive(Debug)]
struct PendingMark {
    call: u64,
    mark: Mark,
    held: BTreeSet<VmName>,
    missing: BTreeSet<VmName>,
    server: ServerId,
    deadline: Time,
}

/// All marks by server, and those that an operator waits for by token.
#[derive(Debug, Default)]
pub(crate) struct Marks {
    by_server: BTreeMap<ServerId, Mark>,
    pending: BTreeMap<u64, PendingMark>,
}

impl Marks {
    pub(crate) fn duty(&self, server: &ServerId) -> Duty {
        self.by_server.get(server).map_or(Duty::Serving, |m| m.duty)
    }

    /// Stores a mark if it is newer than the stored one, and returns whether it was.
    pub(crate) fn merge(&mut self, server: ServerId, mark: Mark) -> bool {
        let newer = self.by_server.get(&server).is_none_or(|old| *old < mark);
        if newer {
            self.by_server.insert(server, mark);
        }
        newer
    }

    /// Returns the version of a new mark: larger than any that this VM holds.
    pub(crate) fn next_version(&self) -> u64 {
        self.by_server.values().map(|m| m.version).max().unwrap_or(0) + 1
    }

    pub(crate) fn get(&self, server: &ServerId) -> Option<&Mark> {
        self.by_server.get(server)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&ServerId, &Mark)> {
        self.by_server.iter()
    }

    /// Returns a digest, which is equal at VMs that hold the same marks.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.by_server.hash(&mut hasher);
        hasher.finish()
    }

    /// Starts to wait until all VMs in `missing` have confirmed the mark.
    pub(crate) fn await_holders(
        &mut self,
        now: Time,
        (token, call): (u64, u64),
        (server, mark): (ServerId, Mark),
        held: BTreeSet<VmName>,
        missing: BTreeSet<VmName>,
    ) {
        let deadline = now + CONFIRM_TIMEOUT;
        self.pending.insert(token, PendingMark { call, mark, held, missing, server, deadline });
    }

    pub(crate) fn confirm(&mut self, token: u64, vm: &VmName) {
        if let Some(pending) = self.pending.get_mut(&token)
            && pending.missing.remove(vm)
        {
            pending.held.insert(vm.clone());
        }
    }

    /// Returns the marks that are newer than the replicated ones.
    pub(crate) fn newer_than(
        &self,
        replicated: &BTreeMap<ServerId, Mark>,
    ) -> Vec<(ServerId, Mark)> {
        let newer =
            self.by_server.iter().filter(|(s, m)| replicated.get(*s).is_none_or(|r| r < *m));
        newer.map(|(s, m)| (s.clone(), m.clone())).collect()
    }

    /// Removes marks that are confirmed by all and replicated, or have waited too long for either,
    /// and returns their answers. Without a quorum no mark waits to be replicated.
    pub(crate) fn take_answers(
        &mut self,
        now: Time,
        replicated: &BTreeMap<ServerId, Mark>,
        in_quorum: bool,
    ) -> Vec<(u64, Answer)> {
        let is_replicated =
            |p: &PendingMark| replicated.get(&p.server).is_some_and(|r| *r >= p.mark);
        let is_done = |p: &PendingMark| {
            now >= p.deadline || (p.missing.is_empty() && (is_replicated(p) || !in_quorum))
        };
        let done: Vec<_> = self.pending.extract_if(.., |_, p| is_done(p)).collect();
        let answer = |(_, p): (u64, PendingMark)| {
            let kept = is_replicated(&p);
            let held = p.held.into_iter().collect();
            let missing = p.missing.into_iter().collect();
            (p.call, Answer::Marked { mark: p.mark, held, missing, kept })
        };
        done.into_iter().map(answer).collect()
    }
}
