//! Idle clients use up the client descriptors while discovery is down; the program must still have
//! those it needs itself. The tests run the program with a limit of 64 from the configuration, from
//! the operating system, or both. All client permits are held, and a hundred more connections
//! arrive at once from the listen queue.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod process;

use process::*;
use query_dispatcher::transport::descriptors::RESERVED_DESCRIPTORS;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

const LIMIT: usize = 64;
/// Number of client connections that the dispatcher admits at that limit.
const ADMITTED_CLIENTS: usize = 25;
/// Number of connections in the listen queue.
const QUEUED_CLIENTS: usize = 100;
/// Maximum time until the dispatcher reconnects to discovery. The dispatcher retries after 0.4 s at
/// most; the rest allows for a busy machine.
const RECONNECT_LIMIT: Duration = Duration::from_millis(700);

/// State in which clients stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    /// The clients have sent a readiness probe; those in the queue send nothing.
    Probed,
    /// Each client has written the first bytes of a frame.
    PartialFrame,
}

struct Scenario {
    program: Program,
    service: FakeService,
    /// Open until the end of the test.
    _clients: Vec<TcpStream>,
}

fn client(at: SocketAddr, state: ClientState) -> TcpStream {
    let mut tcp = connect(at);
    match state {
        // The probe fails if the client was evicted for a later one.
        ClientState::Probed => drop(is_ready(&mut tcp)),
        ClientState::PartialFrame => tcp.write_all(&[0, 0, 0]).unwrap(),
    }
    tcp
}

impl Scenario {
    fn new(
        engines: &[SocketAddr],
        sockets: Option<usize>,
        real: Option<usize>,
        state: ClientState,
    ) -> Self {
        let service = FakeService::down();
        let program = Program::run(&config(engines, service.address, sockets), &[], real);
        let mut clients: Vec<_> = (0..ADMITTED_CLIENTS)
            .map(|_| client(program.address, state))
            .collect();
        std::thread::sleep(Duration::from_millis(20));
        program.signal("-STOP");
        for _ in 0..QUEUED_CLIENTS {
            let mut tcp = connect(program.address);
            if state == ClientState::PartialFrame {
                tcp.write_all(&[0, 0, 0]).unwrap();
            }
            clients.push(tcp);
        }
        program.signal("-CONT");
        Scenario {
            program,
            service,
            _clients: clients,
        }
    }

    /// Brings discovery back, checks that the dispatcher reconnects in time, and returns the event stream.
    fn restore_discovery(&self, events: &str) -> TcpStream {
        let (took, tcp) = self
            .service
            .accept_and_send(Duration::from_secs(4), events)
            .expect("the dispatcher reconnects to discovery");
        assert!(took < RECONNECT_LIMIT, "reconnected after {took:?}");
        tcp
    }

    fn assert_within_limit(&self) {
        let held = self.program.descriptors();
        assert!(held <= LIMIT, "{held} descriptors");
    }
}

/// Runs the test for every source of the limit and every state of idle clients, in parallel.
fn for_each_scenario(engines: &[SocketAddr], test: impl Fn(Scenario, String) + Sync) {
    let limits = [
        (Some(LIMIT), None),
        (Some(LIMIT), Some(LIMIT)),
        (None, Some(LIMIT)),
    ];
    std::thread::scope(|s| {
        for (sockets, real) in limits {
            for state in [ClientState::Probed, ClientState::PartialFrame] {
                let test = &test;
                s.spawn(move || {
                    let name = format!("sockets {sockets:?}, real {real:?}, {state:?}");
                    test(Scenario::new(engines, sockets, real, state), name)
                });
            }
        }
    });
}

/// Descriptors that any child process inherits in this environment are subtracted.
#[test]
fn descriptor_use_of_the_program_matches_its_budget() {
    let mut other = Command::new("sh")
        .args(["-c", "exec sleep 9"])
        .spawn()
        .unwrap();
    let service = FakeService::down();
    let program = Program::run(&config(&[], service.address, Some(LIMIT)), &[], Some(LIMIT));
    let (_, _stream) = service
        .accept_and_send(Duration::from_secs(4), "")
        .expect("the dispatcher reconnects to discovery");
    let inherited = std::fs::read_dir(format!("/proc/{}/fd", other.id()))
        .unwrap()
        .count()
        - 3;
    other.kill().unwrap();
    other.wait().unwrap();
    let held = program.descriptors() - inherited;
    println!("{held} descriptors");
    assert!(held <= RESERVED_DESCRIPTORS, "{held} descriptors");
}

