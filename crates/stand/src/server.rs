//! A stand-in on a socket.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Mutex, task::JoinHandle};

use crate::{
    announce::Announcer,
    engine::{self, PrefixHolders},
    faults::{Fault, Faults},
    plain,
    stats::Stats,
};

/// What a stand-in runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// How fast a stand-in works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Microseconds to prefill one prompt token.
    pub prefill_us: u64,
    /// Microseconds between two tokens when the engine is full; a plain service's whole answer.
    pub decode_us: u64,
}

/// What a stand-in is made of.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its id.
    pub id: String,
    /// The service that it offers.
    pub service: String,
    /// What it runs.
    pub role: Role,
    /// Requests that it announces to work on at once.
    pub slots: u64,
    /// How fast it works.
    pub pace: Pace,
    /// Prefixes that its cache holds.
    pub cache: usize,
    /// Its availability zone.
    pub zone: String,
    /// Whether it refuses orders with old fencing numbers.
    pub checks_fences: bool,
    /// Which stand-ins hold which prefixes, shared by those that are measured together.
    pub holders: Arc<PrefixHolders>,
}

/// What the handlers of one stand-in share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) stats: Arc<Stats>,
    pub(crate) faults: Faults,
    /// Held while a prompt is prefilled: an engine prefills one at a time.
    pub(crate) prefill: Mutex<engine::Cache>,
}

pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running stand-in; dropping it kills it.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    accepting: JoinHandle<()>,
    announcing: Option<JoinHandle<()>>,
    connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(config: Config) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let prefill = Mutex::new(engine::Cache::new(config.cache, Arc::clone(&config.holders)));
        let stats = Arc::new(Stats::default());
        let shared = Arc::new(Shared { config, stats, faults: Faults::default(), prefill });
        let connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let accept = accept(listener, Arc::clone(&shared), Arc::clone(&connections));
        let accepting = tokio::spawn(accept);
        Ok(Self { shared, address, accepting, announcing: None, connections })
    }

    /// Announces the stand-in to these administration listeners in turn.
    pub fn announce(&mut self, announcer: Announcer) {
        let task = announcer.run(Arc::clone(&self.shared), self.address);
        self.announcing = Some(tokio::spawn(task));
    }

    /// Stops announcing.
    pub fn stop_announcing(&mut self) {
        if let Some(task) = self.announcing.take() {
            task.abort();
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.config.id
    }

    /// What it ran.
    #[must_use]
    pub fn stats(&self) -> &Arc<Stats> {
        &self.shared.stats
    }

    /// Fails from now on in this way.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Works this many times slower, in thousandths.
    pub fn set_slowdown(&self, thousandths: u64) {
        self.shared.faults.set_slowdown(thousandths);
    }

    /// Refuses new connections; those that exist go on.
    pub fn stop_accepting(&self) {
        self.accepting.abort();
    }

    /// Dies: all connections end at once.
    pub fn kill(&mut self) {
        self.stop_announcing();
        self.accepting.abort();
        if let Ok(mut connections) = self.connections.lock() {
            for connection in connections.drain(..) {
                connection.abort();
            }
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    connections: Arc<std::sync::Mutex<Vec<JoinHandle<()>>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| handle(Arc::clone(&shared), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        let task = tokio::spawn(async move {
            // The other end sees how it ended.
            let _ = connection.await;
        });
        if let Ok(mut connections) = connections.lock() {
            connections.retain(|c| !c.is_finished());
            connections.push(task);
        }
    }
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

/// An error body type that cannot occur, as an I/O error.
pub(crate) fn never(never: Infallible) -> std::io::Error {
    match never {}
}
