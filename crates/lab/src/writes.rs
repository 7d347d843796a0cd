//! Claims and edits through the replicated log, and recovery.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use control::{Clock, Input, Machine, Output, Setup};
use fuchsiausher::{TestCluster, TestClusterConfig, account_entry};
use hdrhistogram::Histogram;
use model::{Edit, EditId};
use serde_json::json;
use stand::{Pace, call};
use state::Command;
use store::Journal;

use crate::{block_on, table};

/// Length of each measurement.
const LENGTH: Duration = Duration::from_secs(5);
/// Concurrent callers of each row.
const CALLERS: [usize; 2] = [1, 64];
/// Edits timed.
const EDITS: u64 = 60;
/// Log lengths of the recovery table.
const LENGTHS: [u64; 4] = [100, 900, 5_000, 20_000];

pub(crate) fn run() -> Result<(), String> {
    block_on(async {
        claims().await?;
        edits().await
    })?;
    recovery()
}

/// Claimed calls per second with one caller, where every sync serves one claim, and with many.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn claims() -> Result<(), String> {
    let mut config = TestClusterConfig::zones();
    config.groups.remove(0);
    config.groups[0].pace = Pace { prefill_us: 0, decode_us: 0 };
    config.groups[0].slots = 256;
    let bed = Arc::new(TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?);
    let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let mut rows = Vec::new();
    let mut base = None;
    for callers in CALLERS {
        let (done, next) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let until = Instant::now() + LENGTH;
        let mut tasks = Vec::new();
        for caller in 0..callers {
            let (bed, done, next) = (Arc::clone(&bed), Arc::clone(&done), Arc::clone(&next));
            tasks.push(tokio::spawn(async move {
                while Instant::now() < until {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let key = format!("{issued}-writes-{callers}-{n}");
                    let headers =
                        [("authorization", "Bearer tier-0".to_owned()), ("idempotency-key", key)];
                    let path = "/services/order-desk/orders";
                    let at = bed.caller_address(caller % bed.len());
                    let answer = call(at, "POST", path, &headers, b"{}".to_vec()).await;
                    if answer.is_ok_and(|a| a.status == 200) {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }));
        }
        for task in tasks {
            task.await.map_err(|e| e.to_string())?;
        }
        let rate = done.load(Ordering::Relaxed) as f64 / LENGTH.as_secs_f64();
        let first = *base.get_or_insert(rate);
        rows.push(vec![
            callers.to_string(),
            format!("{rate:.0}"),
            format!("{:.1}", rate / first),
            format!("{:.1}", callers as f64 / rate * 1e3),
        ]);
    }
    table::print(
        "Claimed calls through three voters with synced writes",
        &["concurrent callers", "calls/s", "ratio", "ms per call"],
        &rows,
    );
    Ok(())
}

/// From sending an edit to its being in force on all four entry VMs.
async fn edits() -> Result<(), String> {
    let mut config = TestClusterConfig::zones();
    config.groups.clear();
    let bed = TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?;
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for n in 0..EDITS {
        let entry = account_entry(&format!("extra-{n}"), 1, &["loom-model"]);
        let edit = json!({ "id": format!("time-{n}"), "base": n + 1, "put": [entry] });
        let start = Instant::now();
        let at = usize::try_from(n).unwrap_or(0) % bed.len();
        let answer = bed.admin(at).post("/catalogue/edits", &edit).await;
        let answer = answer.map_err(|e| e.to_string())?;
        if answer["unconfirmed"] != json!([]) {
            return Err(format!("not in force everywhere: {answer}"));
        }
        times.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let ms = |q: f64| {
        let us = u32::try_from(times.value_at_quantile(q)).unwrap_or(u32::MAX);
        format!("{:.1}", f64::from(us) / 1e3)
    };
    table::print(
        "From sending an edit to all four entry VMs having it in force (target: 1 s at 95 in 100)",
        &["edits", "median ms", "95 in 100 ms", "largest ms"],
        &[vec![EDITS.to_string(), ms(0.5), ms(0.95), ms(1.0)]],
    );
    bed.stop().await;
    Ok(())
}

/// Time from opening a data folder to a machine with the state applied.
fn recovery() -> Result<(), String> {
    let mut rows = Vec::new();
    for length in LENGTHS {
        let folder = std::env::temp_dir().join(format!("lab-recovery-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        write_log(&folder, length)?;
        let start = Instant::now();
        let journal = Journal::open(&folder, || 1).map_err(|e| e.to_string())?;
        let stored = journal.load().map_err(|e| e.to_string())?;
        let entries = stored.as_ref().map_or(0, |s| s.entries.len());
        let machine = Machine::new(&setup(stored));
        let ms = start.elapsed().as_secs_f64() * 1e3;
        drop(machine);
        rows.push(vec![length.to_string(), entries.to_string(), format!("{ms:.1}")]);
        let _ = std::fs::remove_dir_all(&folder);
    }
    table::print("Recovery from disk", &["edits made", "entries after the snapshot", "ms"], &rows);
    Ok(())
}

fn setup(stored: Option<raft::StoredState>) -> Setup {
    let vm = "vm-1".try_into().expect("a valid name");
    let zone = "zone-a".try_into().expect("a valid name");
    Setup { stored, ..Setup::single(vm, zone) }
}

/// Makes edits through a single machine, with its writes on disk.
fn write_log(folder: &std::path::Path, edits: u64) -> Result<(), String> {
    let mut journal = Journal::open(folder, || 1).map_err(|e| e.to_string())?;
    let mut machine = Machine::new(&setup(None));
    let (mut out, mut ms, mut made) = (Vec::new(), 1, 0);
    while made < edits {
        ms += 10;
        let input = if ms < 5_000 {
            Input::Tick
        } else {
            let id = EditId::try_from(format!("e-{made}")).map_err(|e| e.to_string())?;
            let edit = Edit { id, base: made, put: Vec::new(), remove: Vec::new() };
            made += 1;
            Input::Propose { call: made, command: Command::Edit(edit) }
        };
        machine.step(Clock::at_millis(ms), input, &mut out);
        let mut batch = Vec::new();
        let mut last = None;
        for output in out.drain(..) {
            if let Output::Persist { id, cluster, persist } = output {
                batch.push(persist);
                last = Some((id, cluster));
            }
        }
        if let Some((id, cluster)) = last {
            journal.write(cluster, &batch).map_err(|e| e.to_string())?;
            machine.step(Clock::at_millis(ms), Input::Persisted { id }, &mut out);
            for output in out.drain(..) {
                if let Output::Persist { id, cluster, persist } = output {
                    journal.write(cluster, &[persist]).map_err(|e| e.to_string())?;
                    machine.step(Clock::at_millis(ms), Input::Persisted { id }, &mut Vec::new());
                }
            }
        }
    }
    Ok(())
}
