//! Connections to the other VMs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use control::Message;
use error_stack::{Report, ResultExt};
use meters::{Meters, Op};
use model::VmName;
use prost::Message as _;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};

use crate::{
    error::{Error, ErrorKind},
    generated::{Sealed, peer_client::PeerClient},
    question::{Question, Reply},
    seal::{Key, Purpose},
    server::{KEEPALIVE, MAX_MESSAGE_BYTES},
};

/// Messages that wait for a slow VM; more are dropped.
const MAX_WAITING: usize = 16_384;
/// Most messages in one delivery.
const MAX_BATCH: usize = 256;
/// Bytes of HTTP/2 and gRPC framing for each call and its answer, with indexed headers.
const CALL_OVERHEAD_BYTES: usize = 160;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
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

#[derive(Clone, Debug)]
struct Link {
    client: PeerClient<Channel>,
    waiting: mpsc::Sender<Message>,
}

/// Connections to all other VMs.
#[derive(Clone, Debug)]
pub struct Links {
    identity: Identity,
    by_vm: Arc<BTreeMap<VmName, Link>>,
    meters: Arc<Meters>,
}

impl Links {
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
        let mut links = BTreeMap::new();
        for peer in peers {
            let failed = || Error::from(ErrorKind::Address(peer.vm.to_string()));
            let endpoint = Endpoint::from_shared(format!("http://{}", peer.address))
                .change_context_lazy(failed)?
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true)
                .http2_keep_alive_interval(KEEPALIVE)
                .keep_alive_timeout(KEEPALIVE)
                .keep_alive_while_idle(true);
            let client = PeerClient::new(endpoint.connect_lazy())
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES);
            let (waiting, inbox) = mpsc::channel(MAX_WAITING);
            let link = Link { client: client.clone(), waiting };
            let run = deliver_all(identity.clone(), peer.vm.clone(), client, inbox, meters.clone());
            tokio::spawn(run);
            links.insert(peer.vm.clone(), link);
        }
        Ok(Self { identity, by_vm: Arc::new(links), meters })
    }

    /// Queues a message for another VM's control thread, or drops it.
    pub fn send(&self, to: &VmName, message: Message) {
        let sent = self.by_vm.get(to).is_some_and(|l| l.waiting.try_send(message).is_ok());
        if !sent {
            self.meters.count(Op::MessageDropped);
        }
    }

    /// The other VMs.
    pub fn vms(&self) -> impl Iterator<Item = &VmName> {
        self.by_vm.keys()
    }

    /// Asks another VM.
    ///
    /// # Errors
    ///
    /// If it cannot be reached in time, refuses the call, or does not prove its identity.
    pub async fn ask(
        &self,
        to: &VmName,
        question: &Question,
        timeout: Duration,
    ) -> Result<Reply, Report<Error>> {
        let unreachable = || Error::from(ErrorKind::Unreachable(to.to_string()));
        let link = self.by_vm.get(to).ok_or_else(unreachable)?;
        let payload =
            rmp_serde::to_vec_named(question).change_context(Error::from(ErrorKind::Encoding))?;
        let call = self.identity.seal(Purpose::Ask, to, payload);
        let mac = call.mac.clone();
        let mut client = link.client.clone();
        let answer = tokio::time::timeout(timeout, client.ask(call))
            .await
            .change_context_lazy(unreachable)?
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
async fn deliver_all(
    identity: Identity,
    to: VmName,
    mut client: PeerClient<Channel>,
    mut inbox: mpsc::Receiver<Message>,
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
        let delivered = match tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(call)).await {
            Ok(Ok(answer)) => identity.key.verify_answer(&mac, &answer.into_inner()),
            Ok(Err(_)) | Err(_) => false,
        };
        if !delivered {
            meters.count(Op::MessageDropped);
        }
    }
}
