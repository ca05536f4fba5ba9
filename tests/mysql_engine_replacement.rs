//! A new process of an engine at the address of one that is gone: what was meant for the old one reaches nobody else.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use query_dispatcher::protocol::mysql::packet::COM_QUERY;
use session_fixture::{run, sleep_ms, start};
use std::time::Duration;
use testbed::clients::mysql::error;

/// Execution time of the statement that is abandoned, and of the other one.
const ABANDONED_TIME: Duration = Duration::from_secs(8);
const OTHER_TIME: Duration = Duration::from_secs(1);

/// Guards against a KILL that ends another client's statement: the new process numbers its connections from one.
#[test]
fn the_kill_of_an_abandoned_statement_ends_no_statement_of_a_new_process() {
    run(async {
        for age_ms in [0, 2200] {
            let fixture = start(&format!("kill-{age_ms}"), 1, "", "").await;
            let engine = &fixture.engines[0];
            let mut leaving = fixture.session().await;
            engine.set_execution_time(ABANDONED_TIME);
            leaving
                .send(COM_QUERY, &[b"insert into t values (1)"])
                .await
                .unwrap();
            sleep_ms(100 + age_ms).await;
            engine.vanish();
            sleep_ms(20).await;
            engine.restart().await.unwrap();
            engine.set_execution_time(OTHER_TIME);
            let mut staying = fixture.session().await;
            staying
                .send(COM_QUERY, &[b"insert into t values (2)"])
                .await
                .unwrap();
            sleep_ms(300).await;
            let process = |sql: &str| {
                let executions = engine.executions();
                let execution = executions.into_iter().find(|e| e.sql.contains(sql));
                execution.map(|execution| execution.process)
            };
            assert_eq!((process("(1)"), process("(2)")), (Some(1), Some(2)));
            drop(leaving);
            let answer = staying.answer().await;
            assert!(answer.is_ok(), "{age_ms} ms: {:?}", error(answer));
        }
    });
}
