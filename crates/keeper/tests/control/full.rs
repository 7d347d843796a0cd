//! Disks that are full for some seconds each, one after another.

use keeper::{Answer, Call};

use crate::sim::{Sim, vm};

/// Longest time from the moment at which all disks have room until a change is acknowledged, in
/// milliseconds.
const ACK_MS: u64 = 4_000;
/// Pause between two changes of the operator, in milliseconds.
const CHANGE_MS: u64 = 250;

/// Sends a change to one VM after another, every [`CHANGE_MS`], for some time. Returns the newest
/// version that was acknowledged.
fn change_for(sim: &mut Sim, ms: u64, version: &mut u64, calls: &mut Vec<(u64, u64)>) {
    for _ in 0..ms / CHANGE_MS {
        *version += 1;
        let names = sim.names();
        let to = names[usize::try_from(sim.draw(names.len() as u64)).unwrap()].clone();
        let mut to = Some(to);
        // A redirect is followed once.
        for attempt in 0..2 {
            let Some(vm) = to.take() else { break };
            let call_id = 10 * *version + attempt;
            let document = format!("plan {version}").into_bytes().into();
            sim.call(&vm, call_id, Call::Replace { version: *version, document });
            calls.push((call_id, *version));
            sim.run(CHANGE_MS / 2);
            if let Some(Answer::Redirect(leader)) = sim.answers.get(&call_id) {
                to = Some(leader.clone());
            }
        }
    }
}

fn newest_acknowledged(sim: &Sim, calls: &[(u64, u64)]) -> u64 {
    let done =
        calls.iter().filter(|(id, _)| matches!(sim.answers.get(id), Some(Answer::Done { .. })));
    done.map(|(_, version)| *version).max().unwrap_or(0)
}

/// Guards against changes that are refused or not answered long after the last of some disks, which
/// were full one after another, has room again.
#[test]
fn changes_are_acknowledged_again_after_disks_were_full_one_after_another() {
    for (count, losses) in [(3, 1), (5, 2), (6, 2)] {
        for seed in 1..=16 {
            let seeds: Vec<u64> = (1..=3).collect();
            let mut sim = Sim::new(seed * 7_901, &seeds, losses);
            (1..=count).for_each(|n| sim.start(n, n <= 3));
            assert!(sim.replace(1), "seed {seed}");
            sim.run(8_000);
            let (mut version, mut calls) = (1, Vec::new());
            let mut restarted = None;
            for _ in 0..3 * count {
                // The leader's disk, or that of any VM.
                let leader = sim.leader().filter(|_| seed % 2 == 0);
                let n = (1..=count).find(|n| Some(vm(*n)) == leader);
                let n = n.unwrap_or_else(|| 1 + sim.draw(count));
                sim.fill(n);
                let time = 500 + sim.draw(5_000);
                change_for(&mut sim, time, &mut version, &mut calls);
                if sim.draw(6) == 0 && restarted.is_none() {
                    sim.kill(n);
                    sim.make_room(n);
                    sim.start(n, false);
                    restarted = Some(n);
                } else {
                    sim.make_room(n);
                }
                // The next disk is full at once, or after a pause.
                if sim.draw(2) == 0 {
                    let pause = sim.draw(2_000);
                    change_for(&mut sim, pause, &mut version, &mut calls);
                }
            }
            let before = newest_acknowledged(&sim, &calls);
            assert!(before > 1, "{count} VMs, seed {seed}: nothing was acknowledged meanwhile");
            let sent = version;
            change_for(&mut sim, ACK_MS, &mut version, &mut calls);
            let after = newest_acknowledged(&sim, &calls);
            assert!(after > sent, "{count} VMs, seed {seed}: {after} of {sent} to {version}");
            assert!(sim.read() >= Some(after), "{count} VMs, seed {seed}");
        }
    }
}
