//! Finds parts of requests that end the servers which answer them, and keeps such requests from
//! servers.
//!
//! A server that ends takes all requests on it along, and only a part of one of them may be at
//! fault. [`Detector`] collects, for each part, the servers that ended before an answer to a request
//! with it had gone on for a while. One answer that goes on clears a part: sound parts, however
//! common, are cleared soon. A part under which several servers have ended without such an answer,
//! while other requests of the service are answered, is *blocked*: a request with it is refused. One
//! at a time is let through to try the part again, less often after each failure.
//!
//! VMs exchange their [`Suspect`]s, so that ends seen by different VMs count together and a blocked
//! part is blocked everywhere. The crate performs no input or output and reads no clock.

mod detector;
mod known;
mod record;
mod suspect;

pub use crate::{
    detector::{Admission, Change, Detector, Notice},
    known::Known,
    suspect::{End, Suspect},
};
