//! The messages between entry VMs.

use model::{AccountName, Span, VmName};
use region::Gossip;
use serde::{Deserialize, Serialize};

/// What a message describes, which follows from the roles of sender and receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// One VM, to the relay of its zone.
    Vm,
    /// A zone, from its relay to another relay.
    Zone,
    /// The region, from a relay to the VMs of its zone.
    Region,
}

/// One live entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Random number that the VM's process drew at its start.
    pub incarnation: u64,
    /// Whether the process has run for a whole quota window.
    pub settled: bool,
    /// Whether the sender counts the VM among those that share quotas with it.
    pub shares: bool,
    /// Homes that the VM has selected.
    pub gossip: Gossip,
}

/// Largest estimated size of what a VM tells of its homes and loads.
const MAX_GOSSIP_BYTES: usize = 20_000;

impl Member {
    /// Returns an estimate of the encoded size, which is not below it.
    pub(crate) fn bytes(&self) -> usize {
        16 + gossip_bytes(&self.gossip)
    }
}

fn gossip_bytes(gossip: &Gossip) -> usize {
    let homes =
        gossip.homes.iter().map(|(service, vm)| service.as_str().len() + vm.as_str().len() + 7);
    let loads = gossip.loads.iter().map(|(service, load)| {
        let servers = load.servers.iter().map(|server| server.id.as_str().len() + 64);
        let slowness = load.slowness.iter().map(|(id, _)| id.as_str().len() + 13);
        let waiting = load.waiting.len() * 16;
        service.as_str().len() + 16 + servers.sum::<usize>() + slowness.sum::<usize>() + waiting
    });
    homes.sum::<usize>() + loads.sum::<usize>()
}

/// Leaves out the largest loads if the gossip is longer than `max` bytes or does not fit into a message.
/// Other VMs then divide the servers of these services as if this VM had granted none.
pub(crate) fn bounded(mut gossip: Gossip, max: usize) -> Gossip {
    while gossip_bytes(&gossip) > max.min(MAX_GOSSIP_BYTES) && !gossip.loads.is_empty() {
        let largest = (0..gossip.loads.len()).max_by_key(|n| gossip.loads[*n].1.servers.len());
        gossip.loads.remove(largest.unwrap_or(0));
    }
    gossip
}

/// Revision of the receiver's messages up to which the sender has applied them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Incarnation of the receiver's process that the revision belongs to.
    pub incarnation: u64,
    /// Revision up to which nothing is missing.
    pub revision: u64,
}

/// The changes of a table between two revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after which the changes were made; 0 for everything.
    pub base: u64,
    /// Revision up to which all changes are included; 0 if the message says nothing of the table.
    pub revision: u64,
    /// Revision of the sender's table. It is higher than `revision` if not all changes fit into one
    /// message.
    pub latest: u64,
    /// VMs that changed, or `None` for those that are no longer live.
    pub members: Vec<(VmName, Option<Member>)>,
    /// Numbers that the sender gave to accounts. They are used instead of the names.
    pub names: Vec<(u32, AccountName)>,
    /// For each account, how many steps ago its usage changed, by the sender's clock, and the units
    /// used in that step.
    pub usage: Vec<(u32, Vec<(i64, u64)>)>,
}

/// A message between two entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// VM that sends the message.
    pub from: VmName,
    /// Random number that the sender's process drew at its start.
    pub incarnation: u64,
    /// Number of the message within the incarnation.
    pub seq: u64,
    /// What the message describes.
    pub scope: Scope,
    /// The sender's clock, in microseconds.
    pub clock: u64,
    /// VM that the sender reports to, itself if it is the relay of its zone.
    pub relay: VmName,
    /// Whether the sender can be a relay, as it is not about to stop.
    pub able: bool,
    /// Time since the start of the sender's process.
    pub age: Span,
    /// What the sender has applied of the receiver's messages.
    pub heard: Ack,
    /// Whether the sender counts the receiver's usage, or does so as soon as the receiver counts that
    /// of the sender.
    pub counts: bool,
    /// VMs with which the sender shared quotas within the last window, with the time since. `None` if
    /// sender and receiver count each other's usage already.
    pub partners: Option<Vec<(VmName, Span)>>,
    /// Time since which the usage is not known to all VMs, as some do not share quotas with the sender.
    /// Zero if all do.
    pub divided: Span,
    /// Usage that the receiver's former process told the sender, each entry with its age. Sent for a
    /// short time after the receiver's start.
    pub former: Vec<(AccountName, Vec<(Span, u64)>)>,
    /// What changed since the revision that the receiver has acknowledged.
    pub delta: Delta,
}
