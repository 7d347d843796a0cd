//! Splits a stream of server-sent events into whole events.
//!
//! The ids of the events tell which of them the caller already has when a stream is resumed at
//! another server.

use bytes::{Bytes, BytesMut};

/// Events are missing between two consecutive events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// Id of the last event before the gap.
    pub last: u64,
    /// Id of the first event after the gap.
    pub next: u64,
}

/// Returns whole events only, so that a stream that breaks off can be resumed at another server
/// after the last whole event.
///
/// # Examples
///
/// ```
/// let mut events = relay::EventSplitter::default();
/// assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), "id: 1\ndata: a\n\n");
/// events.discard_partial();
/// let rest = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").unwrap();
/// assert_eq!(rest, "id: 2\ndata: b\n\n");
/// assert_eq!(events.last(), Some(2));
/// assert!(events.push(b"id: 4\ndata: d\n\n").is_err());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
    count: u32,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller has all events up to `last`. Events with
    /// this or a smaller id are left out.
    #[must_use]
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last, count: 0 }
    }

    /// Returns the id of the last whole event that was returned or that the caller had before.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of whole events that were returned.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Appends bytes of the stream, and returns the events that are now whole. An event that was
    /// returned before is left out.
    ///
    /// # Errors
    ///
    /// Returns an [`EventGap`] if events are missing: the id of an event is greater than the
    /// successor of the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventGap> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(len) = event_len(&self.partial) {
            let event = self.partial.split_to(len);
            if self.accept_event(&event)? {
                whole.extend_from_slice(&event);
            }
        }
        Ok(whole.freeze())
    }

    /// Records the id of a whole event. Returns whether the event is new to the caller.
    fn accept_event(&mut self, event: &[u8]) -> Result<bool, EventGap> {
        if let Some(next) = event_id(event) {
            match self.last {
                Some(last) if next <= last => return Ok(false),
                Some(last) if next > last + 1 => return Err(EventGap { last, next }),
                _ => self.last = Some(next),
            }
        }
        self.count += 1;
        Ok(true)
    }

    /// Discards the incomplete event at the end of a stream that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the bytes after the last whole event, once the stream has ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' {
            let line = &bytes[line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(at + 1);
            }
            line_start = at + 1;
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
