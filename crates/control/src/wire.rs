//! Messages between VMs.

use std::net::SocketAddr;

use model::{
    AccountName, Announcement, Mark, Outcome, RefusalReason, RequestId, ServerId, ServiceName,
    Span, Ticket, VmName, ZoneName,
};
use raft::{Envelope, Member, Voters};
use serde::{Deserialize, Serialize};
use state::Command;

/// State of a VM, sent to all others at an interval and when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Start of the sender's process.
    pub incarnation: u64,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// Whether the sender may grant tickets and hold limits.
    pub ready: bool,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// Digest of the marks that the sender holds.
    pub marks: u64,
    /// The sender's copy of the replicated log.
    pub member: Member,
    /// The cluster that it belongs to, if it was founded or joined.
    pub cluster: Option<u64>,
    /// Catalogue revision in force at the sender.
    pub revision: u64,
}

/// A message to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Here is how the replicated log was founded.
    Form {
        /// Identity of the cluster.
        cluster: u64,
        /// Its voters when it was founded.
        voters: Voters,
    },
    /// A message of the replicated log.
    Raft(Box<Envelope>),
    /// Append this command, if you lead.
    Propose {
        /// Start of the sender's process.
        incarnation: u64,
        /// Number of the proposal.
        token: u64,
        /// The command.
        command: Command,
    },
    /// Which entry must be applied for a current read?
    ReadIndex {
        /// Number of the read.
        token: u64,
    },
    /// Answer to [`Message::ReadIndex`].
    ReadAt {
        /// Number of the read.
        token: u64,
        /// The entry.
        index: u64,
    },
    /// An operator's change of voters, for the leader.
    ReplaceVoter {
        /// Number of the call.
        token: u64,
        /// The VM whose old copy leaves.
        old: Option<VmName>,
        /// The VM whose present copy joins.
        new: Option<VmName>,
    },
    /// Answer to [`Message::ReplaceVoter`].
    VoterReplaced {
        /// Number of the call.
        token: u64,
        /// Why it was refused, if it was.
        refused: Option<String>,
    },
    /// May this account start a request? Sent to the home of its limits.
    Admit {
        /// The request.
        request: RequestId,
        /// The account.
        account: AccountName,
        /// Estimated tokens.
        tokens: u32,
    },
    /// It may.
    Admitted {
        /// The request.
        request: RequestId,
    },
    /// It may not.
    OverLimit {
        /// The request.
        request: RequestId,
        /// Which limit.
        reason: RefusalReason,
        /// Time until trying again may help.
        retry: Span,
    },
    /// The request was admitted by an earlier home and still runs.
    Hold {
        /// The request.
        request: RequestId,
        /// The account.
        account: AccountName,
    },
    /// The request ended.
    Release {
        /// The request.
        request: RequestId,
        /// The account.
        account: AccountName,
        /// Whether it may have run.
        ran: bool,
    },
    /// A ticket for the broker of its service in the receiver's zone.
    Submit {
        /// The ticket.
        ticket: Ticket,
        /// Whether lower tiers may be cancelled for it.
        urgent: bool,
    },
    /// A request that runs, for a broker that took over.
    Placed {
        /// Its ticket.
        ticket: Ticket,
        /// The server that runs it.
        server: ServerId,
    },
    /// The request ended before it was dispatched, or its grant is not wanted.
    Withdraw {
        /// The service.
        service: ServiceName,
        /// The request.
        request: RequestId,
    },
    /// A granted request ended.
    Finish {
        /// The service.
        service: ServiceName,
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// Dispatch the request to this server.
    Grant {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// The request cannot be served in the sender's zone.
    Decline {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// How long it was predicted to wait there.
        #[serde(default)]
        wait: Span,
    },
    /// Cancel the running request.
    Revoke {
        /// The request.
        request: RequestId,
    },
    /// A backend server's announcement, for the broker of its service.
    Announce {
        /// The announcement; its time to live counts from now.
        announcement: Announcement,
    },
    /// A placed backend server announced itself; for the leader, which gives it orders.
    Seen {
        /// The announcement; its time to live counts from now.
        announcement: Announcement,
    },
    /// Operators' declarations about backend servers.
    Marks {
        /// Number to confirm, if the sender waits for it.
        token: Option<u64>,
        /// The declarations.
        marks: Vec<(ServerId, Mark)>,
    },
    /// The receiver's marks are held.
    MarksHeld {
        /// The number.
        token: u64,
    },
}
