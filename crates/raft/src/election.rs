//! Leader election: pre-votes, votes and role changes.
//!
//! When its election timeout passes, a member first asks for pre-votes, which change nothing at the
//! receivers. Only with a majority of them does it start a new term and ask for votes.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    message::Message,
    raft::{Raft, Role},
    types::{Index, LogEntry, Member, Payload, Term},
};

impl Raft {
    /// Starts a pre-vote: asks the voters whether they would grant a vote, without a new term.
    pub(crate) fn campaign(&mut self) {
        self.reset_election_timer();
        let votes = BTreeSet::from([self.config.member.clone()]);
        self.role = Role::PreCandidate { votes };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send(voter, self.hard_state.term + 1, Message::PreVote { last_index, last_term });
        }
        self.count_pre_votes();
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: Member,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.hard_state.term
            && !self.in_lease()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send(from, reply_term, Message::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: Member, term: Term, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None);
            }
            return;
        }
        let voter = self.voters.contains(&from);
        if let Role::PreCandidate { votes } = &mut self.role
            && term == self.hard_state.term + 1
            && voter
        {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate { votes } = &self.role
            && self.is_majority(votes)
        {
            self.start_election(false);
        }
    }

    /// Starts an election in a new term.
    fn start_election(&mut self, transfer: bool) {
        self.reset_election_timer();
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.config.member.clone());
        self.save_hard_state();
        let votes = BTreeSet::from([self.config.member.clone()]);
        self.role = Role::Candidate { votes };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            let message = Message::Vote { last_index, last_term, transfer };
            self.send(voter, self.hard_state.term, message);
        }
        self.count_votes();
    }

    pub(crate) fn on_vote(
        &mut self,
        from: Member,
        term: Term,
        last_index: Index,
        last_term: Term,
        transfer: bool,
    ) {
        // A member in contact with a leader ignores elections. Otherwise, a member that was
        // partitioned could depose the leader of the others. The lease relies on this.
        if term > self.hard_state.term && self.in_lease() && !transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let can_vote = self.hard_state.vote.as_ref().is_none_or(|v| *v == from);
        let granted =
            term == self.hard_state.term && can_vote && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.save_hard_state();
            self.reset_election_timer();
        }
        self.send(from, self.hard_state.term, Message::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: Member, term: Term, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let voter = self.voters.contains(&from);
        if let Role::Candidate { votes } = &mut self.role
            && granted
            && term == self.hard_state.term
            && voter
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if let Role::Candidate { votes } = &self.role
            && self.is_majority(votes)
        {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self, term: Term) {
        if term == self.hard_state.term
            && self.is_voter()
            && matches!(self.role, Role::Follower { .. })
        {
            self.start_election(true);
        }
    }

    fn become_leader(&mut self) {
        let term_start = self.log.last_index() + 1;
        let heartbeat_at = self.now;
        self.role = Role::Leader { progress: BTreeMap::new(), term_start, heartbeat_at };
        self.last_contact = self.now;
        self.update_progress();
        self.append(LogEntry {
            term: self.hard_state.term,
            index: term_start,
            payload: Payload::Noop,
        });
        self.broadcast();
    }

    /// Becomes a follower, in a new term if `term` is higher than the current one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard_state();
        }
        if matches!(self.role, Role::Leader { .. }) {
            self.reset_election_timer();
        }
        self.role = Role::Follower { leader };
    }

    /// Accepts the sender as leader of its term. Returns false if the term is out of date.
    pub(crate) fn accept_leader(&mut self, from: &Member, term: Term) -> bool {
        if term < self.hard_state.term {
            // The reply informs a formerly partitioned leader of the newer term.
            let reply = Message::AppendReply { accepted: false, index: 0, stamp: 0 };
            self.send(from.clone(), self.hard_state.term, reply);
            return false;
        }
        self.become_follower(term, Some(from.clone()));
        self.last_contact = self.now;
        self.reset_election_timer();
        true
    }

    /// Returns whether a leader may hold a lease that includes this member's acknowledgement.
    fn in_lease(&self) -> bool {
        match self.role {
            Role::Leader { .. } => true,
            _ => self.now < self.last_contact + self.config.election_min,
        }
    }

    /// Returns whether a log with this last entry is at least as recent as this member's.
    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<Member> {
        self.voters.iter().filter(|m| **m != self.config.member).cloned().collect()
    }
}
