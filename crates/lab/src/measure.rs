//! One experiment with one or all policies.

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

/// Longest time that is told apart, in microseconds.
const MAX_US: u64 = 300_000_000;
/// Tiers.
const TIERS: u8 = 5;

/// What one run found.
#[derive(Clone, Debug)]
struct Found {
    policy: &'static str,
    /// Good answers and offered requests of each tier.
    tiers: Vec<(usize, usize)>,
    good_rate: f64,
    wasted: f64,
    prefilled: u64,
    first: Histogram<u64>,
    top_first: Histogram<u64>,
    gap: Histogram<u64>,
    broken: Vec<String>,
    cpu: f64,
    /// Requests cancelled while they ran, for a higher tier.
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
        return Err(format!("no policy {wanted}; use all, or some of {}", names.join(",")));
    }
    let mut found = Vec::new();
    for (name, policy) in policies {
        found.push(block_on(one(&experiment, seed, name, policy))?);
    }
    if as_json {
        let all: Vec<Value> = found.iter().map(as_value).collect();
        println!(
            "{}",
            json!({ "experiment": path.display().to_string(), "seed": seed, "runs": all })
        );
    } else {
        print(&path.display().to_string(), seed, &found);
    }
    if found.iter().any(|f| !f.broken.is_empty()) {
        return Err("a promise was broken".into());
    }
    Ok(())
}

async fn one(
    experiment: &Experiment,
    seed: u64,
    name: &'static str,
    policy: Policy,
) -> Result<Found, String> {
    let bed = TestCluster::start(experiment.bed(policy)).await.map_err(|e| format!("{e:?}"))?;
    let planned = experiment.plan(seed);
    let measured: Vec<bool> = planned.iter().map(|p| p.measured).collect();
    let shots = planned.into_iter().map(|p| p.shot).collect();
    let balancer = Arc::new(Balancer::new(&bed));
    let cpu = cpu_s();
    let load = tokio::spawn(run_load(balancer, shots));
    inject(experiment, &bed, &load).await;
    let hits = load.await.map_err(|e| e.to_string())?;
    let cpu = cpu_s() - cpu;
    let promises = check_promises(&bed, 0, &hits, 0).await.map_err(|e| e.to_string())?;
    let broken = promises.iter().filter(|p| p.broken > 0);
    let broken =
        broken.map(|p| format!("{}: {} {:?}", p.statement, p.broken, p.examples)).collect();
    let counted: Vec<&LoadResult> =
        hits.iter().zip(&measured).filter(|(_, m)| **m).map(|(h, _)| h).collect();
    let found = summarize(experiment, name, &bed, &counted, broken, cpu)?;
    bed.stop().await;
    Ok(found)
}

/// Slows and kills backend servers at their times.
async fn inject(experiment: &Experiment, bed: &TestCluster, load: &JoinHandle<Vec<LoadResult>>) {
    let start = tokio::time::Instant::now();
    let mut faults = experiment.faults.clone();
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for fault in faults {
        tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at_s)).await;
        if load.is_finished() {
            return;
        }
        let server = &bed.servers[fault.server];
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
    bed: &TestCluster,
    hits: &[&LoadResult],
    broken: Vec<String>,
    cpu: f64,
) -> Result<Found, String> {
    let histogram = || Histogram::<u64>::new_with_max(MAX_US, 3).map_err(|e| e.to_string());
    let (mut first, mut top_first, mut gap) = (histogram()?, histogram()?, histogram()?);
    let mut tiers = vec![(0, 0); usize::from(TIERS)];
    let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    for hit in hits {
        let tier = &mut tiers[usize::from(hit.request.tier)];
        tier.0 += usize::from(hit.is_good());
        tier.1 += 1;
        let RequestKind::Chat { tokens, .. } = hit.request.kind else {
            continue;
        };
        if hit.complete {
            first.saturating_record(us(hit.first_byte));
            let between =
                us(hit.total.saturating_sub(hit.first_byte)) / tokens.max(2).saturating_sub(1);
            gap.saturating_record(between);
            if hit.request.tier == 0 {
                top_first.saturating_record(us(hit.first_byte));
            }
        }
    }
    let sum =
        bed.servers.iter().map(|s| s.stats().totals()).fold(Totals::default(), |a, b| Totals {
            prefilled_tokens: a.prefilled_tokens + b.prefilled_tokens,
            wasted_tokens: a.wasted_tokens + b.wasted_tokens,
            ..Totals::default()
        });
    let good: usize = tiers.iter().map(|t| t.0).sum();
    Ok(Found {
        policy,
        good_rate: good as f64 / experiment.measured_s(),
        wasted: sum.wasted_tokens as f64 / sum.prefilled_tokens.max(1) as f64,
        prefilled: sum.prefilled_tokens,
        tiers,
        first,
        top_first,
        gap,
        broken,
        cpu,
        preempted: hits
            .iter()
            .filter(|h| matches!(h.failure, Some((RefusalReason::Preempted, _))))
            .count(),
    })
}

#[expect(clippy::cast_precision_loss, reason = "microseconds are far below 2^52")]
fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn as_value(found: &Found) -> Value {
    let tiers: Vec<_> =
        found.tiers.iter().map(|(good, all)| json!({ "good": good, "offered": all })).collect();
    json!({
        "policy": found.policy,
        "tiers": tiers,
        "good_per_s": found.good_rate,
        "wasted_prefill": found.wasted,
        "prefilled_tokens": found.prefilled,
        "first_ms": { "p50": ms(&found.first, 0.5), "p95": ms(&found.first, 0.95),
                      "p99": ms(&found.first, 0.99) },
        "top_first_ms": { "p95": ms(&found.top_first, 0.95), "p99": ms(&found.top_first, 0.99) },
        "gap_ms": { "p50": ms(&found.gap, 0.5), "p95": ms(&found.gap, 0.95) },
        "promises_broken": found.broken,
        "cpu_s": found.cpu,
        "preempted": found.preempted,
    })
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn print(title: &str, seed: u64, found: &[Found]) {
    let rows: Vec<Vec<String>> = found
        .iter()
        .map(|f| {
            let mut row = vec![f.policy.to_owned()];
            let percent = |(good, all): &(usize, usize)| {
                format!("{:.1}", *good as f64 / (*all).max(1) as f64 * 100.0)
            };
            row.extend(f.tiers.iter().map(percent));
            row.extend([
                format!("{:.1}", f.good_rate),
                format!("{:.1}", f.wasted * 100.0),
                format!("{:.0}", ms(&f.first, 0.5)),
                format!("{:.0}", ms(&f.first, 0.95)),
                format!("{:.0}", ms(&f.first, 0.99)),
                format!("{:.0}", ms(&f.top_first, 0.99)),
                format!("{:.1}", ms(&f.gap, 0.95)),
                f.preempted.to_string(),
                f.broken.len().to_string(),
                format!("{:.1}", f.cpu),
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
    for f in found {
        for broken in &f.broken {
            println!("{}: {broken}", f.policy);
        }
    }
}
