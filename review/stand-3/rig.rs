//! Starts a small deployment of the project's own programs on loopback, and holds the small clients of
//! the cases. Only the standard library is used.

use std::{
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

pub const PROGRAM: &str = "target/release/fuchsiausher";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CONTROL_PORT: u16 = 8229;
const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const METRICS_PORT: u16 = 9464;
const INTERNAL_PORTS: (u16, u16) = (7600, 7615);

/// The record of a run, with the time since its start on each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("record file");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The role of a machine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Control,
    Entry,
}

struct Machine {
    kind: Kind,
    ip: Ipv4Addr,
    index: usize,
    process: Option<Child>,
}

/// A deployment of three control machines, one in each zone, and some entry machines.
pub struct Rig {
    pub record: Record,
    folder: PathBuf,
    machines: Vec<Machine>,
    prefix: (u8, u8),
}

impl Rig {
    /// Chooses loopback addresses with free ports, and writes the settings of a first start.
    pub fn new(record: Record, entries: usize) -> Option<Self> {
        let seed = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{seed}"));
        fs::create_dir_all(&folder).ok()?;
        for attempt in 0..50_u32 {
            let mix = seed.wrapping_mul(31).wrapping_add(attempt.wrapping_mul(977));
            let prefix = ((mix % 200 + 20) as u8, (mix / 200 % 250 + 1) as u8);
            let ip = |last: u8| Ipv4Addr::new(127, prefix.0, prefix.1, last);
            let mut machines = Vec::new();
            for index in 0..3 {
                machines.push((Kind::Control, ip(10 + index as u8), index));
            }
            for index in 0..entries {
                machines.push((Kind::Entry, ip(20 + index as u8), index));
            }
            if !machines.iter().all(|(kind, ip, _)| are_ports_free(*kind, *ip)) {
                continue;
            }
            let machines = machines
                .into_iter()
                .map(|(kind, ip, index)| Machine { kind, ip, index, process: None })
                .collect();
            let rig = Self { record, folder, machines, prefix };
            rig.write_settings(true);
            return Some(rig);
        }
        None
    }

    /// Returns an address for a stand-in server.
    pub fn server_ip(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix.0, self.prefix.1, 40 + index)
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        let controls = self.machines.iter().filter(|m| m.kind == Kind::Control);
        controls.map(|m| SocketAddrV4::new(m.ip, CONTROL_PORT)).collect()
    }

    pub fn entries(&self) -> Vec<SocketAddrV4> {
        let entries = self.machines.iter().filter(|m| m.kind == Kind::Entry);
        entries.map(|m| SocketAddrV4::new(m.ip, FRONT_PORT)).collect()
    }

    /// Writes the settings as the templates of the deploy file render them.
    pub fn write_settings(&self, bootstrap: bool) {
        for n in 0..self.machines.len() {
            self.write_settings_of(n, bootstrap);
        }
    }

    /// Writes the settings of one machine.
    pub fn write_settings_of(&self, n: usize, bootstrap: bool) {
        let seeds: Vec<String> = self.controls().iter().map(|a| format!("\"{a}\"")).collect();
        let seeds = seeds.join(",");
        {
            let machine = &self.machines[n];
            let Machine { ip, index, .. } = machine;
            let (zone, (low, high)) = (ZONES[index % 3], INTERNAL_PORTS);
            let common = format!(
                "vm = \"{ip}\"\nzone = \"{zone}\"\nmetrics = \"{ip}:{METRICS_PORT}\"\n\
                 internal_ports = [{low},{high}]\nseeds = [{seeds}]\n\
                 secret = \"fuchsiausher calls between its VMs\"\n"
            );
            let text = match machine.kind {
                Kind::Control => {
                    let data = self.folder.join(format!("data-{index}"));
                    fs::create_dir_all(&data).expect("data folder");
                    format!(
                        "role = \"control\"\nname = \"core-{zone}-1\"\ncallers = \"{ip}:{CONTROL_PORT}\"\n\
                         {common}founding = {bootstrap}\nlosses = 1\ndata = \"{}\"\n\
                         memory_mb = 256\nmax_fds = 4096\n\n[bounds]\nheartbeat_ms = 1200\nstop_s = 8.0\n",
                        data.display()
                    )
                }
                Kind::Entry => format!(
                    "role = \"entry\"\nname = \"front-{zone}-1\"\ncallers = \"{ip}:{FRONT_PORT}\"\n\
                     ready = \"{ip}:{READY_PORT}\"\n{common}link_mbps = 2000.0\nmemory_mb = 520\n\
                     max_fds = 8200\n\n[bounds]\nheartbeat_ms = 1200\nkeys_ms = 5000\n\
                     retry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\nstop_s = 8.0\n\
                     quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 140000\n"
                ),
            };
            fs::write(self.settings_path(machine), text).expect("settings");
        }
    }

    fn settings_path(&self, machine: &Machine) -> PathBuf {
        let kind = if machine.kind == Kind::Control { "control" } else { "entry" };
        self.folder.join(format!("{kind}-{}.toml", machine.index))
    }

    /// Starts the processes of all machines that have none.
    pub fn start_all(&mut self) {
        for n in 0..self.machines.len() {
            self.start(n);
        }
        self.record.line("platform: all processes are started");
    }

    /// Starts the process of a machine that has none. The control machines are the first three.
    pub fn start(&mut self, n: usize) {
        if self.machines[n].process.is_none() {
            let path = self.settings_path(&self.machines[n]);
            let log = fs::File::options()
                .create(true)
                .append(true)
                .open(path.with_extension("log"))
                .expect("log file");
            let process = Command::new(PROGRAM)
                .arg("run")
                .arg(&path)
                .env("FUCHSIAUSHER_SETTINGS", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("log file"))
                .stderr(log)
                .spawn()
                .expect("the program does not start");
            self.machines[n].process = Some(process);
        }
    }

    /// Kills the processes of all machines at the same moment.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            if let Some(process) = &mut machine.process {
                let _ = process.kill();
            }
        }
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.wait();
            }
        }
        self.record.line("platform: all processes are killed at the same moment");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn are_ports_free(kind: Kind, ip: Ipv4Addr) -> bool {
    let ports: &[u16] = match kind {
        Kind::Control => &[CONTROL_PORT, INTERNAL_PORTS.0, METRICS_PORT],
        Kind::Entry => &[FRONT_PORT, READY_PORT, INTERNAL_PORTS.0 + 1, METRICS_PORT],
    };
    ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
}

