//! A server leaves as planned while it sends streams without a length.

use std::{
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    Verdict,
    rig::{
        Answer, KEY, Record, Rig, TENANTS, call_control, configuration, exchange, request, wait_for,
    },
    server::{Options, PIECES},
    standin::StandIn,
};

/// Time for which a server goes on serving after the ack of `draining`: `drain-ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_500);
const STREAMS: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut rig) = Rig::new(record.clone(), 2) else { return Verdict::NotRun };
    rig.start_all();
    let (controls, entries) = (rig.controls(), rig.entries());
    if call_control(&controls, "PUT", "/-/config", &configuration(1, TENANTS)).status != 200 {
        return Verdict::NotRun;
    }
    let unframed = Options { is_unframed: true, ..Options::default() };
    let mut first = StandIn::start_with(record, "i-1", (rig.server_ip(1), unframed), &controls);
    let served = wait_for(Duration::from_secs(15), || {
        entries.iter().enumerate().all(|(n, entry)| {
            let text = request("/look/a", &format!("warm-{n}"), 1_500, Some(KEY));
            exchange(*entry, &text, Duration::from_secs(2)).status == 200
        })
    });
    if !served {
        return Verdict::NotRun;
    }
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            let entry = entries[n % entries.len()];
            spawn(move || {
                let path = if n % 4 < 2 { "/manual/a" } else { "/answer/a" };
                let id = format!("stream-{n}");
                record.line(&format!("client: sends {id} {path} to {entry}"));
                let text = request(path, &id, 12_000, Some(KEY));
                let answer = exchange(entry, &text, Duration::from_secs(14));
                let pieces = answer.body.matches("data: piece").count();
                record.line(&format!(
                    "client: {id} is answered {}, {pieces} pieces of {PIECES}, {}",
                    answer.status,
                    if answer.is_complete { "ends as complete" } else { "is broken off" }
                ));
                answers.lock().unwrap().push((id, answer));
            })
        })
        .collect();
    let started = wait_for(Duration::from_secs(5), || first.said("runs stream-").len() == STREAMS);
    if !started {
        return Verdict::NotRun;
    }
    // Another server, at which a stream may be resumed.
    let _second = StandIn::start_with(record, "i-2", (rig.server_ip(2), unframed), &controls);
    sleep(Duration::from_millis(1_000));
    if trouble {
        let acked =
            first.order("drain", "draining").is_some_and(|(_, line)| line.ends_with(" 200"));
        sleep(SERVES_ON);
        let left =
            first.order("leave and exit", "left").is_some_and(|(_, line)| line.ends_with(" 200"));
        if !acked || !left {
            return Verdict::NotRun;
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let short: Vec<&String> = answers
        .iter()
        .filter(|(_, a)| a.status == 200 && a.is_complete)
        .filter(|(_, a)| !(1..=PIECES).all(|n| a.body.contains(&format!("data: piece {n} of"))))
        .map(|(id, _)| id)
        .collect();
    record.line(&format!("streams that end as complete before their last piece: {short:?}"));
    if !trouble && answers.iter().any(|(_, answer)| !answer.is_complete) {
        return Verdict::NotRun;
    }
    if short.is_empty() { Verdict::Held } else { Verdict::Broken }
}
