//! The UDP messages between entry VMs.
//!
//! Each VM regularly sends its [`LoadReport`] to all other entry VMs. Frames carry messages about
//! requests between an entry VM and the home of a service, the VM whose broker grants its servers.

use model::{AccountName, Span, VmName};
use poison::Suspect;
use region::{Frame, Gossip, LimitReport};
use serde::{Deserialize, Serialize};

use crate::quota::{RelayedUsage, UsageReport};

/// Interval of the reports after changes. It is short compared with the run time of a request, so
/// that two VMs seldom count on the same slot.
const SHARE_INTERVAL: Span = Span::from_millis(10);
/// Number of other entry VMs per [`SHARE_INTERVAL`] between two reports. With more VMs, each one
/// reports less often, so that the datagrams that it sends per second do not grow with their number.
const VMS_PER_INTERVAL: usize = 4;

/// The homes that an entry VM has chosen and its usage of quotas. Each report is complete, so a
/// lost one is superseded by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The VM that sends the report.
    pub vm: VmName,
    /// A random number that the sender's process draws at its start.
    pub incarnation: u64,
    /// Sequence number within the incarnation. A report whose number is not greater than that of
    /// the last one received is ignored.
    pub seq: u64,
    /// The VMs that the sender has chosen as homes of services.
    pub region: Gossip,
    /// Lineage of the sender's usage counters (see [`Quotas::lineage`](crate::Quotas::lineage)),
    /// and whether the sender knows all usage of the last window.
    pub counts: (u64, bool),
    /// Usage of quotas at the sender, by account.
    pub spent: Vec<(AccountName, UsageReport)>,
    /// Last known usage of a VM that the sender no longer receives reports from, if there is one.
    pub relayed: Option<RelayedUsage>,
}

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A report to all other entry VMs.
    Load(LoadReport),
    /// Messages about requests, between an entry VM and the home of a service.
    Frame(Frame),
    /// Limits that servers named in answers, to the home of their service.
    Limits(Vec<LimitReport>),
    /// Parts of requests under which servers ended, as far as the sender knows.
    Suspects(Vec<Suspect>),
}

/// Returns the time between two reports after changes, with `others` other entry VMs.
pub(crate) fn share_interval(others: usize) -> Span {
    let times = u64::try_from((others / VMS_PER_INTERVAL).max(1)).unwrap_or(u64::MAX);
    Span::from_micros(SHARE_INTERVAL.as_micros().saturating_mul(times))
}
