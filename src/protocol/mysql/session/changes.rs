//! Application of the changes of a SET to the state of a session.

use super::set::{Change, SetError, Value};
use super::variables::{LAST_INSERT_ID_VARIABLE, is_unicode, unsupported_reason};
use super::{
    CommitMode, Literal, MAX_VARIABLE_BYTES, MAX_VARIABLES, ONLY_UNICODE, SessionState, SetOutcome,
    Validation, VariableName,
};
use crate::protocol::mysql::sql_mode::{LexicalMode, SQL_MODE_VARIABLE};
use std::rc::Rc;

impl SessionState {
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
            self.lexical_mode = value
                .as_ref()
                .map(|value| LexicalMode::of_sql_mode(value.text()));
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
