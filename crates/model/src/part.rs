//! Parts of a request that several requests have in common.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::hash::hash_texts;

/// Identifies a part of a request, such as a document in its prompt, that other requests may contain
/// too. The largest part is the request itself, which its repetitions contain.
///
/// A name of up to 16 hexadecimal digits stands for its value, and any other name for its hash.
///
/// # Examples
///
/// ```
/// use model::Part;
///
/// assert_eq!(Part::from("5c1e07a2").to_string(), "5c1e07a2");
/// assert_eq!(Part::from("a manual"), Part::from("a manual"));
/// assert_ne!(Part::from("a manual"), Part::from("another manual"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(u64);

impl Part {
    /// Returns the part that stands for a request of one caller, which only its repetitions have in
    /// common.
    ///
    /// # Examples
    ///
    /// ```
    /// use model::Part;
    ///
    /// assert_eq!(Part::request("shop", "/stock/7", b""), Part::request("shop", "/stock/7", b""));
    /// assert_ne!(Part::request("shop", "/stock/7", b""), Part::request("bank", "/stock/7", b""));
    /// ```
    #[must_use]
    pub fn request(caller: &str, path: &str, body: &[u8]) -> Self {
        Self(hash_texts(&[caller.as_bytes(), path.as_bytes(), body]))
    }

    /// Returns the part that stands for the content of a request without named parts, which equal
    /// requests of all callers have in common.
    ///
    /// # Examples
    ///
    /// ```
    /// use model::Part;
    ///
    /// assert_eq!(Part::whole("/stock/7", b""), Part::whole("/stock/7", b""));
    /// assert_ne!(Part::whole("/stock/7", b""), Part::whole("/stock/8", b""));
    /// ```
    #[must_use]
    pub fn whole(path: &str, body: &[u8]) -> Self {
        Self(hash_texts(&[path.as_bytes(), body]))
    }
}

impl From<&str> for Part {
    fn from(name: &str) -> Self {
        let digits = name.len() <= 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
        let value = digits.then(|| u64::from_str_radix(name, 16).ok()).flatten();
        Self(value.unwrap_or_else(|| hash_texts(&[name.as_bytes()])))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
