//! A session's client, as whoever writes to an engine on its behalf sees it at that very moment. The session's task hears
//! of its client's end when the runtime does, which may be a long turn later; the machine knows at once.

use crate::clock::unix_time_millis;
use crate::decision::model::Millis;
use crate::protocol::mysql::packet::PacketError;
use crate::transport::client_socket::SocketProbe;
use crate::transport::pending_input::PendingInput;
use std::cell::Cell;
use tokio::sync::Notify;

/// What a look at a client shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// It waits for its answer.
    Waits,
    /// It has said something that its session has not read: its end may stand behind.
    Unheard,
    /// It has closed or reset its connection, or what it asks is killed.
    Gone,
}

/// The client of one session.
#[derive(Debug)]
pub struct Downstream {
    socket: SocketProbe,
    /// Another session of its user has killed what it asks.
    killed: Cell<bool>,
    told: Notify,
}

impl Downstream {
    pub fn new(socket: SocketProbe) -> Self {
        Downstream {
            socket,
            killed: Cell::new(false),
            told: Notify::new(),
        }
    }

    /// Its next command begins: a kill that has come before was meant for another.
    pub fn begins(&self) {
        self.killed.set(false);
    }

    /// What it asks is killed, from this very moment on.
    pub fn kill(&self) {
        self.killed.set(true);
        self.told.notify_waiters();
    }

    /// Ends once what it asks is killed.
    pub async fn killed(&self) {
        while !self.killed.get() {
            self.told.notified().await;
        }
    }

    pub fn look(&self) -> Look {
        match self.socket.pending_input() {
            _ if self.killed.get() => Look::Gone,
            PendingInput::Empty => Look::Waits,
            PendingInput::Bytes => Look::Unheard,
            PendingInput::Closed => Look::Gone,
        }
    }

    /// Ends while it waits for its answer; nothing awaits between the last look and the return. What it has said meanwhile
    /// its session reads first, which ends what it asks if there is a last word in it.
    ///
    /// # Errors
    /// It has gone, or goes on talking past the time of its request.
    pub async fn heed(&self, until: Millis) -> Result<(), PacketError> {
        loop {
            match self.look() {
                Look::Waits => return Ok(()),
                Look::Gone => return Err(PacketError::ClientDisconnected),
                Look::Unheard if unix_time_millis() >= until => {
                    return Err(PacketError::Protocol(
                        "what its client has said was not read in time",
                    ));
                }
                // The runtime hears of what is unread, and the session's task comes before this one again.
                Look::Unheard => tokio::task::yield_now().await,
            }
        }
    }
}
