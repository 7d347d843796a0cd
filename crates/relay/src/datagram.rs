//! The UDP messages between entry VMs.
//!
//! Digests spread the state of the VMs over the region. Frames carry messages about requests between
//! an entry VM and the home of a service, the VM whose broker grants its servers.

use poison::Suspect;
use region::{Frame, LimitReport};
use serde::{Deserialize, Serialize};
use spread::Digest;

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The state of a VM, a zone or the region.
    Digest(Digest),
    /// Messages about requests, between an entry VM and the home of a service.
    Frame(Frame),
    /// Limits that servers named in answers, to the home of their service.
    Limits(Vec<LimitReport>),
    /// Parts of requests under which servers ended, as far as the sender knows.
    Suspects(Vec<Suspect>),
}
