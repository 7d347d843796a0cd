//! Bodies of requests and responses.
//!
//! Reads request bodies with a size limit and a timeout, and creates response bodies. Responses
//! made here carry a marker that tells them from the router's own error responses.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// The reason why a request's body could not be read.
///
/// The names of the variants appear in responses of the administration listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The body did not arrive in time, or the connection failed.
    Incomplete,
}

/// Marks the response of a handler, so that its status 404 is not taken for an unknown path.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandlerResponse;

/// Creates a response that is marked with [`HandlerResponse`].
pub(crate) fn handler_response(content: Body) -> Response<Body> {
    let mut response = Response::new(content);
    response.extensions_mut().insert(HandlerResponse);
    response
}

/// Creates a body from content that is completely known.
pub(crate) fn full(content: impl Into<Bytes>) -> Body {
    UnsyncBoxBody::new(Full::new(content.into()).map_err(|never| match never {}))
}

/// Creates a body from a stream of pieces. An error aborts the connection, so that the caller
/// notices that the response is incomplete.
pub(crate) fn stream(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    use futures_util::TryStreamExt;
    UnsyncBoxBody::new(StreamBody::new(chunks.map_ok(Frame::data)))
}

/// Reads a whole body of at most `max` bytes within `timeout`.
pub(crate) async fn read(
    mut body: Body,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let read = async {
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if content.len() + data.len() > max {
                return Err(BodyError::TooLarge);
            }
            content.extend_from_slice(&data);
        }
        Ok(content.freeze())
    };
    tokio::time::timeout(timeout, read).await.unwrap_or(Err(BodyError::Incomplete))
}
