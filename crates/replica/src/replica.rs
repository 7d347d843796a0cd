//! The [`Replica`], which connects the log, its pending disk writes and the state machine.
//!
//! Messages that depend on a write are held back until the driver reports the write as synced.
//! Committed commands are applied in order, and the log is compacted to a snapshot of the state
//! from time to time.

use std::collections::VecDeque;

use model::{Span, Time};
use raft::{Config, Envelope, Index, Member, Payload, Raft, Ready, StoredState};

/// Number of applied entries at which the log is compacted to a snapshot.
const COMPACT_AFTER: u64 = 1_000;
/// Bytes of applied commands at which the log is compacted to a snapshot. With the snapshot and the
/// free pages of the database, the data folder stays far below 128 MiB.
const COMPACT_AFTER_BYTES: usize = 4 << 20;
/// Silence of the leader after which a follower no longer assumes that it is connected to a quorum.
const QUORUM_TIMEOUT: Span = Span::from_millis(1_500);

/// A state machine that committed commands are applied to.
pub trait Apply: Default {
    /// The result of applying a command.
    type Output;

    /// Applies one committed command.
    ///
    /// # Panics
    ///
    /// Panics if the command cannot be decoded. Commands are encoded by this program and protected by
    /// checksums, so continuing would serve a wrong state.
    fn apply(&mut self, command: &[u8]) -> Self::Output;

    /// Encodes the whole state, for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a state that [`Apply::encode`] wrote.
    ///
    /// # Panics
    ///
    /// Panics if the bytes cannot be decoded, for the reason given at [`Apply::apply`].
    fn decode(bytes: &[u8]) -> Self;
}

/// A batch that is being written, with the messages to send once it is synced.
#[derive(Debug)]
struct PendingWrite {
    /// Number of the batch that the driver writes.
    write: u64,
    /// Number of the last batch that is complete once this one is synced. Later batches without
    /// writes of their own are merged into this one.
    last: u64,
    messages: Vec<Envelope>,
}

/// The outputs of [`Replica::flush`], for the driver.
#[derive(Debug)]
pub struct Flush<T> {
    /// Messages to send at once, which depend on no write.
    pub messages: Vec<Envelope>,
    /// Batches to write and sync in order, each then reported to [`Replica::persisted`].
    pub writes: Vec<Ready>,
    /// Results of the commands that were applied, in log order.
    pub applied: Vec<T>,
}

/// One replica of a replicated state machine: the log, once it was founded or joined, and the state
/// that results from its committed commands.
#[derive(Debug)]
pub struct Replica<S> {
    me: Member,
    config: Config,
    seed: u64,
    raft: Option<Raft>,
    state: S,
    pending: VecDeque<PendingWrite>,
    /// Bytes of commands applied since the last snapshot.
    command_bytes: usize,
}

