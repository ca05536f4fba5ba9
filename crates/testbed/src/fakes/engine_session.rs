//! Session state of a fake engine, from the public description of MySQL: variables, transactions and
//! committed changes. It shares no code with the dispatcher's own interpretation of statements, because
//! tests check that interpretation against it.

mod expressions;
mod text;
mod variables;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use text::{SqlMode, strip_comments};

pub const IN_TRANSACTION: u16 = 1;
pub const AUTOCOMMIT: u16 = 2;
/// Status flag: a backslash in a string stands for itself.
pub const NO_BACKSLASH_ESCAPES: u16 = 0x200;

/// The `sql_mode` of a server as it is installed.
pub const INSTALLED_SQL_MODE: &str = "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES";

/// First keywords of statements that change rows.
const CHANGING_KEYWORDS: [&str; 5] = ["insert", "update", "delete", "replace", "load"];
/// First keywords of statements that only read.
const READING_KEYWORDS: [&str; 5] = ["select", "with", "show", "values", "table"];
/// Number of the warning WARN_DATA_TRUNCATED.
const DATA_TRUNCATED: &str = "1265";

/// Response to a statement that the engine executes without access to a table.
#[derive(Debug, PartialEq)]
pub enum SessionResponse {
    Ok,
    /// Column names and one row, in which `None` is NULL.
    Row(Vec<String>, Vec<Option<String>>),
    /// Column names and rows.
    Rows(Vec<String>, Vec<Vec<Option<String>>>),
    /// Error number, SQLSTATE and message.
    Error(u16, &'static str, String),
}

/// Values of system variables by name.
type SystemVariables = BTreeMap<String, String>;
/// Values of user variables by name; `None` is NULL.
type UserVariables = BTreeMap<String, Option<String>>;

pub struct Session {
    number: u32,
    name: String,
    variables: SystemVariables,
    user_variables: UserVariables,
    /// The engine's default of `sql_mode`.
    default_sql_mode: String,
    /// The `sql_mode` in which the statement was prepared that is executed.
    mode_of_preparation: Option<String>,
    schema: Option<String>,
    in_transaction: bool,
    /// Warning of the last statement. A statement that contains the word `warns` causes one.
    warning: Option<String>,
    /// Statements that change rows and are not committed yet.
    pending: Vec<String>,
    /// Committed statements that change rows; the engine drains this list.
    pub committed: Vec<String>,
}

impl Session {
    /// Creates the session of a connection to an engine with this default `sql_mode`.
    pub fn new(number: u32, name: &str, sql_mode: &str) -> Self {
        let mut variables = variables::initial_variables();
        variables.insert("sql_mode".into(), sql_mode.into());
        let (user_variables, pending, committed) = (BTreeMap::new(), vec![], vec![]);
        Session {
            number,
            name: name.into(),
            variables,
            user_variables,
            default_sql_mode: sql_mode.into(),
            mode_of_preparation: None,
            schema: None,
            in_transaction: false,
            warning: None,
            pending,
            committed,
        }
    }

    /// Returns the number of warnings of the last statement.
    pub fn warnings(&self) -> u16 {
        u16::from(self.warning.is_some())
    }

    /// Selects the default schema.
    pub fn use_schema(&mut self, schema: &str) {
        self.schema = Some(schema.into());
    }

    /// Returns the connection ID.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the status flags for an OK or EOF packet.
    pub fn status(&self) -> u16 {
        let autocommit = self.variables["autocommit"] == "1";
        u16::from(self.in_transaction) * IN_TRANSACTION
            + u16::from(autocommit) * AUTOCOMMIT
            + u16::from(!SqlMode(self.sql_mode()).has_escapes()) * NO_BACKSLASH_ESCAPES
    }

    /// Returns the mode in which statements are read.
    fn reading_mode(&self) -> SqlMode<'_> {
        SqlMode(
            self.mode_of_preparation
                .as_deref()
                .unwrap_or(self.sql_mode()),
        )
    }

