//! The [`Keeper`] state machine: its inputs, its outputs, and the handling of messages and calls.
//!
//! The driver passes [`Input`]s and performs the [`Output`]s. Membership, announcements of backend
//! servers and the long polls of entry VMs are implemented in modules of their own.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use edition::{Job, Patch, PatchCache};
use model::{Invariant, ServerId, Span, Time, VmName, ZoneName};
use poison::{Detector, Known, Suspect};
use raft::{Envelope, Member, Raft, StoredState, Voters, WriteBatch};
use replica::Replica;
use rollout::Rollout;

use crate::{
    calls::PendingCalls,
    plan::{self, State, StoredPlan},
    registry::{MergeResult, Phase, Registry, Server},
    rollouts::Trials,
    voters::Peer,
    wire::{AgedServer, Answer, Call, Message, Spending},
};

/// Interval of [`Message::Hello`] between control VMs.
pub(crate) const HELLO_INTERVAL: Span = Span::from_millis(250);
/// Silence after which a control VM or an entry VM is considered lost.
pub(crate) const PEER_TIMEOUT: Span = Span::from_millis(1_500);
/// Interval at which received announcements are forwarded to the other control VMs.
const FORWARD_INTERVAL: Span = Span::from_millis(500);
/// Time for which the quota usage reported by an entry VM is kept, and which a control VM must have
/// run to know all recent usage. It is longer than the window of any quota.
pub(crate) const SPENDING_WINDOW: Span = Span::from_secs(10);

/// The configuration and the stored state with which a [`Keeper`] starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this VM, by which the other VMs reach it.
    pub vm: VmName,
    /// Availability zone of this VM, over which voters are spread.
    pub zone: ZoneName,
    /// Random number drawn at the start of the process, by which others recognize a restart.
    pub incarnation: u64,
    /// Identity of this VM's replica in the replicated log.
    pub member: Member,
    /// State of the replicated log on disk; `None` if the disk holds none.
    pub stored: Option<StoredState>,
    /// Control VMs to contact first, through which all others are discovered.
    pub seeds: Vec<VmName>,
    /// Whether the seeds found a new log if none of them belongs to one.
    pub founding: bool,
    /// Number of disks whose simultaneous loss the log tolerates; it determines the number of
    /// voters.
    pub losses: usize,
    /// Time without an announcement after which a backend server is listed as silent.
    pub silence: Span,
    /// Seed of the random election timeouts and of the identity of a log that this VM founds.
    pub seed: u64,
    /// What the VM last kept by [`Output::Keep`], with the ages at the start.
    pub suspects: Vec<Suspect>,
    /// Unix time in milliseconds at time zero of the clock by which [`Keeper::step`] is called. Orders
    /// outlast the VMs that accept them, so their time limits are by this time.
    pub epoch_ms: u64,
    /// Whether orders of rollouts are taken.
    pub takes_orders: bool,
}

impl Setup {
    /// Returns the setup of a VM that founds a log with itself as the only voter, for tests and
    /// examples.
    #[must_use]
    pub fn single(vm: VmName, zone: ZoneName) -> Self {
        Self {
            zone,
            incarnation: 1,
            member: Member { vm: vm.clone(), disk: 1 },
            stored: None,
            seeds: vec![vm.clone()],
            founding: true,
            losses: 0,
            silence: Span::from_secs(4),
            seed: 1,
            suspects: Vec::new(),
            epoch_ms: 0,
            takes_orders: false,
            vm,
        }
    }
}

/// An event that the driver passes to [`Keeper::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at short, regular intervals.
    Tick,
    /// A message of another control VM arrived.
    Message {
        /// The control VM that sent it.
        from: VmName,
        /// The content, such as a heartbeat, a Raft message or servers for the registry.
        message: Message,
    },
    /// A batch of the log is synced to disk.
    Persisted {
        /// Number of the batch, from [`Output::Persist`].
        id: u64,
    },
    /// An entry VM, an operator or a backend server calls.
    Call {
        /// Number assigned by the driver, which [`Output::Reply`] repeats.
        call_id: u64,
        /// The request to answer.
        call: Call,
    },
    /// A [`Output::Compress`] is done.
    Compressed(Arc<Patch>),
    /// The settings changed; these seeds replace the previous ones.
    Seeds(Vec<VmName>),
    /// This VM is shutting down, so it transfers leadership.
    Stop,
}

