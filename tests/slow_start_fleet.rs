//! Twenty processes of the program share one cold engine on loopback. Their clients send more than the engine
//! can sustain; the requests that reach it are counted in every overload window of the settings.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const DISPATCHERS: usize = 20;
/// Time that the engine needs for a request, in ms. The latency objective in the settings is derived from it.
const WORK_MS: f64 = 200.0;
const CORES: f64 = 8.0;
/// Share of its capacity that an engine has when it starts.
const INITIAL_CAPACITY: f64 = 0.3;
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW_MS: f64 = 400.0;
const WARM_UP_MS: f64 = 3000.0;
/// Interval between two requests of a client: twenty clients send four times what the warm engine can
/// sustain.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time between the launch of the processes and the engine's start, in ms: all processes listen by then.
const LAUNCH_MS: f64 = 700.0;
/// Held while a fleet runs: two fleets at once delay each other's requests by a part of the window.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Returns the Unix time in ms.
fn now() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs_f64()
        * 1000.0
}

/// A fake engine that records the arrival time of every complete request, and answers it after [`WORK_MS`].
struct Engine {
    address: String,
    /// Arrival times of the requests, as Unix times in ms.
    arrivals: Arc<Mutex<Vec<f64>>>,
}

impl Engine {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let arrivals = Arc::new(Mutex::new(vec![]));
        let log = arrivals.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let log = log.clone();
                thread::spawn(move || serve(tcp, &log));
            }
        });
        Engine { address, arrivals }
    }
}

fn serve(tcp: TcpStream, log: &Mutex<Vec<f64>>) {
    tcp.set_nodelay(true).unwrap();
    let mut write = tcp.try_clone().unwrap();
    let (pending, due) = channel::<(Instant, String)>();
    thread::spawn(move || {
        for (answer_at, id) in due {
            thread::sleep(answer_at.saturating_duration_since(Instant::now()));
            let words = [&id[..], "ACK", "total=1", "a\tb\tc\n"];
            let bulk: String = words
                .iter()
                .map(|w| format!("${}\r\n{w}\r\n", w.len()))
                .collect();
            if write.write_all(format!("*4\r\n{bulk}").as_bytes()).is_err() {
                return;
            }
        }
    });
    let mut read = BufReader::new(tcp);
    while let Some(words) = read_command(&mut read) {
        if words[0] == "GET" {
            log.lock().unwrap().push(now());
            let _ = pending.send((
                Instant::now() + Duration::from_secs_f64(WORK_MS / 1000.0),
                words[1].clone(),
            ));
        }
    }
}

/// Reads one command. Returns `None` if the connection ended.
fn read_command(read: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let number = |read: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        read.read_line(&mut line).ok()?;
        line.get(1..)?.trim().parse::<usize>().ok()
    };
    let mut words = vec![];
    for _ in 0..number(read)? {
        let mut word = vec![0; number(read)? + 2];
        read.read_exact(&mut word).ok()?;
        words.push(String::from_utf8_lossy(&word[..word.len() - 2]).into_owned());
    }
    (!words.is_empty()).then_some(words)
}

struct Program {
    child: Child,
    config: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Program {
    /// Starts the program; its address is sent to `addresses` once it listens.
    fn start(name: &str, config: &str, addresses: &Sender<String>) -> Self {
        let path =
            std::env::temp_dir().join(format!("hitchwinch-{}-{name}.conf", std::process::id()));
        std::fs::write(&path, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_hitchwinch"))
            .env("PROXY_CONFIG", &path)
            .env_remove("PROXY_ADMIN_ADDR")
            .env_remove("PROXY_INHERITED_FD")
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let addresses = addresses.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("listens on ") {
                    let _ = addresses.send(address.to_string());
                }
            }
        });
        Program {
            child,
            config: path,
        }
    }
}

