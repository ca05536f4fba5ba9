//! State of a client's session: its schema and the variables it has set. All of it can be applied
//! to any engine connection, so that sessions can migrate; [`crate::sticky_sessions`] handles state
//! that cannot. All functions are pure.

mod changes;
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

use super::sql_mode::{LexicalMode, SQL_MODE_VARIABLE};
use set::SetError;
use std::collections::BTreeSet;
use std::rc::Rc;

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
    /// The mode in which an engine reads the session's statements; `None` if the session has not set `sql_mode`.
    lexical_mode: Option<LexicalMode>,
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

    /// Returns the mode in which an engine reads the session's statements; `None` if it is the engine's default.
    pub fn lexical_mode(&self) -> Option<LexicalMode> {
        self.lexical_mode
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
}
