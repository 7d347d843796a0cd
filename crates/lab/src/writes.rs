//! Throughput of claims and latency of edits through the replicated log, and time to recover from
//! disk.

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

/// Duration of each measurement of claims.
const DURATION: Duration = Duration::from_secs(5);
/// Number of concurrent callers in each row of the table.
const CALLERS: [usize; 2] = [1, 64];
/// Number of edits timed.
const EDITS: u64 = 60;
/// Number of edits made before the recovery, for each row of the table.
const LOG_EDITS: [u64; 4] = [100, 900, 5_000, 20_000];

pub(crate) fn run() -> Result<(), String> {
    block_on(async {
        measure_claims().await?;
        measure_edits().await
    })?;
    measure_recovery()
}

/// Measures calls with an idempotency key per second: with one caller, where every disk sync serves
/// one claim, and with many.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn measure_claims() -> Result<(), String> {
    let mut config = TestClusterConfig::zones();
    config.groups.remove(0);
    config.groups[0].pace = Pace { prefill_us: 0, decode_us: 0 };
    config.groups[0].slots = 256;
    let cluster = Arc::new(TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?);
    let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let mut rows = Vec::new();
    let mut first_rate = None;
    for callers in CALLERS {
        let (completed, next_key) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let deadline = Instant::now() + DURATION;
        let mut tasks = Vec::new();
        for caller in 0..callers {
            let (cluster, completed, next_key) =
                (Arc::clone(&cluster), Arc::clone(&completed), Arc::clone(&next_key));
            tasks.push(tokio::spawn(async move {
                while Instant::now() < deadline {
                    let n = next_key.fetch_add(1, Ordering::Relaxed);
                    let key = format!("{issued}-writes-{callers}-{n}");
                    let headers =
                        [("authorization", "Bearer tier-0".to_owned()), ("idempotency-key", key)];
                    let path = "/services/order-desk/orders";
                    let address = cluster.caller_address(caller % cluster.len());
                    let answer = call(address, "POST", path, &headers, b"{}".to_vec()).await;
                    if answer.is_ok_and(|a| a.status == 200) {
                        completed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }));
        }
        for task in tasks {
            task.await.map_err(|e| e.to_string())?;
        }
        let rate = completed.load(Ordering::Relaxed) as f64 / DURATION.as_secs_f64();
        let base = *first_rate.get_or_insert(rate);
        rows.push(vec![
            callers.to_string(),
            format!("{rate:.0}"),
            format!("{:.1}", rate / base),
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

/// Measures the time from sending an edit until it is in force on all four entry VMs.
async fn measure_edits() -> Result<(), String> {
    let mut config = TestClusterConfig::zones();
    config.groups.clear();
    let cluster = TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?;
    let mut latencies_us = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for n in 0..EDITS {
        let entry = account_entry(&format!("extra-{n}"), 1, &["loom-model"]);
        let edit = json!({ "id": format!("time-{n}"), "base": n + 1, "put": [entry] });
        let start = Instant::now();
        let index = usize::try_from(n).unwrap_or(0) % cluster.len();
        let answer = cluster.admin(index).post("/catalogue/edits", &edit).await;
        let answer = answer.map_err(|e| e.to_string())?;
        if answer["unconfirmed"] != json!([]) {
            return Err(format!("the edit is not in force on all entry VMs: {answer}"));
        }
        latencies_us
            .saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let ms = |q: f64| {
        let us = u32::try_from(latencies_us.value_at_quantile(q)).unwrap_or(u32::MAX);
        format!("{:.1}", f64::from(us) / 1e3)
    };
    table::print(
        "From sending an edit to all four entry VMs having it in force (target: 1 s at 95 in 100)",
        &["edits", "median ms", "95 in 100 ms", "largest ms"],
        &[vec![EDITS.to_string(), ms(0.5), ms(0.95), ms(1.0)]],
    );
    cluster.stop().await;
    Ok(())
}

/// Measures the time from opening a data folder until a control machine has applied the stored
/// state.
fn measure_recovery() -> Result<(), String> {
    let mut rows = Vec::new();
    for edits in LOG_EDITS {
        let folder = std::env::temp_dir().join(format!("lab-recovery-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        write_log(&folder, edits)?;
        let start = Instant::now();
        let journal = Journal::open(&folder, || 1).map_err(|e| e.to_string())?;
        let stored = journal.load().map_err(|e| e.to_string())?;
        let entries = stored.as_ref().map_or(0, |s| s.entries.len());
        let machine = Machine::new(&setup(stored));
        let ms = start.elapsed().as_secs_f64() * 1e3;
        drop(machine);
        rows.push(vec![edits.to_string(), entries.to_string(), format!("{ms:.1}")]);
        let _ = std::fs::remove_dir_all(&folder);
    }
    table::print("Recovery from disk", &["edits made", "entries after the snapshot", "ms"], &rows);
    Ok(())
}

/// Returns the setup of a control machine that is the only one of its cluster.
fn setup(stored: Option<raft::StoredState>) -> Setup {
    let vm = "vm-1".try_into().expect("a valid name");
    let zone = "zone-a".try_into().expect("a valid name");
    Setup { stored, ..Setup::single(vm, zone) }
}

/// Applies edits to a single control machine and stores what it persists in `folder`.
fn write_log(folder: &std::path::Path, edits: u64) -> Result<(), String> {
    let mut journal = Journal::open(folder, || 1).map_err(|e| e.to_string())?;
    let mut machine = Machine::new(&setup(None));
    let (mut out, mut ms, mut proposed) = (Vec::new(), 1, 0);
    while proposed < edits {
        ms += 10;
        let input = if ms < 5_000 {
            Input::Tick
        } else {
            let id = EditId::try_from(format!("e-{proposed}")).map_err(|e| e.to_string())?;
            let edit = Edit { id, base: proposed, put: Vec::new(), remove: Vec::new() };
            proposed += 1;
            Input::Propose { call: proposed, command: Command::Edit(edit) }
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
