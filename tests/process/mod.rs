//! The program as a child process with a low descriptor limit, fake engines and a fake journal service.
#![allow(dead_code)]

use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
    "aim":800.0,"hard_limit":2000.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],
    "rules":{"cold_from":0.3,"drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,
    "overload_for":1500.0,"warm_within":14000.0},"step":5.0}"#;

pub(crate) struct Program {
    pub(crate) child: Child,
    pub(crate) address: SocketAddr,
    /// Address of the operators' HTTP service.
    pub(crate) admin: SocketAddr,
    pub(crate) config: PathBuf,
    /// Time of the child's exec, as precisely as the parent can observe it.
    pub(crate) spawned_at: Instant,
    /// Lines of standard error.
    pub(crate) log: mpsc::Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Program {
    /// Starts the program with a configuration and waits until it listens. `descriptor_limit` is the
    /// operating system's limit, which a shell sets with `ulimit` before it executes the program.
    pub(crate) fn run(config: &str, args: &[&str], descriptor_limit: Option<usize>) -> Self {
        let mut program = Self::spawn(config, args, descriptor_limit);
        program.wait_until_listening();
        program
    }

    /// Starts the program like [`Program::run`], without waiting until it listens.
    pub(crate) fn spawn(config: &str, args: &[&str], descriptor_limit: Option<usize>) -> Self {
        Self::spawn_from_shell(
            config,
            args,
            &descriptor_limit.map_or(String::new(), |limit| format!("ulimit -n {limit}; ")),
        )
    }

    /// Starts the program with a descriptor limit of 64, on the first core that this process may use; on any
    /// core if `taskset` is not installed. Does not wait until the program listens.
    pub(crate) fn spawn_on_one_core(config: &str) -> Self {
        let status = std::fs::read_to_string("/proc/self/status").unwrap();
        let cores = status
            .lines()
            .find_map(|line| line.strip_prefix("Cpus_allowed_list:"))
            .unwrap()
            .trim();
        let first_core = cores.split([',', '-']).next().unwrap();
        Self::spawn_from_shell(
            config,
            &[],
            &format!("taskset -p -c {first_core} $$ >/dev/null 2>&1; ulimit -n 64; "),
        )
    }

    /// Starts a shell that runs `setup` and then replaces itself with the program.
    fn spawn_from_shell(config: &str, args: &[&str], setup: &str) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let (id, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(format!("hitchwinch-child-{id}-{n}.conf"));
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("{setup}exec \"$0\" \"$@\""),
            env!("CARGO_BIN_EXE_hitchwinch"),
        ]);
        command
            .args(args)
            .env("PROXY_CONFIG", &path)
            .env("PROXY_ADMIN_ADDR", "127.0.0.1:0");
        command
            .env_remove("TMPDIR")
            .env_remove("PROXY_INHERITED_FD")
            .stderr(Stdio::piped());
        if !args.is_empty() {
            command.arg(&path);
        }
        let spawned_at = Instant::now();
        let mut child = command.spawn().unwrap();
        let (log_sender, log) = mpsc::channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| drop(log_sender.send(line)))
        });
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        Program {
            child,
            address: unknown,
            admin: unknown,
            config: path,
            spawned_at,
            log,
        }
    }

    /// Waits until the program listens, and takes its addresses from the log.
    pub(crate) fn wait_until_listening(&mut self) {
        while self.address.port() == 0 {
            let line = self
                .log
                .recv_timeout(Duration::from_secs(10))
                .expect("the program must listen within 10 s");
            if let Some((_, address)) = line.split_once("operators call at ") {
                self.admin = address.parse().unwrap();
            } else if let Some((_, address)) = line.split_once("listens on ") {
                self.address = address.parse().unwrap();
            }
        }
    }

    /// Returns the next line of the log that contains `text`; panics if none comes within 5 s.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("no log line contains {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sends a signal, named as an option of `kill` such as `-TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Sends a GET request to the operators' HTTP service and returns the response.
    pub(crate) fn call(&self, path: &str) -> String {
        let mut tcp = connect(self.admin);
        tcp.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
            .unwrap();
        let mut response = String::new();
        tcp.read_to_string(&mut response).unwrap();
        response
    }

    /// Returns the number of descriptors that the program has open.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Returns the processor time of the program so far, in seconds: the kernel reports it in ticks of 10 ms.
    pub(crate) fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        [11, 12]
            .iter()
            .map(|n| fields[*n].parse::<f64>().unwrap())
            .sum::<f64>()
            / 100.0
    }

    /// Returns the program's share of one core over the next second, which it waits for.
    pub(crate) fn cpu_share_over_next_second(&self) -> f64 {
        let before = self.cpu();
        std::thread::sleep(Duration::from_secs(1));
        self.cpu() - before
    }
}

/// Fake journal service. At first it is down: its address is bound, but refuses connections.
pub(crate) struct FakeService {
    socket: Socket,
    pub(crate) address: SocketAddr,
}

