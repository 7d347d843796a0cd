//! The copy.

use std::collections::VecDeque;

use model::{Span, Time};
use raft::{Config, Envelope, Index, Member, Payload, Raft, Ready, StoredState};

/// Applied entries after which they are replaced by a snapshot.
const COMPACT_AFTER: u64 = 1_000;
/// Bytes of applied commands after which they are replaced by a snapshot: with the snapshot and
/// the database's free pages, a data folder stays far below 128 MiB.
const COMPACT_AFTER_BYTES: usize = 4 << 20;
/// Silence of the leader after which a follower no longer counts itself to the quorum's side.
const CONTACT_SPAN: Span = Span::from_millis(1_500);

/// A state machine that committed commands are applied to.
pub trait Apply: Default {
    /// What a command leads to.
    type Output;

    /// Applies one committed command.
    ///
    /// # Panics
    ///
    /// If the command cannot be read: it was encoded by this program and is checksummed on its
    /// way, so going on would serve a wrong state.
    fn apply(&mut self, command: &[u8]) -> Self::Output;

    /// The whole state.
    fn encode(&self) -> Vec<u8>;

    /// The state that [`Apply::encode`] wrote.
    ///
    /// # Panics
    ///
    /// As [`Apply::apply`].
    fn decode(bytes: &[u8]) -> Self;
}

/// Messages that wait for a write.
#[derive(Debug)]
struct Held {
    /// The batch that the driver writes.
    write: u64,
    /// The last batch that is done with it.
    last: u64,
    messages: Vec<Envelope>,
}

/// What a flush produced.
#[derive(Debug)]
pub struct Flush<T> {
    /// Messages to send at once.
    pub messages: Vec<Envelope>,
    /// Batches to write, in order.
    pub writes: Vec<Ready>,
    /// Outputs of the commands that were applied.
    pub applied: Vec<T>,
}

/// The log, once it was founded or joined, and its state.
#[derive(Debug)]
pub struct Replica<S> {
    me: Member,
    config: Config,
    seed: u64,
    raft: Option<Raft>,
    state: S,
    held: VecDeque<Held>,
    /// Bytes of commands applied since the last snapshot.
    backlog: usize,
}

impl<S: Apply> Replica<S> {
    /// A copy that holds no log yet; `seed` spreads election timeouts.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        let config = Config::new(me.clone(), seed);
        let (state, held) = (S::default(), VecDeque::new());
        Self { me, config, seed, raft: None, state, held, backlog: 0 }
    }

    /// Elects leaders sooner, for copies within one region.
    #[must_use]
    pub fn low_latency(mut self) -> Self {
        self.config = self.config.low_latency();
        self
    }

    /// Goes on with a log that was found on disk, founded or joined.
    pub fn start(&mut self, now: Time, stored: StoredState) {
        self.raft = Some(Raft::new(self.config.clone(), now, stored));
    }

    /// The log.
    #[must_use]
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    /// The log.
    pub fn raft_mut(&mut self) -> Option<&mut Raft> {
        self.raft.as_mut()
    }

    /// The state.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// This copy.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// A cluster identity that no other founding draws.
    #[must_use]
    pub fn generate_cluster_id(&self) -> u64 {
        self.me.disk ^ self.seed.rotate_left(32) | 1
    }

    /// Whether this copy leads and knows all that was committed.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::is_established)
    }

    /// Whether this copy leads, knows all that was committed, and no other can lead at `now`.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.raft.as_ref().is_some_and(|r| r.is_established() && r.has_lease(now))
    }

    /// Whether a leader with a quorum was heard lately.
    #[must_use]
    pub fn in_quorum(&self, now: Time) -> bool {
        self.raft.as_ref().is_some_and(|raft| {
            raft.leader().is_some() && now < raft.last_contact(now) + CONTACT_SPAN
        })
    }

    /// Appends a command, if this copy leads and knows all that was committed.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Option<Index> {
        let raft = self.raft.as_mut().filter(|r| r.is_established())?;
        raft.propose(now, Payload::Command(command)).ok()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        if let Some(raft) = &mut self.raft {
            raft.tick(now);
        }
    }

    /// Takes a message of another copy.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        if let Some(raft) = &mut self.raft {
            raft.step(now, envelope);
        }
    }

    /// Notes that a write is synced; the messages that waited for it.
    pub fn persisted(&mut self, write: u64) -> Vec<Envelope> {
        let mut messages = Vec::new();
        while self.held.front().is_some_and(|h| h.write <= write) {
            if let Some(held) = self.held.pop_front() {
                if let Some(raft) = &mut self.raft {
                    raft.persisted(held.last);
                }
                messages.extend(held.messages);
            }
        }
        messages
    }

    /// Collects writes and messages, and applies what was committed.
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
                self.held.push_back(Held { write: ready.id, last: ready.id, messages });
                flush.writes.push(ready);
            }
        }
        self.apply(&mut flush);
        flush
    }

    /// Sends messages that need no write of their own, but not before earlier writes.
    fn release(&mut self, id: u64, messages: Vec<Envelope>, flush: &mut Flush<S::Output>) {
        if let Some(held) = self.held.back_mut() {
            held.last = id;
            held.messages.extend(messages);
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
            self.backlog = 0;
        }
        for entry in raft.take_committed() {
            if let Payload::Command(bytes) = entry.payload {
                self.backlog += bytes.len();
                flush.applied.push(self.state.apply(&bytes));
            }
        }
    }

    fn compact(&mut self) {
        if let Some(raft) = &mut self.raft
            && (raft.compactable_entries() >= COMPACT_AFTER || self.backlog >= COMPACT_AFTER_BYTES)
        {
            raft.compact(self.state.encode());
            self.backlog = 0;
        }
    }
}
