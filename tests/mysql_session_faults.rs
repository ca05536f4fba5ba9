//! Faults of the MySQL frontend that clients met: each test plays one class of them against the program.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use query_dispatcher::protocol::mysql::packet::{COM_QUERY, COM_RESET_CONNECTION};
use session_fixture::{Fixture, query_error, query_rows, run, sleep_ms, start};
use std::time::Duration;
use testbed::clients::mysql::{Session, error};

/// MySQL's error for a deadlock, SQLSTATE 40001: the transaction is rolled back and can be begun again.
const ROLLED_BACK: u16 = 1213;
/// MySQL's error for an interrupted query: the statement may have run.
const MAY_HAVE_RUN: u16 = 1317;

/// Guards against a SET whose parentheses overflow the stack: the process ended, and with it the open requests
/// of all clients.
#[test]
fn set_of_nested_parentheses_is_rejected_and_ends_no_other_request() {
    const OPEN_PARENTHESES: usize = 16_300;
    const SYNTAX_ERROR: u16 = 1064;
    run(async {
        let fixture = start("nested", 1, "", "").await;
        let mut other = fixture.session().await;
        fixture.engines[0].set_execution_time(Duration::from_millis(500));
        other
            .send(COM_QUERY, &[b"insert into t values (7)"])
            .await
            .unwrap();
        sleep_ms(50).await;
        let mut session = fixture.session().await;
        let nested = "(".repeat(OPEN_PARENTHESES);
        let closed = ")".repeat(OPEN_PARENTHESES / 2);
        for sql in [
            format!("SET @x = {nested}"),
            format!("SET @x := 1, sql_mode = {nested}"),
            format!("SET SESSION sql_mode = concat{nested}"),
            format!("SET @x = {}{closed})", &nested[..OPEN_PARENTHESES / 2]),
            format!("SET @x = '(', @y = (`(`, \"(\", {}", &nested[..16_000]),
        ] {
            let (number, text) = query_error(&mut session, &sql).await;
            assert_eq!(number, SYNTAX_ERROR, "{text}");
        }
        other.answer().await.unwrap();
        assert_eq!(fixture.committed(), ["insert into t values (7)"]);
        query_rows(
            &mut session,
            "SET @x = ((((1)))), @y = (select concat('(', 'b'))",
        )
        .await;
        assert_eq!(
            query_rows(&mut session, "select @x, @y").await,
            [["1", "(b"]]
        );
    });
}

/// Executes `earlier` in a new session, then `last`, whose response the engine loses after it has taken effect.
/// Returns the number of the error that the client gets.
async fn error_of_lost_response(fixture: &Fixture, earlier: &[&str], last: &str) -> u16 {
    let mut session = fixture.session().await;
    for sql in earlier {
        query_rows(&mut session, sql).await;
    }
    fixture.engines[0].lose_next_response(last);
    query_error(&mut session, last).await.0
}

