//! A dispatcher under hostile clients, which use raw connections, while a usual client sends a request at each
//! interval.

use crate::platform::clients::{
    Connection, Request, RequestLog, Target, encode_frame, encode_with_fields,
};
use crate::platform::dispatcher::Dispatcher;
use crate::platform::engines::{Behaviour, Engine, Fleet};
use crate::platform::journal::{Instance, Journal, Lifecycle};
use crate::platform::lag::{measure_timer_lag, timer_lag};
use crate::platform::settings::{Class, Effect, Settings};
use crate::platform::verdict::{Records, Violation, find_violations};
use crate::program::{Folder, ProgramError};
use query_dispatcher::protocol::frames::{code, kind};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinSet, LocalSet, spawn_local};

/// Least memory that the platform's pages name for a dispatcher, in megabytes.
pub const LEAST_MEMORY_MB: usize = 32;
/// Descriptor limit of a dispatcher.
pub const DESCRIPTORS: usize = 1024;
/// Number of connections that clients may hold: a third of the descriptors.
pub const MAX_CLIENT_CONNECTIONS: usize = DESCRIPTORS / 3;
/// Maximum length of a frame without the length itself, in bytes.
pub const MAX_FRAME_BYTES: usize = 262_144;
/// Maximum number of requests that are open on one connection.
pub const MAX_OPEN_STREAMS: u32 = 32;
/// Time limit of the usual client's requests.
pub const USUAL_LIMIT: Duration = Duration::from_millis(1500);
/// Interval of the usual client's requests.
const USUAL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of a hostile client's receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// Pause of a hostile client before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the hostile clients run before the usual client starts.
const HEAD_START: Duration = Duration::from_millis(200);
/// First id of the usual client's requests.
const FIRST_USUAL_ID: u64 = 0xabc0_0000_0000;
const ENGINES: usize = 4;
const ENGINE_SLOTS: usize = 200;
const EXECUTION_TIME: Duration = Duration::from_millis(5);

/// The run's parameters.
pub struct Scenario<'a> {
    /// The dispatcher's program.
    pub binary: &'a Path,
    pub name: &'a str,
    /// Number of hostile clients.
    pub hostile_clients: usize,
    /// Time for which the usual client sends requests.
    pub span: Duration,
}

/// What a run measured.
pub struct Outcome {
    pub peak_memory_mb: f64,
    /// Requests of the usual client.
    pub usual: Vec<Request>,
    /// Broken rules towards the usual client.
    pub violations: Vec<Violation>,
    /// Whether the process ended by itself.
    pub has_ended: bool,
    /// What the dispatcher tells of its clients at the end.
    pub metrics: String,
    /// The dispatcher's log.
    pub log: Vec<String>,
    /// Maximum delay of the timers of the thread that records times.
    pub lag: Duration,
}

impl Outcome {
    /// Returns how many of the usual client's requests were served.
    pub fn served(&self) -> usize {
        let is_served = |request: &&Request| {
            let mut answers = request.answers.iter();
            answers.any(|answer| answer.code == code::SERVED)
        };
        self.usual.iter().filter(is_served).count()
    }

    /// Counts the usual client's answers that are no results, by their text.
    fn other_answers(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        let answers = self.usual.iter().flat_map(|request| &request.answers);
        for answer in answers.filter(|answer| answer.code != code::SERVED) {
            *counts.entry(answer.body.as_str()).or_default() += 1;
        }
        counts
    }

    /// Returns the longest time between a deadline of the usual client's requests and the answer; zero if all answers
    /// came before.
    fn latest_answer(&self) -> Duration {
        let late_by = |request: &Request| {
            let answered = request.answers.iter().map(|answer| answer.at);
            answered
                .map(|at| at.saturating_duration_since(request.deadline()))
                .max()
        };
        let late = self.usual.iter().filter_map(late_by);
        late.max().unwrap_or_default()
    }

    /// Formats the result as one line.
    pub fn summary(&self) -> String {
        let first = self.violations.first();
        format!(
            "peak memory {:.1} MB, {} of {} usual requests served, others {:?}, latest {:?} after its deadline, ended: {}, judge late by {:?}, {} violations {first:?}",
            self.peak_memory_mb,
            self.served(),
            self.usual.len(),
            self.other_answers(),
            self.latest_answer(),
            self.has_ended,
            self.lag,
            self.violations.len()
        )
    }

    /// Returns whether the process lived, stayed within its memory limit and broke no rule.
    pub fn is_within_limits(&self) -> bool {
        !self.has_ended
            && self.violations.is_empty()
            && self.peak_memory_mb <= LEAST_MEMORY_MB as f64
    }
}

/// Returns the settings of the run: the least memory, and classes with and without an effect.
pub fn settings() -> Settings {
    let class = |name, effect| Class {
        name,
        effect,
        objective: 500.0,
        deadline: 5000.0,
        weight: 1.0,
    };
    Settings {
        classes: vec![
            class("lookup", Effect::Retryable),
            class("load", Effect::Fragile),
        ],
        retries_per_request: Some(0.2),
        memory_mb: LEAST_MEMORY_MB,
        descriptors: DESCRIPTORS,
        ..Settings::default()
    }
}

/// Returns an engine as the journal lists it while it is in service.
pub fn in_service(engine: &Rc<Engine>) -> Instance {
    Instance {
        id: engine.id(),
        address: engine.address,
        lifecycle: Lifecycle::InService,
        started_at_ms: 0.0,
    }
}

