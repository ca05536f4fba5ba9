use super::super::SessionState;
use super::super::set;
use super::super::{SetOutcome, Validation};
use super::*;
use crate::protocol::mysql::sql_mode::LexicalModes;

fn assigned(names: &[&str]) -> BTreeSet<VariableName> {
    names
        .iter()
        .map(|name| VariableName::user(&name[1..]))
        .collect()
}

fn changes(sql: &str, modes: LexicalModes) -> Vec<set::Change> {
    set::parse(sql.as_bytes(), modes).unwrap()
}

fn state_after(state: &SessionState, sql: &str) -> SessionState {
    match state.set(&changes(sql, LexicalModes::default()), &[]) {
        Ok(SetOutcome::Changed { state, .. }) => state,
        other => panic!("{sql}: {other:?}"),
    }
}

fn enter(connection: &mut ConnectionContext, target: &SessionContext) -> Option<String> {
    let set = connection.set_statement(target);
    connection.variables_set(target);
    assert_eq!(connection.set_statement(target), None);
    set
}

/// Guards against a SET that is answered OK and not sent, because the connection seems to have the value already.
#[test]
fn an_assigned_variable_is_reset() {
    let mut connection = ConnectionContext::default();
    let state = state_after(&SessionState::default(), "SET @n := 0, @step = 2");
    assert_eq!(
        enter(&mut connection, state.context()).unwrap(),
        "SET @n = 0, @step = 2"
    );
    connection.forget_variables(&assigned(&["@n"]));
    assert_eq!(
        enter(&mut connection, state.context()).unwrap(),
        "SET @n = 0"
    );
    connection.forget_variables(&assigned(&["@n", "@new"]));
    let other = state_after(&SessionState::default(), "SET @step = 2");
    assert_eq!(
        enter(&mut connection, other.context()).unwrap(),
        "SET @n = NULL, @new = NULL"
    );
}

#[test]
fn a_sticky_session_keeps_what_its_statements_assign() {
    let mut connection = ConnectionContext::default();
    let mut state = state_after(&SessionState::default(), "SET @n := 0, @step = 2");
    enter(&mut connection, state.context());
    let names = assigned(&["@n", "@new"]);
    connection.forget_variables(&names);
    state.check_connection_variables(&names).unwrap();
    state.add_connection_variables(&names);
    assert_eq!(enter(&mut connection, state.context()), None);
    for (sql, sent) in [
        ("SET @n := 0", "SET @n = 0"),
        ("SET @new = NULL", "SET @new = NULL"),
    ] {
        state = state_after(&state, sql);
        assert_eq!(enter(&mut connection, state.context()).unwrap(), sent);
    }
    connection.forget_variables(&assigned(&["@n"]));
    state.add_connection_variables(&assigned(&["@n"]));
    // Once the session no longer holds the connection, the value is lost to it and reset for others.
    state.clear_connection_variables();
    assert_eq!(
        enter(&mut connection, state.context()).unwrap(),
        "SET @n = NULL"
    );
}

/// Guards against character sets that SET NAMES changes on a connection, unnoticed, and against a reset to the
/// engine's default, which is another one than that of the login or of SET NAMES.
#[test]
fn character_sets_follow_the_names_of_their_session() {
    let mut connection = ConnectionContext::default();
    let mut enter_names = |sql: &str| {
        let state = state_after(&SessionState::default(), sql);
        let target = state.context();
        let names = connection.names_operand(target).map(str::to_string);
        if names.is_some() {
            connection.names_set(target);
        }
        (names, enter(&mut connection, target))
    };
    let set_results = "SET SESSION character_set_results = 'utf8mb4'";
    for (sql, names, set) in [
        (
            "SET character_set_results = utf8mb4",
            None,
            Some(set_results),
        ),
        ("SET @x = 1", Some(NAMES_OF_LOGIN), Some("SET @x = 1")),
        ("SET NAMES utf8mb3", Some("utf8mb3"), Some("SET @x = NULL")),
        (
            "SET NAMES utf8mb3, character_set_results = utf8mb4",
            None,
            Some(set_results),
        ),
        (
            "SET NAMES utf8mb4, character_set_results = utf8mb4",
            Some("utf8mb4"),
            Some(set_results),
        ),
        ("SET NAMES utf8mb4", Some("utf8mb4"), None),
        ("SET NAMES utf8mb4", None, None),
    ] {
        let (entered_names, entered_set) = enter_names(sql);
        assert_eq!(entered_names.as_deref(), names, "{sql}");
        assert_eq!(entered_set.as_deref(), set, "{sql}");
    }
}

#[test]
fn last_insert_id_is_set_for_each_statement_that_reads_it_and_not_reset() {
    let mut connection = ConnectionContext::default();
    let mut state = SessionState::default();
    state.record_insert_id(9);
    let reading = state.context_with_insert_id();
    for _ in 0..2 {
        let set = enter(&mut connection, &reading);
        assert_eq!(set.unwrap(), "SET SESSION last_insert_id = 9");
        connection.forget_last_insert_id();
    }
    assert_eq!(enter(&mut connection, state.context()), None);
}

