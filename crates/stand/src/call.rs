//! A small HTTP client for callers, operators and announcements.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(2);

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// From the call to the first byte of the body, or to its end if it is empty.
    pub first_byte: Duration,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made.
    Connect(String),
    /// The connection broke before the answer was whole.
    Broken(String),
    /// It took too long.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(why) => write!(f, "cannot connect: {why}"),
            Self::Broken(why) => write!(f, "the answer broke off: {why}"),
            Self::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// If the answer does not arrive whole.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: impl Into<Bytes>,
) -> Result<HttpResponse, CallError> {
    let start = Instant::now();
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connect
        .map_err(|_| CallError::Connect("timeout".into()))?
        .map_err(|e| CallError::Connect(e.to_string()))?;
    let broken = |e: hyper::Error| CallError::Broken(e.to_string());
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
    tokio::spawn(async move {
        // Errors reach the sender.
        let _ = connection.await;
    });
    let mut request =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request =
        request.body(Full::new(body.into())).map_err(|e| CallError::Broken(e.to_string()))?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(broken)?;
        let (parts, mut content) = response.into_parts();
        let (mut body, mut first_byte) = (BytesMut::new(), None);
        while let Some(frame) = content.frame().await {
            first_byte.get_or_insert_with(|| start.elapsed());
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                body.extend_from_slice(&data);
            }
        }
        let first_byte = first_byte.unwrap_or_else(|| start.elapsed());
        let status = parts.status.as_u16();
        Ok(HttpResponse { status, headers: parts.headers, body: body.freeze(), first_byte })
    };
    timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(Err(CallError::Timeout))
}
