//! Tests of the program as a child process: readiness, graceful shutdown, takeover by another process, reload
//! of the configuration and gossip, mostly with the platform's protocol.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

const SETTINGS: &str = r#"{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
    "aim":800.0,"hard_limit":400.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],
    "rules":{"cold_from":0.3,"drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,
    "overload_for":1500.0,"warm_within":14000.0},"step":5.0}"#;

struct Program {
    child: Child,
    address: String,
    /// Address of the operators' HTTP service.
    admin: String,
    config: PathBuf,
    log: mpsc::Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::fs::remove_file(&self.config).unwrap();
    }
}

impl Program {
    fn with_config(test: &str, config: &str, args: &[&str]) -> Self {
        let path =
            std::env::temp_dir().join(format!("hitchwinch-{}-{test}.conf", std::process::id()));
        std::fs::write(&path, config).unwrap();
        Self::spawn(Command::new(env!("CARGO_BIN_EXE_hitchwinch")), path, args)
    }

    /// Starts one of several processes that share a directory and inherit the clients' listening socket as
    /// descriptor 7.
    fn with_shared_socket(
        test: &str,
        config: &str,
        args: &[&str],
        directory: &Path,
        socket: &TcpListener,
    ) -> Self {
        let path = directory.join(format!("{test}.conf"));
        std::fs::write(
            &path,
            config.replace("STATE_DIRECTORY", directory.to_str().unwrap()),
        )
        .unwrap();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec \"$0\" \"$@\" 7<&0",
            env!("CARGO_BIN_EXE_hitchwinch"),
        ]);
        command
            .stdin(OwnedFd::from(socket.try_clone().unwrap()))
            .env("TMPDIR", directory)
            .env("PROXY_INHERITED_FD", "7");
        Self::spawn(command, path, args)
    }

    fn spawn(mut command: Command, path: PathBuf, args: &[&str]) -> Self {
        command
            .args(args)
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped());
        command.env("PROXY_ADMIN_ADDR", "127.0.0.1:0");
        if !args.is_empty() {
            command.arg(&path);
        }
        let mut child = command.spawn().unwrap();
        let (log_sender, log) = mpsc::channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.for_each(|line| drop(log_sender.send(line.unwrap()))));
        let (address, admin) = (String::new(), String::new());
        let mut program = Program {
            child,
            address,
            admin,
            config: path,
            log,
        };
        while program.address.is_empty() {
            let line = program.wait_for_log(" ");
            if let Some((_, address)) = line.split_once("operators call at ") {
                program.admin = address.into();
            } else if let Some((_, address)) = line.split_once("listens on ") {
                program.address = address.into();
            }
        }
        program
    }

    /// Sends a request to the operators' HTTP service and returns the response.
    fn admin_request(&self, method: &str, path: &str) -> String {
        let mut tcp = connect(&self.admin);
        tcp.write_all(format!("{method} {path} HTTP/1.1\r\n\r\n").as_bytes())
            .unwrap();
        let mut response = String::new();
        tcp.read_to_string(&mut response).unwrap();
        response
    }

    /// Returns the metric `targets_disabled` of this process: the number of engines that receive no requests.
    fn disabled_engines(&self) -> String {
        let metrics = self.admin_request("GET", "/_vars");
        metrics
            .lines()
            .find_map(|line| line.strip_prefix("targets_disabled="))
            .unwrap()
            .to_string()
    }

    /// Returns the next line of the log that contains `text`; panics after 5 s without a line.
    fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(Duration::from_secs(5))
                .unwrap_or_else(|_| panic!("no log line contains {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Replaces the configuration file and sends SIGHUP.
    fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Sends SIGTERM and asserts that the process exits with success.
    fn assert_clean_exit(mut self) {
        self.signal("-TERM");
        assert!(self.child.wait().unwrap().success());
    }
}

/// Returns a configuration whose known endpoint list has one engine, or that has no known list.
fn config(engine: Option<&TcpListener>, journal: &str) -> String {
    let known = engine.map_or("null".to_string(), |engine| {
        format!(
            r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"reset":true,"instances":[{{"instanceId":"e",
            "hostPort":"{}","machineType":"std","lifecycle":"in_service","startedAtMs":0}}]}}}}]}}"#,
            engine.local_addr().unwrap()
        )
    });
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","journal":"{journal}","known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Starts the program with the platform's protocol. Nothing listens at the journal's address: a known
/// endpoint list is enough.
fn start_platform(test: &str, engine: Option<&TcpListener>) -> Program {
    Program::with_config(test, &config(engine, "127.0.0.1:1"), &[])
}

