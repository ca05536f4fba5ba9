//! From its exec to its answer to type 16 with code 0: what the platform waits for when it starts a dispatcher again.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod process;

use process::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Asks anew until it is ready; how long that took from its exec.
fn until_ready(program: &mut Program) -> Duration {
    program.listens();
    let mut tcp = connect(program.address);
    while !ready(&mut tcp).unwrap_or(false) {
        std::thread::sleep(Duration::from_millis(2));
    }
    program.began.elapsed()
}

/// Half and nine in ten are ready by these; the second is bound.
fn told_within(what: &str, mut all: Vec<Duration>, bound: Duration) {
    all.sort();
    let at = |share: f64| all[((all.len() as f64 * share).ceil() as usize).max(1) - 1];
    println!(
        "{what}: p50 {:?}, p90 {:?} of {}",
        at(0.5),
        at(0.9),
        all.len()
    );
    assert!(at(0.9) < bound, "{what}: {all:?}");
}

#[test]
fn ready_with_a_known_list_while_discovery_is_down() {
    let engine = Engine::new();
    let one = || {
        until_ready(&mut Program::exec(
            &config(&[engine.at], Service::down().at, Some(64)),
            &[],
            Some(64),
        ))
    };
    told_within(
        "discovery down, a list known",
        (0..10).map(|_| one()).collect(),
        Duration::from_secs(1),
    );
}

/// Nothing is known, and discovery comes up 300 ms after the exec.
#[test]
fn ready_once_discovery_returns_during_startup() {
    let engine = Engine::new();
    let whole = event(1, &told(0, engine.at, "in_service")).replace("false", "true");
    let one = || {
        let service = Service::down();
        let mut program = Program::exec(&config(&[], service.at, Some(64)), &[], Some(64));
        let whole = &whole;
        std::thread::scope(|s| {
            let up = s.spawn(|| {
                std::thread::sleep(Duration::from_millis(300));
                service
                    .returns(Duration::from_secs(4), whole)
                    .expect("it calls")
            });
            let took = until_ready(&mut program);
            drop(up.join().unwrap());
            took
        })
    };
    let all = std::thread::scope(|s| {
        let all: Vec<_> = (0..10).map(|_| s.spawn(one)).collect();
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    told_within(
        "nothing known, discovery up after 300 ms",
        all,
        Duration::from_millis(1500),
    );
}

/// Three hundred clients are in the queue of the socket that it inherits before it starts: some rest in the middle of a
/// frame, some say nothing. Behind them comes the question.
#[test]
fn readiness_is_answered_behind_a_full_accept_queue() {
    let engine = Engine::new();
    let one = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(1024).unwrap();
        let socket = TcpListener::from(socket);
        let at = socket.local_addr().unwrap();
        let _crowd: Vec<TcpStream> = (0..300)
            .map(|n| {
                let mut tcp = connect(at);
                if n % 2 == 0 {
                    std::io::Write::write_all(&mut tcp, &[0, 0, 0]).unwrap();
                }
                tcp
            })
            .collect();
        let mut asks = connect(at);
        send(&mut asks, 16, 9, &[0]).unwrap();
        let path = std::env::temp_dir().join(format!("hitchwinch-queue-{}.conf", at.port()));
        let service = Service::down();
        std::fs::write(&path, config(&[engine.at], service.at, Some(64))).unwrap();
        let began = Instant::now();
        let mut child = Command::new("sh")
            .args([
                "-c",
                "ulimit -n 64; exec \"$0\" 7<&0",
                env!("CARGO_BIN_EXE_hitchwinch"),
            ])
            .stdin(OwnedFd::from(socket))
            .stderr(Stdio::null())
            .env("PROXY_CONFIG", &path)
            .env("PROXY_INHERITED_FD", "7")
            .env_remove("TMPDIR")
            .spawn()
            .unwrap();
        let answer = expect(&mut asks);
        let took = began.elapsed();
        child.kill().unwrap();
        child.wait().unwrap();
        std::fs::remove_file(path).unwrap();
        let (kind, _, payload) = answer.expect("it is answered");
        assert_eq!((kind, payload[0]), (32, 0));
        took
    };
    told_within(
        "three hundred in the queue",
        (0..5).map(|_| one()).collect(),
        Duration::from_secs(1),
    );
}

/// All start in the same moment, without a list, and call the one service, which comes up with them.
#[test]
fn twenty_processes_starting_together_become_ready() {
    let engine = Engine::new();
    let service = Service::down();
    let config = config(&[engine.at], service.at, Some(64));
    let mut all: Vec<_> = (0..20)
        .map(|_| Program::exec_on_one_core(&config))
        .collect();
    let all: Vec<_> = std::thread::scope(|s| {
        let all: Vec<_> = all.iter_mut().map(|p| s.spawn(|| until_ready(p))).collect();
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    told_within("twenty together", all, Duration::from_secs(6));
}
