//! Reliable, ordered delivery of messages between two VMs over datagrams.
//!
//! Datagrams may be lost, duplicated or reordered. Each side numbers its messages, acknowledges the
//! other side's cumulatively, and retransmits its own until they are acknowledged. A [`Channel`] is
//! one side of a [`Session`]; it performs no input or output and reads no clock.

use std::collections::{BTreeMap, VecDeque};

use model::{Span, Time};

use crate::message::{Frame, Message, Session};

/// Initial retransmission timeout: covers a few round trips between availability zones plus the
/// interval at which acknowledgements are sent.
const RESEND_TIMEOUT: Span = Span::from_millis(40);
/// Upper bound of the retransmission timeout, which doubles with each retransmission. It need not
/// be longer, since a VM that answers this slowly is soon considered failed.
const MAX_RESEND_TIMEOUT: Span = Span::from_millis(160);
/// Interval at which an idle channel sends an empty segment, so that silence means a failure.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(50);
/// Time without an acknowledgement after which a channel counts as stalled although the other side is
/// heard: several times the longest retransmission timeout.
const STALL_TIMEOUT: Span = Span::from_millis(1_000);
/// Maximum number of messages in a segment. A datagram that is too large in spite of it is split where
/// it is encoded.
const MAX_MESSAGES: usize = 64;
/// Maximum distance from the next expected message up to which messages that arrive out of order
/// are kept. Covers a few datagrams that overtook an earlier one; messages beyond it are dropped
/// and retransmitted.
const MAX_REORDER: u64 = 512;

/// One side of a session: send and receive state.
#[derive(Debug)]
pub(crate) struct Channel {
    pub(crate) session: Session,
    /// Messages that the other side has not acknowledged, with the time at which each was queued.
    unacked: VecDeque<(Time, Message)>,
    /// Sequence number of the first unacknowledged message.
    first_unacked: u64,
    /// Sequence number of the first message that was never sent.
    first_unsent: u64,
    /// Number of messages received in order, which is the sequence number expected next.
    received: u64,
    /// Messages received out of order, by sequence number.
    reordered: BTreeMap<u64, Message>,
    /// Whether an acknowledgement is due. Set initially, so that a new session is announced at the
    /// next tick.
    ack_due: bool,
    /// Whether a queued message must not wait for the next tick.
    urgent: bool,
    /// When the last datagram of this session arrived.
    pub(crate) received_at: Time,
    /// Since when the oldest message waits for its acknowledgement.
    pub(crate) progress_at: Time,
    /// Datagrams since the last acknowledgement that the operating system did not send.
    pub(crate) failed_sends: u32,
    sent_at: Time,
    resend_at: Time,
    resend_timeout: Span,
}

/// A run of consecutive messages to be sent in one datagram, with an acknowledgement.
#[derive(Debug)]
pub(crate) struct Segment {
    /// See [`Frame::first`].
    pub(crate) first: u64,
    /// See [`Frame::notes`].
    pub(crate) notes: Vec<Message>,
    /// See [`Frame::heard`].
    pub(crate) heard: u64,
}

impl Channel {
    pub(crate) fn new(now: Time, session: Session) -> Self {
        Self {
            session,
            unacked: VecDeque::new(),
            first_unacked: 0,
            first_unsent: 0,
            received: 0,
            reordered: BTreeMap::new(),
            ack_due: true,
            urgent: false,
            received_at: now,
            progress_at: now,
            failed_sends: 0,
            sent_at: Time::default(),
            resend_at: now,
            resend_timeout: RESEND_TIMEOUT,
        }
    }

    pub(crate) fn push(&mut self, now: Time, message: Message) {
        self.urgent |= message.is_urgent();
        if self.unacked.is_empty() {
            self.progress_at = now;
        }
        self.unacked.push_back((now, message));
    }

