//! Connections to the other VMs.
//!
//! Messages are queued for each VM and delivered in order by a task of its own, so that a slow VM
//! delays no other. Questions are sent at once and wait for the answer.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use error_stack::{Report, ResultExt};
use meters::{Meters, Operation};
use model::VmName;
use prost::Message as _;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};

use crate::{
    error::{Error, ErrorKind},
    generated::{Sealed, peer_client::PeerClient},
    question::{EntryProtocol, Protocol},
    seal::{Key, Purpose},
    server::{KEEPALIVE, MAX_MESSAGE_BYTES},
};

/// Maximum number of messages queued for a slow VM; more are dropped.
const MAX_QUEUED: usize = 16_384;
/// Maximum number of messages in one delivery.
const MAX_BATCH: usize = 256;
/// Bytes of HTTP/2 and gRPC framing for each call and its answer, with indexed headers. Added to
/// the message size in the metrics.
const CALL_OVERHEAD_BYTES: usize = 160;
/// Timeout for opening a connection, which is many round trips within a region. A VM without power
/// does not answer, and it must be reached soon after it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a delivery. A longer one is useless, because later heartbeats supersede the messages.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// The address of another VM.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// Name of the VM, to which calls are addressed.
    pub vm: VmName,
    /// Address on which it accepts calls of other VMs.
    pub address: SocketAddr,
}

/// What identifies and authenticates the calls of this process.
#[derive(Clone, Debug)]
struct Identity {
    vm: VmName,
    incarnation: u64,
    key: Key,
    seq: Arc<AtomicU64>,
}

type Client = PeerClient<Channel>;

/// A connection that is opened on first use and reopened after it broke.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    client: Mutex<Client>,
}

impl Connection {
    fn new(peer: &PeerAddress) -> Result<Self, Report<Error>> {
        let failed = || Error::from(ErrorKind::Address(peer.vm.to_string()));
        let client = client(peer.address).change_context_lazy(failed)?;
        Ok(Self { address: peer.address, client: Mutex::new(client) })
    }

    fn client(&self) -> Client {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the connection after a call timed out. A network path that drops packets without
    /// resetting the connection would delay every later call as well.
    fn reopen(&self) {
        if let Ok(client) = client(self.address) {
            *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        }
    }
}

fn client(address: SocketAddr) -> Result<Client, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE)
        .keep_alive_while_idle(true);
    Ok(PeerClient::new(endpoint.connect_lazy())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}

struct Link<P: Protocol> {
    connection: Arc<Connection>,
    queue: mpsc::Sender<P::Message>,
}

/// Connections to other VMs.
///
/// Clones share the connections, queues and sequence numbers.
pub struct Links<P: Protocol = EntryProtocol> {
    identity: Identity,
    by_vm: Arc<RwLock<BTreeMap<VmName, Link<P>>>>,
    meters: Arc<Meters>,
}

impl<P: Protocol> Clone for Links<P> {
    fn clone(&self) -> Self {
        Self {
            identity: self.identity.clone(),
            by_vm: Arc::clone(&self.by_vm),
            meters: Arc::clone(&self.meters),
        }
    }
}

impl<P: Protocol> fmt::Debug for Links<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").field("me", &self.identity.vm).finish_non_exhaustive()
    }
}

impl<P: Protocol> Links<P> {
    /// Creates connections from the VM `vm` to `peers`, with the shared key.
    ///
    /// Each connection is opened on first use and reopened after it broke. `incarnation` identifies
    /// the process: where a peer checks for replayed calls, it must be higher than that of every
    /// earlier process of this VM. This must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If an address cannot be used.
    pub fn new(
        vm: VmName,
        incarnation: u64,
        key: Key,
        peers: &[PeerAddress],
        meters: Arc<Meters>,
    ) -> Result<Self, Report<Error>> {
        let identity = Identity { vm, incarnation, key, seq: Arc::default() };
        let links = Self { identity, by_vm: Arc::default(), meters };
        for peer in peers {
            links.add(peer)?;
        }
        Ok(links)
    }

