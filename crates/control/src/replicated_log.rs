//! This VM's copy of the replicated log and of the state that its commands lead to.
//!
//! A command travels in a [`Proposal`], which names the proposing VM and call, so that this VM
//! recognizes the responses to its own commands.

use std::ops::{Deref, DerefMut};

use model::{Mark, ServerId, Time, VmName};
use raft::{Index, Member, Payload, Raft, StoredState, Voters};
use replica::{Apply, Replica};
use serde::{Deserialize, Serialize};
use state::{Command, Response, State};

use crate::{bootstrap::Bootstrap, setup::Setup};

/// A command as a log entry stores it, serialized by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proposal {
    /// Wall clock of the leader that appended the command, in milliseconds since the Unix epoch.
    at: u64,
    /// The VM that proposed the command.
    pub(crate) origin: VmName,
    /// Start of that VM's process in microseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Number of the call at that VM.
    pub(crate) token: u64,
    command: Command,
}

/// Response to an applied command, and the call that it answers.
#[derive(Debug)]
pub(crate) struct AppliedCommand {
    pub(crate) origin: VmName,
    pub(crate) incarnation: u64,
    pub(crate) token: u64,
    pub(crate) response: Response,
}

/// The state that committed commands are applied to.
#[derive(Debug, Default)]
pub(crate) struct ReplicatedState(State);

impl Apply for ReplicatedState {
    type Output = AppliedCommand;

    fn apply(&mut self, command: &[u8]) -> AppliedCommand {
        let proposal: Proposal = match rmp_serde::from_slice(command) {
            Ok(proposal) => proposal,
            Err(error) => panic!("a committed command cannot be decoded: {error}"),
        };
        let response = self.0.apply(proposal.at, proposal.command);
        let Proposal { origin, incarnation, token, .. } = proposal;
        AppliedCommand { origin, incarnation, token, response }
    }

    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn decode(bytes: &[u8]) -> Self {
        match State::decode(bytes) {
            Ok(state) => Self(state),
            Err(error) => panic!("{error}"),
        }
    }
}

/// The log, as soon as it is founded or joined, and its state.
#[derive(Debug)]
pub(crate) struct ReplicatedLog {
    bootstrap: Bootstrap,
    replica: Replica<ReplicatedState>,
}

impl Deref for ReplicatedLog {
    type Target = Replica<ReplicatedState>;

    fn deref(&self) -> &Self::Target {
        &self.replica
    }
}

impl DerefMut for ReplicatedLog {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.replica
    }
}

impl ReplicatedLog {
    pub(crate) fn new(setup: &Setup) -> Self {
        let me = setup.member.clone();
        let mut replica = Replica::new(me.clone(), setup.seed);
        if let Some(stored) = setup.stored.clone() {
            replica.start(Time::default(), stored);
        }
        Self { bootstrap: Bootstrap::new(me, setup.founders.clone()), replica }
    }

    /// Starts a copy of the log with these voters, unless this VM has one, and returns its initial
    /// state to be written to disk.
    pub(crate) fn start_log(
        &mut self,
        now: Time,
        cluster: u64,
        voters: Voters,
    ) -> Option<StoredState> {
        if self.raft().is_some() {
            return None;
        }
        let stored = StoredState::initial(cluster, voters);
        self.replica.start(now, stored.clone());
        Some(stored)
    }

    /// Records that another VM holds no copy of the log.
    pub(crate) fn record_without_log(&mut self, member: Member) {
        self.bootstrap.record_without_log(member);
    }

    /// Returns the voters of the new log if this VM has to found it now.
    pub(crate) fn founding_voters(&self) -> Option<Voters> {
        if self.raft().is_some() { None } else { self.bootstrap.founding_voters() }
    }

    /// Returns the marks in log entries found on disk at the start, committed or not.
    ///
    /// A mark that is not committed yet is followed as well: an operator set it, and losing one
    /// that was accepted would send new requests to a leaving server.
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

    pub(crate) fn state(&self) -> &State {
        &self.replica.state().0
    }

    pub(crate) fn leader(&self) -> Option<&VmName> {
        self.raft().and_then(Raft::leader).map(|m| &m.vm)
    }

    /// Appends a command if this VM leads.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        wall: u64,
        origin: VmName,
        (incarnation, token): (u64, u64),
        command: Command,
    ) -> Option<Index> {
        let proposal = Proposal { at: wall, origin, incarnation, token, command };
        let bytes = rmp_serde::to_vec(&proposal).ok()?;
        self.replica.propose(now, bytes)
    }
}
