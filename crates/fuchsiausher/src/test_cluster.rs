//! Entry VMs and stand-in backend servers on loopback, in this process.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use control::Policy;
use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use settings::{Peer, Secrets, Settings, Timeouts};
use stand::{Announcer, CallError, Config, HttpResponse, Pace, PrefixHolders, Role, Server, call};
use tokio::runtime::{Builder, Runtime};

use crate::{
    client::AdminClient,
    error::{Error, ErrorKind},
    node::Node,
};

/// Longest wait for the entry VMs to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness is looked at.
const POLL: Duration = Duration::from_millis(50);
/// Ports that a bed listens on: from the first, so many.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two processes with neighbouring ids.
const PORT_STRIDE: u32 = 271;
/// Threads for the traffic of each entry VM.
const WORKERS: usize = 2;
/// Secret of operators on a bed.
const ADMIN_SECRET: &str = "bed-admin-secret";
/// Secret of backend servers on a bed.
const ANNOUNCE_SECRET: &str = "bed-announce-secret";

/// Backend servers of one kind.
#[derive(Clone, Debug)]
pub struct ServerGroup {
    /// The service that they offer.
    pub service: String,
    /// What they run.
    pub role: Role,
    /// How many, spread over the zones in turn.
    pub count: usize,
    /// Requests that each works on at once.
    pub slots: u64,
    /// How fast they work.
    pub pace: Pace,
    /// Prefixes that each caches.
    pub cache: usize,
}

/// What a [`TestCluster`] consists of.
#[derive(Clone, Debug)]
pub struct TestClusterConfig {
    /// Availability zone of each entry VM.
    pub zones: Vec<String>,
    /// How many of the entry VMs, from the first, have a disk and found the replicated log.
    pub disk_count: usize,
    /// Backend servers.
    pub groups: Vec<ServerGroup>,
    /// Catalogue entries as JSON.
    pub entries: Vec<Value>,
    /// Addresses at which each VM reaches each other one instead of the real ones, as
    /// `(from, to, address)`; for links that a test cuts.
    pub proxies: Vec<(usize, usize, SocketAddr)>,
    /// Addresses at which the entry VMs listen for each other; free ones if empty.
    pub peer_listeners: Vec<SocketAddr>,
    /// Longest wait for the head of a backend server's answer.
    pub head_timeout: Duration,
    /// Policy of the brokers.
    pub policy: Policy,
}

/// A catalogue entry for a test account whose credential is its name.
#[must_use]
pub fn account_entry(account: &str, tier: u8, services: &[&str]) -> Value {
    json!({
        "account": account,
        "tier": tier,
        "services": services,
        "rate": 100_000,
        "concurrent": 100_000,
        "tokens": 1_000_000_000,
        "credential": model::digest(account.as_bytes()),
    })
}

/// The body of a chat completion with a prompt of about `prompt` tokens.
#[must_use]
pub fn chat_body(model: &str, prompt: usize, max_tokens: u64, stream: bool) -> Vec<u8> {
    json!({
        "model": model,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "abc ".repeat(prompt) }],
    })
    .to_string()
    .into_bytes()
}

impl TestClusterConfig {
    /// One entry VM, one model engine, one plain service, and the accounts `tier-0` to `tier-4`.
    #[must_use]
    pub fn small() -> Self {
        let pace = Pace { prefill_us: 20, decode_us: 2_000 };
        let group = |service: &str, role, slots| ServerGroup {
            service: service.into(),
            role,
            count: 1,
            slots,
            pace,
            cache: 8,
        };
        Self {
            zones: vec!["zone-a".into()],
            disk_count: 1,
            groups: vec![group("loom-model", Role::Engine, 4), group("order-desk", Role::Plain, 8)],
            entries: (0..5)
                .map(|t| account_entry(&format!("tier-{t}"), t, &["loom-model", "order-desk"]))
                .collect(),
            proxies: Vec::new(),
            peer_listeners: Vec::new(),
            head_timeout: Duration::from_secs(20),
            policy: Policy::default(),
        }
    }

    /// Four entry VMs in three zones, three of them with disks; six engines and three plain
    /// services.
    #[must_use]
    pub fn zones() -> Self {
        let mut config = Self::small();
        config.zones = ["zone-a", "zone-b", "zone-c", "zone-a"].map(String::from).to_vec();
        config.disk_count = 3;
        config.groups[0].count = 6;
        config.groups[1].count = 3;
        config
    }
}

/// An entry VM of a bed, on threads of its own, so that it can be killed whole.
#[derive(Debug)]
pub struct TestNode {
    node: Node,
    runtime: Option<Runtime>,
}

