//! The replicated state, its transitions and its snapshot encoding.

use std::{collections::BTreeMap, sync::Arc};

use model::{Catalogue, Edit, EditOutcome, Entry, Error, Mark, ServerId};
use serde::{Deserialize, Serialize};

use crate::{
    claim::{Claim, ClaimKey, Claims},
    command::{Command, Response},
    edits::{Edits, Revision},
    placement::{Placement, VersionedPlacement},
};

/// The first fencing number. 0 is never reserved, so it can stand for no fencing number.
const FIRST_FENCE: u64 = 1;

/// The replicated state. The default value is the state before the first command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The log's clock: the latest time stamp applied, in milliseconds since the Unix epoch. It
    /// never goes back.
    clock: u64,
    catalogue: Arc<Catalogue>,
    edits: Edits,
    claims: Claims,
    /// End of the fencing numbers reserved so far (exclusive), or 0 if none were reserved.
    next_fence: u64,
    marks: BTreeMap<ServerId, Mark>,
    placements: BTreeMap<ServerId, VersionedPlacement>,
    /// Number of placement changes so far, which is the version of the newest one.
    last_version: u64,
}

/// The serialized form of [`State`].
#[derive(Serialize, Deserialize)]
struct EncodedState {
    clock: u64,
    revision: u64,
    entries: Vec<Entry>,
    edits: Edits,
    claims: Vec<u8>,
    fences: u64,
    marks: BTreeMap<ServerId, Mark>,
    placements: BTreeMap<ServerId, VersionedPlacement>,
    placed: u64,
}

impl State {
    /// Applies one command and returns its outcome.
    ///
    /// `at` is the leader's time when it appended the command, in milliseconds since the Unix
    /// epoch. A time earlier than that of a previous command counts as the latest one.
    pub fn apply(&mut self, at: u64, command: Command) -> Response {
        self.clock = self.clock.max(at);
        self.claims.expire(self.clock);
        match command {
            Command::Edit(edit) => Response::Edit(self.edit(edit)),
            Command::Claim { key, request, owner } => {
                Response::Claim(self.claims.claim(self.clock, key, request, owner))
            }
            Command::Settle { key, request, answer } => {
                self.claims.settle(&key, request, answer);
                Response::Done
            }
            Command::Release { key, request } => {
                self.claims.release(key, request);
                Response::Done
            }
            Command::Fence { count } => {
                let start = self.next_fence.max(FIRST_FENCE);
                self.next_fence = start.saturating_add(count);
                Response::Fence(start, self.next_fence)
            }
            Command::Mark { server, mark } => {
                let newer = self.marks.get(&server).is_none_or(|old| *old < mark);
                if newer {
                    self.marks.insert(server, mark);
                }
                Response::Done
            }
            Command::Place { server, placement, base } => {
                Response::Placed(self.place(server, placement, base))
            }
            Command::Taken { server, version, fence } => {
                if let Some(placed) = self.placements.get_mut(&server)
                    && placed.version == version
                {
                    placed.taken = placed.taken.max(Some(fence));
                }
                Response::Done
            }
        }
    }

    /// Sets or removes a server's placement. Returns the new version, or as error the version in
    /// force if that is not `base`.
    fn place(
        &mut self,
        server: ServerId,
        placement: Option<Placement>,
        base: u64,
    ) -> Result<u64, u64> {
        let current = self.placements.get(&server).map_or(0, |p| p.version);
        if current != base {
            return Err(current);
        }
        self.last_version += 1;
        match placement {
            Some(placement) => {
                let placed =
                    VersionedPlacement { placement, version: self.last_version, taken: None };
                self.placements.insert(server, placed);
            }
            None => {
                self.placements.remove(&server);
            }
        }
        Ok(self.last_version)
    }

    fn edit(&mut self, edit: Edit) -> EditOutcome {
        if let Some(first) = self.edits.outcome(&edit.id) {
            return first.clone();
        }
        let revision = self.catalogue.revision();
        let outcome = if edit.base == revision {
            match self.catalogue.edited(&edit) {
                Ok(next) => {
                    self.catalogue = Arc::new(next);
                    EditOutcome::Accepted { revision: revision + 1 }
                }
                Err(error) => EditOutcome::Invalid { why: error.to_string() },
            }
        } else {
            EditOutcome::Conflict { revision, winner: self.edits.edit_of(edit.base + 1) }
        };
        self.edits.record(self.clock, edit.id, outcome.clone());
        outcome
    }

    /// Returns the catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the newest revisions of the catalogue, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.edits.history()
    }

    /// Returns the claim of a key, or `None` if it was never claimed, was released or has expired.
    #[must_use]
    pub fn claim(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns the number of claims kept.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the newest declaration that an operator has made about each backend server.
    #[must_use]
    pub fn marks(&self) -> &BTreeMap<ServerId, Mark> {
        &self.marks
    }

    /// Returns the placement of each backend server that has one.
    #[must_use]
    pub fn placements(&self) -> &BTreeMap<ServerId, VersionedPlacement> {
        &self.placements
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if the state cannot be encoded, which does not happen: every part of it can be.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let encoded = EncodedState {
            clock: self.clock,
            revision: self.catalogue.revision(),
            entries: self.catalogue.entries().map(|e| Entry::clone(e)).collect(),
            edits: self.edits.clone(),
            claims: rmp_serde::to_vec(&self.claims).expect("claims can be encoded"),
            fences: self.next_fence,
            marks: self.marks.clone(),
            placements: self.placements.clone(),
            placed: self.last_version,
        };
        rmp_serde::to_vec_named(&encoded).expect("the state can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let encoded: EncodedState =
            rmp_serde::from_slice(bytes).map_err(|e| DecodeError(e.to_string()))?;
        let claims =
            rmp_serde::from_slice(&encoded.claims).map_err(|e| DecodeError(e.to_string()))?;
        let catalogue = Catalogue::new(encoded.revision, encoded.entries)
            .map_err(|e: Error| DecodeError(e.to_string()))?;
        Ok(Self {
            clock: encoded.clock,
            catalogue: Arc::new(catalogue),
            edits: encoded.edits,
            claims,
            next_fence: encoded.fences,
            marks: encoded.marks,
            placements: encoded.placements,
            last_version: encoded.placed,
        })
    }
}

/// The error returned by [`State::decode`] for bytes that are not an encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "snapshot cannot be read: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}
