//! The control thread.
//!
//! It feeds the control state with queued inputs and with a tick at a fixed interval, and carries
//! out the outputs: messages to other VMs, writes of the replicated log, orders to backend servers,
//! answers to calls and events of requests.

use std::{
    collections::HashMap,
    io, iter,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use control::{
    Clock, Contact, Input, LogEvent, Machine, Message, Order, Output, PublishedState, Setup,
};
use meters::{Meters, Operation};
use model::{Catalogue, Outcome, RequestId, Time, VmName};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{
    disk::{Disk, LogWrite, spawn_disk_writer},
    handle::{Event, Handle, PendingCalls, Work},
};

/// Interval between ticks of the control state.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of queued inputs processed before the tick is checked again, so that a full queue
/// does not delay ticks without bound.
const MAX_BURST: usize = 1_024;

/// Sends messages to other VMs.
pub trait Outbox: Send {
    /// Sends a message, or drops it. It must not block, because the control thread calls it.
    fn send(&self, to: &VmName, message: Message);
}

struct Control<O> {
    machine: Machine,
    origin: Instant,
    outbox: O,
    writes: mpsc::Sender<LogWrite>,
    published: Arc<ArcSwap<PublishedState>>,
    calls: Arc<PendingCalls>,
    meters: Arc<Meters>,
    events: HashMap<RequestId, UnboundedSender<Event>>,
    orders: UnboundedSender<Order>,
    out: Vec<Output>,
}

/// Starts the control thread and the disk thread.
///
/// The returned receiver yields orders to backend servers. `failed` is called if a write of the
/// replicated log fails; the process must then end.
///
/// # Errors
///
/// If a thread cannot be started.
pub fn start<O: Outbox + 'static, D: Disk + 'static>(
    setup: &Setup,
    outbox: O,
    disk: D,
    meters: Arc<Meters>,
    failed: impl Fn(String) + Send + Sync + 'static,
) -> io::Result<(Handle, UnboundedReceiver<Order>)> {
    let (work, inbox) = mpsc::channel();
    let published = Arc::new(ArcSwap::from_pointee(PublishedState {
        catalogue: Arc::new(Catalogue::default()),
        ready: false,
        contact: Contact::Alone,
    }));
    let calls = Arc::new(PendingCalls::default());
    let (orders, order_receiver) = unbounded_channel();
    let done = work.clone();
    let synced = move |id| {
        // The send fails only after the control thread has ended; nothing waits for writes then.
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
    Ok((Handle { work, published, calls }, order_receiver))
}

impl<O: Outbox> Control<O> {
    fn run(mut self, inbox: &mpsc::Receiver<Work>) {
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(work) => {
                    if !self.process_queued(work, inbox) {
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

    /// Processes queued work, at most `MAX_BURST` items; returns `false` if the thread must end.
    fn process_queued(&mut self, first: Work, inbox: &mpsc::Receiver<Work>) -> bool {
        // Items are taken from the queue one by one, since one that was taken must be processed.
        for work in iter::once(first).chain(inbox.try_iter()).take(MAX_BURST) {
            match work {
                Work::Input(input) => self.process_input(input),
                Work::Submit { ticket, events } => {
                    self.events.insert(ticket.request, events);
                    self.step(Input::Submit { ticket });
                }
                Work::Stop => return false,
            }
        }
        true
    }

    fn process_input(&mut self, input: Input) {
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
            self.apply(output);
        }
        self.out = out;
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.outbox.send(&to, message),
            Output::Granted { request, server, address } => {
                self.notify(request, Event::Granted { server, address });
            }
            Output::Refused { request, reason, retry } => {
                self.notify(request, Event::Refused { reason, retry });
                self.events.remove(&request);
            }
            Output::Revoked { request } => {
                self.meters.count(Operation::Revoked);
                self.notify(request, Event::Revoked);
            }
            Output::Persist { id, cluster, persist } => {
                // The send fails if the disk thread has ended; it has then reported its failure,
                // which ends the process.
                let _ = self.writes.send(LogWrite { id, cluster, batch: persist });
            }
            Output::Order(order) => {
                // The send fails only when the process stops and the receiver is dropped.
                let _ = self.orders.send(order);
            }
            Output::Reply { call, answer } => self.calls.answer(call, answer),
            Output::Publish(published) => self.published.store(Arc::new(published)),
            Output::Retried { reason } => self.meters.count_retry(reason),
            Output::Log(change) => log_change(&change),
        }
    }

    fn notify(&mut self, request: RequestId, event: Event) {
        if let Some(events) = self.events.get(&request) {
            // The send fails if the caller left; dropping its `Submission` reports that.
            let _ = events.send(event);
        }
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

fn log_change(change: &LogEvent) {
    match change {
        LogEvent::PeerUp(vm) => spdlog::info!("entry VM {vm} is up"),
        LogEvent::PeerDown(vm) => spdlog::warn!("entry VM {vm} is down"),
        LogEvent::Leader(Some(vm)) => spdlog::info!("{vm} leads the replicated log"),
        LogEvent::Leader(None) => spdlog::warn!("the replicated log has no known leader"),
        LogEvent::Contact(contact) => spdlog::info!("contact with the other VMs is {contact:?}"),
        LogEvent::Revision(revision) => spdlog::info!("catalogue revision {revision} is in force"),
        LogEvent::Formed(cluster) => spdlog::info!("replicated log {cluster:x} is in use"),
        LogEvent::Marked(server, duty) => spdlog::info!("backend server {server} is {duty:?}"),
    }
}
