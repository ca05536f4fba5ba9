//! Soak test: dispatchers as real processes, engines, the journal service and clients on loopback, and random
//! overlapping faults. All random draws come from a seed; [`crate::platform::verdict`] checks the records.

mod clients;
mod engine_faults;
mod hostile_clients;
mod process_faults;

use crate::platform::clients::{Connection, RequestLog, Target};
use crate::platform::dispatcher::{Dispatcher, Faults, Shim, send_signal};
use crate::platform::engines::{Behaviour, Engine, Fleet};
use crate::platform::hostile_clients::LEAST_MEMORY_MB;
use crate::platform::journal::{Instance, Journal, Lifecycle, Mode};
use crate::platform::lag::{measure_timer_lag, timer_lag};
use crate::platform::settings::{Class, Effect, Settings};
use crate::platform::verdict::{
    DrainNotice, ProcessEnd, Records, SlowStart, Violation, find_violations,
};
use crate::program::{Folder, ProgramError};
use crate::random::{Stream, Streams};
use query_dispatcher::protocol::frames::{code, kind};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Longest deadline of any class.
const MAX_DEADLINE: Duration = Duration::from_millis(1500);
/// Time from SIGTERM to SIGKILL: the shortest that operators use.
const SIGKILL_DELAY: Duration = Duration::from_millis(1500 + 700);
/// Time within which a dispatcher that is connected to the journal receives an event.
const EVENT_DELIVERY_DELAY: Duration = Duration::from_millis(150);
/// Time within which dispatchers reconnect after an outage of the journal.
const JOURNAL_RECONNECT_DELAY: Duration = Duration::from_secs(4);
/// Time after which dispatchers count as notified of an event that the journal could not deliver at once.
const MISSED_EVENT_DELAY: Duration = Duration::from_secs(7);
/// Maximum delay of the test process's timers; with more, the recorded times prove nothing.
const MAX_TIMER_LAG: Duration = Duration::from_millis(50);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub dispatchers: usize,
    pub engines: usize,
    pub connections_per_dispatcher: usize,
    /// Mean pause between two requests of one connection, in milliseconds.
    pub think_time_ms: f64,
    /// Time for which faults are injected.
    pub span: Duration,
    /// Number of idle connections that are opened at once; 0 for none.
    pub crowd: usize,
    /// Number of hostile clients that connect at once; 0 for none.
    pub hostile_clients: usize,
    /// Memory limit of a dispatcher, in megabytes.
    pub memory_mb: usize,
}

impl Scale {
    /// Draws the size of a run from its seed: some runs have bursts of idle connections, some many engines.
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut random = Streams::new(seed).stream("scale");
        let has_hostile_clients = Streams::new(seed).stream("hostile").chance(0.5);
        Scale {
            dispatchers: 6 + random.below(7),
            engines: match random.below(4) {
                0 => 300,
                _ => 5 + random.below(8),
            },
            connections_per_dispatcher: 6,
            think_time_ms: 150.0,
            span,
            crowd: if random.chance(0.3) { 500 } else { 0 },
            hostile_clients: if has_hostile_clients { 150 } else { 0 },
            memory_mb: if has_hostile_clients {
                LEAST_MEMORY_MB
            } else {
                192
            },
        }
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub attempts: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub processes: usize,
    /// Number of injected faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Maximum delay of the test process's timers.
    pub lag: Duration,
    pub violations: Vec<Violation>,
    /// Number of violations that the dispatchers reported themselves, by name.
    pub reported_violations: BTreeMap<String, u64>,
    /// Processes that exited by themselves with an error, did not start, or passed their memory limit.
    pub crashes: Vec<String>,
    /// Highest peak memory of a process, in megabytes.
    pub peak_memory_mb: f64,
    /// Log lines by process.
    pub logs: BTreeMap<String, Vec<String>>,
}

impl Outcome {
    /// Returns whether the run has no violations and no crashes.
    pub fn is_clean(&self) -> bool {
        let reported: u64 = self.reported_violations.values().sum();
        self.violations.is_empty() && self.crashes.is_empty() && reported == 0
    }

