//! Selection of the voters of the replicated log.
//!
//! The number of voters follows from the number of disk losses that the deployment must tolerate.
//! Voters are added or removed one at a time: silent voters are replaced, and new voters are taken
//! from the availability zone that has the fewest.

use std::collections::{BTreeMap, BTreeSet};

use model::{Span, Time, VmName, ZoneName};
use raft::{Member, Raft, Voters};

/// Silence after which a voter is replaced if another replica can take its place. This is short,
/// since the log may tolerate no further loss until then. A voter that returns keeps its place or
/// joins again.
const REPLACE_AFTER: Span = Span::from_millis(1_500);

/// Another control VM, as its last [`Message::Hello`](crate::Message::Hello) described it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) last_seen: Time,
    /// Random number of the peer's process; it changes with every restart.
    pub(crate) incarnation: u64,
    pub(crate) zone: ZoneName,
    pub(crate) member: Member,
    /// Identity of the log that the peer belongs to, if any.
    pub(crate) cluster: Option<u64>,
}

/// The replicas that can vote, with their availability zones and liveness.
#[derive(Debug)]
pub(crate) struct VoterSelection<'a> {
    pub(crate) now: Time,
    pub(crate) me: &'a Member,
    pub(crate) zone: &'a ZoneName,
    pub(crate) peers: &'a BTreeMap<VmName, Peer>,
    /// Target number of voters: one more than twice the disk losses to tolerate.
    pub(crate) target: usize,
}

impl VoterSelection<'_> {
    fn is_live(&self, member: &Member) -> bool {
        let is_live = |p: &Peer| p.member == *member && self.now < p.last_seen + REPLACE_AFTER;
        member == self.me || self.peers.get(&member.vm).is_some_and(is_live)
    }

    /// Returns the live replicas that receive the log, whether or not they vote.
    pub(crate) fn learners(&self, cluster: u64) -> BTreeSet<Member> {
        let joined = self.peers.values().filter(|p| p.cluster == Some(cluster));
        joined.map(|p| p.member.clone()).filter(|m| self.is_live(m)).collect()
    }

    /// Returns the voters after the next single change, or `None` if none is needed or possible.
    pub(crate) fn next(&self, raft: &Raft) -> Option<Voters> {
        let voters = raft.voters();
        let dead: Vec<&Member> = voters.iter().filter(|m| !self.is_live(m)).collect();
        if voters.len() > self.target {
            let leaving = dead.first().copied().or_else(|| self.removable(voters))?;
            return Some(without(voters, leaving));
        }
        if voters.len() < self.target || !dead.is_empty() {
            let joining = self.candidate(voters, &dead, raft.cluster())?;
            let mut next = voters.clone();
            next.insert(joining);
            return Some(next);
        }
        None
    }

    /// Returns the learner to add next: one in the zone with the fewest live voters.
    fn candidate(&self, voters: &Voters, dead: &[&Member], cluster: u64) -> Option<Member> {
        let mut zone_voters: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for member in voters.iter().filter(|m| !dead.contains(m)) {
            if let Some(zone) = self.zone_of(member) {
                *zone_voters.entry(zone).or_default() += 1;
            }
        }
        let learners = self.learners(cluster);
        let candidates = learners.iter().filter(|m| !voters.contains(m));
        let count = |m: &&Member| self.zone_of(m).and_then(|z| zone_voters.get(z)).copied();
        candidates.min_by_key(|m| (count(m).unwrap_or(0), (*m).clone())).cloned()
    }

    /// Returns the voter to remove when there are more than the target: one in the zone with the
    /// most voters, but never this VM, which is the leader.
    fn removable<'a>(&self, voters: &'a Voters) -> Option<&'a Member> {
        let mut zone_voters: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for zone in voters.iter().filter_map(|m| self.zone_of(m)) {
            *zone_voters.entry(zone).or_default() += 1;
        }
        let count = |m: &&Member| self.zone_of(m).and_then(|z| zone_voters.get(z)).copied();
        voters.iter().filter(|m| *m != self.me).max_by_key(|m| (count(m), (*m).clone()))
    }

    fn zone_of(&self, member: &Member) -> Option<&ZoneName> {
        if member == self.me {
            return Some(self.zone);
        }
        self.peers.get(&member.vm).map(|p| &p.zone)
    }
}

fn without(voters: &Voters, leaving: &Member) -> Voters {
    voters.iter().filter(|m| *m != leaving).cloned().collect()
}
