//! The demo: a short burst past capacity on four entry VMs in three zones.

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

/// Length of the load.
const LENGTH: Duration = Duration::from_secs(10);
/// When the load rises past capacity, and when it falls again.
const BURST: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(7));
/// Chat completions per second before and after the burst, and in it.
const RATES: (u32, u32) = (40, 240);
/// When the first backend server is declared to leave.
const LEAVE_AT: Duration = Duration::from_secs(4);
/// Time after which a leaving server gets no new work.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// When the last entry VM is stopped.
const STOP_AT: Duration = Duration::from_secs(5);
/// Deadline of the first byte.
const DEADLINE: Duration = Duration::from_millis(1_800);
/// Model service and plain service.
const SERVICES: [&str; 2] = ["loom-model", "order-desk"];

/// What the demo found.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) tiers: BTreeMap<u8, (usize, usize)>,
    pub(crate) refusals: Vec<(String, String, usize)>,
    pub(crate) promises: Vec<Promise>,
}

impl Outcome {
    /// Whether every promise was kept.
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

/// The bed of the demo: a catalogue with one account for each tier and one that is held to a low
/// rate.
pub(crate) fn config() -> TestClusterConfig {
    let mut config = TestClusterConfig::zones();
    config.groups[0].pace = Pace { prefill_us: 40, decode_us: 10_000 };
    let mut limited = account_entry("limited", 2, &SERVICES);
    limited["rate"] = json!(5);
    config.entries.push(limited);
    config
}

/// Runs the demo.
pub(crate) async fn run(bed: &mut TestCluster) -> Result<Outcome, Report<Error>> {
    let since = micros_since_epoch();
    let balancer = Arc::new(Balancer::new(bed));
    let load = tokio::spawn(run_load(Arc::clone(&balancer), shots()));
    tokio::time::sleep(LEAVE_AT).await;
    let leaving = bed.servers[0].id().to_owned();
    let duty = json!({ "duty": "leaving" });
    let left = bed.admin(1).post(&format!("/servers/{leaving}/duty"), &duty).await;
    left.map_err(|e| failed(&e.to_string()))?;
    tokio::time::sleep(STOP_AT.saturating_sub(LEAVE_AT)).await;
    let last = bed.len() - 1;
    let node = bed.take_node(last).ok_or_else(|| failed("no entry VM to stop"))?;
    let counted = node.meters().refusals();
    let stopping = tokio::spawn(node.stop());
    tokio::time::sleep((LEAVE_AT + LEAVE_GRACE).saturating_sub(STOP_AT)).await;
    let received = bed.servers[0].stats().totals().received;
    let hits = load.await.change_context_lazy(|| failed("the load"))?;
    let finished = stopping.await.unwrap_or(false);
    let later = bed.servers[0].stats().totals().received - received;
    let mut promises =
        check_promises(bed, 0, &hits, since).await.map_err(|e| failed(&e.to_string()))?;
    let late = (later > 0).then(|| format!("{leaving} received {later} requests"));
    promises.push(Promise::new(
        "a leaving server gets no new work after 3 s",
        late.into_iter().collect(),
    ));
    let cut = (!finished).then(|| "requests were in flight at the end".to_owned());
    promises.push(Promise::new("a planned stop cuts nothing off", cut.into_iter().collect()));
    let _ = counted;
    let ledger = bed.admin(0).get(&format!("/refusals?since={since}")).await;
    let ledger = ledger.map_err(|e| failed(&e.to_string()))?;
    let refusals = ledger_counts(&ledger)
        .into_iter()
        .map(|((account, reason), n)| (account, reason.code().to_owned(), n))
        .collect();
    Ok(Outcome { tiers: goodput(&hits), refusals, promises })
}

fn failed(why: &str) -> Error {
    ErrorKind::Bed(why.into()).into()
}

fn micros_since_epoch() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Chat completions of all tiers in turn, stock look-ups, orders sent twice, and the limited
/// account.
fn shots() -> Vec<LoadRequest> {
    let mut shots = Vec::new();
    let mut at = Duration::ZERO;
    let mut n: u32 = 0;
    let issued = micros_since_epoch() / 1_000_000;
    while at < LENGTH {
        let in_burst = at >= BURST.0 && at < BURST.1;
        let rate = if in_burst { RATES.1 } else { RATES.0 };
        let tier = u8::try_from(n % 5).unwrap_or(0);
        let kind = chat_shot(n);
        shots.push(shot(at, &format!("tier-{tier}"), tier, kind));
        if n.is_multiple_of(20) {
            let kind = RequestKind::Read { service: SERVICES[1].into() };
            shots.push(shot(at, "tier-1", 1, kind));
            let key = format!("{issued}-order-{n}");
            for _ in 0..2 {
                let kind = RequestKind::Write { service: SERVICES[1].into(), key: key.clone() };
                shots.push(shot(at, "tier-0", 0, kind));
            }
        }
        if n.is_multiple_of(10) {
            shots.push(shot(at, "limited", 2, chat_shot(n)));
        }
        n += 1;
        at += Duration::from_secs(1) / rate;
    }
    shots
}

/// Lengths vary a hundredfold: most prompts are short, a few are long.
fn chat_shot(n: u32) -> RequestKind {
    let prompt = if n.is_multiple_of(17) { 2_000 } else { 20 + (n as usize * 37) % 200 };
    RequestKind::Chat {
        model: SERVICES[0].into(),
        prefix: n.is_multiple_of(3).then_some((100, n % 7)),
        prompt,
        tokens: 10 + u64::from(n * 13 % 20),
    }
}

fn shot(at: Duration, account: &str, tier: u8, kind: RequestKind) -> LoadRequest {
    LoadRequest { offset: at, account: account.into(), tier, deadline: DEADLINE, kind }
}

fn goodput(hits: &[LoadResult]) -> BTreeMap<u8, (usize, usize)> {
    let mut tiers: BTreeMap<u8, (usize, usize)> = BTreeMap::new();
    for hit in hits.iter().filter(|h| h.request.account.starts_with("tier-")) {
        let (good, all) = tiers.entry(hit.request.tier).or_default();
        // A resent order is served by the first call or by its stored answer.
        *good += usize::from(hit.is_good());
        *all += 1;
    }
    tiers
}
