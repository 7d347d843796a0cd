//! The error type of this crate, returned when raw input is not valid.
//!
//! Its messages reach operators and callers in HTTP responses.

use std::fmt;

/// An error that occurred during the validation of raw input.
///
/// Its `Display` text names the invalid value or key and says what is accepted or what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    Name { what: &'static str, raw: String },
    Tier { raw: u8, lowest: u8 },
    Limit { key: &'static str, why: &'static str },
    Address(String),
    Id(String),
    Empty(&'static str),
    Unknown(String),
    Duplicate { what: &'static str, name: String },
    Range { key: &'static str, min: u64, max: u64 },
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Name { what, raw } => write!(
                f,
                "{what} {raw:?} must be 1 to 128 of the characters a-z, A-Z, 0-9, '.', '_' and '-'"
            ),
            ErrorKind::Tier { raw, lowest } => {
                write!(f, "tier {raw} must be 0 (highest) to {lowest} (lowest)")
            }
            ErrorKind::Limit { key, why } => write!(f, "limit {key} {why}"),
            ErrorKind::Address(raw) => write!(f, "{raw:?} is not an address like 127.0.0.1:8080"),
            ErrorKind::Id(raw) => write!(f, "{raw:?} is not 32 hexadecimal digits"),
            ErrorKind::Empty(key) => write!(f, "{key} must not be empty"),
            ErrorKind::Unknown(name) => write!(f, "account {name:?} does not exist"),
            ErrorKind::Duplicate { what, name } => write!(f, "{what} {name:?} occurs twice"),
            ErrorKind::Range { key, min, max } => write!(f, "{key} must be {min} to {max}"),
        }
    }
}

impl std::error::Error for Error {}
