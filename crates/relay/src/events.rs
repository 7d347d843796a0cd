//! Splits a stream of server-sent events into whole events.
//!
//! The ids of the events tell which of them the caller already has when a stream is resumed at
//! another server.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes without a new whole event, in a single event or in repeated ones.
const MAX_PENDING: usize = 256 << 10;

/// The bytes are not the continuation of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// Events are missing between two consecutive events.
    Gap {
        /// Id of the last event before the gap.
        last: u64,
        /// Id of the first event after the gap.
        next: u64,
    },
    /// An event of a resumed stream has no id, so that its place is unknown.
    NoId,
    /// No new event ended within 256 KiB.
    TooLong,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { last, next } => write!(f, "event {next} after {last}"),
            Self::NoId => f.write_str("an event without id in a resumed stream"),
            Self::TooLong => write!(f, "no whole event within {MAX_PENDING} bytes"),
        }
    }
}

impl std::error::Error for EventError {}

/// Returns whole events only, so that a stream that breaks off can be resumed at another server
/// after the last whole event.
///
/// # Examples
///
/// ```
/// let mut events = relay::EventSplitter::default();
/// assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), "id: 1\ndata: a\n\n");
/// events.resume();
/// let rest = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").unwrap();
/// assert_eq!(rest, "id: 2\ndata: b\n\n");
/// assert_eq!(events.last(), Some(2));
/// assert!(events.push(b"id: 4\ndata: d\n\n").is_err());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Start of the first line of `partial` that may end an event.
    line_start: usize,
    /// Number of bytes of `partial` that were searched for line ends.
    searched: usize,
    /// Bytes of repeated events since the last new one.
    repeated: usize,
    last: Option<u64>,
    count: u32,
    /// Whether the events come from another server than the first ones.
    is_resumed: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller has all events up to `last`. Events with
    /// this or a smaller id are left out.
    #[must_use]
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Returns the id of the last whole event that was returned or that the caller had before.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the events come from another server than the first ones.
    #[must_use]
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Returns the number of whole events that were returned. A comment is none.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Appends bytes of the stream, and returns the events that are now whole. An event that was
    /// returned before is left out.
    ///
    /// # Errors
    ///
    /// Returns an error if events are missing, because the id of an event is greater than the
    /// successor of the last one, if an event of a resumed stream has no id, or if an event is too
    /// long or too many are repeated.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(len) = self.event_len() {
            let event = self.partial.split_to(len);
            (self.line_start, self.searched) = (0, 0);
            if self.accept_event(&event)? {
                self.repeated = 0;
                whole.extend_from_slice(&event);
            } else {
                self.repeated += len;
            }
        }
        if self.partial.len() + self.repeated > MAX_PENDING {
            return Err(EventError::TooLong);
        }
        Ok(whole.freeze())
    }

    /// Returns the length of the first event, including the empty line that ends it.
    fn event_len(&mut self) -> Option<usize> {
        while let Some(len) = self.partial[self.searched..].iter().position(|b| *b == b'\n') {
            let line_end = self.searched + len;
            let line = &self.partial[self.line_start..line_end];
            let ends_event = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            self.searched = line_end + 1;
            if ends_event {
                return Some(self.line_start);
            }
        }
        self.searched = self.partial.len();
        None
    }

    /// Records the id of a whole event. Returns whether the event is new to the caller.
    fn accept_event(&mut self, event: &[u8]) -> Result<bool, EventError> {
        if let Some(next) = event_id(event) {
            match self.last {
                Some(last) if next <= last => return Ok(false),
                Some(last) if next > last + 1 => return Err(EventError::Gap { last, next }),
                _ => self.last = Some(next),
            }
        } else if is_comment(event) {
            return Ok(true);
        } else if self.is_resumed {
            return Err(EventError::NoId);
        }
        self.count += 1;
        Ok(true)
    }

    /// Continues with the events of another server, after a stream that broke off. An incomplete
    /// event at its end is discarded.
    pub fn resume(&mut self) {
        self.partial.clear();
        (self.line_start, self.searched) = (0, 0);
        self.is_resumed = true;
    }

    /// Returns the number of bytes that follow the last whole event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether bytes follow the last whole event, so that a stream that ends here was broken
    /// off.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns whether all lines of an event are comments, with which servers keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
