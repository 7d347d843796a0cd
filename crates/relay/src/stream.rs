//! Forwarding of event streams to callers.
//!
//! The response starts once the first event has arrived. If a server fails later, the stream is
//! resumed at another server after the last whole event, where the route allows it.

use std::{
    fmt, io,
    pin::pin,
    time::{Duration, Instant},
};

use backend::{BodyCount, Exchange, Failure, Framing, PROOF_TIME, SOUND_TIME};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use meters::Operation;
use model::{Outcome, RefusalReason, ServerId, Span, Verdict};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    coalesce::{Coalescer, coalescing_window},
    dialect::RequestFailure,
    ending::Sender,
    events::EventSplitter,
    forward::{Body, RequestTask, StartedResponse},
    frontend::{Frontend, may_have_run},
};

/// Maximum number of chunks of whole events queued for a caller that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Longest wait of events for the memory of other responses. Callers that read nothing while memory
/// is short are disconnected within half of it.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of an event that is not whole yet up to which its buffer is not counted, as most events are
/// smaller.
const UNCOUNTED_EVENT: usize = 16 << 10;
/// Interval at which waiting events ask for memory again.
const MEMORY_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a stream from one server.
struct StreamState {
    events: EventSplitter,
    /// Number of events that earlier servers sent.
    earlier: u32,
    response: StartedResponse,
    /// The buffer of the event that is not whole yet.
    pending: BodyCount,
    /// Time from the send to the first events of this server.
    first: Option<Span>,
    /// Whether the answer of this server went on for [`PROOF_TIME`].
    went_on: bool,
    /// Whether it went on for [`SOUND_TIME`].
    is_sound: bool,
    times: EventTimes,
}

/// The times at which events of a stream arrived, from all of its servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTimes {
    pub(crate) first: Option<Instant>,
    latest: Option<Instant>,
    /// The longest time between two arrivals.
    pub(crate) pause: Duration,
}

impl EventTimes {
    fn record(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(before) = self.latest.replace(now) {
            self.pause = self.pause.max(now - before);
        }
    }
}

/// The next part of a stream from a server.
enum StreamPart {
    /// The events that the latest chunk completed, without any that were received before.
    Events(Bytes),
    /// The end of the stream, after a whole event.
    End,
    /// The stream broke off, for the given reason.
    Broken(String),
    /// The deadline of the request has passed.
    TimedOut,
    /// There is no memory for the events. The stream cannot be resumed, as they count as received.
    NoMemory,
}

/// Counts events as held until they have been sent.
async fn count_events(frontend: &Frontend, part: StreamPart) -> StreamPart {
    let StreamPart::Events(bytes) = part else { return part };
    let counted = wait_for_memory(|| frontend.client.count_piece(&bytes)).await;
    counted.map_or(StreamPart::NoMemory, StreamPart::Events)
}

/// Calls `count` until it returns a value, for a short time.
async fn wait_for_memory<T>(mut count: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + MEMORY_TIMEOUT;
    loop {
        let counted = count();
        if counted.is_some() || Instant::now() >= until {
            return counted;
        }
        tokio::time::sleep(MEMORY_INTERVAL).await;
    }
}

