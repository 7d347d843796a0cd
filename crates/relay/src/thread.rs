//! The thread of the desk.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use keeper::Spending;
use model::{Outcome, RequestId, ServerId, ServiceName, VmName};
use region::Notice;
use routing::Plan;
use tokio::sync::oneshot;

use crate::{
    desk::{Decision, Desk, Fleet, Verdicted, Want},
    load::{Datagram, share_interval},
};

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(10);
/// Interval at which they are told when nothing changes.
const IDLE_SHARE_INTERVAL: Duration = Duration::from_millis(200);

enum Work {
    Submit(Box<Want>, oneshot::Sender<Verdicted>),
    Begun(ServiceName, RequestId),
    Report(ServiceName, ServerId, f64),
    Finish(ServiceName, RequestId, Outcome),
    Withdraw(ServiceName, RequestId),
    Plan(Arc<Plan>),
    Fleet(Fleet),
    Hear(Box<Datagram>),
    Adopt(Vec<(VmName, Spending)>),
}

/// What the desk asks of the process around it.
pub(crate) trait Surroundings: Send {
    /// Sends a message to these VMs, or loses it; must not block.
    fn tell(&self, vms: &[VmName], datagram: &Datagram);

    /// Whether this VM hears control VMs, and is not about to stop.
    fn is_able(&self) -> bool;
}

/// Talks to the thread of the desk.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    work: mpsc::Sender<Work>,
    spent: Arc<ArcSwap<Spending>>,
}

impl Handle {
    pub(crate) fn plan(&self, plan: Arc<Plan>) {
        self.pass(Work::Plan(plan));
    }

    pub(crate) fn fleet(&self, fleet: Fleet) {
        self.pass(Work::Fleet(fleet));
    }

    pub(crate) fn adopt(&self, spent: Vec<(VmName, Spending)>) {
        self.pass(Work::Adopt(spent));
    }

    /// What this VM used of quotas lately, as it told the other entry VMs last.
    pub(crate) fn spent(&self) -> Spending {
        Spending::clone(&self.spent.load())
    }

    pub(crate) fn hear(&self, datagram: Datagram) {
        self.pass(Work::Hear(Box::new(datagram)));
    }

    /// Submits a request; dropping the result withdraws it.
    pub(crate) fn submit(&self, want: Want) -> Claim {
        let (request, service) = (want.ticket.request, want.ticket.service.clone());
        let (sender, verdict) = oneshot::channel();
        self.pass(Work::Submit(Box::new(want), sender));
        Claim {
            handle: self.clone(),
            request,
            service,
            verdict: Some(verdict),
            state: State::Waiting,
        }
    }

    fn pass(&self, work: Work) {
        // The thread ends only with the process.
        let _ = self.work.send(work);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Granted,
    Ended,
}

/// A submitted request. Dropping it tells the desk that its caller left.
#[derive(Debug)]
pub(crate) struct Claim {
    handle: Handle,
    request: RequestId,
    service: ServiceName,
    verdict: Option<oneshot::Receiver<Verdicted>>,
    state: State,
}

impl Claim {
    /// What was decided. Waits for a decision, once.
    pub(crate) async fn decided(&mut self) -> Option<Verdicted> {
        let verdict = self.verdict.as_mut()?.await.ok()?;
        self.verdict = None;
        self.state = match verdict {
            Verdicted::Granted { .. } => State::Granted,
            Verdicted::Refused { .. } => State::Ended,
        };
        Some(verdict)
    }

    /// Reports that the answer has begun.
    pub(crate) fn begun(&self) {
        self.handle.pass(Work::Begun(self.service.clone(), self.request));
    }

    /// Reports how long work takes at the server, relative to usual, as it says.
    pub(crate) fn report(&self, server: &ServerId, slowness: f64) {
        self.handle.pass(Work::Report(self.service.clone(), server.clone(), slowness));
    }

    /// Reports how the exchange with the server ended.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.state = State::Ended;
        self.handle.pass(Work::Finish(self.service.clone(), self.request, outcome));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let (service, request) = (self.service.clone(), self.request);
        // A verdict may be on its way, so a waiting request may have been granted meanwhile; the
        // desk drops either.
        match self.state {
            State::Waiting => self.handle.pass(Work::Withdraw(service, request)),
            State::Granted => self.handle.pass(Work::Finish(service, request, Outcome::Cancelled)),
            State::Ended => {}
        }
    }
}

/// What every request needs of the control state.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The plan in force, once one was received.
    pub(crate) plan: Option<Arc<Plan>>,
}

