//! Executes work on a connection: applies the session context, writes the command, and reads its answer
//! and its warnings.

use super::connection::{Connection, ConnectionId, WaitingClient};
use super::prepared_statements::StatementKey;
use super::work::{Job, Output, Packets, Work};
use crate::clock::process_clock_millis;
use crate::protocol::mysql::error::code;
use crate::protocol::mysql::packet::{
    COM_INIT_DB, COM_QUERY, COM_STMT_CLOSE, COM_STMT_EXECUTE, COM_STMT_PREPARE,
    COM_STMT_SEND_LONG_DATA, ERR_HEADER, OK_HEADER, PacketError, PayloadReader, is_err, ok_packet,
    parse_err_packet, parse_ok_status, read_packet,
};
use crate::protocol::mysql::session::SessionContext;
use crate::protocol::mysql::values::Execute;
use crate::spool_io::Spools;
use bytes::Bytes;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size in bytes of the parameter and column definitions of a prepared statement: 4,096 columns
/// need no more.
const MAX_DESCRIPTION_BYTES: usize = 1 << 20;
/// Flags and iteration count of COM_STMT_EXECUTE: no cursor, one iteration.
const EXECUTE_FLAGS_AND_ITERATIONS: [u8; 5] = [0, 1, 0, 0, 0];

/// Receives the events of an attempt while it runs.
pub(super) trait AttemptEvents {
    /// Returns whether the engine is in service.
    fn in_service(&self) -> bool;
    /// Records that a statement has been written.
    fn statement_written(&self);
    /// Records that a sticky session holds the connection: from now on the attempt is not counted as a
    /// request in flight on the engine.
    fn session_started(&self);
    /// Records that the engine has answered and no statement of the session is in progress.
    fn session_idle(&self);
    /// Records that a statement of the session is in progress.
    fn session_active(&self);
}

/// The condition under which a statement may still be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteGate {
    /// While the engine is in service.
    EngineInService,
    /// Regardless of the engine's state: the session already holds the connection.
    SessionHeld,
}

/// The connection on which an attempt has written a statement; `None` while the statement cannot have run.
pub(super) type WrittenOn = Cell<Option<ConnectionId>>;

/// The parameters for executing one piece of work.
#[derive(Clone, Copy)]
pub(super) struct Execution<'a> {
    pub(super) client: WaitingClient<'a>,
    /// Set right before the first byte that may make the statement run: after an earlier failure, the
    /// statement is known never to have run.
    pub(super) written_on: &'a WrittenOn,
    pub(super) events: &'a dyn AttemptEvents,
    pub(super) gate: WriteGate,
}

impl Execution<'_> {
    /// Checks that the statement may still be written: while the connection was being opened, the engine
    /// may have started to drain or the deadline may have passed.
    fn check(&self) -> Result<(), PacketError> {
        let in_service = self.gate == WriteGate::SessionHeld || self.events.in_service();
        if !in_service || process_clock_millis() >= self.client.deadline {
            return Err(PacketError::Protocol(
                "the engine is no longer in service, or the deadline has passed",
            ));
        }
        Ok(())
    }

    /// Checks that the statement may still be written, and records the connection as the one it is
    /// written on.
    fn check_and_mark(&self, connection: ConnectionId) -> Result<(), PacketError> {
        self.check()?;
        self.written_on.set(Some(connection));
        Ok(())
    }
}

/// Executes work on connections.
pub(super) struct Executor {
    pub(super) spools: Rc<Spools>,
    /// Time limit for a command whose answer is a plain OK.
    pub(super) control_timeout: Duration,
}

impl Executor {
    /// Executes the work on a connection, and returns the answer of the engine.
    pub(super) async fn run(
        &self,
        connection: &mut Connection,
        work: &Work,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        let result = self.run_job(connection, work, execution).await;
        // In both cases the last answer has arrived completely.
        if matches!(result, Ok(_) | Err(PacketError::Server(_))) {
            connection.command_in_progress = false;
        }
        result
    }

