//! Runs an experiment with one, several or all broker policies.
//!
//! Each policy runs on a new test cluster with the same load. The results compare good answers,
//! latencies, wasted prefill and broken promises.

use std::{path::PathBuf, sync::Arc, time::Duration};

use fuchsiausher::{
    Balancer, LoadResult, Policy, RequestKind, TestCluster, check_promises, run_load,
};
use hdrhistogram::Histogram;
use model::RefusalReason;
use pico_args::Arguments;
use serde_json::{Value, json};
use stand::Totals;
use tokio::task::JoinHandle;

use crate::{block_on, experiment::Experiment, idle::cpu_s, table};

/// Maximum of the histograms, in microseconds. Longer times are recorded as the maximum.
const MAX_US: u64 = 300_000_000;
/// Number of tiers.
const TIERS: u8 = 5;

/// Results of a run with one policy. Only requests of measured phases count, but for the prefill,
/// the broken promises and the processor time.
#[derive(Clone, Debug)]
struct RunSummary {
    policy: &'static str,
    /// Good answers and offered requests of each tier.
    tiers: Vec<(usize, usize)>,
    /// Good answers per second.
    good_rate: f64,
    /// Share of the prefilled tokens that was wasted.
    wasted_share: f64,
    prefilled_tokens: u64,
    /// Microseconds to the first byte of complete chat answers.
    first_byte: Histogram<u64>,
    /// The same for tier 0.
    tier0_first_byte: Histogram<u64>,
    /// Mean microseconds between two tokens of an answer.
    token_interval: Histogram<u64>,
    broken_promises: Vec<String>,
    /// Processor seconds of this process during the load.
    cpu_seconds: f64,
    /// Requests cancelled while they ran, to admit a request of a higher tier.
    preempted: usize,
}

pub(crate) fn run(args: &mut Arguments) -> Result<(), String> {
    let seed: u64 = args.value_from_str("--seed").map_err(|e| e.to_string())?;
    let policy: Option<String> = args.opt_value_from_str("--policy").map_err(|e| e.to_string())?;
    let as_json = args.contains("--json");
    let path: PathBuf = args.free_from_str().map_err(|e| e.to_string())?;
    let experiment = Experiment::read(&path)?;
    let wanted = policy.unwrap_or_else(|| "predicted".into());
    let policies: Vec<_> = Policy::ALL
        .into_iter()
        .filter(|(name, _)| wanted == "all" || wanted.split(',').any(|w| w == *name))
        .collect();
    if policies.is_empty() {
        let names: Vec<_> = Policy::ALL.iter().map(|(n, _)| *n).collect();
        return Err(format!("unknown policy {wanted}; use all, or some of {}", names.join(",")));
    }
    let mut summaries = Vec::new();
    for (name, policy) in policies {
        summaries.push(block_on(run_policy(&experiment, seed, name, policy))?);
    }
    if as_json {
        let all: Vec<Value> = summaries.iter().map(to_json).collect();
        println!(
            "{}",
            json!({ "experiment": path.display().to_string(), "seed": seed, "runs": all })
        );
    } else {
        print(&path.display().to_string(), seed, &summaries);
    }
    if summaries.iter().any(|s| !s.broken_promises.is_empty()) {
        return Err("a promise was broken".into());
    }
    Ok(())
}

/// Runs the load on a new test cluster with one policy.
async fn run_policy(
    experiment: &Experiment,
    seed: u64,
    name: &'static str,
    policy: Policy,
) -> Result<RunSummary, String> {
    let cluster = TestCluster::start(experiment.cluster_config(policy))
        .await
        .map_err(|e| format!("{e:?}"))?;
    let planned = experiment.generate_load(seed);
    let is_measured: Vec<bool> = planned.iter().map(|p| p.measured).collect();
    let requests = planned.into_iter().map(|p| p.request).collect();
    let balancer = Arc::new(Balancer::new(&cluster));
    let cpu = cpu_s();
    let load = tokio::spawn(run_load(balancer, requests));
    inject_faults(experiment, &cluster, &load).await;
    let results = load.await.map_err(|e| e.to_string())?;
    let cpu = cpu_s() - cpu;
    let promises = check_promises(&cluster, 0, &results, 0).await.map_err(|e| e.to_string())?;
    let broken = promises.iter().filter(|p| p.broken > 0);
    let broken =
        broken.map(|p| format!("{}: {} {:?}", p.statement, p.broken, p.examples)).collect();
    let measured: Vec<&LoadResult> =
        results.iter().zip(&is_measured).filter(|(_, m)| **m).map(|(r, _)| r).collect();
    let summary = summarize(experiment, name, &cluster, &measured, broken, cpu)?;
    cluster.stop().await;
    Ok(summary)
}

