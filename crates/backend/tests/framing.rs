//! How the end of a response is marked, and whether an end by the connection is confirmed.

use backend::{Client, Framing, Timeouts};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that answers one request, closes the connection, and goes on accepting others or
/// ends.
async fn serve(response: String, goes_on: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
        let listener = goes_on.then_some(listener);
        stream.write_all(response.as_bytes()).await.unwrap();
        drop(stream);
        if let Some(listener) = listener {
            let mut others = Vec::new();
            while let Ok((other, _)) = listener.accept().await {
                others.push(other);
            }
        }
    });
    address
}

#[tokio::test]
async fn only_an_end_that_is_marked_needs_no_server_that_goes_on() {
    let cases = [
        ("200 OK\r\ncontent-length: 2\r\n\r\nab", Framing::Length),
        ("200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", Framing::Chunks),
        ("200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", Framing::Chunks),
        ("204 No Content\r\n\r\n", Framing::Length),
        ("200 OK\r\n\r\nab", Framing::Connection),
        ("200 OK\r\nconnection: close\r\n\r\nab", Framing::Connection),
        ("200 OK\r\ntransfer-encoding: gzip\r\n\r\nab", Framing::Connection),
        ("200 OK\r\ntransfer-encoding: gzip\r\ncontent-length: 9\r\n\r\nab", Framing::Connection),
        ("302 Found\r\nlocation: /b\r\n\r\nab", Framing::Connection),
        ("500 No\r\n\r\n", Framing::Connection),
    ];
    for (response, framing) in cases {
        for goes_on in [true, false] {
            let address = serve(format!("HTTP/1.1 {response}"), goes_on).await;
            let request =
                Request::builder().uri("/").header("host", "a").body(Full::new(Bytes::new()));
            let client = Client::new(Timeouts::default());
            let mut exchange = client.send(address, "id", request.unwrap()).await.unwrap();
            assert_eq!(exchange.framing(), framing, "{response}");
            let body = exchange.read(1_024).await.unwrap();
            let expected = if response.contains("ab") { "ab" } else { "" };
            assert_eq!(body, expected, "{response}");
            let is_whole = exchange.confirm_end().await.is_ok();
            assert_eq!(is_whole, goes_on || framing != Framing::Connection, "{response}");
        }
    }
}

#[tokio::test]
async fn a_response_to_a_head_request_has_no_end_to_confirm() {
    let address = serve("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".into(), false).await;
    let request = Request::head("/").header("host", "a").body(Full::new(Bytes::new()));
    let client = Client::new(Timeouts::default());
    let mut exchange = client.send(address, "id", request.unwrap()).await.unwrap();
    assert_eq!(exchange.framing(), Framing::Length);
    assert_eq!(exchange.read_whole(1_024).await.unwrap(), "");
}
