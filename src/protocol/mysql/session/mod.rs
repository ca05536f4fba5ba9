//! State of a client's session: its schema and the variables it has set. All of it can be applied
//! to any engine connection, so that sessions can migrate; [`crate::sticky_sessions`] handles state
//! that cannot. All functions are pure.

mod connection_context;
mod literal;
pub mod set;
mod variable_name;
mod variables;

#[cfg(test)]
mod tests;

pub use connection_context::ConnectionContext;
pub use literal::Literal;
pub use variable_name::{UnknownSystemVariable, VariableName};
pub use variables::{LAST_INSERT_ID_VARIABLE, SessionVariables, set_statement};

use super::sql_mode::{LexicalMode, LexicalModes, SQL_MODE_VARIABLE};
use set::{Change, SetError, Value};
use std::collections::BTreeSet;
use std::rc::Rc;
use variables::{is_unicode, unsupported_reason};

/// Maximum number of variables of one session.
const MAX_VARIABLES: usize = 64;
/// Maximum size of the names and values of all variables of one session, in bytes.
const MAX_VARIABLE_BYTES: usize = 16 * 1024;
/// Maximum number of variables of a session whose values only its engine connection knows.
const MAX_CONNECTION_VARIABLES: usize = 1024;
/// The error message for a character set that is not an encoding of Unicode.
const ONLY_UNICODE: &str = "only Unicode is carried";

/// Names of user variables whose values only the engine connection knows that a session holds: a statement of the
/// session has assigned them there.
pub type ConnectionVariables = BTreeSet<VariableName>;

/// The part of a session that is applied to an engine connection before it executes a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionContext {
    /// The default schema.
    pub schema: Option<String>,
    /// The operand of SET NAMES.
    pub names: Option<String>,
    /// The variables that the session has set.
    pub variables: Rc<SessionVariables>,
    /// The variables that keep the value that they have on the held engine connection.
    pub connection_variables: Rc<ConnectionVariables>,
}

impl SessionContext {
    /// Returns the session's `sql_mode`, if it has set one.
    pub fn sql_mode(&self) -> Option<&Literal> {
        self.variables
            .get(&VariableName::builtin(SQL_MODE_VARIABLE))
    }

    /// Returns the context with another `sql_mode`; `None` is the default of the engine.
    pub fn with_sql_mode(&self, sql_mode: Option<Literal>) -> Self {
        let name = VariableName::builtin(SQL_MODE_VARIABLE);
        let mut context = self.clone();
        let variables = Rc::make_mut(&mut context.variables);
        match sql_mode {
            Some(sql_mode) => variables.insert(name, sql_mode),
            None => variables.remove(&name),
        };
        context
    }
}

/// Whether an engine has to validate a change before it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validation {
    /// The dispatcher has validated the change.
    Done,
    /// Only an engine can validate the change.
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
    /// The SET changes the session.
    Changed {
        /// The new state.
        state: SessionState,
        /// Whether an engine has to validate the change first.
        validation: Validation,
    },
    /// An engine has to evaluate these expressions first; then the SET is applied with their values.
    NeedsValues(Vec<String>),
}

/// How transactions are committed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CommitMode {
    /// Each statement is committed automatically.
    #[default]
    Automatic,
    /// The client commits explicitly.
    Manual,
}

/// The state of a session. A SET creates a new state, so that a change that an engine rejects is
/// never partially applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionState {
    context: SessionContext,
    /// The operand of SET TRANSACTION, for the next transaction.
    next_transaction: Option<String>,
    /// The value of LAST_INSERT_ID().
    last_insert_id: u64,
    commit_mode: CommitMode,
    /// The modes in which an engine may read the session's statements; `None` if the session has not set `sql_mode`.
    lexical_modes: Option<LexicalModes>,
}

impl SessionState {
    /// Creates the state of a new session with this default schema.
    pub fn new(schema: Option<String>) -> Self {
        SessionState {
            context: SessionContext {
                schema,
                ..SessionContext::default()
            },
            ..Self::default()
        }
    }

    /// Returns the context in which statements are executed.
    pub fn context(&self) -> &SessionContext {
        &self.context
    }

    /// Returns the context with the value of LAST_INSERT_ID(), for a statement that reads it.
    pub fn context_with_insert_id(&self) -> SessionContext {
        let mut context = self.context.clone();
        Rc::make_mut(&mut context.variables).insert(
            VariableName::builtin(LAST_INSERT_ID_VARIABLE),
            Literal::Plain(self.last_insert_id.to_string()),
        );
        context
    }

    /// Returns the modes in which an engine may read the session's statements; `None` if they are those of engines'
    /// defaults.
    pub fn lexical_modes(&self) -> Option<LexicalModes> {
        self.lexical_modes
    }

    /// Returns whether each statement is committed automatically.
    pub fn autocommit(&self) -> bool {
        self.commit_mode == CommitMode::Automatic
    }

    /// Checks whether a statement on the held engine connection may assign these user variables.
    ///
    /// # Errors
    /// The session would hold too many.
    pub fn check_connection_variables(
        &self,
        names: &BTreeSet<VariableName>,
    ) -> Result<(), SetError> {
        let current = &self.context.connection_variables;
        if current.union(names).count() > MAX_CONNECTION_VARIABLES {
            return Err(SetError::Unsupported(
                "the statements of a session assign 1024 user variables at most",
            ));
        }
        Ok(())
    }

