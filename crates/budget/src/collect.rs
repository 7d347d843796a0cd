//! Reading of bodies whose bytes are reserved first.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use crate::memory::{BodyReservation, NoMemory};

/// Smallest reservation of a body, in bytes.
const MIN_RESERVATION: usize = 4_096;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum CollectError<E> {
    /// It is longer than the limit.
    TooLong,
    /// There is no memory, or the body stalled while others needed its memory.
    NoMemory(NoMemory),
    /// The body broke off.
    Broken(E),
}

/// The bytes of a body with their reservation.
struct Held {
    bytes: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body of at most `limit` bytes into one buffer. The bytes stay reserved until the
/// last clone of the result is dropped.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off, or must yield its memory.
///
/// # Examples
///
/// ```
/// use budget::{Memory, Resources};
/// use bytes::Bytes;
/// use http_body_util::Full;
///
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// let memory = Memory::new(Resources::default().limits(3, 1).bodies);
/// let body = Full::new(Bytes::from_static(b"hello"));
/// let bytes = budget::collect(body, memory.open(None), 1_024).await.unwrap();
/// assert_eq!(bytes, "hello");
/// assert!(memory.held() >= 5);
/// drop(bytes);
/// assert_eq!(memory.held(), 0);
/// # }
/// ```
pub async fn collect<B>(
    body: B,
    reservation: BodyReservation,
    limit: usize,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut body = body;
    if body.size_hint().lower() > limit as u64 {
        return Err(CollectError::TooLong);
    }
    let announced = body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
    let mut bytes = Vec::new();
    let mut reserved = 0;
    let evicted = || CollectError::NoMemory(NoMemory { is_evicted: true });
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = reservation.evicted() => return Err(evicted()),
        };
        let Some(frame) = frame else { break };
        // Trailers are skipped.
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > limit {
            return Err(CollectError::TooLong);
        }
        if size > reserved {
            let most = announced.unwrap_or(limit).max(size);
            let next = (reserved * 2).max(MIN_RESERVATION).max(size).min(most);
            reservation.reserve(next - reserved).await.map_err(CollectError::NoMemory)?;
            reserved = next;
            bytes.reserve_exact(reserved - bytes.len());
        }
        bytes.extend_from_slice(&data);
        reservation.received(size);
    }
    if !reservation.complete() {
        return Err(evicted());
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(Held { bytes, _reservation: reservation }))
}
