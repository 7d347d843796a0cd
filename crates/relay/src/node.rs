//! Startup and shutdown of an entry VM.
//!
//! [`Relay::start`] binds the sockets and starts the scheduler thread and the tasks of an entry VM.
//! [`Relay::stop`] drains it.

use std::{
    net::{IpAddr, SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use backend::{Client, Timeouts};
use broker::SlotUsage;
use budget::Resources;
use error_stack::{Report, ResultExt};
use host::{ClientLimits, ControlProtocol};
use http::StatusCode;
use logs::Repeats;
use meters::{Meters, Operation};
use model::{Span, Time, VmName, ZoneName};
use peer::{Key, Links};
use region::ServiceUsage;
use rollout::{ExposureLimits, Rollout};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    control::{ControlClient, OrderLink},
    datagram::{Datagram, Encoded, MAX_DATAGRAM_BYTES, Unsendable},
    dialect::Dialect,
    error::{Error, ErrorKind},
    event_loop::{self, Environment, Sent, SharedPlan},
    frontend::{Frontend, SharedRestraints, StopTimes},
    hedge::Hedges,
    listen,
    plans::PlanClient,
    quota::{QuotaConfig, Quotas},
    retry_budget::RetryBudgets,
    scheduler::Scheduler,
    trial::Trials,
};

/// Time between failing the readiness check and closing the listener. The load balancer needs two
/// checks of a second each to take the VM out of rotation.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Time reserved before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time for the last answers to reach their callers, before the time that is reserved.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time without an answer of any control VM after which this VM leaves it to other entry VMs to
/// grant servers, because its information about the servers is outdated. It is several times as
/// long as a control VM delays its answer when it has no changes to report.
const CONTROL_TIMEOUT: Span = Span::from_millis(1_500);
/// Upper limits of the waits for backend servers. Each request has a shorter deadline of its own.
const BACKEND_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(400),
    head: Duration::from_mins(10),
    idle: Duration::from_mins(10),
};

/// Descriptors for each caller: its connection, that to a server for its request, and idle ones to
/// servers.
const FDS_PER_CONNECTION: usize = 3;

type Result<T> = std::result::Result<T, Report<Error>>;

/// The configuration of an entry VM.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Name of this VM, which is its IP address.
    pub vm: VmName,
    /// The availability zone of this VM.
    pub zone: ZoneName,
    /// The address on which the VM listens for callers. The datagrams of other entry VMs are
    /// received on its IP address too.
    pub callers: SocketAddr,
    /// The address on which the VM serves the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Port on which control VMs accept calls of other VMs.
    pub control_port: u16,
    /// UDP port on which entry VMs exchange messages.
    pub load_port: u16,
    /// Control VMs to poll at the start. They name the others.
    pub seeds: Vec<VmName>,
    /// Secret from which the key that authenticates calls between VMs is made.
    pub secret: String,
    /// Time for which keys are accepted after the plan was last confirmed to be current.
    pub key_lease: Span,
    /// Retry budget of a service, as a ratio of its first sends in a window.
    pub retry_ratio: f64,
    /// Number of retries of a service allowed in addition in every window, across all entry VMs.
    pub retry_slack: u32,
    /// Length of the window of the retry budget.
    pub retry_window: Span,
    /// Share of the requests that may be sent to a second server before the first one has answered; 0
    /// for none.
    pub hedge_share: f64,
    /// The window and the tolerances of quotas.
    pub quotas: QuotaConfig,
    /// Time from the stop signal until the process is killed.
    pub stop_time: Duration,
    /// Speed of this VM's link in Mbit/s, if it is known. Events of streams are coalesced on a slow one.
    pub link_mbps: Option<f64>,
    /// Memory and descriptors of this VM.
    pub resources: Resources,
    /// Bounds of versions under trial; `None` if the deployment has no rollouts.
    pub rollouts: Option<ExposureLimits>,
}

/// A running entry VM.
pub struct Relay {
    frontend: Arc<Frontend>,
    control_client: Arc<ControlClient>,
    stop: watch::Sender<bool>,
    stop_times: watch::Sender<Option<StopTimes>>,
    callers: JoinHandle<bool>,
    stop_time: Duration,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("ready", &self.frontend.is_ready()).finish_non_exhaustive()
    }
}

