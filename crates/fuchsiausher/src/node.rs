//! A running entry VM.
//!
//! [`Node`] opens the data folder, starts the control thread, and serves callers, operators and the
//! other entry VMs on their listeners. It also performs the planned stop.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use backend::{Client, Timeouts};
use control::{Input, Order, PeerSetup, Policy, Setup};
use driver::{Disk, Handle, NoDisk};
use entry::{App, AppConfig};
use error_stack::{Report, ResultExt};
use meters::Meters;
use peer::{AllowedPeers, Key, Links, PeerAddress};
use raft::{Member, WriteBatch};
use settings::Settings;
use store::{Journal, Ledger, LedgerConfig, RefusalStore};
use tokio::{
    net::TcpListener,
    sync::{mpsc::UnboundedReceiver, watch},
    task::JoinHandle,
};

use crate::{
    error::{Error, ErrorKind},
    links::{LinkOutbox, LinkPeers},
    orders::send_orders,
};

/// Time between failing the readiness check and closing the callers' listener. It lets the load
/// balancer and the other VMs notice before connections are refused.
const DRAIN_DELAY: Duration = Duration::from_millis(1_200);
/// Time that the links to other VMs stay open after the last request ended, so that queued
/// messages are still sent.
const LAST_MESSAGES_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for operators' calls in flight at a planned stop.
const ADMIN_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Process exit code after a failed write of the replicated log.
const EXIT_LOG_WRITE: i32 = 74;

type Result<T> = std::result::Result<T, Report<Error>>;

/// A running entry VM.
#[derive(Debug)]
pub struct Node {
    app: App,
    handle: Handle,
    meters: Arc<Meters>,
    stop_callers: watch::Sender<bool>,
    stop_internal: watch::Sender<bool>,
    callers: JoinHandle<bool>,
    admin: JoinHandle<bool>,
    peers: JoinHandle<()>,
}

/// Writes the replicated log to a data folder.
struct JournalDisk(Journal);

impl Disk for JournalDisk {
    type Error = Report<store::Error>;

    fn write(
        &mut self,
        cluster: u64,
        batches: &[WriteBatch],
    ) -> std::result::Result<(), Self::Error> {
        self.0.write(cluster, batches)
    }
}

impl Node {
    /// Starts an entry VM with the default scheduling policy. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder cannot be opened, the control thread or the links to
    /// other entry VMs cannot be started, or an address cannot be bound.
    pub async fn start(settings: &Settings) -> Result<Self> {
        Self::start_with_policy(settings, Policy::default()).await
    }

    /// Starts an entry VM whose brokers use the given scheduling policy, so that policies can be
    /// compared.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases described at [`Node::start`].
    pub async fn start_with_policy(settings: &Settings, policy: Policy) -> Result<Self> {
        let incarnation = wall_micros();
        let meters =
            Meters::new(settings.vm.as_str()).change_context(Error::from(ErrorKind::Metrics))?;
        let meters = Arc::new(meters);
        let links = peer_links(settings, incarnation, &meters)?;
        let (handle, orders, ledger) =
            start_control(settings, (incarnation, policy), &links, &meters)?;
        let client = Client::new(Timeouts {
            connect: settings.timeouts.connect,
            head: settings.timeouts.head,
            idle: settings.timeouts.idle,
        });
        tokio::spawn(send_orders(handle.clone(), client.clone(), orders));
        let app = App::new(AppConfig {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            handle: handle.clone(),
            client,
            ledger,
            meters: Arc::clone(&meters),
            peers: Box::new(LinkPeers(links)),
            max_body: settings.max_body,
            body_timeout: settings.timeouts.idle,
            default_deadline: settings.timeouts.deadline,
            admin_secret: settings.secrets.admin.clone(),
            announce_secret: settings.secrets.announce.clone(),
        });
        let (stop_callers, callers_end) = watch::channel(false);
        let (stop_internal, internal_end) = watch::channel(false);
        let known: BTreeSet<_> = settings.peers.iter().map(|p| p.vm.clone()).collect();
        let peers = peer::serve(
            settings.peers_listen,
            settings.vm.clone(),
            AllowedPeers::Known(known),
            cluster_key(settings)?,
            Arc::new(app.clone()),
            Arc::clone(&meters),
            stop_requested(internal_end.clone()),
        )
        .await
        .change_context_lazy(|| listen_error(settings.peers_listen))?;
        let header = settings.timeouts.header;
        let listener = bind(settings.callers).await?;
        let run = entry::serve(
            listener,
            entry::caller_router(&app),
            app.clone(),
            header,
            stop_requested(callers_end),
            settings.timeouts.stop,
        );
        let callers = tokio::spawn(run);
        let listener = bind(settings.admin).await?;
        let run = entry::serve(
            listener,
            entry::admin_router(&app),
            app.clone(),
            header,
            stop_requested(internal_end),
            ADMIN_STOP_TIMEOUT,
        );
        let admin = tokio::spawn(run);
        spdlog::info!("entry VM {} serves callers on {}", settings.vm, settings.callers);
        Ok(Self { app, handle, meters, stop_callers, stop_internal, callers, admin, peers })
    }

