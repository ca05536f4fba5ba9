//! Execution of SET: changes the session's stored settings, after an engine has accepted those that it might
//! refuse.

use super::StatementUpstream;
use super::request::StatementRequest;
use super::session::{Session, SessionEnd};
use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    NULL_VALUE, OK_HEADER, PayloadReader, is_err, parse_err_packet,
};
use crate::protocol::mysql::session::set::{self, Change, SetError};
use crate::protocol::mysql::session::{
    Literal, SessionContext, SessionState, SetOutcome, Validation,
};
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes};
use crate::protocol::statement::{self, StatementKind};
use crate::upstream::mysql::work::{Job, Output, error_of_reply};
use bytes::Bytes;

/// Number of strings at the start of a column definition: catalog, schema, table, original table, name and
/// original name.
const COLUMN_DEFINITION_STRINGS: usize = 6;
/// Length in bytes of the character set and the column length, which precede the type in a column definition.
const COLUMN_CHARSET_AND_LENGTH_BYTES: usize = 6;
/// The `sql_mode` of a session that has not set one.
const DEFAULT_MODE_EXPRESSION: &str = "@@sql_mode";
/// First packet of a result with one column.
const ONE_COLUMN: [u8; 1] = [1];

/// The session state after a SET, and whether an engine has to accept it first.
struct NewState {
    state: SessionState,
    validation: Validation,
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Executes a SET.
    pub(super) async fn set(&mut self, sql: Bytes) -> Result<(), SessionEnd> {
        if self.sticky.is_some() && sets_next_transaction(&sql, self.lexical_modes()) {
            // The next transaction begins on the held engine connection, so the SET is sent there.
            let context = self.state.context().clone();
            return self
                .execute_and_reply(StatementRequest::new(
                    StatementKind::WithinTransaction,
                    context,
                    sql,
                    self.lexical_modes(),
                    Job::Query,
                ))
                .await;
        }
        match self.evaluate_set(&sql).await? {
            Ok(NewState { state, validation }) => match validation {
                Validation::Done => {
                    self.state = state;
                    self.send_ok().await
                }
                Validation::NeedsEngine => self.validate_on_engine(state).await,
            },
            Err(error) => self.send_error(&error).await,
        }
    }

    /// Applies the state if an engine accepts it.
    async fn validate_on_engine(&mut self, state: SessionState) -> Result<(), SessionEnd> {
        let request = StatementRequest::enter_context(state.context().clone());
        match self.execute(request).await? {
            Ok(reply) if is_ok(&reply) => {
                self.state = state;
                self.send_ok().await
            }
            result => self.send_execution_result(result).await,
        }
    }

    /// Parses a SET in the session's mode. If that is the engines' default, and not enough of it is known to read the
    /// statement, an engine is asked for it.
    async fn parse_set(&mut self, sql: &[u8]) -> Result<Result<Vec<Change>, SqlError>, SessionEnd> {
        let changes = match set::parse(sql, self.lexical_modes()) {
            Err(SetError::Ambiguous) => match self.evaluate(DEFAULT_MODE_EXPRESSION).await? {
                Ok(sql_mode) => set::parse(sql, LexicalMode::of_sql_mode(sql_mode.text()).into()),
                Err(error) => return Ok(Err(error)),
            },
            changes => changes,
        };
        Ok(changes.map_err(|error| set_error(&error)))
    }

    /// Returns the state after a SET. Engines evaluate the expressions in it.
    async fn evaluate_set(
        &mut self,
        sql: &Bytes,
    ) -> Result<Result<NewState, SqlError>, SessionEnd> {
        let changes = match self.parse_set(sql).await? {
            Ok(changes) => changes,
            Err(error) => return Ok(Err(error)),
        };
        let expressions = match self.state.set(&changes, &[]) {
            Ok(SetOutcome::NeedsValues(expressions)) => expressions,
            Ok(SetOutcome::Changed { state, validation }) => {
                return Ok(Ok(self.new_state(state, validation)));
            }
            Err(error) => return Ok(Err(set_error(&error))),
        };
        let mut values = vec![];
        for expression in expressions {
            match self.evaluate(&expression).await? {
                Ok(value) => values.push(value),
                Err(error) => return Ok(Err(error)),
            }
        }
        Ok(match self.state.set(&changes, &values) {
            Ok(SetOutcome::Changed { state, validation }) => Ok(self.new_state(state, validation)),
            Ok(SetOutcome::NeedsValues(_)) => Err(SqlError::new(
                code::ER_NOT_SUPPORTED_YET,
                "a value of SET is not known",
            )),
            Err(error) => Err(set_error(&error)),
        })
    }

