//! Idle clients fill the descriptors while discovery is down: what the program itself needs is there for all that. On the
//! program, with its own limit of 64, the machine's, or both; every place is held, and a hundred more come at once
//! out of the listening socket's queue.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod process;

use process::*;
use query_dispatcher::transport::descriptors::RESERVED;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

const LIMIT: usize = 64;
/// Places at that limit.
const PLACES: usize = 25;
/// In the queue.
const MORE: usize = 100;
/// Discovery is called anew after 0.4 s at most; the rest is for a machine with much to do.
const CALLED: Duration = Duration::from_millis(700);

/// How clients rest.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rest {
    /// They have asked whether it is ready, and those in the queue say nothing.
    Asked,
    /// Each has written the first bytes of a frame.
    Half,
}

struct Crowd {
    program: Program,
    service: FakeService,
    /// They stay to the end.
    _clients: Vec<TcpStream>,
}

fn client(at: SocketAddr, rest: Rest) -> TcpStream {
    let mut tcp = connect(at);
    match rest {
        // One that came before and has to give way by now does so.
        Rest::Asked => drop(is_ready(&mut tcp)),
        Rest::Half => tcp.write_all(&[0, 0, 0]).unwrap(),
    }
    tcp
}

impl Crowd {
    fn new(
        engines: &[SocketAddr],
        sockets: Option<usize>,
        real: Option<usize>,
        rest: Rest,
    ) -> Self {
        let service = FakeService::down();
        let program = Program::run(&config(engines, service.address, sockets), &[], real);
        let mut clients: Vec<_> = (0..PLACES).map(|_| client(program.address, rest)).collect();
        std::thread::sleep(Duration::from_millis(20));
        program.signal("-STOP");
        for _ in 0..MORE {
            let mut tcp = connect(program.address);
            if rest == Rest::Half {
                tcp.write_all(&[0, 0, 0]).unwrap();
            }
            clients.push(tcp);
        }
        program.signal("-CONT");
        Crowd {
            program,
            service,
            _clients: clients,
        }
    }

    /// Discovery returns; how long it took until it was called, and its stream.
    fn returns(&self, events: &str) -> TcpStream {
        let (took, tcp) = self
            .service
            .accept_and_send(Duration::from_secs(4), events)
            .expect("it calls");
        assert!(took < CALLED, "called after {took:?}");
        tcp
    }

    fn is_within(&self) {
        let held = self.program.descriptors();
        assert!(held <= LIMIT, "{held} descriptors");
    }
}

/// On every limit, and with each way to rest, beside each other.
fn crowds(engines: &[SocketAddr], test: impl Fn(Crowd, String) + Sync) {
    let limits = [
        (Some(LIMIT), None),
        (Some(LIMIT), Some(LIMIT)),
        (None, Some(LIMIT)),
    ];
    std::thread::scope(|s| {
        for (sockets, real) in limits {
            for rest in [Rest::Asked, Rest::Half] {
                let test = &test;
                s.spawn(move || {
                    let name = format!("sockets {sockets:?}, real {real:?}, {rest:?}");
                    test(Crowd::new(engines, sockets, real, rest), name)
                });
            }
        }
    });
}

/// Beyond what any program is given here.
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
        .expect("it calls");
    let given = std::fs::read_dir(format!("/proc/{}/fd", other.id()))
        .unwrap()
        .count()
        - 3;
    other.kill().unwrap();
    other.wait().unwrap();
    let held = program.descriptors() - given;
    println!("{held} descriptors");
    assert!(held <= RESERVED, "{held} descriptors");
}

#[test]
fn discovery_reconnects_at_once() {
    let engine = Engine::new();
    crowds(&[engine.address], |crowd, _| {
        crowd.returns("");
        crowd.is_within();
    });
}

#[test]
fn drain_received_on_reconnect_is_applied() {
    let (drains, stays) = (Engine::new(), Engine::new());
    crowds(&[drains.address, stays.address], |crowd, name| {
        let mut client = connect(crowd.program.address);
        assert!(is_ready(&mut client).unwrap(), "{name}");
        let _stream = crowd.returns(&journal_event(
            2,
            &instance_json(0, drains.address, "terminating"),
        ));
        // The grace of 250 ms, and 50 ms more.
        std::thread::sleep(Duration::from_millis(300));
        let from = Instant::now();
        for n in 1..=40 {
            assert_eq!(lookup(&mut client, n).unwrap(), 0, "{name}");
        }
        crowd.is_within();
        // Other crowds' requests to the same engine may come before their own drain.
        let all = stays
            .request_times
            .lock()
            .unwrap()
            .iter()
            .filter(|t| **t >= from)
            .count();
        assert!(all >= 40, "{name}: {all} of 40");
    });
}

