//! A model engine: prefills one prompt at a time, decodes all running requests together.

use std::{
    collections::{HashMap, VecDeque},
    io,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{TryStreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    faults::Fault,
    server::{Body, Shared, never},
    stats::add,
};

/// Bytes of text for each token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer whose request sets no limit.
const DEFAULT_TOKENS: u64 = 64;
/// Prefixes held, least recently used first.
#[derive(Debug)]
pub(crate) struct Cache {
    max: usize,
    held: VecDeque<String>,
    holders: Arc<PrefixHolders>,
}

impl Cache {
    pub(crate) fn new(max: usize, holders: Arc<PrefixHolders>) -> Self {
        Self { max, held: VecDeque::new(), holders }
    }

    /// Whether a prefix is held here, and whether any server held it; it is held from now on.
    fn touch(&mut self, prefix: &str) -> (bool, bool) {
        let position = self.held.iter().position(|p| p == prefix);
        let anywhere = self.holders.count(prefix) > 0;
        match position {
            Some(at) => {
                self.held.remove(at);
            }
            None => self.holders.change(prefix, 1),
        }
        self.held.push_back(prefix.to_owned());
        if self.held.len() > self.max
            && let Some(old) = self.held.pop_front()
        {
            self.holders.change(&old, -1);
        }
        (position.is_some(), anywhere)
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        for prefix in &self.held {
            self.holders.change(prefix, -1);
        }
    }
}

/// How many stand-ins hold each prefix, to tell prefill that was done again.
#[derive(Debug, Default)]
pub struct PrefixHolders(Mutex<HashMap<String, i64>>);

impl PrefixHolders {
    fn count(&self, prefix: &str) -> i64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(prefix).copied().unwrap_or(0)
    }

    fn change(&self, prefix: &str, by: i64) {
        let mut holders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *holders.entry(prefix.to_owned()).or_default() += by;
    }
}

/// What matters of a request.
struct Work {
    id: String,
    prompt: u64,
    prefix: String,
    prefix_tokens: u64,
    tokens: u64,
    streamed: bool,
}

impl Work {
    fn new(id: String, value: &Value) -> Self {
        let texts: Vec<&str> = value["messages"]
            .as_array()
            .map(|m| m.iter().filter_map(|m| m["content"].as_str()).collect())
            .unwrap_or_default();
        let bytes: usize = texts.iter().map(|t| t.len()).sum();
        let prefix = if texts.len() > 1 { texts[0].to_owned() } else { String::new() };
        Self {
            id,
            prompt: (bytes.div_ceil(BYTES_PER_TOKEN) as u64).max(1),
            prefix_tokens: prefix.len().div_ceil(BYTES_PER_TOKEN) as u64,
            prefix,
            tokens: value["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
            streamed: value["stream"].as_bool().unwrap_or(false),
        }
    }
}

/// Counts a running request; one that is dropped before its end has wasted its prefill.
struct Running {
    shared: Arc<Shared>,
    prefilled: u64,
    finished: bool,
}

impl Running {
    fn start(shared: &Arc<Shared>) -> Self {
        add(&shared.stats.received, 1);
        add(&shared.stats.running, 1);
        Self { shared: Arc::clone(shared), prefilled: 0, finished: false }
    }

    fn finish(&mut self) {
        self.finished = true;
        add(&self.shared.stats.finished, 1);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let stats = &self.shared.stats;
        stats.running.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            add(&stats.wasted_tokens, self.prefilled);
        }
    }
}

pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let id = header_text(&request, "x-request-id");
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/orders" {
        return Ok(take_order(&shared, &value));
    }
    let work = Work::new(id, &value);
    shared.stats.run(&work.id);
    let mut running = Running::start(&shared);
    match shared.faults.get() {
        Fault::CloseUnanswered => return Err(io::Error::other("told to close")),
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    prefill(&shared, &work, &mut running).await;
    let fault = shared.faults.get();
    let echo = if fault == Fault::WrongRequestId { "0".repeat(32) } else { work.id.clone() };
    let mut response = if work.streamed {
        stream_answer(&shared, work, running, fault)
    } else {
        whole_answer(&shared, &work, running).await
    };
    if let Ok(echo) = echo.parse() {
        response.headers_mut().insert("x-request-id", echo);
    }
    Ok(response)
}

