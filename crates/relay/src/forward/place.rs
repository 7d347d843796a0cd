//! Placement of a request: its ticket, how long it waits, and the server that it is granted.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use broker::LateLimits;
use http::request;
use model::{AccountName, Outcome, Part, RefusalReason, ServerId, Span, Ticket};
use routing::Account;
use tokio::time::timeout_at;

use super::{MIN_RETRY_AFTER, RequestTask, millis};
use crate::{
    dialect::{CallerRequest, RequestFailure},
    event_loop::Submission,
    frontend::not_run,
    restraint::Cause,
    scheduler::{Charge, Placement, PlacementRequest},
};

/// Multiple of the route's target latency for which a late request waits for a server.
const LATE_WAIT_FACTOR: u32 = 3;
/// Multiple of the route's target gap between events for which a retried request waits for a
/// server.
const RETRY_WAIT_FACTOR: u32 = 4;
/// Tokens assumed for the prompt and the answer of a request without token counts.
const DEFAULT_TOKENS: (u64, u64) = (1, 1);

impl RequestTask {
    /// Asks the scheduler for a server to which requests may be sent. The VM that grants servers may
    /// not know what they said to this one.
    pub(super) async fn place(
        &mut self,
    ) -> Result<(Submission, ServerId, SocketAddr), RequestFailure> {
        // Servers that were granted here and are withheld.
        let mut granted: Vec<ServerId> = Vec::new();
        loop {
            let mut avoided =
                self.frontend.restraints().avoided(clock::since_boot(), &self.service);
            avoided.extend(granted.iter().cloned());
            let (submission, server, address) = self.place_once(&avoided).await?;
            let cause = self.frontend.restraints().cause(clock::since_boot(), &server);
            let wait = match cause {
                None => return Ok((submission, server, address)),
                Some(Cause::Leaving) => Span::ZERO,
                Some(Cause::Pause(wait)) => wait,
            };
            submission.finish(Outcome::Cancelled);
            let (id, wait_ms) = (self.id.as_str(), wait.as_millis());
            spdlog::info!("server is withheld", kv: { id, server = server.as_str(), wait_ms });
            if avoided.contains(&server) {
                // A server to avoid is granted only if there is no other.
                let delay = Duration::from(wait).max(MIN_RETRY_AFTER);
                // The callers that were refused in the pause do not return at once.
                let delay = delay.mul_f64(1.0 + rand::random::<f64>() / 4.0);
                return Err(not_run(RefusalReason::NoServer, Some(delay)));
            }
            granted.push(server);
        }
    }

    /// Asks the scheduler for a server, and for none of `avoided` if there is another.
    async fn place_once(
        &mut self,
        avoided: &[ServerId],
    ) -> Result<(Submission, ServerId, SocketAddr), RequestFailure> {
        // A server that could not be connected to has not received the request.
        let is_retry = self.possible_arrivals > 0;
        let placement_request = PlacementRequest {
            ticket: self.ticket(),
            avoid: self.avoid.iter().chain(avoided).cloned().collect(),
            late: self.late(),
            charge: self.charge(),
            is_retry,
            is_hedge: false,
            parts: Arc::clone(&self.parts),
        };
        let submitted = Instant::now();
        let mut submission = self.frontend.handle.submit(placement_request);
        let placement = timeout_at(self.deadline.into(), submission.placement()).await;
        let waited = millis(submitted.elapsed());
        match placement {
            Ok(Some(Placement::Granted { server, address })) => {
                spdlog::info!(
                    "request granted",
                    kv: {
                        id = self.id.as_str(),
                        service = self.service.as_str(),
                        server = server.as_str(),
                        tier = u8::from(self.tier),
                        send = self.sends,
                        waited_ms = waited,
                        plan = self.plan_version
                    }
                );
                Ok((submission, server, address))
            }
            Ok(Some(Placement::Refused { reason, retry_after })) => {
                spdlog::info!(
                    "request not placed",
                    kv: {
                        id = self.id.as_str(),
                        service = self.service.as_str(),
                        tier = u8::from(self.tier),
                        reason = reason.code(),
                        account = self.account_name().as_str(),
                        predicted_ms = retry_after.map_or(0, Span::as_millis),
                        waited_ms = waited,
                        plan = self.plan_version
                    }
                );
                let delay = match (reason, retry_after) {
                    // The time of the next trial is known, and no retry helps before it.
                    (RefusalReason::BlockedPart, Some(wait)) => {
                        Duration::from(wait).max(MIN_RETRY_AFTER)
                    }
                    _ => self.retry_after(retry_after),
                };
                Err(not_run(reason, Some(delay)))
            }
            Ok(None) => Err(not_run(RefusalReason::Stopping, Some(MIN_RETRY_AFTER))),
            Err(_) => Err(not_run(RefusalReason::Shed, None)),
        }
    }