    /// Formats the result as one line, and a line for each of the first six violations.
    pub fn summary(&self) -> String {
        let violations = self.violations.iter().take(6);
        let violations: String = violations.map(|v| format!("\n    {v:?}")).collect();
        format!(
            "{} requests, {} attempts, {} served, {} refused, {} failed, {} processes, {:.1} MB at most, faults {:?}, \
             judge late by {:?}{}, counted {:?}, crashes {:?}, {} violations{violations}",
            self.requests,
            self.attempts,
            self.served,
            self.refused,
            self.failed,
            self.processes,
            self.peak_memory_mb,
            self.faults,
            self.lag,
            if self.is_void() { " (void)" } else { "" },
            self.reported_violations
                .iter()
                .filter(|(_, n)| **n > 0)
                .collect::<Vec<_>>(),
            self.crashes,
            self.violations.len(),
        )
    }

    /// Returns whether the timers were delayed so much that the recorded times prove nothing.
    pub fn is_void(&self) -> bool {
        self.lag > MAX_TIMER_LAG
    }
}

fn settings(scale: Scale) -> Settings {
    let class = |name, effect, deadline, weight| Class {
        name,
        effect,
        objective: deadline / 3.0,
        deadline,
        weight,
    };
    Settings {
        classes: vec![
            class("lookup", Effect::Retryable, 800.0, 1.0),
            class("ledger", Effect::Deduplicated, 1200.0, 3.0),
            class(
                "load",
                Effect::Fragile,
                MAX_DEADLINE.as_secs_f64() * 1000.0,
                4.0,
            ),
        ],
        dispatchers: scale.dispatchers,
        cores: 2.0,
        memory_mb: scale.memory_mb,
        ..Settings::default()
    }
}

/// One dispatcher: its current process, and the number of processes before it.
struct Node {
    rank: usize,
    address: Cell<SocketAddr>,
    process: Cell<usize>,
    dispatcher: RefCell<Option<Dispatcher>>,
    /// Whether it is being restarted or is being sent other signals.
    is_busy: Cell<bool>,
}

struct SoakRun {
    scale: Scale,
    settings: Settings,
    binary: PathBuf,
    folder: Folder,
    shim: Shim,
    fleet: Fleet,
    journal: Rc<Journal>,
    nodes: Vec<Rc<Node>>,
    log: RequestLog,
    records: RefCell<Records>,
    faults: RefCell<BTreeMap<&'static str, usize>>,
    crashes: RefCell<Vec<String>>,
    peak_memory_mb: Cell<f64>,
    logs: RefCell<BTreeMap<String, Vec<String>>>,
    reported_violations: RefCell<BTreeMap<String, u64>>,
    journal_restored_at: Cell<Option<Instant>>,
    is_finished: Cell<bool>,
    started_at: Instant,
}

/// Runs one seed on its own runtime.
pub fn run_seed(binary: &Path, seed: u64, scale: Scale) -> Result<Outcome, ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(binary, seed, scale))
}

