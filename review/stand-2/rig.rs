//! The stand-ins of a case: the processes of the project with the commands of the deploy file, an
//! operator, clients and servers. Standard library only; all addresses are loopback addresses.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CONTROL_PORT: u16 = 8229;
pub const FRONT_PORT: u16 = 8221;
pub const READY_PORT: u16 = 8224;
pub const INTERNAL_PORT: u16 = 7600;
pub const METRICS_PORT: u16 = 9464;
/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);
/// Processes that were started and have not ended, by id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started and has not waited for.
pub fn signal(pid: u32, number: i32) {
    if RUNNING.lock().unwrap().contains(&pid) {
        // Its id belongs to no other process before it is waited for.
        let _ = unsafe { kill(pid as i32, number) };
    }
}

/// Starts a process that ends with this one, however that ends.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    // The call is safe between fork and exec.
    let command = unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    };
    let child = command.spawn()?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(child)
}

/// Kills a child and waits for it.
pub fn end(child: &mut Child) {
    let pid = child.id();
    let _ = child.kill();
    let _ = child.wait();
    RUNNING.lock().unwrap().retain(|p| *p != pid);
}

fn kill_all() {
    let running = RUNNING.lock().unwrap().clone();
    for pid in running {
        signal(pid, SIGKILL);
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends the case: 0 if the rule held, 1 if it was broken, 2 if it could not run.
pub fn finish(code: i32) -> ! {
    kill_all();
    exit(code)
}

pub fn cannot_run(rig: &Rig, why: &str) -> ! {
    rig.note(&format!("the case could not run: {why}"));
    finish(2)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

#[derive(Clone)]
pub struct Rig {
    pub folder: PathBuf,
    record: Arc<Mutex<File>>,
    pub started: Instant,
    block: (u8, u8),
    pub root: PathBuf,
}

pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        end(&mut self.child);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// Bounds of the small deployments, as the settings of a process carry them.
#[derive(Clone)]
pub struct EntryOptions {
    pub link_mbps: Option<f64>,
}

impl Rig {
    /// `record` is the path of the record. The working folder is the root of the repository.
    pub fn new(record: &str) -> Self {
        let root = std::env::current_dir().unwrap();
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).unwrap();
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let record = Arc::new(Mutex::new(File::create(record).unwrap()));
        let mut block = ((pid >> 8) as u8, pid as u8);
        let is_free = |block: (u8, u8)| {
            (1..=16).all(|n| {
                let ip = Ipv4Addr::new(127, 16 + block.0 % 200, block.1, n);
                let tcp = [CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT];
                tcp.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                    && UdpSocket::bind((ip, INTERNAL_PORT + 1)).is_ok()
            })
        };
        while !is_free(block) {
            block = (block.0.wrapping_add(1), block.1.wrapping_add(7));
        }
        let rig = Self { folder, record, started: Instant::now(), block, root };
        let watchdog = rig.clone();
        thread::spawn(move || {
            thread::sleep(LIMIT);
            cannot_run(&watchdog, "it took too long");
        });
        let default = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            default(info);
            finish(2);
        }));
        rig.note(&format!("trouble: {}", trouble()));
        rig
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 16 + self.block.0 % 200, self.block.1, n)
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {text}\n");
        let mut record = self.record.lock().unwrap();
        let _ = record.write_all(line.as_bytes());
        print!("{line}");
    }

    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    /// Writes the settings of a control VM as `deploy/control.toml.in` renders them.
    pub fn control_settings(&self, name: &str, n: u8, seeds: &[u8], founding: bool) -> PathBuf {
        let ip = self.ip(n);
        let seeds: Vec<String> =
            seeds.iter().map(|s| format!("\"{}:{CONTROL_PORT}\"", self.ip(*s))).collect();
        let text = format!(
            "role = \"control\"\nname = \"{name}\"\nvm = \"{ip}\"\nzone = \"zone-{n}\"\n\
             callers = \"{ip}:{CONTROL_PORT}\"\nmetrics = \"{ip}:{METRICS_PORT}\"\n\
             internal_ports = [{INTERNAL_PORT},{}]\nseeds = [{}]\nfounding = {founding}\n\
             losses = 1\ndata = \"{}\"\nsecret = \"fuchsiausher calls between its VMs\"\n\
             memory_mb = 256\nmax_fds = 4096\n\n[bounds]\nheartbeat_ms = 1200\nstop_s = 8\n",
            INTERNAL_PORT + 15,
            seeds.join(","),
            self.data_dir(name).display(),
        );
        self.write_settings(name, &text)
    }

    /// Writes the settings of an entry VM as `deploy/entry.toml.in` renders them.
    pub fn entry_settings(
        &self,
        name: &str,
        n: u8,
        seeds: &[u8],
        options: &EntryOptions,
    ) -> PathBuf {
        let ip = self.ip(n);
        let seeds: Vec<String> =
            seeds.iter().map(|s| format!("\"{}:{CONTROL_PORT}\"", self.ip(*s))).collect();
        let link = options.link_mbps.map(|l| format!("link_mbps = {l:.1}\n")).unwrap_or_default();
        let text = format!(
            "role = \"entry\"\nname = \"{name}\"\nvm = \"{ip}\"\nzone = \"zone-1\"\n\
             callers = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             metrics = \"{ip}:{METRICS_PORT}\"\ninternal_ports = [{INTERNAL_PORT},{}]\n\
             seeds = [{}]\nsecret = \"fuchsiausher calls between its VMs\"\n{link}\
             memory_mb = 520\nmax_fds = 8200\n\n[bounds]\nheartbeat_ms = 1200\nkeys_ms = 5000\n\
             retry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\nstop_s = 8\n\
             quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 140000\n",
            INTERNAL_PORT + 15,
            seeds.join(","),
        );
        self.write_settings(name, &text)
    }

    fn write_settings(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts the program with the command of the deploy file. Only the path of the settings differs.
    pub fn start(&self, name: &str, settings: &Path) -> Process {
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new(self.root.join("target/release/fuchsiausher"));
        command
            .arg("run")
            .arg(settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("FUCHSIAUSHER_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors));
        match spawn(&mut command) {
            Ok(child) => Process { child, name: name.into() },
            Err(error) => cannot_run(self, &format!("the program does not start: {error}")),
        }
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn control_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(n)), CONTROL_PORT)
    }

    pub fn front_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(n)), FRONT_PORT)
    }

    /// Makes a call to a control VM and follows redirects twice, as the operator does.
    pub fn call(&self, n: u8, method: &str, path: &str, body: &str) -> Option<Response> {
        let mut to = self.control_address(n);
        for _ in 0..3 {
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let response = exchange(to, &text, Duration::from_secs(1))?;
            if response.status != 307 {
                return Some(response);
            }
            let location = response.header("location")?;
            to = location.strip_prefix("http://")?.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Sends a configuration to the control VMs in turn until one acknowledges it.
    pub fn put_config(&self, controls: &[u8], body: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let version = body.split(':').nth(1).and_then(|v| v.split(',').next()).unwrap_or("?");
        let answers = Counts::default();
        while Instant::now() < until {
            for n in controls {
                let status = self.call(*n, "PUT", "/-/config", body).map(|r| r.status);
                answers.add(&status.map_or("no answer".into(), |status| status.to_string()));
                if status == Some(200) {
                    self.note(&format!(
                        "operator: version {version} is acknowledged; answers: {}",
                        answers.text()
                    ));
                    return true;
                }
            }
            sleep_ms(100);
        }
        let answers = answers.text();
        self.note(&format!(
            "operator: version {version} is not acknowledged in {within:?}; answers: {answers}"
        ));
        false
    }

    /// Reads the configuration at the control VMs in turn. Returns the first one that is served.
    pub fn read_config(&self, controls: &[u8], within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        let mut last = String::from("no response");
        while Instant::now() < until {
            for n in controls {
                if let Some(response) = self.call(*n, "GET", "/-/config", "") {
                    if response.status == 200 {
                        return Some(String::from_utf8_lossy(&response.body).into_owned());
                    }
                    last = format!("{} from {n}", response.status);
                }
            }
            sleep_ms(200);
        }
        self.note(&format!("operator: no configuration is read in {within:?}, last {last}"));
        None
    }

    /// Announces a server every 1.2 s, as `heartbeat-ms` says, until `state` says that it is gone.
    pub fn announce(&self, server: &Announced, controls: &[u8]) {
        let (rig, server, controls) = (self.clone(), server.clone(), controls.to_vec());
        thread::spawn(move || {
            while !server.gone.load(Ordering::SeqCst) {
                rig.beat(&server, &controls);
                for _ in 0..12 {
                    sleep_ms(100);
                    if server.gone.load(Ordering::SeqCst) {
                        return;
                    }
                }
            }
        });
    }

    pub fn beat(&self, server: &Announced, controls: &[u8]) -> bool {
        let sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if server.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-1\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            server.service, server.address, server.slots, server.born
        );
        let path = format!("/-/instances/{}", server.id);
        controls.iter().any(|n| self.call(*n, "PUT", &path, &body).is_some_and(|r| r.status == 200))
    }

    pub fn depart(&self, server: &Announced, controls: &[u8]) -> bool {
        server.gone.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", server.born);
        let path = format!("/-/instances/{}", server.id);
        controls
            .iter()
            .any(|n| self.call(*n, "DELETE", &path, &body).is_some_and(|r| r.status == 200))
    }
}

