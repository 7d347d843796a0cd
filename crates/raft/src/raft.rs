//! State of one member and its public calls.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use model::{Span, Time};

use crate::{
    config::Config,
    journal::Journal,
    message::{Envelope, Message},
    ready::{Ready, WriteBatch},
    types::{HardState, Index, LogEntry, Member, Payload, Snapshot, StoredState, Term, Voters},
};

/// What a member does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleName {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A proposal reached a member that does not lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if one is known.
    pub leader: Option<Member>,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.leader {
            Some(leader) => write!(f, "not the leader; {leader} is"),
            None => f.write_str("no leader is known"),
        }
    }
}

impl std::error::Error for NotLeader {}

/// What a leader knows about another member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// First entry to send next.
    pub(crate) next: Index,
    /// Last entry known to be on the member's disk.
    pub(crate) matched: Index,
    /// Leader's clock in the newest heartbeat that the member answered.
    pub(crate) stamp: Time,
    /// When a snapshot was sent last, so that it is not sent again with every heartbeat.
    pub(crate) installed: Option<Time>,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower { leader: Option<Member> },
    PreCandidate { votes: BTreeSet<Member> },
    Candidate { votes: BTreeSet<Member> },
    Leader { progress: BTreeMap<Member, Progress>, since: Index, beat_at: Time },
}

/// One member's copy of the log.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) cluster: u64,
    pub(crate) hard_state: HardState,
    pub(crate) journal: Journal,
    pub(crate) role: Role,
    pub(crate) voters: Voters,
    pub(crate) voters_index: Index,
    pub(crate) learners: BTreeSet<Member>,
    pub(crate) commit: Index,
    pub(crate) persisted: Index,
    /// Last contact with a leader, or the start: until an election timeout after it, no vote.
    pub(crate) heard: Time,
    pub(crate) election_at: Time,
    pub(crate) now: Time,
    applied: Index,
    restored: Option<Snapshot>,
    random: u64,
    outbox: Vec<Envelope>,
    pub(crate) pending: WriteBatch,
    writes: VecDeque<(u64, Index, Term)>,
    next_ready: u64,
}

impl Raft {
    /// A member that starts, or starts again, with what its disk holds.
    #[must_use]
    pub fn new(config: Config, now: Time, stored: StoredState) -> Self {
        let journal = Journal::new(stored.snapshot, stored.entries);
        let (voters_index, voters) = journal.voters();
        let applied = journal.snapshot.index;
        let restored = (applied > 0).then(|| journal.snapshot.clone());
        let mut raft = Self {
            random: config.seed | 1,
            cluster: stored.cluster,
            hard_state: stored.hard_state,
            role: Role::Follower { leader: None },
            voters,
            voters_index,
            learners: BTreeSet::new(),
            commit: applied,
            persisted: journal.last_index(),
            heard: now,
            election_at: now,
            now,
            applied,
            restored,
            outbox: Vec::new(),
            pending: WriteBatch::default(),
            writes: VecDeque::new(),
            next_ready: 1,
            journal,
            config,
        };
        raft.reset_election();
        raft
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.now = self.now.max(now);
        if matches!(self.role, Role::Leader { .. }) {
            self.lead();
        } else if self.now >= self.election_at && self.may_campaign() {
            self.campaign();
        }
    }

