//! A test cluster: entry VMs and stand-in backend servers on loopback addresses, in this process.
//!
//! The demo, the tests and the measurements run on a [`TestCluster`]. Each entry VM has a tokio
//! runtime of its own, so that it can be stopped or killed while the others run.

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

/// Longest wait for the entry VMs to become ready, and for them to know all backend servers.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First of the ports that test clusters listen on.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that test clusters listen on.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two processes with consecutive process ids.
const PORT_STRIDE: u32 = 271;
/// Worker threads of each entry VM's runtime.
const WORKER_THREADS: usize = 2;
/// The operators' secret of every test cluster.
const ADMIN_SECRET: &str = "bed-admin-secret";
/// The backend servers' secret for announcements in every test cluster.
const ANNOUNCE_SECRET: &str = "bed-announce-secret";

/// A group of backend servers with the same configuration.
#[derive(Clone, Debug)]
pub struct ServerGroup {
    /// Name of the service that the servers offer. Their ids are this name, a hyphen and a number
    /// from 1.
    pub service: String,
    /// Whether the servers are model engines or plain services.
    pub role: Role,
    /// Number of servers, distributed over the zones in turn.
    pub count: usize,
    /// Number of requests that each server announces to process concurrently.
    pub slots: u64,
    /// Processing times of the servers.
    pub pace: Pace,
    /// Number of prompt prefixes that each server's cache holds.
    pub cache: usize,
}

/// Configuration of a [`TestCluster`].
#[derive(Clone, Debug)]
pub struct TestClusterConfig {
    /// Availability zone of each entry VM. Its length is the number of entry VMs.
    pub zones: Vec<String>,
    /// Number of entry VMs, from the first, that have a data folder and are founding members of the
    /// replicated log.
    pub disk_count: usize,
    /// Groups of backend servers.
    pub groups: Vec<ServerGroup>,
    /// Catalogue entries as JSON, in the form that [`account_entry`] returns.
    pub entries: Vec<Value>,
    /// Proxies between entry VMs, as `(from, to, address)` with the indexes of two entry VMs. The
    /// first connects to this address instead of the second's listener, so that a test can cut the
    /// link.
    pub proxies: Vec<(usize, usize, SocketAddr)>,
    /// Addresses at which the entry VMs listen for each other, by index. An entry VM without one
    /// gets a free address.
    pub peer_listeners: Vec<SocketAddr>,
    /// Longest wait for the head of a backend server's response.
    pub head_timeout: Duration,
    /// Scheduling policy of the brokers.
    pub policy: Policy,
}

/// Returns a catalogue entry for a test account whose credential is its name.
///
/// Its limits are far above the load of any test.
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

/// Returns the body of a chat completion call with a prompt of about `prompt` tokens.
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
    /// Returns a configuration with one entry VM, one model engine, one plain service, and the
    /// accounts `tier-0` to `tier-4`.
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

    /// Returns a configuration with four entry VMs in three zones, three of them with data folders,
    /// six model engines, three plain services, and the accounts of [`small`](Self::small).
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

/// An entry VM of a test cluster. It has a runtime of its own, so that killing it ends all its
/// tasks.
#[derive(Debug)]
pub struct TestNode {
    node: Node,
    runtime: Option<Runtime>,
}

impl TestNode {
    async fn start(settings: Settings, policy: Policy) -> Result<Self, Report<Error>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .change_context_lazy(|| cluster_error("threads"))?;
        let start = async move { Node::start_with_policy(&settings, policy).await };
        let started = runtime.spawn(start).await;
        let node = match started
            .change_context_lazy(|| cluster_error("the task that starts an entry VM failed"))
        {
            Ok(Ok(node)) => node,
            Ok(Err(report)) | Err(report) => {
                runtime.shutdown_background();
                return Err(report);
            }
        };
        Ok(Self { node, runtime: Some(runtime) })
    }

    /// Performs a planned stop. Returns whether all requests in flight were finished in time.
    pub async fn stop(self) -> bool {
        let finished = self.node.stop().await;
        if let Some(runtime) = self.runtime {
            runtime.shutdown_background();
        }
        finished
    }

    /// Simulates a crash: ends all connections and tasks of this entry VM at once.
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

