//! The demo: a load with a burst past capacity on four entry VMs in three availability zones.
//!
//! During the load one backend server is declared to leave and one entry VM is stopped as planned.
//! Then the results are checked against the scheduler's promises.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use stand::Pace;

use crate::{
    error::{Error, ErrorKind},
    load::{Balancer, LoadRequest, LoadResult, RequestKind, run_load},
    promises::{Promise, check_promises, ledger_counts},
    test_cluster::{TestCluster, TestClusterConfig, account_entry},
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Start and end of the burst past capacity, from the start of the load.
const BURST: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(7));
/// Chat completions per second outside the burst, and during it.
const RATES: (u32, u32) = (40, 240);
/// Time from the start of the load at which the first backend server is declared to leave.
const LEAVE_AT: Duration = Duration::from_secs(4);
/// Time after its declaration from which a leaving server must get no new requests.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// Time from the start of the load at which the planned stop of the last entry VM begins.
const STOP_AT: Duration = Duration::from_secs(5);
/// Longest time to the first byte that counts as good.
const DEADLINE: Duration = Duration::from_millis(1_800);
/// The model service and the plain service.
const SERVICES: [&str; 2] = ["loom-model", "order-desk"];

/// Results of the demo.
///
/// `tiers` holds the numbers of good and of all requests by tier; `refusals` holds account, reason
/// code and count.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) tiers: BTreeMap<u8, (usize, usize)>,
    pub(crate) refusals: Vec<(String, String, usize)>,
    pub(crate) promises: Vec<Promise>,
}

impl Outcome {
    /// Returns whether every promise was kept.
    pub(crate) fn is_kept(&self) -> bool {
        self.promises.iter().all(|p| p.broken == 0)
    }

    pub(crate) fn json(&self) -> Value {
        let tiers: Vec<_> = self
            .tiers
            .iter()
            .map(|(tier, (good, all))| json!({ "tier": tier, "good": good, "offered": all }))
            .collect();
        let refusals: Vec<_> = self
            .refusals
            .iter()
            .map(|(account, reason, n)| json!({ "account": account, "reason": reason, "count": n }))
            .collect();
        let promises: Vec<_> = self
            .promises
            .iter()
            .map(|p| json!({ "promise": p.statement, "broken": p.broken, "examples": p.examples }))
            .collect();
        json!({ "goodput": tiers, "refusals": refusals, "promises": promises })
    }

    pub(crate) fn text(&self) -> String {
        let mut lines = vec!["Goodput by tier (answered whole, first byte in time):".to_owned()];
        for (tier, (good, all)) in &self.tiers {
            lines.push(format!("  tier {tier}: {good} of {all}"));
        }
        lines.push("Refusals, as the ledger tells them:".into());
        for (account, reason, count) in &self.refusals {
            lines.push(format!("  {account:<10} {reason:<18} {count}"));
        }
        lines.push("Promises:".into());
        for promise in &self.promises {
            let verdict = if promise.broken == 0 { "kept" } else { "BROKEN" };
            lines.push(format!("  {verdict:<7} {}", promise.statement));
            lines.extend(promise.examples.iter().map(|e| format!("          {e}")));
        }
        lines.join("\n")
    }
}

/// Returns the demo's configuration. Its catalogue has an account for each tier and an account with
/// a low rate limit.
pub(crate) fn config() -> TestClusterConfig {
    let mut config = TestClusterConfig::zones();
    config.groups[0].pace = Pace { prefill_us: 40, decode_us: 10_000 };
    let mut limited = account_entry("limited", 2, &SERVICES);
    limited["rate"] = json!(5);
    config.entries.push(limited);
    config
}