    /// Takes a message. Messages of another cluster or for another member are ignored.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        self.now = self.now.max(now);
        if envelope.cluster != self.cluster || envelope.to != self.config.me {
            return;
        }
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term);
            }
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote { last_index, last_term, transfer } => {
                self.on_vote(from, term, last_index, last_term, transfer);
            }
            Message::VoteReply { granted } => self.on_vote_reply(from, term, granted),
            Message::Append { prev_index, prev_term, entries, commit, stamp } => {
                if self.follow(&from, term) {
                    self.on_append(from, (prev_index, prev_term), entries, commit, stamp);
                }
            }
            Message::Install { snapshot, stamp } => {
                if self.follow(&from, term) {
                    self.on_install(from, snapshot, stamp);
                }
            }
            Message::AppendReply { accepted, index, stamp } => {
                self.on_append_reply(&from, term, accepted, index, stamp);
            }
            Message::TimeoutNow => self.on_timeout_now(term),
        }
    }

    /// Appends an entry, if this member leads.
    ///
    /// # Errors
    ///
    /// If this member does not lead.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Index, NotLeader> {
        self.now = self.now.max(now);
        if !matches!(self.role, Role::Leader { .. }) {
            return Err(NotLeader { leader: self.leader().cloned() });
        }
        let entry =
            LogEntry { term: self.hard_state.term, index: self.journal.last_index() + 1, payload };
        let index = entry.index;
        self.append(entry);
        self.broadcast();
        Ok(index)
    }

    /// Proposes a voter set that differs from the present one by one member.
    ///
    /// # Errors
    ///
    /// A sentence that says why the change would be unsafe now.
    pub fn change_voters(&mut self, now: Time, voters: Voters) -> Result<Index, String> {
        let Role::Leader { progress, since, .. } = &self.role else {
            return Err(NotLeader { leader: self.leader().cloned() }.to_string());
        };
        if self.commit < *since || self.commit < self.voters_index {
            return Err("an earlier voter change has not been committed yet".into());
        }
        if voters.symmetric_difference(&self.voters).count() != 1 {
            return Err("voters change by one member at a time".into());
        }
        let recent = |m: &Member| {
            *m == self.config.me
                || progress.get(m).is_some_and(|p| self.now - p.stamp < self.config.election_min)
        };
        let caught_up = |m: &Member| {
            *m == self.config.me
                || progress.get(m).is_some_and(|p| p.matched + 16 >= self.journal.last_index())
        };
        if let Some(added) = voters.difference(&self.voters).find(|m| !caught_up(m)) {
            return Err(format!("{added} has not caught up with the log"));
        }
        let live = voters.iter().filter(|m| recent(m) && caught_up(m)).count();
        if live < majority(voters.len()) {
            let all = voters.len();
            return Err(format!("only {live} of the {all} voters after the change are live"));
        }
        self.propose(now, Payload::Voters(voters)).map_err(|e| e.to_string())
    }

    /// Replaces the set of members that receive the log without voting.
    pub fn set_learners(&mut self, learners: BTreeSet<Member>) {
        self.learners = learners;
        self.track_members();
    }

    /// The next batch of work, if there is any.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.pending.is_empty() && self.outbox.is_empty() {
            return None;
        }
        let id = self.next_ready;
        self.next_ready += 1;
        self.writes.push_back((id, self.journal.last_index(), self.journal.last_term()));
        Some(Ready {
            id,
            persist: std::mem::take(&mut self.pending),
            messages: std::mem::take(&mut self.outbox),
        })
    }

    /// Notes that the batch `id` and all earlier ones are synced.
    pub fn persisted(&mut self, id: u64) {
        while let Some((first, index, term)) = self.writes.front().copied() {
            if first > id {
                break;
            }
            self.writes.pop_front();
            // A later leader may have replaced the entry while it was being written.
            if self.journal.term(index) == Some(term) {
                self.persisted = self.persisted.max(index);
            }
        }
        self.advance_commit();
    }

    /// A snapshot that replaces the state machine's state, to be taken before the entries.
    pub fn take_restored(&mut self) -> Option<Snapshot> {
        self.restored.take()
    }

    /// Entries that became committed since the last call, in order.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let count = usize::try_from(self.commit.saturating_sub(self.applied)).unwrap_or(0);
        let entries = self.journal.from(self.applied + 1, count);
        self.applied = self.commit;
        entries
    }

    /// Entries kept after the snapshot.
    #[must_use]
    pub fn compactable_entries(&self) -> u64 {
        self.applied.saturating_sub(self.journal.snapshot.index)
    }

    /// Replaces all applied entries by the state machine's state after them.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.journal.term(index) else {
            return;
        };
        if index <= self.journal.snapshot.index {
            return;
        }
        let (_, voters) = self.journal.voters_at(index);
        let snapshot = Snapshot { index, term, voters, data: Arc::new(data) };
        self.journal.install(snapshot.clone());
        self.pending.entries.retain(|e| e.index > index);
        self.pending.truncate = self.pending.truncate.map(|t| t.max(index + 1));
        self.pending.snapshot = Some(snapshot);
    }

    /// Hands leadership to the voter that is furthest ahead; the lease ends at once.
    pub fn transfer(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let others = progress.iter().filter(|(m, _)| self.voters.contains(m));
        let Some((target, _)) = others.max_by_key(|(_, p)| (p.stamp, p.matched)) else {
            return;
        };
        let target = target.clone();
        self.send(target, self.hard_state.term, Message::TimeoutNow);
        self.role = Role::Follower { leader: None };
        self.heard = self.now;
        self.reset_election();
    }

    /// Whether no other leader can have been elected up to `now`.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_start().is_some_and(|start| now < start + self.config.lease())
    }

    /// What is left of this member's lease; nothing if it holds none.
    #[must_use]
    pub fn lease_left(&self, now: Time) -> Span {
        self.lease_start().map_or(Span::ZERO, |start| start + self.config.lease() - now)
    }

    /// Longest time for which a predecessor's lease can still hold after this member was elected.
    #[must_use]
    pub fn lease_duration(&self) -> Span {
        self.config.lease()
    }

    /// Whether this member leads and has committed an entry of its own term, so that it knows
    /// everything that was ever committed.
    #[must_use]
    pub fn is_established(&self) -> bool {
        matches!(self.role, Role::Leader { since, .. } if self.commit >= since)
    }

    /// The leader, if one is known.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        match &self.role {
            Role::Leader { .. } => Some(&self.config.me),
            Role::Follower { leader } => leader.as_ref(),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// What this member does.
    #[must_use]
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Leader { .. } => RoleName::Leader,
            Role::Follower { .. } => RoleName::Follower,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
        }
    }

    /// This member.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.config.me
    }

    /// Identity of the cluster.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// The present term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Last entry handed out by [`Raft::take_committed`].
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// The voters in force.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The entry that set the voters in force.
    #[must_use]
    pub fn voters_index(&self) -> Index {
        self.voters_index
    }

    /// The voters at the snapshot, with which a new copy of the log starts.
    #[must_use]
    pub fn snapshot_voters(&self) -> Voters {
        self.journal.snapshot.voters.clone()
    }

    /// Last contact with the leader; now, for a leader that holds its lease.
    #[must_use]
    pub fn last_contact(&self, now: Time) -> Time {
        match self.role {
            Role::Leader { .. } => self.lease_start().unwrap_or(self.heard).min(now),
            _ => self.heard,
        }
    }

    /// As leader, each other member and the last entry that it is known to hold.
    pub fn matched_indexes(&self) -> impl Iterator<Item = (&Member, Index)> {
        let progress = match &self.role {
            Role::Leader { progress, .. } => Some(progress),
            _ => None,
        };
        progress.into_iter().flatten().map(|(m, p)| (m, p.matched))
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.voters.contains(&self.config.me)
    }

    /// Whether this member may become leader: as a voter, or as one whose removal is not known to
    /// be committed. The latter may be the only one whose log is recent enough to be elected.
    fn may_campaign(&self) -> bool {
        let me = &self.config.me;
        let unsure = self.voters_index > self.commit;
        self.voters.contains(me)
            || (unsure && self.journal.voters_at(self.voters_index - 1).1.contains(me))
    }

    /// Whether these votes are a majority of the voters.
    pub(crate) fn is_majority(&self, votes: &BTreeSet<Member>) -> bool {
        votes.intersection(&self.voters).count() >= majority(self.voters.len())
    }

    pub(crate) fn send(&mut self, to: Member, term: Term, message: Message) {
        let from = self.config.me.clone();
        self.outbox.push(Envelope { cluster: self.cluster, from, to, term, message });
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        self.pending.entries.push(entry.clone());
        self.journal.push(entry);
        self.refresh_voters();
    }

    pub(crate) fn refresh_voters(&mut self) {
        let (index, voters) = self.journal.voters();
        self.voters_index = index;
        if voters != self.voters {
            self.voters = voters;
            self.track_members();
        }
    }

    pub(crate) fn save_hard(&mut self) {
        self.pending.hard_state = Some(self.hard_state.clone());
    }

    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.commit = self.commit.max(snapshot.index);
        self.applied = snapshot.index;
        self.persisted = self.persisted.min(snapshot.index);
        self.journal.install(snapshot.clone());
        // What the disk holds after the snapshot may be of another leader, so it is replaced by
        // the entries that continue the snapshot, if there are any.
        self.pending.truncate = Some(snapshot.index + 1);
        self.pending.entries = self.journal.from(snapshot.index + 1, usize::MAX);
        self.pending.snapshot = Some(snapshot.clone());
        self.restored = Some(snapshot);
        self.refresh_voters();
    }

    pub(crate) fn reset_election(&mut self) {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let spread = self.config.election_spread.as_micros().max(1);
        let wait = self.config.election_min + Span::from_micros(self.random % spread);
        self.election_at = self.now + wait;
    }
}

/// Votes needed among `voters` members.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
