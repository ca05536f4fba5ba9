//! Executes work on a connection: the session's context, the command, its answer and its warnings.

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
use crate::protocol::mysql::session::{LAST_INSERT_ID_VARIABLE, set_statement};
use crate::protocol::mysql::values::Execute;
use crate::spool_io::Spools;
use bytes::Bytes;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Limit of a prepared statement's parameters and columns in bytes: 4,096 columns need no more.
const MAX_DESCRIPTION_BYTES: usize = 1 << 20;
/// COM_STMT_EXECUTE: no cursor, one iteration.
const EXECUTE_FLAGS_AND_ITERATIONS: [u8; 5] = [0, 1, 0, 0, 0];

/// What an attempt reports while it runs.
pub(super) trait AttemptEvents {
    /// Whether the engine is in service.
    fn in_service(&self) -> bool;
    /// A statement has been written.
    fn statement_written(&self);
    /// A sticky session holds the connection: from now on it is not counted as a request of the engine.
    fn session_started(&self);
    /// The engine has answered, and nothing is asked of it.
    fn session_idle(&self);
    /// Something is asked of the engine.
    fn session_active(&self);
}

/// When a statement may still be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteGate {
    /// While the engine is in service.
    EngineInService,
    /// Always: the session holds the connection already.
    SessionHeld,
}

/// The connection on which an attempt has written a statement; empty while nothing of it can have run.
pub(super) type WrittenOn = Cell<Option<ConnectionId>>;

/// How one piece of work is executed.
#[derive(Clone, Copy)]
pub(super) struct Execution<'a> {
    pub(super) client: WaitingClient<'a>,
    /// Set right before the first byte that may make the statement run: whatever fails earlier proves that it never
    /// did.
    pub(super) written_on: &'a WrittenOn,
    pub(super) events: &'a dyn AttemptEvents,
    pub(super) gate: WriteGate,
}

impl Execution<'_> {
    /// Whether the statement may still be written: connecting took its time, the engine may be draining by now or the
    /// deadline have passed.
    fn check(&self) -> Result<(), PacketError> {
        let in_service = self.gate == WriteGate::SessionHeld || self.events.in_service();
        if !in_service || process_clock_millis() >= self.client.deadline {
            return Err(PacketError::Protocol("no longer in service, or too late"));
        }
        Ok(())
    }

    fn check_and_mark(&self, connection: ConnectionId) -> Result<(), PacketError> {
        self.check()?;
        self.written_on.set(Some(connection));
        Ok(())
    }
}

/// Executes work on connections.
pub(super) struct Executor {
    pub(super) spools: Rc<Spools>,
    /// Limit for a command whose answer is a plain OK.
    pub(super) control_timeout: Duration,
}

impl Executor {
    /// Executes the work on a connection.
    pub(super) async fn run(
        &self,
        connection: &mut Connection,
        work: &Work,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        let result = self.run_job(connection, work, execution).await;
        // Then the last answer has arrived completely.
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
        if !connection.can_enter(&work.context) {
            return Err(PacketError::Protocol(
                "the connection stands in another session's place",
            ));
        }
        self.enter_context(connection, work, execution.client)
            .await?;
        // Statements change it: it is set again for the next session that reads it.
        if connection
            .context
            .variables
            .contains_key(LAST_INSERT_ID_VARIABLE)
        {
            Rc::make_mut(&mut connection.context.variables).remove(LAST_INSERT_ID_VARIABLE);
        }
        match &work.job {
            Job::EnterContext => Ok(Output::one_packet(&ok_packet())),
            // A sticky session executes what others bring, and is brought by none.
            Job::StickySession(_) => Err(PacketError::Protocol("a pin within a pin")),
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

    /// Executes a prepared statement. An engine that does not know it any more has not run it: it is prepared and
    /// executed once more.
    async fn execute(
        &self,
        connection: &mut Connection,
        work: &Work,
        execute: &Execute,
        execution: Execution<'_>,
    ) -> Result<Output, PacketError> {
        let key = (work.context.clone(), work.sql.clone());
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
        // The attempt has been counted as written.
        self.execute_once(connection, work, execute, &key, execution, || ())
            .await
    }

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
        // By these alone nothing runs.
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

    /// The statement's id on this connection; prepares it if the connection has not yet.
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
        let check = || execution.check();
        let packets = self
            .prepare(connection, work, execution.client, check, || ())
            .await?;
        if let Some(packet) = packets.iter().next().filter(|packet| is_err(packet)) {
            let error = parse_err_packet(&Bytes::copy_from_slice(packet));
            return Err(PacketError::Server(error));
        }
        connection
            .statements
            .id(key)
            .ok_or(PacketError::Protocol("not prepared"))
    }

    /// Prepares a statement: the answer, and behind it the definitions of parameters and columns.
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
        let key = (work.context.clone(), work.sql.clone());
        for replaced in connection.statements.insert(key, id) {
            connection
                .send_command(COM_STMT_CLOSE, &[&replaced.to_le_bytes()])
                .await?;
        }
        connection.command_in_progress = false;
        Ok(packets)
    }

    /// A command whose answer is a plain OK.
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
            _ => Err(PacketError::Protocol("it answers rows to a setting")),
        }
    }

    /// Takes the connection to the session's context, step by step, so that a step that fails leaves `context` as the
    /// engine has it.
    pub(super) async fn enter_context(
        &self,
        connection: &mut Connection,
        work: &Work,
        client: WaitingClient<'_>,
    ) -> Result<(), PacketError> {
        let target = &work.context;
        if let Some(schema) = &target.schema
            && connection.context.schema != target.schema
        {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_INIT_DB, schema).await?;
            connection.context.schema = Some(schema.clone());
        }
        if let Some(names) = &target.names
            && connection.context.names != target.names
        {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_QUERY, &format!("SET NAMES {names}"))
                .await?;
            connection.context.names = Some(names.clone());
        }
        if let Some(set) = set_statement(&connection.context.variables, &target.variables) {
            client.ensure_waiting().await?;
            self.expect_ok(connection, COM_QUERY, &set).await?;
            connection.context.variables = target.variables.clone();
        }
        Ok(())
    }
}

/// Reads definitions and the EOF behind them; none are sent without an EOF.
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

/// What is kept of a statement beside its rows stays small.
pub(super) fn check_description_size(packets: &Packets) -> Result<(), PacketError> {
    match packets.size() > MAX_DESCRIPTION_BYTES {
        true => Err(PacketError::TooLarge(packets.size())),
        false => Ok(()),
    }
}

fn is_unknown_statement(output: &Output) -> bool {
    output
        .sql_error()
        .is_some_and(|error| error.code == code::ER_UNKNOWN_STMT_HANDLER.number)
}