/// A server as it announces itself.
#[derive(Clone)]
pub struct Announced {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub sequence: Arc<AtomicU64>,
    pub draining: Arc<AtomicBool>,
    pub gone: Arc<AtomicBool>,
}

impl Announced {
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            slots,
            born: unix_ms(),
            sequence: Arc::default(),
            draining: Arc::default(),
            gone: Arc::default(),
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A configuration with one route of each kind to the service `desk`, and one client account.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":12000,\"target-latency-ms\":1000,\"priority\":1,\
             \"service\":\"desk\",\"max-attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":{resumable},\"gap-aim-ms\":500}}"
        )
    };
    let routes = [
        route("safe", "safe", 2, false),
        route("order", "unsafe", 1, false),
        route("stream", "streaming", 1, false),
        route("resume", "streaming", 2, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health-path\":\"/health\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"north\",\
         \"api-keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,\
         \"rate-per-s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has its whole length, or ends with the last chunk.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Sends a request on a new channel and reads its response.
pub fn exchange(to: SocketAddr, text: &str, within: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_response(&mut stream)
}

/// Reads a response. Returns `None` if the channel ends, or the time runs out, before its head.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        if read_some(stream, &mut bytes).ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = bytes[head_end..].to_vec();
    let mut response = Response { status, head, ..Response::default() };
    if response.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let Some(line) = find(&rest, b"\r\n") else {
                if read_some(stream, &mut rest).unwrap_or(0) == 0 {
                    return Some(response);
                }
                continue;
            };
            let size = String::from_utf8_lossy(&rest[..line]).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).ok()?;
            while rest.len() < line + 2 + size + 2 {
                if read_some(stream, &mut rest).unwrap_or(0) == 0 {
                    response
                        .body
                        .extend_from_slice(&rest[line + 2..rest.len().min(line + 2 + size)]);
                    return Some(response);
                }
            }
            response.body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest.drain(..line + 2 + size + 2);
            if size == 0 {
                response.complete = true;
                return Some(response);
            }
        }
    }
    let length = response.header("content-length").and_then(|v| v.parse::<usize>().ok());
    while length.is_none_or(|length| rest.len() < length) {
        match read_some(stream, &mut rest) {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) => {
                response.body = rest;
                return Some(response);
            }
        }
    }
    response.complete = length.is_none_or(|length| rest.len() == length);
    response.body = rest;
    Some(response)
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

