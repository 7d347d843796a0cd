//! Edits, claims and fencing numbers, and equality of a state decoded from its snapshot.

use std::sync::Arc;

use model::{AccountName, Edit, EditId, EditOutcome, RequestId, VmName};
use state::{Answer, ClaimKey, ClaimOutcome, Command, RETENTION_MS, Response, State};

fn edit(id: &str, base: u64) -> Command {
    let id = EditId::try_from(id).unwrap();
    Command::Edit(Edit { id, base, put: vec![], remove: vec![] })
}

fn key(issued: u64) -> ClaimKey {
    let account = AccountName::try_from("a").unwrap();
    ClaimKey { issued, account, text: Arc::from("k") }
}

fn claim(issued: u64, request: u128) -> Command {
    let owner = VmName::try_from("vm-1").unwrap();
    Command::Claim { key: key(issued), request: RequestId::from(request), owner }
}

fn settle(issued: u64, request: u128) -> Command {
    let answer = Answer { status: 200, body: Some(b"first".to_vec()) };
    Command::Settle { key: key(issued), request: RequestId::from(request), answer }
}

fn release(issued: u64, request: u128) -> Command {
    Command::Release { key: key(issued), request: RequestId::from(request) }
}

fn apply_claim(state: &mut State, at: u64, command: Command) -> ClaimOutcome {
    match state.apply(at, command) {
        Response::Claim(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn edits_of_equal_base_have_one_winner_and_resends_get_the_first_outcome() {
    let mut state = State::default();
    let accepted = Response::Edit(EditOutcome::Accepted { revision: 1 });
    assert_eq!(state.apply(1, edit("one", 0)), accepted);
    let winner = Some(EditId::try_from("one").unwrap());
    let conflict = Response::Edit(EditOutcome::Conflict { revision: 1, winner });
    assert_eq!(state.apply(2, edit("two", 0)), conflict);
    state.apply(3, edit("three", 1));
    assert_eq!(state.apply(4, edit("one", 0)), accepted, "also after later edits");
    assert_eq!(state.apply(5, edit("two", 2)), conflict, "an id keeps its first outcome");
    assert_eq!(state.catalogue().revision(), 2);
}

#[test]
fn invalid_edit_changes_nothing_and_says_why() {
    let mut state = State::default();
    let remove = vec![AccountName::try_from("nobody").unwrap()];
    let id = EditId::try_from("one").unwrap();
    let command = Command::Edit(Edit { id, base: 0, put: vec![], remove });
    let Response::Edit(EditOutcome::Invalid { why }) = state.apply(1, command) else {
        panic!("accepted");
    };
    assert!(why.contains("nobody"), "{why}");
    assert_eq!(state.catalogue().revision(), 0);
}

#[test]
fn key_is_granted_once_and_keeps_its_first_answer() {
    let mut state = State::default();
    assert_eq!(apply_claim(&mut state, 1_000, claim(1_000, 1)), ClaimOutcome::Granted);
    let again = apply_claim(&mut state, 1_000, claim(1_000, 1));
    assert_eq!(
        again,
        ClaimOutcome::Granted,
        "the same request claims again because the response was lost"
    );
    assert!(matches!(apply_claim(&mut state, 1_000, claim(1_000, 2)), ClaimOutcome::Taken(_)));
    state.apply(1_001, settle(1_000, 2));
    let ClaimOutcome::Taken(open) = apply_claim(&mut state, 1_001, claim(1_000, 3)) else {
        panic!("granted twice");
    };
    assert_eq!(open.answer, None, "only the answer of the request that holds the key counts");
    state.apply(1_002, settle(1_000, 1));
    let ClaimOutcome::Taken(done) = apply_claim(&mut state, 1_002, claim(1_000, 3)) else {
        panic!("granted twice");
    };
    assert_eq!(done.answer.unwrap().body.unwrap(), b"first");
}

#[test]
fn released_key_may_be_claimed_again_but_not_by_a_late_duplicate() {
    let mut state = State::default();
    apply_claim(&mut state, 1, claim(1, 1));
    state.apply(2, release(1, 1));
    let late = apply_claim(&mut state, 3, claim(1, 1));
    assert!(matches!(late, ClaimOutcome::Taken(_)), "nothing would release it again");
    assert_eq!(apply_claim(&mut state, 4, claim(1, 2)), ClaimOutcome::Granted);
    state.apply(5, settle(1, 2));
    state.apply(6, release(1, 2));
    let after = apply_claim(&mut state, 7, claim(1, 3));
    assert!(
        matches!(after, ClaimOutcome::Taken(_)),
        "the key of a request that ran is never released"
    );
}

#[test]
fn release_that_arrives_before_its_claim_blocks_the_claim() {
    let mut state = State::default();
    state.apply(1, release(1, 1));
    assert!(matches!(apply_claim(&mut state, 2, claim(1, 1)), ClaimOutcome::Taken(_)));
    assert_eq!(apply_claim(&mut state, 3, claim(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn claims_expire_after_retention_and_old_keys_are_refused() {
    let mut state = State::default();
    let start = RETENTION_MS * 2;
    apply_claim(&mut state, start, claim(start, 1));
    let old = apply_claim(&mut state, start, claim(start - RETENTION_MS, 2));
    assert_eq!(old, ClaimOutcome::Expired);
    let ahead = apply_claim(&mut state, start, claim(start + RETENTION_MS, 3));
    assert_eq!(ahead, ClaimOutcome::Ahead);
    assert_eq!(
        apply_claim(&mut state, start + RETENTION_MS, claim(start, 4)),
        ClaimOutcome::Expired
    );
    assert_eq!(state.claim_count(), 0, "expired claims are dropped");
    let earlier = apply_claim(&mut state, start, claim(start, 5));
    assert_eq!(earlier, ClaimOutcome::Expired, "the clock of the log never goes back");
}

#[test]
fn fencing_numbers_never_repeat() {
    let mut state = State::default();
    let mut last = 0;
    for count in [1, 10, 3] {
        let Response::Fence(start, end) = state.apply(1, Command::Fence { count }) else {
            panic!("no numbers");
        };
        assert!(start > last && end == start + count);
        last = end - 1;
    }
}

#[test]
fn decoded_snapshot_equals_its_original_and_gives_equal_responses() {
    let mut state = State::default();
    state.apply(1_000, edit("one", 0));
    apply_claim(&mut state, 1_000, claim(1_000, 1));
    state.apply(1_001, settle(1_000, 1));
    state.apply(1_002, release(900, 7));
    state.apply(1_003, Command::Fence { count: 4 });
    let mut copy = State::decode(&state.encode()).unwrap();
    assert_eq!(copy, state);
    for command in [edit("one", 0), edit("two", 0), claim(1_000, 9), claim(900, 7)] {
        assert_eq!(copy.apply(1_004, command.clone()), state.apply(1_004, command));
    }
    assert!(State::decode(b"not a snapshot").is_err());
}

#[test]
fn key_with_a_time_of_issue_at_the_top_of_its_type_lies_in_the_future() {
    let mut state = State::default();
    assert_eq!(apply_claim(&mut state, 1_000, claim(u64::MAX, 1)), ClaimOutcome::Ahead);
    // A release may arrive without a claim, and is kept until the key is too old.
    state.apply(1_000, release(u64::MAX, 1));
    assert_eq!(apply_claim(&mut state, RETENTION_MS, claim(1_000, 2)), ClaimOutcome::Granted);
}
