//! Faults of the MySQL frontend in what sessions write as text: names and string literals, which reach engines in
//! statements of the dispatcher's own, or are read here and by an engine in different ways.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use query_dispatcher::protocol::mysql::packet::{
    SERVER_STATUS_NO_BACKSLASH_ESCAPES, eof_status, parse_ok_status,
};
use session_fixture::{Fixture, query_error, query_rows, run, start};
use testbed::clients::mysql::{Session, error, text, texts};

/// MySQL's error for a name that no system variable has.
const UNKNOWN_SYSTEM_VARIABLE: u16 = 1193;
const SYNTAX_ERROR: u16 = 1064;
/// MySQL's error for an interrupted query: the statement may have run.
const MAY_HAVE_RUN: u16 = 1317;
/// Bytes of a row in the binary protocol before its values: the header and a NULL bitmap of a few columns.
const BINARY_ROW_HEADER_BYTES: usize = 2;

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

/// Writes behind a string that ends with a backslash where a backslash escapes nothing.
const HIDDEN_WRITES: [&str; 3] = [
    r"with old as (select id from files where dir = 'D:\') delete from files where id in (select id from old)",
    r"with old as (select id from files where dir = 'D:\'), f as (select 1) update files set dir = ''",
    r"select audit.log('D:\', audit_trail(7), 'x')",
];
const HIDDEN_CALL: &str = r"select 'D:\', audit_trail(7), 'x'";

/// Executes a statement whose response each engine loses after it has taken effect, and asserts that it is sent once.
async fn assert_sent_once(fixture: &Fixture, session: &mut Session, sql: &str) {
    let before = fixture.execution_count(sql);
    for engine in &fixture.engines {
        engine.lose_next_response(sql);
    }
    assert_eq!(query_error(session, sql).await.0, MAY_HAVE_RUN, "{sql}");
    assert_eq!(fixture.execution_count(sql), before + 1, "{sql}");
}

/// Guards against a write that the dispatcher takes for the text of a read, as it reads the statement in another mode
/// than the engine: it was sent to a second engine after the first one had executed it.
#[test]
fn write_behind_a_backslash_is_sent_once_in_a_mode_without_escapes() {
    run(async {
        let fixture = start("hidden", 2, "", "").await;
        for set in [
            "SET sql_mode = 'NO_BACKSLASH_ESCAPES'",
            "SET SESSION sql_mode = 'STRICT_TRANS_TABLES,no_backslash_escapes'",
            "SET @@sql_mode = concat(@@sql_mode, ',NO_BACKSLASH_ESCAPES')",
            "SET sql_mode = 1048576",
            "SET sql_mode = 1048576.0",
            "SET sql_mode = 1048575 + 1",
            r"SET sql_mode = 'NO\_BACKSLASH_ESCAPES', sql_mode = '\NO_BACKSLASH_ESCAPES'",
            "/*!40101 SET sql_mode = 'NO_BACKSLASH_ESCAPES' */",
        ] {
            let mut session = fixture.session().await;
            query_rows(&mut session, set).await;
            for sql in HIDDEN_WRITES.into_iter().chain([HIDDEN_CALL]) {
                assert_sent_once(&fixture, &mut session, sql).await;
            }
        }
        let mut session = fixture.session().await;
        query_rows(&mut session, "SET sql_mode = 'ANSI_QUOTES'").await;
        let quoted_name = HIDDEN_CALL.replace('\'', "\"");
        assert_sent_once(&fixture, &mut session, &quoted_name).await;
    });
}

/// Guards against the same where the mode is the engines' default, which their logins tell: before any login, and after.
#[test]
fn write_behind_a_backslash_is_sent_once_on_engines_without_escapes() {
    run(async {
        let fixture = start("hidden-default", 2, "", "").await;
        for engine in &fixture.engines {
            engine.set_default_sql_mode("NO_BACKSLASH_ESCAPES");
        }
        let mut session = fixture.session().await;
        for sql in HIDDEN_WRITES.into_iter().chain([HIDDEN_CALL]) {
            assert_sent_once(&fixture, &mut session, sql).await;
        }
        query_rows(&mut session, "SET sql_mode = ''").await;
        for engine in &fixture.engines {
            engine.lose_next_response("select 'it");
        }
        let read = query_rows(&mut session, r"select 'it\'s an update'").await;
        assert_eq!(read, [["it's an update"]]);
    });
}

