//! An HTTP/1 client for backend servers whose errors tell whether a request may have run.
//!
//! The client sends a request at most once and never retries it. It reuses a connection only after
//! the last response on it was read to the end. It closes a connection whose exchange was
//! abandoned, so that a late response can never be taken for the response to another request.
//!
//! Heads, bodies and the memory for buffered bodies are limited, so that a server that sends without
//! end causes a failure.

mod client;
mod exchange;
mod failure;
mod limits;
mod stream;
mod witness;

pub use crate::{
    client::{Client, REQUEST_ID, Timeouts},
    exchange::{Exchange, Framing, Proof},
    failure::Failure,
    limits::BodyCount,
    stream::{PROOF_TIME, SOUND_TIME, StreamReader, StreamState},
    witness::Opened,
};
