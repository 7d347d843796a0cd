//! State of one VM, for operators.

use model::{Announcement, Duty, ServerId, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::contact::Contact;

/// State of one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whom it is in contact with.
    pub contact: Contact,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Catalogue revision in force here.
    pub revision: u64,
    /// Leader of the replicated log, if known.
    pub leader: Option<VmName>,
    /// Term of the replicated log.
    pub term: u64,
    /// Last committed entry known here.
    pub commit: u64,
    /// Voters of the replicated log.
    pub voters: Vec<String>,
    /// Claims of idempotency keys that are kept.
    pub claims: usize,
    /// Requests of callers that this VM holds.
    pub open: usize,
    /// Running requests of the accounts whose home this VM is.
    pub held: usize,
    /// Requests that the brokers of this VM have granted and that have not ended.
    pub running: usize,
    /// Tickets that wait at the brokers of this VM.
    pub waiting: usize,
    /// Other VMs.
    pub peers: Vec<PeerStatus>,
    /// Backend servers that this VM grants or has declarations about.
    pub servers: Vec<ServerStatus>,
}

/// State of another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it was heard lately.
    pub live: bool,
    /// Catalogue revision in force there, as last heard.
    pub revision: u64,
}

/// State of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub id: ServerId,
    /// What operators want of it.
    pub duty: Duty,
    /// Its announcement, if this VM grants it.
    pub announcement: Option<Announcement>,
    /// Requests granted and not ended.
    pub running: u32,
    /// Observed duration relative to the prediction; 1 is ordinary.
    pub slowness: f64,
}
