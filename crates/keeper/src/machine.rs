//! The machine: inputs in, outputs out.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{Invariant, ServerId, Span, Time, VmName, ZoneName};
use raft::{Envelope, Member, Raft, StoredState, Voters, WriteBatch};
use replica::Replica;

use crate::{
    calls::Calls,
    plans::{self, Plans},
    registry::{MergeResult, Phase, Registry, Server},
    seats::Peer,
    wire::{AgedServer, Answer, Call, Message, Spending},
};

/// Interval of greetings between control VMs.
pub(crate) const HELLO_INTERVAL: Span = Span::from_millis(250);
/// Silence after which a control VM or an entry VM counts as lost.
pub(crate) const LOST_AFTER: Span = Span::from_millis(1_500);
/// Interval at which servers that were heard are passed on to the other control VMs.
const SEEN_INTERVAL: Span = Span::from_millis(500);
/// Time for which the use of quotas that an entry VM reported counts as lately, and that a control
/// VM must have run to know all of it: more than the window of any quota.
pub(crate) const SPENT_FOR: Span = Span::from_secs(10);

/// What a control VM is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Its copy of the log.
    pub member: Member,
    /// What the disk holds of the log.
    pub stored: Option<StoredState>,
    /// Control VMs to greet first.
    pub seeds: Vec<VmName>,
    /// Whether the seeds are to found the log.
    pub founding: bool,
    /// Disks that may be lost at once.
    pub losses: usize,
    /// Silence after which a backend server is listed as silent.
    pub silence: Span,
    /// Spreads election timeouts.
    pub seed: u64,
}

impl Setup {
    /// A VM that is alone, for tests and examples.
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
            vm,
        }
    }
}

/// Something that happened outside the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Another control VM's message arrived.
    Message {
        /// The sender.
        from: VmName,
        /// The message.
        message: Message,
    },
    /// A batch of the log is synced.
    Persisted {
        /// Its number.
        id: u64,
    },
    /// Somebody wants an answer.
    Call {
        /// Number to answer to.
        call_id: u64,
        /// What is wanted.
        call: Call,
    },
    /// The settings name other control VMs.
    Seeds(Vec<VmName>),
    /// This VM is to stop.
    Stop,
}

/// What is to be done outside the machine.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message, or lose it.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: Message,
    },
    /// Write and sync a batch of the log, then report it.
    Persist {
        /// Its number.
        id: u64,
        /// Identity of the log.
        cluster: u64,
        /// What to write.
        persist: WriteBatch,
    },
    /// Answer a call.
    Reply {
        /// Its number.
        call_id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A change of what this VM believes.
    Changed(Change),
}

/// A change of what a control VM believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another control VM is heard, or no more.
    Peer(VmName, bool),
    /// The log was founded, joined or found on disk.
    Formed(u64),
    /// Who leads.
    Leader(Option<VmName>),
    /// Who votes.
    Voters(Voters),
    /// A plan is in force here.
    Plan(u64),
    /// A backend server said something new.
    Server(Server),
}

/// The state of one control VM.
#[derive(Debug)]
pub struct Keeper {
    pub(crate) now: Time,
    pub(crate) setup: Setup,
    pub(crate) copy: Replica<Plans>,
    pub(crate) registry: Registry,
    /// Servers heard here and not yet passed on.
    pub(crate) fresh: BTreeSet<ServerId>,
    pub(crate) peers: BTreeMap<VmName, Peer>,
    /// Control VMs to greet, and when each was last heard of.
    pub(crate) known: BTreeMap<VmName, Time>,
    pub(crate) entries: BTreeMap<VmName, (Time, ZoneName, bool)>,
    /// By entry VM and process: a process that ended has used its part all the same.
    pub(crate) spent: BTreeMap<(VmName, u64), (Time, Spending)>,
    pub(crate) started: Option<Time>,
    pub(crate) calls: Calls,
    pub(crate) leader: Option<VmName>,
    pub(crate) voters: Voters,
    pub(crate) plan: u64,
    pub(crate) hello_at: Time,
    pub(crate) seen_at: Time,
    pub(crate) push_at: Time,
    pub(crate) stopping: bool,
    pub(crate) out: Vec<Output>,
}

