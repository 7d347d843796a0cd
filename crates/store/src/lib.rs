//! Persistent storage of a VM: the replicated log and the records of refused requests.
//!
//! Both are kept in one data folder, each in its own database file. A write takes effect only once
//! its transaction is synced. Every record carries a checksum; a mismatch is reported as an error,
//! and the record is never skipped.
//!
//! # Examples
//!
//! ```
//! use model::VmName;
//! use raft::{Member, StoredState, WriteBatch};
//! use store::Journal;
//!
//! let folder = std::env::temp_dir().join(format!("store-doc-{}", std::process::id()));
//! let mut journal = Journal::open(&folder, || 7)?;
//! assert_eq!(journal.disk_id(), 7);
//! assert!(journal.load()?.is_none());
//! let voter = Member { vm: VmName::try_from("vm-1").unwrap(), disk: 7 };
//! let founding = StoredState::initial(1, [voter].into());
//! let batch = WriteBatch { snapshot: Some(founding.snapshot.clone()), ..WriteBatch::default() };
//! journal.write(1, &[batch])?;
//! assert_eq!(journal.load()?, Some(founding));
//! # std::fs::remove_dir_all(folder).unwrap();
//! # Ok::<(), error_stack::Report<store::Error>>(())
//! ```

mod error;
mod journal;
mod ledger;
mod record;
mod refusals;

pub use crate::{
    error::Error,
    journal::Journal,
    ledger::{Ledger, LedgerConfig},
    refusals::{RefusalStore, SequenceGap},
};
