//! The laboratory's program: stand-ins to try a dispatcher with, and measurements.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "fakes and measurements whose modules are laid out, and not yet documented item by item"
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
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Registries that copy each other, until Ctrl-C.
    Registry {
        /// The first one's port; the others follow.
        #[arg(long, default_value_t = 8761)]
        port: u16,
        #[arg(long, default_value_t = 1)]
        nodes: u16,
        /// What changes at one is at the others so much later.
        #[arg(long, default_value_t = 0.0)]
        lag_ms: f64,
        /// Answers are up to so old.
        #[arg(long, default_value_t = 0.0)]
        cache_ms: f64,
        /// Engines to begin with, as NAME=PORT of this machine; they need no renewal.
        #[arg(long = "engine")]
        engines: Vec<String>,
    },
    /// Engines that speak MySQL, until Ctrl-C. Their password is `lab`.
    Engines {
        #[arg(long, default_value_t = 4001)]
        port: u16,
        #[arg(long, default_value_t = 2)]
        count: usize,
        #[arg(long, default_value_t = 50)]
        work_ms: u64,
    },
    /// Dispatchers on the platform under random faults that overlap, a line for each seed.
    Soak(Soak),
    /// The same on the MySQL frontend.
    MysqlSoak(Soak),
    /// Measures a program's membership; a line of JSON each.
    #[command(subcommand)]
    Measure(Measure),
}

#[derive(Args)]
struct Soak {
    /// The dispatcher's program.
    #[arg(long, default_value = "target/release/hitchwinch")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Seconds of faults in a run.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Runs side by side.
    #[arg(long, default_value_t = 2)]
    jobs: u64,
    /// Prints what the processes of a seed have logged that is not clean.
    #[arg(long)]
    logs: bool,
}

impl Soak {
    /// Plays all seeds; fails if one is not clean.
    fn run(&self, play: PlaySeed) -> Result<(), Error> {
        let jobs: Vec<_> = (0..self.jobs).map(|job| self.job(job, play)).collect();
        let clean = jobs.into_iter().map(|job| job.join().unwrap_or(false));
        match clean.fold(true, |all, clean| all & clean) {
            true => Ok(()),
            false => Err("not all seeds are clean".into()),
        }
    }

    /// Plays every `jobs`-th seed on a thread of its own; true if all were clean.
    fn job(&self, job: u64, play: PlaySeed) -> std::thread::JoinHandle<bool> {
        let seeds = (self.first + job..self.first + self.seeds).step_by(self.jobs as usize);
        let program = self.program.clone();
        let span = Duration::from_secs(self.seconds);
        let logs = self.logs;
        std::thread::spawn(move || {
            let mut all_clean = true;
            for seed in seeds {
                all_clean &= play(&program, seed, span, logs);
            }
            all_clean
        })
    }
}

/// Plays a seed with so long faults, and prints what it came to; true if it was clean.
type PlaySeed = fn(&std::path::Path, u64, Duration, bool) -> bool;

