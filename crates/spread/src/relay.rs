//! The role of a relay: sums of the VMs of its zone and of the region.

use std::collections::{BTreeMap, BTreeSet};

use model::{Span, Time, VmName, ZoneName};

use crate::{
    digest::{Digest, Member},
    source::{Admission, Difference, Source},
    table::Table,
    timing::Timing,
};

/// Longest time between the end of a VM's process and the first message of the next one for which
/// the next one takes the place of the former at once.
const RESTART_TIME: Span = Span::from_secs(3);

/// What a relay knows of its own VM and needs for its decisions.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) me: &'a VmName,
    pub(crate) settled: bool,
    pub(crate) timing: Timing,
    /// Length of a step and of the window.
    pub(crate) step: Span,
    pub(crate) window: Span,
    /// When each VM last shared quotas with this one.
    pub(crate) shared: &'a BTreeMap<VmName, Time>,
}

/// The state of a relay.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// Sums of the zone's VMs, for other relays.
    pub(crate) zone: Table,
    /// Sums of the region, for the VMs of the zone.
    pub(crate) region: Table,
    /// The VMs that report to this one, itself included.
    pub(crate) members: BTreeMap<VmName, Source>,
    /// The relays that report to this one.
    pub(crate) zones: BTreeMap<VmName, Source>,
    /// VMs that share quotas with this one.
    pub(crate) sharing: BTreeSet<VmName>,
    /// VMs whose usage is in the region's sums for as long as they shared quotas with this one.
    counted: BTreeSet<VmName>,
}

impl Relay {
    /// Takes over the region's sums from the messages of the former relay.
    pub(crate) fn take_over(&mut self, former: &Source, step: Span) {
        let width = step.as_micros().max(1);
        let until = former.last_seen.as_micros() / width;
        let sharing = former.members.iter().filter(|(_, member)| member.shares);
        self.counted = sharing.map(|(vm, _)| vm.clone()).collect();
        for name in former.accounts() {
            for (start, units) in former.steps(name) {
                let local = start.as_micros() / width;
                if local < until {
                    self.region.add(name, local, i64::try_from(units).unwrap_or(i64::MAX));
                }
            }
        }
    }

    /// Applies a message of a VM of the zone.
    pub(crate) fn receive_member(&mut self, context: &Context<'_>, digest: Digest) {
        let from = digest.from.clone();
        let differences = apply(&mut self.members, context, &self.counted, digest);
        self.count_member(&from, differences);
    }

    /// Applies a message of another relay.
    pub(crate) fn receive_zone(&mut self, context: &Context<'_>, digest: Digest) {
        let from = digest.from.clone();
        let differences = apply(&mut self.zones, context, &self.counted, digest);
        self.count_zone(&from, differences);
    }

    fn count_member(&mut self, vm: &VmName, differences: Vec<Difference>) {
        let from_step = self.members.get(vm).map_or(0, |source| source.from_step);
        for (name, step, units) in differences {
            self.zone.add(&name, step, units);
            if step >= from_step {
                self.region.add(&name, step, units);
            }
        }
    }

    fn count_zone(&mut self, vm: &VmName, differences: Vec<Difference>) {
        let from_step = self.zones.get(vm).map_or(0, |source| source.from_step);
        for (name, step, units) in differences.into_iter().filter(|(_, s, _)| *s >= from_step) {
            self.region.add(&name, step, units);
        }
    }

    /// Decides which VMs are live and which share quotas with this one.
    pub(crate) fn update(&mut self, context: &Context<'_>) {
        let Context { now, timing, .. } = *context;
        self.forget(context);
        self.admit(context);
        let live = |source: &Source| now - source.last_seen < timing.timeout;
        let mut members = BTreeMap::new();
        for (vm, source) in self.members.iter().filter(|(vm, s)| *vm == context.me || live(s)) {
            if let Some(member) = source.members.get(vm) {
                let shares = source.is_counted();
                members.insert(vm.clone(), Member { shares, ..member.clone() });
            }
        }
        self.zone.set_members(&members);
        for source in self.zones.values().filter(|s| live(s)) {
            for (vm, member) in &source.members {
                let shares = source.is_counted() && member.shares;
                let known = members.get(vm);
                if known.is_none_or(|known| shares && !known.shares) {
                    members.insert(vm.clone(), Member { shares, ..member.clone() });
                }
            }
        }
        self.region.set_members(&members);
        let sharing = members.iter().filter(|(_, member)| member.shares);
        self.sharing = sharing.map(|(vm, _)| vm.clone()).collect();
        self.counted.extend(self.sharing.iter().cloned());
    }

