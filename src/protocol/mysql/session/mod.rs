//! A client's session as data: its schema and what it has set. All of it can be set on any engine connection, so that
//! sessions can migrate; what cannot be is the business of [`crate::sticky_sessions`]. Pure.

pub mod set;
mod variables;

#[cfg(test)]
mod tests;

pub use variables::{LAST_INSERT_ID_VARIABLE, SessionVariables, set_statement, sql_literal};

use set::{Change, SetError, Value};
use std::rc::Rc;
use variables::{is_unicode, unsupported_reason};

/// Limit of the variables that one session sets.
const MAX_VARIABLES: usize = 64;
/// Limit of the names and values of all its variables together, in bytes.
const MAX_VARIABLE_BYTES: usize = 16 * 1024;
/// The answer to a character set that is not a form of Unicode.
const ONLY_UNICODE: &str = "only Unicode is carried";

/// The part of a session that an engine connection has to be in before it can execute a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionContext {
    /// The default schema.
    pub schema: Option<String>,
    /// The operand of SET NAMES.
    pub names: Option<String>,
    /// The variables that the session has set.
    pub variables: Rc<SessionVariables>,
}

/// Whether an engine has to agree before a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validation {
    /// The change was checked here.
    Done,
    /// Only an engine can tell whether the change is valid.
    NeedsEngine,
}

impl Validation {
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Validation::Done, Validation::Done) => Validation::Done,
            _ => Validation::NeedsEngine,
        }
    }
}

/// The outcome of a SET.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetOutcome {
    /// The session after the SET.
    Changed {
        /// The new state.
        state: SessionState,
        /// Whether an engine has to agree first.
        validation: Validation,
    },
    /// These expressions have to be evaluated first, and the SET applied with their values.
    NeedsValues(Vec<String>),
}

/// Who ends a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CommitMode {
    /// Each statement commits by itself.
    #[default]
    Automatic,
    /// The client commits.
    Manual,
}

/// A session's state. Changes make a new one, so that what an engine rejects is never half applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    context: SessionContext,
    /// The operand of SET TRANSACTION, for the next transaction.
    next_transaction: Option<String>,
    /// The value of LAST_INSERT_ID().
    last_insert_id: u64,
    commit_mode: CommitMode,
}

impl SessionState {
    /// A new session with this default schema.
    pub fn new(schema: Option<String>) -> Self {
        SessionState {
            context: SessionContext {
                schema,
                ..SessionContext::default()
            },
            ..Self::default()
        }
    }

    /// The context in which statements run from now on.
    pub fn context(&self) -> &SessionContext {
        &self.context
    }

    /// The same with LAST_INSERT_ID, for a statement that reads it.
    pub fn context_with_insert_id(&self) -> SessionContext {
        let mut context = self.context.clone();
        Rc::make_mut(&mut context.variables).insert(
            LAST_INSERT_ID_VARIABLE.into(),
            self.last_insert_id.to_string(),
        );
        context
    }

    /// Whether each statement commits by itself.
    pub fn autocommit(&self) -> bool {
        self.commit_mode == CommitMode::Automatic
    }

    /// Changes the default schema.
    pub fn use_schema(&mut self, schema: String) {
        self.context.schema = Some(schema);
    }

    /// Records the insert id of a statement's answer; 0 is none.
    pub fn record_insert_id(&mut self, id: u64) {
        if id != 0 {
            self.last_insert_id = id;
        }
    }

    /// The statement that gives the next transaction its characteristics.
    pub fn next_transaction_statement(&self) -> Option<String> {
        self.next_transaction
            .as_ref()
            .map(|characteristics| format!("SET TRANSACTION {characteristics}"))
    }

    /// A transaction has begun and used up the characteristics set for it. One that was rejected has not begun.
    pub fn transaction_began(&mut self) {
        self.next_transaction = None;
    }

    /// COM_RESET_CONNECTION: all but the schema as at the start.
    pub fn reset(&mut self) {
        *self = SessionState::new(self.context.schema.take());
    }

