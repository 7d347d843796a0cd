//! A small HTTP client that simulates callers and operators and sends announcements.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the request and its complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(2);

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The response headers; trailers after the body are dropped.
    pub headers: HeaderMap,
    /// The complete body, empty if the response has none.
    pub body: Bytes,
    /// Time from the start of the call to the first frame of the body, or to the end of the
    /// response if the body is empty. It includes the time to connect.
    pub first_byte: Duration,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened.
    Connect(String),
    /// The connection broke before the response was complete, or the request is malformed.
    Broken(String),
    /// The response was not complete within two minutes.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "cannot connect: {reason}"),
            Self::Broken(reason) => write!(f, "the answer broke off: {reason}"),
            Self::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends one request on a new connection and reads the complete response.
///
/// # Errors
///
/// Returns an error if no complete response arrives. Any HTTP status counts as a response.
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
        // Errors of the connection are also returned to `sender`.
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
        let (parts, mut incoming) = response.into_parts();
        let (mut body, mut first_byte) = (BytesMut::new(), None);
        while let Some(frame) = incoming.frame().await {
            first_byte.get_or_insert_with(|| start.elapsed());
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                body.extend_from_slice(&data);
            }
        }
        let first_byte = first_byte.unwrap_or_else(|| start.elapsed());
        let status = parts.status.as_u16();
        Ok(HttpResponse { status, headers: parts.headers, body: body.freeze(), first_byte })
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.unwrap_or(Err(CallError::Timeout))
}
