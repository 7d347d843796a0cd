//! Reading a stream of server-sent events.

/// How a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The end marker has not arrived.
    Open,
    /// The end marker has arrived.
    Complete,
}

/// The end marker of a chat-completion stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Longest line that is looked at; longer ones count as data.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Counts the events of a stream and notices its end marker, however the bytes are split.
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
    marked: bool,
}

impl StreamReader {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if *byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_LINE_BYTES {
                self.line.push(*byte);
            }
        }
    }

    fn end_line(&mut self) {
        if let Some(data) = self.line.strip_prefix(b"data:") {
            if data.trim_ascii() == END_MARKER {
                self.marked = true;
            } else {
                self.events = self.events.saturating_add(1);
            }
        }
        self.line.clear();
    }

    /// Data events so far, the end marker not included.
    #[must_use]
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Whether the end marker has arrived.
    #[must_use]
    pub fn state(&self) -> StreamState {
        if self.marked { StreamState::Complete } else { StreamState::Open }
    }
}