impl FakeService {
    pub(crate) fn down() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        FakeService { socket, address }
    }

    /// Starts to listen and sends `events` to the first client. Returns the time until that client connected
    /// and its connection, or `None` if no client connects within `wait`.
    pub(crate) fn accept_and_send(
        &self,
        wait: Duration,
        events: &str,
    ) -> Option<(Duration, TcpStream)> {
        self.socket.listen(16).unwrap();
        self.socket.set_nonblocking(true).unwrap();
        let began = Instant::now();
        while began.elapsed() < wait {
            if let Ok((tcp, _)) = self.socket.accept() {
                let elapsed = began.elapsed();
                let mut tcp = TcpStream::from(tcp);
                tcp.set_nonblocking(false).unwrap();
                let _ = tcp.read(&mut [0; 1024]).unwrap();
                tcp.write_all(format!("HTTP/1.1 200 OK\r\n\r\n: hello\n{events}").as_bytes())
                    .unwrap();
                return Some((elapsed, tcp));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        None
    }
}

/// Returns the JSON of one instance as the journal lists it.
pub(crate) fn instance_json(engine: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"instanceId":"e{engine}","hostPort":"{address}","machineType":"std","lifecycle":"{state}","startedAtMs":0}}"#
    )
}

/// Returns a configuration whose known endpoint list has these engines, or that has no known list if there
/// are none.
pub(crate) fn config(
    engines: &[SocketAddr],
    journal: SocketAddr,
    sockets: Option<usize>,
) -> String {
    let instances: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(i, address)| instance_json(i, *address, "in_service"))
        .collect();
    let known = match instances.is_empty() {
        true => "null".into(),
        false => format!(
            r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"reset":true,"instances":[{}]}}}}]}}"#,
            instances.join(",")
        ),
    };
    let limits = sockets.map_or(String::new(), |n| format!(r#""limits":{{"sockets":{n}}},"#));
    format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7",{limits}"journal":"{journal}","known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Returns one event of the journal's event stream.
pub(crate) fn journal_event(pos: u64, instances: &str) -> String {
    format!(
        "id: {pos}\ndata: {{\"pos\":{pos},\"hosts\":{{\"reset\":false,\"instances\":[{instances}]}}}}\n\n"
    )
}

/// Fake engine that answers every request at once or after a delay.
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    /// Times at which requests arrived.
    pub(crate) request_times: Arc<Mutex<Vec<Instant>>>,
}

impl Engine {
    pub(crate) fn new() -> Self {
        Self::slow(Duration::ZERO)
    }

    pub(crate) fn slow(delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let request_times = Arc::new(Mutex::new(vec![]));
        let shared = request_times.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let request_times = shared.clone();
                std::thread::spawn(move || drop(Self::serve(tcp, &request_times, delay)));
            }
        });
        Engine {
            address,
            request_times,
        }
    }

    fn serve(
        mut tcp: TcpStream,
        request_times: &Mutex<Vec<Instant>>,
        delay: Duration,
    ) -> std::io::Result<()> {
        let mut lines = BufReader::new(tcp.try_clone()?);
        let mut read_line = || -> std::io::Result<String> {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            Ok(line.trim_end().to_string())
        };
        loop {
            let count: usize = read_line()?[1..].parse().unwrap();
            let mut words = vec![];
            for _ in 0..count {
                read_line()?;
                words.push(read_line()?);
            }
            if words[0] == "GET" {
                request_times.lock().unwrap().push(Instant::now());
                std::thread::sleep(delay);
                let answer: String = [words[1].as_str(), "ACK", "total=1", "a\tb\tc\n"]
                    .iter()
                    .map(|w| format!("${}\r\n{w}\r\n", w.len()))
                    .collect();
                tcp.write_all(format!("*4\r\n{answer}").as_bytes())?;
            }
        }
    }
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(address).unwrap();
    tcp.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    tcp.set_nodelay(true).unwrap();
    tcp
}

/// Writes a frame.
pub(crate) fn send_frame(
    tcp: &mut TcpStream,
    kind: u8,
    stream: u32,
    payload: &[u8],
) -> std::io::Result<()> {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    tcp.write_all(&[&length[..], &[kind], &stream.to_be_bytes(), payload].concat())
}

/// Reads a frame and returns its type, stream and payload.
pub(crate) fn read_frame(tcp: &mut TcpStream) -> std::io::Result<(u8, u32, Vec<u8>)> {
    let mut length = [0; 4];
    tcp.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    tcp.read_exact(&mut frame)?;
    Ok((
        frame[0],
        u32::from_be_bytes(frame[1..5].try_into().unwrap()),
        frame[5..].to_vec(),
    ))
}

/// Sends a readiness request (type 16) and returns whether the program reports that it is ready.
pub(crate) fn is_ready(tcp: &mut TcpStream) -> std::io::Result<bool> {
    send_frame(tcp, 16, 9, &[0])?;
    let (kind, stream, payload) = read_frame(tcp)?;
    assert_eq!((kind, stream), (32, 9));
    Ok(payload[0] == 0)
}

/// Sends a look-up on stream `number` and returns the code of its answer.
pub(crate) fn lookup(tcp: &mut TcpStream, number: u32) -> std::io::Result<u8> {
    send_lookup(tcp, number)?;
    let (kind, stream, payload) = read_frame(tcp)?;
    assert_eq!((kind, stream), (4, number));
    Ok(payload[0])
}

/// Sends a look-up on stream `number`, without reading the answer.
pub(crate) fn send_lookup(tcp: &mut TcpStream, number: u32) -> std::io::Result<()> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let txn = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let mut payload = vec![3u8];
    for (name, value) in [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "2000")] {
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
    send_frame(tcp, 2, number, &payload)
}
