//! Servers that send bytes without end, until the client closes the connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use backend::{Client, Exchange, Failure, Timeouts};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use model::Verdict;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::timeout,
};

/// Longest time until a response without end has failed and its connection is closed.
const LIMIT: Duration = Duration::from_secs(20);
/// Maximum size of a response that is buffered, in bytes.
const MAX_BUFFERED: usize = 16 << 20;
/// Maximum size of a response that is read piece by piece, in bytes.
const MAX_BODY: usize = 64 << 20;
/// Maximum size of all bodies that are buffered at the same time, in bytes.
const MAX_BUFFERED_IN_ALL: usize = 64 << 20;
/// Maximum number of bytes that are read until the head is complete.
const MAX_BEFORE_BODY: usize = 1 << 20;
/// Bytes that the kernel holds for one connection at most.
const SOCKET_BUFFERS: usize = 16 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that answers each request with `start` and then repeats `pattern` until its
/// connection is closed. The channel receives the number of bytes sent on each connection.
async fn endless(start: String, pattern: String) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    let block = Arc::new(pattern.repeat(16_384_usize.div_ceil(pattern.len())));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (start, block, sender) = (start.clone(), Arc::clone(&block), sender.clone());
            tokio::spawn(async move {
                let _ = sender.send(flood(stream, &start, &block).await);
            });
        }
    });
    (address, receiver)
}

async fn flood(mut stream: TcpStream, start: &str, block: &str) -> usize {
    let _ = stream.read(&mut [0; 4_096]).await;
    let mut sent = 0;
    let mut next = start;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        sent += next.len();
        next = block;
    }
    sent
}

async fn send(client: &Client, address: SocketAddr) -> Result<Exchange, Failure> {
    let request = Request::new(Full::new(Bytes::new()));
    client.send(address, "r-1", request).await
}

#[tokio::test]
async fn a_head_without_end_fails_and_closes_the_connection() {
    let cases = [
        ("no line", "", "x"),
        ("status lines", "", "HTTP/1.1 \r\n"),
        ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("one header", "HTTP/1.1 200 OK\r\na: ", "b"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("interim responses with headers", "", "HTTP/1.1 103 Hints\r\na: b\r\n\r\n"),
    ];
    for (name, start, pattern) in cases {
        let client = Client::new(Timeouts::default());
        let (address, mut sent) = endless(start.into(), pattern.into()).await;
        let result = timeout(LIMIT, send(&client, address)).await.expect(name);
        let failure = result.expect_err(name);
        assert!(matches!(failure, Failure::Broken { .. }), "{name}: {failure}");
        assert_eq!(failure.verdict(), Verdict::MayHaveRun, "{name}");
        let sent = timeout(LIMIT, sent.recv()).await.expect(name).unwrap();
        assert!(sent <= MAX_BEFORE_BODY + SOCKET_BUFFERS, "{name}: {sent} bytes read");
    }
}

/// Starts and patterns of bodies without end.
fn bodies() -> [(&'static str, String, String); 5] {
    [
        ("unknown length", "HTTP/1.1 200 OK\r\n\r\n".into(), "x".into()),
        (
            "announced length",
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 1_u64 << 62),
            "x".into(),
        ),
        ("chunks", CHUNKED.into(), format!("400\r\n{}\r\n", "x".repeat(1_024))),
        ("chunk extension", format!("{CHUNKED}1;"), "x".into()),
        ("trailers", format!("{CHUNKED}0\r\n"), "a: b\r\n".into()),
    ]
}

#[tokio::test]
async fn a_buffered_body_without_end_fails_and_closes_the_connection() {
    for (name, start, pattern) in bodies() {
        let client = Client::new(Timeouts::default());
        let (address, mut sent) = endless(start, pattern).await;
        let mut exchange = send(&client, address).await.expect(name);
        let read = timeout(LIMIT, exchange.read(MAX_BUFFERED)).await.expect(name);
        assert!(matches!(read, Err(Failure::Broken { .. })), "{name}: {read:?}");
        drop(exchange);
        let sent = timeout(LIMIT, sent.recv()).await.expect(name).unwrap();
        assert!(sent <= MAX_BUFFERED + SOCKET_BUFFERS, "{name}: {sent} bytes read");
        assert_eq!(client.buffered_bytes(), 0, "{name}");
    }
}

#[tokio::test]
async fn a_body_without_end_that_is_read_in_pieces_fails_and_closes_the_connection() {
    for (name, start, pattern) in bodies() {
        let client = Client::new(Timeouts::default());
        let (address, mut sent) = endless(start, pattern).await;
        let mut exchange = send(&client, address).await.expect(name);
        let end = async {
            loop {
                match exchange.chunk().await {
                    Ok(Some(_)) => {}
                    other => return other,
                }
            }
        };
        let end = timeout(LIMIT, end).await.expect(name);
        assert!(matches!(end, Err(Failure::Broken { .. })), "{name}: {end:?}");
        drop(exchange);
        let sent = timeout(LIMIT, sent.recv()).await.expect(name).unwrap();
        assert!(sent <= MAX_BODY + SOCKET_BUFFERS, "{name}: {sent} bytes read");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_without_end_share_a_limit_and_leave_memory_to_small_ones() {
    let client = Client::new(Timeouts::default());
    let (address, _sent) = endless("HTTP/1.1 200 OK\r\n\r\n".into(), "x".into()).await;
    let mut reads = JoinSet::new();
    let mut open = Vec::new();
    for _ in 0..24 {
        open.push(send(&client, address).await.unwrap());
    }
    for mut exchange in open {
        reads.spawn(async move { exchange.read(MAX_BUFFERED).await.is_err() });
    }
    let mut most = 0;
    while !reads.is_empty() {
        most = most.max(client.buffered_bytes());
        while let Some(failed) = reads.try_join_next() {
            assert!(failed.unwrap(), "a body without end was taken for whole");
        }
        tokio::task::yield_now().await;
    }
    assert!(most <= MAX_BUFFERED_IN_ALL + 24 * (128 << 10), "{most} bytes buffered");
    assert_eq!(client.buffered_bytes(), 0);
}
