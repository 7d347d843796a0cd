//! The error type of this crate.

use std::fmt;

/// A failure to start a control VM, such as an address that cannot be bound or a data folder that
/// cannot be read; also a VM name that is not an IP address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Bind(String),
    DataFolder(String),
    Peers,
    Spawn,
    VmAddress(String),
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Bind(address) => write!(f, "cannot listen on {address}"),
            ErrorKind::DataFolder(folder) => write!(f, "the data folder {folder} cannot be used"),
            ErrorKind::Peers => f.write_str("calls between VMs cannot be set up"),
            ErrorKind::Spawn => f.write_str("a thread cannot be started"),
            ErrorKind::VmAddress(vm) => write!(f, "{vm} is not the IP address of a VM"),
        }
    }
}

impl std::error::Error for Error {}
