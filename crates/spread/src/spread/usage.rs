//! The usage of accounts at this VM, and in the region as far as this VM knows.

use model::{AccountName, Span, Time};

use super::{Charge, Spread, Used};
use crate::source::Source;

/// Largest estimated size of what a message tells of the usage of a former process.
const MAX_FORMER_BYTES: usize = 7_000;

/// What a former process used of an account, by the start of each step.
type FormerUsage = (AccountName, Vec<(Time, u64)>);

impl Spread {
    /// Records units that were used at this VM, or that were refunded if they are negative.
    pub fn record(&mut self, now: Time, account: &AccountName, units: i64) {
        self.start(now);
        self.record_at(now, account, units);
    }

    pub(super) fn record_at(&mut self, at: Time, account: &AccountName, units: i64) {
        if units >= 0 {
            self.own.add(account, self.step_of(at), units);
        } else {
            self.own.take(account, units.unsigned_abs());
        }
        let revision = self.own.revision();
        let charges = self.charges.entry(account.clone()).or_default();
        // All units that were used since the last message are acknowledged together.
        match charges.back_mut() {
            Some(last)
                if last.revision > self.sent.0
                    && (last.units >= 0) == (units >= 0)
                    && last.at <= at
                    && at - last.at < self.step =>
            {
                (last.revision, last.units) = (revision, last.units + units);
            }
            _ => charges.push_back(Charge { at, revision, units }),
        }
    }

    /// Records units that the VM's former process used, each entry with its age.
    pub fn restore(&mut self, now: Time, account: &AccountName, recent: &[(Span, u64)]) {
        self.start(now);
        for (age, units) in recent {
            let at = Time::from_micros(now.as_micros().saturating_sub(age.as_micros()));
            self.record_at(at, account, i64::try_from(*units).unwrap_or(i64::MAX));
        }
    }

    /// Returns the units used at this VM by account, each entry with its age, oldest first.
    pub fn own_usage(&self, now: Time) -> impl Iterator<Item = (&AccountName, Vec<(Span, u64)>)> {
        let first = self.first_counted(now);
        self.own.accounts().map(move |account| {
            let steps = self.own.steps(account).map(|(step, units)| (self.start_of(step), units));
            let steps = steps.filter(|(start, units)| *start >= first && *units > 0);
            (account, steps.map(|(start, units)| (now - start, units)).collect())
        })
    }

    /// Returns the units of an account that the VMs that share with this one used in the last window,
    /// and before they were separated from others, all VMs.
    #[must_use]
    pub fn used(&self, now: Time, account: &AccountName) -> Used {
        let me = &self.setup.vm;
        let (mut steps, heard): (Vec<(Time, u64)>, u64) = if let Some(role) = &self.role {
            let steps =
                role.region.steps(account).map(|(step, units)| (self.start_of(step), units));
            (steps.collect(), role.members.get(me).map_or(0, |source| source.ack().revision))
        } else if let Some(source) = self.counting_source() {
            (source.steps(account).collect(), source.heard.revision)
        } else {
            (Vec::new(), 0)
        };
        let first = self.first_counted(now);
        steps.retain(|(start, units)| *start >= first && *units > 0);
        let charges = self.charges.get(account).into_iter().flatten();
        let mut refunded = 0;
        for charge in charges.filter(|c| c.revision > heard && c.at >= first) {
            match u64::try_from(charge.units) {
                Ok(units) => steps.push((charge.at, units)),
                Err(_) => refunded += charge.units.unsigned_abs(),
            }
        }
        steps.sort_by_key(|(start, _)| *start);
        for (_, units) in steps.iter_mut().rev() {
            let part = refunded.min(*units);
            (*units, refunded) = (*units - part, refunded - part);
        }
        Used { steps }
    }

    /// Drops charges that the region's sums have, and those that are no longer in the window. The next
    /// sums may lack the charges of the time in which a relay is replaced.
    pub(super) fn drop_counted_charges(&mut self, now: Time) {
        let first = self.first_counted(now);
        let me = &self.setup.vm;
        let own = self.role.as_ref().and_then(|role| role.members.get(me));
        let views = [self.region.as_ref(), self.former.as_ref()].into_iter().flatten();
        let heard = views.map(|source| source.heard.revision);
        let heard = heard.chain(own.map(|source| source.ack().revision)).min().unwrap_or(0);
        let give_up = self.timing.give_up();
        self.charges.retain(|_, charges| {
            charges.retain(|charge| {
                let is_counted = charge.revision <= heard && now - charge.at >= give_up;
                charge.at >= first && !is_counted
            });
            !charges.is_empty()
        });
    }

    /// Returns what a relay's former process told, if the present one has just started.
    pub(super) fn former_usage(
        &self,
        now: Time,
        source: &Source,
    ) -> Vec<(AccountName, Vec<(Span, u64)>)> {
        if now - source.connected_at >= self.timing.give_up() {
            return Vec::new();
        }
        // It is told in parts that fit into a message, one after the other.
        let mut parts: Vec<Vec<&FormerUsage>> = vec![Vec::new()];
        let mut bytes = 0;
        for account in &source.former {
            let needed = account.0.as_str().len() + 6 + account.1.len() * 19;
            if bytes + needed > MAX_FORMER_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += needed;
            if let Some(part) = parts.last_mut() {
                part.push(account);
            }
        }
        let turn = usize::try_from(self.seq / 2).unwrap_or(0) % parts.len();
        let aged = |(start, units): &(Time, u64)| (now - *start, *units);
        let of_account =
            |(name, steps): &FormerUsage| (name.clone(), steps.iter().map(aged).collect());
        parts[turn].iter().copied().map(of_account).collect()
    }

    /// Takes over what this VM's former process told another relay, as far as it is not restored yet.
    pub(super) fn take_former_usage(
        &mut self,
        now: Time,
        former: &[(AccountName, Vec<(Span, u64)>)],
    ) {
        let Some(started) = self.started else { return };
        let first = self.first_counted(now);
        for (account, steps) in former {
            if !self.told.insert(account.clone()) {
                continue;
            }
            let steps = steps.iter().filter(|(age, _)| first + *age <= now);
            let told: u64 = steps.clone().map(|(_, units)| units).sum();
            let own = self.own.steps(account).filter(|(step, _)| self.start_of(*step) < started);
            let restored: u64 = own.map(|(_, units)| units).sum();
            // The newest usage is what the former process had not reported to the control VMs.
            let mut missing = told.saturating_sub(restored);
            let mut recent = Vec::new();
            for (age, units) in steps.rev() {
                let part = missing.min(*units);
                missing -= part;
                recent.push((*age, part));
            }
            self.restore(now, account, &recent);
        }
    }
}
