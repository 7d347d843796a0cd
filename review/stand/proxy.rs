//! A proxy in front of a server. While its path is cut, it holds all bytes and ends of connections,
//! and delivers them afterwards, as retransmissions do.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

pub struct Proxy {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Listens on a free port of `ip` and forwards to `back`.
    pub fn start(ip: &str, back: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let state = Arc::clone(&cut);
        spawn(move || {
            for front in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&state);
                spawn(move || {
                    wait(&state);
                    let Ok(back) = TcpStream::connect(back) else { return };
                    let _ = front.set_nodelay(true);
                    let _ = back.set_nodelay(true);
                    let (Ok(from), Ok(to)) = (back.try_clone(), front.try_clone()) else { return };
                    let down = Arc::clone(&state);
                    spawn(move || pump(from, to, &down));
                    pump(front, back, &state);
                });
            }
        });
        Self { address, cut }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Waits until the path is not cut.
fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(5));
    }
}

/// Forwards bytes in one direction, and then the end or the reset of the connection.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    loop {
        let read = from.read(&mut bytes);
        wait(cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(len) if to.write_all(&bytes[..len]).is_ok() => {}
            _ => {
                // Neither side can go on.
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