impl<S: Apply> Replica<S> {
    /// Creates a replica without a log. `seed` randomizes election timeouts and the identity of a
    /// log that this replica founds.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        let config = Config::new(me.clone(), seed);
        let (state, pending) = (S::default(), VecDeque::new());
        Self { me, config, seed, raft: None, state, pending, command_bytes: 0 }
    }

    /// Uses shorter heartbeat and election timeouts, for replicas within one region.
    #[must_use]
    pub fn low_latency(mut self) -> Self {
        self.config = self.config.low_latency();
        self
    }

    /// Starts the log from a stored state: loaded from disk, or initial if the log is founded or
    /// joined.
    pub fn start(&mut self, now: Time, stored: StoredState) {
        self.raft = Some(Raft::new(self.config.clone(), now, stored));
    }

    /// Returns the log; `None` before it is founded or joined.
    #[must_use]
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    /// Returns the log for modification; `None` before it is founded or joined.
    pub fn raft_mut(&mut self) -> Option<&mut Raft> {
        self.raft.as_mut()
    }

    /// Returns the state that results from the applied commands.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the identity of this replica among the members of the log.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns an identity for a log that this replica founds, derived from its disk and seed so
    /// that no other founding yields it.
    #[must_use]
    pub fn generate_cluster_id(&self) -> u64 {
        self.me.disk ^ self.seed.rotate_left(32) | 1
    }

    /// Returns whether this replica is the leader and knows all committed entries.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::is_established)
    }

    /// Returns whether this replica is the leader, knows all committed entries, and holds the
    /// lease, so that no other replica can be the leader at `now`.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.raft.as_ref().is_some_and(|r| r.is_established() && r.has_lease(now))
    }

    /// Returns whether this replica was recently in contact with a leader that has a quorum.
    #[must_use]
    pub fn in_quorum(&self, now: Time) -> bool {
        self.raft.as_ref().is_some_and(|raft| {
            raft.leader().is_some() && now < raft.last_contact(now) + QUORUM_TIMEOUT
        })
    }

    /// Appends a command and returns its index, or `None` if this replica is not the leader or does
    /// not know all committed entries yet.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Option<Index> {
        let raft = self.raft.as_mut().filter(|r| r.is_established())?;
        raft.propose(now, Payload::Command(command)).ok()
    }

    /// Advances the time.
    pub fn tick(&mut self, now: Time) {
        if let Some(raft) = &mut self.raft {
            raft.tick(now);
        }
    }

    /// Processes a message of another replica.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        if let Some(raft) = &mut self.raft {
            raft.step(now, envelope);
        }
    }

    /// Records that a batch and all earlier ones are synced, and returns the messages that waited
    /// for them.
    pub fn persisted(&mut self, write: u64) -> Vec<Envelope> {
        let mut messages = Vec::new();
        while self.pending.front().is_some_and(|p| p.write <= write) {
            if let Some(pending) = self.pending.pop_front() {
                if let Some(raft) = &mut self.raft {
                    raft.persisted(pending.last);
                }
                messages.extend(pending.messages);
            }
        }
        messages
    }

    /// Applies committed commands, and collects the messages to send and the batches to write.
    pub fn flush(&mut self, now: Time) -> Flush<S::Output> {
        let mut flush = Flush { messages: Vec::new(), writes: Vec::new(), applied: Vec::new() };
        self.tick(now);
        self.apply(&mut flush);
        self.compact();
        while let Some(mut ready) = self.raft.as_mut().and_then(Raft::ready) {
            let messages = std::mem::take(&mut ready.messages);
            if ready.persist.is_empty() {
                self.release(ready.id, messages, &mut flush);
            } else {
                self.pending.push_back(PendingWrite { write: ready.id, last: ready.id, messages });
                flush.writes.push(ready);
            }
        }
        self.apply(&mut flush);
        flush
    }

    /// Releases messages that need no write of their own, but not before earlier writes are synced.
    fn release(&mut self, id: u64, messages: Vec<Envelope>, flush: &mut Flush<S::Output>) {
        if let Some(pending) = self.pending.back_mut() {
            pending.last = id;
            pending.messages.extend(messages);
            return;
        }
        if let Some(raft) = &mut self.raft {
            raft.persisted(id);
        }
        flush.messages.extend(messages);
    }

    fn apply(&mut self, flush: &mut Flush<S::Output>) {
        let Some(raft) = &mut self.raft else {
            return;
        };
        if let Some(snapshot) = raft.take_restored()
            && !snapshot.data.is_empty()
        {
            self.state = S::decode(&snapshot.data);
            self.command_bytes = 0;
        }
        for entry in raft.take_committed() {
            if let Payload::Command(bytes) = entry.payload {
                self.command_bytes += bytes.len();
                flush.applied.push(self.state.apply(&bytes));
            }
        }
    }

    fn compact(&mut self) {
        if let Some(raft) = &mut self.raft
            && (raft.compactable_entries() >= COMPACT_AFTER
                || self.command_bytes >= COMPACT_AFTER_BYTES)
        {
            raft.compact(self.state.encode());
            self.command_bytes = 0;
        }
    }
}
