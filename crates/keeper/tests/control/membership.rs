//! Founding the log, joining it and replacing voters, and the durability of plans meanwhile.

use crate::sim::{Sim, vm};

#[test]
fn seeds_that_start_late_are_discovered() {
    for seed in 1..20 {
        let mut sim = Sim::new(seed, &[1, 2, 3], 2);
        // The other VMs run and send heartbeats in vain before any seed starts.
        for n in [4, 5, 6] {
            sim.start(n, true);
        }
        sim.run(1_000);
        for n in [3, 1, 2] {
            sim.start(n, true);
            sim.run(100);
        }
        sim.run(8_000);
        let voters = sim.keeper(1).raft().unwrap().voters().len();
        assert_eq!(voters, 5, "seed {seed}: two disks may be lost, so five replicas vote");
        assert!(sim.replace(7));
    }
}

#[test]
fn a_replacement_vm_takes_the_lost_voters_place() {
    for seed in 1..20 {
        let mut sim = founded(seed);
        assert!(sim.replace(1));
        sim.kill(2);
        sim.run(500);
        sim.set_seeds(&[1, 3]);
        sim.start(7, false);
        sim.run(4_000);
        let leader = sim.leader().expect("two of three voters keep a leader");
        let keeper = sim.names().iter().position(|n| *n == leader);
        assert!(keeper.is_some());
        let voters = sim.keeper(7).raft().expect("joined").voters().clone();
        let names: Vec<_> = voters.iter().map(|m| m.vm.clone()).collect();
        assert_eq!(names, [vm(1), vm(3), vm(7)], "seed {seed}");
        // The new replica votes, so one of the old ones can be lost now.
        sim.kill(1);
        sim.run(2_500);
        assert_eq!(sim.read(), Some(1), "seed {seed}");
    }
}

#[test]
fn a_disk_lost_after_the_acknowledgement_loses_nothing() {
    for seed in 1..40 {
        let mut sim = founded(seed);
        assert!(sim.replace(5));
        let victim = 1 + seed % 3;
        sim.wipe(victim);
        for n in (1..=3).filter(|n| *n != victim) {
            sim.kill(n);
        }
        sim.run(700);
        for n in 1..=3 {
            sim.start(n, false);
        }
        sim.run(3_000);
        assert_eq!(sim.read(), Some(5), "seed {seed}: VM {victim} lost its disk");
    }
}

#[test]
fn all_vms_killed_at_once_recover_within_two_seconds() {
    for seed in 1..40 {
        let mut sim = founded(seed);
        assert!(sim.replace(5));
        for n in 1..=3 {
            sim.kill(n);
        }
        sim.run(800);
        for n in 1..=3 {
            sim.start(n, false);
        }
        sim.run(2_000);
        assert_eq!(sim.read(), Some(5), "seed {seed}");
    }
}

/// Guards against losing an acknowledged plan: VMs are killed, isolated or lose their disk, one
/// disk at a time, and every read must return the last acknowledged version or a later one.
#[test]
fn random_failures_never_revert_a_plan() {
    let mut steps = 0;
    let start = std::time::Instant::now();
    for seed in 1..60 {
        let mut sim = founded(seed);
        sim.set_lossy(true);
        let mut acknowledged = 0;
        for version in 1..12 {
            match sim.draw(6) {
                0 => {
                    let n = 1 + sim.draw(3);
                    sim.kill(n);
                    sim.run(300);
                    sim.start(n, false);
                }
                1 => {
                    let n = 1 + sim.draw(3);
                    sim.isolate(n);
                    sim.run(1_500);
                }
                2 => {
                    let n = 1 + sim.draw(3);
                    sim.wipe(n);
                    sim.start(n, false);
                    sim.run(4_000);
                }
                3 => {
                    for n in 1..=3 {
                        sim.kill(n);
                    }
                    sim.run(500);
                    for n in 1..=3 {
                        sim.start(n, false);
                    }
                }
                _ => {}
            }
            if sim.replace(version) {
                acknowledged = version;
            }
            sim.heal();
            sim.run(3_000);
            let read = sim.read().unwrap_or_else(|| panic!("seed {seed}: no VM answers a read"));
            assert!(read >= acknowledged, "seed {seed}: {read} is older than {acknowledged}");
        }
        steps += sim.now;
    }
    let rate = f64::from(u32::try_from(steps / 1_000).unwrap()) / start.elapsed().as_secs_f64();
    println!("{rate:.0} simulated seconds per second");
}

fn founded(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, &[1, 2, 3], 1);
    for n in 1..=3 {
        sim.start(n, true);
    }
    sim.run(3_000);
    assert!(sim.leader().is_some(), "seed {seed}: no leader after three seconds");
    sim
}
