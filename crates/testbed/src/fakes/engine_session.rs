//! Session state of a fake engine, from the public description of MySQL: variables, transactions and
//! committed changes. It shares no code with the dispatcher's own interpretation of statements, because
//! tests check that interpretation against it.

mod text;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use text::{SqlMode, split_assignment, sql_mode_of_bits, strip_comments, unquote_name};

pub const IN_TRANSACTION: u16 = 1;
pub const AUTOCOMMIT: u16 = 2;
/// Status flag: a backslash in a string stands for itself.
pub const NO_BACKSLASH_ESCAPES: u16 = 0x200;

/// The `sql_mode` of a server as it is installed.
pub const INSTALLED_SQL_MODE: &str = "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES";

/// Session variables with their initial values.
const VARIABLES: [(&str, &str); 25] = [
    ("autocommit", "1"),
    ("auto_increment_increment", "1"),
    ("character_set_client", "utf8mb4"),
    ("character_set_connection", "utf8mb4"),
    ("character_set_results", "utf8mb4"),
    ("character_set_server", "utf8mb4"),
    ("collation_connection", "utf8mb4_0900_ai_ci"),
    ("collation_server", "utf8mb4_0900_ai_ci"),
    ("init_connect", ""),
    ("interactive_timeout", "28800"),
    ("last_insert_id", "0"),
    ("license", "GPL"),
    ("lower_case_table_names", "0"),
    ("max_allowed_packet", "67108864"),
    ("net_write_timeout", "60"),
    ("performance_schema", "1"),
    ("socket", ""),
    ("sql_auto_is_null", "0"),
    ("sql_mode", INSTALLED_SQL_MODE),
    ("system_time_zone", "UTC"),
    ("time_zone", "SYSTEM"),
    ("transaction_isolation", "REPEATABLE-READ"),
    ("transaction_read_only", "0"),
    ("version_comment", "a stand-in engine"),
    ("wait_timeout", "28800"),
];

/// Number of rows of each table from which a statement assigns user variables.
const ROWS_OF_A_TABLE: usize = 5;

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

