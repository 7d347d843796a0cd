//! Commands, reads and voter changes on their way through the replicated log.

use model::{EditOutcome, Invariant, VmName, ZoneName};
use state::{Command, Response};

use crate::{
    contact::{Operation, is_allowed},
    event::{Answer, Clock, LogEvent, Output},
    giving::FENCE_TOKEN,
    machine::Machine,
    proposals::{Ask, RESEND_AFTER},
    voters::{Replacement, Step},
    wire::Message,
};

/// What contact must allow before something is asked of the leader.
fn required_operation(ask: &Ask) -> Operation {
    match ask {
        Ask::Command(Command::Claim { .. } | Command::Settle { .. } | Command::Release { .. }) => {
            Operation::Claim
        }
        Ask::Command(Command::Place { .. } | Command::Taken { .. } | Command::Fence { .. }) => {
            Operation::Order
        }
        Ask::Command(Command::Edit(_) | Command::Mark { .. }) | Ask::Read(_) | Ask::Voter(..) => {
            Operation::Edit
        }
    }
}

impl Machine {
    pub(crate) fn ask(&mut self, call: u64, ask: Ask) {
        self.proposals.add(self.clock.now, call, ask);
        self.tick_proposals();
    }

    /// Sends what is due to the leader.
    pub(crate) fn tick_proposals(&mut self) {
        let now = self.clock.now;
        for token in self.proposals.due(now) {
            self.send_proposal(token);
        }
        self.step_replacement();
        for (call, answer) in self.proposals.expire(now) {
            self.out.push(Output::Reply { call, answer });
        }
        self.confirm_edits();
    }

    pub(crate) fn send_proposal(&mut self, token: u64) {
        let now = self.clock.now;
        let Some(leader) = self.shared.leader().cloned() else {
            return;
        };
        if !self.shared.in_quorum(now) {
            return;
        }
        let contact = self.contact;
        let Some(pending) = self.proposals.get_mut(token) else {
            return;
        };
        if !is_allowed(contact, required_operation(&pending.ask)) {
            return;
        }
        pending.resend_at = now + RESEND_AFTER;
        let message = match &pending.ask {
            Ask::Command(command) => {
                Message::Propose { incarnation: self.incarnation, token, command: command.clone() }
            }
            Ask::Read(None) => Message::ReadIndex { token },
            Ask::Read(Some(_)) => return,
            Ask::Voter(..) if pending.sent => return,
            Ask::Voter(old, new) => {
                Message::ReplaceVoter { token, old: old.clone(), new: new.clone() }
            }
        };
        pending.sent = true;
        self.send(leader, message);
    }

    /// Appends a command, if this VM leads; if not, its sender tries again.
    pub(crate) fn append(
        &mut self,
        origin: VmName,
        incarnation: u64,
        token: u64,
        command: Command,
    ) {
        let Clock { now, wall } = self.clock;
        self.shared.propose(now, wall, origin, (incarnation, token), command);
    }

    pub(crate) fn on_read_index(&mut self, from: VmName, token: u64) {
        let now = self.clock.now;
        if let Some(raft) = self.shared.raft()
            && raft.is_established()
            && raft.has_lease(now)
        {
            let index = raft.commit_index();
            self.send(from, Message::ReadAt { token, index });
        }
    }

    pub(crate) fn on_replace_voter(
        &mut self,
        asker: (VmName, u64),
        names: (Option<&VmName>, Option<&VmName>),
    ) {
        let (vm, token) = asker.clone();
        let refused = if !self.shared.leads() {
            Some("the leader changed; try again".to_owned())
        } else if self.replacement.is_some() {
            Some("another replacement is in progress".to_owned())
        } else if let Some(raft) = self.shared.raft() {
            match Replacement::new(self.clock.now, asker, names, raft, &self.members) {
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
        let result = match self.shared.raft_mut() {
            Some(raft) if raft.is_established() => replacement.step(now, raft),
            _ => Step::Failed("the leader changed; look at the voters, then try again".into()),
        };
        let refused = match result {
            Step::Continues => {
                self.replacement = Some(replacement);
                return;
            }
            Step::Done => None,
            Step::Failed(why) => Some(why),
        };
        let token = replacement.token;
        self.send(replacement.asker, Message::VoterReplaced { token, refused });
    }

    pub(crate) fn on_voter_replaced(&mut self, token: u64, refused: Option<String>) {
        if let Some(pending) = self.proposals.remove(token) {
            let answer = refused.map_or(Answer::Done, |why| Answer::Refused { why });
            self.out.push(Output::Reply { call: pending.call, answer });
        }
    }

    pub(crate) fn flush(&mut self) {
        let now = self.clock.now;
        let before = self.shared.state().catalogue().revision();
        let flush = self.shared.flush(now);
        self.send_raft(flush.messages);
        if let Some(raft) = self.shared.raft() {
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
                self.on_numbers(*start, *end);
            }
            let answer = self.proposals.applied(now, applied.token, applied.response);
            if let Some((call, answer)) = answer {
                self.out.push(Output::Reply { call, answer });
            }
        }
        self.take_kept_marks();
        let revision = self.shared.state().catalogue().revision();
        Invariant::RevisionOrder.check(revision >= before);
        if revision != before {
            self.out.push(Output::Log(LogEvent::Revision(revision)));
            self.beat();
        }
        self.answer_reads();
        self.confirm_edits();
        self.publish();
    }

    pub(crate) fn answer_reads(&mut self) {
        let applied = self.shared.raft().map_or(0, raft::Raft::applied_index);
        for call in self.proposals.readable(applied) {
            let state = self.shared.state();
            let revision = state.catalogue().revision();
            let history = state.history().cloned().collect();
            self.out.push(Output::Reply { call, answer: Answer::Current { revision, history } });
        }
    }

    pub(crate) fn confirm_edits(&mut self) {
        let others = self.members.others().map(|(vm, _)| self.members.revision(vm));
        let own = self.shared.state().catalogue().revision();
        let lowest = others.chain([own]).min().unwrap_or(own);
        for (call, revision) in self.proposals.confirmed(self.clock.now, lowest) {
            let (confirmed, unconfirmed) = self.zones_at(revision);
            let outcome = EditOutcome::Accepted { revision };
            let answer = Answer::Edit { outcome, confirmed, unconfirmed };
            self.out.push(Output::Reply { call, answer });
        }
    }

    /// Zones whose VMs all have the revision in force, and the other zones.
    pub(crate) fn zones_at(&self, revision: u64) -> (Vec<ZoneName>, Vec<ZoneName>) {
        let in_force =
            |vm: &VmName| *vm == self.members.me || self.members.revision(vm) >= revision;
        self.members
            .zones()
            .into_iter()
            .partition(|zone| self.members.of_zone(zone).iter().all(in_force))
    }
}
