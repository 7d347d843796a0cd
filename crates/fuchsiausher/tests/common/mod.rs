//! Proxies on the links between entry VMs, which a test can cut, and entry VMs as processes.
#![allow(dead_code, reason = "each test target uses a part of this module")]

use std::{
    fmt::Write as _,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fuchsiausher::{AdminClient, TestClusterConfig, free_address};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Interval at which a cut link checks whether it is restored.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Proxied links between all entry VMs of a test cluster. Each direction has a flag that cuts it.
pub(crate) struct Links {
    cut: Vec<(usize, usize, Arc<AtomicBool>)>,
}

impl Links {
    /// Starts a proxy for each direction between two entry VMs, and enters the proxies into the
    /// configuration of a test cluster that is not started yet.
    pub(crate) async fn new(config: &mut TestClusterConfig) -> Self {
        let count = config.zones.len();
        config.peer_listeners = (0..count).map(|_| free_address()).collect();
        let mut cut = Vec::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let flag = Arc::new(AtomicBool::new(false));
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap();
                config.proxies.push((from, to, address));
                tokio::spawn(accept(listener, config.peer_listeners[to], Arc::clone(&flag)));
                cut.push((from, to, flag));
            }
        }
        Self { cut }
    }

    /// Cuts or restores all links of one entry VM, in both directions. A cut link holds bytes back
    /// and keeps connections open, so neither end notices the cut from its connection.
    pub(crate) fn isolate(&self, vm: usize, isolated: bool) {
        for (from, to, flag) in &self.cut {
            if *from == vm || *to == vm {
                flag.store(isolated, Ordering::Relaxed);
            }
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: Arc<AtomicBool>) {
    while let Ok((near, _)) = listener.accept().await {
        let cut = Arc::clone(&cut);
        tokio::spawn(async move {
            restored(&cut).await;
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = forward(near_read, far_write, &cut) => {}
                () = forward(far_read, near_write, &cut) => {}
            }
        });
    }
}

async fn restored(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: &AtomicBool) {
    let mut buffer = [0; 16_384];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        restored(cut).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// The operators' secret of the processes.
const ADMIN_SECRET: &str = "operators";

/// Entry VMs that run as processes. The first three have data folders and are founding members of
/// the replicated log. Dropping it kills the processes and removes their files.
pub(crate) struct Processes {
    folder: PathBuf,
    admins: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Processes {
    /// Writes settings with the zones and proxies of a test cluster's configuration, and starts all
    /// processes.
    pub(crate) fn start(name: &str, config: &TestClusterConfig) -> Self {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let count = config.zones.len();
        let admins: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        for (index, admin) in admins.iter().enumerate() {
            let text = settings(config, &folder, index, *admin);
            std::fs::write(folder.join(format!("vm-{index}.toml")), text).unwrap();
        }
        let children = (0..count).map(|_| None).collect();
        let mut processes = Self { folder, admins, children };
        for index in 0..count {
            processes.spawn(index);
        }
        processes
    }

    /// Starts the process of an entry VM that is not running.
    pub(crate) fn spawn(&mut self, index: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_fuchsiausher"))
            .arg("run")
            .arg(self.folder.join(format!("vm-{index}.toml")))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    /// Ends a process with SIGKILL.
    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub(crate) fn admin(&self, index: usize) -> AdminClient {
        AdminClient::new(self.admins[index], ADMIN_SECRET)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings(
    config: &TestClusterConfig,
    folder: &std::path::Path,
    index: usize,
    admin: SocketAddr,
) -> String {
    let mut text = format!(
        "vm = \"vm-{index}\"\nzone = \"{}\"\ncallers = \"{}\"\nadmin = \"{admin}\"\n\
         peers_listen = \"{}\"\nfounders = [\"vm-0\", \"vm-1\", \"vm-2\"]\n",
        config.zones[index],
        free_address(),
        config.peer_listeners[index],
    );
    if index < 3 {
        writeln!(text, "data = \"{}\"", folder.join(format!("data-{index}")).display()).unwrap();
    }
    writeln!(
        text,
        "[secrets]\ncluster = \"a key that is long enough\"\nadmin = \"{ADMIN_SECRET}\"\n\
         announce = \"servers\""
    )
    .unwrap();
    for (_, to, address) in config.proxies.iter().filter(|(from, _, _)| *from == index) {
        let zone = &config.zones[*to];
        writeln!(text, "[[peers]]\nvm = \"vm-{to}\"\nzone = \"{zone}\"\naddress = \"{address}\"")
            .unwrap();
    }
    text
}
