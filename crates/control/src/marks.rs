//! Operators' declarations about backend servers.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use model::{Duty, Mark, ServerId, Span, Time, VmName};

use crate::event::Answer;

/// Longest wait for other VMs to hold a mark.
const CONFIRM_TIMEOUT: Span = Span::from_secs(2);

/// A declaration that waits for other VMs.
#[derive(Debug)]
struct Waiting {
    call: u64,
    mark: Mark,
    held: BTreeSet<VmName>,
    missing: BTreeSet<VmName>,
    server: ServerId,
    until: Time,
}

/// All declarations; every VM converges to the same set.
#[derive(Debug, Default)]
pub(crate) struct Marks {
    by_server: BTreeMap<ServerId, Mark>,
    waiting: BTreeMap<u64, Waiting>,
}

impl Marks {
    pub(crate) fn duty(&self, server: &ServerId) -> Duty {
        self.by_server.get(server).map_or(Duty::Serving, |m| m.duty)
    }

    /// Takes a mark if it is newer; true if it changed anything.
    pub(crate) fn merge(&mut self, server: ServerId, mark: Mark) -> bool {
        let newer = self.by_server.get(&server).is_none_or(|old| *old < mark);
        if newer {
            self.by_server.insert(server, mark);
        }
        newer
    }

    /// The version of a new mark: later than any that this VM has seen.
    pub(crate) fn next_version(&self) -> u64 {
        self.by_server.values().map(|m| m.version).max().unwrap_or(0) + 1
    }

    pub(crate) fn get(&self, server: &ServerId) -> Option<&Mark> {
        self.by_server.get(server)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&ServerId, &Mark)> {
        self.by_server.iter()
    }

    /// Equal at VMs that hold the same marks.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.by_server.hash(&mut hasher);
        hasher.finish()
    }

    /// Starts waiting until all of `missing` hold the mark.
    pub(crate) fn wait(
        &mut self,
        now: Time,
        (token, call): (u64, u64),
        (server, mark): (ServerId, Mark),
        held: BTreeSet<VmName>,
        missing: BTreeSet<VmName>,
    ) {
        let until = now + CONFIRM_TIMEOUT;
        self.waiting.insert(token, Waiting { call, mark, held, missing, server, until });
    }

    pub(crate) fn confirm(&mut self, token: u64, vm: &VmName) {
        if let Some(waiting) = self.waiting.get_mut(&token)
            && waiting.missing.remove(vm)
        {
            waiting.held.insert(vm.clone());
        }
    }

    /// Declarations that are newer than those kept in the replicated state.
    pub(crate) fn unkept(&self, kept: &BTreeMap<ServerId, Mark>) -> Vec<(ServerId, Mark)> {
        let newer = self.by_server.iter().filter(|(s, m)| kept.get(*s).is_none_or(|k| k < *m));
        newer.map(|(s, m)| (s.clone(), m.clone())).collect()
    }

    /// Answers of declarations that are held by all and kept in the replicated state, or waited
    /// too long for either.
    pub(crate) fn answers(
        &mut self,
        now: Time,
        kept: &BTreeMap<ServerId, Mark>,
        in_quorum: bool,
    ) -> Vec<(u64, Answer)> {
        let is_kept = |w: &Waiting| kept.get(&w.server).is_some_and(|k| *k >= w.mark);
        let is_done =
            |w: &Waiting| now >= w.until || (w.missing.is_empty() && (is_kept(w) || !in_quorum));
        let done: Vec<_> = self.waiting.extract_if(.., |_, w| is_done(w)).collect();
        let answer = |(_, w): (u64, Waiting)| {
            let kept = is_kept(&w);
            let held = w.held.into_iter().collect();
            let missing = w.missing.into_iter().collect();
            (w.call, Answer::Marked { mark: w.mark, held, missing, kept })
        };
        done.into_iter().map(answer).collect()
    }
}
