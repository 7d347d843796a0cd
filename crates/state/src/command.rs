//! Commands of the replicated state machine and their responses.
//!
//! A command is the payload of an entry of the replicated log. Applying it yields one [`Response`].

use model::{Edit, EditOutcome, Mark, RequestId, ServerId, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    claim::{Answer, ClaimKey, ClaimOutcome},
    placement::Placement,
};

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Edits the catalogue.
    Edit(Edit),
    /// Claims an idempotency key for one request.
    Claim {
        /// The key to claim.
        key: ClaimKey,
        /// The request that needs the claim in order to run.
        request: RequestId,
        /// The entry VM of that request.
        owner: VmName,
    },
    /// Stores the response to a request that holds a claim.
    Settle {
        /// The key whose claim stores the response; a response that is already stored stays.
        key: ClaimKey,
        /// The request that ran; ignored unless it holds the key.
        request: RequestId,
        /// The response to that request.
        answer: Answer,
    },
    /// Releases a claim of a request that is certain not to have run.
    Release {
        /// The key, which other requests may claim again unless it already has a response.
        key: ClaimKey,
        /// The request that did not run.
        request: RequestId,
    },
    /// Reserves consecutive fencing numbers.
    Fence {
        /// Number of fencing numbers to reserve.
        count: u64,
    },
    /// Stores an operator's declaration about a backend server, unless a newer one is stored.
    Mark {
        /// The backend server that the declaration is about.
        server: ServerId,
        /// The declaration; newer ones compare greater.
        mark: Mark,
    },
    /// Sets the model, adapter, version and role that a backend server is to run.
    Place {
        /// The backend server that the placement is for.
        server: ServerId,
        /// The desired placement, or `None` to remove the server's placement.
        placement: Option<Placement>,
        /// Version of the placement that the change is based on, or 0 if there was none. The
        /// command is refused if another version is in force, so that a delayed duplicate of an
        /// earlier command changes nothing.
        base: u64,
    },
    /// Records that a server accepted the order for a placement.
    Taken {
        /// The backend server that accepted the order.
        server: ServerId,
        /// Version of the placement; the command is ignored if another one is in force.
        version: u64,
        /// Fencing number of the accepted order.
        fence: u64,
    },
}

/// The outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Outcome of [`Command::Edit`].
    Edit(EditOutcome),
    /// Outcome of [`Command::Claim`].
    Claim(ClaimOutcome),
    /// Outcome of [`Command::Fence`]: the first reserved fencing number, and the end of the
    /// reserved range (exclusive).
    Fence(u64, u64),
    /// Outcome of [`Command::Place`]: the version of the change, or as error the version in force,
    /// which differs from the command's `base`.
    Placed(Result<u64, u64>),
    /// Outcome of any other command.
    Done,
}