/// The scheduler's access to the sockets and the state of this process.
struct ProcessEnvironment {
    meters: Arc<Meters>,
    socket: UdpSocket,
    port: u16,
    stopping: Arc<AtomicBool>,
    /// Whether the scheduler cannot have servers granted.
    stalled: Arc<AtomicBool>,
    /// When a control VM last answered, in microseconds.
    last_answer: Arc<AtomicU64>,
    /// When the latest poll was sent that the leader of the control VMs answered, in microseconds.
    leader_heard: Arc<AtomicU64>,
    /// Time without such an answer after which this VM might not learn in time that a version is rolled
    /// back.
    contact_timeout: Span,
    /// Bounds the log lines about messages that cannot be sent.
    logged: Repeats,
}

impl Environment for ProcessEnvironment {
    fn send(&mut self, vms: &[VmName], datagram: &Datagram) -> Sent {
        let Encoded { datagrams, unsendable } = datagram.encode();
        for Unsendable { what, bytes, .. } in &unsendable {
            self.meters.count(Operation::Oversized);
            if self.logged.is_due(what, Instant::now()) {
                spdlog::error!("message is too large to be sent", kv: { what = what.as_str(), bytes = *bytes });
            }
        }
        let mut failed = 0;
        for vm in vms {
            let Ok(ip) = vm.as_str().parse::<IpAddr>() else { continue };
            for bytes in &datagrams {
                if let Err(error) = self.socket.send_to(bytes, (ip, self.port)) {
                    failed += 1;
                    self.meters.count(Operation::SendFailed);
                    if self.logged.is_due(vm.as_str(), Instant::now()) {
                        let (vm, error, bytes) = (vm.as_str(), error.to_string(), bytes.len());
                        spdlog::warn!("cannot send to entry VM", kv: { vm, error, bytes });
                    }
                }
            }
        }
        Sent { failed, unsendable }
    }

    fn is_available(&self) -> bool {
        let last_answer = Time::from_micros(self.last_answer.load(Ordering::Relaxed));
        !self.stopping.load(Ordering::Relaxed)
            && clock::since_boot() < last_answer + CONTROL_TIMEOUT
    }

    fn is_in_contact(&self) -> bool {
        let heard = Time::from_micros(self.leader_heard.load(Ordering::Relaxed));
        clock::since_boot() < heard + self.contact_timeout
    }

    fn record_exposure(&self, rollout: &Rollout, (granted, on_trial): (u64, u64)) {
        let (service, to) = (rollout.order.service.as_str(), rollout.order.to.as_str());
        self.meters.record_exposure(service, to, (granted, on_trial));
        if rollout.phase.is_open() && granted > 0 {
            let phase = format!("{:?}", rollout.phase);
            spdlog::info!("requests during a rollout", kv: { service, to, phase, granted, on_trial });
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::Relaxed);
    }

    fn count_stall(&self) {
        self.meters.count(Operation::HomeStalled);
    }

    fn record_usage(&self, usage: &ServiceUsage) {
        let ServiceUsage { service, slots, .. } = usage;
        let SlotUsage { free, running, reported, waiting, .. } = *slots;
        let states = [
            ("free", free),
            ("running", running),
            ("reported", reported),
            ("waiting", waiting.iter().sum()),
        ];
        for (state, count) in states {
            self.meters.record_slots(service.as_str(), state, count);
        }
    }
}

