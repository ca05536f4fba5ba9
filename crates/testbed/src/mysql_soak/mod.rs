//! Soak test of the MySQL frontend: dispatchers as real processes, engines, a registry and sessions on loopback,
//! and random overlapping faults. All random draws come from a seed; [`verdict`] checks the records.

pub mod verdict;

use crate::clients::mysql::{Session, SessionOptions};
use crate::fakes::engine::Engine;
use crate::fakes::registry::{Node, Rules};
use crate::fixture;
use crate::now;
use crate::platform::dispatcher::{Faults, Shim, send_signal};
use crate::program::{Folder, Program, ProgramError};
use crate::random::{Stream, Streams};
use query_dispatcher::membership::Status;
use query_dispatcher::protocol::mysql::packet::{COM_QUERY, PacketError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use verdict::{CommandEnd, CommandRecord, Kill, Violation, find_violations};

const GATEWAYS: usize = 3;
const ENGINES: usize = 4;
const SESSIONS_PER_GATEWAY: usize = 6;
/// Mean pause between two commands of a session, in milliseconds.
const THINK_TIME_MS: f64 = 60.0;
/// Deadline of reads, in milliseconds.
const READ_LIMIT_MS: f64 = 800.0;
/// Deadline of writes, in milliseconds; the longest deadline.
const WRITE_LIMIT_MS: f64 = 1200.0;
/// Time from SIGTERM to SIGKILL: the shortest that operators use.
const SIGKILL_DELAY: Duration = Duration::from_millis(1200 + 700);
/// Time for which a client waits for an answer; longer than any answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub commands: usize,
    pub attempts: usize,
    pub served: usize,
    pub processes: usize,
    /// Number of injected faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    pub violations: Vec<Violation>,
    /// Log lines about broken invariants.
    pub logged_violations: Vec<String>,
    /// Processes that exited by themselves, or did not start.
    pub crashes: Vec<String>,
}

impl Outcome {
    /// Returns whether the run has no violations and no crashes.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.logged_violations.is_empty() && self.crashes.is_empty()
    }

    /// Formats the result as one line, and a line for each of the first six violations.
    pub fn summary(&self) -> String {
        let violations = self.violations.iter().take(6);
        let violations: String = violations.map(|v| format!("\n    {v:?}")).collect();
        format!(
            "{} commands, {} attempts, {} served, {} processes, faults {:?}, counted {:?}, crashes {:?}, {} \
             violations{violations}",
            self.commands,
            self.attempts,
            self.served,
            self.processes,
            self.faults,
            self.logged_violations,
            self.crashes,
            self.violations.len()
        )
    }
}

/// One dispatcher: its current process, and the number of processes before it.
struct Gateway {
    number: usize,
    address: Cell<SocketAddr>,
    process: Cell<usize>,
    program: RefCell<Option<Program>>,
    /// Whether it is being restarted or is being sent other signals.
    is_busy: Cell<bool>,
}

struct SoakRun {
    binary: PathBuf,
    folder: Folder,
    shim: Shim,
    registry: Node,
    engines: Vec<Engine>,
    gateways: Vec<Rc<Gateway>>,
    commands: RefCell<Vec<CommandRecord>>,
    kills: RefCell<Vec<Kill>>,
    faults: RefCell<BTreeMap<&'static str, usize>>,
    logged_violations: RefCell<Vec<String>>,
    crashes: RefCell<Vec<String>>,
    is_finished: Cell<bool>,
}

/// Runs one seed on its own runtime.
pub fn run_seed(binary: &Path, seed: u64, span: Duration) -> Result<Outcome, ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(binary, seed, span))
}

async fn run(binary: &Path, seed: u64, span: Duration) -> Result<Outcome, ProgramError> {
    let streams = Streams::new(seed);
    let soak = Rc::new(SoakRun::start(binary, seed).await?);
    let mut sessions: Vec<JoinHandle<()>> = vec![];
    for gateway in &soak.gateways {
        for number in 0..SESSIONS_PER_GATEWAY {
            let stream = streams.numbered("session", gateway.number * 1000 + number);
            sessions.push(spawn_local(soak.clone().client(gateway.clone(), stream)));
        }
    }
    let faults = [
        spawn_local(soak.clone().engine_faults(streams.stream("engines"))),
        spawn_local(soak.clone().registry_faults(streams.stream("registry"))),
        spawn_local(soak.clone().signals(streams.stream("signals"))),
        spawn_local(soak.clone().machine_faults(streams.stream("machines"))),
    ];
    tokio::time::sleep(span).await;
    faults.iter().for_each(JoinHandle::abort);
    // A gateway that is being restarted now needs the registry.
    let _ = soak.registry.restart().await;
    soak.wait_for_idle_gateways().await;
    let stops = soak
        .gateways
        .iter()
        .map(|gateway| soak.clone().stop(gateway.clone()));
    futures_util::future::join_all(stops).await;
    soak.is_finished.set(true);
    futures_util::future::join_all(sessions).await;
    Ok(soak.outcome())
}

