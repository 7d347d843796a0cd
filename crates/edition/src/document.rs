//! A version of the plan's document and the digest that identifies its content.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use sha2::{Digest as _, Sha256};

/// The SHA-256 digest of a document.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(ByteArray<32>);

impl Digest {
    /// Returns the digest of this content.
    ///
    /// # Examples
    ///
    /// ```
    /// use edition::Digest;
    ///
    /// assert_eq!(Digest::of(b"a"), Digest::of(b"a"));
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(ByteArray::new(Sha256::digest(content).into()))
    }
}

/// The first bytes in hexadecimal, which are enough to tell digests apart in a log.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The version and the digest of a document, to which a [`Patch`](crate::Patch) applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Version of the plan.
    pub version: u64,
    /// Digest of its document.
    pub digest: Digest,
}

/// The document of one version of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    base: Base,
    content: Arc<Vec<u8>>,
}

impl Document {
    /// Creates the document of a version, and computes its digest.
    ///
    /// # Examples
    ///
    /// ```
    /// let document = edition::Document::new(7, b"routes".to_vec().into());
    /// assert_eq!((document.version(), document.content().len()), (7, 6));
    /// ```
    #[must_use]
    pub fn new(version: u64, content: Arc<Vec<u8>>) -> Self {
        Self { base: Base { version, digest: Digest::of(&content) }, content }
    }

    /// Returns the version and the digest.
    #[must_use]
    pub fn base(&self) -> Base {
        self.base
    }

    /// Returns the version of the plan.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.base.version
    }

    /// Returns the plan in the operator's encoding.
    #[must_use]
    pub fn content(&self) -> &Arc<Vec<u8>> {
        &self.content
    }
}
