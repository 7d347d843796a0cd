//! The control state of one entry VM, as one state machine without input or output.
//!
//! [`Machine::step`] takes the time and one [`Input`] and appends [`Output`]s. Sockets, files,
//! timers and random numbers stay with the driver, so that tests run the same code under a seeded
//! schedule.
//!
//! # Examples
//!
//! A single VM, which is its own quorum, takes a catalogue edit.
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

mod brokers;
mod contact;
mod declare;
mod ended;
mod event;
mod forming;
mod giving;
mod homes;
mod machine;
mod marks;
mod members;
mod membership;
mod orders;
mod proposals;
mod replicate;
mod report;
mod requests;
mod router;
mod setup;
mod shared;
mod status;
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