pub fn read_some(stream: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; 16 << 10];
    let len = stream.read(&mut buffer)?;
    into.extend_from_slice(&buffer[..len]);
    Ok(len)
}

/// The text of a client's request.
pub fn client_request(path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-1\r\n{more}\
         Content-Length: 5\r\n\r\nhello"
    )
}

/// A request as a server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or_default()
    }
}

/// Reads a request with a length. Returns `None` at the end of the channel.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(end) = find(rest, b"\r\n\r\n") {
            break end + 4;
        }
        if read_some(stream, rest).ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end);
    let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        if read_some(stream, rest).ok()? == 0 {
            return None;
        }
    }
    let body = rest.drain(..length).collect();
    let mut words = head.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request { method, path, head, body })
}

/// Serves the channels of a server. `serve` handles one channel.
pub fn serve(
    address: SocketAddr,
    serve: impl Fn(TcpStream, u64) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap();
    let bound = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream, n as u64));
        }
    });
    bound
}

/// Closes a channel with its end, so that the other side reads all that was sent.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// The times of a disturbance that comes again and again.
pub struct Windows {
    since: Instant,
    length: Duration,
    pause: Duration,
}

impl Windows {
    pub fn new(length: Duration, pause: Duration) -> Self {
        Self { since: Instant::now(), length, pause }
    }

    pub fn is_on(&self) -> bool {
        let round = (self.length + self.pause).as_micros();
        self.since.elapsed().as_micros() % round < self.length.as_micros()
    }
}

/// Counts by name, for the record.
#[derive(Clone, Default)]
pub struct Counts(Arc<Mutex<BTreeMap<String, u64>>>);

impl Counts {
    pub fn add(&self, name: &str) -> u64 {
        let mut counts = self.0.lock().unwrap();
        let count = counts.entry(name.into()).or_default();
        *count += 1;
        *count
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().unwrap().get(name).copied().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        let counts = self.0.lock().unwrap();
        counts.iter().map(|(n, c)| format!("{n}: {c}")).collect::<Vec<_>>().join(", ")
    }
}
