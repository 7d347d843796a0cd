//! Rate limits of client accounts: requests per second, concurrent requests, tokens per second.
//!
//! One VM, the account's home, enforces the limits of an account for the whole region. A
//! [`Limiter`] holds the state of all accounts whose home a VM is; [`partition_share`] reduces
//! limits while VMs may be partitioned. The crate performs no input or output and reads no clock.
//!
//! # Examples
//!
//! ```
//! use limits::Limiter;
//! use model::{AccountName, Limits, RequestId, Time, VmName};
//!
//! let mut limiter = Limiter::default();
//! let (account, vm) = (AccountName::try_from("a")?, VmName::try_from("vm-1")?);
//! let limits = Limits { rate: 10, concurrent: 1, tokens: 100 };
//! let now = Time::default();
//! assert!(limiter.admit(now, &account, limits, RequestId::from(1), &vm, 5).is_ok());
//! assert!(limiter.admit(now, &account, limits, RequestId::from(2), &vm, 5).is_err());
//! # Ok::<(), model::Error>(())
//! ```

mod bucket;
mod limiter;
mod partition;

pub use crate::{
    limiter::{Limiter, OverLimit},
    partition::{PartitionSide, partition_share},
};
