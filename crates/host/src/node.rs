//! A control VM, put together from its parts.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use keeper::{Answer, Call, Input, Setup, Sync, Synced};
use meters::Meters;
use model::{Span, VmName, ZoneName};
use peer::{AllowedPeers, Key, Links, PeerHandler, ReplyFuture};
use raft::Member;
use tokio::net::TcpListener;

use crate::{
    dialect::Dialect,
    disk::{self, JournalDisk},
    error::{Error, ErrorKind},
    listen::Desk,
    protocol::ControlProtocol,
    thread::{self, Handle},
};

/// Time in which leadership is handed over before the process ends.
const HANDOVER: Duration = Duration::from_millis(400);

/// What a control VM needs to start.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// This VM, named by its IP address.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where operators and backend servers call.
    pub api_address: SocketAddr,
    /// Where other VMs call; control VMs all use this port.
    pub peer_address: SocketAddr,
    /// Data folder.
    pub data_dir: PathBuf,
    /// Control VMs to greet first.
    pub seeds: Vec<VmName>,
    /// Whether the seeds are to found the log.
    pub founding: bool,
    /// Disks that may be lost at once.
    pub losses: usize,
    /// Silence after which a backend server is listed as silent.
    pub silence: Span,
    /// Key of the calls between VMs.
    pub secret: String,
}

/// A running control VM.
#[derive(Debug)]
pub struct Host {
    handle: Handle,
}

struct Responder(Handle);

impl PeerHandler for Responder {
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
    /// Starts a control VM. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If the log on disk cannot be read, or an address cannot be bound.
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
        let journal = disk::open(&config.data_dir);
        let data = || Error::from(ErrorKind::Data(config.data_dir.display().to_string()));
        let setup = Setup {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            incarnation,
            member: Member { vm: config.vm.clone(), disk: journal.disk_id() },
            stored: journal.load().change_context_lazy(data)?,
            seeds: config.seeds.clone(),
            founding: config.founding,
            losses: config.losses,
            silence: config.silence,
            seed: rand::random(),
        };
        let disk = JournalDisk::new(config.data_dir.clone(), journal);
        let handle =
            thread::start(&setup, links, config.peer_address.port(), disk, Arc::clone(&meters))
                .change_context_lazy(|| Error::from(ErrorKind::Threads))?;
        peer::serve(
            config.peer_address,
            config.vm.clone(),
            AllowedPeers::Any,
            key,
            Arc::new(Responder(handle.clone())),
            meters,
            std::future::pending(),
        )
        .await
        .change_context_lazy(|| ErrorKind::Listen(config.peer_address.to_string()).into())?;
        let listener = TcpListener::bind(config.api_address).await.change_context_lazy(|| {
            Error::from(ErrorKind::Listen(config.api_address.to_string()))
        })?;
        let answering = Desk { dialect, handle: handle.clone(), port: config.api_address.port() };
        tokio::spawn(Arc::new(answering).listen(listener));
        Ok(Self { handle })
    }

    /// The control state, for calls from within the process.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Takes the control VMs that changed settings name.
    pub fn add_seeds(&self, seeds: Vec<VmName>) {
        self.handle.input(Input::Seeds(seeds));
    }

    /// Stops as planned: hands over leadership first.
    pub async fn stop(self) {
        self.handle.input(Input::Stop);
        tokio::time::sleep(HANDOVER).await;
    }
}
