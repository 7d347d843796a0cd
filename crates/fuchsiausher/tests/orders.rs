//! Non-idempotent calls run at most once for each idempotency key.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entry::ErrorBody;
use fuchsiausher::{TestCluster, TestClusterConfig};
use model::{RefusalReason, Verdict};
use stand::{Fault, HttpResponse, call};

fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs()
}

async fn order(cluster: &TestCluster, vm: usize, key: &str) -> HttpResponse {
    let headers =
        [("authorization", "Bearer tier-0".to_owned()), ("idempotency-key", key.to_owned())];
    let path = "/services/order-desk/orders";
    call(cluster.caller_address(vm), "POST", path, &headers, b"{}".to_vec())
        .await
        .expect("an answer")
}

fn runs(cluster: &TestCluster, key: &str) -> u64 {
    cluster.servers.iter().map(|s| s.stats().runs().get(key).copied().unwrap_or(0)).sum()
}

fn error_body(answer: &HttpResponse) -> ErrorBody {
    serde_json::from_slice(&answer.body).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_gets_the_first_answer_at_any_vm() {
    let cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    let key = format!("{}-resend", now_s());
    let first = order(&cluster, 0, &key).await;
    assert_eq!(first.status, 200);
    // The answer is stored after it was sent to the caller. Until then a resend gets the verdict
    // that it may have run.
    for vm in 0..4 {
        let answer = loop {
            let answer = order(&cluster, vm, &key).await;
            if answer.status == 200 {
                break answer;
            }
            assert_eq!(error_body(&answer).error.verdict, Verdict::MayHaveRun);
        };
        assert_eq!(answer.body, first.body);
        assert_eq!(answer.headers["x-replayed"], "true");
    }
    assert_eq!(runs(&cluster, &key), 1);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_run_once() {
    let cluster = TestCluster::start(TestClusterConfig::zones()).await.unwrap();
    for round in 0..10 {
        let key = format!("{}-cross-{round}", now_s());
        let (a, b, c, d) = tokio::join!(
            order(&cluster, 0, &key),
            order(&cluster, 1, &key),
            order(&cluster, 2, &key),
            order(&cluster, 3, &key)
        );
        let answers = [a, b, c, d];
        let served = answers.iter().filter(|a| a.status == 200);
        let own = served.filter(|a| !a.headers.contains_key("x-replayed")).count();
        assert_eq!(own, 1, "one of the concurrent calls runs");
        for answer in answers.iter().filter(|a| a.status != 200) {
            assert_eq!(error_body(answer).error.verdict, Verdict::MayHaveRun);
        }
        assert_eq!(runs(&cluster, &key), 1);
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_that_failed_after_it_was_sent_is_never_run_again() {
    let cluster = TestCluster::start(TestClusterConfig::small()).await.unwrap();
    let key = format!("{}-failed", now_s());
    cluster.servers[1].set_fault(Fault::CloseUnanswered);
    assert_eq!(error_body(&order(&cluster, 0, &key).await).error.verdict, Verdict::MayHaveRun);
    cluster.servers[1].set_fault(Fault::None);
    let again = error_body(&order(&cluster, 0, &key).await);
    assert_eq!(again.error.reason, RefusalReason::KeyUsed);
    assert_eq!(again.error.verdict, Verdict::MayHaveRun);
    assert_eq!(runs(&cluster, &key), 1);
    cluster.stop().await;
}

/// A caller that leaves while its call runs does not know whether it ran, and sends it again.
#[tokio::test(flavor = "multi_thread")]
async fn call_whose_caller_left_before_the_answer_is_never_run_again() {
    let cluster = TestCluster::start(TestClusterConfig::small()).await.unwrap();
    let key = format!("{}-left", now_s());
    cluster.servers[1].set_fault(Fault::Hang);
    let left = tokio::time::timeout(Duration::from_secs(1), order(&cluster, 0, &key)).await;
    assert!(left.is_err(), "the server answers nothing");
    assert_eq!(runs(&cluster, &key), 1, "the server has read the call");
    cluster.servers[1].set_fault(Fault::None);
    for _ in 0..20 {
        let again = order(&cluster, 0, &key).await;
        assert_eq!(runs(&cluster, &key), 1, "{again:?}");
        assert_eq!(error_body(&again).error.verdict, Verdict::MayHaveRun);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_that_was_not_run_may_be_sent_again() {
    let mut cluster = TestCluster::start(TestClusterConfig::small()).await.unwrap();
    let key = format!("{}-not-run", now_s());
    cluster.servers[1].kill();
    let refused = error_body(&order(&cluster, 0, &key).await);
    assert_eq!(refused.error.verdict, Verdict::NotRun);
    let config = stand::Config {
        id: "order-desk-2".into(),
        service: "order-desk".into(),
        role: stand::Role::Plain,
        slots: 4,
        pace: stand::Pace { prefill_us: 1, decode_us: 1_000 },
        cache: 0,
        zone: "zone-a".into(),
        checks_fences: false,
        holders: std::sync::Arc::default(),
    };
    let mut server = stand::Server::start(config).await.unwrap();
    server.announce(cluster.announcer("zone-a"));
    cluster.servers.push(server);
    loop {
        let answer = order(&cluster, 0, &key).await;
        if answer.status == 200 {
            break;
        }
        // The call is refused until the new server's announcement arrives. While the claim of the
        // last refused call is being released, a resend gets the verdict that it may have run.
        assert_ne!(error_body(&answer).error.verdict, Verdict::Ran);
    }
    assert_eq!(runs(&cluster, &key), 1);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_past_retention_is_refused() {
    let cluster = TestCluster::start(TestClusterConfig::small()).await.unwrap();
    let key = format!("{}-old", now_s() - state::RETENTION_MS / 1_000 - 1);
    let answer = error_body(&order(&cluster, 0, &key).await);
    assert_eq!(answer.error.reason, RefusalReason::KeyExpired);
    let key = format!("{}-ahead", now_s() + 3_600);
    let answer = error_body(&order(&cluster, 0, &key).await);
    assert_eq!(answer.error.reason, RefusalReason::BadRequest);
    assert_eq!(cluster.servers[1].stats().totals().received, 0);
    cluster.stop().await;
}
