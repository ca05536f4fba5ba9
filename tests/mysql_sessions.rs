//! Sessions as drivers open them, on the program itself: settings that move with the session, transactions and what
//! else keeps it on one engine connection. Engines are stand-ins that keep account of what became lasting.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use mysql_async::prelude::Queryable;
use mysql_async::{Conn, IsolationLevel, OptsBuilder, TxOpts};
use query_dispatcher::protocol::mysql::packet::{COM_QUERY, COM_RESET_CONNECTION};
use std::path::Path;
use std::time::Duration;
use testbed::clients::mysql::{Session, SessionOptions, error, texts};
use testbed::fakes::engine::Engine;
use testbed::fixture;
use testbed::program::{Folder, Program};
use tokio::task::LocalSet;

fn play(f: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let timed = async {
        tokio::time::timeout(Duration::from_secs(60), f)
            .await
            .expect("it takes too long")
    };
    LocalSet::new().block_on(&runtime, timed)
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Engines, and a dispatcher before them; `top` and `more` are keys and tables of its file.
struct Stand {
    engines: Vec<Engine>,
    program: Program,
    _folder: Folder,
}

async fn stand(name: &str, engines: usize, top: &str, more: &str) -> Stand {
    let engines = fixture::engines(engines, Duration::from_millis(1))
        .await
        .unwrap();
    let list = engines.iter().map(|e| {
        format!(
            "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
            e.name(),
            e.address()
        )
    });
    let text = fixture::dispatcher_file(top, &format!("{}{more}", list.collect::<String>()));
    let folder = Folder::new(&format!("sessions-{name}")).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let program = Program::start(binary, &folder, "a", &text).await.unwrap();
    Stand {
        engines,
        program,
        _folder: folder,
    }
}

impl Stand {
    async fn session(&self) -> Session {
        Session::log_in(
            self.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await
        .unwrap()
    }

    fn lasting(&self) -> Vec<String> {
        let mut all: Vec<String> = self.engines.iter().flat_map(Engine::committed).collect();
        all.sort();
        all
    }

    fn ran(&self, sql: &str) -> usize {
        self.engines
            .iter()
            .flat_map(Engine::executions)
            .filter(|r| r.sql == sql)
            .count()
    }

    /// The engine that has run this, and the others.
    fn parted(&self, sql: &str) -> (&Engine, Vec<&Engine>) {
        let ran = |e: &&Engine| e.executions().iter().any(|r| r.sql == sql);
        let one = self.engines.iter().find(ran).unwrap();
        (
            one,
            self.engines
                .iter()
                .filter(|e| e.name() != one.name())
                .collect(),
        )
    }

    async fn administratively_drained(&self, what: &str, engine: &Engine) {
        let path = format!("/_engines/{what}/{}", engine.name());
        assert_eq!(self.program.call("POST", &path).await.unwrap().0, 200);
    }
}

async fn says(s: &mut Session, sql: &str) -> Vec<Vec<String>> {
    let answer = s.query(sql).await.unwrap_or_else(|e| panic!("{sql}: {e}"));
    answer.rows.iter().map(texts).collect()
}

async fn code(s: &mut Session, sql: &str) -> (u16, String) {
    let e = error(s.query(sql).await).unwrap_or_else(|| panic!("{sql} brings no error"));
    (e.code, e.message)
}

#[test]
fn driver_connects_with_defaults_and_its_transactions_are_isolated() {
    play(async {
        let stand = stand("driver", 2, "", "").await;
        let opts = OptsBuilder::default()
            .ip_or_hostname(stand.program.address.ip().to_string())
            .tcp_port(stand.program.address.port())
            .user(Some("guest"))
            .pass(Some("guest"));
        let mut c = Conn::new(opts).await.unwrap();
        let mut how = TxOpts::new();
        how.with_isolation_level(IsolationLevel::ReadCommitted);
        let mut t = c.start_transaction(how).await.unwrap();
        t.query_drop("insert into t values (1)").await.unwrap();
        t.exec_drop("insert into t values (?)", (2,)).await.unwrap();
        assert_eq!(stand.lasting(), Vec::<String>::new());
        t.commit().await.unwrap();
        let mut t = c.start_transaction(TxOpts::new()).await.unwrap();
        t.query_drop("insert into t values (3)").await.unwrap();
        t.rollback().await.unwrap();
        assert_eq!(
            stand.lasting(),
            ["insert into t values (1)", "insert into t values (?)"]
        );
        c.query_drop("SET time_zone = '+04:00', @depot := 'Curepipe'")
            .await
            .unwrap();
        let row: Option<(String, String)> =
            c.query_first("select @@time_zone, @depot").await.unwrap();
        assert_eq!(row, Some(("+04:00".into(), "Curepipe".into())));
        c.reset().await.unwrap();
        let row: Option<(String, Option<String>)> =
            c.query_first("select @@time_zone, @depot").await.unwrap();
        assert_eq!(row, Some(("SYSTEM".into(), None)));
    });
}

#[test]
fn transaction_has_a_connection_of_its_own() {
    play(async {
        let stand = stand("one", 2, "", "").await;
        let (mut a, mut b) = (stand.session().await, stand.session().await);
        says(&mut a, "set autocommit = 0").await;
        says(&mut a, "insert into t values (1)").await;
        for _ in 0..5 {
            says(&mut b, "insert into u values (1)").await;
        }
        says(&mut a, "update t set a = 2").await;
        assert_eq!(
            stand.lasting().len(),
            5,
            "only what the other session has changed"
        );
        says(&mut a, "set autocommit = 1").await;
        assert_eq!(stand.lasting().len(), 7, "which commits what is open");
        let of = |word: &str| {
            let all = stand.engines.iter().flat_map(|e| {
                e.executions()
                    .into_iter()
                    .map(|r| (e.name().to_string(), r))
            });
            let mut of: Vec<_> = all
                .filter(|(_, r)| r.sql.contains(word))
                .map(|(e, r)| (e, r.connection))
                .collect();
            of.sort();
            of.dedup();
            of
        };
        let (t, u) = (of(" t "), of(" u "));
        assert_eq!(t.len(), 1, "{t:?}");
        assert!(!u.contains(&t[0]), "{u:?} beside {t:?}");
    });
}

#[test]
fn session_settings_are_validated_migrate_and_do_not_leak() {
    play(async {
        // One connection to each engine: every session uses the same ones.
        let stand = stand("settings", 2, "", "").await;
        let (mut a, mut b) = (stand.session().await, stand.session().await);
        let (number, text) = code(&mut a, "SET sql_mode = 'NONSENSE'").await;
        assert_eq!(number, 1231, "{text}");
        assert_eq!(code(&mut a, "SET no_such_thing = 1").await.0, 1193);
        assert_eq!(code(&mut a, "SET time_zone =").await.0, 1064);
        assert_eq!(code(&mut a, "SET GLOBAL time_zone = 'x'").await.0, 1235);
        says(
            &mut a,
            "SET sql_mode=(SELECT CONCAT(@@sql_mode, ',PIPES_AS_CONCAT')),time_zone='+00:00',NAMES utf8mb4",
        )
        .await;
        let look = "select engine(), @@sql_mode, @@time_zone, @@autocommit";
        let first = says(&mut a, look).await.remove(0);
        assert!(
            first[1].ends_with(",PIPES_AS_CONCAT") && first[2] == "+00:00",
            "{first:?}"
        );
        let other = says(&mut b, look).await.remove(0);
        assert!(
            !other[1].contains("PIPES") && other[2] == "SYSTEM",
            "{other:?}"
        );
        let on = stand.engines.iter().find(|e| e.name() == first[0]).unwrap();
        stand.administratively_drained("detach", on).await;
        let moved = says(&mut a, look).await.remove(0);
        assert!(
            moved[0] != first[0] && moved[1..] == first[1..],
            "{moved:?} after {first:?}"
        );
    });
}

#[test]
fn prepared_statement_uses_current_settings_after_migration() {
    play(async {
        let stand = stand("prepared", 2, "", "").await;
        let mut s = stand.session().await;
        let look = "select engine(), @@time_zone";
        let (id, _) = s.prepare(look).await.unwrap();
        let told =
            |a: &testbed::clients::mysql::Answer| -> Vec<String> { texts(&a.rows[0].slice(2..)) };
        let first = told(&s.execute(id, false).await.unwrap());
        assert_eq!(first[1], "SYSTEM");
        says(&mut s, "SET time_zone = '+04:00'").await;
        stand
            .administratively_drained(
                "detach",
                stand.engines.iter().find(|e| e.name() == first[0]).unwrap(),
            )
            .await;
        let moved = told(&s.execute(id, false).await.unwrap());
        assert!(moved[0] != first[0] && moved[1] == "+04:00", "{moved:?}");
    });
}

#[test]
fn transaction_on_a_draining_engine_finishes_or_is_rolled_back() {
    play(async {
        let stand = stand("drain", 2, "", "[pins]\ndrain_s = 0.6").await;
        let (mut a, mut b) = (stand.session().await, stand.session().await);
        for (s, n) in [(&mut a, 1), (&mut b, 2)] {
            says(s, "begin").await;
            says(s, &format!("insert into t values ({n})")).await;
        }
        for e in &stand.engines {
            stand.administratively_drained("detach", e).await;
        }
        says(&mut a, "insert into t values (3)").await;
        says(&mut a, "commit").await;
        pass(1500).await;
        let (number, text) = code(&mut b, "insert into t values (4)").await;
        assert!(
            number == 1213 && text.contains("rolled back") && text.contains("drains"),
            "{number} {text}"
        );
        assert_eq!(
            stand.lasting(),
            ["insert into t values (1)", "insert into t values (3)"]
        );
        assert_eq!(
            code(&mut b, "begin").await.0,
            3168,
            "no engine takes anything new"
        );
        stand
            .administratively_drained("attach", &stand.engines[0])
            .await;
        stand
            .administratively_drained("attach", &stand.engines[1])
            .await;
        says(&mut b, "begin").await;
        says(&mut b, "rollback").await;
    });
}

#[test]
fn engine_death_after_commit_reports_unknown_and_retries_nothing() {
    play(async {
        let stand = stand("commit", 2, "", "").await;
        let mut s = stand.session().await;
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (1)").await;
        stand
            .engines
            .iter()
            .for_each(Engine::lose_next_commit_response);
        let (number, text) = code(&mut s, "commit").await;
        assert!(
            number == 1317 && text.contains("not known whether"),
            "{number} {text}"
        );
        pass(300).await;
        assert_eq!(
            stand.lasting(),
            ["insert into t values (1)"],
            "it holds, as it happens"
        );
        assert_eq!(
            (stand.ran("insert into t values (1)"), stand.ran("begin")),
            (1, 1)
        );
        says(&mut s, "select 1 from t").await;
    });
}

#[test]
fn engine_death_rolls_back_and_the_session_continues_elsewhere() {
    play(async {
        let stand = stand("dies", 2, "", "").await;
        let mut s = stand.session().await;
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (1)").await;
        stand.parted("begin").0.stop();
        let (number, text) = code(&mut s, "insert into t values (2)").await;
        assert!(
            number == 1213 && text.contains("rolled back"),
            "{number} {text}"
        );
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (3)").await;
        says(&mut s, "commit").await;
        assert_eq!(stand.lasting(), ["insert into t values (3)"]);
        // A rollback of what is rolled back is no error.
        says(&mut s, "begin").await;
        stand.engines.iter().for_each(Engine::stop);
        pass(50).await;
        says(&mut s, "rollback").await;
    });
}

#[test]
fn idle_or_abandoned_transaction_is_rolled_back_and_its_slot_freed() {
    play(async {
        let stand = stand("idle", 1, "", "[pins]\nidle_s = 0.5\nmost = 1").await;
        let mut s = stand.session().await;
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (1)").await;
        let mut other = stand.session().await;
        let (number, text) = code(&mut other, "begin").await;
        assert!(
            number == 1203 && text.contains("too many sessions"),
            "{number} {text}"
        );
        says(&mut other, "select 1 from t").await;
        pass(1200).await;
        let (number, text) = code(&mut s, "commit").await;
        assert!(
            number == 1213 && text.contains("too long"),
            "{number} {text}"
        );
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (2)").await;
        drop(s);
        pass(200).await;
        says(&mut other, "begin").await;
        says(&mut other, "commit").await;
        assert_eq!(stand.lasting(), Vec::<String>::new());
    });
}

#[test]
fn connection_state_keeps_the_session_sticky_until_reset() {
    play(async {
        let stand = stand("holds", 2, "", "").await;
        for (begins, ends) in [
            ("create temporary table x (a int)", ""),
            ("select get_lock('a', 1)", ""),
            ("select a into @n from t", ""),
            ("lock tables t write", "unlock tables"),
        ] {
            let mut s = stand.session().await;
            says(&mut s, begins).await;
            let number = says(&mut s, "select engine(), connection_id()").await;
            for _ in 0..4 {
                assert_eq!(
                    says(&mut s, "select engine(), connection_id()").await,
                    number,
                    "{begins}"
                );
            }
            match ends {
                "" => {
                    s.send(COM_RESET_CONNECTION, &[]).await.unwrap();
                    s.answer().await.unwrap();
                    pass(50).await;
                    assert_ne!(
                        says(&mut s, "select engine(), connection_id()").await,
                        number,
                        "{begins}"
                    );
                }
                sql => drop(says(&mut s, sql).await),
            }
            assert_eq!(
                stand
                    .program
                    .log()
                    .iter()
                    .filter(|l| l.contains("panicked"))
                    .count(),
                0
            );
        }
    });
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    play(async {
        let stand = stand("early", 2, "", "").await;
        let mut s = stand.session().await;
        let all = [
            "begin",
            "insert into t values (1)",
            "select a from t",
            "commit",
            "select engine()",
        ];
        for sql in all {
            s.send(COM_QUERY, &[sql.as_bytes()]).await.unwrap();
        }
        for (sql, rows) in all.into_iter().zip([0, 0, 1, 0, 1]) {
            assert_eq!(s.answer().await.unwrap().rows.len(), rows, "{sql}");
        }
        assert_eq!(stand.lasting(), ["insert into t values (1)"]);
    });
}

#[test]
fn five_hundred_sessions_fill_256_slots_and_idle_ones_use_no_upstream() {
    play(async {
        let stand = stand("idlers", 2, "max_clients = 256", "").await;
        let (mut all, mut refused) = (vec![], 0);
        for _ in 0..500 {
            match Session::log_in(
                stand.program.address,
                "guest",
                "guest",
                SessionOptions::default(),
            )
            .await
            {
                Ok(s) => all.push(s),
                Err(_) => refused += 1,
            }
        }
        assert_eq!((all.len(), refused), (256, 244));
        for s in &mut all {
            says(s, "set autocommit = 0").await;
            says(s, "insert into t values (1)").await;
            says(s, "commit").await;
        }
        assert_eq!(stand.lasting().len(), 256);
        let connections: u32 = stand
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
            "{connections} connections for sessions that take turns"
        );
    });
}

#[test]
fn unsupported_statement_in_a_transaction_is_reported_and_keeps_it_open() {
    play(async {
        let stand = stand("refused", 1, "", "").await;
        let mut s = stand.session().await;
        says(&mut s, "begin").await;
        says(&mut s, "insert into t values (1)").await;
        for sql in ["xa start 'x'", "call p()", "shutdown", "select 1; select 2"] {
            assert_eq!(code(&mut s, sql).await.0, 1235, "{sql}");
        }
        says(&mut s, "commit").await;
        assert_eq!(stand.lasting(), ["insert into t values (1)"]);
    });
}