/// Injects the faults of the experiment at their times, until the load ends.
async fn inject_faults(
    experiment: &Experiment,
    cluster: &TestCluster,
    load: &JoinHandle<Vec<LoadResult>>,
) {
    let start = tokio::time::Instant::now();
    let mut faults = experiment.faults.clone();
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for fault in faults {
        tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at_s)).await;
        if load.is_finished() {
            return;
        }
        let server = &cluster.servers[fault.server];
        match fault.slowdown {
            Some(factor) => {
                let span = Duration::from_secs_f64(factor);
                server.set_slowdown(u64::try_from(span.as_millis()).unwrap_or(u64::MAX));
            }
            None => server.stop_accepting(),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn summarize(
    experiment: &Experiment,
    policy: &'static str,
    cluster: &TestCluster,
    results: &[&LoadResult],
    broken_promises: Vec<String>,
    cpu_seconds: f64,
) -> Result<RunSummary, String> {
    let histogram = || Histogram::<u64>::new_with_max(MAX_US, 3).map_err(|e| e.to_string());
    let (mut first_byte, mut tier0_first_byte, mut token_interval) =
        (histogram()?, histogram()?, histogram()?);
    let mut tiers = vec![(0, 0); usize::from(TIERS)];
    let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    for result in results {
        let tier = &mut tiers[usize::from(result.request.tier)];
        tier.0 += usize::from(result.is_good());
        tier.1 += 1;
        let RequestKind::Chat { tokens, .. } = result.request.kind else {
            continue;
        };
        if result.complete {
            first_byte.saturating_record(us(result.first_byte));
            let interval = us(result.total.saturating_sub(result.first_byte))
                / tokens.max(2).saturating_sub(1);
            token_interval.saturating_record(interval);
            if result.request.tier == 0 {
                tier0_first_byte.saturating_record(us(result.first_byte));
            }
        }
    }
    let sum =
        cluster.servers.iter().map(|s| s.stats().totals()).fold(Totals::default(), |a, b| Totals {
            prefilled_tokens: a.prefilled_tokens + b.prefilled_tokens,
            wasted_tokens: a.wasted_tokens + b.wasted_tokens,
            ..Totals::default()
        });
    let good: usize = tiers.iter().map(|t| t.0).sum();
    Ok(RunSummary {
        policy,
        good_rate: good as f64 / experiment.measured_s(),
        wasted_share: sum.wasted_tokens as f64 / sum.prefilled_tokens.max(1) as f64,
        prefilled_tokens: sum.prefilled_tokens,
        tiers,
        first_byte,
        tier0_first_byte,
        token_interval,
        broken_promises,
        cpu_seconds,
        preempted: results
            .iter()
            .filter(|r| matches!(r.failure, Some((RefusalReason::Preempted, _))))
            .count(),
    })
}

/// Returns a quantile in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "microseconds are far below 2^52")]
fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Returns the results as JSON, for `--json`.
fn to_json(summary: &RunSummary) -> Value {
    let tiers: Vec<_> =
        summary.tiers.iter().map(|(good, all)| json!({ "good": good, "offered": all })).collect();
    json!({
        "policy": summary.policy,
        "tiers": tiers,
        "good_per_s": summary.good_rate,
        "wasted_prefill": summary.wasted_share,
        "prefilled_tokens": summary.prefilled_tokens,
        "first_ms": { "p50": ms(&summary.first_byte, 0.5), "p95": ms(&summary.first_byte, 0.95),
                      "p99": ms(&summary.first_byte, 0.99) },
        "top_first_ms": { "p95": ms(&summary.tier0_first_byte, 0.95),
                          "p99": ms(&summary.tier0_first_byte, 0.99) },
        "gap_ms": { "p50": ms(&summary.token_interval, 0.5),
                    "p95": ms(&summary.token_interval, 0.95) },
        "promises_broken": summary.broken_promises,
        "cpu_s": summary.cpu_seconds,
        "preempted": summary.preempted,
    })
}

/// Prints the results as a table, and the broken promises.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn print(title: &str, seed: u64, summaries: &[RunSummary]) {
    let rows: Vec<Vec<String>> = summaries
        .iter()
        .map(|summary| {
            let mut row = vec![summary.policy.to_owned()];
            let percent = |(good, all): &(usize, usize)| {
                format!("{:.1}", *good as f64 / (*all).max(1) as f64 * 100.0)
            };
            row.extend(summary.tiers.iter().map(percent));
            row.extend([
                format!("{:.1}", summary.good_rate),
                format!("{:.1}", summary.wasted_share * 100.0),
                format!("{:.0}", ms(&summary.first_byte, 0.5)),
                format!("{:.0}", ms(&summary.first_byte, 0.95)),
                format!("{:.0}", ms(&summary.first_byte, 0.99)),
                format!("{:.0}", ms(&summary.tier0_first_byte, 0.99)),
                format!("{:.1}", ms(&summary.token_interval, 0.95)),
                summary.preempted.to_string(),
                summary.broken_promises.len().to_string(),
                format!("{:.1}", summary.cpu_seconds),
            ]);
            row
        })
        .collect();
    table::print(
        &format!("{title}, seed {seed}: good answers in % by tier, then totals"),
        &[
            "policy",
            "tier 0",
            "1",
            "2",
            "3",
            "4",
            "good/s",
            "wasted prefill %",
            "first p50 ms",
            "p95",
            "p99",
            "tier 0 p99",
            "gap p95 ms",
            "preempted",
            "promises broken",
            "cpu s",
        ],
        &rows,
    );
    for summary in summaries {
        for broken in &summary.broken_promises {
            println!("{}: {broken}", summary.policy);
        }
    }
}
