//! The HTTP server of a stand-in, its configuration and its life cycle.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Mutex, Notify},
    task::JoinHandle,
    time::timeout,
};

use crate::{
    announce::Announcer,
    engine::{self, PrefixHolders},
    faults::{Fault, Faults},
    plain,
    stats::Stats,
};

/// The kind of backend server that a stand-in simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A model engine, which prefills prompts and streams tokens.
    Engine,
    /// A plain service, which answers every request after a fixed time.
    Plain,
}

/// Service times of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Microseconds to prefill one prompt token.
    pub prefill_us: u64,
    /// Microseconds between two tokens when all slots of an engine are in use. For a plain service,
    /// microseconds of a whole request.
    pub decode_us: u64,
}

/// Configuration of a stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The server id that it announces.
    pub id: String,
    /// The service that it announces; for an engine, the model.
    pub service: String,
    /// The kind of backend server that it simulates.
    pub role: Role,
    /// Number of concurrent requests that it announces to accept. Requests beyond it are accepted
    /// and slow the generation of tokens down.
    pub slots: u64,
    /// Service times while no fault slows the stand-in down.
    pub pace: Pace,
    /// Number of prompt prefixes that its cache holds. It is announced, also when 0.
    pub cache: usize,
    /// The availability zone that it announces.
    pub zone: String,
    /// Whether it refuses placement orders with old fencing numbers.
    pub checks_fences: bool,
    /// Number of stand-ins that hold each prefix, shared by all stand-ins that are measured
    /// together.
    pub holders: Arc<PrefixHolders>,
}

/// Time for which a stand-in that a request ended is away.
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Time without bytes after which a request has arrived.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// State shared by the request handlers of one stand-in.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) stats: Arc<Stats>,
    pub(crate) faults: Faults,
    /// Notified when a request ends the stand-in.
    pub(crate) ended: Notify,
    /// The prefix cache. It is locked while a prompt is prefilled, because an engine prefills one
    /// prompt at a time.
    pub(crate) cache: Mutex<engine::Cache>,
}

pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running stand-in. Dropping it has the effect of [`Server::kill`].
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    accept_task: JoinHandle<()>,
    announce_task: Option<JoinHandle<()>>,
    connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(config: Config) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let cache = Mutex::new(engine::Cache::new(config.cache, Arc::clone(&config.holders)));
        let stats = Arc::new(Stats::default());
        let shared = Arc::new(Shared {
            config,
            stats,
            faults: Faults::default(),
            ended: Notify::new(),
            cache,
        });
        let connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let accept = accept_connections(listener, Arc::clone(&shared), Arc::clone(&connections));
        let accept_task = tokio::spawn(accept);
        Ok(Self { shared, address, accept_task, announce_task: None, connections })
    }

    /// Starts to announce the stand-in as `announcer` says, until it is stopped or killed.
    pub fn announce(&mut self, announcer: Announcer) {
        let task = announcer.run(Arc::clone(&self.shared), self.address);
        self.announce_task = Some(tokio::spawn(task));
    }

    /// Stops the announcements; requests are still served.
    pub fn stop_announcing(&mut self) {
        if let Some(task) = self.announce_task.take() {
            task.abort();
        }
    }

    /// Returns the loopback address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the server id that it announces.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.config.id
    }

    /// Returns the counters of the stand-in, which are updated while it runs.
    #[must_use]
    pub fn stats(&self) -> &Arc<Stats> {
        &self.shared.stats
    }

    /// Injects this fault from now on; [`Fault::None`] ends it.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Sets the factor on all service times, in thousandths: 1,000 is the configured pace.
    pub fn set_slowdown(&self, thousandths: u64) {
        self.shared.faults.set_slowdown(thousandths);
    }

    /// Closes the listener, so that new connections are refused. Open connections are still served.
    pub fn stop_accepting(&self) {
        self.accept_task.abort();
    }

    /// Stops the announcements, closes the listener and aborts all connections at once.
    pub fn kill(&mut self) {
        self.stop_announcing();
        self.accept_task.abort();
        abort_all(&self.connections);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

fn abort_all(connections: &std::sync::Mutex<Vec<JoinHandle<()>>>) {
    if let Ok(mut connections) = connections.lock() {
        for connection in connections.drain(..) {
            connection.abort();
        }
    }
}

/// Accepts connections and serves each in a task of its own.
async fn accept_connections(
    listener: TcpListener,
    shared: Arc<Shared>,
    connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>>,
) {
    let address = listener.local_addr();
    let mut listener = Some(listener);
    loop {
        let Some(open) = &listener else {
            tokio::time::sleep(DOWN_TIME).await;
            let Ok(address) = address else { return };
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        let accepted = tokio::select! {
            accepted = open.accept() => accepted,
            () = shared.ended.notified() => Err(std::io::Error::other("ended by a request")),
        };
        let Ok((mut stream, _)) = accepted else {
            listener = None;
            abort_all(&connections);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            if let Some((start, block)) = shared.faults.get().endless() {
                let sent = send_endlessly(stream, start, &block).await;
                shared.stats.record_endless(sent);
                return;
            }
            let fault = shared.faults.get();
            if let Some(response) = fault.unframed() {
                send_unframed(&mut stream, response).await;
                if fault == Fault::UnframedCrash {
                    shared.ended.notify_one();
                    // Ending aborts this task.
                    std::future::pending::<()>().await;
                }
                return;
            }
            let service = service_fn(move |request| handle(Arc::clone(&shared), request));
            // The client observes how the connection ended.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        if let Ok(mut connections) = connections.lock() {
            connections.retain(|c| !c.is_finished());
            connections.push(task);
        }
    }
}

/// Waits for a request, and sends `start` and then `block` again and again until the connection is
/// closed. Returns the number of bytes sent.
async fn send_endlessly(mut stream: TcpStream, start: &str, block: &str) -> u64 {
    let mut request = [0; 1_024];
    if stream.read(&mut request).await.is_err() {
        return 0;
    }
    let mut sent = 0;
    let mut next = start;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        sent += next.len() as u64;
        next = block;
    }
    sent
}

/// Reads a request, and sends a response that ends with the connection.
async fn send_unframed(stream: &mut TcpStream, response: &str) {
    let mut request = [0; 1_024];
    // Closing the connection before the whole request was read would reset it.
    while let Ok(Ok(1..)) = timeout(QUIET_TIME, stream.read(&mut request)).await {}
    // The client observes how the connection ended.
    let _ = stream.write_all(response.as_bytes()).await;
}

/// Handles a request; an error closes the connection without an answer.
async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    match shared.config.role {
        Role::Engine => engine::handle(shared, request).await,
        Role::Plain => plain::handle(shared, request).await,
    }
}

/// Converts the error type of a body that cannot fail to an I/O error.
pub(crate) fn infallible(error: Infallible) -> std::io::Error {
    match error {}
}
