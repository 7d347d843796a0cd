//! Forwarding of one request, from its head to the end of its response.
//!
//! A [`RequestTask`] asks the scheduler for a server, in the `place` module, sends the request, and
//! tries other servers after failures as far as the route allows. It buffers a response that is not a
//! stream; the `stream` module forwards event streams.

mod body;
mod end;
mod hedge;
mod place;
mod record;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use backend::Failure;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request};
use http_body_util::Full;
use hyper::body::Incoming;
use meters::Operation;
use model::{Outcome, Part, RefusalReason, ServerId, ServiceName, Span, Tier, Verdict};
use routing::{Account, Route};
use tokio::time::{sleep_until, timeout_at};

use self::{body::read_body, hedge::Progress, place::request_parts};
pub(crate) use self::{
    body::{Body, Caller, fail, full, refuse_for_memory},
    end::StartedResponse,
};
use crate::{
    dialect::{CallerRequest, ForwardInfo, RequestFailure},
    ending::Sender,
    event_loop::Submission,
    events::EventSplitter,
    frontend::{Admitted, Frontend, may_have_run, not_run},
    restraint::Notice,
    stream::EventTimes,
};

/// Maximum size of a response that is buffered before it is forwarded, in bytes. As long as nothing
/// was forwarded, a failure of the server can be reported as such, or the request sent to another
/// server.
const MAX_BUFFERED_BODY: usize = 16 << 20;
/// Maximum number of sends of one request, including those that were certainly not run.
const MAX_SENDS: u32 = 6;
/// Minimum retry delay sent to a refused caller. In this time, a VM that was just started or cut
/// off is usually able to serve again, and a queue has advanced.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Multiple of the route's target latency after which an attempt is given up if another server may
/// be tried.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Prompt tokens per millisecond that the slowest server in use processes. The time for the prompt
/// is added to the timeout of an attempt.
const MIN_PREFILL_RATE: u64 = 10;

/// An admitted request while it is served.
pub(crate) struct RequestTask {
    pub(crate) frontend: Arc<Frontend>,
    pub(crate) id: String,
    head: request::Parts,
    caller_request: CallerRequest,
    body: Bytes,
    /// Parts of the request that other requests may have too.
    parts: Arc<[Part]>,
    pub(crate) route: Arc<Route>,
    account: Option<Arc<Account>>,
    service: ServiceName,
    tier: Tier,
    plan_version: u64,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    avoid: Vec<ServerId>,
    sends: u32,
    /// Number of sends that may have reached a server.
    possible_arrivals: u32,
    /// Number of sends after which the request may have run.
    possible_runs: u32,
    charged: bool,
    /// Whether the caller has been given the end of its response, or a failure.
    pub(crate) ended: bool,
    /// The first attempt, if it may be hedged.
    progress: Option<Arc<Progress>>,
    /// Whether this task sends a hedge, once.
    is_hedge: bool,
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        if !self.ended {
            self.log_caller_left(0);
        }
    }
}

/// Serves one request of a caller and returns its response.
pub(crate) async fn forward(
    frontend: Arc<Frontend>,
    request: Request<Incoming>,
    caller: &Caller,
) -> Response<Body> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let caller_request = match frontend.dialect.parse_request(&head) {
        Ok(caller_request) => caller_request,
        Err(why) => {
            spdlog::info!("cannot parse request", kv: { why });
            return fail(&frontend, "", &not_run(RefusalReason::BadRequest, None));
        }
    };
    let id = caller_request.id.clone();
    frontend.wait_for_plan(caller_request.timeout).await;
    let admitted = match frontend.admit(&head, &caller_request) {
        Ok(admitted) => admitted,
        Err(failure) => return fail(&frontend, &id, &failure),
    };
    let limit = admitted.plan.limits().body_bytes;
    let body = match read_body(&frontend, &id, body, limit, caller).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    RequestTask::new(frontend, (head, caller_request, body), admitted, started).run().await
}

