//! The replicated state machine: catalogue, claims of non-idempotent calls, placement, fencing.
//!
//! [`State::apply`] is deterministic, so every copy that applied the same commands is equal. Time
//! enters only through the commands, stamped by the leader that appended them.
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
