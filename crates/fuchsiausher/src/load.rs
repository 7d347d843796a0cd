//! Open-loop load generation against a [`TestCluster`].
//!
//! Every request is sent at its intended time, however slow the answers are. Latencies are measured
//! from the intended time, so that a late send counts as latency.

use std::{
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use entry::ErrorBody;
use model::{RefusalReason, Verdict};
use serde_json::{Value, json};
use stand::{CallError, HttpResponse, call};
use tokio::{task::JoinHandle, time::Instant};

use crate::test_cluster::TestCluster;

/// Interval of the balancer's readiness checks.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Distributes calls round-robin over the entry VMs whose readiness check passes, as the platform's
/// load balancer does. If none is ready, it uses all of them.
#[derive(Debug)]
pub struct Balancer {
    addresses: Vec<SocketAddr>,
    ready: Arc<RwLock<Vec<SocketAddr>>>,
    next: AtomicUsize,
    probing: JoinHandle<()>,
}

impl Balancer {
    /// Creates a balancer for all entry VMs of a test cluster and starts its readiness checks. Must
    /// be called within a tokio runtime.
    #[must_use]
    pub fn new(cluster: &TestCluster) -> Self {
        let addresses: Vec<SocketAddr> =
            (0..cluster.len()).map(|index| cluster.caller_address(index)).collect();
        let ready = Arc::new(RwLock::new(addresses.clone()));
        let probing = tokio::spawn(probe(addresses.clone(), Arc::clone(&ready)));
        Self { addresses, ready, next: AtomicUsize::new(0), probing }
    }

    /// Returns the address of the entry VM for the next call.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.ready.read().map(|r| r.clone()).unwrap_or_default();
        let candidates = if ready.is_empty() { &self.addresses } else { &ready };
        candidates[index % candidates.len()]
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.probing.abort();
    }
}

async fn probe(addresses: Vec<SocketAddr>, ready: Arc<RwLock<Vec<SocketAddr>>>) {
    loop {
        let mut passing = Vec::new();
        for address in &addresses {
            let answer = call(*address, "GET", "/health/ready", &[], Vec::new()).await;
            if answer.is_ok_and(|a| a.status == 200) {
                passing.push(*address);
            }
        }
        if let Ok(mut ready) = ready.write() {
            *ready = passing;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// The kind of a generated request, with what it asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed chat completion.
    Chat {
        /// The model service that is called.
        model: String,
        /// Length in tokens and number of a first message that several requests share, if any.
        prefix: Option<(usize, u32)>,
        /// Length in tokens of the request's own message.
        prompt: usize,
        /// Length in tokens of the requested answer.
        tokens: u64,
    },
    /// An idempotent call of a plain service.
    Read {
        /// The plain service that is called.
        service: String,
    },
    /// A non-idempotent call of a plain service.
    Write {
        /// The plain service that is called.
        service: String,
        /// The idempotency key. Requests with the same key run at most once.
        key: String,
    },
}

/// A request of a generated load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRequest {
    /// Time from the start of the load to the sending of this request.
    pub offset: Duration,
    /// The client account that sends the request. Its credential is its name.
    pub account: String,
    /// The tier that the request asks for.
    pub tier: u8,
    /// Longest time to the first byte, sent as the request's deadline.
    pub deadline: Duration,
    /// What the request asks for.
    pub kind: RequestKind,
}

/// The outcome of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The request that was sent.
    pub request: LoadRequest,
    /// Address of the entry VM that received the request.
    pub vm: SocketAddr,
    /// HTTP status, or 0 if no whole answer arrived.
    pub status: u16,
    /// The request id that the entry VM assigned; empty if no whole answer arrived.
    pub id: String,
    /// Whether the answer is a success, is whole, and belongs to this request.
    pub complete: bool,
    /// Whether no whole answer arrived, or the answer is a success but not complete.
    pub interrupted: bool,
    /// Reason and verdict of a failure that the answer reports, if any.
    pub failure: Option<(RefusalReason, Verdict)>,
    /// Whether the answer is the stored one of an earlier call with the same idempotency key.
    pub replayed: bool,
    /// Time from the intended sending to the first byte; equals `total` if no whole answer arrived.
    pub first_byte: Duration,
    /// Time from the intended sending to the last byte.
    pub total: Duration,
}

impl LoadResult {
    /// Returns whether the answer is complete and its first byte arrived within the deadline.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.complete && self.first_byte <= self.request.deadline
    }
}

