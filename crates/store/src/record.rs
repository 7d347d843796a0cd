//! Encoding of stored records: a checksum followed by the value in `MessagePack`.

use serde::{Serialize, de::DeserializeOwned};
use twox_hash::XxHash3_64;

/// Length of the checksum at the start of each record, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// Returns the record of a value, or `None` if the value cannot be encoded.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let body = rmp_serde::to_vec(value).ok()?;
    let mut record = XxHash3_64::oneshot(&body).to_be_bytes().to_vec();
    record.extend(body);
    Some(record)
}

/// Returns the value of a stored record, or `None` if the record is corrupt.
pub(crate) fn decode<T: DeserializeOwned>(record: &[u8]) -> Option<T> {
    let (checksum, body) = record.split_at_checked(CHECKSUM_BYTES)?;
    if checksum != XxHash3_64::oneshot(body).to_be_bytes() {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
