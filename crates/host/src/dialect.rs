//! Translation between HTTP and the calls that a control VM answers.
//!
//! The listener reads requests and writes responses; a [`Dialect`] defines which requests there are
//! and how answers look. This keeps paths and document formats out of this crate.

use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri};
use http_body_util::Full;
use keeper::{Answer, Call};
use model::ServiceName;
use rollout::Order;

/// The port and path that were called, from which an answer that redirects the caller to another
/// control VM makes its location.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Port on which every control VM listens for these calls.
    pub port: u16,
    /// Path of the request.
    pub path: &'a str,
}

/// A call that is rejected before it reaches the control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedCall {
    /// Status of the response.
    pub status: StatusCode,
    /// The fault in the call, as the response and the log state it.
    pub why: String,
}

/// A call that was decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(clippy::large_enum_variant, reason = "there is one for each call, and it is not kept")]
pub enum Decoded {
    /// A call for the control state.
    Call(Call),
    /// An order of a rollout, which the plan in force must have the service for.
    Order(Order),
    /// A call that has no effect and is acknowledged, because it identifies nothing that could be
    /// recorded. The text gives the reason.
    Ignored(String),
}

/// Decodes calls and encodes answers.
pub trait Dialect: Send + Sync {
    /// Decodes a request into a call.
    ///
    /// # Errors
    ///
    /// If the request cannot be decoded, or contains a plan that cannot be put in force.
    fn decode(&self, method: &Method, uri: &Uri, body: &Bytes) -> Result<Decoded, RejectedCall>;

    /// Returns whether a plan, in the operator's encoding, has a service.
    fn has_service(&self, document: &[u8], service: &ServiceName) -> bool;

    /// Encodes an answer as a response. `endpoint` is the one that was called.
    fn encode(&self, answer: &Answer, endpoint: Endpoint<'_>) -> Response<Full<Bytes>>;

    /// Encodes the response to a rejected call.
    fn refuse(&self, rejected: &RejectedCall) -> Response<Full<Bytes>>;
}
