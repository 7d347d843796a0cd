//! Failures of backend servers, callers that leave, and invalid input, over real sockets.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entry::ErrorBody;
use fuchsiausher::{TestCluster, TestClusterConfig, chat_body};
use model::{RefusalReason, Verdict};
use serde_json::{Value, json};
use stand::{ENDING_TEXT, Fault, HttpResponse, call};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longest wait for a state that is reached at once. It allows for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn two_engines() -> TestClusterConfig {
    let mut config = TestClusterConfig::small();
    config.groups[0].count = 2;
    config
}

async fn start(config: TestClusterConfig) -> TestCluster {
    TestCluster::start(config).await.expect("the test cluster starts")
}

async fn chat(cluster: &TestCluster, stream: bool) -> HttpResponse {
    let body = chat_body("loom-model", 50, 10, stream);
    cluster.chat(0, "tier-0", body).await.expect("an answer arrives")
}

fn error_body(answer: &HttpResponse) -> ErrorBody {
    let text = String::from_utf8_lossy(&answer.body);
    let event = text.rsplit("event: error\ndata: ").next().unwrap();
    serde_json::from_str(event.trim()).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn id_of(answer: &HttpResponse) -> String {
    answer.headers["x-request-id"].to_str().unwrap().to_owned()
}

/// Returns how often a request ran, summed over all backend servers.
fn runs(cluster: &TestCluster, id: &str) -> u64 {
    cluster.servers.iter().map(|s| s.stats().runs().get(id).copied().unwrap_or(0)).sum()
}

async fn refusals(cluster: &TestCluster, account: &str) -> Vec<Value> {
    let found = cluster.admin(0).get(&format!("/refusals?account={account}")).await.unwrap();
    found["refusals"].as_array().unwrap().clone()
}

/// Method, path, headers and body of a call, and the expected status and reason of the answer.
type InvalidCall =
    (&'static str, &'static str, Vec<(&'static str, String)>, Vec<u8>, u16, &'static str);

async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_not_run_and_granted_again() {
    let mut cluster = start(two_engines()).await;
    cluster.servers[0].kill();
    for _ in 0..8 {
        let answer = chat(&cluster, true).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        assert_eq!(runs(&cluster, &id_of(&answer)), 1);
    }
    let metrics = cluster.node(0).unwrap().meters().text().unwrap();
    let retried = metrics
        .lines()
        .find(|l| l.contains("retries") && l.contains("connect_failed"))
        .expect("connect_failed is listed");
    assert!(!retried.ends_with(" 0"), "a connection to the killed server failed: {retried}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_closed_after_the_request_may_have_run_and_is_never_sent_again() {
    let cluster = start(two_engines()).await;
    for server in &cluster.servers {
        server.set_fault(Fault::CloseUnanswered);
    }
    let answer = chat(&cluster, true).await;
    let error_body = error_body(&answer);
    assert_eq!(answer.status, 502);
    assert_eq!(error_body.error.reason, RefusalReason::ServerFailed);
    assert_eq!(error_body.error.verdict, Verdict::MayHaveRun);
    assert_eq!(
        runs(&cluster, &id_of(&answer)),
        1,
        "the request was sent once, although another server is free"
    );
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_off_is_marked_with_its_verdict() {
    let cluster = start(TestClusterConfig::small()).await;
    for fault in [Fault::CloseMidAnswer, Fault::OmitEndMarker] {
        cluster.servers[0].set_fault(fault);
        let answer = chat(&cluster, true).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.starts_with("data: "), "{fault:?}: the answer had begun");
        assert!(!text.contains("[DONE]"), "{fault:?}: a broken stream has no end marker");
        let error_body = error_body(&answer);
        assert_eq!(error_body.error.reason, RefusalReason::Broken, "{fault:?}");
        assert_eq!(error_body.error.verdict, Verdict::MayHaveRun, "{fault:?}");
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_inside_an_event_does_not_look_complete() {
    let cluster = start(TestClusterConfig::small()).await;
    for server in &cluster.servers {
        server.set_fault(Fault::EndInsideEvent);
    }
    let answer = chat(&cluster, true).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("\n\nevent: error\n"), "the error is an event of its own: {text}");
    assert_eq!(error_body(&answer).error.reason, RefusalReason::Broken);
    // A response without an end marker of its own is aborted.
    let headers = [("authorization", "Bearer tier-0".to_owned())];
    let path = "/services/order-desk/stock";
    let stock = call(cluster.caller_address(0), "GET", path, &headers, Vec::new()).await;
    assert!(stock.is_err(), "{:?}", stock.map(|answer| answer.body));
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_with_its_connection_is_whole_unless_it_ends_inside_an_event() {
    let headers = [("authorization", "Bearer tier-0".to_owned())];
    let path = "/services/order-desk/stock";
    for fault in [Fault::Unframed, Fault::UnframedCut] {
        let cluster = start(TestClusterConfig::small()).await;
        for server in &cluster.servers {
            server.set_fault(fault);
        }
        let chat = chat(&cluster, true).await;
        let stock = call(cluster.caller_address(0), "GET", path, &headers, Vec::new()).await;
        if fault == Fault::Unframed {
            assert_eq!(chat.body.as_ref(), b"data: a\n\ndata: [DONE]\n\n");
            assert_eq!(stock.unwrap().body, chat.body);
        } else {
            assert_eq!(error_body(&chat).error.reason, RefusalReason::Broken);
            assert!(stock.is_err(), "{:?}", stock.map(|answer| answer.body));
        }
        cluster.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_early_without_framing_does_not_look_complete() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    for fault in [Fault::UnframedCrash, Fault::UnframedEmpty, Fault::CutHead] {
        let cluster = start(TestClusterConfig::small()).await;
        for server in &cluster.servers {
            server.set_fault(fault);
        }
        let key = ("idempotency-key", format!("{now}-{fault:?}"));
        let headers = [("authorization", "Bearer tier-0".to_owned()), key];
        let vm = cluster.caller_address(0);
        let stock = call(vm, "GET", "/services/order-desk/stock", &headers, Vec::new()).await;
        let failed = stock.as_ref().map_or(true, |answer| answer.status == 502);
        assert!(failed, "{fault:?}: {:?}", stock.map(|answer| (answer.status, answer.body)));
        let chat = chat(&cluster, true).await;
        assert_ne!(error_body(&chat).error.verdict, Verdict::NotRun, "{fault:?}");
        if fault != Fault::UnframedEmpty {
            // The stand-in that ended listens again.
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            let path = "/services/order-desk/orders";
            let order = call(vm, "POST", path, &headers, b"{}".to_vec()).await.unwrap();
            assert_eq!(order.status, 502, "{fault:?}");
            assert_ne!(error_body(&order).error.verdict, Verdict::NotRun, "{fault:?}");
        }
        cluster.stop().await;
    }
}

/// Sends a chat with these messages.
async fn chat_with(cluster: &TestCluster, texts: &[&str]) -> HttpResponse {
    let messages: Vec<Value> =
        texts.iter().map(|text| json!({"role": "user", "content": text})).collect();
    let body = json!({"model": "loom-model", "max_tokens": 4, "messages": messages});
    cluster.chat(0, "tier-0", body.to_string().into_bytes()).await.expect("an answer arrives")
}

/// Sends bad chats, each with these messages and the ones of its number, among sound ones that share
/// the first message.
async fn keeps_bad_chats_from_servers(own: impl Fn(u32) -> Vec<String>) {
    let mut config = TestClusterConfig::small();
    config.groups[0].count = 8;
    let cluster = start(config).await;
    for server in &cluster.servers {
        server.set_fault(Fault::EndByText);
    }
    let mut sent = Vec::new();
    for n in 0..40 {
        let own = own(n);
        let texts: Vec<&str> =
            ["the manual"].into_iter().chain(own.iter().map(String::as_str)).collect();
        let bad = chat_with(&cluster, &texts).await;
        sent.push(runs(&cluster, &id_of(&bad)));
        if *sent.last().unwrap() == 0 {
            assert_eq!(bad.status, 503);
            assert_eq!(error_body(&bad).error.reason, RefusalReason::BlockedPart);
            assert_eq!(error_body(&bad).error.verdict, Verdict::NotRun);
        }
        for m in 0..2 {
            let question = format!("question {}", 2 * n + m);
            let sound = chat_with(&cluster, &["the manual", &question]).await;
            assert_eq!(sound.status, 200, "sound requests share the first message");
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let late: u64 = sent[20..].iter().sum();
    assert!(late <= 3, "{late} of the last 20 bad requests were sent to servers: {sent:?}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn message_that_ends_servers_is_not_sent_to_one_server_after_the_other() {
    keeps_bad_chats_from_servers(|n| vec![ENDING_TEXT.into(), format!("bad question {n}")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_ends_servers_is_not_sent_to_one_server_after_the_other() {
    keeps_bad_chats_from_servers(|_| vec![ENDING_TEXT.into()]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request_is_not_passed_on() {
    let cluster = start(TestClusterConfig::small()).await;
    cluster.servers[0].set_fault(Fault::WrongRequestId);
    let answer = chat(&cluster, true).await;
    assert_eq!(answer.status, 502);
    assert!(!answer.body.windows(4).any(|w| w == b"t1 \""), "nothing of the answer is passed on");
    assert_eq!(error_body(&answer).error.verdict, Verdict::MayHaveRun);
    cluster.servers[0].set_fault(Fault::None);
    assert_eq!(chat(&cluster, true).await.status, 200);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_end_fails_and_its_connection_is_closed() {
    /// Bytes of an answer that a VM takes at most, with those that the kernel holds.
    const MAX_BYTES: u64 = (64 << 20) + (16 << 20);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    let key = ("idempotency-key", format!("{now}-endless"));
    let headers = [("authorization", "Bearer tier-0".to_owned()), key];
    for fault in [Fault::EndlessHead, Fault::EndlessBody] {
        let cluster = start(TestClusterConfig::small()).await;
        for server in &cluster.servers {
            server.set_fault(fault);
        }
        let stream = chat(&cluster, true).await;
        let whole = chat(&cluster, false).await;
        let path = "/services/order-desk/orders";
        let vm = cluster.caller_address(0);
        let order = call(vm, "POST", path, &headers, b"{}".to_vec()).await.unwrap();
        for (name, answer) in [("stream", &stream), ("whole", &whole), ("order", &order)] {
            let begun = name == "stream" && fault == Fault::EndlessBody;
            let expected = if begun { 200 } else { 502 };
            let body = String::from_utf8_lossy(&answer.body[..answer.body.len().min(400)]);
            assert_eq!(answer.status, expected, "{fault:?}, {name}: {body}");
            assert_eq!(error_body(answer).error.verdict, Verdict::MayHaveRun, "{fault:?}, {name}");
        }
        // A body that is passed on while it arrives has begun, so it ends without its final chunk.
        let path = "/services/order-desk/stock";
        let stock = call(vm, "GET", path, &headers, Vec::new()).await;
        let failed = stock.as_ref().map_or(true, |answer| answer.status == 502);
        assert!(failed, "{fault:?}: {:?}", stock.map(|answer| answer.status));
        eventually("all connections are closed", async || {
            cluster.servers.iter().map(|s| s.stats().endless().len()).sum::<usize>() == 4
        })
        .await;
        for bytes in cluster.servers.iter().flat_map(|s| s.stats().endless()) {
            assert!(bytes <= MAX_BYTES, "{fault:?}: {bytes} bytes read");
        }
        cluster.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_never_reaches_another_request() {
    let mut config = TestClusterConfig::small();
    config.head_timeout = Duration::from_millis(300);
    let cluster = start(config).await;
    // Answers take about 600 ms, twice the timeout.
    cluster.servers[0].set_slowdown(600_000);
    let late = chat(&cluster, true).await;
    assert_eq!(late.status, 504);
    assert_eq!(error_body(&late).error.verdict, Verdict::MayHaveRun);
    cluster.servers[0].set_slowdown(1_000);
    for _ in 0..5 {
        let answer = chat(&cluster, true).await;
        assert_eq!(answer.status, 200);
        let (own, text) = (id_of(&answer), String::from_utf8_lossy(&answer.body).into_owned());
        assert_eq!(text.matches(&own).count(), 10, "all events are the caller's own");
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_frees_its_slot_and_is_recorded() {
    let cluster = start(TestClusterConfig::small()).await;
    let body = chat_body("loom-model", 50, 100_000, true);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer tier-3\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(cluster.caller_address(0)).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut some = [0; 512];
    assert!(stream.read(&mut some).await.unwrap() > 0, "the answer has begun");
    assert_eq!(cluster.servers[0].stats().running(), 1);
    drop(stream);
    eventually("the server has stopped the request", async || {
        cluster.servers[0].stats().running() == 0
    })
    .await;
    eventually("the slot is free", async || {
        let status = cluster.admin(0).get("/status").await.unwrap();
        status["open"] == 0
            && status["servers"].as_array().unwrap().iter().all(|s| s["running"] == 0)
    })
    .await;
    eventually("the refusal is recorded", async || {
        refusals(&cluster, "tier-3")
            .await
            .iter()
            .any(|r| r["reason"] == "caller_left" && r["verdict"] == "may_have_run")
    })
    .await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_uniform_error_body_and_is_counted() {
    let cluster = start(TestClusterConfig::small()).await;
    let chat = "/v1/chat/completions";
    let good = chat_body("loom-model", 1, 1, false);
    let big = vec![b'x'; (1 << 20) + 1];
    let key = ("idempotency-key", "no time".to_owned());
    let bearer = ("authorization", "Bearer tier-0".to_owned());
    let unknown_bearer = ("authorization", "Bearer nobody".to_owned());
    let tier = ("x-tier", "9".to_owned());
    let deadline = ("x-deadline-ms", "soon".to_owned());
    let cases: Vec<InvalidCall> = vec![
        ("GET", "/nowhere", vec![], vec![], 404, "bad_route"),
        ("GET", chat, vec![bearer.clone()], vec![], 405, "bad_route"),
        ("POST", chat, vec![bearer.clone()], b"{".to_vec(), 400, "bad_request"),
        (
            "POST",
            chat,
            vec![bearer.clone()],
            b"{\"model\":\"a\",\"messages\":[]}".to_vec(),
            400,
            "bad_request",
        ),
        ("POST", chat, vec![bearer.clone()], big, 413, "too_large"),
        ("POST", chat, vec![], good.clone(), 401, "unknown_account"),
        ("POST", chat, vec![unknown_bearer], good.clone(), 401, "unknown_account"),
        (
            "POST",
            chat,
            vec![bearer.clone()],
            chat_body("other", 1, 1, false),
            404,
            "unknown_service",
        ),
        ("POST", chat, vec![bearer.clone(), tier], good.clone(), 400, "bad_request"),
        ("POST", chat, vec![bearer.clone(), deadline], good, 400, "bad_request"),
        ("GET", "/services/other/x", vec![bearer.clone()], vec![], 404, "unknown_service"),
        ("POST", "/services/order-desk/orders", vec![bearer.clone()], vec![], 400, "bad_request"),
        ("POST", "/services/order-desk/orders", vec![bearer, key], vec![], 400, "bad_request"),
    ];
    let count = cases.len();
    for (method, path, headers, body, status, reason) in cases {
        let answer = call(cluster.caller_address(0), method, path, &headers, body).await.unwrap();
        let case = format!("{method} {path}: {:?}", answer.body);
        assert_eq!(answer.status, status, "{case}");
        let error_body = error_body(&answer);
        assert_eq!(error_body.error.reason.code(), reason, "{case}");
        assert_eq!(error_body.error.verdict, Verdict::NotRun, "{case}");
        assert_eq!(error_body.error.request_id.to_string(), id_of(&answer), "{case}");
    }
    let counted: u64 = cluster.node(0).unwrap().meters().refusals().values().sum();
    assert_eq!(counted, count as u64);
    let recorded = cluster.admin(0).get("/refusals").await.unwrap();
    assert_eq!(recorded["refusals"].as_array().unwrap().len(), count);
    assert_eq!(recorded["holes"], json!([]));
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn account_over_its_rate_is_refused_with_a_time_to_retry() {
    let mut config = TestClusterConfig::small();
    config.entries[0]["rate"] = json!(2);
    let cluster = start(config).await;
    let mut limited = 0;
    for _ in 0..6 {
        let answer = chat(&cluster, false).await;
        if answer.status == 429 {
            limited += 1;
            let error_body = error_body(&answer);
            assert_eq!(error_body.error.reason, RefusalReason::RateLimit);
            assert!(error_body.error.retry_after_ms.is_some());
            assert!(answer.headers.contains_key("retry-after"));
            assert_eq!(runs(&cluster, &id_of(&answer)), 0);
        }
    }
    assert!(limited > 0, "six requests at once exceed two a second");
    let recorded = refusals(&cluster, "tier-0").await;
    assert_eq!(recorded.len(), limited);
    cluster.stop().await;
}
