//! Records with checksums.

use serde::{Serialize, de::DeserializeOwned};
use twox_hash::XxHash3_64;

/// Length of the checksum in front of each record, in bytes.
const SUM_BYTES: usize = 8;

/// A record as it is stored.
pub(crate) fn seal<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let body = rmp_serde::to_vec(value).ok()?;
    let mut record = XxHash3_64::oneshot(&body).to_be_bytes().to_vec();
    record.extend(body);
    Some(record)
}

/// The value of a stored record, `None` if it is corrupt.
pub(crate) fn unseal<T: DeserializeOwned>(record: &[u8]) -> Option<T> {
    let (sum, body) = record.split_at_checked(SUM_BYTES)?;
    if sum != XxHash3_64::oneshot(body).to_be_bytes() {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