#[test]
fn discovery_reconnects_at_once() {
    let engine = Engine::new();
    for_each_scenario(&[engine.address], |scenario, _| {
        scenario.restore_discovery("");
        scenario.assert_within_limit();
    });
}

#[test]
fn drain_received_on_reconnect_is_applied() {
    let (draining, remaining) = (Engine::new(), Engine::new());
    for_each_scenario(&[draining.address, remaining.address], |scenario, name| {
        let mut client = connect(scenario.program.address);
        assert!(is_ready(&mut client).unwrap(), "{name}");
        let _stream = scenario.restore_discovery(&journal_event(
            2,
            &instance_json(0, draining.address, "terminating"),
        ));
        // The drain grace of 250 ms, and a margin of 50 ms.
        std::thread::sleep(Duration::from_millis(300));
        let from = Instant::now();
        for n in 1..=40 {
            assert_eq!(lookup(&mut client, n).unwrap(), 0, "{name}");
        }
        scenario.assert_within_limit();
        // Other scenarios may send requests to the same engine before their own drain.
        let served = remaining
            .request_times
            .lock()
            .unwrap()
            .iter()
            .filter(|t| **t >= from)
            .count();
        assert!(served >= 40, "{name}: {served} of 40");
    });
}

/// Sends four rounds of 32 concurrent requests to 40 slow engines. There are fewer descriptors than
/// engines, but as many requests are served as with a high limit.
#[test]
fn engines_and_discovery_are_both_reachable() {
    let engines: Vec<_> = (0..40)
        .map(|_| Engine::slow(Duration::from_millis(100)))
        .collect();
    let at: Vec<_> = engines.iter().map(|e| e.address).collect();
    let rounds = |scenario: &Scenario, limited: bool, name: &str| {
        let mut client = connect(scenario.program.address);
        let mut served = 0;
        for round in 0..4 {
            (1..=32).for_each(|n| send_lookup(&mut client, round * 32 + n).unwrap());
            if limited {
                scenario.assert_within_limit();
            }
            if round == 1 {
                scenario.restore_discovery("");
            }
            for _ in 1..=32 {
                let (kind, _, payload) = read_frame(&mut client).unwrap();
                assert!(kind == 4 && payload[0] != 2, "{name}: {kind}, {payload:?}");
                served += u32::from(payload[0] == 0);
            }
        }
        served
    };
    let unlimited = rounds(
        &Scenario::new(&at, Some(1024), None, ClientState::Probed),
        false,
        "high limit",
    );
    for_each_scenario(&at, |scenario, name| {
        let served = rounds(&scenario, true, &name);
        println!("{name}: {served} of 128 served, {unlimited} with a high limit");
        assert!(
            served + 4 >= unlimited,
            "{name}: {served} of 128 served, {unlimited} with a high limit"
        );
    });
    let reached = engines
        .iter()
        .filter(|e| !e.request_times.lock().unwrap().is_empty())
        .count();
    println!("{reached} of 40 engines were reached");
}

#[test]
fn reload_is_read_and_moves_discovery() {
    let engine = Engine::new();
    for_each_scenario(&[engine.address], |mut scenario, _| {
        let text = std::fs::read_to_string(&scenario.program.config).unwrap();
        let moved = FakeService::down();
        let text = text.replace(
            &scenario.service.address.to_string(),
            &moved.address.to_string(),
        );
        std::fs::write(&scenario.program.config, text).unwrap();
        scenario.program.signal("-HUP");
        scenario
            .program
            .wait_for_log("SIGHUP: the configuration is in force");
        scenario.service = moved;
        scenario.restore_discovery("");
    });
}

