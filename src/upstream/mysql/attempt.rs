//! One attempt: a connection is taken or opened, the work is executed on it, and the connection returned or closed.

use super::connection::{Connection, WaitingClient};
use super::errors::{is_engine_fault, is_engine_full, outcome_of};
use super::executor::{AttemptEvents, Execution, Executor, WriteGate, WrittenOn};
use super::kill::Killer;
use super::pool::{Checkout, ConnectionPermit, ConnectionUse, Pool};
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

/// A connection with its permit. The connection is closed before its permit is given back.
struct PooledConnection<'a> {
    connection: Connection,
    permit: ConnectionPermit<'a>,
}

impl PooledConnection<'_> {
    fn give_back(self) {
        self.permit.give_back(self.connection);
    }

    fn give_back_used(mut self) {
        self.connection.last_used = Instant::now();
        self.give_back();
    }
}

/// Whether any byte of an attempt's statement has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// Some byte: it may have run.
    Maybe,
    /// None: it never ran.
    Nothing,
}

/// What an attempt shares with whoever cancels it.
#[derive(Default)]
pub(super) struct AttemptState {
    /// The connection on which the statement was written.
    pub(super) written_on: WrittenOn,
    /// The engine was restarted, moved or removed: the connection leads nowhere.
    pub(super) abandoned: Notify,
}

/// Carries out one attempt.
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
    /// The engine's answer, or the outcome of an attempt without one. Does not complete if the client disconnects: its
    /// session learns of the same and drops this attempt.
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
        self.note_broken_connection(&mut pooled.connection, &result);
        if matches!(result, Err(PacketError::ClientDisconnected)) {
            self.abandon(pooled);
            return std::future::pending().await;
        }
        let written = self.take_written();
        match result {
            Ok(output) => finish(pooled, output),
            Err(error) => self.fail(pooled, error, written),
        }
    }

    fn engine(&self) -> &'a str {
        &self.start.engine
    }

    /// A session's statement has begun to execute.
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

    /// An idle connection, or a new one.
    async fn acquire(&self) -> Result<PooledConnection<'a>, Outcome> {
        let key = (self.work.context.clone(), self.work.sql.clone());
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
        // An engine that has just started has to warm up: what was meant for it as it was is given back, and the
        // decision module chooses again.
        if self
            .pool
            .report_opened(self.engine(), pooled.connection.opened)
        {
            pooled.give_back();
            return Err(Outcome::NeverStarted);
        }
        Ok(pooled)
    }

    fn connect_failed(&self, error: &PacketError) -> Outcome {
        log_line!("engine {}: {error}", self.engine());
        match error {
            PacketError::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                let left = self.pool.live_count(self.engine());
                self.pool.report(
                    self.engine(),
                    Observation::Refused {
                        open_connections: left,
                    },
                );
                Outcome::Unreachable
            }
            PacketError::Server(error) if is_engine_full(error.code) => Outcome::Rejected,
            _ => Outcome::Unreachable,
        }
    }

    /// Holds the connection for a sticky session.
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
                .enter_context(connection, self.work, client)
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

    /// An engine that has ended takes all its connections along: the idle ones are not waited for.
    fn note_broken_connection(
        &self,
        connection: &mut Connection,
        result: &Result<Output, PacketError>,
    ) {
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

    /// The client has disconnected: a connection with nothing of its statement serves others.
    fn abandon(&self, pooled: PooledConnection<'_>) {
        let is_clean = !pooled.connection.command_in_progress && !self.session_has_begun();
        if is_clean {
            pooled.give_back();
        }
    }

    /// The answer to an attempt that failed, where a retry would fail alike; else its outcome.
    fn fail(
        &self,
        pooled: PooledConnection<'_>,
        error: PacketError,
        written: Written,
    ) -> Result<Output, Outcome> {
        let engine = self.engine();
        match (written, error) {
            // The statement ran and a second run would return as much: that is the answer.
            (Written::Maybe, PacketError::SpoolRejection(error)) => {
                log_line!("engine {engine}: {error}");
                Ok(result_error(&format!("the statement ran, but {error}")))
            }
            (Written::Maybe, PacketError::TooLarge(bytes)) => {
                log_line!("engine {engine}: a packet of {bytes} bytes");
                Ok(result_error(&format!(
                    "the statement ran, but its result has a packet of {bytes} bytes, above max_packet"
                )))
            }
            // The schema or the statement is wrong: no other engine would answer otherwise.
            (Written::Nothing, PacketError::Server(error))
                if !is_engine_full(error.code) && !is_engine_fault(error.code) =>
            {
                let output = Output::error(&error);
                pooled.give_back();
                Ok(output)
            }
            (written, error) => {
                log_line!("engine {engine}: {error}");
                Err(failed_outcome(written, &error))
            }
        }
    }
}

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

/// The attempt of a sticky session has no answer of its own: the session's statements were answered.
fn end_session(pooled: PooledConnection<'_>, end: SessionEnd) -> Output {
    if let SessionEnd::Released(reply, answer) = end {
        // The connection first: who gets the answer may ask for one at once.
        pooled.give_back_used();
        let _ = reply.send(answer);
    }
    Output::Inline(Packets::default())
}

/// An engine's answer, which may be its own failure.
fn finish(pooled: PooledConnection<'_>, output: Output) -> Result<Output, Outcome> {
    let outcome = outcome_of(&output);
    // A transaction that a plain statement has left open belongs to no session: it ends with its connection.
    if pooled.connection.status & SERVER_STATUS_IN_TRANS == 0 {
        pooled.give_back_used();
    }
    match outcome {
        Some(outcome) => Err(outcome),
        None => Ok(output),
    }
}
