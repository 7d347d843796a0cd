//! One model server of seven turns slow, and works on at requests whose channel was closed.

use std::{
    collections::BTreeMap,
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    Verdict,
    rig::{KEY, Record, Rig, TENANTS, call_control, configuration, exchange, request, wait_for},
    server::Options,
    standin::StandIn,
};

const SERVERS: u8 = 7;
const REQUESTS: usize = 28;
/// Time until the first piece at a server of usual speed.
const USUAL: Duration = Duration::from_millis(900);
/// Factor by which the slow server takes longer.
const SLOWNESS: u32 = 4;
/// Time after which the server before may no longer work, in seconds.
const OVERLAP_S: f64 = 0.4;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut rig) = Rig::new(record.clone(), 2) else { return Verdict::NotRun };
    rig.start_all();
    let (controls, entries) = (rig.controls(), rig.entries());
    if call_control(&controls, "PUT", "/-/config", &configuration(1, TENANTS)).status != 200 {
        return Verdict::NotRun;
    }
    let servers: Vec<StandIn> = (1..=SERVERS)
        .map(|n| {
            let first = if trouble && n == 1 { USUAL * SLOWNESS } else { USUAL };
            let options = Options { first, works_on: true, ..Options::default() };
            let place = (rig.server_ip(n), options);
            StandIn::start_with(record, &format!("i-{n}"), place, &controls)
        })
        .collect();
    let served = wait_for(Duration::from_secs(15), || {
        entries.iter().enumerate().all(|(n, entry)| {
            let text = request("/look/a", &format!("warm-{n}"), 1_500, Some(KEY));
            exchange(*entry, &text, Duration::from_secs(2)).status == 200
        })
    });
    // All machines are in touch from here on, and know all servers.
    sleep(Duration::from_millis(3_500));
    if !served {
        return Verdict::NotRun;
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, entry) = (record.clone(), entries[n % entries.len()]);
            spawn(move || {
                let id = format!("stream-{n}");
                let text = request("/manual/a", &id, 15_000, Some(KEY));
                let text = text.replacen("\r\n", "\r\nX-Token-Counts: 6610,384\r\n", 1);
                let answer = exchange(entry, &text, Duration::from_secs(16));
                record.line(&format!("client: {id} is answered {}", answer.status));
                answer.is_complete
            })
        })
        .collect();
    let whole =
        clients.into_iter().map(std::thread::JoinHandle::join).filter(|r| matches!(r, Ok(true)));
    let whole = whole.count();
    // A server that works on may take longer than the clients waited.
    sleep(Duration::from_millis(1_000));
    // When each server began and ended its work at each request.
    let mut work: BTreeMap<String, Vec<(usize, f64, f64)>> = BTreeMap::new();
    for (n, server) in servers.iter().enumerate() {
        for (began, line) in server.said("runs stream-") {
            let Some(id) = line.split(' ').nth(1) else { continue };
            let made = server.said(&format!("made {id} "));
            let ended = made.last().map_or(began, |(at, _)| *at);
            work.entry(id.to_owned()).or_default().push((n + 1, began, ended));
        }
    }
    let mut broken = 0;
    for (id, runs) in &mut work {
        runs.sort_by(|a, b| a.1.total_cmp(&b.1));
        for pair in runs.windows(2) {
            let ((first, began, ended), (second, again, _)) = (pair[0], pair[1]);
            record.line(&format!(
                "{id}: i-{first} works on it from {began:.3} to {ended:.3}, i-{second} from {again:.3}"
            ));
            broken += usize::from(ended > again + OVERLAP_S);
        }
    }
    record.line(&format!(
        "{whole} of {REQUESTS} streams were whole; {broken} went on elsewhere too soon"
    ));
    if whole == 0 {
        return Verdict::NotRun;
    }
    if broken == 0 { Verdict::Held } else { Verdict::Broken }
}