impl RequestTask {
    fn new(
        frontend: Arc<Frontend>,
        (head, caller_request, body): (request::Parts, CallerRequest, Bytes),
        admitted: Admitted,
        started: Instant,
    ) -> Self {
        let Admitted { plan, route, account } = admitted;
        let allowed = caller_request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let service = route.service(&caller_request.id).clone();
        let parts = request_parts(&head, &caller_request, &body, account.as_deref());
        Self {
            id: caller_request.id.clone(),
            service,
            parts,
            tier: plan.tier(&route, account.as_deref()),
            plan_version: plan.version(),
            deadline: started + allowed,
            started,
            avoid: Vec::new(),
            sends: 0,
            possible_arrivals: 0,
            possible_runs: 0,
            charged: false,
            ended: false,
            progress: None,
            is_hedge: false,
            frontend,
            head,
            caller_request,
            body,
            route,
            account,
        }
    }

    async fn run(mut self) -> Response<Body> {
        if let Err(failure) = self.frontend.check_stop(self.deadline) {
            return self.fail(&failure);
        }
        if self.may_hedge() {
            match self.send_hedged().await {
                Ok(response) => return response,
                Err((failure, is_final)) if is_final || !self.may_resend() => {
                    let failure = self.final_failure(failure);
                    return self.fail(&failure);
                }
                Err(_) => {}
            }
        }
        loop {
            let failure = match self.send(None).await {
                Ok(response)
                    if self.route.retry.is_stream() && response.exchange.status().is_success() =>
                {
                    match self.stream(response).await {
                        Ok(response) => return response,
                        Err((task, failure)) => {
                            self = *task;
                            failure
                        }
                    }
                }
                Ok(response) => match self.collect(response).await {
                    Ok(response) => return response,
                    Err(failure) => failure,
                },
                Err(failure) => return self.fail(&failure),
            };
            if !self.may_resend() {
                let failure = self.final_failure(failure);
                return self.fail(&failure);
            }
        }
    }

    fn fail(&mut self, failure: &RequestFailure) -> Response<Body> {
        self.ended = true;
        fail(&self.frontend, &self.id, failure)
    }

    /// Returns whether a request that may have run can be sent to one more server.
    pub(crate) fn may_resend(&self) -> bool {
        self.route.retry.is_retryable()
            && !self.is_hedge
            && self.possible_runs + self.hedged() < self.route.max_attempts
            && self.sends < MAX_SENDS
            && Instant::now() < self.deadline
    }

    /// Returns the failure to report for a request that is given up. It never says that the request
    /// has not run if an earlier send may have run it.
    fn final_failure(&self, failure: RequestFailure) -> RequestFailure {
        if self.possible_runs + self.hedged() > 0 && failure.verdict == Verdict::NotRun {
            return may_have_run(failure.reason);
        }
        failure
    }

