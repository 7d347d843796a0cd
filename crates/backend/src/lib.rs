//! HTTP client for backend servers that knows whether a request may have run.
//!
//! A request goes out at most once: nothing here retries. A connection is used again only after
//! its last exchange was read to the end; one whose exchange was abandoned is closed, so that a
//! late answer can never be taken for the answer to another request.

mod client;
mod exchange;
mod failure;
mod stream;

pub use crate::{
    client::{Client, REQUEST_ID, Timeouts},
    exchange::Exchange,
    failure::Failure,
    stream::{StreamReader, StreamState},
};
