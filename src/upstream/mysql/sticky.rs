//! The engine's end of a sticky session: one attempt that holds a connection and executes what its session sends, until
//! nothing keeps the session there, a limit ends it, or the connection breaks. When it ends is decided by
//! [`crate::sticky_sessions`].

use super::connection::{Connection, WaitingClient};
use super::executor::{AttemptEvents, Execution, Executor, WriteGate, WrittenOn};
use super::kill::Killer;
use super::work::{Output, Work};
use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    COM_PING, COM_QUERY, PacketError, SERVER_STATUS_IN_TRANS, read_packet,
};
use crate::sticky_sessions::{
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickyReason, StickySession,
    StickySessionLimits, TransactionOutcome,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How often a sticky session checks its limits, and whether its engine is draining.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often an idle connection is pinged, in milliseconds.
const PING_INTERVAL_MS: Millis = 1000.0;

/// One statement of a sticky session.
pub struct SessionCommand {
    /// The statement.
    pub work: Work,
    /// What it does to the session's state on the connection.
    pub effect: StatementEffect,
    /// Where its answer goes; dropped if the connection is lost.
    pub reply: oneshot::Sender<SessionAnswer>,
}

/// The answer to a statement of a sticky session.
pub struct SessionAnswer {
    /// What the engine returned.
    pub output: Output,
    /// Whether the session goes on holding the connection.
    pub disposition: ConnectionDisposition,
    /// A transaction is open, as the engine reports.
    pub in_transaction: bool,
}

/// What a session and the attempt that holds its connection share.
pub struct StickyChannel {
    /// Taken by the attempt that holds the connection: there is never a second.
    commands: RefCell<Option<mpsc::Receiver<SessionCommand>>>,
    /// Why the attempt has ended the session.
    expired: Cell<Option<Expired>>,
    limits: StickySessionLimits,
    /// Sent on the connection before the first statement.
    first_statement: Option<String>,
}

impl std::fmt::Debug for StickyChannel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StickyChannel")
            .field("expired", &self.expired)
            .finish_non_exhaustive()
    }
}

impl StickyChannel {
    /// A channel, and the sender of the session's statements. `first_statement` is executed before them.
    pub fn new(
        limits: StickySessionLimits,
        first_statement: Option<String>,
    ) -> (Rc<Self>, mpsc::Sender<SessionCommand>) {
        let (sender, receiver) = mpsc::channel(1);
        let channel = StickyChannel {
            commands: RefCell::new(Some(receiver)),
            expired: Cell::new(None),
            limits,
            first_statement,
        };
        (Rc::new(channel), sender)
    }

    /// An attempt has begun to execute what is sent: from then on it may have run.
    pub fn has_begun(&self) -> bool {
        self.commands.borrow().is_none()
    }

    /// Why the attempt has ended the session, if it has.
    pub fn expired(&self) -> Option<Expired> {
        self.expired.get()
    }
}

/// How a sticky session ended with a sound connection.
pub(super) enum SessionEnd {
    /// Nothing keeps the session on the connection: the last answer, to be sent once the connection is back.
    Released(oneshot::Sender<SessionAnswer>, SessionAnswer),
    /// The connection is to be closed, by which the engine rolls back what is open.
    Closed,
}

/// Serves one sticky session on its connection.
pub(super) struct SessionServer<'a> {
    pub(super) executor: &'a Executor,
    pub(super) killer: &'a Rc<Killer>,
    pub(super) channel: &'a StickyChannel,
    pub(super) client: WaitingClient<'a>,
    pub(super) written_on: &'a WrittenOn,
    pub(super) events: &'a dyn AttemptEvents,
}

/// The session on its connection.
struct OpenSession<'a> {
    connection: &'a mut Connection,
    session: StickySession,
    /// When the engine last answered, or was pinged.
    last_contact: Millis,
}

