//! System variables of a fake engine's session: their initial values, SET and SHOW VARIABLES.

use super::text::{split_assignment, sql_mode_of_bits, unquote_name};
use super::{INSTALLED_SQL_MODE, Session, SessionResponse, SystemVariables, UserVariables};

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

/// Variables that SET NAMES sets.
const VARIABLES_OF_NAMES: [&str; 3] = [
    "character_set_client",
    "character_set_connection",
    "character_set_results",
];

/// Returns the session variables of a new connection.
pub(super) fn initial_variables() -> SystemVariables {
    let variable = |(name, value): &(&str, &str)| ((*name).into(), (*value).into());
    VARIABLES.iter().map(variable).collect()
}

/// Returns the name of a system variable that a statement names with or without its scope.
pub(super) fn system_name(name: &str) -> &str {
    let scopes = ["session ", "local ", "@@session.", "@@local.", "@@"];
    let without_scope = scopes.iter().find_map(|scope| name.strip_prefix(scope));
    match without_scope.unwrap_or(name) {
        "identity" => "last_insert_id",
        name => name,
    }
}

fn syntax_error(message: String) -> SessionResponse {
    SessionResponse::Error(1064, "42000", message)
}

impl Session {
    /// Executes SET NAMES with this operand.
    pub(super) fn set_names(&mut self, operand: &str) -> SessionResponse {
        let character_set = operand.trim_matches(['\'', '"']);
        for name in VARIABLES_OF_NAMES {
            self.variables.insert(name.into(), character_set.into());
        }
        SessionResponse::Ok
    }

    /// Executes SHOW VARIABLES, with or without LIKE.
    pub(super) fn show_variables(&self, statement: &str) -> SessionResponse {
        let pattern = statement.split(['\'', '"']).nth(1).unwrap_or("%");
        let pattern = pattern.to_ascii_lowercase();
        let matches = |name: &str| match pattern.strip_suffix('%') {
            Some(beginning) => name.starts_with(beginning),
            None => name == pattern,
        };
        let variables = self.variables.iter().filter(|(name, _)| matches(name));
        let rows = variables
            .map(|(name, value)| vec![Some(name.clone()), Some(value.clone())])
            .collect();
        SessionResponse::Rows(vec!["Variable_name".into(), "Value".into()], rows)
    }

    /// Assigns all variables of a SET statement, or none if one of the assignments is invalid.
    pub(super) fn set(&mut self, list: &str) -> SessionResponse {
        match self.values_after_set(list) {
            Ok((variables, user_variables)) => {
                self.variables = variables;
                self.user_variables = user_variables;
            }
            Err(response) => return response,
        }
        if self.variables["autocommit"] == "1" {
            self.commit();
        }
        SessionResponse::Ok
    }

    /// Returns the values of all variables after a SET, or the response to a SET that is rejected.
    fn values_after_set(
        &self,
        list: &str,
    ) -> Result<(SystemVariables, UserVariables), SessionResponse> {
        let mut variables = self.variables.clone();
        let mut user_variables = self.user_variables.clone();
        // The whole statement is read in the mode of its beginning.
        for assignment in self.reading_mode().split_at_commas(list) {
            let Some((name, value)) = split_assignment(&assignment) else {
                return Err(syntax_error(format!("near {assignment}")));
            };
            let name = name.trim().trim_end_matches(':').trim();
            let name = name.to_ascii_lowercase();
            let value = value.trim();
            if let Some(name) = name.strip_prefix('@').filter(|name| !name.starts_with('@')) {
                let value = self
                    .evaluate(value)
                    .ok_or_else(|| syntax_error(value.into()))?;
                user_variables.insert(unquote_name(name), value);
            } else {
                let name = system_name(&name);
                variables.insert(name.into(), self.system_value(name, value)?);
            }
        }
        Ok((variables, user_variables))
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
}