/// Guards against a write that has committed by itself and is reported as rolled back, so that its client runs it
/// a second time: only an open transaction is rolled back with its connection.
#[test]
fn write_outside_of_a_transaction_is_not_reported_as_rolled_back() {
    run(async {
        let fixture = start("committed", 1, "", "").await;
        let committed: [(&[&str], &str); 11] = [
            (&["set @posting = 1"], "insert into t values (@posting, 42)"),
            (
                &["create temporary table x (a int)"],
                "insert into t values (2)",
            ),
            (&["select get_lock('a', 1)"], "update t set a = 3"),
            (&["select get_lock('a', 1)"], "select a from t for update"),
            (&["lock tables t write"], "insert into t values (4)"),
            (&["select a into @n from t"], "delete from t where a = 5"),
            (
                &["begin", "insert into t values (6)"],
                "create table u (a int)",
            ),
            (
                &["begin", "insert into t values (7)"],
                "/*!50000 alter table u engine = innodb */ ",
            ),
            (&["set autocommit = 0"], "create table u (a int)"),
            (
                &[
                    "select get_lock('a', 1)",
                    "begin",
                    "insert into t values (8)",
                    "commit",
                ],
                "insert into t values (9)",
            ),
            // No transaction was open, and the insert before has committed.
            (
                &["select get_lock('a', 1)", "insert into t values (10)"],
                "select a from t",
            ),
        ];
        for (earlier, last) in committed {
            let number = error_of_lost_response(&fixture, earlier, last).await;
            assert_eq!(number, MAY_HAVE_RUN, "{earlier:?}, {last}");
        }
        let before = fixture.committed().len();
        let rolled_back: [(&[&str], &str); 4] = [
            (&["begin"], "insert into t values (11)"),
            (&["begin", "insert into t values (12)"], "select a from t"),
            (&["set autocommit = 0"], "insert into t values (13)"),
            (&["select get_lock('a', 1)"], "begin"),
        ];
        for (earlier, last) in rolled_back {
            let number = error_of_lost_response(&fixture, earlier, last).await;
            assert_eq!(number, ROLLED_BACK, "{earlier:?}, {last}");
        }
        assert_eq!(fixture.committed().len(), before, "nothing of these stands");
    });
}

/// Guards against the same report for prepared statements, which take another path to the engine.
#[test]
fn prepared_write_outside_of_a_transaction_is_not_reported_as_rolled_back() {
    run(async {
        let fixture = start("prepared", 1, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "select get_lock('a', 1)").await;
        let (id, _) = session.prepare("insert into t values (1)").await.unwrap();
        fixture.engines[0].lose_next_response("insert");
        let lost = error(session.execute(id, false).await).unwrap();
        assert_eq!(lost.code, MAY_HAVE_RUN, "{}", lost.message);
        assert_eq!(fixture.committed(), ["insert into t values (1)"]);
    });
}

/// Guards against the same report where the dispatcher itself ends the session in the middle of a write: by a
/// limit, for a drain, or for another session's KILL QUERY; and where the engine's process ends.
#[test]
fn write_is_not_reported_as_rolled_back_however_its_session_ends() {
    const WRITE: &str = "insert into t values (1)";
    run(async {
        for end in ["max lifetime", "drain", "kill", "engine"] {
            let pins = match end {
                "max lifetime" => "[pins]\nlongest_s = 0.8",
                _ => "[pins]\ndrain_s = 0.3",
            };
            let fixture = start(&format!("ends-{}", &end[..3]), 1, "", pins).await;
            let engine = &fixture.engines[0];
            let mut session = fixture.session().await;
            query_rows(&mut session, "select get_lock('a', 1)").await;
            engine.set_execution_time(Duration::from_secs(5));
            session.send(COM_QUERY, &[WRITE.as_bytes()]).await.unwrap();
            sleep_ms(200).await;
            match end {
                "drain" => fixture.call_operator_action("detach", engine).await,
                "kill" => {
                    let mut other = fixture.session().await;
                    query_rows(&mut other, &format!("kill query {}", session.number)).await;
                }
                "engine" => engine.stop(),
                _ => {}
            }
            let lost = error(session.answer().await).unwrap();
            assert_eq!(lost.code, MAY_HAVE_RUN, "{end}: {}", lost.message);
            assert_eq!(fixture.committed(), [WRITE], "{end}");
        }
    });
}

/// An engine's error in the middle of a statement: its storage fails.
const STORAGE_FAILED: u16 = 1030;
const NUMBERED_LIST: &str = "select @n := @n + 1 from goods";

/// Asks for a list of five goods that the session numbers by a user variable, and returns the numbers.
async fn numbered_list(session: &mut Session) -> Vec<String> {
    query_rows(session, "SET @n := 0").await;
    query_rows(session, NUMBERED_LIST).await.concat()
}

/// Returns the value of a user variable; `None` if it is NULL.
async fn user_variable(session: &mut Session, name: &str) -> Option<String> {
    let rows = query_rows(session, &format!("select {name}")).await;
    rows.concat().pop()
}

