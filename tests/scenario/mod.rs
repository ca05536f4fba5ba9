//! A script language for scenarios on loopback that run on the frame frontend and on the MySQL frontend. A
//! script has one step per line:
//!
//! - `send NAME CLASS [MS]`: the client sends a request with a deadline in MS milliseconds (5,000 by
//!   default); each NAME is a new request of the one client, CLASS is `lookup` or `load`;
//! - `leave`: the client disconnects;
//! - `expect NAME served|refused|failed|late`: the request's only answer;
//! - `engine CLASS`: a complete request reaches an engine; later steps refer to this request and engine;
//! - `engine dropped`: an engine is instructed to cancel the request;
//! - `reply rows|full|error|half`: the engine answers (`half`: it begins a result and does not end it). On
//!   frames also `malformed` (a malformed page), `cut` (half of an answer's bytes), `unknown` (an answer of
//!   an unknown kind) and `duplicates` (rows, after an answer to an unknown request and before a second
//!   copy);
//! - `close`: the engine closes the request's connection;
//! - `drain`, `restore`: the endpoint list reports that this engine is draining, or that all are in service;
//! - `takeover`: the endpoint list reports that this engine's address now belongs to another engine;
//! - `restart`: the endpoint list reports that the engine's process has just been restarted;
//! - `moved`: expects that the last request went to another engine than the one before;
//! - `silent_clients N`: N clients connect, send nothing and keep their connections;
//! - `silent_operators N`: N operators connect, complete no call and keep their connections;
//! - `silent closed`: expects that all silent connections are closed;
//! - `reconnect`: the client opens a new connection; on frames, its earlier connections stay open;
//! - `call CODE METHOD PATH`: expects that an operator's call is answered with this status;
//! - `metrics NAME=VALUE...`: expects these lines among the metrics that operators receive;
//! - `detach`, `attach`: an operator's call takes this engine out of service, or restores it;
//! - `wait MS`: MS milliseconds pass;
//! - `ran N`: expects that N requests reached engines in total.
#![allow(dead_code)]

#[path = "../common/mod.rs"]
pub(crate) mod common;

use query_dispatcher::admin::{Admin, ReportSources};
use query_dispatcher::config::{
    ClassRules, EngineCredentials, MysqlFrontendConfig, NameTable, SocketSettings, SpoolSettings,
    User,
};
use query_dispatcher::core::{Core, CoreLimits};
use query_dispatcher::discovery::{DiscoveredEngine, EndpointListChange};
use query_dispatcher::dispatch::{RequestRouter, Upstream};
use query_dispatcher::server::instance_registry::InstanceRegistry;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A request or cancellation that a fake engine received, with the channel for instructions how to answer.
pub(crate) struct EngineRequest {
    pub(crate) engine: usize,
    pub(crate) class: String,
    pub(crate) instructions: mpsc::UnboundedSender<&'static str>,
}

/// A client of one frontend, with requests by name.
#[allow(async_fn_in_trait)]
pub(crate) trait Client {
    /// Sends a request with a deadline in `ms` milliseconds.
    async fn send(&mut self, name: &str, class: &str, ms: u64);
    /// Returns the kind of the request's answer: `served`, `refused`, `failed` or `late`.
    async fn answer(&mut self, name: &str) -> &'static str;
    fn disconnect(&mut self);
    /// Returns the address that the frontend listens on.
    fn address(&self) -> SocketAddr;
    /// Opens a new connection for the requests that follow.
    async fn reconnect(&mut self);
}

/// Returns settings with an idempotent class and one that is not, whose engines accept no memory grants and
/// report no load.
pub(crate) fn settings() -> Settings {
    let load = Class {
        idempotency: Idempotency::NonIdempotent,
        threads: 2.0,
        ..common::class(4.0, 5000.0)
    };
    let mut s = common::test_settings(vec![common::class(1.0, 5000.0), load]);
    s.engines = EngineCapabilities {
        accepts_memory_grants: false,
        accepts_priority: false,
        reports_cost: false,
        ..s.engines
    };
    s.report_fields = vec![];
    s
}

pub(crate) fn core() -> (Core, NameTable, SocketSettings) {
    core_with(100)
}

