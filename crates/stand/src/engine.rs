//! A simulated model engine.
//!
//! It prefills one prompt at a time, with a cache of prompt prefixes, and decodes all running
//! requests together, so that the time between two tokens grows with their number. It also receives
//! placement orders on `/orders`.

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
    faults::{ENDING_TEXT, Fault},
    server::{Body, Shared, infallible},
    stats::add,
};

/// Bytes of text that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of the answer to a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 64;

/// An LRU cache of prompt prefixes.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// The cached prefixes, least recently used first.
    prefixes: VecDeque<String>,
    holders: Arc<PrefixHolders>,
}

impl Cache {
    pub(crate) fn new(capacity: usize, holders: Arc<PrefixHolders>) -> Self {
        Self { capacity, prefixes: VecDeque::new(), holders }
    }

    /// Inserts a prefix or marks it as the most recently used. Returns whether this cache held it,
    /// and whether the cache of any stand-in held it before.
    fn touch(&mut self, prefix: &str) -> (bool, bool) {
        let position = self.prefixes.iter().position(|p| p == prefix);
        let held_anywhere = self.holders.count(prefix) > 0;
        match position {
            Some(index) => {
                self.prefixes.remove(index);
            }
            None => self.holders.change(prefix, 1),
        }
        self.prefixes.push_back(prefix.to_owned());
        if self.prefixes.len() > self.capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.holders.change(&evicted, -1);
        }
        (position.is_some(), held_anywhere)
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        for prefix in &self.prefixes {
            self.holders.change(prefix, -1);
        }
    }
}

/// Number of stand-ins whose cache holds each prefix. With it, an engine can tell that a prefix is
/// prefilled again although another stand-in holds it.
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

/// The parts of a chat completion request that the simulation uses.
struct ChatRequest {
    id: String,
    /// Tokens of the whole prompt, at least 1.
    prompt_tokens: u64,
    /// The first message, if there are several; else empty.
    prefix: String,
    prefix_tokens: u64,
    /// Tokens of the answer.
    tokens: u64,
    streamed: bool,
}

impl ChatRequest {
    fn new(id: String, value: &Value) -> Self {
        let texts: Vec<&str> = value["messages"]
            .as_array()
            .map(|m| m.iter().filter_map(|m| m["content"].as_str()).collect())
            .unwrap_or_default();
        let bytes: usize = texts.iter().map(|t| t.len()).sum();
        let prefix = if texts.len() > 1 { texts[0].to_owned() } else { String::new() };
        Self {
            id,
            prompt_tokens: (bytes.div_ceil(BYTES_PER_TOKEN) as u64).max(1),
            prefix_tokens: prefix.len().div_ceil(BYTES_PER_TOKEN) as u64,
            prefix,
            tokens: value["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
            streamed: value["stream"].as_bool().unwrap_or(false),
        }
    }
}

/// Counts a request as running until it is dropped.
///
/// If it is dropped before it has finished, its prefill counts as wasted.
struct RunningRequest {
    shared: Arc<Shared>,
    prefilled_tokens: u64,
    finished: bool,
}

impl RunningRequest {
    fn start(shared: &Arc<Shared>) -> Self {
        add(&shared.stats.received, 1);
        add(&shared.stats.running, 1);
        Self { shared: Arc::clone(shared), prefilled_tokens: 0, finished: false }
    }

    fn finish(&mut self) {
        self.finished = true;
        add(&self.shared.stats.finished, 1);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let stats = &self.shared.stats;
        stats.running.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            add(&stats.wasted_tokens, self.prefilled_tokens);
        }
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    body.windows(text.len()).any(|part| part == text.as_bytes())
}

/// Handles a chat completion request or, on `/orders`, a placement order.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let id = header_text(&request, "x-request-id");
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/orders" {
        return Ok(handle_order(&shared, &value));
    }
    let chat = ChatRequest::new(id, &value);
    shared.stats.count_run(&chat.id);
    let mut running = RunningRequest::start(&shared);
    match shared.faults.get() {
        Fault::CloseUnanswered => return Err(io::Error::other("closed by an injected fault")),
        Fault::EndByText if contains(&body, ENDING_TEXT) => {
            shared.ended.notify_one();
            std::future::pending::<()>().await;
        }
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    prefill(&shared, &chat, &mut running).await;
    let fault = shared.faults.get();
    let echo = if fault == Fault::WrongRequestId { "0".repeat(32) } else { chat.id.clone() };
    let mut response = if chat.streamed {
        stream_response(&shared, chat, running, fault)
    } else {
        complete_response(&shared, &chat, running).await
    };
    if let Ok(echo) = echo.parse() {
        response.headers_mut().insert("x-request-id", echo);
    }
    Ok(response)
}