/// Guards against a SET that is answered OK and not in force: a statement had changed the variable on the engine
/// connection, which seemed to have the value already. Sessions with the same setting got what others had left.
#[test]
fn user_variable_that_a_statement_assigned_is_set_anew() {
    const NUMBERS: [&str; 5] = ["1", "2", "3", "4", "5"];
    run(async {
        let fixture = start("numbers", 1, "", "").await;
        let engine = &fixture.engines[0];
        let mut session = fixture.session().await;
        engine.fail_next(NUMBERED_LIST, STORAGE_FAILED);
        query_rows(&mut session, "SET @n := 0").await;
        assert_eq!(
            query_error(&mut session, NUMBERED_LIST).await.0,
            STORAGE_FAILED
        );
        for _ in 0..2 {
            assert_eq!(numbered_list(&mut session).await, NUMBERS);
        }
        // A list whose statement cannot be parsed lets its connection go.
        let mut failing = fixture.session().await;
        query_rows(&mut failing, "SET @n := 0").await;
        engine.fail_next(NUMBERED_LIST, 1064);
        assert_eq!(query_error(&mut failing, NUMBERED_LIST).await.0, 1064);
        for _ in 0..3 {
            assert_eq!(numbered_list(&mut fixture.session().await).await, NUMBERS);
        }
        let mut other = fixture.session().await;
        assert_eq!(user_variable(&mut other, "@n").await, None);
    });
}

/// Guards against the same fault in the other ways to assign a variable, and in the ways to change it back.
#[test]
fn session_reads_what_its_statements_and_sets_assigned() {
    run(async {
        let fixture = start("assigns", 2, "", "").await;
        for (name, assignment) in [
            ("@n", "select @n := 7"),
            ("@n", "select @N:=7"),
            ("@n", "select @`n` := 7"),
            ("@n", "select @'n' := 7"),
            ("@n", "select 7 into @n"),
            ("@a.b", "select @a.b := 7"),
        ] {
            let mut session = fixture.session().await;
            query_rows(&mut session, "SET @n = 1, @kept = 2").await;
            query_rows(&mut session, assignment).await;
            let value = user_variable(&mut session, name).await;
            assert_eq!(value.as_deref(), Some("7"), "{assignment}");
            for (set, expected) in [
                ("SET @n = 1", Some("1")),
                ("SET @n = NULL", None),
                ("SET @n = 1 + 1", Some("2")),
            ] {
                query_rows(&mut session, assignment).await;
                query_rows(&mut session, set).await;
                let value = user_variable(&mut session, "@n").await;
                assert_eq!(value.as_deref(), expected, "{assignment}, {set}");
            }
            let kept = user_variable(&mut session, "@kept").await;
            assert_eq!(kept.as_deref(), Some("2"), "{assignment}");
        }
        let mut session = fixture.session().await;
        let (id, _) = session.prepare("select @n := @n + 1").await.unwrap();
        for _ in 0..2 {
            query_rows(&mut session, "SET @n := 0").await;
            for expected in ["1", "2"] {
                session.execute(id, false).await.unwrap();
                let value = user_variable(&mut session, "@n").await;
                assert_eq!(value.as_deref(), Some(expected));
            }
        }
    });
}

