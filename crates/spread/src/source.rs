//! What one other VM has sent: its live VMs and usage, by the steps of its clock.

use std::collections::{BTreeMap, HashMap};

use model::{AccountName, Span, Time, VmName};

use crate::{
    digest::{Ack, Digest, Member},
    table::Table,
};

/// Difference by which a message may seem to arrive later than others before the sender's clock
/// counts as set.
const MAX_CLOCK_SHIFT: i64 = 500_000;
/// Difference by which a message must arrive sooner than others for their delay to be corrected.
const MIN_CLOCK_SHIFT: i64 = 20_000;

/// Units used in a step, and how many of them were passed on.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    units: u64,
    counted: u64,
}

/// Whether a sender shares quotas with this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The sender uses a share of its own.
    Separate,
    /// The sender's usage is counted here as soon as the sender counts this VM's.
    Ready,
    /// The sender's usage is counted here.
    Counted,
}

/// Usage that was counted anew: account, step of the local clock, and difference in units.
pub(crate) type Difference = (AccountName, u64, i64);

/// The state of another VM, or of a zone or the region, as its relay sent it.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) incarnation: u64,
    seq: u64,
    /// Revision up to which the sender's changes are applied.
    applied: u64,
    /// Whether everything that the sender had was applied at some time.
    is_complete: bool,
    pub(crate) last_seen: Time,
    /// Since when messages have arrived without a break.
    pub(crate) connected_at: Time,
    pub(crate) admission: Admission,
    pub(crate) able: bool,
    /// Time since the start of the sender's process, when it sent the last message.
    pub(crate) age: Span,
    pub(crate) relay: VmName,
    /// Whether the sender counts this VM's usage or is ready to.
    pub(crate) counts: bool,
    pub(crate) partners: Option<Vec<(VmName, Span)>>,
    /// Time before which the usage was known to all VMs.
    pub(crate) divided_at: Time,
    /// What the sender had applied of this VM's messages when it sent the state that is here now.
    pub(crate) heard: Ack,
    /// Revisions of this VM's table up to which the last two messages to the sender went, the older
    /// one first.
    sent: (u64, u64),
    pub(crate) members: BTreeMap<VmName, Member>,
    /// Numbers that the sender gave to accounts.
    names: HashMap<u32, AccountName>,
    usage: HashMap<AccountName, BTreeMap<u64, Cell>>,
    /// Local time minus the sender's clock, in microseconds. It includes the delay of a message.
    offset: i64,
    /// Length of a step in microseconds.
    step: u64,
    /// Usage that the sender's former process told, by the start of each step.
    pub(crate) former: Vec<(AccountName, Vec<(Time, u64)>)>,
    /// Local step before which the region's sums have the usage from elsewhere.
    pub(crate) from_step: u64,
}

impl Source {
    pub(crate) fn new(now: Time, digest: &Digest, step: Span) -> Self {
        Self {
            incarnation: digest.incarnation,
            seq: 0,
            applied: 0,
            is_complete: false,
            last_seen: now,
            connected_at: now,
            admission: Admission::Separate,
            able: digest.able,
            age: digest.age,
            relay: digest.relay.clone(),
            counts: false,
            partners: None,
            divided_at: now,
            heard: Ack::default(),
            sent: (0, 0),
            members: BTreeMap::new(),
            names: HashMap::new(),
            usage: HashMap::new(),
            offset: offset(now, digest),
            step: step.as_micros().max(1),
            former: Vec::new(),
            from_step: 0,
        }
    }

    /// Returns the source as which a VM that gives up the role of relay keeps the region's sums.
    pub(crate) fn from_table(now: Time, digest: &Digest, table: &Table, step: Span) -> Self {
        let mut source = Self::new(now, digest, step);
        source.offset = 0;
        source.heard = digest.heard;
        source.members = table.members().map(|(vm, m)| (vm.clone(), m.clone())).collect();
        for name in table.accounts() {
            let cells = table.steps(name).map(|(step, units)| (step, Cell { units, counted: 0 }));
            source.usage.insert(name.clone(), cells.collect());
        }
        source
    }

    /// Returns whether the sender's whole state was received at some time.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the sender's usage is counted here.
    pub(crate) fn is_counted(&self) -> bool {
        self.admission == Admission::Counted
    }

    /// Returns the revision of this VM's table after which the sender needs the changes.
    ///
    /// The last message is taken to arrive if the sender has acknowledged the one before it. If it is
    /// lost, the next acknowledgement shows it.
    pub(crate) fn next_base(&self, incarnation: u64) -> u64 {
        if self.heard.incarnation != incarnation {
            return 0;
        }
        let ((before, last), acked) = (self.sent, self.heard.revision);
        if acked >= before { acked.max(last) } else { acked }
    }

    /// Records the revision up to which changes were sent.
    pub(crate) fn record_sent(&mut self, revision: u64) {
        self.sent = (self.sent.1, revision);
    }

    /// Returns the acknowledgement for the sender.
    pub(crate) fn ack(&self) -> Ack {
        Ack { incarnation: self.incarnation, revision: self.applied }
    }

