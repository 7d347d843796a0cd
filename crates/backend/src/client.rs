//! Connections to backend servers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderName, Request};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::{exchange::Exchange, failure::Failure};

/// Header that carries the request's id to the backend server, which may echo it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Idle connections kept for each backend server.
const MAX_IDLE: usize = 64;
/// Time for which sent bytes may stay unacknowledged before the connection counts as broken: many
/// round trips within a region.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which a connection is probed, and interval of the probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const MAX_PROBES: u32 = 2;

pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Longest waits for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a connection.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub head: Duration,
    /// Between two pieces of the answer.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            head: Duration::from_mins(1),
            idle: Duration::from_secs(30),
        }
    }
}

/// Sends requests to backend servers.
#[derive(Clone, Debug)]
pub struct Client {
    timeouts: Timeouts,
    idle: Idle,
}

/// Connections that can be used again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Idle(Arc<Mutex<HashMap<SocketAddr, Vec<Kept>>>>);

/// A connection without an exchange, and until when the server keeps it, if it said so.
#[derive(Debug)]
struct Kept {
    connection: Connection,
    until: Option<Instant>,
}

impl Idle {
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let connections = idle.get_mut(&address)?;
        while let Some(Kept { connection, until }) = connections.pop() {
            if connection.is_ready() && until.is_none_or(|until| now < until) {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&self, address: SocketAddr, connection: Connection, keep: Option<Duration>) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let connections = idle.entry(address).or_default();
        connections
            .retain(|k| !k.connection.is_closed() && k.until.is_none_or(|until| now < until));
        if connections.len() < MAX_IDLE {
            connections.push(Kept { connection, until: keep.map(|keep| now + keep) });
        }
    }
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self { timeouts, idle: Idle::default() }
    }

    /// Sends a request, once, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] only if no byte of the request was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        // A connection can close between being taken and being used. hyper then hands the
        // request back unwritten, and only then may it be written to another connection.
        while let Some(connection) = self.idle.take(address) {
            match self.send_on(connection, address, id, request).await {
                Ok(result) => return result,
                Err(unwritten) => request = unwritten,
            }
        }
        let connection = self.connect(address).await?;
        match self.send_on(connection, address, id, request).await {
            Ok(result) => result,
            Err(_) => Err(Failure::NotSent { why: "the connection closed at once".into() }),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Failure> {
        let not_sent = |why: String| Failure::NotSent { why };
        let stream = timeout(self.timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("connecting took too long".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        watch_path(&stream).map_err(|e| not_sent(e.to_string()))?;
        let (connection, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))?;
        tokio::spawn(async move {
            // Errors reach whoever uses the connection.
            let _ = driver.await;
        });
        Ok(connection)
    }

    /// Sends on one connection; the request comes back if no byte of it was written.
    async fn send_on(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Exchange, Failure>, Request<Full<Bytes>>> {
        if connection.ready().await.is_err() {
            return Err(request);
        }
        let answer = timeout(self.timeouts.head, connection.try_send_request(request)).await;
        let response = match answer {
            Err(_) => return Ok(Err(Failure::Timeout)),
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(request) => Err(request),
                    None => Ok(Err(Failure::Broken { why: error.into_error().to_string() })),
                };
            }
            Ok(Ok(response)) => response,
        };
        let idle = self.idle.clone();
        let exchange = Exchange::new(response, connection, address, idle, self.timeouts.idle);
        Ok(exchange.checked(id))
    }
}

/// Lets the connection break when its path goes silent without a reset.
fn watch_path(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}
