//! A replicated log: a sans-I/O implementation of Raft with pre-vote, check-quorum, a leader lease,
//! learners, single-member voter changes, snapshots and leadership transfer.
//!
//! A [`Raft`] does no I/O and reads no clock. Its driver passes in the time and received messages,
//! and takes out [`Ready`] batches, each with the changes to write to disk and the messages to send
//! once that write is synced. The driver also applies the committed entries to the state machine,
//! in the order in which [`Raft::take_committed`] returns them.
//!
//! # Examples
//!
//! A log with a single voter commits an entry as soon as that voter's disk has synced it.
//!
//! ```
//! use model::{Time, VmName};
//! use raft::{Config, Member, Payload, Raft, StoredState};
//!
//! let member = Member { vm: VmName::try_from("vm-1")?, disk: 7 };
//! let stored = StoredState::initial(1, [member.clone()].into());
//! let mut raft = Raft::new(Config::new(member, 42), Time::default(), stored);
//! raft.tick(Time::from_micros(60_000_000));
//! raft.propose(Time::from_micros(60_000_000), Payload::Command(b"x".to_vec())).unwrap();
//! while let Some(ready) = raft.ready() {
//!     raft.persisted(ready.id);
//! }
//! assert!(raft.take_committed().iter().any(|e| e.payload == Payload::Command(b"x".to_vec())));
//! # Ok::<(), model::Error>(())
//! ```

mod config;
mod election;
mod log;
mod message;
mod raft;
mod ready;
mod replication;
mod types;

pub use crate::{
    config::Config,
    message::{Envelope, Message},
    raft::{NotLeader, Raft, RoleName},
    ready::{Ready, WriteBatch},
    types::{HardState, Index, LogEntry, Member, Payload, Snapshot, StoredState, Term, Voters},
};
