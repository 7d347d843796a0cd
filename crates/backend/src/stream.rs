//! Tracking of a stream of server-sent events.
//!
//! A [`StreamReader`] observes the bytes of a chat-completion stream while they are forwarded. It
//! counts the events and detects the marker that ends the stream.

/// The progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The end marker has not arrived.
    Open,
    /// The end marker has arrived.
    Complete,
    /// A line is longer than 256 KiB, so the bytes are not a stream of events.
    Invalid,
}

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
    complete: bool,
    invalid: bool,
}

impl StreamReader {
    /// Processes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_LINE_BYTES {
                self.line.push(*byte);
            } else {
                self.invalid = true;
            }
        }
    }

    /// Evaluates a complete line.
    fn end_line(&mut self) {
        if let Some(data) = self.line.strip_prefix(b"data:") {
            if data.trim_ascii() == END_MARKER {
                self.complete = true;
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

    /// Returns the progress of the stream.
    #[must_use]
    pub fn state(&self) -> StreamState {
        match (self.complete, self.invalid) {
            (true, _) => StreamState::Complete,
            (false, true) => StreamState::Invalid,
            (false, false) => StreamState::Open,
        }
    }
}