fn connect(address: &str) -> TcpStream {
    let tcp = TcpStream::connect(address).unwrap();
    tcp.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    tcp
}

fn send_frame(tcp: &mut TcpStream, kind: u8, stream: u32, payload: &[u8]) {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    tcp.write_all(&[&length[..], &[kind], &stream.to_be_bytes(), payload].concat())
        .unwrap();
}

/// Reads a frame and returns its type, stream and payload.
fn read_frame(tcp: &mut TcpStream) -> (u8, u32, Vec<u8>) {
    let mut length = [0; 4];
    tcp.read_exact(&mut length).unwrap();
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    tcp.read_exact(&mut frame).unwrap();
    (
        frame[0],
        u32::from_be_bytes(frame[1..5].try_into().unwrap()),
        frame[5..].to_vec(),
    )
}

/// Sends a readiness request and returns whether the program reports that it is ready.
fn is_ready(tcp: &mut TcpStream) -> bool {
    send_frame(tcp, 16, 9, &[0]);
    let (kind, stream, payload) = read_frame(tcp);
    assert_eq!((kind, stream), (32, 9));
    payload[0] == 0
}

/// Returns the payload of a look-up whose client waits for `limit` milliseconds.
fn lookup_request(limit: &str) -> Vec<u8> {
    let mut payload = vec![3u8];
    for (name, value) in [
        ("verb", "lookup"),
        ("txn", "0123456789abcdef"),
        ("limit", limit),
    ] {
        payload.extend(
            [
                &[name.len() as u8][..],
                name.as_bytes(),
                &[0, value.len() as u8],
            ]
            .concat(),
        );
        payload.extend(value.bytes());
    }
    payload.extend(b"select 1");
    payload
}

#[test]
fn graceful_shutdown_answers_accepted_requests() {
    // Accepts connections and never answers.
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = start_platform("stop", Some(&engine));
    let mut client = connect(&program.address);
    assert!(is_ready(&mut client));
    send_frame(&mut client, 2, 1, &lookup_request("60000"));
    assert!(
        is_ready(&mut client),
        "the previous request must be accepted as well"
    );
    program.signal("-TERM");
    while is_ready(&mut client) {}
    assert!(
        !is_ready(&mut connect(&program.address)),
        "new connections must still be accepted"
    );
    let (kind, stream, payload) = read_frame(&mut client);
    assert_eq!(
        (kind, stream, payload),
        (64, 0, vec![]),
        "the goodbye must have no payload"
    );
    let (kind, stream, payload) = read_frame(&mut client);
    assert_eq!(
        (kind, stream, payload[0]),
        (4, 1, 14),
        "the long request must be rejected before the process exits"
    );
    program.assert_clean_exit();
}

