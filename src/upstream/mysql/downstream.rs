//! The client of a session, checked directly on its socket before something is written to an engine on
//! its behalf. The task of the session detects a disconnect only when the runtime polls the socket
//! again, which may follow a long poll; the state of the socket itself is current.

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
    /// The client waits for its answer.
    Waiting,
    /// The client has sent data that its session has not read; a disconnect may follow that data.
    UnreadInput,
    /// The client has closed or reset its connection, or its request was killed.
    Disconnected,
}

/// The client of one session.
#[derive(Debug)]
pub struct Downstream {
    socket: SocketProbe,
    /// Another session of the same user has killed the request.
    killed: Cell<bool>,
    kill_notification: Notify,
}

impl Downstream {
    /// Creates the state for the client on this socket.
    pub fn new(socket: SocketProbe) -> Self {
        Downstream {
            socket,
            killed: Cell::new(false),
            kill_notification: Notify::new(),
        }
    }

    /// Begins the next command of the client, and clears a kill that was meant for an earlier command.
    pub fn begin_command(&self) {
        self.killed.set(false);
    }

    /// Kills the request of the client, effective immediately.
    pub fn kill(&self) {
        self.killed.set(true);
        self.kill_notification.notify_waiters();
    }

    /// Completes once the request of the client is killed.
    pub async fn killed(&self) {
        while !self.killed.get() {
            self.kill_notification.notified().await;
        }
    }

    /// Returns the current state of the client.
    pub fn state(&self) -> ClientState {
        match self.socket.pending_input() {
            _ if self.killed.get() => ClientState::Disconnected,
            PendingInput::Empty => ClientState::Waiting,
            PendingInput::Bytes => ClientState::UnreadInput,
            PendingInput::Closed => ClientState::Disconnected,
        }
    }

    /// Completes once the client is known to be waiting for its answer, without an await between the
    /// last check and the return. Until then the session reads what the client has sent meanwhile, and
    /// ends the request if it finds a disconnect.
    ///
    /// # Errors
    /// Returns an error if the client has disconnected, or still has unread input at `deadline`, in
    /// milliseconds on the clock of the process.
    pub async fn ensure_waiting(&self, deadline: Millis) -> Result<(), PacketError> {
        loop {
            match self.state() {
                ClientState::Waiting => return Ok(()),
                ClientState::Disconnected => return Err(PacketError::ClientDisconnected),
                ClientState::UnreadInput if process_clock_millis() >= deadline => {
                    return Err(PacketError::Protocol(
                        "client input was not read before the request's deadline",
                    ));
                }
                // Yielding lets the runtime see the unread input and poll the task of the session before
                // this one.
                ClientState::UnreadInput => tokio::task::yield_now().await,
            }
        }
    }
}
