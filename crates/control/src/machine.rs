//! The machine: inputs in, outputs out.

use std::collections::VecDeque;

use model::{Span, Time, VmName};
use raft::Envelope;

use crate::{
    brokers::Brokers,
    contact::Contact,
    ended::Ended,
    event::{Answer, Clock, Input, LogEvent, Output, PublishedState},
    homes::Homes,
    marks::Marks,
    members::Members,
    orders::Orders,
    proposals::{Ask, Proposals},
    requests::Requests,
    setup::Setup,
    shared::Shared,
    voters::Replacement,
    wire::Message,
};

/// Time after the start in which other VMs' declarations are awaited before granting anything.
pub(crate) const SYNC_GRACE: Span = Span::from_millis(1_500);
/// Number of the write that records the founding of the log; batches count from 1.
pub(crate) const FOUNDING_WRITE: u64 = 0;

/// The control state of one VM.
#[derive(Debug)]
pub struct Machine {
    pub(crate) clock: Clock,
    pub(crate) started: Option<Time>,
    pub(crate) incarnation: u64,
    pub(crate) members: Members,
    pub(crate) marks: Marks,
    pub(crate) brokers: Brokers,
    pub(crate) requests: Requests,
    pub(crate) ended: Ended,
    pub(crate) shared: Shared,
    pub(crate) homes: Homes,
    pub(crate) proposals: Proposals,
    pub(crate) replacement: Option<Replacement>,
    pub(crate) orders: Orders,
    pub(crate) last_fence: u64,
    pub(crate) contact: Contact,
    pub(crate) published: Option<(u64, bool, Contact)>,
    pub(crate) leader: Option<VmName>,
    pub(crate) beat_at: Time,
    pub(crate) keep_at: Time,
    pub(crate) refresh_at: Time,
    pub(crate) view: u64,
    pub(crate) tokens: u64,
    pub(crate) out: Vec<Output>,
    pub(crate) local: VecDeque<Message>,
}

