//! Decides which request goes to which backend server, for one service in one availability zone.
//!
//! A [`Broker`] queues tickets by tier, keeps the backend servers' own queues short, and chooses
//! servers by its own observations and by the reports of servers and other VMs. It performs no
//! input or output and reads no clock: calls take the current time and append their decisions to a
//! list of [`Action`]s.
//!
//! # Examples
//!
//! ```
//! use broker::{Action, Broker, Config, Offer};
//! use model::{Kind, RawAnnouncement, RequestId, Span, Ticket, Tier, Time};
//!
//! let mut broker = Broker::new(Config::default());
//! let mut actions = Vec::new();
//! let now = Time::default();
//! let raw = RawAnnouncement {
//!     id: "engine-1".into(),
//!     service: "loom-model".into(),
//!     kind: Kind::Model,
//!     address: "127.0.0.1:9000".into(),
//!     slots: 4,
//!     generation: 1,
//!     fencing: Default::default(),
//!     ttl_ms: 3_000,
//!     load: 0,
//!     prefixes: None,
//! };
//! broker.announce(now, raw.try_into()?, &mut actions);
//! let ticket = Ticket {
//!     request: RequestId::from(1),
//!     account: "north-workshop".try_into()?,
//!     service: "loom-model".try_into()?,
//!     tier: Tier::HIGHEST,
//!     budget: Span::from_secs(2),
//!     prompt: 100,
//!     answer: 50,
//!     prefix: 0,
//!     cancellable: true,
//! };
//! let offer = Offer { ticket, owner: "vm-1".try_into()?, urgent: false, avoid: Vec::new(), late: None };
//! broker.submit(now, offer, &mut actions);
//! assert!(matches!(actions[0], Action::Grant { .. }));
//! # Ok::<(), model::Error>(())
//! ```

mod action;
mod broker;
mod config;
mod forecast;
mod latency;
mod policy;
mod pool;
mod prefix;
mod queue;
mod route;

pub use crate::{
    action::{Action, LateLimits, Offer, RunningRequest, ServerLoad, VmLoad},
    broker::{Broker, SlotUsage, Summary},
    config::Config,
    policy::Policy,
    pool::{OrderRules, VersionRules},
    route::{Candidate, LeastInFlight, LeastReported, Predicted, RoundRobin, Router, TwoChoices},
};
