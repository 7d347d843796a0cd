//! Limits on the bytes that a backend server may send.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response, in bytes.
pub(crate) const MAX_HEAD: usize = 64 << 10;
/// Maximum number of bytes of a response up to the end of its head. It exceeds [`MAX_HEAD`] by the
/// interim responses before it and by bytes of the body that arrive with it.
const MAX_BEFORE_BODY: usize = 1 << 20;
/// Maximum size of the body of a response, in bytes.
pub(crate) const MAX_BODY: u64 = 64 << 20;
/// Maximum size of a body that may use the memory kept for small ones, in bytes.
const SMALL_BODY: usize = 64 << 10;
/// Default of the number of bytes of all buffered bodies above which only small ones are buffered.
const MAX_BUFFERED: usize = 64 << 20;
/// Share of that number by which small bodies may exceed it: a quarter.
const SMALL_SHARE: usize = 4;

/// The bytes that a connection may still receive before the head of the current response ends.
#[derive(Clone, Debug)]
pub(crate) struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    pub(crate) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Starts to count the bytes of the next response.
    pub(crate) fn start(&self) {
        self.0.store(MAX_BEFORE_BODY, Ordering::Relaxed);
    }

    /// Ends the limit once the head has arrived.
    pub(crate) fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts received bytes. Returns whether they are allowed.
    fn count(&self, bytes: usize) -> bool {
        let take = |left: usize| {
            if left == usize::MAX { Some(left) } else { left.checked_sub(bytes) }
        };
        self.0.try_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// A connection that fails once more bytes than allowed arrive before the end of a head.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    allowance: HeadAllowance,
}

impl<S> LimitedStream<S> {
    pub(crate) fn new(stream: S, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.allowance.count(buffer.filled().len() - before) {
            let why = format!("no response head within {MAX_BEFORE_BODY} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The bytes of bodies that are being buffered, over all exchanges of a client.
#[derive(Clone, Debug)]
pub(crate) struct Buffered {
    bytes: Arc<AtomicUsize>,
    limit: usize,
}

impl Default for Buffered {
    fn default() -> Self {
        Self::new(MAX_BUFFERED)
    }
}

impl Buffered {
    pub(crate) fn new(limit: usize) -> Self {
        Self { bytes: Arc::default(), limit }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Starts to count the bytes of one body.
    pub(crate) fn count(&self) -> BodyCount {
        BodyCount { total: self.clone(), bytes: 0 }
    }
}

/// The buffered bytes of one body; they no longer count once it is dropped.
#[derive(Debug)]
pub struct BodyCount {
    total: Buffered,
    bytes: usize,
}

impl BodyCount {
    /// Makes at least this many bytes count. Returns false if there is no memory for them.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        bytes <= self.bytes || self.add(bytes - self.bytes)
    }

    /// Adds bytes. Returns whether they may be buffered: as long as all bodies together are below the
    /// limit, or a quarter above it for a small body.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let limit = self.total.limit;
        let is_small = self.bytes + bytes <= SMALL_BODY;
        let most = limit + if is_small { limit / SMALL_SHARE } else { 0 };
        let grow = |total: usize| total.checked_add(bytes).filter(|total| *total <= most);
        let added = self.total.bytes.try_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_ok();
        self.bytes += if added { bytes } else { 0 };
        added
    }
}

impl Drop for BodyCount {
    fn drop(&mut self) {
        self.total.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A buffered body. Its bytes count until the last clone of them is dropped, so that those of a
/// response whose caller does not read it count too.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    count: BodyCount,
}

impl BufferedBody {
    pub(crate) fn new(total: &Buffered) -> Self {
        Self { bytes: Vec::new(), count: total.count() }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a chunk to a body of at most `max` bytes. Returns whether there is memory for it,
    /// which is counted before it is allocated.
    pub(crate) fn push(&mut self, chunk: &[u8], max: usize) -> bool {
        let size = self.bytes.len() + chunk.len();
        let before = self.bytes.capacity();
        if size > before {
            let next = size.max((before * 2).min(max));
            if !self.count.add(next - before) {
                return false;
            }
            self.bytes.reserve_exact(next - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

/// A piece of a body that counts until the last clone of its bytes is dropped.
#[derive(Debug)]
struct CountedPiece {
    bytes: Bytes,
    _count: BodyCount,
}

impl AsRef<[u8]> for CountedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Counts a piece of a body that is queued. Returns `None` if there is no memory for it.
pub(crate) fn counted_piece(total: &Buffered, bytes: &Bytes) -> Option<Bytes> {
    let mut count = total.count();
    let has_room = count.add(bytes.len());
    has_room.then(|| Bytes::from_owner(CountedPiece { bytes: bytes.clone(), _count: count }))
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
