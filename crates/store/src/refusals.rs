//! Storage of refusal records, on disk or in memory.
//!
//! Records are ordered by account and time, so that the records of one account can be read as a
//! range. An index by time serves to remove the oldest records once there are too many.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fs,
    path::Path,
};

use error_stack::{Report, ResultExt};
use model::{AccountName, Refusal, RefusalKey, VmName};
use redb::{Database, ReadableDatabase, ReadableTableMetadata, TableDefinition};
use serde::{Deserialize, Serialize};

use crate::{
    database,
    error::{Error, ErrorKind},
    record::{decode, encode},
};

/// Records by account, time and record key.
const RECORDS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("refusals");
/// Keys of `RECORDS` by time, by which the oldest records are removed.
const BY_TIME: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("by_time");
/// Maximum number of records kept on disk; the oldest are removed first.
const MAX_ON_DISK: u64 = 2_000_000;
/// Maximum number of records kept in memory by a VM without a disk; those added first are removed
/// first.
const MAX_IN_MEMORY: usize = 50_000;
/// Name of the database file in the data folder.
const FILE_NAME: &str = "refusals.redb";

type Result<T> = std::result::Result<T, Report<Error>>;

/// Records of one process that are missing: a record with a higher number is held, so they exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceGap {
    /// The VM whose process refused the requests.
    pub vm: VmName,
    /// Start of that process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of missing records up to the latest one held; always above 0.
    pub missing: u64,
}

/// A store of refusal records, on disk or in memory.
#[derive(Debug)]
pub struct RefusalStore {
    backing: Backing,
}

#[derive(Debug)]
enum Backing {
    Disk(Database),
    Memory { records: BTreeMap<Vec<u8>, Refusal>, order: VecDeque<Vec<u8>> },
}

impl RefusalStore {
    /// Opens the records in a data folder, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// If the folder or the database file in it cannot be opened.
    pub fn open(folder: &Path) -> Result<Self> {
        let path = folder.join(FILE_NAME);
        let failed = || Error::from(ErrorKind::Open(path.display().to_string()));
        fs::create_dir_all(folder).change_context_lazy(failed)?;
        let db = database::open(&path)?;
        let txn = db.begin_write().change_context_lazy(failed)?;
        txn.open_table(RECORDS).change_context_lazy(failed)?;
        txn.open_table(BY_TIME).change_context_lazy(failed)?;
        txn.commit().change_context_lazy(failed)?;
        Ok(Self { backing: Backing::Disk(db) })
    }

    /// Creates a store in memory, whose records last as long as the process.
    #[must_use]
    pub fn in_memory() -> Self {
        Self { backing: Backing::Memory { records: BTreeMap::new(), order: VecDeque::new() } }
    }

    /// Reports whether records survive the process, because the store is on disk.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        matches!(self.backing, Backing::Disk(_))
    }

    /// Adds records in one synced transaction. A record that is already held is not added again.
    ///
    /// # Errors
    ///
    /// If the records cannot be written and synced.
    pub fn add(&mut self, refusals: &[Refusal]) -> Result<()> {
        match &mut self.backing {
            Backing::Disk(db) => add_on_disk(db, refusals),
            Backing::Memory { records, order } => {
                for refusal in refusals {
                    let key = record_key(refusal);
                    if records.insert(key.clone(), refusal.clone()).is_none() {
                        order.push_back(key);
                    }
                }
                while order.len() > MAX_IN_MEMORY {
                    if let Some(key) = order.pop_front() {
                        records.remove(&key);
                    }
                }
                Ok(())
            }
        }
    }

    /// Returns the records of one account since a time, oldest first, at most `max`.
    ///
    /// `None` stands for requests without valid credentials. `since` is in microseconds since the
    /// Unix epoch, and records of exactly that time are included.
    ///
    /// # Errors
    ///
    /// If the records cannot be read, or one is corrupt.
    pub fn query(
        &self,
        account: Option<&AccountName>,
        since: u64,
        max: usize,
    ) -> Result<Vec<Refusal>> {
        let (start, end) = account_range(account, since);
        match &self.backing {
            Backing::Disk(db) => query_on_disk(db, &start, &end, max),
            Backing::Memory { records, .. } => {
                Ok(records.range(start..end).take(max).map(|(_, r)| r.clone()).collect())
            }
        }
    }

    /// Returns the number of records held.
    ///
    /// # Errors
    ///
    /// If the store cannot be read.
    pub fn len(&self) -> Result<u64> {
        match &self.backing {
            Backing::Disk(db) => {
                let failed = || Error::from(ErrorKind::Read("refusals"));
                let txn = db.begin_read().change_context_lazy(failed)?;
                let table = txn.open_table(RECORDS).change_context_lazy(failed)?;
                table.len().change_context_lazy(failed)
            }
            Backing::Memory { records, .. } => Ok(records.len() as u64),
        }
    }

    /// Reports whether no record is held.
    ///
    /// # Errors
    ///
    /// If the store cannot be read.
    pub fn is_empty(&self) -> Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// Returns the processes whose sequence numbers in `keys` have gaps below the highest one.
