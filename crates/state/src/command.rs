//! Commands and their responses.

use model::{Edit, EditOutcome, Mark, RequestId, ServerId, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    claim::{Answer, ClaimKey, ClaimOutcome},
    placement::Placement,
};

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Edit the catalogue.
    Edit(Edit),
    /// Claim an idempotency key for one request.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The request that wants to run.
        request: RequestId,
        /// Its entry VM.
        owner: VmName,
    },
    /// Store the answer of a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The request that ran.
        request: RequestId,
        /// Its answer.
        answer: Answer,
    },
    /// Give a claim back: the request certainly did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The request that did not run.
        request: RequestId,
    },
    /// Reserve fencing numbers.
    Fence {
        /// How many.
        count: u64,
    },
    /// Keep an operator's declaration about a backend server, unless a newer one is kept.
    Mark {
        /// The server.
        server: ServerId,
        /// The declaration.
        mark: Mark,
    },
    /// Set what a backend server shall run.
    Place {
        /// The server.
        server: ServerId,
        /// What it shall run; `None` forgets the server.
        placement: Option<Placement>,
        /// Version that the operator looked at, 0 for none, so that a late copy of an earlier
        /// command changes nothing.
        base: u64,
    },
    /// Note that a server took the order for a placement.
    Taken {
        /// The server.
        server: ServerId,
        /// Version of the placement.
        version: u64,
        /// Fencing number of the order.
        fence: u64,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Of an edit.
    Edit(EditOutcome),
    /// Of a claim.
    Claim(ClaimOutcome),
    /// Reserved fencing numbers: from the first, up to but without the second.
    Fence(u64, u64),
    /// Of a placement: its version, or the version in force that it was not based on.
    Placed(Result<u64, u64>),
    /// Of a command that has no other outcome.
    Done,
}
