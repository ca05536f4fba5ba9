//! `eureka.servers`, or the older `eureka.address` and `eureka.path`: servers of the registry.

use crate::config::checks::socket_address;
use crate::config::{ConfigError, Problem};
use base64::Engine as _;
use serde::Deserialize;
use url::Url;

/// Maximum number of servers in a file.
const MAX_SERVERS: usize = 8;
const DEFAULT_PORT: u16 = 80;
/// Path used with `address` unless `path` is given.
const DEFAULT_PATH: &str = "/eureka";

/// One server of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryServer {
    /// URL of the server without user and password.
    pub name: String,
    /// Host of the server: a name, or an IP address without brackets.
    pub host: String,
    /// Port of the server.
    pub port: u16,
    /// Path before `/apps`, without a trailing slash.
    pub path: String,
    /// Value of the `Authorization` header, if the URL contains a user or a password.
    pub authorization: Option<String>,
    /// Zone of the server.
    pub zone: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum RawServer {
    Url(String),
    Zoned { url: String, zone: String },
}

/// Keys that name servers.
pub(super) struct RawServers {
    /// Older syntax for a single server, with `path`.
    pub(super) address: Option<String>,
    pub(super) path: Option<String>,
    pub(super) servers: Option<Vec<RawServer>>,
}

impl RawServers {
    pub(super) fn check(self) -> Result<Vec<RegistryServer>, ConfigError> {
        let servers = match (self.address, self.servers) {
            (Some(_), Some(_)) => {
                return Err(ConfigError::combination(
                    "eureka.address",
                    "conflicts with eureka.servers; only one of them can be given",
                ));
            }
            (None, None) => {
                return Err(ConfigError::combination(
                    "eureka.servers",
                    "no server is listed",
                ));
            }
            (Some(address), None) => vec![server_at(&address, self.path.as_deref())?],
            (None, Some(_)) if self.path.is_some() => {
                return Err(ConfigError::combination(
                    "eureka.path",
                    "requires eureka.address; in eureka.servers the path is part of each URL",
                ));
            }
            (None, Some(servers)) => check_list(servers)?,
        };
        if (1..=MAX_SERVERS).contains(&servers.len()) {
            return Ok(servers);
        }
        let problem = Problem::ServerCount {
            count: servers.len(),
            max: MAX_SERVERS,
        };
        Err(ConfigError::invalid("eureka.servers", problem))
    }
}

fn server_at(address: &str, path: Option<&str>) -> Result<RegistryServer, ConfigError> {
    let address = socket_address("eureka.address", address)?;
    let path = path.unwrap_or(DEFAULT_PATH);
    server("eureka.path", &format!("http://{address}{path}"), None)
}

fn check_list(raw: Vec<RawServer>) -> Result<Vec<RegistryServer>, ConfigError> {
    let mut servers: Vec<RegistryServer> = Vec::with_capacity(raw.len());
    for (index, raw) in raw.into_iter().enumerate() {
        let key = format!("eureka.servers[{index}]");
        let server = match raw {
            RawServer::Url(url) => server(&key, &url, None)?,
            RawServer::Zoned { url, zone } => server(&key, &url, Some(zone))?,
        };
        if servers.iter().any(|listed| listed.name == server.name) {
            let server = server.name;
            return Err(ConfigError::invalid(
                key,
                Problem::DuplicateServer { server },
            ));
        }
        servers.push(server);
    }
    Ok(servers)
}

fn server(key: &str, text: &str, zone: Option<String>) -> Result<RegistryServer, ConfigError> {
    let invalid = |problem| ConfigError::invalid(key, problem);
    let url = match Url::parse(text) {
        Ok(url) => url,
        Err(source) => {
            let text = text.to_string();
            return Err(invalid(Problem::Url { text, source }));
        }
    };
    let host = check_url(&url, text).map_err(invalid)?;
    let authorization =
        authorization(&url).map_err(|source| invalid(Problem::PercentEncoding(source)))?;
    let port = url.port().unwrap_or(DEFAULT_PORT);
    let path = url.path().trim_end_matches('/').to_string();
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Ok(RegistryServer {
        name: format!("http://{}:{port}{path}", bracketed(host)),
        host: host.to_string(),
        port,
        path,
        authorization,
        zone,
    })
}

/// Returns the URL's host if the URL is valid for a server. `text` is the URL as written in the file.
fn check_url<'a>(url: &'a Url, text: &str) -> Result<&'a str, Problem> {
    let text = text.to_string();
    if url.scheme() != "http" {
        return Err(Problem::UrlScheme { text });
    }
    let Some(host) = url.host_str() else {
        return Err(Problem::UrlHost { text });
    };
    if url.query().is_some() || url.fragment().is_some() {
        return Err(Problem::UrlQuery { text });
    }
    Ok(host)
}

/// Returns the host as it is written in a URL: an IPv6 address is put in brackets.
fn bracketed(host: &str) -> String {
    if host.contains(':') {
        format!("[{host}]")
    } else {
        host.to_string()
    }
}

/// Returns the value of the `Authorization` header for the URL's user and password.
fn authorization(url: &Url) -> Result<Option<String>, std::str::Utf8Error> {
    let user = url.username();
    let password = url.password();
    if user.is_empty() && password.is_none() {
        return Ok(None);
    }
    let user = percent_decoded(user)?;
    let password = percent_decoded(password.unwrap_or_default())?;
    let credentials = base64::prelude::BASE64_STANDARD.encode(format!("{user}:{password}"));
    Ok(Some(format!("Basic {credentials}")))
}

/// Decodes percent-encoded characters of a URL's user or password.
fn percent_decoded(text: &str) -> Result<String, std::str::Utf8Error> {
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8()?;
    Ok(decoded.into_owned())
}
