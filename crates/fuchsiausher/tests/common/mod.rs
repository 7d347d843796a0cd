//! Links between entry VMs that a test can cut silently.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fuchsiausher::BedConfig;
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
    pub(crate) async fn new(config: &mut BedConfig) -> Self {
        let count = config.zones.len();
        config.listens = (0..count).map(|_| free()).collect();
        let mut cut = Vec::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let flag = Arc::new(AtomicBool::new(false));
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap();
                config.detours.push((from, to, address));
                tokio::spawn(accept(listener, config.listens[to], Arc::clone(&flag)));
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

fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
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