/// An engine's load report must be forwarded to the peer in a message of six bytes. A malformed message, and
/// one from an unlisted sender, must be ignored, counted and logged.
#[test]
fn load_reports_are_gossiped_and_malformed_messages_ignored() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let peer_address = peer.local_addr().unwrap();
    let gossip_settings = r#""feedback":{"fields":["rif","x0"]},"ceilings":{"peer_messages":true,"#;
    let config = config(Some(&engine), "127.0.0.1:1")
        .replace(r#""ceilings":{"#, gossip_settings)
        .replace(
            r#""fleet_size":1"#,
            r#""fleet_size":2,"deductions":{"peer":0.01}"#,
        )
        .replace(
            r#""seed":"7""#,
            &format!(
                r#""seed":"7","peer_listen":"127.0.0.1:0","peers":["{peer_address}"],
                "peers_all":"{peer_address}""#
            ),
        );
    let program = Program::with_config("peers", &config, &[]);
    let mut client = connect(&program.address);
    assert!(is_ready(&mut client));
    send_frame(&mut client, 2, 1, &lookup_request("4000"));
    let (mut engine_connection, _) = engine.accept().unwrap();
    engine_connection
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut request = [0; 1024];
    assert!(engine_connection.read(&mut request).unwrap() > 0);
    let answer = [
        "0123456789abcdef",
        "ACK",
        "total=1,meter=inflight:7;x0:0.5",
        "a\tb\tc\n",
    ];
    let words: String = answer
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    engine_connection
        .write_all(format!("*4\r\n{words}").as_bytes())
        .unwrap();
    assert_eq!(
        read_frame(&mut client).2[0],
        0,
        "the request must be served"
    );
    let mut message = [0; 300];
    let (size, sender) = peer.recv_from(&mut message).unwrap();
    assert_eq!(
        (size, message[0], &message[4..6]),
        (6, b'r', &[63 + 7, 25][..]),
        "seven requests in flight, half of the memory"
    );
    // A valid message leaves no log line; a malformed one, and one from an unlisted sender, leave one each.
    peer.send_to(&message[..size], sender).unwrap();
    peer.send_to(b"?", sender).unwrap();
    assert!(
        program.wait_for_log("is ignored").contains("of kind 63"),
        "the first line must concern the malformed message"
    );
    let unlisted_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    unlisted_sender.send_to(&message[..size], sender).unwrap();
    assert!(program.wait_for_log("is ignored").contains("not listed"));
    assert!(
        program
            .admin_request("GET", "/_vars")
            .contains("\npeer_messages_refused=2\n"),
        "both ignored messages must be counted"
    );
    assert!(is_ready(&mut client), "the program must stay ready");
    program.assert_clean_exit();
}

/// A dispatcher that is configured for two receives messages from an unlisted peer. Then at least three
/// dispatchers run, and the total that all may send to a warming engine must be divided by at least three.
/// Malformed datagrams must not count as a dispatcher.
#[test]
fn a_peer_that_is_not_listed_counts_as_a_dispatcher() {
    let listed = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listed_address = listed.local_addr().unwrap();
    let reserved = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own_address = reserved.local_addr().unwrap();
    drop(reserved);
    let config = config(None, "127.0.0.1:1")
        .replace(
            r#""ceilings":{"#,
            r#""feedback":{"fields":["rif","x0"]},"ceilings":{"peer_messages":true,"#,
        )
        .replace(
            r#""fleet_size":1"#,
            r#""fleet_size":2,"deductions":{"peer":0.01}"#,
        )
        .replace(
            r#""seed":"7""#,
            &format!(
                r#""seed":"7","peer_listen":"{own_address}","peers":["{own_address}","{listed_address}"],
                "peers_all":"{listed_address}""#
            ),
        );
    let program = Program::with_config("census", &config, &[]);
    let dispatchers = || {
        let text = program.admin_request("GET", "/_invariants");
        let number = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_else(|| panic!("{name} in {text}"))
                .to_string()
        };
        (number("dispatchers.expected="), number("dispatchers.max="))
    };
    let assert_soon = |expected: (&str, &str)| {
        let expected = (expected.0.to_string(), expected.1.to_string());
        let deadline = std::time::Instant::now() + Duration::from_secs(5);
        while dispatchers() != expected && std::time::Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(dispatchers(), expected);
    };
    assert_soon(("2", "4"));
    // A load report of an engine that is not listed here still counts as a message of a dispatcher.
    let message = [b'r', 1, 2, 3, 10, 10];
    for _ in 0..20 {
        listed.send_to(&message, own_address).unwrap();
    }
    assert_soon(("2", "2"));
    let unlisted = UdpSocket::bind("127.0.0.1:0").unwrap();
    unlisted.send_to(b"noise!", own_address).unwrap();
    assert!(program.wait_for_log("is ignored").contains("not listed"));
    assert_soon(("2", "2"));
    unlisted.send_to(&message, own_address).unwrap();
    assert_soon(("3", "4"));
    program.assert_clean_exit();
}

