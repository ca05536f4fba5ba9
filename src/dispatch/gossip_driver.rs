//! The way between the dispatchers of a tier: UDP datagrams, late or lost. What they say is [`crate::gossip`]'s.

use crate::config::GossipSettings;
use crate::dispatch::request_router::{RequestRouter, Upstream};
use crate::gossip::MAX_MESSAGE_BYTES;
use crate::log_line;
use std::collections::HashSet;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::UdpSocket;

/// After a failure of the socket: another process of this dispatcher may still hold the address.
const REST: Duration = Duration::from_millis(250);

/// Listens for the peers, and lets the hub speak to them, until the hub is gone.
pub async fn attend<U: Upstream>(router: Weak<RequestRouter<U>>, peers: GossipSettings) {
    let mut told = false;
    let socket = loop {
        match UdpSocket::bind(peers.listen).await {
            Ok(socket) => break Rc::new(socket),
            Err(e) if !std::mem::replace(&mut told, true) => {
                log_line!(
                    "peer_listen {}: {e}; no word with the peers until it is free",
                    peers.listen
                );
            }
            Err(_) => {}
        }
        tokio::time::sleep(REST).await;
    };
    let (out, all) = (socket.clone(), peers.broadcast);
    // A message that cannot be sent at once is dropped: it would be old news by the time that it could.
    let tell = move |message: &[u8]| {
        let _ = out.try_send_to(message, all);
    };
    match router.upgrade() {
        Some(router) => router.join_gossip(peers.budget, Box::new(tell)),
        None => return,
    }
    let from: HashSet<_> = peers.members.iter().copied().collect();
    // One byte more than a message may hold, so that a longer one shows.
    let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(router) = router.upgrade() else {
            return;
        };
        match received {
            // Nobody else has anything to say of the engines.
            Ok((_, sender)) if !from.contains(&sender) => {
                router.record_foreign_message();
                log_line!("peer {sender}: not listed, its message is passed over");
            }
            Ok((size, sender)) => {
                if let Err(e) = router.receive_gossip(&buffer[..size]) {
                    log_line!("peer {sender}: {e}; its message is passed over");
                }
            }
            // What the system tells of a datagram that did not arrive.
            Err(_) => tokio::time::sleep(REST).await,
        }
    }
}
