//! An entry VM, put together from its parts.

use std::{
    net::{IpAddr, SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use backend::{Client, Deadlines};
use error_stack::{Report, ResultExt};
use host::ControlRole;
use http::StatusCode;
use meters::Meters;
use model::{Span, Time, VmName, ZoneName};
use peer::{Key, Links};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    budget::Budgets,
    desk::Desk,
    dialect::Dialect,
    error::{Error, ErrorKind},
    follow::Follower,
    gate::Gate,
    listen,
    load::Datagram,
    quota::{QuotaConfig, Quotas},
    thread::{self, Surroundings, Views},
};

/// Time between failing the readiness check and closing the listener: the balancer needs two
/// checks of a second each.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Time kept free before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Silence of all control VMs after which this VM leaves it to others to grant servers: what it knows
/// of them grows old. Some of the questions that a control VM leaves open without news.
const CONTROL_SILENCE: Span = Span::from_millis(1_500);
/// Longest message of another entry VM, in bytes: the largest UDP datagram.
const MAX_DATAGRAM: usize = 65_507;
/// Longest waits for backend servers; each request has shorter ones of its own.
const DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(400),
    head: Duration::from_mins(10),
    idle: Duration::from_mins(10),
};

type Result<T> = std::result::Result<T, Report<Error>>;

/// What an entry VM needs to start.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// This VM, named by its IP address.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM is ready.
    pub ready: SocketAddr,
    /// Port on which control VMs listen for other VMs.
    pub control_port: u16,
    /// Port on which entry VMs tell each other their load.
    pub load_port: u16,
    /// Control VMs to follow first.
    pub seeds: Vec<VmName>,
    /// Key of the calls between VMs.
    pub secret: String,
    /// Time for which keys are accepted after the plan was last known to be current.
    pub key_lease: Span,
    /// Requests that may be sent again, relative to all of a service.
    pub retry_ratio: f64,
    /// Requests that may be sent again beyond that, in every window, over all entry VMs.
    pub retry_slack: u32,
    /// Length of that window.
    pub retry_window: Span,
    /// How quotas are counted.
    pub quotas: QuotaConfig,
    /// Time from the signal to stop until the process is killed.
    pub stop_time: Duration,
}

/// A running entry VM.
pub struct Relay {
    gate: Arc<Gate>,
    follower: Arc<Follower>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<bool>,
    stop_time: Duration,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("ready", &self.gate.is_ready()).finish_non_exhaustive()
    }
}

/// What the desk needs of this process.
struct Surrounding {
    socket: UdpSocket,
    port: u16,
    stopping: Arc<AtomicBool>,
    /// When a control VM answered last, in microseconds.
    answered: Arc<AtomicU64>,
}

impl Surroundings for Surrounding {
    fn tell(&self, vms: &[VmName], datagram: &Datagram) {
        let Ok(bytes) = rmp_serde::to_vec(datagram) else {
            spdlog::error!("message to entry VMs cannot be encoded");
            return;
        };
        for ip in vms.iter().filter_map(|vm| vm.as_str().parse::<IpAddr>().ok()) {
            // A datagram that is lost is made up for by the next.
            let _ = self.socket.send_to(&bytes, (ip, self.port));
        }
    }

    fn is_able(&self) -> bool {
        let answered = Time::from_micros(self.answered.load(Ordering::Relaxed));
        !self.stopping.load(Ordering::Relaxed) && clock::since_boot() < answered + CONTROL_SILENCE
    }
}

