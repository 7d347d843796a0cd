//! The control thread.
//!
//! It feeds the [`Keeper`] with queued inputs and with a tick at a fixed interval, and carries out
//! the outputs: messages to other control VMs, writes of the replicated log, answers to calls, and
//! log lines and metrics of changes.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use driver::{LogWrite, spawn_critical, spawn_disk_writer};
use keeper::{Answer, Call, Change, Input, Keeper, Message, Output, Setup};
use meters::{Meters, Operation};
use model::VmName;
use peer::Links;
use tokio::sync::oneshot;

use crate::{
    disk::JournalDisk,
    protocol::{ControlProtocol, peer_address},
    suspects::Kept,
};

/// Interval between ticks of the control state.
const TICK: Duration = Duration::from_millis(20);
/// Exit code of a process one of whose threads panicked.
const EXIT_THREAD: i32 = 70;

enum Work {
    Input(Input),
    Call(Call, oneshot::Sender<Answer>),
}

/// A handle to the control thread, which is cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    work: mpsc::Sender<Work>,
}

impl Handle {
    /// Queues an input that has no answer.
    pub fn input(&self, input: Input) {
        // The send fails only when the process ends, and the control thread with it.
        let _ = self.work.send(Work::Input(input));
    }

    /// Queues a message of another control VM.
    pub fn message(&self, from: VmName, message: Message) {
        self.input(Input::Message { from, message });
    }

    /// Makes a call and waits for its answer, which is [`Answer::Unavailable`] if the control
    /// thread has ended.
    pub async fn call(&self, call: Call) -> Answer {
        let (sender, answer) = oneshot::channel();
        let _ = self.work.send(Work::Call(call, sender));
        answer.await.unwrap_or(Answer::Unavailable("this VM is stopping"))
    }
}

struct Control {
    keeper: Keeper,
    links: Links<ControlProtocol>,
    runtime: tokio::runtime::Handle,
    port: u16,
    writes: mpsc::Sender<LogWrite>,
    kept: mpsc::Sender<Kept>,
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
    next_call: u64,
    /// Queue of this thread, for results of work that runs elsewhere.
    work: mpsc::Sender<Work>,
    meters: Arc<Meters>,
    out: Vec<Output>,
}

/// Starts the control thread and the disk thread. It must be called within a tokio runtime.
///
/// `port` is the one on which all control VMs accept calls of other VMs. What is sent to `kept` is
/// written for the next process.
pub(crate) fn start(
    setup: &Setup,
    links: Links<ControlProtocol>,
    port: u16,
    (disk, kept): (JournalDisk, mpsc::Sender<Kept>),
    meters: Arc<Meters>,
) -> io::Result<Handle> {
    let (work, inbox) = mpsc::channel();
    let done = work.clone();
    let synced = move |id| {
        // The send fails only after the control thread has ended; nothing waits for writes then.
        let _ = done.send(Work::Input(Input::Persisted { id }));
    };
    let control = Control {
        keeper: Keeper::new(setup),
        links,
        runtime: tokio::runtime::Handle::current(),
        port,
        writes: spawn_disk_writer(disk, synced, |why| end_process(&why))?,
        kept,
        waiting: HashMap::new(),
        next_call: 1,
        work: work.clone(),
        meters,
        out: Vec::new(),
    };
    spawn_critical("control", move || control.run(&inbox), |why| end_process(&why))?;
    Ok(Handle { work })
}

/// Ends the process, because it would hold its place among the control VMs without doing their work.
fn end_process(why: &str) {
    spdlog::critical!("ending the process: {why}");
    std::process::exit(EXIT_THREAD);
}

fn log_patch(patch: &edition::Patch, time: Duration) {
    spdlog::info!(
        "patch of the plan is made",
        kv: {
            plan = patch.target.version,
            before = patch.base.map_or(0, |b| b.version),
            digest = patch.target.digest.to_string(),
            bytes = patch.content.len(),
            document_bytes = patch.length,
            time_ms = time.as_millis()
        }
    );
}

