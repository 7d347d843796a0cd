//! Small stand-ins for backend servers, on real sockets, for the demo, tests and measurements.
//!
//! A [`Server`] runs a model engine or a plain service. It announces itself, keeps [`Stats`] of
//! what it ran, and can be told to fail in the ways that real servers do.

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
    faults::Fault,
    server::{Config, Pace, Role, Server},
    stats::{PlacementOrder, Stats, Totals},
};
