//! Storage of the replicated log and of refusal records: what is synced is found after a restart,
//! and a corrupt or missing record is an error.

use std::path::PathBuf;

use model::{AccountName, Refusal, RefusalKey, RefusalReason, RequestId, Verdict, VmName};
use raft::{HardState, LogEntry, Member, Payload, Snapshot, StoredState, WriteBatch};
use redb::{Database, ReadableTable, TableDefinition};
use store::{Journal, Ledger, LedgerConfig, RefusalStore, ValueFile};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn member() -> Member {
    Member { vm: VmName::try_from("vm-1").unwrap(), disk: 5 }
}

fn entry(term: u64, index: u64) -> LogEntry {
    LogEntry { term, index, payload: Payload::Command(vec![7; 100]) }
}

fn founding() -> WriteBatch {
    let snapshot = StoredState::initial(1, [member()].into()).snapshot;
    WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() }
}

fn entries(range: std::ops::RangeInclusive<u64>) -> WriteBatch {
    WriteBatch { entries: range.map(|i| entry(1, i)).collect(), ..WriteBatch::default() }
}

#[test]
fn written_state_is_found_after_a_restart() {
    let folder = Folder::new("restart");
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    let hard_state = HardState { term: 3, vote: Some(member()) };
    let vote = WriteBatch { hard_state: Some(hard_state.clone()), ..WriteBatch::default() };
    journal.write(1, &[founding(), entries(1..=20), vote]).unwrap();
    let truncation =
        WriteBatch { truncate: Some(15), entries: vec![entry(3, 15)], ..WriteBatch::default() };
    journal.write(1, &[truncation]).unwrap();
    drop(journal);
    let journal = Journal::open(&folder.0, || 99).unwrap();
    assert_eq!(journal.disk_id(), 5, "an existing folder keeps its identity");
    let stored = journal.load().unwrap().unwrap();
    assert_eq!(stored.hard_state, hard_state);
    assert_eq!(stored.entries.len(), 15);
    assert_eq!(stored.entries[14], entry(3, 15));
}

#[test]
fn snapshot_replaces_the_entries_it_includes() {
    let folder = Folder::new("snapshot");
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    journal.write(1, &[founding(), entries(1..=20)]).unwrap();
    let voters = [member()].into();
    let snapshot = Snapshot { index: 12, term: 1, voters, data: vec![1, 2].into() };
    let compaction = WriteBatch { snapshot: Some(snapshot.clone()), ..WriteBatch::default() };
    journal.write(1, &[compaction]).unwrap();
    let stored = journal.load().unwrap().unwrap();
    assert_eq!(stored.snapshot, snapshot);
    assert_eq!(stored.entries.first().unwrap().index, 13);
    assert_eq!(stored.entries.len(), 8);
}

#[test]
fn empty_folder_gets_a_new_identity() {
    let folder = Folder::new("identity");
    drop(Journal::open(&folder.0, || 5).unwrap());
    std::fs::remove_dir_all(&folder.0).unwrap();
    let journal = Journal::open(&folder.0, || 6).unwrap();
    assert_eq!(journal.disk_id(), 6);
    assert!(journal.load().unwrap().is_none());
}

#[test]
fn corrupt_record_is_an_error_that_names_the_record() {
    let folder = Folder::new("corrupt");
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    journal.write(1, &[founding(), entries(1..=3)]).unwrap();
    drop(journal);
    let db = Database::open(folder.0.join("log.redb")).unwrap();
    let table: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
    let txn = db.begin_write().unwrap();
    {
        let mut table = txn.open_table(table).unwrap();
        let mut record = table.get(2).unwrap().unwrap().value().to_vec();
        record[20] ^= 1;
        table.insert(2, record.as_slice()).unwrap();
    }
    txn.commit().unwrap();
    drop(db);
    let journal = Journal::open(&folder.0, || 5).unwrap();
    let error = journal.load().unwrap_err().to_string();
    assert_eq!(error, "entry 2 is corrupt: its checksum does not match");
}

#[test]
fn missing_entry_is_an_error() {
    let folder = Folder::new("hole");
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    journal.write(1, &[founding(), entries(1..=2), entries(4..=5)]).unwrap();
    let error = journal.load().unwrap_err().to_string();
    assert_eq!(error, "entry 3 of the log is missing");
}