    async fn run_job(
        &self,
        connection: &mut Connection,
        work: &Work,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        if !connection.context.can_enter(&work.context) {
            return Err(PacketError::Protocol(
                "the connection has a schema or character set that this session needs unset",
            ));
        }
        self.enter_context(connection, &work.context, execution.client)
            .await?;
        connection.context.forget_last_insert_id();
        connection
            .context
            .forget_variables(&work.effects.assigned_variables);
        connection.is_unpredictable |= work.effects.is_unpredictable;
        let output = self.run_command(connection, work, execution).await?;
        if let Some(schema) = &work.effects.dropped_schema
            && output.sql_error().is_none()
        {
            let is_certain = connection.context.schema_dropped(schema);
            connection.is_unpredictable |= !is_certain;
        }
        Ok(output)
    }

    /// Executes the command of the work, on a connection that has entered its context.
    async fn run_command(
        &self,
        connection: &mut Connection,
        work: &Work,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        match &work.job {
            Job::EnterContext => Ok(Output::one_packet(&ok_packet())),
            // A sticky session executes other jobs and is never itself submitted as one.
            Job::StickySession(_) => Err(PacketError::Protocol(
                "a sticky session cannot run inside another sticky session",
            )),
            Job::Query => self.query(connection, work, execution).await,
            Job::Prepare => {
                let id = connection.id;
                let mark = || execution.check_and_mark(id);
                let written = || execution.events.statement_written();
                let packets = self
                    .prepare(connection, work, execution.client, mark, written)
                    .await?;
                Ok(Output::Inline(packets))
            }
            Job::Execute(execute) => self.execute(connection, work, execute, execution).await,
        }
    }

    /// Executes a statement with COM_QUERY.
    async fn query(
        &self,
        connection: &mut Connection,
        work: &Work,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        let id = connection.id;
        connection
            .write_command(execution.client, COM_QUERY, &[&work.sql], || {
                execution.check_and_mark(id)
            })
            .await?;
        execution.events.statement_written();
        self.read_answer(connection, work, execution.client).await
    }

    /// Executes a prepared statement. If the engine no longer knows the statement, it has not run it:
    /// the statement is then prepared and executed once more.
    async fn execute(
        &self,
        connection: &mut Connection,
        work: &Work,
        execute: &Execute,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        let key = StatementKey::of(work);
        let first = self
            .execute_once(connection, work, execute, &key, execution, || {
                execution.events.statement_written();
            })
            .await?;
        if !is_unknown_statement(&first) {
            return Ok(first);
        }
        execution.written_on.set(None);
        connection.statements.remove(&key);
        // The attempt has already been counted as written.
        self.execute_once(connection, work, execute, &key, execution, || ())
            .await
    }

    /// Executes a prepared statement, preparing it first if necessary.
    async fn execute_once(
        &self,
        connection: &mut Connection,
        work: &Work,
        execute: &Execute,
        key: &StatementKey,
        execution: Execution<'_>,
        written: impl FnOnce(),
    ) -> Result<Output, PacketError> {
        let statement = self
            .prepared_id(connection, work, key, execution)
            .await?
            .to_le_bytes();
        // These commands alone do not make anything run.
        for (parameter, data) in &execute.long_data {
            let head = [&statement[..], &parameter.to_le_bytes()].concat();
            connection
                .write_command(
                    execution.client,
                    COM_STMT_SEND_LONG_DATA,
                    &[&head, data],
                    || Ok(()),
                )
                .await?;
        }
        let head = [&statement[..], &EXECUTE_FLAGS_AND_ITERATIONS].concat();
        let id = connection.id;
        connection
            .write_command(
                execution.client,
                COM_STMT_EXECUTE,
                &[&head, &execute.body],
                || execution.check_and_mark(id),
            )
            .await?;
        written();
        self.read_answer(connection, work, execution.client).await
    }

    /// Returns the id of the statement on this connection, and prepares the statement if the connection
    /// has not yet.
    async fn prepared_id(
        &self,
        connection: &mut Connection,
        work: &Work,
        key: &StatementKey,
        execution: Execution<'_>,
    ) -> Result<u32, PacketError> {
        if let Some(id) = connection.statements.id(key) {
            return Ok(id);
        }
        if let Some(preparation) = &work.preparation {
            self.enter_context(connection, preparation, execution.client)
                .await?;
        }
        let check = || execution.check();
        let packets = self
            .prepare(connection, work, execution.client, check, || ())
            .await?;
        if work.preparation.is_some() {
            self.enter_context(connection, &work.context, execution.client)
                .await?;
        }
        if let Some(packet) = packets.iter().next().filter(|packet| is_err(packet)) {
            let error = parse_err_packet(&Bytes::copy_from_slice(packet));
            return Err(PacketError::Server(error));
        }
        connection.statements.id(key).ok_or(PacketError::Protocol(
            "the prepared statement has no id on this connection",
        ))
    }