impl SoakRun {
    /// Starts the engines, the registry and the gateways.
    async fn start(binary: &Path, seed: u64) -> Result<Self, ProgramError> {
        let folder = Folder::new(&format!("mysql-soak-{seed}"))?;
        let shim = Shim::build(&folder)?;
        let engines = fixture::engines(ENGINES, Duration::from_millis(15)).await?;
        let registry = Node::start(fixture::ephemeral_address(), Rules::default()).await?;
        fixture::register_engines(&[&registry], &engines);
        let soak = SoakRun {
            binary: binary.to_path_buf(),
            folder,
            shim,
            registry,
            engines,
            gateways: (0..GATEWAYS).map(Gateway::new).collect(),
            commands: RefCell::default(),
            kills: RefCell::default(),
            faults: RefCell::default(),
            logged_violations: RefCell::default(),
            crashes: RefCell::default(),
            is_finished: Cell::new(false),
        };
        for gateway in &soak.gateways {
            soak.start_process(gateway).await?;
        }
        Ok(soak)
    }

    /// Starts the next process of a gateway, at the address of its first process.
    async fn start_process(&self, gateway: &Gateway) -> Result<(), ProgramError> {
        let eureka = fixture::eureka_section(&[&self.registry], "");
        let text = fixture::dispatcher_file("", &eureka)
            .replacen("127.0.0.1:0", &gateway.address.get().to_string(), 1)
            .replace("aim_ms = 1000.0", "aim_ms = 300.0")
            .replace("aim_ms = 2000.0", "aim_ms = 400.0")
            .replace("deadline_ms = 5000.0", &deadline(READ_LIMIT_MS))
            .replace("deadline_ms = 10000.0", &deadline(WRITE_LIMIT_MS));
        let environment = self
            .shim
            .environment(&self.faults_file(gateway), Faults::default())?;
        let name = format!("g{}", gateway.number);
        let program =
            Program::start_with(&self.binary, &self.folder, &name, &text, &environment).await?;
        program
            .wait_for_members("engines are listed", |page| {
                page.to_string().contains("engine-0")
            })
            .await?;
        gateway.address.set(program.address);
        *gateway.program.borrow_mut() = Some(program);
        Ok(())
    }

    fn faults_file(&self, gateway: &Gateway) -> PathBuf {
        self.folder
            .path()
            .join(format!("g{}.faults", gateway.number))
    }

    fn count_fault(&self, fault: &'static str) {
        *self.faults.borrow_mut().entry(fault).or_default() += 1;
    }