    /// Pairs a state with its validation. In a sticky session the held engine connection always has to apply
    /// the state.
    fn new_state(&self, state: SessionState, validation: Validation) -> NewState {
        let validation = match self.sticky {
            Some(_) => Validation::NeedsEngine,
            None => validation,
        };
        NewState { state, validation }
    }

    /// Evaluates an expression on an engine and returns the value.
    async fn evaluate(
        &mut self,
        expression: &str,
    ) -> Result<Result<Literal, SqlError>, SessionEnd> {
        let select = Bytes::from(format!("SELECT {expression}"));
        let modes = self.lexical_modes();
        if statement::classify(&select, modes) != StatementKind::Read {
            let reason = "SET takes values that can be read without leaving anything behind";
            return Ok(Err(SqlError::new(code::ER_NOT_SUPPORTED_YET, reason)));
        }
        let context = self.context_for(&select, modes);
        let request =
            StatementRequest::new(StatementKind::Read, context, select, modes, Job::Query);
        let result = self.execute(request).await?;
        Ok(result.and_then(|reply| single_value(&reply)))
    }

    /// Returns the modes in which an engine may read the session's statements.
    pub(super) fn lexical_modes(&self) -> LexicalModes {
        let defaults = || self.frontend.router.upstream().default_lexical_modes();
        self.state
            .lexical_mode()
            .map_or_else(defaults, LexicalModes::from)
    }

    /// Returns the context of a statement that an engine reads in one of these modes, with the session's LAST_INSERT_ID
    /// if the statement reads it.
    pub(super) fn context_for(&self, sql: &[u8], modes: LexicalModes) -> SessionContext {
        match statement::reads_last_insert_id(sql, modes) {
            true => self.state.context_with_insert_id(),
            false => self.state.context().clone(),
        }
    }
}

fn sets_next_transaction(sql: &[u8], modes: LexicalModes) -> bool {
    set::parse(sql, modes).is_ok_and(|changes| matches!(changes[..], [Change::NextTransaction(_)]))
}

pub(super) fn set_error(error: &SetError) -> SqlError {
    let code = match error {
        SetError::Syntax { .. } => code::ER_PARSE,
        SetError::UnknownVariable(_) => code::ER_UNKNOWN_SYSTEM_VARIABLE,
        SetError::Ambiguous | SetError::Unsupported(_) => code::ER_NOT_SUPPORTED_YET,
    };
    SqlError::new(code, error.to_string())
}

fn is_ok(reply: &Reply<Output>) -> bool {
    let Reply::Served(output) = reply else {
        return false;
    };
    output.first_packet().and_then(<[u8]>::first) == Some(&OK_HEADER)
}

fn not_single_value() -> SqlError {
    SqlError::new(
        code::ER_NOT_SUPPORTED_YET,
        "SET takes one value that is not long",
    )
}

/// Returns the only value of a result.
fn single_value(reply: &Reply<Output>) -> Result<Literal, SqlError> {
    if let Some(error) = error_of_reply(reply) {
        return Err(error);
    }
    let Reply::Served(Output::Inline(packets)) = reply else {
        return Err(not_single_value());
    };
    let packets: Vec<Bytes> = packets.iter().map(Bytes::copy_from_slice).collect();
    match &packets[..] {
        [error] if is_err(error) => Err(parse_err_packet(error)),
        [count, column, _column_end, row, _row_end] if count[..] == ONE_COLUMN => {
            let value = match row.first() {
                Some(&NULL_VALUE) => None,
                _ => Some(
                    PayloadReader(row.clone())
                        .length_encoded_bytes()
                        .map_err(|_| not_single_value())?,
                ),
            };
            let numeric = column_type(column).is_some_and(is_numeric);
            Ok(Literal::of_result(value.as_deref(), numeric))
        }
        _ => Err(not_single_value()),
    }
}

/// Whether a column type is numeric: DECIMAL, TINY, SHORT, LONG, FLOAT, DOUBLE, LONGLONG, INT24 or
/// NEWDECIMAL.
fn is_numeric(column_type: u8) -> bool {
    matches!(column_type, 0..=5 | 8 | 9 | 0xf6)
}

/// Returns the column type from a column definition.
fn column_type(definition: &Bytes) -> Option<u8> {
    let mut reader = PayloadReader(definition.clone());
    for _ in 0..COLUMN_DEFINITION_STRINGS {
        reader.length_encoded_bytes().ok()?;
    }
    let _fixed_fields_length = reader.length_encoded_integer().ok()?;
    reader.bytes(COLUMN_CHARSET_AND_LENGTH_BYTES).ok()?;
    reader.u8().ok()
}
