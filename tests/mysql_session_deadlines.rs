//! The end of the wait for the first statement of a sticky session: by the deadline of its class until an engine has
//! begun with it, by the limits of sticky sessions afterwards.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use session_fixture::{Fixture, query_error, query_rows, run, start};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// MySQL's error for an interrupted query: the statement may have run.
const MAY_HAVE_RUN: u16 = 1317;
/// MySQL's error for a statement whose time is over.
const TIMED_OUT: u16 = 3024;
const HARMLESS: &str = "sending it again does no harm";

const DEADLINE: Duration = Duration::from_millis(400);
const TRANSACTION_CLASS: &str = "transaction_class = \"transaction\"";
const CLASS_TABLE: &str = r#"
[[class]]
name = "transaction"
worth = 4.0
aim_ms = 100.0
deadline_ms = 400.0
threads = 2
unsafe = true
"#;

/// First statements on a held connection, each after a statement that is answered without one.
const FIRST_STATEMENTS: [(&str, &str); 5] = [
    (
        "set @a = 1",
        "load data infile 'f' into table t (a, @cents)",
    ),
    ("set @a = 1", "create temporary table x as select * from t"),
    ("set @a = 1", "select get_lock('a', 1), a from t"),
    ("set autocommit = 0", "insert into t values (1)"),
    ("set autocommit = 0", "create table u (a int)"),
];

/// Starts a dispatcher with one engine, which takes `execution_time` for each statement.
async fn start_slow(name: &str, execution_time: Duration, limits: &str) -> Fixture {
    let tables = format!("{CLASS_TABLE}{limits}");
    let fixture = start(name, 1, TRANSACTION_CLASS, &tables).await;
    fixture.engines[0].set_execution_time(execution_time);
    fixture
}

/// Guards against a statement that its engine has begun and that is told as harmless to repeat at its class's deadline:
/// its client sent it again, and both took effect.
#[test]
fn first_statement_that_an_engine_has_begun_is_awaited_beyond_its_deadline() {
    run(async {
        let fixture = start_slow("first", 2 * DEADLINE, "").await;
        for (earlier, first) in FIRST_STATEMENTS {
            let mut session = fixture.session().await;
            query_rows(&mut session, earlier).await;
            let before = fixture.execution_count(first);
            query_rows(&mut session, first).await;
            assert_eq!(fixture.execution_count(first), before + 1, "{first}");
        }
        let mut session = fixture.session().await;
        let insert = "insert into t values (2)";
        let (id, _) = session.prepare(insert).await.unwrap();
        query_rows(&mut session, "set autocommit = 0").await;
        session.execute(id, false).await.unwrap();
        assert_eq!(fixture.execution_count(insert), 1);
    });
}

/// Guards against the same where the limit of sticky sessions ends the wait: the statement may have run.
#[test]
fn first_statement_that_the_limit_of_its_session_ends_may_have_run() {
    run(async {
        let limits = "[pins]\nlongest_s = 0.8";
        let fixture = start_slow("limit", Duration::from_secs(5), limits).await;
        for (earlier, first) in FIRST_STATEMENTS {
            if first.starts_with("insert") {
                // It opens a transaction, which is rolled back.
                continue;
            }
            let mut session = fixture.session().await;
            query_rows(&mut session, earlier).await;
            let (number, text) = query_error(&mut session, first).await;
            assert_eq!(number, MAY_HAVE_RUN, "{first}: {text}");
            assert!(!text.contains(HARMLESS), "{first}: {text}");
        }
    });
}

/// Guards against a client that waits longer than its class allows for an engine that never begins.
#[test]
fn first_statement_that_no_engine_begins_ends_at_its_deadline() {
    const SLACK: Duration = Duration::from_secs(2);
    run(async {
        // The system accepts connections, and nobody greets them.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = silent.local_addr().unwrap();
        let tables = format!("[[engine]]\nid = \"silent\"\naddress = \"{address}\"\n{CLASS_TABLE}");
        let top = format!("connect_timeout_ms = 5000\n{TRANSACTION_CLASS}");
        let fixture = start("unbegun", 0, &top, &tables).await;
        let mut session = fixture.session().await;
        let sent = Instant::now();
        let (number, text) = query_error(&mut session, "begin").await;
        assert_eq!(number, TIMED_OUT, "{text}");
        assert!(text.contains(HARMLESS), "{text}");
        assert!((DEADLINE..DEADLINE + SLACK).contains(&sent.elapsed()));
    });
}
