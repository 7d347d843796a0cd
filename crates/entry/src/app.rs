//! What all handlers share.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use backend::Client;
use control::{Answer, Input, Message};
use driver::Handle;
use gotham::state::StateData;
use meters::Meters;
use model::{RequestId, VmName, ZoneName};
use peer::{EntryProtocol, PeerHandler, Question, Reply};
use store::Ledger;

use crate::recent::Recent;

/// The other VMs, as the handlers see them.
pub trait Peers: Send + Sync {
    /// Their names.
    fn vms(&self) -> Vec<VmName>;

    /// Asks one of them; `None` if it cannot be reached.
    fn ask<'a>(
        &'a self,
        to: &'a VmName,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Reply>> + Send + 'a>>;
}

/// What an [`App`] is made of.
pub struct AppConfig {
    /// This VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The control thread.
    pub handle: Handle,
    /// Sends requests to backend servers.
    pub client: Client,
    /// Records refusals.
    pub ledger: Arc<Ledger>,
    /// Counts.
    pub meters: Arc<Meters>,
    /// The other VMs.
    pub peers: Box<dyn Peers>,
    /// Longest request body in bytes.
    pub max_body: usize,
    /// Longest wait for a request's body.
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Secret of operators.
    pub admin_secret: String,
    /// Secret of backend servers.
    pub announce_secret: String,
}

/// What all handlers share; cheap to clone.
#[derive(Clone)]
pub struct App {
    pub(crate) config: Arc<AppConfig>,
    pub(crate) recent: Arc<Recent>,
    stopping: Arc<AtomicBool>,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").field("vm", &self.config.vm).finish_non_exhaustive()
    }
}

impl StateData for App {}

// The handlers share only types that stay consistent when a handler panics: channels, atomics and
// mutexes whose poisoning is ignored because each guards a single update.
impl std::panic::RefUnwindSafe for App {}

impl App {
    /// An app of these parts.
    #[must_use]
    pub fn new(config: AppConfig) -> Self {
        Self { config: Arc::new(config), recent: Arc::default(), stopping: Arc::default() }
    }

    /// Makes the readiness endpoint fail, so that the balancer sends no more requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether callers' requests are wanted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.handle.published().ready && !self.stopping.load(Ordering::Relaxed)
    }

    /// Where a request is or how it ended, if this VM knows.
    pub(crate) async fn find(&self, request: RequestId) -> Option<String> {
        let answer = self.config.handle.call(|call| Input::Find { call, request }).await;
        match answer {
            Answer::Found { phase: Some(phase) } => Some(phase),
            _ => self.recent.get(request),
        }
    }
}

impl PeerHandler for App {
    type Protocol = EntryProtocol;

    fn respond<'a>(
        &'a self,
        _: &'a VmName,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send + 'a>> {
        Box::pin(async move {
            match question {
                Question::Refusals { account, since } => {
                    match self.own_refusals(account, since).await {
                        Ok(refusals) => Reply::Refusals(refusals),
                        Err(why) => Reply::Failed(why),
                    }
                }
                Question::Keep { refusals } => {
                    let durable = self.config.ledger.is_durable();
                    let kept = self.config.ledger.record_remote(refusals).await.unwrap_or(false);
                    Reply::Kept(kept && durable)
                }
                Question::Find { request } => Reply::Found(self.find(request).await),
            }
        })
    }

    fn deliver(&self, from: VmName, message: Message) {
        self.config.handle.input(Input::Message { from, message });
    }
}

/// Microseconds since the Unix epoch.
pub(crate) fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
