//! Bodies of requests and answers.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// It did not arrive in time, or broke off.
    Incomplete,
}

/// Marks an answer that a handler gave, so that a 404 of it is not taken for a wrong path.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Handled;

/// An answer that a handler gives.
pub(crate) fn handled(content: Body) -> Response<Body> {
    let mut response = Response::new(content);
    response.extensions_mut().insert(Handled);
    response
}

/// A body of known content.
pub(crate) fn full(content: impl Into<Bytes>) -> Body {
    UnsyncBoxBody::new(Full::new(content.into()).map_err(|never| match never {}))
}

/// A body that is produced piece by piece; an error ends the connection, so that the caller sees
/// that the answer is not whole.
pub(crate) fn stream(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    use futures_util::TryStreamExt;
    UnsyncBoxBody::new(StreamBody::new(pieces.map_ok(Frame::data)))
}

/// Reads a whole body.
pub(crate) async fn read(
    mut body: Body,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let whole = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole.len() + data.len() > max {
                return Err(BodyError::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    tokio::time::timeout(timeout, whole).await.unwrap_or(Err(BodyError::Incomplete))
}
