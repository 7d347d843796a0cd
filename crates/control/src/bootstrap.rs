//! Bootstrap of the replicated log: decides whether this VM founds it.

use std::collections::BTreeMap;

use model::VmName;
use raft::{Member, Voters};

/// VMs that have reported that they hold no copy of the log.
///
/// The first founder founds the log after every other founder has reported that it holds none. All
/// reports are needed because a silent founder may hold the log of an earlier founding, and two
/// logs would each accept edits.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    me: Member,
    founders: Vec<VmName>,
    without_log: BTreeMap<VmName, Member>,
}

impl Bootstrap {
    pub(crate) fn new(me: Member, founders: Vec<VmName>) -> Self {
        Self { me, founders, without_log: BTreeMap::new() }
    }

    /// Records that another VM holds no copy of the log.
    pub(crate) fn record_without_log(&mut self, member: Member) {
        self.without_log.insert(member.vm.clone(), member);
    }

    /// Returns the voters of the new log if this VM has to found it now.
    pub(crate) fn founding_voters(&self) -> Option<Voters> {
        if self.founders.first() != Some(&self.me.vm) {
            return None;
        }
        let member = |vm: &VmName| {
            if *vm == self.me.vm {
                Some(self.me.clone())
            } else {
                self.without_log.get(vm).cloned()
            }
        };
        self.founders.iter().map(member).collect()
    }
}
