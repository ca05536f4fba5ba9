//! Environment of a dispatcher under test: fake engines and its configuration file; and checks of the rules
//! for what engines receive.

use crate::fakes::engine::Engine;
use crate::fakes::registry::{Instance, Node};
use crate::now;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::LocalSet;

/// Runs a test on a single-threaded runtime, as the program does, for at most this time.
///
/// # Panics
/// The test takes longer, or the system has no resources for a runtime.
pub fn run_within<T>(limit: Duration, test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let timed = async {
        tokio::time::timeout(limit, test)
            .await
            .unwrap_or_else(|_| panic!("the test takes longer than {limit:?}"))
    };
    LocalSet::new().block_on(&runtime, timed)
}

/// Returns a loopback address whose port 0 selects a free port.
pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts `n` engines named `engine-0` and up, which execute each statement for `work`.
///
/// # Errors
/// An engine cannot listen.
pub async fn engines(n: usize, work: Duration) -> io::Result<Vec<Engine>> {
    let mut all = vec![];
    for i in 0..n {
        all.push(Engine::start(&format!("engine-{i}"), ephemeral_address(), work).await?);
    }
    Ok(all)
}

/// Registers engines in the application `ENGINES` at each of these registries, as UP for a minute, so that
/// none of them is in its slow-start window.
pub fn register_engines(nodes: &[&Node], engines: &[Engine]) {
    for e in engines {
        let up_since = now() - 60_000.0;
        let instance = Instance::engine("ENGINES", e.name(), e.address().port(), now());
        for node in nodes {
            node.register(Instance {
                up: up_since,
                ..instance.clone()
            });
        }
    }
}

/// Returns the configuration file of a dispatcher. `top` holds further keys at the top level, and `eureka`
/// the sections that follow, such as `[eureka]`.
pub fn dispatcher_file(top: &str, eureka: &str) -> String {
    format!(
        r#"listen = "127.0.0.1:0"
admin_addr = "127.0.0.1:0"
{top}
read_class = "lookup"
write_class = "load"

[[user]]
name = "guest"
password = "guest"

[[class]]
name = "lookup"
worth = 1.0
aim_ms = 1000.0
deadline_ms = 5000.0

[[class]]
name = "load"
worth = 4.0
aim_ms = 2000.0
deadline_ms = 10000.0
threads = 2
unsafe = true

[engines]
user = "lab"
password = "{password}"

{eureka}
"#,
        password = crate::fakes::engine::PASSWORD,
    )
}

/// Returns an `[eureka]` section with these servers, a polling interval of 200 ms, and further keys.
pub fn eureka_section(nodes: &[&Node], more: &str) -> String {
    let urls: Vec<String> = nodes.iter().map(|n| format!("{:?}", n.url())).collect();
    format!(
        "[eureka]\nservers = [{}]\napp = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\n{more}",
        urls.join(", ")
    )
}

/// Violation of a rule in a run, with the first event that violated it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RuleViolation {
    #[error("{engine} received {sql:?} {late:.0} ms after its drain was reported")]
    Drain {
        engine: String,
        sql: String,
        late: f64,
    },
    #[error("{sql:?} was executed {times} times")]
    LoadTwice { sql: String, times: usize },
    #[error(
        "{engine} received {sent} statements in a window of {within:.0} ms after its start; \
         at most {most} were allowed"
    )]
    SlowStart {
        engine: String,
        sent: usize,
        most: usize,
        within: f64,
    },
}

/// Checks that an engine receives nothing later than 1 s after its drain was reported at `notice`. Returns
/// the delay of the last statement after that time, in milliseconds.
///
/// # Errors
/// The first statement that arrived later.
pub fn check_drain(engine: &Engine, notice: f64) -> Result<f64, RuleViolation> {
    let ran = engine.executions();
    let after: Vec<_> = ran.iter().filter(|r| r.at > notice).collect();
    match after.iter().find(|r| r.at > notice + 1000.0) {
        Some(r) => Err(RuleViolation::Drain {
            engine: engine.name().into(),
            sql: r.sql.clone(),
            late: r.at - notice,
        }),
        None => Ok(after.last().map_or(0.0, |r| r.at - notice)),
    }
}

/// Checks that no load was executed twice, on the same or on different engines. Returns the number of
/// loads.
///
/// # Errors
/// The first load that was executed twice.
pub fn check_loads_run_once(engines: &[Engine]) -> Result<usize, RuleViolation> {
    let mut times: BTreeMap<String, usize> = BTreeMap::new();
    for r in engines
        .iter()
        .flat_map(Engine::executions)
        .filter(|r| r.sql.starts_with("insert"))
    {
        *times.entry(r.sql).or_default() += 1;
    }
    let n = times.len();
    match times.into_iter().find(|(_, times)| *times > 1) {
        Some((sql, times)) => Err(RuleViolation::LoadTwice { sql, times }),
        None => Ok(n),
    }
}

/// Checks that an engine is not overloaded after a restart: in every window of `within` milliseconds since
/// its last start it receives at most `most(age)` statements, where `age` is its age in milliseconds at the
/// start of the window. Returns the maximum number of statements in a window, and the number of all
/// statements since the start.
///
/// # Errors
/// The first window with more statements.
pub fn check_slow_start(
    engine: &Engine,
    within: f64,
    most: impl Fn(f64) -> usize,
) -> Result<(usize, usize), RuleViolation> {
    let (started, ran) = (engine.started(), engine.executions());
    let times: Vec<f64> = ran
        .iter()
        .map(|r| r.at)
        .filter(|at| *at >= started)
        .collect();
    let mut highest = 0;
    for from in &times {
        let sent = times
            .iter()
            .filter(|at| **at >= *from && **at < from + within)
            .count();
        let most = most(from - started);
        if sent > most {
            return Err(RuleViolation::SlowStart {
                engine: engine.name().into(),
                sent,
                most,
                within,
            });
        }
        highest = highest.max(sent);
    }
    Ok((highest, times.len()))
}
