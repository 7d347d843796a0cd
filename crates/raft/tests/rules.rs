//! Individual Raft rules, each tested on one member in the smallest situation where it matters.

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

fn at_ms(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn start(name: &str, entries: Vec<LogEntry>) -> Raft {
    let mut stored = StoredState::initial(CLUSTER, voters());
    stored.hard_state.term = entries.last().map_or(0, |e| e.term);
    stored.entries = entries;
    Raft::new(Config::new(member(name), 5), at_ms(0), stored)
}

fn message(from: &str, to: &str, term: u64, message: Message) -> Envelope {
    Envelope { cluster: CLUSTER, from: member(from), to: member(to), term, message }
}

fn command(term: u64, index: u64) -> LogEntry {
    LogEntry { term, index, payload: Payload::Command(vec![1]) }
}

fn drain_ready(raft: &mut Raft) -> Vec<Ready> {
    std::iter::from_fn(|| raft.ready()).collect()
}

fn sync(raft: &mut Raft) {
    for ready in drain_ready(raft) {
        raft.persisted(ready.id);
    }
}

/// Makes `a` the leader by the vote of `b` at 10 s and returns its term. The leader's first entry
/// is not synced.
fn become_leader(raft: &mut Raft) -> u64 {
    raft.tick(at_ms(10_000));
    let term = raft.term() + 1;
    let granted = Message::PreVoteReply { granted: true };
    raft.step(at_ms(10_000), message("b", "a", term, granted));
    sync(raft);
    raft.step(at_ms(10_000), message("b", "a", term, Message::VoteReply { granted: true }));
    assert_eq!(raft.role(), RoleName::Leader);
    term
}

/// Delivers to `a` an acknowledgement of the entries up to `index`.
fn ack(raft: &mut Raft, from: &str, term: u64, index: u64) {
    let stamp = at_ms(10_000).as_micros();
    let reply = Message::AppendReply { accepted: true, index, stamp };
    raft.step(at_ms(10_001), message(from, "a", term, reply));
}

#[test]
fn vote_is_written_in_the_batch_that_sends_it() {
    let mut raft = start("b", Vec::new());
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    raft.step(at_ms(5_000), message("a", "b", 3, vote));
    let batches = drain_ready(&mut raft);
    let batch = batches
        .iter()
        .find(|r| r.messages.iter().any(|m| m.message == Message::VoteReply { granted: true }))
        .expect("the vote is granted");
    let hard =
        batch.persist.hard_state.as_ref().expect("the batch that sends the vote also writes it");
    assert_eq!((hard.term, &hard.vote), (3, &Some(member("a"))));
}

#[test]
fn second_vote_in_a_term_is_refused_after_a_restart() {
    let mut stored = StoredState::initial(CLUSTER, voters());
    stored.hard_state.term = 3;
    stored.hard_state.vote = Some(member("a"));
    let mut raft = Raft::new(Config::new(member("b"), 5), at_ms(0), stored);
    let vote = Message::Vote { last_index: 9, last_term: 2, transfer: false };
    raft.step(at_ms(5_000), message("c", "b", 3, vote));
    let sent: Vec<Envelope> = drain_ready(&mut raft).into_iter().flat_map(|r| r.messages).collect();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, Message::VoteReply { granted: false });
}

#[test]
fn voter_in_contact_with_a_leader_refuses_elections() {
    let mut raft = start("b", Vec::new());
    let heartbeat =
        Message::Append { prev_index: 0, prev_term: 0, entries: Vec::new(), commit: 0, stamp: 1 };
    raft.step(at_ms(5_000), message("a", "b", 2, heartbeat));
    drain_ready(&mut raft);
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    raft.step(at_ms(5_500), message("c", "b", 3, vote));
    assert_eq!(raft.term(), 2, "the request changes nothing");
    assert!(drain_ready(&mut raft).is_empty());
    let pre_vote = Message::PreVote { last_index: 0, last_term: 0 };
    raft.step(at_ms(5_500), message("c", "b", 3, pre_vote));
    let sent: Vec<Envelope> = drain_ready(&mut raft).into_iter().flat_map(|r| r.messages).collect();
    assert_eq!(sent[0].message, Message::PreVoteReply { granted: false });
}

