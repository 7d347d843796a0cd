//! Copying entries from the leader to the other members.

use std::collections::BTreeSet;

use model::{Span, Time};

use crate::{
    message::Message,
    raft::{Progress, Raft, Role, majority},
    types::{Index, LogEntry, Member, Snapshot, Term},
};

/// Time after which a snapshot that was not acknowledged is sent again.
const INSTALL_RETRY: Span = Span::from_secs(1);

impl Raft {
    /// A leader's part of a tick: heartbeats, and stepping down without a quorum.
    pub(crate) fn lead(&mut self) {
        let quorum_lost = self
            .lease_start()
            .is_some_and(|start| self.now > start.max(self.heard) + self.config.election_min);
        let removed = !self.is_voter() && self.commit >= self.voters_index;
        if quorum_lost || removed {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if let Role::Leader { beat_at, .. } = &mut self.role
            && self.now >= *beat_at
        {
            *beat_at = self.now + self.config.heartbeat;
            self.broadcast();
        }
    }

    /// Sends every member what it lacks.
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
        let message = if let Some(prev_term) = self.journal.term(prev_index) {
            let entries = self.journal.from(peer.next, max);
            peer.next += entries.len() as u64;
            Message::Append { prev_index, prev_term, entries, commit: self.commit, stamp }
        } else if peer.installed.is_none_or(|at| now >= at + INSTALL_RETRY) {
            peer.installed = Some(now);
            Message::Install { snapshot: self.journal.snapshot.clone(), stamp }
        } else {
            let prev_index = self.journal.last_index();
            let prev_term = self.journal.last_term();
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
        if prev_index > self.commit && self.journal.term(prev_index) != Some(prev_term) {
            let index = self.journal.last_index().min(prev_index.saturating_sub(1));
            let index = index.max(self.commit);
            self.send(
                from,
                self.hard_state.term,
                Message::AppendReply { accepted: false, index, stamp },
            );
            return;
        }
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last_sent).min(self.journal.last_index()));
        let index = last_sent.max(self.commit).min(self.journal.last_index());
        self.send(
            from,
            self.hard_state.term,
            Message::AppendReply { accepted: true, index, stamp },
        );
    }

    fn take_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit || self.journal.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.journal.last_index() {
            self.truncate(entry.index);
        }
        self.append(entry);
    }

    fn truncate(&mut self, index: Index) {
        assert!(index > self.commit, "a committed entry is never removed");
        self.journal.truncate(index);
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
        let last = self.journal.last_index();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(from) else {
            return;
        };
        if term < self.hard_state.term {
            return;
        }
        peer.stamp = peer.stamp.max(Time::from_micros(stamp));
        let behind = if accepted {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            peer.installed = None;
            peer.next <= last
        } else {
            peer.next = (index + 1).max(peer.matched + 1).min(last + 1);
            peer.installed.is_none()
        };
        self.advance_commit();
        if behind {
            self.replicate(from);
        }
    }

    /// Commits what a majority of voters has on disk.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let held = |m: &Member| {
            if *m == self.config.me {
                self.persisted
            } else {
                progress.get(m).map_or(0, |p| p.matched)
            }
        };
        let index = quorum_value(self.voters.iter().map(held).collect());
        // Only entries of the leader's own term commit by counting (Raft, section 5.4.2).
        let own = self.journal.term(index) == Some(self.hard_state.term);
        if own && index > self.commit {
            self.commit = index;
            self.beat_soon();
        }
    }

    /// Tells the others of a new commit index at the next tick, not at the next heartbeat.
    fn beat_soon(&mut self) {
        let now = self.now;
        if let Role::Leader { beat_at, .. } = &mut self.role {
            *beat_at = now;
        }
    }

    /// The latest moment at which a majority of voters is known to have heard this leader.
    pub(crate) fn lease_start(&self) -> Option<Time> {
        let Role::Leader { progress, .. } = &self.role else {
            return None;
        };
        let heard = |m: &Member| {
            if *m == self.config.me {
                self.now.as_micros()
            } else {
                progress.get(m).map_or(0, |p| p.stamp.as_micros())
            }
        };
        let start = quorum_value(self.voters.iter().map(heard).collect());
        Some(Time::from_micros(start))
    }

    /// Starts and ends tracking as voters and learners come and go.
    pub(crate) fn track_members(&mut self) {
        let me = self.config.me.clone();
        let next = self.journal.last_index() + 1;
        let wanted: BTreeSet<&Member> =
            self.voters.union(&self.learners).filter(|m| **m != me).collect();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|m, _| wanted.contains(m));
        for member in wanted {
            progress.entry(member.clone()).or_insert_with(|| Progress {
                next,
                matched: 0,
                stamp: Time::default(),
                installed: None,
            });
        }
    }
}

/// The largest value that a majority reaches.
fn quorum_value(mut values: Vec<u64>) -> u64 {
    values.sort_unstable_by(|a, b| b.cmp(a));
    let at = majority(values.len()) - 1;
    values.get(at).copied().unwrap_or(0)
}