pub struct Session {
    number: u32,
    name: String,
    variables: BTreeMap<String, String>,
    user_variables: BTreeMap<String, Option<String>>,
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
        let mut variables: BTreeMap<String, String> = VARIABLES
            .iter()
            .map(|(n, v)| ((*n).to_string(), (*v).to_string()))
            .collect();
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
        match words[..] {
            ["set", "transaction", ..] => return Some(SessionResponse::Ok),
            ["set", "names", ref rest @ ..] => {
                let charset = rest.first().map_or("", |w| w.trim_matches(['\'', '"']));
                for v in [
                    "character_set_client",
                    "character_set_connection",
                    "character_set_results",
                ] {
                    self.variables.insert(v.into(), charset.into());
                }
                return Some(SessionResponse::Ok);
            }
            ["set", ..] => return Some(self.set(&text[3..])),
            ["kill", ..] => return Some(SessionResponse::Ok),
            ["drop", "database" | "schema", .., name] => {
                self.commit();
                let dropped = name.trim_matches('`').to_string();
                self.schema.take_if(|schema| *schema == dropped);
                return None;
            }
            ["begin"] | ["start", "transaction", ..] => {
                self.commit();
                self.in_transaction = true;
                return Some(SessionResponse::Ok);
            }
            ["commit", ref rest @ ..] => {
                self.commit();
                self.in_transaction = rest.contains(&"chain") && !rest.contains(&"no");
                return Some(SessionResponse::Ok);
            }
            ["rollback"] => {
                self.pending.clear();
                self.in_transaction = false;
                return Some(SessionResponse::Ok);
            }
            ["rollback" | "savepoint" | "release" | "lock" | "unlock", ..] => {
                return Some(SessionResponse::Ok);
            }
            ["show", "warnings", ..] => {
                let columns = ["Level", "Code", "Message"].map(String::from).to_vec();
                let row =
                    |w: &String| vec![Some("Warning".into()), Some("1265".into()), Some(w.clone())];
                return Some(SessionResponse::Rows(
                    columns,
                    self.warning.iter().map(row).collect(),
                ));
            }
            ["show", "variables" | "session", ..] => {
                let like = text
                    .split(['\'', '"'])
                    .nth(1)
                    .unwrap_or("%")
                    .to_ascii_lowercase();
                let matches = |n: &str| match like.strip_suffix('%') {
                    Some(head) => n.starts_with(head),
                    None => n == like,
                };
                let rows = self.variables.iter().filter(|(n, _)| matches(n));
                let rows = rows
                    .map(|(n, v)| vec![Some(n.clone()), Some(v.clone())])
                    .collect();
                return Some(SessionResponse::Rows(
                    vec!["Variable_name".into(), "Value".into()],
                    rows,
                ));
            }
            ["select", ..] if lower.contains(":=") || lower.contains(" into @") => {
                if let Some(response) = self.assign_in_select(&text[6..]) {
                    return Some(response);
                }
            }
            ["select", ..] => {
                if let Some(response) = self.evaluate_select(&text[6..]) {
                    return Some(response);
                }
            }
            _ => {}
        }
        self.warning = words
            .contains(&"warns")
            .then(|| "Data truncated".to_string());
        let changes = matches!(
            words.first(),
            Some(&("insert" | "update" | "delete" | "replace" | "load"))
        );
        let reads = matches!(
            words.first(),
            Some(&("select" | "with" | "show" | "values" | "table"))
        );
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
        None
    }

    /// Assigns all variables of a SET statement, or none if one of the assignments is invalid.
    fn set(&mut self, list: &str) -> SessionResponse {
        let mut new = (self.variables.clone(), self.user_variables.clone());
        // The whole statement is read in the mode of its beginning.
        for assignment in self.reading_mode().split_at_commas(list) {
            let Some((name, value)) = split_assignment(&assignment) else {
                return SessionResponse::Error(1064, "42000", format!("near {assignment}"));
            };
            let name = name
                .trim()
                .trim_end_matches(':')
                .trim()
                .to_ascii_lowercase();
            let value = value.trim();
            if let Some(user) = name.strip_prefix('@').filter(|n| !n.starts_with('@')) {
                let Some(v) = self.evaluate(value) else {
                    return SessionResponse::Error(1064, "42000", value.into());
                };
                new.1.insert(unquote_name(user), v);
                continue;
            }
            let name = ["session ", "local ", "@@session.", "@@local.", "@@"]
                .iter()
                .find_map(|p| name.strip_prefix(p))
                .unwrap_or(&name)
                .to_string();
            let name = match name.as_str() {
                "identity" => "last_insert_id".to_string(),
                _ => name,
            };
            let value = match self.system_value(&name, value) {
                Ok(value) => value,
                Err(response) => return response,
            };
            new.0.insert(name, value);
        }
        (self.variables, self.user_variables) = new;
        if self.variables["autocommit"] == "1" {
            self.commit();
        }
        SessionResponse::Ok
    }

    /// Returns the value that a SET gives a system variable, or the response to a SET that is rejected.
    fn system_value(&self, name: &str, value: &str) -> Result<String, SessionResponse> {
        let Some((_, default)) = VARIABLES.iter().find(|v| v.0 == name) else {
            return Err(SessionResponse::Error(
                1193,
                "HY000",
                format!("Unknown system variable '{name}'"),
            ));
        };
        let value = match value.to_ascii_lowercase().as_str() {
            "default" if name == "sql_mode" => Some(self.default_sql_mode.clone()),
            "default" => Some((*default).to_string()),
            "on" | "true" => Some("1".into()),
            "off" | "false" => Some("0".into()),
            _ => self.evaluate(value).flatten(),
        };
        let value = value.unwrap_or_default();
        if name != "sql_mode" {
            return Ok(value);
        }
        if value.split(',').any(|m| m == "NONSENSE") {
            return Err(SessionResponse::Error(
                1231,
                "42000",
                format!("Variable 'sql_mode' can't be set to '{value}'"),
            ));
        }
        Ok(match value.parse::<f64>().is_ok() {
            true => sql_mode_of_bits(&value),
            false => value,
        })
    }

    /// Executes a SELECT that assigns user variables: `@x := EXPRESSION, ...`, for each of
    /// [`ROWS_OF_A_TABLE`] rows if it has a FROM, or `EXPRESSION INTO @x`. Returns `None` if it is not supported.
    fn assign_in_select(&mut self, list: &str) -> Option<SessionResponse> {
        let (list, rows) = match list.split_once(" from ") {
            Some((list, _table)) => (list, ROWS_OF_A_TABLE),
            None => (list, 1),
        };
        if let Some((value, name)) = list.split_once(" into @") {
            let value = self.evaluate(value)?;
            self.assign_user_variable(name, value);
            return Some(SessionResponse::Ok);
        }
        let items = self.reading_mode().split_at_commas(list);
        let mut all = vec![];
        for _ in 0..rows {
            let mut row = vec![];
            for item in &items {
                let value = match item.split_once(":=") {
                    Some((name, expression)) => {
                        let value = self.evaluate(expression)?;
                        self.assign_user_variable(name.trim().strip_prefix('@')?, value.clone());
                        value
                    }
                    None => self.evaluate(item)?,
                };
                row.push(value);
            }
            all.push(row);
        }
        let names = items.iter().map(|item| item.trim().to_string()).collect();
        Some(SessionResponse::Rows(names, all))
    }

    fn assign_user_variable(&mut self, name: &str, value: Option<String>) {
        let name = unquote_name(name.trim()).to_lowercase();
        self.user_variables.insert(name, value);
    }

    /// Evaluates an expression that needs no table. Returns `None` if the expression is not supported and
    /// `Some(None)` for NULL.
    fn evaluate(&self, text: &str) -> Option<Option<String>> {
        let text = text.trim();
        let lower = text.to_ascii_lowercase();
        if let Some(inner) = text.strip_prefix('(').and_then(|t| t.strip_suffix(')')) {
            let inner = inner.trim();
            let select = inner
                .get(..6)
                .filter(|w| w.eq_ignore_ascii_case("select"))
                .map(|_| &inner[6..]);
            return self.evaluate(select.unwrap_or(inner));
        }
        if let Some(args) = lower
            .starts_with("concat(")
            .then(|| &text[7..text.len() - 1])
        {
            let all: Option<Vec<Option<String>>> = self
                .reading_mode()
                .split_at_commas(args)
                .iter()
                .map(|a| self.evaluate(a))
                .collect();
            return Some(
                all?.into_iter()
                    .collect::<Option<Vec<String>>>()
                    .map(|v| v.concat()),
            );
        }
        if let Some((left, right)) = text.split_once(" + ") {
            let sum = |left: String, right: String| {
                Some((left.parse::<i64>().ok()? + right.parse::<i64>().ok()?).to_string())
            };
            let left = self.evaluate(left)?;
            let right = self.evaluate(right)?;
            return Some(left.zip(right).and_then(|(left, right)| sum(left, right)));
        }
        if let Some(name) = lower.strip_prefix("@@") {
            let name = ["session.", "local.", "global."]
                .iter()
                .find_map(|p| name.strip_prefix(p))
                .unwrap_or(name);
            let name = match name {
                "identity" => "last_insert_id",
                name => name,
            };
            return self.variables.get(name).map(|v| Some(v.clone()));
        }
        if let Some(name) = lower.strip_prefix('@') {
            return Some(
                self.user_variables
                    .get(&unquote_name(name))
                    .cloned()
                    .flatten(),
            );
        }
        if text.starts_with('\'')
            || text.starts_with('"') && !self.reading_mode().has_quoted_names()
        {
            return Some(Some(self.reading_mode().text_of_literal(text)?));
        }
        match lower.as_str() {
            "null" => Some(None),
            "database()" => Some(self.schema.clone()),
            "connection_id()" => Some(Some(self.number.to_string())),
            "engine()" => Some(Some(self.name.clone())),
            "version()" => Some(Some("8.0.0-lab".into())),
            "last_insert_id()" => Some(Some("0".into())),
            _ if text.parse::<f64>().is_ok() => Some(Some(text.into())),
            _ => None,
        }
    }

    /// Returns the number of columns of a SELECT that the session evaluates itself.
    pub fn column_count(&self, sql: &str) -> Option<usize> {
        let text = strip_comments(sql);
        let list = text
            .get(..6)
            .filter(|w| w.eq_ignore_ascii_case("select"))
            .map(|_| &text[6..])?;
        match self.evaluate_select(list)? {
            SessionResponse::Row(names, _) => Some(names.len()),
            _ => None,
        }
    }

    /// Evaluates the select list of a statement; returns `None` if one of its expressions needs a table.
    fn evaluate_select(&self, list: &str) -> Option<SessionResponse> {
        let list = list.trim();
        let list = list
            .strip_suffix("LIMIT 1")
            .or_else(|| list.strip_suffix("limit 1"))
            .unwrap_or(list);
        let (mut names, mut row) = (vec![], vec![]);
        for item in self.reading_mode().split_at_commas(list) {
            let item = item.trim();
            let at = item.to_ascii_lowercase().rfind(" as ");
            let (value, name) = at.map_or((item, item), |at| (&item[..at], item[at + 4..].trim()));
            row.push(self.evaluate(value)?);
            names.push(name.trim_matches('`').to_string());
        }
        Some(SessionResponse::Row(names, row))
    }
}
