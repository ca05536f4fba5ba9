//! HTTP/1.1 client for registries, on hyper: one keep-alive connection for each server, a time limit and a size limit on
//! every exchange, and no request to any server that is not in the configuration.

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

/// Maximum number of redirections that one exchange follows.
const MAX_REDIRECTS: usize = 3;
/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Size in bytes up to which a body is parsed on the runtime's thread; longer ones go to the blocking thread pool.
pub(super) const MAX_INLINE_BYTES: usize = 64 * 1024;

/// Why an exchange gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum HttpError {
    /// The TCP connection could not be established.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The exchange, including its redirections, took longer than the timeout.
    #[error("no whole answer within {0:?}")]
    Time(Duration),
    /// The HTTP exchange itself failed.
    #[error("{0}")]
    Exchange(#[from] hyper::Error),
    /// The body, as sent or decompressed, is longer than the limit in bytes.
    #[error("the answer is above the bound of {0} bytes")]
    Long(usize),
    /// The status is not a success.
    #[error("status {0}")]
    Status(StatusCode),
    /// A redirection to a URL, cut off after 200 characters, that is not below a configured server.
    #[error("it redirects to {0:?}, which is no server of the configuration")]
    Astray(String),
    /// More redirections than one exchange follows.
    #[error("it redirects more than {MAX_REDIRECTS} times")]
    Circle,
    /// A `Content-Encoding`, in lower case, other than identity and gzip.
    #[error("the encoding {0:?} was not asked for")]
    Encoding(String),
    /// The body is not valid gzip.
    #[error("it cannot be unpacked: {0}")]
    Gzip(io::Error),
    /// The request could not be built, for instance because a path is not a valid URI.
    #[error("the request cannot be worded: {0}")]
    Request(#[from] hyper::http::Error),
}

/// A response, with its body as it was sent.
#[derive(Debug)]
pub(super) struct Answer {
    /// The status, which need not be a success.
    pub(super) status: StatusCode,
    /// `Content-Type` in lower case, at most 100 characters; empty if there is none.
    pub(super) kind: String,
    /// Whether the body is compressed with gzip.
    pub(super) gzip: bool,
    /// The body as it was sent.
    pub(super) body: Bytes,
}

impl Answer {
    /// The decompressed body. Blocks for as long as that takes.
    ///
    /// # Errors
    /// The body is not valid gzip, or decompresses to more than `max_bytes` bytes.
    pub(super) fn unpacked(&self, max_bytes: usize) -> Result<Bytes, HttpError> {
        if !self.gzip {
            return Ok(self.body.clone());
        }
        let mut plain = vec![];
        let packed = flate2::read::MultiGzDecoder::new(&self.body[..]);
        packed
            .take(max_bytes as u64 + 1)
            .read_to_end(&mut plain)
            .map_err(HttpError::Gzip)?;
        if plain.len() > max_bytes {
            Err(HttpError::Long(max_bytes))
        } else {
            Ok(plain.into())
        }
    }
}

/// A request, apart from the server that it goes to.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The method; redirections are followed for GET only.
    pub(super) method: Method,
    /// Path and query, appended to the server's base path.
    pub(super) path: String,
    /// The `Accept` header.
    pub(super) accept: &'static str,
    /// `Content-Type` and content of the body, if there is one.
    pub(super) body: Option<(&'static str, Bytes)>,
}

impl Call {
    /// A GET request without a body.
    pub(super) fn get(path: String, accept: &'static str) -> Self {
        Call {
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
    /// Creates a client. `timeout` limits a whole exchange, redirections included; `max_body_bytes` limits a
    /// body as sent.
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

    /// Sends a request to the server at index `server` and reads the whole response, following redirections between
    /// the configured servers. A request that fails on a kept connection is repeated once on a new one.
    ///
    /// # Errors
    /// The connection or exchange fails, exceeds the time or size limit, redirects to a server that is not configured,
    /// or uses an unsupported encoding. A status that is not a success is not an error.
    ///
    /// # Panics
    /// `server` is not the index of a server.
    pub(super) async fn call(&self, server: usize, call: &Call) -> Result<Answer, HttpError> {
        let exchange = tokio::time::timeout(self.timeout, self.follow(server, call));
        exchange.await.unwrap_or(Err(HttpError::Time(self.timeout)))
    }

    async fn follow(&self, server: usize, call: &Call) -> Result<Answer, HttpError> {
        let mut server = &self.servers[server];
        let mut path = call.path.clone();
        for _ in 0..=MAX_REDIRECTS {
            let (answer, location) = self.exchange(server, call, &path).await?;
            let Some(location) = location else {
                return Ok(answer);
            };
            (server, path) = self.redirected(server, &path, &location)?;
        }
        Err(HttpError::Circle)
    }

    /// The configured server that a redirection leads to, and the path relative to its base path.
    fn redirected(
        &self,
        from: &RegistryServer,
        path: &str,
        to: &str,
    ) -> Result<(&RegistryServer, String), HttpError> {
        let astray = || HttpError::Astray(to.chars().take(200).collect());
        let base = Url::parse(&format!("{}{path}", from.name)).map_err(|_| astray())?;
        let url = base.join(to).map_err(|_| astray())?;
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
        let found = self
            .servers
            .iter()
            .filter(|s| s.host == host && s.port == port);
        let found = found.filter_map(|s| Some((s, path_and_query.strip_prefix(&s.path)?)));
        let found = found
            .filter(|(_, rest)| rest.starts_with('/'))
            .max_by_key(|(s, _)| s.path.len());
        match found {
            Some((server, rest)) if url.scheme() == "http" => Ok((server, rest.to_string())),
            _ => Err(astray()),
        }
    }

    /// One request and its response, with the `Location` of a redirection.
    async fn exchange(
        &self,
        server: &RegistryServer,
        call: &Call,
        path: &str,
    ) -> Result<(Answer, Option<String>), HttpError> {
        // The registry may have closed a kept connection meanwhile, so a request that fails there is repeated once on a
        // new one. All our requests are idempotent.
        if let Some(kept) = self.kept(server)
            && let Ok(done) = self.send(kept, server, call, path).await
        {
            return Ok(done);
        }
        let fresh = self.connect(server).await?;
        self.send(fresh, server, call, path).await
    }

    fn kept(&self, server: &RegistryServer) -> Option<Sender> {
        let kept = self.idle.borrow_mut().remove(&server.name)?;
        (!kept.is_closed()).then_some(kept)
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

    /// Sends one request on a connection and reads the response, after which the connection is kept for the next.
    async fn send(
        &self,
        mut sender: Sender,
        server: &RegistryServer,
        call: &Call,
        path: &str,
    ) -> Result<(Answer, Option<String>), HttpError> {
        sender.ready().await?;
        let response = sender.send_request(request(server, call, path)?).await?;
        let (head, body) = response.into_parts();
        let gzip = is_gzip(&head.headers)?;
        let body = self.read_body(&head.headers, body).await?;
        // The body is read to its end, so the connection can be used again.
        if !sender.is_closed() {
            self.idle.borrow_mut().insert(server.name.clone(), sender);
        }
        let location = redirect_location(&head, &call.method);
        let answer = Answer {
            status: head.status,
            kind: text(&head.headers, header::CONTENT_TYPE),
            gzip,
            body,
        };
        Ok((answer, location))
    }

    /// Reads a body to its end, within the size limit.
    async fn read_body(&self, headers: &HeaderMap, mut body: Incoming) -> Result<Bytes, HttpError> {
        let length = headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|n| n > self.max_body_bytes as u64) {
            return Err(HttpError::Long(self.max_body_bytes));
        }
        let mut content = Vec::with_capacity(length.unwrap_or(0) as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if content.len() + data.len() > self.max_body_bytes {
                return Err(HttpError::Long(self.max_body_bytes));
            }
            content.extend_from_slice(&data);
        }
        Ok(content.into())
    }
}

/// The HTTP request for a call; `path` is relative to the server's base path.
fn request(
    server: &RegistryServer,
    call: &Call,
    path: &str,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let host = if server.host.contains(':') {
        format!("[{}]", server.host)
    } else {
        server.host.clone()
    };
    let mut request = Request::builder()
        .method(&call.method)
        .uri(format!("{}{path}", server.path))
        .header(header::HOST, format!("{host}:{}", server.port))
        .header(header::ACCEPT, call.accept)
        .header(header::ACCEPT_ENCODING, "gzip")
        .header(
            header::USER_AGENT,
            concat!("hitchwinch/", env!("CARGO_PKG_VERSION")),
        );
    if let Some(value) = &server.authorization {
        request = request.header(header::AUTHORIZATION, value);
    }
    let content = match &call.body {
        Some((content_type, content)) => {
            request = request.header(header::CONTENT_TYPE, *content_type);
            content.clone()
        }
        None => Bytes::new(),
    };
    Ok(request.body(Full::new(content))?)
}

/// Whether the body is compressed with gzip; an error for any other encoding.
fn is_gzip(headers: &HeaderMap) -> Result<bool, HttpError> {
    let encoding = text(headers, header::CONTENT_ENCODING);
    match encoding.as_str() {
        "" | "identity" => Ok(false),
        "gzip" | "x-gzip" => Ok(true),
        _ => Err(HttpError::Encoding(encoding)),
    }
}

/// The `Location` of a response that redirects a GET request.
fn redirect_location(head: &Parts, method: &Method) -> Option<String> {
    let redirects = matches!(head.status.as_u16(), 301 | 302 | 303 | 307 | 308);
    head.headers
        .get(header::LOCATION)
        .and_then(|v| v.to_str().ok())
        .filter(|_| redirects && *method == Method::GET)
        .map(str::to_string)
}

/// The value of a header in lower case, at most 100 characters; empty if it is absent or not text.
fn text(headers: &HeaderMap, name: header::HeaderName) -> String {
    let value = headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    value
        .trim()
        .to_ascii_lowercase()
        .chars()
        .take(100)
        .collect()
}
