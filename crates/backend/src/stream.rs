//! Tracking of a stream of server-sent events.
//!
//! A [`StreamReader`] observes the bytes of a chat-completion stream while they are forwarded. It
//! counts the events and detects the marker that ends the stream.

use std::time::Duration;

/// The progress of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamState {
    /// The end marker has not arrived.
    #[default]
    Open,
    /// The event with the end marker has arrived.
    Complete,
    /// A line is longer than 256 KiB, so the bytes are not a stream of events.
    Invalid,
}

/// Time for which the events of an answer must have been arriving to show that what the request has
/// in common with others does not end its server.
pub const PROOF_TIME: Duration = Duration::from_millis(300);
/// The same for the request as a whole. The longer an answer takes, the likelier its server ends
/// meanwhile for another reason.
pub const SOUND_TIME: Duration = Duration::from_secs(3);

/// Data of the event that ends a chat-completion stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Maximum number of bytes of a line.
const MAX_LINE_BYTES: usize = 256 << 10;

/// Counts the data lines of a stream and detects its end marker, however the bytes are split.
///
/// # Examples
///
/// ```
/// use backend::{StreamState, StreamReader};
///
/// let mut reader = StreamReader::default();
/// reader.push(b"data: {\"a\":1}\n\ndata: [DO");
/// assert_eq!(reader.state(), StreamState::Open);
/// reader.push(b"NE]\n\n");
/// assert_eq!((reader.state(), reader.events()), (StreamState::Complete, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamReader {
    line: Vec<u8>,
    events: u32,
    /// Whether the line with the end marker has arrived.
    has_marker: bool,
    state: StreamState,
    /// Whether an event has begun and not ended.
    inside: bool,
}

impl StreamReader {
    /// Processes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                self.end_line();
                continue;
            }
            self.inside |= *byte != b'\r';
            if self.line.len() < MAX_LINE_BYTES {
                self.line.push(*byte);
            } else if self.state == StreamState::Open {
                self.state = StreamState::Invalid;
            }
        }
    }

    /// Evaluates a complete line.
    fn end_line(&mut self) {
        if self.line.trim_ascii().is_empty() {
            self.inside = false;
            if self.has_marker {
                self.state = StreamState::Complete;
            }
        } else if let Some(data) = self.line.strip_prefix(b"data:") {
            if data.trim_ascii() == END_MARKER {
                self.has_marker = true;
            } else {
                self.events = self.events.saturating_add(1);
            }
        }
        self.line.clear();
    }

    /// Returns the number of `data:` lines so far, without the end marker. The number saturates at
    /// [`u32::MAX`].
    #[must_use]
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether an event has begun and not ended, so that a stream that ends here was broken
    /// off.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.inside
    }

    /// Returns the progress of the stream.
    #[must_use]
    pub fn state(&self) -> StreamState {
        self.state
    }
}
