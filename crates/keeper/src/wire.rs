//! Messages between control VMs, and calls of entry VMs, operators and backend servers.

use std::sync::Arc;

use model::{AccountName, ServerId, Span, VmName, ZoneName};
use raft::{Envelope, Member, Voters};
use serde::{Deserialize, Serialize};

use crate::registry::{Server, ServerStatus};

/// A server and the time since it was heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedServer {
    /// The announcement.
    pub server: Server,
    /// Time since it was heard.
    pub age: Span,
}

/// What control VMs tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// I am here.
    Hello {
        /// Drawn at the start of the process.
        incarnation: u64,
        /// The sender's availability zone.
        zone: ZoneName,
        /// The sender's copy of the log.
        member: Member,
        /// The log that it belongs to, if it was founded or joined.
        cluster: Option<u64>,
        /// Control VMs that the sender hears.
        known: Vec<VmName>,
    },
    /// Join this log, which these members founded.
    Form {
        /// Identity of the log.
        cluster: u64,
        /// Its first voters.
        voters: Voters,
    },
    /// A message of the replicated log.
    Raft(Box<Envelope>),
    /// Hold these servers in the registry, and say so if there is a token.
    Hold {
        /// Number of the call at the sender that waits.
        token: Option<u64>,
        /// The servers.
        servers: Vec<AgedServer>,
    },
    /// The servers of this token are held.
    Holds {
        /// The token.
        token: u64,
    },
}

/// What an entry VM used of one quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The account.
    pub account: AccountName,
    /// Units since the VM began to count.
    pub total: u64,
    /// Those of the last window, each with the time since they were used.
    pub recent: Vec<(Span, u64)>,
}

/// What an entry VM used of quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spending {
    /// Drawn when the VM began to count: at the start of its process, unless it could go on from what
    /// the one before had counted.
    pub lineage: u64,
    /// By account.
    pub usages: Vec<Usage>,
}

impl Spending {
    /// Time since something was used; nothing if nothing was.
    #[must_use]
    pub fn age(&self) -> Option<Span> {
        self.usages.iter().flat_map(|u| u.recent.iter().map(|(age, _)| *age)).min()
    }

    /// What it says some time later.
    pub(crate) fn after(&self, time: Span) -> Self {
        let mut later = self.clone();
        for (age, _) in later.usages.iter_mut().flat_map(|u| &mut u.recent) {
            *age = *age + time;
        }
        later
    }
}

/// What an entry VM asks of a control VM, repeatedly: everything that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// Drawn at the start of the entry VM's process.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the plan that it has.
    pub plan: u64,
    /// Process and revision of the registry that it has of this control VM.
    pub registry: (u64, u64),
    /// What it used of quotas lately.
    pub spent: Spending,
    /// Whether it wants to know what was used before it started.
    pub starting: bool,
}

/// The answer to [`Sync`]: at once if something changed, or else after a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Synced {
    /// Whether the sender was the leader, with a lease, when it answered, so that no newer plan
    /// had been acknowledged by then.
    pub current: bool,
    /// Version of the plan in force at the sender.
    pub plan: u64,
    /// That plan, if the asker had an older one.
    pub document: Option<Arc<Vec<u8>>>,
    /// Process and revision of the sender's registry.
    pub registry: (u64, u64),
    /// Servers that changed after the asker's revision; all of them if it had one of another
    /// process.
    pub servers: Vec<ServerStatus>,
    /// Control VMs that hear each other.
    pub controls: Vec<VmName>,
    /// Entry VMs that asked lately and are not stopping, with their zones.
    pub entries: Vec<(VmName, ZoneName)>,
    /// What all entry VMs used of quotas lately, for one that starts; nothing if the sender has not
    /// run for long enough to know.
    pub spent: Option<Vec<(VmName, Spending)>>,
}

impl Synced {
    /// The answer of a VM that knows nothing, such as one that is stopping.
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
        }
    }
}

/// A call that waits for an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Put a plan in force; it was checked.
    Replace {
        /// Its version.
        version: u64,
        /// Its content.
        document: Arc<Vec<u8>>,
    },
    /// The plan in force.
    Read,
    /// A backend server announces itself.
    Announce {
        /// The announcement.
        server: Server,
    },
    /// A backend server has left.
    Leave {
        /// Its id.
        id: ServerId,
        /// When its process started, if it said so.
        born: Option<u64>,
    },
    /// An entry VM asks what changed.
    Sync {
        /// The entry VM.
        from: VmName,
        /// What it has.
        sync: Sync,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done, and it will hold.
    Done {
        /// Version of the plan in force for [`Call::Replace`], else 0.
        version: u64,
    },
    /// The plan in force.
    Document {
        /// Its version; 0 if there is none.
        version: u64,
        /// Its content.
        document: Arc<Vec<u8>>,
    },
    /// Ask this control VM.
    Redirect(VmName),
    /// It is not known who can answer, or whether it was done.
    Unavailable(&'static str),
    /// What changed.
    Synced(Box<Synced>),
}
