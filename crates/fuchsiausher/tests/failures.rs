//! The failures that the scheduler's users name, over real sockets. Bursts are tested in
//! `operations.rs`.

mod common;

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use common::Links;
use entry::ErrorBody;
use fuchsiausher::{
    AdminError, Balancer, LoadRequest, RequestKind, TestCluster, TestClusterConfig, account_entry,
    chat_body, check_promises, run_load,
};
use model::{RefusalReason, Verdict};
use serde_json::{Value, json};
use stand::call;

/// Longest wait for a state that is promised within seconds. It allows for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn edit(id: &str, base: u64) -> Value {
    json!({ "id": id, "base": base, "put": [account_entry(id, 3, &["loom-model"])] })
}

async fn revision(cluster: &TestCluster, vm: usize) -> u64 {
    let status = cluster.admin(vm).get("/status").await.unwrap_or_default();
    status["revision"].as_u64().unwrap_or(0)
}

async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Sends an edit based on the current revision until one is accepted. Returns the new revision.
async fn make_edit(cluster: &TestCluster, vm: usize, id: &str) -> u64 {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    let mut tries = 0;
    loop {
        assert!(tokio::time::Instant::now() < deadline, "{id} was never accepted");
        tries += 1;
        let base = cluster.admin(vm).get("/catalogue").await.unwrap_or_default();
        let edit = edit(&format!("{id}-{tries}"), base["revision"].as_u64().unwrap_or(0));
        if let Ok(answer) = cluster.admin(vm).post("/catalogue/edits", &edit).await {
            return answer["outcome"]["accepted"]["revision"].as_u64().unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn load_requests(rate: u32, length: Duration) -> Vec<LoadRequest> {
    let count = rate * u32::try_from(length.as_secs()).unwrap();
    (0..count)
        .map(|n| LoadRequest {
            offset: length / count * n,
            account: format!("tier-{}", n % 5),
            tier: u8::try_from(n % 5).unwrap(),
            deadline: Duration::from_secs(3),
            kind: RequestKind::Chat {
                model: "loom-model".into(),
                prefix: None,
                prompt: 30,
                tokens: 12,
            },
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_die_while_requests_wait() {
    let mut config = TestClusterConfig::zones();
    config.groups[0].slots = 2;
    config.groups[0].pace.decode_us = 10_000;
    let mut cluster = TestCluster::start(config).await.unwrap();
    let balancer = Arc::new(Balancer::new(&cluster));
    let load = tokio::spawn(run_load(balancer, load_requests(120, Duration::from_secs(8))));
    for vm in [3, 1] {
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster.take_node(vm).unwrap().kill();
    }
    let dead = [cluster.caller_address(3), cluster.caller_address(1)];
    let mut results = load.await.unwrap();
    // Callers of a killed entry VM see their connections break. All others get an answer.
    for result in results.iter().filter(|r| !dead.contains(&r.vm)) {
        assert!(result.complete || result.failure.is_some(), "{result:?}");
    }
    assert!(results.iter().filter(|r| !dead.contains(&r.vm)).any(|r| r.complete));
    results.retain(|r| !dead.contains(&r.vm));
    let promises = check_promises(&cluster, 0, &results, 0).await.unwrap();
    for promise in promises.iter().filter(|p| !p.statement.contains("ledger")) {
        assert_eq!(promise.broken, 0, "{}: {:?}", promise.statement, promise.examples);
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_slow_down() {
    let mut config = TestClusterConfig::zones();
    config.groups[0].pace.decode_us = 5_000;
    let cluster = TestCluster::start(config).await.unwrap();
    let balancer = Arc::new(Balancer::new(&cluster));
    let load = tokio::spawn(run_load(balancer, load_requests(60, Duration::from_secs(8))));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = cluster.servers[0].stats().totals().received;
    cluster.servers[0].set_slowdown(30_000);
    let results = load.await.unwrap();
    let after = cluster.servers[0].stats().totals().received - before;
    // At a thirtieth of its former speed the engine gets only probes.
    assert!(after < before / 2, "the slowed engine received {after} requests, and {before} before");
    let good = results.iter().filter(|r| r.is_good()).count();
    assert!(good * 10 >= results.len() * 9, "{good} of {} requests are good", results.len());
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn control_vm_is_isolated_by_a_silent_partition_for_a_long_time() {
    let mut config = TestClusterConfig::zones();
    let links = Links::new(&mut config).await;
    let cluster = TestCluster::start(config).await.unwrap();
    let status = cluster.admin(0).get("/status").await.unwrap();
    let leader = (0..4).find(|vm| status["leader"] == format!("vm-{}", vm + 1)).unwrap();
    let other = (leader + 1) % 3;
    links.isolate(leader, true);
    let accepted = make_edit(&cluster, other, "while-cut").await;
    eventually("the isolated VM reports that it is alone", async || {
        let status = cluster.admin(leader).get("/status").await.unwrap_or_default();
        status["contact"] == "alone"
    })
    .await;
    let refused = cluster.admin(leader).post("/catalogue/edits", &edit("isolated", 1)).await;
    assert!(matches!(refused, Err(AdminError::Refused { status: 503, .. })), "{refused:?}");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    let headers = [
        ("authorization", "Bearer tier-0".to_owned()),
        ("idempotency-key", format!("{now}-isolated")),
    ];
    let path = "/services/order-desk/orders";
    let answer =
        call(cluster.caller_address(leader), "POST", path, &headers, b"{}".to_vec()).await.unwrap();
    let failed: ErrorBody = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(failed.error.reason, RefusalReason::NoQuorum);
    assert_eq!(failed.error.verdict, Verdict::NotRun);
    eventually("model calls are served in the cut-off zone", async || {
        let body = chat_body("loom-model", 10, 3, true);
        cluster.chat(leader, "tier-0", body).await.is_ok_and(|a| a.status == 200)
    })
    .await;
    links.isolate(leader, false);
    eventually("the VM catches up with the log", async || {
        revision(&cluster, leader).await >= accepted
    })
    .await;
    let newest = make_edit(&cluster, leader, "joined").await;
    assert!(newest > accepted);
    let history = cluster.admin(other).get("/catalogue/history").await.unwrap();
    let edits: Vec<&str> =
        history["history"].as_array().unwrap().iter().filter_map(|r| r["edit"].as_str()).collect();
    assert!(edits.iter().any(|e| e.starts_with("while-cut")), "nothing was reverted: {edits:?}");
    assert!(!edits.contains(&"isolated"), "a refused edit is not applied later: {edits:?}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_of_one_revision_have_one_winner_and_resends_get_the_same_outcome() {
    let cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    for round in 0..10_u64 {
        let base = round + 1;
        let names: Vec<String> = (0..4).map(|vm| format!("race-{round}-{vm}")).collect();
        let edits: Vec<Value> = names.iter().map(|n| edit(n, base)).collect();
        let clients: Vec<_> = (0..4).map(|vm| cluster.admin(vm)).collect();
        let race = async |shift: usize| {
            let (a, b, c, d) = tokio::join!(
                clients[shift % 4].post("/catalogue/edits", &edits[0]),
                clients[(1 + shift) % 4].post("/catalogue/edits", &edits[1]),
                clients[(2 + shift) % 4].post("/catalogue/edits", &edits[2]),
                clients[(3 + shift) % 4].post("/catalogue/edits", &edits[3]),
            );
            [a, b, c, d].map(|r| match r {
                Ok(answer) | Err(AdminError::Refused { answer, .. }) => answer["outcome"].clone(),
                Err(error) => panic!("{error}"),
            })
        };
        let first = race(0).await;
        let winners = first.iter().filter(|o| !o["accepted"].is_null()).count();
        assert_eq!(winners, 1, "{first:?}");
        let winner = first.iter().position(|o| !o["accepted"].is_null()).unwrap();
        for outcome in first.iter().filter(|o| o["accepted"].is_null()) {
            assert_eq!(
                outcome["conflict"]["winner"], names[winner],
                "a refused edit names the accepted one"
            );
        }
        // Sends every edit again, to another entry VM.
        assert_eq!(race(1).await, first);
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_vm_is_lost_right_after_a_repair() {
    let mut cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    let before = make_edit(&cluster, 0, "before").await;
    cluster.take_node(1).unwrap().kill();
    cluster.remove_data(1).unwrap();
    cluster.start_node(1).await.unwrap();
    eventually("the new copy receives the log", async || revision(&cluster, 1).await >= before)
        .await;
    let voters = cluster.admin(0).get("/status").await.unwrap()["voters"].clone();
    let replace = json!({ "old": "vm-2", "new": "vm-2" });
    eventually("the voter is replaced", async || {
        cluster.admin(0).post("/voters/replace", &replace).await.is_ok()
            || cluster.admin(0).get("/status").await.is_ok_and(|s| s["voters"] != voters)
    })
    .await;
    cluster.take_node(2).unwrap().kill();
    let after = make_edit(&cluster, 0, "after").await;
    assert!(after > before);
    assert!(revision(&cluster, 1).await >= before);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_restart_after_hundreds_of_changes() {
    let mut cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    let changes = 1_300_u64;
    for n in 0..changes {
        let edit = json!({ "id": format!("change-{n}"), "base": n + 1 });
        let made = cluster.admin(0).post("/catalogue/edits", &edit).await.unwrap();
        assert_eq!(made["outcome"]["accepted"]["revision"], n + 2);
    }
    for vm in 0..4 {
        cluster.take_node(vm).unwrap().kill();
    }
    // A data folder cannot be opened again until the threads of the killed entry VM have closed it.
    for vm in 0..4 {
        let mut tries = 0;
        while let Err(error) = cluster.start_node(vm).await {
            tries += 1;
            assert!(tries < 100, "{error:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    for vm in 0..4 {
        eventually("all changes are in force", async || {
            revision(&cluster, vm).await == changes + 1
        })
        .await;
    }
    let again = json!({ "id": "change-7", "base": 8 });
    eventually("a resend gets its first outcome", async || {
        let answer = cluster.admin(2).post("/catalogue/edits", &again).await.unwrap_or_default();
        answer["outcome"]["accepted"]["revision"] == 9
    })
    .await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_given_once_by_one_leader_after_another() {
    let mut cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    let place = |model: &str, base: u64| {
        json!({ "base": base, "placement":
            { "model": model, "adapter": null, "version": "1", "role": "decode" } })
    };
    for n in 1..=4 {
        let path = format!("/placements/loom-model-{n}");
        cluster.admin(1).post(&path, &place("first", 0)).await.unwrap();
    }
    let accepted = |cluster: &TestCluster, server: usize, model: &str| {
        let orders = cluster.servers[server].stats().orders();
        orders.iter().any(|o| o.accepted && o.model == model)
    };
    eventually("all engines accepted the first order", async || {
        (0..4).all(|server| accepted(&cluster, server, "first"))
    })
    .await;
    let stale = cluster.admin(1).post("/placements/loom-model-1", &place("stale", 0)).await;
    assert!(matches!(stale, Err(AdminError::Refused { status: 409, .. })), "{stale:?}");
    let status = cluster.admin(1).get("/status").await.unwrap();
    let leader = (0..4).find(|vm| status["leader"] == format!("vm-{}", vm + 1)).unwrap();
    cluster.take_node(leader).unwrap().kill();
    let other = (leader + 1) % 3;
    let newest = cluster.admin(other).get("/placements").await.unwrap();
    for n in 1..=4 {
        let server = format!("loom-model-{n}");
        let base = newest["placements"][&server]["version"].as_u64().unwrap();
        let path = format!("/placements/{server}");
        eventually("the placement is accepted", async || {
            cluster.admin(other).post(&path, &place("second", base)).await.is_ok()
        })
        .await;
    }
    // Engine n is in zone n modulo 3. Engines in a zone whose only entry VM was killed announce
    // themselves to no entry VM, so they get no orders. The first zone has two entry VMs.
    let is_known = |server: usize| leader == 0 || server % 3 != leader;
    eventually("the known engines accepted the second order", async || {
        (0..4).filter(|s| is_known(*s)).all(|server| accepted(&cluster, server, "second"))
    })
    .await;
    for server in &cluster.servers[..4] {
        let fences: Vec<u64> = server.stats().orders().iter().map(|o| o.fence).collect();
        assert!(fences.is_sorted_by(|a, b| a < b), "fencing numbers only increase: {fences:?}");
    }
    cluster.stop().await;
}
