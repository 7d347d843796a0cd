//! Late and reordered announcements, reused ids and addresses, and the durability of departures.

use crate::sim::{Sim, server, vm};
use keeper::{Answer, Call, Phase, Registry, ServerStatus, Spending, Sync};
use model::{Span, Time};

fn now(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn phase_of(registry: &Registry, id: &str) -> Option<Phase> {
    registry.get(&id.try_into().unwrap()).map(|s| s.phase)
}

/// The poll of an entry VM that knows nothing yet.
fn sync(incarnation: u64) -> Sync {
    Sync {
        incarnation,
        zone: "zone-0".try_into().unwrap(),
        stopping: false,
        plan: 0,
        registry: (0, 0),
        spent: Spending::default(),
        starting: false,
    }
}

#[test]
fn a_starting_vm_learns_of_vms_that_are_stopping() {
    let mut sim = Sim::new(1, &[1], 0);
    sim.start(1, true);
    sim.run(1_000);
    let stopping = Sync { stopping: true, ..sync(1) };
    sim.call(&vm(1), 1, Call::Sync { from: vm(8), sync: stopping });
    sim.run(100);
    sim.call(&vm(1), 2, Call::Sync { from: vm(9), sync: sync(2) });
    sim.run(500);
    let Answer::Synced(synced) = &sim.answers[&2] else {
        panic!("not answered");
    };
    let listed: Vec<_> = synced.entries.iter().map(|(vm, _)| vm.clone()).collect();
    assert_eq!(listed, [vm(8), vm(9)]);
}

#[test]
fn a_late_announcement_is_ignored() {
    let mut registry = Registry::default();
    let at = now(10_000);
    registry.merge(at, Span::ZERO, &server("a", 5, 9, Phase::Draining));
    registry.merge(at, Span::ZERO, &server("a", 5, 3, Phase::Serving));
    assert_eq!(phase_of(&registry, "a"), Some(Phase::Draining));
    registry.leave(&"a".try_into().unwrap(), None);
    registry.merge(at, Span::ZERO, &server("a", 5, 10, Phase::Serving));
    assert_eq!(phase_of(&registry, "a"), Some(Phase::Gone));
    // Another process with the same id restarts its sequence numbers.
    registry.merge(at, Span::ZERO, &server("a", 6, 1, Phase::Serving));
    assert_eq!(phase_of(&registry, "a"), Some(Phase::Serving));
    registry.merge(at, Span::ZERO, &server("a", 5, 11, Phase::Serving));
    assert_eq!(registry.get(&"a".try_into().unwrap()).unwrap().born, 6);
}

#[test]
fn the_younger_process_keeps_the_address() {
    for order in [["a", "b"], ["b", "a"]] {
        let mut registry = Registry::default();
        for id in order {
            let born = if id == "a" { 5 } else { 6 };
            registry.merge(now(10_000), Span::ZERO, &server(id, born, 1, Phase::Serving));
        }
        assert_eq!(phase_of(&registry, "a"), Some(Phase::Gone), "{order:?}");
        assert_eq!(phase_of(&registry, "b"), Some(Phase::Serving), "{order:?}");
    }
}

#[test]
fn readers_receive_changes_since_their_revision() {
    let mut registry = Registry::default();
    registry.merge(now(10_000), Span::ZERO, &server("a", 5, 1, Phase::Serving));
    let revision = registry.revision();
    registry.merge(now(10_100), Span::ZERO, &server("a", 5, 2, Phase::Serving));
    assert_eq!(registry.changed_since(revision).count(), 0, "a repeated heartbeat is no change");
    registry.expire(now(20_000), Span::from_secs(4));
    let changed: Vec<ServerStatus> = registry.changed_since(revision).collect();
    assert!(changed.len() == 1 && changed[0].silent);
}

#[test]
fn a_departure_is_acknowledged_only_when_a_majority_stores_it() {
    for seed in 1..20 {
        let mut sim = Sim::new(seed, &[1, 2, 3], 1);
        for n in 1..=3 {
            sim.start(n, true);
        }
        sim.run(3_000);
        sim.call(&vm(1), 1, Call::Announce { server: server("a", 5, 1, Phase::Serving) });
        sim.run(600);
        // The isolated VM cannot get a majority to store the departure.
        sim.isolate(1);
        sim.call(&vm(1), 2, Call::Announce { server: server("a", 5, 2, Phase::Draining) });
        sim.run(1_500);
        assert!(matches!(sim.answers[&2], Answer::Unavailable(_)), "seed {seed}");
        sim.heal();
        sim.call(&vm(1), 3, Call::Announce { server: server("a", 5, 3, Phase::Draining) });
        sim.run(900);
        assert_eq!(sim.answers[&3], Answer::Done { version: 0 }, "seed {seed}");
        // The acknowledged departure survives the immediate loss of that VM.
        sim.wipe(1);
        sim.run(500);
        let sync = sync(1);
        let mut listed = 0;
        for (call_id, n) in [(4, 2), (5, 3)] {
            sim.call(&vm(n), call_id, Call::Sync { from: vm(9), sync: sync.clone() });
            sim.run(500);
            if let Answer::Synced(synced) = &sim.answers[&call_id] {
                listed +=
                    synced.servers.iter().filter(|l| l.server.phase == Phase::Draining).count();
            }
        }
        assert!(listed >= 1, "seed {seed}: no remaining VM knows the departure");
    }
}
