//! What the dispatcher knows of the session context that an engine connection is in.

use super::variables::{LAST_INSERT_ID_VARIABLE, SessionVariables, set_statement};
use super::{Literal, SessionContext, VariableName};
use crate::protocol::mysql::packet::SERVER_STATUS_NO_BACKSLASH_ESCAPES;
use crate::protocol::mysql::sql_mode::{LexicalMode, SQL_MODE_VARIABLE};
use std::collections::BTreeSet;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The operand of SET NAMES that gives a connection the character set of its login.
const NAMES_OF_LOGIN: &str = "utf8mb4 COLLATE utf8mb4_general_ci";
/// The variables that SET NAMES sets.
const VARIABLES_OF_NAMES: [&str; 4] = [
    "character_set_client",
    "character_set_connection",
    "character_set_results",
    "collation_connection",
];

/// Stands for a value that is not known: no literal is empty.
fn unknown_value() -> Literal {
    Literal::Plain(String::new())
}

/// Returns whether SET NAMES sets the variable.
fn is_set_by_names(name: &VariableName) -> bool {
    name.system_name()
        .is_some_and(|name| VARIABLES_OF_NAMES.contains(&name))
}

/// Returns whether these are surely or possibly names of the same schema: whether case matters depends on the
/// engine.
pub(super) fn is_same_schema(one: &str, other: &str) -> bool {
    one.to_lowercase() == other.to_lowercase()
}

/// The context of an engine connection: what the dispatcher has set there and no statement has changed since.
#[derive(Clone, Debug, Default)]
pub struct ConnectionContext {
    /// The default schema; `None` if none was ever selected.
    pub schema: Option<String>,
    /// The operand of the last SET NAMES, if there was one.
    names: Option<String>,
    /// The values that are known. A variable without an entry here or in `unknown` has its initial value.
    variables: Rc<SessionVariables>,
    /// Variables that a statement has assigned, so that only the engine knows their values.
    unknown: BTreeSet<VariableName>,
    /// The mode by the engine's default of `sql_mode`, of which the meaning of double quotes is not known.
    default_mode: LexicalMode,
}

impl ConnectionContext {
    /// Returns whether the connection can enter this context: a schema or character set can be changed, but not
    /// unset.
    pub fn can_enter(&self, target: &SessionContext) -> bool {
        (target.schema.is_some() || self.schema.is_none())
            && (target.names.is_some() || self.names.is_none())
    }

    /// Records that a statement has dropped this schema: if it was the default schema, the connection has none.
    /// Returns whether that is certain: it is not if the names differ in case.
    pub fn schema_dropped(&mut self, schema: &str) -> bool {
        let dropped = self
            .schema
            .take_if(|current| is_same_schema(current, schema));
        dropped.is_none_or(|dropped| dropped == schema)
    }

    /// Records that a statement assigns these variables, whether it succeeds or fails.
    pub fn forget_variables(&mut self, names: &BTreeSet<VariableName>) {
        if names.is_empty() {
            return;
        }
        Rc::make_mut(&mut self.variables).retain(|name, _| !names.contains(name));
        self.unknown.extend(names.iter().cloned());
    }

    /// Records that statements change LAST_INSERT_ID(): it is set again for each statement that reads it, and
    /// needs no reset for others.
    pub fn forget_last_insert_id(&mut self) {
        let name = VariableName::builtin(LAST_INSERT_ID_VARIABLE);
        if self.variables.contains_key(&name) {
            Rc::make_mut(&mut self.variables).remove(&name);
        }
    }

    /// Returns the operand of the SET NAMES that the connection needs to enter the target; `None` if it needs none.
    /// SET NAMES is also the way to reset variables that it sets: their DEFAULT is that of the engine.
    pub fn names_operand<'a>(&self, target: &'a SessionContext) -> Option<&'a str> {
        let has_variable_to_reset = self
            .variables
            .keys()
            .any(|name| is_set_by_names(name) && !target.variables.contains_key(name));
        let changes_names = self.names != target.names && target.names.is_some();
        let operand = target.names.as_deref().unwrap_or(NAMES_OF_LOGIN);
        (changes_names || has_variable_to_reset).then_some(operand)
    }

    /// Records that the SET NAMES for this target was executed.
    pub fn names_set(&mut self, target: &SessionContext) {
        self.names.clone_from(&target.names);
        if self.variables.keys().any(is_set_by_names) {
            Rc::make_mut(&mut self.variables).retain(|name, _| !is_set_by_names(name));
        }
    }

    /// Returns the SET that changes the variables of the connection to those of the target; `None` if nothing
    /// has to change.
    pub fn set_statement(&self, target: &SessionContext) -> Option<String> {
        let is_known = self.unknown.is_subset(&target.connection_variables);
        if is_known {
            return set_statement(&self.variables, &target.variables, self.lexical_mode());
        }
        let mut current = SessionVariables::clone(&self.variables);
        for name in self.unknown.difference(&target.connection_variables) {
            current.insert(name.clone(), unknown_value());
        }
        set_statement(&current, &target.variables, self.lexical_mode())
    }

    /// Records the status flags of an answer: while no `sql_mode` is set on the connection, they tell of the engine's
    /// default.
    pub fn observe_status(&mut self, flags: u16) {
        if self.sql_mode().is_none() {
            self.default_mode.no_backslash_escapes =
                flags & SERVER_STATUS_NO_BACKSLASH_ESCAPES != 0;
        }
    }

    fn sql_mode(&self) -> Option<&Literal> {
        self.variables
            .get(&VariableName::builtin(SQL_MODE_VARIABLE))
    }

    /// Returns the mode in which an engine reads strings in single quotes on the connection.
    fn lexical_mode(&self) -> LexicalMode {
        match self.sql_mode() {
            Some(value) => LexicalMode::of_sql_mode(value.text()),
            None => self.default_mode,
        }
    }

    /// Records that the SET for this target was executed.
    pub fn variables_set(&mut self, target: &SessionContext) {
        self.variables = target.variables.clone();
        self.unknown
            .retain(|name| target.connection_variables.contains(name));
    }
}
