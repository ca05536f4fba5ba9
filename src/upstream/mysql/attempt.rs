//! One attempt: takes a connection from the pool or opens one, executes the work on it, and then returns
//! the connection to the pool or closes it.

use super::connection::{Connection, WaitingClient};
use super::errors::{is_engine_fault, is_engine_full, outcome_of};
use super::executor::{AttemptEvents, Execution, Executor, WriteGate, WrittenOn};
use super::kill::Killer;
use super::pool::{Checkout, ConnectionPermit, ConnectionUse, Pool};
use super::prepared_statements::StatementKey;
use super::sticky::{SessionEnd, SessionServer, StickyChannel};
use super::work::{Job, Output, Packets, Work};
use crate::decision::model::Outcome;
use crate::dispatch::StartAttempt;
use crate::log_line;
use crate::membership::Observation;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{PacketError, SERVER_STATUS_IN_TRANS};
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// A connection with its permit. The field order drops (closes) the connection before the permit is released.
struct PooledConnection<'a> {
    connection: Connection,
    permit: ConnectionPermit<'a>,
}

impl PooledConnection<'_> {
    /// Returns the connection to the pool, or closes it if no other session may use it.
    fn return_to_pool(self) {
        if !self.connection.is_unpredictable {
            self.permit.return_to_pool(self.connection);
        }
    }

    fn return_used_to_pool(mut self) {
        self.connection.last_used = Instant::now();
        self.return_to_pool();
    }
}

/// Whether any byte of the statement of an attempt has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// At least one byte may have been written: the statement may have run.
    Maybe,
    /// No byte has been written: the statement never ran.
    Nothing,
}

/// State that an attempt shares with the code that cancels it.
#[derive(Default)]
pub(super) struct AttemptState {
    /// The connection on which the statement was written.
    pub(super) written_on: WrittenOn,
    /// Notified when the engine was restarted, moved to another address or removed, so that the
    /// connection no longer reaches it.
    pub(super) abandoned: Notify,
}

/// Runs one attempt.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a Pool,
    pub(super) executor: &'a Executor,
    pub(super) killer: &'a Rc<Killer>,
    pub(super) start: &'a StartAttempt,
    pub(super) work: &'a Work,
    pub(super) state: &'a AttemptState,
    pub(super) events: &'a dyn AttemptEvents,
}

impl<'a> Attempt<'a> {
    /// Runs the attempt and returns the answer of the engine, or the outcome of an attempt without an
    /// answer. Does not complete if the client disconnects: the session detects the disconnect too and
    /// drops this attempt.
    pub(super) async fn run(&self) -> Result<Output, Outcome> {
        let mut pooled = self.acquire().await?;
        let result = match &self.work.job {
            Job::StickySession(channel) => {
                match self.serve_session(&mut pooled.connection, channel).await {
                    Ok(end) => return Ok(end_session(pooled, end)),
                    Err(error) => Err(error),
                }
            }
            _ => self.execute(&mut pooled.connection).await,
        };
        self.mark_if_broken(&mut pooled.connection, &result);
        if matches!(result, Err(PacketError::ClientDisconnected)) {
            self.release_after_disconnect(pooled);
            return std::future::pending().await;
        }
        let written = self.take_written();
        match result {
            Ok(output) => finish(pooled, output),
            Err(error) => self.handle_failure(pooled, error, written),
        }
    }

