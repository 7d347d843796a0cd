//! Group commit of refusal records on a separate thread.
//!
//! Callers queue records and are notified once they are synced. Records that are queued during a
//! sync share the next transaction.

use std::{
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
};

use error_stack::Report;
use model::{AccountName, Refusal, RefusalKey, VmName};
use tokio::sync::oneshot;

use crate::{
    error::Error,
    refusals::{RefusalStore, SequenceGap, gaps},
};

/// Maximum number of jobs that are committed in one transaction.
const MAX_BATCH: usize = 4_096;

/// Identity of the process whose refusals a ledger numbers, which becomes part of each record's
/// key.
#[derive(Clone, Debug)]
pub struct LedgerConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Start of this process, in microseconds since the Unix epoch.
    pub incarnation: u64,
}

struct Job {
    refusals: Vec<Refusal>,
    done: oneshot::Sender<bool>,
}

/// Records refusals of this process and those that other VMs send.
///
/// The records of this process are numbered from 1 without gaps, so that a missing one can be
/// detected. Records that arrive together are committed in one synced transaction.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    queue: Mutex<JobQueue>,
    store: Arc<Mutex<RefusalStore>>,
    durable: bool,
}

#[derive(Debug)]
struct JobQueue {
    last_seq: u64,
    jobs: mpsc::Sender<Job>,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Job").field("len", &self.refusals.len()).finish_non_exhaustive()
    }
}

impl Ledger {
    /// Starts the thread that writes to this store. `on_failure` is called on that thread for each
    /// write that fails.
    ///
    /// # Panics
    ///
    /// If the thread cannot be started.
    #[must_use]
    pub fn start(
        config: LedgerConfig,
        store: RefusalStore,
        on_failure: impl Fn(&Report<Error>) + Send + 'static,
    ) -> Self {
        let durable = store.is_durable();
        let store = Arc::new(Mutex::new(store));
        let (jobs, inbox) = mpsc::channel();
        let writer = Arc::clone(&store);
        thread::Builder::new()
            .name("ledger".into())
            .spawn(move || write_loop(&writer, &inbox, on_failure))
            .expect("the ledger's thread can be started");
        Self { config, queue: Mutex::new(JobQueue { last_seq: 0, jobs }), store, durable }
    }

    /// Reports whether records survive the process, because the store is on disk.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.durable
    }

    /// Numbers a refusal of this process and queues it for writing.
    ///
    /// `make` is given the key of the record and returns the record. The receiver yields `true`
    /// once the record is synced, or `false` if the write failed.
    pub fn record(
        &self,
        make: impl FnOnce(RefusalKey) -> Refusal,
    ) -> (Refusal, oneshot::Receiver<bool>) {
        let (done, wait) = oneshot::channel();
        // Assigns the number and queues the record under one lock, so that records are written in
        // order of their numbers and a crash loses only the newest.
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.last_seq += 1;
        let key = RefusalKey {
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            seq: queue.last_seq,
        };
        let refusal = make(key);
        let job = Job { refusals: vec![refusal.clone()], done };
        // If the channel is closed, `done` is dropped and the receiver yields an error.
        let _ = queue.jobs.send(job);
        (refusal, wait)
    }

    /// Queues refusals of other VMs for writing. A record that is already held is not added again.
    ///
    /// The receiver yields `true` once the records are synced, or `false` if the write failed.
    pub fn record_remote(&self, refusals: Vec<Refusal>) -> oneshot::Receiver<bool> {
        let (done, wait) = oneshot::channel();
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = queue.jobs.send(Job { refusals, done });
        wait
    }

    /// Returns the records of an account since a time, as [`RefusalStore::query`] does.
    ///
    /// # Errors
    ///
    /// If the records cannot be read, or one is corrupt.
    pub fn query(
        &self,
        account: Option<&AccountName>,
        since: u64,
        max: usize,
    ) -> Result<Vec<Refusal>, Report<Error>> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).query(account, since, max)
    }

    /// Returns the number of the last refusal of this process, or 0 if there is none.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).last_seq
    }

    /// Returns the processes of which some records are missing from `keys`.
    pub fn gaps<'a>(keys: impl Iterator<Item = &'a RefusalKey>) -> Vec<SequenceGap> {
        gaps(keys)
    }
}

fn write_loop(
    store: &Mutex<RefusalStore>,
    inbox: &mpsc::Receiver<Job>,
    on_failure: impl Fn(&Report<Error>),
) {
    while let Ok(first) = inbox.recv() {
        let mut jobs = vec![first];
        while jobs.len() < MAX_BATCH
            && let Ok(job) = inbox.try_recv()
        {
            jobs.push(job);
        }
        let refusals: Vec<Refusal> =
            jobs.iter_mut().flat_map(|j| std::mem::take(&mut j.refusals)).collect();
        let result = store.lock().unwrap_or_else(PoisonError::into_inner).add(&refusals);
        if let Err(report) = &result {
            on_failure(report);
        }
        for job in jobs {
            let _ = job.done.send(result.is_ok());
        }
    }
}
