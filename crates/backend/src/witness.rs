//! Connections that show whether the process behind a response that ends with its connection is still
//! there after the end.
//!
//! The end of such a response looks the same whether the process finished it or ended. A reply that
//! arrives after the end on another connection to the same process shows that it is alive. That
//! connection must have been open before the end: a process that starts later accepts new
//! connections at the same address, but resets those of its predecessor.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::client::{Client, Connection};

/// Time from which on a connection is replaced while the response goes on. Servers that close idle
/// connections do so after several seconds.
const REPLACE_AFTER: Duration = Duration::from_secs(2);
/// Maximum time for which a connection from the pool has been idle, for the same reason.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Longest time for which bytes of a connection are held up on a broken path before the connection
/// is given up: keepalive breaks it after three seconds.
const MAX_HOLD_UP: Duration = Duration::from_secs(4);

/// When a connection was opened, relative to the response whose end it is to prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// While the process that sent the response was certainly alive: before it received the request,
    /// or so long before a later part of the response that this part was sent afterwards.
    WhileAlive,
    /// Before the end of the response arrived. If the response was held up on its way, the process
    /// may have ended before, and another one may have accepted the connection.
    BeforeEnd,
    /// After the end arrived.
    AfterEnd,
}

/// A connection that is opened, or open.
#[derive(Debug)]
enum State {
    Opening(oneshot::Receiver<Connection>),
    Open(Connection),
    /// It could not be opened, or has closed.
    Closed,
}

impl State {
    /// Takes in whether the connection was opened, or has closed, in the meantime.
    fn update(&mut self) {
        if let Self::Opening(receiver) = self {
            match receiver.try_recv() {
                Ok(connection) => *self = Self::Open(connection),
                Err(oneshot::error::TryRecvError::Empty) => {}
                Err(oneshot::error::TryRecvError::Closed) => *self = Self::Closed,
            }
        }
        if matches!(self, Self::Open(connection) if connection.is_closed()) {
            *self = Self::Closed;
        }
    }
}

/// The connections held for one response.
#[derive(Debug)]
pub(crate) struct Witness {
    client: Client,
    address: SocketAddr,
    /// When the request was sent.
    sent: Instant,
    /// When the latest part of the response arrived.
    latest: Instant,
    /// When `current` was taken or its opening began.
    since: Instant,
    current: State,
    /// The connection before `current`. It is kept because `current` may have been opened to a later
    /// process, which the closing of this one shows.
    previous: Option<State>,
    /// When a connection was found closed.
    lost: Option<Instant>,
}

impl Witness {
    /// Takes a connection to `address` from the pool that was open before `sent`, or opens one.
    pub(crate) fn new(client: Client, address: SocketAddr, sent: Instant) -> Self {
        let now = Instant::now();
        let pooled = client.pool.take_where(address, |opened, idle| {
            opened < sent && now.saturating_duration_since(idle) < MAX_IDLE_TIME
        });
        let current = pooled.map_or_else(|| open(&client, address), State::Open);
        Self { client, address, sent, latest: now, since: now, current, previous: None, lost: None }
    }

    /// Records that a part of the response arrived, and replaces the connection if it is due.
    pub(crate) fn record_part(&mut self) {
        let now = Instant::now();
        self.latest = now;
        self.update(now);
        if now.saturating_duration_since(self.since) >= REPLACE_AFTER {
            self.since = now;
            let next = open(&self.client, self.address);
            self.previous = Some(std::mem::replace(&mut self.current, next));
        }
    }

    fn update(&mut self, now: Instant) {
        for state in self.previous.iter_mut().chain([&mut self.current]) {
            let was_closed = matches!(state, State::Closed);
            state.update();
            if !was_closed && matches!(state, State::Closed) {
                self.lost = Some(now);
            }
        }
    }

    /// Returns the next connection on which a reply may prove that the process is alive, and when
    /// it was opened. `ended` is the time of the end of the response.
    pub(crate) async fn next(&mut self, ended: Instant) -> Option<(Connection, Opened)> {
        loop {
            let (state, is_last) = match self.previous.take() {
                Some(previous) => (previous, false),
                None => (std::mem::replace(&mut self.current, State::Closed), true),
            };
            let connection = match state {
                State::Opening(receiver) => receiver.await.ok(),
                State::Open(connection) => Some(connection),
                State::Closed => None,
            };
            match connection.filter(|connection| !connection.is_closed()) {
                Some(connection) => {
                    let opened = self.opened(connection.opened, ended);
                    // A process that ended closes all of its connections. Only an older one that
                    // is still open shows that the closed one was closed for another reason.
                    if opened == Opened::WhileAlive || !self.is_suspect() {
                        return Some((connection, opened));
                    }
                }
                None => self.lost = Some(Instant::now()),
            }
            if is_last {
                return None;
            }
        }
    }

    /// Records that a connection broke before it brought a reply.
    pub(crate) fn record_failure(&mut self) {
        self.lost = Some(Instant::now());
    }

    fn opened(&self, opened: Instant, ended: Instant) -> Opened {
        if opened < self.sent || self.latest > opened + MAX_HOLD_UP {
            Opened::WhileAlive
        } else if opened < ended {
            Opened::BeforeEnd
        } else {
            Opened::AfterEnd
        }
    }

    /// Returns whether a connection was lost so shortly before the latest part that the process may
    /// have ended then.
    fn is_suspect(&self) -> bool {
        self.lost.is_some_and(|lost| self.latest <= lost + MAX_HOLD_UP)
    }
}

/// Starts to open a connection.
fn open(client: &Client, address: SocketAddr) -> State {
    let (sender, receiver) = oneshot::channel();
    let client = client.clone();
    tokio::spawn(async move {
        if let Ok(connection) = client.connect(address).await {
            // The response may have been given up in the meantime.
            let _ = sender.send(connection);
        }
    });
    State::Opening(receiver)
}
