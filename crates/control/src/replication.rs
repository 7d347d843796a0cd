//! Sends commands, reads and voter changes to the leader of the replicated log, answers them as
//! leader, and processes what the log applies.

use model::{EditOutcome, Invariant, VmName, ZoneName};
use state::{Command, Response};

use crate::{
    contact::{Operation, is_allowed},
    event::{Answer, Clock, LogEvent, Output},
    issue_orders::FENCE_TOKEN,
    leader_calls::{CallKind, RESEND_AFTER},
    machine::Machine,
    voters::{Progress, Replacement},
    wire::Message,
};

/// Returns the operation that the contact must allow before a call is sent to the leader.
fn required_operation(kind: &CallKind) -> Operation {
    match kind {
        CallKind::Command(
            Command::Claim { .. } | Command::Settle { .. } | Command::Release { .. },
        ) => Operation::Claim,
        CallKind::Command(
            Command::Place { .. } | Command::Taken { .. } | Command::Fence { .. },
        ) => Operation::Order,
        CallKind::Command(Command::Edit(_) | Command::Mark { .. })
        | CallKind::Read(_)
        | CallKind::Voter(..) => Operation::Edit,
    }
}

impl Machine {
    pub(crate) fn on_call(&mut self, call: u64, kind: CallKind) {
        self.calls.add(self.clock.now, call, kind);
        self.tick_calls();
    }

    /// Sends the due calls to the leader and answers those that have expired.
    pub(crate) fn tick_calls(&mut self) {
        let now = self.clock.now;
        for token in self.calls.due(now) {
            self.send_call(token);
        }
        self.step_replacement();
        for (call, answer) in self.calls.expire(now) {
            self.out.push(Output::Reply { call, answer });
        }
        self.confirm_edits();
    }

    pub(crate) fn send_call(&mut self, token: u64) {
        let now = self.clock.now;
        let Some(leader) = self.log.leader().cloned() else {
            return;
        };
        if !self.log.in_quorum(now) {
            return;
        }
        let contact = self.contact;
        let Some(pending) = self.calls.get_mut(token) else {
            return;
        };
        if !is_allowed(contact, required_operation(&pending.kind)) {
            return;
        }
        pending.resend_at = now + RESEND_AFTER;
        let message = match &pending.kind {
            CallKind::Command(command) => {
                Message::Propose { incarnation: self.incarnation, token, command: command.clone() }
            }
            CallKind::Read(None) => Message::ReadIndex { token },
            CallKind::Read(Some(_)) => return,
            CallKind::Voter(..) if pending.sent => return,
            CallKind::Voter(old, new) => {
                Message::ReplaceVoter { token, old: old.clone(), new: new.clone() }
            }
        };
        pending.sent = true;
        self.send(leader, message);
    }

    /// Appends a command if this VM leads; otherwise its sender sends it again later.
    pub(crate) fn append(
        &mut self,
        origin: VmName,
        incarnation: u64,
        token: u64,
        command: Command,
    ) {
        let Clock { now, wall } = self.clock;
        self.log.propose(now, wall, origin, (incarnation, token), command);
    }

    pub(crate) fn on_read_index(&mut self, from: VmName, token: u64) {
        let now = self.clock.now;
        if let Some(raft) = self.log.raft()
            && raft.is_established()
            && raft.has_lease(now)
        {
            let index = raft.commit_index();
            self.send(from, Message::ReadAt { token, index });
        }
    }

    pub(crate) fn on_replace_voter(
        &mut self,
        requester: (VmName, u64),
        names: (Option<&VmName>, Option<&VmName>),
    ) {
        let (vm, token) = requester.clone();
        let refused = if !self.log.leads() {
            Some("the leader changed; try again".to_owned())
        } else if self.replacement.is_some() {
            Some("another replacement is in progress".to_owned())
        } else if let Some(raft) = self.log.raft() {
            match Replacement::new(self.clock.now, requester, names, raft, &self.members) {
                Ok(replacement) => {
                    self.replacement = Some(replacement);
                    None
                }
                Err(why) => Some(why),
            }
        } else {
            Some("no replicated log".to_owned())
        };
        if refused.is_some() {
            self.send(vm, Message::VoterReplaced { token, refused });
        }
        self.step_replacement();
    }

