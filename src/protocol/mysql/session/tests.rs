use super::set::{Change, Value};
use super::*;
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes};

fn parse(sql: &[u8]) -> Result<Vec<Change>, SetError> {
    set::parse(sql, LexicalModes::default())
}

fn set_statement(from: &SessionVariables, to: &SessionVariables) -> Option<String> {
    super::set_statement(from, to, LexicalMode::default())
}

fn after(state: &SessionState, sql: &str) -> Result<SessionState, SetError> {
    match state.set(&parse(sql.as_bytes())?, &[])? {
        SetOutcome::Changed { state, .. } => Ok(state),
        SetOutcome::NeedsValues(expressions) => panic!("{sql} needs {expressions:?}"),
    }
}

fn state_after(sql: &str) -> SessionState {
    after(&SessionState::default(), sql).unwrap_or_else(|error| panic!("{sql}: {error}"))
}

fn system(name: &str) -> VariableName {
    VariableName::system(name).unwrap()
}

/// Guards against a name that becomes more than a name in a statement of the dispatcher.
#[test]
fn names_of_variables_are_one_name_in_sql() {
    for (name, sql) in [
        ("x", "@x"),
        ("Total_$1", "@total_$1"),
        ("b c", "@`b c`"),
        ("a.b", "@`a.b`"),
        ("", "@``"),
        (
            "x` = 1, time_zone = '+05:00', @`y",
            "@`x`` = 1, time_zone = '+05:00', @``y`",
        ),
        ("ÉTÉ", "@`été`"),
    ] {
        assert_eq!(VariableName::user(name).to_string(), sql);
    }
    for (sql, expected) in [
        ("SET @`x``y` = 1", "SET @`x``y` = 1"),
        ("SET @`=,` = 1, @`;` = 2", "SET @`;` = 2, @`=,` = 1"),
        (
            "SET `Time_Zone` = '+00:00'",
            "SET SESSION time_zone = '+00:00'",
        ),
    ] {
        let state = state_after(sql);
        let set = set_statement(&SessionVariables::new(), &state.context().variables);
        assert_eq!(set.as_deref(), Some(expected));
        let again = state_after(expected);
        assert_eq!(again.context(), state.context(), "{sql}");
    }
    for sql in [
        "SET `time_zone = '+05:00', sql_mode` = ''",
        "SET @@session.`sql_mode=''` = DEFAULT",
        "SET @x = 1, SESSION `a b` = 1",
        "SET `a``b` = 1",
        "SET `time_zone--` = 1",
        "SET zeitzoné = 1",
    ] {
        let error = after(&SessionState::default(), sql).unwrap_err();
        assert!(
            matches!(error, SetError::UnknownVariable(_)),
            "{sql}: {error}"
        );
    }
}

