//! One request, from its head to the end of its answer.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use backend::{Exchange, Failure};
use broker::LateLimits;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use meters::Op;
use model::{Outcome, RefusalReason, ServerId, ServiceName, Span, Ticket, Tier, Verdict};
use routing::{Account, Route};
use tokio::time::{sleep_until, timeout, timeout_at};

use crate::{
    desk::{Charge, Verdicted, Want},
    dialect::{CallerRequest, ForwardInfo, RequestFailure},
    events::Events,
    gate::{Admitted, Gate, may_have_run, not_run},
    stream::Progress,
    thread::Claim,
};

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Longest answer that is collected before it is passed on, in bytes. Until then a failure of the
/// server can still be told as such, or made up for by another server.
const MAX_COLLECTED: usize = 16 << 20;
/// Longest time for the rest of a body whose head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Most sends of one request, with those that were certainly not run.
const MAX_SENDS: u32 = 6;
/// Least wait that a refused caller is told: the time in which a VM that was just started or cut
/// off is usually able to serve again, and a queue has moved on.
const MIN_RETURN: Duration = Duration::from_millis(800);
/// Multiple of the aim after which an answer that another server could give is given up.
const GIVE_UP_AIMS: u32 = 2;
/// Multiple of the aim for which a request that is late waits for a server.
const LATE_AIMS: u32 = 3;
/// Multiple of the largest useful pause for which a request that is sent again waits for a server.
const RESEND_GAPS: u32 = 4;
/// Prompt tokens that the slowest server in use reads in a millisecond, for the same purpose.
const SLOWEST_PREFILL: u64 = 10;
/// Tokens assumed for a prompt and an answer that do not say.
const PLAIN_TOKENS: (u64, u64) = (1, 1);

/// A request that was let in, while it is served.
pub(crate) struct Job {
    pub(crate) gate: Arc<Gate>,
    pub(crate) id: String,
    head: request::Parts,
    asked: CallerRequest,
    body: Bytes,
    pub(crate) route: Arc<Route>,
    account: Option<Arc<Account>>,
    service: ServiceName,
    tier: Tier,
    plan: u64,
    pub(crate) started: Instant,
    pub(crate) until: Instant,
    avoid: Vec<ServerId>,
    sends: u32,
    /// Sends that may have reached a server.
    arrivals: u32,
    /// Sends after which the request may have run.
    runs: u32,
    charged: bool,
}

/// An answer whose head and, for streams, first events have arrived.
pub(crate) struct Begun {
    pub(crate) exchange: Exchange,
    pub(crate) claim: Claim,
    pub(crate) sent: Instant,
    pub(crate) server: ServerId,
}

/// Serves one request.
pub(crate) async fn forward(gate: Arc<Gate>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let asked = match gate.dialect.parse_request(&head) {
        Ok(asked) => asked,
        Err(why) => {
            spdlog::info!("request not understood", kv: { why });
            return fail(&gate, "", &not_run(RefusalReason::BadRequest, None));
        }
    };
    let id = asked.id.clone();
    gate.planned(asked.timeout).await;
    let admitted = match gate.admit(&head, &asked) {
        Ok(admitted) => admitted,
        Err(failing) => return fail(&gate, &id, &failing),
    };
    let limit = admitted.plan.limits().body_bytes;
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return fail(&gate, &id, &not_run(RefusalReason::TooLarge, None));
        }
        Ok(Err(_)) | Err(_) => {
            return fail(&gate, &id, &not_run(RefusalReason::BadRequest, None));
        }
    };
    Job::new(gate, (head, asked, body), admitted, started).run().await
}

impl Job {
    fn new(
        gate: Arc<Gate>,
        (head, asked, body): (request::Parts, CallerRequest, Bytes),
        admitted: Admitted,
        started: Instant,
    ) -> Self {
        let Admitted { plan, route, account } = admitted;
        let patience = asked.timeout.unwrap_or(route.timeout).min(route.timeout);
        let service = route.service(&asked.id).clone();
        Self {
            id: asked.id.clone(),
            service,
            tier: plan.tier(&route, account.as_deref()),
            plan: plan.version(),
            until: started + patience,
            started,
            avoid: Vec::new(),
            sends: 0,
            arrivals: 0,
            runs: 0,
            charged: false,
            gate,
            head,
            asked,
            body,
            route,
            account,
        }
    }

