//! The data types that the other crates share: names, tiers, times, requests, catalogue entries,
//! backend servers and refusals.
//!
//! Nothing here performs I/O. Raw input is validated when it is converted by `TryFrom`, so other
//! code can rely on values of these types being valid.
//!
//! # Examples
//!
//! ```
//! use model::{AccountName, Tier};
//!
//! let account = AccountName::try_from("north-workshop")?;
//! assert_eq!(account.as_str(), "north-workshop");
//! assert!(Tier::from_class(9).is_err());
//! # Ok::<(), model::Error>(())
//! ```

mod catalogue;
mod error;
mod hash;
mod invariant;
mod names;
mod part;
mod reason;
mod refusal;
mod request;
mod server;
mod tier;
mod time;

pub use crate::{
    catalogue::{Catalogue, Credential, Edit, EditOutcome, Entry, Limits, RawEntry},
    error::Error,
    hash::{digest, rendezvous_pick, unit_hash},
    invariant::Invariant,
    names::{AccountName, EditId, ServerId, ServiceName, VersionName, VmName, ZoneName},
    part::Part,
    reason::{RefusalReason, RetryReason, Verdict},
    refusal::{Refusal, RefusalKey},
    request::{Outcome, RequestId, Ticket},
    server::{Announcement, Duty, Fencing, Kind, Mark, RawAnnouncement},
    tier::{TIER_COUNT, Tier},
    time::{Span, Time},
};
