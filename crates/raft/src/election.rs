//! Pre-votes, votes and changes of role.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    message::Message,
    raft::{Raft, Role},
    types::{Index, LogEntry, Member, Payload, Term},
};

impl Raft {
    /// Asks whether an election could be won, without disturbing anyone.
    pub(crate) fn campaign(&mut self) {
        self.reset_election();
        let votes = BTreeSet::from([self.config.me.clone()]);
        self.role = Role::PreCandidate { votes };
        let (last_index, last_term) = (self.journal.last_index(), self.journal.last_term());
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
            && !self.trusts_leader()
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
            self.elect(false);
        }
    }

    /// Starts an election in a new term.
    fn elect(&mut self, transfer: bool) {
        self.reset_election();
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.config.me.clone());
        self.save_hard();
        let votes = BTreeSet::from([self.config.me.clone()]);
        self.role = Role::Candidate { votes };
        let (last_index, last_term) = (self.journal.last_index(), self.journal.last_term());
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
        // A member that hears a leader ignores elections, or a member that was cut off could
        // depose the leader of those that were not. The lease relies on this.
        if term > self.hard_state.term && self.trusts_leader() && !transfer {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let free = self.hard_state.vote.as_ref().is_none_or(|v| *v == from);
        let granted =
            term == self.hard_state.term && free && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.save_hard();
            self.reset_election();
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
            self.elect(true);
        }
    }

    fn become_leader(&mut self) {
        let since = self.journal.last_index() + 1;
        let beat_at = self.now;
        self.role = Role::Leader { progress: BTreeMap::new(), since, beat_at };
        self.heard = self.now;
        self.track_members();
        self.append(LogEntry { term: self.hard_state.term, index: since, payload: Payload::Noop });
        self.broadcast();
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard();
        }
        if matches!(self.role, Role::Leader { .. }) {
            self.reset_election();
        }
        self.role = Role::Follower { leader };
    }

    /// Accepts the sender as leader of its term; false if the term is old.
    pub(crate) fn follow(&mut self, from: &Member, term: Term) -> bool {
        if term < self.hard_state.term {
            // Tells a leader that was cut off about the newer term.
            let reply = Message::AppendReply { accepted: false, index: 0, stamp: 0 };
            self.send(from.clone(), self.hard_state.term, reply);
            return false;
        }
        self.become_follower(term, Some(from.clone()));
        self.heard = self.now;
        self.reset_election();
        true
    }

    /// Whether a leader may hold a lease that this member is part of.
    fn trusts_leader(&self) -> bool {
        match self.role {
            Role::Leader { .. } => true,
            _ => self.now < self.heard + self.config.election_min,
        }
    }

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.journal.last_term(), self.journal.last_index())
    }

    fn other_voters(&self) -> Vec<Member> {
        self.voters.iter().filter(|m| **m != self.config.me).cloned().collect()
    }
}
