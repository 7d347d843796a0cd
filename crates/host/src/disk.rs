//! The log in a data folder whose disk may be full or slow for a while.

use std::{
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use driver::Disk;
use error_stack::Report;
use raft::WriteBatch;
use store::Journal;

/// Interval at which a disk that refused a write or cannot be opened is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Opens the log, as soon as the disk lets it.
pub(crate) fn open(folder: &Path) -> Journal {
    loop {
        match Journal::open(folder, rand::random) {
            Ok(journal) => return journal,
            Err(error) => report(folder, "opened", &error),
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

fn report(folder: &Path, what: &str, error: &Report<store::Error>) {
    let (folder, error) = (folder.display().to_string(), format!("{error:?}"));
    spdlog::error!("the log cannot be {what}; trying again", kv: { folder, error });
}

/// Writes batches until they are synced.
///
/// After a failed write the database is opened anew, which brings it back to the last batch that
/// was synced, and the batches are written again: writing them twice leads to the same log. What
/// waits for the write waits on, so a disk that refuses writes stops this copy's votes and
/// acknowledgements, and nothing else.
pub(crate) struct JournalDisk {
    folder: PathBuf,
    journal: Option<Journal>,
}

impl JournalDisk {
    pub(crate) fn new(folder: PathBuf, journal: Journal) -> Self {
        Self { folder, journal: Some(journal) }
    }
}

impl Disk for JournalDisk {
    type Error = std::convert::Infallible;

    fn write(&mut self, cluster: u64, batches: &[WriteBatch]) -> Result<(), Self::Error> {
        loop {
            let mut journal = self.journal.take().unwrap_or_else(|| open(&self.folder));
            match journal.write(cluster, batches) {
                Ok(()) => {
                    self.journal = Some(journal);
                    return Ok(());
                }
                Err(error) => report(&self.folder, "written", &error),
            }
            drop(journal);
            thread::sleep(RETRY_INTERVAL);
        }
    }
}
