//! The replicated log on disk.
//!
//! The database holds the log entries by index, and single records for the identity of the disk,
//! the identity of the cluster, the hard state (term and vote) and the snapshot.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use raft::{HardState, LogEntry, Snapshot, StoredState, WriteBatch};
use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};

use crate::{
    database,
    error::{Error, ErrorKind},
    record::{decode, encode},
};

/// Log entries by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// Single records, by the `*_KEY` constants.
const META: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("meta");
const DISK_KEY: u64 = 1;
const CLUSTER_KEY: u64 = 2;
const HARD_STATE_KEY: u64 = 3;
const SNAPSHOT_KEY: u64 = 4;
/// Name of the database file in the data folder.
const FILE_NAME: &str = "log.redb";

type Result<T> = std::result::Result<T, Report<Error>>;

/// The replicated log in a data folder.
#[derive(Debug)]
pub struct Journal {
    db: Database,
    disk_id: u64,
}

impl Journal {
    /// Opens the log in a data folder, which is created if it does not exist.
    ///
    /// A new folder is given the identity that `new_id` returns. An existing folder keeps its own.
    ///
    /// # Errors
    ///
    /// If the folder cannot be opened, or its identity cannot be read.
    pub fn open(folder: &Path, new_id: impl FnOnce() -> u64) -> Result<Self> {
        let path = folder.join(FILE_NAME);
        let failed = || Error::from(ErrorKind::Open(path.display().to_string()));
        fs::create_dir_all(folder).change_context_lazy(failed)?;
        let journal = Self::new(database::open(&path)?, new_id)?;
        // Syncs the folder, because its directory entry for the file must survive a crash too.
        fs::File::open(folder).and_then(|f| f.sync_all()).change_context_lazy(failed)?;
        Ok(journal)
    }

    /// Opens the log in another storage than a file, such as memory.
    ///
    /// # Errors
    ///
    /// If the storage holds something else, or cannot be read or written.
    ///
    /// # Examples
    ///
    /// ```
    /// use redb::backends::InMemoryBackend;
    /// use store::Journal;
    ///
    /// let journal = Journal::with_backend(InMemoryBackend::new(), || 7)?;
    /// assert_eq!(journal.disk_id(), 7);
    /// # Ok::<(), error_stack::Report<store::Error>>(())
    /// ```
    pub fn with_backend(
        backend: impl StorageBackend,
        new_id: impl FnOnce() -> u64,
    ) -> Result<Self> {
        Self::new(database::with_backend(backend, "the storage of the log")?, new_id)
    }

    fn new(db: Database, new_id: impl FnOnce() -> u64) -> Result<Self> {
        let mut journal = Self { db, disk_id: 0 };
        journal.create_tables()?;
        journal.disk_id = match journal.read_meta(DISK_KEY, "disk identity")? {
            Some(disk_id) => disk_id,
            None => journal.write_disk_id(new_id())?,
        };
        Ok(journal)
    }

