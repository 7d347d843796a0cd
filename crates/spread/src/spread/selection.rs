//! The choice of the relay to report to, and the change of roles.

use std::collections::BTreeSet;

use model::{Span, Time, VmName, ZoneName};

use super::{EXCLUSION_TIME, Spread};
use crate::{
    digest::{Ack, Delta, Member, Scope},
    ranking::{Rank, best},
    relay::Relay,
    source::Source,
};

impl Spread {
    /// Returns the VMs of a zone that may be its relay: the best one, another one in turn, and the one
    /// that another VM named lately. The VM tried in turn names its relay, so that two relays find each
    /// other soon although neither knows that the former relay of the other's zone is gone.
    pub(super) fn tried_vms(&self, now: Time, zone: &ZoneName) -> Vec<VmName> {
        let reports = |vm: &VmName| {
            let source = self.role.as_ref().and_then(|role| role.members.get(vm));
            source.is_some_and(|source| now - source.last_seen < self.timing.timeout)
        };
        let mut ranked: Vec<(&VmName, Rank)> = self.ranked(now, zone).collect();
        ranked.retain(|(vm, _)| **vm != self.setup.vm && !reports(vm));
        ranked.sort_by(|(_, a), (_, b)| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
        let round = now.as_micros() / self.timing.timeout.as_micros().max(1);
        let others = ranked.len().saturating_sub(1).max(1);
        let turn = 1 + usize::try_from(round).unwrap_or(0) % others;
        let tried = ranked.first().into_iter().chain(ranked.get(turn)).map(|(vm, _)| *vm);
        let is_recent = |at: Time| now - at < self.timing.give_up();
        let named = self.hints.get(zone).filter(|(_, at)| is_recent(*at)).map(|(vm, _)| vm);
        let named = named.filter(|vm| **vm != self.setup.vm && !reports(vm));
        let tried: BTreeSet<&VmName> = tried.chain(named).collect();
        tried.into_iter().cloned().collect()
    }

    /// Returns the VMs of a zone with their ranks as relays.
    pub(super) fn ranked<'a>(
        &'a self,
        now: Time,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a VmName, Rank)> {
        let of_zone = self.vms.iter().filter(move |(_, other)| *other == zone);
        of_zone.map(move |(vm, _)| {
            let (able, age) = if *vm == self.setup.vm {
                (!self.is_stopping, self.age(now))
            } else if let Some(source) = self.role.as_ref().and_then(|role| role.heard(vm)) {
                // One that has fallen silent may have ended, so it ranks like one that has just started.
                let is_live = now - source.last_seen < self.timing.timeout;
                (source.able, if is_live { source.age } else { Span::ZERO })
            } else {
                // Its gossip does not tell whether it stops: a VM is also no candidate for homes while
                // it does not hear control VMs.
                let settled = self.member(vm).is_some_and(|member| member.settled);
                (true, if settled { self.setup.window } else { Span::ZERO })
            };
            (vm, Rank::new((zone, vm), able, (age, self.setup.window)))
        })
    }

    pub(super) fn member(&self, vm: &VmName) -> Option<&Member> {
        let of_role = self.role.as_ref().and_then(|role| role.region.member(vm));
        of_role
            .or_else(|| self.region.as_ref()?.members.get(vm))
            .or_else(|| self.former.as_ref()?.members.get(vm))
    }

    /// Chooses another relay if the present one is silent or another one goes before it.
    pub(super) fn choose_relay(&mut self, now: Time) {
        self.excluded.retain(|_, until| now < *until);
        if let Some(role) = &self.role {
            let zone = &self.setup.zone;
            let (me, window) = (&self.setup.vm, self.setup.window);
            let mine = Rank::new((zone, me), !self.is_stopping, (self.age(now), window));
            let context = self.context(now);
            let others = role
                .relays_of(&context, &self.vms, zone)
                .map(|(vm, source)| (vm, Rank::new((zone, vm), source.able, (source.age, window))));
            let live = |vm: &VmName| {
                role.members.get(vm).is_some_and(|s| now - s.last_seen < self.timing.timeout)
            };
            let members = self.ranked(now, zone).filter(|(vm, _)| self.is_stopping && live(vm));
            let better = best(others.chain(members)).cloned();
            if let Some(better) = better.filter(|vm| self.rank_of(now, vm) > Some(mine)) {
                self.step_down(now, better);
            }
            return;
        }
        let last_seen = self.region.as_ref().map_or(self.relay_since, |source| source.last_seen);
        let last_seen = last_seen.max(self.relay_since);
        if self.relay == self.setup.vm || !self.vms.contains_key(&self.relay) {
            self.change_relay(now);
        } else if now - last_seen >= self.timing.timeout {
            self.excluded.insert(self.relay.clone(), now + EXCLUSION_TIME);
            self.change_relay(now);
        }
    }

    pub(super) fn rank_of(&self, now: Time, vm: &VmName) -> Option<Rank> {
        self.ranked(now, &self.setup.zone).find(|(other, _)| *other == vm).map(|(_, rank)| rank)
    }

    /// Chooses the best VM of the zone that is not excluded.
    pub(super) fn change_relay(&mut self, now: Time) {
        let ranked = self.ranked(now, &self.setup.zone);
        let best = best(ranked.filter(|(vm, _)| !self.excluded.contains_key(*vm))).cloned();
        let best = best.unwrap_or_else(|| self.setup.vm.clone());
        self.report_to(now, best);
    }

    /// Reports to another relay from now on, or becomes the relay.
    pub(super) fn report_to(&mut self, now: Time, relay: VmName) {
        if let Some(region) = self.region.take()
            && self.is_counted_in(&region)
        {
            self.former = Some(region);
        }
        (self.relay, self.relay_since) = (relay, now);
        if self.relay == self.setup.vm {
            self.roles += 1;
            let mut role = Relay::default();
            if let Some(former) = self.former.take() {
                role.take_over(&former, self.step);
            }
            self.role = Some(role);
        }
        self.is_urgent = true;
    }

    pub(super) fn is_counted_in(&self, source: &Source) -> bool {
        let member = source.members.get(&self.setup.vm);
        member.is_some_and(|m| m.shares && m.incarnation == self.setup.incarnation)
    }

    /// Gives up the role of relay.
    pub(super) fn step_down(&mut self, now: Time, relay: VmName) {
        if let Some(role) = self.role.take() {
            let me = role.members.get(&self.setup.vm);
            let revision = me.map_or(0, |source| source.ack().revision);
            let heard = Ack { incarnation: self.setup.incarnation, revision };
            let digest = self.digest(now, Scope::Region, heard, Delta::default());
            self.former = Some(Source::from_table(now, &digest, &role.region, self.step));
            self.misled = role.members.into_keys().filter(|vm| *vm != self.setup.vm).collect();
        }
        self.region = None;
        (self.relay, self.relay_since) = (relay, now);
        self.is_urgent = true;
    }
}
