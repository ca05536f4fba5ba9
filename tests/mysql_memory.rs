//! The memory of a process with the MySQL frontend while clients hold all that they can.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use query_dispatcher::protocol::mysql::packet::{COM_STMT_CLOSE, COM_STMT_SEND_LONG_DATA};
use session_fixture::{Fixture, query_rows, run, sleep_ms, start};
use testbed::clients::mysql::error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Memory that a process is built for, in megabytes.
const MEMORY_MB: f64 = 192.0;
/// Number of clients, below the default maximum of 256.
const CLIENTS: usize = 240;
/// Size of a packet just below the default maximum of 1 MiB.
const LARGE_PACKET_BYTES: usize = 1_000_000;
/// MySQL's error for too little memory.
const OUT_OF_RESOURCES: u16 = 1041;

fn assert_within_memory(fixture: &Fixture) {
    let (_, peak) = fixture.program.memory();
    println!("peak memory {peak:.1} MB");
    assert!(peak <= MEMORY_MB, "{peak:.1} MB");
}

/// Clients need not log in for it.
#[test]
fn clients_that_stop_half_way_through_a_large_packet_stay_within_the_memory_limit() {
    run(async {
        let fixture = start("half-packets", 1, "", "").await;
        let mut usual = fixture.session().await;
        let [low, middle, high, _] = (LARGE_PACKET_BYTES as u32).to_le_bytes();
        let mut packet = vec![low, middle, high, 1];
        packet.resize(LARGE_PACKET_BYTES - 1000, b'x');
        let mut clients = vec![];
        for _ in 0..CLIENTS {
            let mut tcp = TcpStream::connect(fixture.program.address).await.unwrap();
            // A client without memory is answered and cut while it still writes.
            let _ = tcp.write_all(&packet).await;
            clients.push(tcp);
        }
        sleep_ms(300).await;
        assert_eq!(query_rows(&mut usual, "select 1").await.len(), 1);
        assert_within_memory(&fixture);
    });
}

#[test]
fn prepared_statements_and_long_data_of_one_session_stay_within_the_memory_limit() {
    run(async {
        let fixture = start("prepared-memory", 1, "", "").await;
        let mut session = fixture.session().await;
        let mut usual = fixture.session().await;
        let padding = "x".repeat(LARGE_PACKET_BYTES);
        let mut refused = 0;
        let mut prepared = vec![];
        for number in 0..240 {
            // Half of the statements are long, the others get long data.
            let text = match number % 2 {
                0 => format!("insert into t values ({number}, '{padding}')"),
                _ => format!("insert into t values ({number}, ?)"),
            };
            match session.prepare(&text).await {
                Ok((id, _)) => {
                    prepared.push((number, id));
                    if number % 2 == 1 {
                        // The definition of the parameter, and the end of the definitions.
                        session.packet().await.unwrap();
                        session.packet().await.unwrap();
                    }
                }
                Err(failure) => {
                    let failure = error::<()>(Err(failure)).expect("an error of the dispatcher");
                    assert_eq!(failure.code, OUT_OF_RESOURCES, "{}", failure.message);
                    refused += 1;
                }
            }
        }
        assert!(refused > 0, "not all of 120 MB are kept");
        for (_, id) in prepared.iter().filter(|(number, _)| number % 2 == 1) {
            let body = [&id.to_le_bytes()[..], &[0, 0], padding.as_bytes()];
            session.send(COM_STMT_SEND_LONG_DATA, &body).await.unwrap();
        }
        sleep_ms(300).await;
        assert_within_memory(&fixture);
        drop(session);
        sleep_ms(100).await;
        assert_eq!(query_rows(&mut usual, "select 1").await.len(), 1);
    });
}

/// Guards against the texts of statements that connections to engines keep prepared after their sessions closed them.
#[test]
fn long_statements_that_are_prepared_and_closed_stay_within_the_memory_limit() {
    /// Largest growth of the process's memory, in megabytes.
    const MAX_GROWTH_MB: f64 = 32.0;
    run(async {
        let fixture = start("closed-statements", 1, "", "").await;
        let mut session = fixture.session().await;
        query_rows(&mut session, "select 1").await;
        let (_, memory_before) = fixture.program.memory();
        let padding = "x".repeat(LARGE_PACKET_BYTES);
        for number in 0..70 {
            let sql = format!("insert into t values ({number}, '{padding}')");
            let (id, _) = session.prepare(&sql).await.unwrap();
            session
                .send(COM_STMT_CLOSE, &[&id.to_le_bytes()])
                .await
                .unwrap();
        }
        let (_, memory_after) = fixture.program.memory();
        println!("{memory_before:.1} to {memory_after:.1} MB");
        assert!(memory_after - memory_before < MAX_GROWTH_MB);
    });
}
