//! The gRPC server for calls of other VMs.
//!
//! It verifies each call and passes it to a [`PeerHandler`]; the answer is authenticated in turn.

use std::{
    collections::BTreeSet,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use meters::{Meters, Operation};
use model::VmName;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use crate::{
    error::{Error, ErrorKind},
    generated::{
        Answer, Sealed,
        peer_server::{Peer, PeerServer},
    },
    question::{PeerHandler, Protocol},
    replay::ReplayGuard,
    seal::{Key, Purpose},
};

/// Maximum size of a gRPC message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Interval of HTTP/2 keepalive pings, and timeout for the reply to one.
pub(crate) const KEEPALIVE: Duration = Duration::from_secs(2);

/// The VMs whose calls are accepted.
#[derive(Debug)]
pub enum AllowedPeers {
    /// Only these VMs. A call that is replayed, or sent by an earlier process of a VM, is refused.
    Known(BTreeSet<VmName>),
    /// Every VM that holds the shared key, without protection against replayed calls. This is for
    /// deployments in which VMs are added and removed, and in which an incarnation may be lower
    /// than that of the VM's previous process, because it is random or comes from a clock that was
    /// set back. The calls must be idempotent.
    Any,
}

struct Service<R> {
    vm: VmName,
    allowed: AllowedPeers,
    key: Key,
    replay: Mutex<ReplayGuard>,
    handler: Arc<R>,
    meters: Arc<Meters>,
}

/// Accepts calls for the VM `vm` until `stop` completes.
///
/// The returned task ends after that, once the calls in progress are answered.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve<R: PeerHandler + 'static>(
    address: SocketAddr,
    vm: VmName,
    allowed: AllowedPeers,
    key: Key,
    handler: Arc<R>,
    meters: Arc<Meters>,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<tokio::task::JoinHandle<()>, Report<Error>> {
    let failed = || Error::from(ErrorKind::Bind(address.to_string()));
    let listener = TcpListener::bind(address).await.change_context_lazy(failed)?;
    let replay = Mutex::default();
    let service = Service { vm, allowed, key, replay, handler, meters };
    let service = PeerServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .tcp_nodelay(true)
        .add_service(service);
    let incoming = TcpListenerStream::new(listener);
    Ok(tokio::spawn(async move {
        if let Err(error) = server.serve_with_incoming_shutdown(incoming, stop).await {
            spdlog::error!("the gRPC server for other VMs failed: {error}");
        }
    }))
}

impl<R: PeerHandler> Service<R> {
    /// Verifies the sender of a call, that the call is for this VM, and that it is not replayed.
    /// Returns the sender.
    fn check(&self, purpose: Purpose, call: &Sealed) -> Result<VmName, Status> {
        let refuse = |why: &'static str| {
            self.meters.count(Operation::PeerCallRefused);
            Status::unauthenticated(why)
        };
        if !self.key.verify(purpose, call) {
            return Err(refuse("wrong MAC"));
        }
        let from = VmName::try_from(call.from.as_str()).map_err(|_| refuse("unknown VM"))?;
        if let AllowedPeers::Known(known) = &self.allowed
            && !known.contains(&from)
        {
            return Err(refuse("unknown VM"));
        }
        if call.to != self.vm.as_str() {
            return Err(refuse("call for another VM"));
        }
        if matches!(self.allowed, AllowedPeers::Any) {
            return Ok(from);
        }
        let mut replay = self.replay.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = match purpose {
            Purpose::Deliver => replay.accept_ordered(&from, call.incarnation, call.seq),
            Purpose::Ask | Purpose::Answer => replay.accept(&from, call.incarnation, call.seq),
        };
        if fresh { Ok(from) } else { Err(Status::already_exists("repeated or late call")) }
    }
}

#[tonic::async_trait]
impl<R: PeerHandler + 'static> Peer for Service<R> {
    async fn deliver(&self, request: Request<Sealed>) -> Result<Response<Answer>, Status> {
        let call = request.into_inner();
        let from = self.check(Purpose::Deliver, &call)?;
        let messages: Vec<<R::Protocol as Protocol>::Message> =
            rmp_serde::from_slice(&call.payload)
                .map_err(|e| Status::invalid_argument(e.to_string()))?;
        for message in messages {
            self.handler.deliver(from.clone(), message);
        }
        Ok(Response::new(self.key.seal_answer(&call, Vec::new())))
    }

    async fn ask(&self, request: Request<Sealed>) -> Result<Response<Answer>, Status> {
        let call = request.into_inner();
        let from = self.check(Purpose::Ask, &call)?;
        let question: <R::Protocol as Protocol>::Question = rmp_serde::from_slice(&call.payload)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let reply = self.handler.respond(&from, question).await;
        let payload =
            rmp_serde::to_vec_named(&reply).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(self.key.seal_answer(&call, payload)))
    }
}
