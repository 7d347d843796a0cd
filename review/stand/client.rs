//! Clients and operators: one call on a new connection.

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Head, read_chunk, read_head};

/// A response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body has its whole length or ended with the last chunk.
    pub complete: bool,
    /// Why the call ended early.
    pub error: String,
}

impl Response {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Sends a request and reads the response until it ends or `limit` has passed without a byte.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Response {
    let mut response = Response::default();
    if let Err(error) = exchange(address, request, limit, &mut response) {
        response.error = error.to_string();
    }
    response
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
    response: &mut Response,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    response.head = head;
    if response.head.is_chunked() {
        while !read_chunk(&mut reader, &mut response.body)? {}
        response.complete = true;
    } else if let Some(length) = response.head.length() {
        response.body.resize(length, 0);
        reader.read_exact(&mut response.body)?;
        response.complete = true;
    } else {
        reader.read_to_end(&mut response.body)?;
    }
    Ok(())
}
