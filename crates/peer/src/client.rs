//! Connections to the other VMs.

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
use meters::{Meters, Op};
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

/// Messages that wait for a slow VM; more are dropped.
const MAX_WAITING: usize = 16_384;
/// Most messages in one delivery.
const MAX_BATCH: usize = 256;
/// Bytes of HTTP/2 and gRPC framing for each call and its answer, with indexed headers.
const CALL_OVERHEAD_BYTES: usize = 160;
/// Longest wait for a connection: many round trips within a region. A VM without power answers none,
/// and is to be found soon after it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for a delivery; heartbeats make a longer one useless.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Where another VM listens.
#[derive(Clone, Debug)]
pub struct PeerAddress {
    /// The VM.
    pub vm: VmName,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Identity {
    me: VmName,
    incarnation: u64,
    key: Key,
    seq: Arc<AtomicU64>,
}

type Client = PeerClient<Channel>;

/// A connection that is opened when it is first used, and again after it broke.
#[derive(Debug)]
struct Line {
    address: SocketAddr,
    client: Mutex<Client>,
}

impl Line {
    fn new(peer: &PeerAddress) -> Result<Self, Report<Error>> {
        let failed = || Error::from(ErrorKind::Address(peer.vm.to_string()));
        let client = client(peer.address).change_context_lazy(failed)?;
        Ok(Self { address: peer.address, client: Mutex::new(client) })
    }

    fn client(&self) -> Client {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Drops the connection after a call had no answer in time: a path that went silent without
    /// being reset would hold every later call as well.
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
    line: Arc<Line>,
    waiting: mpsc::Sender<P::Message>,
}

/// Connections to other VMs.
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
        f.debug_struct("Links").field("me", &self.identity.me).finish_non_exhaustive()
    }
}

impl<P: Protocol> Links<P> {
    /// Connections to these VMs; each is opened when it is first used, and again after it broke.
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If an address cannot be used.
    pub fn new(
        me: VmName,
        incarnation: u64,
        key: Key,
        peers: &[PeerAddress],
        meters: Arc<Meters>,
    ) -> Result<Self, Report<Error>> {
        let identity = Identity { me, incarnation, key, seq: Arc::default() };
        let links = Self { identity, by_vm: Arc::default(), meters };
        for peer in peers {
            links.add(peer)?;
        }
        Ok(links)
    }

    /// Adds a VM, unless it is known. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// If its address cannot be used.
    pub fn add(&self, peer: &PeerAddress) -> Result<(), Report<Error>> {
        let mut by_vm = self.by_vm.write().unwrap_or_else(PoisonError::into_inner);
        if by_vm.contains_key(&peer.vm) {
            return Ok(());
        }
        let line = Arc::new(Line::new(peer)?);
        let (waiting, inbox) = mpsc::channel(MAX_WAITING);
        let (identity, to) = (self.identity.clone(), peer.vm.clone());
        tokio::spawn(deliver_all::<P>(identity, to, line.clone(), inbox, self.meters.clone()));
        by_vm.insert(peer.vm.clone(), Link { line, waiting });
        Ok(())
    }

    /// Queues a message for another VM's control thread, or drops it.
    pub fn send(&self, to: &VmName, message: P::Message) {
        let by_vm = self.by_vm.read().unwrap_or_else(PoisonError::into_inner);
        let sent = by_vm.get(to).is_some_and(|l| l.waiting.try_send(message).is_ok());
        if !sent {
            self.meters.count(Op::MessageDropped);
        }
    }

    /// The other VMs.
    #[must_use]
    pub fn vms(&self) -> Vec<VmName> {
        self.by_vm.read().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Asks another VM.
    ///
    /// # Errors
    ///
    /// If it cannot be reached in time, refuses the call, or does not prove its identity.
    pub async fn ask(
        &self,
        to: &VmName,
        question: &P::Question,
        timeout: Duration,
    ) -> Result<P::Reply, Report<Error>> {
        let unreachable = || Error::from(ErrorKind::Unreachable(to.to_string()));
        let line = {
            let by_vm = self.by_vm.read().unwrap_or_else(PoisonError::into_inner);
            by_vm.get(to).map(|l| Arc::clone(&l.line)).ok_or_else(unreachable)?
        };
        let payload =
            rmp_serde::to_vec_named(question).change_context(Error::from(ErrorKind::Encoding))?;
        let call = self.identity.seal(Purpose::Ask, to, payload);
        let mac = call.mac.clone();
        let mut client = line.client();
        let Ok(answer) = tokio::time::timeout(timeout, client.ask(call)).await else {
            line.reopen();
            return Err(unreachable().into());
        };
        let answer = answer
            .map_err(|s| Error::from(ErrorKind::Refused(s.message().to_owned())))?
            .into_inner();
        if !self.identity.key.verify_answer(&mac, &answer) {
            return Err(Error::from(ErrorKind::Forged).into());
        }
        rmp_serde::from_slice(&answer.payload).change_context(Error::from(ErrorKind::Encoding))
    }
}

impl Identity {
    fn seal(&self, purpose: Purpose, to: &VmName, payload: Vec<u8>) -> Sealed {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        self.key.seal(purpose, (&self.me, to), (self.incarnation, seq), payload)
    }
}

/// Delivers messages to one VM in order, one batch at a time. A batch that fails is dropped.
async fn deliver_all<P: Protocol>(
    identity: Identity,
    to: VmName,
    line: Arc<Line>,
    mut inbox: mpsc::Receiver<P::Message>,
    meters: Arc<Meters>,
) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Ok(payload) = rmp_serde::to_vec_named(&batch) else {
            meters.count(Op::MessageDropped);
            batch.clear();
            continue;
        };
        batch.clear();
        let call = identity.seal(Purpose::Deliver, &to, payload);
        meters.sent(call.encoded_len() + CALL_OVERHEAD_BYTES);
        let mac = call.mac.clone();
        let mut client = line.client();
        let delivered = match tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(call)).await {
            Ok(Ok(answer)) => identity.key.verify_answer(&mac, &answer.into_inner()),
            Ok(Err(_)) => false,
            Err(_) => {
                line.reopen();
                false
            }
        };
        if !delivered {
            meters.count(Op::MessageDropped);
        }
    }
}
