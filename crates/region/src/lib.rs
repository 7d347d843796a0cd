//! Grants backend servers to requests across all entry VMs of a region.
//!
//! For each service the entry VMs agree on one of them as its *home*. The home's broker queues the
//! requests of all VMs and grants the service's servers, so that tiers keep their order and no
//! server gets more requests than it has slots, whichever VM a request arrives at. A VM whose
//! requests are queued at a home is a *client VM* of that home.
//!
//! [`Region`] is one VM's part in this: it selects homes together with the other VMs, forwards its
//! own requests to them, and grants servers to the requests of its client VMs. It performs no input
//! or output and reads no clock.
//!
//! Requests survive the failure of a home: their VMs select another one and report their running
//! and waiting requests to it.

mod channel;
mod message;
mod region;
mod selection;

pub use crate::{
    message::{Frame, LimitReport, Message, Session},
    region::{Gossip, GrantDecision, Notice, Region, ServiceUsage},
};