/// Guards against the same for prepared statements: their text has the meaning of the mode in which they were prepared,
/// also on a connection that prepares them anew for a session that has another mode by now.
#[test]
fn prepared_statement_keeps_the_meaning_of_its_text() {
    run(async {
        let fixture = start("prepared-mode", 2, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "select 1").await;
        let path = r"select 'C:\new'";
        let (escaping, _) = session.prepare(path).await.unwrap();
        query_rows(&mut session, "SET sql_mode = 'NO_BACKSLASH_ESCAPES'").await;
        let (plain, _) = session.prepare(path).await.unwrap();
        let (hidden, _) = session.prepare(HIDDEN_CALL).await.unwrap();
        query_rows(&mut session, "SET sql_mode = DEFAULT").await;
        for mode in ["DEFAULT", "'NO_BACKSLASH_ESCAPES'", "'ANSI_QUOTES'"] {
            query_rows(&mut session, &format!("SET sql_mode = {mode}")).await;
            for (id, expected) in [(escaping, "C:\new"), (plain, r"C:\new")] {
                let answer = session.execute(id, false).await.unwrap();
                let value = text(&answer.rows[0], true);
                assert_eq!(value.as_deref(), Some(expected), "{mode}");
            }
        }
        for engine in &fixture.engines {
            engine.lose_next_response(HIDDEN_CALL);
        }
        let lost = error(session.execute(hidden, false).await).unwrap();
        assert_eq!(lost.code, MAY_HAVE_RUN, "{}", lost.message);
        assert_eq!(fixture.execution_count(HIDDEN_CALL), 1);
    });
}

