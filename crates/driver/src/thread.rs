//! The control thread.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use control::{
    Clock, Contact, Input, LogEvent, Machine, Message, Order, Output, PublishedState, Setup,
};
use meters::{Meters, Op};
use model::{Catalogue, Outcome, RequestId, Time, VmName};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{
    disk::{Disk, LogWrite, spawn_disk_writer},
    handle::{Calls, Event, Handle, Work},
};

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(10);
/// Most inputs taken between two ticks.
const MAX_BURST: usize = 1_024;

/// Where messages to other VMs go.
pub trait Outbox: Send {
    /// Sends a message, or drops it; must not block.
    fn send(&self, to: &VmName, message: Message);
}

struct Control<O> {
    machine: Machine,
    origin: Instant,
    outbox: O,
    writes: mpsc::Sender<LogWrite>,
    published: Arc<ArcSwap<PublishedState>>,
    calls: Arc<Calls>,
    meters: Arc<Meters>,
    events: HashMap<RequestId, UnboundedSender<Event>>,
    orders: UnboundedSender<Order>,
    out: Vec<Output>,
}

/// Starts the control thread and the disk thread.
///
/// Orders to backend servers come out of the receiver. `failed` is called when a write of the replicated log fails; the process must end then.
///
/// # Errors
///
/// If a thread cannot be started.
pub fn start<O: Outbox + 'static, D: Disk + 'static>(
    setup: &Setup,
    outbox: O,
    disk: D,
    meters: Arc<Meters>,
    failed: impl Fn(String) + Send + 'static,
) -> io::Result<(Handle, UnboundedReceiver<Order>)> {
    let (work, inbox) = mpsc::channel();
    let published = Arc::new(ArcSwap::from_pointee(PublishedState {
        catalogue: Arc::new(Catalogue::default()),
        ready: false,
        contact: Contact::Alone,
    }));
    let calls = Arc::new(Calls::default());
    let (orders, given) = unbounded_channel();
    let done = work.clone();
    let synced = move |id| {
        // After the control thread ended nobody waits for writes.
        let _ = done.send(Work::Input(Input::Persisted { id }));
    };
    let control = Control {
        machine: Machine::new(setup),
        origin: Instant::now(),
        outbox,
        writes: spawn_disk_writer(disk, synced, failed)?,
        published: Arc::clone(&published),
        calls: Arc::clone(&calls),
        meters,
        events: HashMap::new(),
        orders,
        out: Vec::new(),
    };
    thread::Builder::new().name("control".into()).spawn(move || control.run(&inbox))?;
    Ok((Handle { work, published, calls }, given))
}

impl<O: Outbox> Control<O> {
    fn run(mut self, inbox: &mpsc::Receiver<Work>) {
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(work) => {
                    if !self.take_burst(work, inbox) {
                        break;
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => break,
            }
            if Instant::now() >= tick_at {
                self.step(Input::Tick);
                tick_at = Instant::now() + TICK;
            }
        }
        self.calls.close();
    }

    /// Takes what has queued up; false if the thread shall end.
    fn take_burst(&mut self, first: Work, inbox: &mpsc::Receiver<Work>) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_BURST {
            match next {
                Some(Work::Input(input)) => self.input(input),
                Some(Work::Submit { ticket, events }) => {
                    self.events.insert(ticket.request, events);
                    self.step(Input::Submit { ticket });
                }
                Some(Work::Stop) => return false,
                None => return true,
            }
            next = inbox.try_recv().ok();
        }
        true
    }

    fn input(&mut self, input: Input) {
        match &input {
            Input::Abandon { request } => {
                self.events.remove(request);
            }
            Input::Finish { request, outcome } if *outcome != Outcome::NotSent => {
                self.events.remove(request);
            }
            _ => {}
        }
        self.step(input);
    }

    fn step(&mut self, input: Input) {
        let clock = Clock {
            now: Time::from_micros(micros(self.origin.elapsed())),
            wall: micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()) / 1_000,
        };
        let mut out = std::mem::take(&mut self.out);
        self.machine.step(clock, input, &mut out);
        for output in out.drain(..) {
            self.put(output);
        }
        self.out = out;
    }

    fn put(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.outbox.send(&to, message),
            Output::Granted { request, server, address } => {
                self.event(request, Event::Granted { server, address });
            }
            Output::Refused { request, reason, retry } => {
                self.event(request, Event::Refused { reason, retry });
                self.events.remove(&request);
            }
            Output::Revoked { request } => {
                self.meters.count(Op::Revoked);
                self.event(request, Event::Revoked);
            }
            Output::Persist { id, cluster, persist } => {
                // A disk thread that ended has reported its failure, which ends the process.
                let _ = self.writes.send(LogWrite { id, cluster, batch: persist });
            }
            Output::Order(order) => {
                // Nobody receives orders any more only when the process stops.
                let _ = self.orders.send(order);
            }
            Output::Reply { call, answer } => self.calls.answer(call, answer),
            Output::Publish(published) => self.published.store(Arc::new(published)),
            Output::Retried { reason } => self.meters.retried(reason),
            Output::Log(change) => log(&change),
        }
    }

    fn event(&mut self, request: RequestId, event: Event) {
        if let Some(events) = self.events.get(&request) {
            // The caller may have left; then dropping its handle tells the machine.
            let _ = events.send(event);
        }
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

fn log(change: &LogEvent) {
    match change {
        LogEvent::PeerUp(vm) => spdlog::info!("entry VM {vm} is up"),
        LogEvent::PeerDown(vm) => spdlog::warn!("entry VM {vm} is down"),
        LogEvent::Leader(Some(vm)) => spdlog::info!("{vm} leads the replicated log"),
        LogEvent::Leader(None) => spdlog::warn!("the replicated log has no known leader"),
        LogEvent::Contact(contact) => spdlog::info!("contact is {contact:?}"),
        LogEvent::Revision(revision) => spdlog::info!("catalogue revision {revision} is in force"),
        LogEvent::Formed(cluster) => spdlog::info!("replicated log {cluster:x} is in use"),
        LogEvent::Marked(server, duty) => spdlog::info!("backend server {server} is {duty:?}"),
    }
}
