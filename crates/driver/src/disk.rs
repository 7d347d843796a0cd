//! The thread that writes the replicated log.
//!
//! The control thread queues batches and goes on without waiting. Batches that queue up during a
//! sync are written together in the next transaction (group commit), and the control thread is
//! notified once they are synced.

use std::{
    panic::{self, AssertUnwindSafe},
    sync::{Arc, mpsc},
    thread,
};

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

/// Starts a thread on which the process depends.
///
/// If the thread panics, `failed` is called on it with a text that names it. The process must then
/// end, because it would go on without doing the work of the thread.
///
/// # Errors
///
/// If the thread cannot be started.
///
/// # Examples
///
/// ```
/// let (sender, receiver) = std::sync::mpsc::channel();
/// driver::spawn_critical("disk", || panic!("no disk"), move |why| sender.send(why).unwrap())?;
/// assert_eq!(receiver.recv().unwrap(), "the disk thread panicked");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn_critical(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
    failed: impl FnOnce(String) + Send + 'static,
) -> std::io::Result<()> {
    let run = move || {
        if panic::catch_unwind(AssertUnwindSafe(run)).is_err() {
            failed(format!("the {name} thread panicked"));
        }
    };
    thread::Builder::new().name(name.into()).spawn(run)?;
    Ok(())
}

/// Starts the disk thread and returns the channel to its queue.
///
/// `done` is called after each sync with the number of the last batch that it included. If a write
/// fails or panics, `failed` is called with the cause and the thread ends.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn spawn_disk_writer<D: Disk + 'static>(
    mut disk: D,
    done: impl Fn(u64) + Send + 'static,
    failed: impl Fn(String) + Send + Sync + 'static,
) -> std::io::Result<mpsc::Sender<LogWrite>> {
    let (writes, inbox) = mpsc::channel::<LogWrite>();
    let failed = Arc::new(failed);
    let panicked = Arc::clone(&failed);
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
    spawn_critical("disk", run, move |why| panicked(why))?;
    Ok(writes)
}
