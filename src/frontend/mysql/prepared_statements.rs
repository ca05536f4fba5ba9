//! Prepared statements of a session. Statement ids are assigned by the session, since each engine connection
//! assigns different ones.

use super::StatementUpstream;
use super::administrative_statements::{self, AdministrativeStatement};
use super::cursor::Cursor;
use super::request::StatementRequest;
use super::session::{Session, SessionEnd};
use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{OK_HEADER, PacketError, PayloadReader};
use crate::protocol::mysql::session::{Literal, SessionContext};
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::protocol::mysql::values::{self, Execute, ParameterType};
use crate::protocol::statement::{self, StatementKind};
use crate::transport::incoming_message::complete_purpose;
use crate::transport::memory_budget::Reservation;
use crate::upstream::mysql::work::{Job, Output};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;

/// Flag of COM_STMT_EXECUTE that requests a read-only cursor.
const CURSOR_TYPE_READ_ONLY: u8 = 1;
/// Length in bytes of the statement id at the start of a command's body.
const STATEMENT_ID_BYTES: usize = 4;
/// Bytes reserved for the header of COM_STMT_SEND_LONG_DATA to an engine, besides the data.
const LONG_DATA_OVERHEAD_BYTES: usize = 16;
/// Memory of a prepared statement beside its text and long data, in bytes.
const STATEMENT_OVERHEAD_BYTES: usize = 512;
/// Length in bytes of the first packet of an answer to COM_STMT_PREPARE: header, statement id, number of
/// columns and of parameters, filler and warning count.
const PREPARE_OK_BYTES: usize = 12;

/// The settings of the session when it prepared a statement on which the meaning of its text depends.
#[derive(Clone)]
struct Preparation {
    /// The schema in which names are resolved.
    schema: Option<String>,
    /// The modes in which an engine may have read the statement.
    modes: LexicalModes,
    /// The `sql_mode`, if the session had set one.
    sql_mode: Option<Literal>,
}

/// A statement that the session has prepared.
pub(super) struct PreparedStatement {
    preparation: Preparation,
    sql: Bytes,
    kind: StatementKind,
    parameter_count: usize,
    /// Parameter types, as the client sent them last.
    bound_types: Option<Vec<ParameterType>>,
    long_data: BTreeMap<u16, BytesMut>,
    /// Memory of the statement's text and its long data.
    memory: Reservation,
    /// Long data exceeded its limit; reported at execution, since COM_STMT_SEND_LONG_DATA has no answer.
    long_data_too_large: bool,
    /// Set if the frontend answers the statement instead of an engine.
    administrative: Option<AdministrativeStatement>,
    /// Open cursor over the rows that remain to be fetched.
    pub(super) cursor: Option<Cursor>,
}

/// Prepared statements of a session, by statement id.
pub(super) struct PreparedStatements {
    statements: BTreeMap<u32, PreparedStatement>,
    next_id: u32,
}

impl Default for PreparedStatements {
    fn default() -> Self {
        PreparedStatements {
            statements: BTreeMap::new(),
            next_id: 1,
        }
    }
}

/// Returns the statement id at the start of a command's body.
fn statement_id(body: &Bytes) -> u32 {
    PayloadReader(body.clone()).u32().unwrap_or(0)
}

impl PreparedStatements {
    /// Returns the statement whose id is in a command's body.
    pub(super) fn get(&mut self, body: &Bytes) -> Result<&mut PreparedStatement, SqlError> {
        let id = statement_id(body);
        self.statements.get_mut(&id).ok_or_else(|| {
            SqlError::new(
                code::ER_UNKNOWN_STMT_HANDLER,
                format!("Unknown prepared statement {id}"),
            )
        })
    }

    /// Executes COM_STMT_CLOSE.
    pub(super) fn close(&mut self, body: &Bytes) {
        self.statements.remove(&statement_id(body));
    }

    /// Executes COM_STMT_RESET: drops long data and the cursor.
    pub(super) fn reset(&mut self, body: &Bytes) -> Result<(), SqlError> {
        let statement = self.get(body)?;
        statement.long_data.clear();
        statement.reserve_long_data(0);
        statement.long_data_too_large = false;
        statement.cursor = None;
        Ok(())
    }

    pub(super) fn clear(&mut self) {
        self.statements.clear();
    }

    fn add(&mut self, statement: PreparedStatement) {
        self.statements.insert(self.next_id, statement);
        self.next_id = self.next_id.wrapping_add(1).max(1);
    }
}

/// An execution that a client has requested.
struct Execution {
    request: ExecutionRequest,
    with_cursor: bool,
}

enum ExecutionRequest {
    Administrative(AdministrativeStatement),
    Engine {
        kind: StatementKind,
        preparation: Preparation,
        sql: Bytes,
        execute: Execute,
    },
}