impl Keeper {
    /// A machine that starts.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let mut copy = Replica::new(setup.member.clone(), setup.seed).low_latency();
        let mut out = Vec::new();
        if let Some(stored) = setup.stored.clone() {
            out.push(Output::Changed(Change::Formed(stored.cluster)));
            copy.start(Time::default(), stored);
        }
        let mut keeper = Self {
            now: Time::default(),
            copy,
            registry: Registry::default(),
            fresh: BTreeSet::new(),
            peers: BTreeMap::new(),
            known: BTreeMap::new(),
            entries: BTreeMap::new(),
            spent: BTreeMap::new(),
            started: None,
            calls: Calls::default(),
            leader: None,
            voters: Voters::new(),
            plan: 0,
            hello_at: Time::default(),
            seen_at: Time::default(),
            push_at: Time::default(),
            stopping: false,
            out,
            setup: setup.clone(),
        };
        keeper.learn(setup.seeds.clone());
        keeper
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.now == Time::default()
            && let Some(raft) = self.copy.raft_mut()
        {
            // The log was found on disk before the first time was known.
            raft.tick(now);
        }
        self.now = self.now.max(now);
        self.started.get_or_insert(self.now);
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.on_message(from, message),
            Input::Persisted { id } => {
                let messages = self.copy.persisted(id);
                self.send_raft(messages);
            }
            Input::Call { call_id, call } => self.on_call(call_id, call),
            Input::Seeds(vms) => {
                self.setup.seeds.clone_from(&vms);
                self.learn(vms);
            }
            Input::Stop => self.stop(),
        }
        self.flush();
        out.append(&mut self.out);
    }

    /// The log, for tests and reports.
    #[must_use]
    pub fn raft(&self) -> Option<&Raft> {
        self.copy.raft()
    }

    /// Version of the plan in force here.
    #[must_use]
    pub fn plan(&self) -> u64 {
        self.copy.state().version
    }

    fn tick(&mut self) {
        if self.now >= self.hello_at {
            self.hello_at = self.now + HELLO_INTERVAL;
            self.hello();
            self.expire();
            self.found();
            self.arrange_seats();
        }
        if self.now >= self.seen_at {
            self.seen_at = self.now + SEEN_INTERVAL;
            self.pass_on();
        }
        self.copy.tick(self.now);
        self.resend_holds();
        self.answer_late();
    }

    fn on_message(&mut self, from: VmName, message: Message) {
        match message {
            Message::Hello { incarnation, zone, member, cluster, known } => {
                let peer = Peer { heard: self.now, incarnation, zone, member, cluster };
                self.on_hello(from, peer, known);
            }
            Message::Form { cluster, voters } => {
                if self.copy.raft().is_none() {
                    self.form(cluster, voters);
                }
            }
            Message::Raft(envelope) => self.copy.step(self.now, *envelope),
            Message::Hold { token, servers } => {
                for AgedServer { server, age } in servers {
                    self.note(age, server);
                }
                if let Some(token) = token {
                    self.send(from, Message::Holds { token });
                }
            }
            Message::Holds { token } => {
                if let Some(holding) = self.calls.holding.get_mut(&token) {
                    holding.held.insert(from);
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
                let changed = self.note(Span::ZERO, server) == MergeResult::Changed;
                self.fresh.insert(id.clone());
                if leaving {
                    self.hold(call_id, id);
                    return;
                }
                if changed {
                    self.pass_on();
                }
                self.reply(call_id, Answer::Done { version: 0 });
            }
            Call::Leave { id, born } => match self.registry.leave(&id, born) {
                Some(server) => {
                    self.log(Change::Server(server));
                    self.hold(call_id, id);
                }
                // Nobody here sends work to a server that is not known, and its late
                // announcements are older than this.
                None => self.reply(call_id, Answer::Done { version: 0 }),
            },
            Call::Sync { from, sync } => self.on_sync(call_id, from, sync),
        }
    }

    pub(crate) fn on_replace(&mut self, call_id: u64, version: u64, document: Arc<Vec<u8>>) {
        if !self.copy.is_current(self.now) {
            let answer = self.elsewhere();
            self.reply(call_id, answer);
            return;
        }
        let held = self.copy.state().version;
        if version <= held {
            self.reply(call_id, Answer::Done { version: held });
            return;
        }
        let command = plans::encode(&Plans { version, document });
        match self.copy.propose(self.now, command) {
            Some(_) => self.calls.commit(self.now, call_id, version),
            None => self.reply(call_id, Answer::Unavailable("the log takes no entries now")),
        }
    }

    pub(crate) fn on_read(&mut self, call_id: u64) {
        let answer = if self.copy.is_current(self.now) {
            let plans = self.copy.state();
            Answer::Document { version: plans.version, document: Arc::clone(&plans.document) }
        } else {
            self.elsewhere()
        };
        self.reply(call_id, answer);
    }

    /// Who may know better.
    pub(crate) fn elsewhere(&self) -> Answer {
        let leader = self.copy.raft().and_then(Raft::leader).map(|m| &m.vm);
        match leader {
            Some(vm) if *vm != self.setup.vm && self.copy.in_quorum(self.now) => {
                Answer::Redirect(vm.clone())
            }
            _ => Answer::Unavailable("no leader with a majority is known"),
        }
    }

    pub(crate) fn answer_late(&mut self) {
        let now = self.now;
        let calls = &mut self.calls;
        let mut late = Vec::new();
        late.extend(
            calls.committing.extract_if(.., |_, c| now >= c.until).map(|(call_id, _)| call_id),
        );
        late.extend(
            calls.holding.extract_if(.., |_, h| now >= h.until).map(|(call_id, _)| call_id),
        );
        for call_id in late {
            self.reply(call_id, Answer::Unavailable("no majority confirmed it in time"));
        }
    }

    /// Works off what the log produced, and answers calls that waited for it.
    pub(crate) fn flush(&mut self) {
        let flush = self.copy.flush(self.now);
        self.send_raft(flush.messages);
        if let Some(cluster) = self.copy.raft().map(Raft::cluster) {
            for write in flush.writes {
                let (id, persist) = (write.id, write.persist);
                self.out.push(Output::Persist { id, cluster, persist });
            }
        }
        self.answer_commits();
        self.answer_syncs();
        self.note_changes();
    }

    pub(crate) fn answer_commits(&mut self) {
        let version = self.copy.state().version;
        let done = self.calls.committing.extract_if(.., |_, c| c.version <= version);
        for (call_id, committing) in done.collect::<Vec<_>>() {
            Invariant::RevisionOrder.check(version >= committing.version);
            self.reply(call_id, Answer::Done { version });
        }
    }

    pub(crate) fn note_changes(&mut self) {
        let leader = self.copy.raft().and_then(Raft::leader).map(|m| m.vm.clone());
        if leader != self.leader {
            self.leader.clone_from(&leader);
            self.log(Change::Leader(leader));
        }
        let voters = self.copy.raft().map(|r| r.voters().clone()).unwrap_or_default();
        if voters != self.voters {
            self.voters.clone_from(&voters);
            self.log(Change::Voters(voters));
        }
        let plan = self.copy.state().version;
        if plan != self.plan {
            Invariant::RevisionOrder.check(plan > self.plan);
            self.plan = plan;
            self.log(Change::Plan(plan));
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

    pub(crate) fn log(&mut self, change: Change) {
        self.out.push(Output::Changed(change));
    }
}