/// Guards against an assignment whose connection goes back to the pool: by a statement that assigns variables in
/// the middle of a transaction, whose end would free the connection, and by a reset of the session.
#[test]
fn variables_of_a_session_do_not_reach_the_next_one() {
    run(async {
        let fixture = start("left", 1, "", "").await;
        for ending in ["commit", "rollback", "reset"] {
            let mut session = fixture.session().await;
            query_rows(&mut session, "SET @n = 1").await;
            query_rows(&mut session, "begin").await;
            query_rows(&mut session, "select @n := 5").await;
            match ending {
                "reset" => {
                    session.send(COM_RESET_CONNECTION, &[]).await.unwrap();
                    session.answer().await.unwrap();
                    assert_eq!(user_variable(&mut session, "@n").await, None);
                }
                sql => {
                    query_rows(&mut session, sql).await;
                    let value = user_variable(&mut session, "@n").await;
                    assert_eq!(value.as_deref(), Some("5"), "{sql}");
                }
            }
            let mut next = fixture.session().await;
            query_rows(&mut next, "SET @n = 1").await;
            let value = user_variable(&mut next, "@n").await;
            assert_eq!(value.as_deref(), Some("1"), "{ending}");
        }
        // The value goes with the engine connection, and the client learns that.
        let mut session = fixture.session().await;
        query_rows(&mut session, "select @n := 5").await;
        fixture.engines[0].lose_next_response("select");
        assert_eq!(
            query_error(&mut session, "select a from t").await.0,
            MAY_HAVE_RUN
        );
        assert_eq!(user_variable(&mut session, "@n").await, None);
    });
}

/// Guards against a lock that stays on a pooled connection: the statement that took it failed afterwards.
#[test]
fn session_stays_sticky_if_its_failed_statement_may_have_locked() {
    run(async {
        let fixture = start("lock", 1, "", "").await;
        let mut session = fixture.session().await;
        fixture.engines[0].fail_next("select get_lock", STORAGE_FAILED);
        let (number, _) = query_error(&mut session, "select get_lock('a', 1), b from t").await;
        assert_eq!(number, STORAGE_FAILED);
        let own = query_rows(&mut session, "select connection_id()").await;
        let mut other = fixture.session().await;
        let others = query_rows(&mut other, "select connection_id()").await;
        assert_ne!(others, own);
        assert_eq!(
            query_rows(&mut session, "select connection_id()").await,
            own
        );
    });
}

/// Guards against a setting in an executable comment, as dump programs send it, that was run as a write on one
/// pooled connection: other sessions got it, and the session lost it when it moved to another connection.
#[test]
fn setting_in_an_executable_comment_moves_with_its_session_and_reaches_no_other() {
    run(async {
        let fixture = start("dump", 1, "", "").await;
        let mut session = fixture.session().await;
        let mut other = fixture.session().await;
        for sql in [
            "/*!40103 SET @OLD_TIME_ZONE=@@TIME_ZONE */",
            "/*!40103 SET TIME_ZONE='+00:00' */;",
        ] {
            query_rows(&mut session, sql).await;
        }
        for _ in 0..2 {
            let zone = query_rows(&mut other, "select @@time_zone").await;
            assert_eq!(zone, [["SYSTEM"]]);
            let zones = query_rows(&mut session, "select @@time_zone, @old_time_zone").await;
            assert_eq!(zones, [["+00:00", "SYSTEM"]]);
        }
        query_rows(&mut session, "/*!40103 SET TIME_ZONE=@OLD_TIME_ZONE */").await;
        let zone = query_rows(&mut session, "select @@time_zone").await;
        assert_eq!(zone, [["SYSTEM"]]);
        // Only newer engines execute this one, so that its connection serves no other session.
        query_rows(&mut session, "/*!99999 SET TIME_ZONE='+00:00' */").await;
        let zone = query_rows(&mut other, "select @@time_zone").await;
        assert_eq!(zone, [["SYSTEM"]]);
        query_rows(&mut session, "/*!50000 begin */").await;
        query_rows(&mut session, "insert into t values (1)").await;
        query_rows(&mut session, "/*!50000 rollback */").await;
        assert_eq!(fixture.committed(), Vec::<String>::new());
    });
}