    pub(crate) fn step_replacement(&mut self) {
        let now = self.clock.now;
        let Some(replacement) = self.replacement.take() else {
            return;
        };
        let result = match self.log.raft_mut() {
            Some(raft) if raft.is_established() => replacement.step(now, raft),
            _ => Progress::Failed("the leader changed; look at the voters, then try again".into()),
        };
        let refused = match result {
            Progress::Continues => {
                self.replacement = Some(replacement);
                return;
            }
            Progress::Done => None,
            Progress::Failed(why) => Some(why),
        };
        let token = replacement.token;
        self.send(replacement.requester, Message::VoterReplaced { token, refused });
    }

    pub(crate) fn on_voter_replaced(&mut self, token: u64, refused: Option<String>) {
        if let Some(pending) = self.calls.remove(token) {
            let answer = refused.map_or(Answer::Done, |why| Answer::Refused { why });
            self.out.push(Output::Reply { call: pending.call, answer });
        }
    }

    pub(crate) fn flush_log(&mut self) {
        let now = self.clock.now;
        let before = self.log.state().catalogue().revision();
        let flush = self.log.flush(now);
        self.send_raft(flush.messages);
        if let Some(raft) = self.log.raft() {
            let cluster = raft.cluster();
            for write in flush.writes {
                self.out.push(Output::Persist { id: write.id, cluster, persist: write.persist });
            }
        }
        for applied in flush.applied {
            if applied.origin != self.members.me || applied.incarnation != self.incarnation {
                continue;
            }
            if let (FENCE_TOKEN, Response::Fence(start, end)) = (applied.token, &applied.response) {
                self.on_fences_reserved(*start, *end);
            }
            let answer = self.calls.applied(now, applied.token, applied.response);
            if let Some((call, answer)) = answer {
                self.out.push(Output::Reply { call, answer });
            }
        }
        self.merge_replicated_marks();
        let revision = self.log.state().catalogue().revision();
        Invariant::RevisionOrder.check(revision >= before);
        if revision != before {
            self.out.push(Output::Log(LogEvent::Revision(revision)));
            self.broadcast_heartbeat();
        }
        self.answer_reads();
        self.confirm_edits();
        self.publish();
    }

    pub(crate) fn answer_reads(&mut self) {
        let applied = self.log.raft().map_or(0, raft::Raft::applied_index);
        for call in self.calls.readable(applied) {
            let state = self.log.state();
            let revision = state.catalogue().revision();
            let history = state.history().cloned().collect();
            self.out.push(Output::Reply { call, answer: Answer::Current { revision, history } });
        }
    }

    pub(crate) fn confirm_edits(&mut self) {
        let others = self.members.peers().map(|(vm, _)| self.members.revision(vm));
        let own = self.log.state().catalogue().revision();
        let lowest = others.chain([own]).min().unwrap_or(own);
        for (call, revision) in self.calls.confirmed(self.clock.now, lowest) {
            let (confirmed, unconfirmed) = self.zones_in_force(revision);
            let outcome = EditOutcome::Accepted { revision };
            let answer = Answer::Edit { outcome, confirmed, unconfirmed };
            self.out.push(Output::Reply { call, answer });
        }
    }

    /// Returns the zones whose VMs all have the revision in force, and the other zones.
    pub(crate) fn zones_in_force(&self, revision: u64) -> (Vec<ZoneName>, Vec<ZoneName>) {
        let in_force =
            |vm: &VmName| *vm == self.members.me || self.members.revision(vm) >= revision;
        self.members
            .zones()
            .into_iter()
            .partition(|zone| self.members.vms_in_zone(zone).iter().all(in_force))
    }
}
