//! The replicated state: the routing plan in force and the orders of rollouts.
//!
//! A command holds a whole plan. Applying it replaces the plan in force if its version is higher. A
//! command of a rollout is wrapped as the document of a plan of version 0, and a snapshot holds the
//! rollouts after the plan. Builds that know no rollouts ignore both: a version of 0 is never higher,
//! and they read a snapshot only up to the end of the plan.

use std::sync::Arc;

use replica::Apply;
use rollout::Rollouts;
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

/// What all control VMs have in common.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) plan: StoredPlan,
    pub(crate) rollouts: Rollouts,
}

impl Apply for State {
    type Output = ();

    fn apply(&mut self, command: &[u8]) {
        let new = decode(&mut &*command);
        if new.version > self.plan.version {
            self.plan = new;
        } else if new.version == 0 {
            // A command that cannot be read is of a later build, and this one ignores it.
            if let Ok(command) = rmp_serde::from_slice(&new.document) {
                self.rollouts.apply(command);
            }
        }
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&self.plan);
        if self.rollouts != Rollouts::default() {
            bytes.extend(encode_named(&self.rollouts));
        }
        bytes
    }

    fn decode(mut bytes: &[u8]) -> Self {
        let plan = decode(&mut bytes);
        let rollouts = if bytes.is_empty() {
            Rollouts::default()
        } else {
            match rmp_serde::from_slice(bytes) {
                Ok(rollouts) => rollouts,
                Err(error) => panic!("failed to decode the committed rollouts: {error}"),
            }
        };
        Self { plan, rollouts }
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

/// Encodes a command of a rollout.
pub(crate) fn encode_rollout(command: &rollout::Command) -> Vec<u8> {
    encode(&StoredPlan { version: 0, document: Arc::new(encode_named(command)) })
}

/// Encodes a value whose type may get more fields in later builds.
fn encode_named(value: &impl Serialize) -> Vec<u8> {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => bytes,
        Err(error) => panic!("failed to encode rollouts: {error}"),
    }
}

/// Decodes a plan and advances the bytes past it.
fn decode(bytes: &mut &[u8]) -> StoredPlan {
    match rmp_serde::from_read(bytes) {
        Ok(plan) => plan,
        Err(error) => panic!("failed to decode a committed routing plan: {error}"),
    }
}