impl StreamState {
    /// Reads until whole events have arrived, the stream has ended, or no data has arrived for
    /// `max_gap`.
    async fn next(
        &mut self,
        frontend: &Frontend,
        deadline: Instant,
        max_gap: Duration,
    ) -> StreamPart {
        loop {
            let chunk = tokio::select! {
                chunk = tokio::time::timeout(max_gap, self.response.exchange.chunk()) => chunk,
                () = RequestTask::wait_until(deadline) => return StreamPart::TimedOut,
            };
            match chunk {
                Err(_) => return StreamPart::Broken("no event for too long".into()),
                Ok(Err(failure)) => {
                    if matches!(failure, Failure::Broken { .. }) {
                        self.record_server_end();
                    }
                    return StreamPart::Broken(failure.to_string());
                }
                Ok(Ok(None)) => {
                    let why = match self.early_end() {
                        Some(why) => why.into(),
                        None => match self.response.confirm_end(frontend, deadline).await {
                            Ok(()) => return StreamPart::End,
                            Err(failure) => failure.to_string(),
                        },
                    };
                    self.record_server_end();
                    return StreamPart::Broken(why);
                }
                Ok(Ok(Some(bytes))) if !self.count_pending(bytes.len()).await => {
                    return StreamPart::NoMemory;
                }
                Ok(Ok(Some(bytes))) => match self.events.push(&bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => {
                        if self.first.is_none() {
                            self.first = Some(Span::from(self.response.sent.elapsed()));
                            self.response.submission.response_started();
                        }
                        self.times.record(Instant::now());
                        self.record_progress();
                        return StreamPart::Events(whole);
                    }
                    Err(error) => return StreamPart::Broken(error.to_string()),
                },
            }
        }
    }

    /// Reads the next part, and delivers held events when they are due. Returns the part and whether
    /// these events were delivered, or `None` if the caller has disconnected.
    ///
    /// The read goes on while events are delivered. It must not be started anew, because it may have
    /// taken bytes, or the connection that proves the end of the response.
    async fn next_while_held(
        &mut self,
        frontend: &Frontend,
        (deadline, max_gap): (Instant, Duration),
        coalescer: &mut Coalescer,
        caller: &mpsc::Sender<io::Result<Bytes>>,
    ) -> Option<(StreamPart, bool)> {
        let mut next = pin!(self.next(frontend, deadline, max_gap));
        loop {
            tokio::select! {
                biased;
                () = caller.closed() => return None,
                () = sleep_until_due(coalescer.due()) => {
                    if let Some(events) = coalescer.take()
                        && !deliver(frontend, caller, events).await
                    {
                        return Some((StreamPart::NoMemory, false));
                    }
                }
                part = &mut next => return Some((part, true)),
            }
        }
    }

    /// Counts the buffer of an event that is not whole yet, before the next bytes are added to it.
    /// Returns false if there is no memory.
    async fn count_pending(&mut self, bytes: usize) -> bool {
        let size = self.events.pending() + bytes;
        if size <= UNCOUNTED_EVENT {
            return true;
        }
        wait_for_memory(|| self.pending.grow_to(size).then_some(())).await.is_some()
    }

    /// Returns the time for which events of this server have been arriving.
    fn answering(&self) -> Duration {
        let elapsed = self.response.sent.elapsed();
        self.first.map_or(Duration::ZERO, |first| elapsed.saturating_sub(Duration::from(first)))
    }

    /// Returns why a stream that has ended here is not complete, if its bytes show that. A server that
    /// goes on with a stream does not know its length, so an empty rest with a length is none.
    fn early_end(&self) -> Option<&'static str> {
        if self.events.is_inside_event() {
            return Some("the stream ended inside an event");
        }
        if self.events.count() > self.earlier {
            return None;
        }
        match self.response.exchange.framing() {
            Framing::Connection => Some("the connection ended before the first new event"),
            Framing::Length if self.events.is_resumed() => {
                Some("the rest of the stream has a length and is empty")
            }
            Framing::Length | Framing::Chunks => None,
        }
    }

    fn record_server_end(&self) {
        self.response.submission.server_ended(&self.response.sender.server);
    }

    /// Records for how long the answer has gone on, after events have arrived.
    fn record_progress(&mut self) {
        if !self.went_on && self.answering() >= PROOF_TIME {
            self.went_on = true;
            self.response.submission.answer_went_on();
        }
        if !self.is_sound && self.answering() >= SOUND_TIME {
            self.is_sound = true;
            self.response.submission.proved_sound();
        }
    }

    fn finish(self) -> (ServerId, Exchange) {
        if !self.went_on && self.response.exchange.ends_with_connection() {
            self.response.submission.answer_ended_early(&self.response.sender.server);
        } else {
            self.response.submission.proved_sound();
        }
        let total = Span::from(self.response.sent.elapsed());
        let first = self.first.unwrap_or(total);
        let tokens = self.events.count();
        let StartedResponse { submission, sender: Sender { server, .. }, exchange, .. } =
            self.response;
        submission.finish(Outcome::Done { first, total, tokens });
        (server, exchange)
    }
}