    /// Counts the usage of sources that share quotas with this VM from now on.
    ///
    /// A source that has shared quotas with VMs that this one does not hear must not bring its share
    /// along: those VMs may still use it, and their usage of the last window is not known here.
    fn admit(&mut self, context: &Context<'_>) {
        let Context { now, timing, me, .. } = *context;
        let live = |source: &Source| now - source.last_seen < timing.timeout;
        let ready: Vec<(bool, VmName)> = self
            .sources()
            .filter(|(_, _, s)| live(s) && !s.is_counted() && s.is_complete())
            .filter(|(_, vm, s)| vm == &me || is_known(context, vm, s))
            .map(|(is_zone, vm, _)| (is_zone, vm.clone()))
            .collect();
        let mut admitted: BTreeSet<VmName> = self.sharing.clone();
        admitted.insert(me.clone());
        for (is_zone, vm) in &ready {
            admitted.extend(self.source(*is_zone, vm).members.keys().cloned());
            admitted.insert(vm.clone());
        }
        for (is_zone, vm) in &ready {
            let source = self.source(*is_zone, vm);
            let is_met =
                source.partners.as_ref().map_or(source.admission == Admission::Ready, |partners| {
                    partners.iter().all(|(other, age)| {
                        let shared = context.shared.get(other);
                        let heard_later =
                            shared.is_some_and(|at| now - *at <= *age + timing.timeout);
                        admitted.contains(other) || heard_later
                    })
                });
            let source = if *is_zone { self.zones.get_mut(vm) } else { self.members.get_mut(vm) };
            // The shares of two that count each other's usage add up; those of others must not.
            let is_mutual = source.is_some_and(|source| {
                source.admission = if is_met { Admission::Ready } else { Admission::Separate };
                is_met && source.counts
            });
            if !is_mutual {
                continue;
            }
            if *is_zone {
                let differences = self.zones.get_mut(vm).map(Source::admit).unwrap_or_default();
                self.count_zone(vm, differences);
            } else {
                let differences = self.members.get_mut(vm).map(Source::admit).unwrap_or_default();
                self.count_member(vm, differences);
            }
        }
    }

    fn sources(&self) -> impl Iterator<Item = (bool, &VmName, &Source)> {
        let members = self.members.iter().map(|(vm, source)| (false, vm, source));
        members.chain(self.zones.iter().map(|(vm, source)| (true, vm, source)))
    }

    fn source(&self, is_zone: bool, vm: &VmName) -> &Source {
        let sources = if is_zone { &self.zones } else { &self.members };
        &sources[vm]
    }

    /// Returns what a VM sent to this one.
    pub(crate) fn heard(&self, vm: &VmName) -> Option<&Source> {
        self.members.get(vm).or_else(|| self.zones.get(vm))
    }

    /// Drops what is older than the window.
    fn forget(&mut self, context: &Context<'_>) {
        let Context { now, window, step, .. } = *context;
        let kept = window + step + step + step + step;
        let first = Time::from_micros(now.as_micros().saturating_sub(kept.as_micros()));
        let first_step = first.as_micros() / step.as_micros().max(1);
        self.zone.expire(first_step);
        self.region.expire(first_step);
        for sources in [&mut self.members, &mut self.zones] {
            sources.retain(|_, source| now - source.last_seen < kept);
            for source in sources.values_mut() {
                source.expire(first);
            }
        }
    }

    /// Returns the other relays of a zone that were heard recently.
    pub(crate) fn relays_of<'a>(
        &'a self,
        context: &'a Context<'_>,
        vms: &'a BTreeMap<VmName, ZoneName>,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a VmName, &'a Source)> {
        let live = |source: &Source| context.now - source.last_seen < context.timing.timeout;
        self.zones.iter().filter(move |(vm, s)| live(s) && vms.get(*vm) == Some(zone))
    }
}

/// Returns whether the usage of a VM's former processes is known here or is no longer in the window.
fn is_known(context: &Context<'_>, vm: &VmName, source: &Source) -> bool {
    let Context { now, timing, .. } = *context;
    let was_heard = |at: &Time| source.connected_at - *at < RESTART_TIME;
    source.age >= context.window
        || context.shared.get(vm).is_some_and(was_heard)
        || (!context.settled && now - source.connected_at >= timing.give_up())
}

/// Applies a message to the source that it is from.
fn apply(
    sources: &mut BTreeMap<VmName, Source>,
    context: &Context<'_>,
    counted: &BTreeSet<VmName>,
    digest: Digest,
) -> Vec<Difference> {
    let Context { now, timing, step, .. } = *context;
    let known = sources.get(&digest.from).is_some_and(|s| s.incarnation == digest.incarnation);
    if !known {
        let mut source = Source::new(now, &digest, step);
        // Other VMs of the sender's zone tell what they used themselves.
        if let Some(former) = sources.get(&digest.from).filter(|former| former.members.len() == 1) {
            source.former = former.all_steps();
        }
        let shared = context.shared.get(&digest.from).filter(|_| counted.contains(&digest.from));
        if let Some(at) = shared.filter(|at| now - **at < context.window) {
            let until = at.as_micros().saturating_sub(timing.timeout.as_micros());
            source.from_step = until / step.as_micros().max(1);
        }
        sources.insert(digest.from.clone(), source);
    }
    let source = sources.get_mut(&digest.from);
    source.and_then(|source| source.apply(now, digest, timing.timeout)).unwrap_or_default()
}
