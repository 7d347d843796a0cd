//! Persistent storage of a VM: the replicated log, the records of refused requests, and single
//! values.
//!
//! All are kept in one data folder, the first two in database files of their own, and each value in
//! a [`ValueFile`]. A write takes effect only once it is synced. Every record carries a checksum; a
//! mismatch is reported as an error, and the record is never skipped.
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

mod database;
mod error;
mod file;
mod journal;
mod ledger;
mod record;
mod refusals;

pub use crate::{
    error::Error,
    file::ValueFile,
    journal::Journal,
    ledger::{Ledger, LedgerConfig},
    refusals::{RefusalStore, SequenceGap},
};
