//! The HTTP listener for operators and backend servers.
//!
//! It reads requests within fixed limits, decodes them with the [`Dialect`], and passes calls to
//! the control thread. Calls that are rejected, ignored, or answered with a status other than
//! success are logged.

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use budget::{CollectError, Permit};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use keeper::{Answer, Call};
use logs::Repeats;
use rollout::Order;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    client_limits::{Admitted, ClientLimits, GuardedBody},
    dialect::{Decoded, Dialect, Endpoint, RejectedCall},
    thread::Handle,
};

/// Timeout for the body of a call once its head has arrived. A body of 64 MiB takes 54 s on a link of
/// 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);
/// Size of a head that is allowed, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Size of a body above which one call is decoded at a time: a decoded plan is several times as large
/// as its document.
const LARGE_CALL: usize = 256 << 10;
/// Time after which a caller may repeat a call that was refused for lack of memory. Bodies that
/// stall have yielded by then.
const RETRY_AFTER: &str = "1";
/// Timeout for reading the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of bytes of a path that are logged for an ignored announcement.
const MAX_LOGGED_PATH: usize = 160;
/// Delay after a failed accept, which can be due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves calls of operators and backend servers until the process ends.
pub(crate) struct CallListener {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) handle: Handle,
    pub(crate) port: u16,
    /// The paths whose ignored announcements were logged.
    pub(crate) ignored: Mutex<Repeats>,
    pub(crate) client_limits: Arc<ClientLimits>,
    /// Held while a large call is decoded.
    pub(crate) decoding: tokio::sync::Mutex<()>,
}

impl CallListener {
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, client)) => {
                    if let Some(admitted) = self.client_limits.admit(stream, client, MAX_HEAD) {
                        tokio::spawn(Arc::clone(&self).serve(admitted, client.ip()));
                    }
                }
                Err(error) => {
                    spdlog::warn!("failed to accept a connection", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, admitted: Admitted, client: IpAddr) {
        let Admitted { stream, permit, buffer } = admitted;
        let (listener, held) = (Arc::clone(&self), permit.clone());
        let service = service_fn(move |request| {
            let (listener, permit) = (Arc::clone(&listener), held.clone());
            async move {
                let response = listener.answer(request, client, &permit).await;
                Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, &permit)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(buffer)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // After an error there is no connection left on which to answer.
            _ = connection => {}
            () = permit.closed() => self.client_limits.connection_closed(client),
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        client: IpAddr,
        permit: &Permit,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        if !permit.begin() {
            return self.refuse_for_memory(client);
        }
        let (limit, reservation) =
            (self.client_limits.limits().call, self.client_limits.open_body(client));
        let rejected = match timeout(BODY_TIMEOUT, budget::collect(body, reservation, limit)).await
        {
            Ok(Ok(body)) if permit.serve() => return self.answer_call(&head, &body).await,
            Ok(Ok(_) | Err(CollectError::NoMemory(_))) => return self.refuse_for_memory(client),
            Ok(Err(CollectError::TooLong)) => RejectedCall {
                status: StatusCode::PAYLOAD_TOO_LARGE,
                why: format!("the body is longer than {limit} bytes"),
            },
            Ok(Err(CollectError::Broken(error))) => RejectedCall {
                status: StatusCode::BAD_REQUEST,
                why: format!("the body cannot be read: {error}"),
            },
            Err(_) => RejectedCall {
                status: StatusCode::REQUEST_TIMEOUT,
                why: "the body did not arrive in time".into(),
            },
        };
        self.client_limits.call_unread(client, &rejected.why);
        self.dialect.refuse(&rejected)
    }

    /// Refuses a call that has not run and will not. The caller may repeat it.
    fn refuse_for_memory(&self, client: IpAddr) -> Response<Full<Bytes>> {
        self.client_limits.body_refused(client);
        let why = "no memory for the body of the call".into();
        let rejected = RejectedCall { status: StatusCode::SERVICE_UNAVAILABLE, why };
        let mut response = self.dialect.refuse(&rejected);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER));
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        response
    }

    async fn answer_call(
        &self,
        head: &http::request::Parts,
        body: &Bytes,
    ) -> Response<Full<Bytes>> {
        let decoded = {
            let _turn =
                if body.len() > LARGE_CALL { Some(self.decoding.lock().await) } else { None };
            self.dialect.decode(&head.method, &head.uri, body)
        };
        match decoded {
            Ok(Decoded::Call(call)) => {
                let answer = self.handle.call(call).await;
                self.encode(head, &answer)
            }
            Ok(Decoded::Order(order)) => {
                let answer = self.start_rollout(order).await;
                self.encode(head, &answer)
            }
            Ok(Decoded::Ignored(why)) => {
                self.log_ignored(head.uri.path(), &why);
                self.dialect
                    .encode(&Answer::Done { version: 0 }, Endpoint { port: self.port, path: "" })
            }
            Err(rejected) => self.refuse(head, &rejected),
        }
    }

    /// Starts a rollout, with the information whether the plan in force has the service. The answer is
    /// that of the read if this VM does not lead.
    async fn start_rollout(&self, order: Order) -> Answer {
        match self.handle.call(Call::Read).await {
            Answer::Document { document, .. } => {
                let is_listed = self.dialect.has_service(&document, &order.service);
                self.handle.call(Call::StartRollout { order, is_listed }).await
            }
            answer => answer,
        }
    }

    fn encode(&self, head: &http::request::Parts, answer: &Answer) -> Response<Full<Bytes>> {
        let endpoint = Endpoint { port: self.port, path: head.uri.path() };
        let response = self.dialect.encode(answer, endpoint);
        if !response.status().is_success() {
            let (path, status) = (head.uri.path(), response.status().as_u16());
            spdlog::info!(
                "call answered with a status other than success",
                kv: { path, method = head.method.as_str(), status, answer = format!("{answer:?}") }
            );
        }
        response
    }

    /// Logs an ignored announcement, once in a while for each path: a server may repeat it several
    /// times a second.
    fn log_ignored(&self, path: &str, why: &str) {
        let path = &path[..path.floor_char_boundary(MAX_LOGGED_PATH)];
        let mut ignored = self.ignored.lock().unwrap_or_else(PoisonError::into_inner);
        if ignored.is_due(path, Instant::now()) {
            spdlog::warn!("announcement ignored", kv: { path, why });
        }
    }

    fn refuse(
        &self,
        head: &http::request::Parts,
        rejected: &RejectedCall,
    ) -> Response<Full<Bytes>> {
        let (path, method) = (head.uri.path(), head.method.as_str());
        let (status, why) = (rejected.status.as_u16(), rejected.why.as_str());
        spdlog::warn!("call refused", kv: { path, method, status, why });
        self.dialect.refuse(rejected)
    }
}
