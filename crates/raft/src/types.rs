//! Log entries, snapshots, member identities and the state kept on disk.

use std::{collections::BTreeSet, fmt, sync::Arc};

use model::VmName;
use serde::{Deserialize, Serialize};

/// Number of an election term; each term has at most one leader.
pub type Term = u64;
/// Position of an entry in the log, from 1.
pub type Index = u64;
/// The members whose votes and acknowledgements count towards a majority.
pub type Voters = BTreeSet<Member>;

/// Identity of one copy of the log.
///
/// A VM that restarts with an empty disk draws a new `disk` number, so that it never votes or
/// acknowledges entries under the identity of the copy it lost.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM that stores the copy.
    pub vm: VmName,
    /// Number drawn when the data folder was created.
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

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends one, and by committing it learns which earlier entries are
    /// committed.
    Noop,
    /// An encoded command for the state machine.
    Command(Vec<u8>),
    /// The voters from this entry on, in force as soon as the entry is in a member's log.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created it.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content of the entry.
    pub payload: Payload,
}

/// The term and vote, which must be on disk before a vote or an acknowledgement is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The member voted for in that term, or `None` if no vote was given.
    pub vote: Option<Member>,
}

/// The state machine's state after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The voters in force after that entry.
    pub voters: Voters,
    /// The encoded state machine; empty in the initial snapshot at index 0.
    pub data: Arc<Vec<u8>>,
}

/// The state on disk from which a member starts or restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// Identity of the cluster; members of different clusters ignore each other.
    pub cluster: u64,
    /// The newest term and vote written.
    pub hard_state: HardState,
    /// The newest snapshot written.
    pub snapshot: Snapshot,
    /// The consecutive entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl StoredState {
    /// Returns the state of a new cluster: term 0, an empty snapshot at index 0 and no entries.
    #[must_use]
    pub fn initial(cluster: u64, voters: Voters) -> Self {
        let snapshot = Snapshot { index: 0, term: 0, voters, data: Arc::default() };
        Self { cluster, hard_state: HardState::default(), snapshot, entries: Vec::new() }
    }
}