#[test]
fn entry_that_the_leader_has_not_synced_does_not_count_for_it() {
    let mut raft = start("a", Vec::new());
    let term = become_leader(&mut raft);
    let unsynced = drain_ready(&mut raft);
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
    let term = become_leader(&mut raft);
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
    let term = become_leader(&mut raft);
    sync(&mut raft);
    let mut with_d = voters();
    with_d.insert(member("d"));
    assert!(raft.change_voters(at_ms(10_001), with_d.clone()).is_err(), "nothing is committed yet");
    for name in ["b", "c", "d", "e"] {
        ack(&mut raft, name, term, 1);
    }
    let mut with_d_and_e = with_d.clone();
    with_d_and_e.insert(member("e"));
    assert!(raft.change_voters(at_ms(10_002), with_d_and_e.clone()).is_err(), "two at once");
    raft.change_voters(at_ms(10_002), with_d).unwrap();
    assert!(raft.change_voters(at_ms(10_003), with_d_and_e).is_err(), "the first is not committed");
}

#[test]
fn voter_is_not_added_before_it_has_caught_up() {
    let mut raft = start("a", (1..=40).map(|i| command(1, i)).collect());
    raft.set_learners([member("d")].into());
    let term = become_leader(&mut raft);
    sync(&mut raft);
    ack(&mut raft, "b", term, 41);
    ack(&mut raft, "c", term, 41);
    let mut with_d = voters();
    with_d.insert(member("d"));
    let refused = raft.change_voters(at_ms(10_002), with_d.clone()).unwrap_err();
    assert!(refused.contains("d/1 has not caught up"), "{refused}");
    ack(&mut raft, "d", term, 41);
    raft.change_voters(at_ms(10_002), with_d).unwrap();
}

#[test]
fn leader_without_a_quorum_steps_down() {
    let mut raft = start("a", Vec::new());
    become_leader(&mut raft);
    raft.tick(at_ms(10_500));
    assert_eq!(raft.role(), RoleName::Leader);
    raft.tick(at_ms(12_500));
    assert_eq!(raft.role(), RoleName::Follower);
    assert!(!raft.has_lease(at_ms(12_500)));
}

#[test]
fn messages_of_another_cluster_are_ignored() {
    let mut raft = start("b", Vec::new());
    let vote = Message::Vote { last_index: 0, last_term: 0, transfer: false };
    let envelope = Envelope { cluster: CLUSTER + 1, ..message("a", "b", 3, vote) };
    raft.step(at_ms(5_000), envelope);
    assert_eq!(raft.term(), 0);
    assert!(drain_ready(&mut raft).is_empty());
}

#[test]
fn member_whose_removal_is_not_committed_may_campaign() {
    let removed: Voters = ["b", "c"].into_iter().map(member).collect();
    let change = LogEntry { term: 1, index: 1, payload: Payload::Voters(removed) };
    let mut raft = start("a", vec![change]);
    raft.tick(at_ms(10_000));
    let pre_votes = drain_ready(&mut raft).into_iter().flat_map(|r| r.messages);
    let pre_votes = pre_votes.filter(|m| matches!(m.message, Message::PreVote { .. })).count();
    assert_eq!(pre_votes, 2, "it may be the only one whose log is recent enough");
}

#[test]
fn snapshot_over_a_diverged_log_replaces_it_on_disk() {
    let mut raft = start("b", (1..=9).map(|i| command(1, i)).collect());
    let snapshot = raft::Snapshot { index: 5, term: 2, voters: voters(), data: Vec::new().into() };
    raft.step(at_ms(1), message("a", "b", 3, Message::Install { snapshot, stamp: 1 }));
    let batch = raft.ready().unwrap().persist;
    assert_eq!(batch.snapshot.unwrap().index, 5);
    assert_eq!(batch.truncate, Some(6), "entries 6 to 9 come from another leader");
}