async fn run(binary: &Path, seed: u64, scale: Scale) -> Result<Outcome, ProgramError> {
    let streams = Streams::new(seed);
    let lag_meter = spawn_local(measure_timer_lag());
    let soak = Rc::new(SoakRun::start(binary, seed, scale).await?);
    let mut clients: Vec<JoinHandle<()>> = vec![];
    for node in &soak.nodes {
        for number in 0..scale.connections_per_dispatcher {
            let stream = streams.numbered("client", node.rank * 1000 + number);
            clients.push(spawn_local(soak.clone().client(node.clone(), stream)));
        }
    }
    let faults = [
        spawn_local(soak.clone().engine_faults(streams.stream("engines"))),
        spawn_local(soak.clone().engine_lifecycles(streams.stream("lifecycles"))),
        spawn_local(soak.clone().journal_faults(streams.stream("journal"))),
        spawn_local(soak.clone().signals(streams.stream("signals"))),
        spawn_local(soak.clone().machine_faults(streams.stream("machines"))),
        spawn_local(soak.clone().crowds(streams.stream("crowds"))),
        spawn_local(
            soak.clone()
                .hostile_clients(streams.stream("hostile clients")),
        ),
    ];
    tokio::time::sleep(scale.span).await;
    faults.iter().for_each(JoinHandle::abort);
    soak.wait_for_idle_nodes().await;
    soak.collect_violation_counters().await;
    let stops = soak
        .nodes
        .iter()
        .map(|node| soak.clone().stop(node.clone()));
    futures_util::future::join_all(stops).await;
    soak.is_finished.set(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    clients.iter().for_each(JoinHandle::abort);
    lag_meter.abort();
    Ok(soak.outcome())
}

impl SoakRun {
    /// Starts the engines, the journal service and the dispatchers.
    async fn start(binary: &Path, seed: u64, scale: Scale) -> Result<Self, ProgramError> {
        let folder = Folder::new(&format!("soak-{seed}"))?;
        let shim = Shim::build(&folder)?;
        let execution_time = Duration::from_millis(40);
        let fleet = Fleet::start(scale.engines, execution_time, 60).await?;
        let instances: Vec<Instance> = fleet
            .engines
            .iter()
            .map(|engine| instance(engine, Lifecycle::InService, 0.0))
            .collect();
        let journal = Journal::start(&instances).await?;
        let soak = SoakRun {
            scale,
            settings: Settings {
                peers: Settings::free_peer_addresses(scale.dispatchers)?,
                ..settings(scale)
            },
            binary: binary.to_path_buf(),
            folder,
            shim,
            fleet,
            journal,
            nodes: (0..scale.dispatchers).map(Node::new).collect(),
            log: RequestLog::default(),
            records: RefCell::default(),
            faults: RefCell::default(),
            crashes: RefCell::default(),
            peak_memory_mb: Cell::new(0.0),
            logs: RefCell::default(),
            reported_violations: RefCell::default(),
            journal_restored_at: Cell::new(None),
            is_finished: Cell::new(false),
            started_at: Instant::now(),
        };
        for node in &soak.nodes {
            soak.start_process(node).await?;
        }
        Ok(soak)
    }

    fn count_fault(&self, fault: &'static str) {
        *self.faults.borrow_mut().entry(fault).or_default() += 1;
    }

    fn target(node: &Node) -> Option<Target> {
        node.dispatcher.borrow().as_ref().map(|dispatcher| Target {
            address: dispatcher.address,
            dispatcher: node.rank,
            process: node.process.get(),
        })
    }

    fn outcome(&self) -> Outcome {
        let mut records = self.records.borrow_mut();
        records.requests = self.log.requests();
        records.executions = self.fleet.executions();
        let count_answers = |code: u8| {
            let first = records.requests.iter().filter_map(|r| r.answers.first());
            first.filter(|answer| answer.code == code).count()
        };
        Outcome {
            requests: records.requests.len(),
            attempts: records.executions.len(),
            served: count_answers(code::SERVED),
            refused: count_answers(code::REFUSED),
            failed: count_answers(code::FAILED),
            processes: self.nodes.iter().map(|node| node.process.get()).sum(),
            faults: self.faults.borrow().clone(),
            lag: timer_lag(),
            violations: find_violations(&records, &self.settings, self.started_at),
            reported_violations: self.reported_violations.borrow().clone(),
            crashes: self.crashes.borrow().clone(),
            peak_memory_mb: self.peak_memory_mb.get(),
            logs: self.logs.borrow().clone(),
        }
    }
}

impl Node {
    fn new(rank: usize) -> Rc<Self> {
        Rc::new(Node {
            rank,
            address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            process: Cell::new(0),
            dispatcher: RefCell::default(),
            is_busy: Cell::new(false),
        })
    }

    fn process_id(&self) -> Option<u32> {
        self.dispatcher.borrow().as_ref().and_then(Dispatcher::id)
    }
}

fn instance(engine: &Engine, lifecycle: Lifecycle, started_at_ms: f64) -> Instance {
    Instance {
        id: engine.id(),
        address: engine.address,
        lifecycle,
        started_at_ms,
    }
}

async fn signal(node: &Node, name: &str) {
    send_signal(node.process_id(), name).await;
}
