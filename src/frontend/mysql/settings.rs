//! SET: what a session sets is taken in as data, after an engine has agreed where it may say no.

use crate::frontend::mysql::*;
use crate::protocol::mysql::session::set::{self, Change, SetError};
use crate::protocol::mysql::session::{SessionState, sql_literal};
use crate::protocol::mysql::session::{SetOutcome, Validation};

impl<U: Upstream<Work = Work, Output = Output>> Session<'_, U> {
    pub(super) async fn set(&mut self, sql: Bytes) -> Result<(), End> {
        // On a pin the next transaction begins on its connection, which has to hear of it.
        if self.hold.is_some()
            && set::parse(&sql).is_ok_and(|c| matches!(c[..], [Change::NextTransaction(_)]))
        {
            let context = self.state.context().clone();
            return match self
                .carry(&StatementKind::WithinTransaction, context, sql, Job::Query)
                .await?
            {
                Ok(reply) => self.pass_on(reply).await,
                Err(e) => self.say(&e).await,
            };
        }
        match self.taken(&sql).await? {
            Ok((state, false)) => {
                let context = state.context().clone();
                match self
                    .carry(&StatementKind::Read, context, Bytes::new(), Job::Enter)
                    .await?
                {
                    Ok(reply) if agreed(&reply) => {
                        self.state = state;
                        let ok = self.ok();
                        self.write([&ok[..]].into_iter()).await
                    }
                    Ok(reply) => self.pass_on(reply).await,
                    Err(e) => self.say(&e).await,
                }
            }
            Ok((state, true)) => {
                self.state = state;
                let ok = self.ok();
                self.write([&ok[..]].into_iter()).await
            }
            Err(e) => self.say(&e).await,
        }
    }

    /// The state after this SET; true if no engine need be asked.
    async fn taken(&mut self, sql: &Bytes) -> Result<Result<(SessionState, bool), SqlError>, End> {
        let changes = match set::parse(sql) {
            Ok(changes) => changes,
            Err(e) => return Ok(Err(told(&e))),
        };
        let asks = match self.state.set(&changes, &[]) {
            Ok(SetOutcome::NeedsValues(asks)) => asks,
            Ok(SetOutcome::Changed { state, validation }) => {
                return Ok(Ok((
                    state,
                    validation == Validation::Done && self.hold.is_none(),
                )));
            }
            Err(e) => return Ok(Err(told(&e))),
        };
        let mut values = vec![];
        for expression in asks {
            let select = Bytes::from(format!("SELECT {expression}"));
            if statement::classify(&select) != StatementKind::Read {
                let reason = "SET takes values that can be read without leaving anything behind";
                return Ok(Err(SqlError::new(code::ER_NOT_SUPPORTED_YET, reason)));
            }
            let context = self.context_for(&select);
            match self
                .carry(&StatementKind::Read, context, select, Job::Query)
                .await?
            {
                Ok(reply) => match one_value(&reply) {
                    Ok(value) => values.push(value),
                    Err(e) => return Ok(Err(e)),
                },
                Err(e) => return Ok(Err(e)),
            }
        }
        Ok(match self.state.set(&changes, &values) {
            Ok(SetOutcome::Changed { state, validation }) => {
                Ok((state, validation == Validation::Done && self.hold.is_none()))
            }
            Ok(SetOutcome::NeedsValues(_)) => Err(SqlError::new(
                code::ER_NOT_SUPPORTED_YET,
                "a value of SET is not known",
            )),
            Err(e) => Err(told(&e)),
        })
    }

    /// Where a statement stands; one that asks for it gets the session's LAST_INSERT_ID.
    pub(super) fn context_for(&self, sql: &[u8]) -> SessionContext {
        match statement::reads_last_insert_id(sql) {
            true => self.state.context_with_insert_id(),
            false => self.state.context().clone(),
        }
    }
}

fn told(e: &SetError) -> SqlError {
    let code = if matches!(e, SetError::Syntax { .. }) {
        code::ER_PARSE
    } else {
        code::ER_NOT_SUPPORTED_YET
    };
    SqlError::new(code, e.to_string())
}

fn agreed(reply: &Reply<Output>) -> bool {
    let Reply::Served(Output::Short(packets)) = reply else {
        return false;
    };
    packets.iter().next().and_then(|p| p.first()) == Some(&0)
}

/// The one value of a result, as a literal.
fn one_value(reply: &Reply<Output>) -> Result<String, SqlError> {
    if let Some(e) = error_of(reply) {
        return Err(e);
    }
    let several = || {
        SqlError::new(
            code::ER_NOT_SUPPORTED_YET,
            "SET takes one value that is not long",
        )
    };
    let Reply::Served(Output::Short(packets)) = reply else {
        return Err(several());
    };
    let all: Vec<Bytes> = packets.iter().map(Bytes::copy_from_slice).collect();
    match &all[..] {
        [e] if e.first() == Some(&0xff) => Err(parse_err_packet(e)),
        // One column, its end, one row, its end.
        [count, column, _, row, _] if count[..] == [1] => {
            let null = row.first() == Some(&0xfb);
            let mut r = PayloadReader(row.clone());
            let value = if null {
                None
            } else {
                Some(r.length_encoded_bytes().map_err(|_| several())?)
            };
            let numeric = column_type(column).is_some_and(|t| matches!(t, 0..=5 | 8 | 9 | 0xf6));
            Ok(sql_literal(value.as_deref(), numeric))
        }
        _ => Err(several()),
    }
}

/// The type of a column, by its definition.
fn column_type(column: &Bytes) -> Option<u8> {
    let mut r = PayloadReader(column.clone());
    for _ in 0..6 {
        r.length_encoded_bytes().ok()?;
    }
    r.length_encoded_integer().ok()?;
    r.bytes(6).ok()?;
    r.u8().ok()
}