#[test]
fn settings_of_connectors_at_login_are_applied() {
    let all = [
        ("SET AUTOCOMMIT = 0", "SET SESSION autocommit = 0"),
        (
            "SET @@session.autocommit = OFF",
            "SET SESSION autocommit = 0",
        ),
        (
            "SET SQL_AUTO_IS_NULL = 0",
            "SET SESSION sql_auto_is_null = 0",
        ),
        (
            "set session transaction isolation level read committed",
            "SET SESSION transaction_isolation = 'READ-COMMITTED'",
        ),
        (
            "SET SESSION TRANSACTION READ ONLY, ISOLATION LEVEL SERIALIZABLE",
            "SET SESSION transaction_isolation = 'SERIALIZABLE', SESSION transaction_read_only = 1",
        ),
        (
            "SET time_zone='+00:00', sql_mode = 'ANSI,STRICT_ALL_TABLES';",
            "SET SESSION sql_mode = 'ANSI,STRICT_ALL_TABLES', SESSION time_zone = '+00:00'",
        ),
        (
            "/*!40101 SET @OLD_SQL_MODE = 'x', SQL_MODE='NO_AUTO_VALUE_ON_ZERO' */",
            "SET @old_sql_mode = 'x', SESSION sql_mode = 'NO_AUTO_VALUE_ON_ZERO'",
        ),
        (
            "-- dump\n# of today\n/* by */ /*!40103 SET TIME_ZONE='+00:00' */ ;",
            "SET SESSION time_zone = '+00:00'",
        ),
        (
            "-- why\nSET time_zone = '+00:00'",
            "SET SESSION time_zone = '+00:00'",
        ),
        (
            "SET @a := -1.5e3, @`b c` = 'it''s; \\' here'",
            "SET @a = -1.5e3, @`b c` = 'it''s; '' here'",
        ),
        (
            "SET character_set_results = NULL",
            "SET SESSION character_set_results = null",
        ),
        (
            "set /* why */ session wait_timeout = 28800",
            "SET SESSION wait_timeout = 28800",
        ),
        (
            "SET sql_safe_updates=1, sql_select_limit=DEFAULT",
            "SET SESSION sql_safe_updates = 1",
        ),
        (
            "SET default_storage_engine=InnoDB",
            "SET SESSION default_storage_engine = 'InnoDB'",
        ),
    ];
    for (sql, expected) in all {
        let state = state_after(sql);
        assert_eq!(
            set_statement(&SessionVariables::new(), &state.context().variables).as_deref(),
            Some(expected),
            "{sql}"
        );
    }
    assert_eq!(
        state_after("SET NAMES 'utf8mb4' COLLATE 'utf8mb4_0900_ai_ci'")
            .context()
            .names
            .as_deref(),
        Some("utf8mb4 COLLATE utf8mb4_0900_ai_ci")
    );
    assert_eq!(
        state_after("set character set utf8")
            .context()
            .names
            .as_deref(),
        Some("utf8")
    );
    assert_eq!(state_after("SET autocommit=1"), SessionState::default());
}

#[test]
fn expression_is_evaluated_and_its_value_applied() {
    let sql = "SET sql_mode=(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT')),time_zone='+00:00',NAMES utf8mb4 COLLATE utf8mb4_unicode_ci;";
    let changes = parse(sql.as_bytes()).unwrap();
    let Ok(SetOutcome::NeedsValues(expressions)) = SessionState::default().set(&changes, &[])
    else {
        panic!("the SET does not request a value")
    };
    assert_eq!(
        expressions,
        ["(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT'))"]
    );
    let value = Literal::of_result(Some(b"STRICT_TRANS_TABLES,PIPES_AS_CONCAT"), false);
    let Ok(SetOutcome::Changed { state, validation }) =
        SessionState::default().set(&changes, &[value])
    else {
        panic!()
    };
    assert_eq!(
        validation,
        Validation::NeedsEngine,
        "an engine has to validate the change"
    );
    assert_eq!(
        state.context().variables[&system("sql_mode")],
        Literal::Text("STRICT_TRANS_TABLES,PIPES_AS_CONCAT".into())
    );
    assert_eq!(
        state.context().variables[&system("time_zone")],
        Literal::Text("+00:00".into())
    );
    assert!(state.context().names.is_some());
    let in_sql = |value, numeric| Literal::of_result(value, numeric).to_sql(LexicalMode::default());
    assert_eq!(in_sql(Some(b"12"), true), "12");
    assert_eq!(in_sql(Some(br"it's \ 1"), false), r"'it''s \\ 1'");
    assert_eq!(in_sql(None, true), "null");
}

