//! The error that the validation of a plan returns.
//!
//! Its texts are shown to the operator who sent the plan, and name the item at fault.

use std::fmt;

/// The reason why a plan is invalid and cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    UnknownService { route: String, service: String },
    DuplicateRoute { host: String, prefix: String },
    ZeroWeight { route: String },
    ZeroTimeout { route: String },
    InvalidPrefix { route: String, prefix: String },
    DuplicateKey { first: String, second: String },
    DuplicateName { what: &'static str, name: String },
    InvalidName(model::Error),
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

impl From<model::Error> for Error {
    fn from(error: model::Error) -> Self {
        Self { kind: ErrorKind::InvalidName(error) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::UnknownService { route, service } => {
                write!(f, "route {route:?} names service {service:?}, which does not exist")
            }
            ErrorKind::DuplicateRoute { host, prefix } => {
                write!(f, "two routes share host {host:?} and prefix {prefix:?}")
            }
            ErrorKind::ZeroWeight { route } => {
                write!(f, "the weights of route {route:?} add up to 0")
            }
            ErrorKind::ZeroTimeout { route } => write!(f, "the timeout of route {route:?} is 0"),
            ErrorKind::InvalidPrefix { route, prefix } => {
                write!(f, "prefix {prefix:?} of route {route:?} must begin and end with a slash")
            }
            ErrorKind::DuplicateKey { first, second } => {
                write!(f, "client accounts {first:?} and {second:?} share a key")
            }
            ErrorKind::DuplicateName { what, name } => write!(f, "two {what} are named {name:?}"),
            ErrorKind::InvalidName(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
