//! One core machine's process is killed while the whole system starts for the first time.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    rig::{KEY, Record, Rig, TENANTS, call_one, configuration, exchange, request},
    standin::StandIn,
};

/// Time after the first machine's start at which the others start.
const STAGGER: Duration = Duration::from_millis(300);
/// Time after the first machine's start at which its process is killed.
const KILL_AFTER: Duration = Duration::from_millis(250);
/// Delay until a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which the operator and the clients try.
const PATIENCE: Duration = Duration::from_secs(45);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut rig) = Rig::new(record.clone(), 2) else { return Verdict::NotRun };
    let (controls, entries) = (rig.controls(), rig.entries());
    let start = Instant::now();
    rig.start(0);
    record.line(&format!("platform: the core machine {} is started", rig.ip(0)));
    sleep(KILL_AFTER.saturating_sub(start.elapsed()));
    if trouble {
        rig.kill(0);
        record.line(&format!("platform: the process of {} is killed", rig.ip(0)));
        // Only the start of the whole system is a bootstrap.
        rig.write_settings_of(0, false);
    }
    sleep(STAGGER.saturating_sub(start.elapsed()));
    for n in 1..controls.len() + entries.len() {
        rig.start(n);
    }
    record.line("platform: the other machines are started");
    if trouble {
        sleep((KILL_AFTER + RESTART_DELAY).saturating_sub(start.elapsed()));
        rig.start(0);
        record.line(&format!("platform: the process of {} is started again", rig.ip(0)));
    }
    let server = StandIn::start(record, "i-1", rig.server_ip(1), &controls);
    let (mut acked, mut tries, mut sent, mut answered) = (None, 0, 0, 0);
    while start.elapsed() < PATIENCE && answered < 10 {
        if acked.is_none() {
            let control = controls[tries % controls.len()];
            let answer = call_one(control, "PUT", "/-/config", &configuration(1, TENANTS));
            tries += 1;
            acked = (answer.status == 200).then(|| record.now());
            record.line(&format!(
                "operator: version 1 at {control} is answered {} {}",
                answer.status, answer.body
            ));
        }
        let entry = entries[sent % entries.len()];
        let text = request("/look/a", &format!("look-{sent}"), 1_500, Some(KEY));
        let status = exchange(entry, &text, Duration::from_secs(2)).status;
        record.line(&format!("client: look-{sent} is answered {status}"));
        answered += usize::from(status == 200);
        sent += 1;
        sleep(Duration::from_millis(300));
    }
    record.line(&format!(
        "configuration acknowledged: {acked:?}; {sent} requests sent, {answered} served, {} run",
        server.said("runs look-").len()
    ));
    if answered > 0 { Verdict::Held } else { Verdict::Broken }
}
