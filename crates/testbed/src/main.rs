//! Command-line program of the testbed: fake registries and engines, soak tests and measurements.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "code for tests and measurements, whose public items are not all documented"
)]

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use testbed::fakes::registry::{Instance, Node, Rules};
use testbed::measurements::list_events::list_events;
use testbed::measurements::membership::{self, Subject};
use testbed::measurements::sessions;
use testbed::measurements::spool::{self, Spooling};
use testbed::mysql_soak;
use testbed::platform::soak;
use tokio::task::LocalSet;

#[derive(Parser)]
#[command(version, about, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs fake registries that replicate each other, until Ctrl-C.
    Registry {
        /// Port of the first registry; the others use the ports after it.
        #[arg(long, default_value_t = 8761)]
        port: u16,
        /// Number of registries.
        #[arg(long, default_value_t = 1)]
        nodes: u16,
        /// Replication delay between registries, in milliseconds.
        #[arg(long, default_value_t = 0.0)]
        lag_ms: f64,
        /// Maximum age of cached answers, in milliseconds.
        #[arg(long, default_value_t = 0.0)]
        cache_ms: f64,
        /// Engine to register at the start, as NAME=PORT on this machine; its lease needs no renewal.
        #[arg(long = "engine")]
        engines: Vec<String>,
    },
    /// Runs fake MySQL engines, until Ctrl-C. Their password is `lab`.
    Engines {
        /// Port of the first engine; the others use the ports after it.
        #[arg(long, default_value_t = 4001)]
        port: u16,
        /// Number of engines.
        #[arg(long, default_value_t = 2)]
        count: usize,
        /// Execution time of a statement, in milliseconds.
        #[arg(long, default_value_t = 50)]
        work_ms: u64,
    },
    /// Runs dispatchers with the platform's frontend under random overlapping faults; prints a line per seed.
    Soak(SoakArgs),
    /// Runs dispatchers with the MySQL frontend under random overlapping faults; prints a line per seed.
    MysqlSoak(SoakArgs),
    /// Measures a dispatcher; prints a line of JSON.
    #[command(subcommand)]
    Measure(Measure),
}

#[derive(Args)]
struct SoakArgs {
    /// Path of the dispatcher program.
    #[arg(long, default_value = "target/release/hitchwinch")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Time for which a run injects faults, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 2)]
    jobs: u64,
    /// Prints the logs of the processes of a seed that has violations or crashes.
    #[arg(long)]
    logs: bool,
}

impl SoakArgs {
    /// Runs all seeds and fails if one of them is not clean.
    fn run(&self, run_seed: RunSeed) -> Result<(), Error> {
        let jobs: Vec<_> = (0..self.jobs)
            .map(|job| self.spawn_job(job, run_seed))
            .collect();
        let clean = jobs.into_iter().map(|job| job.join().unwrap_or(false));
        match clean.fold(true, |all, clean| all & clean) {
            true => Ok(()),
            false => Err("some seeds have violations or crashes".into()),
        }
    }

    /// Starts a thread that runs every `jobs`-th seed; it returns true if all of them were clean.
    fn spawn_job(&self, job: u64, run_seed: RunSeed) -> std::thread::JoinHandle<bool> {
        let seeds = (self.first + job..self.first + self.seeds).step_by(self.jobs as usize);
        let program = self.program.clone();
        let span = Duration::from_secs(self.seconds);
        let logs = self.logs;
        std::thread::spawn(move || {
            let mut all_clean = true;
            for seed in seeds {
                all_clean &= run_seed(&program, seed, span, logs);
            }
            all_clean
        })
    }
}

/// Function that runs a seed with faults for the given time and prints the result, and if the flag is set the
/// logs of a run that was not clean. Returns whether the run was clean.
type RunSeed = fn(&std::path::Path, u64, Duration, bool) -> bool;

fn run_mysql_seed(program: &std::path::Path, seed: u64, span: Duration, _: bool) -> bool {
    match mysql_soak::run_seed(program, seed, span) {
        Ok(outcome) => {
            println!("seed {seed}: {}", outcome.summary());
            outcome.is_clean()
        }
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}

fn run_seed(program: &std::path::Path, seed: u64, span: Duration, logs: bool) -> bool {
    let scale = soak::Scale::draw(seed, span);
    match soak::run_seed(program, seed, scale) {
        Ok(outcome) => {
            println!("seed {seed} {scale:?}: {}", outcome.summary());
            if logs && !outcome.is_clean() {
                println!("{:#?}", outcome.logs);
            }
            outcome.is_clean()
        }
        Err(error) => {
            println!("seed {seed}: {error}");
            false
        }
    }
}

#[derive(Args)]
struct ProgramArgs {
    /// Path of the dispatcher program.
    #[arg(long, default_value = "target/release/hitchwinch")]
    program: PathBuf,
    /// The program supports only the earlier form of `[eureka]`, and no `[spool]`.
    #[arg(long)]
    earlier: bool,
}

#[derive(Subcommand)]
enum Measure {
    /// Measures the time from the notice that an engine drains to the last statement that it receives.
    Drains {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 1)]
        registries: usize,
        #[arg(long, default_value_t = 10)]
        instances: usize,
        #[arg(long, default_value_t = 20)]
        drains: usize,
    },
    /// Measures the processor time and memory of a polling round.
    Rounds {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 10_000)]
        instances: usize,
        /// Fetches full lists instead of changes.
        #[arg(long)]
        full: bool,
    },
    /// Measures the requests that are lost while every registry is unavailable.
    Outage {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Restarts one engine cold halfway through.
        #[arg(long)]
        restart: bool,
    },
    /// Measures how long a result of 10 MB occupies its engine, depending on the client's reading rate.
    Occupancy {
        #[command(flatten)]
        target: ProgramArgs,
        /// Reading rate in bytes per second; 0 for no limit.
        #[arg(long, default_value_t = 0)]
        pace: usize,
    },
    /// Measures memory with many slow readers.
    Readers {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 200)]
        readers: usize,
        #[arg(long, default_value_t = 50)]
        megabytes: u64,
    },
    /// Measures the throughput of a large result, compared with a plain file.
    Throughput {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 2048)]
        megabytes: u64,
    },
    /// Measures the latency of small results.
    Small {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 10_000)]
        requests: u64,
    },
    /// Measures a start with many stored results.
    Recovery {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 10_000)]
        spools: u64,
    },
    /// Measures the cost of sessions of the MySQL frontend, compared with direct requests to the engine.
    Sessions {
        #[command(flatten)]
        target: ProgramArgs,
        #[arg(long, default_value_t = 10_000)]
        statements: usize,
    },
    /// Measures the cost of a change of one engine for the decision module, and of the query after it.
    ListEvents {
        #[arg(long, default_value_t = 16_000)]
        engines: usize,
        #[arg(long, default_value_t = 256)]
        open: u64,
        #[arg(long, default_value_t = 400)]
        events: usize,
    },
    /// Measures a start with every registry unavailable.
    Start {
        #[command(flatten)]
        target: ProgramArgs,
    },
}