/// Running entry VMs and backend servers. Dropping it kills the entry VMs and removes their data
/// folders.
///
/// Entry VMs are addressed by their index in [`TestClusterConfig::zones`]. Methods that take an
/// index panic if it is out of range.
#[derive(Debug)]
pub struct TestCluster {
    config: TestClusterConfig,
    settings: Vec<Settings>,
    nodes: Vec<Option<TestNode>>,
    /// Backend servers, in the order of their groups.
    pub servers: Vec<Server>,
    folder: PathBuf,
    holders: Arc<PrefixHolders>,
}

impl TestCluster {
    /// Starts the entry VMs and backend servers and writes the catalogue. Returns once the entry
    /// VMs know all backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start in time, or the catalogue is not accepted.
    pub async fn start(config: TestClusterConfig) -> Result<Self, Report<Error>> {
        let folder =
            std::env::temp_dir().join(format!("fuchsiausher-bed-{:x}", rand::random::<u64>()));
        let settings = make_settings(&config, &folder);
        let nodes = settings.iter().map(|_| None).collect();
        let holders = Arc::default();
        let mut cluster = Self { config, settings, nodes, servers: Vec::new(), folder, holders };
        for index in 0..cluster.settings.len() {
            cluster.start_node(index).await?;
        }
        cluster.start_servers().await?;
        cluster.wait_ready().await?;
        cluster.put_entries().await?;
        cluster.wait_servers().await?;
        Ok(cluster)
    }

