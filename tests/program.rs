//! The program itself on the platform's terms: started, asked whether it is ready, told to stop.

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
    /// Where operators call.
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
    fn run(test: &str, config: &str, args: &[&str]) -> Self {
        let path =
            std::env::temp_dir().join(format!("hitchwinch-{}-{test}.conf", std::process::id()));
        std::fs::write(&path, config).unwrap();
        Self::start(Command::new(env!("CARGO_BIN_EXE_hitchwinch")), path, args)
    }

    /// One of several processes that share a folder and inherit the clients' socket as descriptor 7.
    fn beside(
        test: &str,
        config: &str,
        args: &[&str],
        folder: &Path,
        socket: &TcpListener,
    ) -> Self {
        let path = folder.join(format!("{test}.conf"));
        std::fs::write(&path, config.replace("FOLDER", folder.to_str().unwrap())).unwrap();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec \"$0\" \"$@\" 7<&0",
            env!("CARGO_BIN_EXE_hitchwinch"),
        ]);
        command
            .stdin(OwnedFd::from(socket.try_clone().unwrap()))
            .env("TMPDIR", folder)
            .env("PROXY_INHERITED_FD", "7");
        Self::start(command, path, args)
    }

    fn start(mut command: Command, path: PathBuf, args: &[&str]) -> Self {
        command
            .args(args)
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped());
        command.env("PROXY_ADMIN_ADDR", "127.0.0.1:0");
        if !args.is_empty() {
            command.arg(&path);
        }
        let mut child = command.spawn().unwrap();
        let (say, log) = mpsc::channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.for_each(|l| drop(say.send(l.unwrap()))));
        let (address, admin) = (String::new(), String::new());
        let mut program = Program {
            child,
            address,
            admin,
            config: path,
            log,
        };
        while program.address.is_empty() {
            let line = program.says(" ");
            if let Some((_, at)) = line.split_once("operators call at ") {
                program.admin = at.into();
            } else if let Some((_, at)) = line.split_once("listens on ") {
                program.address = at.into();
            }
        }
        program
    }

    /// What an operator's call comes to.
    fn call(&self, method: &str, path: &str) -> String {
        let mut tcp = connect(&self.admin);
        tcp.write_all(format!("{method} {path} HTTP/1.1\r\n\r\n").as_bytes())
            .unwrap();
        let mut answer = String::new();
        tcp.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Engines that get nothing now, as this process tells.
    fn disabled(&self) -> String {
        let told = self.call("GET", "/_vars");
        told.lines()
            .find_map(|l| l.strip_prefix("targets_disabled="))
            .unwrap()
            .to_string()
    }

    /// The next line of its log that holds this.
    fn says(&self, what: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(Duration::from_secs(5))
                .unwrap_or_else(|_| panic!("no {what:?}"));
            if line.contains(what) {
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

    /// A new configuration is in its place, and it is told.
    fn configure(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    fn ends_well(mut self) {
        self.signal("-TERM");
        assert!(self.child.wait().unwrap().success());
    }
}

/// A configuration with one engine in its list or with no list.
fn config(engine: Option<&TcpListener>, journal: &str) -> String {
    let known = engine.map_or("null".to_string(), |e| {
        format!(
            r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"reset":true,"instances":[{{"instanceId":"e",
            "hostPort":"{}","machineType":"std","lifecycle":"in_service","startedAtMs":0}}]}}}}]}}"#,
            e.local_addr().unwrap()
        )
    });
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","journal":"{journal}","known":{known},"settings":{SETTINGS}}}"#
    )
}

/// On the platform's terms; nobody listens at the journal's address: a list in hand is enough.
fn start(test: &str, engine: Option<&TcpListener>) -> Program {
    Program::run(test, &config(engine, "127.0.0.1:1"), &[])
}

fn connect(address: &str) -> TcpStream {
    let tcp = TcpStream::connect(address).unwrap();
    tcp.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    tcp
}

fn send(tcp: &mut TcpStream, kind: u8, stream: u32, payload: &[u8]) {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    tcp.write_all(&[&length[..], &[kind], &stream.to_be_bytes(), payload].concat())
        .unwrap();
}

