//! One response of a backend server, read piece by piece.
//!
//! An [`Exchange`] owns its connection until the response was read to the end. Then it returns the
//! connection to the pool of the client.

use std::{
    fmt,
    net::SocketAddr,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::time::{sleep, timeout};

use crate::{
    client::{Client, Connection, REQUEST_ID, describe},
    failure::Failure,
    limits::{BufferedBody, MAX_BODY},
    witness::{Opened, Witness},
};

/// Fraction of the timeout announced in the `keep-alive` header for which an idle connection is
/// reused. Later, the server could close the connection while a request is on its way.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Status codes of final responses.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;
/// Maximum size of a reply to a health call, in bytes.
const MAX_HEALTH_BODY: usize = 64 << 10;
/// Time in which the connections of a process that ended are seen to close, one after the other.
const CLOSE_TIME: Duration = Duration::from_millis(30);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length is announced, or it has no body.
    Length,
    /// It consists of chunks, the last of which is marked.
    Chunks,
    /// It ends with its connection, so that its end cannot be told from a server that stopped early.
    Connection,
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

/// A response whose head has arrived.
///
/// Dropping it before the end of the body closes the connection. Servers that notice this cancel
/// the request.
#[derive(Debug)]
pub struct Exchange {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    body: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    client: Client,
    /// Number of body bytes received so far.
    received: u64,
    is_attributed: bool,
    /// Whether it echoes the id of its request.
    has_echo: bool,
    /// Connections that may prove the end of a response that ends with its connection.
    witness: Option<Witness>,
    /// When the end of the body arrived.
    ended: Option<Instant>,
}

/// A reply on another connection after the end of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When that connection was opened.
    pub opened: Opened,
    /// Status code of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
}

impl Exchange {
    /// Creates the exchange of a response whose head has arrived.
    ///
    /// Fails with [`Failure::Broken`] if the status code is not one of a final response. That of a
    /// switch to another protocol is not either, because no request asks for one.
    pub(crate) fn new(
        response: Response<Incoming>,
        connection: Connection,
        address: SocketAddr,
        client: &Client,
    ) -> Result<Self, Failure> {
        let (parts, body) = response.into_parts();
        if !FINAL_STATUS.contains(&parts.status.as_u16()) {
            let why = format!("{} is not the status code of a response", parts.status.as_u16());
            return Err(Failure::Broken { why });
        }
        let has_length = parts.headers.contains_key(CONTENT_LENGTH);
        let has_encoding = parts.headers.contains_key(TRANSFER_ENCODING);
        let framing = if is_chunked(&parts.headers) {
            Framing::Chunks
        } else if body.is_end_stream() || (has_length && !has_encoding) {
            Framing::Length
        } else {
            Framing::Connection
        };
        Ok(Self {
            framing,
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            address,
            client: client.clone(),
            received: 0,
            is_attributed: false,
            has_echo: false,
            witness: None,
            ended: None,
        })
    }

    /// Prepares the proof of the end of a response that ends with its connection. `sent` is the time
    /// at which its request was sent.
    pub(crate) fn watch(mut self, sent: Instant) -> Self {
        if self.ends_with_connection() {
            self.witness = Some(Witness::new(self.client.clone(), self.address, sent));
        }
        self
    }

    /// Checks that the response echoes the id of its request, or no id on a connection without
    /// earlier echoes. A server may send a response once more where another one is expected.
    pub(crate) fn check_id(mut self, id: &str) -> Result<Self, Failure> {
        let echo = self.headers.get(REQUEST_ID).map(|echo| echo.as_bytes() == id.as_bytes());
        let Some(connection) = &mut self.connection else { return Ok(self) };
        self.has_echo = echo == Some(true);
        self.is_attributed = self.has_echo || !connection.is_used;
        if echo.unwrap_or(!connection.has_echoes) {
            connection.is_used = true;
            connection.has_echoes |= self.has_echo;
            Ok(self)
        } else {
            Err(Failure::IdMismatch)
        }
    }

    /// Returns whether the response is certainly that to its request: it echoes the id, or is the
    /// first on its connection.
    #[must_use]
    pub fn is_attributed(&self) -> bool {
        self.is_attributed
    }

