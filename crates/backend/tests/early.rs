//! Servers that answer before a long request has arrived, and then reset the connection.

use std::{net::SocketAddr, time::Duration};

use backend::{Client, Failure, Framing, Timeouts};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Size of a request that does not fit into the buffers of a connection, in bytes.
const UPLOAD: usize = 24 << 20;
const EARLY: &[u8] = b"HTTP/1.1 200 OK\r\n\r\na part of the answer";

/// What a server does between its early answer and the reset of the connection.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// Waits, and reads nothing more.
    Wait(Duration),
    /// Reads this many bytes more of the request.
    Read(usize),
}

/// Starts a server that answers long requests early and resets their connections, and answers calls
/// without a body.
async fn serve(pause: Pause) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, pause));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, pause: Pause) {
    let mut head = [0; 2_048];
    while let Ok(len @ 1..) = stream.read(&mut head).await {
        if head[..len].starts_with(b"GET") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
            continue;
        }
        stream.write_all(EARLY).await.unwrap();
        match pause {
            Pause::Wait(time) => sleep(time).await,
            Pause::Read(mut bytes) => {
                let mut buffer = vec![0; 64 << 10];
                while bytes > 0 {
                    let Ok(len @ 1..) = stream.read(&mut buffer).await else { return };
                    bytes = bytes.saturating_sub(len);
                }
            }
        }
        stream.set_zero_linger().unwrap();
        return;
    }
}

/// Guards against passing on the part of an answer that arrived before its connection was reset as
/// the whole, because the write of the request saw the reset first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_early_answer_whose_connection_is_reset_during_the_upload_is_not_whole() {
    let waits = [0, 50, 200, 1_000, 5_000, 20_000].map(|us| Pause::Wait(Duration::from_micros(us)));
    let reads = [1, 64 << 10, 1 << 20, 4 << 20].map(Pause::Read);
    let body = Bytes::from(vec![b'x'; UPLOAD]);
    let mut answers = 0;
    for pause in waits.into_iter().chain(reads) {
        let address = serve(pause).await;
        let client = Client::new(Timeouts::default());
        for round in 0..20 {
            let request = Request::post("/").header("host", "a").body(Full::new(body.clone()));
            // The reset may come before the head was read.
            let Ok(mut exchange) = client.send(address, "id", request.unwrap()).await else {
                continue;
            };
            answers += 1;
            assert_eq!(exchange.framing(), Framing::Connection);
            // Callers read at once, or some time after the reset.
            if round % 2 == 1 {
                sleep(Duration::from_millis(30)).await;
            }
            let body = exchange.read_whole(1 << 20).await;
            let Err(Failure::Broken { why }) = body else { panic!("{pause:?}: {body:?}") };
            assert!(why.starts_with("error reading a body"), "{pause:?}: {why}");
        }
    }
    assert!(answers > 20, "{answers} answers were read before their reset");
}
