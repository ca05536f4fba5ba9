//! Parsing of operators' HTTP requests: only the request line is used; header lines and a body are ignored.

use bytes::BytesMut;
use std::io;

/// Maximum size of the request line and headers together, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 64;

/// Request line of an HTTP request.
#[derive(Debug, PartialEq)]
pub(super) struct Request {
    pub(super) method: String,
    /// Path and, after a question mark, the query string.
    pub(super) target: String,
}

/// Error while reading a request from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("the call cannot be read: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the call's head is too long")]
    TooLong,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Parses the request at the start of `bytes`; returns `None` while the headers are incomplete.
pub(super) fn parse(bytes: &BytesMut) -> Result<Option<Request>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes)? {
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => Err(RequestError::TooLong),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(_) => Ok(Some(Request {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
        })),
    }
}