impl Machine {
    /// A machine that starts.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let mut marks = Marks::default();
        for (server, mark) in Shared::stored_marks(setup) {
            marks.merge(server, mark);
        }
        Self {
            clock: Clock::default(),
            started: None,
            incarnation: setup.incarnation,
            members: Members::new(setup),
            marks,
            brokers: Brokers::new(setup.policy),
            requests: Requests::default(),
            ended: Ended::default(),
            shared: Shared::new(setup),
            homes: Homes::default(),
            proposals: Proposals::default(),
            replacement: None,
            orders: Orders::default(),
            last_fence: 0,
            contact: Contact::Alone,
            published: None,
            leader: None,
            beat_at: Time::default(),
            keep_at: Time::default(),
            refresh_at: Time::default(),
            view: 0,
            tokens: 0,
            out: Vec::new(),
            local: VecDeque::new(),
        }
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, clock: Clock, input: Input, out: &mut Vec<Output>) {
        self.clock.now = self.clock.now.max(clock.now);
        self.clock.wall = clock.wall;
        if self.started.is_none() {
            self.start();
        }
        self.take(input);
        self.settle();
        out.append(&mut self.out);
    }

    fn start(&mut self) {
        self.started = Some(self.clock.now);
        if let Some(raft) = self.shared.raft() {
            self.out.push(Output::Log(LogEvent::Formed(raft.cluster())));
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.on_message(&from, message),
            Input::Submit { ticket } => self.on_submit(ticket),
            Input::Finish { request, outcome } => self.on_finish(request, outcome),
            Input::Abandon { request } => self.on_abandon(request),
            Input::Announce { announcement, zone } => {
                let zone = zone.unwrap_or_else(|| self.members.zone.clone());
                self.report_seen(&announcement);
                self.brokers.hear(self.clock.now, announcement.clone(), zone.clone());
                if let Some(broker) = self.members.broker(&zone, &announcement.service) {
                    self.send(broker, Message::Announce { announcement });
                }
            }
            Input::Mark { call, server, duty, force } => self.on_mark(call, &server, duty, force),
            Input::Propose { call, command } => self.ask(call, Ask::Command(command)),
            Input::Read { call } => self.ask(call, Ask::Read(None)),
            Input::ReplaceVoter { call, old, new } => self.ask(call, Ask::Voter(old, new)),
            Input::Persisted { id } => {
                let messages = self.shared.persisted(id);
                self.send_raft(messages);
            }
            Input::OrderEnded { server, fence, taken } => self.on_order_end(&server, fence, taken),
            Input::Placements { call } => {
                let answer = Answer::Placements(self.shared.state().placements().clone());
                self.out.push(Output::Reply { call, answer });
            }
            Input::Drain => self.drain(),
            Input::Status { call } => {
                let answer = Answer::Status(Box::new(self.status()));
                self.out.push(Output::Reply { call, answer });
            }
            Input::Find { call, request } => {
                let answer = Answer::Found { phase: self.describe(request) };
                self.out.push(Output::Reply { call, answer });
            }
        }
    }

    /// Works off messages to this VM itself, and what the log produced, until both are empty.
    fn settle(&mut self) {
        loop {
            while let Some(message) = self.local.pop_front() {
                let me = self.members.me.clone();
                self.on_message(&me, message);
            }
            self.flush();
            if self.local.is_empty() {
                return;
            }
        }
    }

    /// Sends a message; one to this VM itself is taken before the step ends.
    pub(crate) fn send(&mut self, to: VmName, message: Message) {
        if to == self.members.me {
            self.local.push_back(message);
        } else {
            self.out.push(Output::Send { to, message });
        }
    }

    pub(crate) fn send_raft(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            self.send(envelope.to.vm.clone(), Message::Raft(Box::new(envelope)));
        }
    }

    fn on_message(&mut self, from: &VmName, message: Message) {
        let now = self.clock.now;
        match message {
            Message::Heartbeat(beat) => self.on_heartbeat(from, &beat),
            Message::Form { cluster, voters } => {
                if let Some(stored) = self.shared.form(now, cluster, voters) {
                    self.record_founding(stored.cluster, stored.snapshot);
                }
            }
            Message::Raft(envelope) => self.shared.step(now, *envelope),
            Message::Propose { incarnation, token, command } => {
                self.append(from.clone(), incarnation, token, command);
            }
            Message::ReadIndex { token } => self.on_read_index(from.clone(), token),
            Message::ReadAt { token, index } => self.proposals.read_at(token, index),
            Message::ReplaceVoter { token, old, new } => {
                self.on_replace_voter((from.clone(), token), (old.as_ref(), new.as_ref()));
            }
            Message::VoterReplaced { token, refused } => self.on_voter_replaced(token, refused),
            Message::Admit { request, account, tokens } => {
                let side = self.side();
                let catalogue = self.shared.state().catalogue().clone();
                let wanted = (request, &account, tokens);
                let reply = self.homes.admit(now, &catalogue, side, from, wanted);
                self.send(from.clone(), reply);
            }
            Message::Admitted { request } => self.on_admitted(from, request),
            Message::OverLimit { request, reason, retry } => {
                self.on_over_limit(request, reason, retry);
            }
            Message::Hold { request, account } => {
                let catalogue = self.shared.state().catalogue().clone();
                self.homes.hold(now, &catalogue, from, &account, request);
            }
            Message::Release { request, account, ran } => {
                self.homes.release(&account, request, ran);
            }
            Message::Submit { ticket, urgent } => self.on_ticket(from, ticket, urgent),
            Message::Placed { ticket, server } => self.on_placed(from, ticket, server),
            Message::Withdraw { service, request } => {
                let mut actions = Vec::new();
                self.brokers.withdraw(now, &service, request, &mut actions);
                self.act(actions);
            }
            Message::Finish { service, request, outcome } => {
                let mut actions = Vec::new();
                self.brokers.finish(now, &service, (request, outcome), &mut actions);
                self.act(actions);
            }
            Message::Grant { request, server, address } => {
                self.on_grant(from, request, server, address);
            }
            Message::Decline { request, reason, wait } => {
                self.on_decline(from, request, reason, wait);
            }
            Message::Revoke { request } => self.on_revoke(request),
            Message::Announce { announcement } => {
                let mut actions = Vec::new();
                self.brokers.announce(now, announcement, &self.marks, &mut actions);
                self.act(actions);
            }
            Message::Seen { announcement } => self.on_seen(announcement),
            Message::Marks { token, marks } => self.on_marks(from, token, marks),
            Message::MarksHeld { token } => self.marks.confirm(token, from),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now;
        for vm in self.members.expire(now) {
            self.lose(&vm);
        }
        self.update_ready();
        if now >= self.beat_at {
            self.beat();
        }
        self.found();
        self.shared.tick(now);
        self.update_contact();
        self.update_view();
        self.tick_requests();
        let mut actions = Vec::new();
        self.brokers.tick(now, &mut actions);
        self.act(actions);
        self.homes.tick(now);
        self.tick_marks();
        self.tick_proposals();
        self.tick_orders();
    }

    pub(crate) fn publish(&mut self) {
        let leader = self.shared.leader().cloned();
        if leader != self.leader {
            self.leader.clone_from(&leader);
            self.out.push(Output::Log(LogEvent::Leader(leader)));
        }
        let catalogue = self.shared.state().catalogue().clone();
        let informed = catalogue.revision() > 0 || self.shared.in_quorum(self.clock.now);
        let ready = self.members.ready && !self.members.draining && informed;
        let published = (catalogue.revision(), ready, self.contact);
        if self.published != Some(published) {
            self.published = Some(published);
            let contact = self.contact;
            self.out.push(Output::Publish(PublishedState { catalogue, ready, contact }));
        }
    }
}