pub(crate) type Views = ArcSwap<View>;

struct Runner<S> {
    desk: Desk,
    around: S,
    vm: VmName,
    others: Vec<VmName>,
    waiting: HashMap<RequestId, oneshot::Sender<Verdicted>>,
    out: Vec<Decision>,
    changed: bool,
    spent: Arc<ArcSwap<Spending>>,
}

/// Starts the thread.
pub(crate) fn start<S: Surroundings + 'static>(
    vm: VmName,
    desk: Desk,
    around: S,
) -> io::Result<Handle> {
    let (work, inbox) = mpsc::channel();
    let spent = Arc::new(ArcSwap::default());
    let runner = Runner {
        desk,
        around,
        vm,
        others: Vec::new(),
        waiting: HashMap::new(),
        out: Vec::new(),
        changed: false,
        spent: Arc::clone(&spent),
    };
    thread::Builder::new().name("desk".into()).spawn(move || runner.run(&inbox))?;
    Ok(Handle { work, spent })
}

impl<S: Surroundings> Runner<S> {
    fn run(mut self, inbox: &mpsc::Receiver<Work>) {
        let start = Instant::now();
        let (mut tick_at, mut share_at, mut idle_at) = (start, start, start);
        loop {
            let next = if self.changed { tick_at.min(share_at) } else { tick_at };
            match inbox.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(work) => {
                    self.take(work);
                    while let Ok(work) = inbox.try_recv() {
                        self.take(work);
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= tick_at {
                tick_at = now + TICK;
                self.desk.set_able(self.around.is_able());
                self.desk.tick(clock::since_boot(), &mut self.out);
            }
            self.answer();
            for (vm, frame) in self.desk.frames(clock::since_boot()) {
                self.around.tell(&[vm], &Datagram::Frame(frame));
            }
            if (self.changed && now >= share_at) || now >= idle_at || self.desk.has_news() {
                self.changed = false;
                share_at = now + Duration::from(share_interval(self.others.len()));
                idle_at = now + IDLE_SHARE_INTERVAL;
                self.share();
            }
            self.desk.notices().iter().for_each(log);
        }
    }

    /// Tells all other VMs what changed.
    fn share(&mut self) {
        let load = self.desk.load(clock::since_boot());
        self.spent.store(Arc::new(self.desk.spending(clock::since_boot())));
        self.around.tell(&self.others, &Datagram::Load(load));
    }

    fn take(&mut self, work: Work) {
        let now = clock::since_boot();
        match work {
            Work::Submit(want, verdict) => {
                self.waiting.insert(want.ticket.request, verdict);
                self.desk.submit(now, *want, &mut self.out);
            }
            Work::Begun(service, request) => {
                self.changed = true;
                self.desk.begun(now, &service, request, &mut self.out);
            }
            Work::Report(service, server, slowness) => {
                self.desk.report(now, &service, (&server, slowness));
            }
            Work::Finish(service, request, outcome) => {
                self.changed = true;
                self.desk.finish(now, &service, (request, outcome), &mut self.out);
            }
            Work::Withdraw(service, request) => {
                self.waiting.remove(&request);
                self.desk.withdraw(now, &service, request, &mut self.out);
            }
            Work::Plan(plan) => self.desk.set_plan(now, plan, &mut self.out),
            Work::Fleet(fleet) => {
                self.others = fleet.entries.keys().filter(|vm| **vm != self.vm).cloned().collect();
                self.desk.set_fleet(now, fleet, &mut self.out);
            }
            Work::Hear(datagram) => match *datagram {
                Datagram::Load(load) => self.desk.hear(now, load),
                Datagram::Frame(frame) => self.desk.receive(now, frame, &mut self.out),
            },
            Work::Adopt(spent) => self.desk.adopt(now, &spent),
        }
        self.answer();
    }

    fn answer(&mut self) {
        for Decision { request, verdict } in std::mem::take(&mut self.out) {
            self.changed |= matches!(verdict, Verdicted::Granted { .. });
            if let Some(waiting) = self.waiting.remove(&request) {
                // A request whose caller left is withdrawn by its claim.
                let _ = waiting.send(verdict);
            }
        }
    }
}

fn log(notice: &Notice) {
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
            "home is not heard",
            kv: { home = home.as_str(), silence_ms = silence.as_millis() }
        ),
        Notice::Joined { client } => {
            spdlog::info!("home of another VM", kv: { guest = client.as_str() });
        }
        Notice::Left { client } => {
            spdlog::info!("no longer home of another VM", kv: { guest = client.as_str() });
        }
    }
}