impl Relay {
    /// Starts an entry VM. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret is not a valid key, the links to control VMs cannot be set
    /// up, an address cannot be bound, or the scheduler thread cannot be started.
    pub async fn start(
        config: &RelayConfig,
        dialect: Arc<dyn Dialect>,
        meters: Arc<Meters>,
    ) -> Result<Self> {
        let incarnation: u64 = rand::random();
        let peers = || Error::from(ErrorKind::Peers);
        let key = Key::try_from(config.secret.as_str()).change_context_lazy(peers)?;
        let links: Links<ControlProtocol> =
            Links::new(config.vm.clone(), incarnation, key, &[], Arc::clone(&meters))
                .change_context_lazy(peers)?;
        let scheduler = scheduler(config, incarnation);
        let hedges = (config.hedge_share > 0.0).then(|| Hedges::new(config.hedge_share));
        let trials = Arc::new(std::sync::Mutex::new(Trials::new(Arc::clone(&meters))));
        let leader_heard = Arc::new(AtomicU64::new(0));
        let (plan_confirmed, stopping) =
            (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let last_answer = Arc::new(AtomicU64::new(0));
        let stalled = Arc::new(AtomicBool::new(false));
        let (socket, incoming) = bind_datagrams(config)?;
        let environment = ProcessEnvironment {
            meters: Arc::clone(&meters),
            socket,
            port: config.load_port,
            stopping: Arc::clone(&stopping),
            stalled: Arc::clone(&stalled),
            last_answer: Arc::clone(&last_answer),
            leader_heard: Arc::clone(&leader_heard),
            contact_timeout: contact_timeout(config),
            logged: Repeats::default(),
        };
        let handle = event_loop::start(config.vm.clone(), scheduler, environment)
            .change_context_lazy(|| Error::from(ErrorKind::Threads))?;
        let plan_state = Arc::new(SharedPlan::default());
        let (plan_updates, plan_versions) = watch::channel(0);
        let restraints = Arc::new(SharedRestraints::default());
        let plans = Arc::new(PlanClient::new(
            (config.vm.clone(), incarnation),
            config.zone.clone(),
            links.clone(),
            Arc::clone(&dialect),
            Arc::clone(&plan_state),
            plan_updates,
            Arc::clone(&plan_confirmed),
            handle.clone(),
            Arc::clone(&meters),
        ));
        let control_client = Arc::new(ControlClient::new(
            (config.vm.clone(), incarnation),
            config.zone.clone(),
            config.control_port,
            links,
            Arc::clone(&plans),
            last_answer,
            Arc::clone(&stopping),
            handle.clone(),
            Arc::clone(&restraints),
            config.rollouts.map(|_| OrderLink {
                trials: Arc::clone(&trials),
                leader_heard,
                view: Mutex::default(),
            }),
        ));
        control_client.add_controls(config.seeds.clone());
        tokio::spawn(Arc::clone(&control_client).run());
        tokio::spawn(plans.run());
        let receiver_handle = handle.clone();
        tokio::spawn(receive_datagrams(incoming, receiver_handle));
        let (stop_times, times) = watch::channel(None);
        let (client, client_limits) = client_and_limits(config, &meters);
        let frontend = Arc::new(Frontend {
            client_limits,
            dialect,
            plan_state,
            plan_versions,
            plan_confirmed,
            stopping,
            stalled,
            stop_times: times,
            key_lease: config.key_lease,
            handle,
            client,
            link_mbps: config.link_mbps,
            restraints,
            hedges: hedges.map(Mutex::new),
            trials: config.rollouts.map(|_| trials),
            meters,
            incarnation,
            request_count: AtomicU64::new(0),
        });
        serve_readiness(bind(config.ready).await?, Arc::clone(&frontend));
        let listener = bind(config.callers).await?;
        let (stop, stopped) = watch::channel(false);
        let drain_timeout =
            config.stop_time.saturating_sub(drain_delay(config.stop_time) + KILL_MARGIN);
        let callers = tokio::spawn(listen::serve(
            listener,
            Arc::clone(&frontend),
            stop_requested(stopped),
            drain_timeout,
        ));
        let stop_time = config.stop_time;
        Ok(Self { frontend, control_client, stop, stop_times, callers, stop_time })
    }

    /// Adds the control VMs that changed settings name. Known control VMs stay.
    pub fn add_seeds(&self, seeds: Vec<VmName>) {
        self.control_client.add_controls(seeds);
    }

    /// Stops gracefully: fails the readiness check, then closes the listener and finishes the
    /// requests in flight. Returns whether all of them were finished in time.
    pub async fn stop(self) -> bool {
        self.frontend.stopping.store(true, Ordering::Relaxed);
        let (now, delay) = (Instant::now(), drain_delay(self.stop_time));
        let end = now + self.stop_time.saturating_sub(KILL_MARGIN + ANSWER_MARGIN);
        self.stop_times.send_replace(Some(StopTimes { drain: now + delay, end }));
        tokio::time::sleep(delay).await;
        // The send fails only if the listener task has already ended. The task also stops when the
        // sender is dropped.
        let _ = self.stop.send(true);
        self.callers.await.unwrap_or(false)
    }
}

/// Creates the scheduler of a process.
fn scheduler(config: &RelayConfig, incarnation: u64) -> Scheduler {
    let budgets = RetryBudgets::new(config.retry_ratio, config.retry_slack, config.retry_window);
    let quotas = Quotas::new(config.quotas);
    let place = (config.vm.clone(), config.zone.clone());
    let mut scheduler =
        Scheduler::new(place, incarnation, budgets, quotas).with_rollouts(config.rollouts);
    if let Some(mbps) = config.link_mbps {
        scheduler.set_link(bytes_per_s(mbps));
    }
    if config.hedge_share > 0.0 {
        let window = config.retry_window;
        scheduler.set_hedge_budgets(RetryBudgets::new(config.hedge_share, 0, window));
    }
    scheduler
}

/// Creates the client for backend servers and the bounds on callers, which count its buffers.
fn client_and_limits(config: &RelayConfig, meters: &Arc<Meters>) -> (Client, Arc<ClientLimits>) {
    let limits = config.resources.limits(FDS_PER_CONNECTION, 1);
    let client = Client::new(BACKEND_TIMEOUTS).with_buffer_limit(limits.responses);
    let buffering = client.clone();
    let responses = Arc::new(move || buffering.buffered_bytes());
    let client_limits = Arc::new(ClientLimits::new(limits, responses, Arc::clone(meters)));
    tokio::spawn(Arc::clone(&client_limits).record_held());
    (client, client_limits)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
fn bytes_per_s(mbps: f64) -> u64 {
    (mbps * 1_000_000.0 / 8.0) as u64
}

/// Serves the load balancer's readiness check until the process ends.
fn serve_readiness(listener: TcpListener, frontend: Arc<Frontend>) {
    tokio::spawn(listen::serve_probes(listener, move |_| {
        let status =
            if frontend.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    }));
}

/// Returns the time without an answer of the leader after which nothing is granted to versions under
/// trial. Half of the time for a rollback is left for the requests that were granted before.
fn contact_timeout(config: &RelayConfig) -> Span {
    let rollback = config.rollouts.map_or(Span::ZERO, |limits| limits.rollback);
    CONTROL_TIMEOUT.min(Span::from_micros(rollback.as_micros() / 2))
}

/// Returns the time between failing the readiness check and closing the listener.
fn drain_delay(stop_time: Duration) -> Duration {
    DRAIN_DELAY.min(stop_time / 2)
}

async fn stop_requested(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.change_context_lazy(|| listen_error(address))
}

fn listen_error(address: SocketAddr) -> Error {
    ErrorKind::Listen(address.to_string()).into()
}

fn bind_datagrams(config: &RelayConfig) -> Result<(UdpSocket, tokio::net::UdpSocket)> {
    let address = SocketAddr::new(config.callers.ip(), config.load_port);
    let failed = || listen_error(address);
    let socket = UdpSocket::bind(address).change_context_lazy(failed)?;
    socket.set_nonblocking(true).change_context_lazy(failed)?;
    let incoming = socket.try_clone().change_context_lazy(failed)?;
    let incoming = tokio::net::UdpSocket::from_std(incoming).change_context_lazy(failed)?;
    Ok((socket, incoming))
}

async fn receive_datagrams(socket: tokio::net::UdpSocket, handle: event_loop::SchedulerHandle) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        match rmp_serde::from_slice(&bytes[..len]) {
            Ok(datagram) => handle.receive(datagram),
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("cannot decode message of an entry VM", kv: { error });
            }
        }
    }
}
