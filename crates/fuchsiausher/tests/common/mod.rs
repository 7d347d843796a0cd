//! Links between entry VMs that a test can cut silently, and entry VMs as processes.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// Interval at which a cut link looks whether it is joined again.
const POLL: Duration = Duration::from_millis(10);

/// Links between all entry VMs of a bed.
pub(crate) struct Links {
    cut: Vec<(usize, usize, Arc<AtomicBool>)>,
}

impl Links {
    /// Puts a link between every two entry VMs of a bed that is not started yet.
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

    /// Cuts or joins all links of one entry VM, in both directions. Bytes on a cut link are held,
    /// not refused: nothing tells either end.
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
            joined(&cut).await;
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = pass(near_read, far_write, &cut) => {}
                () = pass(far_read, near_write, &cut) => {}
            }
        });
    }
}

async fn joined(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL).await;
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: &AtomicBool) {
    let mut buffer = [0; 16_384];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        joined(cut).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Secret of operators of the processes.
const ADMIN_SECRET: &str = "operators";

/// Entry VMs as processes of their own: the first three have disks and found the replicated log.
pub(crate) struct Processes {
    folder: PathBuf,
    admins: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Processes {
    /// Writes the settings of a bed's zones and links, and starts all processes.
    pub(crate) fn start(name: &str, config: &TestClusterConfig) -> Self {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let count = config.zones.len();
        let admins: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        for (at, admin) in admins.iter().enumerate() {
            let text = settings(config, &folder, at, *admin);
            std::fs::write(folder.join(format!("vm-{at}.toml")), text).unwrap();
        }
        let children = (0..count).map(|_| None).collect();
        let mut processes = Self { folder, admins, children };
        for at in 0..count {
            processes.spawn(at);
        }
        processes
    }

    /// Starts a process that is not running.
    pub(crate) fn spawn(&mut self, at: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_fuchsiausher"))
            .arg("run")
            .arg(self.folder.join(format!("vm-{at}.toml")))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.children[at] = Some(child);
    }

    /// Ends a process at once, by SIGKILL.
    pub(crate) fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub(crate) fn admin(&self, at: usize) -> AdminClient {
        AdminClient::new(self.admins[at], ADMIN_SECRET)
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
    at: usize,
    admin: SocketAddr,
) -> String {
    let mut text = format!(
        "vm = \"vm-{at}\"\nzone = \"{}\"\ncallers = \"{}\"\nadmin = \"{admin}\"\n\
         peers_listen = \"{}\"\nfounders = [\"vm-0\", \"vm-1\", \"vm-2\"]\n",
        config.zones[at],
        free_address(),
        config.peer_listeners[at],
    );
    if at < 3 {
        writeln!(text, "data = \"{}\"", folder.join(format!("data-{at}")).display()).unwrap();
    }
    writeln!(
        text,
        "[secrets]\ncluster = \"a key that is long enough\"\nadmin = \"{ADMIN_SECRET}\"\n\
         announce = \"servers\""
    )
    .unwrap();
    for (_, to, address) in config.proxies.iter().filter(|(from, _, _)| *from == at) {
        let zone = &config.zones[*to];
        writeln!(text, "[[peers]]\nvm = \"vm-{to}\"\nzone = \"{zone}\"\naddress = \"{address}\"")
            .unwrap();
    }
    text
}