/// Accepts or refuses a placement order.
fn handle_order(shared: &Shared, value: &Value) -> Response<Body> {
    let fence = value["fence"].as_u64().unwrap_or(0);
    let model = value["placement"]["model"].as_str().unwrap_or_default().to_owned();
    let accepted = shared.stats.receive_order(fence, model, shared.config.checks_fences);
    let mut response = Response::new(Body::new(Full::new(Bytes::new()).map_err(infallible)));
    *response.status_mut() = if accepted { StatusCode::ACCEPTED } else { StatusCode::CONFLICT };
    response
}

pub(crate) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Prefills the prompt of a request, without the tokens of a cached prefix.
async fn prefill(shared: &Arc<Shared>, chat: &ChatRequest, running: &mut RunningRequest) {
    let mut cache = shared.cache.lock().await;
    let (held, held_anywhere) =
        if chat.prefix.is_empty() { (false, false) } else { cache.touch(&chat.prefix) };
    let tokens = if held { chat.prompt_tokens - chat.prefix_tokens } else { chat.prompt_tokens };
    if held_anywhere && !held {
        add(&shared.stats.wasted_tokens, chat.prefix_tokens);
    }
    running.prefilled_tokens = tokens;
    add(&shared.stats.prefilled_tokens, tokens);
    pause(shared.faults.slowed_duration(tokens * shared.config.pace.prefill_us)).await;
}

/// Sleeps for a duration, and not at all for zero, because the shortest sleep of the timer is one
/// millisecond.
pub(crate) async fn pause(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

/// Returns the time between two tokens of a request. It is proportional to the number of running
/// requests per slot, but at least a quarter of the time with all slots in use.
fn token_interval(shared: &Shared) -> Duration {
    let running = shared.stats.running().max(1);
    let slots = shared.config.slots.max(1);
    let load = (running * 1_000 / slots).max(250);
    shared.faults.slowed_duration(shared.config.pace.decode_us * load / 1_000)
}

async fn complete_response(
    shared: &Arc<Shared>,
    chat: &ChatRequest,
    mut running: RunningRequest,
) -> Response<Body> {
    for _ in 0..chat.tokens {
        pause(token_interval(shared)).await;
    }
    add(&shared.stats.generated_tokens, chat.tokens);
    running.finish();
    let value = json!({
        "id": chat.id,
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": "stand-in" } }],
        "usage": { "prompt_tokens": chat.prompt_tokens, "completion_tokens": chat.tokens },
    });
    let body = Full::new(Bytes::from(value.to_string())).map_err(infallible);
    let mut response = Response::new(Body::new(body));
    response.headers_mut().insert(header::CONTENT_TYPE, "application/json".parse().unwrap());
    response
}

/// State of a streamed answer.
struct TokenStream {
    shared: Arc<Shared>,
    chat: ChatRequest,
    running: RunningRequest,
    fault: Fault,
    /// Number of events sent: one for each token, and one for the end marker.
    sent: u64,
    /// When the latest token was due; at first, when the answer began.
    due: Instant,
}

fn stream_response(
    shared: &Arc<Shared>,
    chat: ChatRequest,
    running: RunningRequest,
    fault: Fault,
) -> Response<Body> {
    let shared = Arc::clone(shared);
    let state = TokenStream { shared, chat, running, fault, sent: 0, due: Instant::now() };
    let chunks = stream::unfold(state, next_event);
    let mut response = Response::new(Body::new(StreamBody::new(chunks.map_ok(Frame::data))));
    response.headers_mut().insert(header::CONTENT_TYPE, "text/event-stream".parse().unwrap());
    response
}

/// Delay before an injected fault closes a connection, so that the events generated before are
/// written.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Returns the next event of a streamed answer: a token, the end marker or an injected fault.
async fn next_event(mut state: TokenStream) -> Option<(io::Result<Bytes>, TokenStream)> {
    let past_half = state.sent > state.chat.tokens / 2;
    if state.fault == Fault::CloseMidAnswer && past_half {
        // hyper writes what was generated only once no further frame is ready.
        tokio::time::sleep(FLUSH_DELAY).await;
        return Some((Err(io::Error::other("closed by an injected fault")), state));
    }
    if state.sent > state.chat.tokens
        || (state.fault == Fault::OmitEndMarker && state.sent == state.chat.tokens)
    {
        return None;
    }
    if state.sent == state.chat.tokens {
        state.sent += 1;
        state.running.finish();
        let marker: &[u8] = match state.fault {
            Fault::EndInsideEvent => b"data: [DONE]\n",
            _ => b"data: [DONE]\n\n",
        };
        return Some((Ok(Bytes::from_static(marker)), state));
    }
    let interval = token_interval(&state.shared);
    state.due += interval;
    if !interval.is_zero() {
        tokio::time::sleep_until(state.due).await;
    }
    state.sent += 1;
    add(&state.shared.stats.generated_tokens, 1);
    let value = json!({
        "id": state.chat.id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": format!("t{} ", state.sent) } }],
    });
    Some((Ok(Bytes::from(format!("data: {value}\n\n"))), state))
}