impl RequestTask {
    /// Returns a streaming response once its first event has arrived. A failure before that is
    /// returned together with the task, so that it can be reported or another server tried.
    pub(crate) async fn stream(
        mut self,
        response: StartedResponse,
    ) -> Result<Response<Body>, (Box<Self>, RequestFailure)> {
        let mut stream = StreamState {
            events: self.events(),
            earlier: 0,
            response,
            pending: self.frontend.client.count_bytes(),
            first: None,
            went_on: false,
            is_sound: false,
            times: EventTimes::default(),
        };
        let part = stream.next(&self.frontend, self.deadline, self.first_event_timeout()).await;
        let part = count_events(&self.frontend, part).await;
        let (status, headers) =
            (stream.response.exchange.status(), stream.response.exchange.headers().clone());
        let failure = match part {
            StreamPart::Events(bytes) => {
                self.observe(stream.response.observed(), stream.first);
                self.frontend.meters.record_first_byte(self.started.elapsed().as_secs_f64());
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
                // The queue is empty, so it has capacity for one chunk.
                let _ = sender.try_send(Ok(bytes));
                let frames = ReceiverStream::new(receiver).map(|chunk| chunk.map(Frame::data));
                let response =
                    self.response(status, &headers, StreamBody::new(frames).boxed_unsync());
                tokio::spawn(self.forward_events(stream, sender));
                return Ok(response);
            }
            StreamPart::End => {
                let (events, times) = (stream.events.count(), stream.times);
                let (server, exchange) = stream.finish();
                self.log_answer((&server, &exchange), events, times);
                return Ok(self.response(status, &headers, crate::forward::full(Bytes::new())));
            }
            StreamPart::Broken(why) => {
                self.log_send_failure(
                    &stream.response.sender.server,
                    (&why, Duration::ZERO),
                    Verdict::MayHaveRun,
                    stream.response.sent,
                );
                may_have_run(RefusalReason::Broken)
            }
            StreamPart::TimedOut => may_have_run(RefusalReason::Timeout),
            StreamPart::NoMemory => may_have_run(RefusalReason::NoMemory),
        };
        self.observe(stream.response.observed(), None);
        let StartedResponse { submission, sender: Sender { server, .. }, .. } = stream.response;
        submission.finish(Outcome::Failed);
        self.avoid(server);
        Err((Box::new(self), failure))
    }

    /// Forwards events until the stream ends, the caller disconnects, or the stream cannot be
    /// resumed. A server that pauses is not given up before the timeout of the route: its
    /// connection breaks if it is gone, and giving it up would lose the events that may still come.
    async fn forward_events(
        mut self,
        mut stream: StreamState,
        caller: mpsc::Sender<io::Result<Bytes>>,
    ) {
        let window = coalescing_window(self.frontend.link_mbps, self.route.target_gap);
        let mut coalescer = Coalescer::new(window);
        loop {
            let has_started = stream.first.is_some();
            let limits = (self.deadline, self.route.timeout);
            let next = stream.next_while_held(&self.frontend, limits, &mut coalescer, &caller);
            let Some((part, was_delivered)) = next.await else {
                self.log_caller_left(stream.events.count());
                return;
            };
            let ready = match &part {
                StreamPart::Events(bytes) => coalescer.push(Instant::now(), bytes.clone()),
                _ => coalescer.take(),
            };
            let can_resume = was_delivered
                && match ready {
                    Some(events) => deliver(&self.frontend, &caller, events).await,
                    None => true,
                };
            let part = if can_resume { part } else { StreamPart::NoMemory };
            let why = match part {
                StreamPart::Events(_) => {
                    if !has_started {
                        self.observe(stream.response.observed(), stream.first);
                    }
                    continue;
                }
                StreamPart::End => {
                    let (events, times) = (stream.events.count(), stream.times);
                    let (server, exchange) = stream.finish();
                    self.log_answer((&server, &exchange), events, times);
                    return;
                }
                StreamPart::Broken(why) => why,
                StreamPart::TimedOut => "out of time".into(),
                StreamPart::NoMemory => "no memory for the events".into(),
            };
            self.observe(stream.response.observed(), None);
            self.log_send_failure(
                &stream.response.sender.server,
                (&why, stream.answering()),
                Verdict::MayHaveRun,
                stream.response.sent,
            );
            let events = stream.events.count();
            let resumed = tokio::select! {
                () = caller.closed() => None,
                resumed = async {
                    if can_resume { self.resume(stream).await } else { None }
                } => Some(resumed),
            };
            let Some(resumed) = resumed else {
                self.log_caller_left(events);
                return;
            };
            let Some(next) = resumed else {
                self.ended = true;
                spdlog::info!("stream broken off", kv: { id = self.id.as_str(), why });
                // If the caller is still connected, the error closes its connection.
                let _ = caller.send(Err(io::Error::other("the stream broke off"))).await;
                return;
            };
            stream = next;
        }
    }

