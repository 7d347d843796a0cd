//! What entry VMs tell each other.

use model::{AccountName, Span, VmName};
use region::{Frame, Gossip};
use serde::{Deserialize, Serialize};

use crate::quota::{Relayed, Spent};

/// Interval at which the other entry VMs are told of changes: short against the time that a
/// request runs, so that two VMs seldom count on the same slot.
const SHARE_INTERVAL: Span = Span::from_millis(10);
/// Other entry VMs that are told once in that interval. With more, a VM tells them
/// less often, so that the datagrams that it sends in a second do not grow with their number.
const VMS_PER_INTERVAL: usize = 4;

/// One VM's choice of homes and use of quotas. Each message is complete, so one that is lost is made up
/// for by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The sender.
    pub vm: VmName,
    /// Drawn at the start of its process.
    pub incarnation: u64,
    /// Increases with every message.
    pub seq: u64,
    /// Whom it has chosen as homes.
    pub region: Gossip,
    /// Number under which it counts its use of quotas, and whether it knows all use of the last
    /// window.
    pub counts: (u64, bool),
    /// What it used of quotas.
    pub spent: Vec<(AccountName, Spent)>,
    /// What a VM that it no longer hears had used.
    pub relayed: Option<Relayed>,
}

/// What entry VMs send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// To all others.
    Load(Load),
    /// On requests, between a VM and the home of a service.
    Frame(Frame),
}

/// How long a VM waits between two messages to this many others.
pub(crate) fn share_interval(others: usize) -> Span {
    let times = u64::try_from((others / VMS_PER_INTERVAL).max(1)).unwrap_or(u64::MAX);
    Span::from_micros(SHARE_INTERVAL.as_micros().saturating_mul(times))
}
