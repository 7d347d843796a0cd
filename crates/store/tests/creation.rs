//! Crashes and losses of power while the database files are created and written.

use std::{
    fs::{self, File},
    io,
    os::unix::fs::FileExt,
    panic,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use model::VmName;
use raft::{LogEntry, Member, Payload, Snapshot, StoredState, WriteBatch};
use redb::{Builder, StorageBackend};
use store::{Journal, RefusalStore};

const OLD_DISK: u64 = 5;
const NEW_DISK: u64 = 9;

/// One call that changes a file.
#[derive(Clone, Debug)]
enum Step {
    SetLen(u64),
    Write(u64, Vec<u8>),
    Sync,
}

/// A file in memory that records what is done to it.
#[derive(Clone, Debug, Default)]
struct Recorder(Arc<Mutex<(Vec<u8>, Vec<Step>)>>);

impl Recorder {
    fn steps(&self) -> Vec<Step> {
        self.0.lock().unwrap().1.clone()
    }
}

impl StorageBackend for Recorder {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().0.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let start = usize::try_from(offset).unwrap();
        out.copy_from_slice(&self.0.lock().unwrap().0[start..start + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut file = self.0.lock().unwrap();
        file.0.resize(usize::try_from(len).unwrap(), 0);
        file.1.push(Step::SetLen(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.lock().unwrap().1.push(Step::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut file = self.0.lock().unwrap();
        let start = usize::try_from(offset).unwrap();
        file.0[start..start + data.len()].copy_from_slice(data);
        file.1.push(Step::Write(offset, data.to_vec()));
        Ok(())
    }
}

/// The steps of a log's writes, and what was reported as synced after how many of them.
struct Recording {
    steps: Vec<Step>,
    synced: Vec<(usize, Stored)>,
}

/// What is found on a disk: its identity, and the last entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Stored {
    Identity(u64),
    Entry(u64),
}

fn creation() -> Recording {
    let recorder = Recorder::default();
    let journal = Journal::with_backend(recorder.clone(), || OLD_DISK).unwrap();
    let steps = recorder.steps();
    drop(journal);
    Recording { synced: vec![(steps.len(), Stored::Identity(OLD_DISK))], steps }
}

/// Entries of which a few make the file longer.
fn entry(index: u64) -> LogEntry {
    LogEntry { term: 1, index, payload: Payload::Command(vec![7; 300_000]) }
}

/// Records writes by which a log grows and shrinks again after a snapshot.
fn growth() -> Recording {
    let recorder = Recorder::default();
    let mut journal = Journal::with_backend(recorder.clone(), || OLD_DISK).unwrap();
    let voter = Member { vm: VmName::try_from("vm-1").unwrap(), disk: OLD_DISK };
    let founding = StoredState::initial(1, [voter.clone()].into()).snapshot;
    let batch = WriteBatch { snapshot: Some(founding), ..WriteBatch::default() };
    journal.write(1, &[batch]).unwrap();
    let mut synced = vec![(recorder.steps().len(), Stored::Entry(0))];
    for last in [2, 4] {
        let entries = (last - 1..=last).map(entry).collect();
        journal.write(1, &[WriteBatch { entries, ..WriteBatch::default() }]).unwrap();
        synced.push((recorder.steps().len(), Stored::Entry(last)));
    }
    for index in [2, 3, 4] {
        let snapshot =
            Snapshot { index, term: 1, voters: [voter.clone()].into(), data: vec![1].into() };
        let batch = WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() };
        journal.write(1, &[batch]).unwrap();
    }
    let steps = recorder.steps();
    drop(journal);
    Recording { steps, synced }
}

/// Creates a file as steps leave it.
fn replay<'a>(path: &Path, steps: impl IntoIterator<Item = &'a Step>) {
    let file = File::create(path).unwrap();
    for step in steps {
        match step {
            Step::SetLen(len) => file.set_len(*len).unwrap(),
            Step::Write(offset, data) => file.write_all_at(data, *offset).unwrap(),
            Step::Sync => {}
        }
    }
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("store-creation-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir(&path).unwrap();
    path
}

/// Opens the log in a folder and returns what it holds.
fn read_back(folder: &Path) -> Result<Stored, String> {
    let opened = panic::catch_unwind(|| {
        let journal = Journal::open(folder, || NEW_DISK)?;
        Ok((journal.disk_id(), journal.load()?))
    });
    let opened: Result<_, error_stack::Report<store::Error>> =
        opened.map_err(|_| "panicked".to_owned())?;
    match opened.map_err(|error| format!("{error:?}"))? {
        (disk_id, None) => Ok(Stored::Identity(disk_id)),
        (disk_id, Some(stored)) => {
            assert_eq!(disk_id, OLD_DISK);
            let entries = &stored.entries;
            assert!(entries.iter().all(|e| *e == entry(e.index)));
            Ok(Stored::Entry(entries.last().map_or(stored.snapshot.index, |e| e.index)))
        }
    }
}

/// Checks that a log can be opened in a folder, and holds what was synced by the first `count` steps.
fn check(folder: &Path, recording: &Recording, count: usize, case: &str) {
    let found = read_back(folder);
    let found = found.unwrap_or_else(|e| panic!("after {count} steps, {case}: {e}"));
    let synced = recording.synced.iter().rfind(|(steps, _)| *steps <= count);
    if let Some((_, synced)) = synced {
        assert!(found >= *synced, "{found:?} of {synced:?} after {count} steps, {case}");
    }
}

/// Guards against a VM whose process is killed while it creates its log and which can never open it
/// afterwards.
#[test]
fn a_log_opens_after_a_crash_at_any_step_of_its_creation() {
    let (folder, recording) = (folder("kill"), creation());
    for count in 0..=recording.steps.len() {
        replay(&folder.join("log.redb"), &recording.steps[..count]);
        check(&folder, &recording, count, "crash");
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against the same failure for the records of refused requests.
#[test]
fn refusal_records_open_after_a_crash_at_any_step_of_their_creation() {
    let folder = folder("refusals");
    let recorder = Recorder::default();
    drop(Builder::new().create_with_backend(recorder.clone()).unwrap());
    let steps = recorder.steps();
    for count in 0..=steps.len() {
        replay(&folder.join("refusals.redb"), &steps[..count]);
        let opened = RefusalStore::open(&folder).and_then(|store| store.len());
        assert_eq!(opened.ok(), Some(0), "after {count} of {} steps", steps.len());
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a VM that cannot open its log after a loss of power during its creation, which
/// leaves any part of what was written since the last sync.
#[test]
fn a_log_opens_after_a_loss_of_power_at_any_step_of_its_creation() {
    lose_power("power", &creation());
}

/// Guards against a VM whose process ends at each start, because power was lost when the header of
/// its log had reached the disk and the new length of the file had not.
#[test]
fn a_log_opens_after_a_loss_of_power_while_its_file_grows_and_shrinks() {
    lose_power("growth", &growth());
}

fn lose_power(name: &str, recording: &Recording) {
    let (folder, steps) = (folder(name), &recording.steps);
    let mut start = 0;
    while start < steps.len() {
        let sync = steps[start..].iter().position(|s| matches!(s, Step::Sync));
        let unsynced = &steps[start..sync.map_or(steps.len(), |at| start + at)];
        // All, none, each one alone, and all but one.
        let all = (1_u64 << unsynced.len()) - 1;
        let singles = (0..unsynced.len()).flat_map(|i| [1 << i, all & !(1 << i)]);
        for kept in singles.chain([0, all]) {
            let survivors = unsynced.iter().enumerate().filter(|(i, _)| kept >> i & 1 == 1);
            let survivors: Vec<Step> = survivors.map(|(_, s)| s.clone()).collect();
            // The last write that survives is whole, or ends after some of its bytes.
            for divisor in [1, 100] {
                let mut torn = survivors.clone();
                if let Some(Step::Write(_, data)) = torn.last_mut() {
                    data.truncate(data.len() / divisor);
                }
                replay(&folder.join("log.redb"), steps[..start].iter().chain(&torn));
                check(&folder, recording, start, &format!("kept {kept:b}, 1/{divisor}"));
            }
        }
        start += unsynced.len() + 1;
    }
    fs::remove_dir_all(folder).unwrap();
}

/// A file with records is never replaced, even if it cannot be read.
#[test]
fn a_file_that_is_no_database_is_kept_and_named_in_the_error() {
    let folder = folder("foreign");
    let path = folder.join("log.redb");
    drop(Journal::open(&folder, || OLD_DISK).unwrap());
    let good = fs::read(&path).unwrap();
    for at in 0..9 {
        let mut damaged = good.clone();
        damaged[at] ^= 1;
        fs::write(&path, &damaged).unwrap();
        let error = Journal::open(&folder, || NEW_DISK).unwrap_err().to_string();
        assert!(error.contains("is not a database: it starts with the bytes ["), "{error}");
        assert_eq!(fs::read(&path).unwrap(), damaged, "byte {at}");
    }
    // The same for a database whose header was lost.
    for zeros in [9, 320, 4_096] {
        let mut damaged = good.clone();
        damaged[..zeros].fill(0);
        fs::write(&path, &damaged).unwrap();
        assert!(Journal::open(&folder, || NEW_DISK).is_err(), "{zeros} bytes are zero");
        assert_eq!(fs::read(&path).unwrap(), damaged, "{zeros} bytes are zero");
    }
    fs::write(&path, &good).unwrap();
    assert_eq!(Journal::open(&folder, || NEW_DISK).unwrap().disk_id(), OLD_DISK);
    fs::remove_dir_all(folder).unwrap();
}