impl Control {
    fn run(mut self, inbox: &mpsc::Receiver<Work>) {
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(work) => self.process(work),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= tick_at {
                self.step(Input::Tick);
                tick_at = Instant::now() + TICK;
            }
        }
    }

    fn process(&mut self, work: Work) {
        match work {
            Work::Input(input) => self.step(input),
            Work::Call(call, answer) => {
                let call_id = self.next_call;
                self.next_call += 1;
                self.waiting.insert(call_id, answer);
                self.step(Input::Call { call_id, call });
            }
        }
    }

    fn step(&mut self, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.keeper.step(clock::since_boot(), input, &mut out);
        for output in out.drain(..) {
            self.apply(output);
        }
        self.out = out;
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(&to, message),
            Output::Persist { id, cluster, persist } => {
                // The send fails only when the process ends, and the disk thread with it.
                let _ = self.writes.send(LogWrite { id, cluster, batch: persist });
            }
            Output::Keep(suspects) => {
                // The send fails only when the process ends, and the writer with it.
                let _ = self.kept.send(Kept::now(suspects));
            }
            Output::Compress(job) => {
                let (work, meters) = (self.work.clone(), Arc::clone(&self.meters));
                self.runtime.spawn_blocking(move || {
                    let start = Instant::now();
                    let patch = Arc::new(job.run());
                    log_patch(&patch, start.elapsed());
                    meters.count(Operation::PatchMade);
                    // The send fails only when the process ends.
                    let _ = work.send(Work::Input(Input::Compressed(patch)));
                });
            }
            Output::Reply { call_id, answer } => {
                if let Some(waiting) = self.waiting.remove(&call_id) {
                    // The send fails if the caller no longer waits.
                    let _ = waiting.send(answer);
                }
            }
            Output::Changed(change) => self.log_change(&change),
        }
    }

    fn send(&self, to: &VmName, message: Message) {
        let _guard = self.runtime.enter();
        match peer_address(to, self.port) {
            Ok(address) => {
                if let Err(error) = self.links.add(&address) {
                    spdlog::error!("connection to control VM cannot be set up", kv: { vm = to.as_str(), error = error.to_string() });
                    return;
                }
                self.links.send(to, message);
            }
            Err(error) => spdlog::error!("message dropped: {error}"),
        }
    }

    fn log_change(&self, change: &Change) {
        match change {
            Change::Peer(vm, true) => {
                spdlog::info!("control VM is heard", kv: { vm = vm.as_str() });
            }
            Change::Peer(vm, false) => {
                spdlog::warn!("control VM sends no heartbeats", kv: { vm = vm.as_str() });
            }
            Change::Formed(cluster) => {
                spdlog::info!("replicated log is in use", kv: { cluster = format!("{cluster:x}") });
            }
            Change::Leader(leader) => {
                self.meters.count(Operation::LeaderChanged);
                let vm = leader.as_ref().map_or("none", VmName::as_str);
                spdlog::info!("leader of the replicated log changed", kv: { vm });
            }
            Change::Voters(voters) => {
                let voters: Vec<String> = voters.iter().map(ToString::to_string).collect();
                spdlog::info!("voters of the replicated log changed", kv: { voters = voters.join(" ") });
            }
            Change::Plan(version) => {
                self.meters.count(Operation::PlanInForce);
                spdlog::info!("plan is in force", kv: { plan = *version });
            }
            Change::Rollout(rollout) => spdlog::info!(
                "rollout entered a phase",
                kv: {
                    order = rollout.id,
                    service = rollout.order.service.as_str(),
                    to = rollout.order.to.as_str(),
                    phase = format!("{:?}", rollout.phase),
                    reason = rollout.reason.as_str(),
                    duration_ms = rollout.order.duration.as_millis()
                }
            ),
            Change::Server(server) => spdlog::info!(
                "registry entry of a backend server changed",
                kv: {
                    server = server.id.as_str(),
                    service = server.service.as_str(),
                    address = server.address.to_string(),
                    born = server.born,
                    seq = server.seq,
                    phase = format!("{:?}", server.phase)
                }
            ),
            Change::Contradicted { server, count } => spdlog::warn!(
                "announcement contradicts the known server and is ignored",
                kv: {
                    server = server.id.as_str(),
                    service = server.service.as_str(),
                    address = server.address.to_string(),
                    zone = server.zone.as_str(),
                    born = server.born,
                    seq = server.seq,
                    count = *count
                }
            ),
        }
    }
}
