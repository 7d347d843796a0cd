//! The HTTP conventions of callers and backend servers.
//!
//! [`Dialect`] isolates the relay from header names, body formats and the format of the plan
//! document. Its implementation is passed to [`Relay::start`](crate::Relay::start).

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, request, response};
use http_body_util::Full;
use model::{AccountName, Part, RefusalReason, ServerId, Verdict};
use routing::Plan;

use crate::restraint::Notice;

/// The parameters of a caller's request, beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of the request, empty if the caller sent none.
    pub id: String,
    /// The key of the caller's client account, if it sent one.
    pub key: Option<String>,
    /// Time for which the caller waits for the whole answer, if it says so. The timeout of the
    /// route limits it.
    pub timeout: Option<Duration>,
    /// Number of tokens of the prompt, and the maximum number of tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the answer's length in tokens. Without it the maximum in `tokens`
    /// is assumed.
    pub length_hint: Option<u64>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The parts of the prompt that other requests may have too, in order. The part that belongs to
    /// the request itself or to its session is left out.
    pub parts: Vec<Part>,
}

/// The data that is sent to a server in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// The server that the request is granted to. A different server that receives the request must
    /// not run it.
    pub server: &'a ServerId,
    /// The client account whose quota is charged, if the caller was identified.
    pub account: Option<&'a AccountName>,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Id of the last event that was received: by this VM if it resumes the stream at another
    /// server, or else by the caller.
    pub last_event: Option<u64>,
}

/// The information in the head of a server's response that the relay acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Whether the server has not run the request and will not run it.
    pub not_run: bool,
    /// Whether the address now belongs to a server other than the intended one.
    pub misdirected: bool,
    /// Current duration of work on the server's VM relative to its usual duration: 1 is the usual
    /// speed, 2 is half of it. `None` if the server does not say.
    pub slowness: Option<f64>,
    /// Number of requests a second that the server takes from all VMs together, as long as it says
    /// so. `None` if it names no limit.
    pub limit: Option<f64>,
    /// What the server says about further requests.
    pub notice: Notice,
}

/// The failure of a request that no server answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFailure {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// The reason that is reported to the caller and counted in the metrics.
    pub reason: RefusalReason,
    /// Whether a server may have run the request.
    pub verdict: Verdict,
    /// Time after which the caller may retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// Translates between HTTP messages and the relay's types.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a description of the part that is invalid.
    fn parse_request(&self, head: &request::Parts) -> Result<CallerRequest, String>;

    /// Returns the headers of the request that is sent to a server.
    fn server_headers(&self, head: &request::Parts, info: ForwardInfo<'_>) -> HeaderMap;

    /// Parses the head of a server's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Returns the headers of a health call to a server.
    fn health_headers(&self, server: &ServerId) -> HeaderMap;

    /// Returns the server that the headers of a response name as its sender, if they name one.
    fn responder(&self, headers: &HeaderMap) -> Option<ServerId>;

    /// Removes the headers that apply to a single connection.
    fn strip_hop_by_hop(&self, headers: &mut HeaderMap);

    /// Returns the response to a request that no server answers. `id` is the caller's id of the
    /// request.
    fn failure_response(&self, id: &str, failure: &RequestFailure) -> Response<Full<Bytes>>;

    /// Parses the document of a routing plan that a control VM accepted. The plan shares what did
    /// not change with `previous`, the plan in force.
    ///
    /// # Errors
    ///
    /// Returns a description of the part that is invalid.
    fn parse_plan(&self, document: &[u8], previous: &Plan) -> Result<Plan, String>;
}