/// Type, stream and payload.
fn expect(tcp: &mut TcpStream) -> (u8, u32, Vec<u8>) {
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

fn ready(tcp: &mut TcpStream) -> bool {
    send(tcp, 16, 9, &[0]);
    let (kind, stream, payload) = expect(tcp);
    assert_eq!((kind, stream), (32, 9));
    payload[0] == 0
}

/// A look-up that its client waits for so many milliseconds.
fn lookup(limit: &str) -> Vec<u8> {
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
    let engine = TcpListener::bind("127.0.0.1:0").unwrap(); // takes connections and says nothing
    let program = start("stop", Some(&engine));
    let mut a = connect(&program.address);
    assert!(ready(&mut a));
    send(&mut a, 2, 1, &lookup("60000"));
    assert!(ready(&mut a), "and so the request before is taken");
    program.signal("-TERM");
    while ready(&mut a) {}
    assert!(
        !ready(&mut connect(&program.address)),
        "new connections are still accepted"
    );
    let (kind, stream, payload) = expect(&mut a);
    assert_eq!(
        (kind, stream, payload),
        (64, 0, vec![]),
        "goodbye, without a payload"
    );
    let (kind, stream, payload) = expect(&mut a);
    assert_eq!(
        (kind, stream, payload[0]),
        (4, 1, 14),
        "the long request is refused before the end"
    );
    program.ends_well();
}

/// A stand-in peer, an engine whose answers bring reports, and a client: what the engine tells goes on to the peer in
/// six bytes, and what is no word of a peer is passed over, counted, and told in the log.
#[test]
fn load_reports_are_gossiped_and_malformed_messages_ignored() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let at = peer.local_addr().unwrap();
    let told = r#""feedback":{"fields":["rif","x0"]},"ceilings":{"peer_messages":true,"#;
    let config = config(Some(&engine), "127.0.0.1:1")
        .replace(r#""ceilings":{"#, told)
        .replace(
            r#""fleet_size":1"#,
            r#""fleet_size":2,"deductions":{"peer":0.01}"#,
        )
        .replace(
            r#""seed":"7""#,
            &format!(
                r#""seed":"7","peer_listen":"127.0.0.1:0","peers":["{at}"],"peers_all":"{at}""#
            ),
        );
    let program = Program::run("peers", &config, &[]);
    let mut client = connect(&program.address);
    assert!(ready(&mut client));
    send(&mut client, 2, 1, &lookup("4000"));
    let (mut on, _) = engine.accept().unwrap();
    on.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut asked = [0; 1024];
    assert!(on.read(&mut asked).unwrap() > 0);
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
    on.write_all(format!("*4\r\n{words}").as_bytes()).unwrap();
    assert_eq!(expect(&mut client).2[0], 0, "served");
    let mut word = [0; 300];
    let (size, from) = peer.recv_from(&mut word).unwrap();
    assert_eq!(
        (size, word[0], &word[4..6]),
        (6, b'r', &[63 + 7, 25][..]),
        "seven in hand, half of the memory"
    );
    // Back to it: a word that it can read says nothing, one that it can't is told of, and so is a stranger's.
    peer.send_to(&word[..size], from).unwrap();
    peer.send_to(b"?", from).unwrap();
    assert!(
        program.says("is ignored").contains("of kind 63"),
        "the first line is that of the second word"
    );
    let record_foreign_message = UdpSocket::bind("127.0.0.1:0").unwrap();
    record_foreign_message.send_to(&word[..size], from).unwrap();
    assert!(program.says("is ignored").contains("not listed"));
    assert!(
        program
            .call("GET", "/_vars")
            .contains("\npeer_messages_refused=2\n"),
        "both are counted"
    );
    assert!(ready(&mut client), "and it goes on");
    program.ends_well();
}

/// A dispatcher of two by its configuration hears a peer that is not listed: three run at least, and what all may send
/// a warming engine is divided by no fewer. Noise from elsewhere shows no dispatcher.
#[test]
fn a_peer_that_is_not_listed_counts_as_a_dispatcher() {
    let listed = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = listed.local_addr().unwrap();
    let free = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = free.local_addr().unwrap();
    drop(free);
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
                r#""seed":"7","peer_listen":"{own}","peers":["{own}","{at}"],"peers_all":"{at}""#
            ),
        );
    let program = Program::run("census", &config, &[]);
    let dispatchers = || {
        let text = program.call("GET", "/_invariants");
        let number = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_else(|| panic!("{name} in {text}"))
                .to_string()
        };
        (number("dispatchers.expected="), number("dispatchers.max="))
    };
    let soon = |expected: (&str, &str)| {
        let expected = (expected.0.to_string(), expected.1.to_string());
        let until = std::time::Instant::now() + Duration::from_secs(5);
        while dispatchers() != expected && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(dispatchers(), expected);
    };
    soon(("2", "4"));
    // A report of an engine that is not listed here is a message of a dispatcher all the same.
    let message = [b'r', 1, 2, 3, 10, 10];
    for _ in 0..20 {
        listed.send_to(&message, own).unwrap();
    }
    soon(("2", "2"));
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"noise!", own).unwrap();
    assert!(program.says("is ignored").contains("not listed"));
    soon(("2", "2"));
    stranger.send_to(&message, own).unwrap();
    soon(("3", "4"));
    program.ends_well();
}