fn take_order(shared: &Shared, value: &Value) -> Response<Body> {
    let fence = value["fence"].as_u64().unwrap_or(0);
    let model = value["placement"]["model"].as_str().unwrap_or_default().to_owned();
    let taken = shared.stats.order(fence, model, shared.config.checks_fences);
    let mut response = Response::new(Body::new(Full::new(Bytes::new()).map_err(never)));
    *response.status_mut() = if taken { StatusCode::ACCEPTED } else { StatusCode::CONFLICT };
    response
}

pub(crate) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn prefill(shared: &Arc<Shared>, work: &Work, running: &mut Running) {
    let mut cache = shared.prefill.lock().await;
    let (held, anywhere) =
        if work.prefix.is_empty() { (false, false) } else { cache.touch(&work.prefix) };
    let tokens = if held { work.prompt - work.prefix_tokens } else { work.prompt };
    if anywhere && !held {
        add(&shared.stats.wasted_tokens, work.prefix_tokens);
    }
    running.prefilled = tokens;
    add(&shared.stats.prefilled_tokens, tokens);
    pause(shared.faults.slowed(tokens * shared.config.pace.prefill_us)).await;
}

/// Sleeps, but not at all for no time: the timer's shortest sleep is a millisecond.
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Time between two tokens: it grows with the requests decoded together.
fn gap(shared: &Shared) -> Duration {
    let running = shared.stats.running().max(1);
    let slots = shared.config.slots.max(1);
    let load = (running * 1_000 / slots).max(250);
    shared.faults.slowed(shared.config.pace.decode_us * load / 1_000)
}

async fn whole_answer(shared: &Arc<Shared>, work: &Work, mut running: Running) -> Response<Body> {
    for _ in 0..work.tokens {
        pause(gap(shared)).await;
    }
    add(&shared.stats.generated_tokens, work.tokens);
    running.finish();
    let value = json!({
        "id": work.id,
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": "stand-in" } }],
        "usage": { "prompt_tokens": work.prompt, "completion_tokens": work.tokens },
    });
    let body = Full::new(Bytes::from(value.to_string())).map_err(never);
    let mut response = Response::new(Body::new(body));
    response.headers_mut().insert(header::CONTENT_TYPE, "application/json".parse().unwrap());
    response
}

struct Decoding {
    shared: Arc<Shared>,
    work: Work,
    running: Running,
    fault: Fault,
    sent: u64,
    due: Instant,
}

fn stream_answer(
    shared: &Arc<Shared>,
    work: Work,
    running: Running,
    fault: Fault,
) -> Response<Body> {
    let shared = Arc::clone(shared);
    let decoding = Decoding { shared, work, running, fault, sent: 0, due: Instant::now() };
    let pieces = stream::unfold(decoding, next_token);
    let mut response = Response::new(Body::new(StreamBody::new(pieces.map_ok(Frame::data))));
    response.headers_mut().insert(header::CONTENT_TYPE, "text/event-stream".parse().unwrap());
    response
}

/// Time in which what was generated is written before a connection is closed.
const WRITE_TIME: Duration = Duration::from_millis(20);

async fn next_token(mut d: Decoding) -> Option<(io::Result<Bytes>, Decoding)> {
    let broken = d.sent > d.work.tokens / 2;
    if d.fault == Fault::CloseMidAnswer && broken {
        // What was generated is written only once nothing more is ready.
        tokio::time::sleep(WRITE_TIME).await;
        return Some((Err(io::Error::other("told to close")), d));
    }
    if d.sent > d.work.tokens || (d.fault == Fault::OmitEndMarker && d.sent == d.work.tokens) {
        return None;
    }
    if d.sent == d.work.tokens {
        d.sent += 1;
        d.running.finish();
        return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), d));
    }
    let gap = gap(&d.shared);
    d.due += gap;
    if !gap.is_zero() {
        tokio::time::sleep_until(d.due).await;
    }
    d.sent += 1;
    add(&d.shared.stats.generated_tokens, 1);
    let value = json!({
        "id": d.work.id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": format!("t{} ", d.sent) } }],
    });
    Some((Ok(Bytes::from(format!("data: {value}\n\n"))), d))
}