impl ProgramArgs {
    fn spooling(&self) -> Spooling<'_> {
        Spooling {
            program: &self.program,
            earlier: self.earlier,
        }
    }

    fn subject(self) -> Subject {
        Subject {
            program: self.program,
            earlier: self.earlier,
        }
    }
}

type Error = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match &cli.command {
        Command::Soak(soak) => return report(soak.run(run_seed)),
        Command::MysqlSoak(soak) => return report(soak.run(run_mysql_seed)),
        _ => {}
    }
    let run = || -> Result<(), Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, run(cli.command))
    };
    report(run())
}

fn report(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("testbed: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        // `main` runs these before it builds this runtime, since each seed uses its own.
        Command::Soak(soak) => soak.run(run_seed)?,
        Command::MysqlSoak(soak) => soak.run(run_mysql_seed)?,
        Command::Registry {
            port,
            nodes,
            lag_ms,
            cache_ms,
            engines,
        } => {
            let mut all: Vec<Node> = vec![];
            for n in 0..nodes {
                let at = SocketAddr::from(([127, 0, 0, 1], port + n));
                let node = Node::start(at, Rules::default()).await?;
                node.lag(lag_ms);
                node.cache(cache_ms);
                all.iter().for_each(|other| node.peer(other));
                println!("registry at {}", node.url());
                all.push(node);
            }
            for e in engines {
                let (name, port) = e
                    .split_once('=')
                    .ok_or(format!("--engine {e:?} is not of the form NAME=PORT"))?;
                let instance = Instance::engine("ENGINES", name, port.parse()?, testbed::now());
                let unexpiring = Instance {
                    duration: f64::MAX,
                    up: testbed::now() - 60_000.0,
                    ..instance
                };
                all.iter()
                    .for_each(|node| node.register(unexpiring.clone()));
            }
            all.iter()
                .for_each(|node| node.evict_every(Duration::from_secs(10)));
            tokio::signal::ctrl_c().await?;
        }
        Command::Engines {
            port,
            count,
            work_ms,
        } => {
            let engines =
                membership::serve_engines(count, port, Duration::from_millis(work_ms)).await?;
            engines
                .iter()
                .for_each(|e| println!("{} at {}", e.name(), e.address()));
            tokio::signal::ctrl_c().await?;
            engines
                .iter()
                .for_each(|e| println!("{}: {} statements", e.name(), e.count()));
        }
        Command::Measure(m) => {
            let line = match m {
                Measure::Drains {
                    target,
                    registries,
                    instances,
                    drains,
                } => {
                    membership::drains(&target.subject(), registries.max(1), instances, drains)
                        .await?
                }
                Measure::Rounds {
                    target,
                    instances,
                    full,
                } => membership::rounds(&target.subject(), instances, full).await?,
                Measure::Outage {
                    target,
                    seconds,
                    restart,
                } => membership::outage(&target.subject(), seconds, restart).await?,
                Measure::Occupancy { target, pace } => {
                    spool::occupancy(&target.spooling(), pace).await?
                }
                Measure::Readers {
                    target,
                    readers,
                    megabytes,
                } => spool::readers(&target.spooling(), readers, megabytes).await?,
                Measure::Throughput { target, megabytes } => {
                    spool::throughput(&target.spooling(), megabytes).await?
                }
                Measure::Small { target, requests } => {
                    spool::small(&target.spooling(), requests).await?
                }
                Measure::Recovery { target, spools } => {
                    spool::recovery(&target.spooling(), spools).await?
                }
                Measure::Sessions { target, statements } => {
                    sessions::sessions(&target.subject(), statements).await?
                }
                Measure::ListEvents {
                    engines,
                    open,
                    events,
                } => list_events(engines, open, events)?,
                Measure::Start { target } => membership::start_alone(&target.subject()).await?,
            };
            println!("{line}");
        }
    }
    Ok(())
}
