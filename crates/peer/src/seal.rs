//! Authentication of calls and answers with HMAC-SHA256 under the shared key.
//!
//! A call's MAC covers its kind, both VMs, the incarnation, the sequence number and the payload. An
//! answer's MAC covers the call's MAC and the payload, so an answer is valid for that call only.

use hmac::{Hmac, Mac};
use model::VmName;
use sha2::Sha256;

use crate::{
    error::{Error, ErrorKind},
    generated::{Answer, Sealed},
};

/// Minimum length of the shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The key that all VMs share, at least 16 bytes long. Its [`Debug`](std::fmt::Debug) output does
/// not reveal it.
///
/// # Examples
///
/// ```
/// assert!(peer::Key::try_from("short").is_err());
/// assert!(peer::Key::try_from("a key that is long enough").is_ok());
/// ```
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl TryFrom<&str> for Key {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        if raw.len() < MIN_KEY_BYTES {
            return Err(ErrorKind::Key.into());
        }
        let mac = Hmac::new_from_slice(raw.as_bytes()).map_err(|_| ErrorKind::Key)?;
        Ok(Self(mac))
    }
}

/// The kind of message that a MAC is for, so that one kind cannot be passed off as another. The
/// values are part of the MAC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Deliver,
    Ask,
    Answer,
}

impl Key {
    fn mac(&self, purpose: Purpose, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[purpose as u8]);
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    fn call_mac(&self, purpose: Purpose, call: &Sealed) -> Hmac<Sha256> {
        let (incarnation, seq) = (call.incarnation.to_be_bytes(), call.seq.to_be_bytes());
        let parts: [&[u8]; 5] =
            [call.from.as_bytes(), call.to.as_bytes(), &incarnation, &seq, &call.payload];
        self.mac(purpose, &parts)
    }

    /// Returns a call with its MAC.
    pub(crate) fn seal(
        &self,
        purpose: Purpose,
        (from, to): (&VmName, &VmName),
        (incarnation, seq): (u64, u64),
        payload: Vec<u8>,
    ) -> Sealed {
        let (from, to) = (from.to_string(), to.to_string());
        let mut call = Sealed { from, to, incarnation, seq, payload, mac: Vec::new() };
        call.mac = self.call_mac(purpose, &call).finalize().into_bytes().to_vec();
        call
    }

    /// Reports whether a call's MAC is correct.
    pub(crate) fn verify(&self, purpose: Purpose, call: &Sealed) -> bool {
        self.call_mac(purpose, call).verify_slice(&call.mac).is_ok()
    }

    /// Returns an answer to a call, with its MAC.
    pub(crate) fn seal_answer(&self, call: &Sealed, payload: Vec<u8>) -> Answer {
        let mac = self.mac(Purpose::Answer, &[&call.mac, &payload]);
        Answer { payload, mac: mac.finalize().into_bytes().to_vec() }
    }

    /// Reports whether an answer's MAC is correct for the call with this MAC.
    pub(crate) fn verify_answer(&self, call_mac: &[u8], answer: &Answer) -> bool {
        let mac = self.mac(Purpose::Answer, &[call_mac, &answer.payload]);
        mac.verify_slice(&answer.mac).is_ok()
    }
}
