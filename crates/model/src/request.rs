//! The parts of a request that the scheduler handles: its id, its ticket and its outcome.
//!
//! The requests themselves, with their bodies, stay at their entry VMs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    names::{AccountName, ServiceName},
    tier::Tier,
    time::Span,
};

/// The unique id of a request, assigned by its entry VM and written as 32 hexadecimal digits.
///
/// # Examples
///
/// ```
/// use model::RequestId;
///
/// let id = RequestId::from(0xabcu128);
/// assert_eq!(RequestId::try_from(id.to_string().as_str())?, id);
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(u128);

impl From<u128> for RequestId {
    fn from(raw: u128) -> Self {
        Self(raw)
    }
}

impl TryFrom<&str> for RequestId {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        let valid = raw.len() == 32 && raw.bytes().all(|b| b.is_ascii_hexdigit());
        if !valid {
            return Err(ErrorKind::Id(raw.chars().take(40).collect()).into());
        }
        u128::from_str_radix(raw, 16).map(Self).map_err(|_| ErrorKind::Id(raw.to_owned()).into())
    }
}

impl TryFrom<String> for RequestId {
    type Error = Error;

    fn try_from(raw: String) -> Result<Self, Error> {
        Self::try_from(raw.as_str())
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What the scheduler needs to know of a request to place it on a backend server.
///
/// The request itself, with its body, stays at its entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Id of the request.
    pub request: RequestId,
    /// The client account whose limits the request counts against.
    pub account: AccountName,
    /// The service whose broker selects a backend server for the request.
    pub service: ServiceName,
    /// The tier in which the request is served.
    pub tier: Tier,
    /// Time left until the deadline of the first byte of the answer. After a hard deadline the
    /// answer is of no use to the caller. After a soft one it still is, within the limits that are
    /// submitted with the ticket.
    pub budget: Span,
    /// Estimated length of the prompt in tokens.
    pub prompt: u32,
    /// Estimated length of the answer in tokens.
    pub answer: u32,
    /// Hash of the prompt's prefix, equal for prompts that share it, or 0 if there is no prefix to
    /// share.
    pub prefix: u64,
    /// Whether the request may be cancelled while it runs, in favour of a higher tier.
    pub cancellable: bool,
}

impl Ticket {
    /// Returns the estimated number of tokens of the prompt and the answer together.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.answer)
    }
}

/// How a granted request ended, as reported by its entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was answered completely.
    Done {
        /// Time from the dispatch to the first byte of the answer.
        first: Span,
        /// Time from the dispatch to the last byte of the answer.
        total: Span,
        /// Number of tokens generated, as counted by the entry VM.
        tokens: u32,
    },
    /// The request was cancelled by the caller or in favour of a higher tier.
    Cancelled,
    /// The backend server failed after bytes were sent to it.
    Failed,
    /// No byte was sent to the backend server, so the ticket may be granted again.
    NotSent,
}
