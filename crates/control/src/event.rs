//! Inputs, outputs and answers of the machine.
//!
//! The driver turns timers, sockets, disks and calls into [`Input`]s and performs the [`Output`]s
//! that [`Machine::step`](crate::Machine::step) returns.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{
    Announcement, Catalogue, Duty, EditOutcome, Mark, Outcome, RefusalReason, RequestId,
    RetryReason, ServerId, Span, Ticket, Time, VmName, ZoneName,
};
use raft::WriteBatch;
use serde::{Deserialize, Serialize};
use state::{ClaimOutcome, Command, Placement, Revision, VersionedPlacement};

use crate::{contact::Contact, status::Status, wire::Message};

/// Readings of the monotonic and the wall clock when an input happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Monotonic time since an origin that the driver chooses.
    pub now: Time,
    /// Wall-clock time in milliseconds since the Unix epoch; it may go back.
    pub wall: u64,
}

impl Clock {
    /// Returns a reading with both clocks at the same number of milliseconds, for tests and
    /// examples.
    #[must_use]
    pub fn at_millis(ms: u64) -> Self {
        Self { now: Time::from_micros(ms * 1_000), wall: ms }
    }
}

/// An event outside the machine, passed to [`Machine::step`](crate::Machine::step).
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; runs everything whose time has come.
    Tick,
    /// A message from another VM arrived.
    Message {
        /// The sender, which the driver has authenticated.
        from: VmName,
        /// The message, which the driver has decoded.
        message: Message,
    },
    /// A caller's request asks for capacity.
    ///
    /// It is answered by [`Output::Granted`] or [`Output::Refused`], unless the caller leaves
    /// first.
    Submit {
        /// The ticket of the request, which this VM must not hold yet.
        ticket: Ticket,
    },
    /// A granted request ended.
    Finish {
        /// Id of the granted request.
        request: RequestId,
        /// How the request ended; after [`Outcome::NotSent`] it is queued again.
        outcome: Outcome,
    },
    /// A request's caller left before the request was granted.
    Abandon {
        /// Id of the abandoned request.
        request: RequestId,
    },
    /// A backend server announced itself at this VM.
    Announce {
        /// The announcement, whose time to live starts now.
        announcement: Announcement,
        /// The server's availability zone; `None` stands for the zone of this VM.
        zone: Option<ZoneName>,
    },
    /// An operator sets the duty of a backend server.
    Mark {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
        /// The server whose duty is set.
        server: ServerId,
        /// Whether the server may get new requests from now on and, if not, whether it will return.
        duty: Duty,
        /// Whether to accept the duty although a VM that may grant the server is unreachable.
        force: bool,
    },
    /// Proposes a command for the replicated state.
    Propose {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
        /// The command to replicate.
        command: Command,
    },
    /// Reads the catalogue with every edit that was accepted before the call.
    Read {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
    },
    /// An operator replaces, adds or removes a voter of the replicated log.
    ReplaceVoter {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
        /// The VM whose old copy of the log leaves; `None` if a voter is only added.
        old: Option<VmName>,
        /// The VM whose present copy of the log joins; `None` if a voter is only removed.
        new: Option<VmName>,
    },
    /// A batch of [`Output::Persist`], and with it every earlier batch, is synced to disk.
    Persisted {
        /// Id of the batch.
        id: u64,
    },
    /// An order of [`Output::Order`] was taken, refused or timed out.
    OrderEnded {
        /// The server that the order was sent to.
        server: ServerId,
        /// Fencing number of the order.
        fence: u64,
        /// Whether the server took the order; if not, it is sent again with a new fencing number.
        taken: bool,
    },
    /// This VM stops: it takes no new roles and hands over those that it holds.
    Drain,
    /// An operator asks for the status of this VM.
    Status {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
    },
    /// An operator asks for all placements.
    Placements {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
    },
    /// An operator asks for the phase of a request.
    Find {
        /// Call id, returned in [`Output::Reply`].
        call: u64,
        /// Id of the request to look up.
        request: RequestId,
    },
}

