//! The brokers of all entry VMs of a region, acting as one for each service.
//!
//! One VM's broker, the home of a service, queues the requests of all VMs and grants its servers, so
//! tiers keep their order and no server gets more requests than it has slots, whichever VM they came
//! to. [`Region`] is one VM's part in this: it chooses homes together with the other VMs, passes its
//! requests on to them, and grants those of others where it is the home itself. It performs no input
//! or output and reads no clock.
//!
//! Requests survive a home that fails: their VMs choose another one, and tell it what runs and what
//! waits.

mod choice;
mod courier;
mod message;
mod region;

pub use crate::{
    message::{Frame, Message, Session},
    region::{Gossip, GrantDecision, Notice, Region},
};
