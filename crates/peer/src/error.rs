//! The error type of this crate.

use std::fmt;

/// A failed call between VMs, or a failure to set up these calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Key,
    Address(String),
    Unreachable(String),
    Refused(String),
    WrongMac,
    Encoding,
    Bind(String),
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Key => f.write_str("the shared key must have at least 16 bytes"),
            ErrorKind::Address(vm) => write!(f, "the address of {vm} cannot be used"),
            ErrorKind::Unreachable(vm) => write!(f, "{vm} cannot be reached"),
            ErrorKind::Refused(why) => write!(f, "the call was refused: {why}"),
            ErrorKind::WrongMac => f.write_str("the answer does not prove the VM's identity"),
            ErrorKind::Encoding => f.write_str("a message cannot be encoded or decoded"),
            ErrorKind::Bind(address) => write!(f, "cannot listen on {address}"),
        }
    }
}

impl std::error::Error for Error {}
