//! A soak: dispatchers as real processes, engines, the journal and clients on loopback, and random faults that overlap.
//! Everything that happens is drawn from a seed; what was recorded is judged by [`crate::platform::verdict`].

mod clients;
mod engine_faults;
mod process_faults;

use crate::platform::clients::{Connection, RequestLog, Target};
use crate::platform::dispatcher::{Dispatcher, Faults, Shim, send_signal};
use crate::platform::engines::{Behaviour, Engine, Fleet};
use crate::platform::journal::{Instance, Journal, Lifecycle, Mode};
use crate::platform::settings::{Class, Effect, Settings};
use crate::platform::verdict::{DrainNotice, ProcessEnd, Records, SlowStart, Violation, judge};
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

/// The longest deadline of any class.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1500);
/// SIGKILL comes so long after SIGTERM: the earliest that the operators allow.
const KILL_AFTER: Duration = Duration::from_millis(1500 + 700);
/// A dispatcher that is connected to the journal knows of an event after this.
const DELIVERY: Duration = Duration::from_millis(150);
/// Dispatchers have connected again by then after an outage of the journal.
const RECONNECTED: Duration = Duration::from_secs(4);
/// Events count as told after this even where they were not delivered.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(7);
/// The judge's own clock must not be late by more.
const MAX_LAG: Duration = Duration::from_millis(50);

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub dispatchers: usize,
    pub engines: usize,
    pub connections_per_dispatcher: usize,
    /// Between two requests of one connection, in milliseconds, on average.
    pub think_time_ms: f64,
    pub span: Duration,
    /// Idle connections that come in a crowd.
    pub crowd: usize,
}

impl Scale {
    /// Drawn from the seed: some runs have a crowd, some many engines.
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut random = Streams::new(seed).stream("scale");
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
        }
    }
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub attempts: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub processes: usize,
    /// Injected faults, by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// The most by which the judge's own event loop was late.
    pub lag: Duration,
    pub violations: Vec<Violation>,
    /// Violations that the dispatchers counted themselves, by name.
    pub counted: BTreeMap<String, u64>,
    /// Processes that ended by themselves with an error.
    pub crashes: Vec<String>,
    /// What each process has logged.
    pub logs: BTreeMap<String, Vec<String>>,
}

impl Outcome {
    /// Nothing broke, and the judge could tell.
    pub fn is_clean(&self) -> bool {
        let counted: u64 = self.counted.values().sum();
        self.violations.is_empty() && self.crashes.is_empty() && counted == 0
    }

    /// A line, and one for each of the first violations.
    pub fn summary(&self) -> String {
        let violations = self.violations.iter().take(6);
        let violations: String = violations.map(|v| format!("\n    {v:?}")).collect();
        format!(
            "{} requests, {} attempts, {} served, {} refused, {} failed, {} processes, faults {:?}, judge late by \
             {:?}{}, counted {:?}, crashes {:?}, {} violations{violations}",
            self.requests,
            self.attempts,
            self.served,
            self.refused,
            self.failed,
            self.processes,
            self.faults,
            self.lag,
            if self.is_void() { " (void)" } else { "" },
            self.counted
                .iter()
                .filter(|(_, n)| **n > 0)
                .collect::<Vec<_>>(),
            self.crashes,
            self.violations.len(),
        )
    }

    /// The judge was so late that its times prove nothing.
    pub fn is_void(&self) -> bool {
        self.lag > MAX_LAG
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
                LONGEST_DEADLINE.as_secs_f64() * 1000.0,
                4.0,
            ),
        ],
        dispatchers: scale.dispatchers,
        cores: 2.0,
        ..Settings::default()
    }
}

/// One dispatcher: its present process, and how many it has had.
struct Node {
    rank: usize,
    address: Cell<SocketAddr>,
    process: Cell<usize>,
    dispatcher: RefCell<Option<Dispatcher>>,
    /// It is being restarted, or other signals are on their way.
    is_busy: Cell<bool>,
}

