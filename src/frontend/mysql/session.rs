//! One client's session: its state and its command loop.

use super::accept::{ClientConnection, reject};
use super::login::LoggedInClient;
use super::prepared_statements::StatementRegistry;
use super::sticky::StickyHold;
use super::{BusyGuard, Frontend, SessionEntry, StatementUpstream};
use crate::core::Violation;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{COM_QUIT, PacketError, ResultFormat};
use crate::protocol::mysql::session::SessionState;
use crate::transport::pending_input::PendingInput;
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::work::SharedWarnings;
use bytes::Bytes;
use std::io;
use std::rc::Rc;
use tokio_stream::StreamExt;

/// Limit of the bytes that are read ahead of a client that is owed an answer: its next commands, sent early.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Why a session ends.
pub(super) enum SessionEnd {
    /// The client has disconnected, or was told why it is.
    Quit,
    /// The connection failed, or the client broke the protocol.
    Broken(PacketError),
}

impl<E: Into<PacketError>> From<E> for SessionEnd {
    fn from(error: E) -> Self {
        SessionEnd::Broken(error.into())
    }
}

/// A client's session.
pub(super) struct Session<'a, U: StatementUpstream> {
    pub(super) frontend: &'a Rc<Frontend<U>>,
    pub(super) wire: ClientConnection,
    pub(super) tenant: Option<usize>,
    pub(super) user: String,
    pub(super) result_format: ResultFormat,
    pub(super) state: SessionState,
    /// Its number here, as the greeting gave it.
    pub(super) number: u32,
    /// Its client, for those who act on its behalf.
    pub(super) downstream: Rc<Downstream>,
    /// The warnings of the statement before.
    pub(super) warnings: SharedWarnings,
    /// The error of the statement before.
    pub(super) last_error: Option<SqlError>,
    /// The engine connection that a sticky session holds.
    pub(super) sticky: Option<StickyHold<'a, U>>,
    pub(super) statements: StatementRegistry,
    /// A command has been read and its answer is not complete.
    owes_answer: bool,
}

impl<U: StatementUpstream> Drop for Session<'_, U> {
    fn drop(&mut self) {
        self.frontend.sessions.borrow_mut().remove(&self.number);
        // A client that does not take what is written for it is not waiting for the dispatcher.
        if self.owes_answer && self.wire.is_flushed() {
            self.frontend
                .router
                .record_violation(Violation::ClosedUnanswered);
        }
    }
}

impl<'a, U: StatementUpstream> Session<'a, U> {
    /// Begins the session of a client that has logged in.
    pub(super) fn open(
        frontend: &'a Rc<Frontend<U>>,
        wire: ClientConnection,
        client: LoggedInClient,
    ) -> Self {
        let downstream = Rc::new(Downstream::new(wire.get_ref().probe()));
        let session = Session {
            frontend,
            wire,
            tenant: client.tenant,
            user: client.user,
            result_format: client.result_format,
            state: SessionState::new(client.schema),
            number: client.number,
            downstream,
            warnings: SharedWarnings::default(),
            last_error: None,
            sticky: None,
            statements: StatementRegistry::default(),
            owes_answer: false,
        };
        session.register();
        session
    }

    /// Makes the session known to others under its user.
    pub(super) fn register(&self) {
        let entry = SessionEntry {
            user: self.user.clone(),
            downstream: self.downstream.clone(),
        };
        self.frontend
            .sessions
            .borrow_mut()
            .insert(self.number, entry);
    }

    /// Answers commands until the client disconnects or the dispatcher shuts down.
    pub(super) async fn serve(mut self) -> Result<(), SessionEnd> {
        let mut stopping = self.frontend.stopping.subscribe();
        loop {
            self.wire.codec_mut().sequence = 0;
            let command = tokio::select! {
                biased;
                command = self.wire.next() => command,
                _ = stopping.wait_for(|stopping| *stopping) => {
                    // What it has sent by now is answered first.
                    if self.has_unread_input() {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return self.frontend.send_shutdown(&mut self.wire).await;
                }
                () = tokio::time::sleep(self.frontend.config().idle_timeout) => {
                    if !self.has_unread_input() {
                        return Ok(());
                    }
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            let command = match command {
                None => return Ok(()),
                Some(Ok(command)) => command,
                Some(Err(error)) => return self.reject_unreadable(error).await,
            };
            match self.answer(command).await {
                Ok(()) => {}
                Err(SessionEnd::Quit) => return Ok(()),
                Err(broken) => return Err(broken),
            }
        }
    }

    fn has_unread_input(&self) -> bool {
        self.wire.get_ref().pending_input() == PendingInput::Bytes
    }

    async fn answer(&mut self, command: Bytes) -> Result<(), SessionEnd> {
        let _busy = BusyGuard::new(&self.frontend.busy);
        self.owes_answer = true;
        self.downstream.begin_command();
        let mut end = self.run_command(command).await;
        if let Err(SessionEnd::Broken(error)) = end {
            end = self.reject_broken(error).await;
        }
        // The client has its answer, or has gone.
        self.owes_answer = false;
        end
    }

    /// Ends a session that cannot go on in the middle of a command. The command has been read, so its client is told,
    /// unless its connection has failed.
    async fn reject_broken(&mut self, error: PacketError) -> Result<(), SessionEnd> {
        if !matches!(error, PacketError::Io(_) | PacketError::ClientDisconnected) {
            reject(&mut self.wire, code::ER_MALFORMED_PACKET, error.to_string()).await?;
        }
        Err(error.into())
    }

    /// Ends a session whose client sent something that is no command.
    async fn reject_unreadable(&mut self, error: PacketError) -> Result<(), SessionEnd> {
        let code = match &error {
            // Disconnected between two commands, in TLS without a closing message.
            PacketError::Io(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof
                ) =>
            {
                return Ok(());
            }
            PacketError::TooLarge(_) => code::ER_NET_PACKET_TOO_LARGE,
            _ => code::ER_MALFORMED_PACKET,
        };
        self.wire.codec_mut().sequence = 1;
        reject(&mut self.wire, code, error.to_string()).await?;
        Err(error.into())
    }
}

/// Whether COM_QUIT is among commands that were sent early: the client disconnects, and waits for nothing, neither for
/// what it has asked nor for what precedes the COM_QUIT here.
pub(super) fn contains_quit(mut bytes: &[u8]) -> bool {
    while let [low, middle, high, _sequence, rest @ ..] = bytes {
        let length = u32::from_le_bytes([*low, *middle, *high, 0]) as usize;
        if length > 0 && rest.first() == Some(&COM_QUIT) {
            return true;
        }
        bytes = rest.get(length..).unwrap_or_default();
    }
    false
}

/// Why a session ends whose client is owed an answer: it has disconnected, or sends too much meanwhile.
pub(super) fn end_of_read_ahead(result: io::Result<()>) -> SessionEnd {
    match result {
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            SessionEnd::Broken(PacketError::OutOfOrder)
        }
        _ => SessionEnd::Quit,
    }
}
