//! Compares everything that is visible from outside byte for byte with the files under `tests/data/external`:
//! error messages of configurations, the operators' HTTP address, the MySQL protocol, the datagrams between
//! peers and the protocols of the platform. Changes of names or of structure inside the program must not
//! change any of it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod external;
#[path = "recorded/mysql_client.rs"]
mod mysql_client;
mod process;
#[path = "recorded/program.rs"]
mod program;
mod recorded;

use external::configuration::*;
use external::platform_wire::{FakeServer, read_frame, request};
use external::statements::{COMMANDS, STATEMENTS};
use mysql_client::{MysqlClient, text};
use process::{FakeService, Program, connect, instance_json, journal_event};
use program::{call, start_mysql};
use query_dispatcher::gossip;
use recorded::{assert_recorded, printable};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

const USER: &str = "guest";

// ---- configuration ---------------------------------------------------------------------------------

#[test]
fn every_key_of_the_deployed_file_is_accepted() {
    let both = read_mysql_text(&deployed_file()).unwrap_err();
    assert_eq!(
        both,
        "eureka: engines are listed too: only one of both can be"
    );
    for without in [
        ["eureka", "max_result"],
        ["engine", "max_result"],
        ["eureka", "spool"],
    ] {
        assert_eq!(
            read_mysql(&mysql_document(&without)),
            Ok(()),
            "without {without:?}"
        );
    }
    assert_eq!(read_platform(&platform_document()), Ok(()));
}

#[test]
fn messages_about_the_operators_file() {
    let document = mysql_document(&["eureka", "max_result"]);
    assert_recorded(
        "external/mysql-keys.txt",
        &invalid_values(&document, read_mysql),
    );
    assert_recorded(
        "external/mysql-faults.txt",
        &faults(&document, read_mysql, &mysql_faults()),
    );
}

/// Returns the lines that start with `prefix`.
fn lines_with_prefix(lines: &str, prefix: &str) -> String {
    lines
        .lines()
        .filter(|line| line.starts_with(prefix))
        .map(|line| format!("{line}\n"))
        .collect()
}

#[test]
fn messages_about_the_bound_of_results_without_spools() {
    let lines = invalid_values(&mysql_document(&["eureka", "spool"]), read_mysql);
    assert_recorded(
        "external/mysql-max-result.txt",
        &lines_with_prefix(&lines, "/max_result"),
    );
}

#[test]
fn messages_about_registries() {
    let document = mysql_document(&["engine", "max_result"]);
    let keys = lines_with_prefix(&invalid_values(&document, read_mysql), "/eureka");
    assert_recorded("external/eureka-keys.txt", &keys);
    assert_recorded(
        "external/eureka-faults.txt",
        &faults(&document, read_mysql, &eureka_faults()),
    );
}

#[test]
fn messages_about_the_platforms_configuration() {
    let document = platform_document();
    assert_recorded(
        "external/platform-keys.txt",
        &invalid_values(&document, read_platform),
    );
    assert_recorded(
        "external/platform-faults.txt",
        &faults(&document, read_platform, &platform_faults()),
    );
}

// ---- the operators' address ------------------------------------------------------------------------

/// HTTP calls whose responses are recorded, in this order.
const CALLS: [(&str, &str); 20] = [
    ("GET", "/_ready"),
    ("POST", "/_ready"),
    ("GET", "/_vars"),
    ("GET", "/_vars?any=query"),
    ("PUT", "/_vars"),
    ("GET", "/_spools"),
    ("DELETE", "/_spools"),
    ("GET", "/_members"),
    ("POST", "/_members"),
    ("GET", "/"),
    ("GET", "/_vars/"),
    ("GET", "/_engines"),
    ("GET", "/_engines/detach/e0"),
    ("POST", "/_engines/detach/none"),
    ("POST", "/_engines/detach/e%"),
    ("POST", "/_engines/detach/e0"),
    ("GET", "/_vars"),
    ("POST", "/_engines/attach/e0"),
    ("GET", "/_vars"),
    ("G@T", "/_vars"),
];