    /// Applies a message. Returns `None` if it is older than the last one, else the usage that is to
    /// be counted.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        digest: Digest,
        timeout: Span,
    ) -> Option<Vec<Difference>> {
        if digest.seq <= self.seq {
            return None;
        }
        if now - self.last_seen >= timeout {
            self.connected_at = now;
            self.admission = Admission::Separate;
        }
        let mut differences = self.correct_clock(offset(now, &digest));
        (self.seq, self.last_seen) = (digest.seq, now);
        (self.able, self.age, self.relay) = (digest.able, digest.age, digest.relay);
        (self.counts, self.partners) = (digest.counts, digest.partners);
        if !self.counts && self.is_counted() {
            self.admission = Admission::Separate;
        }
        self.divided_at = before(now, digest.divided);
        let delta = digest.delta;
        if delta.revision == 0 || delta.base > self.applied {
            return Some(differences);
        }
        if delta.base == 0 {
            let sent: std::collections::BTreeSet<_> =
                delta.members.iter().map(|(vm, _)| vm.clone()).collect();
            self.members.retain(|vm, _| sent.contains(vm));
        }
        for (vm, member) in delta.members {
            match member {
                Some(member) => drop(self.members.insert(vm, member)),
                None => drop(self.members.remove(&vm)),
            }
        }
        self.names.extend(delta.names);
        let sent_in = digest.clock / self.step;
        for (number, steps) in delta.usage {
            let Some(name) = self.names.get(&number).cloned() else {
                continue;
            };
            for (ago, units) in steps {
                let step = sent_in.wrapping_sub_signed(ago);
                if !self.usage.contains_key(&name) {
                    self.usage.insert(name.clone(), BTreeMap::new());
                }
                if let Some(cells) = self.usage.get_mut(&name) {
                    cells.entry(step).or_default().units = units;
                }
                differences.extend(self.count(&name, step));
            }
        }
        self.applied = self.applied.max(delta.revision);
        if self.applied >= delta.latest {
            self.is_complete = true;
            self.heard = digest.heard;
        }
        Some(differences)
    }

    /// Counts the sender's usage from now on. Returns what was not counted yet.
    pub(crate) fn admit(&mut self) -> Vec<Difference> {
        self.admission = Admission::Counted;
        self.count_all()
    }

    /// Returns the usage of an account, each step with its start in local time, oldest first.
    pub(crate) fn steps(&self, name: &AccountName) -> impl Iterator<Item = (Time, u64)> {
        let cells = self.usage.get(name).into_iter().flatten();
        cells.map(|(step, cell)| (self.start(*step), cell.units))
    }

    /// Returns all usage, by the start of each step.
    pub(crate) fn all_steps(&self) -> Vec<(AccountName, Vec<(Time, u64)>)> {
        self.accounts().map(|name| (name.clone(), self.steps(name).collect())).collect()
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.usage.keys()
    }

    /// Removes the usage of steps that started before `first`.
    pub(crate) fn expire(&mut self, first: Time) {
        let first = i64::try_from(first.as_micros()).unwrap_or(i64::MAX) - self.offset;
        let first = u64::try_from(first).unwrap_or(0) / self.step;
        self.usage.retain(|_, cells| {
            while cells.first_key_value().is_some_and(|(step, _)| *step < first) {
                cells.pop_first();
            }
            !cells.is_empty()
        });
    }

    fn start(&self, step: u64) -> Time {
        let start = i64::try_from(step.saturating_mul(self.step)).unwrap_or(i64::MAX);
        Time::from_micros(u64::try_from(start.saturating_add(self.offset)).unwrap_or(0))
    }

    fn local_step(&self, step: u64) -> u64 {
        self.start(step).as_micros() / self.step
    }

    /// Returns what of a step's usage is to be counted anew.
    fn count(&mut self, name: &AccountName, step: u64) -> Option<Difference> {
        if !self.is_counted() {
            return None;
        }
        let local = self.local_step(step);
        let cell = self.usage.get_mut(name)?.get_mut(&step)?;
        let difference = signed(cell.units) - signed(cell.counted);
        cell.counted = cell.units;
        (difference != 0).then(|| (name.clone(), local, difference))
    }

    fn count_all(&mut self) -> Vec<Difference> {
        let keys: Vec<(AccountName, u64)> = self
            .usage
            .iter()
            .flat_map(|(name, cells)| cells.keys().map(|step| (name.clone(), *step)))
            .collect();
        keys.iter().filter_map(|(name, step)| self.count(name, *step)).collect()
    }

    /// Follows the sender's clock if it was set or if the delay of the messages was overestimated.
    /// Returns the counted usage that moves to other steps by that.
    fn correct_clock(&mut self, offset: i64) -> Vec<Difference> {
        let shift = offset - self.offset;
        if (-MIN_CLOCK_SHIFT..=MAX_CLOCK_SHIFT).contains(&shift) {
            return Vec::new();
        }
        let before = self.counted(-1);
        self.offset = offset;
        before.into_iter().chain(self.counted(1)).collect()
    }

    /// Returns the counted usage, multiplied by `sign`.
    fn counted(&self, sign: i64) -> Vec<Difference> {
        let cells = self.usage.iter().flat_map(|(name, cells)| {
            cells.iter().filter(|(_, c)| c.counted > 0).map(move |(step, c)| (name, *step, c))
        });
        cells
            .map(|(name, step, c)| (name.clone(), self.local_step(step), sign * signed(c.counted)))
            .collect()
    }
}

fn before(now: Time, age: Span) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}

fn offset(now: Time, digest: &Digest) -> i64 {
    signed(now.as_micros()) - signed(digest.clock)
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
