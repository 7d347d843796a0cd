//! Group commit of refusal records on a thread of its own.

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

/// Most records in one transaction.
const MAX_BATCH: usize = 4_096;

/// Identity of the process whose refusals a ledger numbers.
#[derive(Clone, Debug)]
pub struct LedgerConfig {
    /// This VM.
    pub vm: VmName,
    /// Start of this process, in microseconds since the Unix epoch.
    pub incarnation: u64,
}

struct Job {
    refusals: Vec<Refusal>,
    done: oneshot::Sender<bool>,
}

/// Records refusals, its own and those of other VMs.
///
/// Own records are numbered from 1 without holes. Records that arrive together are committed in
/// one synced transaction.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    jobs: Mutex<Numbering>,
    store: Arc<Mutex<RefusalStore>>,
    durable: bool,
}

#[derive(Debug)]
struct Numbering {
    last: u64,
    jobs: mpsc::Sender<Job>,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Job").field("len", &self.refusals.len()).finish_non_exhaustive()
    }
}

impl Ledger {
    /// A ledger on this store. `on_failure` is called when a write fails.
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
        Self { config, jobs: Mutex::new(Numbering { last: 0, jobs }), store, durable }
    }

    /// Whether records survive the process.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.durable
    }

    /// Numbers a refusal of this process and records it. The receiver gets `true` once it is
    /// synced, `false` if that failed.
    pub fn record(
        &self,
        make: impl FnOnce(RefusalKey) -> Refusal,
    ) -> (Refusal, oneshot::Receiver<bool>) {
        let (done, wait) = oneshot::channel();
        // The number is drawn and queued under one lock, so that numbers reach the disk in order
        // and a crash loses only the newest.
        let mut numbering = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        numbering.last += 1;
        let key = RefusalKey {
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            seq: numbering.last,
        };
        let refusal = make(key);
        let job = Job { refusals: vec![refusal.clone()], done };
        // A closed channel drops `done`, which the receiver sees.
        let _ = numbering.jobs.send(job);
        (refusal, wait)
    }

    /// Records refusals of other VMs; resends are not counted twice.
    pub fn record_remote(&self, refusals: Vec<Refusal>) -> oneshot::Receiver<bool> {
        let (done, wait) = oneshot::channel();
        let numbering = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = numbering.jobs.send(Job { refusals, done });
        wait
    }

    /// Records of an account since a time, as [`RefusalStore::query`].
    ///
    /// # Errors
    ///
    /// If they cannot be read.
    pub fn query(
        &self,
        account: Option<&AccountName>,
        since: u64,
        max: usize,
    ) -> Result<Vec<Refusal>, Report<Error>> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).query(account, since, max)
    }

    /// Refusals of this process that were numbered so far.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner).last
    }

    /// Processes of which some records are missing from `keys`.
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