fn play_mysql_seed(program: &std::path::Path, seed: u64, span: Duration, _: bool) -> bool {
    match mysql_soak::play(program, seed, span) {
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

fn play_seed(program: &std::path::Path, seed: u64, span: Duration, logs: bool) -> bool {
    let scale = soak::Scale::draw(seed, span);
    match soak::play(program, seed, scale) {
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
struct Which {
    /// The dispatcher's program.
    #[arg(long, default_value = "target/release/hitchwinch")]
    program: PathBuf,
    /// A program that knows only the earlier form of `[eureka]`, and no `[spool]`.
    #[arg(long)]
    earlier: bool,
}

#[derive(Subcommand)]
enum Measure {
    /// From the notice that an engine drains to the last statement that it gets.
    Drains {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 1)]
        registries: usize,
        #[arg(long, default_value_t = 10)]
        instances: usize,
        #[arg(long, default_value_t = 20)]
        drains: usize,
    },
    /// Processor time and memory of a round.
    Rounds {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 10_000)]
        instances: usize,
        /// Whole lists; else changes.
        #[arg(long)]
        full: bool,
    },
    /// Requests lost while every registry is away.
    Outage {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// One engine restarts cold in the middle.
        #[arg(long)]
        restart: bool,
    },
    /// For how long a report of 10 MB holds its engine, by its client's pace.
    Occupancy {
        #[command(flatten)]
        which: Which,
        /// Bytes a second; 0 is full speed.
        #[arg(long, default_value_t = 0)]
        pace: usize,
    },
    /// Memory with many slow readers.
    Readers {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 200)]
        readers: usize,
        #[arg(long, default_value_t = 50)]
        megabytes: u64,
    },
    /// A large result, beside a plain file.
    Throughput {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 2048)]
        megabytes: u64,
    },
    /// Latency of small results.
    Small {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 10_000)]
        requests: u64,
    },
    /// A start that finds many results.
    Recovery {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 10_000)]
        spools: u64,
    },
    /// What sessions of the MySQL front cost beside the engine asked directly.
    Sessions {
        #[command(flatten)]
        which: Which,
        #[arg(long, default_value_t = 10_000)]
        statements: usize,
    },
    /// What a change of one engine costs the decision module, and the query after it.
    ListEvents {
        #[arg(long, default_value_t = 16_000)]
        engines: usize,
        #[arg(long, default_value_t = 256)]
        open: u64,
        #[arg(long, default_value_t = 400)]
        events: usize,
    },
    /// A start with every registry away.
    Start {
        #[command(flatten)]
        which: Which,
    },
}

impl Which {
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
    match &cli.what {
        What::Soak(soak) => return report(soak.run(play_seed)),
        What::MysqlSoak(soak) => return report(soak.run(play_mysql_seed)),
        _ => {}
    }
    let run = || -> Result<(), Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, run(cli.what))
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

async fn run(what: What) -> Result<(), Error> {
    match what {
        // Has runtimes of its own.
        What::Soak(soak) => soak.run(play_seed)?,
        What::MysqlSoak(soak) => soak.run(play_mysql_seed)?,
        What::Registry {
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
                let (name, port) = e.split_once('=').ok_or(format!("{e:?} is not NAME=PORT"))?;
                let instance = Instance::engine("ENGINES", name, port.parse()?, testbed::now());
                let forever = Instance {
                    duration: f64::MAX,
                    up: testbed::now() - 60_000.0,
                    ..instance
                };
                all.iter().for_each(|node| node.register(forever.clone()));
            }
            all.iter()
                .for_each(|node| node.evict_every(Duration::from_secs(10)));
            tokio::signal::ctrl_c().await?;
        }
        What::Engines {
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
        What::Measure(m) => {
            let line = match m {
                Measure::Drains {
                    which,
                    registries,
                    instances,
                    drains,
                } => {
                    membership::drains(&which.subject(), registries.max(1), instances, drains)
                        .await?
                }
                Measure::Rounds {
                    which,
                    instances,
                    full,
                } => membership::rounds(&which.subject(), instances, full).await?,
                Measure::Outage {
                    which,
                    seconds,
                    restart,
                } => membership::outage(&which.subject(), seconds, restart).await?,
                Measure::Occupancy { which, pace } => {
                    spool::occupancy(&which.spooling(), pace).await?
                }
                Measure::Readers {
                    which,
                    readers,
                    megabytes,
                } => spool::readers(&which.spooling(), readers, megabytes).await?,
                Measure::Throughput { which, megabytes } => {
                    spool::throughput(&which.spooling(), megabytes).await?
                }
                Measure::Small { which, requests } => {
                    spool::small(&which.spooling(), requests).await?
                }
                Measure::Recovery { which, spools } => {
                    spool::recovery(&which.spooling(), spools).await?
                }
                Measure::Sessions { which, statements } => {
                    sessions::sessions(&which.subject(), statements).await?
                }
                Measure::ListEvents {
                    engines,
                    open,
                    events,
                } => list_events(engines, open, events)?,
                Measure::Start { which } => membership::start_alone(&which.subject()).await?,
            };
            println!("{line}");
        }
    }
    Ok(())
}