#[test]
fn torn_write_leaves_no_wrong_entries() {
    let folder = Folder::new("torn");
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    journal.write(1, &[founding(), entries(1..=2)]).unwrap();
    drop(journal);
    let path = folder.0.join("log.redb");
    let before = std::fs::read(&path).unwrap();
    let mut journal = Journal::open(&folder.0, || 5).unwrap();
    journal.write(1, &[entries(3..=9)]).unwrap();
    drop(journal);
    // Simulates a crash during the last write: the first half of the file has its old content.
    let mut torn = std::fs::read(&path).unwrap();
    let half = torn.len() / 2;
    torn[..half].copy_from_slice(&before[..half.min(before.len())]);
    std::fs::write(&path, torn).unwrap();
    let reopened = Journal::open(&folder.0, || 5).and_then(|j| j.load());
    // Opening restores a consistent state or fails, but never yields a log with wrong entries.
    if let Ok(stored) = reopened {
        let entries = stored.unwrap().entries;
        assert!(entries.iter().enumerate().all(|(i, e)| *e == entry(1, i as u64 + 1)));
    }
}

fn refusal(key: RefusalKey, account: Option<&str>, at: u64) -> Refusal {
    Refusal {
        key,
        at,
        account: account.map(|a| AccountName::try_from(a).unwrap()),
        service: None,
        tier: None,
        reason: RefusalReason::Shed,
        verdict: Verdict::NotRun,
        request: RequestId::from(1),
    }
}

fn config(incarnation: u64) -> LedgerConfig {
    LedgerConfig { vm: VmName::try_from("vm-1").unwrap(), incarnation }
}

#[tokio::test]
async fn synced_refusals_survive_and_are_found_by_account_and_time() {
    let folder = Folder::new("refusals");
    let store = RefusalStore::open(&folder.0).unwrap();
    let ledger = Ledger::start(config(1), store, |e| panic!("{e}"));
    let mut waits = Vec::new();
    for n in 0..100_u64 {
        let account = [Some("a"), Some("ab"), None][usize::try_from(n % 3).unwrap()];
        waits.push(ledger.record(|key| refusal(key, account, n)).1);
    }
    for wait in waits {
        assert!(wait.await.unwrap());
    }
    let a = AccountName::try_from("a").unwrap();
    assert_eq!(ledger.query(Some(&a), 0, 1_000).unwrap().len(), 34, "without those of ab");
    assert_eq!(ledger.query(Some(&a), 50, 1_000).unwrap().len(), 17);
    assert_eq!(ledger.query(None, 0, 1_000).unwrap().len(), 33);
    drop(ledger);
    // Dropping the ledger ends its thread, which closes the file some time later.
    let reopened = loop {
        if let Ok(store) = RefusalStore::open(&folder.0) {
            break store;
        }
    };
    assert_eq!(reopened.len().unwrap(), 100);
}

#[tokio::test]
async fn resent_records_are_held_once_and_gaps_are_reported() {
    let ledger = Ledger::start(config(1), RefusalStore::in_memory(), |e| panic!("{e}"));
    let key = |seq| RefusalKey { vm: VmName::try_from("vm-2").unwrap(), incarnation: 9, seq };
    for _ in 0..3 {
        let records = [1, 2, 5].map(|seq| refusal(key(seq), Some("a"), seq)).to_vec();
        assert!(ledger.record_remote(records).await.unwrap());
    }
    let a = AccountName::try_from("a").unwrap();
    let found = ledger.query(Some(&a), 0, 10).unwrap();
    assert_eq!(found.len(), 3);
    let gaps = Ledger::gaps(found.iter().map(|r| &r.key));
    assert_eq!(gaps.len(), 1);
    assert_eq!((gaps[0].incarnation, gaps[0].missing), (9, 2));
}

#[test]
fn a_value_file_holds_the_last_value_or_reports_that_it_is_corrupt() {
    let folder = Folder::new("value");
    std::fs::create_dir_all(&folder.0).unwrap();
    let (file, path) = (ValueFile::new(&folder.0, "value"), folder.0.join("value"));
    assert_eq!(file.read::<String>().unwrap(), None);
    file.write(&"first").unwrap();
    file.write(&"second").unwrap();
    // A write that was cut short leaves a part of the next value.
    std::fs::write(path.with_extension("new"), b"thi").unwrap();
    assert_eq!(file.read::<String>().unwrap().as_deref(), Some("second"));
    let whole = std::fs::read(&path).unwrap();
    for at in 0..whole.len() {
        let mut corrupt = whole.clone();
        corrupt[at] ^= 1;
        std::fs::write(&path, corrupt).unwrap();
        assert!(file.read::<String>().is_err(), "byte {at}");
        std::fs::write(&path, &whole[..at]).unwrap();
        assert!(file.read::<String>().is_err(), "cut after {at}");
    }
    file.write(&"third").unwrap();
    assert_eq!(file.read::<String>().unwrap().as_deref(), Some("third"));
    std::fs::remove_dir_all(&folder.0).unwrap();
    assert!(file.write(&"fourth").is_err());
}