    /// Resumes a stream at another server, after the last whole event.
    async fn resume(&mut self, stream: StreamState) -> Option<StreamState> {
        let StreamState { mut events, response, pending, times, .. } = stream;
        events.resume();
        let StartedResponse { submission, sender: Sender { server, .. }, exchange: before, .. } =
            response;
        let kind = StreamKind::of(&before);
        // The server stops working on a stream whose connection is closed.
        drop(before);
        submission.finish(Outcome::Failed);
        self.avoid(server);
        while self.may_resend() {
            let response = self.send(events.last()).await.ok()?;
            if StreamKind::of(&response.exchange) == kind {
                self.frontend.meters.count(Operation::Resumed);
                spdlog::info!(
                    "stream resumed",
                    kv: {
                        id = self.id.as_str(),
                        server = response.sender.server.as_str(),
                        after = events.last().unwrap_or(0)
                    }
                );
                let earlier = events.count();
                return Some(StreamState {
                    events,
                    earlier,
                    response,
                    pending,
                    first: None,
                    went_on: false,
                    is_sound: false,
                    times,
                });
            }
            let StartedResponse {
                exchange, submission, sent, sender: Sender { server, .. }, ..
            } = response;
            let why = format!("the server answered a resume with {}", StreamKind::of(&exchange));
            self.log_send_failure(&server, (&why, Duration::ZERO), Verdict::Ran, sent);
            submission.finish(Outcome::Failed);
            self.avoid(server);
        }
        None
    }
}

/// Queues events for a caller, once there is memory for them. Returns `false` if there is none for too
/// long.
async fn deliver(
    frontend: &Frontend,
    caller: &mpsc::Sender<io::Result<Bytes>>,
    events: Bytes,
) -> bool {
    tokio::select! {
        biased;
        // The task of the stream detects that the caller has disconnected.
        () = caller.closed() => true,
        counted = wait_for_memory(|| frontend.client.count_piece(&events)) => {
            let Some(counted) = counted else { return false };
            let _ = caller.send(Ok(counted)).await;
            true
        }
    }
}

/// Waits until held events are to be sent, for ever if there are none.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

/// The status and media type of a response. A server whose response differs from the earlier one in
/// these does not go on with its stream.
#[derive(Debug, PartialEq, Eq)]
struct StreamKind {
    status: StatusCode,
    media_type: Option<String>,
}

impl StreamKind {
    fn of(exchange: &Exchange) -> Self {
        let media_type = exchange.headers().get(CONTENT_TYPE).map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            text.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
        });
        Self { status: exchange.status(), media_type }
    }
}

impl fmt::Display for StreamKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let media_type = self.media_type.as_deref().unwrap_or("no media type");
        write!(f, "{} and {media_type}", self.status.as_u16())
    }
}