    /// Starts an entry VM that is not running, with the data folder that its last run left.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry VM cannot be started.
    pub async fn start_node(&mut self, index: usize) -> Result<(), Report<Error>> {
        self.nodes[index] =
            Some(TestNode::start(self.settings[index].clone(), self.config.policy).await?);
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
                    // Only every second server checks fencing numbers, since only some deployments'
                    // engines do.
                    checks_fences: i % 2 == 0,
                    holders: Arc::clone(&self.holders),
                };
                let mut server = Server::start(config).await.change_context_lazy(|| {
                    cluster_error("a stand-in backend server cannot be started")
                })?;
                server.announce(self.announcer(&zone));
                self.servers.push(server);
            }
        }
        Ok(())
    }

    /// Returns an announcer that sends a backend server's announcements to the entry VMs of a zone.
    #[must_use]
    pub fn announcer(&self, zone: &str) -> Announcer {
        let in_zone = self.settings.iter().filter(|s| s.zone.as_str() == zone);
        let admin_addresses = in_zone.map(|s| s.admin).collect();
        Announcer { admin_addresses, secret: ANNOUNCE_SECRET.into() }
    }

    async fn wait_ready(&self) -> Result<(), Report<Error>> {
        let all_ready = async {
            while !self.nodes.iter().flatten().all(|n| n.is_ready()) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_ready)
            .await
            .change_context_lazy(|| cluster_error("the entry VMs did not become ready"))
    }

    async fn put_entries(&self) -> Result<(), Report<Error>> {
        let edit = json!({ "id": "bed-entries", "base": 0, "put": self.config.entries });
        let mut last = cluster_error("the catalogue edit was not sent");
        for _ in 0..20 {
            match self.admin(0).post("/catalogue/edits", &edit).await {
                Ok(_) => return Ok(()),
                Err(error) => last = cluster_error(&error.to_string()),
            }
            tokio::time::sleep(POLL_INTERVAL * 4).await;
        }
        Err(last.into())
    }

    async fn wait_servers(&self) -> Result<(), Report<Error>> {
        let known = async {
            while self.known_servers().await < self.servers.len() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, known).await.change_context_lazy(|| {
            cluster_error("the entry VMs did not receive the announcements of all backend servers")
        })
    }

    async fn known_servers(&self) -> usize {
        let mut known = 0;
        for index in 0..self.nodes.len() {
            let status = self.admin(index).get("/status").await.unwrap_or_default();
            let servers = status["servers"].as_array().map_or(0, |servers| {
                servers.iter().filter(|s| !s["announcement"].is_null()).count()
            });
            known += servers;
        }
        known
    }

    /// Returns a client for the administration listener of an entry VM.
    #[must_use]
    pub fn admin(&self, index: usize) -> AdminClient {
        AdminClient::new(self.settings[index].admin, ADMIN_SECRET)
    }

    /// Returns the address at which an entry VM serves callers.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.settings[index].callers
    }

    /// Returns the settings of an entry VM.
    #[must_use]
    pub fn settings(&self, index: usize) -> &Settings {
        &self.settings[index]
    }

    /// Returns an entry VM, or `None` if it is not running.
    #[must_use]
    pub fn node(&self, index: usize) -> Option<&Node> {
        self.nodes[index].as_deref()
    }

    /// Returns the number of entry VMs, whether running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the test cluster has no entry VMs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Sends a chat completion call to an entry VM, with the account's name as credential.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer does not arrive whole.
    pub async fn chat(
        &self,
        index: usize,
        account: &str,
        body: Vec<u8>,
    ) -> Result<HttpResponse, CallError> {
        let headers = [("authorization", format!("Bearer {account}"))];
        call(self.caller_address(index), "POST", "/v1/chat/completions", &headers, body).await
    }

    /// Removes an entry VM from the test cluster, to stop or kill it. Returns `None` if it is not
    /// running.
    pub fn take_node(&mut self, index: usize) -> Option<TestNode> {
        self.nodes[index].take()
    }

    /// Removes the data folder of an entry VM that is not running, as if its disk were lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be removed.
    pub fn remove_data(&self, index: usize) -> std::io::Result<()> {
        match &self.settings[index].data {
            Some(folder) => std::fs::remove_dir_all(folder),
            None => Ok(()),
        }
    }

    /// Performs a planned stop of all entry VMs at once and removes their data folders.
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
        // An error is ignored, since the folder lies in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn cluster_error(why: &str) -> Error {
    ErrorKind::TestCluster(why.into()).into()
}

/// Returns a loopback address that nothing listens on and that no other call in this process
/// returns, until the ports are used up.
///
/// The port lies below the range that the system uses for outgoing connections, since such a
/// connection could take the port before the caller binds it.
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
    let name = |index: usize| format!("vm-{}", index + 1);
    let vm = |index: usize| name(index).try_into().expect("a valid name");
    let zone = |index: usize| config.zones[index].clone().try_into().expect("a valid name");
    let listen =
        |index: usize| config.peer_listeners.get(index).copied().unwrap_or_else(free_address);
    let addresses: Vec<[SocketAddr; 3]> = (0..config.zones.len())
        .map(|index| [free_address(), free_address(), listen(index)])
        .collect();
    let address = |from: usize, to: usize| {
        let proxy = config.proxies.iter().find(|(f, t, _)| (*f, *t) == (from, to));
        proxy.map_or(addresses[to][2], |d| d.2)
    };
    let all = 0..config.zones.len();
    let make = |index: usize| Settings {
        vm: vm(index),
        zone: zone(index),
        callers: addresses[index][0],
        admin: addresses[index][1],
        peers_listen: addresses[index][2],
        data: (index < config.disk_count).then(|| folder.join(name(index))),
        founders: (0..config.disk_count).map(vm).collect(),
        max_body: 1 << 20,
        peers: all
            .clone()
            .filter(|to| *to != index)
            .map(|to| Peer { vm: vm(to), zone: zone(to), address: address(index, to) })
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
