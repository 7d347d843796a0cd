//! Passing on a stream of events, from one server or, where it may go on elsewhere, several.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::StreamExt;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use meters::Op;
use model::{Outcome, RefusalReason, ServerId, Span, Verdict};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    dialect::RequestFailure,
    events::Events,
    forward::{Begun, Body, Job},
    gate::may_have_run,
};

/// Events that wait for a caller that reads slowly.
const MAX_WAITING: usize = 16;
/// Where a stream stands.
struct Flow {
    events: Events,
    begun: Begun,
    /// Time from the send to its first events.
    first: Option<Span>,
    progress: Progress,
}

/// When events reached the caller, from all servers of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) first: Option<Instant>,
    newest: Option<Instant>,
    /// The longest time between two of them.
    pub(crate) pause: Duration,
}

impl Progress {
    fn note(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(before) = self.newest.replace(now) {
            self.pause = self.pause.max(now - before);
        }
    }
}

/// The next part of a stream.
enum Part {
    /// Whole events.
    Events(Bytes),
    /// The end.
    End(Bytes),
    /// It broke off.
    Broken(String),
    /// The request's time is up.
    OutOfTime,
}

impl Flow {
    /// Reads until whole events have arrived.
    async fn next(&mut self, until: Instant, stall: Duration) -> Part {
        loop {
            let piece = tokio::select! {
                piece = tokio::time::timeout(stall, self.begun.exchange.chunk()) => piece,
                () = Job::out_of_time(until) => return Part::OutOfTime,
            };
            match piece {
                Err(_) => return Part::Broken("no event for too long".into()),
                Ok(Err(failure)) => return Part::Broken(failure.to_string()),
                Ok(Ok(None)) => return Part::End(self.events.rest()),
                Ok(Ok(Some(bytes))) => match self.events.push(&bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => {
                        if self.first.is_none() {
                            self.first = Some(Span::from(self.begun.sent.elapsed()));
                            self.begun.claim.begun();
                        }
                        self.progress.note(Instant::now());
                        return Part::Events(whole);
                    }
                    Err(gap) => {
                        return Part::Broken(format!("event {} after {}", gap.next, gap.last));
                    }
                },
            }
        }
    }

    fn finished(self) -> ServerId {
        let total = Span::from(self.begun.sent.elapsed());
        let first = self.first.unwrap_or(total);
        let tokens = self.events.count();
        self.begun.claim.finish(Outcome::Done { first, total, tokens });
        self.begun.server
    }
}

impl Job {
    /// Answers with a stream once its first event has arrived. Until then a failure is told as
    /// such, or made up for by another server.
    pub(crate) async fn stream(
        self,
        begun: Begun,
    ) -> Result<Response<Body>, (Box<Self>, RequestFailure)> {
        let mut flow =
            Flow { events: self.events(), begun, first: None, progress: Progress::default() };
        let part = flow.next(self.until, self.first_stall()).await;
        let (status, headers) =
            (flow.begun.exchange.status(), flow.begun.exchange.headers().clone());
        let failing = match part {
            Part::Events(bytes) => {
                self.gate.meters.first_byte(self.started.elapsed().as_secs_f64());
                let (sender, receiver) = mpsc::channel(MAX_WAITING);
                // The queue is empty, so there is room.
                let _ = sender.try_send(Ok(bytes));
                let frames = ReceiverStream::new(receiver).map(|piece| piece.map(Frame::data));
                let response =
                    self.response(status, &headers, StreamBody::new(frames).boxed_unsync());
                tokio::spawn(self.pump(flow, sender));
                return Ok(response);
            }
            Part::End(bytes) => {
                let (events, progress) = (flow.events.count(), flow.progress);
                let server = flow.finished();
                self.note_end(&server, status, events, progress);
                return Ok(self.response(status, &headers, crate::forward::full(bytes)));
            }
            Part::Broken(why) => {
                self.note_failure(&flow.begun.server, &why, Verdict::MayHaveRun, flow.begun.sent);
                may_have_run(RefusalReason::Broken)
            }
            Part::OutOfTime => may_have_run(RefusalReason::Timeout),
        };
        let mut job = self;
        let Begun { claim, server, .. } = flow.begun;
        claim.finish(Outcome::Failed);
        job.avoid(server);
        Err((Box::new(job), failing))
    }

    /// Passes events on until the stream ends, the caller leaves, or nothing more can be had. A
    /// server that pauses is waited for: its connection breaks if it is gone, and giving it up would
    /// cost the caller what may still come.
    async fn pump(mut self, mut flow: Flow, caller: mpsc::Sender<io::Result<Bytes>>) {
        loop {
            let part = tokio::select! {
                biased;
                () = caller.closed() => {
                    self.gate.meters.count(Op::CallerLeft);
                    spdlog::info!("caller left", kv: { id = self.id.as_str(), events = flow.events.count() });
                    return;
                }
                part = flow.next(self.until, self.route.timeout) => part,
            };
            let why = match part {
                Part::Events(bytes) => {
                    // A caller that left is noticed above.
                    let _ = caller.send(Ok(bytes)).await;
                    continue;
                }
                Part::End(bytes) => {
                    if !bytes.is_empty() {
                        let _ = caller.send(Ok(bytes)).await;
                    }
                    let (status, events) = (flow.begun.exchange.status(), flow.events.count());
                    let progress = flow.progress;
                    let server = flow.finished();
                    self.note_end(&server, status, events, progress);
                    return;
                }
                Part::Broken(why) => why,
                Part::OutOfTime => "out of time".into(),
            };
            self.note_failure(&flow.begun.server, &why, Verdict::MayHaveRun, flow.begun.sent);
            let resumed = tokio::select! {
                () = caller.closed() => return,
                resumed = self.resume(flow) => resumed,
            };
            let Some(next) = resumed else {
                spdlog::info!("stream broken off", kv: { id = self.id.as_str(), why });
                // The caller may have left; otherwise its connection breaks.
                let _ = caller.send(Err(io::Error::other("the stream broke off"))).await;
                return;
            };
            flow = next;
        }
    }

    /// Goes on with a stream at another server, after the last whole event.
    async fn resume(&mut self, flow: Flow) -> Option<Flow> {
        let Flow { mut events, begun, progress, .. } = flow;
        let Begun { claim, server, exchange, .. } = begun;
        // The server stops working on a stream whose connection is closed.
        drop(exchange);
        claim.finish(Outcome::Failed);
        self.avoid(server);
        if !self.may_repeat() {
            return None;
        }
        events.restart();
        let begun = self.send(events.last()).await.ok()?;
        if !begun.exchange.status().is_success() {
            begun.claim.finish(Outcome::Failed);
            return None;
        }
        self.gate.meters.count(Op::Resumed);
        spdlog::info!(
            "stream resumed",
            kv: { id = self.id.as_str(), server = begun.server.as_str(), after = events.last().unwrap_or(0) }
        );
        Some(Flow { events, begun, first: None, progress })
    }
}
