//! Engines that end in order in the middle of a sticky session, and report it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use session_fixture::{Fixture, query_error, query_rows, run, start};
use testbed::clients::mysql::error;

/// MySQL's error for a deadlock, SQLSTATE 40001: the transaction is rolled back and can be begun again.
const ROLLED_BACK: u16 = 1213;
/// MySQL's error for an interrupted query: the statement may have run.
const MAY_HAVE_RUN: u16 = 1317;
/// An engine's errors that report the end of its process or of the connection: shutdown, not available, killed (MySQL and
/// MariaDB), idle for too long.
const ENDS: [u16; 5] = [1053, 3168, 3169, 1927, 4031];

const INSERT: &str = "insert into t values (1)";
const UPDATE: &str = "update t set a = 2";

/// Executes `earlier` in a new session, then `last`, which the engine answers with this error, and returns the number of
/// the error that the client gets. The session can be used afterwards.
async fn error_of_client(
    fixture: &Fixture,
    earlier: &[&str],
    last: &str,
    engine_error: u16,
) -> u16 {
    let mut session = fixture.session().await;
    for sql in earlier {
        query_rows(&mut session, sql).await;
    }
    fixture.engines[0].fail_next(last, engine_error);
    let (number, _) = query_error(&mut session, last).await;
    query_rows(&mut session, "select 1").await;
    number
}

/// Guards against an engine's error that reaches the client of a transaction with another meaning: 1053 is the
/// dispatcher's own shutdown, whose client sends the statement again without what came before it.
#[test]
fn shutdown_of_an_engine_is_reported_as_the_end_of_the_transaction() {
    run(async {
        let fixture = start("shutdown", 1, "", "").await;
        for engine_error in ENDS {
            for (earlier, last, expected) in [
                (&["begin", INSERT][..], UPDATE, ROLLED_BACK),
                (&["begin", INSERT], "select a from t", ROLLED_BACK),
                (&["set autocommit = 0"], INSERT, ROLLED_BACK),
                (&["select get_lock('a', 1)"], UPDATE, MAY_HAVE_RUN),
                (&["begin", INSERT], "create table u (a int)", MAY_HAVE_RUN),
                (&["begin"], "commit", MAY_HAVE_RUN),
            ] {
                let number = error_of_client(&fixture, earlier, last, engine_error).await;
                assert_eq!(number, expected, "{engine_error}: {earlier:?}, {last}");
            }
        }
    });
}

/// Guards against the same for prepared statements, and against a client that is told an error for what it has asked for.
#[test]
fn shutdown_of_an_engine_is_reported_for_prepared_statements_and_not_for_a_rollback() {
    run(async {
        let fixture = start("shutdown-prepared", 1, "", "").await;
        let mut session = fixture.session().await;
        let (id, _) = session.prepare(UPDATE).await.unwrap();
        query_rows(&mut session, "begin").await;
        fixture.engines[0].fail_next(UPDATE, 1053);
        let lost = error(session.execute(id, false).await).unwrap();
        assert_eq!(lost.code, ROLLED_BACK, "{}", lost.message);
        query_rows(&mut session, "begin").await;
        query_rows(&mut session, INSERT).await;
        fixture.engines[0].fail_next("rollback", 1053);
        query_rows(&mut session, "rollback").await;
        assert_eq!(fixture.committed(), Vec::<String>::new());
    });
}

/// Guards against a write outside of a sticky session that is told as refused: the engine may have run it.
#[test]
fn shutdown_of_an_engine_makes_a_write_unknown_and_a_read_is_retried() {
    run(async {
        let fixture = start("shutdown-plain", 1, "", "").await;
        for engine_error in ENDS {
            let number = error_of_client(&fixture, &[], INSERT, engine_error).await;
            assert_eq!(number, MAY_HAVE_RUN, "{engine_error}");
            let mut session = fixture.session().await;
            fixture.engines[0].fail_next("select a from t", engine_error);
            query_rows(&mut session, "select a from t").await;
        }
    });
}
