//! Records of refusals, on disk or in memory.

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
    error::{Error, ErrorKind},
    record::{seal, unseal},
};

/// Records by account, time and identity.
const RECORDS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("refusals");
/// Record keys by time, for retention.
const BY_TIME: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("by_time");
/// Records kept on disk; the oldest are removed first.
const MAX_ON_DISK: u64 = 2_000_000;
/// Records kept in memory by a VM without a disk.
const MAX_IN_MEMORY: usize = 50_000;
/// Name of the database file in the data folder.
const FILE: &str = "refusals.redb";

type Result<T> = std::result::Result<T, Report<Error>>;

/// Records that are known to exist and are not held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceGap {
    /// The VM that refused.
    pub vm: VmName,
    /// Start of its process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Records of that process that are missing.
    pub missing: u64,
}

/// Records of refusals.
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
    /// If the folder cannot be opened.
    pub fn open(folder: &Path) -> Result<Self> {
        let path = folder.join(FILE);
        let failed = || Error::from(ErrorKind::Open(path.display().to_string()));
        fs::create_dir_all(folder).change_context_lazy(failed)?;
        let db = Database::create(&path).change_context_lazy(failed)?;
        let txn = db.begin_write().change_context_lazy(failed)?;
        txn.open_table(RECORDS).change_context_lazy(failed)?;
        txn.open_table(BY_TIME).change_context_lazy(failed)?;
        txn.commit().change_context_lazy(failed)?;
        Ok(Self { backing: Backing::Disk(db) })
    }

    /// Records that last as long as the process.
    #[must_use]
    pub fn in_memory() -> Self {
        Self { backing: Backing::Memory { records: BTreeMap::new(), order: VecDeque::new() } }
    }

    /// Whether records survive the process.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        matches!(self.backing, Backing::Disk(_))
    }

    /// Adds records in one synced transaction; a record that is held already is not added twice.
    ///
    /// # Errors
    ///
    /// If they cannot be written and synced.
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

    /// Records of one account (`None`: requests without valid credentials) since a time in
    /// microseconds since the Unix epoch, oldest first, at most `max`.
    ///
    /// # Errors
    ///
    /// If they cannot be read, or one is corrupt.
    pub fn query(
        &self,
        account: Option<&AccountName>,
        since: u64,
        max: usize,
    ) -> Result<Vec<Refusal>> {
        let (start, end) = account_range(account, since);
        match &self.backing {
            Backing::Disk(db) => query_disk(db, &start, &end, max),
            Backing::Memory { records, .. } => {
                Ok(records.range(start..end).take(max).map(|(_, r)| r.clone()).collect())
            }
        }
    }

    /// Number of records held.
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

    /// Whether no record is held.
    ///
    /// # Errors
    ///
    /// If the store cannot be read.
    pub fn is_empty(&self) -> Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// Processes of which some records up to the highest known one are missing from `keys`.
pub(crate) fn gaps<'a>(keys: impl Iterator<Item = &'a RefusalKey>) -> Vec<SequenceGap> {
    let mut by_process: BTreeMap<(VmName, u64), BTreeSet<u64>> = BTreeMap::new();
    for key in keys {
        by_process.entry((key.vm.clone(), key.incarnation)).or_default().insert(key.seq);
    }
    let hole = |((vm, incarnation), seqs): ((VmName, u64), BTreeSet<u64>)| {
        let last = seqs.last().copied().unwrap_or(0);
        SequenceGap { vm, incarnation, missing: last - seqs.len() as u64 }
    };
    by_process.into_iter().map(hole).filter(|h| h.missing > 0).collect()
}

fn add_on_disk(db: &Database, refusals: &[Refusal]) -> Result<()> {
    let failed = || Error::from(ErrorKind::Write("refusals"));
    let txn = db.begin_write().change_context_lazy(failed)?;
    {
        let mut records = txn.open_table(RECORDS).change_context_lazy(failed)?;
        let mut by_time = txn.open_table(BY_TIME).change_context_lazy(failed)?;
        for refusal in refusals {
            let key = record_key(refusal);
            let record = seal(refusal).ok_or_else(failed)?;
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

fn query_disk(db: &Database, start: &[u8], end: &[u8], max: usize) -> Result<Vec<Refusal>> {
    let failed = || Error::from(ErrorKind::Read("refusals"));
    let txn = db.begin_read().change_context_lazy(failed)?;
    let table = txn.open_table(RECORDS).change_context_lazy(failed)?;
    let mut found = Vec::new();
    for item in table.range(start..end).change_context_lazy(failed)?.take(max) {
        let (_, record) = item.change_context_lazy(failed)?;
        let corrupt = ErrorKind::Corrupt { what: "refusal", key: found.len() as u64 };
        found.push(unseal(record.value()).ok_or_else(|| Error::from(corrupt))?);
    }
    Ok(found)
}

/// Account, a zero byte, time, and the record's identity.
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
    // Names contain no byte below 2, so nothing else lies before this end.
    if let Some(last) = end.last_mut() {
        *last = 1;
    }
    (start, end)
}
