//! What backend servers shall run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The model, adapter, version and role that an operator wants on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Role, such as `prefill` or `decode`.
    pub role: Arc<str>,
}

/// A placement with its number, and whether the server has taken the order for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedPlacement {
    /// What the server shall run.
    pub placement: Placement,
    /// Counts placements; a later one for the same server has a larger number.
    pub version: u64,
    /// Fencing number of the order that the server took.
    pub taken: Option<u64>,
}