#[test]
fn set_that_cannot_be_parsed_or_affects_more_than_the_session_is_rejected() {
    for (sql, syntax) in [
        ("SET GLOBAL max_connections = 1", false),
        ("SET @@global.x = 1, y = 2", false),
        ("set persist x = 1", false),
        ("SET PASSWORD = 'x'", false),
        ("SET ROLE admin", false),
        ("SET NAMES latin1", false),
        ("SET NAMES utf8mb4 COLLATE latin1_bin", false),
        ("SET character_set_client = gbk", false),
        ("SET resultset_metadata = 'NONE'", false),
        ("SET x", true),
        ("SET x = ", true),
        ("SET x = 1 y = 2, ", true),
        ("SET x = 'open", true),
        ("SET x = (1", true),
        ("SET autocommit = 2", true),
        ("SET TRANSACTION LEVEL 3", true),
        ("SET names utf8mb4; drop table t", true),
    ] {
        match after(&SessionState::default(), sql) {
            Err(SetError::Syntax { .. }) => assert!(syntax, "{sql}"),
            Err(error @ (SetError::UnknownVariable(_) | SetError::Ambiguous)) => {
                panic!("{sql}: {error}")
            }
            Err(SetError::Unsupported(_)) => assert!(!syntax, "{sql}"),
            Ok(state) => panic!("{sql}: {state:?}"),
        }
    }
}

/// Guards against a parser that calls itself once for each parenthesis: a client chooses how deep they nest, and
/// the parser has to get by with a small stack.
#[test]
fn nested_parentheses_use_no_stack() {
    const STACK_BYTES: usize = 64 * 1024;
    const DEPTH: usize = 8_000;
    let parse_nested = || {
        let open = "(".repeat(DEPTH);
        let closed = ")".repeat(DEPTH);
        let balanced = format!("{open}1{closed}");
        let expected = Change::Assign {
            name: VariableName::user("x"),
            value: Value::Expression(balanced.clone()),
        };
        let changes = parse(format!("SET @x = {balanced}").as_bytes());
        assert_eq!(changes, Ok(vec![expected]));
        for value in [
            format!("{open}{open}"),
            format!("{open}{}", &closed[1..]),
            format!("f({}", "g(".repeat(DEPTH - 1)),
            format!("{open}'{open}"),
        ] {
            let changes = parse(format!("SET sql_mode = {value}").as_bytes());
            assert!(matches!(changes, Err(SetError::Syntax { .. })));
        }
    };
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(parse_nested).unwrap().join().unwrap();
}

/// Guards against variables of one session that stay set on a connection when another session uses it.
#[test]
fn connection_keeps_no_variables_of_the_previous_session() {
    let first = state_after("SET sql_mode = 'ANSI', @x = 1, time_zone = '+02:00'");
    let second = state_after("SET time_zone = '+00:00', autocommit = 0");
    let first = &first.context().variables;
    let second = &second.context().variables;
    assert_eq!(set_statement(first, first), None);
    assert_eq!(
        set_statement(first, second).unwrap(),
        "SET @x = NULL, SESSION sql_mode = DEFAULT, SESSION autocommit = 0, SESSION time_zone = '+00:00'"
    );
    assert_eq!(
        set_statement(second, &SessionVariables::new()).unwrap(),
        "SET SESSION autocommit = DEFAULT, SESSION time_zone = DEFAULT"
    );
}

#[test]
fn characteristics_of_the_next_transaction_are_kept_until_it_has_begun() {
    let mut state = state_after("SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY");
    assert!(state.context().variables.is_empty());
    for _ in 0..2 {
        let statement = state.next_transaction_statement().unwrap();
        assert_eq!(
            statement,
            "SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY"
        );
    }
    state.transaction_began();
    assert_eq!(state.next_transaction_statement(), None);
}

#[test]
fn set_names_replaces_the_character_sets_set_before() {
    let state = state_after("SET collation_connection = utf8mb4_bin, NAMES utf8mb4");
    assert!(state.context().variables.is_empty() && state.context().names.is_some());
}

#[test]
fn reset_keeps_the_schema_and_the_insert_id_is_set_for_statements_that_read_it() {
    let mut state = state_after("SET sql_mode = 'ANSI', autocommit = 0");
    state.use_schema("sales_17".into());
    state.record_insert_id(9);
    state.record_insert_id(0);
    assert_eq!(
        state.context_with_insert_id().variables[&system(LAST_INSERT_ID_VARIABLE)],
        Literal::Plain("9".into())
    );
    assert!(
        !state
            .context()
            .variables
            .contains_key(&system(LAST_INSERT_ID_VARIABLE))
    );
    state.reset();
    assert_eq!(state, SessionState::new(Some("sales_17".into())));
}

