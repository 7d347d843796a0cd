//! The project's replicated log: a sans-io Raft with pre-vote, check-quorum, a leader lease,
//! learners, one-at-a-time voter changes, snapshots and leadership transfer.
//!
//! A [`Raft`] is driven by calls that carry the time, and hands out [`Ready`] batches: what to
//! write to disk, and which messages may be sent once that write is synced. Entries are applied
//! by whoever drives it, in the order of [`Raft::take_committed`].
//!
//! # Examples
//!
//! A log with one voter commits as soon as its own disk has synced.
//!
//! ```
//! use model::{Time, VmName};
//! use raft::{Config, Member, Payload, Raft, StoredState};
//!
//! let me = Member { vm: VmName::try_from("vm-1")?, disk: 7 };
//! let stored = StoredState::initial(1, [me.clone()].into());
//! let mut raft = Raft::new(Config::new(me, 42), Time::default(), stored);
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
mod journal;
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
