//! Which addresses a registry may name.
//!
//! Reason: whoever can write to a registry would otherwise choose where statements and the engines' password are sent.
//! An address outside every network is rejected, counted and reported; it is never connected to.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Networks that one configuration may list.
pub const MAX_NETWORKS: usize = 256;

/// The networks that engines may be in.
#[derive(Clone, Debug, PartialEq)]
pub struct Networks {
    /// None: any address that one host can have.
    allowed: Option<Vec<IpNet>>,
}

/// Why an address is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// No configured network contains it.
    #[error("outside the networks")]
    OutsideNetworks,
    /// It is unspecified, a multicast address or the broadcast address.
    #[error("no address of one host")]
    NotUnicast,
    /// Its port is 0.
    #[error("port 0")]
    NoPort,
}

impl Networks {
    /// Any address that one host can have.
    pub fn any() -> Self {
        Networks { allowed: None }
    }

    /// Only these networks.
    pub fn only(networks: &[IpNet]) -> Self {
        Networks {
            allowed: Some(IpNet::aggregate(&networks.to_vec())),
        }
    }

    /// The private and loopback networks: the default where the configuration names none.
    pub fn private() -> Self {
        Networks::only(&[
            ipv4_network([127, 0, 0, 0], 8),
            ipv4_network([10, 0, 0, 0], 8),
            ipv4_network([172, 16, 0, 0], 12),
            ipv4_network([192, 168, 0, 0], 16),
            ipv6_network(Ipv6Addr::LOCALHOST, 128),
            ipv6_network(Ipv6Addr::new(0xfc00, 0, 0, 0, 0, 0, 0, 0), 7),
        ])
    }

    /// The address as it is to be used, if it may be. An IPv4-mapped IPv6 address counts as the IPv4 address:
    /// otherwise `::ffff:198.51.100.1` would pass by a network of IPv6, or a good one fail.
    ///
    /// # Errors
    /// The address is not one host's, has no port, or lies outside the networks.
    pub fn admit(&self, address: SocketAddr) -> Result<SocketAddr, AddressError> {
        let ip = address.ip().to_canonical();
        if address.port() == 0 {
            return Err(AddressError::NoPort);
        }
        if !is_one_host(ip) {
            return Err(AddressError::NotUnicast);
        }
        match &self.allowed {
            Some(networks) if !networks.iter().any(|network| network.contains(&ip)) => {
                Err(AddressError::OutsideNetworks)
            }
            _ => Ok(SocketAddr::new(ip, address.port())),
        }
    }
}

fn is_one_host(ip: IpAddr) -> bool {
    let is_broadcast = matches!(ip, IpAddr::V4(ipv4) if ipv4.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn ipv4_network(octets: [u8; 4], prefix_length: u8) -> IpNet {
    IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from(octets), prefix_length))
}

fn ipv6_network(address: Ipv6Addr, prefix_length: u8) -> IpNet {
    IpNet::V6(Ipv6Net::new_assert(address, prefix_length))
}