/// A new process beside the old: both follow an operator's call to either, no client is refused, what the old
/// one has is answered, and it takes no more.
fn takes_over(
    test: &str,
    config: &str,
    args: &[&str],
    engine: &str,
    greets: impl Fn(&str) -> bool,
) {
    let folder = std::env::temp_dir().join(format!("hitchwinch-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap().to_string();
    let beside = |name| Program::beside(name, config, args, &folder, &socket);
    let old = beside("old");
    assert!(old.call("GET", "/_ready").starts_with("HTTP/1.1 200") && greets(&at));
    let new = beside("new");
    old.says("2 processes");
    for (one, other, what, then) in [(&old, &new, "detach", "1"), (&new, &old, "attach", "0")] {
        assert!(
            one.call("POST", &format!("/_engines/{what}/{engine}"))
                .starts_with("HTTP/1.1 200")
        );
        std::thread::sleep(Duration::from_millis(900));
        assert_eq!(
            (one.disabled().as_str(), other.disabled().as_str()),
            (then, then),
            "{what}"
        );
    }
    old.call("POST", &format!("/_engines/detach/{engine}"));
    old.signal("-TERM");
    old.says("SIGTERM");
    assert!((0..20).all(|_| greets(&at)), "by the new one");
    old.ends_well();
    new.says("1 processes");
    assert_eq!(new.disabled(), "1", "still out");
    new.ends_well();
    assert_eq!(
        beside("third").disabled(),
        "1",
        "with no process in between"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn takeover_by_a_new_process() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    takes_over(
        "over",
        &config(Some(&engine), "127.0.0.1:1"),
        &[],
        "e",
        |at| ready(&mut connect(at)),
    );
}

#[test]
fn takeover_by_a_new_process_on_mysql() {
    let file = include_str!("../deploy/mysql.toml");
    let listen = file.lines().find(|l| l.starts_with("listen")).unwrap();
    let file = file.replace(listen, "listen = \"127.0.0.1:0\"\nstate_dir = \"FOLDER\"");
    takes_over("mysql-over", &file, &["--mysql"], "engine-1", |at| {
        let mut head = [0; 5];
        connect(at).read_exact(&mut head).is_ok() && head[4] == 10
    });
}

#[test]
fn not_ready_without_an_endpoint_list() {
    let program = start("no-list", None);
    assert!(!ready(&mut connect(&program.address)));
    program.ends_well();
}

#[test]
fn reload_moves_the_journal_and_an_invalid_file_changes_nothing() {
    let (engine, journal) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let program = start("reload", Some(&engine));
    let mut client = connect(&program.address);
    assert!(ready(&mut client));
    let moved = config(None, &journal.local_addr().unwrap().to_string());
    program.configure(&moved.replace("127.0.0.1:0", "nowhere"));
    assert!(
        program.says("SIGHUP").contains("listen: "),
        "the faulty key is named"
    );
    program.configure(&moved);
    let (mut asked, _) = journal.accept().unwrap();
    let mut head = [0; 512];
    let n = asked.read(&mut head).unwrap();
    assert!(
        String::from_utf8_lossy(&head[..n]).contains("Last-Event-ID: 1\r\n"),
        "read on from the same number"
    );
    assert!(ready(&mut client), "connections and the list in hand stay");
    program.ends_well();
}

#[test]
fn mysql_frontend_reloads_its_file() {
    let file = include_str!("../deploy/mysql.toml");
    let listen = file.lines().find(|l| l.starts_with("listen")).unwrap();
    let file = file.replace(listen, "listen = \"127.0.0.1:0\"");
    let program = Program::run("mysql", &file, &["--mysql"]);
    let greets = |version: &str| {
        let mut head = [0; 32];
        let n = connect(&program.address).read(&mut head).unwrap();
        String::from_utf8_lossy(&head[..n]).contains(version)
    };
    assert!(!greets("9.9.9"));
    program.configure(&file.replace("read_class = \"lookup\"", "read_class = \"look\""));
    assert!(
        program.says("SIGHUP").contains("read_class"),
        "the faulty key is named"
    );
    program.configure(&file.replace("threads = 3", "threads = 2"));
    assert!(
        program.says("SIGHUP").contains("restart"),
        "what learned state rests on stays as it was"
    );
    program.configure(&format!(
        "server_version = \"9.9.9\"\n{}",
        file.replace("server_version", "# ")
    ));
    program.says("in force");
    assert!(greets("9.9.9"));
    program.ends_well();
}

/// The same with another longest deadline.
fn waits(config: &str, ms: u32) -> String {
    config.replace("\"hard_limit\":400.0", &format!("\"hard_limit\":{ms}.0"))
}

/// The process stands still while the end of accepting passes: a connection that the machine accepts meanwhile, with a
/// request written on it, is served for all that.
#[test]
fn connection_in_the_accept_queue_at_shutdown_is_answered() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap(); // takes connections and says nothing
    let program = Program::run(
        "queue",
        &waits(&config(Some(&engine), "127.0.0.1:1"), 1000),
        &[],
    );
    assert!(ready(&mut connect(&program.address)));
    program.signal("-TERM");
    program.says("SIGTERM");
    program.signal("-STOP");
    let mut client = connect(&program.address);
    send(&mut client, 2, 1, &lookup("60000"));
    std::thread::sleep(Duration::from_millis(700));
    program.signal("-CONT");
    assert_eq!(expect(&mut client).0, 64, "goodbye");
    let (kind, stream, payload) = expect(&mut client);
    assert_eq!((kind, stream, payload[0]), (4, 1, 14), "refused in time");
    program.ends_well();
}

/// Nothing is owed when the last wait passes, and a request stands unread.
#[test]
fn unread_request_of_an_idle_connection_is_answered_before_shutdown() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::run(
        "unread",
        &waits(&config(Some(&engine), "127.0.0.1:1"), 1000),
        &[],
    );
    let mut client = connect(&program.address);
    assert!(ready(&mut client));
    program.signal("-TERM");
    assert_eq!(expect(&mut client).0, 64, "goodbye");
    program.signal("-STOP");
    send(&mut client, 2, 1, &lookup("60000"));
    std::thread::sleep(Duration::from_millis(400));
    program.signal("-CONT");
    let (kind, stream, payload) = expect(&mut client);
    assert_eq!((kind, stream, payload[0]), (4, 1, 14), "refused in time");
    program.ends_well();
}

/// Twice, with a new configuration between, and again while answers are owed.
#[test]
fn sigterm_with_sighup_and_second_sigterm_still_answers_requests() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = start("signals", Some(&engine));
    let mut client = connect(&program.address);
    assert!(ready(&mut client));
    send(&mut client, 2, 1, &lookup("60000"));
    assert!(ready(&mut client));
    program.signal("-TERM");
    program.configure(&config(None, "127.0.0.1:2"));
    program.signal("-TERM");
    program.says("SIGHUP");
    let mut answers = vec![];
    while answers.len() < 2 {
        answers.push(expect(&mut client));
    }
    assert_eq!((answers[0].0, answers[1].0, answers[1].2[0]), (64, 4, 14));
    program.ends_well();
}

