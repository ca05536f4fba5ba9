//! HTTP/1.1 client for registries, on hyper: one keep-alive connection for each server, a time limit and a size limit on
//! every exchange, and no request to any server that is not in the configuration.

use crate::config::eureka::RegistryServer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Read};
use std::time::Duration;
use tokio::net::TcpStream;
use url::Url;

/// Redirections that one exchange follows.
const HOPS: usize = 3;
/// The longest head of an answer, in bytes.
const HEAD: usize = 32 * 1024;
/// Size in bytes up to which a body is parsed on the runtime's thread; longer ones go to the blocking thread pool.
pub const SMALL: usize = 64 * 1024;

/// Why an exchange gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
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
    #[error("it redirects more than {HOPS} times")]
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
pub struct Answer {
    /// The status, which need not be a success.
    pub status: StatusCode,
    /// `Content-Type` in lower case, at most 100 characters; empty if there is none.
    pub kind: String,
    /// Whether the body is compressed with gzip.
    pub gzip: bool,
    /// The body as it was sent.
    pub body: Bytes,
}

impl Answer {
    /// The decompressed body. Blocks for as long as that takes.
    ///
    /// # Errors
    /// The body is not valid gzip, or decompresses to more than `most` bytes.
    pub fn unpacked(&self, most: usize) -> Result<Bytes, HttpError> {
        if !self.gzip {
            return Ok(self.body.clone());
        }
        let mut plain = vec![];
        let packed = flate2::read::MultiGzDecoder::new(&self.body[..]);
        packed
            .take(most as u64 + 1)
            .read_to_end(&mut plain)
            .map_err(HttpError::Gzip)?;
        if plain.len() > most {
            Err(HttpError::Long(most))
        } else {
            Ok(plain.into())
        }
    }
}

/// A request, apart from the server that it goes to.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method; redirections are followed for GET only.
    pub method: Method,
    /// Path and query, appended to the server's base path.
    pub path: String,
    /// The `Accept` header.
    pub accept: &'static str,
    /// `Content-Type` and content of the body, if there is one.
    pub body: Option<(&'static str, Bytes)>,
}

impl Call {
    /// A GET request without a body.
    pub fn get(path: String, accept: &'static str) -> Self {
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
pub struct Client {
    servers: Vec<RegistryServer>,
    /// One idle connection a server, by its name.
    idle: RefCell<HashMap<String, Sender>>,
    timeout: Duration,
    most: usize,
}

impl Client {
    /// Creates a client. `timeout` limits a whole exchange, redirections included; `most` limits a body as sent, in bytes.
    pub fn new(servers: Vec<RegistryServer>, timeout: Duration, most: usize) -> Self {
        Client {
            servers,
            idle: RefCell::default(),
            timeout,
            most,
        }
    }

    /// The servers, in the order of the configuration.
    pub fn servers(&self) -> &[RegistryServer] {
        &self.servers
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
    pub async fn call(&self, server: usize, call: &Call) -> Result<Answer, HttpError> {
        let exchange = tokio::time::timeout(self.timeout, self.follow(server, call));
        exchange.await.unwrap_or(Err(HttpError::Time(self.timeout)))
    }

    async fn follow(&self, server: usize, call: &Call) -> Result<Answer, HttpError> {
        let mut server = &self.servers[server];
        let mut path = call.path.clone();
        for _ in 0..=HOPS {
            let (answer, location) = self.exchange(server, call, &path).await?;
            let Some(location) = location else {
                return Ok(answer);
            };
            (server, path) = self.redirected(server, &path, &location)?;
        }
        Err(HttpError::Circle)
    }

    /// The server that a redirection names, and the path behind its own.
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
        let asked = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_string(),
        };
        let found = self
            .servers
            .iter()
            .filter(|s| s.host == host && s.port == port);
        let found = found.filter_map(|s| Some((s, asked.strip_prefix(&s.path)?)));
        let found = found
            .filter(|(_, rest)| rest.starts_with('/'))
            .max_by_key(|(s, _)| s.path.len());
        match found {
            Some((server, rest)) if url.scheme() == "http" => Ok((server, rest.to_string())),
            _ => Err(astray()),
        }
    }

    /// One request and its answer; the second is where it redirects to.
    async fn exchange(
        &self,
        server: &RegistryServer,
        call: &Call,
        path: &str,
    ) -> Result<(Answer, Option<String>), HttpError> {
        // A kept connection may have been closed meanwhile: what was never answered there is asked anew, once, on a
        // new one. Every call of ours may be repeated.
        if let Some(kept) = self.kept(server)
            && let Ok(done) = self.on(kept, server, call, path).await
        {
            return Ok(done);
        }
        let fresh = self.connect(server).await?;
        self.on(fresh, server, call, path).await
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
        builder.max_buf_size(HEAD).max_headers(64);
        let (sender, connection) = builder.handshake(TokioIo::new(tcp)).await?;
        // It ends with its sender.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }

    async fn on(
        &self,
        mut sender: Sender,
        server: &RegistryServer,
        call: &Call,
        path: &str,
    ) -> Result<(Answer, Option<String>), HttpError> {
        sender.ready().await?;
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
        let bytes = match &call.body {
            Some((kind, bytes)) => {
                request = request.header(header::CONTENT_TYPE, *kind);
                bytes.clone()
            }
            None => Bytes::new(),
        };
        let response = sender.send_request(request.body(Full::new(bytes))?).await?;
        let (head, mut body) = response.into_parts();
        let encoding = text(&head.headers, header::CONTENT_ENCODING);
        let gzip = match encoding.as_str() {
            "" | "identity" => false,
            "gzip" | "x-gzip" => true,
            _ => return Err(HttpError::Encoding(encoding)),
        };
        let told = head
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if told.is_some_and(|n| n > self.most as u64) {
            return Err(HttpError::Long(self.most));
        }
        let mut whole = Vec::with_capacity(told.unwrap_or(0) as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > self.most {
                return Err(HttpError::Long(self.most));
            }
            whole.extend_from_slice(&data);
        }
        // Its body is read to the end: the connection serves again.
        if !sender.is_closed() {
            self.idle.borrow_mut().insert(server.name.clone(), sender);
        }
        let location = head
            .headers
            .get(header::LOCATION)
            .and_then(|v| v.to_str().ok());
        let elsewhere = matches!(head.status.as_u16(), 301 | 302 | 303 | 307 | 308);
        let location = location
            .filter(|_| elsewhere && call.method == Method::GET)
            .map(str::to_string);
        let kind = text(&head.headers, header::CONTENT_TYPE);
        Ok((
            Answer {
                status: head.status,
                kind,
                gzip,
                body: whole.into(),
            },
            location,
        ))
    }
}

fn text(headers: &HeaderMap<HeaderValue>, name: header::HeaderName) -> String {
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
