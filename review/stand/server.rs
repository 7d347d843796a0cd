//! A backend server as a process of its own, and the driver's handle of it.
//!
//! The process announces itself, runs requests, and prints a line for each event. It reads orders
//! from its standard input: `drain` makes it report that it is draining.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread::{sleep, spawn},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    client,
    http::{Head, read_head, read_request_body},
    record::Record,
};

/// Interval of heartbeats, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of events of a stream.
pub const EVENTS: usize = 48;
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(80);
/// One answer in so many has no length and ends with its connection: 5 in 100.
const UNFRAMED_EACH: u64 = 20;

/// Returns the text of event `n` of a stream.
pub fn event_text(id: &str, n: usize) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}

struct Server {
    id: String,
    service: String,
    zone: String,
    /// The address that it announces, which may be that of a proxy.
    announced: SocketAddr,
    controls: Vec<SocketAddr>,
    born: u128,
    draining: AtomicBool,
    sequence: AtomicU64,
    answers: AtomicU64,
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Runs a server: ID SERVICE ZONE ADDRESS ANNOUNCED CONTROLS.
pub fn run(args: &[&str]) {
    let [id, service, zone, address, announced, controls] = args else { return };
    let listener = TcpListener::bind(address).unwrap();
    let server = Arc::new(Server {
        id: (*id).into(),
        service: (*service).into(),
        zone: (*zone).into(),
        announced: announced.parse().unwrap(),
        controls: controls.split(',').map(|c| c.parse().unwrap()).collect(),
        born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
        draining: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        answers: AtomicU64::new(0),
    });
    let beating = Arc::clone(&server);
    spawn(move || {
        loop {
            beating.beat();
            sleep(HEARTBEAT);
        }
    });
    let ordered = Arc::clone(&server);
    spawn(move || {
        for order in std::io::stdin().lines().map_while(Result::ok) {
            if order == "drain" {
                ordered.draining.store(true, Ordering::Relaxed);
                if ordered.beat() {
                    say("acked draining");
                }
            }
        }
        // The driver has ended.
        std::process::exit(0);
    });
    say("listening");
    for stream in listener.incoming().map_while(Result::ok) {
        let server = Arc::clone(&server);
        spawn(move || {
            let _ = server.serve(stream);
        });
    }
}

impl Server {
    /// Sends a heartbeat to one control VM after the other, until one acknowledges it.
    fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{state}\",\"cold-remaining-ms\":0,\
             \"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.announced, self.zone, self.born
        );
        let request = format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.id,
            body.len()
        );
        self.controls.iter().any(|control| {
            let response = client::call(*control, request.as_bytes(), Duration::from_secs(1));
            response.status() == 200
        })
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader)? {
            read_request_body(&mut reader, &head)?;
            if !self.answer(&head, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<bool> {
        let id = head.get("x-request-id").unwrap_or_default();
        let leaving =
            if self.draining.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
        let common = format!("X-Request-Id: {id}\r\n{leaving}");
        if head.get("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let answer = format!("HTTP/1.1 421 No\r\n{common}Content-Length: 0\r\n\r\n");
            writer.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        if head.path().starts_with("/health") {
            let status = if leaving.is_empty() { "200 OK" } else { "503 No" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            writer.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        let after: usize = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        let unframed = (self.answers.fetch_add(1, Ordering::Relaxed) + 1) % UNFRAMED_EACH == 0;
        say(&format!("run {id} after {after} {}", if unframed { "unframed" } else { "chunked" }));
        let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let start = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Seal: {}.{id}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.id
        );
        writer.write_all(start.as_bytes())?;
        for n in after + 1..=EVENTS {
            sleep(EVENT_INTERVAL);
            let event = event_text(id, n);
            let piece = if unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
            writer.write_all(piece.as_bytes())?;
        }
        if !unframed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        say(&format!("whole {id}"));
        Ok(!unframed)
    }
}

/// A line that a server printed.
pub struct Event {
    pub server: usize,
    pub text: String,
}

/// Where a server runs, and what it provides.
#[derive(Clone, Copy)]
pub struct Place {
    pub service: &'static str,
    pub zone: &'static str,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Address that it announces, which may be that of a proxy.
    pub announced: SocketAddr,
}

/// The driver's handle of a server's process.
pub struct Handle {
    pub id: String,
    child: Child,
    orders: ChildStdin,
}

impl Handle {
    /// Starts lifetime `lifetime` of server `n`, which has an id of its own.
    pub fn start(
        (n, lifetime): (usize, usize),
        place: Place,
        controls: &[SocketAddr],
        (record, events): (&Record, &mpsc::Sender<Event>),
    ) -> Self {
        let Place { service, zone, address, announced } = place;
        let id = format!("i-{:08x}", 0x7f3a_9100 + n + 256 * lifetime);
        let controls: Vec<String> = controls.iter().map(ToString::to_string).collect();
        let (address, announced) = (address.to_string(), announced.to_string());
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["server", &id, service, zone, &address, &announced, &controls.join(",")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let orders = child.stdin.take().unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        let (record, events, name) = (record.clone(), events.clone(), id.clone());
        spawn(move || {
            for text in out.lines().map_while(Result::ok) {
                record.line(&format!("server {name}: {text}"));
                let _ = events.send(Event { server: n, text });
            }
        });
        Self { id, child, orders }
    }

    pub fn order(&mut self, order: &str) {
        let _ = writeln!(self.orders, "{order}");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.kill();
    }
}
