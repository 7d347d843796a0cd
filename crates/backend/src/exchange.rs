//! One answer, read piece by piece.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    client::{Connection, Idle, REQUEST_ID},
    failure::Failure,
};

/// Part of the announced idle time for which a connection is used again.
const KEEP_SHARE: f64 = 0.7;

/// An answer whose head has arrived. Dropping it before its end closes the connection, which
/// cancels the request at servers that notice.
#[derive(Debug)]
pub struct Exchange {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    idle: Idle,
    idle_timeout: Duration,
}

impl Exchange {
    pub(crate) fn new(
        response: Response<Incoming>,
        connection: Connection,
        address: SocketAddr,
        idle: Idle,
        idle_timeout: Duration,
    ) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            address,
            idle,
            idle_timeout,
        }
    }

    /// Refuses an answer that names another request.
    pub(crate) fn checked(self, id: &str) -> Result<Self, Failure> {
        match self.headers.get(REQUEST_ID) {
            Some(echo) if echo.as_bytes() != id.as_bytes() => Err(Failure::IdMismatch),
            _ => Ok(self),
        }
    }

    /// The status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// The headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The next piece of the answer, `None` at its end.
    ///
    /// # Errors
    ///
    /// If the answer breaks off or stalls.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(self.idle_timeout, self.body.frame()).await;
            match frame.map_err(|_| Failure::Timeout)? {
                None => {
                    self.reuse();
                    return Ok(None);
                }
                Some(Err(error)) => {
                    return Err(Failure::Broken { why: error.to_string() });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the end of an answer of which all announced bytes have come, so that the
    /// connection can be used again.
    pub async fn finish(&mut self) {
        // Anything but the end leaves the connection to be closed.
        let _ = self.chunk().await;
    }

    /// The whole answer.
    ///
    /// # Errors
    ///
    /// If it breaks off, stalls, or is longer than `max` bytes.
    pub async fn read(&mut self, max: usize) -> Result<Bytes, Failure> {
        let mut whole = Vec::new();
        while let Some(piece) = self.chunk().await? {
            if whole.len() + piece.len() > max {
                return Err(Failure::Broken { why: format!("longer than {max} bytes") });
            }
            whole.extend_from_slice(&piece);
        }
        Ok(Bytes::from(whole))
    }

    /// Keeps the connection for another request: the answer was read to its end.
    fn reuse(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let (idle, address) = (self.idle.clone(), self.address);
        let keep = keep_time(&self.headers);
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                idle.put(address, connection, keep);
            }
        });
    }
}

/// How long the server says that it keeps the connection, less a part in which a request could
/// cross its end on the way.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.parse().ok()?).mul_f64(KEEP_SHARE))
}
