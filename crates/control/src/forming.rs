//! Founding the replicated log, and joining one that was founded.

use std::collections::BTreeMap;

use model::VmName;
use raft::{Member, Voters};

/// A VM whose disk holds no log yet.
///
/// The first founder founds the log when it has heard from every founder that none holds one. All
/// founders must be heard because one that is silent may hold the log of an earlier founding, and
/// two logs would each accept edits.
#[derive(Debug)]
pub(crate) struct Forming {
    me: Member,
    founders: Vec<VmName>,
    heard: BTreeMap<VmName, Member>,
}

impl Forming {
    pub(crate) fn new(me: Member, founders: Vec<VmName>) -> Self {
        Self { me, founders, heard: BTreeMap::new() }
    }

    /// Notes that a VM holds no log either.
    pub(crate) fn hear(&mut self, member: Member) {
        self.heard.insert(member.vm.clone(), member);
    }

    /// The founding voters, if this VM is to found the log now.
    pub(crate) fn founders(&self) -> Option<Voters> {
        if self.founders.first() != Some(&self.me.vm) {
            return None;
        }
        let member = |vm: &VmName| {
            if *vm == self.me.vm { Some(self.me.clone()) } else { self.heard.get(vm).cloned() }
        };
        self.founders.iter().map(member).collect()
    }
}
