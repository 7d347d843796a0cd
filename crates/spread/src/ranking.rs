//! The order in which the VMs of a zone become its relay.

use model::{Span, VmName, ZoneName, unit_hash};

/// Number of ages that are told apart within a window.
const AGES: u64 = 4;

/// What makes a VM a better relay than others. Greater ranks are better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether the VM is not about to stop. Whether it hears control VMs must not count: all VMs lose
    /// and regain them at different moments, and each change of a relay divides the region for a while.
    able: bool,
    /// Time for which its process has run, in quarters of the quota window. One that has not run for
    /// a window lacks the usage from before its start.
    age: u64,
    lot: f64,
}

impl Rank {
    pub(crate) fn new(
        (zone, vm): (&ZoneName, &VmName),
        able: bool,
        (age, window): (Span, Span),
    ) -> Self {
        let age = age.min(window).as_micros() * AGES / window.as_micros().max(1);
        Self { able, age, lot: unit_hash(zone.as_str(), vm.as_str()) }
    }
}

/// Returns the VM with the highest rank.
pub(crate) fn best<'a>(vms: impl IntoIterator<Item = (&'a VmName, Rank)>) -> Option<&'a VmName> {
    let ranked = vms.into_iter().reduce(|a, b| if b.1 > a.1 { b } else { a });
    ranked.map(|(vm, _)| vm)
}
