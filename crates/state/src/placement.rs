//! Placements: the model, adapter, version and role that each backend server is to run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The model, adapter, version and role that an operator has set for one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter, or `None` to run the model without one.
    pub adapter: Option<Arc<str>>,
    /// Version of the model weights.
    pub version: Arc<str>,
    /// Role of the server, such as `prefill` or `decode`.
    pub role: Arc<str>,
}

/// A placement with its version, and whether the server has accepted the order for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedPlacement {
    /// The model, adapter, version and role to run.
    pub placement: Placement,
    /// Version of the placement, from a counter shared by all servers: a later placement of the
    /// same server has a larger version.
    pub version: u64,
    /// Largest fencing number of the orders for this version that the server has accepted, or
    /// `None` if it has accepted none.
    pub taken: Option<u64>,
}