pub(crate) fn gaps<'a>(keys: impl Iterator<Item = &'a RefusalKey>) -> Vec<SequenceGap> {
    let mut by_process: BTreeMap<(VmName, u64), BTreeSet<u64>> = BTreeMap::new();
    for key in keys {
        by_process.entry((key.vm.clone(), key.incarnation)).or_default().insert(key.seq);
    }
    let gap = |((vm, incarnation), seqs): ((VmName, u64), BTreeSet<u64>)| {
        let last = seqs.last().copied().unwrap_or(0);
        SequenceGap { vm, incarnation, missing: last - seqs.len() as u64 }
    };
    by_process.into_iter().map(gap).filter(|g| g.missing > 0).collect()
}

fn add_on_disk(db: &Database, refusals: &[Refusal]) -> Result<()> {
    let failed = || Error::from(ErrorKind::Write("refusals"));
    let txn = db.begin_write().change_context_lazy(failed)?;
    {
        let mut records = txn.open_table(RECORDS).change_context_lazy(failed)?;
        let mut by_time = txn.open_table(BY_TIME).change_context_lazy(failed)?;
        for refusal in refusals {
            let key = record_key(refusal);
            let record = encode(refusal).ok_or_else(failed)?;
            records.insert(key.as_slice(), record.as_slice()).change_context_lazy(failed)?;
            let time_key = time_key(refusal);
            by_time.insert(time_key.as_slice(), key.as_slice()).change_context_lazy(failed)?;
        }
        while records.len().change_context_lazy(failed)? > MAX_ON_DISK {
            let Some((_, key)) = by_time.pop_first().change_context_lazy(failed)? else {
                break;
            };
            records.remove(key.value()).change_context_lazy(failed)?;
        }
    }
    txn.commit().change_context_lazy(failed)
}

fn query_on_disk(db: &Database, start: &[u8], end: &[u8], max: usize) -> Result<Vec<Refusal>> {
    let failed = || Error::from(ErrorKind::Read("refusals"));
    let txn = db.begin_read().change_context_lazy(failed)?;
    let table = txn.open_table(RECORDS).change_context_lazy(failed)?;
    let mut found = Vec::new();
    for item in table.range(start..end).change_context_lazy(failed)?.take(max) {
        let (_, record) = item.change_context_lazy(failed)?;
        let corrupt = ErrorKind::Corrupt { what: "refusal", key: found.len() as u64 };
        found.push(decode(record.value()).ok_or_else(|| Error::from(corrupt))?);
    }
    Ok(found)
}

/// Returns the key in `RECORDS`: the account, a zero byte, the time, and the identity of the
/// record.
fn record_key(refusal: &Refusal) -> Vec<u8> {
    let mut key = account_prefix(refusal.account.as_ref());
    key.extend(time_key(refusal));
    key
}

fn time_key(refusal: &Refusal) -> Vec<u8> {
    let mut key = refusal.at.to_be_bytes().to_vec();
    key.extend(refusal.key.incarnation.to_be_bytes());
    key.extend(refusal.key.seq.to_be_bytes());
    key.extend(refusal.key.vm.as_str().as_bytes());
    key
}

fn account_prefix(account: Option<&AccountName>) -> Vec<u8> {
    let mut key = account.map_or(Vec::new(), |a| a.as_str().as_bytes().to_vec());
    key.push(0);
    key
}

fn account_range(account: Option<&AccountName>, since: u64) -> (Vec<u8>, Vec<u8>) {
    let mut start = account_prefix(account);
    let mut end = start.clone();
    start.extend(since.to_be_bytes());
    // Account names contain no byte below 2, so no key of another account is in this range.
    if let Some(last) = end.last_mut() {
        *last = 1;
    }
    (start, end)
}