/// Guards against character sets of one session that stay on a connection, or are lost there: SET NAMES changes
/// variables that a session may also set one by one.
#[test]
fn character_sets_of_sessions_on_one_connection_do_not_mix() {
    run(async {
        let fixture = start("charset", 1, "", "").await;
        let read = "select @@character_set_results, @@character_set_client";
        let mut plain = fixture.session().await;
        let mut named = fixture.session().await;
        query_rows(&mut named, "SET NAMES utf8mb3").await;
        let mut mixed = fixture.session().await;
        query_rows(&mut mixed, "SET NAMES utf8mb3").await;
        query_rows(&mut mixed, "SET character_set_results = utf8mb4").await;
        let mut other = fixture.session().await;
        query_rows(&mut other, "SET NAMES utf8mb4").await;
        query_rows(&mut other, "SET character_set_results = utf8mb4").await;
        for _ in 0..2 {
            let sets = query_rows(&mut mixed, read).await;
            assert_eq!(sets, [["utf8mb4", "utf8mb3"]]);
            let sets = query_rows(&mut named, read).await;
            assert_eq!(sets, [["utf8mb3", "utf8mb3"]]);
            let sets = query_rows(&mut other, read).await;
            assert_eq!(sets, [["utf8mb4", "utf8mb4"]]);
            let sets = query_rows(&mut plain, read).await;
            assert_eq!(sets, [["utf8mb4", "utf8mb4"]]);
        }
    });
}

/// Guards against a USE that is answered OK and not in force: the engine unsets the default schema of the
/// connection that drops it.
#[test]
fn schema_that_a_statement_dropped_is_selected_anew() {
    run(async {
        let fixture = start("dropped", 1, "", "").await;
        let mut session = fixture.session().await;
        for pinning in ["select 1", "select get_lock('a', 1)"] {
            query_rows(&mut session, pinning).await;
            query_rows(&mut session, "use depot").await;
            query_rows(&mut session, "select 1").await;
            query_rows(&mut session, "drop database if exists `depot`").await;
            let schema = query_rows(&mut session, "select database()").await;
            assert_eq!(schema, [Vec::<String>::new()], "after {pinning}");
            query_rows(&mut session, "create database depot").await;
            query_rows(&mut session, "use depot").await;
            let schema = query_rows(&mut session, "select database()").await;
            assert_eq!(schema, [["depot"]], "after {pinning}");
        }
    });
}

/// Guards against settings that statements change by themselves and that the session takes for unchanged.
#[test]
fn variables_that_each_statement_changes_are_the_sessions_own_or_rejected() {
    run(async {
        let fixture = start("changing", 1, "", "").await;
        let mut session = fixture.session().await;
        for sql in ["SET last_insert_id = 7", "SET @@session.identity = 8"] {
            query_rows(&mut session, sql).await;
            let expected = sql.rsplit(' ').next().unwrap();
            for read in ["select @@last_insert_id", "select @@identity"] {
                query_rows(&mut fixture.session().await, "select @@last_insert_id").await;
                assert_eq!(
                    query_rows(&mut session, read).await,
                    [[expected]],
                    "{sql}, {read}"
                );
            }
        }
        for name in ["insert_id", "rand_seed1", "rand_seed2"] {
            let (number, text) = query_error(&mut session, &format!("SET {name} = 1")).await;
            assert_eq!(number, 1235, "{text}");
        }
    });
}

/// Guards against a stored function with the name of a built-in one that counts as a read: its call was sent to a
/// second engine after the first one may have executed it.
#[test]
fn call_that_may_be_a_stored_function_is_sent_once() {
    run(async {
        let fixture = start("function", 2, "", "").await;
        let mut session = fixture.session().await;
        for sql in [
            "select audit.log(7, 42)",
            "select audit . /* of today */ log (7, 42)",
            "select a from t order by `audit`.log(7)",
            "with w as (values row(audit_trail(7))) select 1 from w",
            "with w(a) as (values row(audit.log(7))), v(b) as (values row(1)) select a from w",
            "values row(audit.log(7), 1)",
            "select max (7)",
        ] {
            for engine in &fixture.engines {
                engine.lose_next_response(sql);
            }
            assert_eq!(
                query_error(&mut session, sql).await.0,
                MAY_HAVE_RUN,
                "{sql}"
            );
            assert_eq!(fixture.execution_count(sql), 1, "{sql}");
        }
        // A read is sent again.
        let read = "select log(7) from t";
        for engine in &fixture.engines {
            engine.lose_next_response(read);
        }
        assert_eq!(query_rows(&mut session, read).await.len(), 1);
    });
}