impl PreparedStatement {
    /// Reserves memory for the statement with this number of bytes of long data; returns whether there is enough.
    fn reserve_long_data(&mut self, bytes: usize) -> bool {
        self.memory
            .resize(statement_memory_bytes(&self.sql) + bytes)
    }

    /// Reads the flags and parameters of COM_STMT_EXECUTE, and consumes the long data sent before.
    fn bind(&mut self, body: &Bytes) -> Result<Execution, SqlError> {
        let long_data = std::mem::take(&mut self.long_data);
        self.reserve_long_data(0);
        self.cursor = None;
        if std::mem::take(&mut self.long_data_too_large) {
            return Err(SqlError::new(
                code::ER_NET_PACKET_TOO_LARGE,
                "the long data is above the bound",
            ));
        }
        let mut reader = PayloadReader(body.slice(STATEMENT_ID_BYTES..));
        let flags = reader.u8().map_err(truncated_error)?;
        if flags & !CURSOR_TYPE_READ_ONLY != 0 {
            return Err(SqlError::new(
                code::ER_NOT_SUPPORTED_YET,
                "only read-only cursors are carried",
            ));
        }
        let iterations = reader.u32().map_err(truncated_error)?;
        if iterations != 1 {
            return Err(SqlError::new(
                code::ER_WRONG_ARGUMENTS,
                "the number of iterations is not 1",
            ));
        }
        let execute = values::complete_parameters(
            self.parameter_count,
            reader.0,
            &mut self.bound_types,
            &long_data,
        )?;
        let request = match &self.administrative {
            Some(statement) => ExecutionRequest::Administrative(statement.clone()),
            None => ExecutionRequest::Engine {
                kind: self.kind.clone(),
                preparation: self.preparation.clone(),
                sql: self.sql.clone(),
                execute,
            },
        };
        Ok(Execution {
            request,
            with_cursor: flags == CURSOR_TYPE_READ_ONLY,
        })
    }
}

/// Returns the memory of a prepared statement without long data, in bytes.
fn statement_memory_bytes(sql: &[u8]) -> usize {
    sql.len() + STATEMENT_OVERHEAD_BYTES
}

fn truncated_error(_: PacketError) -> SqlError {
    SqlError::new(code::ER_MALFORMED_PACKET, "the command ends too early")
}

