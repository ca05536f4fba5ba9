//! Tests of MySQL sessions against the program: settings that migrate with a session, transactions, and other
//! state that makes a session sticky. Fake engines record the statements that were committed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use mysql_async::prelude::Queryable;
use mysql_async::{Conn, IsolationLevel, OptsBuilder, TxOpts};
use query_dispatcher::protocol::mysql::packet::{COM_QUERY, COM_RESET_CONNECTION};
use session_fixture::{query_error, query_rows, run, sleep_ms, start};
use testbed::clients::mysql::{Session, SessionOptions, texts};
use testbed::fakes::engine::Engine;

#[test]
fn driver_connects_with_defaults_and_its_transactions_are_isolated() {
    run(async {
        let fixture = start("driver", 2, "", "").await;
        let opts = OptsBuilder::default()
            .ip_or_hostname(fixture.program.address.ip().to_string())
            .tcp_port(fixture.program.address.port())
            .user(Some("guest"))
            .pass(Some("guest"));
        let mut connection = Conn::new(opts).await.unwrap();
        let mut options = TxOpts::new();
        options.with_isolation_level(IsolationLevel::ReadCommitted);
        let mut transaction = connection.start_transaction(options).await.unwrap();
        transaction
            .query_drop("insert into t values (1)")
            .await
            .unwrap();
        transaction
            .exec_drop("insert into t values (?)", (2,))
            .await
            .unwrap();
        assert_eq!(fixture.committed(), Vec::<String>::new());
        transaction.commit().await.unwrap();
        let mut transaction = connection.start_transaction(TxOpts::new()).await.unwrap();
        transaction
            .query_drop("insert into t values (3)")
            .await
            .unwrap();
        transaction.rollback().await.unwrap();
        assert_eq!(
            fixture.committed(),
            ["insert into t values (1)", "insert into t values (?)"]
        );
        connection
            .query_drop("SET time_zone = '+04:00', @depot := 'Curepipe'")
            .await
            .unwrap();
        let row: Option<(String, String)> = connection
            .query_first("select @@time_zone, @depot")
            .await
            .unwrap();
        assert_eq!(row, Some(("+04:00".into(), "Curepipe".into())));
        connection.reset().await.unwrap();
        let row: Option<(String, Option<String>)> = connection
            .query_first("select @@time_zone, @depot")
            .await
            .unwrap();
        assert_eq!(row, Some(("SYSTEM".into(), None)));
    });
}

#[test]
fn transaction_has_a_connection_of_its_own() {
    run(async {
        let fixture = start("one", 2, "", "").await;
        let (mut a, mut b) = (fixture.session().await, fixture.session().await);
        query_rows(&mut a, "set autocommit = 0").await;
        query_rows(&mut a, "insert into t values (1)").await;
        for _ in 0..5 {
            query_rows(&mut b, "insert into u values (1)").await;
        }
        query_rows(&mut a, "update t set a = 2").await;
        assert_eq!(
            fixture.committed().len(),
            5,
            "only the statements of the other session are committed"
        );
        query_rows(&mut a, "set autocommit = 1").await;
        assert_eq!(
            fixture.committed().len(),
            7,
            "enabling autocommit commits the open transaction"
        );
        let connections_of = |table: &str| {
            let executions = fixture.engines.iter().flat_map(|e| {
                e.executions()
                    .into_iter()
                    .map(|execution| (e.name().to_string(), execution))
            });
            let mut connections: Vec<_> = executions
                .filter(|(_, execution)| execution.sql.contains(table))
                .map(|(engine, execution)| (engine, execution.connection))
                .collect();
            connections.sort();
            connections.dedup();
            connections
        };
        let (in_transaction, other) = (connections_of(" t "), connections_of(" u "));
        assert_eq!(in_transaction.len(), 1, "{in_transaction:?}");
        assert!(
            !other.contains(&in_transaction[0]),
            "{other:?} include {in_transaction:?}"
        );
    });
}

#[test]
fn session_settings_are_validated_migrate_and_do_not_leak() {
    run(async {
        // With one connection to each engine, all sessions share the connections.
        let fixture = start("settings", 2, "", "").await;
        let (mut a, mut b) = (fixture.session().await, fixture.session().await);
        let (number, text) = query_error(&mut a, "SET sql_mode = 'NONSENSE'").await;
        assert_eq!(number, 1231, "{text}");
        assert_eq!(query_error(&mut a, "SET no_such_thing = 1").await.0, 1193);
        assert_eq!(query_error(&mut a, "SET time_zone =").await.0, 1064);
        assert_eq!(
            query_error(&mut a, "SET GLOBAL time_zone = 'x'").await.0,
            1235
        );
        query_rows(
            &mut a,
            "SET sql_mode=(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT')),time_zone='+00:00',NAMES utf8mb4",
        )
        .await;
        let query = "select engine(), @@sql_mode, @@time_zone, @@autocommit";
        let first = query_rows(&mut a, query).await.remove(0);
        assert!(
            first[1].ends_with(",PIPES_AS_CONCAT") && first[2] == "+00:00",
            "{first:?}"
        );
        let other = query_rows(&mut b, query).await.remove(0);
        assert!(
            !other[1].contains("PIPES") && other[2] == "SYSTEM",
            "{other:?}"
        );
        let on = fixture
            .engines
            .iter()
            .find(|e| e.name() == first[0])
            .unwrap();
        fixture.call_operator_action("detach", on).await;
        let moved = query_rows(&mut a, query).await.remove(0);
        assert!(
            moved[0] != first[0] && moved[1..] == first[1..],
            "{moved:?} after {first:?}"
        );
    });
}

