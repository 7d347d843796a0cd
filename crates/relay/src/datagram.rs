//! The UDP messages between entry VMs.
//!
//! Digests spread the state of the VMs over the region. Frames carry messages about requests between
//! an entry VM and the home of a service, the VM whose broker grants its servers. [`Datagram::encode`]
//! is the only place where they are encoded, and the only one that knows how large one may be.

use poison::Suspect;
use region::{Frame, LimitReport};
use serde::{Deserialize, Serialize};
use spread::Digest;

/// Size of the largest UDP datagram over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// The state of a VM, a zone or the region.
    Digest(Digest),
    /// Messages about requests, between an entry VM and the home of a service.
    Frame(Frame),
    /// Limits that servers named in answers, to the home of their service.
    Limits(Vec<LimitReport>),
    /// Parts of requests under which servers ended, as far as the sender knows.
    Suspects(Vec<Suspect>),
}

/// Content that cannot be sent, as it does not fit into a datagram on its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsendable {
    /// What it is, for the log.
    pub what: String,
    /// Its encoded size, or 0 if it cannot be encoded.
    pub bytes: usize,
    /// Number of the message within its session, if it is one of a frame.
    pub seq: Option<u64>,
}

/// What became of a message: the datagrams to send, and what is in none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Encoded {
    /// Datagrams in the order in which they are to be sent.
    pub datagrams: Vec<Vec<u8>>,
    /// Content that was left out.
    pub unsendable: Vec<Unsendable>,
}

impl Datagram {
    /// Encodes the message in one datagram, or in several if it does not fit into one. Each of them
    /// is a message of its own for the receiver.
    ///
    /// # Examples
    ///
    /// ```
    /// use relay::Datagram;
    ///
    /// let encoded = Datagram::Limits(Vec::new()).encode();
    /// assert_eq!((encoded.datagrams.len(), encoded.unsendable.len()), (1, 0));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Encoded {
        let mut encoded = Encoded::default();
        self.encode_into(&mut encoded);
        encoded
    }

    fn encode_into(&self, encoded: &mut Encoded) {
        let bytes = match rmp_serde::to_vec(self) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => {
                encoded.datagrams.push(bytes);
                return;
            }
            Ok(bytes) => bytes.len(),
            Err(_) => 0,
        };
        if let Some(halves) = self.halves() {
            for half in &halves {
                half.encode_into(encoded);
            }
            return;
        }
        encoded.unsendable.push(Unsendable { what: self.describe(), bytes, seq: self.seq() });
    }

    /// Splits a message that consists of several independent ones.
    fn halves(&self) -> Option<[Self; 2]> {
        match self {
            Self::Frame(frame) if frame.notes.len() > 1 => {
                let middle = frame.notes.len() / 2;
                let (first, last) = frame.notes.split_at(middle);
                let half = |notes: &[_], skipped: usize| {
                    let first = frame.first + skipped as u64;
                    Self::Frame(Frame { first, notes: notes.to_vec(), ..frame.clone() })
                };
                Some([half(first, 0), half(last, middle)])
            }
            Self::Limits(reports) if reports.len() > 1 => {
                let (first, last) = reports.split_at(reports.len() / 2);
                Some([first, last].map(|half| Self::Limits(half.to_vec())))
            }
            Self::Suspects(suspects) if suspects.len() > 1 => {
                let (first, last) = suspects.split_at(suspects.len() / 2);
                Some([first, last].map(|half| Self::Suspects(half.to_vec())))
            }
            _ => None,
        }
    }

    fn seq(&self) -> Option<u64> {
        match self {
            Self::Frame(frame) => Some(frame.first),
            _ => None,
        }
    }

    /// Returns the kind of the message, with what identifies it.
    fn describe(&self) -> String {
        match self {
            Self::Digest(digest) => format!(
                "digest of {} members, {} accounts and {} partners",
                digest.delta.members.len(),
                digest.delta.usage.len(),
                digest.partners.as_ref().map_or(0, Vec::len)
            ),
            Self::Frame(frame) => match frame.notes.first() {
                Some(message) => {
                    format!("message {} to a home or client: {}", frame.first, message.kind())
                }
                None => "empty frame".into(),
            },
            Self::Limits(_) => "limit report".into(),
            Self::Suspects(_) => "suspected part".into(),
        }
    }
}
