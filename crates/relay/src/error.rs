//! The error type of this crate.

use std::fmt;

/// The reason why an entry VM cannot start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Listen(String),
    Peers,
    Threads,
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Listen(address) => write!(f, "cannot listen on {address}"),
            ErrorKind::Peers => f.write_str("cannot set up calls to control VMs"),
            ErrorKind::Threads => f.write_str("cannot start the scheduler thread"),
        }
    }
}

impl std::error::Error for Error {}
