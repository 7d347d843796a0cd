//! Startup and shutdown of a control VM.
//!
//! [`Host::start`] opens the log, starts the control thread, and then accepts calls of other VMs
//! and of operators and backend servers.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use budget::Resources;
use error_stack::{Report, ResultExt};
use keeper::{Answer, Call, Input, Setup, Sync, Synced};
use meters::Meters;
use model::{Span, VmName, ZoneName};
use peer::{AllowedPeers, Key, Links, PeerHandler, ReplyFuture};
use raft::Member;
use tokio::net::TcpListener;

use crate::{
    client_limits::ClientLimits,
    dialect::Dialect,
    disk::{self, JournalDisk},
    error::{Error, ErrorKind},
    listen::CallListener,
    protocol::ControlProtocol,
    suspects,
    thread::{self, Handle},
};

/// Descriptors for each connection of an operator or a server, of which calls of other VMs take as
/// many again.
const FDS_PER_CONNECTION: usize = 2;
/// Copies of the body of a call: a plan is copied into the log.
const BODY_COPIES: usize = 2;
/// Time allowed for the transfer of leadership before the process ends.
const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Configuration of a control VM.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Name of this VM, which is its IP address.
    pub vm: VmName,
    /// Availability zone of this VM, over which voters are spread.
    pub zone: ZoneName,
    /// Address on which calls of operators and backend servers are accepted. All control VMs use
    /// the same port.
    pub api_address: SocketAddr,
    /// Address on which calls of other VMs are accepted. All control VMs use the same port.
    pub peer_address: SocketAddr,
    /// Folder of the replicated log, which is created if it does not exist.
    pub data_dir: PathBuf,
    /// Control VMs to contact first, through which all others are discovered.
    pub seeds: Vec<VmName>,
    /// Whether the seeds create a new log if none of them belongs to one.
    pub founding: bool,
    /// Number of disks whose simultaneous loss the log tolerates.
    pub losses: usize,
    /// Time without an announcement after which a backend server is listed as silent.
    pub silence: Span,
    /// Shared key that authenticates calls between VMs; see [`peer::Key`].
    pub secret: String,
    /// Memory and descriptors of this VM.
    pub resources: Resources,
    /// Whether orders of rollouts are taken.
    pub takes_orders: bool,
}

/// A running control VM.
///
/// Dropping it does not stop the VM; see [`Host::stop`].
#[derive(Debug)]
pub struct Host {
    handle: Handle,
}

/// Passes calls of other VMs to the control thread.
struct ControlHandler(Handle);

impl PeerHandler for ControlHandler {
    type Protocol = ControlProtocol;

    fn respond<'a>(&'a self, from: &'a VmName, sync: Sync) -> ReplyFuture<'a, ControlProtocol> {
        Box::pin(async move {
            match self.0.call(Call::Sync { from: from.clone(), sync }).await {
                Answer::Synced(synced) => *synced,
                _ => Synced::unknown(),
            }
        })
    }

    fn deliver(&self, from: VmName, message: keeper::Message) {
        self.0.message(from, message);
    }
}

impl Host {
    /// Starts a control VM. It must be called within a tokio runtime.
    ///
    /// If the disk cannot be opened, this waits and retries until it can, or until the returned future
    /// is dropped.
    ///
    /// # Errors
    ///
    /// If the shared key is too short, the log on disk cannot be read, a thread cannot be started,
    /// or an address cannot be bound.
    pub async fn start(
        config: &HostConfig,
        dialect: Arc<dyn Dialect>,
        meters: Arc<Meters>,
    ) -> Result<Self, Report<Error>> {
        let incarnation = rand::random();
        let key = Key::try_from(config.secret.as_str())
            .change_context_lazy(|| Error::from(ErrorKind::Peers))?;
        let links = Links::new(config.vm.clone(), incarnation, key.clone(), &[], meters.clone())
            .change_context_lazy(|| Error::from(ErrorKind::Peers))?;
        let spawn_error = || Error::from(ErrorKind::Spawn);
        let journal = disk::open_in_background(&config.data_dir);
        let data_error =
            || Error::from(ErrorKind::DataFolder(config.data_dir.display().to_string()));
        let journal =
            journal.change_context_lazy(spawn_error)?.await.change_context_lazy(data_error)?;
        let setup = Setup {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            incarnation,
            member: Member { vm: config.vm.clone(), disk: journal.disk_id() },
            stored: journal.load().change_context_lazy(data_error)?,
            seeds: config.seeds.clone(),
            founding: config.founding,
            losses: config.losses,
            silence: config.silence,
            seed: rand::random(),
            suspects: suspects::load(&config.data_dir),
            epoch_ms: epoch_ms(),
            takes_orders: config.takes_orders,
        };
        let disk = JournalDisk::new(config.data_dir.clone(), journal);
        let kept = suspects::start_writer(&config.data_dir).change_context_lazy(spawn_error)?;
        let handle =
            thread::start(&setup, links, config.peer_address.port(), (disk, kept), meters.clone())
                .change_context_lazy(spawn_error)?;
        peer::serve(
            config.peer_address,
            config.vm.clone(),
            AllowedPeers::Any,
            key,
            Arc::new(ControlHandler(handle.clone())),
            meters.clone(),
            std::future::pending(),
        )
        .await
        .change_context_lazy(|| ErrorKind::Bind(config.peer_address.to_string()).into())?;
        let listener = TcpListener::bind(config.api_address)
            .await
            .change_context_lazy(|| Error::from(ErrorKind::Bind(config.api_address.to_string())))?;
        let client_limits = Arc::new(ClientLimits::new(
            config.resources.limits(FDS_PER_CONNECTION, BODY_COPIES),
            Arc::new(|| 0),
            meters,
        ));
        let call_listener = CallListener {
            dialect,
            handle: handle.clone(),
            port: config.api_address.port(),
            ignored: Mutex::default(),
            client_limits: Arc::clone(&client_limits),
            decoding: tokio::sync::Mutex::default(),
        };
        tokio::spawn(client_limits.record_held());
        tokio::spawn(Arc::new(call_listener).listen(listener));
        Ok(Self { handle })
    }

    /// Returns the handle of the control thread, for calls from within the process.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Replaces the seeds by those of changed settings, and contacts the new ones.
    pub fn set_seeds(&self, seeds: Vec<VmName>) {
        self.handle.input(Input::Seeds(seeds));
    }

    /// Transfers leadership to another control VM if this one leads, and waits for that for a fixed
    /// time. The process can end afterwards.
    pub async fn stop(self) {
        self.handle.input(Input::Stop);
        tokio::time::sleep(TRANSFER_TIME).await;
    }
}

/// Returns the Unix time in milliseconds at which the VM was started.
fn epoch_ms() -> u64 {
    let since_boot = clock::since_boot().as_micros() / 1_000;
    // A clock before 1970 is one that was never set.
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX).saturating_sub(since_boot)
}
