//! Operators' HTTP requests, as far as they count: a body, if there is one, is ignored.

use bytes::BytesMut;
use std::io;

/// A request's head is no longer, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Header lines of a request at most.
const MAX_HEADERS: usize = 64;

/// A request's first line.
#[derive(Debug, PartialEq)]
pub(super) struct Request {
    pub(super) method: String,
    /// The path and, behind a question mark, the query.
    pub(super) target: String,
}

/// Why a connection gives no request.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("the call cannot be read: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the call's head is too long")]
    TooLong,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The request at the start of these bytes; `None` while its head is incomplete.
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
