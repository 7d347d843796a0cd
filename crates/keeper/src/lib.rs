//! The state machine of a control VM: the routing plan and the orders of rollouts in a replicated log,
//! the registry of backend servers, and the membership of both. It performs no input or output.
//!
//! [`Keeper::step`] processes one [`Input`] at a given time and appends the resulting [`Output`]s.
//! The time must advance while the VM is suspended, since the leader's lease is measured by it.
//!
//! # Examples
//!
//! A VM that founds the log alone puts a plan in force and reads it back.
//!
//! ```
//! use keeper::{Answer, Call, Input, Keeper, Output, Setup};
//! use model::Time;
//!
//! let mut keeper = Keeper::new(&Setup::single("10.0.0.1".try_into()?, "zone-a".try_into()?));
//! let mut out = Vec::new();
//! let mut answers = Vec::new();
//! for ms in 1..5_000 {
//!     let now = Time::from_micros(ms * 1_000);
//!     if ms == 4_000 {
//!         let call = Call::Replace { version: 7, document: b"routes".to_vec().into() };
//!         keeper.step(now, Input::Call { call_id: 1, call }, &mut out);
//!     }
//!     if ms == 4_500 {
//!         keeper.step(now, Input::Call { call_id: 2, call: Call::Read }, &mut out);
//!     }
//!     keeper.step(now, Input::Tick, &mut out);
//!     for output in std::mem::take(&mut out) {
//!         match output {
//!             Output::Persist { id, .. } => keeper.step(now, Input::Persisted { id }, &mut out),
//!             Output::Reply { answer, .. } => answers.push(answer),
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(answers[0], Answer::Done { version: 7 });
//! assert!(matches!(&answers[1], Answer::Document { version: 7, .. }));
//! # Ok::<(), model::Error>(())
//! ```

mod announcements;
mod calls;
mod machine;
mod membership;
mod plan;
mod registry;
mod rollouts;
mod syncs;
mod voters;
mod wire;

pub use crate::{
    machine::{Change, Input, Keeper, Output, Setup},
    registry::{MergeResult, Phase, Registry, Server, ServerStatus},
    wire::{AgedServer, Answer, Call, Message, OrderProgress, Spending, Sync, Synced, Usage},
};
