//! The replicated log and the state on it, as this VM holds them.

use std::ops::{Deref, DerefMut};

use model::{Mark, ServerId, Time, VmName};
use raft::{Index, Member, Payload, Raft, StoredState, Voters};
use replica::{Apply, Replica};
use serde::{Deserialize, Serialize};
use state::{Command, Response, State};

use crate::{forming::Forming, setup::Setup};

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

/// The state, which commands of the log are applied to.
#[derive(Debug, Default)]
pub(crate) struct Logged(State);

impl Apply for Logged {
    type Output = Applied;

    fn apply(&mut self, command: &[u8]) -> Applied {
        let proposal: Proposal = match rmp_serde::from_slice(command) {
            Ok(proposal) => proposal,
            Err(error) => panic!("a committed command cannot be read: {error}"),
        };
        let response = self.0.apply(proposal.at, proposal.command);
        let Proposal { origin, incarnation, token, .. } = proposal;
        Applied { origin, incarnation, token, response }
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

/// The log, once it was founded or joined, and its state.
#[derive(Debug)]
pub(crate) struct Shared {
    forming: Forming,
    copy: Replica<Logged>,
}

impl Deref for Shared {
    type Target = Replica<Logged>;

    fn deref(&self) -> &Self::Target {
        &self.copy
    }
}

impl DerefMut for Shared {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.copy
    }
}

impl Shared {
    pub(crate) fn new(setup: &Setup) -> Self {
        let me = setup.member.clone();
        let mut copy = Replica::new(me.clone(), setup.seed);
        if let Some(stored) = setup.stored.clone() {
            copy.start(Time::default(), stored);
        }
        Self { forming: Forming::new(me, setup.founders.clone()), copy }
    }

    /// Joins or founds a log with these voters, unless this VM has one.
    pub(crate) fn form(&mut self, now: Time, cluster: u64, voters: Voters) -> Option<StoredState> {
        if self.raft().is_some() {
            return None;
        }
        let stored = StoredState::initial(cluster, voters);
        self.copy.start(now, stored.clone());
        Some(stored)
    }

    /// Notes that another VM holds no log; the founding voters, if this VM is to found one.
    pub(crate) fn hear_unformed(&mut self, member: Member) {
        self.forming.hear(member);
    }

    /// The voters to found the log with, if it is up to this VM.
    pub(crate) fn founders(&self) -> Option<Voters> {
        if self.raft().is_some() { None } else { self.forming.founders() }
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

    pub(crate) fn state(&self) -> &State {
        &self.copy.state().0
    }

    pub(crate) fn leader(&self) -> Option<&VmName> {
        self.raft().and_then(Raft::leader).map(|m| &m.vm)
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
        let proposal = Proposal { at: wall, origin, incarnation, token, command };
        let bytes = rmp_serde::to_vec(&proposal).ok()?;
        self.copy.propose(now, bytes)
    }
}