    /// Prepares a statement. Returns the answer, followed by the definitions of parameters and columns.
    async fn prepare(
        &self,
        connection: &mut Connection,
        work: &Work,
        client: WaitingClient<'_>,
        before: impl FnOnce() -> Result<(), PacketError>,
        written: impl FnOnce(),
    ) -> Result<Packets, PacketError> {
        connection
            .write_command(client, COM_STMT_PREPARE, &[&work.sql], before)
            .await?;
        written();
        let mut packets = Packets::default();
        let first = read_packet(&mut *connection.wire).await?;
        packets.push(&first);
        if first.first() != Some(&OK_HEADER) {
            connection.command_in_progress = false;
            return Ok(packets);
        }
        let mut reader = PayloadReader(first.slice(1..));
        let id = reader.u32()?;
        let columns = reader.u16()?;
        let parameters = reader.u16()?;
        read_definitions(connection, parameters, &mut packets).await?;
        read_definitions(connection, columns, &mut packets).await?;
        for replaced in connection.statements.insert(StatementKey::of(work), id) {
            connection
                .send_command(COM_STMT_CLOSE, &[&replaced.to_le_bytes()])
                .await?;
        }
        connection.command_in_progress = false;
        Ok(packets)
    }

    /// Executes a command whose answer is a plain OK.
    pub(super) async fn expect_ok(
        &self,
        connection: &mut Connection,
        command: u8,
        operand: &str,
    ) -> Result<(), PacketError> {
        let answer = async {
            connection.command_in_progress = true;
            connection
                .send_command(command, &[operand.as_bytes()])
                .await?;
            let packet = read_packet(&mut *connection.wire).await?;
            connection.command_in_progress = false;
            Ok::<_, PacketError>(packet)
        };
        let packet = tokio::time::timeout(self.control_timeout, answer)
            .await
            .map_err(io::Error::from)??;
        match packet.first() {
            Some(&OK_HEADER) => {
                connection.status = parse_ok_status(&packet)?.flags;
                Ok(())
            }
            Some(&ERR_HEADER) => Err(PacketError::Server(parse_err_packet(&packet))),
            _ => Err(PacketError::Protocol(
                "the engine answered a command with neither OK nor an error",
            )),
        }
    }

    /// Applies the session context to the connection, step by step, so that `context` matches the state
    /// at the engine even if a step fails.
    pub(super) async fn enter_context(
        &self,
        connection: &mut Connection,
        target: &SessionContext,
        client: WaitingClient<'_>,
    ) -> Result<(), PacketError> {
        if let Some(schema) = &target.schema
            && connection.context.schema != target.schema
        {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_INIT_DB, schema).await?;
            connection.context.schema = Some(schema.clone());
        }
        if let Some(names) = connection.context.names_operand(target) {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_QUERY, &format!("SET NAMES {names}"))
                .await?;
            connection.context.names_set(target);
        }
        if let Some(set) = connection.context.set_statement(target) {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_QUERY, &set).await?;
            connection.context.variables_set(target);
            connection.context.observe_status(connection.status);
        }
        Ok(())
    }
}

/// Reads definitions and the EOF that follows them. If there are no definitions, no EOF is sent either.
async fn read_definitions(
    connection: &mut Connection,
    count: u16,
    packets: &mut Packets,
) -> Result<(), PacketError> {
    let expected = match count {
        0 => 0,
        count => usize::from(count) + 1,
    };
    for _ in 0..expected {
        let packet = read_packet(&mut *connection.wire).await?;
        packets.push(&packet);
        check_description_size(packets)?;
    }
    Ok(())
}

/// Checks the size of what is kept of a statement apart from its rows.
pub(super) fn check_description_size(packets: &Packets) -> Result<(), PacketError> {
    match packets.size() > MAX_DESCRIPTION_BYTES {
        true => Err(PacketError::TooLarge(packets.size())),
        false => Ok(()),
    }
}

/// Returns whether the engine answered that it does not know the prepared statement.
fn is_unknown_statement(output: &Output) -> bool {
    output
        .sql_error()
        .is_some_and(|error| error.code == code::ER_UNKNOWN_STMT_HANDLER.number)
}
