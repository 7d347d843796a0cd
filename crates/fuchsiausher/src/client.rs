//! A client for the administration listener of an entry VM.

use std::{fmt, net::SocketAddr};

use serde_json::Value;
use stand::{CallError, call};

/// An error of a call to an administration listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminError {
    /// The entry VM cannot be reached, or its answer did not arrive whole. Holds the cause.
    Unreachable(String),
    /// The entry VM answered with an HTTP status of 400 or more.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// JSON body of the answer; null if it is not JSON.
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

/// A client that calls one entry VM's administration listener with the operators' secret.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    secret: String,
}

impl AdminClient {
    /// Creates a client for the listener at an address. It opens no connection yet.
    #[must_use]
    pub fn new(address: SocketAddr, secret: impl Into<String>) -> Self {
        Self { address, secret: secret.into() }
    }

    /// Sends a GET request and returns the JSON body of the answer, or null if it is not JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM cannot be reached or refuses the call.
    pub async fn get(&self, path: &str) -> Result<Value, AdminError> {
        self.send("GET", path, Vec::new()).await
    }

    /// Sends a POST request with a JSON body and returns the JSON body of the answer, or null if it
    /// is not JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM cannot be reached or refuses the call.
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
