//! The control state of one entry VM, as a state machine without input or output.
//!
//! [`Machine::step`] takes the time and one [`Input`] and appends [`Output`]s. Sockets, files,
//! timers and random numbers stay with the driver, so that tests run the same code under a seeded
//! schedule. The machine holds the VM's view of its peers, the requests of its callers, the brokers
//! and limits that it hosts, and its copy of the replicated log.
//!
//! # Examples
//!
//! A single VM, which is its own quorum, accepts a catalogue edit.
//!
//! ```
//! use control::{Answer, Clock, Input, Machine, Output, Setup};
//! use model::{Edit, EditId, EditOutcome, VmName};
//! use state::Command;
//!
//! let setup = Setup::single("vm-1".try_into()?, "zone-a".try_into()?);
//! let mut machine = Machine::new(&setup);
//! let mut out = Vec::new();
//! let edit = Edit { id: EditId::try_from("e1")?, base: 0, put: vec![], remove: vec![] };
//! machine.step(Clock::at_millis(1), Input::Propose { call: 1, command: Command::Edit(edit) }, &mut out);
//! let mut answer = None;
//! for ms in 2..5_000 {
//!     for output in std::mem::take(&mut out) {
//!         match output {
//!             Output::Persist { id, .. } => {
//!                 machine.step(Clock::at_millis(ms), Input::Persisted { id }, &mut out);
//!             }
//!             Output::Reply { answer: got, .. } => answer = Some(got),
//!             _ => {}
//!         }
//!     }
//!     machine.step(Clock::at_millis(ms), Input::Tick, &mut out);
//! }
//! assert!(matches!(answer, Some(Answer::Edit { outcome: EditOutcome::Accepted { .. }, .. })));
//! # Ok::<(), model::Error>(())
//! ```

mod account_limits;
mod bootstrap;
mod brokers;
mod contact;
mod ended_requests;
mod event;
mod issue_orders;
mod leader_calls;
mod machine;
mod mark_updates;
mod marks;
mod members;
mod membership;
mod orders;
mod replicated_log;
mod replication;
mod request_lifecycle;
mod requests;
mod setup;
mod status;
mod status_report;
mod voters;
mod wire;

pub use broker::Policy;

pub use crate::{
    contact::{Contact, Operation, is_allowed},
    event::{Answer, Clock, Input, LogEvent, Order, Output, PublishedState},
    machine::Machine,
    members::HEARTBEAT_INTERVAL,
    setup::{PeerSetup, Setup},
    status::{PeerStatus, ServerStatus, Status},
    wire::{Heartbeat, Message},
};