/// An action for the driver to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another VM. It may be lost, but messages on one link keep their order.
    Send {
        /// The receiver, never this VM itself.
        to: VmName,
        /// The message to encode and send.
        message: Message,
    },
    /// Dispatch the request to this server, once.
    Granted {
        /// Id of the granted request.
        request: RequestId,
        /// The server to dispatch the request to.
        server: ServerId,
        /// Address at which the server accepts requests.
        address: SocketAddr,
    },
    /// Tell the caller that its request was refused and did not run.
    Refused {
        /// Id of the refused request.
        request: RequestId,
        /// Why the request was refused.
        reason: RefusalReason,
        /// Time after which a retry may succeed; `None` if the deadline cannot be met.
        retry: Option<Span>,
    },
    /// Cancel a running request.
    Revoked {
        /// Id of the request to cancel.
        request: RequestId,
    },
    /// Write this batch of the replicated log, sync it, then report [`Input::Persisted`].
    Persist {
        /// Id of the batch; the batches of one process have increasing ids.
        id: u64,
        /// Id of the cluster that the log belongs to.
        cluster: u64,
        /// The log entries, hard state and snapshot to write.
        persist: WriteBatch,
    },
    /// Send an order to a backend server, and give up when its timeout has passed.
    Order(Order),
    /// Answer a call of an operator or of this process.
    Reply {
        /// The call id that the input carried.
        call: u64,
        /// The answer to the call.
        answer: Answer,
    },
    /// Replace the state that the traffic threads read.
    Publish(PublishedState),
    /// Count a ticket that is queued or sent again.
    Retried {
        /// Why the ticket is sent again.
        reason: RetryReason,
    },
    /// Write a line to the log for operators.
    Log(LogEvent),
}

/// An order to a backend server, sent by the leader of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server that receives the order.
    pub server: ServerId,
    /// Address at which the server accepts orders.
    pub address: SocketAddr,
    /// Fencing number, larger than that of every earlier order to any server.
    pub fence: u64,
    /// The model that the server shall run.
    pub placement: Placement,
    /// Time within which the server must take the order. It ends within the lease of the leader
    /// that sent the order.
    pub timeout: Span,
}

/// The part of the control state that every request reads.
#[derive(Clone, Debug)]
pub struct PublishedState {
    /// The catalogue in force at this VM.
    pub catalogue: Arc<Catalogue>,
    /// Whether this VM accepts requests of callers: it may hold roles, has a catalogue or a quorum,
    /// and is not draining.
    pub ready: bool,
    /// How much of the cluster this VM can reach.
    pub contact: Contact,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Answer to an edit of the catalogue.
    Edit {
        /// Outcome of the edit: the revision that it made, or why it was not accepted.
        outcome: EditOutcome,
        /// Availability zones in which every VM has the revision in force.
        confirmed: Vec<ZoneName>,
        /// Availability zones with a VM that has not confirmed the revision.
        unconfirmed: Vec<ZoneName>,
    },
    /// Answer to a claim of an idempotency key.
    Claim(ClaimOutcome),
    /// A command or a change of voters that has no other outcome is done.
    Done,
    /// Answer to a placement.
    Placed {
        /// Version of the placement, the base of the next one.
        version: u64,
    },
    /// All placements, by server.
    Placements(BTreeMap<ServerId, VersionedPlacement>),
    /// Reserved fencing numbers: the first, and the end of the range, which is excluded.
    Fence(u64, u64),
    /// The command was certainly not applied, or a read or a change of voters got no answer in
    /// time.
    NoQuorum,
    /// The command may have been applied; sending it again is safe.
    Unknown,
    /// The catalogue is current: it includes every edit accepted before the read began.
    Current {
        /// Catalogue revision in force.
        revision: u64,
        /// The newest revisions, oldest first.
        history: Vec<Revision>,
    },
    /// A server's duty is set, as far as `missing` and `kept` show.
    Marked {
        /// The mark that holds the new duty.
        mark: Mark,
        /// VMs that have confirmed the mark.
        held: Vec<VmName>,
        /// VMs that may grant the server and have not confirmed the mark.
        missing: Vec<VmName>,
        /// Whether the mark is in the replicated state, so that it survives restarts.
        kept: bool,
    },
    /// The administrative call was refused.
    Refused {
        /// The reason, as text for the operator.
        why: String,
    },
    /// The status of this VM.
    Status(Box<Status>),
    /// Phase of a request.
    Found {
        /// The phase as text; `None` if this VM does not hold the request.
        phase: Option<String>,
    },
}

/// A change of state that the driver writes to the log for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A VM sent its first heartbeat, or its first one after it was lost.
    PeerUp(VmName),
    /// A VM sent no heartbeat for a while and counts as lost.
    PeerDown(VmName),
    /// The leader of the replicated log changed; `None` if no leader is known.
    Leader(Option<VmName>),
    /// The contact of this VM changed.
    Contact(Contact),
    /// This catalogue revision came into force at this VM.
    Revision(u64),
    /// This VM founded or joined the cluster with this id, or found its log on disk.
    Formed(u64),
    /// The duty of a backend server changed.
    Marked(ServerId, Duty),
}