    /// Waits until no gateway is being restarted or signalled, for at most ten seconds.
    async fn wait_for_idle_gateways(&self) {
        for _ in 0..500 {
            if !self.gateways.iter().any(|gateway| gateway.is_busy.get()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs one client, which opens a new session whenever the previous one has ended.
    async fn client(self: Rc<Self>, gateway: Rc<Gateway>, mut random: Stream) {
        while !self.is_finished.get() {
            let process = gateway.process.get();
            let address = gateway.address.get();
            let login = Session::log_in(address, "guest", "guest", SessionOptions::default());
            if let Ok(Ok(session)) = tokio::time::timeout(ANSWER_TIMEOUT, login).await {
                self.use_session(session, &gateway, process, &mut random)
                    .await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn use_session(
        &self,
        mut session: Session,
        gateway: &Gateway,
        process: usize,
        random: &mut Stream,
    ) {
        for _ in 0..1 + random.below(40) {
            random.pause(THINK_TIME_MS).await;
            let is_write = random.chance(0.3);
            let id = format!("{:016x}", random.bits());
            let sql = match is_write {
                true => format!("insert into sales_3.orders values ('{id}')"),
                false => format!("select n from sales_3.orders where id = '{id}'"),
            };
            let sent_at = now();
            if session.send(COM_QUERY, &[sql.as_bytes()]).await.is_err() {
                return;
            }
            let record = self.record(CommandRecord {
                id,
                gateway: gateway.number,
                process,
                sent_at,
                limit_ms: match is_write {
                    true => WRITE_LIMIT_MS,
                    false => READ_LIMIT_MS,
                },
                is_write,
                end: None,
            });
            let client_timeout = match random.chance(0.08) {
                true => Duration::from_millis(random.below(120) as u64),
                false => ANSWER_TIMEOUT,
            };
            let Ok(answer) = tokio::time::timeout(client_timeout, session.answer()).await else {
                if client_timeout < ANSWER_TIMEOUT {
                    drop(session);
                    self.set_end(record, CommandEnd::ClientGone { at: now() });
                }
                return;
            };
            let answer = match answer {
                // The command crossed the notice of a shutdown, which the session reads now.
                Err(PacketError::OutOfOrder) => match session.notice().await {
                    Ok(notice) => Err(PacketError::Server(notice)),
                    Err(error) => Err(error),
                },
                other => other,
            };
            let (end, is_usable) = command_end(answer.map(|_| ()));
            self.set_end(record, end);
            if !is_usable {
                return;
            }
        }
    }

    /// Adds the record of a command and returns its position.
    fn record(&self, command: CommandRecord) -> usize {
        let mut commands = self.commands.borrow_mut();
        commands.push(command);
        commands.len() - 1
    }

    fn set_end(&self, record: usize, end: CommandEnd) {
        self.commands.borrow_mut()[record].end = Some(end);
    }

    /// Crashes and restarts engines, and makes them slow.
    async fn engine_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(500.0).await;
            let engine = self.engines[random.below(ENGINES)].clone();
            if random.chance(0.4) {
                self.count_fault("engine crash");
                engine.stop();
                random.pause(300.0).await;
                if engine.restart().await.is_err() {
                    self.count_fault("engine did not return");
                }
            } else {
                self.count_fault("engine slow");
                engine.set_execution_time(Duration::from_millis(200 + random.below(1500) as u64));
                random.pause(400.0).await;
                engine.set_execution_time(Duration::from_millis(15));
            }
        }
    }

    /// Drains engines for a while, and stops the registry for a while.
    async fn registry_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(900.0).await;
            let engine = self.engines[random.below(ENGINES)].name().to_string();
            if random.chance(0.7) {
                self.count_fault("engine drains");
                let drained = Some(Status::OutOfService);
                self.registry.set_status("ENGINES", &engine, drained);
                random.pause(700.0).await;
                self.registry.set_status("ENGINES", &engine, None);
            } else {
                self.count_fault("registry away");
                self.registry.stop();
                random.pause(700.0).await;
                let _ = self.registry.restart().await;
            }
        }
    }

    /// Restarts, kills, repeatedly reloads or briefly stops (SIGSTOP) gateways.
    async fn signals(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(700.0).await;
            let gateway = self.gateways[random.below(GATEWAYS)].clone();
            if gateway.is_busy.replace(true) {
                continue;
            }
            let soak = self.clone();
            match random.below(5) {
                0 | 1 => {
                    self.count_fault("planned restart");
                    spawn_local(async move {
                        soak.clone().stop(gateway.clone()).await;
                        soak.restart_process(&gateway).await;
                    });
                }
                2 => {
                    self.count_fault("kill");
                    spawn_local(async move {
                        soak.kill(&gateway).await;
                        soak.restart_process(&gateway).await;
                    });
                }
                3 => {
                    self.count_fault("reload");
                    let times = 1 + random.below(4);
                    spawn_local(async move {
                        for _ in 0..times {
                            signal(&gateway, "HUP").await;
                            tokio::time::sleep(Duration::from_millis(30)).await;
                        }
                        gateway.is_busy.set(false);
                    });
                }
                _ => {
                    self.count_fault("pause");
                    let span = random.between(20.0, 250.0);
                    spawn_local(async move {
                        let id = gateway.process_id();
                        send_signal(id, "STOP").await;
                        tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
                        send_signal(id, "CONT").await;
                        gateway.is_busy.set(false);
                    });
                }
            }
        }
    }

    /// Steps wall clocks, and lets system calls fail for 400 ms.
    async fn machine_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(900.0).await;
            let gateway = &self.gateways[random.below(GATEWAYS)];
            let faults = Faults {
                clock_offset_ms: Faults::CLOCK_STEPS_MS[random.below(Faults::CLOCK_STEPS_MS.len())],
                call_failures_per_million: if random.chance(0.5) { 10_000 } else { 0 },
            };
            self.count_fault("clock step");
            let file = self.faults_file(gateway);
            let _ = faults.write(&file);
            if faults.call_failures_per_million > 0 {
                self.count_fault("failing system calls");
                tokio::time::sleep(Duration::from_millis(400)).await;
                let without_call_failures = Faults {
                    call_failures_per_million: 0,
                    ..faults
                };
                let _ = without_call_failures.write(&file);
            }
        }
    }

    /// Sends SIGTERM twice with a reload between, then SIGKILL after the shortest delay that operators use.
    async fn stop(self: Rc<Self>, gateway: Rc<Gateway>) {
        gateway.is_busy.set(true);
        signal(&gateway, "TERM").await;
        tokio::time::sleep(SIGKILL_DELAY / 4).await;
        signal(&gateway, "HUP").await;
        signal(&gateway, "TERM").await;
        tokio::time::sleep(SIGKILL_DELAY * 3 / 4).await;
        let program = gateway.program.borrow_mut().take();
        if let Some(mut program) = program {
            if let Some(status) = program.exit_status()
                && !status.success()
            {
                self.record_crash(&gateway, &program, &format!("{status}"));
            }
            self.record_logged_violations(&gateway, &program);
            let _ = program.kill().await;
        }
        gateway.process.set(gateway.process.get() + 1);
    }

    /// Kills the gateway's process without a SIGTERM.
    async fn kill(&self, gateway: &Gateway) {
        let program = gateway.program.borrow_mut().take();
        if let Some(mut program) = program {
            if let Some(status) = program.exit_status() {
                self.record_crash(gateway, &program, &format!("{status}"));
            }
            self.record_logged_violations(gateway, &program);
            let _ = program.kill().await;
        }
        self.kills.borrow_mut().push(Kill {
            gateway: gateway.number,
            process: gateway.process.get(),
        });
        gateway.process.set(gateway.process.get() + 1);
    }

    async fn restart_process(&self, gateway: &Gateway) {
        if let Err(error) = self.start_process(gateway).await {
            let text = format!("g{} failed to restart: {error}", gateway.number);
            self.crashes.borrow_mut().push(text);
        }
        gateway.is_busy.set(false);
    }

    fn record_logged_violations(&self, gateway: &Gateway, program: &Program) {
        let broken = program
            .log()
            .into_iter()
            .filter(|line| line.contains("invariant broken: "))
            .map(|line| format!("g{}.{} {line}", gateway.number, gateway.process.get()));
        self.logged_violations.borrow_mut().extend(broken);
    }

    fn record_crash(&self, gateway: &Gateway, program: &Program, status: &str) {
        let last = program.log().pop();
        let text = format!("g{}: {status} {last:?}", gateway.number);
        self.crashes.borrow_mut().push(text);
    }

    fn outcome(&self) -> Outcome {
        let commands = self.commands.borrow();
        let executions: Vec<_> = self.engines.iter().flat_map(Engine::executions).collect();
        let is_served = |command: &&CommandRecord| {
            matches!(command.end, Some(CommandEnd::Answered { error: None, .. }))
        };
        Outcome {
            commands: commands.len(),
            attempts: executions.len(),
            served: commands.iter().filter(is_served).count(),
            processes: self.gateways.iter().map(|g| g.process.get()).sum(),
            faults: self.faults.borrow().clone(),
            violations: find_violations(&commands, &self.kills.borrow(), &executions),
            logged_violations: self.logged_violations.borrow().clone(),
            crashes: self.crashes.borrow().clone(),
        }
    }
}