    /// The session after these changes. `values` are those of the expressions, as literals, in the order in which
    /// [`SetOutcome::NeedsValues`] listed them.
    ///
    /// # Errors
    /// Some change is not supported, or the session would grow beyond its limits.
    pub fn set(&self, changes: &[Change], values: &[String]) -> Result<SetOutcome, SetError> {
        let mut expressions: Vec<String> = vec![];
        let mut state = self.clone();
        let mut validation = Validation::Done;
        for change in changes {
            match change {
                Change::Names(operand) => validation = validation.and(state.set_names(operand)?),
                Change::NextTransaction(characteristics) => {
                    state.next_transaction = Some(characteristics.clone());
                }
                Change::Assign { name, value } => {
                    let literal = match value {
                        Value::Literal(literal) => Some(literal.clone()),
                        Value::Default => None,
                        Value::Expression(expression) => {
                            expressions.push(expression.clone());
                            match values.get(expressions.len() - 1) {
                                Some(value) => Some(value.clone()),
                                None => continue,
                            }
                        }
                    };
                    validation = validation.and(state.assign(name, literal)?);
                }
            }
        }
        if expressions.len() > values.len() {
            return Ok(SetOutcome::NeedsValues(expressions));
        }
        state.check_limits()?;
        Ok(SetOutcome::Changed { state, validation })
    }

    fn check_limits(&self) -> Result<(), SetError> {
        let variables = &self.context.variables;
        let bytes: usize = variables
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        if variables.len() > MAX_VARIABLES || bytes > MAX_VARIABLE_BYTES {
            return Err(SetError::Unsupported(
                "a session holds 64 variables and 16 KB of them at most",
            ));
        }
        Ok(())
    }

    fn set_names(&mut self, operand: &str) -> Result<Validation, SetError> {
        let is_plain = |name: &str| {
            name.bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
        };
        let (character_set, collation) = match operand.split_once(" COLLATE ") {
            Some((character_set, collation)) => (character_set, Some(collation)),
            None => (operand, None),
        };
        let character_set = character_set.to_ascii_lowercase();
        let collation_is_unicode =
            collation.is_none_or(|name| name.starts_with("utf8") && is_plain(name));
        if !is_unicode(&character_set) || !collation_is_unicode {
            return Err(SetError::Unsupported(ONLY_UNICODE));
        }
        self.context.names = Some(match collation {
            Some(collation) => format!("{character_set} COLLATE {collation}"),
            None => character_set,
        });
        Rc::make_mut(&mut self.context.variables).retain(|name, _| {
            !name.starts_with("character_set_") && name != "collation_connection"
        });
        Ok(match collation {
            Some(_) => Validation::NeedsEngine,
            None => Validation::Done,
        })
    }

    fn assign(&mut self, name: &str, value: Option<String>) -> Result<Validation, SetError> {
        // Old names of the same variables.
        let name = match name {
            "tx_isolation" => "transaction_isolation",
            "tx_read_only" => "transaction_read_only",
            other => other,
        };
        let unquoted = value
            .as_deref()
            .map(|value| value.trim_matches(['\'', '"']).to_ascii_lowercase());
        if let Some(reason) = unsupported_reason(name, unquoted.as_deref()) {
            return Err(SetError::Unsupported(reason));
        }
        if name == "autocommit" {
            return self.set_autocommit(unquoted.as_deref());
        }
        let is_user_variable = name.starts_with('@');
        // NULL is the value of a user variable that was never set.
        let is_null = is_user_variable && unquoted.as_deref() == Some("null");
        let variables = Rc::make_mut(&mut self.context.variables);
        match value {
            Some(value) if !is_null => drop(variables.insert(name.to_string(), value)),
            _ => drop(variables.remove(name)),
        }
        Ok(match is_user_variable {
            true => Validation::Done,
            false => Validation::NeedsEngine,
        })
    }

    fn set_autocommit(&mut self, value: Option<&str>) -> Result<Validation, SetError> {
        const NAME: &str = "autocommit";
        let commit_mode = match value {
            None | Some("1" | "on" | "true") => CommitMode::Automatic,
            Some("0" | "off" | "false") => CommitMode::Manual,
            Some(_) => {
                return Err(SetError::Syntax {
                    at: 1,
                    message: "autocommit is ON or OFF".into(),
                });
            }
        };
        self.commit_mode = commit_mode;
        let variables = Rc::make_mut(&mut self.context.variables);
        variables.remove(NAME);
        if commit_mode == CommitMode::Manual {
            variables.insert(NAME.into(), "0".into());
        }
        Ok(Validation::Done)
    }
}