struct World {
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
    logs: RefCell<BTreeMap<String, Vec<String>>>,
    counted: RefCell<BTreeMap<String, u64>>,
    journal_back_at: Cell<Option<Instant>>,
    is_over: Cell<bool>,
    began: Instant,
}

/// Plays one seed on a runtime of its own.
pub fn play(binary: &Path, seed: u64, scale: Scale) -> Result<Outcome, ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(binary, seed, scale))
}

async fn run(binary: &Path, seed: u64, scale: Scale) -> Result<Outcome, ProgramError> {
    let streams = Streams::new(seed);
    let lag = spawn_local(measure_lag());
    let world = Rc::new(World::start(binary, seed, scale).await?);
    let mut actors: Vec<JoinHandle<()>> = vec![];
    for node in &world.nodes {
        for number in 0..scale.connections_per_dispatcher {
            let stream = streams.numbered("client", node.rank * 1000 + number);
            actors.push(spawn_local(world.clone().client(node.clone(), stream)));
        }
    }
    let faults = [
        spawn_local(world.clone().engine_faults(streams.stream("engines"))),
        spawn_local(
            world
                .clone()
                .engine_lifecycles(streams.stream("lifecycles")),
        ),
        spawn_local(world.clone().journal_faults(streams.stream("journal"))),
        spawn_local(world.clone().signals(streams.stream("signals"))),
        spawn_local(world.clone().machine_faults(streams.stream("machines"))),
        spawn_local(world.clone().crowds(streams.stream("crowds"))),
    ];
    tokio::time::sleep(scale.span).await;
    faults.iter().for_each(JoinHandle::abort);
    world.until_nodes_rest().await;
    world.collect_counted().await;
    let ends = world
        .nodes
        .iter()
        .map(|node| world.clone().stop(node.clone()));
    futures_util::future::join_all(ends).await;
    world.is_over.set(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    actors.iter().for_each(JoinHandle::abort);
    lag.abort();
    Ok(world.outcome())
}

thread_local! {
    static LAG: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Measures by how much this thread's timers are late.
async fn measure_lag() {
    const STEP: Duration = Duration::from_millis(5);
    LAG.set(Duration::ZERO);
    loop {
        let due = Instant::now() + STEP;
        tokio::time::sleep(STEP).await;
        LAG.set(LAG.get().max(due.elapsed()));
    }
}

impl World {
    async fn start(binary: &Path, seed: u64, scale: Scale) -> Result<Self, ProgramError> {
        let folder = Folder::new(&format!("soak-{seed}"))?;
        let shim = Shim::build(&folder)?;
        let work = Duration::from_millis(40);
        let fleet = Fleet::start(scale.engines, work, 60).await?;
        let listed: Vec<Instance> = fleet
            .engines
            .iter()
            .map(|engine| instance(engine, Lifecycle::InService, 0.0))
            .collect();
        let journal = Journal::start(&listed).await?;
        let world = World {
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
            logs: RefCell::default(),
            counted: RefCell::default(),
            journal_back_at: Cell::new(None),
            is_over: Cell::new(false),
            began: Instant::now(),
        };
        for node in &world.nodes {
            world.start_process(node).await?;
        }
        Ok(world)
    }

    fn count(&self, fault: &'static str) {
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
        let answered = |wanted: u8| {
            let first = records.requests.iter().filter_map(|r| r.answers.first());
            first.filter(|answer| answer.code == wanted).count()
        };
        Outcome {
            requests: records.requests.len(),
            attempts: records.executions.len(),
            served: answered(code::SERVED),
            refused: answered(code::REFUSED),
            failed: answered(code::FAILED),
            processes: self.nodes.iter().map(|node| node.process.get()).sum(),
            faults: self.faults.borrow().clone(),
            lag: LAG.get(),
            violations: judge(&records, &self.settings, self.began),
            counted: self.counted.borrow().clone(),
            crashes: self.crashes.borrow().clone(),
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
