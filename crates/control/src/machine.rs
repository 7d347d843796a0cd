//! The state machine: applies one input at a time and collects its outputs.
//!
//! This module dispatches inputs and messages to the handlers, which the other modules add to
//! [`Machine`]. Messages that a VM sends to itself are processed within the same step.

use std::collections::VecDeque;

use model::{Span, Time, VmName};
use raft::Envelope;

use crate::{
    account_limits::AccountLimits,
    brokers::Brokers,
    contact::Contact,
    ended_requests::EndedRequests,
    event::{Answer, Clock, Input, LogEvent, Output, PublishedState},
    leader_calls::{CallKind, LeaderCalls},
    marks::Marks,
    members::Members,
    orders::Orders,
    replicated_log::ReplicatedLog,
    requests::Requests,
    setup::Setup,
    voters::Replacement,
    wire::Message,
};

/// Time after the start for which a VM takes no roles unless its marks equal those of another VM,
/// so that it grants no server that operators have taken out of service.
pub(crate) const SYNC_GRACE: Span = Span::from_millis(1_500);
/// Id of the write that records the founding of the log; the ids of batches start at 1.
pub(crate) const FOUNDING_WRITE: u64 = 0;

/// The control state of one entry VM.
#[derive(Debug)]
pub struct Machine {
    pub(crate) clock: Clock,
    pub(crate) started: Option<Time>,
    pub(crate) incarnation: u64,
    pub(crate) members: Members,
    pub(crate) marks: Marks,
    pub(crate) brokers: Brokers,
    pub(crate) requests: Requests,
    pub(crate) ended: EndedRequests,
    pub(crate) log: ReplicatedLog,
    pub(crate) account_limits: AccountLimits,
    pub(crate) calls: LeaderCalls,
    pub(crate) replacement: Option<Replacement>,
    pub(crate) orders: Orders,
    /// Fencing number of the last order that this VM sent.
    pub(crate) last_fence: u64,
    pub(crate) contact: Contact,
    /// Catalogue revision, readiness and contact as last published.
    pub(crate) published: Option<(u64, bool, Contact)>,
    /// Leader of the replicated log as last logged.
    pub(crate) leader: Option<VmName>,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Time,
    /// When this VM, as leader, next proposes marks that are not replicated.
    pub(crate) replicate_marks_at: Time,
    /// When requests are next checked for reports to their homes and brokers.
    pub(crate) refresh_at: Time,
    /// [`Members::role_digest`] at the last assignment of roles.
    pub(crate) role_digest: u64,
    /// Last token of a mark that waits for confirmations.
    pub(crate) last_token: u64,
    pub(crate) out: Vec<Output>,
    /// Messages that this VM sent to itself.
    pub(crate) local: VecDeque<Message>,
}