#[test]
fn a_dropped_schema_is_unset_where_its_name_is_the_same() {
    for (dropped, remains, is_certain) in [
        ("depot", None, true),
        ("Depot", None, false),
        ("other", Some("depot"), true),
    ] {
        let mut connection = ConnectionContext {
            schema: Some("depot".into()),
            ..ConnectionContext::default()
        };
        assert_eq!(connection.schema_dropped(dropped), is_certain, "{dropped}");
        assert_eq!(connection.schema.as_deref(), remains, "{dropped}");
    }
}

#[test]
fn the_number_of_connection_variables_is_limited() {
    let mut state = SessionState::default();
    let many = (0..super::super::MAX_CONNECTION_VARIABLES)
        .map(|number| VariableName::user(&format!("v{number}")))
        .collect();
    for _ in 0..2 {
        state.check_connection_variables(&many).unwrap();
        state.add_connection_variables(&many);
    }
    let one_more = assigned(&["@one_more"]);
    assert!(state.check_connection_variables(&one_more).is_err());
    let freed = state_after(&state, "SET @v0 = 1");
    assert_eq!(
        freed.context().connection_variables.len(),
        super::super::MAX_CONNECTION_VARIABLES - 1
    );
    let validated = state
        .set(&changes("SET @v0 = 1", LexicalModes::default()), &[])
        .unwrap();
    assert!(matches!(
        validated,
        SetOutcome::Changed {
            validation: Validation::Done,
            ..
        }
    ));
}

const NO_ESCAPES: &str = "SET sql_mode = 'NO_BACKSLASH_ESCAPES'";
const ANSI_QUOTES: &str = "SET sql_mode = 'ANSI_QUOTES'";

/// Returns the state of a session that has executed this SET, if it is not empty.
fn state_in_mode(set: &str) -> SessionState {
    match set {
        "" => SessionState::default(),
        set => state_after(&SessionState::default(), set),
    }
}

/// Returns the state after a SET of `@x` to this text.
fn with_text(state: &SessionState, text: &str) -> SessionState {
    let assignment = set::Change::Assign {
        name: VariableName::user("x"),
        value: set::Value::Literal(Literal::Text(text.into())),
    };
    match state.set(&[assignment], &[]) {
        Ok(SetOutcome::Changed { state, .. }) => state,
        other => panic!("{text}: {other:?}"),
    }
}

fn assigns_text(change: &set::Change, expected: &str) -> bool {
    let set::Change::Assign { value, .. } = change else {
        return false;
    };
    *value == set::Value::Literal(Literal::Text(expected.into()))
}

/// Asserts that the SET for a session of mode `after`, on a connection that the mode `before` was set on, assigns the
/// text that the session has set.
fn assert_text_is_kept(text: &str, before: &str, after: &str, default_mode: LexicalMode) {
    let mut connection = ConnectionContext {
        default_mode,
        ..ConnectionContext::default()
    };
    enter(&mut connection, state_in_mode(before).context());
    let state = with_text(&state_in_mode(after), text);
    let sql = connection.set_statement(state.context()).unwrap();
    // An engine reads it in the mode of the connection before it.
    let mode = match before {
        NO_ESCAPES => LexicalMode::of_sql_mode("NO_BACKSLASH_ESCAPES"),
        ANSI_QUOTES => LexicalMode::of_sql_mode("ANSI_QUOTES"),
        _ => default_mode,
    };
    let read = changes(&sql, mode.into());
    let is_kept = read.iter().any(|change| assigns_text(change, text));
    assert!(is_kept, "{sql} in {mode:?}: {read:?}");
}

/// Guards against a value that changes on another connection: an engine reads the SET of the dispatcher in the mode that
/// the connection has then, which need not be that in which the client wrote the value.
#[test]
fn values_mean_the_same_in_each_mode_of_a_connection() {
    const TEXTS: [&str; 6] = [
        r"C:\new\table",
        r"D:\",
        "a\\', time_zone = \"+05:00\" -- \\'",
        "it's \"quoted\" \\\\ and `more`\n",
        r"50\% of \_",
        "",
    ];
    const SETS: [&str; 3] = ["", NO_ESCAPES, ANSI_QUOTES];
    for text in TEXTS {
        for before in SETS {
            for after in SETS {
                for default_mode in ["", "NO_BACKSLASH_ESCAPES"] {
                    let default_mode = LexicalMode::of_sql_mode(default_mode);
                    assert_text_is_kept(text, before, after, default_mode);
                }
            }
        }
    }
}

/// Guards against a connection whose default mode is not the one that it had at its login: a reset to the default takes the
/// engine's present one.
#[test]
fn mode_of_a_connection_is_that_of_its_session_or_of_the_engine() {
    const FLAG: u16 = 0x200;
    let has_escapes = |connection: &ConnectionContext| connection.lexical_mode().has_escapes(b'\'');
    let mut connection = ConnectionContext::default();
    connection.observe_status(FLAG);
    assert!(!has_escapes(&connection));
    let state = state_after(&SessionState::default(), "SET sql_mode = 'ANSI'");
    enter(&mut connection, state.context());
    connection.observe_status(0);
    assert!(has_escapes(&connection));
    enter(&mut connection, SessionState::default().context());
    assert!(!has_escapes(&connection));
    connection.observe_status(0);
    assert!(has_escapes(&connection));
}
