//! Checks of the scheduler's promises after a load.
//!
//! A promise is a guarantee to callers or operators that can be checked from outside: against the
//! results that callers saw, the runs that the backend servers counted, the ledger of refusals and
//! the entry VMs' counters.

use std::collections::{BTreeMap, HashMap};

use model::{RefusalReason, Verdict};
use serde_json::Value;

use crate::{load::LoadResult, test_cluster::TestCluster};

/// A promise and how often it was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// The promise, as printed to operators.
    pub statement: &'static str,
    /// Number of cases that broke the promise; 0 if it was kept.
    pub broken: usize,
    /// Descriptions of at most three of these cases.
    pub examples: Vec<String>,
}

impl Promise {
    /// Creates a promise from the descriptions of all cases that broke it.
    #[must_use]
    pub fn new(statement: &'static str, broken: Vec<String>) -> Self {
        let count = broken.len();
        Self { statement, broken: count, examples: broken.into_iter().take(3).collect() }
    }
}

/// Returns how often each request id and idempotency key ran, summed over all backend servers.
fn run_counts(cluster: &TestCluster) -> HashMap<String, u64> {
    let mut counts: HashMap<String, u64> = HashMap::new();
    for server in &cluster.servers {
        for (id, count) in server.stats().runs() {
            *counts.entry(id).or_default() += count;
        }
    }
    counts
}

/// Checks all promises on the results of a load.
///
/// The ledger and the status are read from the entry VM with the index `queried`. Refusals recorded
/// before `since`, in microseconds since the Unix epoch, are ignored.
///
/// # Errors
///
/// Returns an error if the ledger or the entry VM's status cannot be read.
pub async fn check_promises(
    cluster: &TestCluster,
    queried: usize,
    results: &[LoadResult],
    since: u64,
) -> Result<Vec<Promise>, crate::AdminError> {
    let runs = run_counts(cluster);
    let repeated = runs.iter().filter(|(_, n)| **n > 1).map(|(w, n)| format!("{w} ran {n} times"));
    let wrong_not_run = results
        .iter()
        .filter(|r| matches!(r.failure, Some((_, Verdict::NotRun))) && runs.contains_key(&r.id));
    let interrupted =
        results.iter().filter(|r| r.interrupted).map(|r| format!("{} at {}", r.id, r.vm));
    let ledger = cluster.admin(queried).get(&format!("/refusals?since={since}")).await?;
    Ok(vec![
        Promise::new("every request and idempotency key runs at most once", repeated.collect()),
        Promise::new(
            "a request said to be not run was not run",
            wrong_not_run.map(|r| r.id.clone()).collect(),
        ),
        Promise::new(
            "every answer is whole and the caller's own, or marked",
            interrupted.collect(),
        ),
        Promise::new(
            "the ledger has every refusal that callers saw, once",
            ledger_differences(&ledger, results),
        ),
        Promise::new("the counters equal the ledger", counter_differences(cluster, &ledger)),
        Promise::new(
            "invariants hold inside the program",
            broken_invariants(cluster, queried).await?,
        ),
    ])
}

type Counts = BTreeMap<(String, RefusalReason), usize>;

/// Counts the ledger's refusals by account and reason. Those of callers that left are included,
/// although these callers saw no refusal.
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

/// Compares the refusals in the ledger with those that callers saw. The ledger's refusals of
/// callers that left are skipped, since those callers saw none.
fn ledger_differences(ledger: &Value, results: &[LoadResult]) -> Vec<String> {
    let recorded = ledger_counts(ledger);
    let mut seen = Counts::new();
    for result in results {
        if let Some((reason, _)) = result.failure {
            *seen.entry((result.request.account.clone(), reason)).or_default() += 1;
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

/// Compares the refusal counters of the running entry VMs with their records in the ledger. The
/// counters start with the VM's process.
fn counter_differences(cluster: &TestCluster, ledger: &Value) -> Vec<String> {
    let mut differences = Vec::new();
    for index in 0..cluster.len() {
        let Some(node) = cluster.node(index) else {
            continue;
        };
        let name = cluster.settings(index).vm.as_str();
        for (reason, counted) in node.meters().refusals() {
            let matches = |r: &&Value| r["key"]["vm"] == name && r["reason"] == reason.code();
            let all = ledger["refusals"].as_array().into_iter().flatten();
            let recorded = all.filter(matches).count() as u64;
            if recorded != counted {
                differences.push(format!("{name} {reason}: ledger {recorded}, counter {counted}"));
            }
        }
    }
    differences
}

async fn broken_invariants(
    cluster: &TestCluster,
    queried: usize,
) -> Result<Vec<String>, crate::AdminError> {
    let status = cluster.admin(queried).get("/status").await?;
    let broken = status["invariants_broken"].as_object().into_iter().flatten();
    Ok(broken
        .filter(|(_, n)| n.as_u64() != Some(0))
        .map(|(name, n)| format!("{name}: {n}"))
        .collect())
}
