//! Control of a server's process.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddrV4},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::spawn,
    time::Duration,
};

use crate::{
    rig::{Record, wait_for},
    server::Options,
};

/// A server's process, and what it said with the time of the record.
pub struct StandIn {
    name: String,
    process: Child,
    said: Arc<Mutex<Vec<(f64, String)>>>,
    record: Record,
}

impl StandIn {
    pub fn start(record: &Record, name: &str, ip: Ipv4Addr, controls: &[SocketAddrV4]) -> Self {
        Self::start_with(record, name, (ip, Options::default()), controls)
    }

    pub fn start_with(
        record: &Record,
        name: &str,
        (ip, options): (Ipv4Addr, Options),
        controls: &[SocketAddrV4],
    ) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut process = Command::new(program)
            .args(["server", name, &ip.to_string(), &options.to_arg()])
            .args(controls.iter().map(ToString::to_string))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let output = BufReader::new(process.stdout.take().expect("output"));
        let said: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
        let (heard, log, who) = (Arc::clone(&said), record.clone(), name.to_owned());
        spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if !line.starts_with("made ") {
                    log.line(&format!("server {who}: {line}"));
                }
                heard.lock().unwrap().push((log.now(), line));
            }
            log.line(&format!("server {who}: its process has ended"));
        });
        Self { name: name.to_owned(), process, said, record: record.clone() }
    }

    /// Gives an order, and waits for the line that answers it. Returns the time and the line.
    pub fn order(&mut self, order: &str, answer: &str) -> Option<(f64, String)> {
        self.record.line(&format!("server {} is told: {order}", self.name));
        let before = self.said.lock().unwrap().len();
        writeln!(self.process.stdin.as_mut()?, "{order}").ok()?;
        let mut found = None;
        wait_for(Duration::from_secs(10), || {
            let said = self.said.lock().unwrap();
            found = said[before..].iter().find(|(_, line)| line.starts_with(answer)).cloned();
            found.is_some()
        });
        found
    }

    /// Returns the lines that start with `start`, with their times.
    pub fn said(&self, start: &str) -> Vec<(f64, String)> {
        let said = self.said.lock().unwrap();
        said.iter().filter(|(_, line)| line.starts_with(start)).cloned().collect()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