    /// Returns the identity of this copy of the log, which is drawn once for each new data folder.
    ///
    /// A VM that lost its disk gets another identity, so that it never votes or acknowledges entries
    /// under that of the copy it lost.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    fn create_tables(&self) -> Result<()> {
        let failed = || Error::from(ErrorKind::Write("tables"));
        let txn = self.db.begin_write().change_context_lazy(failed)?;
        txn.open_table(ENTRIES).change_context_lazy(failed)?;
        txn.open_table(META).change_context_lazy(failed)?;
        txn.commit().change_context_lazy(failed)
    }

    fn write_disk_id(&self, disk_id: u64) -> Result<u64> {
        let failed = || Error::from(ErrorKind::Write("disk identity"));
        let txn = self.db.begin_write().change_context_lazy(failed)?;
        {
            let mut meta = txn.open_table(META).change_context_lazy(failed)?;
            let record = encode(&disk_id).ok_or_else(failed)?;
            meta.insert(DISK_KEY, record.as_slice()).change_context_lazy(failed)?;
        }
        txn.commit().change_context_lazy(failed)?;
        Ok(disk_id)
    }

    fn read_meta<T: serde::de::DeserializeOwned>(
        &self,
        key: u64,
        what: &'static str,
    ) -> Result<Option<T>> {
        let failed = || Error::from(ErrorKind::Read(what));
        let txn = self.db.begin_read().change_context_lazy(failed)?;
        let meta = txn.open_table(META).change_context_lazy(failed)?;
        let Some(record) = meta.get(key).change_context_lazy(failed)? else {
            return Ok(None);
        };
        let value = decode(record.value());
        value.map(Some).ok_or_else(|| Error::from(ErrorKind::Corrupt { what, key }).into())
    }

    /// Returns everything that was written, or `None` if no log was founded or joined.
    ///
    /// # Errors
    ///
    /// If a record cannot be read, is corrupt, or an entry is missing.
    pub fn load(&self) -> Result<Option<StoredState>> {
        let Some(cluster) = self.read_meta(CLUSTER_KEY, "cluster identity")? else {
            return Ok(None);
        };
        let hard_state: Option<HardState> = self.read_meta(HARD_STATE_KEY, "vote")?;
        let snapshot: Option<Snapshot> = self.read_meta(SNAPSHOT_KEY, "snapshot")?;
        let snapshot = snapshot.ok_or_else(|| Error::from(ErrorKind::Read("snapshot")))?;
        let entries = self.entries_after(snapshot.index)?;
        Ok(Some(StoredState {
            cluster,
            hard_state: hard_state.unwrap_or_default(),
            snapshot,
            entries,
        }))
    }

    fn entries_after(&self, index: u64) -> Result<Vec<LogEntry>> {
        let failed = || Error::from(ErrorKind::Read("entries"));
        let txn = self.db.begin_read().change_context_lazy(failed)?;
        let table = txn.open_table(ENTRIES).change_context_lazy(failed)?;
        let mut entries: Vec<LogEntry> = Vec::new();
        for item in table.range(index + 1..).change_context_lazy(failed)? {
            let (key, record) = item.change_context_lazy(failed)?;
            let key = key.value();
            let corrupt = ErrorKind::Corrupt { what: "entry", key };
            let entry: LogEntry =
                decode(record.value()).ok_or_else(|| Error::from(corrupt.clone()))?;
            let expected = index + 1 + entries.len() as u64;
            if key != expected || entry.index != expected {
                return Err(Error::from(ErrorKind::MissingEntry { index: expected }).into());
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Writes batches in order, in one synced transaction.
    ///
    /// # Errors
    ///
    /// If the batches cannot be written and synced. The content of the disk is then unknown, so the
    /// process must end: retrying a failed sync can report success for data that was lost.
    pub fn write(&mut self, cluster: u64, batches: &[WriteBatch]) -> Result<()> {
        let failed = || Error::from(ErrorKind::Write("log"));
        let txn = self.db.begin_write().change_context_lazy(failed)?;
        {
            let mut meta = txn.open_table(META).change_context_lazy(failed)?;
            let mut entries = txn.open_table(ENTRIES).change_context_lazy(failed)?;
            let mut put = |key: u64, record: Option<Vec<u8>>| -> Result<()> {
                let record = record.ok_or_else(failed)?;
                meta.insert(key, record.as_slice()).change_context_lazy(failed)?;
                Ok(())
            };
            put(CLUSTER_KEY, encode(&cluster))?;
            for batch in batches {
                if let Some(hard_state) = &batch.hard_state {
                    put(HARD_STATE_KEY, encode(hard_state))?;
                }
                if let Some(snapshot) = &batch.snapshot {
                    put(SNAPSHOT_KEY, encode(snapshot))?;
                }
                write_entries(&mut entries, batch)?;
            }
        }
        txn.commit().change_context_lazy(failed)
    }
}

fn write_entries(table: &mut redb::Table<'_, u64, &[u8]>, batch: &WriteBatch) -> Result<()> {
    let failed = || Error::from(ErrorKind::Write("log"));
    if let Some(snapshot) = &batch.snapshot {
        table.retain_in(..=snapshot.index, |_, _| false).change_context_lazy(failed)?;
    }
    if let Some(index) = batch.truncate {
        table.retain_in(index.., |_, _| false).change_context_lazy(failed)?;
    }
    for entry in &batch.entries {
        let record = encode(entry).ok_or_else(failed)?;
        table.insert(entry.index, record.as_slice()).change_context_lazy(failed)?;
    }
    Ok(())
}
