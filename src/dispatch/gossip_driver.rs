//! Gossip between the dispatchers of a tier, over UDP: datagrams may be late or lost. Their content is
//! [`crate::gossip`]'s.

use crate::clock::process_time_millis;
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

/// The least time between two requests about the ages of engines.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a failure of the socket: another process of this dispatcher may still hold the address.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Receives the peers' messages, and lets the router send to them, until the router is dropped.
pub async fn attend<U: Upstream>(router: Weak<RequestRouter<U>>, peers: GossipSettings) {
    let socket = Rc::new(bind(peers.listen).await);
    let outgoing = socket.clone();
    let all_peers = peers.broadcast;
    let sender = move |message: &[u8]| {
        // A message that cannot be sent at once is dropped: it would be stale by the time that it could.
        let _ = outgoing.try_send_to(message, all_peers);
    };
    match router.upgrade() {
        Some(router) => router.join_gossip(peers.budget, Box::new(sender)),
        None => return,
    }
    let sources = Sources {
        own: peers.listen,
        listed: peers.members.iter().copied().collect(),
    };
    tokio::join!(
        receive(&router, &socket, &sources),
        request_ages(&router, &socket, &sources),
    );
}

/// The addresses that the configuration lists for the dispatchers of the tier.
struct Sources {
    /// What this dispatcher sends from, another process of it as well.
    own: SocketAddr,
    listed: HashSet<SocketAddr>,
}

impl Sources {
    /// The listed addresses of the other dispatchers.
    fn others(&self) -> Vec<SocketAddr> {
        let listed = self.listed.iter().copied();
        let mut others: Vec<SocketAddr> = listed.filter(|address| *address != self.own).collect();
        others.sort_unstable();
        others
    }
}

/// Binds the address, as soon as it is free. Only the first failure is logged.
async fn bind(address: SocketAddr) -> UdpSocket {
    let mut is_logged = false;
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(error) => {
                if !is_logged {
                    log_line!("peer_listen {address}: {error}; no gossip until it is free");
                }
                is_logged = true;
            }
        }
        tokio::time::sleep(SOCKET_RETRY_DELAY).await;
    }
}

/// Hands messages to the router until it is dropped.
async fn receive<U: Upstream>(
    router: &Weak<RequestRouter<U>>,
    socket: &UdpSocket,
    sources: &Sources,
) {
    // One byte more than a message may hold, so that a longer one can be told from a full one.
    let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(router) = router.upgrade() else {
            return;
        };
        match received {
            Ok((size, sender)) if !sources.listed.contains(&sender) => {
                router.record_unlisted_peer(sender, &buffer[..size]);
                log_line!("peer {sender}: not listed, its message is ignored");
            }
            Ok((size, sender)) => {
                let message = &buffer[..size];
                match AgeMessage::decode(message) {
                    Some(AgeMessage::Request(starts)) => {
                        if let Some(answer) = router.answer_age_request(&starts) {
                            let _ = socket.try_send_to(&answer, sender);
                        }
                    }
                    Some(AgeMessage::Response(ages)) => router.learn_engine_ages(ages),
                    None => receive_report(&router, sources, sender, message),
                }
            }
            // The error of an earlier datagram that could not be delivered.
            Err(_) => tokio::time::sleep(SOCKET_RETRY_DELAY).await,
        }
    }
}

/// A listed peer's load report.
fn receive_report<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    sources: &Sources,
    sender: SocketAddr,
    message: &[u8],
) {
    match router.receive_gossip(message) {
        Ok(()) if sender == sources.own => {}
        Ok(()) => router.record_listed_peer(sender),
        Err(error) => log_line!("peer {sender}: {error}; its message is ignored"),
    }
}

/// Asks peers for the ages of engines, a random peer each time, until the router is dropped.
async fn request_ages<U: Upstream>(
    router: &Weak<RequestRouter<U>>,
    socket: &UdpSocket,
    sources: &Sources,
) {
    let others: Vec<SocketAddr> = sources.others();
    if others.is_empty() {
        return;
    }
    let mut random = oorandom::Rand64::new(process_time_millis().to_bits().into());
    while let Some(request) = router.upgrade().map(|router| router.age_request()) {
        if let Some(request) = request {
            let peer = random.rand_range(0..others.len() as u64) as usize;
            let _ = socket.try_send_to(&request, others[peer]);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}
