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

/// Starts a server that answers calls of `/health` without an id, and once more in place of the next
/// response on the same connection. Other requests are answered with `echo` and the end of the
/// connection, those of `/kept` with a length.
async fn serve_health(health_echo: &'static str, echo: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let health = format!("HTTP/1.1 200 OK\r\n{health_echo}content-length: 0\r\n\r\n");
                let mut was_health = false;
                let mut request = [0; 4_096];
                while let Ok(len @ 1..) = stream.read(&mut request).await {
                    let is_health = request[..len].starts_with(b"GET /health ");
                    if request[..len].starts_with(b"POST /kept ") {
                        let kept = format!("HTTP/1.1 200 OK\r\n{echo}content-length: 2\r\n\r\nab");
                        stream.write_all(kept.as_bytes()).await.unwrap();
                        continue;
                    }
                    if !is_health && !was_health {
                        let response = format!("HTTP/1.1 200 OK\r\n{echo}\r\nab");
                        stream.write_all(response.as_bytes()).await.unwrap();
                        return;
                    }
                    stream.write_all(health.as_bytes()).await.unwrap();
                    was_health = is_health;
                }
            });
        }
    });
    address
}

/// Guards against taking the late copy of a reply to a health call, which has no id, for the response
/// to the next request on its connection.
#[tokio::test]
async fn a_second_reply_to_a_health_call_is_not_the_response_to_a_request() {
    for echo in ["x-request-id: own\r\n", ""] {
        let (client, address) = (Client::new(Timeouts::default()), serve_health("", echo).await);
        for _ in 0..5 {
            let request = Request::post("/").header("host", "a").body(Full::new(Bytes::new()));
            let result = client.send(address, "own", request.unwrap()).await;
            let mut exchange = match result {
                Ok(exchange) => exchange,
                Err(failure) => {
                    assert_eq!(failure, Failure::IdMismatch);
                    continue;
                }
            };
            assert_eq!(exchange.read(1_024).await.unwrap(), "ab", "echo {echo:?}");
            let health = || {
                let call = Request::get("/health").header("host", "a").body(Full::default());
                call.unwrap()
            };
            let proof = exchange.prove_end(health).await;
            assert!(proof.is_ok(), "echo {echo:?}: {proof:?}");
            // The connection returns to the pool, if it is kept.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against taking the late response to a request for a reply to a health call.
#[tokio::test]
async fn a_response_with_the_id_of_a_request_is_no_reply_to_a_health_call() {
    let client = Client::new(Timeouts::default());
    let address = serve_health("x-request-id: other\r\n", "x-request-id: own\r\n").await;
    let send = |path: &'static str| {
        let request = Request::post(path).header("host", "a").body(Full::new(Bytes::new()));
        client.send(address, "own", request.unwrap())
    };
    // Two connections that were used return to the pool. One is taken for the next request, and the
    // other one for the health call after it.
    for mut exchange in [send("/kept").await.unwrap(), send("/kept").await.unwrap()] {
        exchange.read(1_024).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut exchange = send("/").await.unwrap();
    assert_eq!(exchange.read(1_024).await.unwrap(), "ab");
    let health = || Request::get("/health").header("host", "a").body(Full::default()).unwrap();
    let proof = exchange.prove_end(health).await;
    assert!(matches!(proof, Err(Failure::Broken { .. })), "{proof:?}");
}
