//! Responses on a kept connection, by the ids that they echo.

use std::time::Duration;

use backend::{Client, Failure, Timeouts};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that answers each connection's requests with the next of these ids.
async fn serve(ids: &'static [Option<&'static str>]) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for id in ids {
                let mut request = [0; 4_096];
                if !matches!(stream.read(&mut request).await, Ok(1..)) {
                    break;
                }
                let echo = id.map(|id| format!("x-request-id: {id}\r\n")).unwrap_or_default();
                let response = format!("HTTP/1.1 503 Busy\r\n{echo}content-length: 0\r\n\r\n");
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

/// Sends a request with id `own` and returns whether its response is attributed to it.
async fn send(client: &Client, address: std::net::SocketAddr) -> Result<bool, Failure> {
    let request = Request::builder().uri("/").header("host", "a").body(Full::new(Bytes::new()));
    let mut exchange = client.send(address, "own", request.unwrap()).await?;
    exchange.read(1_024).await?;
    // The connection returns to the pool.
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(exchange.is_attributed())
}

#[tokio::test]
async fn a_response_without_id_on_a_used_connection_is_not_attributed() {
    type Case = (&'static [Option<&'static str>], [Result<bool, Failure>; 2]);
    let cases: [Case; 4] = [
        (&[Some("own"), Some("own")], [Ok(true), Ok(true)]),
        (&[Some("own"), None], [Ok(true), Err(Failure::IdMismatch)]),
        (&[None, None], [Ok(true), Ok(false)]),
        (&[None, Some("other")], [Ok(true), Err(Failure::IdMismatch)]),
    ];
    for (ids, expected) in cases {
        let (client, address) = (Client::new(Timeouts::default()), serve(ids).await);
        let found = [send(&client, address).await, send(&client, address).await];
        assert_eq!(found, expected, "{ids:?}");
    }
}
