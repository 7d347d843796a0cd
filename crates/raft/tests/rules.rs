//! Single rules of the log, each in the smallest situation that needs it.

use model::{Time, VmName};
use raft::{
    Config, Envelope, LogEntry, Member, Message, Payload, Raft, Ready, RoleName, StoredState,
    Voters,
};

const CLUSTER: u64 = 1;

fn member(name: &str) -> Member {
    Member { vm: VmName::try_from(name).unwrap(), disk: 1 }
}

fn voters() -> Voters {
    ["a", "b", "c"].into_iter().map(member).collect()
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn start(name: &str, entries: Vec<LogEntry>) -> Raft {
    let mut stored = StoredState::initial(CLUSTER, voters());
    stored.hard_state.term = entries.last().map_or(0, |e| e.term);
    stored.entries = entries;
    Raft::new(Config::new(member(name), 5), at(0), stored)
}

fn message(from: &str, to: &str, term: u64, message: Message) -> Envelope {
    Envelope { cluster: CLUSTER, from: member(from), to: member(to), term, message }
}

fn command(term: u64, index: u64) -> LogEntry {
    LogEntry { term, index, payload: Payload::Command(vec![1]) }
}

fn readies(raft: &mut Raft) -> Vec<Ready> {
    std::iter::from_fn(|| raft.ready()).collect()
}

fn sync(raft: &mut Raft) {
    for ready in readies(raft) {
        raft.persisted(ready.id);
    }
}

/// Makes `a` the leader with the vote of `b`, at 10 s; its first entry is not synced.
fn elect(raft: &mut Raft) -> u64 {
    raft.tick(at(10_000));
    let term = raft.term() + 1;
    let granted = Message::PreVoteReply { granted: true };
    raft.step(at(10_000), message("b", "a", term, granted));
    sync(raft);
    raft.step(at(10_000), message("b", "a", term, Message::VoteReply { granted: true }));
    assert_eq!(raft.role(), RoleName::Leader);
    term
}

fn ack(raft: &mut Raft, from: &str, term: u64, index: u64) {
    let stamp = at(10_000).as_micros();
    let reply = Message::AppendReply { accepted: true, index, stamp };
    raft.step(at(10_001), message(from, "a", term, reply));
}

#[test]
fn vote_is_written_in_the_batch_that_sends_it() {
    let mut raft = start("b", Vec::new());
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    raft.step(at(5_000), message("a", "b", 3, vote));
    let batches = readies(&mut raft);
    let batch = batches
        .iter()
        .find(|r| r.messages.iter().any(|m| m.message == Message::VoteReply { granted: true }))
        .expect("the vote is granted");
    let hard = batch.persist.hard_state.as_ref().expect("with it, the vote is written");
    assert_eq!((hard.term, &hard.vote), (3, &Some(member("a"))));
}

#[test]
fn second_vote_in_a_term_is_refused_after_a_restart() {
    let mut stored = StoredState::initial(CLUSTER, voters());
    stored.hard_state.term = 3;
    stored.hard_state.vote = Some(member("a"));
    let mut raft = Raft::new(Config::new(member("b"), 5), at(0), stored);
    let vote = Message::Vote { last_index: 9, last_term: 2, transfer: false };
    raft.step(at(5_000), message("c", "b", 3, vote));
    let sent: Vec<Envelope> = readies(&mut raft).into_iter().flat_map(|r| r.messages).collect();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, Message::VoteReply { granted: false });
}

#[test]
fn voter_that_hears_a_leader_refuses_elections() {
    let mut raft = start("b", Vec::new());
    let beat =
        Message::Append { prev_index: 0, prev_term: 0, entries: Vec::new(), commit: 0, stamp: 1 };
    raft.step(at(5_000), message("a", "b", 2, beat));
    readies(&mut raft);
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    raft.step(at(5_500), message("c", "b", 3, vote));
    assert_eq!(raft.term(), 2, "the request changes nothing");
    assert!(readies(&mut raft).is_empty());
    let pre_vote = Message::PreVote { last_index: 0, last_term: 0 };
    raft.step(at(5_500), message("c", "b", 3, pre_vote));
    let sent: Vec<Envelope> = readies(&mut raft).into_iter().flat_map(|r| r.messages).collect();
    assert_eq!(sent[0].message, Message::PreVoteReply { granted: false });
}

