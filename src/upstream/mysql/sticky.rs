//! The engine side of a sticky session: one attempt that holds a connection and executes the statements
//! that its session sends, until no session state requires the connection, a limit ends the session, or
//! the connection breaks. [`crate::sticky_sessions`] decides when the session ends.

use super::connection::{Connection, WaitingClient};
use super::errors::ends_connection;
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
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickySession,
    StickySessionLimits, TransactionOutcome, TransactionState,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval at which a sticky session checks its limits and whether its engine is draining.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which an idle connection is pinged, in milliseconds.
const PING_INTERVAL_MS: Millis = 1000.0;

/// One statement of a sticky session.
pub struct SessionCommand {
    /// Statement to execute.
    pub work: Work,
    /// Effect of the statement on the session state of the connection.
    pub effect: StatementEffect,
    /// Receives the answer; dropped without one if the connection is lost.
    pub reply: oneshot::Sender<SessionAnswer>,
}

/// The answer to a statement of a sticky session.
pub struct SessionAnswer {
    /// Output of the engine.
    pub output: Output,
    /// Whether the engine has begun to execute the statement, even if it failed then.
    pub executed: bool,
    /// Whether the session keeps the connection.
    pub disposition: ConnectionDisposition,
    /// The state of the session's transaction after this answer.
    pub transaction: TransactionState,
}

/// State shared by a session and the attempt that holds its connection.
pub struct StickyChannel {
    /// Receiver of the statements of the session. The attempt that holds the connection takes it, so
    /// that no second attempt ever serves the session.
    commands: RefCell<Option<mpsc::Receiver<SessionCommand>>>,
    /// Limit for which the attempt has ended the session.
    expired: Cell<Option<Expired>>,
    limits: StickySessionLimits,
    /// Statement that is executed before the first statement of the session.
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
    /// Creates a channel and the sender of the session's statements. `first_statement` is executed
    /// before them.
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

    /// Returns whether an attempt has begun to execute the statements of the session: from then on they
    /// may have run.
    pub fn has_begun(&self) -> bool {
        self.commands.borrow().is_none()
    }

    /// Returns the limit for which the attempt has ended the session, if it has.
    pub fn expired(&self) -> Option<Expired> {
        self.expired.get()
    }
}

/// How a sticky session ended whose connection still works.
pub(super) enum SessionEnd {
    /// No session state requires the connection any more. The last answer is sent once the connection is
    /// back in the pool.
    Released(oneshot::Sender<SessionAnswer>, SessionAnswer),
    /// The connection is to be closed, so that the engine rolls back any open transaction.
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

/// A sticky session with its connection.
struct OpenSession<'a> {
    connection: &'a mut Connection,
    session: StickySession,
    /// Time at which the engine last answered or was pinged, in milliseconds on the clock of the process.
    last_contact: Millis,
}

impl SessionServer<'_> {
    /// Executes the statements that the session sends. An error means that the connection is lost; a
    /// session that waits for an answer detects this because its reply channel is dropped.
    pub(super) async fn serve(
        &self,
        connection: &mut Connection,
    ) -> Result<SessionEnd, PacketError> {
        if self.channel.first_statement.is_some() {
            self.client.ensure_waiting().await?;
        }
        let Some(mut commands) = self.channel.commands.borrow_mut().take() else {
            return Err(PacketError::Protocol(
                "a sticky session that began on another engine is not started again",
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
            // If the client has disconnected, the channel is closed, which ends the session.
            let _ = reply.send(answer);
        }
    }

    /// Waits for the next statement; returns `None` once the session has ended or a limit ends it.
    async fn next_command(
        &self,
        open: &mut OpenSession<'_>,
        commands: &mut mpsc::Receiver<SessionCommand>,
    ) -> Result<Option<SessionCommand>, PacketError> {
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => return Ok(command),
                // No answer is pending, so any packet that arrives is unexpected and ends the connection.
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

    /// Returns the limit that ends the session now, if one does.
    fn check_limits(&self, open: &mut OpenSession<'_>) -> Option<Expired> {
        let now = process_clock_millis();
        if !self.events.in_service() {
            open.session.on_engine_draining(now);
        }
        open.session.expired(now)
    }

    /// Executes one statement; kills it if a limit ends the session meanwhile. The outer error means
    /// that the connection is abandoned.
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
                // Without the kill, the engine would continue the running statement.
                self.killer.kill(id);
                return Err(PacketError::ConnectionAbandoned);
            }
        }
    }

    /// Returns the answer to a statement from its result. An error means that the connection is lost.
    async fn answer(
        &self,
        open: &mut OpenSession<'_>,
        result: Result<Output, PacketError>,
    ) -> Result<SessionAnswer, PacketError> {
        open.last_contact = process_clock_millis();
        if let Some(error) = end_of_connection(&result) {
            return Err(PacketError::Server(error));
        }
        let (output, response) = match result {
            Ok(output) => {
                let response = response_of(&output, open.connection);
                (output, response)
            }
            // The schema, a setting or the statement is invalid and nothing ran: the error is the answer.
            Err(PacketError::Server(error)) => (Output::error(&error), EngineResponse::NotExecuted),
            // The session detects the disconnect too, and ends with that reason.
            Err(PacketError::ClientDisconnected) => std::future::pending().await,
            Err(error) => return Err(error),
        };
        self.events.session_idle();
        let disposition = open.session.on_response(open.last_contact, response);
        Ok(SessionAnswer {
            output,
            executed: response.follows_execution(),
            disposition,
            transaction: open.session.transaction(),
        })
    }
}

/// Returns the error by which the engine reports the end of the connection, if it has answered with one. The session is
/// lost then, and its client is told what became of its transaction instead.
fn end_of_connection(result: &Result<Output, PacketError>) -> Option<SqlError> {
    let error = match result {
        Ok(output) => output.sql_error(),
        Err(PacketError::Server(error)) => Some(error.clone()),
        Err(_) => None,
    };
    error.filter(|error| ends_connection(error.code))
}

/// Returns the part of the engine's answer that matters to the session.
fn response_of(output: &Output, connection: &Connection) -> EngineResponse {
    match output.sql_error() {
        Some(error) => EngineResponse::Error(error.code),
        None => EngineResponse::Status {
            in_transaction: connection.status & SERVER_STATUS_IN_TRANS != 0,
        },
    }
}

/// Returns the reason for the loss of a sticky session, as reported to its client.
pub fn loss_reason(expired: Option<Expired>) -> String {
    expired.map_or("its engine connection was lost".to_string(), |expired| {
        expired.to_string()
    })
}

/// Returns the error for a client whose sticky session was lost. It states whether anything may have
/// been committed. Only where a transaction is surely rolled back does the client learn that it can begin
/// again.
pub fn session_lost_error(reason: &str, outcome: TransactionOutcome) -> SqlError {
    match outcome {
        TransactionOutcome::RolledBack => SqlError::new(
            code::ER_LOCK_DEADLOCK,
            format!("the transaction is rolled back, {reason}; begin it again from its start"),
        ),
        TransactionOutcome::Unknown => SqlError::new(
            code::ER_QUERY_INTERRUPTED,
            format!(
                "{reason}: it is not known whether the statement, or what it commits, has \
                 taken effect; look before you send it again"
            ),
        ),
        TransactionOutcome::NoTransaction => SqlError::new(
            code::ER_QUERY_INTERRUPTED,
            format!(
                "{reason}, and with it the locks, temporary tables and variables that the \
                 session held there; no transaction was open: this statement has changed \
                 nothing, and what was answered before it stays in effect"
            ),
        ),
    }
}