    /// Returns the status code of the response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers of the response as the backend server sent them, including those that
    /// apply only to its connection.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns how the end of the response is marked.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the response ends with its connection; see [`Framing::Connection`].
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing() == Framing::Connection
    }

    /// Returns the next piece of the body, or `None` at its end. Trailers are skipped.
    ///
    /// At the end, the connection becomes available to other requests. The end of a response that
    /// ends with its connection is to be proved with [`prove_end`](Self::prove_end).
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the connection fails before the end or the body is longer than
    /// 64 MiB, and [`Failure::Timeout`] if no piece arrives within the idle timeout.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(self.client.timeouts.idle, self.body.frame()).await;
            match frame.map_err(|_| Failure::Timeout)? {
                None => {
                    self.ended.get_or_insert_with(Instant::now);
                    self.release_connection();
                    return Ok(None);
                }
                Some(Err(error)) => {
                    return Err(Failure::Broken { why: describe(&error) });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        if let Some(witness) = &mut self.witness {
                            witness.record_part();
                        }
                        self.received = self.received.saturating_add(data.len() as u64);
                        if self.received > MAX_BODY {
                            return Err(too_long(MAX_BODY));
                        }
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Makes a health call after the end of a response that ends with its connection, on a connection
    /// that was open before. Returns the reply, from which the caller judges whether the process that
    /// sent the response is alive; see [`Opened`].
    ///
    /// `health` builds the call. Returns `None` without a call for a response whose end is marked.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if there is no such connection, or no reply on it. The response may
    /// then be incomplete.
    pub async fn prove_end(
        &mut self,
        health: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<Option<Proof>, Failure> {
        let Some(witness) = &mut self.witness else { return Ok(None) };
        let ended = *self.ended.get_or_insert_with(Instant::now);
        while let Some((connection, opened)) = witness.next(ended).await {
            let reply = self.client.probe(connection, self.address, health()).await;
            let Some(mut reply) = reply else {
                witness.record_failure();
                continue;
            };
            let proof = Proof { opened, status: reply.status, headers: reply.headers.clone() };
            // Health calls have no id, so a late copy of the reply could be taken for the response to
            // a request. The connection becomes available to requests, once the reply was read, only
            // if responses to them are recognized by their ids.
            if self.has_echo {
                if let Some(connection) = &mut reply.connection {
                    connection.has_echoes = true;
                }
                tokio::spawn(async move { reply.read(MAX_HEALTH_BODY).await });
            }
            return Ok(Some(proof));
        }
        let why = "the server does not reply after its response".into();
        Err(Failure::Broken { why })
    }

    /// Checks that the server did not end together with a response that ends with its connection: a
    /// connection that was open before the end stays open. It is weaker than
    /// [`prove_end`](Self::prove_end), and for servers whose health path is not known.
    ///
    /// Called at the end of the body. A response whose end is marked needs no check.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if no connection stays open, so that the response may be incomplete.
    pub async fn confirm_end(&mut self) -> Result<(), Failure> {
        let Some(witness) = &mut self.witness else { return Ok(()) };
        let ended = *self.ended.get_or_insert_with(Instant::now);
        while let Some((mut connection, _)) = witness.next(ended).await {
            sleep(CLOSE_TIME).await;
            if connection.is_reusable().await && !connection.is_closed() {
                self.client.release_unused(self.address, connection);
                return Ok(());
            }
            witness.record_failure();
        }
        Err(Failure::Broken { why: "the server ended with its response".into() })
    }

    /// Reads the end of a body whose announced length has arrived, so that the connection can be
    /// reused.
    pub async fn finish(&mut self) {
        // After anything but the end, the connection is closed when this value is dropped.
        let _ = self.chunk().await;
    }

    /// Reads the whole remaining body. Its end is to be confirmed as that of [`Exchange::chunk`].
    ///
    /// # Errors
    ///
    /// As [`Exchange::chunk`], and [`Failure::Broken`] if the body is longer than `max` bytes, or if
    /// the limit of the client on all buffered bodies is reached; see
    /// [`Client::with_buffer_limit`].
    pub async fn read(&mut self, max: usize) -> Result<Bytes, Failure> {
        let exact = self.body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
        let most = exact.map_or(max, |len| len.min(max));
        let mut body = BufferedBody::new(&self.client.buffered);
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > max {
                return Err(too_long(max as u64));
            }
            if !body.push(&chunk, most) {
                return Err(Failure::Broken { why: "no memory for a response this long".into() });
            }
        }
        Ok(body.into_bytes())
    }

    /// Reads the whole remaining body and confirms its end.
    ///
    /// # Errors
    ///
    /// As [`Exchange::read`] and [`Exchange::confirm_end`].
    pub async fn read_whole(&mut self, max: usize) -> Result<Bytes, Failure> {
        let body = self.read(max).await?;
        self.confirm_end().await?;
        Ok(body)
    }

    /// Returns the connection to the pool once it is ready for another request. Called after the
    /// response was read to the end.
    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let lifetime = keep_alive_lifetime(&self.headers);
        tokio::spawn(self.client.pool.clone().release(self.address, connection, lifetime));
    }
}

/// Returns whether the last encoding for the transfer of the body is that in chunks.
fn is_chunked(headers: &HeaderMap) -> bool {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = encodings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

fn too_long(max: u64) -> Failure {
    Failure::Broken { why: format!("longer than {max} bytes") }
}

/// Returns how long an idle connection may be reused: [`KEEP_ALIVE_FRACTION`] of the timeout that
/// the server announced, or `None` if it announced none.
fn keep_alive_lifetime(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.parse().ok()?).mul_f64(KEEP_ALIVE_FRACTION))
}
