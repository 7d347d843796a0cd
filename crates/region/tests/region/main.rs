//! Simulated entry VMs that share the servers of a service, both without faults and while VMs
//! crash, stall, are partitioned and lose datagrams.

mod random;
mod sim;

use model::Span;

use crate::sim::{SERVERS, SLOTS, Sim};

/// Time within which VMs that start together agree on a home.
const HOME_AGREED: Span = Span::from_millis(400);
/// Longest round trip between two VMs without faults.
const ROUND_TRIP: Span = Span::from_millis(3);
/// Time within which requests have moved from a home that is about to stop: a tick, the interval of
/// the selection, and the time for which the new home waits for reports.
const HANDOVER_TIME: Span = Span::from_millis(150);
/// Time within which the requests of a failed home have moved to another one.
const FAILOVER_TIME: Span = Span::from_millis(450);

#[test]
fn servers_get_at_most_their_slots_whichever_vm_a_request_arrives_at() {
    let mut sim = Sim::start(8, 1);
    sim.advance(HOME_AGREED);
    for n in 0..400 {
        sim.submit(n % 8, u8::try_from(n % 3).unwrap());
        if n % 20 == 0 {
            sim.advance(Span::from_millis(1));
        }
    }
    sim.advance(Span::from_millis(20));
    assert_eq!(sim.excess(), 0, "no server gets more than its slots");
    assert_eq!(sim.running(), SERVERS * SLOTS, "every slot is used");
    sim.drain();
    assert_eq!((sim.most_excess, sim.undecided()), (0, 0));
}

#[test]
fn a_lower_tier_waits_for_a_higher_tier_of_another_vm() {
    let mut sim = Sim::start(6, 2);
    sim.advance(HOME_AGREED);
    for n in 0..200 {
        // The lower tier is submitted first, and at other VMs.
        sim.submit(n % 3, 2);
    }
    sim.advance(Span::from_millis(20));
    for n in 0..100 {
        sim.submit(3 + n % 3, 0);
    }
    sim.advance(ROUND_TRIP);
    let before = sim.granted().len();
    sim.drain();
    let after = &sim.granted()[before..];
    let last_high = after.iter().filter(|(_, tier)| *tier == 0).map(|(at, _)| *at).max().unwrap();
    let first_low = after.iter().find(|(_, tier)| *tier == 2).map(|(at, _)| *at).unwrap();
    // The home's own grants take effect at once, those of other VMs after a message.
    assert!(first_low + ROUND_TRIP >= last_high, "{after:?}");
    assert!(first_low - after[0].0 > Span::from_millis(60), "the higher tier waits too");
}

#[test]
fn requests_survive_the_failure_of_their_home() {
    let mut sim = Sim::start(5, 3);
    sim.advance(HOME_AGREED);
    let home = sim.home(0);
    let others: Vec<usize> = (0..5).filter(|n| *n != home).collect();
    for n in 0..200 {
        sim.submit(others[n % 4], 1);
    }
    sim.advance(Span::from_millis(10));
    let before = sim.granted().len();
    sim.crash(home);
    sim.advance(FAILOVER_TIME);
    assert!(sim.granted().len() > before, "another VM grants");
    sim.drain();
    assert_eq!(sim.undecided(), 0);
    assert_eq!(sim.most_excess, 0, "the new home knows the running requests");
}

#[test]
fn requests_move_at_once_from_a_home_that_is_about_to_stop() {
    let mut sim = Sim::start(5, 4);
    sim.advance(HOME_AGREED);
    let home = sim.home(0);
    for n in 0..200 {
        sim.submit(n % 5, 1);
    }
    sim.advance(Span::from_millis(10));
    sim.announce_stop(home);
    sim.advance(Span::from_millis(200));
    assert!((0..5).all(|vm| sim.home(vm) != home), "all have another home");
    sim.drain();
    assert_eq!((sim.most_excess, sim.undecided()), (0, 0));
}

/// Keeps more requests waiting than servers can run, and returns the number granted in `time`.
fn granted_under_overload(sim: &mut Sim, vms: &[usize], time: Span) -> usize {
    let (before, end) = (sim.granted().len(), sim.now + time);
    let mut next = 0;
    while sim.now < end {
        while sim.undecided() < 2 * SERVERS * SLOTS {
            sim.submit(vms[next % vms.len()], 1);
            next += 1;
        }
        sim.advance(Span::from_millis(1));
    }
    sim.granted().len() - before
}

#[test]
fn slots_are_granted_again_soon_after_a_planned_change_of_home() {
    let mut sim = Sim::start(6, 8);
    sim.advance(HOME_AGREED);
    let home = sim.home(0);
    let vms: Vec<usize> = (0..6).collect();
    let before = granted_under_overload(&mut sim, &vms, Span::from_millis(800));
    sim.announce_stop(home);
    granted_under_overload(&mut sim, &vms, HANDOVER_TIME);
    let after = granted_under_overload(&mut sim, &vms, Span::from_millis(800));
    assert!(10 * after >= 9 * before, "{after} grants after the change, {before} before");
    sim.drain();
    assert_eq!((sim.most_excess, sim.undecided()), (0, 0));
}

