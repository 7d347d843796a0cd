//! What entry VMs are told, and when.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    sync::Arc,
};

use model::{Span, VmName};

use crate::{
    machine::{Keeper, LOST_AFTER, SPENT_FOR},
    wire::{Answer, Spending, Sync, Synced},
};

/// Interval at which entry VMs are told of new and silent servers and of each other.
const PUSH_INTERVAL: Span = Span::from_millis(50);

impl Keeper {
    pub(crate) fn on_sync(&mut self, call_id: u64, from: VmName, sync: Sync) {
        let entry = (self.now, sync.zone.clone(), sync.stopping);
        self.entries.insert(from.clone(), entry);
        // What a starting VM's last process used is kept until it has been told.
        if !sync.starting {
            let key = (from, sync.spent.lineage);
            self.spent.insert(key, (self.now, sync.spent.clone()));
        }
        let members = self.members_digest();
        self.calls.poll(self.now, call_id, sync, members);
    }

    pub(crate) fn registry_stamp(&self) -> (u64, u64) {
        (self.setup.incarnation, self.registry.revision())
    }

    pub(crate) fn members_digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (vm, (_, zone, stopping)) in &self.entries {
            (vm, zone, stopping).hash(&mut hasher);
        }
        self.controls().hash(&mut hasher);
        hasher.finish()
    }

    pub(crate) fn controls(&self) -> Vec<VmName> {
        let live = self.peers.iter().filter(|(_, p)| self.now < p.heard + LOST_AFTER);
        live.map(|(vm, _)| vm.clone()).chain([self.setup.vm.clone()]).collect()
    }

    pub(crate) fn answer_syncs(&mut self) {
        let (version, stamp) = (self.copy.state().version, self.registry_stamp());
        let members = self.members_digest();
        let now = self.now;
        let leaving = self.registry.leaving_revision();
        // Servers that join and fall silent are told together; one that leaves is told at once.
        let due = now >= self.push_at;
        let changed = |sync: &Sync| {
            let (process, revision) = sync.registry;
            sync.plan < version
                || process != stamp.0
                || revision < leaving
                || (due && revision != stamp.1)
        };
        if due {
            self.push_at = now + PUSH_INTERVAL;
        }
        let ready = self
            .calls
            .polling
            .extract_if(.., |_, p| {
                (due && p.members != members) || now >= p.until || changed(&p.sync)
            })
            .collect::<Vec<_>>();
        for (call_id, polling) in ready {
            let synced = self.synced(&polling.sync);
            self.reply(call_id, Answer::Synced(Box::new(synced)));
        }
    }

    pub(crate) fn synced(&self, sync: &Sync) -> Synced {
        let plans = self.copy.state();
        let stamp = self.registry_stamp();
        let entries = self.entries.iter().filter(|(_, (_, _, stopping))| !stopping);
        let known = if sync.registry.0 == stamp.0 { sync.registry.1 } else { 0 };
        Synced {
            current: self.copy.is_current(self.now),
            plan: plans.version,
            document: (sync.plan < plans.version).then(|| Arc::clone(&plans.document)),
            registry: stamp,
            servers: self.registry.changed_since(known).collect(),
            controls: self.controls(),
            entries: entries.map(|(vm, (_, zone, _))| (vm.clone(), zone.clone())).collect(),
            spent: if sync.starting { self.spent_lately() } else { None },
        }
    }

    pub(crate) fn spent_lately(&self) -> Option<Vec<(VmName, Spending)>> {
        if self.started.is_none_or(|at| self.now < at + SPENT_FOR) {
            return None;
        }
        let lately = self.spent.iter().filter(|(_, (at, _))| self.now < *at + SPENT_FOR);
        let aged = lately.map(|((vm, _), (at, spent))| (vm.clone(), spent.after(self.now - *at)));
        Some(aged.collect())
    }
}
