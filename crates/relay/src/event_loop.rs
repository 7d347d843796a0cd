//! The scheduler thread and the handles through which tasks use it.
//!
//! One thread owns the [`Scheduler`] and runs its event loop: it executes commands from a channel,
//! ticks the scheduler and sends its messages to the other entry VMs. A task submits a request
//! through [`SchedulerHandle`] and follows it with a [`Submission`].

use std::{
    collections::{BTreeSet, HashMap},
    io,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use keeper::{OrderProgress, Spending};
use model::{Outcome, RequestId, ServerId, ServiceName, VmName};
use poison::Known;
use region::{Notice, ServiceUsage};
use rollout::Rollout;
use routing::Plan;
use spread::Sharing;
use tokio::sync::oneshot;

use crate::{
    datagram::{Datagram, Unsendable},
    quota::SPENDING_INTERVAL,
    scheduler::{Decision, Fleet, Orders, Placement, PlacementRequest, Scheduler},
};

/// Interval of the scheduler's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two messages about parts under which servers ended.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of these messages while nothing changes, for VMs that missed earlier ones.
const SUSPECTS_REFRESH: Duration = Duration::from_millis(500);
/// Number of parts of which control VMs are told.
const MAX_KNOWN: usize = 12;
/// Number of VMs that get such a message. They pass on what is new to them.
const SUSPECTS_FANOUT: usize = 8;
/// Interval at which the slots of services are logged and exported.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which control VMs can learn how far this VM has followed orders: a small part of the time
/// between two polls.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

enum Command {
    Submit(Box<PlacementRequest>, oneshot::Sender<Placement>),
    ResponseStarted(ServiceName, RequestId),
    ReportSlowness(ServiceName, ServerId, f64),
    ReportLimit(ServiceName, ServerId, Option<f64>),
    Finish(ServiceName, RequestId, Outcome),
    Withdraw(ServiceName, RequestId),
    AnswerWentOn(RequestId),
    ProvedSound(RequestId),
    ServerEnded(RequestId, ServerId),
    AnswerEndedEarly(RequestId, ServerId),
    Plan(Arc<Plan>),
    Fleet(Fleet),
    Orders(Orders),
    Receive(Box<Datagram>),
    RestoreUsage(Vec<(VmName, Spending)>),
}

/// What became of a message.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    /// Number of datagrams that the operating system did not take.
    pub(crate) failed: u32,
    /// Content that fits into no datagram.
    pub(crate) unsendable: Vec<Unsendable>,
}

/// The input and output that the event loop needs from the process.
pub(crate) trait Environment: Send {
    /// Sends a message to `vms`. Must not block; the message may be lost.
    fn send(&mut self, vms: &[VmName], datagram: &Datagram) -> Sent;

    /// Returns whether this VM receives answers of control VMs and is not stopping.
    fn is_available(&self) -> bool;

    /// Returns whether the leader of the control VMs answered a short while ago.
    fn is_in_contact(&self) -> bool;

    /// Exports what a version under trial got of the requests that this VM has granted.
    fn record_exposure(&self, rollout: &Rollout, granted: (u64, u64));

    /// Returns whether this VM is about to stop.
    fn is_stopping(&self) -> bool;

    /// Sets whether the VM that grants servers took nothing from this VM lately, so that this VM cannot
    /// serve.
    fn set_stalled(&self, stalled: bool);

    /// Counts a home that was left as it acknowledged nothing.
    fn count_stall(&self);

    /// Exports the slots of a service.
    fn record_usage(&self, usage: &ServiceUsage);
}

/// What control VMs are to keep of parts under which servers ended, for entry VMs that start.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownSuspects {
    pub(crate) known: Known,
    /// Number that is greater after each change.
    pub(crate) revision: u64,
}

/// Sends commands to the scheduler thread.
#[derive(Clone, Debug)]
pub(crate) struct SchedulerHandle {
    commands: mpsc::Sender<Command>,
    spending: Arc<ArcSwap<Spending>>,
    suspects: Arc<ArcSwap<KnownSuspects>>,
    progress: Arc<ArcSwap<Vec<OrderProgress>>>,
    live_vms: Arc<ArcSwap<BTreeSet<VmName>>>,
}

