//! An entry VM's traffic: callers' requests, admitted by the routing plan and forwarded to backend
//! servers.
//!
//! Decisions are made without input or output: [`Desk`] admits and places requests, [`Quotas`] and
//! [`Budgets`] limit them over all entry VMs, [`Events`] splits streams so that they can go on at
//! another server. Around them are the thread of the desk, the listeners, and the tasks that follow
//! the control VMs and the other entry VMs.

mod budget;
mod desk;
mod dialect;
mod error;
mod events;
mod follow;
mod forward;
mod gate;
mod listen;
mod load;
mod node;
mod quota;
mod stream;
mod thread;

pub use crate::{
    budget::Budgets,
    desk::{Charge, Decision, Desk, Fleet, Verdicted, Want},
    dialect::{CallerRequest, Dialect, ForwardInfo, RequestFailure, ResponseInfo},
    error::Error,
    events::{Events, Gap},
    listen::serve_probes,
    load::Load,
    node::{Relay, RelayConfig},
    quota::{QuotaConfig, Quotas, Relayed, Spent},
};
