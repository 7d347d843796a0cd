//! Records of a request: its log lines, and what its answers say about versions of servers.

use std::time::{Duration, Instant};

use backend::Exchange;
use meters::Operation;
use model::{ServerId, Span, Verdict};

use super::{RequestTask, millis};
use crate::{
    stream::EventTimes,
    trial::{self, Observed},
};

impl RequestTask {
    /// Records the answer of a server, with the slowness that it reported: the time to the first event,
    /// or to the end of an answer that is no stream, or that the server failed.
    pub(crate) fn observe(&self, (server, slowness): (&ServerId, Option<f64>), time: Option<Span>) {
        let Some(trials) = &self.frontend.trials else {
            return;
        };
        let prompt = self.caller_request.tokens.map_or(1, |(prompt, _)| prompt);
        let (service, route) = (&self.service, &self.route.name);
        trial::lock(trials).record(&Observed { service, server, route, prompt, time, slowness });
    }

    /// Returns the parts of the prompt as text for logs.
    fn parts_text(&self) -> String {
        let parts = self.parts.iter().map(ToString::to_string);
        parts.collect::<Vec<_>>().join(",")
    }

    /// Records that a send failed. `answering` is the time for which events of the server had been
    /// arriving.
    pub(crate) fn log_send_failure(
        &self,
        server: &ServerId,
        (why, answering): (&str, Duration),
        verdict: Verdict,
        sent: Instant,
    ) {
        spdlog::info!(
            "send failed",
            kv: {
                id = self.id.as_str(),
                server = server.as_str(),
                why,
                verdict = format!("{verdict:?}"),
                send = self.sends,
                after_ms = millis(sent.elapsed()),
                answering_ms = millis(answering),
                parts = self.parts_text()
            }
        );
    }

    /// Records that the caller disconnected after it was sent `events` events.
    pub(crate) fn log_caller_left(&mut self, events: u32) {
        self.ended = true;
        self.frontend.meters.count(Operation::CallerLeft);
        spdlog::info!(
            "caller left",
            kv: { id = self.id.as_str(), sends = self.sends, events }
        );
    }

    pub(crate) fn log_answer(
        &mut self,
        (server, exchange): (&ServerId, &Exchange),
        events: u32,
        times: EventTimes,
    ) {
        self.ended = true;
        self.frontend.meters.count(Operation::Answered);
        let total = self.started.elapsed();
        let first = times.first.map_or(total, |first| first - self.started);
        spdlog::info!(
            "request answered",
            kv: {
                id = self.id.as_str(),
                server = server.as_str(),
                status = exchange.status().as_u16(),
                framing = exchange.framing().to_string(),
                events,
                sends = self.sends,
                tier = u8::from(self.tier),
                parts = self.parts_text(),
                prompt = self.caller_request.tokens.map_or(0, |(prompt, _)| prompt),
                first_ms = millis(first),
                pause_ms = millis(times.pause),
                total_ms = millis(total)
            }
        );
    }
}