    pub(super) fn ticket(&self) -> Ticket {
        let (prompt, most) = self.caller_request.tokens.unwrap_or(DEFAULT_TOKENS);
        let answer = self.caller_request.length_hint.unwrap_or(most);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let target =
            (self.started + self.route.target_latency).saturating_duration_since(Instant::now());
        let short = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Ticket {
            request: self.frontend.next_id(),
            account: self.account_name(),
            service: self.service.clone(),
            tier: self.tier,
            budget: Span::from(target.min(left)),
            prompt: short(prompt),
            answer: short(answer),
            prefix: 0,
            cancellable: false,
        }
    }

    /// Returns the retry delay for a refused caller. It is designed for load peaks of a few
    /// seconds, which are likely over after twice the predicted wait. The jitter spreads callers
    /// that are refused together over half of the delay. The delay before jitter is at most a third
    /// of the caller's remaining time, unless that is less than the minimum.
    fn retry_after(&self, predicted: Option<Span>) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now()) / 3;
        let wait = Duration::from(predicted.unwrap_or(Span::ZERO)) * 2;
        let wait = wait.clamp(MIN_RETRY_AFTER, left.max(MIN_RETRY_AFTER));
        wait.mul_f64(0.75 + rand::random::<f64>() / 2.0)
    }

    /// Returns the limits for serving the request after its target latency has passed. It may wait
    /// for a server until [`LATE_WAIT_FACTOR`] times the target latency, when the caller of a stream
    /// that has not started would give up, but for at most half of its total time. For streams, the
    /// pause between events is limited to the target gap too.
    fn late(&self) -> LateLimits {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let half = (self.deadline - self.started) / 2;
        let wait = half.min(self.route.target_latency * LATE_WAIT_FACTOR);
        let wait = (self.started + wait).saturating_duration_since(Instant::now());
        // A request that was sent before may wait longer: a caller of a stream tolerates such a
        // pause.
        let wait =
            if self.sends > 0 { wait.max(self.route.target_gap * RETRY_WAIT_FACTOR) } else { wait };
        let pause =
            if self.route.retry.is_stream() { self.route.target_gap } else { Duration::ZERO };
        LateLimits {
            wait: Span::from(wait.min(remaining)),
            whole: Span::from(remaining),
            pause: Span::from(pause),
        }
    }

    fn account_name(&self) -> AccountName {
        let name = self.account.as_ref().map(|a| a.name.clone());
        name.unwrap_or_else(AccountName::public)
    }

    /// Returns the charge against the account's quota. It is `None` for later sends, since the
    /// request is charged once.
    fn charge(&mut self) -> Option<Charge> {
        if std::mem::replace(&mut self.charged, true) {
            return None;
        }
        let account = self.account.as_ref()?;
        let quota = account.quota?;
        let tokens = self.caller_request.tokens.map(|(prompt, answer)| prompt + answer);
        Some(Charge { account: account.name.clone(), quota, units: quota.units(tokens) })
    }
}

/// Returns the parts of a request that others may have too: those of its prompt, or its content, and
/// the request itself, which may be repeated.
pub(super) fn request_parts(
    head: &request::Parts,
    caller_request: &CallerRequest,
    body: &[u8],
    account: Option<&Account>,
) -> Arc<[Part]> {
    let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let mut parts = caller_request.parts.clone();
    if caller_request.tokens.is_none() && parts.is_empty() {
        parts.push(Part::whole(path, body));
    }
    let caller = account.map_or("", |account| account.name.as_str());
    parts.push(Part::request(caller, path, body));
    parts.into()
}
