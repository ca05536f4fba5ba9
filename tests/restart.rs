//! Time from the exec of the program until it answers a readiness request (type 16) with code 0, which is
//! what the platform waits for when it restarts a dispatcher.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod process;

use process::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Sends readiness requests until the program is ready; returns the time since its exec.
fn time_until_ready(program: &mut Program) -> Duration {
    program.wait_until_listening();
    let mut tcp = connect(program.address);
    while !is_ready(&mut tcp).unwrap_or(false) {
        std::thread::sleep(Duration::from_millis(2));
    }
    program.spawned_at.elapsed()
}

/// Prints the 50th and 90th percentile of `times` and asserts that the 90th is below `bound`.
fn assert_p90_below(case: &str, mut times: Vec<Duration>, bound: Duration) {
    times.sort();
    let percentile = |share: f64| times[((times.len() as f64 * share).ceil() as usize).max(1) - 1];
    println!(
        "{case}: p50 {:?}, p90 {:?} of {}",
        percentile(0.5),
        percentile(0.9),
        times.len()
    );
    assert!(percentile(0.9) < bound, "{case}: {times:?}");
}

#[test]
fn ready_with_a_known_list_while_discovery_is_down() {
    let engine = Engine::new();
    let measure = || {
        time_until_ready(&mut Program::spawn(
            &config(&[engine.address], FakeService::down().address, Some(64)),
            &[],
            Some(64),
        ))
    };
    assert_p90_below(
        "discovery down, endpoint list known",
        (0..10).map(|_| measure()).collect(),
        Duration::from_secs(1),
    );
}

/// No endpoint list is known, and discovery comes up 300 ms after the exec.
#[test]
fn ready_once_discovery_returns_during_startup() {
    let engine = Engine::new();
    let snapshot =
        journal_event(1, &instance_json(0, engine.address, "in_service")).replace("false", "true");
    let measure = || {
        let service = FakeService::down();
        let mut program = Program::spawn(&config(&[], service.address, Some(64)), &[], Some(64));
        let snapshot = &snapshot;
        std::thread::scope(|s| {
            let journal = s.spawn(|| {
                std::thread::sleep(Duration::from_millis(300));
                service
                    .accept_and_send(Duration::from_secs(4), snapshot)
                    .expect("the program must connect to the journal")
            });
            let elapsed = time_until_ready(&mut program);
            drop(journal.join().unwrap());
            elapsed
        })
    };
    let times = std::thread::scope(|s| {
        let threads: Vec<_> = (0..10).map(|_| s.spawn(measure)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_p90_below(
        "no endpoint list known, discovery up after 300 ms",
        times,
        Duration::from_millis(1500),
    );
}

/// Before the program starts, 300 clients are in the accept queue of the socket that it inherits: half of
/// them have sent part of a frame, the others nothing. The readiness request comes after them.
#[test]
fn readiness_is_answered_behind_a_full_accept_queue() {
    let engine = Engine::new();
    let measure = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(1024).unwrap();
        let socket = TcpListener::from(socket);
        let address = socket.local_addr().unwrap();
        let _queued_clients: Vec<TcpStream> = (0..300)
            .map(|n| {
                let mut tcp = connect(address);
                if n % 2 == 0 {
                    std::io::Write::write_all(&mut tcp, &[0, 0, 0]).unwrap();
                }
                tcp
            })
            .collect();
        let mut client = connect(address);
        send_frame(&mut client, 16, 9, &[0]).unwrap();
        let path = std::env::temp_dir().join(format!("hitchwinch-queue-{}.conf", address.port()));
        let service = FakeService::down();
        std::fs::write(&path, config(&[engine.address], service.address, Some(64))).unwrap();
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
        let answer = read_frame(&mut client);
        let elapsed = began.elapsed();
        child.kill().unwrap();
        child.wait().unwrap();
        std::fs::remove_file(path).unwrap();
        let (kind, _, payload) = answer.expect("the readiness request must be answered");
        assert_eq!((kind, payload[0]), (32, 0));
        elapsed
    };
    assert_p90_below(
        "300 clients in the accept queue",
        (0..5).map(|_| measure()).collect(),
        Duration::from_secs(1),
    );
}

/// All processes start at the same time and connect to the same journal service, which stays down. The known
/// endpoint list makes them ready.
#[test]
fn twenty_processes_starting_together_become_ready() {
    let engine = Engine::new();
    let service = FakeService::down();
    let config = config(&[engine.address], service.address, Some(64));
    let mut programs: Vec<_> = (0..20)
        .map(|_| Program::spawn_on_one_core(&config))
        .collect();
    let times: Vec<_> = std::thread::scope(|s| {
        let threads: Vec<_> = programs
            .iter_mut()
            .map(|program| s.spawn(|| time_until_ready(program)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_p90_below("20 processes together", times, Duration::from_secs(6));
}