impl SchedulerHandle {
    pub(crate) fn set_plan(&self, plan: Arc<Plan>) {
        self.send(Command::Plan(plan));
    }

    pub(crate) fn set_fleet(&self, fleet: Fleet) {
        self.send(Command::Fleet(fleet));
    }

    pub(crate) fn set_orders(&self, orders: Orders) {
        self.send(Command::Orders(orders));
    }

    /// Returns how far this VM has followed the open orders of rollouts.
    pub(crate) fn order_progress(&self) -> Arc<Vec<OrderProgress>> {
        self.progress.load_full()
    }

    pub(crate) fn restore_usage(&self, usage: Vec<(VmName, Spending)>) {
        self.send(Command::RestoreUsage(usage));
    }

    /// Returns this VM's recent usage of quotas as of its last report.
    pub(crate) fn spending(&self) -> Arc<Spending> {
        self.spending.load_full()
    }

    /// Returns what control VMs are to keep of parts under which servers ended.
    pub(crate) fn known_suspects(&self) -> Arc<KnownSuspects> {
        self.suspects.load_full()
    }

    /// Returns the other entry VMs of which this one hears, as of the last second.
    pub(crate) fn live_vms(&self) -> Arc<BTreeSet<VmName>> {
        self.live_vms.load_full()
    }

    pub(crate) fn receive(&self, datagram: Datagram) {
        self.send(Command::Receive(Box::new(datagram)));
    }

    /// Submits a request. Dropping the returned value withdraws the request.
    pub(crate) fn submit(&self, placement_request: PlacementRequest) -> Submission {
        let (request, service) =
            (placement_request.ticket.request, placement_request.ticket.service.clone());
        let (sender, placement) = oneshot::channel();
        self.send(Command::Submit(Box::new(placement_request), sender));
        Submission {
            handle: self.clone(),
            request,
            service,
            placement: Some(placement),
            state: State::Waiting,
        }
    }

    fn send(&self, command: Command) {
        // The thread ends only with the process.
        let _ = self.commands.send(command);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Granted,
    Ended,
}

/// A request submitted to the scheduler. Dropping it tells the scheduler that the caller has
/// disconnected.
#[derive(Debug)]
pub(crate) struct Submission {
    handle: SchedulerHandle,
    request: RequestId,
    service: ServiceName,
    placement: Option<oneshot::Receiver<Placement>>,
    state: State,
}

impl Submission {
    /// Waits for the scheduler's decision. Returns `None` if it was returned before or the thread
    /// has ended.
    pub(crate) async fn placement(&mut self) -> Option<Placement> {
        let placement = self.placement.as_mut()?.await.ok()?;
        self.placement = None;
        self.state = match placement {
            Placement::Granted { .. } => State::Granted,
            Placement::Refused { .. } => State::Ended,
        };
        Some(placement)
    }

    /// Reports that the response has started.
    pub(crate) fn response_started(&self) {
        self.handle.send(Command::ResponseStarted(self.service.clone(), self.request));
    }

    /// Reports the server's statement of its slowness: the duration of work relative to usual.
    pub(crate) fn report_slowness(&self, server: &ServerId, slowness: f64) {
        self.handle.send(Command::ReportSlowness(self.service.clone(), server.clone(), slowness));
    }

    /// Reports the limit that the server names, in requests a second, or that it names none.
    pub(crate) fn report_limit(&self, server: &ServerId, limit: Option<f64>) {
        self.handle.send(Command::ReportLimit(self.service.clone(), server.clone(), limit));
    }

    /// Reports that the answer went on for a while.
    pub(crate) fn answer_went_on(&self) {
        self.handle.send(Command::AnswerWentOn(self.request));
    }

    /// Reports that the answer is complete, or went on for so long that the request counts as sound.
    pub(crate) fn proved_sound(&self) {
        self.handle.send(Command::ProvedSound(self.request));
    }

    /// Reports that the server ended before its answer was complete.
    pub(crate) fn server_ended(&self, server: &ServerId) {
        self.handle.send(Command::ServerEnded(self.request, server.clone()));
    }

    /// Reports that the answer ended with its connection before it had gone on for a while.
    pub(crate) fn answer_ended_early(&self, server: &ServerId) {
        self.handle.send(Command::AnswerEndedEarly(self.request, server.clone()));
    }

