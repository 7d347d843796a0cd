//! Hash functions that give the same results on every VM and in every build.
//!
//! VMs use them to make the same choice without exchanging messages, and to store digests of
//! credentials instead of the credentials.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};
use twox_hash::XxHash3_64;

/// Returns the SHA-256 digest of `bytes` as 64 lowercase hexadecimal digits.
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

/// Chooses one of `names` for `key` by rendezvous hashing, or returns `None` if there are no names.
///
/// All VMs that pass the same names choose the same one, and removing a name changes the choice
/// only for the keys that were assigned to it.
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
    names.max_by_key(|name| hash_pair(key, name.as_ref()))
}

/// Returns a pseudorandom number in `0.0..1.0` that is determined by `key` and `name`.
///
/// It is the same on every VM. The numbers of different pairs are independent of each other.
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
    // The upper 32 bits are precise enough, and an `f64` represents them exactly.
    let bits = u32::try_from(hash_pair(key, name) >> 32).unwrap_or(u32::MAX);
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}

fn hash_pair(key: &str, name: &str) -> u64 {
    let mut hasher = XxHash3_64::new();
    std::hash::Hasher::write(&mut hasher, key.as_bytes());
    std::hash::Hasher::write(&mut hasher, &[0]);
    std::hash::Hasher::write(&mut hasher, name.as_bytes());
    std::hash::Hasher::finish(&hasher)
}

/// Returns a hash of `texts` that is the same on every VM.
pub(crate) fn hash_texts(texts: &[&[u8]]) -> u64 {
    let mut hasher = XxHash3_64::new();
    for text in texts {
        std::hash::Hasher::write(&mut hasher, &text.len().to_le_bytes());
        std::hash::Hasher::write(&mut hasher, text);
    }
    std::hash::Hasher::finish(&hasher)
}
