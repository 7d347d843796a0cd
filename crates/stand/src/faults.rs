//! Faults that a stand-in injects.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// Text in the body of a request at which [`Fault::EndByText`] ends the stand-in.
pub const ENDING_TEXT: &str = "a text that ends servers";

/// The head of a response with neither a length nor chunks, without the empty line at its end.
macro_rules! unframed_head {
    () => {
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    };
}

/// A fault that a stand-in injects into its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: requests are answered correctly.
    None,
    /// Closes the connection after reading a request, before any byte of the answer is sent.
    CloseUnanswered,
    /// Closes the connection in the middle of a streamed answer.
    CloseMidAnswer,
    /// Ends a streamed answer without its `[DONE]` event, but closes the body correctly.
    OmitEndMarker,
    /// Answers with the `x-request-id` of another request.
    WrongRequestId,
    /// Reads requests but never answers them.
    Hang,
    /// Sends header lines without end, until the client closes the connection.
    EndlessHead,
    /// Ends at a request whose body contains [`ENDING_TEXT`]: closes the listener and all
    /// connections, and listens again after 1.2 s.
    EndByText,
    /// Ends a streamed answer, or a call's answer of events, inside an event, but closes the body
    /// correctly.
    EndInsideEvent,
    /// Answers with events, with neither a length nor chunks, and closes the connection.
    Unframed,
    /// The same, but closes the connection inside an event.
    UnframedCut,
    /// The same, but closes the connection before the first event.
    UnframedEmpty,
    /// The same, but ends after the first event, as at [`Fault::EndByText`].
    UnframedCrash,
    /// Closes the connection in the head of the response, before its last line end.
    CutHead,
    /// Sends a body without end and without line breaks, until the client closes the connection.
    EndlessBody,
}

impl Fault {
    /// All faults, in the order of their discriminants.
    const ALL: [Self; 15] = [
        Self::None,
        Self::CloseUnanswered,
        Self::CloseMidAnswer,
        Self::OmitEndMarker,
        Self::WrongRequestId,
        Self::Hang,
        Self::EndlessHead,
        Self::EndByText,
        Self::EndInsideEvent,
        Self::Unframed,
        Self::UnframedCut,
        Self::UnframedEmpty,
        Self::UnframedCrash,
        Self::CutHead,
        Self::EndlessBody,
    ];
}

impl Fault {
    /// Returns the text of a response with neither a length nor chunks, or `None` for other faults.
    pub(crate) fn unframed(self) -> Option<&'static str> {
        match self {
            Self::Unframed => Some(concat!(unframed_head!(), "\r\ndata: a\n\ndata: [DONE]\n\n")),
            Self::UnframedCut => Some(concat!(unframed_head!(), "\r\ndata: a\n\ndata: b")),
            Self::UnframedCrash => Some(concat!(unframed_head!(), "\r\ndata: a\n\n")),
            Self::UnframedEmpty => Some(concat!(unframed_head!(), "\r\n")),
            Self::CutHead => Some(unframed_head!()),
            _ => None,
        }
    }

    /// Returns the start of a response without end and the bytes that it repeats, or `None` for
    /// other faults.
    pub(crate) fn endless(self) -> Option<(&'static str, String)> {
        match self {
            Self::EndlessHead => Some(("HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(1_024))),
            Self::EndlessBody => Some((
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                format!("4000\r\n{}\r\n", "x".repeat(0x4000)),
            )),
            _ => None,
        }
    }
}

/// The fault that a stand-in injects at present, and its slowdown.
#[derive(Debug)]
pub(crate) struct Faults {
    /// Discriminant of the [`Fault`].
    fault: AtomicU8,
    /// Factor on all service times, in thousandths: 1,000 is the configured pace.
    slowdown: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { fault: AtomicU8::new(0), slowdown: AtomicU64::new(1_000) }
    }
}

impl Faults {
    pub(crate) fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Fault {
        Fault::ALL[usize::from(self.fault.load(Ordering::Relaxed))]
    }

    pub(crate) fn set_slowdown(&self, thousandths: u64) {
        self.slowdown.store(thousandths.max(1), Ordering::Relaxed);
    }

    /// Returns a duration of `micros` microseconds, multiplied by the slowdown.
    pub(crate) fn slowed_duration(&self, micros: u64) -> std::time::Duration {
        let slowed = micros.saturating_mul(self.slowdown.load(Ordering::Relaxed)) / 1_000;
        std::time::Duration::from_micros(slowed)
    }
}
