//! Tests of control VMs in a deterministic simulation.

mod full;
mod membership;
mod plans;
mod registry;
mod rollouts;
mod sim;
