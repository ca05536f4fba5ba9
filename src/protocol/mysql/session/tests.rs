use super::set::parse;
use super::*;

fn after(state: &State, sql: &str) -> Result<(State, bool), SetError> {
    match state.set(&parse(sql.as_bytes())?, &[])? {
        Taken::Changed { state, checked } => Ok((state, checked)),
        Taken::Asks(asks) => panic!("{sql} asks {asks:?}"),
    }
}

fn one(sql: &str) -> State {
    after(&State::default(), sql)
        .unwrap_or_else(|e| panic!("{sql}: {e}"))
        .0
}

#[test]
fn what_connectors_set_at_their_start_is_taken_in() {
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
            "SET @a := -1.5e3, @`b c` = 'it''s; \\' here'",
            "SET @a = -1.5e3, @`b c` = 'it''s; \\' here'",
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
    for (sql, wanted) in all {
        let s = one(sql);
        assert_eq!(
            turn(&Settings::new(), &s.context().settings).as_deref(),
            Some(wanted),
            "{sql}"
        );
    }
    assert_eq!(
        one("SET NAMES 'utf8mb4' COLLATE 'utf8mb4_0900_ai_ci'")
            .context()
            .names
            .as_deref(),
        Some("utf8mb4 COLLATE utf8mb4_0900_ai_ci")
    );
    assert_eq!(
        one("set character set utf8").context().names.as_deref(),
        Some("utf8")
    );
    assert_eq!(one("SET autocommit=1"), State::default());
}

#[test]
fn an_expression_is_asked_for_and_its_value_taken_in() {
    let sql = "SET sql_mode=(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT')),time_zone='+00:00',NAMES utf8mb4 COLLATE utf8mb4_unicode_ci;";
    let changes = parse(sql.as_bytes()).unwrap();
    let Ok(Taken::Asks(asks)) = State::default().set(&changes, &[]) else {
        panic!("nothing is asked")
    };
    assert_eq!(asks, ["(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT'))"]);
    let value = literal(Some(b"STRICT_TRANS_TABLES,PIPES_AS_CONCAT"), false);
    let Ok(Taken::Changed { state, checked }) = State::default().set(&changes, &[value]) else {
        panic!()
    };
    assert!(!checked, "an engine has to agree");
    assert_eq!(
        state.context().settings["sql_mode"],
        "'STRICT_TRANS_TABLES,PIPES_AS_CONCAT'"
    );
    assert_eq!(state.context().settings["time_zone"], "'+00:00'");
    assert!(state.context().names.is_some());
    assert_eq!(literal(Some(b"12"), true), "12");
    assert_eq!(literal(Some(b"it's \\ 1"), false), "'it''s \\\\ 1'");
    assert_eq!(literal(None, true), "NULL");
}

#[test]
fn what_reaches_beyond_the_session_or_cannot_be_read_is_refused_and_changes_nothing() {
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
        match after(&State::default(), sql) {
            Err(SetError::Syntax { .. }) => assert!(syntax, "{sql}"),
            Err(SetError::NotCarried(_)) => assert!(!syntax, "{sql}"),
            Ok(s) => panic!("{sql}: {s:?}"),
        }
    }
}

/// A connection is taken from one session's settings to another's, and nothing of the first stays behind.
#[test]
fn a_connection_is_turned_from_one_session_to_another_and_leaves_nothing_behind() {
    let a = one("SET sql_mode = 'ANSI', @x = 1, time_zone = '+02:00'");
    let b = one("SET time_zone = '+00:00', autocommit = 0");
    let (a, b) = (&a.context().settings, &b.context().settings);
    assert_eq!(turn(a, a), None);
    assert_eq!(
        turn(a, b).unwrap(),
        "SET @x = NULL, SESSION sql_mode = DEFAULT, SESSION autocommit = 0, SESSION time_zone = '+00:00'"
    );
    assert_eq!(
        turn(b, &Settings::new()).unwrap(),
        "SET SESSION autocommit = DEFAULT, SESSION time_zone = DEFAULT"
    );
}

#[test]
fn what_holds_for_the_next_transaction_is_told_until_one_has_begun() {
    let mut s = one("SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY");
    assert!(s.context().settings.is_empty());
    for _ in 0..2 {
        let told = s.next_transaction().unwrap();
        assert_eq!(
            told,
            "SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY"
        );
    }
    s.began();
    assert_eq!(s.next_transaction(), None);
}

#[test]
fn names_take_the_place_of_the_character_sets_set_before() {
    let s = one("SET collation_connection = utf8mb4_bin, NAMES utf8mb4");
    assert!(s.context().settings.is_empty() && s.context().names.is_some());
}

#[test]
fn a_reset_leaves_the_schema_and_an_insert_id_is_set_anew_where_it_is_asked_for() {
    let mut s = one("SET sql_mode = 'ANSI', autocommit = 0");
    s.stand_in("sales_17".into());
    s.inserted(9);
    s.inserted(0);
    assert_eq!(s.context_with_insert_id().settings[INSERT_ID], "9");
    assert!(!s.context().settings.contains_key(INSERT_ID));
    s.reset();
    assert_eq!(s, State::new(Some("sales_17".into())));
}

#[test]
fn a_session_holds_a_bounded_number_of_variables() {
    let many: Vec<String> = (0..=MOST).map(|i| format!("@v{i} = {i}")).collect();
    assert!(after(&State::default(), &format!("SET {}", many.join(", "))).is_err());
    assert!(after(&State::default(), &format!("SET {}", many[1..].join(", "))).is_ok());
    let long = format!("SET @a = '{}'", "x".repeat(MOST_BYTES));
    assert!(after(&State::default(), &long).is_err());
}
