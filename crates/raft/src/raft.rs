//! The state of one member and its public interface.
//!
//! [`Raft`] holds the term and vote, the log, the voter set and the role of one member. Its methods
//! take the current time, update this state and queue writes and messages for the next
//! [`Ready`] batch. The handlers of the individual messages are in `election` and `replication`.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use model::{Span, Time};

use crate::{
    config::Config,
    log::Log,
    message::{Envelope, Message},
    ready::{Ready, WriteBatch},
    types::{HardState, Index, LogEntry, Member, Payload, Snapshot, StoredState, Term, Voters},
};

/// The current role of a member, as reported by [`Raft::role`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleName {
    /// Follows a leader or waits for an election timeout; also the role of a learner.
    Follower,
    /// Is asking for pre-votes or votes.
    Candidate,
    /// Was elected leader of its term.
    Leader,
}

/// The error returned when a member that is not the leader receives a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The current leader, or `None` while this member does not know one.
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

/// A leader's view of another member's log.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next: Index,
    /// Index of the last entry known to be on the member's disk.
    pub(crate) matched: Index,
    /// Leader's clock in the newest append or snapshot message that the member answered.
    pub(crate) acked_at: Time,
    /// When the last snapshot was sent, until the member acknowledges it; keeps it from being sent
    /// again with every heartbeat.
    pub(crate) snapshot_sent: Option<Time>,
}

/// The role of a member with the state that it needs. For a leader, `term_start` is the index of the
/// first entry of its term, and `heartbeat_at` the time of its next heartbeat.
#[derive(Debug)]
pub(crate) enum Role {
    Follower { leader: Option<Member> },
    PreCandidate { votes: BTreeSet<Member> },
    Candidate { votes: BTreeSet<Member> },
    Leader { progress: BTreeMap<Member, Progress>, term_start: Index, heartbeat_at: Time },
}

/// One member's copy of the replicated log.
///
/// It does no I/O: the driver passes in messages and the time, and persists, sends and applies what
/// [`Raft::ready`], [`Raft::take_restored`] and [`Raft::take_committed`] return.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) cluster: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) voters: Voters,
    /// Index of the entry or snapshot that set `voters`.
    pub(crate) voters_index: Index,
    pub(crate) learners: BTreeSet<Member>,
    pub(crate) commit: Index,
    /// Last index known to be synced to this member's own disk.
    pub(crate) persisted: Index,
    /// Time of the last message from a leader, or of the start of this member; also set when this
    /// member gains or transfers leadership. Until the minimum election timeout has passed since
    /// then, it grants a vote in a newer term only for a leadership transfer.
    pub(crate) last_contact: Time,
    pub(crate) election_at: Time,
    pub(crate) now: Time,
    applied: Index,
    /// Snapshot that the driver has not yet loaded into the state machine.
    restored: Option<Snapshot>,
    /// State of the xorshift generator that randomizes election timeouts.
    rng_state: u64,
    outbox: Vec<Envelope>,
    pub(crate) pending: WriteBatch,
    /// Batches not yet reported as synced: id, and last index and term of the log at that time.
    unsynced: VecDeque<(u64, Index, Term)>,
    next_batch: u64,
}

impl Raft {
    /// Creates a member that starts or restarts from the state on its disk.
    #[must_use]
    pub fn new(config: Config, now: Time, stored: StoredState) -> Self {
        let log = Log::new(stored.snapshot, stored.entries);
        let (voters_index, voters) = log.voters();
        let applied = log.snapshot.index;
        let restored = (applied > 0).then(|| log.snapshot.clone());
        let mut raft = Self {
            rng_state: config.seed | 1,
            cluster: stored.cluster,
            hard_state: stored.hard_state,
            role: Role::Follower { leader: None },
            voters,
            voters_index,
            learners: BTreeSet::new(),
            commit: applied,
            persisted: log.last_index(),
            last_contact: now,
            election_at: now,
            now,
            applied,
            restored,
            outbox: Vec::new(),
            pending: WriteBatch::default(),
            unsynced: VecDeque::new(),
            next_batch: 1,
            log,
            config,
        };
        raft.reset_election_timer();
        raft
    }

