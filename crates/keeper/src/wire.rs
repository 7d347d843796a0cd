//! Messages between control VMs, and the calls and answers of entry VMs, operators and backend
//! servers.
//!
//! The serialized types travel between VMs, so the names and the order of their fields and variants
//! must not change.

use std::sync::Arc;

use edition::{Offer, Patch, Request};
use model::{AccountName, ServerId, ServiceName, Span, VmName, ZoneName};
use poison::Suspect;
use raft::{Envelope, Member, Voters};
use rollout::{Order, Phase, Report, Rollout};
use serde::{Deserialize, Serialize};

use crate::registry::{Server, ServerStatus};

/// A server's announcement and its age when the message was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedServer {
    /// The latest announcement of the server.
    pub server: Server,
    /// Time since a control VM received the announcement from the server.
    pub age: Span,
}

/// A message between control VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A periodic heartbeat, which also discovers other control VMs.
    Hello {
        /// Random number that the sender draws at the start of its process; it reveals restarts.
        incarnation: u64,
        /// Availability zone of the sender.
        zone: ZoneName,
        /// The sender's identity as a member of the replicated log.
        member: Member,
        /// Identity of the log that the sender belongs to; `None` until it founds or joins one.
        cluster: Option<u64>,
        /// Control VMs from which the sender received a heartbeat recently.
        known: Vec<VmName>,
    },
    /// Asks the receiver to join a log, unless it belongs to one already.
    Form {
        /// Identity of the log.
        cluster: u64,
        /// Voters in the sender's latest snapshot, with which the receiver starts its replica.
        voters: Voters,
    },
    /// A consensus message of the replicated log.
    Raft(Box<Envelope>),
    /// Asks the receiver to merge servers into its registry, and to confirm it with
    /// [`Message::Holds`] if there is a token.
    Hold {
        /// Number of the sender's call that waits for the confirmation; `None` if none does.
        token: Option<u64>,
        /// The servers to merge.
        servers: Vec<AgedServer>,
    },
    /// Confirms that the servers of a [`Message::Hold`] are in the registry of the sender.
    Holds {
        /// The token of the confirmed message.
        token: u64,
    },
}

/// The usage of one account's quota at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The account whose quota was used.
    pub account: AccountName,
    /// Units used since counting began; see [`Spending::lineage`].
    pub total: u64,
    /// Units used within the last quota window, each with the time since the use.
    pub recent: Vec<(Span, u64)>,
}

/// The quota usage at one entry VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spending {
    /// Random number that identifies the count to which the totals belong. A process draws it at
    /// its start, or continues the count of the previous process if it can restore it.
    pub lineage: u64,
    /// The usage of each account.
    pub usages: Vec<Usage>,
}

impl Spending {
    /// Returns the time since the most recent use, or `None` if no recent use is known.
    #[must_use]
    pub fn age(&self) -> Option<Span> {
        self.usages.iter().flat_map(|u| u.recent.iter().map(|(age, _)| *age)).min()
    }

    /// Returns the same usage as seen `time` later: every age grows by `time`.
    pub(crate) fn after(&self, time: Span) -> Self {
        let mut later = self.clone();
        for (age, _) in later.usages.iter_mut().flat_map(|u| &mut u.recent) {
            *age = *age + time;
        }
        later
    }
}

/// The long poll of an entry VM, which asks a control VM for everything that changed.
///
/// It also reports the entry VM's own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// Random number that the entry VM draws at the start of its process.
    pub incarnation: u64,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// Whether the entry VM is shutting down. It is listed for the others as long as it polls, since
    /// it still exchanges messages about the requests that it finishes.
    pub stopping: bool,
    /// Version of the plan that the entry VM has; 0 if none.
    pub plan: u64,
    /// Incarnation and registry revision of this control VM that the entry VM has; zeros if none.
    pub registry: (u64, u64),
    /// Quota usage of the entry VM. Empty if the control VM was told it recently.
    pub spent: Spending,
    /// Whether the entry VM is starting and asks for what its former processes reported.
    pub starting: bool,
    /// Parts of requests under which servers ended, as far as the entry VM knows. Empty if it told
    /// the control VM the same before.
    #[serde(default)]
    pub suspects: Vec<Suspect>,
    /// Digest of the entry VMs and control VMs that the entry VM has from this control VM; 0 if none.
    #[serde(default)]
    pub members: u64,
    /// What the entry VM knows of newer plans and whether it asks for the content of the newest.
    /// `None` for a VM of a build without it, which gets the whole document with any answer.
    #[serde(default)]
    pub content: Option<Request>,
    /// Digest of the orders of rollouts that the entry VM has from this control VM, 0 if none; `None`
    /// if it takes no orders.
    #[serde(default)]
    pub orders: Option<u64>,
    /// How far the entry VM has followed the open orders.
    #[serde(default)]
    pub progress: Vec<OrderProgress>,
    /// What it counted during open orders since its last report to this control VM.
    #[serde(default)]
    pub reports: Vec<Report>,
}