/// Before it has a list, it ends at once and well.
#[test]
fn sigterm_before_readiness_exits_cleanly() {
    let program = start("early", None);
    program.signal("-TERM");
    program.ends_well();
}

/// A client takes its last answer late: the process ends only once it has it whole.
#[test]
fn slow_reader_gets_its_complete_response_before_exit() {
    let folder = std::env::temp_dir().join(format!("hitchwinch-{}-slow", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    // Accepted connections take this on: the machine holds next to nothing of an answer.
    SockRef::from(&socket).set_send_buffer_size(4096).unwrap();
    let config = waits(&config(Some(&engine), "127.0.0.1:1"), 2000);
    let program = Program::beside("slow", &config, &[], &folder, &socket);
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(4096).unwrap();
    client
        .connect(&socket.local_addr().unwrap().into())
        .unwrap();
    let mut client = TcpStream::from(client);
    send(&mut client, 2, 1, &lookup("2000"));
    let (mut on, _) = engine.accept().unwrap();
    let mut asked = [0; 4096];
    assert!(on.read(&mut asked).unwrap() > 0);
    let row = format!("{}\tb\tc\n", "a".repeat(5000));
    let mut answer = |word: &str, fields: &str| {
        let words: String = ["0123456789abcdef", word, fields, &row]
            .iter()
            .map(|w| format!("${}\r\n{w}\r\n", w.len()))
            .collect();
        on.write_all(format!("*4\r\n{words}").as_bytes()).unwrap();
    };
    answer("ACK", "total=9");
    (1..9).for_each(|n| answer("BLOCK", &format!("index={n}")));
    program.signal("-TERM");
    program.says("SIGTERM");
    std::thread::sleep(Duration::from_millis(1400));
    client
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut whole = vec![];
    while whole.len() < 2 {
        whole.push(expect(&mut client));
    }
    let answer = whole.iter().find(|f| f.0 == 4).unwrap();
    assert_eq!(
        (answer.1, answer.2[0], answer.2.len()),
        (1, 0, 2 + 9 * 5005)
    );
    program.ends_well();
    std::fs::remove_dir_all(folder).unwrap();
}

/// Classes of each effect, whose deadlines are longer than the kill waits.
fn long_deadlines(config: &str) -> String {
    let class = |name: &str, idempotency: &str| {
        format!(
            r#",{{"name":"{name}","aim":16000.0,"hard_limit":16000.0,{idempotency},"worth":1.0}}"#
        )
    };
    let more = [
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
    // An engine with room for all of them.
    let cores = r#""extra":{"cores_by_kind":[8.0]},"fleet_size":1"#;
    let config = config.replace("\"fleet_size\":1", cores);
    waits(&config, 16_000)
        .replace("\"aim\":800.0", "\"aim\":16000.0")
        .replace(lookup, &(lookup.to_string() + &more.concat()))
}

fn asks(class: &str, txn: u64) -> Vec<u8> {
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

/// An engine that hangs for longer than the kill waits, and comes out with half a line shortly before: every request that
/// was taken, also after SIGTERM, has one whole answer by then, by its class's rule. A client that rests is closed with
/// nothing of its next request read.
#[test]
fn hung_requests_with_long_deadlines_are_answered_before_sigkill() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::run(
        "hang",
        &long_deadlines(&config(Some(&engine), "127.0.0.1:1")),
        &[],
    );
    let (mut client, mut rests) = (connect(&program.address), connect(&program.address));
    assert!(ready(&mut client) && ready(&mut rests));
    let classes = [("lookup", 14), ("load", 2), ("cell", 2), ("all", 14)];
    for (n, (class, _)) in classes.into_iter().enumerate() {
        send(&mut client, 2, n as u32 + 1, &asks(class, n as u64 + 1));
    }
    // All are written, to as many connections as that takes.
    let (mut open, mut written) = (vec![], String::new());
    let asked = std::time::Instant::now();
    engine.set_nonblocking(true).unwrap();
    while written.matches("GET").count() < classes.len() {
        assert!(asked.elapsed() < Duration::from_secs(5), "only {written}");
        if let Ok((tcp, _)) = engine.accept() {
            tcp.set_nonblocking(true).unwrap();
            open.push(tcp);
        }
        for tcp in &mut open {
            let mut bytes = [0; 4096];
            let n = tcp.read(&mut bytes).unwrap_or(0);
            written.push_str(&String::from_utf8_lossy(&bytes[..n]));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let began = std::time::Instant::now();
    program.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    send(&mut client, 2, 9, &asks("lookup", 9));
    let answers = std::thread::spawn(move || {
        let mut answers = vec![];
        while answers.len() < 5 {
            let (kind, stream, payload) = expect(&mut client);
            if kind == 4 {
                answers.push((stream, payload[0]));
            }
        }
        let took = began.elapsed();
        assert!(
            client.read(&mut [0]).is_ok_and(|n| n == 0),
            "and nothing more"
        );
        (answers, took)
    });
    assert_eq!(expect(&mut rests).0, 64, "goodbye");
    assert_eq!(rests.read(&mut [0]).unwrap(), 0, "it is ended");
    let _ = rests.write_all(&asks("lookup", 10));
    assert!(
        !rests.read(&mut [0]).is_ok_and(|n| n > 0),
        "nobody answers there"
    );
    std::thread::sleep(Duration::from_millis(2900).saturating_sub(began.elapsed()));
    for tcp in &mut open {
        tcp.write_all(b"*4\r\n$16\r\n0000000000").unwrap();
    }
    let (mut answers, took) = answers.join().unwrap();
    answers.sort_unstable();
    let mut wanted: Vec<(u32, u8)> = (1..).zip(classes.map(|c| c.1)).collect();
    wanted.push((9, 14));
    assert_eq!(answers, wanted);
    assert!(took < Duration::from_millis(3700), "{took:?}");
    program.ends_well();
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "{:?}",
        began.elapsed()
    );
    for tcp in &mut open {
        let (mut bytes, mut all) = ([0; 4096], vec![]);
        tcp.set_nonblocking(false).unwrap();
        while let Ok(n @ 1..) = tcp.read(&mut bytes) {
            all.extend_from_slice(&bytes[..n]);
        }
        assert!(
            !String::from_utf8_lossy(&all).contains("00000000000a"),
            "what came too late is not sent on"
        );
    }
}
