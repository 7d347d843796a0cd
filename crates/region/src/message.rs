//! What entry VMs tell each other about requests.

use std::net::SocketAddr;

use broker::{Offer, RunningRequest};
use model::{Outcome, RefusalReason, RequestId, ServerId, ServiceName, Span, VmName};
use serde::{Deserialize, Serialize};

/// One message between a VM and the home of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request wants a server.
    Submit(Offer),
    /// A request runs that an earlier home granted.
    Running(RunningRequest),
    /// The answer to a granted request has begun.
    Begun {
        /// The service.
        service: ServiceName,
        /// The request.
        request: RequestId,
    },
    /// A server said how long its work takes, relative to usual.
    Speed {
        /// The service.
        service: ServiceName,
        /// The server.
        server: ServerId,
        /// Its word.
        slowness: f64,
    },
    /// A granted request has ended.
    Finish {
        /// The service.
        service: ServiceName,
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// A request no longer wants a server.
    Withdraw {
        /// The service.
        service: ServiceName,
        /// The request.
        request: RequestId,
    },
    /// The VM has another home for this service from now on.
    Leave {
        /// The service.
        service: ServiceName,
    },
    /// A request is granted a server.
    Grant {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// A request is not granted a server.
    Decline {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// How long it was predicted to wait.
        wait: Span,
    },
}

impl Message {
    /// Whether the other side should hear it at once.
    pub(crate) fn is_urgent(&self) -> bool {
        !matches!(self, Self::Begun { .. } | Self::Speed { .. })
    }

    /// The note as it reads when it is sent some time after it was written.
    pub(crate) fn after(&self, time: Span) -> Self {
        match self {
            Self::Submit(offer) => Self::Submit(offer.after(time)),
            other => other.clone(),
        }
    }
}

/// Names one exchange between a VM and a home: a VM that starts over says everything again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Drawn at the start of the process of the VM whose requests they are.
    pub incarnation: u64,
    /// Increases with every exchange that the process opens.
    pub count: u64,
}

/// A datagram between a VM and a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: VmName,
    /// The exchange.
    pub session: Session,
    /// Whether it goes to the home.
    pub upward: bool,
    /// Number of the first note.
    pub first: u64,
    /// Consecutive notes.
    pub notes: Vec<Message>,
    /// Notes of the other side that have arrived, in order.
    pub heard: u64,
    /// Whether the sender does not know the exchange, so that it must be opened anew.
    pub unknown: bool,
}
