//! The replicated state: the routing plan in force.
//!
//! A command holds a whole plan in the same encoding as the state. Applying it replaces the state
//! if its version is higher.

use std::sync::Arc;

use replica::Apply;
use serde::{Deserialize, Serialize};

/// A routing plan as an operator sent it. The document is opaque to this crate, so that it is read
/// back byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredPlan {
    /// The highest version accepted; 0 before the first.
    pub(crate) version: u64,
    /// The plan in the operator's encoding; empty before the first.
    pub(crate) document: Arc<Vec<u8>>,
}

impl Apply for StoredPlan {
    /// Version of the plan in force after the command.
    type Output = u64;

    fn apply(&mut self, command: &[u8]) -> u64 {
        let new = decode(command);
        if new.version > self.version {
            *self = new;
        }
        self.version
    }

    fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    fn decode(bytes: &[u8]) -> Self {
        decode(bytes)
    }
}

/// Encodes the command that puts a plan in force if its version is higher than that of the plan in
/// force.
pub(crate) fn encode(plan: &StoredPlan) -> Vec<u8> {
    match rmp_serde::to_vec(plan) {
        Ok(bytes) => bytes,
        Err(error) => panic!("failed to encode the routing plan: {error}"),
    }
}

fn decode(bytes: &[u8]) -> StoredPlan {
    match rmp_serde::from_slice(bytes) {
        Ok(plan) => plan,
        Err(error) => panic!("failed to decode a committed routing plan: {error}"),
    }
}
