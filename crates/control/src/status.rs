//! Status of an entry VM, its peers and its backend servers, as operators read it.

use model::{Announcement, Duty, ServerId, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::contact::Contact;

/// Status of one entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM that answered.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// How much of the cluster the VM can reach.
    pub contact: Contact,
    /// Whether the VM accepts requests of callers.
    pub ready: bool,
    /// Whether the VM is stopping.
    pub draining: bool,
    /// Catalogue revision in force at the VM.
    pub revision: u64,
    /// Leader of the replicated log; `None` if no leader is known.
    pub leader: Option<VmName>,
    /// Current term of the replicated log; 0 if the VM holds no copy.
    pub term: u64,
    /// Index of the last entry that the VM knows to be committed; 0 if it holds no copy.
    pub commit: u64,
    /// Voters of the replicated log, as text; empty if the VM holds no copy.
    pub voters: Vec<String>,
    /// Claims of idempotency keys in the replicated state.
    pub claims: usize,
    /// Requests of callers that the VM holds, in any phase.
    pub open: usize,
    /// Admitted requests that have not ended, of the accounts whose limits the VM enforces.
    pub held: usize,
    /// Requests that the brokers of the VM have granted and that have not ended.
    pub running: usize,
    /// Tickets that are queued at the brokers of the VM.
    pub waiting: usize,
    /// The other configured VMs, as this VM knows them.
    pub peers: Vec<PeerStatus>,
    /// Backend servers that the VM grants or holds a mark of.
    pub servers: Vec<ServerStatus>,
}

/// Status of another VM, as its heartbeats report it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the other VM.
    pub vm: VmName,
    /// Availability zone of the other VM.
    pub zone: ZoneName,
    /// Whether a heartbeat of the VM arrived recently.
    pub live: bool,
    /// Catalogue revision in force at the VM by its last heartbeat; 0 before the first.
    pub revision: u64,
}

/// Status of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Id of the server.
    pub id: ServerId,
    /// The duty that operators set, serving by default.
    pub duty: Duty,
    /// The server's announcement; `None` if no broker of this VM knows the server.
    pub announcement: Option<Announcement>,
    /// Requests granted on the server that have not ended; 0 without an announcement.
    pub running: u32,
    /// Observed duration relative to the predicted one; 1 is as predicted.
    pub slowness: f64,
}
