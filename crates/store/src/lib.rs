//! What a VM keeps on disk: the replicated log and the records of refusals.
//!
//! Both lie in one data folder, each in a database file of its own. A write counts only once its
//! transaction is synced. Every record carries a checksum; one that does not match is an error,
//! never skipped.
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
//! let persist = WriteBatch { snapshot: Some(founding.snapshot.clone()), ..WriteBatch::default() };
//! journal.write(1, &[persist])?;
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
