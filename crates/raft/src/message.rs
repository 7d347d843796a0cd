//! Messages between the members of a cluster.
//!
//! The driver carries each [`Envelope`] to its receiver. Messages may be lost, delayed, duplicated
//! or reordered.

use serde::{Deserialize, Serialize};

use crate::types::{Index, LogEntry, Member, Snapshot, Term};

/// A message with its sender, receiver, cluster and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identity of the sender's cluster. Members of other clusters ignore the message.
    pub cluster: u64,
    /// The member that sent the message, to which any reply is addressed.
    pub from: Member,
    /// The member to deliver to. Any other member ignores the message.
    pub to: Member,
    /// Term of the sender; in a pre-vote, and in a reply that grants one, the term that the
    /// candidate would campaign in.
    pub term: Term,
    /// The request or reply that the envelope carries to the receiver.
    pub message: Message,
}

/// The content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in this term. Changes nothing at the
    /// receiver.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// The reply to [`Message::PreVote`].
    PreVoteReply {
        /// Whether the sender of this reply would vote for its receiver.
        granted: bool,
    },
    /// Asks the receiver to vote for the sender in this term.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the previous leader requested this election. It has given up its lease, so the
        /// receiver need not wait for the lease to end.
        transfer: bool,
    },
    /// The reply to [`Message::Vote`].
    VoteReply {
        /// Whether the sender of this reply votes for its receiver.
        granted: bool,
    },
    /// Sends entries after `prev_index`; also serves as the heartbeat.
    Append {
        /// Index of the entry before the first one in `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries; empty in a plain heartbeat.
        entries: Vec<LogEntry>,
        /// The leader's commit index, or 0 in a heartbeat to a member that has not acknowledged a
        /// snapshot yet.
        commit: Index,
        /// The leader's clock when it sent this message, in microseconds; echoed in the reply.
        stamp: u64,
    },
    /// The reply to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Whether the sender of this reply accepted the entries or the snapshot. It refuses
        /// entries if its log does not match at `prev_index`, and either one if the term is out of
        /// date.
        accepted: bool,
        /// If accepted, the index of the last entry known to match; if not, the index after which
        /// the leader may try next.
        index: Index,
        /// The `stamp` of the message replied to, in microseconds of the leader's clock; 0 if its
        /// term is out of date.
        stamp: u64,
    },
    /// Sends a snapshot, because the leader has compacted the entries that the receiver needs.
    Install {
        /// The leader's current snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this message, in microseconds; echoed in the reply.
        stamp: u64,
    },
    /// Asks the receiver to campaign at once, because the leader is transferring leadership to it.
    TimeoutNow,
}
