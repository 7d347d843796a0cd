//! The state machine of one entry VM.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use model::{AccountName, Span, Time, VmName, ZoneName};
use region::Gossip;

use crate::{
    bounds::Bounds,
    digest::{Ack, Delta, Digest, Member, Scope, bounded},
    relay::{Context, Relay},
    source::{Admission, Source},
    table::{MAX_BYTES, Table},
    timing::Timing,
};

mod selection;
mod usage;

/// Number of steps in which a window is counted.
const WINDOW_STEPS: u64 = 32;
/// Number of steps by which usage may be counted as older than it is: one at the VM that used the
/// units, and one at each of two relays.
const LOST_STEPS: u64 = 3;
/// Time for which a VM that was silent as a relay is not chosen again.
const EXCLUSION_TIME: Span = Span::from_secs(2);

/// What a VM starts with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Random number that identifies this process of the VM.
    pub incarnation: u64,
    /// Length of the window in which usage is counted.
    pub window: Span,
}

/// Which VMs share quotas with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// Number of VMs that share quotas with this one, itself included.
    pub vms: usize,
    /// Number of all entry VMs.
    pub of: usize,
    /// Time before which the usage was known to all VMs, also to those that do not share quotas with
    /// this one now.
    pub since: Time,
    /// Number of VMs, among those that share, that have run for a whole window.
    pub settled: usize,
}

/// The units of an account that were used in the last window, as far as this VM knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Used {
    /// Start of each step and the units used in it, oldest first.
    pub steps: Vec<(Time, u64)>,
}

impl Used {
    /// Returns the units used in the window.
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.steps.iter().map(|(_, units)| units).sum()
    }
}

/// Usage at this VM, for as long as it may be missing in the region's sums.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at: Time,
    /// Revision of the table of this VM's usage.
    revision: u64,
    units: i64,
}

/// One entry VM's part in spreading state over the region.
///
/// # Examples
///
/// ```
/// use model::{Span, Time};
/// use region::Gossip;
/// use spread::{Setup, Spread};
///
/// let window = Span::from_secs(8);
/// let (vm, zone) = ("10.0.0.1".try_into()?, "zone-a".try_into()?);
/// let mut spread = Spread::new(Setup { vm, zone, incarnation: 7, window });
/// let now = Time::default() + Span::from_secs(60);
/// let account = "north-workshop".try_into()?;
/// spread.record(now, &account, 200);
/// assert_eq!(spread.used(now, &account).sum(), 200);
/// assert!(spread.is_due(now));
/// let messages = spread.messages(now, Gossip::default());
/// assert!(messages.is_empty(), "a VM that knows no other VM sends nothing");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Spread {
    setup: Setup,
    /// Length of a step.
    step: Span,
    timing: Timing,
    bounds: Bounds,
    vms: BTreeMap<VmName, ZoneName>,
    seq: u64,
    started: Option<Time>,
    gossip: Gossip,
    /// Whether this VM is about to stop.
    is_stopping: bool,
    /// This VM and its usage.
    own: Table,
    charges: HashMap<AccountName, VecDeque<Charge>>,
    /// Accounts of which another relay has told what this VM's former process used.
    told: BTreeSet<AccountName>,
    /// The VM to which this one reports; itself if it is the relay of its zone.
    relay: VmName,
    /// When this VM began to report to its relay.
    relay_since: Time,
    /// VMs that are not chosen as relays before the given time.
    excluded: BTreeMap<VmName, Time>,
    /// The region's sums as the relay sent them.
    region: Option<Source>,
    /// The sums of the former relay, which hold until this VM is counted in those of the new one.
    former: Option<Source>,
    role: Option<Relay>,
    /// Number of times that this VM became a relay.
    roles: u64,
    /// VMs that take this one for a relay, though it is none.
    misled: BTreeSet<VmName>,
    /// Relays of zones that other VMs named, with the time.
    hints: BTreeMap<ZoneName, (VmName, Time)>,
    /// When each VM last shared quotas with this one.
    shared: BTreeMap<VmName, Time>,
    /// VMs that share quotas with this one.
    sharing: BTreeSet<VmName>,
    /// Revisions of the tables that were sent last.
    sent: (u64, (u64, u64)),
    next_change: Time,
    next_idle: Time,
    is_urgent: bool,
}