impl Relay {
    /// Starts an entry VM. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start(
        config: &RelayConfig,
        dialect: Arc<dyn Dialect>,
        meters: Arc<Meters>,
    ) -> Result<Self> {
        let incarnation: u64 = rand::random();
        let peers = || Error::from(ErrorKind::Peers);
        let key = Key::try_from(config.secret.as_str()).change_context_lazy(peers)?;
        let links: Links<ControlRole> =
            Links::new(config.vm.clone(), incarnation, key, &[], Arc::clone(&meters))
                .change_context_lazy(peers)?;
        let budgets = Budgets::new(config.retry_ratio, config.retry_slack, config.retry_window);
        let quotas = Quotas::new(config.quotas, incarnation);
        let desk = Desk::new(config.vm.clone(), incarnation, budgets, quotas);
        let (confirmed, stopping) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let answered = Arc::new(AtomicU64::new(0));
        let (socket, incoming) = datagrams(config)?;
        let surrounding = Surrounding {
            socket,
            port: config.load_port,
            stopping: Arc::clone(&stopping),
            answered: Arc::clone(&answered),
        };
        let handle = thread::start(config.vm.clone(), desk, surrounding)
            .change_context_lazy(|| Error::from(ErrorKind::Threads))?;
        let views = Arc::new(Views::default());
        let (plans, planned) = watch::channel(0);
        let follower = Arc::new(Follower::new(
            (config.vm.clone(), incarnation),
            config.zone.clone(),
            config.control_port,
            links,
            Arc::clone(&dialect),
            Arc::clone(&views),
            plans,
            Arc::clone(&confirmed),
            answered,
            Arc::clone(&stopping),
            handle.clone(),
        ));
        follower.learn(config.seeds.clone());
        tokio::spawn(Arc::clone(&follower).run());
        let hearing = handle.clone();
        tokio::spawn(hear(incoming, hearing));
        let gate = Arc::new(Gate {
            dialect,
            views,
            plans: planned,
            confirmed,
            stopping,
            key_lease: config.key_lease,
            handle,
            client: Client::new(DEADLINES),
            meters,
            incarnation,
            count: AtomicU64::new(0),
        });
        let checked = Arc::clone(&gate);
        let ready = bind(config.ready).await?;
        tokio::spawn(listen::serve_probes(ready, move |_| {
            let status =
                if checked.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            (status, String::new())
        }));
        let listener = bind(config.callers).await?;
        let (stop, stopped) = watch::channel(false);
        let grace = config.stop_time.saturating_sub(DRAIN_DELAY + KILL_MARGIN);
        let callers =
            tokio::spawn(listen::serve(listener, Arc::clone(&gate), ended(stopped), grace));
        Ok(Self { gate, follower, stop, callers, stop_time: config.stop_time })
    }

    /// Takes the control VMs that changed settings name.
    pub fn add_seeds(&self, seeds: Vec<VmName>) {
        self.follower.learn(seeds);
    }

    /// Stops as planned: no new connections are wanted, what is in flight is finished. Returns
    /// whether everything was finished in time.
    pub async fn stop(self) -> bool {
        self.gate.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(DRAIN_DELAY.min(self.stop_time / 2)).await;
        // The listener ends when nobody holds the sender, too.
        let _ = self.stop.send(true);
        self.callers.await.unwrap_or(false)
    }
}

async fn ended(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.change_context_lazy(|| listen_error(address))
}

fn listen_error(address: SocketAddr) -> Error {
    ErrorKind::Listen(address.to_string()).into()
}

fn datagrams(config: &RelayConfig) -> Result<(UdpSocket, tokio::net::UdpSocket)> {
    let address = SocketAddr::new(config.callers.ip(), config.load_port);
    let failed = || listen_error(address);
    let socket = UdpSocket::bind(address).change_context_lazy(failed)?;
    socket.set_nonblocking(true).change_context_lazy(failed)?;
    let incoming = socket.try_clone().change_context_lazy(failed)?;
    let incoming = tokio::net::UdpSocket::from_std(incoming).change_context_lazy(failed)?;
    Ok((socket, incoming))
}

async fn hear(socket: tokio::net::UdpSocket, handle: thread::Handle) {
    let mut bytes = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        match rmp_serde::from_slice(&bytes[..len]) {
            Ok(datagram) => handle.hear(datagram),
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("message of an entry VM cannot be read", kv: { error });
            }
        }
    }
}
