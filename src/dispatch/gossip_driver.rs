//! Transport of gossip between peer dispatchers over UDP: datagrams may be delayed or lost. [`crate::gossip`]
//! defines their content.

use crate::clock::process_clock_millis;
use crate::config::GossipSettings;
use crate::dispatch::request_router::RequestRouter;
use crate::dispatch::upstream::Upstream;
use crate::gossip::{AgeMessage, MAX_MESSAGE_BYTES};
use crate::log_line;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Minimum time between two requests for the ages of engines.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a socket error: another process of this dispatcher may still be bound to the address.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs gossip until the router is dropped: receives the peers' messages and gives the router a sender.
pub async fn run<U: Upstream>(router: Weak<RequestRouter<U>>, peers: GossipSettings) {
    let socket = Rc::new(bind(peers.listen).await);
    let outgoing = socket.clone();
    let all_peers = peers.broadcast;
    let sender = move |message: &[u8]| {
        // A message that cannot be sent at once is dropped: it would be stale later.
        let _ = outgoing.try_send_to(message, all_peers);
    };
    match router.upgrade() {
        Some(router) => router.join_gossip(peers.budget, Box::new(sender)),
        None => return,
    }
    let listed_addresses = ListedAddresses {
        own: peers.listen,
        all: peers.members.iter().copied().collect(),
    };
    tokio::join!(
        receive(&router, &socket, &listed_addresses),
        request_ages(&router, &socket, &listed_addresses),
    );
}

/// The configured gossip addresses of all dispatchers.
struct ListedAddresses {
    /// Address that all processes of this dispatcher send from.
    own: SocketAddr,
    /// Addresses of all dispatchers, including this one.
    all: HashSet<SocketAddr>,
}

impl ListedAddresses {
    /// Returns the addresses of the other dispatchers, in ascending order.
    fn others(&self) -> Vec<SocketAddr> {
        let all = self.all.iter().copied();
        let mut others: Vec<SocketAddr> = all.filter(|address| *address != self.own).collect();
        others.sort_unstable();
        others
    }
}

/// Binds a socket to the address, retrying until the address is free. Only the first failure is logged.
async fn bind(address: SocketAddr) -> UdpSocket {
    let mut is_logged = false;
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(error) => {
                if !is_logged {
                    log_line!(
                        "peer_listen {address}: {error}; no gossip until the address is free"
                    );
                }
                is_logged = true;
            }
        }
        tokio::time::sleep(SOCKET_RETRY_DELAY).await;
    }
}

/// Passes received messages to the router until the router is dropped.
async fn receive<U: Upstream>(
    router: &Weak<RequestRouter<U>>,
    socket: &UdpSocket,
    listed_addresses: &ListedAddresses,
) {
    // One byte longer than the longest message, to distinguish a longer datagram from a message of maximum
    // length.
    let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(router) = router.upgrade() else {
            return;
        };
        match received {
            Ok((size, sender)) if !listed_addresses.all.contains(&sender) => {
                router.record_unlisted_peer(sender, &buffer[..size]);
                log_line!("peer {sender}: not listed, its message is ignored");
            }
            Ok((size, sender)) => {
                let message = &buffer[..size];
                match AgeMessage::decode(message) {
                    Some(AgeMessage::Request(starts)) => {
                        if let Some(response) = router.answer_age_request(&starts) {
                            let _ = socket.try_send_to(&response, sender);
                        }
                    }
                    Some(AgeMessage::Response(ages)) => router.learn_engine_ages(ages),
                    None => receive_report(&router, listed_addresses, sender, message),
                }
            }
            // The error belongs to an earlier datagram that could not be delivered.
            Err(_) => tokio::time::sleep(SOCKET_RETRY_DELAY).await,
        }
    }
}

/// Passes a listed peer's load report to the router.
fn receive_report<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    listed_addresses: &ListedAddresses,
    sender: SocketAddr,
    message: &[u8],
) {
    match router.receive_gossip(message) {
        Ok(()) if sender == listed_addresses.own => {}
        Ok(()) => router.record_listed_peer(sender),
        Err(error) => log_line!("peer {sender}: {error}; its message is ignored"),
    }
}

/// Requests the ages of engines from peers, a random one each time, until the router is dropped.
async fn request_ages<U: Upstream>(
    router: &Weak<RequestRouter<U>>,
    socket: &UdpSocket,
    listed_addresses: &ListedAddresses,
) {
    let others: Vec<SocketAddr> = listed_addresses.others();
    if others.is_empty() {
        return;
    }
    let mut random = oorandom::Rand64::new(process_clock_millis().to_bits().into());
    while let Some(request) = router.upgrade().map(|router| router.age_request()) {
        if let Some(request) = request {
            let peer = random.rand_range(0..others.len() as u64) as usize;
            let _ = socket.try_send_to(&request, others[peer]);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}
