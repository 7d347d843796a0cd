//! Spreads the state of entry VMs over a region, by availability zone.
//!
//! Every entry VM must know which others are live, which homes they have selected, and how much of
//! each client account's quota the region has used. If each told all others, the traffic would grow
//! with the square of their number. Instead, each VM reports to the *relay* of its zone. Relays
//! exchange the sums of their zones, and send the sums of the region to the VMs of their zone.
//!
//! A message carries only what changed since the last revision that its receiver has acknowledged,
//! so that a lost message costs nothing but time. The relay of a zone is chosen without an election,
//! by rank; a VM whose relay falls silent goes to the next one.
//!
//! [`Spread`] is one VM's part in this. It performs no input or output and reads no clock.

mod bounds;
mod digest;
mod ranking;
mod relay;
mod source;
mod spread;
mod table;
mod timing;

pub use crate::{
    digest::{Ack, Delta, Digest, Member, Scope},
    spread::{Setup, Sharing, Spread, Used},
    timing::Timing,
};
