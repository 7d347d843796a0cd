//! Processor time, traffic and memory of four entry VMs without load, and at the rate of edits that
//! the design assumes.

use std::time::{Duration, Instant};

use fuchsiausher::{TestCluster, TestClusterConfig, account_entry};
use serde_json::json;

use crate::{block_on, table};

/// Duration of each measurement.
const DURATION: Duration = Duration::from_secs(20);
/// Ticks per second of the kernel's processor time counters in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Interval of edits in the second row of the table: 0.2 edits per second.
const EDIT_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the processor time that this process has used, in seconds.
pub(crate) fn cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is the name of the process, in parentheses, and may contain spaces.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of this process in bytes, for pages of 4 KiB.
pub(crate) fn rss_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
    pages * 4_096
}

#[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
pub(crate) fn run() -> Result<(), String> {
    block_on(async {
        let mut config = TestClusterConfig::zones();
        config.groups.clear();
        let cluster = TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?;
        let mut rows = Vec::new();
        for (label, with_edits) in [("idle", false), ("0.2 edits/s", true)] {
            let bytes_sent = |cluster: &TestCluster| -> Vec<u64> {
                let nodes = (0..cluster.len()).filter_map(|index| cluster.node(index));
                nodes.map(|n| n.meters().peer_bytes_sent()).collect()
            };
            let (cpu_before, before, start) = (cpu_s(), bytes_sent(&cluster), Instant::now());
            let mut n = 0;
            while start.elapsed() < DURATION {
                tokio::time::sleep(EDIT_INTERVAL).await;
                if with_edits {
                    n += 1;
                    let status =
                        cluster.admin(1).get("/status").await.map_err(|e| e.to_string())?;
                    let entry = account_entry(&format!("extra-{n}"), 1, &["loom-model"]);
                    let id = format!("idle-{n}");
                    let edit = json!({ "id": id, "base": status["revision"], "put": [entry] });
                    let result = cluster.admin(1).post("/catalogue/edits", &edit).await;
                    result.map_err(|e| e.to_string())?;
                }
            }
            let seconds = start.elapsed().as_secs_f64();
            let after = bytes_sent(&cluster);
            let rates: Vec<f64> =
                after.iter().zip(&before).map(|(a, b)| (a - b) as f64 / seconds / 1e3).collect();
            let leader_rate = rates.iter().copied().fold(0.0, f64::max);
            rows.push(vec![
                label.to_owned(),
                format!("{:.2}", (cpu_s() - cpu_before) / seconds / 4.0 * 100.0),
                format!("{:.1}", rates.iter().sum::<f64>() / 4.0),
                format!("{leader_rate:.1}"),
                format!("{:.0}", rss_bytes() as f64 / 4.0 / 1e6),
            ]);
        }
        table::print(
            "Four entry VMs in one process, without load (budget: 4.4% of a core, 19 KB/s, 64 MB)",
            &["", "% of a core per VM", "mean KB/s per VM", "leader KB/s", "MB per VM"],
            &rows,
        );
        cluster.stop().await;
        Ok(())
    })
}
