//! Linearizability of concurrent catalogue edits and reads while entry VM processes are killed and
//! isolated.
//!
//! The catalogue's revision is a register that every accepted edit increments. A history of it is
//! linearizable if no operation that began after another had ended shows an older revision, no two
//! edits made the same revision, and no operation shows a revision before its edit began.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use common::{Links, Processes};
use fuchsiausher::{AdminClient, AdminError, TestClusterConfig, account_entry};
use serde_json::json;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Kind {
    /// A read that returned this revision.
    Read(u64),
    /// An edit that made this revision.
    Edit(u64),
    /// An edit with an unknown outcome, which may make this revision at any time after it began.
    Unknown(u64),
}

#[derive(Clone, Debug)]
struct Operation {
    start: u64,
    end: u64,
    kind: Kind,
}

impl Operation {
    fn revision(&self) -> Option<u64> {
        match self.kind {
            Kind::Read(r) | Kind::Edit(r) => Some(r),
            Kind::Unknown(_) => None,
        }
    }
}

fn check_linearizable(history: &[Operation]) -> Result<(), String> {
    for a in history {
        for b in history.iter().filter(|b| a.end < b.start) {
            let (Some(first), Some(second)) = (a.revision(), b.revision()) else {
                continue;
            };
            let edit = matches!(b.kind, Kind::Edit(_));
            if second < first || (edit && second == first) {
                return Err(format!("{b:?} began after {a:?} had ended"));
            }
        }
    }
    let mut made: Vec<u64> = history
        .iter()
        .filter_map(|o| if let Kind::Edit(r) = o.kind { Some(r) } else { None })
        .collect();
    let count = made.len();
    made.sort_unstable();
    made.dedup();
    if made.len() != count {
        return Err("two edits made one revision".into());
    }
    for read in history {
        let Kind::Read(revision) = read.kind else {
            continue;
        };
        let makes =
            |o: &&Operation| o.kind == Kind::Edit(revision) || o.kind == Kind::Unknown(revision);
        let known = history.iter().filter(makes).any(|o| o.start <= read.end);
        if revision > 1 && !known {
            return Err(format!("{read:?} shows a revision that no edit had begun to make"));
        }
    }
    Ok(())
}

fn op(start: u64, end: u64, kind: Kind) -> Operation {
    Operation { start, end, kind }
}

#[test]
fn checker_refuses_histories_that_are_not_linearizable() {
    let stale_read = [op(0, 1, Kind::Edit(2)), op(2, 3, Kind::Edit(3)), op(4, 5, Kind::Read(2))];
    assert!(check_linearizable(&stale_read).is_err());
    let lost_edit = [op(0, 1, Kind::Edit(2)), op(2, 3, Kind::Edit(2))];
    assert!(check_linearizable(&lost_edit).is_err());
    let same_revision = [op(0, 5, Kind::Edit(2)), op(1, 4, Kind::Edit(2))];
    assert!(check_linearizable(&same_revision).is_err());
    let early_read = [op(0, 1, Kind::Read(2)), op(2, 3, Kind::Edit(2))];
    assert!(check_linearizable(&early_read).is_err());
    let read_went_back =
        [op(0, 1, Kind::Edit(2)), op(2, 3, Kind::Read(2)), op(4, 5, Kind::Read(1))];
    assert!(check_linearizable(&read_went_back).is_err());
}

#[test]
fn checker_accepts_concurrent_and_unknown_operations() {
    let concurrent = [op(0, 9, Kind::Edit(2)), op(1, 2, Kind::Read(1)), op(3, 4, Kind::Read(2))];
    assert_eq!(check_linearizable(&concurrent), Ok(()));
    let unknown = [op(0, 1, Kind::Unknown(2)), op(5, 6, Kind::Read(2)), op(7, 8, Kind::Edit(3))];
    assert_eq!(check_linearizable(&unknown), Ok(()));
}

struct Recorder {
    origin: Instant,
    history: Mutex<Vec<Operation>>,
}

impl Recorder {
    fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap()
    }

    fn record(&self, start: u64, kind: Kind) {
        let end = self.now();
        self.history.lock().unwrap().push(Operation { start, end, kind });
    }
}

/// Reads and edits the catalogue in turn until the given time, and records both.
async fn operate(
    clients: Vec<AdminClient>,
    worker: usize,
    recorder: Arc<Recorder>,
    until: Instant,
) {
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let client = &clients[(worker + n) % clients.len()];
        let start = recorder.now();
        let Ok(read) = client.get("/catalogue").await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if read["current"] != true {
            continue;
        }
        let base = read["revision"].as_u64().unwrap();
        recorder.record(start, Kind::Read(base));
        let start = recorder.now();
        let id = format!("history-{worker}-{n}");
        let edit = json!({ "id": id, "base": base, "put": [account_entry(&id, 4, &["x"])] });
        match client.post("/catalogue/edits", &edit).await {
            Ok(answer) => {
                let revision = answer["outcome"]["accepted"]["revision"].as_u64().unwrap();
                recorder.record(start, Kind::Edit(revision));
            }
            // The edit was not made: another one won, or it was not sent.
            Err(AdminError::Refused { status: 409 | 503, .. }) => {}
            Err(_) => recorder.record(start, Kind::Unknown(base + 1)),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_and_reads_are_linearizable_while_processes_are_killed_and_isolated() {
    let mut config = TestClusterConfig::zones();
    let links = Links::new(&mut config).await;
    let mut processes = Processes::start("fuchsiausher-history", &config);
    let clients: Vec<AdminClient> = (0..4).map(|vm| processes.admin(vm)).collect();
    while clients[0].get("/catalogue").await.is_ok_and(|c| c["current"] != true)
        || clients[0].get("/catalogue").await.is_err()
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let recorder = Arc::new(Recorder { origin: Instant::now(), history: Mutex::default() });
    let until = Instant::now() + Duration::from_secs(20);
    let workers: Vec<_> = (0..6)
        .map(|w| tokio::spawn(operate(clients.clone(), w, Arc::clone(&recorder), until)))
        .collect();
    for round in 0..4 {
        let vm = round % 3;
        tokio::time::sleep(Duration::from_secs(1)).await;
        links.isolate(vm, true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        links.isolate(vm, false);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let vm = (round + 1) % 3;
        processes.kill(vm);
        tokio::time::sleep(Duration::from_secs(1)).await;
        processes.spawn(vm);
    }
    for worker in workers {
        worker.await.unwrap();
    }
    let history = recorder.history.lock().unwrap().clone();
    let edits = history.iter().filter(|o| matches!(o.kind, Kind::Edit(_))).count();
    assert!(edits > 20, "the run made {edits} edits");
    check_linearizable(&history).unwrap();
}