    /// Returns whether the readiness check passes, so that a load balancer sends requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.app.is_ready()
    }

    /// Returns the metrics of this entry VM.
    #[must_use]
    pub fn meters(&self) -> &Meters {
        &self.meters
    }

    /// Performs a planned stop: hands over this VM's roles, finishes the requests in flight, then
    /// closes the listeners. Returns whether all requests were finished in time.
    pub async fn stop(self) -> bool {
        self.app.stop();
        self.handle.input(Input::Drain);
        tokio::time::sleep(DRAIN_DELAY).await;
        let _ = self.stop_callers.send(true);
        let finished = self.callers.await.unwrap_or(false);
        tokio::time::sleep(LAST_MESSAGES_DELAY).await;
        let _ = self.stop_internal.send(true);
        let _ = self.admin.await;
        self.peers.abort();
        self.handle.stop();
        spdlog::info!("stopped; all requests finished: {finished}");
        finished
    }

    /// Simulates a crash within this process: aborts the listeners and stops the control thread
    /// without handing over roles, so that connections break.
    pub fn kill(self) {
        self.callers.abort();
        self.admin.abort();
        self.peers.abort();
        self.handle.stop();
    }
}

async fn stop_requested(mut stop: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops the listeners as well.
    let _ = stop.wait_for(|stop| *stop).await;
}

fn cluster_key(settings: &Settings) -> Result<Key> {
    Key::try_from(settings.secrets.cluster.as_str()).change_context(Error::from(ErrorKind::Peers))
}

fn peer_links(settings: &Settings, incarnation: u64, meters: &Arc<Meters>) -> Result<Links> {
    let address = |p: &settings::Peer| PeerAddress { vm: p.vm.clone(), address: p.address };
    let peers: Vec<_> = settings.peers.iter().map(address).collect();
    let key = cluster_key(settings)?;
    Links::new(settings.vm.clone(), incarnation, key, &peers, Arc::clone(meters))
        .change_context(Error::from(ErrorKind::Peers))
}

/// Opens the data folder, if one is set, and starts the control thread.
fn start_control(
    settings: &Settings,
    (incarnation, policy): (u64, Policy),
    links: &Links,
    meters: &Arc<Meters>,
) -> Result<(Handle, UnboundedReceiver<Order>, Arc<Ledger>)> {
    let on_write_error = |why: String| {
        spdlog::critical!("the replicated log cannot be written: {why}");
        // It is unknown whether the write reached the disk, and a retried sync may report success
        // for data that was lost. So the process ends.
        std::process::exit(EXIT_LOG_WRITE);
    };
    let outbox = LinkOutbox(links.clone());
    let meters = Arc::clone(meters);
    let config = LedgerConfig { vm: settings.vm.clone(), incarnation };
    let on_refusal_error =
        |e: &Report<store::Error>| spdlog::error!("refusals cannot be written: {e}");
    let (handle, store) = if let Some(folder) = &settings.data {
        let data = || Error::from(ErrorKind::Data);
        let journal = Journal::open(folder, rand::random).change_context_lazy(data)?;
        let stored = journal.load().change_context_lazy(data)?;
        let setup = control_setup(settings, (incarnation, policy), journal.disk_id(), stored);
        let disk = JournalDisk(journal);
        let store = RefusalStore::open(folder).change_context_lazy(data)?;
        (driver::start(&setup, outbox, disk, meters, on_write_error), store)
    } else {
        let setup = control_setup(settings, (incarnation, policy), rand::random(), None);
        (driver::start(&setup, outbox, NoDisk, meters, on_write_error), RefusalStore::in_memory())
    };
    let (handle, orders) = handle.change_context(Error::from(ErrorKind::ControlThread))?;
    Ok((handle, orders, Arc::new(Ledger::start(config, store, on_refusal_error))))
}

fn control_setup(
    settings: &Settings,
    (incarnation, policy): (u64, Policy),
    disk: u64,
    stored: Option<raft::StoredState>,
) -> Setup {
    let peer = |p: &settings::Peer| PeerSetup { vm: p.vm.clone(), zone: p.zone.clone() };
    Setup {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        peers: settings.peers.iter().map(peer).collect(),
        founders: settings.founders.clone(),
        incarnation,
        member: Member { vm: settings.vm.clone(), disk },
        stored,
        seed: rand::random(),
        policy,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.change_context_lazy(|| listen_error(address))
}

fn listen_error(address: SocketAddr) -> Error {
    ErrorKind::Listen(address.to_string()).into()
}

fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