impl TestNode {
    async fn start(settings: Settings, policy: Policy) -> Result<Self, Report<Error>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .change_context_lazy(|| bed_error("threads"))?;
        let start = async move { Node::start_with_policy(&settings, policy).await };
        let started = runtime.spawn(start).await;
        let node = match started.change_context_lazy(|| bed_error("an entry VM")) {
            Ok(Ok(node)) => node,
            Ok(Err(report)) | Err(report) => {
                runtime.shutdown_background();
                return Err(report);
            }
        };
        Ok(Self { node, runtime: Some(runtime) })
    }

    /// Stops as planned; whether everything in flight was finished in time.
    pub async fn stop(self) -> bool {
        let finished = self.node.stop().await;
        if let Some(runtime) = self.runtime {
            runtime.shutdown_background();
        }
        finished
    }

    /// Dies: all its connections and tasks end at once.
    pub fn kill(self) {
        self.node.kill();
        if let Some(runtime) = self.runtime {
            runtime.shutdown_background();
        }
    }
}

impl std::ops::Deref for TestNode {
    type Target = Node;

    fn deref(&self) -> &Node {
        &self.node
    }
}

/// Running entry VMs and backend servers.
#[derive(Debug)]
pub struct TestCluster {
    config: TestClusterConfig,
    settings: Vec<Settings>,
    nodes: Vec<Option<TestNode>>,
    /// The backend servers, in the order of their groups.
    pub servers: Vec<Server>,
    folder: PathBuf,
    holders: Arc<PrefixHolders>,
}

impl TestCluster {
    /// Starts everything and puts the catalogue in force.
    ///
    /// # Errors
    ///
    /// If something does not start, or the catalogue is not accepted.
    pub async fn start(config: TestClusterConfig) -> Result<Self, Report<Error>> {
        let folder =
            std::env::temp_dir().join(format!("fuchsiausher-bed-{:x}", rand::random::<u64>()));
        let settings = make_settings(&config, &folder);
        let nodes = settings.iter().map(|_| None).collect();
        let holders = Arc::default();
        let mut bed = Self { config, settings, nodes, servers: Vec::new(), folder, holders };
        for at in 0..bed.settings.len() {
            bed.start_node(at).await?;
        }
        bed.start_servers().await?;
        bed.wait_ready().await?;
        bed.put_entries().await?;
        bed.wait_servers().await?;
        Ok(bed)
    }

