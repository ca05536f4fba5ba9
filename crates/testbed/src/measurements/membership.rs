//! Long measurements of membership on real sockets, which are not part of any test. Each returns a JSON
//! object that is printed as a line, so that a script can compare them with those of an earlier version of
//! the program.

use crate::clients::load::{Clients, End, Load};
use crate::fakes::engine::Engine;
use crate::fakes::registry::{Fault, Instance, Node, Rules};
use crate::fixture::{self, ephemeral_address};
use crate::now;
use crate::program::{Folder, Program, ProgramError};
use hdrhistogram::Histogram;
use query_dispatcher::membership::Status;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::Duration;

/// Failure of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    #[error(transparent)]
    Program(#[from] ProgramError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("the measurement failed: {0}")]
    Failed(String),
    #[error("the test clients failed: {0}")]
    Client(String),
}

/// Measured program, and the format of its configuration file.
#[derive(Clone, Debug)]
pub struct Subject {
    pub program: PathBuf,
    /// Whether it is an earlier version, whose `[eureka]` section knows only `address` and `path`: one
    /// registry, polled at an interval of whole seconds.
    pub earlier: bool,
}

impl Subject {
    fn section(&self, nodes: &[&Node], period_s: f64, more: &str) -> String {
        match self.earlier {
            true => format!(
                "[eureka]\naddress = \"{}\"\npath = \"/eureka\"\napp = \"ENGINES\"\nperiod_s = {}",
                nodes[0].address(),
                period_s.max(1.0) as u64
            ),
            false => {
                let urls: Vec<String> = nodes.iter().map(|n| format!("{:?}", n.url())).collect();
                format!(
                    "[eureka]\nservers = [{}]\napp = \"ENGINES\"\nperiod_s = {period_s:.3}\n{more}",
                    urls.join(", ")
                )
            }
        }
    }

    async fn start(
        &self,
        folder: &Folder,
        top: &str,
        section: &str,
    ) -> Result<Program, MeasureError> {
        let top = format!("connect_timeout_ms = 1000\n{top}");
        Ok(Program::start(
            &self.program,
            folder,
            "measured",
            &fixture::dispatcher_file(&top, section),
        )
        .await?)
    }
}

/// Returns a metric from `/_vars`.
async fn metric(program: &Program, name: &str) -> Option<u64> {
    let (_, text) = program.call("GET", "/_vars").await.ok()?;
    text.lines()
        .find_map(|l| l.strip_prefix(&format!("{name}="))?.parse().ok())
}

