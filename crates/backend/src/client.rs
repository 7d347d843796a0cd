//! The client and its pool of idle connections.
//!
//! [`Client::send`] takes an idle connection to the backend server or opens a new one, and returns
//! an [`Exchange`] once the head of the response has arrived. The exchange returns the connection
//! to the pool after the response was read to the end.

use std::{
    collections::HashMap,
    error::Error,
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

use crate::{
    exchange::Exchange,
    failure::Failure,
    limits::{BodyCount, Buffered, HeadAllowance, LimitedStream, MAX_HEAD, counted_piece},
};

/// Header that carries the request's id to the backend server.
///
/// A server may echo it; a response that echoes another id fails with [`Failure::IdMismatch`].
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Maximum number of idle connections to each backend server.
const MAX_IDLE: usize = 64;
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection. It
/// covers many round trips within a region.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without traffic after which TCP keepalive probes a connection, and interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which a connection that was opened without a request may be used. The server has not
/// said yet when it closes idle ones.
const UNUSED_LIFETIME: Duration = Duration::from_secs(1);

/// Timeout of a health call. A path on which nothing is acknowledged for [`UNACKED_TIMEOUT`] is broken,
/// and a process that is alive replies at once.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The sending half of an HTTP/1 connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: HeadAllowance,
    /// When it was open.
    pub(crate) opened: Instant,
    /// Whether a response was received on it.
    pub(crate) is_used: bool,
    /// Whether one of these echoed the id of its request.
    pub(crate) has_echoes: bool,
}

impl Connection {
    /// Waits until the last exchange has ended. Returns whether the connection is open.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Timeouts for the exchange with a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout from sending the request to the arrival of the response head.
    pub head: Duration,
    /// Timeout for each further piece of the response body.
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

/// Sends requests to backend servers. Clones share the pool of idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) timeouts: Timeouts,
    pub(crate) pool: IdlePool,
    pub(crate) buffered: Buffered,
}

/// Idle connections that can be reused, by address of the backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdlePool(Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>);

/// A connection without an exchange.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Since when it has been idle.
    since: Instant,
    /// Time after which the connection is not reused. `None` if the server announced no timeout.
    expires: Option<Instant>,
}

impl IdlePool {
    /// Removes a connection that is open and has not expired.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let connections = pool.get_mut(&address)?;
        while let Some(IdleConnection { connection, expires, .. }) = connections.pop() {
            if connection.sender.is_ready() && expires.is_none_or(|expires| now < expires) {
                return Some(connection);
            }
        }
        None
    }

    /// Removes a connection that is open, has not expired, and is selected by `is_suitable` from the
    /// times at which it was opened and became idle.
    pub(crate) fn take_where(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(Instant, Instant) -> bool,
    ) -> Option<Connection> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let connections = pool.get_mut(&address)?;
        let found = connections.iter().rposition(|c| {
            c.connection.sender.is_ready()
                && c.expires.is_none_or(|expires| now < expires)
                && is_suitable(c.connection.opened, c.since)
        })?;
        Some(connections.remove(found).connection)
    }

    /// Adds a connection that may be reused for `lifetime`, unless [`MAX_IDLE`] connections to the
    /// server are idle. Closed and expired connections to the server are removed first.
    fn put(&self, address: SocketAddr, connection: Connection, lifetime: Option<Duration>) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let connections = pool.entry(address).or_default();
        connections.retain(|c| {
            !c.connection.sender.is_closed() && c.expires.is_none_or(|expires| now < expires)
        });
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection {
                connection,
                since: now,
                expires: lifetime.map(|lifetime| now + lifetime),
            });
        }
    }

    /// Adds a connection once it is ready for a request.
    pub(crate) async fn release(
        self,
        address: SocketAddr,
        mut connection: Connection,
        lifetime: Option<Duration>,
    ) {
        if connection.is_reusable().await {
            self.put(address, connection, lifetime);
        }
    }
}