/// Sends a look-up at every interval until `stop` is set or the dispatcher closes the connection. Answers are
/// read and discarded.
fn send_requests(address: &str, stop: &AtomicBool) {
    let Ok(mut tcp) = TcpStream::connect(address) else {
        return;
    };
    tcp.set_nodelay(true).unwrap();
    let mut read = tcp.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while read.read(&mut buffer).is_ok_and(|n| n > 0) {}
    });
    let mut payload = vec![3u8];
    for (name, value) in [
        ("verb", "lookup"),
        ("txn", "0123456789abcdef"),
        ("limit", "1000"),
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
    let length = (payload.len() as u32 + 5).to_be_bytes();
    let mut next = Instant::now();
    for stream in 1u32.. {
        let frame = [&length[..], &[2], &stream.to_be_bytes(), &payload].concat();
        if stop.load(Ordering::Relaxed) || tcp.write_all(&frame).is_err() {
            return;
        }
        next += REQUEST_INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn config(engine: &str, engine_started: f64, seed: usize, fleet_size: usize) -> String {
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"{seed:x}","journal":"127.0.0.1:1","known":{{
        "pos":1,"entries":[{{"pos":1,"hosts":{{"reset":true,"instances":[{{
        "instanceId":"cold","hostPort":"{engine}","machineType":"std",
        "lifecycle":"in_service","startedAtMs":{engine_started}}}]}}}}]}},"settings":{{
        "ceilings":{{"connect_timeout":250.0,"cancel":true,"most_tries":3}},"fleet_size":{fleet_size},
        "extra":{{"cores_by_kind":[{CORES}],"ram_of_kind_mb":[16384]}},
        "grades":[{{"name":"lookup","aim":{latency_objective},"aim_stretch":2.0,"hard_limit":1000.0,
        "effect":"retryable","worth":1.0}}],"machine_types":["std"],
        "rules":{{"cold_from":{INITIAL_CAPACITY},"drain_grace":250.0,
        "fall_multiple":{OVERLOAD_MULTIPLE},"grace_to_answer":20.0,"overload_for":{OVERLOAD_WINDOW_MS},
        "warm_within":{WARM_UP_MS}}},"step":5.0}}}}"#,
        latency_objective = 3.0 * WORK_MS
    )
}

/// Returns the largest ratio of the requests in one window to the limit, and the number of requests that
/// arrived during the warm-up.
fn largest_window(arrivals: &[f64], engine_started: f64) -> (f64, usize) {
    let during_warm_up: Vec<f64> = arrivals
        .iter()
        .copied()
        .filter(|at| *at < engine_started + WARM_UP_MS)
        .collect();
    let ratio = |(index, end): (usize, &f64)| {
        let window_start = end - OVERLOAD_WINDOW_MS;
        let count = during_warm_up[..=index]
            .iter()
            .filter(|at| **at > window_start)
            .count();
        let age = ((window_start - engine_started) / WARM_UP_MS).clamp(0.0, 1.0);
        let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age;
        let n = OVERLOAD_MULTIPLE * CORES * capacity * OVERLOAD_WINDOW_MS / WORK_MS;
        count as f64 / (n + 2.0 * n.sqrt() + 2.0)
    };
    (
        during_warm_up
            .iter()
            .enumerate()
            .map(ratio)
            .fold(0.0, f64::max),
        during_warm_up.len(),
    )
}

/// Number of requests that the engine can serve while it warms up, at its capacity and not a multiple of it.
fn warm_up_capacity() -> f64 {
    CORES * (1.0 + INITIAL_CAPACITY) / 2.0 * WARM_UP_MS / WORK_MS
}

/// Runs a fleet through the whole warm-up of the engine; `restarted` dispatchers are killed halfway and
/// started again at once. Returns the result of [`largest_window`].
fn run_fleet(name: &str, restarted: usize) -> (f64, usize) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let engine = Engine::start();
    let engine_started = (now() + LAUNCH_MS).round();
    let (address_sender, addresses) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let start = |i: usize| {
        Program::start(
            &format!("{name}-{i}"),
            &config(&engine.address, engine_started, i + 1, DISPATCHERS),
            &address_sender,
        )
    };
    let mut programs: Vec<Program> = (0..DISPATCHERS).map(start).collect();
    let mut clients = vec![];
    let mut start_clients = |count: usize, from: f64| {
        let started: Vec<String> = (0..count)
            .map(|_| addresses.recv_timeout(Duration::from_secs(10)).unwrap())
            .collect();
        thread::sleep(Duration::from_secs_f64((from - now()).max(0.0) / 1000.0));
        for address in started {
            let stop = stop.clone();
            clients.push(thread::spawn(move || send_requests(&address, &stop)));
        }
    };
    start_clients(DISPATCHERS, engine_started);
    thread::sleep(Duration::from_secs_f64(
        (engine_started + WARM_UP_MS / 2.0 - now()).max(0.0) / 1000.0,
    ));
    // The old process has ended before the new one starts.
    for i in 0..restarted {
        let old = programs.remove(0);
        drop(old);
        programs.push(start(DISPATCHERS + i));
    }
    start_clients(restarted, 0.0);
    thread::sleep(Duration::from_secs_f64(
        (engine_started + WARM_UP_MS - now()).max(0.0) / 1000.0,
    ));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    drop(programs);
    let arrivals = engine.arrivals.lock().unwrap().clone();
    let (largest, count) = largest_window(&arrivals, engine_started);
    println!(
        "{name}: the largest window is {largest:.3} of the limit, {count} requests during the warm-up"
    );
    (largest, count)
}

