//! Promises that can be checked from outside, after a load.

use std::collections::{BTreeMap, HashMap};

use model::{RefusalReason, Verdict};
use serde_json::Value;

use crate::{load::LoadResult, test_cluster::TestCluster};

/// One promise and whether it was kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// What is promised.
    pub statement: &'static str,
    /// How often it was broken.
    pub broken: usize,
    /// Examples.
    pub examples: Vec<String>,
}

impl Promise {
    /// A promise with the cases that broke it.
    #[must_use]
    pub fn new(statement: &'static str, broken: Vec<String>) -> Self {
        let count = broken.len();
        Self { statement, broken: count, examples: broken.into_iter().take(3).collect() }
    }
}

/// How often each request id and idempotency key ran on all backend servers.
fn runs(bed: &TestCluster) -> HashMap<String, u64> {
    let mut sum: HashMap<String, u64> = HashMap::new();
    for server in &bed.servers {
        for (what, count) in server.stats().runs() {
            *sum.entry(what).or_default() += count;
        }
    }
    sum
}

/// Checks what callers and backend servers saw, and what the ledger says of it.
///
/// # Errors
///
/// If the ledger or an entry VM's state cannot be read.
pub async fn check_promises(
    bed: &TestCluster,
    asked: usize,
    hits: &[LoadResult],
    since: u64,
) -> Result<Vec<Promise>, crate::AdminError> {
    let runs = runs(bed);
    let twice = runs.iter().filter(|(_, n)| **n > 1).map(|(w, n)| format!("{w} ran {n} times"));
    let false_not_run = hits
        .iter()
        .filter(|h| matches!(h.failure, Some((_, Verdict::NotRun))) && runs.contains_key(&h.id));
    let cut = hits.iter().filter(|h| h.interrupted).map(|h| format!("{} at {}", h.id, h.vm));
    let ledger = bed.admin(asked).get(&format!("/refusals?since={since}")).await?;
    Ok(vec![
        Promise::new("every request and idempotency key runs at most once", twice.collect()),
        Promise::new(
            "a request said to be not run was not run",
            false_not_run.map(|h| h.id.clone()).collect(),
        ),
        Promise::new("every answer is whole and the caller's own, or marked", cut.collect()),
        Promise::new(
            "the ledger has every refusal that callers saw, once",
            differences(&ledger, hits),
        ),
        Promise::new("the counters equal the ledger", counter_differences(bed, &ledger)),
        Promise::new("invariants hold inside the program", broken_invariants(bed, asked).await?),
    ])
}

type Counts = BTreeMap<(String, RefusalReason), usize>;

/// Refusals of the ledger by account and reason; a caller that left saw none.
pub(crate) fn ledger_counts(ledger: &Value) -> Counts {
    let mut counts = Counts::new();
    for refusal in ledger["refusals"].as_array().into_iter().flatten() {
        let account = refusal["account"].as_str().unwrap_or_default().to_owned();
        if let Ok(reason) = serde_json::from_value(refusal["reason"].clone()) {
            *counts.entry((account, reason)).or_default() += 1;
        }
    }
    counts
}

fn differences(ledger: &Value, hits: &[LoadResult]) -> Vec<String> {
    let recorded = ledger_counts(ledger);
    let mut seen = Counts::new();
    for hit in hits {
        if let Some((reason, _)) = hit.failure {
            *seen.entry((hit.request.account.clone(), reason)).or_default() += 1;
        }
    }
    let mut differences = Vec::new();
    let mut keys: Vec<_> = recorded.keys().chain(seen.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let (ledger, callers) = (recorded.get(key), seen.get(key));
        if key.1 != RefusalReason::CallerLeft && ledger != callers {
            differences.push(format!("{key:?}: ledger {ledger:?}, callers {callers:?}"));
        }
    }
    differences
}

/// Counters of the running entry VMs against their records, from the start of their processes.
fn counter_differences(bed: &TestCluster, ledger: &Value) -> Vec<String> {
    let mut differences = Vec::new();
    for at in 0..bed.len() {
        let Some(node) = bed.node(at) else {
            continue;
        };
        let name = bed.settings(at).vm.as_str();
        for (reason, counted) in node.meters().refusals() {
            let of_vm = |r: &&Value| r["key"]["vm"] == name && r["reason"] == reason.code();
            let all = ledger["refusals"].as_array().into_iter().flatten();
            let recorded = all.filter(of_vm).count() as u64;
            if recorded != counted {
                differences.push(format!("{name} {reason}: ledger {recorded}, counter {counted}"));
            }
        }
    }
    differences
}

async fn broken_invariants(
    bed: &TestCluster,
    asked: usize,
) -> Result<Vec<String>, crate::AdminError> {
    let status = bed.admin(asked).get("/status").await?;
    let broken = status["invariants_broken"].as_object().into_iter().flatten();
    Ok(broken
        .filter(|(_, n)| n.as_u64() != Some(0))
        .map(|(name, n)| format!("{name}: {n}"))
        .collect())
}