/// Returns a core that holds at most `max_open_requests` requests open, with its names and socket
/// settings.
pub(crate) fn core_with(max_open_requests: usize) -> (Core, NameTable, SocketSettings) {
    let names = NameTable {
        classes: vec!["lookup".into(), "load".into()],
        kinds: vec!["std".into()],
        zones: vec![],
        tenants: vec!["acme".into()],
        reports_cost: false,
        report_fields: vec![],
    };
    let sockets = SocketSettings {
        connect_timeout: 250.0,
        idle_timeout: 30_000.0,
        max_streams_per_connection: 100,
        progress_interval: 0.0,
        max_open_requests: 100,
        longest_deadline: 5000.0,
    };
    let limits = CoreLimits {
        max_open_requests,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(600),
    };
    (Core::new(settings(), 1, limits).unwrap(), names, sockets)
}

/// Returns a snapshot of the endpoint list. `special` is the index of an engine that is reported with the
/// change `drain`, `takeover` or `restart`.
pub(crate) fn endpoint_list_snapshot(
    addresses: &[SocketAddr],
    special: Option<(usize, &str)>,
) -> EndpointListChange {
    let engine = |(i, address): (usize, &SocketAddr)| {
        let is = |change| special == Some((i, change));
        DiscoveredEngine {
            id: format!("{}{i}", if is("takeover") { "new" } else { "e" }),
            address: Some(*address),
            state: if is("drain") {
                EngineState::Draining
            } else {
                EngineState::Ready
            },
            zone: None,
            kind: Some("std".into()),
            cell: 0,
            started: is("restart").then(|| query_dispatcher::clock::process_clock_millis() + 1.0),
        }
    };
    EndpointListChange {
        update: ListUpdate::Snapshot,
        engines: addresses.iter().enumerate().map(engine).collect(),
    }
}

pub(crate) fn engine_credentials() -> EngineCredentials {
    EngineCredentials {
        user: "engine".into(),
        password: "inner".into(),
        max_connections: 4,
        max_packet: 65_536,
    }
}

/// Returns settings for results of up to 64 KB, in memory.
pub(crate) fn spool_settings() -> SpoolSettings {
    SpoolSettings::in_memory(65_536)
}

pub(crate) fn mysql_frontend_config() -> MysqlFrontendConfig {
    let classes = vec!["lookup".to_string(), "load".to_string()];
    MysqlFrontendConfig {
        max_clients: 8,
        max_packet: 65_536,
        max_statements: 3,
        idle_timeout: Duration::from_secs(60),
        server_version: "8.0.0-test".into(),
        users: [(
            "ann".to_string(),
            User {
                password: "secret".into(),
                certificate_common_name: None,
                tenant: Some(0),
            },
        )]
        .into(),
        class_rules: ClassRules::new(1, 0, classes, vec![]),
        deadlines: vec![5000.0, 5000.0],
        transaction_class: 1,
        sticky_sessions: query_dispatcher::sticky_sessions::StickySessionLimits {
            idle_timeout: 60_000.0,
            max_lifetime: 60_000.0,
            drain_timeout: 500.0,
            max_sessions: 4,
            max_sessions_per_tenant: 3,
        },
    }
}

/// Runs a future on a single-threaded runtime, as the program does, for at most 20 s.
pub(crate) fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    testbed::fixture::run_within(Duration::from_secs(20), test)
}

/// Starts two engines on ephemeral ports, each running `serve` for every connection.
pub(crate) async fn start_engines<F: Future<Output = ()> + 'static>(
    serve: impl Fn(usize, tokio::net::TcpStream, mpsc::UnboundedSender<EngineRequest>) -> F
    + 'static
    + Copy,
) -> (Vec<SocketAddr>, mpsc::UnboundedReceiver<EngineRequest>) {
    let (sender, requests) = mpsc::unbounded_channel();
    let mut addresses = vec![];
    for engine in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let sender = sender.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                spawn_local(serve(engine, tcp, sender.clone()));
            }
        });
    }
    (addresses, requests)
}

