//! Callers that leave between a grant and its dispatch, and calls whose outcome is not known in time.

mod common;

use control::{Answer, Input};
use model::{Edit, Entry, RawEntry, RequestId, Span, Ticket, Tier};
use state::Command;

use crate::common::{Cluster, VMS, vm};

/// Slots of the servers that the cluster announces.
const SLOTS: u128 = 16;

fn entry() -> Entry {
    let raw = RawEntry {
        account: "north-workshop".into(),
        tier: 0,
        services: vec!["loom-model".into()],
        rate: 1_000_000,
        concurrent: 1_000_000,
        tokens: 1_000_000_000,
        credential: model::digest(b"key"),
    };
    raw.try_into().unwrap()
}

fn ticket(n: u128) -> Ticket {
    Ticket {
        request: RequestId::from(n),
        account: "north-workshop".try_into().unwrap(),
        service: "loom-model".try_into().unwrap(),
        tier: Tier::HIGHEST,
        budget: Span::from_secs(2),
        prompt: 100,
        answer: 1,
        prefix: 0,
        cancellable: false,
    }
}

/// Starts a cluster with an account and servers.
fn start() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.run(5_000);
    let id = "first".try_into().unwrap();
    let edit = Edit { id, base: 0, put: vec![entry()], remove: vec![] };
    cluster.input(0, Input::Propose { call: 1, command: Command::Edit(edit) });
    cluster.run(2_000);
    cluster
}

/// The caller left before it read that its request was granted.
#[test]
fn slots_of_granted_requests_whose_callers_left_are_free_at_once() {
    let mut cluster = start();
    for n in 0..SLOTS {
        cluster.input(0, Input::Submit { ticket: ticket(n) });
    }
    cluster.run(100);
    assert_eq!(cluster.granted.len(), 16);
    for n in 0..SLOTS {
        cluster.input(0, Input::Abandon { request: RequestId::from(n) });
    }
    for n in SLOTS..SLOTS + SLOTS {
        cluster.input(0, Input::Submit { ticket: ticket(n) });
    }
    cluster.run(100);
    assert_eq!(cluster.granted.len(), 32, "the slots of requests that nobody waits for are used");
}

#[test]
fn change_of_voters_that_may_still_commit_is_not_called_without_effect() {
    for node in 0..VMS {
        let mut cluster = start();
        cluster.isolated = Some(node);
        // It may be the leader, which appends the change and commits it later.
        cluster.input(node, Input::ReplaceVoter { call: 7, old: Some(vm(2)), new: None });
        cluster.run(15_000);
        let answer = cluster.answers.get(&7).expect("an answer");
        assert_ne!(*answer, Answer::NoQuorum, "VM {node}");
    }
}
