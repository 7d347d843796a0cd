//! All processes are killed at the same moment, after a departure was acknowledged and while a heartbeat
//! that was sent before it is still on its way.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    rig::{KEY, Record, Rig, TENANTS, call_control, configuration, exchange, request, wait_for},
    standin::StandIn,
};

/// `drain-ms`, in seconds.
const DRAIN_S: f64 = 2.0;
/// `contact-ms`, in seconds.
const CONTACT_S: f64 = 3.0;
/// Time after the kill after which the processes are back.
const DOWN: Duration = Duration::from_millis(500);
/// Time after the ack at which the late heartbeat arrives. By then, all machines are in touch again.
const LATE: Duration = Duration::from_millis(4_500);
/// Time after the ack for which the server goes on serving.
const SERVES_ON: Duration = Duration::from_millis(8_000);
const CLIENTS: usize = 12;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut rig) = Rig::new(record.clone(), 2) else { return Verdict::NotRun };
    rig.start_all();
    let (controls, entries) = (rig.controls(), rig.entries());
    if call_control(&controls, "PUT", "/-/config", &configuration(1, TENANTS)).status != 200 {
        return Verdict::NotRun;
    }
    let mut leaving = StandIn::start(record, "i-1", rig.server_ip(1), &controls);
    let staying = StandIn::start(record, "i-2", rig.server_ip(2), &controls);
    let served = wait_for(Duration::from_secs(15), || {
        entries.iter().enumerate().all(|(n, entry)| {
            let text = request("/look/a", &format!("warm-{n}"), 1_500, Some(KEY));
            exchange(*entry, &text, Duration::from_secs(2)).status == 200
        })
    });
    // All machines are in touch from here on.
    sleep(Duration::from_secs_f64(CONTACT_S + 0.5));
    if !served || leaving.order("beat late", "sent").is_none() {
        return Verdict::NotRun;
    }
    sleep(Duration::from_millis(200));
    let Some((acked, line)) = leaving.order("leave", "left") else { return Verdict::NotRun };
    if !line.ends_with(" 200") {
        return Verdict::NotRun;
    }
    let since = Instant::now();
    sleep(Duration::from_millis(300));
    let mut back = 0.0;
    if trouble {
        rig.kill_all();
        sleep(DOWN);
        rig.write_settings(false);
        rig.start_all();
        back = record.now();
    }
    sleep(LATE.saturating_sub(since.elapsed()));
    if leaving.order("arrive", "arrived").is_none() {
        return Verdict::NotRun;
    }
    let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (sent, answered) = (Arc::clone(&sent), Arc::clone(&answered));
            let entry = entries[client % entries.len()];
            spawn(move || {
                while since.elapsed() < SERVES_ON {
                    let id = format!("order-{}", sent.fetch_add(1, Ordering::SeqCst));
                    let text = request("/order/a", &id, 1_500, Some(KEY));
                    let answer = exchange(entry, &text, Duration::from_secs(2));
                    answered.fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (sent, answered) = (sent.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    let from = (acked + DRAIN_S).max(back + CONTACT_S);
    let late: Vec<(f64, String)> =
        leaving.said("runs order-").into_iter().filter(|(at, _)| *at > from).collect();
    record.line(&format!(
        "clients: {sent} requests sent, {answered} answered 200; {} ran at i-2",
        staying.said("runs order-").len()
    ));
    record.line(&format!(
        "the departure of i-1 was acknowledged at {acked:.3}; all machines are in touch from {:.3}; \
         requests that ran at i-1 after {from:.3}: {}",
        back + CONTACT_S,
        late.len()
    ));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
