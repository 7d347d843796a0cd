//! Entries, snapshots and identities.

use std::{collections::BTreeSet, fmt, sync::Arc};

use model::VmName;
use serde::{Deserialize, Serialize};

/// Number of a leadership; at most one leader has each.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;
/// Members whose votes and acknowledgements count.
pub type Voters = BTreeSet<Member>;

/// Identity of one copy of the log.
///
/// A VM whose disk came back empty draws a new `disk`, so it never speaks for the copy it lost.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM that holds the copy.
    pub vm: VmName,
    /// Drawn when the data folder was created.
    pub disk: u64,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.vm, self.disk)
    }
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// An encoded command for the state machine.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

/// What must be on disk before a vote or an acknowledgement is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The member voted for in that term.
    pub vote: Option<Member>,
}

/// The state machine's state after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Voters at that entry.
    pub voters: Voters,
    /// Encoded state; empty before the first entry.
    pub data: Arc<Vec<u8>>,
}

/// Everything that a restart finds on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// Identity of the cluster; members of different clusters ignore each other.
    pub cluster: u64,
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without holes.
    pub entries: Vec<LogEntry>,
}

impl StoredState {
    /// The state of a cluster in which nothing has happened yet.
    #[must_use]
    pub fn initial(cluster: u64, voters: Voters) -> Self {
        let snapshot = Snapshot { index: 0, term: 0, voters, data: Arc::default() };
        Self { cluster, hard_state: HardState::default(), snapshot, entries: Vec::new() }
    }
}