/// Returns why a statement cannot be prepared, or `None` if it can be.
fn unpreparable_reason(kind: &StatementKind) -> Option<&'static str> {
    match kind {
        StatementKind::Unsupported(reason) => Some(reason),
        StatementKind::Set
        | StatementKind::Use(_)
        | StatementKind::ShowWarnings
        | StatementKind::KillQuery(_) => Some("this is not to be prepared"),
        _ => None,
    }
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Answers COM_STMT_PREPARE.
    pub(super) async fn prepare(&mut self, sql: Bytes) -> Result<(), SessionEnd> {
        let administrative = match administrative_statements::parse(&sql) {
            Some(Err(error)) => {
                let error = SqlError::new(code::ER_PARSE, error.to_string());
                return self.send_error(&error).await;
            }
            Some(Ok(statement)) => Some(statement),
            None => None,
        };
        let modes = self.lexical_modes();
        let kind = statement::classify(&sql, modes);
        if let Some(reason) = unpreparable_reason(&kind).filter(|_| administrative.is_none()) {
            let error = SqlError::new(code::ER_NOT_SUPPORTED_YET, reason);
            return self.send_error(&error).await;
        }
        if self.statements.statements.len() >= self.frontend.config().max_statements {
            let message = "too many prepared statements in this session; close some";
            let error = SqlError::new(code::ER_MAX_PREPARED_STMT_COUNT_REACHED, message);
            return self.send_error(&error).await;
        }
        let Some(memory) = self.reserve_statement(&sql) else {
            let message = "there is no memory for another prepared statement now";
            let error = SqlError::new(code::ER_OUT_OF_RESOURCES, message);
            return self.send_error(&error).await;
        };
        let description = match &administrative {
            Some(statement) => match self.describe_administrative(statement).await {
                Ok(description) => description,
                Err(error) => return self.send_error(&error).await,
            },
            None => {
                let context = self.state.context().clone();
                let request =
                    StatementRequest::new(kind.clone(), context, sql.clone(), modes, Job::Prepare);
                match self.execute(request).await? {
                    Ok(Reply::Served(Output::Inline(packets))) => {
                        packets.iter().map(<[u8]>::to_vec).collect()
                    }
                    other => return self.send_execution_result(other).await,
                }
            }
        };
        let statement = PreparedStatement {
            preparation: self.preparation(modes),
            sql,
            kind,
            parameter_count: 0,
            bound_types: None,
            long_data: BTreeMap::new(),
            memory,
            long_data_too_large: false,
            administrative,
            cursor: None,
        };
        self.send_prepared(statement, description).await
    }

    /// Reserves the memory of a prepared statement; `None` if there is too little.
    fn reserve_statement(&self, sql: &[u8]) -> Option<Reservation> {
        let bytes = statement_memory_bytes(sql);
        let budget = &self.frontend.statement_memory;
        budget.reserve(bytes, complete_purpose(bytes))
    }

    /// Stores a statement if its preparation succeeded, and sends its description with the session's
    /// statement id.
    async fn send_prepared(
        &mut self,
        mut statement: PreparedStatement,
        mut description: Vec<Vec<u8>>,
    ) -> Result<(), SessionEnd> {
        let prepare_ok = description.first_mut().filter(|packet| {
            packet.first() == Some(&OK_HEADER) && packet.len() >= PREPARE_OK_BYTES
        });
        if let Some(packet) = prepare_ok {
            packet[1..5].copy_from_slice(&self.statements.next_id.to_le_bytes());
            statement.parameter_count = usize::from(u16::from_le_bytes([packet[7], packet[8]]));
            self.statements.add(statement);
        }
        let packets: Vec<&[u8]> = description
            .iter()
            .map(Vec::as_slice)
            .filter(|packet| self.wants_before_rows(packet))
            .collect();
        self.send_packets(packets.into_iter()).await
    }

    /// Answers COM_STMT_EXECUTE.
    pub(super) async fn execute_prepared(&mut self, body: Bytes) -> Result<(), SessionEnd> {
        let execution = self
            .statements
            .get(&body)
            .and_then(|statement| statement.bind(&body));
        let Execution {
            request,
            with_cursor,
        } = match execution {
            Ok(execution) => execution,
            Err(error) => return self.send_error(&error).await,
        };
        let request = match request {
            ExecutionRequest::Administrative(statement) => {
                return self.run_administrative(statement, true).await;
            }
            ExecutionRequest::Engine {
                kind,
                preparation,
                sql,
                execute,
            } => self.execution_request(kind, preparation, sql, execute),
        };
        match self.execute(request).await? {
            Ok(Reply::Served(output)) if with_cursor => self.open_cursor(&body, output).await,
            result => self.send_execution_result(result).await,
        }
    }

    /// Returns the settings that the meaning of a statement depends on that is prepared now.
    fn preparation(&self, modes: LexicalModes) -> Preparation {
        let context = self.state.context();
        Preparation {
            schema: context.schema.clone(),
            modes,
            sql_mode: context.sql_mode().cloned(),
        }
    }

    /// Returns the request to execute a prepared statement. The schema is that of the preparation, and so is the mode
    /// in which the text is read; the other settings are the session's current ones.
    fn execution_request(
        &self,
        kind: StatementKind,
        preparation: Preparation,
        sql: Bytes,
        execute: Execute,
    ) -> StatementRequest {
        let Preparation {
            schema,
            modes,
            sql_mode,
        } = preparation;
        let context = SessionContext {
            schema,
            ..self.context_for(&sql, modes)
        };
        let is_read_as_before = context.sql_mode() == sql_mode.as_ref()
            || modes.readings(&sql) == self.lexical_modes().readings(&sql);
        let reading_context = (!is_read_as_before).then(|| context.with_sql_mode(sql_mode));
        let job = Job::Execute(execute);
        let request = StatementRequest::new(kind, context, sql, modes, job);
        StatementRequest {
            preparation: reading_context,
            ..request
        }
    }

    /// Executes COM_STMT_SEND_LONG_DATA, which has no answer.
    pub(super) fn add_long_data(&mut self, body: &Bytes) {
        let max_packet = self.frontend.config().max_packet;
        let Ok(statement) = self.statements.get(body) else {
            return;
        };
        let mut reader = PayloadReader(body.slice(STATEMENT_ID_BYTES..));
        let Ok(parameter) = reader.u16() else {
            return;
        };
        let data = reader.0;
        let collected: usize = statement.long_data.values().map(BytesMut::len).sum();
        // All long data of the statement together has to fit in one packet to the engine.
        let is_too_large = collected + data.len() + LONG_DATA_OVERHEAD_BYTES > max_packet;
        let is_invalid = is_too_large || usize::from(parameter) >= statement.parameter_count;
        if is_invalid || !statement.reserve_long_data(collected + data.len()) {
            statement.long_data_too_large = true;
            return;
        }
        statement
            .long_data
            .entry(parameter)
            .or_default()
            .extend_from_slice(&data);
    }
}