/// An action that the driver performs.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another control VM. The message may be lost.
    Send {
        /// The control VM that receives it.
        to: VmName,
        /// The content to send, such as a heartbeat, a Raft message or servers for the registry.
        message: Message,
    },
    /// Write and sync a batch of the log, then report it with [`Input::Persisted`].
    Persist {
        /// Number of the batch; batches are written in order.
        id: u64,
        /// Identity of the log that the batch belongs to.
        cluster: u64,
        /// The changes to write.
        persist: WriteBatch,
    },
    /// Keep these parts of requests under which servers ended, in place of earlier ones, for the next
    /// process of this VM. They help entry VMs that start, and no acknowledgement depends on them.
    Keep(Vec<Suspect>),
    /// Make a patch, which takes longer than a step may, and report it with [`Input::Compressed`].
    /// There is one at a time.
    Compress(Job),
    /// Answer a call.
    Reply {
        /// Number of the call, from [`Input::Call`].
        call_id: u64,
        /// The result, to be returned to the caller.
        answer: Answer,
    },
    /// A change of this VM's view, to be logged and counted.
    Changed(Change),
}

/// A change of a control VM's view of the cluster, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another control VM was heard from (`true`) or fell silent (`false`).
    Peer(VmName, bool),
    /// The log with this identity was founded, joined or loaded from disk.
    Formed(u64),
    /// The leader of the replicated log changed; `None` while none is known.
    Leader(Option<VmName>),
    /// The voters of the replicated log changed.
    Voters(Voters),
    /// The plan of this version is now in force at this VM.
    Plan(u64),
    /// The registry entry of a backend server changed.
    Server(Server),
    /// An announcement that contradicts the known process was ignored, and how many have been. It is
    /// reported for counts that are a power of two.
    Contradicted {
        /// The announcement.
        server: Server,
        /// Number of announcements that contradicted the process so far.
        count: u32,
    },
    /// An order of a rollout was accepted or entered another phase.
    Rollout(Rollout),
}

/// The state of one control VM.
#[derive(Debug)]
pub struct Keeper {
    pub(crate) now: Time,
    pub(crate) setup: Setup,
    pub(crate) replica: Replica<State>,
    pub(crate) registry: Registry,
    /// Servers whose announcements were received here and not yet forwarded.
    pub(crate) unforwarded: BTreeSet<ServerId>,
    pub(crate) peers: BTreeMap<VmName, Peer>,
    /// Control VMs that receive heartbeats, and when each was last seen.
    pub(crate) contacts: BTreeMap<VmName, Time>,
    /// Entry VMs by name, with the time of the last poll and the availability zone.
    pub(crate) entry_vms: BTreeMap<VmName, (Time, ZoneName)>,
    /// The last report of each entry VM and lineage, with its time. The usage of a process that
    /// ended still counts against the quotas.
    pub(crate) spending: BTreeMap<(VmName, u64), (Time, Spending)>,
    /// What entry VMs reported of parts of requests under which servers ended, for those that start.
    pub(crate) suspects: Detector,
    /// Those of [`Output::Keep`].
    pub(crate) kept: Known,
    /// What entry VMs reported of open orders.
    pub(crate) trials: Trials,
    /// Time of the first input.
    pub(crate) started: Option<Time>,
    pub(crate) calls: PendingCalls,
    /// The latest plans and the patches between them.
    pub(crate) patch_cache: PatchCache,
    /// Leader that was last reported in a [`Change`].
    pub(crate) leader: Option<VmName>,
    /// Voters that were last reported in a [`Change`].
    pub(crate) voters: Voters,
    /// Version of the plan that was last reported in a [`Change`].
    pub(crate) plan: u64,
    /// Time of the next heartbeat.
    pub(crate) hello_at: Time,
    /// Time at which received announcements are forwarded next.
    pub(crate) forward_at: Time,
    /// Time at which batched changes are sent to entry VMs next.
    pub(crate) push_at: Time,
    pub(crate) stopping: bool,
    pub(crate) out: Vec<Output>,
}