#[test]
fn a_home_counts_each_request_in_flight_once() {
    let mut sim = Sim::start(6, 10);
    sim.advance(HOME_AGREED);
    let vms: Vec<usize> = (0..6).collect();
    let first_home = sim.home(0);
    granted_under_overload(&mut sim, &vms, Span::from_millis(200));
    sim.announce_stop(first_home);
    granted_under_overload(&mut sim, &vms, Span::from_millis(400));
    let (home, all) = (sim.home(0), u32::try_from(SERVERS * SLOTS).unwrap());
    let usage = sim.slot_usage(home);
    assert_eq!((usage.slots, usage.running + usage.free, usage.reported), (all, all, 0));
    assert!(usage.waiting[1] > 0);
    assert_eq!(sim.slot_usage(first_home).running, 0, "its requests have been handed over");
}

#[test]
fn slots_of_a_former_home_are_used_while_vms_disagree_about_the_home() {
    let mut sim = Sim::start(6, 9);
    sim.advance(HOME_AGREED);
    let vms: Vec<usize> = (0..6).collect();
    let first_home = sim.home(0);
    granted_under_overload(&mut sim, &vms, Span::from_millis(200));
    sim.announce_stop(first_home);
    granted_under_overload(&mut sim, &vms, HANDOVER_TIME);
    let home = sim.home(0);
    // One VM does not hear from the home that the others have selected.
    let other = vms.iter().copied().find(|n| ![home, first_home].contains(n)).unwrap();
    sim.block_gossip(home, other);
    granted_under_overload(&mut sim, &vms, Span::from_secs(2));
    assert_ne!(sim.home(other), home);
    let (all, steps) = (SERVERS * SLOTS, 500);
    let mut idle = 0;
    for _ in 0..steps {
        granted_under_overload(&mut sim, &vms, Span::from_millis(1));
        idle += all.saturating_sub(sim.running());
    }
    assert!(10 * idle <= all * steps, "{} of {all} slots are idle", idle / steps);
}

#[test]
fn each_side_of_a_partition_has_a_home() {
    let mut sim = Sim::start(6, 5);
    sim.advance(HOME_AGREED);
    sim.partition(&[0, 1]);
    sim.advance(Span::from_millis(1_000));
    for n in 0..60 {
        sim.submit(n % 6, 1);
    }
    sim.advance(Span::from_millis(10));
    sim.drain();
    assert_eq!(sim.undecided(), 0, "both sides serve requests");
    sim.heal();
    sim.advance(Span::from_millis(1_000));
    let homes: Vec<usize> = (0..6).map(|vm| sim.home(vm)).collect();
    assert!(homes.iter().all(|h| *h == homes[0]), "one home again: {homes:?}");
}

#[test]
fn an_isolated_vm_serves_its_own_requests() {
    let mut sim = Sim::start(3, 6);
    sim.advance(HOME_AGREED);
    sim.partition(&[2]);
    sim.advance(Span::from_millis(1_000));
    sim.submit(2, 0);
    sim.advance(Span::from_millis(10));
    assert_eq!(sim.granted().len(), 1);
}

#[test]
fn a_grant_of_a_server_known_to_be_leaving_is_rejected() {
    let mut sim = Sim::start(3, 7);
    sim.advance(HOME_AGREED);
    let home = sim.home(0);
    let vm = (0..3).find(|n| *n != home).unwrap();
    // Only this VM knows; the home still grants these servers.
    for server in 1..SERVERS {
        sim.mark_leaving(vm, server);
    }
    for _ in 0..SLOTS {
        sim.submit(vm, 0);
    }
    sim.advance(Span::from_millis(30));
    assert_eq!(sim.running_at(0), SLOTS);
    assert_eq!(sim.running(), SLOTS);
}

/// Limit that servers name, in requests a second, and the window in which requests are counted.
const LIMIT: usize = 5;
const LIMIT_WINDOW: Span = Span::from_secs(4);

/// Returns the number of requests that a server may get in the window: one and a half times what its
/// limit allows, and 5.
fn max_arrivals(limit: usize) -> usize {
    limit * 4 * 3 / 2 + 5
}

fn name_limit(sim: &mut Sim, limit: usize) {
    sim.limit = Some(f64::from(u32::try_from(limit).unwrap()));
}

