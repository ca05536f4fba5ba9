//! Session variables, and the statements that set them on an engine connection.

use super::{Literal, ONLY_UNICODE, VariableName};
use crate::protocol::mysql::sql_mode::LexicalMode;
use std::collections::BTreeMap;

/// Variables by name.
pub type SessionVariables = BTreeMap<VariableName, Literal>;

/// The system variable that sets LAST_INSERT_ID().
pub const LAST_INSERT_ID_VARIABLE: &str = "last_insert_id";

const REPLICATION: &str = "replication is the engines' operators' own";
/// The next session of the connection, or the same one on another connection, would have another value.
const CHANGES_BY_ITSELF: &str = "a variable that statements change themselves is not carried";

/// Variables that change the protocol in an unsupported way, belong to replication or change with statements, each
/// with the reason for a client that sets one.
const UNSUPPORTED: [(&str, &str); 12] = [
    (
        "resultset_metadata",
        "results without their columns are not carried",
    ),
    ("sql_log_bin", REPLICATION),
    ("gtid_next", REPLICATION),
    ("pseudo_thread_id", REPLICATION),
    ("character_set_client", ONLY_UNICODE),
    ("character_set_connection", ONLY_UNICODE),
    ("character_set_results", ONLY_UNICODE),
    ("collation_connection", ONLY_UNICODE),
    ("insert_id", CHANGES_BY_ITSELF),
    ("rand_seed1", CHANGES_BY_ITSELF),
    ("rand_seed2", CHANGES_BY_ITSELF),
    ("session_track_gtids", "session tracking is the front's own"),
];

/// Returns why a variable may not be set to this value (in lower case, without quotes; `None` is
/// the default), or `None` if it may.
pub(super) fn unsupported_reason(name: &str, value: Option<&str>) -> Option<&'static str> {
    let (_, reason) = UNSUPPORTED
        .iter()
        .find(|(unsupported, _)| *unsupported == name)?;
    let is_unicode_value =
        value.is_none_or(|value| is_unicode(value) || value == "null" || value.starts_with("utf8"));
    let supported = *reason == ONLY_UNICODE && is_unicode_value;
    (!supported).then_some(reason)
}

pub(super) fn is_unicode(character_set: &str) -> bool {
    matches!(character_set, "utf8" | "utf8mb3" | "utf8mb4")
}

/// Returns a single SET that changes the variables of a connection from `from` to `to`; `None` if
/// they are equal. `mode` is that of the connection: an engine reads the whole SET in the mode of its beginning.
pub fn set_statement(
    from: &SessionVariables,
    to: &SessionVariables,
    mode: LexicalMode,
) -> Option<String> {
    let removed = from.keys().filter(|name| !to.contains_key(*name));
    let resets = removed.map(|name| match name.is_user() {
        true => assignment(name, "NULL"),
        false => assignment(name, "DEFAULT"),
    });
    let set = to
        .iter()
        .filter(|(name, value)| from.get(*name) != Some(value))
        .map(|(name, value)| assignment(name, &value.to_sql(mode)));
    let assignments: Vec<String> = resets.chain(set).collect();
    (!assignments.is_empty()).then(|| format!("SET {}", assignments.join(", ")))
}

fn assignment(name: &VariableName, value: &str) -> String {
    match name.is_user() {
        true => format!("{name} = {value}"),
        false => format!("SESSION {name} = {value}"),
    }
}
