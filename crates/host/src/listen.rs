//! The listener towards operators and backend servers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    dialect::{Decoded, Dialect, Endpoint, RejectedCall},
    thread::Handle,
};

/// Longest accepted body in bytes: a plan of many thousand routes.
const MAX_BODY: usize = 64 << 20;
/// Longest time for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers calls until the process ends.
pub(crate) struct Desk {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) handle: Handle,
    pub(crate) port: u16,
}

impl Desk {
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                Err(error) => {
                    spdlog::warn!("connection not accepted", kv: { error = error.to_string() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Answers are small; without this they wait for the caller's acknowledgements.
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let desk = Arc::clone(&self);
            async move { Ok::<_, Infallible>(desk.answer(request).await) }
        });
        // A caller that goes away has no answer coming.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let why = format!("the body cannot be read: {error}");
                return self.refuse(&head, &RejectedCall { status: StatusCode::BAD_REQUEST, why });
            }
        };
        match self.dialect.decode(&head.method, &head.uri, &body) {
            Ok(Decoded::Call(call)) => {
                let answer = self.handle.call(call).await;
                let site = Endpoint { port: self.port, path: head.uri.path() };
                let response = self.dialect.encode(&answer, site);
                if !response.status().is_success() {
                    let (path, status) = (head.uri.path(), response.status().as_u16());
                    spdlog::info!(
                        "call not answered here",
                        kv: { path, method = head.method.as_str(), status, answer = format!("{answer:?}") }
                    );
                }
                response
            }
            Ok(Decoded::Ignored(why)) => {
                spdlog::warn!("announcement ignored", kv: { path = head.uri.path(), why });
                self.dialect.encode(
                    &keeper::Answer::Done { version: 0 },
                    Endpoint { port: self.port, path: "" },
                )
            }
            Err(refusal) => self.refuse(&head, &refusal),
        }
    }

    fn refuse(&self, head: &http::request::Parts, refusal: &RejectedCall) -> Response<Full<Bytes>> {
        let (path, method) = (head.uri.path(), head.method.as_str());
        let (status, why) = (refusal.status.as_u16(), refusal.why.as_str());
        spdlog::warn!("call refused", kv: { path, method, status, why });
        self.dialect.refuse(refusal)
    }
}
