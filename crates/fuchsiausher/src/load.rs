//! Open-loop load on a bed: every request is sent at its intended time, however slow the answers.

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

/// Stands in for the platform's balancer: spreads calls over the entry VMs that say they are
/// ready.
#[derive(Debug)]
pub struct Balancer {
    all: Vec<SocketAddr>,
    ready: Arc<RwLock<Vec<SocketAddr>>>,
    next: AtomicUsize,
    probing: JoinHandle<()>,
}

impl Balancer {
    /// A balancer over all entry VMs of a bed.
    #[must_use]
    pub fn new(bed: &TestCluster) -> Self {
        let all: Vec<SocketAddr> = (0..bed.len()).map(|at| bed.caller_address(at)).collect();
        let ready = Arc::new(RwLock::new(all.clone()));
        let probing = tokio::spawn(probe(all.clone(), Arc::clone(&ready)));
        Self { all, ready, next: AtomicUsize::new(0), probing }
    }

    /// The entry VM for the next call.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.ready.read().map(|r| r.clone()).unwrap_or_default();
        let from = if ready.is_empty() { &self.all } else { &ready };
        from[at % from.len()]
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.probing.abort();
    }
}

async fn probe(all: Vec<SocketAddr>, ready: Arc<RwLock<Vec<SocketAddr>>>) {
    loop {
        let mut found = Vec::new();
        for address in &all {
            let answer = call(*address, "GET", "/health/ready", &[], Vec::new()).await;
            if answer.is_ok_and(|a| a.status == 200) {
                found.push(*address);
            }
        }
        if let Ok(mut ready) = ready.write() {
            *ready = found;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed chat completion.
    Chat {
        /// Model service.
        model: String,
        /// Shared first message, if any, in tokens and by number.
        prefix: Option<(usize, u32)>,
        /// Length of the caller's own message in tokens.
        prompt: usize,
        /// Length of the answer in tokens.
        tokens: u64,
    },
    /// An idempotent call of a plain service.
    Read {
        /// Plain service.
        service: String,
    },
    /// A non-idempotent call of a plain service.
    Write {
        /// Plain service.
        service: String,
        /// Its idempotency key.
        key: String,
    },
}

/// One request of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRequest {
    /// When to send it, from the start of the load.
    pub offset: Duration,
    /// The client account, whose credential is its name.
    pub account: String,
    /// Tier asked for.
    pub tier: u8,
    /// Deadline of the first byte.
    pub deadline: Duration,
    /// What it asks for.
    pub kind: RequestKind,
}

/// What became of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The request.
    pub request: LoadRequest,
    /// The entry VM that it went to.
    pub vm: SocketAddr,
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    /// The request's id, if an answer arrived.
    pub id: String,
    /// Whether the answer is whole and the caller's own.
    pub complete: bool,
    /// Whether the connection broke without an answer or an error event.
    pub interrupted: bool,
    /// Reason and verdict of a failure.
    pub failure: Option<(RefusalReason, Verdict)>,
    /// Whether the answer is that of an earlier call with the same key.
    pub replayed: bool,
    /// From the intended time of sending to the first byte.
    pub first_byte: Duration,
    /// From the intended time of sending to the last byte.
    pub total: Duration,
}

impl LoadResult {
    /// Whether the request was answered whole and began within its deadline.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.complete && self.first_byte <= self.request.deadline
    }
}

/// Sends a load and waits for all answers.
pub async fn run_load(balancer: Arc<Balancer>, shots: Vec<LoadRequest>) -> Vec<LoadResult> {
    let start = Instant::now();
    let mut calls = Vec::with_capacity(shots.len());
    for shot in shots {
        let due = start + shot.offset;
        tokio::time::sleep_until(due).await;
        calls.push(tokio::spawn(send(Arc::clone(&balancer), shot, due)));
    }
    let mut hits = Vec::with_capacity(calls.len());
    for call in calls {
        if let Ok(hit) = call.await {
            hits.push(hit);
        }
    }
    hits
}

async fn send(balancer: Arc<Balancer>, shot: LoadRequest, due: Instant) -> LoadResult {
    let mut headers = vec![
        ("authorization", format!("Bearer {}", shot.account)),
        ("x-tier", shot.tier.to_string()),
        ("x-deadline-ms", shot.deadline.as_millis().to_string()),
    ];
    let (method, path, body) = match &shot.kind {
        RequestKind::Chat { model, prefix, prompt, tokens } => {
            let body = chat(model, *prefix, *prompt, *tokens);
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
    hit(shot, vm, answer, started - due, due.elapsed())
}

fn chat(model: &str, prefix: Option<(usize, u32)>, prompt: usize, tokens: u64) -> Vec<u8> {
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

fn hit(
    shot: LoadRequest,
    vm: SocketAddr,
    answer: Result<HttpResponse, CallError>,
    late: Duration,
    total: Duration,
) -> LoadResult {
    let mut hit = LoadResult {
        request: shot,
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
        hit.interrupted = true;
        return hit;
    };
    hit.status = answer.status;
    hit.first_byte = late + answer.first_byte;
    hit.replayed = answer.headers.contains_key("x-replayed");
    let id = answer.headers.get("x-request-id").and_then(|v| v.to_str().ok());
    id.unwrap_or_default().clone_into(&mut hit.id);
    hit.failure = failure(&answer.body);
    let ok = answer.status == 200 && hit.failure.is_none();
    hit.complete = ok
        && match hit.request.kind {
            RequestKind::Chat { tokens, .. } => is_whole(&answer.body, &hit.id, tokens),
            RequestKind::Read { .. } | RequestKind::Write { .. } => !answer.body.is_empty(),
        };
    hit.interrupted = ok && !hit.complete;
    hit
}

/// Whether a stream has all its events, all of this request, and its end marker.
fn is_whole(body: &[u8], id: &str, tokens: u64) -> bool {
    let text = String::from_utf8_lossy(body);
    let mut data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let own = data
        .by_ref()
        .take_while(|d| *d != "[DONE]")
        .filter(|d| {
            let value: Option<Value> = serde_json::from_str(d).ok();
            value.is_some_and(|v| v["id"] == id)
        })
        .count();
    own as u64 == tokens && text.ends_with("data: [DONE]\n\n")
}

/// The failure that an answer reports, as its whole body or as the last event of a stream.
fn failure(body: &[u8]) -> Option<(RefusalReason, Verdict)> {
    let text = String::from_utf8_lossy(body);
    let event = text.rsplit("event: error\ndata: ").next().unwrap_or(&text);
    let failed: ErrorBody = serde_json::from_str(event.trim()).ok()?;
    Some((failed.error.reason, failed.error.verdict))
}
