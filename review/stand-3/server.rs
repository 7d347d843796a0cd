//! A stand-in of a server, as a process of its own. It takes orders on standard input, one a line, and
//! writes what it did to standard output.

use std::{
    io::{BufRead, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::rig::{Answer, call_control};

/// Time between two heartbeats, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of pieces of a stream, and the time between two of them.
pub const PIECES: u64 = 40;
const PACE: Duration = Duration::from_millis(200);
/// Time that a request other than a stream takes.
const WORK: Duration = Duration::from_millis(60);

/// How a server differs from one that answers with a length, and at once.
#[derive(Clone, Copy, Default)]
pub struct Options {
    /// Whether its streams have no length and end with their channel.
    pub is_unframed: bool,
    /// Time until the first piece of a stream.
    pub first: Duration,
    /// Whether it works on at a request whose channel was closed.
    pub works_on: bool,
}

impl Options {
    /// Returns the options as an argument of the program.
    pub fn to_arg(self) -> String {
        let Self { is_unframed, first, works_on } = self;
        format!("{},{},{}", u8::from(is_unframed), first.as_millis(), u8::from(works_on))
    }

    fn from_arg(arg: &str) -> Self {
        let mut values = arg.split(',').map(|value| value.parse::<u64>().expect("an option"));
        let mut next = || values.next().expect("an option");
        Self {
            is_unframed: next() == 1,
            first: Duration::from_millis(next()),
            works_on: next() == 1,
        }
    }
}

struct Server {
    id: String,
    options: Options,
    address: SocketAddrV4,
    controls: Vec<SocketAddrV4>,
    born: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_leaving: AtomicBool,
    beats: AtomicBool,
    out: Mutex<()>,
}

impl Server {
    fn say(&self, text: &str) {
        let _guard = self.out.lock().unwrap();
        println!("{text}");
    }

    /// Returns the header with which a server that leaves says so in all its answers.
    fn notice(&self) -> &'static str {
        let is_leaving =
            [&self.is_draining, &self.is_leaving].iter().any(|is| is.load(Ordering::SeqCst));
        if is_leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn heartbeat_body(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"loom\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":9,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address, self.born
        )
    }

    fn beat(&self, body: &str) -> Answer {
        call_control(&self.controls, "PUT", &format!("/-/instances/{}", self.id), body)
    }

    fn leave(&self) -> Answer {
        self.is_leaving.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.born);
        call_control(&self.controls, "DELETE", &format!("/-/instances/{}", self.id), &body)
    }
}

/// Runs a server: `ID IP OPTIONS CONTROL...`.
pub fn run(args: &[String]) {
    let ip: Ipv4Addr = args[1].parse().expect("an address");
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = SocketAddrV4::new(ip, listener.local_addr().expect("an address").port());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    let server = Arc::new(Server {
        id: args[0].clone(),
        options: Options::from_arg(&args[2]),
        address,
        controls: args[3..].iter().map(|a| a.parse().expect("an address")).collect(),
        born: u64::try_from(born).expect("a clock"),
        sequence: AtomicU64::new(0),
        is_draining: AtomicBool::new(false),
        is_leaving: AtomicBool::new(false),
        beats: AtomicBool::new(true),
        out: Mutex::new(()),
    });
    let accepting = Arc::clone(&server);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = Arc::clone(&accepting);
            spawn(move || while serve(&server, &stream).is_some() {});
        }
    });
    let beating = Arc::clone(&server);
    spawn(move || {
        loop {
            if beating.beats.load(Ordering::SeqCst) {
                beating.beat(&beating.heartbeat_body());
            }
            sleep(HEARTBEAT);
        }
    });
    server.say(&format!("listens {address}"));
    let mut late = String::new();
    for order in std::io::stdin().lock().lines().map_while(Result::ok) {
        match order.as_str() {
            // Says that it drains, and goes on serving.
            "drain" => {
                server.is_draining.store(true, Ordering::SeqCst);
                let status = server.beat(&server.heartbeat_body()).status;
                server.beats.store(false, Ordering::SeqCst);
                server.say(&format!("draining {status}"));
            }
            // Reports that it leaves, and goes on serving.
            "leave" => {
                let status = server.leave().status;
                server.say(&format!("left {status}"));
            }
            // Reports that it leaves, and exits once that is acknowledged.
            "leave and exit" => {
                let status = server.leave().status;
                server.say(&format!("left {status}"));
                std::process::exit(0);
            }
            // Sends a heartbeat that stays on its way until `arrive`, and no more after it.
            "beat late" => {
                server.beats.store(false, Ordering::SeqCst);
                late = server.heartbeat_body();
                server.say(&format!("sent {late}"));
            }
            "arrive" => {
                let status = server.beat(&late).status;
                server.say(&format!("arrived {status}"));
            }
            _ => {}
        }
    }
}

