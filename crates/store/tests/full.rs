//! Disks that refuse writes for a while.

use std::{
    fmt, io,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use model::VmName;
use raft::{LogEntry, Member, Payload, Snapshot, StoredState, WriteBatch};
use redb::{StorageBackend, backends::InMemoryBackend};
use store::Journal;

/// Most attempts after which a disk with room must have taken a write.
const MAX_TRIES: u32 = 4;

/// A disk in memory that refuses the calls in a range, counted from its start. It outlives the
/// database that is opened on it.
#[derive(Clone)]
struct Disk {
    memory: Arc<InMemoryBackend>,
    calls: Arc<AtomicU64>,
    full: Range<u64>,
    /// Whether a refused write takes half of its bytes.
    torn: bool,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a disk full in calls {:?}, torn: {}", self.full, self.torn)
    }
}

impl Disk {
    fn new(full: Range<u64>, torn: bool) -> Self {
        Self { memory: Arc::default(), calls: Arc::default(), full, torn }
    }

    fn count(&self) -> io::Result<()> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if self.full.contains(&call) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.memory.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.memory.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.count()?;
        self.memory.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.count()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let result = self.count();
        if result.is_ok() {
            self.memory.write(offset, data)?;
        } else if self.torn {
            self.memory.write(offset, &data[..data.len() / 2])?;
        }
        result
    }
}

fn entry(index: u64) -> LogEntry {
    LogEntry { term: 1, index, payload: Payload::Command(vec![7; 300_000]) }
}

/// Batches that make the log grow, and shrink after a snapshot.
fn batches() -> Vec<WriteBatch> {
    let voter = Member { vm: VmName::try_from("vm-1").unwrap(), disk: 5 };
    let founding = StoredState::initial(1, [voter.clone()].into()).snapshot;
    let mut batches = vec![WriteBatch { snapshot: Some(founding), ..WriteBatch::default() }];
    batches.extend([2, 4, 6].map(|last| {
        let entries = (last - 1..=last).map(entry).collect();
        WriteBatch { entries, ..WriteBatch::default() }
    }));
    let snapshot = Snapshot { index: 5, term: 1, voters: [voter].into(), data: vec![1].into() };
    batches.push(WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() });
    batches
}

/// Writes all batches as a VM does: after a failure, the log is opened again and the batch repeated.
/// Returns the number of calls at the disk.
fn write_all(disk: &Disk) -> u64 {
    let mut journal = None;
    let mut tries = 0;
    for batch in batches() {
        loop {
            let calls = disk.calls.load(Ordering::Relaxed);
            tries = if calls < disk.full.end { 0 } else { tries + 1 };
            assert!(tries < MAX_TRIES, "{disk:?} takes no writes though it has room");
            let open = journal.take().map_or_else(|| Journal::with_backend(disk.clone(), || 5), Ok);
            let Ok(mut open) = open else { continue };
            if open.write(1, std::slice::from_ref(&batch)).is_ok() {
                journal = Some(open);
                tries = 0;
                break;
            }
        }
    }
    drop(journal);
    disk.calls.load(Ordering::Relaxed)
}

/// Guards against a VM that takes no more writes after its disk was full, whatever was refused.
#[test]
fn a_log_takes_writes_again_whenever_its_disk_was_full() {
    let all = write_all(&Disk::new(0..0, false));
    for start in (0..all).step_by(7) {
        for (count, torn) in [(1, true), (40, false)] {
            let disk = Disk::new(start..start + count, torn);
            write_all(&disk);
            let journal = std::iter::repeat_with(|| Journal::with_backend(disk.clone(), || 6));
            let journal = journal.take(40).find_map(Result::ok).unwrap();
            assert_eq!(journal.disk_id(), 5, "{disk:?}");
            let stored = journal.load().unwrap().unwrap();
            assert_eq!(stored.snapshot.index, 5, "{disk:?}");
            assert_eq!(stored.entries, [entry(6)], "{disk:?}");
        }
    }
}