impl Client {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self { timeouts, pool: IdlePool::default(), buffered: Buffered::default() }
    }

    /// Sets the number of bytes of all buffered bodies, 64 MiB by default. A body counts from its
    /// first byte until the last clone of its bytes is dropped. Bodies of up to 64 KiB may exceed the
    /// number by a quarter.
    #[must_use]
    pub fn with_buffer_limit(mut self, bytes: usize) -> Self {
        self.buffered = Buffered::new(bytes);
        self
    }

    /// Counts bytes that a reader of a body collects itself, none at first.
    #[must_use]
    pub fn count_bytes(&self) -> BodyCount {
        self.buffered.count()
    }

    /// Counts a piece of a body that is queued like a buffered body, until the last clone of the
    /// result is dropped. Returns `None` if the limit on all buffered bodies is reached.
    #[must_use]
    pub fn count_piece(&self, bytes: &Bytes) -> Option<Bytes> {
        counted_piece(&self.buffered, bytes)
    }

    /// Returns the number of bytes of response bodies that are buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.bytes()
    }

    /// Sends a request at most once and waits for the head of the response.
    ///
    /// `id` is the value that the response may echo in [`REQUEST_ID`]. The header of the request
    /// itself is set by the caller.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] only if no byte of the request was written. Any other error
    /// means that the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        // A connection can close after it was taken from the pool and before it is used. hyper then
        // returns the unwritten request, and only then may it be sent on another connection.
        while let Some(connection) = self.pool.take(address) {
            match self.send_on(connection, address, id, request).await {
                Ok(result) => return result,
                Err(unwritten) => request = unwritten,
            }
        }
        let connection = self.connect(address).await.map_err(|why| Failure::NotSent { why })?;
        match self.send_on(connection, address, id, request).await {
            Ok(result) => result,
            Err(_) => Err(Failure::NotSent { why: "the connection closed at once".into() }),
        }
    }

    /// Makes a connection that brought no response available to requests.
    pub(crate) fn release_unused(&self, address: SocketAddr, connection: Connection) {
        tokio::spawn(self.pool.clone().release(address, connection, Some(UNUSED_LIFETIME)));
    }

    /// Sends a health call on a connection. Returns the response, whose body is not read yet, or `None`
    /// if there is no valid one in time. A response that echoes an id on a connection that was used is
    /// that to an earlier request.
    pub(crate) async fn probe(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<Exchange> {
        let response = async {
            if !connection.is_reusable().await {
                return None;
            }
            connection.allowance.start();
            connection.sender.try_send_request(request).await.ok()
        };
        let response = timeout(PROBE_TIMEOUT, response).await.ok()??;
        if connection.is_used && response.headers().contains_key(REQUEST_ID) {
            return None;
        }
        connection.allowance.end();
        connection.is_used = true;
        Exchange::new(response, connection, address, self).ok()
    }

    /// Opens a connection and spawns the task that drives it.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let stream = timeout(self.timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| "connecting took too long".to_owned())?
            .map_err(|e| e.to_string())?;
        let opened = Instant::now();
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        detect_broken_path(&stream).map_err(|e| e.to_string())?;
        let allowance = HeadAllowance::unlimited();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::spawn(async move {
            // The sending half reports the same errors to its user.
            let _ = driver.await;
        });
        Ok(Connection { sender, allowance, opened, is_used: false, has_echoes: false })
    }

    /// Sends a request on one connection. Returns the request as the outer error if no byte of it
    /// was written, so that it may be sent on another connection.
    async fn send_on(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Exchange, Failure>, Request<Full<Bytes>>> {
        if !connection.is_reusable().await {
            return Err(request);
        }
        connection.allowance.start();
        let sent = Instant::now();
        let result = timeout(self.timeouts.head, connection.sender.try_send_request(request)).await;
        let response = match result {
            Err(_) => return Ok(Err(Failure::Timeout)),
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(request) => Err(request),
                    None => Ok(Err(Failure::Broken { why: describe(&error.into_error()) })),
                };
            }
            Ok(Ok(response)) => response,
        };
        connection.allowance.end();
        let exchange = Exchange::new(response, connection, address, self);
        let exchange = exchange.and_then(|exchange| exchange.check_id(id));
        Ok(exchange.map(|exchange| exchange.watch(sent)))
    }
}

/// Returns the text of an error with its cause, which hyper's own text leaves out.
pub(crate) fn describe(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// Sets the user timeout and keepalive of a socket, so that the kernel closes the connection when
/// the network path fails without a reset.
fn detect_broken_path(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
