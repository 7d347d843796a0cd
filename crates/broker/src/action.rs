//! Input and output of the broker.

use std::net::SocketAddr;

use model::{RefusalReason, RequestId, ServerId, Span, TIER_COUNT, Ticket, VmName};
use serde::{Deserialize, Serialize};

/// A ticket offered to a broker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The ticket.
    pub ticket: Ticket,
    /// The entry VM that holds the request.
    pub owner: VmName,
    /// Whether lower tiers may be cancelled to serve this ticket at once.
    pub urgent: bool,
    /// Servers that it was sent to before, without success.
    pub avoid: Vec<ServerId>,
    /// How it is served when it is late; nothing if it is then worthless.
    pub late: Option<LateLimits>,
}

impl Offer {
    /// The offer as it stands some time later.
    #[must_use]
    pub fn after(&self, time: Span) -> Self {
        let mut offer = self.clone();
        offer.ticket.budget = offer.ticket.budget - time;
        if let Some(late) = &mut offer.late {
            late.wait = late.wait - time;
            late.whole = late.whole - time;
        }
        offer
    }
}

/// A ticket that is of use beyond its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateLimits {
    /// Time left until the caller no longer waits for the first byte.
    pub wait: Span,
    /// Time left until the whole answer must have arrived.
    pub whole: Span,
    /// Longest pause between events that is of use; zero if any is.
    pub pause: Span,
}

/// A request that already runs, reported to a broker that took over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// The ticket.
    pub ticket: Ticket,
    /// The entry VM that holds the request.
    pub owner: VmName,
    /// The backend server that runs it.
    pub server: ServerId,
}

/// What the broker decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Dispatch the request to this server.
    Grant {
        /// The request.
        request: RequestId,
        /// The entry VM that holds it.
        owner: VmName,
        /// The chosen server.
        server: ServerId,
        /// Where that server listens.
        address: SocketAddr,
    },
    /// The request cannot be served here.
    Decline {
        /// The request.
        request: RequestId,
        /// The entry VM that holds it.
        owner: VmName,
        /// Why.
        reason: RefusalReason,
        /// How long it was predicted to wait here.
        wait: Span,
    },
    /// Cancel this running request: its slot was given to a higher tier.
    Revoke {
        /// The request.
        request: RequestId,
        /// The entry VM that holds it.
        owner: VmName,
    },
}

/// What one VM has in flight at one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub id: ServerId,
    /// Requests in flight.
    pub running: u32,
    /// Predicted seconds of their work.
    pub work: f64,
    /// Prompt tokens of those whose answer has not begun.
    pub unread: u32,
}

/// What another VM has at one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmLoad {
    /// Servers with requests in flight.
    pub servers: Vec<ServerLoad>,
    /// How long work takes at servers that said so since the last message, relative to usual.
    pub slowness: Vec<(ServerId, f64)>,
    /// By tier: tickets that wait and their predicted seconds of work.
    pub waiting: [(u32, f64); TIER_COUNT],
}
