//! A soak: dispatchers as real processes, engines, the journal and clients on loopback, and random faults that overlap.
//! Everything that happens is drawn from a seed; what was recorded is judged by [`crate::platform::verdict`].

use crate::platform::clients::{Connection, RequestLog, Target};
use crate::platform::dispatcher::{Dispatcher, Faults, Shim};
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
            settings: settings(scale),
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

    /// Waits until no dispatcher is being restarted, for ten seconds at most.
    async fn until_nodes_rest(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while self.nodes.iter().any(|node| node.is_busy.get()) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts the next process of a dispatcher, at the address that the first was given.
    async fn start_process(&self, node: &Node) -> Result<(), ProgramError> {
        let config = self.settings.file(
            node.rank,
            node.address.get(),
            self.journal.address(),
            &self.journal.known(),
        );
        let name = format!("n{}", node.rank);
        let shim = Some((&self.shim, Faults::default()));
        let started = Dispatcher::start(&self.binary, &self.folder, &name, &config, shim).await?;
        node.address.set(started.address);
        *node.dispatcher.borrow_mut() = Some(started);
        Ok(())
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

    /// One client: it keeps a connection for as long as the dispatcher does.
    async fn client(self: Rc<Self>, node: Rc<Node>, mut random: Stream) {
        while !self.is_over.get() {
            let connection = match Self::target(&node) {
                Some(target) => Connection::open(target, &self.log).await.ok(),
                None => None,
            };
            if let Some(connection) = connection {
                self.use_connection(&connection, &mut random).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn use_connection(&self, connection: &Rc<Connection>, random: &mut Stream) {
        let requests = 1 + random.below(60);
        for _ in 0..requests {
            let pause = random.exponential(self.scale.think_time_ms).min(1500.0);
            tokio::time::sleep(Duration::from_secs_f64(pause / 1000.0)).await;
            let burst = if random.chance(0.05) { 8 } else { 1 };
            for _ in 0..burst {
                if connection.has_ended() || connection.open_requests() >= 30 {
                    break;
                }
                if self.send(connection, random).await.is_err() {
                    return;
                }
            }
            if connection.has_ended() {
                return;
            }
        }
        match random.below(4) {
            // With whatever is open on it.
            0 => connection.close().await,
            1 => {
                let garbage = crate::platform::clients::encode_frame(kind::REQUEST, 0, &[9]);
                let _ = connection.send_raw(&garbage).await;
                connection.until_idle(LONGEST_DEADLINE * 2).await;
                connection.close().await;
            }
            _ => {
                connection.until_idle(LONGEST_DEADLINE * 2).await;
                connection.close().await;
            }
        }
    }

    async fn send(&self, connection: &Rc<Connection>, random: &mut Stream) -> std::io::Result<()> {
        let (class, longest) = match random.below(10) {
            0 => ("load", LONGEST_DEADLINE),
            1..=3 => ("ledger", Duration::from_millis(1200)),
            _ => ("lookup", Duration::from_millis(800)),
        };
        let part = if random.chance(0.1) {
            0.02
        } else {
            random.between(0.2, 1.0)
        };
        let id = format!("{:016x}", random.bits());
        let stream = connection.send(&id, class, longest.mul_f64(part)).await?;
        if random.chance(0.1) {
            let patience = Duration::from_millis(random.below(150) as u64);
            let connection = connection.clone();
            spawn_local(async move {
                tokio::time::sleep(patience).await;
                let _ = connection.cancel(stream).await;
            });
        }
        Ok(())
    }

    /// Engines hang, fail, break off, are full or reset their connections for a while.
    async fn engine_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            pause(&mut random, 300.0).await;
            let engine = self.fleet.engines[random.below(self.scale.engines)].clone();
            let behaviour = match random.below(5) {
                0 => Behaviour::Hanging,
                1 => Behaviour::Failing,
                2 => Behaviour::Truncating,
                3 => Behaviour::Full,
                _ => {
                    engine.reset_connections();
                    self.count("engine resets");
                    continue;
                }
            };
            self.count("engine misbehaves");
            engine.behaviour.set(behaviour);
            let span = random.between(200.0, 2500.0);
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
                engine.behaviour.set(Behaviour::Serving);
            });
        }
    }

    /// Engines drain, crash, vanish from the list and come back cold.
    async fn engine_lifecycles(self: Rc<Self>, mut random: Stream) {
        loop {
            pause(&mut random, 900.0).await;
            let engine = self.fleet.engines[random.below(self.scale.engines)].clone();
            if random.chance(0.5) {
                self.count("engine drains");
                self.announce(&engine, Lifecycle::Draining, 0.0);
                let notice = self.note_drain(&engine);
                pause(&mut random, 2000.0).await;
                self.restart(&engine).await;
                self.records.borrow_mut().drains[notice].until = Some(Instant::now());
            } else {
                self.count("engine crashes");
                engine.crash();
                pause(&mut random, 300.0).await;
                self.restart(&engine).await;
            }
        }
    }

    fn announce(&self, engine: &Rc<Engine>, lifecycle: Lifecycle, started_at_ms: f64) {
        self.journal
            .announce(&[instance(engine, lifecycle, started_at_ms)]);
    }

    fn journal_is_heard(&self) -> bool {
        let is_settled = |back: Instant| back.elapsed() > RECONNECTED;
        self.journal.mode() == Mode::Serving && self.journal_back_at.get().is_none_or(is_settled)
    }

    fn note_drain(&self, engine: &Engine) -> usize {
        let delay = match self.journal_is_heard() {
            true => DELIVERY,
            false => COUNTS_AS_TOLD,
        };
        let mut records = self.records.borrow_mut();
        records.drains.push(DrainNotice {
            engine: engine.number,
            told_at: Instant::now() + delay,
            until: None,
        });
        records.drains.len() - 1
    }

    async fn restart(&self, engine: &Rc<Engine>) {
        if engine.restart().await.is_err() {
            self.count("restart failed");
            return;
        }
        self.count("engine starts cold");
        self.announce(engine, Lifecycle::InService, crate::now());
        if !self.journal_is_heard() {
            return;
        }
        let started_at = Instant::now();
        let warm_up = Duration::from_secs_f64(self.settings.warm_up_period / 1000.0);
        self.records.borrow_mut().slow_starts.push(SlowStart {
            engine: engine.number,
            started_at,
            until: started_at + warm_up,
            work_ms: engine.work.get().as_secs_f64() * 1000.0,
        });
    }

    /// The journal falls silent or goes down for a while.
    async fn journal_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            pause(&mut random, 5000.0).await;
            let mode = match random.chance(0.5) {
                true => Mode::Silent,
                false => Mode::Down,
            };
            self.count("journal outage");
            self.journal.set_mode(mode);
            // Slow starts that the outage overlaps are not known to all.
            self.records.borrow_mut().slow_starts.clear();
            pause(&mut random, 1500.0).await;
            self.journal.set_mode(Mode::Serving);
            self.journal_back_at.set(Some(Instant::now()));
        }
    }

    /// Dispatchers are restarted, killed, told of configurations in a row, and stopped for a moment.
    async fn signals(self: Rc<Self>, mut random: Stream) {
        loop {
            pause(&mut random, 600.0).await;
            let node = self.nodes[random.below(self.nodes.len())].clone();
            if node.is_busy.replace(true) {
                continue;
            }
            match random.below(5) {
                0 | 1 => {
                    self.count("planned restart");
                    let world = self.clone();
                    spawn_local(async move {
                        world.clone().stop(node.clone()).await;
                        world.start_again(&node).await;
                    });
                }
                2 => {
                    self.count("kill");
                    let world = self.clone();
                    spawn_local(async move {
                        world.kill(&node).await;
                        world.start_again(&node).await;
                    });
                }
                3 => {
                    self.count("reload");
                    let times = 1 + random.below(5);
                    spawn_local(async move {
                        for _ in 0..times {
                            signal(&node, "HUP").await;
                            tokio::time::sleep(Duration::from_millis(30)).await;
                        }
                        node.is_busy.set(false);
                    });
                }
                _ => {
                    self.count("pause");
                    let span = random.between(20.0, 250.0);
                    // A task of its own: what is stopped is always continued.
                    spawn_local(async move {
                        let id = node.process_id();
                        signal_process(id, "STOP").await;
                        tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
                        signal_process(id, "CONT").await;
                        node.is_busy.set(false);
                    });
                }
            }
        }
    }

    /// Wall clocks are stepped, and system calls fail for a moment.
    async fn machine_faults(self: Rc<Self>, mut random: Stream) {
        const STEPS_MS: [i64; 5] = [-3_600_000, -5000, 0, 5000, 3_600_000];
        loop {
            pause(&mut random, 700.0).await;
            let node = self.nodes[random.below(self.nodes.len())].clone();
            let faults = Faults {
                clock_offset_ms: STEPS_MS[random.below(STEPS_MS.len())],
                call_failures_per_million: if random.chance(0.5) { 20_000 } else { 0 },
            };
            if let Some(dispatcher) = node.dispatcher.borrow().as_ref() {
                let _ = dispatcher.set_faults(faults);
            }
            self.count("clock step");
            if faults.call_failures_per_million == 0 {
                continue;
            }
            self.count("failing system calls");
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let calm = Faults {
                    call_failures_per_million: 0,
                    ..faults
                };
                if let Some(dispatcher) = node.dispatcher.borrow().as_ref() {
                    let _ = dispatcher.set_faults(calm);
                }
            });
        }
    }

    /// Idle clients come in a crowd and stay for a while.
    async fn crowds(self: Rc<Self>, mut random: Stream) {
        if self.scale.crowd == 0 {
            return;
        }
        loop {
            pause(&mut random, 2000.0).await;
            let node = &self.nodes[random.below(self.nodes.len())];
            let Some(target) = Self::target(node) else {
                continue;
            };
            self.count("crowd");
            let mut crowd = vec![];
            for _ in 0..self.scale.crowd {
                crowd.extend(tokio::net::TcpStream::connect(target.address).await.ok());
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// SIGTERM, and SIGKILL at the earliest that the operators allow.
    async fn stop(self: Rc<Self>, node: Rc<Node>) {
        node.is_busy.set(true);
        signal(&node, "TERM").await;
        tokio::time::sleep(KILL_AFTER).await;
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        let ended = process.wait(Duration::from_millis(1)).await;
        if ended.is_some_and(|status| !status.success()) {
            self.note_crash(&node, &process, ended);
        }
        self.count_logged(&process);
        process.kill().await;
        self.keep_log(&node, &process);
        node.process.set(node.process.get() + 1);
    }

    async fn kill(&self, node: &Node) {
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        let ended = process.wait(Duration::from_millis(1)).await;
        if ended.is_some() {
            self.note_crash(node, &process, ended);
        }
        process.kill().await;
        self.keep_log(node, &process);
        self.records.borrow_mut().process_ends.push(ProcessEnd {
            dispatcher: node.rank,
            process: node.process.get(),
            killed_at: Some(Instant::now()),
        });
        node.process.set(node.process.get() + 1);
    }

    /// Counts the invariants that a process has logged as broken.
    fn count_logged(&self, process: &Dispatcher) {
        for (_, line) in process.log() {
            if let Some((_, name)) = line.split_once("invariant broken: ") {
                let name = format!("logged {name}");
                *self.counted.borrow_mut().entry(name).or_default() += 1;
            }
        }
    }

    /// Keeps what a process has logged, for the case that it broke a rule.
    fn keep_log(&self, node: &Node, process: &Dispatcher) {
        let since = |at: Instant| at.saturating_duration_since(self.began).as_secs_f64();
        let now = since(Instant::now());
        let lines = process.log();
        let lines = lines
            .iter()
            .map(|(at, line)| format!("{:.3} {line}", since(*at)));
        let name = format!("n{}.{} ended by {now:.3}", node.rank, node.process.get());
        self.logs.borrow_mut().insert(name, lines.collect());
    }

    fn note_crash(
        &self,
        node: &Node,
        process: &Dispatcher,
        status: Option<std::process::ExitStatus>,
    ) {
        let log = process.log();
        let last = log.last().map(|(_, line)| line.clone());
        let text = format!("n{}: {status:?} {last:?}", node.rank);
        self.crashes.borrow_mut().push(text);
    }

    async fn start_again(&self, node: &Node) {
        if let Err(error) = self.start_process(node).await {
            let text = format!("n{} does not start again: {error}", node.rank);
            self.crashes.borrow_mut().push(text);
        }
        node.is_busy.set(false);
    }

    /// What the dispatchers that live now have counted against themselves.
    async fn collect_counted(&self) {
        for node in &self.nodes {
            let process = node.dispatcher.borrow_mut().take();
            let Some(process) = process else {
                continue;
            };
            let page = process.page("/_invariants").await.unwrap_or_default();
            *node.dispatcher.borrow_mut() = Some(process);
            let counts = page.lines().filter_map(|line| line.split_once('='));
            for (name, value) in counts.filter(|(name, _)| name.starts_with("violations.")) {
                let value: u64 = value.trim().parse().unwrap_or(0);
                *self.counted.borrow_mut().entry(name.into()).or_default() += value;
            }
        }
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
    signal_process(node.process_id(), name).await;
}

async fn signal_process(id: Option<u32>, name: &str) {
    if let Some(id) = id {
        crate::platform::dispatcher::send_signal(id, name).await;
    }
}

async fn pause(random: &mut Stream, mean_ms: f64) {
    let span = random.exponential(mean_ms).min(4.0 * mean_ms);
    tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
}