    /// Reports the outcome of the exchange with the server.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.state = State::Ended;
        self.handle.send(Command::Finish(self.service.clone(), self.request, outcome));
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        let (service, id) = (self.service.clone(), self.request);
        // A waiting request may have been granted meanwhile, with the decision still in the
        // channel. The scheduler drops the request in either case.
        match self.state {
            State::Waiting => self.handle.send(Command::Withdraw(service, id)),
            State::Granted => self.handle.send(Command::Finish(service, id, Outcome::Cancelled)),
            State::Ended => {}
        }
    }
}

/// The control state that the forwarding of requests reads.
#[derive(Debug, Default)]
pub(crate) struct PlanState {
    /// The plan in force. `None` until the first plan is received.
    pub(crate) plan: Option<Arc<Plan>>,
}

pub(crate) type SharedPlan = ArcSwap<PlanState>;

struct EventLoop<S> {
    scheduler: Scheduler,
    environment: S,
    vm: VmName,
    other_vms: Vec<VmName>,
    /// Index in `other_vms` of the first VM to get the next message about suspects.
    next_told: usize,
    /// Number of VMs with which quotas are shared, and of all VMs, as last logged.
    logged_sharing: (usize, usize),
    waiting: HashMap<RequestId, oneshot::Sender<Placement>>,
    out: Vec<Decision>,
    spending: Arc<ArcSwap<Spending>>,
    suspects: Arc<ArcSwap<KnownSuspects>>,
    progress: Arc<ArcSwap<Vec<OrderProgress>>>,
    live_vms: Arc<ArcSwap<BTreeSet<VmName>>>,
}

/// Starts the scheduler thread.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be created.
pub(crate) fn start<S: Environment + 'static>(
    vm: VmName,
    scheduler: Scheduler,
    environment: S,
) -> io::Result<SchedulerHandle> {
    let (sender, receiver) = mpsc::channel();
    let (spending, suspects) = (Arc::new(ArcSwap::default()), Arc::new(ArcSwap::default()));
    let progress = Arc::new(ArcSwap::default());
    let live_vms = Arc::new(ArcSwap::default());
    let event_loop = EventLoop {
        scheduler,
        environment,
        vm,
        other_vms: Vec::new(),
        next_told: 0,
        logged_sharing: (0, 0),
        waiting: HashMap::new(),
        out: Vec::new(),
        spending: Arc::clone(&spending),
        suspects: Arc::clone(&suspects),
        progress: Arc::clone(&progress),
        live_vms: Arc::clone(&live_vms),
    };
    thread::Builder::new().name("desk".into()).spawn(move || event_loop.run(&receiver))?;
    Ok(SchedulerHandle { commands: sender, spending, suspects, progress, live_vms })
}

