//! The state that all handlers share.
//!
//! An [`App`] holds the handle of the control thread, the HTTP client for backend servers, the
//! ledger of refusals and the connections to other VMs. It also answers the questions of other VMs.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex,
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
use poison::Detector;
use store::Ledger;

use crate::{recent::RecentOutcomes, suspicion::SharedDetector};

/// Access to the other VMs of the system.
pub trait Peers: Send + Sync {
    /// Returns the names of the other VMs.
    fn vms(&self) -> Vec<VmName>;

    /// Sends a question to a VM and returns its reply, or `None` if the VM cannot be reached.
    fn ask<'a>(
        &'a self,
        to: &'a VmName,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Reply>> + Send + 'a>>;
}

/// The components and settings of an [`App`].
pub struct AppConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Handle for calls to the control thread of this VM.
    pub handle: Handle,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Store of the refusals that this VM and other VMs recorded.
    pub ledger: Arc<Ledger>,
    /// Metrics of this process.
    pub meters: Arc<Meters>,
    /// Connections to the other VMs.
    pub peers: Box<dyn Peers>,
    /// Maximum size of a caller's request body, in bytes.
    pub max_body: usize,
    /// Timeout for reading the whole body of a caller's request.
    pub body_timeout: Duration,
    /// Time until the deadline of a request without the header `x-deadline-ms`.
    pub default_deadline: Duration,
    /// Bearer credential that operators present.
    pub admin_secret: String,
    /// Bearer credential that backend servers present when they announce themselves.
    pub announce_secret: String,
}

/// The state that all handlers share. Clones are cheap and refer to the same state.
#[derive(Clone)]
pub struct App {
    pub(crate) config: Arc<AppConfig>,
    pub(crate) recent: Arc<RecentOutcomes>,
    pub(crate) detector: SharedDetector,
    stopping: Arc<AtomicBool>,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").field("vm", &self.config.vm).finish_non_exhaustive()
    }
}

impl StateData for App {}

// The shared types stay consistent when a handler panics: they are channels, atomics, and mutexes
// whose poisoning is ignored because each guards a single update.
impl std::panic::RefUnwindSafe for App {}

impl App {
    /// Creates an app that is not stopping.
    #[must_use]
    pub fn new(config: AppConfig) -> Self {
        let detector = Arc::new(Mutex::new(Detector::new(config.vm.clone())));
        Self {
            config: Arc::new(config),
            recent: Arc::default(),
            detector,
            stopping: Arc::default(),
        }
    }

    /// Makes the readiness check fail, so that the load balancer sends no more requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether this VM accepts requests of callers: its control state is ready, and
    /// [`App::stop`] was not called.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.handle.published().ready && !self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the phase of a request in progress or the outcome of a recent one, as text. It is
    /// `None` if this VM does not know the request.
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
                    match self.local_refusals(account, since).await {
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

/// Returns the wall clock's time in microseconds since the Unix epoch.
pub(crate) fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
