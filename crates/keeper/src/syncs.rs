//! Answers to the long polls of entry VMs.
//!
//! An entry VM sends [`Sync`] with the versions that it has. The answer, [`Synced`], holds what
//! changed since. It is sent once something changed or the poll times out; changes of backend
//! servers and members are collected for a short interval, while a new plan and a leaving server
//! are sent at once.
//!
//! An answer names a newer plan and does not hold its content, which the entry VM requests from one
//! control VM with a poll of its own. Entry VMs of builds without such requests get the content with
//! the answer.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    sync::Arc,
};

use edition::Served;
use model::{Span, VmName, ZoneName};
use poison::Suspect;

use crate::{
    machine::{Keeper, Output, PEER_TIMEOUT, SPENDING_WINDOW},
    wire::{Answer, Spending, Sync, Synced},
};

/// Interval at which pending polls are answered with new and silent servers and with changes of
/// the control VMs and entry VMs.
const PUSH_INTERVAL: Span = Span::from_millis(50);

impl Keeper {
    pub(crate) fn on_sync(&mut self, call_id: u64, from: VmName, sync: Sync) {
        if let Some(request) = sync.content
            && request.fetch
        {
            self.calls.add_fetch(self.now, call_id, request.base);
            return;
        }
        let entry = (self.now, sync.zone.clone());
        self.entry_vms.insert(from.clone(), entry);
        // A starting VM has not yet received the usage of its previous process, so that record is
        // not overwritten.
        if !sync.starting && !sync.spent.usages.is_empty() {
            let key = (from.clone(), sync.spent.lineage);
            self.spending.insert(key, (self.now, sync.spent.clone()));
        }
        self.merge_suspects(&sync.suspects);
        self.merge_reports(&from, &sync);
        let digest = self.members_digest();
        self.calls.add_sync(self.now, call_id, (from, sync), digest);
    }

    /// Merges parts of requests under which servers ended.
    pub(crate) fn merge_suspects(&mut self, suspects: &[Suspect]) {
        self.suspects.merge(self.now, suspects);
        // The entry VMs log the same changes.
        let _ = self.suspects.take_notices();
    }

    /// Lets the VM keep these parts if more than their ages changed.
    pub(crate) fn keep_suspects(&mut self) {
        let suspects = self.suspects.known(self.now);
        if self.kept.update(self.now, suspects.clone()) {
            self.out.push(Output::Keep(suspects));
        }
    }

    /// Returns the incarnation of this process and the revision of its registry. Revisions of
    /// different processes are not comparable.
    pub(crate) fn registry_version(&self) -> (u64, u64) {
        (self.setup.incarnation, self.registry.revision())
    }

    /// Returns a digest of the known entry VMs and live control VMs, compared to detect changes. It is
    /// never 0.
    pub(crate) fn members_digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (vm, (_, zone)) in &self.entry_vms {
            (vm, zone).hash(&mut hasher);
        }
        self.live_controls().hash(&mut hasher);
        hasher.finish().max(1)
    }

    /// Returns the control VMs from which a heartbeat arrived within [`PEER_TIMEOUT`], and this one.
    pub(crate) fn live_controls(&self) -> Vec<VmName> {
        let live = self.peers.iter().filter(|(_, p)| self.now < p.last_seen + PEER_TIMEOUT);
        live.map(|(vm, _)| vm.clone()).chain([self.setup.vm.clone()]).collect()
    }

    pub(crate) fn answer_syncs(&mut self) {
        let (version, current) = (self.replica.state().plan.version, self.registry_version());
        let digest = self.members_digest();
        let now = self.now;
        let orders = self.trials.orders_digest();
        let leaving_revision = self.registry.leaving_revision();
        // Servers that join or fall silent are batched; one that leaves is sent at once.
        let due = now >= self.push_at;
        let changed = |sync: &Sync| {
            let (process, revision) = sync.registry;
            sync.content.map_or(sync.plan, |request| request.known) < version
                || sync.orders.is_some_and(|known| known != orders)
                || process != current.0
                || revision < leaving_revision
                || (due && revision != current.1)
        };
        if due {
            self.push_at = now + PUSH_INTERVAL;
        }
        let ready = self
            .calls
            .syncs
            .extract_if(.., |_, p| {
                (due && p.members_digest != digest) || now >= p.deadline || changed(&p.sync)
            })
            .collect::<Vec<_>>();
        for (call_id, pending) in ready {
            let synced = self.sync_answer(&pending.from, &pending.sync, digest);
            self.reply(call_id, Answer::Synced(Box::new(synced)));
        }
    }

    /// Answers the requests for content whose patch is made, and has the next patch made.
    pub(crate) fn answer_fetches(&mut self) {
        let now = self.now;
        let mut ready = Vec::new();
        for (call_id, fetch) in &self.calls.fetches {
            let is_late = now >= fetch.deadline;
            match self.patch_cache.request(fetch.base) {
                Served::Ready(patch) => ready.push((*call_id, Some(patch))),
                Served::Nothing => ready.push((*call_id, None)),
                Served::Wait if is_late => ready.push((*call_id, None)),
                Served::Wait => {}
            }
        }
        for (call_id, patch) in ready {
            self.calls.fetches.remove(&call_id);
            let current = self.replica.is_current(now);
            let plan = self.patch_cache.version();
            let synced = Synced { current, plan, patch, ..Synced::unknown() };
            self.reply(call_id, Answer::Synced(Box::new(synced)));
        }
        if let Some(job) = self.patch_cache.next_job() {
            self.out.push(Output::Compress(job));
        }
    }

    fn sync_answer(&mut self, from: &VmName, sync: &Sync, members: u64) -> Synced {
        let suspects = if sync.starting { self.suspects.known(self.now) } else { Vec::new() };
        let plan = &self.replica.state().plan;
        let current = self.registry_version();
        let is_old = sync.content.is_none();
        let document = (is_old && sync.plan < plan.version).then(|| Arc::clone(&plan.document));
        let offer = if is_old {
            None
        } else {
            self.patch_cache.offer(self.now, sync.plan, &self.setup.zone)
        };
        let known = if sync.registry.0 == current.0 { sync.registry.1 } else { 0 };
        Synced {
            current: self.replica.is_current(self.now),
            plan: plan.version,
            document,
            registry: current,
            servers: self.registry.changed_since(known).collect(),
            controls: self.live_controls(),
            entries: if sync.members == members { Vec::new() } else { self.entries() },
            spent: if sync.starting { self.recent_spending(from) } else { None },
            suspects,
            members,
            offer,
            patch: None,
            orders: self.trials.orders_digest(),
            rollouts: self.orders_for(sync),
        }
    }

    /// Returns the entry VMs that polled recently, with their availability zones.
    fn entries(&self) -> Vec<(VmName, ZoneName)> {
        self.entry_vms.iter().map(|(vm, (_, zone))| (vm.clone(), zone.clone())).collect()
    }

    /// Returns the quota usage that an entry VM reported within [`SPENDING_WINDOW`], or `None` if this
    /// process has not run long enough to have received all of it.
    fn recent_spending(&self, of: &VmName) -> Option<Vec<(VmName, Spending)>> {
        if self.started.is_none_or(|at| self.now < at + SPENDING_WINDOW) {
            return None;
        }
        let recent = self
            .spending
            .iter()
            .filter(|((vm, _), (at, _))| vm == of && self.now < *at + SPENDING_WINDOW);
        let aged = recent.map(|((vm, _), (at, spent))| (vm.clone(), spent.after(self.now - *at)));
        Some(aged.collect())
    }
}
