//! How callers and backend servers speak.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, request, response};
use http_body_util::Full;
use model::{AccountName, RefusalReason, ServerId, Verdict};
use routing::Plan;

/// What a caller asks for, beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's name of the request, empty if it has none.
    pub id: String,
    /// The key of its account.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the answer's length in tokens.
    pub length_hint: Option<u64>,
    /// The last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

/// What a server is told beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// The server that is meant; no other may run the request.
    pub server: &'a ServerId,
    /// The account that pays.
    pub account: Option<&'a AccountName>,
    /// Time that is left.
    pub remaining: Duration,
    /// The last event of the stream that has arrived.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// The server did not run the request, and will not.
    pub not_run: bool,
    /// Another server has the address.
    pub misdirected: bool,
    /// How long work takes on the server's VM at this moment, relative to usual.
    pub slowness: Option<f64>,
}

/// A request that is not answered by a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFailure {
    /// Status.
    pub status: StatusCode,
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// When trying again may help.
    pub retry_after: Option<Duration>,
}

/// Decodes what callers and servers send, and encodes what they are sent.
pub trait Dialect: Send + Sync {
    /// What a caller asks for.
    ///
    /// # Errors
    ///
    /// A sentence that says what cannot be understood.
    fn parse_request(&self, head: &request::Parts) -> Result<CallerRequest, String>;

    /// The headers for a server.
    fn server_headers(&self, head: &request::Parts, outgoing: ForwardInfo<'_>) -> HeaderMap;

    /// What the head of a server's answer says.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Removes what concerns only the connection to the server.
    fn strip_hop_by_hop(&self, headers: &mut HeaderMap);

    /// The answer to a request that no server answers.
    fn failure_response(&self, id: &str, failing: &RequestFailure) -> Response<Full<Bytes>>;

    /// The plan in a document that a control VM accepted.
    ///
    /// # Errors
    ///
    /// A sentence that says what cannot be understood.
    fn parse_plan(&self, document: &[u8]) -> Result<Plan, String>;
}
