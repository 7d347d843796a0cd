//! Messages between members.

use serde::{Deserialize, Serialize};

use crate::types::{Index, LogEntry, Member, Snapshot, Term};

/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The cluster that it belongs to.
    pub cluster: u64,
    /// Sender.
    pub from: Member,
    /// Receiver.
    pub to: Member,
    /// Sender's term, or the term it would campaign in.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in this term? Changes nothing at the receiver.
    PreVote {
        /// Last entry of the sender.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// Last entry of the sender.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the old leader asked for this election, which ends its lease.
        transfer: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// Whether the sender votes for the receiver.
        granted: bool,
    },
    /// Entries after `prev_index`; also the heartbeat.
    Append {
        /// The entry before the first one sent.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Entries, possibly none.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit: Index,
        /// Leader's clock when it sent this, echoed in the answer.
        stamp: u64,
    },
    /// Answer to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Whether the entries were taken.
        accepted: bool,
        /// If accepted, the last entry known to match; if not, where the leader may try next.
        index: Index,
        /// Echo of the leader's clock.
        stamp: u64,
    },
    /// The state up to a point before the leader's first entry.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// Leader's clock when it sent this.
        stamp: u64,
    },
    /// Campaign at once: the leader is stopping.
    TimeoutNow,
}