    async fn run(mut self) -> Response<Body> {
        loop {
            let failing = match self.send(None).await {
                Ok(begun)
                    if self.route.retry.is_stream() && begun.exchange.status().is_success() =>
                {
                    match self.stream(begun).await {
                        Ok(response) => return response,
                        Err((job, failing)) => {
                            self = *job;
                            failing
                        }
                    }
                }
                Ok(begun) => match self.collect(begun).await {
                    Ok(response) => return response,
                    Err(failing) => failing,
                },
                Err(failing) => return fail(&self.gate, &self.id, &failing),
            };
            if !self.may_repeat() {
                let failing = self.final_word(failing);
                return fail(&self.gate, &self.id, &failing);
            }
        }
    }

    /// Whether a request that may have run can be sent to one more server.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.retry.is_retryable()
            && self.runs < self.route.max_attempts
            && self.sends < MAX_SENDS
            && Instant::now() < self.until
    }

    /// What is told of a request that is given up: never that it has not run if an earlier send
    /// may have run.
    fn final_word(&self, failing: RequestFailure) -> RequestFailure {
        if self.runs > 0 && failing.verdict == Verdict::NotRun {
            return may_have_run(failing.reason);
        }
        failing
    }

    /// Sends the request to one server after another until one begins to answer, as long as it
    /// certainly has not run.
    pub(crate) async fn send(&mut self, after: Option<u64>) -> Result<Begun, RequestFailure> {
        loop {
            let (claim, server, address) = match self.place().await {
                Ok(granted) => granted,
                Err(failing) => return Err(self.final_word(failing)),
            };
            match self.send_to(claim, server, address, after).await {
                Ok(begun) => return Ok(begun),
                Err(failing) => {
                    let again = match failing.verdict {
                        Verdict::NotRun => self.sends < MAX_SENDS && Instant::now() < self.until,
                        Verdict::MayHaveRun | Verdict::Ran => self.may_repeat(),
                    };
                    if !again {
                        return Err(self.final_word(failing));
                    }
                }
            }
        }
    }

    /// Asks the desk for a server.
    async fn place(&mut self) -> Result<(Claim, ServerId, std::net::SocketAddr), RequestFailure> {
        // A server that could not be connected to has not seen the request.
        let again = self.arrivals > 0;
        let want = Want {
            ticket: self.ticket(),
            avoid: self.avoid.clone(),
            late: self.late(),
            charge: self.charge(),
            again,
        };
        let asked_at = Instant::now();
        let mut claim = self.gate.handle.submit(want);
        let decided = timeout_at(self.until.into(), claim.decided()).await;
        let waited = millis(asked_at.elapsed());
        match decided {
            Ok(Some(Verdicted::Granted { server, address })) => {
                spdlog::info!(
                    "request granted",
                    kv: {
                        id = self.id.as_str(),
                        service = self.service.as_str(),
                        server = server.as_str(),
                        tier = u8::from(self.tier),
                        send = self.sends,
                        waited_ms = waited,
                        plan = self.plan
                    }
                );
                Ok((claim, server, address))
            }
            Ok(Some(Verdicted::Refused { reason, retry })) => {
                spdlog::info!(
                    "request not placed",
                    kv: {
                        id = self.id.as_str(),
                        service = self.service.as_str(),
                        tier = u8::from(self.tier),
                        reason = reason.code(),
                        account = self.account_name().as_str(),
                        predicted_ms = retry.map_or(0, Span::as_millis),
                        waited_ms = waited,
                        plan = self.plan
                    }
                );
                Err(not_run(reason, Some(self.return_after(retry))))
            }
            Ok(None) => Err(not_run(RefusalReason::Stopping, Some(MIN_RETURN))),
            Err(_) => Err(not_run(RefusalReason::Shed, None)),
        }
    }

    fn ticket(&self) -> Ticket {
        let (prompt, most) = self.asked.tokens.unwrap_or(PLAIN_TOKENS);
        let answer = self.asked.length_hint.unwrap_or(most);
        let left = self.until.saturating_duration_since(Instant::now());
        let aim =
            (self.started + self.route.target_latency).saturating_duration_since(Instant::now());
        let short = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Ticket {
            request: self.gate.next_id(),
            account: self.account_name(),
            service: self.service.clone(),
            tier: self.tier,
            budget: Span::from(aim.min(left)),
            prompt: short(prompt),
            answer: short(answer),
            prefix: 0,
            cancellable: false,
        }
    }

    /// When a refused caller should come back. Answers to a crest of a few seconds: after twice the
    /// predicted wait the crest is likely over, and callers refused together return spread over
    /// half of that time. A caller waits no longer than a third of the time that it has left.
    fn return_after(&self, predicted: Option<Span>) -> Duration {
        let left = self.until.saturating_duration_since(Instant::now()) / 3;
        let wait = Duration::from(predicted.unwrap_or(Span::ZERO)) * 2;
        let wait = wait.clamp(MIN_RETURN, left.max(MIN_RETURN));
        wait.mul_f64(0.75 + rand::random::<f64>() / 2.0)
    }

    /// How the request is served when it is late: streams until a caller would give up an answer
    /// that has not begun, others while half of the time is left.
    fn late(&self) -> LateLimits {
        let whole = self.until.saturating_duration_since(Instant::now());
        let patience = (self.until - self.started) / 2;
        let wait = patience.min(self.route.target_latency * LATE_AIMS);
        let wait = (self.started + wait).saturating_duration_since(Instant::now());
        // What was sent before is worth a pause that a caller of a stream bears.
        let wait =
            if self.sends > 0 { wait.max(self.route.target_gap * RESEND_GAPS) } else { wait };
        let pause =
            if self.route.retry.is_stream() { self.route.target_gap } else { Duration::ZERO };
        LateLimits {
            wait: Span::from(wait.min(whole)),
            whole: Span::from(whole),
            pause: Span::from(pause),
        }
    }

    fn account_name(&self) -> model::AccountName {
        let name = self.account.as_ref().map(|a| a.name.clone());
        name.unwrap_or_else(model::AccountName::public)
    }

    /// What the request takes of its account's quota; nothing when it is sent again.
    fn charge(&mut self) -> Option<Charge> {
        if std::mem::replace(&mut self.charged, true) {
            return None;
        }
        let account = self.account.as_ref()?;
        let quota = account.quota?;
        let tokens = self.asked.tokens.map(|(prompt, answer)| prompt + answer);
        Some(Charge { account: account.name.clone(), quota, units: quota.units(tokens) })
    }

    async fn send_to(
        &mut self,
        claim: Claim,
        server: ServerId,
        address: std::net::SocketAddr,
        after: Option<u64>,
    ) -> Result<Begun, RequestFailure> {
        self.sends += 1;
        let sent = Instant::now();
        let request = self.request(&server, address, after);
        let until = self.give_up_at();
        self.gate.meters.count(Op::Dispatched);
        if self.sends > 1 {
            self.gate.meters.count(Op::SentAgain);
        }
        let result =
            timeout_at(until.into(), self.gate.client.send(address, &self.id, request)).await;
        let is_unsent = matches!(&result, Ok(Err(Failure::NotSent { .. })));
        self.arrivals += u32::from(!is_unsent);
        let failure = match result {
            Ok(Ok(exchange)) => {
                let begun = Begun { exchange, claim, sent, server };
                return self.begin(begun);
            }
            Ok(Err(failure)) => failure,
            Err(_) => Failure::Timeout,
        };
        let verdict = failure.verdict();
        let outcome = if verdict == Verdict::NotRun { Outcome::NotSent } else { Outcome::Failed };
        claim.finish(outcome);
        self.runs += u32::from(verdict != Verdict::NotRun);
        self.note_failure(&server, &failure.to_string(), verdict, sent);
        self.avoid.push(server);
        Err(if verdict == Verdict::NotRun {
            not_run(failure.reason(), Some(MIN_RETURN))
        } else {
            may_have_run(failure.reason())
        })
    }

    /// Takes the head of an answer.
    fn begin(&mut self, begun: Begun) -> Result<Begun, RequestFailure> {
        let mut head = Response::new(()).into_parts().0;
        head.status = begun.exchange.status();
        head.headers = begun.exchange.headers().clone();
        let returned = self.gate.dialect.parse_response(&head);
        if let Some(slowness) = returned.slowness {
            begun.claim.report(&begun.server, slowness);
        }
        if returned.not_run || returned.misdirected {
            let Begun { claim, server, sent, .. } = begun;
            let why = if returned.misdirected { "another server has the address" } else { "full" };
            claim.finish(if returned.misdirected { Outcome::NotSent } else { Outcome::Failed });
            self.note_failure(&server, why, Verdict::NotRun, sent);
            self.avoid.push(server);
            return Err(not_run(RefusalReason::Shed, Some(MIN_RETURN)));
        }
        self.runs += 1;
        if begun.exchange.status().is_server_error() && self.may_repeat() {
            let Begun { claim, server, sent, exchange } = begun;
            let why = format!("the server answered {}", exchange.status().as_u16());
            claim.finish(Outcome::Cancelled);
            self.note_failure(&server, &why, Verdict::Ran, sent);
            self.avoid.push(server);
            return Err(may_have_run(RefusalReason::ServerFailed));
        }
        Ok(begun)
    }

    pub(crate) fn note_failure(
        &self,
        server: &ServerId,
        why: &str,
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
                after_ms = millis(sent.elapsed())
            }
        );
    }

    /// When a send is given up: at the end of the request's time, or sooner if another server may
    /// be tried.
    fn give_up_at(&self) -> Instant {
        let repeats = self.route.retry.is_retryable() && self.runs + 1 < self.route.max_attempts;
        if !repeats {
            return self.until;
        }
        let prompt = self.asked.tokens.map_or(0, |(prompt, _)| prompt);
        let prefill = Duration::from_millis(prompt / SLOWEST_PREFILL);
        self.until.min(Instant::now() + self.route.target_latency * GIVE_UP_AIMS + prefill)
    }

    fn request(
        &self,
        server: &ServerId,
        address: std::net::SocketAddr,
        after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let left = self.until.saturating_duration_since(Instant::now());
        let after = after.or(self.asked.last_event);
        let account = self.account.as_ref().map(|a| &a.name);
        let outgoing = ForwardInfo { server, account, remaining: left, last_event: after };
        let mut headers = self.gate.dialect.server_headers(&self.head, outgoing);
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

    /// Passes on an answer that is not a stream, once it is whole.
    async fn collect(&mut self, begun: Begun) -> Result<Response<Body>, RequestFailure> {
        let Begun { mut exchange, claim, sent, server } = begun;
        let read = timeout_at(self.until.into(), exchange.read(MAX_COLLECTED)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(failure)) => {
                claim.finish(Outcome::Failed);
                self.note_failure(&server, &failure.to_string(), Verdict::MayHaveRun, sent);
                self.avoid.push(server);
                return Err(may_have_run(failure.reason()));
            }
            Err(_) => {
                claim.finish(Outcome::Failed);
                self.note_failure(&server, "out of time", Verdict::MayHaveRun, sent);
                return Err(may_have_run(RefusalReason::Timeout));
            }
        };
        let total = Span::from(sent.elapsed());
        let ok = !exchange.status().is_server_error();
        claim.finish(if ok {
            Outcome::Done { first: total, total, tokens: 0 }
        } else {
            Outcome::Cancelled
        });
        self.note_end(&server, exchange.status(), 0, Progress::default());
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
        self.gate.dialect.strip_hop_by_hop(response.headers_mut());
        response
    }

    pub(crate) fn note_end(
        &self,
        server: &ServerId,
        status: StatusCode,
        events: u32,
        progress: Progress,
    ) {
        self.gate.meters.count(Op::Answered);
        let total = self.started.elapsed();
        let first = progress.first.map_or(total, |first| first - self.started);
        spdlog::info!(
            "request answered",
            kv: {
                id = self.id.as_str(),
                server = server.as_str(),
                status = status.as_u16(),
                events,
                sends = self.sends,
                tier = u8::from(self.tier),
                prompt = self.asked.tokens.map_or(0, |(prompt, _)| prompt),
                first_ms = millis(first),
                pause_ms = millis(progress.pause),
                total_ms = millis(total)
            }
        );
    }

    /// Does not send the request to this server again.
    pub(crate) fn avoid(&mut self, server: ServerId) {
        self.avoid.push(server);
    }

    /// Longest wait for the first event after the head of the answer.
    pub(crate) fn first_stall(&self) -> Duration {
        self.give_up_at().saturating_duration_since(Instant::now())
    }

    /// Events of the stream, after those that the caller has.
    pub(crate) fn events(&self) -> Events {
        Events::after(self.asked.last_event)
    }

    /// The end of the time that the request has.
    pub(crate) async fn out_of_time(until: Instant) {
        sleep_until(until.into()).await;
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A body that is known as a whole.
pub(crate) fn full(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}

/// Answers a request that no server answers.
pub(crate) fn fail(gate: &Gate, id: &str, failing: &RequestFailure) -> Response<Body> {
    gate.meters.refused(failing.reason);
    spdlog::info!(
        "request failed",
        kv: {
            id,
            status = failing.status.as_u16(),
            reason = failing.reason.code(),
            verdict = format!("{:?}", failing.verdict),
            retry_ms = failing.retry_after.map_or(0, millis),
            plan_age_ms = gate.plan_age().as_millis()
        }
    );
    gate.dialect
        .failure_response(id, failing)
        .map(|body| body.map_err(|never| match never {}).boxed_unsync())
}
