//! Faults of the MySQL frontend that clients met: each test plays one class of them against the program.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use query_dispatcher::protocol::mysql::packet::COM_QUERY;
use session_fixture::{query_error, query_rows, run, sleep_ms, start};
use std::time::Duration;

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
        let mut s = fixture.session().await;
        let nested = "(".repeat(OPEN_PARENTHESES);
        let closed = ")".repeat(OPEN_PARENTHESES / 2);
        for sql in [
            format!("SET @x = {nested}"),
            format!("SET @x := 1, sql_mode = {nested}"),
            format!("SET SESSION sql_mode = concat{nested}"),
            format!("SET @x = {}{closed})", &nested[..OPEN_PARENTHESES / 2]),
            format!("SET @x = '(', @y = (`(`, \"(\", {}", &nested[..16_000]),
        ] {
            let (number, text) = query_error(&mut s, &sql).await;
            assert_eq!(number, SYNTAX_ERROR, "{text}");
        }
        other.answer().await.unwrap();
        assert_eq!(fixture.committed(), ["insert into t values (7)"]);
        query_rows(&mut s, "SET @x = ((((1)))), @y = (select concat('(', 'b'))").await;
        assert_eq!(query_rows(&mut s, "select @x, @y").await, [["1", "(b"]]);
    });
}
