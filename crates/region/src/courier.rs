//! Notes between two VMs in order, none lost and none doubled, over datagrams that may be.

use std::collections::{BTreeMap, VecDeque};

use model::{Span, Time};

use crate::message::{Frame, Message, Session};

/// Time without acknowledgement after which notes are sent again: some round trips between
/// availability zones, and the interval at which acknowledgements are sent.
const RESEND_AFTER: Span = Span::from_millis(40);
/// Longest such time: a side that is that slow is given up soon.
const MAX_RESEND_AFTER: Span = Span::from_millis(160);
/// Interval at which something is sent when there is nothing to say, so that silence is noticed.
const KEEPALIVE: Span = Span::from_millis(50);
/// Most notes in one datagram, so that it stays well below the longest one.
const MAX_NOTES: usize = 64;
/// Most notes that are kept until one before them arrives: those of some datagrams that overtook it.
const MAX_AHEAD: u64 = 512;

/// One side of an exchange.
#[derive(Debug)]
pub(crate) struct Courier {
    pub(crate) session: Session,
    /// Notes that the other side has not acknowledged, with the time at which they were written.
    unheard: VecDeque<(Time, Message)>,
    /// Number of the first of them.
    first: u64,
    /// Number of the first note that was never sent.
    unsent: u64,
    /// Notes of the other side that have arrived.
    heard: u64,
    /// Notes that arrived before others that come first.
    ahead: BTreeMap<u64, Message>,
    owes_word: bool,
    urgent: bool,
    /// When the other side was heard last.
    pub(crate) heard_at: Time,
    sent_at: Time,
    resend_at: Time,
    resend_after: Span,
}

/// What a datagram carries of one side's notes.
#[derive(Debug)]
pub(crate) struct Parcel {
    pub(crate) first: u64,
    pub(crate) notes: Vec<Message>,
    pub(crate) heard: u64,
}

impl Courier {
    pub(crate) fn new(now: Time, session: Session) -> Self {
        Self {
            session,
            unheard: VecDeque::new(),
            first: 0,
            unsent: 0,
            heard: 0,
            ahead: BTreeMap::new(),
            owes_word: true,
            urgent: false,
            heard_at: now,
            sent_at: Time::default(),
            resend_at: now,
            resend_after: RESEND_AFTER,
        }
    }

    pub(crate) fn push(&mut self, now: Time, note: Message) {
        self.urgent |= note.is_urgent();
        self.unheard.push_back((now, note));
    }

    /// Whether the other side has heard everything.
    pub(crate) fn is_done(&self) -> bool {
        self.unheard.is_empty()
    }

    /// Takes a datagram of this exchange: the notes in it that are next in order.
    pub(crate) fn take(&mut self, now: Time, frame: Frame) -> Vec<Message> {
        self.heard_at = now;
        let heard = frame.heard.min(self.unsent);
        if heard > self.first {
            while self.first < heard {
                self.unheard.pop_front();
                self.first += 1;
            }
            self.resend_after = RESEND_AFTER;
            self.resend_at = now + self.resend_after;
        }
        self.owes_word |= !frame.notes.is_empty();
        for (number, note) in (frame.first..).zip(frame.notes) {
            if number >= self.heard && number < self.heard + MAX_AHEAD {
                self.ahead.insert(number, note);
            }
        }
        let mut next = Vec::new();
        while let Some(note) = self.ahead.remove(&self.heard) {
            self.heard += 1;
            next.push(note);
        }
        next
    }

    /// What must be sent at once.
    pub(crate) fn flush(&mut self, now: Time) -> Vec<Parcel> {
        if !std::mem::take(&mut self.urgent) {
            return Vec::new();
        }
        self.fresh(now)
    }

    /// What must be sent as time passes: notes that can wait a little, notes that were not
    /// acknowledged, and something now and then.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Parcel> {
        self.urgent = false;
        let mut parcels = Vec::new();
        if self.first < self.unsent && now >= self.resend_at {
            self.resend_after = (self.resend_after + self.resend_after).min(MAX_RESEND_AFTER);
            self.resend_at = now + self.resend_after;
            parcels.push(self.parcel(now, self.first, self.unsent));
        }
        parcels.extend(self.fresh(now));
        if parcels.is_empty() && (self.owes_word || now - self.sent_at >= KEEPALIVE) {
            parcels.push(self.parcel(now, self.unsent, self.unsent));
        }
        parcels
    }

    /// Notes that were never sent.
    fn fresh(&mut self, now: Time) -> Vec<Parcel> {
        let end = self.first + self.unheard.len() as u64;
        if self.first == self.unsent {
            self.resend_at = now + self.resend_after;
        }
        let mut parcels = Vec::new();
        while self.unsent < end {
            let parcel = self.parcel(now, self.unsent, end);
            self.unsent += parcel.notes.len() as u64;
            parcels.push(parcel);
        }
        parcels
    }

    /// Notes from number `from` on, before `end`, as many as fit.
    fn parcel(&mut self, now: Time, from: u64, end: u64) -> Parcel {
        self.owes_word = false;
        self.sent_at = now;
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let most = usize::try_from(end - from).unwrap_or(usize::MAX).min(MAX_NOTES);
        let notes = self.unheard.iter().skip(skip).take(most);
        let notes = notes.map(|(written, note)| note.after(now - *written)).collect();
        Parcel { first: from, notes, heard: self.heard }
    }
}