/// Waits until the program reports `n` engines.
async fn wait_for_targets(program: &Program, n: u64) -> Result<(), MeasureError> {
    for _ in 0..1500 {
        if metric(program, "targets").await == Some(n) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(MeasureError::Failed(format!(
        "the dispatcher did not list {n} engines in time"
    )))
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Registers instances `from` to `to` that stay STARTING and receive nothing, so that the list has the
/// length of a large fleet's.
fn register_fillers(nodes: &[Node], from: usize, to: usize) {
    for n in from..to {
        let filler = Instance {
            ip: format!("127.1.{}.{}", n / 250, n % 250 + 1),
            status: Status::Starting,
            ..Instance::engine("ENGINES", &format!("filler-{n}"), 3306, now())
        };
        nodes.iter().for_each(|node| node.register(filler.clone()));
    }
}

async fn start_nodes(n: usize) -> Result<Vec<Node>, MeasureError> {
    let mut all = vec![];
    for _ in 0..n {
        // No lease is evicted during a measurement, and deltas stay bounded.
        all.push(
            Node::start(
                ephemeral_address(),
                Rules {
                    renewal_threshold: 1.0,
                    retention: 10_000.0,
                    ..Rules::default()
                },
            )
            .await?,
        );
    }
    Ok(all)
}

#[derive(Serialize)]
struct Distribution {
    n: u64,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

fn distribution(values: &[f64]) -> Distribution {
    let Ok(mut h) = Histogram::<u64>::new(3) else {
        return Distribution {
            n: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            max_ms: 0.0,
        };
    };
    values
        .iter()
        .for_each(|v| h.saturating_record((v * 1000.0) as u64));
    let at = |p| h.value_at_percentile(p) as f64 / 1000.0;
    Distribution {
        n: h.len(),
        p50_ms: at(50.0),
        p99_ms: at(99.0),
        max_ms: h.max() as f64 / 1000.0,
    }
}

/// Measures the delay from the time when a drain is reported to the last statement that the engine
/// receives, over this number of drains.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn drains(
    subject: &Subject,
    registries: usize,
    instances: usize,
    drains: usize,
) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-drains")?;
    let nodes = start_nodes(registries).await?;
    let engines = fixture::engines(5, Duration::from_millis(4)).await?;
    let all: Vec<&Node> = nodes.iter().collect();
    fixture::register_engines(&all, &engines);
    register_fillers(&nodes, engines.len(), instances);
    let program = subject
        .start(&folder, "", &subject.section(&all, 1.0, "ask = 1"))
        .await?;
    wait_for_targets(&program, instances.max(engines.len()) as u64).await?;
    // A change at one node reaches the others 300 ms later.
    for (i, a) in nodes.iter().enumerate() {
        a.lag(300.0);
        nodes[i + 1..].iter().for_each(|b| a.peer(b));
    }
    let load = Load {
        clients: 20,
        gap: Duration::from_millis(50),
        loads: 0,
        prepared: true,
    };
    let clients = Clients::start(program.address, load);
    sleep_ms(1500).await;
    let mut delays = vec![];
    for n in 0..drains {
        let engine = &engines[n % engines.len()];
        nodes.iter().for_each(|node| node.watch(engine.name()));
        // Starts the drains at different phases of the polling interval.
        sleep_ms((n as u64 * 137) % 1000).await;
        nodes[0].set_status("ENGINES", engine.name(), Some(Status::OutOfService));
        let mut notice = None;
        for _ in 0..200 {
            notice = nodes
                .iter()
                .filter_map(|node| node.drain_reported_at(engine.name()))
                .reduce(f64::min);
            if notice.is_some() {
                break;
            }
            sleep_ms(20).await;
        }
        let Some(notice) = notice else {
            return Err(MeasureError::Failed(
                "no registry reported the drain in time".into(),
            ));
        };
        sleep_ms(1400).await;
        let last = engine
            .executions()
            .iter()
            .rev()
            .find(|r| r.at > notice)
            .map_or(0.0, |r| r.at - notice);
        delays.push(last);
        let before = engine.count();
        nodes[0].set_status("ENGINES", engine.name(), None);
        for _ in 0..200 {
            if engine.count() > before + 3 {
                break;
            }
            sleep_ms(20).await;
        }
    }
    let summary = clients.stop().await;
    Ok(json!({
        "measure": "drains", "earlier": subject.earlier, "registries": registries, "instances": instances,
        "notice_to_last": distribution(&delays), "requests": summary.all(), "served": summary.count(End::Served),
        "latency_p99_ms": summary.percentile(99.0),
    }))
}

/// Measures CPU time and memory of a polling round under load, with whole lists (`full`) or with deltas.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn rounds(
    subject: &Subject,
    instances: usize,
    full: bool,
) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-rounds")?;
    let nodes = start_nodes(1).await?;
    let engines = fixture::engines(2, Duration::from_millis(1)).await?;
    fixture::register_engines(&[&nodes[0]], &engines);
    register_fillers(&nodes, engines.len(), instances);
    // Waits for the retention period of the registrations, which every delta would contain until then.
    sleep_ms(if instances > 100 { 11_000 } else { 0 }).await;
    let program = subject
        .start(&folder, "", &subject.section(&[&nodes[0]], 1.0, ""))
        .await?;
    wait_for_targets(&program, instances.max(engines.len()) as u64).await?;
    let load = Load {
        clients: 4,
        gap: Duration::from_millis(20),
        loads: 0,
        prepared: true,
    };
    let clients = Clients::start(program.address, load);
    sleep_ms(2000).await;
    let idle = clients.stop().await;
    if full {
        // Every delta contradicts its hash code, so the whole list is requested in every round.
        nodes[0].set_fault(Fault::WrongHashCode);
    }
    let rounds_before = nodes[0]
        .calls()
        .iter()
        .filter(|c| c.ends_with("/apps/delta"))
        .count();
    let (cpu, bytes) = (program.cpu(), nodes[0].bytes());
    let clients = Clients::start(program.address, load);
    for n in 0..200usize {
        // Ten changes a second, as in a large fleet.
        if n % 2 == 0 {
            let id = format!(
                "filler-{}",
                engines.len() + n % instances.saturating_sub(engines.len()).max(1)
            );
            let status = if n % 4 == 0 { Some(Status::Down) } else { None };
            nodes[0].set_status("ENGINES", &id, status);
        }
        sleep_ms(50).await;
    }
    let summary = clients.stop().await;
    let rounds = nodes[0]
        .calls()
        .iter()
        .filter(|c| c.ends_with("/apps/delta"))
        .count()
        - rounds_before;
    let cpu_used = program.cpu() - cpu;
    let (now_mb, max_mb) = program.memory();
    // The CPU time includes the clients' requests. Their share is not subtracted here; it can be estimated
    // by rate from a period without polling rounds.
    Ok(json!({
        "measure": "rounds", "earlier": subject.earlier, "instances": instances, "full": full, "rounds": rounds,
        "cpu_ms_a_round_with_load": 1000.0 * cpu_used / rounds.max(1) as f64,
        "kb_a_round": (nodes[0].bytes() - bytes) as f64 / 1024.0 / rounds.max(1) as f64,
        "memory_mb": now_mb, "memory_most_mb": max_mb,
        "latency_p50_ms": summary.percentile(50.0), "latency_p99_ms": summary.percentile(99.0),
        "latency_max_ms": summary.percentile(100.0),
        "latency_p99_before_ms": idle.percentile(99.0), "not_served": summary.all() - summary.count(End::Served),
    }))
}

