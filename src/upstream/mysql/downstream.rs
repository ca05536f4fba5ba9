//! A session's client, as whoever writes to an engine on its behalf sees it at that moment. The session's task learns
//! of its client's disconnect when the runtime does, which may be a long poll later; the socket knows at once.

use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::protocol::mysql::packet::PacketError;
use crate::transport::client_socket::SocketProbe;
use crate::transport::pending_input::PendingInput;
use std::cell::Cell;
use tokio::sync::Notify;

/// The state of a client whose request is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It waits for its answer.
    Waiting,
    /// It has sent something that its session has not read: its disconnect may be behind it.
    UnreadInput,
    /// It has closed or reset its connection, or its request was killed.
    Disconnected,
}

/// The client of one session.
#[derive(Debug)]
pub struct Downstream {
    socket: SocketProbe,
    /// Another session of its user has killed its request.
    killed: Cell<bool>,
    kill_notification: Notify,
}

impl Downstream {
    /// The client on this socket.
    pub fn new(socket: SocketProbe) -> Self {
        Downstream {
            socket,
            killed: Cell::new(false),
            kill_notification: Notify::new(),
        }
    }

    /// Its next command begins: an earlier kill was meant for another.
    pub fn begin_command(&self) {
        self.killed.set(false);
    }

    /// Kills its request, with effect at once.
    pub fn kill(&self) {
        self.killed.set(true);
        self.kill_notification.notify_waiters();
    }

    /// Completes once its request is killed.
    pub async fn killed(&self) {
        while !self.killed.get() {
            self.kill_notification.notified().await;
        }
    }

    /// The client's state at this moment.
    pub fn state(&self) -> ClientState {
        match self.socket.pending_input() {
            _ if self.killed.get() => ClientState::Disconnected,
            PendingInput::Empty => ClientState::Waiting,
            PendingInput::Bytes => ClientState::UnreadInput,
            PendingInput::Closed => ClientState::Disconnected,
        }
    }

    /// Completes while the client waits for its answer; nothing awaits between the last check and the return. Its
    /// session reads first what the client has sent meanwhile, and ends the request if a disconnect is among it.
    ///
    /// # Errors
    /// It has disconnected, or goes on sending past the deadline of its request (milliseconds on the clock of the process).
    pub async fn ensure_waiting(&self, deadline: Millis) -> Result<(), PacketError> {
        loop {
            match self.state() {
                ClientState::Waiting => return Ok(()),
                ClientState::Disconnected => return Err(PacketError::ClientDisconnected),
                ClientState::UnreadInput if process_clock_millis() >= deadline => {
                    return Err(PacketError::Protocol(
                        "what its client has said was not read in time",
                    ));
                }
                // The runtime learns of the unread input, and the session's task is polled before this one again.
                ClientState::UnreadInput => tokio::task::yield_now().await,
            }
        }
    }
}
