//! The start of a VM with a role, as a process.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a log line, and from a signal to the end of the process.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a control VM that ignores SIGTERM while it cannot open its log.
#[test]
fn sigterm_ends_a_control_vm_whose_log_cannot_be_opened() {
    let folder = std::env::temp_dir().join(format!("fuchsiausher-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // A file in place of the data folder.
    let data = folder.join("data");
    std::fs::write(&data, "").unwrap();
    let settings = format!(
        "role = \"control\"\nname = \"vm-1\"\nvm = \"127.0.0.1\"\nzone = \"zone-a\"\n\
         callers = \"127.0.0.1:8229\"\ninternal_ports = [7600, 7615]\nfounding = true\n\
         losses = 0\ndata = \"{}\"\nseeds = [\"127.0.0.1:8229\"]\n\
         secret = \"a key that is long enough\"\n[bounds]\nheartbeat_ms = 400\n",
        data.display()
    );
    let path = folder.join("settings.toml");
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_fuchsiausher"))
        .arg("run")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(child.stdout.take().unwrap());
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        output.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
    });
    let mut line = String::new();
    while !line.contains("the log cannot be opened") {
        line = lines.recv_timeout(WAIT_LIMIT).unwrap();
    }
    let signalled = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
    assert!(signalled.unwrap().success());
    let until = Instant::now() + WAIT_LIMIT;
    let status = loop {
        match child.try_wait().unwrap() {
            Some(status) => break Some(status),
            None if Instant::now() > until => break None,
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(status.and_then(|s| s.code()), Some(0), "{status:?}");
}