/// Starts a new process beside an old one. Both must apply an administrative drain that either receives, no
/// client may be rejected, the old process must answer its requests and accept no new ones, and the drain
/// must outlive both.
fn assert_takeover(
    test: &str,
    config: &str,
    args: &[&str],
    engine: &str,
    is_served: impl Fn(&str) -> bool,
) {
    let directory = std::env::temp_dir().join(format!("hitchwinch-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let start = |name| Program::with_shared_socket(name, config, args, &directory, &socket);
    let old = start("old");
    assert!(
        old.admin_request("GET", "/_ready")
            .starts_with("HTTP/1.1 200")
            && is_served(&address)
    );
    let new = start("new");
    old.wait_for_log("2 processes");
    for (receiver, other, action, disabled) in
        [(&old, &new, "detach", "1"), (&new, &old, "attach", "0")]
    {
        assert!(
            receiver
                .admin_request("POST", &format!("/_engines/{action}/{engine}"))
                .starts_with("HTTP/1.1 200")
        );
        std::thread::sleep(Duration::from_millis(900));
        assert_eq!(
            (
                receiver.disabled_engines().as_str(),
                other.disabled_engines().as_str()
            ),
            (disabled, disabled),
            "{action}"
        );
    }
    old.admin_request("POST", &format!("/_engines/detach/{engine}"));
    old.signal("-TERM");
    old.wait_for_log("SIGTERM");
    assert!(
        (0..20).all(|_| is_served(&address)),
        "the new process must serve clients"
    );
    old.assert_clean_exit();
    new.wait_for_log("1 processes");
    assert_eq!(new.disabled_engines(), "1", "the engine must stay drained");
    new.assert_clean_exit();
    assert_eq!(
        start("third").disabled_engines(),
        "1",
        "the drain must persist while no process runs"
    );
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn takeover_by_a_new_process() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    assert_takeover(
        "over",
        &config(Some(&engine), "127.0.0.1:1"),
        &[],
        "e",
        |address| is_ready(&mut connect(address)),
    );
}

#[test]
fn takeover_by_a_new_process_on_mysql() {
    let file = include_str!("../deploy/mysql.toml");
    let listen = file.lines().find(|l| l.starts_with("listen")).unwrap();
    let file = file.replace(
        listen,
        "listen = \"127.0.0.1:0\"\nstate_dir = \"STATE_DIRECTORY\"",
    );
    assert_takeover("mysql-over", &file, &["--mysql"], "engine-1", |address| {
        let mut greeting = [0; 5];
        connect(address).read_exact(&mut greeting).is_ok() && greeting[4] == 10
    });
}

#[test]
fn not_ready_without_an_endpoint_list() {
    let program = start_platform("no-list", None);
    assert!(!is_ready(&mut connect(&program.address)));
    program.assert_clean_exit();
}

#[test]
fn reload_moves_the_journal_and_an_invalid_file_changes_nothing() {
    let (engine, journal) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let program = start_platform("reload", Some(&engine));
    let mut client = connect(&program.address);
    assert!(is_ready(&mut client));
    let new_config = config(None, &journal.local_addr().unwrap().to_string());
    program.reload(&new_config.replace("127.0.0.1:0", "nowhere"));
    assert!(
        program.wait_for_log("SIGHUP").contains("listen: "),
        "the message must name the key at fault"
    );
    program.reload(&new_config);
    let (mut subscription, _) = journal.accept().unwrap();
    let mut request = [0; 512];
    let n = subscription.read(&mut request).unwrap();
    assert!(
        String::from_utf8_lossy(&request[..n]).contains("Last-Event-ID: 1\r\n"),
        "the subscription must resume from the last known event"
    );
    assert!(
        is_ready(&mut client),
        "connections and the known endpoint list must be kept"
    );
    program.assert_clean_exit();
}

#[test]
fn mysql_frontend_reloads_its_file() {
    let file = include_str!("../deploy/mysql.toml");
    let listen = file.lines().find(|l| l.starts_with("listen")).unwrap();
    let file = file.replace(listen, "listen = \"127.0.0.1:0\"");
    let program = Program::with_config("mysql", &file, &["--mysql"]);
    let greeting_contains = |version: &str| {
        let mut greeting = [0; 32];
        let n = connect(&program.address).read(&mut greeting).unwrap();
        String::from_utf8_lossy(&greeting[..n]).contains(version)
    };
    assert!(!greeting_contains("9.9.9"));
    program.reload(&file.replace("read_class = \"lookup\"", "read_class = \"look\""));
    assert!(
        program.wait_for_log("SIGHUP").contains("read_class"),
        "the message must name the key at fault"
    );
    program.reload(&file.replace("threads = 3", "threads = 2"));
    assert!(
        program.wait_for_log("SIGHUP").contains("restart"),
        "settings on which learned state depends must require a restart"
    );
    program.reload(&format!(
        "server_version = \"9.9.9\"\n{}",
        file.replace("server_version", "# ")
    ));
    program.wait_for_log("in force");
    assert!(greeting_contains("9.9.9"));
    program.assert_clean_exit();
}

/// Returns `config` with another hard limit of the class, which is the longest deadline, in milliseconds.
fn with_hard_limit(config: &str, ms: u32) -> String {
    config.replace("\"hard_limit\":400.0", &format!("\"hard_limit\":{ms}.0"))
}

/// The process is paused while its accept period ends. A connection that the kernel accepts in the meantime,
/// and on which a request was written, must still be served.
#[test]
fn connection_in_the_accept_queue_at_shutdown_is_answered() {
    // Accepts connections and never answers.
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::with_config(
        "queue",
        &with_hard_limit(&config(Some(&engine), "127.0.0.1:1"), 1000),
        &[],
    );
    assert!(is_ready(&mut connect(&program.address)));
    program.signal("-TERM");
    program.wait_for_log("SIGTERM");
    program.signal("-STOP");
    let mut client = connect(&program.address);
    send_frame(&mut client, 2, 1, &lookup_request("60000"));
    std::thread::sleep(Duration::from_millis(700));
    program.signal("-CONT");
    assert_eq!(
        read_frame(&mut client).0,
        64,
        "the client must receive a goodbye"
    );
    let (kind, stream, payload) = read_frame(&mut client);
    assert_eq!(
        (kind, stream, payload[0]),
        (4, 1, 14),
        "the request must be rejected in time"
    );
    program.assert_clean_exit();
}

/// No answer is pending when the last waiting period ends, but a request is still unread.
#[test]
fn unread_request_of_an_idle_connection_is_answered_before_shutdown() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::with_config(
        "unread",
        &with_hard_limit(&config(Some(&engine), "127.0.0.1:1"), 1000),
        &[],
    );
    let mut client = connect(&program.address);
    assert!(is_ready(&mut client));
    program.signal("-TERM");
    assert_eq!(
        read_frame(&mut client).0,
        64,
        "the client must receive a goodbye"
    );
    program.signal("-STOP");
    send_frame(&mut client, 2, 1, &lookup_request("60000"));
    std::thread::sleep(Duration::from_millis(400));
    program.signal("-CONT");
    let (kind, stream, payload) = read_frame(&mut client);
    assert_eq!(
        (kind, stream, payload[0]),
        (4, 1, 14),
        "the request must be rejected in time"
    );
    program.assert_clean_exit();
}

/// SIGTERM comes twice, with a reload in between, while an answer is pending.
#[test]
fn sigterm_with_sighup_and_second_sigterm_still_answers_requests() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = start_platform("signals", Some(&engine));
    let mut client = connect(&program.address);
    assert!(is_ready(&mut client));
    send_frame(&mut client, 2, 1, &lookup_request("60000"));
    assert!(is_ready(&mut client));
    program.signal("-TERM");
    program.reload(&config(None, "127.0.0.1:2"));
    program.signal("-TERM");
    program.wait_for_log("SIGHUP");
    let mut answers = vec![];
    while answers.len() < 2 {
        answers.push(read_frame(&mut client));
    }
    assert_eq!((answers[0].0, answers[1].0, answers[1].2[0]), (64, 4, 14));
    program.assert_clean_exit();
}

