//! Replication of entries from the leader to the other members.
//!
//! The leader sends appends or snapshots and tracks the acknowledgements, from which it derives the
//! commit index and its lease. Followers check that appended entries continue their own log.

use std::collections::BTreeSet;

use model::{Span, Time};

use crate::{
    message::Message,
    raft::{Progress, Raft, Role, majority},
    types::{Index, LogEntry, Member, Snapshot, Term},
};

/// Delay before a snapshot that was not acknowledged is sent again.
const INSTALL_RETRY: Span = Span::from_secs(1);

impl Raft {
    /// Handles a tick as leader: sends heartbeats, and steps down if it lost contact with a
    /// majority or was removed from the voters.
    pub(crate) fn tick_leader(&mut self) {
        let quorum_lost = self.lease_start().is_some_and(|start| {
            self.now > start.max(self.last_contact) + self.config.election_min
        });
        let removed = !self.is_voter() && self.commit >= self.voters_index;
        if quorum_lost || removed {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if let Role::Leader { heartbeat_at, .. } = &mut self.role
            && self.now >= *heartbeat_at
        {
            *heartbeat_at = self.now + self.config.heartbeat;
            self.broadcast();
        }
    }

    /// Sends every other member the entries or the snapshot that it lacks, or a heartbeat if it
    /// lacks none.
    pub(crate) fn broadcast(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let members: Vec<Member> = progress.keys().cloned().collect();
        for member in members {
            self.replicate(&member);
        }
        self.advance_commit();
    }

    /// Sends one member its next entries, or a snapshot if these are compacted. While a snapshot is
    /// not acknowledged, it sends only a heartbeat until the snapshot is due to be sent again.
    fn replicate(&mut self, member: &Member) {
        let (now, max) = (self.now, self.config.max_batch);
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(member) else {
            return;
        };
        let prev_index = peer.next - 1;
        let stamp = now.as_micros();
        let message = if let Some(prev_term) = self.log.term(prev_index) {
            let entries = self.log.entries_from(peer.next, max);
            peer.next += entries.len() as u64;
            Message::Append { prev_index, prev_term, entries, commit: self.commit, stamp }
        } else if peer.snapshot_sent.is_none_or(|at| now >= at + INSTALL_RETRY) {
            peer.snapshot_sent = Some(now);
            Message::Install { snapshot: self.log.snapshot.clone(), stamp }
        } else {
            let prev_index = self.log.last_index();
            let prev_term = self.log.last_term();
            Message::Append { prev_index, prev_term, entries: Vec::new(), commit: 0, stamp }
        };
        self.send(member.clone(), self.hard_state.term, message);
    }

    pub(crate) fn on_append(
        &mut self,
        from: Member,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<LogEntry>,
        commit: Index,
        stamp: u64,
    ) {
        let last_sent = prev_index + entries.len() as u64;
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            let index = index.max(self.commit);
            self.send(
                from,
                self.hard_state.term,
                Message::AppendReply { accepted: false, index, stamp },
            );
            return;
        }
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last_sent).min(self.log.last_index()));
        let index = last_sent.max(self.commit).min(self.log.last_index());
        self.send(
            from,
            self.hard_state.term,
            Message::AppendReply { accepted: true, index, stamp },
        );
    }

    /// Appends an entry from the leader unless the log already holds it; removes entries that
    /// conflict with it.
    fn accept_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.append(entry);
    }

    fn truncate(&mut self, index: Index) {
        assert!(index > self.commit, "a committed entry is never removed");
        self.log.truncate(index);
        self.persisted = self.persisted.min(index - 1);
        self.pending.entries.retain(|e| e.index < index);
        self.pending.truncate = Some(self.pending.truncate.map_or(index, |t| t.min(index)));
        self.refresh_voters();
    }

    pub(crate) fn on_install(&mut self, from: Member, snapshot: Snapshot, stamp: u64) {
        let index = snapshot.index.max(self.commit);
        if snapshot.index > self.commit {
            self.restore(snapshot);
        }
        self.send(
            from,
            self.hard_state.term,
            Message::AppendReply { accepted: true, index, stamp },
        );
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: &Member,
        term: Term,
        accepted: bool,
        index: Index,
        stamp: u64,
    ) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(from) else {
            return;
        };
        if term < self.hard_state.term {
            return;
        }
        peer.acked_at = peer.acked_at.max(Time::from_micros(stamp));
        let behind = if accepted {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            peer.snapshot_sent = None;
            peer.next <= last
        } else {
            peer.next = (index + 1).max(peer.matched + 1).min(last + 1);
            peer.snapshot_sent.is_none()
        };
        self.advance_commit();
        if behind {
            self.replicate(from);
        }
    }

    /// Commits the entries that a majority of voters has on disk.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let matched = |m: &Member| {
            if *m == self.config.member {
                self.persisted
            } else {
                progress.get(m).map_or(0, |p| p.matched)
            }
        };
        let index = quorum_value(self.voters.iter().map(matched).collect());
        // Only entries of the leader's own term are committed by counting copies (Raft paper,
        // section 5.4.2).
        let own = self.log.term(index) == Some(self.hard_state.term);
        if own && index > self.commit {
            self.commit = index;
            self.schedule_heartbeat();
        }
    }

    /// Schedules a heartbeat for the next tick, so that the other members learn a new commit index
    /// without waiting for the regular heartbeat.
    fn schedule_heartbeat(&mut self) {
        let now = self.now;
        if let Role::Leader { heartbeat_at, .. } = &mut self.role {
            *heartbeat_at = now;
        }
    }

    /// Returns the latest time at which a majority of voters is known to have followed this leader,
    /// or `None` if this member is not the leader.
    pub(crate) fn lease_start(&self) -> Option<Time> {
        let Role::Leader { progress, .. } = &self.role else {
            return None;
        };
        let acked = |m: &Member| {
            if *m == self.config.member {
                self.now.as_micros()
            } else {
                progress.get(m).map_or(0, |p| p.acked_at.as_micros())
            }
        };
        let start = quorum_value(self.voters.iter().map(acked).collect());
        Some(Time::from_micros(start))
    }

    /// Adds and removes progress records to match the current voters and learners.
    pub(crate) fn update_progress(&mut self) {
        let me = self.config.member.clone();
        let next = self.log.last_index() + 1;
        let members: BTreeSet<&Member> =
            self.voters.union(&self.learners).filter(|m| **m != me).collect();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|m, _| members.contains(m));
        for member in members {
            progress.entry(member.clone()).or_insert_with(|| Progress {
                next,
                matched: 0,
                acked_at: Time::default(),
                snapshot_sent: None,
            });
        }
    }
}

/// Returns the largest value that a majority of the values reaches.
fn quorum_value(mut values: Vec<u64>) -> u64 {
    values.sort_unstable_by(|a, b| b.cmp(a));
    let at = majority(values.len()) - 1;
    values.get(at).copied().unwrap_or(0)
}
