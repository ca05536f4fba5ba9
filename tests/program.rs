//! The program itself on the platform's terms: started, asked whether it is ready, told to stop.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const SETTINGS: &str = r#"{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
    "aim":800.0,"hard_limit":400.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],
    "rules":{"cold_from":0.3,"drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,
    "overload_for":1500.0,"warm_within":14000.0},"step":5.0}"#;

/// Starts it on a free port, with one engine in its list or with no list; the address is in its log.
fn start(test: &str, engine: Option<&TcpListener>) -> (Child, String) {
    let known = engine.map_or("null".to_string(), |e| {
        format!(
            r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"reset":true,"instances":[{{"instanceId":"e",
            "hostPort":"{}","machineType":"std","lifecycle":"in_service","startedAtMs":0}}]}}}}]}}"#,
            e.local_addr().unwrap()
        )
    });
    let path = std::env::temp_dir().join(format!("hitchwinch-{}-{test}.json", std::process::id()));
    // Nobody listens at the journal's address: a list in hand is enough.
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","journal":"127.0.0.1:1","known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, config).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_hitchwinch"))
        .env("PROXY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let address = lines.find_map(|l| Some(l.unwrap().split_once("listens on ")?.1.to_string())).unwrap();
    std::thread::spawn(move || lines.for_each(drop));
    std::fs::remove_file(path).unwrap();
    (child, address)
}

fn connect(address: &str) -> TcpStream {
    let tcp = TcpStream::connect(address).unwrap();
    tcp.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    tcp
}

fn send(tcp: &mut TcpStream, kind: u8, stream: u32, payload: &[u8]) {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    tcp.write_all(&[&length[..], &[kind], &stream.to_be_bytes(), payload].concat()).unwrap();
}

/// Type, stream and payload.
fn expect(tcp: &mut TcpStream) -> (u8, u32, Vec<u8>) {
    let mut length = [0; 4];
    tcp.read_exact(&mut length).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    tcp.read_exact(&mut frame).unwrap();
    (frame[0], u32::from_be_bytes(frame[1..5].try_into().unwrap()), frame[5..].to_vec())
}

fn ready(tcp: &mut TcpStream) -> bool {
    send(tcp, 16, 9, &[0]);
    let (kind, stream, payload) = expect(tcp);
    assert_eq!((kind, stream), (32, 9));
    payload[0] == 0
}

fn terminate(child: &Child) {
    assert!(Command::new("kill").arg(child.id().to_string()).status().unwrap().success());
}

#[test]
fn it_stops_in_order_and_answers_what_it_has_taken() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap(); // takes connections and says nothing
    let (mut child, address) = start("stop", Some(&engine));
    let mut a = connect(&address);
    assert!(ready(&mut a));
    let fields = [("verb", "lookup"), ("txn", "0123456789abcdef"), ("limit", "60000")];
    let mut payload = vec![3u8];
    for (name, value) in fields {
        payload.extend([&[name.len() as u8][..], name.as_bytes(), &[0, value.len() as u8]].concat());
        payload.extend(value.bytes());
    }
    send(&mut a, 2, 1, &payload);
    assert!(ready(&mut a), "and so the request before is taken");
    terminate(&child);
    while ready(&mut a) {}
    assert!(!ready(&mut connect(&address)), "new connections are still accepted");
    let (kind, stream, payload) = expect(&mut a);
    assert_eq!((kind, stream, payload), (64, 0, vec![]), "goodbye, without a payload");
    let (kind, stream, payload) = expect(&mut a);
    assert_eq!((kind, stream, payload[0]), (4, 1, 14), "the long request is refused before the end");
    assert!(child.wait().unwrap().success());
}

#[test]
fn without_a_list_it_is_not_ready() {
    let (mut child, address) = start("no-list", None);
    assert!(!ready(&mut connect(&address)));
    terminate(&child);
    assert!(child.wait().unwrap().success());
}
