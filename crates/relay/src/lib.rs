//! The data plane of an entry VM: admits callers' requests according to the routing plan and
//! forwards them to backend servers.
//!
//! The parts that make decisions perform no input or output: [`Scheduler`] places requests on
//! servers, [`Quotas`] and [`RetryBudgets`] limit them across all entry VMs, and [`EventSplitter`]
//! splits event streams so that they can be resumed at another server. The rest of the crate runs
//! them: the event loop of the scheduler thread, the HTTP listeners, the forwarding of each
//! request, and the tasks that poll the control VMs and receive datagrams of the other entry VMs.

mod cluster;
mod coalesce;
mod control;
mod datagram;
mod dialect;
mod ending;
mod error;
mod event_loop;
mod events;
mod forward;
mod frontend;
mod hedge;
mod listen;
mod node;
mod plans;
mod quota;
mod restraint;
mod retry_budget;
mod scheduler;
mod stream;
mod trial;

pub use crate::{
    cluster::Cluster,
    coalesce::{Coalescer, coalescing_window},
    datagram::{Datagram, Encoded, MAX_DATAGRAM_BYTES, Unsendable},
    dialect::{CallerRequest, Dialect, ForwardInfo, RequestFailure, ResponseInfo},
    ending::{HealthReply, Sender},
    error::Error,
    events::{EventError, EventSplitter},
    hedge::{Class, Hedges},
    listen::serve_probes,
    node::{Relay, RelayConfig},
    quota::{QuotaConfig, Quotas},
    restraint::{Cause, Notice, Restraints},
    retry_budget::RetryBudgets,
    scheduler::{Charge, Decision, Fleet, Orders, Placement, PlacementRequest, Scheduler},
};
