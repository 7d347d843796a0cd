//! Stand-ins for backend servers, for the demo, the tests and the measurements.
//!
//! A [`Server`] is a small HTTP server on a loopback socket that simulates a model engine or a
//! plain service. It announces itself to entry VMs, keeps [`Stats`] of the requests that it ran,
//! and injects the [`Fault`] that it is set to. [`call`] is a small HTTP client for the same
//! purposes.

mod announce;
mod call;
mod engine;
mod faults;
mod plain;
mod server;
mod stats;

pub use crate::{
    announce::Announcer,
    call::{CallError, HttpResponse, call},
    engine::PrefixHolders,
    faults::{ENDING_TEXT, Fault},
    server::{Config, Pace, Role, Server},
    stats::{PlacementOrder, Stats, Totals},
};
