//! A table with a revision for each change, of which receivers get only what they have not yet
//! acknowledged.

use std::collections::{BTreeMap, HashMap};

use model::{AccountName, VmName};

use crate::digest::{Delta, Member};

/// Largest estimated size of the changes in a message. With the names of 390 partners (20 KB) and the
/// usage of a former process, a datagram stays below the maximum size of 65,507 bytes.
pub(crate) const MAX_BYTES: usize = 38_000;
/// Largest encoded size of the number of an account with what surrounds it.
const ACCOUNT_BYTES: usize = 9;
/// Largest encoded size of how many steps ago units were used, with what surrounds both.
const STEP_BYTES: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Cell {
    units: u64,
    revision: u64,
}

/// The usage of one account by step, oldest first.
#[derive(Debug)]
struct Account {
    number: u32,
    /// Revision in which the account got its number.
    numbered: u64,
    steps: BTreeMap<u64, Cell>,
    /// Revision of the last change.
    revision: u64,
}

/// Live VMs, and the usage of accounts by step.
#[derive(Debug, Default)]
pub(crate) struct Table {
    revision: u64,
    /// Number of the next account.
    next_number: u32,
    accounts: HashMap<AccountName, Account>,
    members: BTreeMap<VmName, (u64, Option<Member>)>,
}

impl Table {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds `units`, which may be negative, to the usage of an account in a step.
    pub(crate) fn add(&mut self, name: &AccountName, step: u64, units: i64) {
        if units == 0 {
            return;
        }
        if !self.accounts.contains_key(name) {
            self.revision += 1;
            let (number, numbered) = (self.next_number, self.revision);
            self.next_number = self.next_number.wrapping_add(1);
            let account = Account { number, numbered, steps: BTreeMap::new(), revision: numbered };
            self.accounts.insert(name.clone(), account);
        }
        self.revision += 1;
        if let Some(account) = self.accounts.get_mut(name) {
            account.revision = self.revision;
            let cell = account.steps.entry(step).or_insert(Cell { units: 0, revision: 0 });
            cell.units = cell.units.saturating_add_signed(units);
            cell.revision = self.revision;
        }
    }

    /// Takes `units` from the newest steps of an account.
    pub(crate) fn take(&mut self, name: &AccountName, units: u64) {
        let mut left = units;
        let steps: Vec<(u64, u64)> = self.steps(name).collect();
        for (step, used) in steps.into_iter().rev() {
            let part = left.min(used);
            self.add(name, step, -i64::try_from(part).unwrap_or(i64::MAX));
            left -= part;
        }
    }

    /// Replaces the live VMs.
    pub(crate) fn set_members(&mut self, live: &BTreeMap<VmName, Member>) {
        for (vm, (revision, member)) in &mut self.members {
            if member.is_some() && !live.contains_key(vm) {
                self.revision += 1;
                (*revision, *member) = (self.revision, None);
            }
        }
        for (vm, member) in live {
            if self.members.get(vm).is_some_and(|(_, known)| known.as_ref() == Some(member)) {
                continue;
            }
            self.revision += 1;
            self.members.insert(vm.clone(), (self.revision, Some(member.clone())));
        }
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.members.iter().filter_map(|(vm, (_, member))| Some((vm, member.as_ref()?)))
    }

    pub(crate) fn member(&self, vm: &VmName) -> Option<&Member> {
        self.members.get(vm)?.1.as_ref()
    }

    /// Returns the usage of an account by step, oldest first.
    pub(crate) fn steps(&self, name: &AccountName) -> impl Iterator<Item = (u64, u64)> {
        let account = self.accounts.get(name).into_iter();
        account.flat_map(|account| account.steps.iter().map(|(step, cell)| (*step, cell.units)))
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.accounts.keys()
    }

    /// Removes the usage of steps before `first`. Receivers do so by themselves.
    pub(crate) fn expire(&mut self, first: u64) {
        self.accounts.retain(|_, account| {
            while account.steps.first_key_value().is_some_and(|(step, _)| *step < first) {
                account.steps.pop_first();
            }
            !account.steps.is_empty()
        });
    }

    /// Returns the changes after revision `base`, or the oldest of them if they are more than `max`
    /// bytes, for a message that is sent in step `now`.
    pub(crate) fn delta(&self, base: u64, now: u64, max: usize) -> Delta {
        let latest = self.revision;
        let mut revision = latest;
        let mut changes: Vec<(u64, usize)> = self.changes(base).collect();
        if changes.iter().map(|(_, bytes)| bytes).sum::<usize>() > max {
            changes.sort_unstable();
            let mut sum = 0;
            let fits = changes.iter().take_while(|(_, bytes)| {
                sum += bytes;
                sum <= max
            });
            // A single entry is sent in any case, so that the messages go on.
            let last = fits.last().or(changes.first());
            revision = last.map_or(latest, |(revision, _)| *revision);
        }
        let is_included = |changed: u64| changed > base && changed <= revision;
        let members = self.members.iter().filter(|(_, (changed, member))| {
            is_included(*changed) && (base > 0 || member.is_some())
        });
        let members = members.map(|(vm, (_, member))| (vm.clone(), member.clone())).collect();
        let (mut names, mut usage) = (Vec::new(), Vec::new());
        for (name, account) in self.accounts.iter().filter(|(_, a)| a.revision > base) {
            if is_included(account.numbered) {
                names.push((account.number, name.clone()));
            }
            let steps = account.steps.iter().filter(|(_, cell)| is_included(cell.revision));
            let ago = |step: u64| now.cast_signed().wrapping_sub(step.cast_signed());
            let steps: Vec<_> = steps.map(|(step, cell)| (ago(*step), cell.units)).collect();
            if !steps.is_empty() {
                usage.push((account.number, steps));
            }
        }
        Delta { base, revision, latest, members, names, usage }
    }

    /// Returns the revisions and the estimated sizes of all entries that changed after revision `base`.
    fn changes(&self, base: u64) -> impl Iterator<Item = (u64, usize)> {
        let members = self.members.iter().map(|(vm, (revision, member))| {
            (*revision, name_bytes(vm.as_str()) + member.as_ref().map_or(1, Member::bytes))
        });
        let changed = self.accounts.iter().filter(move |(_, a)| a.revision > base);
        let cells = changed.flat_map(|(name, account)| {
            let steps = account
                .steps
                .values()
                .map(|cell| (cell.revision, ACCOUNT_BYTES + STEP_BYTES + number_bytes(cell.units)));
            steps.chain([(account.numbered, name_bytes(name.as_str()) + ACCOUNT_BYTES)])
        });
        members.chain(cells).filter(move |(revision, _)| *revision > base)
    }
}

fn name_bytes(name: &str) -> usize {
    name.len() + 3
}

fn number_bytes(number: u64) -> usize {
    match number {
        0..=0x7f => 1,
        0x80..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