#[test]
fn prepared_statement_uses_current_settings_after_migration() {
    run(async {
        let fixture = start("prepared", 2, "", "").await;
        let mut s = fixture.session().await;
        let query = "select engine(), @@time_zone";
        let (id, _) = s.prepare(query).await.unwrap();
        // A binary row begins with two bytes before its values.
        let first_row =
            |a: &testbed::clients::mysql::Answer| -> Vec<String> { texts(&a.rows[0].slice(2..)) };
        let first = first_row(&s.execute(id, false).await.unwrap());
        assert_eq!(first[1], "SYSTEM");
        query_rows(&mut s, "SET time_zone = '+04:00'").await;
        fixture
            .call_operator_action(
                "detach",
                fixture
                    .engines
                    .iter()
                    .find(|e| e.name() == first[0])
                    .unwrap(),
            )
            .await;
        let moved = first_row(&s.execute(id, false).await.unwrap());
        assert!(moved[0] != first[0] && moved[1] == "+04:00", "{moved:?}");
    });
}

#[test]
fn transaction_on_a_draining_engine_finishes_or_is_rolled_back() {
    run(async {
        let fixture = start("drain", 2, "", "[pins]\ndrain_s = 0.6").await;
        let (mut a, mut b) = (fixture.session().await, fixture.session().await);
        for (s, n) in [(&mut a, 1), (&mut b, 2)] {
            query_rows(s, "begin").await;
            query_rows(s, &format!("insert into t values ({n})")).await;
        }
        for e in &fixture.engines {
            fixture.call_operator_action("detach", e).await;
        }
        query_rows(&mut a, "insert into t values (3)").await;
        query_rows(&mut a, "commit").await;
        sleep_ms(1500).await;
        let (number, text) = query_error(&mut b, "insert into t values (4)").await;
        assert!(
            number == 1213 && text.contains("rolled back") && text.contains("drains"),
            "{number} {text}"
        );
        assert_eq!(
            fixture.committed(),
            ["insert into t values (1)", "insert into t values (3)"]
        );
        assert_eq!(
            query_error(&mut b, "begin").await.0,
            3168,
            "no engine accepts a new transaction"
        );
        fixture
            .call_operator_action("attach", &fixture.engines[0])
            .await;
        fixture
            .call_operator_action("attach", &fixture.engines[1])
            .await;
        query_rows(&mut b, "begin").await;
        query_rows(&mut b, "rollback").await;
    });
}

#[test]
fn engine_death_after_commit_reports_unknown_and_retries_nothing() {
    run(async {
        let fixture = start("commit", 2, "", "").await;
        let mut s = fixture.session().await;
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (1)").await;
        for engine in &fixture.engines {
            engine.lose_next_response("commit");
        }
        let (number, text) = query_error(&mut s, "commit").await;
        assert!(
            number == 1317 && text.contains("not known whether"),
            "{number} {text}"
        );
        sleep_ms(300).await;
        assert_eq!(
            fixture.committed(),
            ["insert into t values (1)"],
            "the commit has taken effect in this case"
        );
        assert_eq!(
            (
                fixture.execution_count("insert into t values (1)"),
                fixture.execution_count("begin")
            ),
            (1, 1)
        );
        query_rows(&mut s, "select 1 from t").await;
    });
}

#[test]
fn engine_death_rolls_back_and_the_session_continues_elsewhere() {
    run(async {
        let fixture = start("dies", 2, "", "").await;
        let mut s = fixture.session().await;
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (1)").await;
        fixture.partition_by_execution("begin").0.stop();
        let (number, text) = query_error(&mut s, "insert into t values (2)").await;
        assert!(
            number == 1213 && text.contains("rolled back"),
            "{number} {text}"
        );
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (3)").await;
        query_rows(&mut s, "commit").await;
        assert_eq!(fixture.committed(), ["insert into t values (3)"]);
        // A rollback succeeds after the engine's death has rolled the transaction back.
        query_rows(&mut s, "begin").await;
        fixture.engines.iter().for_each(Engine::stop);
        sleep_ms(50).await;
        query_rows(&mut s, "rollback").await;
    });
}