    /// Starts an entry VM that is not running; its data folder is as it was left.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub async fn start_node(&mut self, at: usize) -> Result<(), Report<Error>> {
        self.nodes[at] =
            Some(TestNode::start(self.settings[at].clone(), self.config.policy).await?);
        Ok(())
    }

    async fn start_servers(&mut self) -> Result<(), Report<Error>> {
        let mut zones = self.config.zones.clone();
        zones.sort();
        zones.dedup();
        for group in self.config.groups.clone() {
            for i in 0..group.count {
                let zone = zones[i % zones.len()].clone();
                let config = Config {
                    id: format!("{}-{}", group.service, i + 1),
                    service: group.service.clone(),
                    role: group.role,
                    slots: group.slots,
                    pace: group.pace,
                    cache: group.cache,
                    zone: zone.clone(),
                    // Every second one checks fencing numbers, as some deployments' engines do.
                    checks_fences: i % 2 == 0,
                    holders: Arc::clone(&self.holders),
                };
                let mut server =
                    Server::start(config).await.change_context_lazy(|| bed_error("a stand-in"))?;
                server.announce(self.announcer(&zone));
                self.servers.push(server);
            }
        }
        Ok(())
    }

    /// Announces to the entry VMs of a zone.
    #[must_use]
    pub fn announcer(&self, zone: &str) -> Announcer {
        let in_zone = self.settings.iter().filter(|s| s.zone.as_str() == zone);
        let admin_addresses = in_zone.map(|s| s.admin).collect();
        Announcer { admin_addresses, secret: ANNOUNCE_SECRET.into() }
    }

    async fn wait_ready(&self) -> Result<(), Report<Error>> {
        let all_ready = async {
            while !self.nodes.iter().flatten().all(|n| n.is_ready()) {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_ready)
            .await
            .change_context_lazy(|| bed_error("the entry VMs did not become ready"))
    }

    async fn put_entries(&self) -> Result<(), Report<Error>> {
        let edit = json!({ "id": "bed-entries", "base": 0, "put": self.config.entries });
        let mut last = bed_error("no entry VM");
        for _ in 0..20 {
            match self.admin(0).post("/catalogue/edits", &edit).await {
                Ok(_) => return Ok(()),
                Err(error) => last = bed_error(&error.to_string()),
            }
            tokio::time::sleep(POLL * 4).await;
        }
        Err(last.into())
    }

    async fn wait_servers(&self) -> Result<(), Report<Error>> {
        let known = async {
            while self.known_servers().await < self.servers.len() {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, known)
            .await
            .change_context_lazy(|| bed_error("the backend servers were not heard"))
    }

    async fn known_servers(&self) -> usize {
        let mut known = 0;
        for at in 0..self.nodes.len() {
            let status = self.admin(at).get("/status").await.unwrap_or_default();
            let servers = status["servers"].as_array().map_or(0, |servers| {
                servers.iter().filter(|s| !s["announcement"].is_null()).count()
            });
            known += servers;
        }
        known
    }

    /// Operators' calls to an entry VM.
    #[must_use]
    pub fn admin(&self, at: usize) -> AdminClient {
        AdminClient::new(self.settings[at].admin, ADMIN_SECRET)
    }

    /// Where callers reach an entry VM.
    #[must_use]
    pub fn caller_address(&self, at: usize) -> SocketAddr {
        self.settings[at].callers
    }

    /// Settings of an entry VM.
    #[must_use]
    pub fn settings(&self, at: usize) -> &Settings {
        &self.settings[at]
    }

    /// An entry VM, if it is running.
    #[must_use]
    pub fn node(&self, at: usize) -> Option<&Node> {
        self.nodes[at].as_deref()
    }

    /// Number of entry VMs, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no entry VMs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Sends a chat completion as an account, whose credential is its name.
    ///
    /// # Errors
    ///
    /// If the answer does not arrive whole.
    pub async fn chat(
        &self,
        at: usize,
        account: &str,
        body: Vec<u8>,
    ) -> Result<HttpResponse, CallError> {
        let headers = [("authorization", format!("Bearer {account}"))];
        call(self.caller_address(at), "POST", "/v1/chat/completions", &headers, body).await
    }

    /// Takes an entry VM out of the bed, to stop or kill it.
    pub fn take_node(&mut self, at: usize) -> Option<TestNode> {
        self.nodes[at].take()
    }

    /// Empties the data folder of an entry VM that is not running.
    ///
    /// # Errors
    ///
    /// If the folder cannot be removed.
    pub fn remove_data(&self, at: usize) -> std::io::Result<()> {
        match &self.settings[at].data {
            Some(folder) => std::fs::remove_dir_all(folder),
            None => Ok(()),
        }
    }

    /// Stops all entry VMs as planned and removes their data folders.
    pub async fn stop(mut self) {
        let nodes: Vec<TestNode> = self.nodes.iter_mut().filter_map(Option::take).collect();
        let stops: Vec<_> = nodes.into_iter().map(|n| tokio::spawn(n.stop())).collect();
        for stop in stops {
            let _ = stop.await;
        }
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for node in self.nodes.iter_mut().filter_map(Option::take) {
            node.kill();
        }
        // Best effort: the folder lies in the system's place for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn bed_error(why: &str) -> Error {
    ErrorKind::Bed(why.into()).into()
}

/// A loopback address that nothing listens on and that no other call in this process gets.
///
/// The port lies below those that the system gives to outgoing connections: one of these could
/// take the port between this call and its use.
///
/// # Examples
///
/// ```
/// assert_ne!(fuchsiausher::free_address(), fuchsiausher::free_address());
/// ```
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed)
            + std::process::id().wrapping_mul(PORT_STRIDE) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(n % PORT_COUNT).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn make_settings(config: &TestClusterConfig, folder: &std::path::Path) -> Vec<Settings> {
    let name = |at: usize| format!("vm-{}", at + 1);
    let vm = |at: usize| name(at).try_into().expect("a valid name");
    let zone = |at: usize| config.zones[at].clone().try_into().expect("a valid name");
    let listen = |at: usize| config.peer_listeners.get(at).copied().unwrap_or_else(free_address);
    let addresses: Vec<[SocketAddr; 3]> =
        (0..config.zones.len()).map(|at| [free_address(), free_address(), listen(at)]).collect();
    let address = |from: usize, to: usize| {
        let detour = config.proxies.iter().find(|(f, t, _)| (*f, *t) == (from, to));
        detour.map_or(addresses[to][2], |d| d.2)
    };
    let all = 0..config.zones.len();
    let make = |at: usize| Settings {
        vm: vm(at),
        zone: zone(at),
        callers: addresses[at][0],
        admin: addresses[at][1],
        peers_listen: addresses[at][2],
        data: (at < config.disk_count).then(|| folder.join(name(at))),
        founders: (0..config.disk_count).map(vm).collect(),
        max_body: 1 << 20,
        peers: all
            .clone()
            .filter(|to| *to != at)
            .map(|to| Peer { vm: vm(to), zone: zone(to), address: address(at, to) })
            .collect(),
        timeouts: Timeouts {
            header: Duration::from_secs(5),
            connect: Duration::from_millis(500),
            head: config.head_timeout,
            idle: Duration::from_secs(10),
            deadline: Duration::from_secs(10),
            stop: Duration::from_mins(1),
        },
        secrets: Secrets {
            cluster: "a shared key of the test bed".into(),
            admin: ADMIN_SECRET.into(),
            announce: ANNOUNCE_SECRET.into(),
        },
    };
    all.clone().map(make).collect()
}