impl Scenario<'_> {
    /// Runs the hostile clients beside the usual one. `prepare` sets the behaviour of the engines;
    /// `use_connection` is what the hostile client of this number does on each of its connections.
    ///
    /// # Errors
    /// The dispatcher does not start.
    pub async fn run<F: Future<Output = io::Result<()>> + 'static>(
        &self,
        prepare: impl FnOnce(&Fleet),
        use_connection: impl Fn(usize, TcpStream) -> F + Clone + Send + 'static,
    ) -> Result<Outcome, ProgramError> {
        let folder = Folder::new(&format!("hostile-clients-{}", self.name))?;
        let fleet = Fleet::start(ENGINES, EXECUTION_TIME, ENGINE_SLOTS).await?;
        prepare(&fleet);
        let listed: Vec<Instance> = fleet.engines.iter().map(in_service).collect();
        let journal = Journal::start(&listed).await?;
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let known = journal.known_section();
        let config = settings().config_file(0, listen, journal.address(), &known);
        let mut dispatcher = Dispatcher::start(self.binary, &folder, "n0", &config, None).await?;
        let epoch = Instant::now();
        let address = dispatcher.address;
        let hostile_clients = self.hostile_clients;
        let (stop, stopped) = oneshot::channel();
        let hostile = std::thread::spawn(move || {
            run_hostile_clients(address, hostile_clients, use_connection, stopped)
        });
        let lag_meter = spawn_local(measure_timer_lag());
        tokio::time::sleep(HEAD_START).await;
        let log = RequestLog::default();
        usual_client(address, &log, self.span).await?;
        lag_meter.abort();
        drop(stop);
        let _ = hostile.join();
        let usual = log.requests();
        let records = Records {
            requests: usual.clone(),
            executions: fleet.executions(),
            ..Records::default()
        };
        Ok(Outcome {
            peak_memory_mb: dispatcher.peak_memory_mb(),
            violations: find_violations(&records, &settings(), epoch),
            usual,
            metrics: dispatcher.fetch_page("/_clients").await.unwrap_or_default(),
            log: dispatcher.log().into_iter().map(|(_, line)| line).collect(),
            has_ended: dispatcher.has_ended(),
            lag: timer_lag(),
        })
    }
}

/// Runs hostile clients on a runtime of their own until `stopped`, for a thread of their own: they delay no other client
/// of the test.
///
/// # Errors
/// The runtime cannot be built.
pub fn run_hostile_clients<F: Future<Output = io::Result<()>> + 'static>(
    address: SocketAddr,
    count: usize,
    use_connection: impl Fn(usize, TcpStream) -> F + Clone + 'static,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let clients = async move {
        let mut clients = JoinSet::new();
        for number in 0..count {
            let use_connection = use_connection.clone();
            let client = hostile_client(address, move |tcp| use_connection(number, tcp));
            clients.spawn_local(client);
        }
        let _ = stopped.await;
    };
    LocalSet::new().block_on(&runtime, clients);
    Ok(())
}

/// Connects with a small receive buffer, so that the kernel holds little of what is not read.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Uses one connection after another, without end.
async fn hostile_client<F: Future<Output = io::Result<()>>>(
    address: SocketAddr,
    use_connection: impl Fn(TcpStream) -> F,
) {
    loop {
        if let Ok(tcp) = connect(address).await {
            let _ = tcp.set_nodelay(true);
            let _ = use_connection(tcp).await;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends a request at each interval, all on one connection while it lasts.
async fn usual_client(address: SocketAddr, log: &RequestLog, span: Duration) -> io::Result<()> {
    let target = Target {
        address,
        dispatcher: 0,
        process: 0,
    };
    let started_at = Instant::now();
    let mut connection = Connection::open(target, log).await?;
    let mut id = FIRST_USUAL_ID;
    while started_at.elapsed() < span {
        if connection.has_ended() {
            connection = Connection::open(target, log).await?;
        }
        id += 1;
        let _ = connection
            .send(&format!("{id:016x}"), "lookup", USUAL_LIMIT)
            .await;
        tokio::time::sleep(USUAL_INTERVAL).await;
    }
    connection.wait_until_idle(USUAL_LIMIT * 2).await;
    Ok(())
}

/// Reads and discards what the dispatcher sends, until it closes the connection.
///
/// # Errors
/// The connection is reset.
pub async fn read_to_end(tcp: &mut (impl AsyncReadExt + Unpin)) -> io::Result<()> {
    let mut buffer = [0; 4096];
    while tcp.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Makes all engines accept requests and never answer them.
pub fn hang(fleet: &Fleet) {
    for engine in &fleet.engines {
        engine.behaviour.set(Behaviour::Hanging);
    }
}

/// Formats the id of a hostile client's request.
pub fn request_id(client: usize, stream: u32) -> String {
    format!("{client:08x}{stream:08x}")
}

/// Encodes a request of class `lookup` whose head has `fields` as further fields, and whose statement has this
/// size.
pub fn encode_request(
    client: usize,
    stream: u32,
    fields: &[(&str, &str)],
    statement_bytes: usize,
) -> Vec<u8> {
    let id = request_id(client, stream);
    let own = [("verb", "lookup"), ("txn", id.as_str()), ("limit", "4000")];
    let fields = [&own[..], fields].concat();
    let mut statement = "select 1 from sales_17.orders -- ".to_string();
    let padding = statement_bytes.saturating_sub(statement.len());
    statement.extend(std::iter::repeat_n('x', padding));
    encode_with_fields(kind::REQUEST, stream, &fields, statement.as_bytes())
}

/// Encodes a readiness request.
pub fn encode_ask(stream: u32) -> Vec<u8> {
    encode_frame(kind::ASK, stream, &[0])
}
