//! Faults of the MySQL frontend in what sessions write as text: names and string literals, which reach engines in
//! statements of the dispatcher's own, or are read here and by an engine in different ways.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use session_fixture::{query_error, query_rows, run, start};

/// MySQL's error for a name that no system variable has.
const UNKNOWN_SYSTEM_VARIABLE: u16 = 1193;
const SYNTAX_ERROR: u16 = 1064;

/// Guards against a quoted name that becomes SQL in a SET of the dispatcher: what it held after a comma was assigned on
/// a pooled connection, unknown here, and stayed there for other users' sessions.
#[test]
fn quoted_name_in_a_set_assigns_no_other_variable() {
    run(async {
        let fixture = start("set-name", 1, "", "").await;
        let mut session = fixture.session().await;
        let mut other = fixture.session().await;
        for sql in [
            "SET `time_zone = '+05:00', sql_mode` = ''",
            "SET SESSION `time_zone='+05:00',sql_mode` = DEFAULT",
            "SET @@session.`time_zone = '+05:00', sql_mode` := ''",
            "SET @x = 1, @@`time_zone = '+05:00', sql_mode` = ''",
            "/*!40101 SET `time_zone = '+05:00', sql_mode` = '' */",
        ] {
            let (number, text) = query_error(&mut session, sql).await;
            assert_eq!(number, UNKNOWN_SYSTEM_VARIABLE, "{sql}: {text}");
            for reader in [&mut other, &mut session] {
                let zone = query_rows(reader, "select @@time_zone").await;
                assert_eq!(zone, [["SYSTEM"]], "{sql}");
            }
        }
        query_rows(
            &mut session,
            "SET @`x``=1, time_zone='+05:00', @``y` = 5, `time_zone` = '+02:00'",
        )
        .await;
        let zone = query_rows(&mut session, "select @@time_zone").await;
        assert_eq!(zone, [["+02:00"]]);
        let zone = query_rows(&mut other, "select @@time_zone").await;
        assert_eq!(zone, [["SYSTEM"]]);
    });
}

/// Guards against the same by the name of a user variable that a statement assigns: the dispatcher resets the variable
/// before another session uses the connection.
#[test]
fn quoted_name_that_a_statement_assigned_assigns_no_other_variable() {
    run(async {
        let fixture = start("assigned-name", 1, "", "").await;
        for name in [
            "@'x`=1,time_zone=\"+05:00\",@`y'",
            "@\"x`=1,time_zone='+05:00',@`y\"",
        ] {
            // A statement that cannot be parsed lets its connection go.
            let sql = format!("select {name} := 1");
            fixture.engines[0].fail_next(&sql, SYNTAX_ERROR);
            let mut session = fixture.session().await;
            assert_eq!(query_error(&mut session, &sql).await.0, SYNTAX_ERROR);
            let mut other = fixture.session().await;
            let zone = query_rows(&mut other, "select @@time_zone").await;
            assert_eq!(zone, [["SYSTEM"]], "{name}");
        }
    });
}