impl Gateway {
    fn new(number: usize) -> Rc<Self> {
        Rc::new(Gateway {
            number,
            address: Cell::new(fixture::ephemeral_address()),
            process: Cell::new(0),
            program: RefCell::default(),
            is_busy: Cell::new(false),
        })
    }

    fn process_id(&self) -> Option<u32> {
        let id = self.program.borrow().as_ref().map(Program::id);
        id.filter(|id| *id > 0)
    }
}

fn deadline(limit_ms: f64) -> String {
    format!("deadline_ms = {limit_ms:.1}")
}

/// Returns the end of a command, and whether its session is still usable.
fn command_end(answer: Result<(), PacketError>) -> (CommandEnd, bool) {
    /// Error code of a shutdown, after which the dispatcher closes the session.
    const SHUTDOWN: u16 = 1053;
    let at = now();
    match answer {
        Ok(()) => (CommandEnd::Answered { at, error: None }, true),
        Err(PacketError::Server(error)) => {
            let code = error.code;
            let end = CommandEnd::Answered {
                at,
                error: Some(code),
            };
            (end, code != SHUTDOWN)
        }
        Err(error) => {
            let reason = error.to_string();
            (CommandEnd::ConnectionEnded { at, reason }, false)
        }
    }
}

async fn signal(gateway: &Gateway, name: &str) {
    send_signal(gateway.process_id(), name).await;
}
