//! Stable hashes shared by all entry VMs.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};
use twox_hash::XxHash3_64;

/// The SHA-256 digest of `bytes` as 64 lowercase hexadecimal digits.
///
/// # Examples
///
/// ```
/// assert!(model::digest(b"secret").starts_with("2bb80d53"));
/// ```
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut text, b| {
        let _ = write!(text, "{b:02x}");
        text
    })
}

/// Chooses one of `names` for `key` by rendezvous hashing.
///
/// All VMs that see the same names choose the same one, and removing a name moves only the keys
/// that it held.
///
/// # Examples
///
/// ```
/// let all = ["a", "b", "c"];
/// let chosen = model::rendezvous_pick("loom-model", all.into_iter()).unwrap();
/// let rest = all.into_iter().filter(|n| *n != chosen);
/// assert_ne!(model::rendezvous_pick("loom-model", rest), Some(chosen));
/// ```
pub fn rendezvous_pick<N: AsRef<str> + Ord>(
    key: &str,
    names: impl Iterator<Item = N>,
) -> Option<N> {
    names.max_by_key(|name| score(key, name.as_ref()))
}

/// A number from 0 up to 1 that is the same for the same key and name everywhere, and independent
/// of the others.
///
/// # Examples
///
/// ```
/// let unit_hash = model::unit_hash("server-1", "vm-1");
/// assert_eq!(unit_hash, model::unit_hash("server-1", "vm-1"));
/// assert!((0.0..1.0).contains(&unit_hash));
/// ```
#[must_use]
pub fn unit_hash(key: &str, name: &str) -> f64 {
    // The upper half has as many bits as the fraction needs.
    let bits = u32::try_from(score(key, name) >> 32).unwrap_or(u32::MAX);
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = XxHash3_64::new();
    std::hash::Hasher::write(&mut hasher, key.as_bytes());
    std::hash::Hasher::write(&mut hasher, &[0]);
    std::hash::Hasher::write(&mut hasher, name.as_bytes());
    std::hash::Hasher::finish(&hasher)
}
