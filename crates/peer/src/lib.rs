//! Authenticated calls between the VMs of the system, over gRPC.
//!
//! Every call carries a MAC under a key that all VMs share, which covers the names of both VMs and
//! a sequence number that is used once. The MAC of an answer covers the call's MAC. A call without
//! the shared key, one for another VM and, where the callers are known, a replayed one are refused.
//! Messages between control threads may be lost but are neither repeated nor reordered; the control
//! state retransmits those that matter.

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
