//! Crashes while the database files are created, at every step and with every loss of power.

use std::{
    fs::{self, File},
    io,
    os::unix::fs::FileExt,
    panic,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use redb::{Builder, Database, StorageBackend, TableDefinition};
use store::{Journal, RefusalStore};

/// Most combinations of lost writes that are tried between two syncs.
const MAX_COMBINATIONS: u32 = 256;

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

/// Returns the steps by which a database with empty tables is created.
fn creation(tables: &[&str]) -> Vec<Step> {
    let (db, recorder) = create(tables);
    let steps = recorder.0.lock().unwrap().1.clone();
    drop(db);
    steps
}

fn create(tables: &[&str]) -> (Database, Recorder) {
    let recorder = Recorder::default();
    let db = Builder::new().create_with_backend(recorder.clone()).unwrap();
    let txn = db.begin_write().unwrap();
    for name in tables {
        txn.open_table(TableDefinition::<u64, &[u8]>::new(name)).unwrap();
    }
    txn.commit().unwrap();
    (db, recorder)
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

fn open_journal(folder: &Path) -> Result<(), String> {
    let opened = panic::catch_unwind(|| Journal::open(folder, || 9).and_then(|j| j.load()));
    match opened {
        Ok(Ok(None)) => Ok(()),
        Ok(Ok(Some(stored))) => Err(format!("a log was found: {stored:?}")),
        Ok(Err(error)) => Err(format!("{error:?}")),
        Err(_) => Err("panicked".into()),
    }
}

/// Guards against a VM whose process is killed while it creates its log and which can never open it
/// afterwards.
#[test]
fn a_log_opens_after_a_crash_at_any_step_of_its_creation() {
    let folder = folder("kill");
    let steps = creation(&["entries", "meta"]);
    for count in 0..=steps.len() {
        replay(&folder.join("log.redb"), &steps[..count]);
        let opened = open_journal(&folder);
        assert!(opened.is_ok(), "after {count} of {} steps: {opened:?}", steps.len());
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against the same failure for the records of refused requests.
#[test]
fn refusal_records_open_after_a_crash_at_any_step_of_their_creation() {
    let folder = folder("refusals");
    let steps = creation(&[]);
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
    lose_power("power", &creation(&["entries", "meta"]));
}

fn lose_power(name: &str, steps: &[Step]) {
    let folder = folder(name);
    let mut synced: &[Step] = &[];
    while synced.len() < steps.len() {
        let rest = &steps[synced.len()..];
        let end = rest.iter().position(|s| matches!(s, Step::Sync)).map_or(rest.len(), |at| at + 1);
        let unsynced = &rest[..end];
        for kept in 0..(1_u32 << unsynced.len().min(16)).min(MAX_COMBINATIONS) {
            let survivors = unsynced.iter().enumerate().filter(|(i, _)| kept >> i & 1 == 1);
            let survivors: Vec<Step> = survivors.map(|(_, s)| s.clone()).collect();
            // The last write that survives is whole, or ends after some of its bytes.
            for divisor in [1, 2, 100] {
                let mut torn = survivors.clone();
                if let Some(Step::Write(_, data)) = torn.last_mut() {
                    data.truncate(data.len() / divisor);
                }
                replay(&folder.join("log.redb"), synced.iter().chain(&torn));
                let opened = open_journal(&folder);
                let at = synced.len();
                assert!(opened.is_ok(), "{at} steps, {kept:b} of {end}, 1/{divisor}: {opened:?}");
            }
        }
        synced = &steps[..synced.len() + end];
    }
    fs::remove_dir_all(folder).unwrap();
}

/// A file with records is never replaced, even if it cannot be read.
#[test]
fn a_file_that_is_no_database_is_kept_and_named_in_the_error() {
    let folder = folder("foreign");
    let path = folder.join("log.redb");
    drop(Journal::open(&folder, || 5).unwrap());
    let good = fs::read(&path).unwrap();
    for at in 0..9 {
        let mut damaged = good.clone();
        damaged[at] ^= 1;
        fs::write(&path, &damaged).unwrap();
        let error = Journal::open(&folder, || 6).unwrap_err().to_string();
        assert!(error.contains("is not a database: it starts with the bytes ["), "{error}");
        assert_eq!(fs::read(&path).unwrap(), damaged, "byte {at}");
    }
    fs::write(&path, &good).unwrap();
    assert_eq!(Journal::open(&folder, || 6).unwrap().disk_id(), 5);
    fs::remove_dir_all(folder).unwrap();
}
