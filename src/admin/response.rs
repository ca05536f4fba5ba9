//! HTTP responses to operators.

use bytes::{BufMut, BytesMut};

/// Media type of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MediaType {
    Text,
    Json,
}

impl MediaType {
    fn name(self) -> &'static str {
        match self {
            MediaType::Text => "text/plain",
            MediaType::Json => "application/json",
        }
    }
}

/// Response to an operator's request.
#[derive(Debug, PartialEq)]
pub(super) struct Response {
    status: u16,
    media_type: MediaType,
    body: String,
}

impl Response {
    /// Returns a plain-text response.
    pub(super) fn text(status: u16, body: impl Into<String>) -> Self {
        Response {
            status,
            media_type: MediaType::Text,
            body: body.into(),
        }
    }

    /// Returns a successful response with a JSON body.
    pub(super) fn json(body: String) -> Self {
        Response {
            status: 200,
            media_type: MediaType::Json,
            body,
        }
    }

    /// Appends the encoded response (status line, headers and body) to `dst`.
    pub(super) fn write(&self, dst: &mut BytesMut) {
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}; charset=utf-8\r\nContent-Length: {}\r\n\
             Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            self.status,
            reason_phrase(self.status),
            self.media_type.name(),
            self.body.len()
        );
        dst.put_slice(head.as_bytes());
        dst.put_slice(self.body.as_bytes());
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        _ => "Service Unavailable",
    }
}