/// Thirty idle connections hold the operators' descriptors.
#[test]
fn admin_requests_are_answered() {
    let engine = Engine::new();
    for_each_scenario(&[engine.address], |scenario, name| {
        let _callers: Vec<_> = (0..30).map(|_| connect(scenario.program.admin)).collect();
        let began = Instant::now();
        assert!(
            scenario.program.call("/_ready").starts_with("HTTP/1.1 200"),
            "{name}"
        );
        // The call ends only when the dispatcher closes the connection after its answer.
        assert!(
            began.elapsed() < Duration::from_millis(700),
            "{name}: {:?}",
            began.elapsed()
        );
        scenario.assert_within_limit();
    });
}

#[test]
fn active_client_is_admitted() {
    let engine = Engine::new();
    for_each_scenario(&[engine.address], |scenario, name| {
        let began = Instant::now();
        let mut client = connect(scenario.program.address);
        assert!(is_ready(&mut client).unwrap(), "{name}");
        assert_eq!(lookup(&mut client, 1).unwrap(), 0, "{name}");
        assert!(
            began.elapsed() < Duration::from_millis(700),
            "{name}: {:?}",
            began.elapsed()
        );
        scenario.assert_within_limit();
    });
}

#[test]
fn no_busy_loop_without_descriptors() {
    let engine = Engine::new();
    for_each_scenario(&[engine.address], |scenario, name| {
        std::thread::sleep(Duration::from_millis(300));
        let share = scenario.program.cpu_share_over_next_second();
        assert!(share < 0.1, "{name}: {share} of a core");
        scenario.assert_within_limit();
    });
}

/// Every admitted client has an open request, so that none can be evicted, and the listen queue is full.
#[test]
fn no_busy_loop_when_all_clients_are_active_and_discovery_reconnects() {
    let engine = Engine::slow(Duration::from_millis(1800));
    for (sockets, real) in [
        (Some(LIMIT), None),
        (Some(LIMIT), Some(LIMIT)),
        (None, Some(LIMIT)),
    ] {
        let service = FakeService::down();
        let program = Program::run(
            &config(&[engine.address], service.address, sockets),
            &[],
            real,
        );
        program.signal("-STOP");
        let mut clients: Vec<_> = (0..QUEUED_CLIENTS)
            .map(|_| connect(program.address))
            .collect();
        clients
            .iter_mut()
            .for_each(|tcp| send_lookup(tcp, 1).unwrap());
        program.signal("-CONT");
        let (took, _stream) = service
            .accept_and_send(Duration::from_secs(4), "")
            .expect("the dispatcher reconnects to discovery");
        assert!(took < RECONNECT_LIMIT, "reconnected after {took:?}");
        assert!(program.descriptors() <= LIMIT);
        let before = program.cpu();
        std::thread::sleep(Duration::from_millis(500));
        let share = (program.cpu() - before) * 2.0;
        assert!(share < 0.1, "{share} of a core");
    }
}

/// The MySQL frontend is configured for more clients than there are descriptors.
#[test]
fn mysql_clients_leave_descriptors_for_admin_files_and_upstreams() {
    let file = include_str!("../deploy/mysql.toml");
    let listen = file.lines().find(|l| l.starts_with("listen")).unwrap();
    let file = file.replace(listen, "listen = \"127.0.0.1:0\"");
    let program = Program::run(&file, &["--mysql"], Some(LIMIT));
    program.signal("-STOP");
    let _clients: Vec<_> = (0..100).map(|_| connect(program.address)).collect();
    program.signal("-CONT");
    let began = Instant::now();
    let mut head = [0; 5];
    connect(program.address).read_exact(&mut head).unwrap();
    assert_eq!(head[4], 10, "the client receives a greeting");
    assert!(program.call("/_vars").starts_with("HTTP/1.1 200"));
    std::fs::write(&program.config, &file).unwrap();
    program.signal("-HUP");
    program.wait_for_log("SIGHUP: the configuration is in force");
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    assert!(
        program.descriptors() <= LIMIT - 10,
        "{} descriptors",
        program.descriptors()
    );
    let share = program.cpu_share_over_next_second();
    assert!(share < 0.1, "{share} of a core");
}