/// Sends one HTTP call as an operator and returns the answer as text.
async fn call(address: SocketAddr, method: &str, path: &str) -> String {
    let mut tcp = TcpStream::connect(address).await.unwrap();
    tcp.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    let read = tokio::time::timeout(Duration::from_secs(1), tcp.read_to_string(&mut answer));
    read.await
        .expect("an operator is answered within 1 s")
        .unwrap();
    answer
}

/// Replies of engines that scripts may name.
const REPLIES: [&str; 8] = [
    "rows",
    "full",
    "error",
    "half",
    "malformed",
    "cut",
    "unknown",
    "duplicates",
];

/// Runs a script; panics at the first step that does not come out as expected.
pub(crate) async fn run_script<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    client: &mut impl Client,
    addresses: &[SocketAddr],
    requests: &mut mpsc::UnboundedReceiver<EngineRequest>,
    script: &str,
) {
    let mut last: Option<EngineRequest> = None;
    let mut previous_engine: Option<usize> = None;
    let mut request_count = 0;
    let mut silent_connections = vec![];
    let admin_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let admin_address = admin_listener.local_addr().unwrap();
    spawn_local(
        Admin::new(
            router.clone(),
            BufferPool::default(),
            Rc::new(InstanceRegistry::open(None).unwrap()),
            ReportSources::default(),
            24,
        )
        .accept(admin_listener),
    );
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let engine = || last.as_ref().expect("an `engine` step comes first").engine;
        match words[..] {
            ["send", name, class] => client.send(name, class, 5000).await,
            ["send", name, class, ms] => client.send(name, class, ms.parse().unwrap()).await,
            ["leave"] => client.disconnect(),
            ["expect", name, answer] => assert_eq!(client.answer(name).await, answer, "{line}"),
            ["engine", class] => {
                let next = tokio::time::timeout(Duration::from_secs(4), requests.recv()).await;
                let next = next
                    .unwrap_or_else(|_| panic!("{line}: no engine received a request"))
                    .unwrap();
                assert_eq!(next.class, class, "{line}");
                if class != "dropped" {
                    request_count += 1;
                    previous_engine = last.as_ref().map(|s| s.engine);
                    last = Some(next);
                }
            }
            ["reply", reply] => {
                let reply = REPLIES.into_iter().find(|known| *known == reply).unwrap();
                last.as_ref().unwrap().instructions.send(reply).unwrap();
            }
            ["close"] => last.as_ref().unwrap().instructions.send("close").unwrap(),
            [state @ ("drain" | "takeover" | "restart")] => {
                router
                    .update_endpoints(&endpoint_list_snapshot(addresses, Some((engine(), state))));
            }
            ["restore"] => router.update_endpoints(&endpoint_list_snapshot(addresses, None)),
            ["moved"] => assert_ne!(Some(engine()), previous_engine, "{line}"),
            ["silent", "closed"] => {
                for mut tcp in silent_connections.drain(..) {
                    let mut byte = [0];
                    let end = tokio::io::AsyncReadExt::read(&mut tcp, &mut byte);
                    let end = tokio::time::timeout(Duration::from_secs(3), end)
                        .await
                        .expect("a close within 3 s");
                    assert!(matches!(end, Ok(0) | Err(_)), "{line}");
                }
            }
            ["silent_clients", n] => {
                for _ in 0..n.parse().unwrap() {
                    silent_connections.push(TcpStream::connect(client.address()).await.unwrap());
                }
            }
            ["silent_operators", n] => {
                for _ in 0..n.parse().unwrap() {
                    silent_connections.push(TcpStream::connect(admin_address).await.unwrap());
                }
            }
            ["call", code, method, path] => {
                let answer = call(admin_address, method, path).await;
                assert!(
                    answer.starts_with(&format!("HTTP/1.1 {code} ")),
                    "{line}: {answer}"
                );
            }
            [action @ ("detach" | "attach")] => {
                let path = format!("/_engines/{action}/e{}", engine());
                let answer = call(admin_address, "POST", &path).await;
                assert!(answer.starts_with("HTTP/1.1 200 "), "{line}: {answer}");
            }
            ["metrics", ref expected @ ..] => {
                let report = call(admin_address, "GET", "/_vars").await;
                expected.iter().for_each(|metric| {
                    assert!(report.lines().any(|l| l == *metric), "{metric}: {report}")
                });
            }
            ["reconnect"] => client.reconnect().await,
            ["wait", ms] => tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["ran", n] => {
                assert!(requests.try_recv().is_err(), "{line}: another request");
                assert_eq!(request_count, n.parse::<usize>().unwrap(), "{line}");
            }
            _ => panic!("unknown step: {line}"),
        }
    }
}

