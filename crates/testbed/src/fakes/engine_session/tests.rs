use super::*;

#[test]
fn variables_are_set_read_and_reset() {
    let mut s = Session::new(7, "e", INSTALLED_SQL_MODE);
    assert_eq!(
        s.execute("SET SESSION time_zone = '+02:00', @x = 'it''s'"),
        Some(SessionResponse::Ok)
    );
    let row = SessionResponse::Row(
        vec!["@@time_zone".into(), "x".into(), "n".into()],
        vec![Some("+02:00".into()), Some("it's".into()), Some("7".into())],
    );
    assert_eq!(
        s.execute("select @@time_zone, @x as x, connection_id() as n"),
        Some(row)
    );
    assert!(matches!(
        s.execute("SET SESSION nonsense = 1, time_zone = 'x'"),
        Some(SessionResponse::Error(1193, ..))
    ));
    assert_eq!(
        s.variables["time_zone"], "+02:00",
        "an invalid assignment cancels the whole statement"
    );
    s.execute("SET SESSION time_zone = DEFAULT, sql_mode = (SELECT CONCAT(@@sql_mode, ',ANSI'))");
    assert_eq!(s.variables["time_zone"], "SYSTEM");
    assert_eq!(
        s.variables["sql_mode"],
        "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,ANSI"
    );
}

#[test]
fn text_is_read_in_the_mode_of_the_session() {
    let mut s = Session::new(7, "e", INSTALLED_SQL_MODE);
    s.execute(r"SET @a = 'C:\new\', x', @b = 'y'");
    assert_eq!(s.user_variables["a"].as_deref(), Some("C:\new', x"));
    assert_eq!(s.user_variables["b"].as_deref(), Some("y"));
    s.execute("SET SESSION sql_mode = 'NO_BACKSLASH_ESCAPES'");
    assert_eq!(s.status(), AUTOCOMMIT | NO_BACKSLASH_ESCAPES);
    s.execute(r"SET @a = 'C:\new\', @b = 'it''s'");
    assert_eq!(s.user_variables["a"].as_deref(), Some(r"C:\new\"));
    assert_eq!(s.user_variables["b"].as_deref(), Some("it's"));
    s.execute("SET SESSION sql_mode = DEFAULT");
    assert_eq!(s.status(), AUTOCOMMIT);
}

#[test]
fn changes_are_recorded_once_they_are_committed() {
    let mut s = Session::new(7, "e", INSTALLED_SQL_MODE);
    s.execute("insert into t values (1)");
    assert_eq!((s.committed.len(), s.status()), (1, AUTOCOMMIT));
    s.execute("begin");
    s.execute("insert into t values (2)");
    assert_eq!(
        (s.committed.len(), s.status()),
        (1, AUTOCOMMIT | IN_TRANSACTION)
    );
    s.execute("rollback");
    s.execute("SET SESSION autocommit = 0");
    s.execute("select 1");
    assert_eq!(
        s.status(),
        0,
        "a SELECT without a table begins no transaction"
    );
    s.execute("select a from t");
    s.execute("insert into t values (3)");
    assert_eq!((s.committed.len(), s.status()), (1, IN_TRANSACTION));
    s.execute("create table u (a int)");
    assert_eq!(
        s.committed,
        ["insert into t values (1)", "insert into t values (3)"]
    );
}
