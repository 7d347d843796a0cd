//! The replicated log and the state on it, as this VM holds them.

use std::collections::VecDeque;

use model::{Mark, ServerId, Span, Time, VmName};
use raft::{Config, Envelope, Index, Member, Payload, Raft, Ready, Stored, Voters};
use serde::{Deserialize, Serialize};
use state::{Command, Response, State};

use crate::{forming::Forming, setup::Setup};

/// Applied entries after which they are replaced by a snapshot.
const COMPACT_AFTER: u64 = 1_000;
/// Silence of the leader after which a follower no longer counts itself to the quorum's side.
const CONTACT_SPAN: Span = Span::from_millis(1_500);

/// A command as the log carries it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proposal {
    /// Leader's time when it was appended, in milliseconds since the Unix epoch.
    at: u64,
    /// The VM that proposed it.
    pub(crate) origin: VmName,
    /// Start of that VM's process.
    pub(crate) incarnation: u64,
    /// Its number there.
    pub(crate) token: u64,
    command: Command,
}

/// A proposal that was applied.
#[derive(Debug)]
pub(crate) struct Applied {
    pub(crate) origin: VmName,
    pub(crate) incarnation: u64,
    pub(crate) token: u64,
    pub(crate) response: Response,
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
#[derive(Debug, Default)]
pub(crate) struct Flush {
    pub(crate) messages: Vec<Envelope>,
    pub(crate) writes: Vec<Ready>,
    pub(crate) applied: Vec<Applied>,
}

/// The log, once it was founded or joined, and its state.
#[derive(Debug)]
pub(crate) struct Shared {
    me: Member,
    seed: u64,
    forming: Forming,
    raft: Option<Raft>,
    state: State,
    held: VecDeque<Held>,
}

impl Shared {
    pub(crate) fn new(setup: &Setup) -> Self {
        let mut shared = Self {
            me: setup.member.clone(),
            seed: setup.seed,
            forming: Forming::new(setup.member.clone(), setup.founders.clone()),
            raft: None,
            state: State::default(),
            held: VecDeque::new(),
        };
        if let Some(stored) = setup.stored.clone() {
            shared.start(Time::default(), stored);
        }
        shared
    }

    fn start(&mut self, now: Time, stored: Stored) {
        self.raft = Some(Raft::new(Config::new(self.me.clone(), self.seed), now, stored));
    }

    /// Joins or founds a log with these voters, unless this VM has one.
    pub(crate) fn form(&mut self, now: Time, cluster: u64, voters: Voters) -> Option<Stored> {
        if self.raft.is_some() {
            return None;
        }
        let stored = Stored::founding(cluster, voters);
        self.start(now, stored.clone());
        Some(stored)
    }

    /// Notes that another VM holds no log; the founding voters, if this VM is to found one.
    pub(crate) fn hear_unformed(&mut self, member: Member) {
        self.forming.hear(member);
    }

    /// The voters to found the log with, if it is up to this VM.
    pub(crate) fn founders(&self) -> Option<Voters> {
        if self.raft.is_some() { None } else { self.forming.founders() }
    }

    /// A cluster identity that no other founding draws.
    pub(crate) fn draw_cluster(&self) -> u64 {
        self.me.disk ^ self.seed.rotate_left(32) | 1
    }

    /// Declarations in entries that a restart found on disk, whether or not they are known to be
    /// committed. A declaration that is merely on its way is worth following: it was made by an
    /// operator, and forgetting one that was accepted would give a leaving server new work.
    pub(crate) fn stored_marks(setup: &Setup) -> Vec<(ServerId, Mark)> {
        let mut marks = Vec::new();
        for entry in setup.stored.iter().flat_map(|s| &s.entries) {
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let proposal: Result<Proposal, _> = rmp_serde::from_slice(bytes);
            if let Ok(Proposal { command: Command::Mark { server, mark }, .. }) = proposal {
                marks.push((server, mark));
            }
        }
        marks
    }

    pub(crate) fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    pub(crate) fn raft_mut(&mut self) -> Option<&mut Raft> {
        self.raft.as_mut()
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    pub(crate) fn leader(&self) -> Option<&VmName> {
        self.raft.as_ref().and_then(Raft::leader).map(|m| &m.vm)
    }

    /// Whether this VM leads and knows all that was committed.
    pub(crate) fn leads(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::is_settled)
    }

    /// Whether this VM heard a leader with a quorum lately.
    pub(crate) fn in_quorum(&self, now: Time) -> bool {
        self.raft.as_ref().is_some_and(|raft| {
            raft.leader().is_some() && now < raft.last_contact(now) + CONTACT_SPAN
        })
    }

    /// Appends a command, if this VM leads.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        wall: u64,
        origin: VmName,
        (incarnation, token): (u64, u64),
        command: Command,
    ) -> Option<Index> {
        let raft = self.raft.as_mut().filter(|r| r.is_settled())?;
        let proposal = Proposal { at: wall, origin, incarnation, token, command };
        let bytes = rmp_serde::to_vec(&proposal).ok()?;
        raft.propose(now, Payload::Command(bytes)).ok()
    }

    pub(crate) fn tick(&mut self, now: Time) {
        if let Some(raft) = &mut self.raft {
            raft.tick(now);
        }
    }

    pub(crate) fn step(&mut self, now: Time, envelope: Envelope) {
        if let Some(raft) = &mut self.raft {
            raft.step(now, envelope);
        }
    }

    /// Notes that a write is synced; the messages that waited for it.
    pub(crate) fn persisted(&mut self, write: u64) -> Vec<Envelope> {
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
    pub(crate) fn flush(&mut self, now: Time) -> Flush {
        let mut flush = Flush::default();
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
    fn release(&mut self, id: u64, messages: Vec<Envelope>, flush: &mut Flush) {
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

    fn apply(&mut self, flush: &mut Flush) {
        let Some(raft) = &mut self.raft else {
            return;
        };
        if let Some(snapshot) = raft.take_restored()
            && !snapshot.data.is_empty()
        {
            match State::decode(&snapshot.data) {
                Ok(state) => self.state = state,
                // The sender encoded it, and the transport and the disk are checksummed, so this
                // is a fault of the program; going on would serve a wrong catalogue.
                Err(error) => panic!("{error}"),
            }
        }
        for entry in raft.take_committed() {
            let Payload::Command(bytes) = entry.payload else {
                continue;
            };
            let proposal: Proposal = match rmp_serde::from_slice(&bytes) {
                Ok(proposal) => proposal,
                Err(error) => panic!("entry {} cannot be read: {error}", entry.index),
            };
            let response = self.state.apply(proposal.at, proposal.command);
            let Proposal { origin, incarnation, token, .. } = proposal;
            flush.applied.push(Applied { origin, incarnation, token, response });
        }
    }

    fn compact(&mut self) {
        if let Some(raft) = &mut self.raft
            && raft.backlog() >= COMPACT_AFTER
        {
            raft.compact(self.state.encode());
        }
    }
}
