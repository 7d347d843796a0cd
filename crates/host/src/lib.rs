//! A control VM's process: the thread of its [`keeper::Keeper`], the disk, and the listeners
//! towards the other VMs, operators and backend servers.

mod dialect;
mod disk;
mod error;
mod listen;
mod node;
mod protocol;
mod thread;

pub use crate::{
    dialect::{Decoded, Dialect, Endpoint, RejectedCall},
    error::Error,
    node::{Host, HostConfig},
    protocol::{ControlProtocol, peer_address},
    thread::Handle,
};