/// Scenarios with the same results on both frontends: a label and a script each.
pub(crate) const SHARED_SCENARIOS: [(&str, &str); 18] = [
    ("a request is served", "send a lookup\n engine lookup\n reply rows\n expect a served\n ran 1"),
    (
        "a lookup whose connection breaks is retried on another engine",
        "send a lookup\n engine lookup\n close\n engine lookup\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a lookup whose result is truncated is retried",
        "send a lookup\n engine lookup\n reply half\n close\n engine lookup\n reply rows\n expect a served",
    ),
    (
        "a load whose connection breaks after it was written fails and is never retried",
        "send a load\n engine load\n close\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load whose result is truncated fails and is never retried",
        "send a load\n engine load\n reply half\n close\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load that its engine answers with an error may have run, and fails",
        "send a load\n engine load\n reply error\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load that a full engine rejected never ran and is retried on another engine",
        "send a load\n engine load\n reply full\n engine load\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "requests after the start of an engine's drain go to another engine",
        "send a lookup\n engine lookup\n reply rows\n expect a served\n drain
         send b lookup\n engine lookup\n moved\n reply rows\n expect b served\n ran 2",
    ),
    (
        "an attempt on a silent engine is cancelled at the deadline, and the client is answered before",
        "send a lookup 300\n engine lookup\n expect a late\n engine dropped\n ran 1",
    ),
    (
        "connections to an address that another engine took over are closed, and a load on them fails",
        "send a load\n engine load\n takeover\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "an engine process that restarted has lost its requests, and a lookup is retried",
        "send a lookup\n engine lookup\n restart\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a request that every engine rejects as full is refused, since it never ran",
        "send a load\n engine load\n reply full\n engine load\n moved\n reply full
         engine load\n reply full\n expect a refused\n ran 3",
    ),
    (
        "metrics count each answer once, open requests and engines out of service",
        "metrics concurrent=0 targets=2 targets_disabled=0
         send a lookup\n engine lookup\n metrics concurrent=1\n reply rows\n expect a served
         send b load\n engine load\n close\n expect b failed
         send c lookup\n engine lookup\n reply full\n engine lookup\n reply full\n engine lookup\n reply full
         expect c refused\n drain
         metrics replies.lookup.overload=1 replies.lookup.error=0 replies.load.error=1 replies.load.success=0
         metrics concurrent=0 targets=2 targets_disabled=1",
    ),
    (
        "an engine that an operator detached gets no requests, whatever the endpoint list reports, until it is attached",
        "send a lookup\n engine lookup\n reply rows\n expect a served\n detach\n detach\n restore
         send b lookup\n engine lookup\n moved\n reply rows\n expect b served\n metrics targets_disabled=1
         send c lookup\n engine lookup\n detach\n reply rows\n expect c served
         send d lookup\n expect d refused\n metrics targets=2 targets_disabled=2\n attach
         send e lookup\n engine lookup\n reply rows\n expect e served\n metrics targets_disabled=1
         call 404 POST /_engines/detach/none\n call 404 POST /_engines/attach/none",
    ),
    (
        "an engine that is attached again counts as restarted, and a load from before the detach fails",
        "send a load\n engine load\n detach\n wait 20\n attach\n expect a failed\n ran 1",
    ),
    (
        "operators are answered while others complete no call, with the status for an invalid call",
        "silent_operators 40\n call 200 GET /_ready\n call 404 GET /ready\n call 405 POST /_ready\n call 400 G@T /_vars",
    ),
    (
        "clients that connect and send nothing do not block other clients",
        "silent_clients 12\n reconnect\n send a lookup\n engine lookup\n reply rows\n expect a served\n ran 1",
    ),
    (
        "the attempt of a client that disconnects is cancelled",
        "send a load\n engine load\n leave\n engine dropped\n wait 50\n ran 1",
    ),
];
