//! Calls between the VMs of the system, over tonic.
//!
//! Every call and every answer carries a MAC under a key that all VMs share, the names of both
//! VMs and a number that is used once; a stranger's call, a call for another VM and a repeated
//! call are refused. Messages between control threads may be lost but are neither repeated nor
//! reordered; the control state sends again what matters.

mod client;
mod error;
#[allow(clippy::pedantic, unreachable_pub, reason = "generated from proto/peer.proto")]
mod generated;
mod question;
mod replay;
mod seal;
mod server;

pub use crate::{
    client::{Links, PeerAddress},
    error::Error,
    question::{EntryProtocol, PeerHandler, Protocol, Question, Reply, ReplyFuture},
    seal::Key,
    server::{AllowedPeers, serve},
};
