//! A control VM that starts with an empty disk is killed while it creates its file, and started again.
//! Later another control VM loses its disk. What was acknowledged is read back.
#[path = "rig.rs"]
mod rig;

use std::{
    fs,
    time::{Duration, Instant},
};

use rig::*;

/// Longer than `catch-up-s` (4 s) and `contact-ms` (3 s) together.
const SETTLE_MS: u64 = 12_000;
/// Longer than `recovery-s` (12 s) and `contact-ms`.
const READ_TIME: Duration = Duration::from_secs(25);
/// Number of first starts that may end before or after the file is being created.
const MAX_TRIES: u32 = 40;

/// Kills a process once its file on disk has a length. Returns whether it was killed before the file was
/// whole, so that its first bytes are not written yet.
fn kill_at_first_write(rig: &Rig, process: &mut Process) -> bool {
    let file = rig.data_dir(&process.name).join("log.redb");
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if fs::metadata(&file).is_ok_and(|m| m.len() > 0) {
            break;
        }
    }
    process.kill();
    fs::read(&file).is_ok_and(|bytes| !bytes.is_empty() && !bytes.starts_with(b"redb"))
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let rig = Rig::new(&record);
    let controls = [1, 2, 3];
    let name = |n: u8| format!("control-{n}");
    let mut processes = Vec::new();
    for n in controls {
        let settings = rig.control_settings(&name(n), n, &controls, true);
        processes.push(rig.start(&name(n), &settings));
    }
    if !rig.put_config(&controls, &config(7), Duration::from_secs(20)) {
        cannot_run(&rig, "no configuration is acknowledged");
    }
    sleep_ms(3_000);
    rig.note("control-3 loses its disk and starts with an empty one");
    processes[2].kill();
    let settings = rig.control_settings(&name(3), 3, &controls, false);
    let mut tries = 0;
    loop {
        let _ = fs::remove_dir_all(rig.data_dir(&name(3)));
        processes[2] = rig.start(&name(3), &settings);
        if !trouble() {
            break;
        }
        tries += 1;
        if kill_at_first_write(&rig, &mut processes[2]) {
            rig.note(&format!("control-3 is killed while it creates its file (start {tries})"));
            sleep_ms(1_000);
            processes[2] = rig.start(&name(3), &settings);
            rig.note("control-3 starts again with the disk as it was left");
            break;
        }
        if tries == MAX_TRIES {
            cannot_run(&rig, "the file was created in no time at each start");
        }
    }
    sleep_ms(SETTLE_MS);
    rig.note(&format!("control-3 runs: {}", !processes[2].has_ended()));
    let answer = rig.call(3, "GET", "/-/config", "").map(|r| r.status);
    rig.note(&format!("control-3 answers a read with {answer:?}, as the others lead or not"));
    let before = rig.read_config(&controls, Duration::from_secs(5));
    rig.note(&format!("version 7 is read: {}", before.is_some_and(|text| text == config(7))));
    rig.note("control-2 loses its disk and starts with an empty one");
    processes[1].kill();
    let _ = fs::remove_dir_all(rig.data_dir(&name(2)));
    sleep_ms(1_000);
    let settings = rig.control_settings(&name(2), 2, &controls, false);
    processes[1] = rig.start(&name(2), &settings);
    sleep_ms(4_000);
    let read = rig.read_config(&controls, READ_TIME);
    let held = read.is_some_and(|text| text == config(7));
    rig.note(&format!("version 7 is read within {} s: {held}", READ_TIME.as_secs() + 4));
    if !held {
        let again = rig.put_config(&controls, &config(8), Duration::from_secs(10));
        rig.note(&format!("version 8 is acknowledged: {again}"));
        let log = rig.log(&name(3));
        let line = log.lines().rfind(|line| line.contains("cannot be opened")).unwrap_or("");
        let line = line.replace(&*rig.folder.to_string_lossy(), "FOLDER");
        rig.note(&format!("control-3 logs: {}", line.chars().take(300).collect::<String>()));
    }
    finish(i32::from(!held))
}
