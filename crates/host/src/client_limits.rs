//! The bound on what clients take of the memory and the descriptors of this process.
//!
//! [`ClientLimits`] admit the connections of one listener and hold the pool from which the bodies of
//! their requests are reserved. [`GuardedStream`] and [`GuardedBody`] record what happens on a
//! connection, so that only one without a request is closed in favour of another.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use budget::{BodyReservation, Limits, Memory, Permit, Permits, ResponseGuard};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use logs::Repeats;
use meters::{Meters, Operation};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Time for which a client may read nothing of a response before its connection is closed. Callers
/// that are slow, but read, take some of it in that time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same while more than half of the memory for responses is held. Callers that read take some of
/// a response in it on any link that carries 16 kbit/s.
const SHORT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the held bytes are recorded in the metrics.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the bytes of responses that are held for callers.
pub type HeldResponses = Arc<dyn Fn() -> usize + Send + Sync>;

/// The limits of one listener, and what its clients use.
pub struct ClientLimits {
    limits: Limits,
    memory: Memory,
    permits: Permits,
    responses: HeldResponses,
    meters: Arc<Meters>,
    /// What was logged, by client address.
    logged: Mutex<Repeats>,
}

/// An admitted connection.
pub struct Admitted {
    /// The connection.
    pub stream: GuardedStream<TcpStream>,
    /// Its permit among the open connections.
    pub permit: Permit,
    /// Maximum size of its read buffer, and so of the head of a request, in bytes.
    pub buffer: usize,
}

impl ClientLimits {
    /// Creates the limits of a listener.
    #[must_use]
    pub fn new(limits: Limits, responses: HeldResponses, meters: Arc<Meters>) -> Self {
        Self {
            limits,
            memory: Memory::new(limits.bodies),
            permits: Permits::default(),
            responses,
            meters,
            logged: Mutex::default(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Opens a body of a request of this client.
    #[must_use]
    pub fn open_body(&self, client: IpAddr) -> BodyReservation {
        self.memory.open(Some(client))
    }

    /// Admits a connection, or closes it if all others are in use. `head` is the size of the heads
    /// that are allowed, in bytes.
    #[must_use]
    pub fn admit(&self, stream: TcpStream, client: SocketAddr, head: usize) -> Option<Admitted> {
        let (max, buffer) = self.limits.connections(head);
        let Some(permit) = self.permits.take(client.ip(), max) else {
            self.meters.count(Operation::ConnectionRefused);
            self.log(client.ip(), "connection refused: all others are in use");
            return None;
        };
        // Without TCP_NODELAY, small chunks wait until the client acknowledges earlier data.
        let _ = stream.set_nodelay(true);
        let (responses, half) = (Arc::clone(&self.responses), self.limits.responses / 2);
        let stream = GuardedStream { stream, permit: permit.clone(), stall: None, responses, half };
        Some(Admitted { stream, permit, buffer })
    }

    /// Records that a connection was closed in favour of another one.
    pub fn connection_closed(&self, client: IpAddr) {
        self.meters.count(Operation::ConnectionClosed);
        self.log(client, "connection without a whole request closed in favour of another one");
    }

    /// Records that a body was refused for lack of memory.
    pub fn body_refused(&self, client: IpAddr) {
        self.meters.count(Operation::BodyRefused);
        self.log(client, "body refused for lack of memory");
    }

    /// Records that the body of a call was not read to its end.
    pub(crate) fn call_unread(&self, client: IpAddr, why: &str) {
        self.log(client, &format!("call not read: {why}"));
    }

    /// Logs an event, once a minute for each client and kind: crowds cause many.
    fn log(&self, client: IpAddr, event: &str) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.is_due(&format!("{client} {event}"), Instant::now()) {
            let (held, open) = (self.memory.held(), self.permits.count());
            spdlog::warn!(
                "a limit on clients was reached",
                kv: { client = client.to_string(), event, held, open }
            );
        }
    }

    /// Records the held bytes in the metrics, without end.
    pub async fn record_held(self: Arc<Self>) {
        loop {
            self.meters.record_held("requests", self.memory.held());
            self.meters.record_held("responses", (self.responses)());
            sleep(RECORD_INTERVAL).await;
        }
    }
}

/// A connection that fails if its client reads nothing for [`WRITE_TIMEOUT`], or for
/// [`SHORT_WRITE_TIMEOUT`] while memory is short, and that records when all bytes have been written.
pub struct GuardedStream<S> {
    stream: S,
    permit: Permit,
    /// Set while a write waits, with the time of its start.
    stall: Option<(Instant, Pin<Box<Sleep>>)>,
    responses: HeldResponses,
    /// Half of the memory for responses, in bytes.
    half: usize,
}

impl<S> GuardedStream<S> {
    /// Checks how long a write has been waiting.
    fn check<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall = None;
            return result;
        }
        let start = || (Instant::now(), Box::pin(sleep(SHORT_WRITE_TIMEOUT)));
        let (since, tick) = self.stall.get_or_insert_with(start);
        while tick.as_mut().poll(context).is_ready() {
            if since.elapsed() >= WRITE_TIMEOUT || (self.responses)() > self.half {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            tick.set(sleep(SHORT_WRITE_TIMEOUT));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(result, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check(result, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream only when all its bytes have been written.
        let result = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.permit.flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response, whose drop records that the response is complete.
#[derive(Debug)]
pub struct GuardedBody<B> {
    body: B,
    _guard: ResponseGuard,
}

impl<B> GuardedBody<B> {
    /// Guards the body of a response on a connection.
    pub fn new(body: B, permit: &Permit) -> Self {
        Self { body, _guard: permit.guard() }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
