//! Latency of requests through an entry VM, compared with calling the stand-in directly.

use std::time::Instant;

use fuchsiausher::{TestCluster, TestClusterConfig, chat_body};
use stand::{Pace, call};

use crate::{block_on, table};

/// Number of calls of each kind. Direct calls and calls through the entry VM alternate.
const CALLS: usize = 1_500;

pub(crate) fn run() -> Result<(), String> {
    block_on(async {
        let mut config = TestClusterConfig::small();
        config.groups[0].pace = Pace { prefill_us: 0, decode_us: 0 };
        config.groups[1].pace = Pace { prefill_us: 0, decode_us: 0 };
        let cluster = TestCluster::start(config).await.map_err(|e| format!("{e:?}"))?;
        let mut rows = Vec::new();
        for (label, method, path, direct_path, body) in [
            (
                "chat, 1 token",
                "POST",
                "/v1/chat/completions",
                "/v1/chat/completions",
                chat_body("loom-model", 100, 1, true),
            ),
            ("plain GET", "GET", "/services/order-desk/stock", "/stock", Vec::new()),
        ] {
            let server = if method == "POST" { &cluster.servers[0] } else { &cluster.servers[1] };
            let headers = [("authorization", "Bearer tier-0".to_owned())];
            let (mut direct_us, mut proxied_us) = (Vec::new(), Vec::new());
            for _ in 0..CALLS {
                let start = Instant::now();
                let answer =
                    call(server.address(), method, direct_path, &headers, body.clone()).await;
                answer.map_err(|e| e.to_string())?;
                direct_us.push(start.elapsed().as_secs_f64() * 1e6);
                let start = Instant::now();
                let answer =
                    call(cluster.caller_address(0), method, path, &headers, body.clone()).await;
                if answer.map_err(|e| e.to_string())?.status != 200 {
                    return Err(format!("{label}: the status of the answer is not 200"));
                }
                proxied_us.push(start.elapsed().as_secs_f64() * 1e6);
            }
            let (direct, proxied) =
                (table::median(direct_us.clone()), table::median(proxied_us.clone()));
            let p99 = |mut v: Vec<f64>| {
                v.sort_by(f64::total_cmp);
                v[v.len() * 99 / 100]
            };
            let (direct_p99, proxied_p99) = (p99(direct_us), p99(proxied_us));
            rows.push(vec![
                label.to_owned(),
                format!("{direct:.0}"),
                format!("{proxied:.0}"),
                format!("{:.2}", proxied / direct),
                format!("{:.0}", proxied - direct),
                format!("{:.2}", proxied_p99 / direct_p99),
            ]);
        }
        table::print(
            "Latency of one caller at a time, each call on a new connection",
            &["call", "direct us", "through us", "ratio", "added us", "ratio at p99"],
            &rows,
        );
        cluster.stop().await;
        Ok(())
    })
}
