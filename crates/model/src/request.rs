//! Requests as the scheduler sees them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    names::{AccountName, ServiceName},
    tier::Tier,
    time::Span,
};

/// Identity of one request, drawn at its entry VM.
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

/// A request's claim on capacity; its body stays at the entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The client account that pays for it.
    pub account: AccountName,
    /// The service asked for.
    pub service: ServiceName,
    /// Class of service.
    pub tier: Tier,
    /// Time left until the first byte of the answer is worthless.
    pub budget: Span,
    /// Estimated prompt length in tokens.
    pub prompt: u32,
    /// Estimated length of the answer in tokens.
    pub answer: u32,
    /// Hash of the prompt's leading part, equal for prompts that share it; 0 for none.
    pub prefix: u64,
    /// Whether the request may be cancelled while it runs.
    pub cancellable: bool,
}

impl Ticket {
    /// Estimated tokens of prompt and answer together.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.answer)
    }
}

/// How a granted request ended, as its entry VM saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered whole.
    Done {
        /// From dispatch to the first byte of the answer.
        first: Span,
        /// From dispatch to the last byte.
        total: Span,
        /// Tokens generated, counted at the entry VM.
        tokens: u32,
    },
    /// Cancelled by the caller or for a higher tier.
    Cancelled,
    /// The backend server failed after bytes were sent.
    Failed,
    /// No byte was sent; the ticket may be granted again.
    NotSent,
}