/// Guards against a SET that is lost with a statement that failed: it had assigned the variable, and made a temporary
/// table besides, which is the reason that its session was sticky.
#[test]
fn variable_that_a_failed_definition_assigned_stays_the_sessions() {
    const DEFINITION: &str = "create temporary table x as select @n := 7";
    run(async {
        let fixture = start("definition", 1, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "SET @n = 5").await;
        fixture.engines[0].fail_next(DEFINITION, STORAGE_FAILED);
        let (number, _) = query_error(&mut session, DEFINITION).await;
        assert_eq!(number, STORAGE_FAILED);
        assert!(user_variable(&mut session, "@n").await.is_some());
        query_rows(&mut session, "SET @n = 5").await;
        let value = user_variable(&mut session, "@n").await;
        assert_eq!(value.as_deref(), Some("5"));
    });
}

/// Guards against wrong reports after an error, which tells nothing of the transaction: a definition that failed has
/// committed it, and some errors end it, so that the next write commits by itself.
#[test]
fn write_after_an_error_in_a_transaction_is_not_reported_as_rolled_back() {
    const DEFINITION: &str = "create table u (a int)";
    const FAILING_WRITE: &str = "insert into t values (0)";
    run(async {
        let fixture = start("errors", 1, "", "").await;
        let engine = &fixture.engines[0];
        for (failing, last, expected) in [
            (FAILING_WRITE, "insert into t values (1)", MAY_HAVE_RUN),
            (FAILING_WRITE, "select a from t", ROLLED_BACK),
            (DEFINITION, "insert into t values (2)", MAY_HAVE_RUN),
            (DEFINITION, "select a from t", MAY_HAVE_RUN),
        ] {
            let mut session = fixture.session().await;
            query_rows(&mut session, "begin").await;
            query_rows(&mut session, "insert into t values (9)").await;
            engine.fail_next(failing, STORAGE_FAILED);
            query_error(&mut session, failing).await;
            engine.lose_next_response(last);
            let (number, text) = query_error(&mut session, last).await;
            assert_eq!(number, expected, "{failing}, {last}: {text}");
        }
    });
}

/// Guards against a connection that goes back to the pool with a transaction: with autocommit off, a statement may have
/// opened one although it failed.
#[test]
fn session_stays_sticky_if_its_first_statement_failed_with_autocommit_off() {
    const WRITE: &str = "insert into t values (1)";
    run(async {
        let fixture = start("manual", 1, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "SET autocommit = 0").await;
        fixture.engines[0].fail_next(WRITE, STORAGE_FAILED);
        assert_eq!(query_error(&mut session, WRITE).await.0, STORAGE_FAILED);
        let mut other = fixture.session().await;
        let others = query_rows(&mut other, "select connection_id()").await;
        let own = query_rows(&mut session, "select connection_id()").await;
        assert_ne!(others, own);
        query_rows(&mut session, "rollback").await;
        assert_eq!(fixture.committed(), Vec::<String>::new());
    });
}

/// Guards against a client that begins again, and repeats what was answered, because its connection was lost while
/// nothing was under way: only an open transaction is rolled back then.
#[test]
fn connection_that_is_lost_between_two_statements_rolls_back_an_open_transaction_only() {
    run(async {
        for (first, expected) in [
            ("select get_lock('a', 1)", MAY_HAVE_RUN),
            ("begin", ROLLED_BACK),
        ] {
            let fixture = start("between", 1, "", "").await;
            let mut session = fixture.session().await;
            query_rows(&mut session, first).await;
            query_rows(&mut session, "insert into t values (1)").await;
            fixture.engines[0].stop();
            sleep_ms(100).await;
            let (number, text) = query_error(&mut session, "insert into t values (2)").await;
            assert_eq!(number, expected, "{first}: {text}");
            let committed = fixture.committed().len();
            assert_eq!(committed, usize::from(expected == MAY_HAVE_RUN), "{first}");
        }
    });
}