impl Machine {
    /// Creates a machine that has not received any input.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let mut marks = Marks::default();
        for (server, mark) in ReplicatedLog::stored_marks(setup) {
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
            ended: EndedRequests::default(),
            log: ReplicatedLog::new(setup),
            account_limits: AccountLimits::default(),
            calls: LeaderCalls::default(),
            replacement: None,
            orders: Orders::default(),
            last_fence: 0,
            contact: Contact::Alone,
            published: None,
            leader: None,
            heartbeat_at: Time::default(),
            replicate_marks_at: Time::default(),
            refresh_at: Time::default(),
            role_digest: 0,
            last_token: 0,
            out: Vec::new(),
            local: VecDeque::new(),
        }
    }

    /// Applies one input and appends the outputs that it leads to.
    ///
    /// The monotonic time never goes back: an earlier one counts as the latest that was passed.
    pub fn step(&mut self, clock: Clock, input: Input, out: &mut Vec<Output>) {
        self.clock.now = self.clock.now.max(clock.now);
        self.clock.wall = clock.wall;
        if self.started.is_none() {
            self.start();
        }
        self.handle_input(input);
        self.process_pending();
        out.append(&mut self.out);
    }

    fn start(&mut self) {
        self.started = Some(self.clock.now);
        if let Some(raft) = self.log.raft() {
            self.out.push(Output::Log(LogEvent::Formed(raft.cluster())));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.on_message(&from, message),
            Input::Submit { ticket } => self.on_submit(ticket),
            Input::Finish { request, outcome } => self.on_finish(request, outcome),
            Input::Abandon { request } => self.on_abandon(request),
            Input::Announce { announcement, zone } => {
                let zone = zone.unwrap_or_else(|| self.members.zone.clone());
                self.report_to_leader(&announcement);
                self.brokers.record_announcement(
                    self.clock.now,
                    announcement.clone(),
                    zone.clone(),
                );
                if let Some(broker) = self.members.broker_vm(&zone, &announcement.service) {
                    self.send(broker, Message::Announce { announcement });
                }
            }
            Input::Mark { call, server, duty, force } => self.on_mark(call, &server, duty, force),
            Input::Propose { call, command } => self.on_call(call, CallKind::Command(command)),
            Input::Read { call } => self.on_call(call, CallKind::Read(None)),
            Input::ReplaceVoter { call, old, new } => self.on_call(call, CallKind::Voter(old, new)),
            Input::Persisted { id } => {
                let messages = self.log.persisted(id);
                self.send_raft(messages);
            }
            Input::OrderEnded { server, fence, taken } => self.on_order_end(&server, fence, taken),
            Input::Placements { call } => {
                let answer = Answer::Placements(self.log.state().placements().clone());
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

    /// Processes messages to this VM itself and output of the log until none is left.
    fn process_pending(&mut self) {
        loop {
            while let Some(message) = self.local.pop_front() {
                let me = self.members.me.clone();
                self.on_message(&me, message);
            }
            self.flush_log();
            if self.local.is_empty() {
                return;
            }
        }
    }

    /// Sends a message; one to this VM itself is processed before the step ends.
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
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, &heartbeat),
            Message::Form { cluster, voters } => {
                if let Some(stored) = self.log.start_log(now, cluster, voters) {
                    self.record_founding(stored.cluster, stored.snapshot);
                }
            }
            Message::Raft(envelope) => self.log.step(now, *envelope),
            Message::Propose { incarnation, token, command } => {
                self.append(from.clone(), incarnation, token, command);
            }
            Message::ReadIndex { token } => self.on_read_index(from.clone(), token),
            Message::ReadAt { token, index } => self.calls.set_read_index(token, index),
            Message::ReplaceVoter { token, old, new } => {
                self.on_replace_voter((from.clone(), token), (old.as_ref(), new.as_ref()));
            }
            Message::VoterReplaced { token, refused } => self.on_voter_replaced(token, refused),
            Message::Admit { request, account, tokens } => {
                let side = self.partition_side();
                let catalogue = self.log.state().catalogue().clone();
                let wanted = (request, &account, tokens);
                let reply = self.account_limits.admit(now, &catalogue, side, from, wanted);
                self.send(from.clone(), reply);
            }
            Message::Admitted { request } => self.on_admitted(from, request),
            Message::OverLimit { request, reason, retry } => {
                self.on_over_limit(request, reason, retry);
            }
            Message::Hold { request, account } => {
                let catalogue = self.log.state().catalogue().clone();
                self.account_limits.adopt(now, &catalogue, from, &account, request);
            }
            Message::Release { request, account, ran } => {
                self.account_limits.release(&account, request, ran);
            }
            Message::Submit { ticket, urgent } => self.on_ticket(from, ticket, urgent),
            Message::Placed { ticket, server } => self.on_placed(from, ticket, server),
            Message::Withdraw { service, request } => {
                let mut actions = Vec::new();
                self.brokers.withdraw(now, &service, request, &mut actions);
                self.send_actions(actions);
            }
            Message::Finish { service, request, outcome } => {
                let mut actions = Vec::new();
                self.brokers.finish(now, &service, (request, outcome), &mut actions);
                self.send_actions(actions);
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
                self.send_actions(actions);
            }
            Message::Seen { announcement } => self.on_placed_announcement(announcement),
            Message::Marks { token, marks } => self.on_marks(from, token, marks),
            Message::MarksHeld { token } => self.marks.confirm(token, from),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now;
        for vm in self.members.expire(now) {
            self.on_peer_lost(&vm);
        }
        self.update_ready();
        if now >= self.heartbeat_at {
            self.broadcast_heartbeat();
        }
        self.found_log();
        self.log.tick(now);
        self.update_contact();
        self.update_roles();
        self.tick_requests();
        let mut actions = Vec::new();
        self.brokers.tick(now, &mut actions);
        self.send_actions(actions);
        self.account_limits.tick(now);
        self.tick_marks();
        self.tick_calls();
        self.tick_orders();
    }

    pub(crate) fn publish(&mut self) {
        let leader = self.log.leader().cloned();
        if leader != self.leader {
            self.leader.clone_from(&leader);
            self.out.push(Output::Log(LogEvent::Leader(leader)));
        }
        let catalogue = self.log.state().catalogue().clone();
        let catalogue_known = catalogue.revision() > 0 || self.log.in_quorum(self.clock.now);
        let ready = self.members.ready && !self.members.draining && catalogue_known;
        let published = (catalogue.revision(), ready, self.contact);
        if self.published != Some(published) {
            self.published = Some(published);
            let contact = self.contact;
            self.out.push(Output::Publish(PublishedState { catalogue, ready, contact }));
        }
    }
}