impl<S: Environment> EventLoop<S> {
    fn run(mut self, commands: &mpsc::Receiver<Command>) {
        let start = Instant::now();
        let (mut next_tick, mut next_spending, mut next_usage) = (start, start, start);
        let (mut next_suspects, mut next_refresh, mut next_progress) = (start, start, start);
        loop {
            match commands.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(command) => {
                    self.execute(command);
                    // Ticks and messages to other VMs must not wait until no command is left.
                    while Instant::now() < next_tick
                        && let Ok(command) = commands.try_recv()
                    {
                        self.execute(command);
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.scheduler.set_available(self.environment.is_available());
                self.scheduler.set_stopping(self.environment.is_stopping());
                let (now, in_contact) = (clock::since_boot(), self.environment.is_in_contact());
                self.scheduler.set_contact(now, in_contact, &mut self.out);
                self.scheduler.tick(now, &mut self.out);
                self.environment.set_stalled(self.scheduler.is_stalled(now));
            }
            self.deliver_decisions();
            self.send_frames();
            for (home, reports) in self.scheduler.take_limit_reports() {
                self.environment.send(&[home], &Datagram::Limits(reports));
            }
            for (vm, digest) in self.scheduler.take_digests(clock::since_boot()) {
                self.environment.send(&[vm], &Datagram::Digest(digest));
            }
            if now >= next_spending {
                next_spending = now + Duration::from(SPENDING_INTERVAL);
                self.spending.store(Arc::new(self.scheduler.spending(clock::since_boot())));
            }
            if now >= next_progress {
                next_progress = now + PROGRESS_INTERVAL;
                self.update_progress();
            }
            if (self.scheduler.has_new_suspects() && now >= next_suspects) || now >= next_refresh {
                next_suspects = now + SUSPECTS_INTERVAL;
                next_refresh = now + SUSPECTS_REFRESH;
                self.send_suspects();
                self.update_known();
            }
            for notice in self.scheduler.take_notices() {
                if matches!(notice, Notice::Stalled { .. }) {
                    self.environment.count_stall();
                }
                log_notice(&notice);
            }
            self.scheduler.take_part_notices().iter().for_each(log_part_notice);
            if now >= next_usage {
                next_usage = now + USAGE_INTERVAL;
                self.log_sharing();
                for (rollout, granted) in self.scheduler.exposures() {
                    self.environment.record_exposure(rollout, granted);
                }
                let live = self.scheduler.live_vms(clock::since_boot());
                self.live_vms.store(Arc::new(live));
                for usage in self.scheduler.service_usage(clock::since_boot()) {
                    self.environment.record_usage(&usage);
                    if usage.is_home || usage.slots.running > 0 {
                        log_usage(&usage);
                    }
                }
            }
        }
    }

    /// Sends the messages about requests. What cannot be sent is reported to its channel.
    fn send_frames(&mut self) {
        for (vm, frame) in self.scheduler.take_frames(clock::since_boot()) {
            let session = (frame.session, frame.upward);
            let sent = self.environment.send(std::slice::from_ref(&vm), &Datagram::Frame(frame));
            if sent.failed == 0 && sent.unsendable.is_empty() {
                continue;
            }
            let too_large: Vec<u64> = sent.unsendable.iter().filter_map(|u| u.seq).collect();
            let (now, unsent) = (clock::since_boot(), (sent.failed, &too_large[..]));
            self.scheduler.record_unsent(now, &vm, session, unsent, &mut self.out);
        }
        self.deliver_decisions();
    }

    /// Logs with how many of the entry VMs this one shares quotas, if that has changed.
    fn log_sharing(&mut self) {
        let Sharing { vms, of, .. } = self.scheduler.sharing(clock::since_boot());
        if std::mem::replace(&mut self.logged_sharing, (vms, of)) != (vms, of) {
            spdlog::info!("entry VMs that share quotas changed", kv: { vms, of });
        }
    }

    /// Sends what is known of parts under which servers ended to the next of the other entry VMs.
    fn send_suspects(&mut self) {
        let suspects = self.scheduler.suspects(clock::since_boot());
        if suspects.is_empty() || self.other_vms.is_empty() {
            return;
        }
        let others = self.other_vms.iter().cycle().skip(self.next_told % self.other_vms.len());
        let told: Vec<VmName> =
            others.take(SUSPECTS_FANOUT.min(self.other_vms.len())).cloned().collect();
        self.next_told = (self.next_told + told.len()) % self.other_vms.len();
        self.environment.send(&told, &Datagram::Suspects(suspects));
    }

    /// Updates what control VMs are to keep of parts under which servers ended.
    fn update_known(&mut self) {
        let now = clock::since_boot();
        let mut suspects = self.scheduler.known_suspects(now);
        suspects.truncate(MAX_KNOWN);
        let KnownSuspects { mut known, revision } = KnownSuspects::clone(&self.suspects.load());
        if known.update(now, suspects) {
            self.suspects.store(Arc::new(KnownSuspects { known, revision: revision + 1 }));
        }
    }

    /// Updates what control VMs learn of how far this VM has followed orders.
    fn update_progress(&self) {
        let progress = self.scheduler.order_progress();
        if **self.progress.load() != progress {
            self.progress.store(Arc::new(progress));
        }
    }

    fn execute(&mut self, command: Command) {
        let now = clock::since_boot();
        match command {
            Command::Submit(request, reply) => {
                self.waiting.insert(request.ticket.request, reply);
                self.scheduler.submit(now, *request, &mut self.out);
            }
            Command::ResponseStarted(service, request) => {
                self.scheduler.response_started(now, &service, request, &mut self.out);
            }
            Command::ReportSlowness(service, server, slowness) => {
                self.scheduler.report_slowness(now, &service, (&server, slowness));
            }
            Command::ReportLimit(service, server, limit) => {
                if self.scheduler.report_limit(now, &service, (&server, limit)) {
                    log_limit(&service, &server, limit);
                }
            }
            Command::Finish(service, request, outcome) => {
                self.scheduler.finish(now, &service, (request, outcome), &mut self.out);
            }
            Command::Withdraw(service, request) => {
                self.waiting.remove(&request);
                self.scheduler.withdraw(now, &service, request, &mut self.out);
            }
            Command::AnswerWentOn(request) => self.scheduler.answer_went_on(now, request),
            Command::ProvedSound(request) => self.scheduler.proved_sound(now, request),
            Command::ServerEnded(request, server) => {
                self.scheduler.server_ended(now, request, &server);
            }
            Command::AnswerEndedEarly(request, server) => {
                self.scheduler.answer_ended_early(now, request, &server);
            }
            Command::Plan(plan) => self.scheduler.set_plan(now, plan, &mut self.out),
            Command::Fleet(fleet) => {
                self.other_vms =
                    fleet.entries.keys().filter(|vm| **vm != self.vm).cloned().collect();
                self.scheduler.set_fleet(now, fleet, &mut self.out);
            }
            Command::Orders(orders) => {
                self.scheduler.set_orders(now, orders, &mut self.out);
                self.update_progress();
            }
            Command::Receive(datagram) => match *datagram {
                Datagram::Digest(digest) => self.scheduler.receive_digest(now, digest),
                Datagram::Frame(frame) => self.scheduler.receive_frame(now, frame, &mut self.out),
                Datagram::Limits(reports) => self.scheduler.receive_limits(now, &reports),
                Datagram::Suspects(suspects) => self.scheduler.receive_suspects(now, &suspects),
            },
            Command::RestoreUsage(usage) => self.scheduler.restore_usage(now, &usage),
        }
        self.deliver_decisions();
    }

    fn deliver_decisions(&mut self) {
        for Decision { request, placement } in std::mem::take(&mut self.out) {
            if let Some(reply) = self.waiting.remove(&request) {
                // If the caller has disconnected, dropping the submission withdraws the request.
                let _ = reply.send(placement);
            }
        }
    }
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::Moved { service, before, home, open } => spdlog::info!(
            "home of a service changed",
            kv: {
                service = service.as_str(),
                before = before.as_str(),
                home = home.as_str(),
                open = *open
            }
        ),
        Notice::Silent { home, silence } => spdlog::warn!(
            "no messages from home VM",
            kv: { home = home.as_str(), silence_ms = silence.as_millis() }
        ),
        Notice::Stalled { home, silence, failed_sends } => spdlog::error!(
            "home VM is heard but acknowledges nothing, this VM is not ready",
            kv: {
                home = home.as_str(),
                silence_ms = silence.as_millis(),
                failed_sends = *failed_sends
            }
        ),
        Notice::Joined { client } => {
            spdlog::info!("became home of another VM", kv: { guest = client.as_str() });
        }
        Notice::Left { client } => {
            spdlog::info!("stopped being home of another VM", kv: { guest = client.as_str() });
        }
    }
}

fn log_limit(service: &ServiceName, server: &ServerId, limit: Option<f64>) {
    let limit = limit.map_or("none".into(), |limit| limit.to_string());
    spdlog::info!(
        "limit of a server changed",
        kv: { service = service.as_str(), server = server.as_str(), limit }
    );
}

fn log_part_notice(notice: &poison::Notice) {
    let poison::Notice { change, service, part, ends, failures } = notice;
    let (service, part) = (service.as_str(), part.to_string());
    spdlog::warn!("{change}", kv: { service, part, ends = *ends, failures = *failures });
}

fn log_usage(usage: &ServiceUsage) {
    let ServiceUsage { service, is_home, disputed, slots } = usage;
    spdlog::info!(
        "slots of a service",
        kv: {
            service = service.as_str(),
            is_home = *is_home,
            disputed = *disputed,
            slots = slots.slots,
            free = slots.free,
            running = slots.running,
            reported = slots.reported,
            waiting = format!("{:?}", slots.waiting)
        }
    );
}
