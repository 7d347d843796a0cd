//! Operators' calls to an administration listener.

use std::{fmt, net::SocketAddr};

use serde_json::Value;
use stand::{CallError, call};

/// Why an operator's call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminError {
    /// The entry VM cannot be reached, or broke off.
    Unreachable(String),
    /// The entry VM refused the call.
    Refused {
        /// HTTP status.
        status: u16,
        /// What it answered.
        answer: Value,
    },
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "the entry VM cannot be reached: {why}"),
            Self::Refused { status, answer } => {
                let why = answer["error"].as_str().map_or_else(|| answer.to_string(), Into::into);
                write!(f, "refused ({status}): {why}")
            }
        }
    }
}

impl std::error::Error for AdminError {}

impl From<CallError> for AdminError {
    fn from(error: CallError) -> Self {
        Self::Unreachable(error.to_string())
    }
}

/// Calls one entry VM's administration listener.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    secret: String,
}

impl AdminClient {
    /// A client for this listener and secret.
    #[must_use]
    pub fn new(address: SocketAddr, secret: impl Into<String>) -> Self {
        Self { address, secret: secret.into() }
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// If the entry VM cannot be reached or refuses.
    pub async fn get(&self, path: &str) -> Result<Value, AdminError> {
        self.send("GET", path, Vec::new()).await
    }

    /// Changes something.
    ///
    /// # Errors
    ///
    /// If the entry VM cannot be reached or refuses.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, AdminError> {
        self.send("POST", path, body.to_string().into_bytes()).await
    }

    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Value, AdminError> {
        let headers = [("authorization", format!("Bearer {}", self.secret))];
        let answered = call(self.address, method, path, &headers, body).await?;
        let answer: Value = serde_json::from_slice(&answered.body).unwrap_or_default();
        if answered.status >= 400 {
            return Err(AdminError::Refused { status: answered.status, answer });
        }
        Ok(answer)
    }
}