/// Sends each request at its offset and waits for all answers.
///
/// The requests are sent in the given order, so they must be sorted by offset.
pub async fn run_load(balancer: Arc<Balancer>, requests: Vec<LoadRequest>) -> Vec<LoadResult> {
    let start = Instant::now();
    let mut calls = Vec::with_capacity(requests.len());
    for request in requests {
        let due = start + request.offset;
        tokio::time::sleep_until(due).await;
        calls.push(tokio::spawn(send(Arc::clone(&balancer), request, due)));
    }
    let mut results = Vec::with_capacity(calls.len());
    for call in calls {
        if let Ok(result) = call.await {
            results.push(result);
        }
    }
    results
}

async fn send(balancer: Arc<Balancer>, request: LoadRequest, due: Instant) -> LoadResult {
    let mut headers = vec![
        ("authorization", format!("Bearer {}", request.account)),
        ("x-tier", request.tier.to_string()),
        ("x-deadline-ms", request.deadline.as_millis().to_string()),
    ];
    let (method, path, body) = match &request.kind {
        RequestKind::Chat { model, prefix, prompt, tokens } => {
            let body = chat_with_prefix(model, *prefix, *prompt, *tokens);
            ("POST", "/v1/chat/completions".to_owned(), body)
        }
        RequestKind::Read { service } => ("GET", format!("/services/{service}/stock"), Vec::new()),
        RequestKind::Write { service, key } => {
            headers.push(("idempotency-key", key.clone()));
            ("POST", format!("/services/{service}/orders"), b"{}".to_vec())
        }
    };
    let vm = balancer.pick();
    let started = Instant::now();
    let answer = call(vm, method, &path, &headers, body).await;
    to_result(request, vm, answer, started - due, due.elapsed())
}

fn chat_with_prefix(
    model: &str,
    prefix: Option<(usize, u32)>,
    prompt: usize,
    tokens: u64,
) -> Vec<u8> {
    let mut messages = Vec::new();
    if let Some((length, number)) = prefix {
        let text = format!("{number:03} ").repeat(length);
        messages.push(json!({ "role": "system", "content": text }));
    }
    messages.push(json!({ "role": "user", "content": "abc ".repeat(prompt) }));
    let value =
        json!({ "model": model, "stream": true, "max_tokens": tokens, "messages": messages });
    value.to_string().into_bytes()
}

fn to_result(
    request: LoadRequest,
    vm: SocketAddr,
    answer: Result<HttpResponse, CallError>,
    send_delay: Duration,
    total: Duration,
) -> LoadResult {
    let mut result = LoadResult {
        request,
        vm,
        status: 0,
        id: String::new(),
        complete: false,
        interrupted: false,
        failure: None,
        replayed: false,
        first_byte: total,
        total,
    };
    let Ok(answer) = answer else {
        result.interrupted = true;
        return result;
    };
    result.status = answer.status;
    result.first_byte = send_delay + answer.first_byte;
    result.replayed = answer.headers.contains_key("x-replayed");
    let id = answer.headers.get("x-request-id").and_then(|v| v.to_str().ok());
    id.unwrap_or_default().clone_into(&mut result.id);
    result.failure = failure(&answer.body);
    let ok = answer.status == 200 && result.failure.is_none();
    result.complete = ok
        && match result.request.kind {
            RequestKind::Chat { tokens, .. } => is_complete(&answer.body, &result.id, tokens),
            RequestKind::Read { .. } | RequestKind::Write { .. } => !answer.body.is_empty(),
        };
    result.interrupted = ok && !result.complete;
    result
}

/// Returns whether a stream holds `tokens` events of request `id` and ends with the end marker.
fn is_complete(body: &[u8], id: &str, tokens: u64) -> bool {
    let text = String::from_utf8_lossy(body);
    let mut data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let own_events = data
        .by_ref()
        .take_while(|d| *d != "[DONE]")
        .filter(|d| {
            let value: Option<Value> = serde_json::from_str(d).ok();
            value.is_some_and(|v| v["id"] == id)
        })
        .count();
    own_events as u64 == tokens && text.ends_with("data: [DONE]\n\n")
}

/// Returns the failure that an answer reports, either as its whole body or as the last event of a
/// stream.
fn failure(body: &[u8]) -> Option<(RefusalReason, Verdict)> {
    let text = String::from_utf8_lossy(body);
    let event = text.rsplit("event: error\ndata: ").next().unwrap_or(&text);
    let failed: ErrorBody = serde_json::from_str(event.trim()).ok()?;
    Some((failed.error.reason, failed.error.verdict))
}
