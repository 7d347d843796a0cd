//! Storage of the replicated log on a disk that may be full or slow for a while.
//!
//! Opening and writing are retried until they succeed, so the process does not end meanwhile.

use std::{
    io,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use driver::Disk;
use error_stack::Report;
use raft::WriteBatch;
use store::Journal;
use tokio::sync::oneshot;

/// Delay before an open or a write that failed is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Opens the log on a thread of its own, and retries until that succeeds or the returned receiver is
/// dropped.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be created.
pub(crate) fn open_in_background(folder: &Path) -> io::Result<oneshot::Receiver<Journal>> {
    let (sender, receiver) = oneshot::channel();
    let folder = folder.to_owned();
    let run = move || {
        while !sender.is_closed() {
            if let Some(journal) = try_open(&folder) {
                // The send fails if the VM stops meanwhile.
                let _ = sender.send(journal);
                return;
            }
        }
    };
    thread::Builder::new().name("open".into()).spawn(run)?;
    Ok(receiver)
}

/// Opens the log, and retries until that succeeds.
fn open(folder: &Path) -> Journal {
    loop {
        if let Some(journal) = try_open(folder) {
            return journal;
        }
    }
}

/// Opens the log. Waits after a failure, so that the caller can try again at once.
fn try_open(folder: &Path) -> Option<Journal> {
    match Journal::open(folder, rand::random) {
        Ok(journal) => Some(journal),
        Err(error) => {
            log_failure(folder, "opened", &error);
            thread::sleep(RETRY_INTERVAL);
            None
        }
    }
}

fn log_failure(folder: &Path, what: &str, error: &Report<store::Error>) {
    let (folder, error) = (folder.display().to_string(), format!("{error:?}"));
    spdlog::error!("the log cannot be {what}; trying again", kv: { folder, error });
}

/// Writes batches, and retries until they are synced.
///
/// After a failed write the database is reopened, which restores the state after the last synced
/// batch, and the batches are written again; writing them twice leads to the same log. Meanwhile
/// everything that depends on the write is delayed, so a disk that fails writes stops the votes and
/// acknowledgements of this copy of the log, and nothing else.
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
                Err(error) => log_failure(&self.folder, "written", &error),
            }
            drop(journal);
            thread::sleep(RETRY_INTERVAL);
        }
    }
}