    /// Adds a VM, unless there is a connection to it already. This must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// If its address cannot be used.
    pub fn add(&self, peer: &PeerAddress) -> Result<(), Report<Error>> {
        let mut by_vm = self.by_vm.write().unwrap_or_else(PoisonError::into_inner);
        if by_vm.contains_key(&peer.vm) {
            return Ok(());
        }
        let connection = Arc::new(Connection::new(peer)?);
        let (queue, inbox) = mpsc::channel(MAX_QUEUED);
        let (identity, to) = (self.identity.clone(), peer.vm.clone());
        tokio::spawn(deliver_queued::<P>(
            identity,
            to,
            connection.clone(),
            inbox,
            self.meters.clone(),
        ));
        by_vm.insert(peer.vm.clone(), Link { connection, queue });
        Ok(())
    }

    /// Queues a message for the control thread of another VM.
    ///
    /// The message is dropped if the VM is unknown or its queue is full.
    pub fn send(&self, to: &VmName, message: P::Message) {
        let by_vm = self.by_vm.read().unwrap_or_else(PoisonError::into_inner);
        let sent = by_vm.get(to).is_some_and(|l| l.queue.try_send(message).is_ok());
        if !sent {
            self.meters.count(Operation::MessageDropped);
        }
    }

    /// Returns the names of the VMs that were added.
    #[must_use]
    pub fn vms(&self) -> Vec<VmName> {
        self.by_vm.read().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Asks another VM and waits for the reply, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// If the VM is unknown, cannot be reached in time, refuses the call, or sends an answer with a
    /// wrong MAC.
    pub async fn ask(
        &self,
        to: &VmName,
        question: &P::Question,
        timeout: Duration,
    ) -> Result<P::Reply, Report<Error>> {
        let unreachable = || Error::from(ErrorKind::Unreachable(to.to_string()));
        let connection = {
            let by_vm = self.by_vm.read().unwrap_or_else(PoisonError::into_inner);
            by_vm.get(to).map(|l| Arc::clone(&l.connection)).ok_or_else(unreachable)?
        };
        let payload =
            rmp_serde::to_vec_named(question).change_context(Error::from(ErrorKind::Encoding))?;
        let call = self.identity.seal(Purpose::Ask, to, payload);
        let mac = call.mac.clone();
        let mut client = connection.client();
        let Ok(answer) = tokio::time::timeout(timeout, client.ask(call)).await else {
            connection.reopen();
            return Err(unreachable().into());
        };
        let answer = answer
            .map_err(|s| Error::from(ErrorKind::Refused(s.message().to_owned())))?
            .into_inner();
        if !self.identity.key.verify_answer(&mac, &answer) {
            return Err(Error::from(ErrorKind::WrongMac).into());
        }
        rmp_serde::from_slice(&answer.payload).change_context(Error::from(ErrorKind::Encoding))
    }
}

impl Identity {
    fn seal(&self, purpose: Purpose, to: &VmName, payload: Vec<u8>) -> Sealed {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        self.key.seal(purpose, (&self.vm, to), (self.incarnation, seq), payload)
    }
}

/// Delivers queued messages to one VM in order, one batch at a time. A batch whose delivery fails
/// is dropped.
async fn deliver_queued<P: Protocol>(
    identity: Identity,
    to: VmName,
    connection: Arc<Connection>,
    mut inbox: mpsc::Receiver<P::Message>,
    meters: Arc<Meters>,
) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Ok(payload) = rmp_serde::to_vec_named(&batch) else {
            meters.count(Operation::MessageDropped);
            batch.clear();
            continue;
        };
        batch.clear();
        let call = identity.seal(Purpose::Deliver, &to, payload);
        meters.add_peer_bytes(call.encoded_len() + CALL_OVERHEAD_BYTES);
        let mac = call.mac.clone();
        let mut client = connection.client();
        let delivered = match tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(call)).await {
            Ok(Ok(answer)) => identity.key.verify_answer(&mac, &answer.into_inner()),
            Ok(Err(_)) => false,
            Err(_) => {
                connection.reopen();
                false
            }
        };
        if !delivered {
            meters.count(Operation::MessageDropped);
        }
    }
}