impl SessionServer<'_> {
    /// Executes what the session sends. An error is that of the connection, which is lost; whoever waits for an answer
    /// learns it from the reply's end.
    pub(super) async fn serve(
        &self,
        connection: &mut Connection,
    ) -> Result<SessionEnd, PacketError> {
        if self.channel.first_statement.is_some() {
            self.client.ensure_waiting().await?;
        }
        let Some(mut commands) = self.channel.commands.borrow_mut().take() else {
            return Err(PacketError::Protocol(
                "what was open on another engine is not opened again",
            ));
        };
        self.events.session_started();
        let mut open = OpenSession {
            connection,
            session: StickySession::new(self.channel.limits.clone(), process_clock_millis()),
            last_contact: process_clock_millis(),
        };
        if let Some(first) = &self.channel.first_statement {
            self.executor
                .expect_ok(open.connection, COM_QUERY, first)
                .await?;
        }
        loop {
            let Some(command) = self.next_command(&mut open, &mut commands).await? else {
                return Ok(SessionEnd::Closed);
            };
            let SessionCommand {
                work,
                effect,
                reply,
            } = command;
            open.session
                .on_statement_sent(process_clock_millis(), effect);
            self.events.session_active();
            self.written_on.set(None);
            let result = self.execute(&mut open, &work).await?;
            let answer = self.answer(&mut open, result).await?;
            if answer.disposition == ConnectionDisposition::Release {
                self.written_on.set(None);
                return Ok(SessionEnd::Released(reply, answer));
            }
            // A client that has disconnected closes the channel, which ends the session.
            let _ = reply.send(answer);
        }
    }

    /// Waits for a statement; `None` once the session has ended or a limit ends it.
    async fn next_command(
        &self,
        open: &mut OpenSession<'_>,
        commands: &mut mpsc::Receiver<SessionCommand>,
    ) -> Result<Option<SessionCommand>, PacketError> {
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => return Ok(command),
                // Nothing is owed: whatever arrives ends the connection.
                packet = read_packet(&mut *open.connection.wire) => {
                    return Err(packet.err().unwrap_or(PacketError::OutOfOrder));
                }
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            if let Some(expired) = self.check_limits(open) {
                self.channel.expired.set(Some(expired));
                return Ok(None);
            }
            let now = process_clock_millis();
            if now >= open.last_contact + PING_INTERVAL_MS {
                open.last_contact = now;
                self.executor
                    .expect_ok(open.connection, COM_PING, "")
                    .await?;
                self.events.session_idle();
            }
        }
    }

    /// The limit that ends the session now, if one does.
    fn check_limits(&self, open: &mut OpenSession<'_>) -> Option<Expired> {
        let now = process_clock_millis();
        if !self.events.in_service() {
            open.session.on_engine_draining(now);
        }
        open.session.expired(now)
    }

    /// Executes one statement; a limit that ends the session meanwhile kills it.
    async fn execute(
        &self,
        open: &mut OpenSession<'_>,
        work: &Work,
    ) -> Result<Result<Output, PacketError>, PacketError> {
        let execution = Execution {
            client: self.client,
            written_on: self.written_on,
            events: self.events,
            gate: WriteGate::SessionHeld,
        };
        let id = open.connection.id;
        let OpenSession {
            connection,
            session,
            ..
        } = open;
        let run = self.executor.run(connection, work, execution);
        tokio::pin!(run);
        loop {
            tokio::select! {
                result = &mut run => return Ok(result),
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let now = process_clock_millis();
            if !self.events.in_service() {
                session.on_engine_draining(now);
            }
            self.channel.expired.set(session.expired(now));
            if self.channel.expired().is_some() {
                // The engine would go on with what runs.
                self.killer.kill(id);
                return Err(PacketError::ConnectionAbandoned);
            }
        }
    }

    /// The answer to a statement from its result; an error is that of the connection.
    async fn answer(
        &self,
        open: &mut OpenSession<'_>,
        result: Result<Output, PacketError>,
    ) -> Result<SessionAnswer, PacketError> {
        open.last_contact = process_clock_millis();
        let output = match result {
            Ok(output) => output,
            // The schema, a setting or the statement is wrong, and nothing ran: that is the answer.
            Err(PacketError::Server(error)) => Output::error(&error),
            // Its session learns of the same, ends and says why.
            Err(PacketError::ClientDisconnected) => std::future::pending().await,
            Err(error) => return Err(error),
        };
        self.events.session_idle();
        let response = match output.sql_error() {
            Some(error) => EngineResponse::Error(error.code),
            None => EngineResponse::Status {
                in_transaction: open.connection.status & SERVER_STATUS_IN_TRANS != 0,
            },
        };
        let disposition = open.session.on_response(open.last_contact, response);
        Ok(SessionAnswer {
            output,
            disposition,
            in_transaction: open.session.is_bound_by(StickyReason::Transaction),
        })
    }
}

/// Why a sticky session was lost, as its client is told.
pub fn loss_reason(expired: Option<Expired>) -> String {
    expired.map_or("its engine connection was lost".to_string(), |expired| {
        expired.to_string()
    })
}

/// What a client is told whose sticky session was lost: whether anything may have been committed is said plainly.
pub fn session_lost(reason: &str, outcome: TransactionOutcome) -> SqlError {
    match outcome {
        TransactionOutcome::RolledBack => SqlError::new(
            code::ER_LOCK_DEADLOCK,
            format!("the transaction is rolled back, {reason}; begin it again from its start"),
        ),
        TransactionOutcome::Unknown => SqlError::new(
            code::ER_QUERY_INTERRUPTED,
            format!(
                "the commit was sent and not answered, {reason}: it is not known whether it holds; \
                 look before you send it again"
            ),
        ),
    }
}
