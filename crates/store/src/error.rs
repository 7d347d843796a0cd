//! The error type of this crate.

use std::fmt;

/// A failed access to the data folder: a file that cannot be opened, read, or written and synced,
/// or is not a database, a corrupt record, or a missing log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Open(String),
    NotDatabase { name: String, start: Vec<u8> },
    Read(&'static str),
    Write(&'static str),
    WriteFile(String),
    Corrupt { what: &'static str, key: u64 },
    CorruptFile(String),
    MissingEntry { index: u64 },
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Open(path) => write!(f, "cannot open {path}"),
            ErrorKind::NotDatabase { name, start } => {
                write!(f, "{name} is not a database: it starts with the bytes {start:02x?}")
            }
            ErrorKind::Read(what) => write!(f, "cannot read {what}"),
            ErrorKind::Write(what) => write!(f, "cannot write and sync {what}"),
            ErrorKind::WriteFile(path) => write!(f, "cannot write and sync {path}"),
            ErrorKind::CorruptFile(path) => {
                write!(f, "{path} is corrupt: its checksum does not match")
            }
            ErrorKind::Corrupt { what, key } => {
                write!(f, "{what} {key} is corrupt: its checksum does not match")
            }
            ErrorKind::MissingEntry { index } => write!(f, "entry {index} of the log is missing"),
        }
    }
}

impl std::error::Error for Error {}