/// Runs the load, declares a server to leave, stops an entry VM, and checks the promises.
pub(crate) async fn run(cluster: &mut TestCluster) -> Result<Outcome, Report<Error>> {
    let since = micros_since_epoch();
    let balancer = Arc::new(Balancer::new(cluster));
    let load = tokio::spawn(run_load(Arc::clone(&balancer), load_requests()));
    tokio::time::sleep(LEAVE_AT).await;
    let leaving = cluster.servers[0].id().to_owned();
    let duty = json!({ "duty": "leaving" });
    let declared = cluster.admin(1).post(&format!("/servers/{leaving}/duty"), &duty).await;
    declared.map_err(|e| failed(&e.to_string()))?;
    tokio::time::sleep(STOP_AT.saturating_sub(LEAVE_AT)).await;
    let last = cluster.len() - 1;
    let node = cluster
        .take_node(last)
        .ok_or_else(|| failed("the entry VM to be stopped is not running"))?;
    let counted = node.meters().refusals();
    let stopping = tokio::spawn(node.stop());
    tokio::time::sleep((LEAVE_AT + LEAVE_GRACE).saturating_sub(STOP_AT)).await;
    let received = cluster.servers[0].stats().totals().received;
    let results =
        load.await.change_context_lazy(|| failed("the task that sends the load failed"))?;
    let finished = stopping.await.unwrap_or(false);
    let received_late = cluster.servers[0].stats().totals().received - received;
    let mut promises =
        check_promises(cluster, 0, &results, since).await.map_err(|e| failed(&e.to_string()))?;
    let violation =
        (received_late > 0).then(|| format!("{leaving} received {received_late} requests"));
    promises.push(Promise::new(
        "a leaving server gets no new work after 3 s",
        violation.into_iter().collect(),
    ));
    let unfinished = (!finished).then(|| "requests were in flight at the end".to_owned());
    promises
        .push(Promise::new("a planned stop cuts nothing off", unfinished.into_iter().collect()));
    let _ = counted;
    let ledger = cluster.admin(0).get(&format!("/refusals?since={since}")).await;
    let ledger = ledger.map_err(|e| failed(&e.to_string()))?;
    let refusals = ledger_counts(&ledger)
        .into_iter()
        .map(|((account, reason), n)| (account, reason.code().to_owned(), n))
        .collect();
    Ok(Outcome { tiers: goodput(&results), refusals, promises })
}

fn failed(why: &str) -> Error {
    ErrorKind::TestCluster(why.into()).into()
}

fn micros_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the load: chat completions of all tiers in turn, stock queries, orders that are each
/// sent twice, and chat completions of the account with a low rate limit.
fn load_requests() -> Vec<LoadRequest> {
    let mut requests = Vec::new();
    let mut offset = Duration::ZERO;
    let mut n: u32 = 0;
    let start_s = micros_since_epoch() / 1_000_000;
    while offset < LOAD_DURATION {
        let in_burst = offset >= BURST.0 && offset < BURST.1;
        let rate = if in_burst { RATES.1 } else { RATES.0 };
        let tier = u8::try_from(n % 5).unwrap_or(0);
        let kind = chat_request(n);
        requests.push(request_at(offset, &format!("tier-{tier}"), tier, kind));
        if n.is_multiple_of(20) {
            let kind = RequestKind::Read { service: SERVICES[1].into() };
            requests.push(request_at(offset, "tier-1", 1, kind));
            let key = format!("{start_s}-order-{n}");
            for _ in 0..2 {
                let kind = RequestKind::Write { service: SERVICES[1].into(), key: key.clone() };
                requests.push(request_at(offset, "tier-0", 0, kind));
            }
        }
        if n.is_multiple_of(10) {
            requests.push(request_at(offset, "limited", 2, chat_request(n)));
        }
        n += 1;
        offset += Duration::from_secs(1) / rate;
    }
    requests
}

/// Returns the `n`-th chat completion. Prompt lengths vary by a factor of a hundred: most are short,
/// a few are long.
fn chat_request(n: u32) -> RequestKind {
    let prompt = if n.is_multiple_of(17) { 2_000 } else { 20 + (n as usize * 37) % 200 };
    RequestKind::Chat {
        model: SERVICES[0].into(),
        prefix: n.is_multiple_of(3).then_some((100, n % 7)),
        prompt,
        tokens: 10 + u64::from(n * 13 % 20),
    }
}

fn request_at(offset: Duration, account: &str, tier: u8, kind: RequestKind) -> LoadRequest {
    LoadRequest { offset, account: account.into(), tier, deadline: DEADLINE, kind }
}

fn goodput(results: &[LoadResult]) -> BTreeMap<u8, (usize, usize)> {
    let mut tiers: BTreeMap<u8, (usize, usize)> = BTreeMap::new();
    for result in results.iter().filter(|r| r.request.account.starts_with("tier-")) {
        let (good, all) = tiers.entry(result.request.tier).or_default();
        // Each call of an order that is sent twice counts. The later one gets the stored answer, or is
        // refused and not good if that answer is not stored yet.
        *good += usize::from(result.is_good());
        *all += 1;
    }
    tiers
}