impl Spread {
    /// Creates the state of a VM that knows no other VM.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let step = Span::from_micros((setup.window.as_micros() / WINDOW_STEPS).max(1));
        let vms = BTreeMap::from([(setup.vm.clone(), setup.zone.clone())]);
        Self {
            step,
            timing: Timing::new(1, 1),
            bounds: Bounds::default(),
            vms,
            seq: 0,
            started: None,
            gossip: Gossip::default(),
            is_stopping: false,
            own: Table::default(),
            charges: HashMap::new(),
            told: BTreeSet::new(),
            relay: setup.vm.clone(),
            relay_since: Time::default(),
            excluded: BTreeMap::new(),
            region: None,
            former: None,
            role: None,
            roles: 0,
            misled: BTreeSet::new(),
            hints: BTreeMap::new(),
            shared: BTreeMap::new(),
            sharing: BTreeSet::new(),
            sent: (0, (0, 0)),
            next_change: Time::default(),
            next_idle: Time::default(),
            is_urgent: false,
            setup,
        }
    }

    /// Sets the entry VMs and their availability zones, this one included.
    pub fn set_vms(&mut self, vms: BTreeMap<VmName, ZoneName>) {
        let mut sizes: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for zone in vms.values() {
            *sizes.entry(zone).or_default() += 1;
        }
        self.timing = Timing::new(vms.len(), sizes.values().copied().max().unwrap_or(1));
        self.vms = vms;
        self.vms.insert(self.setup.vm.clone(), self.setup.zone.clone());
    }

    /// Sets the speed of this VM's link in bytes a second, which bounds the messages. All VMs of a
    /// region have similar links.
    pub fn set_link(&mut self, bytes_per_s: u64) {
        self.bounds = Bounds { link: Some(bytes_per_s) };
    }

    /// Returns the intervals and timeouts.
    #[must_use]
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Returns the live VMs other than this one, and what they told.
    pub fn members(&self, now: Time) -> impl Iterator<Item = (&VmName, &Member)> {
        let of_role = self.role.as_ref().map(|role| role.region.members());
        let is_live = |source: &&Source| now - source.last_seen < self.timing.timeout;
        let region = self.region.as_ref().filter(is_live);
        let of_relay = region.map(|region| region.members.iter());
        let all = of_role.into_iter().flatten().chain(of_relay.into_iter().flatten());
        all.filter(|(vm, _)| **vm != self.setup.vm)
    }

    /// Returns the VM to which this one reports; itself if it is the relay of its zone.
    #[must_use]
    pub fn relay(&self) -> &VmName {
        &self.relay
    }

    /// Returns the source whose sums count for this VM.
    fn counting_source(&self) -> Option<&Source> {
        self.region.as_ref().filter(|s| self.is_counted_in(s)).or(self.former.as_ref())
    }

    /// Returns the start of the oldest step that counts.
    fn first_counted(&self, now: Time) -> Time {
        Time::from_micros(now.as_micros().saturating_sub(self.counted_time().as_micros()))
    }

    /// Returns the time for which a step counts after its start.
    #[must_use]
    pub fn counted_time(&self) -> Span {
        self.setup.window + Span::from_micros(self.step.as_micros() * LOST_STEPS)
    }

    fn step_of(&self, time: Time) -> u64 {
        time.as_micros() / self.step.as_micros()
    }

    fn start_of(&self, step: u64) -> Time {
        Time::from_micros(step.saturating_mul(self.step.as_micros()))
    }

    fn age(&self, now: Time) -> Span {
        self.started.map_or(Span::ZERO, |at| now - at)
    }

    /// Returns whether this VM's process has run for a whole window.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        self.age(now) >= self.setup.window
    }

    /// Sets the time of this VM's start. Later calls have no effect.
    pub fn start(&mut self, now: Time) {
        self.started.get_or_insert(now);
    }

    /// Sets whether this VM is about to stop. The relay of a zone that is leaves its role to another
    /// VM.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.is_urgent |= stopping != self.is_stopping;
        self.is_stopping = stopping;
    }

    /// Returns which VMs share quotas with this one.
    #[must_use]
    pub fn sharing(&self, now: Time) -> Sharing {
        let since = self.divided_at(now);
        let settled = self.members(now).filter(|(vm, m)| m.settled && self.sharing.contains(*vm));
        let vms = self.sharing.len().max(1);
        let settled = settled.count() + usize::from(self.is_settled(now));
        Sharing { vms, of: self.vms.len().max(vms), since, settled }
    }

    /// Returns the time before which the usage was known to all VMs.
    fn divided_at(&self, now: Time) -> Time {
        let is_live = |source: &&Source| now - source.last_seen < self.timing.timeout;
        if let Some(source) = self.counting_source().filter(is_live) {
            return source.divided_at;
        }
        let lost =
            self.vms.keys().filter(|vm| !self.sharing.contains(*vm) && **vm != self.setup.vm);
        let known_until = lost.map(|vm| {
            let at = self.shared.get(vm).copied().unwrap_or_default().as_micros();
            Time::from_micros(at.saturating_sub(self.timing.give_up().as_micros()))
        });
        known_until.min().unwrap_or(now)
    }

    /// Returns the age of the news that this VM has of others, if no message is lost: the time that
    /// they take, and that since the last message of the relay.
    #[must_use]
    pub fn news_age(&self, now: Time) -> Span {
        let source = self.counting_source().filter(|_| self.role.is_none());
        let silence = source.map_or(Span::ZERO, |source| now - source.last_seen);
        self.timing.spread_time() + silence
    }

    /// Returns whether messages are to be sent now.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        let revisions = (self.own.revision(), self.revisions());
        self.is_urgent
            || now >= self.next_idle
            || (now >= self.next_change && revisions != self.sent)
    }

    /// Returns the messages to send, each with the VM to send it to. All others learn of `gossip`.
    pub fn messages(&mut self, now: Time, gossip: Gossip) -> Vec<(VmName, Digest)> {
        self.start(now);
        self.gossip = bounded(gossip, self.max_gossip());
        self.choose_relay(now);
        self.is_urgent = false;
        (self.next_change, self.next_idle) =
            (now + self.timing.min_gap, now + self.timing.interval);
        self.update(now);
        let messages = self.outgoing(now);
        self.sent = (self.own.revision(), self.revisions());
        messages
    }

    /// Returns the size of the gossip that all VMs can be told of in a second.
    fn max_gossip(&self) -> usize {
        let of_zone = self.vms.values().filter(|zone| **zone == self.setup.zone).count();
        self.bounds.gossip(self.vms.len(), of_zone)
    }

    fn revisions(&self) -> (u64, u64) {
        self.role.as_ref().map_or((0, 0), |role| (role.zone.revision(), role.region.revision()))
    }

    /// Brings the tables and the set of sharing VMs up to date.
    fn update(&mut self, now: Time) {
        let member = Member {
            incarnation: self.setup.incarnation,
            settled: self.is_settled(now),
            shares: true,
            gossip: self.gossip.clone(),
        };
        self.own.set_members(&BTreeMap::from([(self.setup.vm.clone(), member)]));
        let first = self.first_counted(now);
        self.own.expire(self.step_of(first));
        self.drop_counted_charges(now);
        for source in [&mut self.region, &mut self.former].into_iter().flatten() {
            source.expire(first);
        }
        if self.former.as_ref().is_some_and(|former| former.last_seen < first) {
            self.former = None;
        }
        if let Some(mut role) = self.role.take() {
            let me = &self.setup.vm;
            let applied = role.members.get(me).map_or(0, |source| source.ack().revision);
            self.seq += 1;
            let digest = Digest {
                partners: Some(Vec::new()),
                ..self.digest(
                    now,
                    Scope::Vm,
                    Ack::default(),
                    self.own.delta(applied, self.step_of(now), MAX_BYTES),
                )
            };
            let context = self.context(now);
            role.receive_member(&context, digest);
            role.update(&context);
            self.role = Some(role);
        }
        self.update_sharing(now);
    }

    fn update_sharing(&mut self, now: Time) {
        let me = &self.setup.vm;
        self.sharing = if let Some(role) = &self.role {
            role.sharing.clone()
        } else {
            let is_live = |source: &&Source| now - source.last_seen < self.timing.timeout;
            let members = self.counting_source().filter(is_live).map(|source| &source.members);
            let sharing = members.into_iter().flatten().filter(|(_, member)| member.shares);
            sharing.map(|(vm, _)| vm.clone()).collect()
        };
        self.sharing.insert(me.clone());
        for vm in &self.sharing {
            self.shared.insert(vm.clone(), now);
        }
        let window = self.setup.window;
        self.shared.retain(|_, at| now - *at < window + window);
        if self.region.as_ref().is_some_and(|region| self.is_counted_in(region)) {
            self.former = None;
        }
    }

    fn context(&self, now: Time) -> Context<'_> {
        Context {
            now,
            me: &self.setup.vm,
            settled: self.is_settled(now),
            timing: self.timing,
            step: self.step,
            window: self.setup.window,
            shared: &self.shared,
        }
    }

    fn digest(&self, now: Time, scope: Scope, heard: Ack, delta: Delta) -> Digest {
        Digest {
            from: self.setup.vm.clone(),
            incarnation: self.incarnation(scope),
            seq: self.seq,
            scope,
            clock: now.as_micros(),
            relay: self.relay.clone(),
            able: !self.is_stopping,
            age: self.age(now),
            heard,
            counts: true,
            partners: Some(self.partners(now)),
            divided: now - self.divided_at(now),
            former: Vec::new(),
            delta,
        }
    }

    /// Returns what identifies the table from which messages of a scope are made.
    fn incarnation(&self, scope: Scope) -> u64 {
        let roles = if scope == Scope::Vm { 0 } else { self.roles };
        self.setup.incarnation.wrapping_add(roles)
    }

    /// Returns the VMs with which this one shared quotas within the window, with the time since.
    fn partners(&self, now: Time) -> Vec<(VmName, Span)> {
        let within = self.shared.iter().filter(|(_, at)| now - **at < self.setup.window);
        within.map(|(vm, at)| (vm.clone(), now - *at)).collect()
    }

    /// Returns a message to a VM that has sent messages.
    fn reply(&self, now: Time, scope: Scope, to: &Source, delta: Delta) -> Digest {
        let digest = self.digest(now, scope, to.ack(), delta);
        let is_mutual = match scope {
            Scope::Vm => self.is_counted_in(to),
            Scope::Zone | Scope::Region => to.is_counted() && to.counts,
        };
        let partners = digest.partners.filter(|_| !is_mutual);
        let counts = scope == Scope::Vm || to.admission != Admission::Separate;
        Digest { counts, partners, ..digest }
    }

    fn outgoing(&mut self, now: Time) -> Vec<(VmName, Digest)> {
        self.seq += 1;
        let step = self.step_of(now);
        let receivers = self.role.as_ref().map_or(1, |role| role.members.len() + role.zones.len());
        let max = self.bounds.changes(self.timing.interval, receivers);
        let mut messages = Vec::new();
        for vm in std::mem::take(&mut self.misled) {
            let digest = self.digest(now, Scope::Region, Ack::default(), Delta::default());
            messages.push((vm, digest));
        }
        let Some(mut role) = self.role.take() else {
            let digest = match self.region.take() {
                Some(mut region) => {
                    let base = region.next_base(self.incarnation(Scope::Vm));
                    let delta = self.own.delta(base, step, max);
                    region.record_sent(delta.revision);
                    let digest = self.reply(now, Scope::Vm, &region, delta);
                    self.region = Some(region);
                    digest
                }
                None => self.digest(now, Scope::Vm, Ack::default(), self.own.delta(0, step, max)),
            };
            messages.push((self.relay.clone(), digest));
            return messages;
        };
        let timeout = self.timing.timeout;
        let is_live = |source: &Source| now - source.last_seen < timeout;
        for (vm, source) in role.members.iter_mut().filter(|(vm, _)| **vm != self.setup.vm) {
            if is_live(source) {
                let base = source.next_base(self.incarnation(Scope::Region));
                let delta = role.region.delta(base, step, max);
                source.record_sent(delta.revision);
                messages.push((vm.clone(), self.reply(now, Scope::Region, source, delta)));
            }
        }
        let mut heard = BTreeSet::new();
        for (vm, source) in role.zones.iter_mut().filter(|(_, source)| is_live(source)) {
            heard.extend(self.vms.get(vm));
            let base = source.next_base(self.incarnation(Scope::Zone));
            let delta = role.zone.delta(base, step, max);
            source.record_sent(delta.revision);
            let digest = self.reply(now, Scope::Zone, source, delta);
            let former = self.former_usage(now, source);
            messages.push((vm.clone(), Digest { former, ..digest }));
        }
        self.role = Some(role);
        let zones: BTreeSet<&ZoneName> = self.vms.values().collect();
        for zone in zones.difference(&heard) {
            for vm in self.tried_vms(now, zone) {
                let digest = self.digest(now, Scope::Zone, Ack::default(), Delta::default());
                messages.push((vm, Digest { counts: false, ..digest }));
            }
        }
        messages
    }

    /// Processes a message of another VM.
    pub fn receive(&mut self, now: Time, digest: Digest) {
        self.start(now);
        match (digest.scope, self.role.take()) {
            (Scope::Vm, Some(mut role)) => {
                role.receive_member(&self.context(now), digest);
                self.role = Some(role);
            }
            (Scope::Zone, Some(mut role)) => {
                self.take_former_usage(now, &digest.former);
                role.receive_zone(&self.context(now), digest);
                self.role = Some(role);
            }
            (Scope::Vm | Scope::Zone, None) => drop(self.misled.insert(digest.from)),
            (Scope::Region, Some(role)) => {
                self.role = Some(role);
                // The sender was taken for the relay of its zone and names the VM that it reports to.
                if let Some(zone) =
                    self.vms.get(&digest.relay).filter(|_| digest.relay != digest.from)
                {
                    self.hints.insert(zone.clone(), (digest.relay, now));
                }
            }
            (Scope::Region, None) if digest.from == self.relay => self.receive_region(now, digest),
            (_, role) => self.role = role,
        }
    }

    fn receive_region(&mut self, now: Time, digest: Digest) {
        if digest.relay != digest.from {
            let is_usable = self.vms.get(&digest.relay) == Some(&self.setup.zone)
                && !self.excluded.contains_key(&digest.relay);
            if is_usable {
                self.report_to(now, digest.relay);
            } else {
                self.relay_since = now;
            }
            return;
        }
        let (step, timeout) = (self.step, self.timing.timeout);
        if self.region.as_ref().is_none_or(|region| region.incarnation != digest.incarnation) {
            let is_first = self.region.is_none();
            if let Some(region) = self.region.take()
                && self.is_counted_in(&region)
            {
                self.former = Some(region);
            }
            if !is_first && digest.age < self.age(now) {
                // The relay has started anew and lacks what it knew before.
                self.excluded.insert(digest.from, now + EXCLUSION_TIME);
                self.change_relay(now);
                return;
            }
            self.region = Some(Source::new(now, &digest, step));
        }
        if let Some(region) = &mut self.region {
            // The relay counts for this VM; the differences are not added to any table.
            let _ = region.apply(now, digest, timeout);
        }
    }
}
