//! Decides about the rollout of another version of a service: how many requests it may get, what
//! its answers say about it, and when the order is completed or rolled back.
//!
//! The parts run on different VMs. [`Rollouts`] is the durable state that control VMs replicate. A
//! home of a service limits by [`Exposure`] what a version under trial gets. Entry VMs count answers
//! in a [`Collector`], control VMs add the counts of all entry VMs up in [`Evidence`], and the leader
//! judges them with a [`Judge`] and moves the order on as [`Rollout::next_phase`] says. The crate
//! performs no input or output and reads no clock.
//!
//! # Examples
//!
//! ```
//! use model::Span;
//! use rollout::{Admission, Command, Order, Phase, Rollouts};
//!
//! let order = Order {
//!     service: "loom-model".try_into()?,
//!     to: "v2".try_into()?,
//!     duration: Span::from_secs(12),
//! };
//! let mut rollouts = Rollouts::default();
//! assert_eq!(rollouts.check(0, &order), Admission::New);
//! rollouts.apply(Command::Start { order: order.clone(), at_ms: 0 });
//! assert_eq!(rollouts.check(500, &order), Admission::Known);
//! assert_eq!(rollouts.get(&order.service).map(|r| r.phase), Some(Phase::Trial));
//! # Ok::<(), model::Error>(())
//! ```

mod collector;
mod evidence;
mod exposure;
mod judge;
mod known;
mod order;
mod tally;

pub use crate::{
    collector::{Collector, Report},
    evidence::Evidence,
    exposure::{Exposure, ExposureLimits},
    judge::{Finding, Judge, Symptom, Verdict},
    known::{ControlAnswer, KnownOrders, ServiceVersion},
    order::{Admission, Command, Order, Phase, Progress, Rollout, Rollouts},
    tally::{Answer, Cell, Tally},
};
