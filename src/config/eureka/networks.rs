//! `eureka.networks`: networks that engines may be in.

use crate::config::{ConfigError, Problem};
use crate::membership::{MAX_NETWORKS, Networks};
use ipnet::IpNet;
use std::net::{AddrParseError, IpAddr};

const KEY: &str = "eureka.networks";

/// Syntax in which `[eureka]` names its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerSyntax {
    /// One server in `address`: without `networks`, every address is admitted.
    Address,
    /// A list in `servers`: without `networks`, only private addresses are admitted.
    Servers,
}

pub(super) fn check_networks(
    configured: Option<Vec<String>>,
    syntax: ServerSyntax,
) -> Result<Networks, ConfigError> {
    let Some(texts) = configured else {
        return Ok(match syntax {
            ServerSyntax::Address => Networks::any(),
            ServerSyntax::Servers => Networks::private(),
        });
    };
    if texts.len() > MAX_NETWORKS {
        let max = MAX_NETWORKS;
        return Err(ConfigError::invalid(KEY, Problem::TooMany { max }));
    }
    let mut admitted = Vec::with_capacity(texts.len());
    for (index, text) in texts.into_iter().enumerate() {
        let network = parse_network(&text).map_err(|source| {
            let key = format!("{KEY}[{index}]");
            ConfigError::invalid(key, Problem::Network { text, source })
        })?;
        admitted.push(network);
    }
    Ok(Networks::only(&admitted))
}

/// Parses a network in CIDR form, or a single address.
fn parse_network(text: &str) -> Result<IpNet, AddrParseError> {
    match text.parse() {
        Ok(network) => Ok(network),
        Err(_) => text.parse::<IpAddr>().map(IpNet::from),
    }
}