#[test]
fn a_limited_server_gets_no_more_than_its_limit_while_its_home_changes_or_is_disputed() {
    type Trouble = fn(&mut Sim, usize);
    let troubles: [(&str, Trouble); 6] = [
        ("none", |_, _| {}),
        ("planned stop", |sim, home| sim.announce_stop(home)),
        ("crash", |sim, home| sim.crash(home)),
        ("restart", |sim, home| {
            sim.crash(home);
            sim.restart(home);
        }),
        ("two VMs do not hear of the home", |sim, home| {
            sim.announce_stop(home);
            granted_under_overload(sim, &[0, 1, 2, 3, 4, 5], HANDOVER_TIME);
            let next = sim.home((home + 1) % 6);
            let others: Vec<usize> = (0..6).filter(|n| ![home, next].contains(n)).collect();
            sim.block_gossip(next, others[0]);
            sim.block_gossip(next, others[1]);
        }),
        ("messages are lost", |sim, _| sim.loss = 0.2),
    ];
    for (name, trouble) in troubles {
        let mut sim = Sim::start(6, 12);
        sim.advance(HOME_AGREED);
        let vms: Vec<usize> = (0..6).collect();
        name_limit(&mut sim, LIMIT);
        granted_under_overload(&mut sim, &vms, Span::from_secs(2));
        let (from, home) = (sim.now, sim.home(0));
        trouble(&mut sim, home);
        let live: Vec<usize> = vms.iter().copied().filter(|n| sim.is_alive(*n)).collect();
        let granted = granted_under_overload(&mut sim, &live, Span::from_secs(6));
        let most = sim.most_arrivals(&vms, from, LIMIT_WINDOW);
        assert!(most <= max_arrivals(LIMIT), "{name}: {most} in 4 s");
        assert!(granted * 10 >= 8 * LIMIT * 6 * SERVERS, "{name}: {granted} granted in 6 s");
        sim.limit = None;
        granted_under_overload(&mut sim, &live, Span::from_secs(2));
        let granted = granted_under_overload(&mut sim, &live, Span::from_secs(1));
        assert!(granted > SERVERS * 20, "{name}: {granted} in a second after the limit ended");
    }
}

#[test]
fn each_side_of_a_partition_keeps_the_limit_and_both_together_after_it() {
    let mut sim = Sim::start(6, 13);
    sim.advance(HOME_AGREED);
    let vms: Vec<usize> = (0..6).collect();
    name_limit(&mut sim, LIMIT);
    granted_under_overload(&mut sim, &vms, Span::from_secs(2));
    let from = sim.now;
    sim.partition(&[0, 1]);
    granted_under_overload(&mut sim, &vms, Span::from_secs(6));
    for side in [&vms[..2], &vms[2..]] {
        let most = sim.most_arrivals(side, from, LIMIT_WINDOW);
        assert!(most <= max_arrivals(LIMIT), "{side:?}: {most} in 4 s");
    }
    sim.heal();
    granted_under_overload(&mut sim, &vms, Span::from_secs(1));
    let from = sim.now;
    granted_under_overload(&mut sim, &vms, Span::from_secs(5));
    let most = sim.most_arrivals(&vms, from, LIMIT_WINDOW);
    assert!(most <= max_arrivals(LIMIT), "{most} in 4 s after the partition");
}

#[test]
fn a_limit_that_changes_is_kept_from_then_on() {
    let mut sim = Sim::start(6, 14);
    sim.advance(HOME_AGREED);
    let vms: Vec<usize> = (0..6).collect();
    for limit in [8, 2, 5] {
        name_limit(&mut sim, limit);
        granted_under_overload(&mut sim, &vms, Span::from_secs(2));
        let from = sim.now;
        let granted = granted_under_overload(&mut sim, &vms, Span::from_secs(5));
        let most = sim.most_arrivals(&vms, from, LIMIT_WINDOW);
        assert!(most <= max_arrivals(limit), "{limit} a second: {most} in 4 s");
        assert!(granted * 10 >= 8 * limit * 5 * SERVERS, "{limit} a second: {granted} in 5 s");
    }
}

#[test]
fn requests_are_decided_while_20_of_117_vms_stop_in_turn() {
    const VMS: usize = 117;
    let mut sim = Sim::start(VMS, 13);
    sim.advance(HOME_AGREED);
    let mut stopped = Vec::new();
    for n in 0..20 {
        // Every fourth one is the home.
        let home = sim.home(VMS - 1);
        let stopping = if n % 4 == 0 { home } else { n };
        sim.announce_stop(stopping);
        for request in 0..16 {
            let vm = (request * 7 + n) % VMS;
            if !stopped.contains(&vm) {
                sim.submit(vm, 1);
            }
            sim.submit(stopping, 0);
            sim.advance(Span::from_millis(5));
        }
        sim.advance(Span::from_millis(150));
        assert_eq!(sim.undecided(), 0, "before VM {stopping} ends");
        sim.crash(stopping);
        stopped.push(stopping);
    }
    sim.drain();
    assert_eq!((sim.most_excess, sim.undecided()), (0, 0));
}
