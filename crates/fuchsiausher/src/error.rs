//! The error type of this crate.

use std::fmt;

/// An error that occurs while a VM or a [`TestCluster`](crate::TestCluster) is started or run.
///
/// Its text names the part that failed; the report that carries it holds the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Data,
    Listen(String),
    ControlThread,
    Peers,
    Metrics,
    Logs,
    Role,
    TestCluster(String),
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Data => f.write_str("the data folder cannot be opened or read"),
            ErrorKind::Listen(address) => write!(f, "cannot listen on {address}"),
            ErrorKind::ControlThread => f.write_str("the control thread cannot be started"),
            ErrorKind::Peers => f.write_str("the links to the other entry VMs cannot be set up"),
            ErrorKind::Metrics => f.write_str("metrics cannot be set up"),
            ErrorKind::Logs => f.write_str("logs cannot be set up"),
            ErrorKind::Role => f.write_str("the VM's role cannot be started"),
            ErrorKind::TestCluster(why) => write!(f, "the test cluster failed: {why}"),
        }
    }
}

impl std::error::Error for Error {}