/// Counts the outcomes of requests while every registry is unreachable for this number of seconds. With
/// `restart`, one engine restarts in the middle.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn outage(subject: &Subject, seconds: u64, restart: bool) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-outage")?;
    let nodes = start_nodes(2).await?;
    let engines = fixture::engines(3, Duration::from_millis(400)).await?;
    let all: Vec<&Node> = nodes.iter().collect();
    fixture::register_engines(&all, &engines);
    let program = subject
        .start(&folder, "", &subject.section(&all, 1.0, ""))
        .await?;
    wait_for_targets(&program, 3).await?;
    let load = Load {
        clients: 90,
        gap: Duration::from_millis(1000),
        loads: 10,
        prepared: false,
    };
    let clients = Clients::start(program.address, load);
    sleep_ms(4000).await;
    nodes.iter().for_each(Node::stop);
    sleep_ms(500 * seconds).await;
    let mut most_cold = Value::Null;
    if restart {
        engines[0].stop();
        sleep_ms(3000).await;
        engines[0].restart().await?;
        sleep_ms(8000).await;
        let checked = fixture::check_slow_start(&engines[0], 2000.0, |_| usize::MAX);
        most_cold = json!(checked.map_or(0, |(most, _)| most));
    }
    sleep_ms(500 * seconds).await;
    for node in &nodes {
        node.restart().await?;
    }
    sleep_ms(2000).await;
    let summary = clients.stop().await;
    let ends: Vec<(String, u64)> = summary
        .ends
        .borrow()
        .iter()
        .map(|(e, n)| (format!("{e:?}"), *n))
        .collect();
    Ok(json!({
        "measure": "outage", "earlier": subject.earlier, "seconds": seconds, "restart": restart,
        "ends": ends.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
        "most_in_2_s_on_the_cold_engine": most_cold, "borne_cold_in_2_s": 48,
        "loads_run_twice": fixture::check_loads_run_once(&engines).is_err(),
    }))
}

/// Starts the program while its registry is unreachable, and counts how many requests of ten clients are
/// served in one second.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn start_alone(subject: &Subject) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-start")?;
    let nodes = start_nodes(1).await?;
    let engines = fixture::engines(3, Duration::from_millis(10)).await?;
    fixture::register_engines(&[&nodes[0]], &engines);
    let top = format!("state_dir = {:?}", folder.path());
    let section = subject.section(&[&nodes[0]], 1.0, "");
    let program = subject.start(&folder, &top, &section).await?;
    wait_for_targets(&program, 3).await?;
    sleep_ms(2000).await;
    program.kill().await?;
    nodes[0].stop();
    let began = now();
    let program = subject.start(&folder, &top, &section).await?;
    let mut ready = None;
    for _ in 0..150 {
        if program.call("GET", "/_ready").await?.0 == 200 {
            ready = Some(now() - began);
            break;
        }
        sleep_ms(20).await;
    }
    let load = Load {
        clients: 10,
        gap: Duration::from_millis(100),
        loads: 0,
        prepared: true,
    };
    let clients = Clients::start(program.address, load);
    sleep_ms(1000).await;
    let summary = clients.stop().await;
    Ok(json!({
        "measure": "start", "earlier": subject.earlier, "ready_after_ms": ready,
        "requests": summary.all(), "served": summary.count(End::Served),
    }))
}

/// Starts engines on consecutive ports for manual experiments.
///
/// # Errors
/// A port is in use.
pub async fn serve_engines(
    count: usize,
    first_port: u16,
    work: Duration,
) -> Result<Vec<Engine>, MeasureError> {
    let mut all = vec![];
    for i in 0..count {
        let at = std::net::SocketAddr::from(([127, 0, 0, 1], first_port + i as u16));
        all.push(Engine::start(&format!("engine-{i}"), at, work).await?);
    }
    Ok(all)
}