#[test]
fn entry_that_the_leader_has_not_synced_does_not_count_for_it() {
    let mut raft = start("a", Vec::new());
    let term = elect(&mut raft);
    let unsynced = readies(&mut raft);
    ack(&mut raft, "b", term, 0);
    assert_eq!(raft.commit_index(), 0);
    ack(&mut raft, "b", term, 1);
    assert_eq!(raft.commit_index(), 0, "one copy on a disk is no majority of three");
    raft.persisted(unsynced.last().unwrap().id);
    assert_eq!(raft.commit_index(), 1);
}

#[test]
fn entry_of_an_earlier_term_commits_only_with_one_of_the_leaders_own() {
    let mut raft = start("a", vec![command(1, 1)]);
    let term = elect(&mut raft);
    sync(&mut raft);
    ack(&mut raft, "b", term, 1);
    assert_eq!(raft.commit_index(), 0, "a later leader could still replace it");
    ack(&mut raft, "b", term, 2);
    assert_eq!(raft.commit_index(), 2);
}

#[test]
fn voters_change_one_at_a_time() {
    let mut raft = start("a", Vec::new());
    raft.set_learners([member("d"), member("e")].into());
    let term = elect(&mut raft);
    sync(&mut raft);
    let mut more = voters();
    more.insert(member("d"));
    assert!(raft.change_voters(at(10_001), more.clone()).is_err(), "nothing is committed yet");
    for name in ["b", "c", "d", "e"] {
        ack(&mut raft, name, term, 1);
    }
    let mut two = more.clone();
    two.insert(member("e"));
    assert!(raft.change_voters(at(10_002), two.clone()).is_err(), "two at once");
    raft.change_voters(at(10_002), more).unwrap();
    assert!(raft.change_voters(at(10_003), two).is_err(), "the first is not committed");
}

#[test]
fn voter_is_not_added_before_it_has_caught_up() {
    let mut raft = start("a", (1..=40).map(|i| command(1, i)).collect());
    raft.set_learners([member("d")].into());
    let term = elect(&mut raft);
    sync(&mut raft);
    ack(&mut raft, "b", term, 41);
    ack(&mut raft, "c", term, 41);
    let mut more = voters();
    more.insert(member("d"));
    let refused = raft.change_voters(at(10_002), more.clone()).unwrap_err();
    assert!(refused.contains("d/1 has not caught up"), "{refused}");
    ack(&mut raft, "d", term, 41);
    raft.change_voters(at(10_002), more).unwrap();
}

#[test]
fn leader_without_a_quorum_steps_down() {
    let mut raft = start("a", Vec::new());
    elect(&mut raft);
    raft.tick(at(10_500));
    assert_eq!(raft.role(), RoleName::Leader);
    raft.tick(at(12_500));
    assert_eq!(raft.role(), RoleName::Follower);
    assert!(!raft.has_lease(at(12_500)));
}

#[test]
fn messages_of_another_cluster_are_ignored() {
    let mut raft = start("b", Vec::new());
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    let envelope = Envelope { cluster: CLUSTER + 1, ..message("a", "b", 3, vote) };
    raft.step(at(5_000), envelope);
    assert_eq!(raft.term(), 0);
    assert!(readies(&mut raft).is_empty());
}

#[test]
fn member_whose_removal_is_not_committed_may_campaign() {
    let removed: Voters = ["b", "c"].into_iter().map(member).collect();
    let change = LogEntry { term: 1, index: 1, payload: Payload::Voters(removed) };
    let mut raft = start("a", vec![change]);
    raft.tick(at(10_000));
    let asked = readies(&mut raft).into_iter().flat_map(|r| r.messages);
    let asked = asked.filter(|m| matches!(m.message, Message::PreVote { .. })).count();
    assert_eq!(asked, 2, "it may be the only one whose log is recent enough");
}

#[test]
fn snapshot_over_a_diverged_log_replaces_it_on_disk() {
    let mut raft = start("b", (1..=9).map(|i| command(1, i)).collect());
    let snapshot = raft::Snapshot { index: 5, term: 2, voters: voters(), data: Vec::new().into() };
    raft.step(at(1), message("a", "b", 3, Message::Install { snapshot, stamp: 1 }));
    let batch = raft.ready().unwrap().persist;
    assert_eq!(batch.snapshot.unwrap().index, 5);
    assert_eq!(batch.truncate, Some(6), "entries 6 to 9 are of another leader");
}
