//! What a dispatcher stands in: engines, and the operators' file that leads it to registries; and the rules that are
//! checked of what engines were sent.

use crate::fakes::engine::Engine;
use crate::fakes::registry::{Instance, Node};
use crate::now;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A free port of this machine.
pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// So many engines, `engine-0` and on, that work on a statement for `work`.
///
/// # Errors
/// They cannot listen.
pub async fn engines(n: usize, work: Duration) -> io::Result<Vec<Engine>> {
    let mut all = vec![];
    for i in 0..n {
        all.push(Engine::start(&format!("engine-{i}"), ephemeral_address(), work).await?);
    }
    Ok(all)
}

/// Registers engines as `ENGINES`, alike at each of these registries; up for a minute, so that none is cold.
pub fn register_engines(nodes: &[&Node], engines: &[Engine]) {
    for e in engines {
        let long_up = now() - 60_000.0;
        let instance = Instance::engine("ENGINES", e.name(), e.address().port(), now());
        for node in nodes {
            node.register(Instance {
                up: long_up,
                ..instance.clone()
            });
        }
    }
}

/// The operators' file of a dispatcher: `eureka` is its `[eureka]` and what belongs there, `top` further keys.
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

/// `[eureka]` with these servers, a round every 200 ms, and further keys.
pub fn eureka_section(nodes: &[&Node], more: &str) -> String {
    let urls: Vec<String> = nodes.iter().map(|n| format!("{:?}", n.url())).collect();
    format!(
        "[eureka]\nservers = [{}]\napp = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\n{more}",
        urls.join(", ")
    )
}

/// A rule that a run broke, with the first event that did.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RuleViolation {
    #[error("{engine} was sent {sql:?} {late:.0} ms after the notice that it drains")]
    Drain {
        engine: String,
        sql: String,
        late: f64,
    },
    #[error("{sql:?} ran {times} times")]
    LoadTwice { sql: String, times: usize },
    #[error(
        "{engine} was sent {sent} statements within {within:.0} ms of its start, where {most} were allowed"
    )]
    SlowStart {
        engine: String,
        sent: usize,
        most: usize,
        within: f64,
    },
}

/// Nothing new to an engine later than 1 s after notice.
///
/// # Errors
/// The first statement that came later.
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

/// A load never runs twice, wherever.
///
/// # Errors
/// The first that did.
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

/// No cold engine is pushed over: since its last start no span of so many milliseconds brought it more than `most`
/// tells for its age, in milliseconds, when the span begins.
///
/// # Errors
/// One did. Else the most that any span brought, and all since the start.
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