    /// Advances the clock to `now`: starts an election after an election timeout; as leader, sends
    /// heartbeats and steps down without a quorum.
    ///
    /// A time earlier than the latest one passed in counts as that latest time.
    pub fn tick(&mut self, now: Time) {
        self.now = self.now.max(now);
        if matches!(self.role, Role::Leader { .. }) {
            self.tick_leader();
        } else if self.now >= self.election_at && self.may_campaign() {
            self.campaign();
        }
    }

    /// Handles a message. Messages of another cluster or for another member are ignored.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        self.now = self.now.max(now);
        if envelope.cluster != self.cluster || envelope.to != self.config.member {
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
                if self.accept_leader(&from, term) {
                    self.on_append(from, (prev_index, prev_term), entries, commit, stamp);
                }
            }
            Message::Install { snapshot, stamp } => {
                if self.accept_leader(&from, term) {
                    self.on_install(from, snapshot, stamp);
                }
            }
            Message::AppendReply { accepted, index, stamp } => {
                self.on_append_reply(&from, term, accepted, index, stamp);
            }
            Message::TimeoutNow => self.on_timeout_now(term),
        }
    }

    /// Appends an entry to the log and sends it to the other members, if this member is the leader.
    ///
    /// Returns the index of the entry. The entry is not committed yet, and a later leader may
    /// replace it.
    ///
    /// # Errors
    ///
    /// Returns an error if this member is not the leader.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Index, NotLeader> {
        self.now = self.now.max(now);
        if !matches!(self.role, Role::Leader { .. }) {
            return Err(NotLeader { leader: self.leader().cloned() });
        }
        let entry =
            LogEntry { term: self.hard_state.term, index: self.log.last_index() + 1, payload };
        let index = entry.index;
        self.append(entry);
        self.broadcast();
        Ok(index)
    }

    /// Proposes a voter set that differs from the current one by one member.
    ///
    /// Returns the index of the entry that sets the voters.
    ///
    /// # Errors
    ///
    /// Returns the reason as a sentence if this member is not the leader, or if the change would be
    /// unsafe: an earlier change is not committed, more than one member changes, an added member
    /// has not caught up with the log, or too few of the new voters are live.
    pub fn change_voters(&mut self, now: Time, voters: Voters) -> Result<Index, String> {
        let Role::Leader { progress, term_start, .. } = &self.role else {
            return Err(NotLeader { leader: self.leader().cloned() }.to_string());
        };
        if self.commit < *term_start || self.commit < self.voters_index {
            return Err("an earlier voter change has not been committed yet".into());
        }
        if voters.symmetric_difference(&self.voters).count() != 1 {
            return Err("voters change by one member at a time".into());
        }
        let recent = |m: &Member| {
            *m == self.config.member
                || progress.get(m).is_some_and(|p| self.now - p.acked_at < self.config.election_min)
        };
        let caught_up = |m: &Member| {
            *m == self.config.member
                || progress.get(m).is_some_and(|p| p.matched + 16 >= self.log.last_index())
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

    /// Replaces the set of learners: members that receive the log without voting.
    ///
    /// Members in this set that are also voters are treated as voters.
    pub fn set_learners(&mut self, learners: BTreeSet<Member>) {
        self.learners = learners;
        self.update_progress();
    }

    /// Returns the next batch of writes and messages, or `None` if there is nothing to do.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.pending.is_empty() && self.outbox.is_empty() {
            return None;
        }
        let id = self.next_batch;
        self.next_batch += 1;
        self.unsynced.push_back((id, self.log.last_index(), self.log.last_term()));
        Some(Ready {
            id,
            persist: std::mem::take(&mut self.pending),
            messages: std::mem::take(&mut self.outbox),
        })
    }

    /// Records that the batch `id` and all earlier ones are synced to disk.
    pub fn persisted(&mut self, id: u64) {
        while let Some((first, index, term)) = self.unsynced.front().copied() {
            if first > id {
                break;
            }
            self.unsynced.pop_front();
            // A later leader may have replaced the entry while it was being written.
            if self.log.term(index) == Some(term) {
                self.persisted = self.persisted.max(index);
            }
        }
        self.advance_commit();
    }

    /// Returns a snapshot that replaces the state machine's state, if one was loaded from disk or
    /// received since the last call.
    ///
    /// It must be called before [`Raft::take_committed`], whose entries follow the snapshot.
    pub fn take_restored(&mut self) -> Option<Snapshot> {
        self.restored.take()
    }

    /// Returns the entries that became committed since the last call, in log order, and marks them
    /// as applied.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let count = usize::try_from(self.commit.saturating_sub(self.applied)).unwrap_or(0);
        let entries = self.log.entries_from(self.applied + 1, count);
        self.applied = self.commit;
        entries
    }

    /// Returns the number of applied entries after the snapshot, which [`Raft::compact`] would
    /// remove.
    #[must_use]
    pub fn compactable_entries(&self) -> u64 {
        self.applied.saturating_sub(self.log.snapshot.index)
    }

    /// Replaces all applied entries by a snapshot; `data` is the encoded state machine after the
    /// last applied entry.
    ///
    /// Does nothing if no entry was applied since the last snapshot.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index <= self.log.snapshot.index {
            return;
        }
        let (_, voters) = self.log.voters_at(index);
        let snapshot = Snapshot { index, term, voters, data: Arc::new(data) };
        self.log.install(snapshot.clone());
        self.pending.entries.retain(|e| e.index > index);
        self.pending.truncate = self.pending.truncate.map(|t| t.max(index + 1));
        self.pending.snapshot = Some(snapshot);
    }

    /// Transfers leadership to the voter with the most recent acknowledgement, or with the longest
    /// matching log among several such voters.
    ///
    /// This member becomes a follower at once, which ends its lease. Does nothing if it is not the
    /// leader or is the only voter.
    pub fn transfer(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let others = progress.iter().filter(|(m, _)| self.voters.contains(m));
        let Some((target, _)) = others.max_by_key(|(_, p)| (p.acked_at, p.matched)) else {
            return;
        };
        let target = target.clone();
        self.send(target, self.hard_state.term, Message::TimeoutNow);
        self.role = Role::Follower { leader: None };
        self.last_contact = self.now;
        self.reset_election_timer();
    }

    /// Returns whether this member holds a leader lease at `now`, so that no other leader can have
    /// been elected up to then.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_start().is_some_and(|start| now < start + self.config.lease())
    }

    /// Returns the time that is left of this member's lease, or zero if it holds none.
    #[must_use]
    pub fn lease_left(&self, now: Time) -> Span {
        self.lease_start().map_or(Span::ZERO, |start| start + self.config.lease() - now)
    }

    /// Returns the length of a lease: the longest time for which a previous leader's lease can
    /// still be valid after this member was elected.
    #[must_use]
    pub fn lease_duration(&self) -> Span {
        self.config.lease()
    }

    /// Returns whether this member is the leader and has committed an entry of its own term. It
    /// then knows every entry that was ever committed.
    #[must_use]
    pub fn is_established(&self) -> bool {
        matches!(self.role, Role::Leader { term_start, .. } if self.commit >= term_start)
    }

    /// Returns the current leader, or `None` while this member does not know one.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        match &self.role {
            Role::Leader { .. } => Some(&self.config.member),
            Role::Follower { leader } => leader.as_ref(),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns the current role; pre-candidates are reported as candidates.
    #[must_use]
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Leader { .. } => RoleName::Leader,
            Role::Follower { .. } => RoleName::Follower,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
        }
    }

    /// Returns the identity of this member.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.config.member
    }

    /// Returns the identity of the cluster, which every message carries.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry returned by [`Raft::take_committed`] or included in the
    /// restored snapshot.
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// Returns the voters in force: those of the last entry in the log that changes them, even if
    /// it is not committed.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Returns the index of the entry or snapshot that set the voters in force.
    #[must_use]
    pub fn voters_index(&self) -> Index {
        self.voters_index
    }

    /// Returns the voters at the snapshot, with which a new copy of the log starts.
    #[must_use]
    pub fn snapshot_voters(&self) -> Voters {
        self.log.snapshot.voters.clone()
    }

    /// Returns the time of the last message from the leader.
    ///
    /// For the leader, it is the latest time at which a majority of voters is known to have
    /// followed it, at most `now`.
    #[must_use]
    pub fn last_contact(&self, now: Time) -> Time {
        match self.role {
            Role::Leader { .. } => self.lease_start().unwrap_or(self.last_contact).min(now),
            _ => self.last_contact,
        }
    }

    /// Returns each other member with the index of the last entry known to be on its disk.
    ///
    /// Empty unless this member is the leader.
    pub fn matched_indexes(&self) -> impl Iterator<Item = (&Member, Index)> {
        let progress = match &self.role {
            Role::Leader { progress, .. } => Some(progress),
            _ => None,
        };
        progress.into_iter().flatten().map(|(m, p)| (m, p.matched))
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.voters.contains(&self.config.member)
    }

    /// Returns whether this member may become leader: as a voter, or as a former voter whose
    /// removal is not known to be committed. The latter may be the only member whose log is recent
    /// enough to be elected.
    fn may_campaign(&self) -> bool {
        let me = &self.config.member;
        let uncommitted = self.voters_index > self.commit;
        self.voters.contains(me)
            || (uncommitted && self.log.voters_at(self.voters_index - 1).1.contains(me))
    }

    /// Returns whether these votes are a majority of the voters.
    pub(crate) fn is_majority(&self, votes: &BTreeSet<Member>) -> bool {
        votes.intersection(&self.voters).count() >= majority(self.voters.len())
    }

    /// Queues a message for the next batch.
    pub(crate) fn send(&mut self, to: Member, term: Term, message: Message) {
        let from = self.config.member.clone();
        self.outbox.push(Envelope { cluster: self.cluster, from, to, term, message });
    }

    /// Appends an entry to the log and queues it for the next write.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        self.pending.entries.push(entry.clone());
        self.log.push(entry);
        self.refresh_voters();
    }

    /// Updates the voters in force after the log has changed.
    pub(crate) fn refresh_voters(&mut self) {
        let (index, voters) = self.log.voters();
        self.voters_index = index;
        if voters != self.voters {
            self.voters = voters;
            self.update_progress();
        }
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.pending.hard_state = Some(self.hard_state.clone());
    }

    /// Replaces the log up to the snapshot's index by a snapshot from the leader.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.commit = self.commit.max(snapshot.index);
        self.applied = snapshot.index;
        self.persisted = self.persisted.min(snapshot.index);
        self.log.install(snapshot.clone());
        // Entries on disk after the snapshot may come from another leader, so they are replaced by
        // the entries that continue the snapshot, if there are any.
        self.pending.truncate = Some(snapshot.index + 1);
        self.pending.entries = self.log.entries_from(snapshot.index + 1, usize::MAX);
        self.pending.snapshot = Some(snapshot.clone());
        self.restored = Some(snapshot);
        self.refresh_voters();
    }

    /// Sets the next election timeout to a random time after the minimum.
    pub(crate) fn reset_election_timer(&mut self) {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let spread = self.config.election_spread.as_micros().max(1);
        let wait = self.config.election_min + Span::from_micros(self.rng_state % spread);
        self.election_at = self.now + wait;
    }
}

/// Returns the number of votes that form a majority of `voters` members.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
