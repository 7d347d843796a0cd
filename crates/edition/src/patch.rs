//! The compressed form in which a document is sent, alone or as the change of an earlier one.
//!
//! The content is one Zstandard frame. A change is compressed with the earlier document as prefix,
//! so that what both have in common takes a few bytes. Line-based and suffix-array deltas were
//! considered: the first need a format of the document, the second several times the processor time
//! for documents of this size.

use std::{
    fmt,
    io::{Read, Write},
};

use serde::{Deserialize, Serialize};

use crate::document::{Base, Document};

/// Compression level, the library's default. With it, the patch that withdraws one key from a plan of
/// 386 KB takes 59 bytes and was made in 0.6 ms.
const LEVEL: i32 = 3;
/// Largest document that is sent or accepted, which is the largest message between VMs.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;
/// Limits of the binary logarithm of the compression window, which must cover the earlier and the
/// new document: twice [`MAX_DOCUMENT_BYTES`] at most.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;

/// A patch that cannot be applied. The document in force stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It applies to another version than the one that is held, such as one that was replaced while
    /// the patch was on its way.
    Stale,
    /// It applies to other content of the version that is held.
    OtherBase,
    /// Its content cannot be decompressed, or is longer than it states.
    Corrupt,
    /// The digest of the result is not the one that the patch names.
    WrongDigest,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stale => "the patch applies to another version",
            Self::OtherBase => "the patch applies to other content of the version",
            Self::Corrupt => "the patch cannot be decompressed",
            Self::WrongDigest => "the result has another digest than the patch names",
        })
    }
}

impl std::error::Error for Error {}

/// A document in compressed form, or its difference to an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The document that it applies to; `None` if it holds the whole new document.
    pub base: Option<Base>,
    /// The document that results.
    pub target: Base,
    /// Length of the result, in bytes.
    pub length: u64,
    /// The compressed content.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
}

impl Patch {
    /// Creates the patch that leads from `base`, or from no document, to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the compression library reports an error, which it does only if memory is
    /// exhausted.
    #[must_use]
    pub fn new(base: Option<&Document>, target: &Document) -> Self {
        let prefix = base.map_or(&[][..], |b| b.content());
        let content = match compress(prefix, target.content()) {
            Ok(content) => content,
            Err(error) => panic!("failed to compress a document: {error}"),
        };
        let length = target.content().len() as u64;
        Self { base: base.map(Document::base), target: target.base(), length, content }
    }

    /// Returns the document that results from the one that is held.
    ///
    /// # Errors
    ///
    /// If the patch does not apply to that document, is damaged, or leads to another content than
    /// it names.
    pub fn apply(&self, held: Option<&Document>) -> Result<Document, Error> {
        let prefix = match (self.base, held) {
            (None, _) => &[][..],
            (Some(base), Some(held)) if base == held.base() => held.content(),
            (Some(base), Some(held)) if base.version == held.version() => {
                return Err(Error::OtherBase);
            }
            (Some(_), _) => return Err(Error::Stale),
        };
        if self.length > MAX_DOCUMENT_BYTES {
            return Err(Error::Corrupt);
        }
        let content = decompress(prefix, &self.content, self.length).ok_or(Error::Corrupt)?;
        let document = Document::new(self.target.version, content.into());
        if document.base() == self.target { Ok(document) } else { Err(Error::WrongDigest) }
    }

    /// Returns whether the patch is the change of an earlier document.
    #[must_use]
    pub fn is_delta(&self) -> bool {
        self.base.is_some()
    }
}

fn compress(prefix: &[u8], content: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    encoder.window_log(window_log(prefix.len() + content.len()))?;
    encoder.set_pledged_src_size(Some(content.len() as u64))?;
    // Without it, matches are searched for in the latest part of a large prefix only.
    encoder.long_distance_matching(!prefix.is_empty())?;
    encoder.write_all(content)?;
    encoder.finish()
}

/// Returns the content if it has exactly this length.
fn decompress(prefix: &[u8], content: &[u8], length: u64) -> Option<Vec<u8>> {
    let mut decoder = zstd::stream::Decoder::with_ref_prefix(content, prefix).ok()?;
    decoder.window_log_max(*WINDOW_LOG.end()).ok()?;
    let mut result = Vec::new();
    decoder.take(length + 1).read_to_end(&mut result).ok()?;
    (result.len() as u64 == length).then_some(result)
}

/// Returns the binary logarithm of a window of at least this many bytes.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().ilog2().clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}