    /// Records that a statement on the held engine connection has assigned these user variables.
    pub fn add_connection_variables(&mut self, names: &BTreeSet<VariableName>) {
        if names.is_empty() {
            return;
        }
        Rc::make_mut(&mut self.context.variables).retain(|name, _| !names.contains(name));
        Rc::make_mut(&mut self.context.connection_variables).extend(names.iter().cloned());
    }

    /// Forgets the variables on the held engine connection, which the session no longer holds: they are NULL.
    pub fn clear_connection_variables(&mut self) {
        self.context.connection_variables = Rc::default();
    }

    /// Changes the default schema.
    pub fn use_schema(&mut self, schema: String) {
        self.context.schema = Some(schema);
    }

    /// Records that a statement of the session has dropped this schema: if it was the default schema, the session
    /// has none.
    pub fn schema_dropped(&mut self, schema: &str) {
        self.context
            .schema
            .take_if(|current| connection_context::is_same_schema(current, schema));
    }

    /// Records the insert id from the answer to a statement; 0 means that there is none.
    pub fn record_insert_id(&mut self, id: u64) {
        if id != 0 {
            self.last_insert_id = id;
        }
    }

    /// Returns the statement that sets the characteristics of the next transaction, if any.
    pub fn next_transaction_statement(&self) -> Option<String> {
        self.next_transaction
            .as_ref()
            .map(|characteristics| format!("SET TRANSACTION {characteristics}"))
    }

    /// Clears the characteristics of the next transaction once it has begun. A rejected transaction
    /// has not begun.
    pub fn transaction_began(&mut self) {
        self.next_transaction = None;
    }

    /// Resets everything but the schema to the initial state, for `COM_RESET_CONNECTION`.
    pub fn reset(&mut self) {
        *self = SessionState::new(self.context.schema.take());
    }

    /// Returns the outcome of these changes. `values` are the values of the expressions, in the order of
    /// [`SetOutcome::NeedsValues`].
    ///
    /// # Errors
    /// A change is not supported, or the session would exceed its limits.
    pub fn set(&self, changes: &[Change], values: &[Literal]) -> Result<SetOutcome, SetError> {
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
            .map(|(name, value)| name.size() + value.text().len())
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
            !name.system_name().is_some_and(|name| {
                name.starts_with("character_set_") || name == "collation_connection"
            })
        });
        Ok(match collation {
            Some(_) => Validation::NeedsEngine,
            None => Validation::Done,
        })
    }

    fn assign(
        &mut self,
        name: &VariableName,
        value: Option<Literal>,
    ) -> Result<Validation, SetError> {
        // Deprecated names of the same variables.
        let name = &match name.system_name() {
            Some("tx_isolation") => VariableName::builtin("transaction_isolation"),
            Some("tx_read_only") => VariableName::builtin("transaction_read_only"),
            _ => name.clone(),
        };
        let text = value
            .as_ref()
            .map(|value| value.text().to_ascii_lowercase());
        match name.system_name() {
            Some("autocommit") => return self.set_autocommit(text.as_deref()),
            Some(LAST_INSERT_ID_VARIABLE | "identity") => {
                return self.set_last_insert_id(text.as_deref());
            }
            Some(name) => {
                if let Some(reason) = unsupported_reason(name, text.as_deref()) {
                    return Err(SetError::Unsupported(reason));
                }
            }
            None => {}
        }
        if name.is_system(SQL_MODE_VARIABLE) {
            self.lexical_modes = value
                .as_ref()
                .map(|value| LexicalMode::of_sql_mode(value.text()).into());
        }
        let is_user_variable = name.is_user();
        // A user variable that was never set is NULL.
        let is_null = is_user_variable && value.as_ref().is_some_and(Literal::is_null);
        if self.context.connection_variables.contains(name) {
            Rc::make_mut(&mut self.context.connection_variables).remove(name);
        }
        let variables = Rc::make_mut(&mut self.context.variables);
        match value {
            Some(value) if !is_null => drop(variables.insert(name.clone(), value)),
            _ => drop(variables.remove(name)),
        }
        Ok(match is_user_variable {
            true => Validation::Done,
            false => Validation::NeedsEngine,
        })
    }

    /// Sets the value of LAST_INSERT_ID(), which the session keeps itself.
    fn set_last_insert_id(&mut self, value: Option<&str>) -> Result<Validation, SetError> {
        self.last_insert_id = value.unwrap_or("0").parse().map_err(|_| SetError::Syntax {
            at: 1,
            message: "last_insert_id is a number".into(),
        })?;
        Ok(Validation::Done)
    }

    fn set_autocommit(&mut self, value: Option<&str>) -> Result<Validation, SetError> {
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
        let name = VariableName::builtin("autocommit");
        variables.remove(&name);
        if commit_mode == CommitMode::Manual {
            variables.insert(name, Literal::Plain("0".into()));
        }
        Ok(Validation::Done)
    }
}
