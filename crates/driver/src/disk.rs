//! The thread that writes the replicated log.

use std::{sync::mpsc, thread};

use raft::WriteBatch;

/// Where the replicated log is written.
pub trait Disk: Send {
    /// Why a write failed.
    type Error: std::fmt::Debug;

    /// Writes batches in order, in one synced transaction.
    ///
    /// # Errors
    ///
    /// If they were not written and synced.
    fn write(&mut self, cluster: u64, batches: &[WriteBatch]) -> Result<(), Self::Error>;
}

/// A VM without a disk: its copy of the log lasts as long as the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDisk;

impl Disk for NoDisk {
    type Error = std::convert::Infallible;

    fn write(&mut self, _: u64, _: &[WriteBatch]) -> Result<(), Self::Error> {
        Ok(())
    }
}

/// A batch to write.
#[derive(Debug)]
pub struct LogWrite {
    /// Its number.
    pub id: u64,
    /// Identity of the log.
    pub cluster: u64,
    /// What to write.
    pub batch: WriteBatch,
}

/// Starts the thread; `done` is called with the number of the last batch that was synced, and
/// `failed` if a sync failed.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn spawn_disk_writer<D: Disk + 'static>(
    mut disk: D,
    done: impl Fn(u64) + Send + 'static,
    failed: impl Fn(String) + Send + 'static,
) -> std::io::Result<mpsc::Sender<LogWrite>> {
    let (writes, inbox) = mpsc::channel::<LogWrite>();
    let run = move || {
        while let Ok(first) = inbox.recv() {
            // Batches that came during the last sync share the next one.
            let mut group = vec![first];
            group.extend(inbox.try_iter());
            let (mut id, mut cluster) = (0, 0);
            let mut batches = Vec::with_capacity(group.len());
            for write in group {
                id = write.id;
                cluster = write.cluster;
                batches.push(write.batch);
            }
            match disk.write(cluster, &batches) {
                Ok(()) => done(id),
                Err(error) => {
                    failed(format!("{error:?}"));
                    return;
                }
            }
        }
    };
    thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(writes)
}
