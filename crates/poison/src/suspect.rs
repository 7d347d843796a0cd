//! What VMs tell each other of parts.
//!
//! The types are serialized, so the names of fields are part of the protocol.

use model::{Part, ServerId, ServiceName, Span};
use serde::{Deserialize, Serialize};

/// The end of a server before its answer to a request with a part had gone on for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Server that ended.
    pub server: ServerId,
    /// Time since its end was noticed.
    pub age: Span,
    /// Whether the request was let through to try a blocked part.
    pub is_trial: bool,
    /// Whether the server answered others soon after, so that only a connection ended.
    pub is_refuted: bool,
}

/// What one VM knows of a part under which servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Service whose servers ended.
    pub service: ServiceName,
    /// The part.
    pub part: Part,
    /// Ends of servers since an answer with the part last went on, the latest ones.
    pub ends: Vec<End>,
    /// Time since an answer with the part last went on, if one did lately.
    pub cleared: Option<Span>,
    /// Time since the part was blocked. `None` if it is not blocked.
    pub blocked: Option<Span>,
    /// Time since a request was last let through.
    pub tried: Option<Span>,
}