/// Without an endpoint list the process must exit at once and with success.
#[test]
fn sigterm_before_readiness_exits_cleanly() {
    let program = start_platform("early", None);
    program.signal("-TERM");
    program.assert_clean_exit();
}

/// A client reads its last answer late: the process must not exit before the client has the complete answer.
#[test]
fn slow_reader_gets_its_complete_response_before_exit() {
    let directory = std::env::temp_dir().join(format!("hitchwinch-{}-slow", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    // Accepted connections inherit the buffer size, so the kernel buffers only a small part of an answer.
    SockRef::from(&socket).set_send_buffer_size(4096).unwrap();
    let config = with_hard_limit(&config(Some(&engine), "127.0.0.1:1"), 2000);
    let program = Program::with_shared_socket("slow", &config, &[], &directory, &socket);
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(4096).unwrap();
    client
        .connect(&socket.local_addr().unwrap().into())
        .unwrap();
    let mut client = TcpStream::from(client);
    send_frame(&mut client, 2, 1, &lookup_request("2000"));
    let (mut engine_connection, _) = engine.accept().unwrap();
    let mut request = [0; 4096];
    assert!(engine_connection.read(&mut request).unwrap() > 0);
    let row = format!("{}\tb\tc\n", "a".repeat(5000));
    let mut send_page = |kind: &str, fields: &str| {
        let words: String = ["0123456789abcdef", kind, fields, &row]
            .iter()
            .map(|w| format!("${}\r\n{w}\r\n", w.len()))
            .collect();
        engine_connection
            .write_all(format!("*4\r\n{words}").as_bytes())
            .unwrap();
    };
    send_page("ACK", "total=9");
    (1..9).for_each(|n| send_page("BLOCK", &format!("index={n}")));
    program.signal("-TERM");
    program.wait_for_log("SIGTERM");
    std::thread::sleep(Duration::from_millis(1400));
    client
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut frames = vec![];
    while frames.len() < 2 {
        frames.push(read_frame(&mut client));
    }
    let answer = frames.iter().find(|frame| frame.0 == 4).unwrap();
    assert_eq!(
        (answer.1, answer.2[0], answer.2.len()),
        (1, 0, 2 + 9 * 5005)
    );
    program.assert_clean_exit();
    std::fs::remove_dir_all(directory).unwrap();
}

/// Returns `config` with a class of each idempotency, whose deadlines are longer than the time until SIGKILL.
fn long_deadlines(config: &str) -> String {
    let class = |name: &str, idempotency: &str| {
        format!(
            r#",{{"name":"{name}","aim":16000.0,"hard_limit":16000.0,{idempotency},"worth":1.0}}"#
        )
    };
    let further_classes = [
        class("load", r#""effect":"fragile""#),
        class(
            "cell",
            r#""effect":"dedup","group":"cell","dedup_window":100.0"#,
        ),
        class(
            "all",
            r#""effect":"dedup","group":"all","dedup_window":100.0"#,
        ),
    ];
    let lookup = r#""effect":"retryable","worth":1.0}"#;
    // The engine has enough cores for all requests.
    let cores = r#""extra":{"cores_by_kind":[8.0]},"fleet_size":1"#;
    let config = config.replace("\"fleet_size\":1", cores);
    with_hard_limit(&config, 16_000)
        .replace("\"aim\":800.0", "\"aim\":16000.0")
        .replace(lookup, &(lookup.to_string() + &further_classes.concat()))
}

/// Returns the payload of a request of `class` whose client waits for 16 s.
fn long_request(class: &str, txn: u64) -> Vec<u8> {
    let mut payload = vec![3u8];
    for (name, value) in [
        ("verb", class),
        ("txn", &format!("{txn:016x}")),
        ("limit", "16000"),
    ] {
        payload.extend(
            [
                &[name.len() as u8][..],
                name.as_bytes(),
                &[0, value.len() as u8],
            ]
            .concat(),
        );
        payload.extend(value.bytes());
    }
    payload.extend(b"select 1");
    payload
}

/// The engine hangs beyond the time of SIGKILL and sends a truncated line shortly before. Every request that
/// was accepted, also after SIGTERM, must have exactly one complete answer by then, as its class requires.
/// The connection of an idle client must be closed without reading its next request.
#[test]
fn hung_requests_with_long_deadlines_are_answered_before_sigkill() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::with_config(
        "hang",
        &long_deadlines(&config(Some(&engine), "127.0.0.1:1")),
        &[],
    );
    let (mut client, mut idle_client) = (connect(&program.address), connect(&program.address));
    assert!(is_ready(&mut client) && is_ready(&mut idle_client));
    let classes = [("lookup", 14), ("load", 2), ("cell", 2), ("all", 14)];
    for (n, (class, _)) in classes.into_iter().enumerate() {
        send_frame(
            &mut client,
            2,
            n as u32 + 1,
            &long_request(class, n as u64 + 1),
        );
    }
    // Waits until the engine has received all requests, on as many connections as they use.
    let (mut connections, mut received) = (vec![], String::new());
    let wait_started = std::time::Instant::now();
    engine.set_nonblocking(true).unwrap();
    while received.matches("GET").count() < classes.len() {
        assert!(
            wait_started.elapsed() < Duration::from_secs(5),
            "received only {received}"
        );
        if let Ok((tcp, _)) = engine.accept() {
            tcp.set_nonblocking(true).unwrap();
            connections.push(tcp);
        }
        for tcp in &mut connections {
            let mut bytes = [0; 4096];
            let n = tcp.read(&mut bytes).unwrap_or(0);
            received.push_str(&String::from_utf8_lossy(&bytes[..n]));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let shutdown_started = std::time::Instant::now();
    program.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    send_frame(&mut client, 2, 9, &long_request("lookup", 9));
    let answers = std::thread::spawn(move || {
        let mut answers = vec![];
        while answers.len() < 5 {
            let (kind, stream, payload) = read_frame(&mut client);
            if kind == 4 {
                answers.push((stream, payload[0]));
            }
        }
        let elapsed = shutdown_started.elapsed();
        assert!(
            client.read(&mut [0]).is_ok_and(|n| n == 0),
            "nothing may follow the answers"
        );
        (answers, elapsed)
    });
    assert_eq!(
        read_frame(&mut idle_client).0,
        64,
        "the client must receive a goodbye"
    );
    assert_eq!(
        idle_client.read(&mut [0]).unwrap(),
        0,
        "the idle connection must be closed"
    );
    let _ = idle_client.write_all(&long_request("lookup", 10));
    assert!(
        !idle_client.read(&mut [0]).is_ok_and(|n| n > 0),
        "a request on the closed connection must not be answered"
    );
    std::thread::sleep(Duration::from_millis(2900).saturating_sub(shutdown_started.elapsed()));
    for tcp in &mut connections {
        tcp.write_all(b"*4\r\n$16\r\n0000000000").unwrap();
    }
    let (mut answers, elapsed) = answers.join().unwrap();
    answers.sort_unstable();
    let mut expected: Vec<(u32, u8)> = (1..).zip(classes.map(|class| class.1)).collect();
    expected.push((9, 14));
    assert_eq!(answers, expected);
    assert!(elapsed < Duration::from_millis(3700), "{elapsed:?}");
    program.assert_clean_exit();
    assert!(
        shutdown_started.elapsed() < Duration::from_millis(3700),
        "{:?}",
        shutdown_started.elapsed()
    );
    for tcp in &mut connections {
        let (mut bytes, mut rest) = ([0; 4096], vec![]);
        tcp.set_nonblocking(false).unwrap();
        while let Ok(n @ 1..) = tcp.read(&mut bytes) {
            rest.extend_from_slice(&bytes[..n]);
        }
        assert!(
            !String::from_utf8_lossy(&rest).contains("00000000000a"),
            "a request that came too late must not be sent to the engine"
        );
    }
}
