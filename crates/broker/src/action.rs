//! Messages that the broker takes and returns: offered tickets, actions, and load reports of VMs.

use std::net::SocketAddr;

use model::{RefusalReason, RequestId, ServerId, Span, TIER_COUNT, Ticket, VmName};
use serde::{Deserialize, Serialize};

/// A ticket that an entry VM submits to a broker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The ticket to place; its `budget` counts from the moment at which the broker receives the
    /// offer.
    pub ticket: Ticket,
    /// The entry VM that holds the request and receives the broker's decision.
    pub owner: VmName,
    /// Whether requests of lower tiers may be cancelled or declined to serve this ticket at once.
    pub urgent: bool,
    /// Servers to which the request was already sent without success.
    pub avoid: Vec<ServerId>,
    /// Limits within which an answer after the ticket's budget is still useful (a soft deadline);
    /// `None` if an answer after the budget is worthless (a hard deadline).
    pub late: Option<LateLimits>,
}

impl Offer {
    /// Returns the offer with `time` subtracted from its budget and from its late limits.
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

/// Limits of a ticket with a soft deadline, whose answer is still useful after its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateLimits {
    /// Time left until the caller stops waiting for the first byte.
    pub wait: Span,
    /// Time left until the last byte of the answer must have arrived.
    pub whole: Span,
    /// Longest gap between two events of the answer that the caller accepts; zero if there is no
    /// limit.
    pub pause: Span,
}

/// A request that already runs on a backend server.
///
/// Entry VMs report it to a broker that takes over the service, and repeat the report to confirm
/// that the request still runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// The ticket with which the request was granted.
    pub ticket: Ticket,
    /// The entry VM that holds the request and reports how it ends.
    pub owner: VmName,
    /// The backend server that runs the request.
    pub server: ServerId,
}

/// A decision of the broker, to be carried out by the request's entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Dispatch the request to this server.
    Grant {
        /// The request that is granted.
        request: RequestId,
        /// The entry VM that holds the request.
        owner: VmName,
        /// The backend server to send it to.
        server: ServerId,
        /// The address at which that server listened at the time of the grant.
        address: SocketAddr,
    },
    /// The request is not placed by this broker.
    Decline {
        /// The request that is declined.
        request: RequestId,
        /// The entry VM that holds the request.
        owner: VmName,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// Predicted wait in this broker's queue; zero if none was predicted.
        wait: Span,
    },
    /// Cancel this running request because its slot was given to a request of a higher tier.
    Revoke {
        /// The request to cancel.
        request: RequestId,
        /// The entry VM that holds the request.
        owner: VmName,
    },
}

/// The load that one VM has placed on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The backend server on which the requests run.
    pub id: ServerId,
    /// Number of requests in flight.
    pub running: u32,
    /// Predicted seconds of work of these requests, at a server of ordinary speed.
    pub work: f64,
    /// Prompt tokens of the requests whose answer has not started: the server has not read these
    /// prompts to the end yet.
    pub unread: u32,
}

impl ServerLoad {
    /// Returns the load of a server without requests.
    pub(crate) fn idle(id: &ServerId) -> Self {
        Self { id: id.clone(), running: 0, work: 0.0, unread: 0 }
    }
}

/// The load that one VM has placed and queued for one service, reported to the other VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmLoad {
    /// Load on each server where the VM has requests in flight.
    pub servers: Vec<ServerLoad>,
    /// Slowness of servers that reported it since the last message: the time that work takes there,
    /// relative to a server of ordinary speed.
    pub slowness: Vec<(ServerId, f64)>,
    /// For each tier, the number of waiting tickets and their predicted seconds of work.
    pub waiting: [(u32, f64); TIER_COUNT],
}

impl VmLoad {
    /// Returns whether the VM has nothing in flight and nothing waiting, and reports no slowness.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let waits = self.waiting.iter().any(|(tickets, _)| *tickets > 0);
        self.servers.is_empty() && self.slowness.is_empty() && !waits
    }
}