impl Keeper {
    /// Creates the state machine of a process that starts.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let mut replica = Replica::new(setup.member.clone(), setup.seed).low_latency();
        let mut out = Vec::new();
        if let Some(stored) = setup.stored.clone() {
            out.push(Output::Changed(Change::Formed(stored.cluster)));
            replica.start(Time::default(), stored);
        }
        let mut keeper = Self {
            now: Time::default(),
            replica,
            registry: Registry::default(),
            unforwarded: BTreeSet::new(),
            peers: BTreeMap::new(),
            contacts: BTreeMap::new(),
            entry_vms: BTreeMap::new(),
            spending: BTreeMap::new(),
            suspects: Detector::new(setup.vm.clone()),
            kept: Known::default(),
            trials: Trials::default(),
            started: None,
            calls: PendingCalls::default(),
            patch_cache: PatchCache::default(),
            leader: None,
            voters: Voters::new(),
            plan: 0,
            hello_at: Time::default(),
            forward_at: Time::default(),
            push_at: Time::default(),
            stopping: false,
            out,
            setup: setup.clone(),
        };
        keeper.add_contacts(setup.seeds.clone());
        keeper
    }

    /// Processes one input and appends the resulting outputs to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.now == Time::default()
            && let Some(raft) = self.replica.raft_mut()
        {
            // `new` loaded the log from disk before the time was known, so its timers start now.
            raft.tick(now);
        }
        self.now = self.now.max(now);
        if self.started.is_none() {
            self.started = Some(self.now);
            let stored = std::mem::take(&mut self.setup.suspects);
            self.merge_suspects(&stored);
        }
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.on_message(from, message),
            Input::Persisted { id } => {
                let messages = self.replica.persisted(id);
                self.send_raft(messages);
            }
            Input::Call { call_id, call } => self.on_call(call_id, call),
            Input::Compressed(patch) => self.patch_cache.insert(patch),
            Input::Seeds(vms) => {
                self.setup.seeds.clone_from(&vms);
                self.add_contacts(vms);
            }
            Input::Stop => self.stop(),
        }
        self.flush();
        out.append(&mut self.out);
    }

    /// Returns the replicated log, for tests and reports; `None` before it is founded or joined.
    #[must_use]
    pub fn raft(&self) -> Option<&Raft> {
        self.replica.raft()
    }

    /// Returns the version of the plan in force at this VM; 0 if there is none.
    #[must_use]
    pub fn plan(&self) -> u64 {
        self.replica.state().plan.version
    }

    fn tick(&mut self) {
        if self.now >= self.hello_at {
            self.hello_at = self.now + HELLO_INTERVAL;
            self.hello();
            self.expire();
            self.try_found();
            self.update_voters();
            self.keep_suspects();
        }
        if self.now >= self.forward_at {
            self.forward_at = self.now + FORWARD_INTERVAL;
            self.forward_updates();
        }
        self.replica.tick(self.now);
        self.resend_holds();
        self.judge_rollouts();
        self.expire_calls();
    }

    fn on_message(&mut self, from: VmName, message: Message) {
        match message {
            Message::Hello { incarnation, zone, member, cluster, known } => {
                let peer = Peer { last_seen: self.now, incarnation, zone, member, cluster };
                self.on_hello(from, peer, known);
            }
            Message::Form { cluster, voters } => {
                if self.replica.raft().is_none() {
                    self.start_log(cluster, voters);
                }
            }
            Message::Raft(envelope) => self.replica.step(self.now, *envelope),
            Message::Hold { token, servers } => {
                let mut stored = true;
                for AgedServer { server, age } in servers {
                    let result = self.merge_server(age, server);
                    stored &= !matches!(result, MergeResult::Contradicted(_));
                }
                // A departure that was ignored here is not confirmed.
                if let Some(token) = token.filter(|_| stored) {
                    self.send(from, Message::Holds { token });
                }
            }
            Message::Holds { token } => {
                if let Some(pending) = self.calls.holds.get_mut(&token) {
                    pending.confirmed.insert(from);
                    self.answer_hold(token);
                }
            }
        }
    }

    fn on_call(&mut self, call_id: u64, call: Call) {
        match call {
            Call::Replace { version, document } => self.on_replace(call_id, version, document),
            Call::Read => self.on_read(call_id),
            Call::Announce { server } => {
                let id = server.id.clone();
                let leaving = server.phase > Phase::Serving;
                let result = self.merge_server(Span::ZERO, server);
                if matches!(result, MergeResult::Contradicted(_)) {
                    // A departure that is ignored must not be acknowledged. Others are, like those
                    // that cannot be read, so that their writer does not repeat them.
                    let answer = if leaving {
                        Answer::Unavailable("it contradicts an earlier announcement")
                    } else {
                        Answer::Done { version: 0 }
                    };
                    self.reply(call_id, answer);
                    return;
                }
                let changed = result == MergeResult::Changed;
                self.unforwarded.insert(id.clone());
                if leaving {
                    self.await_majority(call_id, id);
                    return;
                }
                if changed {
                    self.forward_updates();
                }
                self.reply(call_id, Answer::Done { version: 0 });
            }
            Call::Leave { id, born } => match self.registry.leave(&id, born) {
                Some(server) => {
                    self.report(Change::Server(server));
                    self.await_majority(call_id, id);
                }
                // No entry VM learned of this server from here, and delayed announcements of the
                // server are older than this call.
                None => self.reply(call_id, Answer::Done { version: 0 }),
            },
            Call::StartRollout { order, is_listed } => {
                self.on_start_rollout(call_id, order, is_listed);
            }
            Call::ReadRollouts(service) => self.on_read_rollouts(call_id, &service),
            Call::Sync { from, sync } => self.on_sync(call_id, from, sync),
        }
    }

    pub(crate) fn on_replace(&mut self, call_id: u64, version: u64, document: Arc<Vec<u8>>) {
        if !self.replica.is_current(self.now) {
            let answer = self.redirect();
            self.reply(call_id, answer);
            return;
        }
        let current = self.replica.state().plan.version;
        if version <= current {
            self.reply(call_id, Answer::Done { version: current });
            return;
        }
        let command = plan::encode(&StoredPlan { version, document });
        match self.replica.propose(self.now, command) {
            Some(_) => self.calls.add_commit(self.now, call_id, version),
            None => self.reply(call_id, Answer::Unavailable("the log takes no entries now")),
        }
    }

    pub(crate) fn on_read(&mut self, call_id: u64) {
        let answer = if self.replica.is_current(self.now) {
            let plan = &self.replica.state().plan;
            Answer::Document { version: plan.version, document: Arc::clone(&plan.document) }
        } else {
            self.redirect()
        };
        self.reply(call_id, answer);
    }

    /// Returns the answer to a call that only the leader can answer: a redirect if a leader with a
    /// majority is known.
    pub(crate) fn redirect(&self) -> Answer {
        let leader = self.replica.raft().and_then(Raft::leader).map(|m| &m.vm);
        match leader {
            Some(vm) if *vm != self.setup.vm && self.replica.in_quorum(self.now) => {
                Answer::Redirect(vm.clone())
            }
            _ => Answer::Unavailable("no leader with a majority is known"),
        }
    }

    /// Answers the calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self) {
        let now = self.now;
        let calls = &mut self.calls;
        let mut expired = Vec::new();
        expired.extend(
            calls.commits.extract_if(.., |_, c| now >= c.deadline).map(|(call_id, _)| call_id),
        );
        expired.extend(
            calls.orders.extract_if(.., |_, o| now >= o.deadline).map(|(call_id, _)| call_id),
        );
        expired.extend(
            calls.holds.extract_if(.., |_, h| now >= h.deadline).map(|(call_id, _)| call_id),
        );
        for call_id in expired {
            self.reply(call_id, Answer::Unavailable("no majority confirmed it in time"));
        }
    }

    /// Emits the writes and messages of the replicated log, and answers the calls that waited for
    /// it.
    pub(crate) fn flush(&mut self) {
        let flush = self.replica.flush(self.now);
        self.send_raft(flush.messages);
        if let Some(cluster) = self.replica.raft().map(Raft::cluster) {
            for write in flush.writes {
                let (id, persist) = (write.id, write.persist);
                self.out.push(Output::Persist { id, cluster, persist });
            }
        }
        let plan = &self.replica.state().plan;
        if plan.version > self.patch_cache.version() {
            self.patch_cache.push(self.now, plan.version, Arc::clone(&plan.document));
        }
        self.answer_commits();
        self.answer_orders();
        self.follow_rollouts();
        self.answer_syncs();
        self.answer_fetches();
        self.report_changes();
    }

    pub(crate) fn answer_commits(&mut self) {
        let version = self.replica.state().plan.version;
        let done = self.calls.commits.extract_if(.., |_, c| c.version <= version);
        for (call_id, commit) in done.collect::<Vec<_>>() {
            Invariant::RevisionOrder.check(version >= commit.version);
            self.reply(call_id, Answer::Done { version });
        }
    }

    /// Reports changes of the leader, the voters and the plan since the last call.
    pub(crate) fn report_changes(&mut self) {
        let leader = self.replica.raft().and_then(Raft::leader).map(|m| m.vm.clone());
        if leader != self.leader {
            self.leader.clone_from(&leader);
            self.report(Change::Leader(leader));
        }
        let voters = self.replica.raft().map(|r| r.voters().clone()).unwrap_or_default();
        if voters != self.voters {
            self.voters.clone_from(&voters);
            self.report(Change::Voters(voters));
        }
        let plan = self.replica.state().plan.version;
        if plan != self.plan {
            Invariant::RevisionOrder.check(plan > self.plan);
            self.plan = plan;
            self.report(Change::Plan(plan));
        }
    }

    pub(crate) fn send(&mut self, to: VmName, message: Message) {
        self.out.push(Output::Send { to, message });
    }

    pub(crate) fn send_raft(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            self.send(envelope.to.vm.clone(), Message::Raft(Box::new(envelope)));
        }
    }

    pub(crate) fn reply(&mut self, call_id: u64, answer: Answer) {
        self.out.push(Output::Reply { call_id, answer });
    }

    pub(crate) fn report(&mut self, change: Change) {
        self.out.push(Output::Changed(change));
    }
}