/// Guards against a prepared statement that reads the insert id of another session, for its text was read in the mode of
/// its execution.
#[test]
fn prepared_statement_reads_the_insert_id_of_its_session() {
    run(async {
        let fixture = start("prepared-id", 1, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "SET sql_mode = 'NO_BACKSLASH_ESCAPES'").await;
        let reading = r"select 'D:\', @@last_insert_id, 'x'";
        let (id, _) = session.prepare(reading).await.unwrap();
        query_rows(&mut session, "SET sql_mode = DEFAULT").await;
        query_rows(&mut session, "SET last_insert_id = 7").await;
        query_rows(&mut fixture.session().await, "select @@last_insert_id").await;
        let answer = session.execute(id, false).await.unwrap();
        let row = texts(&answer.rows[0].slice(BINARY_ROW_HEADER_BYTES..));
        assert_eq!(row, [r"D:\", "7", "x"]);
    });
}

/// Guards against a client that escapes its text for another mode than that of its session: drivers go by a status flag.
#[test]
fn answers_of_the_dispatcher_have_the_status_flag_of_the_mode() {
    run(async {
        let fixture = start("flag", 1, "", "").await;
        let mut session = fixture.session().await;
        for (sql, expected) in [
            ("SET @x = 1", 0),
            (
                "SET sql_mode = 'NO_BACKSLASH_ESCAPES'",
                SERVER_STATUS_NO_BACKSLASH_ESCAPES,
            ),
            ("SET @x = 1", SERVER_STATUS_NO_BACKSLASH_ESCAPES),
            ("SET sql_mode = ''", 0),
        ] {
            let answer = session.query(sql).await.unwrap();
            let flags = parse_ok_status(&answer.last).unwrap().flags;
            assert_eq!(
                flags & SERVER_STATUS_NO_BACKSLASH_ESCAPES,
                expected,
                "{sql}"
            );
            for listing in ["SHOW HITCHWINCH RESULTS", "SHOW WARNINGS"] {
                let answer = session.query(listing).await.unwrap();
                let flags = eof_status(&answer.last).unwrap();
                assert_eq!(
                    flags & SERVER_STATUS_NO_BACKSLASH_ESCAPES,
                    expected,
                    "{listing}"
                );
            }
        }
    });
}

const PATH: &str = r"C:\new\table";
const NO_ESCAPES: &str = "SET sql_mode = 'NO_BACKSLASH_ESCAPES'";

async fn assert_directory(session: &mut Session, expected: &str) {
    let rows = query_rows(session, "select @dir").await;
    assert_eq!(rows, [[expected]]);
}

/// Guards against a user variable that gets another value when its session moves: its literal was set anew as the client
/// had written it, on a connection that reads text in another mode.
#[test]
fn user_variable_keeps_its_value_on_another_engine() {
    run(async {
        let fixture = start("moves", 2, "", "").await;
        let [first, second] = &fixture.engines[..] else {
            panic!("two engines")
        };
        for (set_mode, value) in [
            (NO_ESCAPES, PATH),
            ("SET sql_mode = 1048576", PATH),
            ("SET sql_mode = ''", "C:\new\table"),
        ] {
            fixture.call_operator_action("detach", second).await;
            let mut session = fixture.session().await;
            query_rows(&mut session, set_mode).await;
            query_rows(&mut session, &format!("SET @dir = '{PATH}'")).await;
            assert_directory(&mut session, value).await;
            fixture.call_operator_action("attach", second).await;
            fixture.call_operator_action("detach", first).await;
            assert_directory(&mut session, value).await;
            fixture.call_operator_action("attach", first).await;
        }
    });
}

/// Guards against the same between sessions of different modes that take turns on one engine connection, whatever the
/// engine's default is.
#[test]
fn values_of_sessions_in_different_modes_do_not_mix_on_one_connection() {
    run(async {
        for default in ["", "NO_BACKSLASH_ESCAPES"] {
            let fixture = start(&format!("turns{}", default.len()), 1, "", "").await;
            fixture.engines[0].set_default_sql_mode(default);
            let by_default = match default {
                "" => "C:\new\table",
                _ => PATH,
            };
            let mut sessions = vec![];
            for (set_mode, value) in [
                ("SET @y = 1", by_default),
                (NO_ESCAPES, PATH),
                ("SET sql_mode = ''", "C:\new\table"),
                ("SET sql_mode = DEFAULT", by_default),
            ] {
                let mut session = fixture.session().await;
                query_rows(&mut session, set_mode).await;
                // The whole statement is read in the mode of its beginning.
                let set = format!("SET sql_mode = @@sql_mode, @dir = '{PATH}', @z = 'it''s'");
                query_rows(&mut session, &set).await;
                sessions.push((session, value));
            }
            for _ in 0..3 {
                for (session, value) in &mut sessions {
                    assert_directory(session, value).await;
                    query_rows(session, "SET @turn = 'a\\\\b'").await;
                }
            }
            let (session, _) = &mut sessions[1];
            query_rows(session, r"SET @dir = 'D:\', @x = '\'").await;
            assert_directory(session, r"D:\").await;
            query_rows(session, "begin").await;
            query_rows(session, r"SET @dir = 'E:\'").await;
            assert_directory(session, r"E:\").await;
        }
    });
}

/// Guards against a value that is refused or misread before any engine has told its default mode.
#[test]
fn first_statement_of_a_process_is_read_in_the_default_mode_of_the_engines() {
    run(async {
        for (default, value) in [("", "C:\new\table"), ("NO_BACKSLASH_ESCAPES", PATH)] {
            let fixture = start(&format!("first{}", default.len()), 1, "", "").await;
            fixture.engines[0].set_default_sql_mode(default);
            let mut session = fixture.session().await;
            query_rows(&mut session, &format!("SET @dir = '{PATH}'")).await;
            assert_directory(&mut session, value).await;
        }
    });
}