/// Serves one request. Returns `None` if the channel is to be closed.
fn serve(server: &Server, stream: &TcpStream) -> Option<()> {
    let mut stream = stream;
    let mut bytes = Vec::new();
    let (head, len) = loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let lower = head.to_ascii_lowercase();
            let length = lower.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length = length.and_then(|l| l.trim().parse::<usize>().ok()).unwrap_or(0);
            let len = head.len() + 4 + length;
            if bytes.len() >= len {
                break (head.to_owned(), len);
            }
        }
        let mut part = [0; 4_096];
        match stream.read(&mut part) {
            Ok(read @ 1..) => bytes.extend_from_slice(&part[..read]),
            _ => return None,
        }
    };
    let field = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    let path = head.split(' ').nth(1)?.to_owned();
    let id = field("x-request-id").unwrap_or_default();
    debug_assert!(bytes.len() >= len);
    if path == "/health" {
        let status =
            if server.is_draining.load(Ordering::SeqCst) { "503 leaving" } else { "200 OK" };
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,9\r\n{}Content-Length: 0\r\n\r\n",
            server.id,
            server.notice()
        );
        return stream.write_all(text.as_bytes()).ok();
    }
    if field("x-expect-instance").is_some_and(|expected| expected != server.id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return stream.write_all(text.as_bytes()).ok();
    }
    server.say(&format!("runs {id} {path} tenant={}", field("x-tenant").unwrap_or_default()));
    let seal =
        format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\n{}", server.id, server.notice());
    if path.starts_with("/manual/") || path.starts_with("/answer/") {
        let before = field("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
        return stream_pieces(server, stream, (&id, &seal), before);
    }
    sleep(WORK);
    let body = format!("answer to {id}");
    let text = format!(
        "HTTP/1.1 200 OK\r\n{seal}X-Server-Load: 1,0,9\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Sends a stream after the piece `before`. Returns `None` if the channel is to be closed.
fn stream_pieces(
    server: &Server,
    stream: &TcpStream,
    (id, seal): (&str, &str),
    before: u64,
) -> Option<()> {
    let mut stream = stream;
    let Options { is_unframed, first, works_on } = server.options;
    let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let mut is_open = true;
    sleep(first);
    let mut text =
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{seal}{framing}\r\n");
    for piece in before + 1..=PIECES {
        let event = format!("id: {piece}\ndata: piece {piece} of {PIECES}\n\n");
        if is_unframed {
            text += &event;
        } else {
            text += &format!("{:x}\r\n{event}\r\n", event.len());
        }
        is_open &= stream.write_all(text.as_bytes()).is_ok();
        if !is_open && !works_on {
            return None;
        }
        text.clear();
        server.say(&format!("made {id} {piece}"));
        sleep(PACE);
    }
    if is_unframed {
        // An answer without a length ends with its channel.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        return None;
    }
    stream.write_all(b"0\r\n\r\n").ok()
}
