//! The process of a control VM.
//!
//! A [`Host`] runs the [`keeper::Keeper`] on a thread of its own, stores the replicated log on
//! disk, and accepts calls: those of other VMs, and those of operators and backend servers, whose
//! HTTP format a [`Dialect`] defines.

mod client_limits;
mod dialect;
mod disk;
mod error;
mod listen;
mod node;
mod protocol;
mod suspects;
mod thread;

pub use crate::{
    client_limits::{Admitted, ClientLimits, GuardedBody, GuardedStream, HeldResponses},
    dialect::{Decoded, Dialect, Endpoint, RejectedCall},
    error::Error,
    node::{Host, HostConfig},
    protocol::{ControlProtocol, peer_address},
    thread::Handle,
};
