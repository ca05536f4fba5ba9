//! `eureka.networks`: the networks that engines may be in.

use crate::config::{ConfigError, Problem};
use crate::membership::{MAX_NETWORKS, Networks};
use ipnet::IpNet;
use std::net::{AddrParseError, IpAddr};

const KEY: &str = "eureka.networks";

/// Which form of `[eureka]` a file has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// One server by `address`: without `networks` every address is admitted.
    Address,
    /// A list of `servers`: without `networks` private addresses are admitted.
    Servers,
}

pub(super) fn check_networks(
    configured: Option<Vec<String>>,
    form: Form,
) -> Result<Networks, ConfigError> {
    let Some(texts) = configured else {
        return Ok(match form {
            Form::Address => Networks::any(),
            Form::Servers => Networks::private(),
        });
    };
    if texts.len() > MAX_NETWORKS {
        let max = MAX_NETWORKS;
        return Err(ConfigError::invalid(KEY, Problem::TooMany { max }));
    }
    let mut admitted = Vec::with_capacity(texts.len());
    for (index, text) in texts.into_iter().enumerate() {
        let network = network(&text).map_err(|source| {
            let key = format!("{KEY}[{index}]");
            ConfigError::invalid(key, Problem::Network { text, source })
        })?;
        admitted.push(network);
    }
    Ok(Networks::only(&admitted))
}

/// A network, or the network of one address.
fn network(text: &str) -> Result<IpNet, AddrParseError> {
    match text.parse() {
        Ok(network) => Ok(network),
        Err(_) => text.parse::<IpAddr>().map(IpNet::from),
    }
}