#[test]
fn twenty_processes_stay_under_the_limit_of_a_warming_engine() {
    let (largest, count) = run_fleet("fleet", 0);
    assert!(largest <= 1.0, "{largest} of the limit");
    assert!(
        count as f64 > warm_up_capacity(),
        "{count} requests are fewer than the engine can serve: it is left idle"
    );
}

#[test]
fn twenty_processes_stay_under_the_limit_with_five_restarted() {
    let (largest, count) = run_fleet("restarts", 5);
    assert!(largest <= 1.0, "{largest} of the limit");
    assert!(
        count as f64 > warm_up_capacity(),
        "{count} requests are fewer than the engine can serve: it is left idle"
    );
}

/// An overload window long enough that delays of a busy machine matter little, in ms.
const LONG_WINDOW_MS: f64 = 1200.0;

/// Runs the scenario of `slow_start_budget::twice_as_many_dispatchers_as_configured...` with real processes.
/// They learn of the engine's start after it has started, as they do from discovery: an engine whose start is
/// reported early is taken to be older than it is.
#[test]
fn twenty_processes_of_which_the_settings_name_ten_stay_under_the_limit() {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let engine = Engine::start();
    let engine_started = now().floor();
    let (address_sender, addresses) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let start = |number: usize| {
        let fleet_size = DISPATCHERS / 2;
        let config = config(&engine.address, engine_started, number + 1, fleet_size).replace(
            &format!(r#""overload_for":{OVERLOAD_WINDOW_MS}"#),
            &format!(r#""overload_for":{LONG_WINDOW_MS}"#),
        );
        Program::start(&format!("half-named-{number}"), &config, &address_sender)
    };
    let programs: Vec<Program> = (0..DISPATCHERS).map(start).collect();
    let clients: Vec<_> = (0..DISPATCHERS)
        .map(|_| {
            let address = addresses.recv_timeout(Duration::from_secs(10)).unwrap();
            let stop = stop.clone();
            thread::spawn(move || send_requests(&address, &stop))
        })
        .collect();
    let warm_at = engine_started + WARM_UP_MS;
    thread::sleep(Duration::from_secs_f64((warm_at - now()).max(0.0) / 1000.0));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    drop(programs);
    let arrivals = engine.arrivals.lock().unwrap().clone();
    let largest = largest_long_window(&arrivals, engine_started);
    let count = arrivals.len();
    println!("half-named: the largest window is {largest:.3} of the limit, {count} requests");
    assert!(largest <= 1.0, "{largest} of the limit");
    assert!(count > 30, "the engine received only {count} requests");
}

/// Returns the largest ratio of the requests in one window to the limit that the operators' page states: with
/// N for the expected number, N + 2 * sqrt(N) + 2, and N + 3 * sqrt(N) + 3 for N below 30.
fn largest_long_window(arrivals: &[f64], engine_started: f64) -> f64 {
    let ratio = |end: &f64| {
        let window_start = end - LONG_WINDOW_MS;
        let count = arrivals
            .iter()
            .filter(|at| **at > window_start && *at <= end)
            .count();
        let age = ((window_start - engine_started) / WARM_UP_MS).clamp(0.0, 1.0);
        let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age;
        let n = OVERLOAD_MULTIPLE * CORES * capacity * LONG_WINDOW_MS / WORK_MS;
        let allowance = if n < 30.0 { 3.0 } else { 2.0 };
        count as f64 / (n + allowance * n.sqrt() + allowance)
    };
    let during_warm_up = arrivals
        .iter()
        .filter(|at| **at < engine_started + WARM_UP_MS);
    during_warm_up.map(ratio).fold(0.0, f64::max)
}
