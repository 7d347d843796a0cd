//! Messages between VMs, and the heartbeat that carries a VM's state.
//!
//! They are serialized: names and order of fields and variants are part of the format. A message
//! may be lost; its sender sends it again or lets the receiver's state expire.

use std::net::SocketAddr;

use model::{
    AccountName, Announcement, Mark, Outcome, RefusalReason, RequestId, ServerId, ServiceName,
    Span, Ticket, VmName, ZoneName,
};
use raft::{Envelope, Member, Voters};
use serde::{Deserialize, Serialize};
use state::Command;

/// State of a VM, sent to all others at [`HEARTBEAT_INTERVAL`](crate::HEARTBEAT_INTERVAL) and when
/// it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Start of the sender's process in microseconds since the Unix epoch. A larger value than
    /// before means that the VM restarted.
    pub incarnation: u64,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender may grant tickets and enforce limits.
    pub ready: bool,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// Digest of the marks that the sender holds; equal digests need no exchange of marks.
    pub marks: u64,
    /// The sender's copy of the replicated log.
    pub member: Member,
    /// Id of the cluster that the copy belongs to; `None` until the log is founded or joined.
    pub cluster: Option<u64>,
    /// Catalogue revision in force at the sender.
    pub revision: u64,
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive and in this state.
    Heartbeat(Heartbeat),
    /// How the replicated log was founded, for a VM that holds no copy of it.
    Form {
        /// Id of the cluster to join.
        cluster: u64,
        /// Voters with which a new copy of the log starts.
        voters: Voters,
    },
    /// A message of the replicated log.
    Raft(Box<Envelope>),
    /// Asks the leader to append a command.
    Propose {
        /// Start of the sender's process in microseconds since the Unix epoch. A response to an
        /// earlier process of the VM is ignored.
        incarnation: u64,
        /// Number of the call at the sender, by which it matches the response.
        token: u64,
        /// The command to append.
        command: Command,
    },
    /// Asks the leader which log entry must be applied before a current read.
    ReadIndex {
        /// Number of the read at the sender.
        token: u64,
    },
    /// Answer to [`Message::ReadIndex`].
    ReadAt {
        /// Number of the read at the receiver.
        token: u64,
        /// Index of the log entry that the read waits for.
        index: u64,
    },
    /// Asks the leader to replace, add or remove a voter for an operator.
    ReplaceVoter {
        /// Number of the call at the sender.
        token: u64,
        /// The VM whose old copy leaves; `None` if a voter is only added.
        old: Option<VmName>,
        /// The VM whose present copy joins; `None` if a voter is only removed.
        new: Option<VmName>,
    },
    /// Answer to [`Message::ReplaceVoter`].
    VoterReplaced {
        /// Number of the call at the receiver.
        token: u64,
        /// Why the replacement was refused or failed; `None` if it is committed.
        refused: Option<String>,
    },
    /// Asks the home of an account's limits to admit a request.
    Admit {
        /// Id of the request.
        request: RequestId,
        /// The account that the request is charged to.
        account: AccountName,
        /// Estimated tokens of prompt and answer together.
        tokens: u32,
    },
    /// Answer to [`Message::Admit`]: the request is within the limits.
    Admitted {
        /// Id of the admitted request.
        request: RequestId,
    },
    /// Answer to [`Message::Admit`]: the request exceeds a limit.
    OverLimit {
        /// Id of the request that was not admitted.
        request: RequestId,
        /// Which limit is exceeded, or that the account is unknown.
        reason: RefusalReason,
        /// Time after which a retry may be admitted.
        retry: Span,
    },
    /// An admitted request has not ended. Sent to the home of its account at an interval and when
    /// the home moves.
    Hold {
        /// Id of the admitted request.
        request: RequestId,
        /// The account that the request is charged to.
        account: AccountName,
    },
    /// The request ended. Sent to the home of its account.
    Release {
        /// Id of the request that ended.
        request: RequestId,
        /// The account that the request was charged to.
        account: AccountName,
        /// Whether the request may have run; if not, what it took from the limits is returned.
        ran: bool,
    },
    /// A ticket for the broker of its service in the receiver's zone.
    Submit {
        /// The ticket, with the time that is left until its deadline.
        ticket: Ticket,
        /// Whether lower tiers may be cancelled for the ticket.
        urgent: bool,
    },
    /// A request that runs. Sent to its broker at an interval and when the broker moves.
    Placed {
        /// Ticket of the running request.
        ticket: Ticket,
        /// The server that runs the request.
        server: ServerId,
    },
    /// The request ended before it was dispatched, or its grant is not wanted.
    Withdraw {
        /// The service of the request, which selects the broker.
        service: ServiceName,
        /// Id of the request to withdraw.
        request: RequestId,
    },
    /// A granted request ended.
    Finish {
        /// The service of the request, which selects the broker.
        service: ServiceName,
        /// Id of the request that ended.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Dispatch the request to this server.
    Grant {
        /// Id of the granted request.
        request: RequestId,
        /// The server that was chosen.
        server: ServerId,
        /// Address at which the server accepts requests.
        address: SocketAddr,
    },
    /// The request cannot be served in the sender's zone.
    Decline {
        /// Id of the declined request.
        request: RequestId,
        /// Why the broker declined the request.
        reason: RefusalReason,
        /// Predicted wait of the request in the sender's zone.
        #[serde(default)]
        wait: Span,
    },
    /// Cancel the running request.
    Revoke {
        /// Id of the request to cancel.
        request: RequestId,
    },
    /// A backend server's announcement, for the broker of its service.
    Announce {
        /// The announcement; its time to live starts at the receipt.
        announcement: Announcement,
    },
    /// A placed backend server announced itself; for the leader, which sends it orders.
    Seen {
        /// The announcement; its time to live starts at the receipt.
        announcement: Announcement,
    },
    /// Operators' marks of backend servers.
    Marks {
        /// Number to confirm with [`Message::MarksHeld`]; `None` if no confirmation is needed.
        token: Option<u64>,
        /// The marks, by server.
        marks: Vec<(ServerId, Mark)>,
    },
    /// Answer to [`Message::Marks`]: the sender holds these marks or newer ones.
    MarksHeld {
        /// The number of the confirmed message.
        token: u64,
    },
}
