//! Hedged sends of plain requests that may be repeated.
//!
//! The request task waits for the first send and, once the delay has passed, for a second one at another
//! server. The response that is complete first is returned, and dropping the other send cancels it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use http::Response;
use meters::Operation;
use model::{Outcome, ServerId, Span, Tier};
use routing::RetryMode;
use tokio::{sync::watch, time::timeout_at};

use super::{Body, RequestTask};
use crate::{
    dialect::RequestFailure,
    frontend::lock,
    hedge::Class,
    scheduler::{Placement, PlacementRequest},
};

/// The send of a request that may be hedged, and its hedge.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Time and server of the first send.
    first: watch::Sender<Option<(Instant, ServerId)>>,
    /// Number of sends of the first attempt.
    sends: AtomicU32,
    /// Number of hedges that may have run.
    pub(super) hedges: AtomicU32,
}

impl Progress {
    pub(super) fn record_send(&self, server: &ServerId, sent: Instant) {
        if self.sends.fetch_add(1, Ordering::Relaxed) == 0 {
            self.first.send_replace(Some((sent, server.clone())));
        }
    }

    /// Waits until the delay after the first send has passed. Returns the server to which the request
    /// was sent.
    async fn wait(&self, delay: Duration) -> ServerId {
        let mut first = self.first.subscribe();
        loop {
            let sent = first.borrow_and_update().clone();
            if let Some((sent, server)) = sent {
                tokio::time::sleep_until((sent + delay).into()).await;
                return server;
            }
            if first.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn elapsed(&self) -> Option<Duration> {
        self.first.borrow().as_ref().map(|(sent, _)| sent.elapsed())
    }

    /// Returns whether the request is still at its first server.
    fn is_first_send(&self) -> bool {
        self.sends.load(Ordering::Relaxed) == 1
    }
}

impl RequestTask {
    /// Returns whether the request may be hedged: it may be repeated, its response is no stream, and
    /// the route allows a second attempt.
    pub(super) fn may_hedge(&self) -> bool {
        self.frontend.hedges.is_some()
            && self.route.retry == RetryMode::Always
            && self.route.max_attempts > 1
            && self.sends == 0
    }

    /// Returns the number of hedges of this request that may have run.
    pub(super) fn hedged(&self) -> u32 {
        self.progress.as_ref().map_or(0, |progress| progress.hedges.load(Ordering::Relaxed))
    }

    /// Sends the request and collects the response, with a hedge if it takes long. The second part of
    /// the error says whether no other server may be tried.
    pub(super) async fn send_hedged(&mut self) -> Result<Response<Body>, (RequestFailure, bool)> {
        let class = self.class();
        let delay = self.frontend.hedges.as_ref().and_then(|hedges| lock(hedges).delay(&class));
        let progress = Arc::new(Progress::default());
        self.progress = Some(Arc::clone(&progress));
        let Some(delay) = delay else {
            let result = self.send_and_collect().await;
            self.record_time(&class, &progress, result.is_ok());
            return result;
        };
        let mut hedge = self.hedge();
        let (result, is_hedge) = {
            let mut first = std::pin::pin!(self.send_and_collect());
            let second = async {
                let server = progress.wait(delay.into()).await;
                if progress.is_first_send() {
                    hedge.send_once(server, &progress).await
                } else {
                    None
                }
            };
            let mut second = std::pin::pin!(second);
            tokio::select! {
                biased;
                result = &mut first => match result {
                    // The request is not given up while its hedge may still be answered.
                    Err(failure) if progress.hedges.load(Ordering::Relaxed) > 0 => {
                        match second.await {
                            Some(response) => (Ok(response), true),
                            None => (Err(failure), false),
                        }
                    }
                    result => (result, false),
                },
                response = &mut second => match response {
                    Some(response) => (Ok(response), true),
                    None => (first.await, false),
                },
            }
        };
        // What the hedge may have run counts for what is reported of the request.
        self.possible_runs += progress.hedges.swap(0, Ordering::Relaxed);
        self.record_time(&class, &progress, result.is_ok());
        if is_hedge {
            self.ended = true;
            self.frontend.meters.count(Operation::HedgeAnswered);
        }
        result.map_err(|(failure, is_final)| (self.final_failure(failure), is_final))
    }

    async fn send_and_collect(&mut self) -> Result<Response<Body>, (RequestFailure, bool)> {
        match self.send(None).await {
            Ok(response) => self.collect(response).await.map_err(|failure| (failure, false)),
            Err(failure) => Err((failure, true)),
        }
    }

    /// Records the time of a request that was answered. If its hedge was answered first, it would have
    /// taken at least as long.
    fn record_time(&self, class: &Class, progress: &Progress, is_answered: bool) {
        if let (true, Some(hedges), Some(time)) =
            (is_answered && progress.is_first_send(), &self.frontend.hedges, progress.elapsed())
        {
            lock(hedges).record(clock::since_boot(), class, Span::from(time));
        }
    }

    fn class(&self) -> Class {
        let bytes = self.body.len() as u64;
        let size = self.caller_request.tokens.map_or(bytes, |(prompt, _)| prompt);
        Class::new(Arc::clone(&self.route.name), size)
    }

    /// Returns the task of a hedge.
    fn hedge(&self) -> Self {
        Self {
            frontend: Arc::clone(&self.frontend),
            id: self.id.clone(),
            head: self.head.clone(),
            caller_request: self.caller_request.clone(),
            body: self.body.clone(),
            parts: Arc::clone(&self.parts),
            route: Arc::clone(&self.route),
            account: self.account.clone(),
            service: self.service.clone(),
            tier: self.tier,
            plan_version: self.plan_version,
            started: self.started,
            deadline: self.deadline,
            avoid: Vec::new(),
            sends: 1,
            possible_arrivals: 0,
            possible_runs: 0,
            charged: true,
            // The task of the request reports that the caller left.
            ended: true,
            progress: None,
            is_hedge: true,
        }
    }

    /// Sends the request to a server other than `first`. Returns its response, unless there is no
    /// server to spare or the response is a failure.
    async fn send_once(&mut self, first: ServerId, progress: &Progress) -> Option<Response<Body>> {
        self.avoid.push(first);
        let withheld = self.frontend.restraints().withheld(clock::since_boot(), &self.service);
        self.avoid.extend(withheld);
        let mut ticket = self.ticket();
        (ticket.budget, ticket.tier) = (Span::ZERO, Tier::LOWEST);
        let none = broker::LateLimits { wait: Span::ZERO, whole: Span::ZERO, pause: Span::ZERO };
        let mut submission = self.frontend.handle.submit(PlacementRequest {
            ticket,
            avoid: self.avoid.clone(),
            late: none,
            charge: None,
            is_retry: true,
            is_hedge: true,
            parts: Arc::clone(&self.parts),
        });
        let placement = timeout_at(self.deadline.into(), submission.placement()).await.ok()??;
        let Placement::Granted { server, address } = placement else { return None };
        // A server to avoid is granted only if there is no other, and the request may have failed or
        // been sent elsewhere in the meantime.
        if self.avoid.contains(&server) || !progress.is_first_send() {
            submission.finish(Outcome::Cancelled);
            return None;
        }
        progress.hedges.store(1, Ordering::Relaxed);
        self.frontend.meters.count(Operation::Hedged);
        let after_ms = progress.elapsed().map_or(0, super::millis);
        spdlog::info!(
            "request hedged",
            kv: { id = self.id.as_str(), server = server.as_str(), after_ms }
        );
        let response = self.send_to(submission, server, address, None).await;
        progress.hedges.store(self.possible_runs, Ordering::Relaxed);
        let response = response.ok()?;
        if response.exchange.status().is_server_error() {
            return None;
        }
        self.collect(response).await.ok()
    }
}
