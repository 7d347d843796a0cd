//! How operators and backend servers speak to a control VM.

use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri};
use http_body_util::Full;
use keeper::{Answer, Call};

/// Where an answer is given, for answers that send the caller elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Port on which every control VM listens for these calls.
    pub port: u16,
    /// The path that was called.
    pub path: &'a str,
}

/// Why a call was not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedCall {
    /// Status to answer.
    pub status: StatusCode,
    /// What is wrong, for whoever called.
    pub why: String,
}

/// A call that was understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Ask the control state.
    Call(Call),
    /// Nothing to do: the caller named nothing that can be used.
    Ignored(String),
}

/// Decodes calls and encodes answers.
pub trait Dialect: Send + Sync {
    /// The call that a request stands for.
    ///
    /// # Errors
    ///
    /// If it cannot be understood, or names a plan that cannot be put in force.
    fn decode(&self, method: &Method, uri: &Uri, body: &Bytes) -> Result<Decoded, RejectedCall>;

    /// The response for an answer.
    fn encode(&self, answer: &Answer, site: Endpoint<'_>) -> Response<Full<Bytes>>;

    /// The response for a call that was refused.
    fn refuse(&self, refusal: &RejectedCall) -> Response<Full<Bytes>>;
}