    fn engine(&self) -> &'a str {
        &self.start.engine
    }

    /// Returns whether the work is a sticky session whose first statement has begun to execute.
    fn session_has_begun(&self) -> bool {
        matches!(&self.work.job, Job::StickySession(channel) if channel.has_begun())
    }

    fn take_written(&self) -> Written {
        let written_on = self.state.written_on.take();
        match written_on.is_some() || self.session_has_begun() {
            true => Written::Maybe,
            false => Written::Nothing,
        }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    async fn acquire(&self) -> Result<PooledConnection<'a>, Outcome> {
        let key = StatementKey::of(self.work);
        let usage = match &self.work.job {
            Job::StickySession(_) => ConnectionUse::StickySession,
            _ => ConnectionUse::Statement,
        };
        let Checkout { permit, idle } = self.pool.checkout(self.engine(), &key, usage)?;
        if let Some(connection) = idle {
            return Ok(PooledConnection { connection, permit });
        }
        let connection = match self.pool.connect(self.engine()).await {
            Ok(connection) => connection,
            Err(error) => return Err(self.connect_failed(&error)),
        };
        let pooled = PooledConnection { connection, permit };
        // An engine that has just restarted has to warm up: an attempt that was placed on its previous
        // process is returned unstarted, and the decision module chooses again.
        if self
            .pool
            .report_opened(self.engine(), pooled.connection.opened)
        {
            pooled.return_to_pool();
            return Err(Outcome::NeverStarted);
        }
        Ok(pooled)
    }

    fn connect_failed(&self, error: &PacketError) -> Outcome {
        log_line!("engine {}: {error}", self.engine());
        match error {
            PacketError::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                let open_connections = self.pool.live_count(self.engine());
                self.pool
                    .report(self.engine(), Observation::Refused { open_connections });
                Outcome::Unreachable
            }
            PacketError::Server(error) if is_engine_full(error.code) => Outcome::Rejected,
            _ => Outcome::Unreachable,
        }
    }

    /// Serves a sticky session on the connection until the session ends.
    async fn serve_session(
        &self,
        connection: &mut Connection,
        channel: &StickyChannel,
    ) -> Result<SessionEnd, PacketError> {
        let client = WaitingClient {
            downstream: &self.work.downstream,
            deadline: self.start.deadline,
        };
        let server = SessionServer {
            executor: self.executor,
            killer: self.killer,
            channel,
            client,
            written_on: &self.state.written_on,
            events: self.events,
        };
        let session = async {
            self.executor
                .enter_context(connection, &self.work.context, client)
                .await?;
            server.serve(connection).await
        };
        tokio::select! {
            end = session => end,
            () = self.state.abandoned.notified() => Err(PacketError::ConnectionAbandoned),
        }
    }

    /// Executes one statement.
    async fn execute(&self, connection: &mut Connection) -> Result<Output, PacketError> {
        connection.status = 0;
        let execution = Execution {
            client: WaitingClient {
                downstream: &self.work.downstream,
                deadline: self.start.deadline.min(self.start.write_by),
            },
            written_on: &self.state.written_on,
            events: self.events,
            gate: WriteGate::EngineInService,
        };
        tokio::select! {
            result = self.executor.run(connection, self.work, execution) => result,
            () = self.state.abandoned.notified() => Err(PacketError::ConnectionAbandoned),
        }
    }

    /// Marks the connection as broken if the attempt ended with an I/O error other than a timeout. An
    /// engine whose process has ended loses all its connections, so its unusable idle connections are
    /// closed at once.
    fn mark_if_broken(&self, connection: &mut Connection, result: &Result<Output, PacketError>) {
        let Some(live) = &mut connection.live else {
            return;
        };
        if let Err(PacketError::Io(error)) = result {
            live.broken = error.kind() != io::ErrorKind::TimedOut;
        }
        if live.broken {
            self.pool.close_unusable(self.engine());
        }
    }

    /// Releases the connection after its client has disconnected: it returns to the pool if nothing of
    /// the statement was written, and is closed otherwise.
    fn release_after_disconnect(&self, pooled: PooledConnection<'_>) {
        let is_clean = !pooled.connection.command_in_progress && !self.session_has_begun();
        if is_clean {
            pooled.return_to_pool();
        }
    }

    /// Returns the answer to a failed attempt where a retry would fail in the same way, and the outcome
    /// otherwise.
    fn handle_failure(
        &self,
        pooled: PooledConnection<'_>,
        error: PacketError,
        written: Written,
    ) -> Result<Output, Outcome> {
        let engine = self.engine();
        match (written, error) {
            // The statement ran, and another run would return a result just as large: the error is the
            // answer.
            (Written::Maybe, PacketError::SpoolRejection(error)) => {
                log_line!("engine {engine}: {error}");
                Ok(result_error(&format!("the statement ran, but {error}")))
            }
            (Written::Maybe, PacketError::TooLarge(bytes)) => {
                log_line!("engine {engine}: a packet or description of {bytes} bytes is too large");
                Ok(result_error(&format!(
                    "the statement ran, but its result has a packet of {bytes} bytes, above max_packet"
                )))
            }
            // The schema or the statement is invalid: any other engine would return the same error.
            (Written::Nothing, PacketError::Server(error))
                if !is_engine_full(error.code) && !is_engine_fault(error.code) =>
            {
                let output = Output::error(&error);
                pooled.return_to_pool();
                Ok(output)
            }
            (written, error) => {
                log_line!("engine {engine}: {error}");
                Err(failed_outcome(written, &error))
            }
        }
    }
}

/// Returns the outcome of a failed attempt.
fn failed_outcome(written: Written, error: &PacketError) -> Outcome {
    match (written, error) {
        (Written::Nothing, PacketError::Server(error)) if is_engine_full(error.code) => {
            Outcome::Rejected
        }
        (Written::Nothing, _) => Outcome::Unreachable,
        (Written::Maybe, PacketError::Io(_) | PacketError::ConnectionAbandoned) => Outcome::Reset,
        (Written::Maybe, _) => Outcome::Error,
    }
}

fn result_error(message: &str) -> Output {
    Output::error(&SqlError::new(code::ER_TOO_BIG_SELECT, message))
}

/// Ends the attempt of a sticky session. The attempt itself has no answer: each statement of the session
/// was answered.
fn end_session(pooled: PooledConnection<'_>, end: SessionEnd) -> Output {
    if let SessionEnd::Released(reply, answer) = end {
        // The connection is returned before the reply is sent: the receiver may need a connection at once.
        pooled.return_used_to_pool();
        let _ = reply.send(answer);
    }
    Output::Inline(Packets::default())
}

/// Returns the answer of the engine, or the outcome if the answer reports a failure of the engine itself.
fn finish(pooled: PooledConnection<'_>, output: Output) -> Result<Output, Outcome> {
    let outcome = outcome_of(&output);
    // A transaction that a statement outside a sticky session has left open belongs to no session: its
    // connection is closed, which rolls it back.
    if pooled.connection.status & SERVER_STATUS_IN_TRANS == 0 {
        pooled.return_used_to_pool();
    }
    match outcome {
        Some(outcome) => Err(outcome),
        None => Ok(output),
    }
}
