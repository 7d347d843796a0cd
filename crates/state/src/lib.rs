//! The replicated state machine: the catalogue, claims of idempotency keys, placements and
//! operators' declarations of backend servers, and fencing numbers.
//!
//! [`State::apply`] is deterministic, so all replicas that have applied the same commands are
//! equal. It reads no clock: the leader stamps each command with its time when it appends the
//! command to the log.
//!
//! # Examples
//!
//! ```
//! use model::{Edit, EditId, EditOutcome};
//! use state::{Command, Response, State};
//!
//! let mut state = State::default();
//! let edit = Edit { id: EditId::try_from("first")?, base: 0, put: vec![], remove: vec![] };
//! let response = state.apply(1_000, Command::Edit(edit));
//! assert_eq!(response, Response::Edit(EditOutcome::Accepted { revision: 1 }));
//! # Ok::<(), model::Error>(())
//! ```

mod claim;
mod command;
mod edits;
mod machine;
mod placement;

pub use crate::{
    claim::{Answer, Claim, ClaimKey, ClaimOutcome, MAX_ANSWER_BYTES, RETENTION_MS},
    command::{Command, Response},
    edits::Revision,
    machine::{DecodeError, State},
    placement::{Placement, VersionedPlacement},
};
