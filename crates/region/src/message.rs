//! Messages that an entry VM and the home of a service exchange about requests.
//!
//! The types are serialized, so the names of fields and variants are part of the protocol.

use std::net::SocketAddr;

use broker::{Offer, RunningRequest};
use model::{Outcome, RefusalReason, RequestId, ServerId, ServiceName, Span, VmName};
use serde::{Deserialize, Serialize};

/// A message between a client VM, which holds requests, and the home of a service, which grants its
/// servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by the client VM: a request waits for a server.
    Submit(Offer),
    /// Sent by the client VM to a new home or in a new session: a request that was granted earlier
    /// is still running.
    Running(RunningRequest),
    /// Sent by the client VM: the answer to a granted request has started.
    Begun {
        /// Service that the request is for.
        service: ServiceName,
        /// Request whose answer has started.
        request: RequestId,
    },
    /// Sent by a client VM: a server reported its slowness.
    Speed {
        /// Service of the server.
        service: ServiceName,
        /// Server that reported.
        server: ServerId,
        /// Duration of work on the server, relative to a server of ordinary speed.
        slowness: f64,
    },
    /// Sent by the client VM: a granted request has ended.
    Finish {
        /// Service that the request is for.
        service: ServiceName,
        /// Request that has ended.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Sent by the client VM: the caller of a request left, so that it needs no server any more.
    Withdraw {
        /// Service that the request is for.
        service: ServiceName,
        /// Request to drop, whether waiting or granted.
        request: RequestId,
    },
    /// Sent by a client VM to the previous home: it has selected another home for the service, to
    /// which its open requests have moved. The previous home drops those that wait, and keeps the
    /// slots of those that run until it learns of them from the new home.
    Leave {
        /// Service whose home has changed.
        service: ServiceName,
    },
    /// Sent by the home: a request is granted a server.
    Grant {
        /// Request that is granted.
        request: RequestId,
        /// Server to which the request is to be sent.
        server: ServerId,
        /// Address at which the server listens.
        address: SocketAddr,
    },
    /// Sent by the home: a request is not granted a server and no longer waits for one.
    Decline {
        /// Request that is declined.
        request: RequestId,
        /// Reason that is given for the refusal.
        reason: RefusalReason,
        /// Predicted wait for a server; zero if none was predicted.
        wait: Span,
    },
}

impl Message {
    /// Returns the kind of the message, for the log.
    ///
    /// # Examples
    ///
    /// ```
    /// use region::Message;
    ///
    /// let message = Message::Leave { service: "desk".try_into()? };
    /// assert_eq!(message.kind(), "leave");
    /// # Ok::<(), model::Error>(())
    /// ```
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Running(_) => "running",
            Self::Begun { .. } => "begun",
            Self::Speed { .. } => "speed",
            Self::Finish { .. } => "finish",
            Self::Withdraw { .. } => "withdraw",
            Self::Leave { .. } => "leave",
            Self::Grant { .. } => "grant",
            Self::Decline { .. } => "decline",
        }
    }

    /// Returns whether the message is sent at once instead of at the next tick.
    pub(crate) fn is_urgent(&self) -> bool {
        !matches!(self, Self::Begun { .. } | Self::Speed { .. })
    }

    /// Returns the message as it must be sent when `elapsed` has passed since it was queued: the
    /// times that remain to a submitted request are shorter by then.
    pub(crate) fn aged(&self, elapsed: Span) -> Self {
        match self {
            Self::Submit(offer) => Self::Submit(offer.after(elapsed)),
            other => other.clone(),
        }
    }
}

/// What a server said of its limit in an answer, reported by a VM to the home of the service.
///
/// Reports are sent outside of sessions. A lost one is superseded by the report of a later answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Service of the server.
    pub service: ServiceName,
    /// Server that answered.
    pub server: ServerId,
    /// Requests a second that the server takes from all VMs together, if it says so.
    pub limit: Option<f64>,
    /// Time since the answer.
    pub age: Span,
}

/// Identifies a session between a client VM and a home.
///
/// The client VM opens sessions. In a new session it reports all its open requests to the home
/// again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Identifies the process of the client VM; drawn when the process starts.
    pub incarnation: u64,
    /// Counts the sessions that the process has opened, so that older ones can be told apart.
    pub count: u64,
}

/// A datagram of a session between a client VM and a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// VM that sends the datagram.
    pub from: VmName,
    /// Session that the datagram belongs to.
    pub session: Session,
    /// Whether the datagram goes from the client VM to the home, and not the other way.
    pub upward: bool,
    /// Sequence number of the first message in `notes`; numbers start at 0 in each session.
    pub first: u64,
    /// Messages with consecutive sequence numbers; empty in a mere acknowledgement or keepalive.
    pub notes: Vec<Message>,
    /// Cumulative acknowledgement: number of messages that the sender has received in order.
    pub heard: u64,
    /// Whether the home does not know the session, so that the client VM must open a new one.
    pub unknown: bool,
}