/// An answer as it was received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there is none.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body has its length, or its last chunk.
    pub is_complete: bool,
}

/// Sends a request on a new channel, and reads its answer up to its marked end, or until the channel
/// ends or `limit` has passed.
pub fn exchange(address: SocketAddrV4, request: &str, limit: Duration) -> Answer {
    read_answer(address, request, limit).unwrap_or_default()
}

fn read_answer(address: SocketAddrV4, request: &str, limit: Duration) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    loop {
        if let Some(answer) = parse(&bytes, false) {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left))?;
        let mut part = [0; 16_384];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(len) => bytes.extend_from_slice(&part[..len]),
        }
    }
    Ok(parse(&bytes, true).unwrap_or_default())
}

/// Returns an answer that is complete or, at the end of its channel, what there is of it.
fn parse(bytes: &[u8], at_end: bool) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let (body, is_complete) = if lower.contains("transfer-encoding: chunked") {
        dechunk(rest)
    } else {
        let length = lower.lines().find_map(|l| l.strip_prefix("content-length:"));
        let length: usize = length?.trim().parse().ok()?;
        (rest.to_owned(), rest.len() >= length)
    };
    (is_complete || at_end).then(|| Answer { status, head: head.to_owned(), body, is_complete })
}

fn dechunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else { break };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}

/// Calls control as an operator or a server does: at another machine after a failure, and following
/// redirects. Returns the first clear answer.
pub fn call_control(controls: &[SocketAddrV4], method: &str, path: &str, body: &str) -> Answer {
    let end = Instant::now() + Duration::from_secs(20);
    let mut last = Answer::default();
    let mut n = 0;
    while Instant::now() < end {
        last = call_one(controls[n % controls.len()], method, path, body);
        n += 1;
        if matches!(last.status, 200 | 400..=407 | 409..=428) {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    last
}

/// Calls control at one machine, and follows redirects twice.
pub fn call_one(address: SocketAddrV4, method: &str, path: &str, body: &str) -> Answer {
    let mut address = address;
    let mut last = Answer::default();
    for _ in 0..3 {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        last = exchange(address, &request, Duration::from_secs(1));
        if last.status != 307 {
            break;
        }
        let location = last.head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("location").then(|| value.trim().to_owned())
        });
        let host = location.as_deref().and_then(|l| l.strip_prefix("http://")?.split('/').next());
        let Some(next) = host.and_then(|host| host.parse().ok()) else { break };
        address = next;
    }
    last
}

/// Builds a client's request. Without a key, it carries none.
pub fn request(path: &str, id: &str, deadline_ms: u32, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| format!("Authorization: Token {key}\r\n"));
    format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: 5\r\n\r\nhello"
    )
}

/// Builds a configuration with routes to one service, as the pages show them.
pub fn configuration(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, timeout: u32, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":1000,\"priority\":0,\
             \"service\":\"loom\",\"max-attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":{resumable},\"gap-aim-ms\":400}}"
        )
    };
    let routes = [
        route("manual", "streaming", 15_000, 2, true),
        route("answer", "streaming", 12_000, 1, false),
        route("order", "unsafe", 1_500, 1, false),
        route("look", "safe", 1_500, 2, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"loom\",\
         \"health-path\":\"/health\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// A tenant with one key.
pub const TENANTS: &str =
    "[{\"name\":\"hule930\",\"api-keys\":[\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1}]";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Waits until `is_done` returns true, for at most this time.
pub fn wait_for(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}
