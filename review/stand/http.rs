//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, BufRead};

/// The first line and the headers of a message; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            if head.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk into `body`. Returns whether it was the last one, after its trailers.
pub fn read_chunk(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line.trim().is_empty() {
                return Ok(true);
            }
        }
    }
    let mut chunk = vec![0; size + 2];
    from.read_exact(&mut chunk)?;
    body.extend_from_slice(&chunk[..size]);
    Ok(false)
}

/// Reads the body of a request.
pub fn read_request_body(from: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while !read_chunk(from, &mut body)? {}
    } else if let Some(length) = head.length() {
        body.resize(length, 0);
        from.read_exact(&mut body)?;
    }
    Ok(body)
}