/// Thirty-two requests at once, again and again, to forty engines that take a while: there are not as many descriptors, and
/// as many are served as with plenty.
#[test]
fn engines_and_discovery_are_both_reachable() {
    let engines: Vec<_> = (0..40)
        .map(|_| Engine::slow(Duration::from_millis(100)))
        .collect();
    let at: Vec<_> = engines.iter().map(|e| e.address).collect();
    let rounds = |crowd: &Crowd, few: bool, name: &str| {
        let mut client = connect(crowd.program.address);
        let mut served = 0;
        for round in 0..4 {
            (1..=32).for_each(|n| send_lookup(&mut client, round * 32 + n).unwrap());
            if few {
                crowd.is_within();
            }
            if round == 1 {
                crowd.returns("");
            }
            for _ in 1..=32 {
                let (kind, _, payload) = read_frame(&mut client).unwrap();
                assert!(kind == 4 && payload[0] != 2, "{name}: {kind}, {payload:?}");
                served += u32::from(payload[0] == 0);
            }
        }
        served
    };
    let plenty = rounds(
        &Crowd::new(&at, Some(1024), None, Rest::Asked),
        false,
        "plenty",
    );
    crowds(&at, |crowd, name| {
        let served = rounds(&crowd, true, &name);
        println!("{name}: {served} of 128 served, {plenty} with plenty");
        assert!(
            served + 4 >= plenty,
            "{name}: {served} of 128 served, {plenty} with plenty"
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
    crowds(&[engine.address], |mut crowd, _| {
        let text = std::fs::read_to_string(&crowd.program.config).unwrap();
        let moved = FakeService::down();
        let text = text.replace(
            &crowd.service.address.to_string(),
            &moved.address.to_string(),
        );
        std::fs::write(&crowd.program.config, text).unwrap();
        crowd.program.signal("-HUP");
        crowd
            .program
            .wait_for_log("SIGHUP: the configuration is in force");
        crowd.service = moved;
        crowd.returns("");
    });
}

/// Also when thirty callers hold the operators' own places.
#[test]
fn admin_requests_are_answered() {
    let engine = Engine::new();
    crowds(&[engine.address], |crowd, name| {
        let _callers: Vec<_> = (0..30).map(|_| connect(crowd.program.admin)).collect();
        let began = Instant::now();
        assert!(
            crowd.program.call("/_ready").starts_with("HTTP/1.1 200"),
            "{name}"
        );
        // After its answer a call is waited out.
        assert!(
            began.elapsed() < Duration::from_millis(700),
            "{name}: {:?}",
            began.elapsed()
        );
        crowd.is_within();
    });
}

#[test]
fn active_client_is_admitted() {
    let engine = Engine::new();
    crowds(&[engine.address], |crowd, name| {
        let began = Instant::now();
        let mut client = connect(crowd.program.address);
        assert!(is_ready(&mut client).unwrap(), "{name}");
        assert_eq!(lookup(&mut client, 1).unwrap(), 0, "{name}");
        assert!(
            began.elapsed() < Duration::from_millis(700),
            "{name}: {:?}",
            began.elapsed()
        );
        crowd.is_within();
    });
}

#[test]
fn no_busy_loop_without_descriptors() {
    let engine = Engine::new();
    crowds(&[engine.address], |crowd, name| {
        std::thread::sleep(Duration::from_millis(300));
        let share = crowd.program.cpu_share_over_next_second();
        assert!(share < 0.1, "{name}: {share} of a core");
        crowd.is_within();
    });
}

/// Every place has a request, so that nobody gives way, and the queue is full.
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
        let mut clients: Vec<_> = (0..MORE).map(|_| connect(program.address)).collect();
        clients
            .iter_mut()
            .for_each(|tcp| send_lookup(tcp, 1).unwrap());
        program.signal("-CONT");
        let (took, _stream) = service
            .accept_and_send(Duration::from_secs(4), "")
            .expect("it calls");
        assert!(took < CALLED, "called after {took:?}");
        assert!(program.descriptors() <= LIMIT);
        let before = program.cpu();
        std::thread::sleep(Duration::from_millis(500));
        let share = (program.cpu() - before) * 2.0;
        assert!(share < 0.1, "{share} of a core");
    }
}

/// The MySQL front, with places for more clients than the machine has descriptors.
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
    assert_eq!(head[4], 10, "greeted");
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