    /// Returns the session's `sql_mode`.
    pub fn sql_mode(&self) -> &str {
        &self.variables["sql_mode"]
    }

    /// Executes a statement that was prepared in this `sql_mode`.
    pub fn execute_prepared(&mut self, sql: &str, sql_mode: &str) -> Option<SessionResponse> {
        self.mode_of_preparation = Some(sql_mode.into());
        let response = self.execute(sql);
        self.mode_of_preparation = None;
        response
    }

    fn commit(&mut self) {
        self.in_transaction = false;
        self.committed.append(&mut self.pending);
    }

    /// Executes a statement. Returns the response of the session itself; `None` for a statement that
    /// accesses tables, of which only the effect on the transaction is recorded.
    pub fn execute(&mut self, sql: &str) -> Option<SessionResponse> {
        let text = strip_comments(sql);
        let lower = text.to_ascii_lowercase();
        let words: Vec<&str> = lower.split_ascii_whitespace().collect();
        if let ["drop", "database" | "schema", .., name] = words[..] {
            self.drop_schema(name.trim_matches('`'));
            return None;
        }
        if let Some(response) = self.control_transaction(&words) {
            return Some(response);
        }
        let response = match words[..] {
            ["set", "names", ref rest @ ..] => Some(self.set_names(rest.first().unwrap_or(&""))),
            ["set", ..] => Some(self.set(&text["set".len()..])),
            ["show", "warnings", ..] => Some(self.show_warnings()),
            ["show", "variables" | "session", ..] => Some(self.show_variables(&text)),
            ["select", ..] if lower.contains(":=") || lower.contains(" into @") => {
                self.assign_in_select(&text["select".len()..])
            }
            ["select", ..] => self.evaluate_select(&text["select".len()..]),
            _ => None,
        };
        if response.is_none() {
            self.record_table_access(sql, &words);
        }
        response
    }

    /// Executes a statement that affects nothing but the open transaction, or one that the fake engine only accepts;
    /// returns `None` for any other.
    fn control_transaction(&mut self, words: &[&str]) -> Option<SessionResponse> {
        match words {
            ["begin"] | ["start", "transaction", ..] => {
                self.commit();
                self.in_transaction = true;
            }
            ["commit", rest @ ..] => {
                self.commit();
                self.in_transaction = rest.contains(&"chain") && !rest.contains(&"no");
            }
            ["rollback"] => {
                self.pending.clear();
                self.in_transaction = false;
            }
            ["set", "transaction", ..]
            | [
                "rollback" | "savepoint" | "release" | "lock" | "unlock" | "kill",
                ..,
            ] => {}
            _ => return None,
        }
        Some(SessionResponse::Ok)
    }

    fn drop_schema(&mut self, dropped: &str) {
        self.commit();
        self.schema.take_if(|schema| schema == dropped);
    }

    fn show_warnings(&self) -> SessionResponse {
        let columns = ["Level", "Code", "Message"].map(String::from).to_vec();
        let row = |message: &String| {
            let values = ["Warning", DATA_TRUNCATED, message];
            values.map(|value| Some(value.to_string())).to_vec()
        };
        SessionResponse::Rows(columns, self.warning.iter().map(row).collect())
    }

    /// Records the warning of a statement that accesses tables, and what it does to the transaction.
    fn record_table_access(&mut self, sql: &str, words: &[&str]) {
        let warns = words.contains(&"warns");
        self.warning = warns.then(|| "Data truncated".to_string());
        let first = words.first().copied().unwrap_or_default();
        let changes = CHANGING_KEYWORDS.contains(&first);
        let reads = READING_KEYWORDS.contains(&first);
        if !changes && !reads {
            // A statement that defines tables commits the open transaction.
            self.commit();
        } else if self.variables["autocommit"] != "1" && words.contains(&"from") | changes {
            self.in_transaction = true;
        }
        if changes {
            match self.in_transaction {
                true => self.pending.push(sql.to_string()),
                false => self.committed.push(sql.to_string()),
            }
        }
    }
}
