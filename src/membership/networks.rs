//! The addresses that a registry may list.
//!
//! Reason: otherwise anyone who can write to a registry could choose where statements and the engines'
//! password are sent. An address outside all configured networks is rejected, counted and reported; no
//! connection to it is opened.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Maximum number of networks in a configuration.
pub const MAX_NETWORKS: usize = 256;

/// Networks that engine addresses must be in.
#[derive(Clone, Debug, PartialEq)]
pub struct Networks {
    /// The allowed networks; `None` allows any unicast address.
    allowed: Option<Vec<IpNet>>,
}

/// Why an address is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// No configured network contains the address.
    #[error("outside the networks")]
    OutsideNetworks,
    /// The address is unspecified, a multicast address or the broadcast address.
    #[error("no address of one host")]
    NotUnicast,
    /// The port is 0.
    #[error("port 0")]
    NoPort,
}

impl Networks {
    /// Allows any unicast address.
    pub fn any() -> Self {
        Networks { allowed: None }
    }

    /// Allows only addresses in these networks.
    pub fn only(networks: &[IpNet]) -> Self {
        Networks {
            allowed: Some(IpNet::aggregate(&networks.to_vec())),
        }
    }

    /// Allows private and loopback networks: the default if the configuration names no networks.
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

    /// Checks an address and returns its canonical form. An IPv4-mapped IPv6 address counts as the IPv4
    /// address: otherwise an IPv6 network could admit `::ffff:198.51.100.1`, or the mapped form of an allowed
    /// IPv4 address could be rejected.
    ///
    /// # Errors
    /// The address is not a unicast address, has port 0, or is outside the allowed networks.
    pub fn admit(&self, address: SocketAddr) -> Result<SocketAddr, AddressError> {
        let ip = address.ip().to_canonical();
        if address.port() == 0 {
            return Err(AddressError::NoPort);
        }
        if !is_unicast(ip) {
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

fn is_unicast(ip: IpAddr) -> bool {
    let is_broadcast = matches!(ip, IpAddr::V4(ipv4) if ipv4.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn ipv4_network(octets: [u8; 4], prefix_length: u8) -> IpNet {
    IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from(octets), prefix_length))
}

fn ipv6_network(address: Ipv6Addr, prefix_length: u8) -> IpNet {
    IpNet::V6(Ipv6Net::new_assert(address, prefix_length))
}
