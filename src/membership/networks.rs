//! Which addresses a registry may name.
//!
//! Reason: whoever can write to a registry would else choose where statements and the engines' password go. An
//! address inside no network is rejected, counted and named; it is never connected to.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Networks that engines may stand in.
#[derive(Clone, Debug, PartialEq)]
pub struct Networks {
    /// None: any address that one host can have.
    nets: Option<Vec<IpNet>>,
}

/// Why an address is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    #[error("outside the networks")]
    Outside,
    #[error("no address of one host")]
    NoHost,
    #[error("port 0")]
    NoPort,
}

/// No operators' file lists more networks.
pub const MAX_NETWORKS: usize = 256;

impl Networks {
    pub fn any() -> Self {
        Networks { nets: None }
    }

    pub fn only(nets: &[IpNet]) -> Self {
        Networks {
            nets: Some(IpNet::aggregate(&nets.to_vec())),
        }
    }

    /// Loopback and the private ranges: what holds if an operators' file names none.
    pub fn private() -> Self {
        let v4 = |a, b, c, d, len| IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::new(a, b, c, d), len));
        let v6 = |first, len| {
            IpNet::V6(Ipv6Net::new_assert(
                Ipv6Addr::new(first, 0, 0, 0, 0, 0, 0, 0),
                len,
            ))
        };
        let nets = [
            v4(127, 0, 0, 0, 8),
            v4(10, 0, 0, 0, 8),
            v4(172, 16, 0, 0, 12),
            v4(192, 168, 0, 0, 16),
            IpNet::V6(Ipv6Net::new_assert(Ipv6Addr::LOCALHOST, 128)),
            v6(0xfc00, 7),
        ];
        Networks::only(&nets)
    }

    /// The address as it is to be used, if it may be. An IPv4 address written as one of IPv6 is what it stands
    /// for: else `::ffff:198.51.100.1` would pass by a network of IPv6, or a good one fail.
    pub fn admit(&self, address: SocketAddr) -> Result<SocketAddr, Rejection> {
        let ip = address.ip().to_canonical();
        if address.port() == 0 {
            return Err(Rejection::NoPort);
        }
        let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
        if ip.is_unspecified() || ip.is_multicast() || broadcast {
            return Err(Rejection::NoHost);
        }
        match &self.nets {
            Some(nets) if !nets.iter().any(|n| n.contains(&ip)) => Err(Rejection::Outside),
            _ => Ok(SocketAddr::new(ip, address.port())),
        }
    }
}
