//! Latency through an entry VM against calling the stand-in directly.

use std::time::Instant;

use fuchsiausher::{TestCluster, TestClusterConfig, chat_body};
use stand::{Pace, call};

use crate::{block_on, table};

/// Calls of each kind, taken in turn.
const CALLS: usize = 1_500;

pub(crate) fn run() -> Result<(), String> {
    block_on(async {
        let mut config = TestClusterConfig::small();
        config.groups[0].pace = Pace { prefill_us: 0, decode_us: 0 };
        config.groups[1].pace = Pace { prefill_us: 0, decode_us: 0 };
        let bed = TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?;
        let mut rows = Vec::new();
        for (what, method, path, direct, body) in [
            (
                "chat, 1 token",
                "POST",
                "/v1/chat/completions",
                "/v1/chat/completions",
                chat_body("loom-model", 100, 1, true),
            ),
            ("plain GET", "GET", "/services/order-desk/stock", "/stock", Vec::new()),
        ] {
            let server = if method == "POST" { &bed.servers[0] } else { &bed.servers[1] };
            let headers = [("authorization", "Bearer tier-0".to_owned())];
            let (mut straight, mut through) = (Vec::new(), Vec::new());
            for _ in 0..CALLS {
                let start = Instant::now();
                let answer = call(server.address(), method, direct, &headers, body.clone()).await;
                answer.map_err(|e| e.to_string())?;
                straight.push(start.elapsed().as_secs_f64() * 1e6);
                let start = Instant::now();
                let answer =
                    call(bed.caller_address(0), method, path, &headers, body.clone()).await;
                if answer.map_err(|e| e.to_string())?.status != 200 {
                    return Err(format!("{what}: not answered"));
                }
                through.push(start.elapsed().as_secs_f64() * 1e6);
            }
            let (direct, ours) = (table::median(straight.clone()), table::median(through.clone()));
            let p99 = |mut v: Vec<f64>| {
                v.sort_by(f64::total_cmp);
                v[v.len() * 99 / 100]
            };
            let (direct99, ours99) = (p99(straight), p99(through));
            rows.push(vec![
                what.to_owned(),
                format!("{direct:.0}"),
                format!("{ours:.0}"),
                format!("{:.2}", ours / direct),
                format!("{:.0}", ours - direct),
                format!("{:.2}", ours99 / direct99),
            ]);
        }
        table::print(
            "Latency of one caller at a time, each call on a new connection",
            &["call", "direct us", "through us", "ratio", "added us", "ratio at p99"],
            &rows,
        );
        bed.stop().await;
        Ok(())
    })
}
