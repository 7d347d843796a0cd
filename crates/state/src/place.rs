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
