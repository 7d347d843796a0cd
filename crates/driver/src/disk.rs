//! The thread that writes the replicated log.
//!
//! The control thread queues batches and goes on without waiting. Batches that queue up during a
//! sync are written together in the next transaction (group commit), and the control thread is
//! notified once they are synced.

use std::{sync::mpsc, thread};

use raft::WriteBatch;

/// Durable storage of the replicated log.
pub trait Disk: Send {
    /// The cause of a failed write.
    type Error: std::fmt::Debug;

    /// Writes batches in order, in one synced transaction.
    ///
    /// `cluster` is the identity of the replicated log that the batches belong to.
    ///
    /// # Errors
    ///
    /// If the batches were not written and synced.
    fn write(&mut self, cluster: u64, batches: &[WriteBatch]) -> Result<(), Self::Error>;
}

/// Storage of a VM without a disk, which discards all writes: the VM's copy of the log lasts as
/// long as the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDisk;

impl Disk for NoDisk {
    type Error = std::convert::Infallible;

    fn write(&mut self, _: u64, _: &[WriteBatch]) -> Result<(), Self::Error> {
        Ok(())
    }
}

/// A batch that is queued for the disk thread.
#[derive(Debug)]
pub struct LogWrite {
    /// Number of the batch, assigned by the control state. Once the batch is synced, `done` of
    /// [`spawn_disk_writer`] is called with this number or that of a later batch.
    pub id: u64,
    /// Identity of the replicated log that the batch belongs to.
    pub cluster: u64,
    /// Changes to the stored log: new entries, a truncation, a snapshot or a new hard state.
    pub batch: WriteBatch,
}

/// Starts the disk thread and returns the channel to its queue.
///
/// `done` is called after each sync with the number of the last batch that it included. If a write
/// fails, `failed` is called with the error and the thread ends.
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
            // Batches that were queued during the last sync share the next one.
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
