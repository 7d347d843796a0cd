//! The bound on the memory and the descriptors that clients of a VM can take.
//!
//! [`Resources`] are what the settings give the VM, and [`Limits`] what is derived from them. A
//! [`Pool`] decides which bodies may grow, and which stalled bodies yield; [`Memory`] shares one
//! among tasks, and [`collect`] reads a body whose bytes are reserved before they are read.
//! [`Permits`] decides which connections stay open. The crate performs no input or output.

mod collect;
mod limits;
mod memory;
mod permits;
mod pool;

pub use crate::{
    collect::{CollectError, collect},
    limits::{Limits, Resources},
    memory::{BodyReservation, Memory, NoMemory},
    permits::{Permit, Permits, ResponseGuard},
    pool::{BodyId, Pool, PoolLimits, ReserveResult, STALL_TIME},
};