    /// Returns whether the other side has acknowledged all messages.
    pub(crate) fn is_acked(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Returns whether the other side has acknowledged nothing for long although messages wait.
    pub(crate) fn is_stalled(&self, now: Time) -> bool {
        !self.is_acked() && now - self.progress_at > STALL_TIMEOUT
    }

    /// Puts another message in the place of one that was not acknowledged, and returns that one.
    pub(crate) fn replace(
        &mut self,
        seq: u64,
        with: impl FnOnce(&Message) -> Option<Message>,
    ) -> Option<Message> {
        let index = usize::try_from(seq.checked_sub(self.first_unacked)?).ok()?;
        let (_, message) = self.unacked.get_mut(index)?;
        let new = with(message)?;
        Some(std::mem::replace(message, new))
    }

    /// Processes a datagram of this session.
    ///
    /// Returns the messages that are next in order, including those that arrived earlier out of
    /// order.
    pub(crate) fn receive(&mut self, now: Time, frame: Frame) -> Vec<Message> {
        self.received_at = now;
        let acked = frame.heard.min(self.first_unsent);
        if acked > self.first_unacked {
            while self.first_unacked < acked {
                self.unacked.pop_front();
                self.first_unacked += 1;
            }
            (self.progress_at, self.failed_sends) = (now, 0);
            self.resend_timeout = RESEND_TIMEOUT;
            self.resend_at = now + self.resend_timeout;
        }
        self.ack_due |= !frame.notes.is_empty();
        for (seq, message) in (frame.first..).zip(frame.notes) {
            if seq >= self.received && seq < self.received + MAX_REORDER {
                self.reordered.insert(seq, message);
            }
        }
        let mut next = Vec::new();
        while let Some(message) = self.reordered.remove(&self.received) {
            self.received += 1;
            next.push(message);
        }
        next
    }

    /// Returns the unsent segments if one of the queued messages is urgent.
    pub(crate) fn flush(&mut self, now: Time) -> Vec<Segment> {
        if !std::mem::take(&mut self.urgent) {
            return Vec::new();
        }
        self.unsent_segments(now)
    }

    /// Returns the segments due at a tick: messages whose retransmission timeout has passed, unsent
    /// messages, and otherwise an empty segment if an acknowledgement or a keepalive is due.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Segment> {
        self.urgent = false;
        let mut segments = Vec::new();
        if self.first_unacked < self.first_unsent && now >= self.resend_at {
            self.resend_timeout =
                (self.resend_timeout + self.resend_timeout).min(MAX_RESEND_TIMEOUT);
            self.resend_at = now + self.resend_timeout;
            segments.push(self.segment(now, self.first_unacked, self.first_unsent));
        }
        segments.extend(self.unsent_segments(now));
        if segments.is_empty() && (self.ack_due || now - self.sent_at >= KEEPALIVE_INTERVAL) {
            segments.push(self.segment(now, self.first_unsent, self.first_unsent));
        }
        segments
    }

    /// Returns segments with all messages that were never sent.
    fn unsent_segments(&mut self, now: Time) -> Vec<Segment> {
        let end = self.first_unacked + self.unacked.len() as u64;
        if self.first_unacked == self.first_unsent {
            self.resend_at = now + self.resend_timeout;
        }
        let mut segments = Vec::new();
        while self.first_unsent < end {
            let segment = self.segment(now, self.first_unsent, end);
            self.first_unsent += segment.notes.len() as u64;
            segments.push(segment);
        }
        segments
    }

    /// Builds a segment of the messages numbered `from..end`, or as many of them as fit.
    fn segment(&mut self, now: Time, from: u64, end: u64) -> Segment {
        self.ack_due = false;
        self.sent_at = now;
        let skip = usize::try_from(from - self.first_unacked).unwrap_or(usize::MAX);
        let limit = usize::try_from(end - from).unwrap_or(usize::MAX).min(MAX_MESSAGES);
        let notes = self.unacked.iter().skip(skip).take(limit);
        let notes = notes.map(|(queued_at, message)| message.aged(now - *queued_at)).collect();
        Segment { first: from, notes, heard: self.received }
    }
}