fn responses(admin: SocketAddr) -> String {
    let response = |(method, path): &(&str, &str)| {
        format!(
            "> {method} {path}\n{}\n",
            call(admin, method, path).replace("\r\n", "\\r\\n\n")
        )
    };
    CALLS.iter().map(response).collect()
}

#[test]
fn the_operators_address_on_the_mysql_front() {
    let (program, _) = start_mysql(&mysql_file(testbed::fixture::ephemeral_address(), ""));
    assert_recorded("external/operators-mysql.txt", &responses(program.admin));
}

#[test]
fn the_operators_address_on_the_platform() {
    let journal = FakeService::down();
    let engine = process::Engine::new();
    let program = Program::run(
        &process::config(&[engine.address], journal.address, None),
        &[],
        None,
    );
    assert_recorded("external/operators-platform.txt", &responses(program.admin));
}

// ---- MySQL -----------------------------------------------------------------------------------------

/// Returns an operators' file with one engine, two users without a password and one with a password. `more`
/// is appended.
fn mysql_file(engine: SocketAddr, more: &str) -> String {
    format!(
        r#"listen = "127.0.0.1:0"
server_version = "8.0.0-recorded"
max_statements = 2
max_packet = 4096
read_class = "lookup"
write_class = "load"
[[user]]
name = "{USER}"
password = ""
[[user]]
name = "other"
password = ""
[[user]]
name = "locked"
password = "secret"
[[class]]
name = "lookup"
worth = 1.0
aim_ms = 1000.0
deadline_ms = 5000.0
[[class]]
name = "load"
worth = 4.0
aim_ms = 2000.0
deadline_ms = 10000.0
unsafe = true
[engines]
user = "lab"
password = "{password}"
[[engine]]
id = "e0"
address = "{engine}"
{more}"#,
        password = testbed::fakes::engine::PASSWORD,
    )
}

