//! The state and its transitions.

use std::{collections::BTreeMap, sync::Arc};

use model::{Catalogue, Edit, EditOutcome, Entry, Error, Mark, ServerId};
use serde::{Deserialize, Serialize};

use crate::{
    claim::{Claim, ClaimKey, Claims},
    command::{Command, Response},
    edits::{Edits, Revision},
    placement::{Placement, VersionedPlacement},
};

/// First fencing number; 0 is never given out, so that it can mean none.
const FIRST_FENCE: u64 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Largest time stamp applied, in milliseconds since the Unix epoch. It never goes back.
    clock: u64,
    catalogue: Arc<Catalogue>,
    edits: Edits,
    claims: Claims,
    /// Numbers reserved so far.
    fences: u64,
    marks: BTreeMap<ServerId, Mark>,
    placements: BTreeMap<ServerId, VersionedPlacement>,
    /// Placements made so far.
    placed: u64,
}

/// The encoded form of [`State`].
#[derive(Serialize, Deserialize)]
struct Image {
    clock: u64,
    revision: u64,
    entries: Vec<Entry>,
    edits: Edits,
    claims: Vec<u8>,
    fences: u64,
    marks: BTreeMap<ServerId, Mark>,
    placements: BTreeMap<ServerId, VersionedPlacement>,
    /// Placements made so far.
    placed: u64,
}

impl State {
    /// Applies one command; `at` is the leader's time in milliseconds since the Unix epoch.
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
                let start = self.fences.max(FIRST_FENCE);
                self.fences = start.saturating_add(count);
                Response::Fence(start, self.fences)
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
        self.placed += 1;
        match placement {
            Some(placement) => {
                let placed = VersionedPlacement { placement, version: self.placed, taken: None };
                self.placements.insert(server, placed);
            }
            None => {
                self.placements.remove(&server);
            }
        }
        Ok(self.placed)
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
            EditOutcome::Conflict { revision, winner: self.edits.maker(edit.base + 1) }
        };
        self.edits.record(self.clock, edit.id, outcome.clone());
        outcome
    }

    /// The catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// The newest revisions, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.edits.history()
    }

    /// A claim that is still kept.
    #[must_use]
    pub fn claim(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Number of claims kept.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Operators' declarations about backend servers.
    #[must_use]
    pub fn marks(&self) -> &BTreeMap<ServerId, Mark> {
        &self.marks
    }

    /// What backend servers shall run.
    #[must_use]
    pub fn placements(&self) -> &BTreeMap<ServerId, VersionedPlacement> {
        &self.placements
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Never: every part of the state can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let image = Image {
            clock: self.clock,
            revision: self.catalogue.revision(),
            entries: self.catalogue.entries().map(|e| Entry::clone(e)).collect(),
            edits: self.edits.clone(),
            claims: rmp_serde::to_vec(&self.claims).expect("claims can be encoded"),
            fences: self.fences,
            marks: self.marks.clone(),
            placements: self.placements.clone(),
            placed: self.placed,
        };
        rmp_serde::to_vec_named(&image).expect("the state can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let image: Image = rmp_serde::from_slice(bytes).map_err(|e| DecodeError(e.to_string()))?;
        let claims =
            rmp_serde::from_slice(&image.claims).map_err(|e| DecodeError(e.to_string()))?;
        let catalogue = Catalogue::new(image.revision, image.entries)
            .map_err(|e: Error| DecodeError(e.to_string()))?;
        Ok(Self {
            clock: image.clock,
            catalogue: Arc::new(catalogue),
            edits: image.edits,
            claims,
            fences: image.fences,
            marks: image.marks,
            placements: image.placements,
            placed: image.placed,
        })
    }
}

/// Bytes that are not an encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "snapshot cannot be read: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}
