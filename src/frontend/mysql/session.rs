//! The session of one client: its state and its command loop.

use super::accept::{ClientConnection, reject};
use super::login::LoggedInClient;
use super::prepared_statements::PreparedStatements;
use super::sticky::HeldConnection;
use super::{Frontend, PendingAnswerGuard, SessionEntry, StatementUpstream};
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

/// Maximum number of bytes that are read from a client while its answer is pending: commands that it sends
/// early.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Why a session ends.
pub(super) enum SessionEnd {
    /// The client has disconnected, or has been sent the reason for the end.
    Quit,
    /// The connection failed, or the client violated the protocol.
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
    pub(super) connection: ClientConnection,
    pub(super) tenant: Option<usize>,
    pub(super) user: String,
    pub(super) result_format: ResultFormat,
    pub(super) state: SessionState,
    /// Session number, which the client received as its connection id in the greeting.
    pub(super) number: u32,
    /// State of the client, shared with the attempts that write to engines for this session.
    pub(super) downstream: Rc<Downstream>,
    /// Warnings of the previous statement.
    pub(super) warnings: SharedWarnings,
    /// Error of the previous statement.
    pub(super) last_error: Option<SqlError>,
    /// Engine connection that the session holds while it is sticky.
    pub(super) sticky: Option<HeldConnection<'a, U>>,
    pub(super) statements: PreparedStatements,
    /// Whether a command has been read whose answer is not complete.
    answer_pending: bool,
}

impl<U: StatementUpstream> Drop for Session<'_, U> {
    fn drop(&mut self) {
        self.frontend.sessions.borrow_mut().remove(&self.number);
        // While output is unflushed, the dispatcher is waiting for the client rather than the reverse.
        if self.answer_pending && self.connection.is_flushed() {
            self.frontend
                .router
                .record_violation(Violation::ClosedUnanswered);
        }
    }
}

impl<'a, U: StatementUpstream> Session<'a, U> {
    /// Opens the session of a client that has logged in.
    pub(super) fn open(
        frontend: &'a Rc<Frontend<U>>,
        connection: ClientConnection,
        client: LoggedInClient,
    ) -> Self {
        let downstream = Rc::new(Downstream::new(connection.get_ref().probe()));
        let session = Session {
            frontend,
            connection,
            tenant: client.tenant,
            user: client.user,
            result_format: client.result_format,
            state: SessionState::new(client.schema),
            number: client.number,
            downstream,
            warnings: SharedWarnings::default(),
            last_error: None,
            sticky: None,
            statements: PreparedStatements::default(),
            answer_pending: false,
        };
        session.register();
        session
    }

    /// Registers the session under its user, so that other sessions can kill its request.
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
            self.connection.codec_mut().sequence = 0;
            let command = tokio::select! {
                biased;
                command = self.connection.next() => command,
                _ = stopping.wait_for(|stopping| *stopping) => {
                    // Commands that the client has sent by now are answered first.
                    if self.has_unread_input() {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return self.frontend.send_shutdown(&mut self.connection).await;
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
        self.connection.get_ref().pending_input() == PendingInput::Bytes
    }

    async fn answer(&mut self, command: Bytes) -> Result<(), SessionEnd> {
        let _pending = PendingAnswerGuard::new(&self.frontend.pending_answers);
        self.answer_pending = true;
        self.downstream.begin_command();
        let mut end = self.run_command(command).await;
        if let Err(SessionEnd::Broken(error)) = end {
            end = self.reject_broken(error).await;
        }
        // The client has received the answer or has disconnected.
        self.answer_pending = false;
        self.connection.codec_mut().release_memory();
        end
    }

    /// Ends a session after an error in the middle of a command. The command has been read, so the client is
    /// sent the error, unless its connection has failed.
    async fn reject_broken(&mut self, error: PacketError) -> Result<(), SessionEnd> {
        if !matches!(error, PacketError::Io(_) | PacketError::ClientDisconnected) {
            reject(
                &mut self.connection,
                code::ER_MALFORMED_PACKET,
                error.to_string(),
            )
            .await?;
        }
        Err(error.into())
    }

    /// Ends a session after an error while the next command was read.
    async fn reject_unreadable(&mut self, error: PacketError) -> Result<(), SessionEnd> {
        let code = match &error {
            // The client disconnected between two commands, in TLS possibly without a close_notify message.
            PacketError::Io(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof
                ) =>
            {
                return Ok(());
            }
            PacketError::TooLarge(_) => code::ER_NET_PACKET_TOO_LARGE,
            PacketError::OutOfMemory(_) => code::ER_OUT_OF_RESOURCES,
            _ => code::ER_MALFORMED_PACKET,
        };
        self.connection.codec_mut().sequence = 1;
        reject(&mut self.connection, code, error.to_string()).await?;
        Err(error.into())
    }
}

/// Whether COM_QUIT is among the commands that a client has sent early. Such a client waits for no answer any
/// more, neither to its current command nor to those before the COM_QUIT.
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

/// Returns why a session ends while an answer is pending: the client has disconnected, or has sent
/// [`MAX_READ_AHEAD_BYTES`] or more.
pub(super) fn end_of_read_ahead(result: io::Result<()>) -> SessionEnd {
    match result {
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            SessionEnd::Broken(PacketError::OutOfOrder)
        }
        _ => SessionEnd::Quit,
    }
}