#[test]
fn number_and_size_of_session_variables_are_limited() {
    let many: Vec<String> = (0..=MAX_VARIABLES)
        .map(|i| format!("@v{i} = {i}"))
        .collect();
    assert!(
        after(
            &SessionState::default(),
            &format!("SET {}", many.join(", "))
        )
        .is_err()
    );
    assert!(
        after(
            &SessionState::default(),
            &format!("SET {}", many[1..].join(", "))
        )
        .is_ok()
    );
    let long = format!("SET @a = '{}'", "x".repeat(MAX_VARIABLE_BYTES));
    assert!(after(&SessionState::default(), &long).is_err());
}

fn in_mode(sql: &str, mode: LexicalMode) -> Result<Vec<Change>, SetError> {
    set::parse(sql.as_bytes(), mode.into())
}

/// Guards against a value that is read otherwise than by the engine that the client believes to talk to.
#[test]
fn values_are_read_in_the_mode_of_the_session() {
    let escapes = LexicalMode::default();
    let no_escapes = LexicalMode::of_sql_mode("NO_BACKSLASH_ESCAPES");
    let quoted_names = LexicalMode::of_sql_mode("ANSI_QUOTES");
    for (sql, mode, expected) in [
        (r"SET @x = 'C:\new'", escapes, "C:\new"),
        (r"SET @x = 'C:\new'", no_escapes, r"C:\new"),
        (r"SET @x = 'D:\'", no_escapes, r"D:\"),
        (r#"SET @x = "D:\""#, no_escapes, r"D:\"),
        (r#"SET @x = "D:\""#, quoted_names, r"D:\"),
        (
            r"SET @x = 'it\'s \0\b\r\t\Z\%\q'",
            escapes,
            "it's \0\x08\r\t\x1a\\%q",
        ),
        ("SET @x = 'it''s'", no_escapes, "it's"),
        (r#"SET @x = "it's ""so""""#, escapes, r#"it's "so""#),
        ("SET @x = 'NULL'", escapes, "NULL"),
        (r"SET time_zone = '\+00:00'", escapes, "+00:00"),
    ] {
        let changes = in_mode(sql, mode).unwrap();
        let [
            Change::Assign {
                value: Value::Literal(value),
                ..
            },
        ] = &changes[..]
        else {
            panic!("{sql}: {changes:?}")
        };
        assert_eq!(*value, Literal::Text(expected.into()), "{sql}");
    }
    let two = in_mode(r"SET @x = 'D:\', @y = 'E:\'", no_escapes).unwrap();
    assert_eq!(two.len(), 2);
}

#[test]
fn set_that_means_different_things_is_ambiguous() {
    for sql in [r"SET @x = 'C:\new'", r"SET @x = 'it\'s'", r"SET @x = 'D:\'"] {
        let read = set::parse(sql.as_bytes(), LexicalModes::all());
        assert_eq!(read, Err(SetError::Ambiguous), "{sql}");
    }
    for sql in ["SET @x = 'it''s'", "SET time_zone = \"+00:00\", @x = `a`"] {
        assert!(
            set::parse(sql.as_bytes(), LexicalModes::all()).is_ok(),
            "{sql}"
        );
    }
}

/// Guards against a mode that is set in a form that is not understood, so that the session's text is read wrongly.
#[test]
fn mode_of_a_session_is_known_in_each_form_of_its_value() {
    let mode_of = |sql: &str| state_after(sql).lexical_mode();
    assert_eq!(
        mode_of(r"SET sql_mode = '\NO_BACKSLASH_ESCAPES'"),
        Some(LexicalMode::of_sql_mode("NO_BACKSLASH_ESCAPES"))
    );
    // An engine evaluates it.
    let hex = parse(b"SET sql_mode = 0x4e4f").unwrap();
    assert!(matches!(
        &hex[..],
        [Change::Assign {
            value: Value::Expression(_),
            ..
        }]
    ));
}