    /// Sends the request to one server after another until one starts to respond. After a failure,
    /// it goes on if the request has certainly not run or may be resent.
    pub(crate) async fn send(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<StartedResponse, RequestFailure> {
        loop {
            let (submission, server, address) = match self.place().await {
                Ok(granted) => granted,
                Err(failure) => return Err(self.final_failure(failure)),
            };
            match self.send_to(submission, server, address, last_event).await {
                Ok(response) => return Ok(response),
                Err(failure) => {
                    let again = match failure.verdict {
                        Verdict::NotRun => self.sends < MAX_SENDS && Instant::now() < self.deadline,
                        Verdict::MayHaveRun | Verdict::Ran => self.may_resend(),
                    };
                    if !again {
                        return Err(self.final_failure(failure));
                    }
                }
            }
        }
    }

    async fn send_to(
        &mut self,
        submission: Submission,
        server: ServerId,
        address: std::net::SocketAddr,
        last_event: Option<u64>,
    ) -> Result<StartedResponse, RequestFailure> {
        self.sends += 1;
        let sent = Instant::now();
        if let Some(progress) = &self.progress {
            progress.record_send(&server, sent);
        }
        let born = self.frontend.restraints().born(&server);
        let request = self.request(&server, address, last_event);
        let deadline = self.attempt_deadline();
        self.frontend.meters.count(Operation::Dispatched);
        if self.sends > 1 {
            self.frontend.meters.count(Operation::SentAgain);
        }
        let result =
            timeout_at(deadline.into(), self.frontend.client.send(address, &self.id, request))
                .await;
        let is_unsent = matches!(&result, Ok(Err(Failure::NotSent { .. })));
        self.possible_arrivals += u32::from(!is_unsent);
        let failure = match result {
            Ok(Ok(exchange)) => {
                let service = self.service.clone();
                let sender = Sender { server, born };
                let slowness = None;
                let response = StartedResponse {
                    exchange,
                    submission,
                    sent,
                    sender,
                    address,
                    service,
                    slowness,
                };
                return self.check_head(response);
            }
            Ok(Err(failure)) => failure,
            Err(_) => Failure::Timeout,
        };
        let verdict = failure.verdict();
        let outcome = if verdict == Verdict::NotRun { Outcome::NotSent } else { Outcome::Failed };
        if matches!(failure, Failure::Broken { .. }) {
            submission.server_ended(&server);
        }
        submission.finish(outcome);
        self.possible_runs += u32::from(verdict != Verdict::NotRun);
        if verdict != Verdict::NotRun {
            self.observe((&server, None), None);
        }
        self.log_send_failure(&server, (&failure.to_string(), Duration::ZERO), verdict, sent);
        self.avoid.push(server);
        Err(if verdict == Verdict::NotRun {
            not_run(failure.reason(), Some(MIN_RETRY_AFTER))
        } else {
            may_have_run(failure.reason())
        })
    }

    /// Checks the head of a response, and fails the send if the server refused the request or
    /// another server should be tried.
    fn check_head(
        &mut self,
        mut response: StartedResponse,
    ) -> Result<StartedResponse, RequestFailure> {
        let mut head = Response::new(()).into_parts().0;
        head.status = response.exchange.status();
        head.headers = response.exchange.headers().clone();
        let info = self.frontend.dialect.parse_response(&head);
        if !info.misdirected {
            self.record_notice(&response.sender.server, info.notice);
        }
        response.slowness = info.slowness;
        if let Some(slowness) = info.slowness {
            response.submission.report_slowness(&response.sender.server, slowness);
        }
        if !info.misdirected {
            response.submission.report_limit(&response.sender.server, info.limit);
        }
        if (info.not_run || info.misdirected) && !response.exchange.is_attributed() {
            let StartedResponse { submission, sender: Sender { server, .. }, sent, .. } = response;
            self.possible_runs += 1;
            submission.finish(Outcome::Failed);
            let why = "a refusal that may be that of an earlier request";
            self.log_send_failure(&server, (why, Duration::ZERO), Verdict::MayHaveRun, sent);
            self.avoid.push(server);
            return Err(may_have_run(RefusalReason::ServerFailed));
        }
        if info.not_run || info.misdirected {
            let StartedResponse { submission, sender: Sender { server, .. }, sent, .. } = response;
            let why = if info.misdirected { "another server has the address" } else { "full" };
            submission.finish(if info.misdirected { Outcome::NotSent } else { Outcome::Failed });
            self.log_send_failure(&server, (why, Duration::ZERO), Verdict::NotRun, sent);
            self.avoid.push(server);
            return Err(not_run(RefusalReason::Shed, Some(MIN_RETRY_AFTER)));
        }
        self.possible_runs += 1;
        if response.exchange.status().is_server_error() && self.may_resend() {
            self.observe(response.observed(), None);
            let StartedResponse {
                submission, sender: Sender { server, .. }, sent, exchange, ..
            } = response;
            let why = format!("the server answered {}", exchange.status().as_u16());
            submission.finish(Outcome::Cancelled);
            self.log_send_failure(&server, (&why, Duration::ZERO), Verdict::Ran, sent);
            self.avoid.push(server);
            return Err(may_have_run(RefusalReason::ServerFailed));
        }
        Ok(response)
    }

    /// Records what a server says about further requests.
    fn record_notice(&self, server: &ServerId, notice: Notice) {
        let mut restraints = self.frontend.restraints();
        if restraints.record(clock::since_boot(), &self.service, server, notice) {
            spdlog::info!(
                "requests are withheld from a server",
                kv: {
                    service = self.service.as_str(),
                    server = server.as_str(),
                    leaving = notice.leaving,
                    pause_ms = notice.pause.map_or(0, Span::as_millis)
                }
            );
        }
    }

    /// Returns when an attempt is given up: at the deadline of the request, or earlier if another
    /// server may be tried.
    fn attempt_deadline(&self) -> Instant {
        let can_retry =
            self.route.retry.is_retryable() && self.possible_runs + 1 < self.route.max_attempts;
        if !can_retry || self.is_hedge {
            return self.deadline;
        }
        let prompt = self.caller_request.tokens.map_or(0, |(prompt, _)| prompt);
        let prefill = Duration::from_millis(prompt / MIN_PREFILL_RATE);
        self.deadline
            .min(Instant::now() + self.route.target_latency * ATTEMPT_TIMEOUT_FACTOR + prefill)
    }

    fn request(
        &self,
        server: &ServerId,
        address: std::net::SocketAddr,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let last_event = last_event.or(self.caller_request.last_event);
        let account = self.account.as_ref().map(|a| &a.name);
        let info = ForwardInfo { server, account, remaining, last_event };
        let mut headers = self.frontend.dialect.server_headers(&self.head, info);
        if !headers.contains_key(http::header::HOST)
            && let Ok(host) = address.to_string().parse()
        {
            headers.insert(http::header::HOST, host);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = headers;
        request
    }

    /// Buffers a response that is not a stream and returns it once it is complete.
    async fn collect(
        &mut self,
        response: StartedResponse,
    ) -> Result<Response<Body>, RequestFailure> {
        let mut response = response;
        let read = async {
            let body = response.exchange.read(MAX_BUFFERED_BODY).await?;
            response.confirm_end(&self.frontend, self.deadline).await?;
            Ok(body)
        };
        let read = timeout_at(self.deadline.into(), read).await;
        let StartedResponse {
            exchange,
            submission,
            sent,
            sender: Sender { server, .. },
            slowness,
            ..
        } = response;
        let failed = exchange.status().is_server_error() || !matches!(read, Ok(Ok(_)));
        if failed || !exchange.status().is_client_error() {
            self.observe((&server, slowness), (!failed).then(|| Span::from(sent.elapsed())));
        }
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(failure)) => {
                if matches!(failure, Failure::Broken { .. }) {
                    submission.server_ended(&server);
                }
                submission.finish(Outcome::Failed);
                self.log_send_failure(
                    &server,
                    (&failure.to_string(), Duration::ZERO),
                    Verdict::MayHaveRun,
                    sent,
                );
                self.avoid.push(server);
                return Err(may_have_run(failure.reason()));
            }
            Err(_) => {
                submission.finish(Outcome::Failed);
                self.log_send_failure(
                    &server,
                    ("out of time", Duration::ZERO),
                    Verdict::MayHaveRun,
                    sent,
                );
                return Err(may_have_run(RefusalReason::Timeout));
            }
        };
        if exchange.ends_with_connection() {
            submission.answer_ended_early(&server);
        } else {
            submission.proved_sound();
        }
        let total = Span::from(sent.elapsed());
        let ok = !exchange.status().is_server_error();
        submission.finish(if ok {
            Outcome::Done { first: total, total, tokens: 0 }
        } else {
            Outcome::Cancelled
        });
        self.log_answer((&server, &exchange), 0, EventTimes::default());
        Ok(self.response(exchange.status(), exchange.headers(), full(body)))
    }

    pub(crate) fn response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Body,
    ) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers.clone();
        self.frontend.dialect.strip_hop_by_hop(response.headers_mut());
        response
    }

    /// Excludes a server from further sends of the request.
    pub(crate) fn avoid(&mut self, server: ServerId) {
        self.avoid.push(server);
    }

    /// Returns the timeout for the first event after the head of the response.
    pub(crate) fn first_event_timeout(&self) -> Duration {
        self.attempt_deadline().saturating_duration_since(Instant::now())
    }

    /// Creates a splitter for the stream that leaves out the events that the caller already has.
    pub(crate) fn events(&self) -> EventSplitter {
        EventSplitter::resume_after(self.caller_request.last_event)
    }

    /// Waits until the deadline of a request.
    pub(crate) async fn wait_until(deadline: Instant) {
        sleep_until(deadline.into()).await;
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