/// Starts a MySQL engine on its own thread, which runs as long as the test.
fn background_engine() -> SocketAddr {
    let (address_sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let engine = testbed::fakes::engine::Engine::start(
                "e0",
                testbed::fixture::ephemeral_address(),
                Duration::ZERO,
            )
            .await
            .unwrap();
            address_sender.send(engine.address()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

/// Replaces the connection id and the random scramble in a greeting by `#`.
fn masked_greeting(greeting: &[u8]) -> Vec<u8> {
    const SCRAMBLE_LENGTHS: [usize; 2] = [8, 12];
    /// Size of the fields between both parts of the scramble: a zero byte, capabilities, character set,
    /// status, capabilities, a length and ten zero bytes.
    const BETWEEN: usize = 1 + 2 + 1 + 2 + 2 + 1 + 10;
    let connection_id = 1 + greeting[1..].iter().position(|byte| *byte == 0).unwrap() + 1;
    let first = connection_id + 4;
    let second = first + SCRAMBLE_LENGTHS[0] + BETWEEN;
    let mut masked = greeting.to_vec();
    masked[connection_id..first + SCRAMBLE_LENGTHS[0]].fill(b'#');
    masked[second..second + SCRAMBLE_LENGTHS[1]].fill(b'#');
    masked
}

#[test]
fn the_greeting_and_refused_log_ins() {
    const PROTOCOL_41: u32 = 1 << 9;
    const SECURE_CONNECTION: u32 = 1 << 15;
    let (program, _) = start_mysql(&mysql_file(testbed::fixture::ephemeral_address(), ""));
    let greeting = MysqlClient::connect(program.address).greeting;
    let mut recorded = format!("greeting: {}\n", printable(&masked_greeting(&greeting)));
    let capabilities = PROTOCOL_41 | SECURE_CONNECTION;
    for (user, proof) in [
        ("nobody", &[][..]),
        ("locked", &[]),
        ("locked", &[7; 20]),
        (USER, &[7; 20]),
    ] {
        let answer = MysqlClient::connect(program.address).authenticate(capabilities, user, proof);
        recorded += &format!(
            "log-in of {user}, {} bytes of proof:\n{}",
            proof.len(),
            answer.text()
        );
    }
    let accepted = MysqlClient::connect(program.address).authenticate(capabilities, USER, &[]);
    recorded += &format!("log-in of {USER}:\n{}", accepted.text());
    assert_recorded("external/mysql-log-in.txt", &recorded);
}

#[test]
fn answers_to_statements_and_commands() {
    let (program, _) = start_mysql(&mysql_file(background_engine(), ""));
    let mut client = MysqlClient::log_in(program.address, USER);
    let mut recorded = String::new();
    for statement in STATEMENTS {
        recorded += &format!("> {statement}\n{}", text(&client.query(statement)));
    }
    for (name, kind, body) in COMMANDS {
        recorded += &format!("command {name}\n{}", text(&client.command(kind, body)));
    }
    recorded += &format!("an empty packet\n{}", text(&client.raw(&[])));
    recorded += &format!(
        "a packet above the bound\n{}",
        text(&client.raw(&[b'x'; 5000]))
    );
    assert_recorded("external/mysql-answers.txt", &recorded);
}

#[test]
fn another_users_session_and_engines_out_by_hand() {
    let (program, _) = start_mysql(&mysql_file(background_engine(), ""));
    let mut client = MysqlClient::log_in(program.address, USER);
    assert!(call(program.admin, "POST", "/_engines/detach/e0").starts_with("HTTP/1.1 200 "));
    let mut recorded = String::new();
    for statement in ["select 1", "insert into crates values (1)", "KILL QUERY 1"] {
        recorded += &format!("> {statement}\n{}", text(&client.query(statement)));
    }
    let mut other = MysqlClient::log_in(program.address, "other");
    recorded += &format!(
        "> KILL QUERY 1, by another user\n{}",
        text(&other.query("KILL QUERY 1"))
    );
    assert_recorded("external/mysql-no-engine.txt", &recorded);
}

// ---- the peers' datagrams --------------------------------------------------------------------------

#[test]
fn a_load_report_as_peers_send_it() {
    const ENGINE: &str = "engine-1";
    const REPORT: [f64; 5] = [7.0, 0.0, 0.61, 41.0, 1000.0];
    /// Number of requests whose credit suffices for one message.
    const REQUESTS: usize = 50;
    let budget = gossip::GossipBudget {
        dispatchers: 2,
        message_price: 1.0,
        report_fields: REPORT.len(),
    };
    let mut broadcaster = gossip::Broadcaster::new(budget);
    broadcaster.set_engines([ENGINE].into_iter());
    (0..REQUESTS).for_each(|_| broadcaster.credit_request());
    let message = broadcaster.offer_report(0.0, ENGINE, &REPORT).unwrap();
    let mut recorded = format!("message: {}\n", printable(&message));
    for (name, message) in [
        ("itself", message.clone()),
        ("cut short", message[..message.len() - 1].to_vec()),
        ("another kind", [b"x", &message[1..]].concat()),
        ("no text", [&message[..message.len() - 1], &[0x80]].concat()),
        ("nothing", vec![]),
    ] {
        let received = broadcaster
            .receive(0.0, &message)
            .map(|report| report.map(|peer| (peer.engine, peer.report)))
            .map_err(|error| error.to_string());
        recorded += &format!("{name}: {received:?}\n");
    }
    assert_recorded("external/peers.txt", &recorded);
}

// ---- the platform's wires --------------------------------------------------------------------------

const REQUEST: u8 = 2;
const LEAVE: u8 = 8;
const ASK: u8 = 16;
const TRANSACTION: &str = "00000000000000a1";
const STATEMENT: &str = "select 1";
/// Replaces the remaining time of the request in a command by `#`, because it varies from run to run.
fn masked_limit(command: &str) -> String {
    const KEY: &str = "limit=";
    let digits = command.find(KEY).unwrap() + KEY.len();
    let rest = command[digits..].trim_start_matches(|letter: char| letter.is_ascii_digit());
    // The length field of the word depends on the number of digits; only times of three or four digits are
    // handled.
    let length = command.len() - digits - rest.len();
    assert!((3..=4).contains(&length), "{command}");
    format!("{}#{rest}", &command[..digits])
        .replace("$20\\r", "$#\\r")
        .replace("$21\\r", "$#\\r")
}

/// Number of the first stream on a connection.
const FIRST_STREAM: u32 = 1;

/// Returns the answer of an engine, as an array of strings.
fn engine_answer() -> Vec<u8> {
    let words = [TRANSACTION, "ACK", "total=1", "a\tb\tc\n"];
    let words: String = words
        .iter()
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .collect();
    format!("*4\r\n{words}").into_bytes()
}

#[test]
fn frames_of_clients_and_commands_to_engines() {
    let engine = FakeServer::start(b"select 1\r\n", engine_answer());
    let journal = FakeService::down();
    let program = Program::run(
        &process::config(&[engine.address], journal.address, None),
        &[],
        None,
    );
    let valid = [
        ("verb", "lookup"),
        ("txn", TRANSACTION),
        ("limit", "2000"),
        ("cpu", "12"),
        ("mem", "64"),
    ];
    let requests = [
        (
            "a look-up",
            FIRST_STREAM,
            REQUEST,
            request(&valid, STATEMENT),
        ),
        (
            "no class",
            2,
            REQUEST,
            request(&[("verb", "none"), ("txn", TRANSACTION)], STATEMENT),
        ),
        ("no verb", 3, REQUEST, request(&valid[1..], STATEMENT)),
        (
            "no id",
            4,
            REQUEST,
            request(&[valid[0], valid[2]], STATEMENT),
        ),
        (
            "an id that is none",
            5,
            REQUEST,
            request(&[valid[0], ("txn", "a1"), valid[2]], STATEMENT),
        ),
        ("no limit", 6, REQUEST, request(&valid[..2], STATEMENT)),
        (
            "a limit that is none",
            7,
            REQUEST,
            request(&[valid[0], valid[1], ("limit", "x")], STATEMENT),
        ),
        ("no statement", 8, REQUEST, request(&valid, "")),
        ("a question of its state", 9, ASK, vec![0]),
        ("fields that end early", 10, REQUEST, vec![3, 4, b'v']),
    ];
    let mut connection = connect(program.address);
    let mut recorded = String::new();
    for (name, stream, kind, payload) in requests {
        process::send_frame(&mut connection, kind, stream, &payload).unwrap();
        let answer = read_frame(&mut connection).expect("an answer");
        recorded += &format!("{name}: {}\n", printable(&answer));
    }
    recorded += &format!(
        "to the engine: {}\n",
        masked_limit(&printable(&engine.received()))
    );
    for (name, kind, stream) in [
        ("a kind that is none", 99, 1),
        ("a stream that is not new", REQUEST, 0),
    ] {
        let mut connection = connect(program.address);
        process::send_frame(&mut connection, LEAVE, 1, &[]).unwrap();
        process::send_frame(&mut connection, kind, stream, &[0]).unwrap();
        recorded += &format!(
            "{name}: {}\n",
            printable(&read_frame(&mut connection).expect("an answer"))
        );
    }
    let mut connection = connect(program.address);
    connection.write_all(&[0, 0, 0, 1]).unwrap();
    recorded += &format!(
        "a length that is none: {}\n",
        printable(&read_frame(&mut connection).unwrap())
    );
    assert_recorded("external/platform-frames.txt", &recorded);
}

#[test]
fn the_call_to_the_journal() {
    let engine = process::Engine::new();
    let news = journal_event(2, &instance_json(1, engine.address, "in_service"));
    let stream = format!("HTTP/1.1 200 OK\r\n\r\n: hello\n{news}");
    let journal = FakeServer::start(b"\r\n\r\n", stream.into_bytes());
    let program = Program::run(
        &process::config(&[engine.address], journal.address, None),
        &[],
        None,
    );
    let head = printable(&journal.received()).replace(&journal.address.to_string(), "(address)");
    let targets =
        |count: &str| call(program.admin, "GET", "/_vars").contains(&format!("targets={count}\n"));
    while !targets("2") {
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_recorded("external/journal.txt", &format!("{head}\n"));
}