/// How far an entry VM has followed an open order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderProgress {
    /// Number of the order.
    pub order: u64,
    /// The phase that it follows.
    pub phase: Phase,
    /// Number of its requests in flight at servers of other versions.
    pub old_in_flight: u32,
    /// Whether it is the home of the service, as far as it knows.
    pub is_home: bool,
}

/// The answer to [`Sync`], sent when something changed or the poll timed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Synced {
    /// Whether the sender was the leader and held its lease when it answered, so that no newer plan
    /// had been acknowledged by then.
    pub current: bool,
    /// Version of the plan in force at the sender; 0 if none.
    pub plan: u64,
    /// Content of that plan, if the entry VM reported an older version and is of a build that takes
    /// no patches; see [`Sync::content`].
    pub document: Option<Arc<Vec<u8>>>,
    /// Incarnation of the sender and revision of its registry, to be sent with the next [`Sync`].
    pub registry: (u64, u64),
    /// Servers that changed after the revision of the entry VM; all servers if that revision was of
    /// another incarnation.
    pub servers: Vec<ServerStatus>,
    /// The sender and the control VMs from which it received a heartbeat recently.
    pub controls: Vec<VmName>,
    /// Entry VMs that polled recently, with their availability zones. Empty if the entry VM has them
    /// already, according to the digest that it sent.
    pub entries: Vec<(VmName, ZoneName)>,
    /// Recent quota usage of the entry VM's former processes, if it is starting; `None` otherwise, and
    /// if the sender has not run long enough to know all of it.
    pub spent: Option<Vec<(VmName, Spending)>>,
    /// Parts of requests under which servers ended, for an entry VM that is starting.
    #[serde(default)]
    pub suspects: Vec<Suspect>,
    /// Digest of `entries` and `controls`, to be sent with the next [`Sync`].
    #[serde(default)]
    pub members: u64,
    /// What the sender can send if the entry VM reported an older version and takes patches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<Offer>,
    /// The content of the newest plan, if the entry VM asked for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<Arc<Patch>>,
    /// Digest of the latest orders of all services, to be sent with the next [`Sync`].
    #[serde(default)]
    pub orders: u64,
    /// The latest order of each service. Empty if the entry VM has them already, according to the
    /// digest that it sent.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

impl Synced {
    /// Returns the answer of a VM without any knowledge, such as one that is shutting down.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            current: false,
            plan: 0,
            document: None,
            registry: (0, 0),
            servers: Vec::new(),
            controls: Vec::new(),
            entries: Vec::new(),
            spent: None,
            suspects: Vec::new(),
            members: 0,
            offer: None,
            patch: None,
            orders: 0,
            rollouts: Vec::new(),
        }
    }
}

/// A request to a control VM, which is answered by an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Puts a plan in force. The caller has validated it.
    Replace {
        /// Version of the plan; ignored unless it is higher than the one in force.
        version: u64,
        /// The plan in the operator's encoding.
        document: Arc<Vec<u8>>,
    },
    /// Reads the plan in force.
    Read,
    /// Records an announcement of a backend server.
    Announce {
        /// The server as announced.
        server: Server,
    },
    /// Records that a backend server has left.
    Leave {
        /// Identifies the server.
        id: ServerId,
        /// Start time of the process that left, if known; compared with [`Server::born`].
        born: Option<u64>,
    },
    /// Starts the rollout of another version of a service.
    StartRollout {
        /// What is ordered.
        order: Order,
        /// Whether the plan in force has the service.
        is_listed: bool,
    },
    /// Reads the orders of a service.
    ReadRollouts(ServiceName),
    /// Polls for changes on behalf of an entry VM.
    Sync {
        /// The entry VM that polls.
        from: VmName,
        /// The versions that the entry VM has, and its own state.
        sync: Sync,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call succeeded. A plan, or the departure of a known server, is then stored by a majority
    /// of the voters, so that it survives the loss of this VM.
    Done {
        /// Version of the plan in force for [`Call::Replace`], otherwise 0.
        version: u64,
    },
    /// The plan in force, in answer to [`Call::Read`].
    Document {
        /// Version of the plan; 0 if there is none.
        version: u64,
        /// The plan in the operator's encoding; empty if there is none.
        document: Arc<Vec<u8>>,
    },
    /// The orders of the service, the latest first, in answer to [`Call::ReadRollouts`].
    Rollouts(Vec<Rollout>),
    /// The order is refused because another one of the service is open.
    Conflict(Order),
    /// The order is refused, for this reason.
    Rejected(&'static str),
    /// The named control VM is the leader, at which the caller should retry.
    Redirect(VmName),
    /// No leader is known, or the call was not confirmed in time and may or may not take effect.
    /// The text gives the reason.
    Unavailable(&'static str),
    /// The changes, in answer to [`Call::Sync`].
    Synced(Box<Synced>),
}
