//! Inputs and outputs of the machine.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{
    Announcement, Catalogue, Duty, EditOutcome, Mark, Outcome, RefusalReason, RequestId,
    RetryReason, ServerId, Span, Ticket, Time, VmName, ZoneName,
};
use raft::WriteBatch;
use serde::{Deserialize, Serialize};
use state::{ClaimOutcome, Command, Placement, Revision, VersionedPlacement};

use crate::{contact::Contact, status::Status, wire::Message};

/// The time at which an input happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Monotonic time.
    pub now: Time,
    /// Milliseconds since the Unix epoch.
    pub wall: u64,
}

impl Clock {
    /// Both clocks at the same number of milliseconds, for tests and examples.
    #[must_use]
    pub fn at_millis(ms: u64) -> Self {
        Self { now: Time::from_micros(ms * 1_000), wall: ms }
    }
}

/// Something that happened outside the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Another VM's message arrived.
    Message {
        /// The sender, whose identity was checked.
        from: VmName,
        /// The message.
        message: Message,
    },
    /// A caller's request wants capacity.
    Submit {
        /// Its ticket.
        ticket: Ticket,
    },
    /// A granted request ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A request's caller left before it was granted.
    Abandon {
        /// The request.
        request: RequestId,
    },
    /// A backend server announced itself here.
    Announce {
        /// The announcement.
        announcement: Announcement,
        /// Its availability zone; this VM's own if it did not say.
        zone: Option<ZoneName>,
    },
    /// An operator declares what a backend server shall do.
    Mark {
        /// Number to answer to.
        call: u64,
        /// The server.
        server: ServerId,
        /// What it shall do.
        duty: Duty,
        /// Whether to accept it although some VM cannot be told.
        force: bool,
    },
    /// A command for the replicated state.
    Propose {
        /// Number to answer to.
        call: u64,
        /// The command.
        command: Command,
    },
    /// A read that sees every earlier accepted edit.
    Read {
        /// Number to answer to.
        call: u64,
    },
    /// An operator replaces a voter, or adds one if nothing is replaced.
    ReplaceVoter {
        /// Number to answer to.
        call: u64,
        /// The VM whose old copy leaves, if any.
        old: Option<VmName>,
        /// The VM whose present copy joins, if any.
        new: Option<VmName>,
    },
    /// A batch handed out in [`Output::Persist`] is synced.
    Persisted {
        /// Its number.
        id: u64,
    },
    /// What became of an order in [`Output::Order`].
    OrderEnded {
        /// The server.
        server: ServerId,
        /// The order's fencing number.
        fence: u64,
        /// Whether the server took it; if not, it is given again with a new number.
        taken: bool,
    },
    /// This VM stops: take no new roles and hand over those held.
    Drain,
    /// An operator asks for the state of this VM.
    Status {
        /// Number to answer to.
        call: u64,
    },
    /// An operator asks for all placements.
    Placements {
        /// Number to answer to.
        call: u64,
    },
    /// An operator asks where a request is.
    Find {
        /// Number to answer to.
        call: u64,
        /// The request.
        request: RequestId,
    },
}

/// What the driver shall do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another VM.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: Message,
    },
    /// Dispatch the request to this server, once.
    Granted {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Tell the caller that its request was refused and did not run.
    Refused {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When trying again may help.
        retry: Option<Span>,
    },
    /// Cancel a running request.
    Revoked {
        /// The request.
        request: RequestId,
    },
    /// Write this batch of the replicated log, sync it, then report [`Input::Persisted`].
    Persist {
        /// Its number.
        id: u64,
        /// Identity of the cluster.
        cluster: u64,
        /// What to write.
        persist: WriteBatch,
    },
    /// Give an order to a backend server; abandon it when its time is over.
    Order(Order),
    /// Answer an operator's or an internal call.
    Reply {
        /// The call's number.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// What every request needs has changed.
    Publish(PublishedState),
    /// A ticket was granted or sent again.
    Retried {
        /// Why.
        reason: RetryReason,
    },
    /// A state changed that operators want to read about.
    Log(LogEvent),
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Fencing number, larger than that of every earlier order to any server.
    pub fence: u64,
    /// What the server shall run.
    pub placement: Placement,
    /// Time in which the order must be taken: it ends within the lease of the leader that gave it.
    pub timeout: Span,
}

/// What every request needs of the control state.
#[derive(Clone, Debug)]
pub struct PublishedState {
    /// The catalogue in force here.
    pub catalogue: Arc<Catalogue>,
    /// Whether this VM may take callers' requests.
    pub ready: bool,
    /// Whom this VM is in contact with.
    pub contact: Contact,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Of an edit.
    Edit {
        /// What became of it.
        outcome: EditOutcome,
        /// Availability zones whose VMs all have it in force.
        confirmed: Vec<ZoneName>,
        /// Availability zones with a VM that has not confirmed it.
        unconfirmed: Vec<ZoneName>,
    },
    /// Of a claim.
    Claim(ClaimOutcome),
    /// Of a command without an outcome.
    Done,
    /// Of a placement: its version.
    Placed {
        /// Version of the placement.
        version: u64,
    },
    /// All placements.
    Placements(BTreeMap<ServerId, VersionedPlacement>),
    /// Reserved fencing numbers, from the first up to but without the second.
    Fence(u64, u64),
    /// The command certainly was not taken.
    NoQuorum,
    /// It is unknown whether the command was taken; sending it again is safe.
    Unknown,
    /// The catalogue is current: it includes every edit accepted before the read began.
    Current {
        /// Revision in force.
        revision: u64,
        /// The newest revisions, oldest first.
        history: Vec<Revision>,
    },
    /// A server's mark is held by all VMs that may grant it.
    Marked {
        /// The mark.
        mark: Mark,
        /// VMs that hold it.
        held: Vec<VmName>,
        /// VMs that could not be told.
        missing: Vec<VmName>,
        /// Whether it is kept in the replicated state, so that it survives restarts.
        kept: bool,
    },
    /// A refused administrative call.
    Refused {
        /// Why.
        why: String,
    },
    /// State of this VM.
    Status(Box<Status>),
    /// Where a request is.
    Found {
        /// Its phase, if this VM holds it.
        phase: Option<String>,
    },
}

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A VM was heard for the first time, or again.
    PeerUp(VmName),
    /// A VM was not heard for a while.
    PeerDown(VmName),
    /// The leader of the replicated log changed.
    Leader(Option<VmName>),
    /// Contact changed.
    Contact(Contact),
    /// A catalogue revision came into force here.
    Revision(u64),
    /// The replicated log was founded or joined.
    Formed(u64),
    /// A backend server's duty changed.
    Marked(ServerId, Duty),
}