#[test]
fn idle_or_abandoned_transaction_is_rolled_back_and_its_slot_freed() {
    run(async {
        let fixture = start("idle", 1, "", "[pins]\nidle_s = 0.5\nmost = 1").await;
        let mut s = fixture.session().await;
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (1)").await;
        let mut other = fixture.session().await;
        let (number, text) = query_error(&mut other, "begin").await;
        assert!(
            number == 1203 && text.contains("too many sessions"),
            "{number} {text}"
        );
        query_rows(&mut other, "select 1 from t").await;
        sleep_ms(1200).await;
        let (number, text) = query_error(&mut s, "commit").await;
        assert!(
            number == 1213 && text.contains("too long"),
            "{number} {text}"
        );
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (2)").await;
        drop(s);
        sleep_ms(200).await;
        query_rows(&mut other, "begin").await;
        query_rows(&mut other, "commit").await;
        assert_eq!(fixture.committed(), Vec::<String>::new());
    });
}

#[test]
fn connection_state_keeps_the_session_sticky_until_reset() {
    run(async {
        let fixture = start("holds", 2, "", "").await;
        for (acquire, release) in [
            ("create temporary table x (a int)", ""),
            ("select get_lock('a', 1)", ""),
            ("select a into @n from t", ""),
            ("lock tables t write", "unlock tables"),
        ] {
            let mut s = fixture.session().await;
            query_rows(&mut s, acquire).await;
            let connection = query_rows(&mut s, "select engine(), connection_id()").await;
            for _ in 0..4 {
                assert_eq!(
                    query_rows(&mut s, "select engine(), connection_id()").await,
                    connection,
                    "{acquire}"
                );
            }
            match release {
                "" => {
                    s.send(COM_RESET_CONNECTION, &[]).await.unwrap();
                    s.answer().await.unwrap();
                    sleep_ms(50).await;
                    assert_ne!(
                        query_rows(&mut s, "select engine(), connection_id()").await,
                        connection,
                        "{acquire}"
                    );
                }
                sql => drop(query_rows(&mut s, sql).await),
            }
            assert_eq!(
                fixture
                    .program
                    .log()
                    .iter()
                    .filter(|line| line.contains("panicked"))
                    .count(),
                0
            );
        }
    });
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    run(async {
        let fixture = start("early", 2, "", "").await;
        let mut s = fixture.session().await;
        let statements = [
            "begin",
            "insert into t values (1)",
            "select a from t",
            "commit",
            "select engine()",
        ];
        for sql in statements {
            s.send(COM_QUERY, &[sql.as_bytes()]).await.unwrap();
        }
        for (sql, rows) in statements.into_iter().zip([0, 0, 1, 0, 1]) {
            assert_eq!(s.answer().await.unwrap().rows.len(), rows, "{sql}");
        }
        assert_eq!(fixture.committed(), ["insert into t values (1)"]);
    });
}

#[test]
fn five_hundred_sessions_fill_256_slots_and_idle_ones_use_no_upstream() {
    run(async {
        let fixture = start("idlers", 2, "max_clients = 256", "").await;
        let (mut sessions, mut rejected) = (vec![], 0);
        for _ in 0..500 {
            match Session::log_in(
                fixture.program.address,
                "guest",
                "guest",
                SessionOptions::default(),
            )
            .await
            {
                Ok(s) => sessions.push(s),
                Err(_) => rejected += 1,
            }
        }
        assert_eq!((sessions.len(), rejected), (256, 244));
        for s in &mut sessions {
            query_rows(s, "set autocommit = 0").await;
            query_rows(s, "insert into t values (1)").await;
            query_rows(s, "commit").await;
        }
        assert_eq!(fixture.committed().len(), 256);
        let connections: u32 = fixture
            .engines
            .iter()
            .map(|e| {
                e.executions()
                    .iter()
                    .map(|r| r.connection)
                    .max()
                    .unwrap_or(0)
            })
            .sum();
        assert!(
            connections <= 8,
            "{connections} connections for sessions that are active one at a time"
        );
    });
}

#[test]
fn unsupported_statement_in_a_transaction_is_reported_and_keeps_it_open() {
    run(async {
        let fixture = start("refused", 1, "", "").await;
        let mut s = fixture.session().await;
        query_rows(&mut s, "begin").await;
        query_rows(&mut s, "insert into t values (1)").await;
        for sql in ["xa start 'x'", "call p()", "shutdown", "select 1; select 2"] {
            assert_eq!(query_error(&mut s, sql).await.0, 1235, "{sql}");
        }
        query_rows(&mut s, "commit").await;
        assert_eq!(fixture.committed(), ["insert into t values (1)"]);
    });
}
