//! HTTP/1.1 client for registries, based on hyper: one keep-alive connection to each server, a time limit and
//! a size limit on every exchange, and no request to a server that is not in the configuration.

use crate::config::eureka::RegistryServer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Read};
use std::time::Duration;
use tokio::net::TcpStream;
use url::Url;

/// Maximum number of redirections followed in one exchange.
const MAX_REDIRECTS: usize = 3;
/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum size, in bytes, of a body that is parsed on the runtime's thread; larger ones go to the blocking
/// thread pool.
pub(super) const MAX_INLINE_BYTES: usize = 64 * 1024;

/// Why an exchange failed. The text is reported at `/_members`.
#[derive(Debug, thiserror::Error)]
pub(super) enum HttpError {
    /// The TCP connection could not be established.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The exchange, including its redirections, took longer than the timeout.
    #[error("no whole answer within {0:?}")]
    Timeout(Duration),
    /// The HTTP exchange itself failed.
    #[error("{0}")]
    Exchange(#[from] hyper::Error),
    /// The body, as sent or decompressed, is larger than this limit in bytes.
    #[error("the answer is above the bound of {0} bytes")]
    BodyTooLarge(usize),
    /// The status is not a success.
    #[error("status {0}")]
    Status(StatusCode),
    /// A redirection to a URL, cut off after 200 characters, that is not below a configured server.
    #[error("it redirects to {0:?}, which is no server of the configuration")]
    UnknownRedirectTarget(String),
    /// The exchange was redirected more than [`MAX_REDIRECTS`] times.
    #[error("it redirects more than {MAX_REDIRECTS} times")]
    TooManyRedirects,
    /// A `Content-Encoding`, in lower case, other than identity and gzip.
    #[error("the encoding {0:?} was not asked for")]
    UnsupportedEncoding(String),
    /// The body is not valid gzip.
    #[error("it cannot be unpacked: {0}")]
    InvalidGzip(io::Error),
    /// The request could not be built, for instance because a path is not a valid URI.
    #[error("the request cannot be worded: {0}")]
    Request(#[from] hyper::http::Error),
}

/// A response, with its body as it was sent.
#[derive(Debug)]
pub(super) struct RegistryResponse {
    /// The status, which need not be a success.
    pub(super) status: StatusCode,
    /// `Content-Type` in lower case, at most 100 characters; empty if there is none.
    pub(super) content_type: String,
    /// Whether the body is compressed with gzip.
    pub(super) gzip: bool,
    /// The body as it was sent.
    pub(super) body: Bytes,
}

impl RegistryResponse {
    /// Returns the body, decompressed if it is compressed. Blocks for as long as that takes.
    ///
    /// # Errors
    /// The body is not valid gzip, or decompresses to more than `max_bytes` bytes.
    pub(super) fn decompressed_body(&self, max_bytes: usize) -> Result<Bytes, HttpError> {
        if !self.gzip {
            return Ok(self.body.clone());
        }
        let mut decompressed = vec![];
        let decoder = flate2::read::MultiGzDecoder::new(&self.body[..]);
        decoder
            .take(max_bytes as u64 + 1)
            .read_to_end(&mut decompressed)
            .map_err(HttpError::InvalidGzip)?;
        if decompressed.len() > max_bytes {
            Err(HttpError::BodyTooLarge(max_bytes))
        } else {
            Ok(decompressed.into())
        }
    }
}

/// A request, independent of the server that it is sent to.
#[derive(Clone, Debug)]
pub(super) struct RegistryRequest {
    /// The method; redirections are followed for GET only.
    pub(super) method: Method,
    /// Path and query, appended to the server's base path.
    pub(super) path: String,
    /// The `Accept` header.
    pub(super) accept: &'static str,
    /// Content type and content of the body, if there is one.
    pub(super) body: Option<(&'static str, Bytes)>,
}

impl RegistryRequest {
    /// Creates a GET request without a body.
    pub(super) fn get(path: String, accept: &'static str) -> Self {
        RegistryRequest {
            method: Method::GET,
            path,
            accept,
            body: None,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Client for the servers of one configuration.
pub(super) struct Client {
    servers: Vec<RegistryServer>,
    /// The idle connection to each server, by the server's name.
    idle: RefCell<HashMap<String, Sender>>,
    timeout: Duration,
    max_body_bytes: usize,
}

impl Client {
    /// Creates a client. `timeout` limits a whole exchange, redirections included; `max_body_bytes` limits
    /// the size of a body as sent.
    pub(super) fn new(
        servers: Vec<RegistryServer>,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Self {
        Client {
            servers,
            idle: RefCell::default(),
            timeout,
            max_body_bytes,
        }
    }

    /// Sends a request to the server at index `server` and reads the whole response, following redirections
    /// between the configured servers. A request that fails on an idle connection is repeated once on a new
    /// one.
    ///
    /// # Errors
    /// The connection or exchange fails, exceeds the time or size limit, redirects to a server that is not
    /// configured, or uses an unsupported encoding. A status that is not a success is not an error.
    ///
    /// # Panics
    /// `server` is not the index of a server.
    pub(super) async fn execute(
        &self,
        server: usize,
        request: &RegistryRequest,
    ) -> Result<RegistryResponse, HttpError> {
        let exchange = tokio::time::timeout(self.timeout, self.follow_redirects(server, request));
        exchange
            .await
            .unwrap_or(Err(HttpError::Timeout(self.timeout)))
    }

    async fn follow_redirects(
        &self,
        server: usize,
        request: &RegistryRequest,
    ) -> Result<RegistryResponse, HttpError> {
        let mut server = &self.servers[server];
        let mut path = request.path.clone();
        for _ in 0..=MAX_REDIRECTS {
            let (response, location) = self.exchange(server, request, &path).await?;
            let Some(location) = location else {
                return Ok(response);
            };
            (server, path) = self.redirect_target(server, &path, &location)?;
        }
        Err(HttpError::TooManyRedirects)
    }

    /// Returns the configured server that a redirection leads to, and the path relative to that server's base
    /// path.
    fn redirect_target(
        &self,
        from: &RegistryServer,
        path: &str,
        location: &str,
    ) -> Result<(&RegistryServer, String), HttpError> {
        let unknown_target =
            || HttpError::UnknownRedirectTarget(location.chars().take(200).collect());
        let base = Url::parse(&format!("{}{path}", from.name)).map_err(|_| unknown_target())?;
        let url = base.join(location).map_err(|_| unknown_target())?;
        let host = url
            .host_str()
            .unwrap_or_default()
            .trim_start_matches('[')
            .trim_end_matches(']');
        let port = url.port().unwrap_or(80);
        let path_and_query = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_string(),
        };
        let candidates = self
            .servers
            .iter()
            .filter(|server| server.host == host && server.port == port);
        let candidates = candidates
            .filter_map(|server| Some((server, path_and_query.strip_prefix(&server.path)?)));
        let best = candidates
            .filter(|(_, rest)| rest.starts_with('/'))
            .max_by_key(|(server, _)| server.path.len());
        match best {
            Some((server, rest)) if url.scheme() == "http" => Ok((server, rest.to_string())),
            _ => Err(unknown_target()),
        }
    }

    /// Sends one request and returns the response, with the `Location` if it is a redirection.
    async fn exchange(
        &self,
        server: &RegistryServer,
        request: &RegistryRequest,
        path: &str,
    ) -> Result<(RegistryResponse, Option<String>), HttpError> {
        // The registry may have closed an idle connection meanwhile, so a request that fails there is
        // repeated once on a new one. All requests to registries are idempotent.
        if let Some(idle) = self.take_idle(server)
            && let Ok(response) = self.send(idle, server, request, path).await
        {
            return Ok(response);
        }
        let connection = self.connect(server).await?;
        self.send(connection, server, request, path).await
    }

    /// Removes and returns the idle connection to a server, if there is one that is open.
    fn take_idle(&self, server: &RegistryServer) -> Option<Sender> {
        let idle = self.idle.borrow_mut().remove(&server.name)?;
        (!idle.is_closed()).then_some(idle)
    }

    async fn connect(&self, server: &RegistryServer) -> Result<Sender, HttpError> {
        let tcp = TcpStream::connect((server.host.as_str(), server.port))
            .await
            .map_err(HttpError::Connect)?;
        tcp.set_nodelay(true).map_err(HttpError::Connect)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(64);
        let (sender, connection) = builder.handshake(TokioIo::new(tcp)).await?;
        // The connection's task ends when the sender is dropped.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }

    /// Sends one request on a connection and reads the response; the connection is then kept for the next
    /// request.
    async fn send(
        &self,
        mut sender: Sender,
        server: &RegistryServer,
        request: &RegistryRequest,
        path: &str,
    ) -> Result<(RegistryResponse, Option<String>), HttpError> {
        sender.ready().await?;
        let response = sender
            .send_request(http_request(server, request, path)?)
            .await?;
        let (head, body) = response.into_parts();
        let gzip = is_gzip(&head.headers)?;
        let body = self.read_body(&head.headers, body).await?;
        // The body was read to its end, so the connection can be reused.
        if !sender.is_closed() {
            self.idle.borrow_mut().insert(server.name.clone(), sender);
        }
        let location = redirect_location(&head, &request.method);
        let response = RegistryResponse {
            status: head.status,
            content_type: header_value(&head.headers, header::CONTENT_TYPE),
            gzip,
            body,
        };
        Ok((response, location))
    }

    /// Reads a body to its end, up to the size limit.
    async fn read_body(&self, headers: &HeaderMap, mut body: Incoming) -> Result<Bytes, HttpError> {
        let length = headers
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > self.max_body_bytes as u64) {
            return Err(HttpError::BodyTooLarge(self.max_body_bytes));
        }
        let mut content = Vec::with_capacity(length.unwrap_or(0) as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if content.len() + data.len() > self.max_body_bytes {
                return Err(HttpError::BodyTooLarge(self.max_body_bytes));
            }
            content.extend_from_slice(&data);
        }
        Ok(content.into())
    }
}

/// Builds the HTTP request; `path` is relative to the server's base path.
fn http_request(
    server: &RegistryServer,
    request: &RegistryRequest,
    path: &str,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let host = if server.host.contains(':') {
        format!("[{}]", server.host)
    } else {
        server.host.clone()
    };
    let mut builder = Request::builder()
        .method(&request.method)
        .uri(format!("{}{path}", server.path))
        .header(header::HOST, format!("{host}:{}", server.port))
        .header(header::ACCEPT, request.accept)
        .header(header::ACCEPT_ENCODING, "gzip")
        .header(
            header::USER_AGENT,
            concat!("hitchwinch/", env!("CARGO_PKG_VERSION")),
        );
    if let Some(value) = &server.authorization {
        builder = builder.header(header::AUTHORIZATION, value);
    }
    let content = match &request.body {
        Some((content_type, content)) => {
            builder = builder.header(header::CONTENT_TYPE, *content_type);
            content.clone()
        }
        None => Bytes::new(),
    };
    Ok(builder.body(Full::new(content))?)
}

/// Returns whether the body is compressed with gzip; fails for any other encoding.
fn is_gzip(headers: &HeaderMap) -> Result<bool, HttpError> {
    let encoding = header_value(headers, header::CONTENT_ENCODING);
    match encoding.as_str() {
        "" | "identity" => Ok(false),
        "gzip" | "x-gzip" => Ok(true),
        _ => Err(HttpError::UnsupportedEncoding(encoding)),
    }
}

/// Returns the `Location` of a response that redirects a GET request.
fn redirect_location(head: &Parts, method: &Method) -> Option<String> {
    let redirects = matches!(head.status.as_u16(), 301 | 302 | 303 | 307 | 308);
    head.headers
        .get(header::LOCATION)
        .and_then(|value| value.to_str().ok())
        .filter(|_| redirects && *method == Method::GET)
        .map(str::to_string)
}

/// Returns the value of a header in lower case, at most 100 characters; empty if it is absent or not text.
fn header_value(headers: &HeaderMap, name: header::HeaderName) -> String {
    let value = headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    value
        .trim()
        .to_ascii_lowercase()
        .chars()
        .take(100)
        .collect()
}
