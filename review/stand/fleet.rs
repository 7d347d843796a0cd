//! The project's own processes: control VMs and entry VMs on loopback addresses, with settings as
//! the templates of the deploy file render them for a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Response},
    record::Record,
};

pub const ZONES: [&str; 3] = ["hereford", "worcester", "evesham"];

pub struct Vm {
    pub name: String,
    pub ip: String,
    pub zone: &'static str,
    is_control: bool,
    child: Option<Child>,
}

pub struct Fleet {
    pub controls: Vec<Vm>,
    pub entries: Vec<Vm>,
    pub folder: PathBuf,
    record: Record,
    binary: PathBuf,
    ports: Ports,
    next_ip: u8,
    base: String,
}

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    front: u16,
    ready: u16,
    metrics: u16,
    internal: u16,
}

/// Returns a port of the loopback interface that is free now, as is the one after it.
fn free_port() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = first.local_addr().unwrap().port();
        if port < 60_000 && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

impl Fleet {
    /// Prepares three control VMs and four entry VMs in three availability zones.
    pub fn new(record: &Record) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            folder,
            record: record.clone(),
            binary: std::env::current_dir().unwrap().join("target/release/fuchsiausher"),
            ports: Ports {
                control: free_port(),
                front: free_port(),
                ready: free_port(),
                metrics: free_port(),
                internal: free_port(),
            },
            next_ip: 1,
            base: format!("127.{}.{}", 1 + id % 250, 1 + id / 250 % 250),
        };
        for zone in ZONES {
            let vm = fleet.vm("core", zone);
            fleet.controls.push(vm);
        }
        for zone in ["hereford", "hereford", "worcester", "evesham"] {
            let vm = fleet.vm("front", zone);
            fleet.entries.push(vm);
        }
        fleet
    }

    fn vm(&mut self, class: &str, zone: &'static str) -> Vm {
        let ip = self.next_ip();
        let n = self.next_ip;
        let name = format!("{class}-{zone}-{n}");
        Vm { name, ip, zone, is_control: class == "core", child: None }
    }

    /// Returns a loopback address that nothing else of this case uses.
    pub fn next_ip(&mut self) -> String {
        self.next_ip += 1;
        format!("{}.{}", self.base, self.next_ip)
    }

    /// Returns an address with a port that is free now.
    pub fn free_address(&mut self) -> SocketAddr {
        let ip = self.next_ip();
        TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap()
    }

    pub fn control_address(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.controls[n].ip, self.ports.control).parse().unwrap()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.controls.len()).map(|n| self.control_address(n)).collect()
    }

    pub fn entry_address(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.entries[n].ip, self.ports.front).parse().unwrap()
    }

    fn settings(&self, vm: &Vm) -> String {
        let Ports { control, front, ready, metrics, internal } = self.ports;
        let (name, ip, zone) = (&vm.name, &vm.ip, vm.zone);
        let seeds: Vec<String> =
            self.controls.iter().take(3).map(|c| format!("{}:{control}", c.ip)).collect();
        let common = format!(
            "name = \"{name}\"\nvm = \"{ip}\"\nzone = \"{zone}\"\nmetrics = \"{ip}:{metrics}\"\n\
             internal_ports = [{internal}, {}]\nseeds = {seeds:?}\n\
             secret = \"fuchsiausher calls between its VMs\"\n",
            internal + 1
        );
        if vm.is_control {
            let data = self.folder.join(name).join("data");
            fs::create_dir_all(&data).unwrap();
            return format!(
                "role = \"control\"\ncallers = \"{ip}:{control}\"\nfounding = true\nlosses = 1\n\
                 data = {data:?}\n{common}\n[bounds]\nheartbeat_ms = 1200\nstop_s = 8.0\n"
            );
        }
        format!(
            "role = \"entry\"\ncallers = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n{common}\n\
             [bounds]\nheartbeat_ms = 1200\nkeys_ms = 5000\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window_s = 10\nstop_s = 8.0\nquota_window_s = 8\nquota_overage = 0.1\n\
             quota_slack = 140000\n"
        )
    }

    /// Starts the process of a VM with the command of the deploy file.
    fn start_vm(&self, vm: &Vm) -> Child {
        let folder = self.folder.join(&vm.name);
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("node.toml");
        fs::write(&settings, self.settings(vm)).unwrap();
        let log =
            |name: &str| File::options().append(true).create(true).open(folder.join(name)).unwrap();
        self.record.line(&format!("start {}", vm.name));
        Command::new(&self.binary)
            .arg("run")
            .arg(&settings)
            .env("FUCHSIAUSHER_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log("stdout"))
            .stderr(log("stderr"))
            .spawn()
            .unwrap()
    }

    pub fn start(&mut self) {
        for n in 0..self.controls.len() {
            self.controls[n].child = Some(self.start_vm(&self.controls[n]));
        }
        for n in 0..self.entries.len() {
            self.entries[n].child = Some(self.start_vm(&self.entries[n]));
        }
    }

    /// Puts a configuration in force, as the operator does: at any control VM, with two redirects.
    pub fn put_config(&self, config: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for n in 0..self.controls.len() {
                let response = self.control_call(n, "PUT", "/-/config", config);
                if response.status() == 200 {
                    self.record.line("configuration acknowledged");
                    return true;
                }
            }
            sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn control_call(&self, n: usize, method: &str, path: &str, body: &str) -> Response {
        let mut address = self.control_address(n);
        let mut response = Response::default();
        for _ in 0..3 {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            response = client::call(address, request.as_bytes(), Duration::from_secs(1));
            let location = response.head.get("location").map(str::to_owned);
            let Some(location) = location.filter(|_| response.status() == 307) else { break };
            let host = location.trim_start_matches("http://").split('/').next().unwrap_or("");
            let Ok(next) = host.parse() else { break };
            address = next;
        }
        response
    }

    /// Waits until every entry VM says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |vm: &Vm| {
            let address = format!("{}:{}", vm.ip, self.ports.ready).parse().unwrap();
            let request = b"GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            client::call(address, request, Duration::from_secs(1)).status() == 200
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > until {
                return false;
            }
            sleep(Duration::from_millis(100));
        }
        true
    }

    pub fn stop(&mut self) {
        for vm in self.controls.iter_mut().chain(&mut self.entries) {
            if let Some(mut child) = vm.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns whether the project's program was built.
pub fn is_built() -> bool {
    Path::new("target/release/fuchsiausher").exists()
}
