//! A request scheduler between callers and backend servers.
//!
//! An entry VM runs one [`Node`]. It admits or refuses each request according to a catalogue of
//! client accounts, queues it by tier at the broker of its service, sends it to a backend server at
//! most once, and records every refusal for the account that sent the request.
//!
//! The parts are separate crates: `model` (checked types), `broker` and `limits` (decisions),
//! `raft` and `state` (the replicated catalogue and claims), `control` (one state machine over all
//! of these), `driver` (its thread), `store`, `peer`, `backend`, `entry` (files and sockets) and
//! `settings`.
//!
//! # Examples
//!
//! A [`TestCluster`] runs entry VMs and stand-in backend servers on loopback addresses.
//!
//! ```
//! use fuchsiausher::{TestCluster, TestClusterConfig, chat_body};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let cluster = TestCluster::start(TestClusterConfig::small()).await.unwrap();
//! let answer = cluster.chat(0, "tier-0", chat_body("loom-model", 100, 3, true)).await.unwrap();
//! assert_eq!(answer.status, 200);
//! assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
//! cluster.stop().await;
//! # });
//! ```

mod cli;
mod client;
mod demo;
mod error;
mod links;
mod load;
mod node;
mod orders;
mod promises;
mod role;
mod test_cluster;

pub use control::Policy;

pub use crate::{
    cli::{Exit, main},
    client::{AdminClient, AdminError},
    error::Error,
    load::{Balancer, LoadRequest, LoadResult, RequestKind, run_load},
    node::Node,
    promises::{Promise, check_promises},
    test_cluster::{
        ServerGroup, TestCluster, TestClusterConfig, TestNode, account_entry, chat_body,
        free_address,
    },
};
