//! A small language for scenarios on loopback, the same for both fronts. A script is one step a line:
//!
//! - `send NAME CLASS [ms]`: a client asks, waiting so many milliseconds (5,000 if not said); names are new
//!   requests of one client, `CLASS` is `lookup` or `load`;
//! - `leave`: the client stops waiting and goes;
//! - `expect NAME served|refused|failed|late`: its one answer;
//! - `engine CLASS`: a request reaches an engine whole, and that engine is the one spoken of from here on;
//! - `engine dropped`: that engine is told to give the request up;
//! - `reply rows|full|error|half`: the engine answers (`half`: it begins a result and does not end it); on frames
//!   also `spoilt` (a page that is none), `cut` (half of an answer's bytes), `word` (an answer of no kind) and
//!   `more` (rows, with an answer for nobody before and a second copy behind);
//! - `close`: the engine breaks the request's connection;
//! - `drain`, `back`: the engine list tells that this engine drains, or is in service again;
//! - `takeover`: the list tells that this engine's address now belongs to another;
//! - `restart`: the list tells that its process has just started again;
//! - `moved`: the last request went to another engine than the one before;
//! - `crowd N`: so many clients connect and say nothing, and stay; `crowd closed`: all of them are told so;
//! - `again`: the client connects anew, beside what it has open;
//! - `call CODE METHOD PATH`: an operator calls and gets this status; `callers N`: so many open a connection and
//!   complete no call, and stay; `metrics NAME=VALUE...`: what operators are told now;
//! - `detach`, `attach`: an operator takes this engine out, or puts it back, and gets a yes;
//! - `wait ms`: time passes; `ran N`: so many requests reached engines in all.
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
use tokio::task::{LocalSet, spawn_local};

/// What a stand-in engine saw, and where it answers.
pub(crate) struct Seen {
    pub(crate) engine: usize,
    pub(crate) class: String,
    pub(crate) orders: mpsc::UnboundedSender<&'static str>,
}

/// A client of one front, by requests of its own names.
#[allow(async_fn_in_trait)]
pub(crate) trait Client {
    async fn send(&mut self, name: &str, class: &str, ms: u64);
    async fn answer(&mut self, name: &str) -> &'static str;
    fn leave(&mut self);
    /// Where the front listens.
    fn address(&self) -> SocketAddr;
    async fn again(&mut self);
}

/// A safe class and an unsafe one; engines that heed no grants and tell no load.
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

/// One that holds so many requests open.
pub(crate) fn core_with(open: usize) -> (Core, NameTable, SocketSettings) {
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
    let bounds = CoreLimits {
        max_open_requests: open,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(600),
    };
    (Core::new(settings(), 1, bounds).unwrap(), names, sockets)
}

/// The whole list, with one engine that is special.
pub(crate) fn change(
    addresses: &[SocketAddr],
    special: Option<(usize, &str)>,
) -> EndpointListChange {
    let engine = |(i, a): (usize, &SocketAddr)| {
        let is = |what| special == Some((i, what));
        DiscoveredEngine {
            id: format!("{}{i}", if is("takeover") { "new" } else { "e" }),
            address: Some(*a),
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

pub(crate) fn access() -> EngineCredentials {
    EngineCredentials {
        user: "engine".into(),
        password: "inner".into(),
        max_connections: 4,
        max_packet: 65_536,
    }
}

/// Results of up to 64 KB, in memory.
pub(crate) fn spools() -> SpoolSettings {
    SpoolSettings::in_memory(65_536)
}

pub(crate) fn mysql_front() -> MysqlFrontendConfig {
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

/// Runs a future on one thread, as the program does.
pub(crate) fn on_one_thread<T>(f: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let timed = async {
        tokio::time::timeout(Duration::from_secs(20), f)
            .await
            .expect("it takes too long")
    };
    LocalSet::new().block_on(&runtime, timed)
}

/// Two engines on port 0, each running `serve` for every connection.
pub(crate) async fn engines<F: Future<Output = ()> + 'static>(
    serve: impl Fn(usize, tokio::net::TcpStream, mpsc::UnboundedSender<Seen>) -> F + 'static + Copy,
) -> (Vec<SocketAddr>, mpsc::UnboundedReceiver<Seen>) {
    let (tx, seen) = mpsc::unbounded_channel();
    let mut addresses = vec![];
    for engine in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let tx = tx.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                spawn_local(serve(engine, tcp, tx.clone()));
            }
        });
    }
    (addresses, seen)
}

/// One call of an operator: its answer, as text.
async fn call(at: SocketAddr, method: &str, path: &str) -> String {
    let mut tcp = TcpStream::connect(at).await.unwrap();
    tcp.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    let read = tokio::time::timeout(Duration::from_secs(1), tcp.read_to_string(&mut answer));
    read.await.expect("an operator waits 1 s").unwrap();
    answer
}

/// Plays a script.
pub(crate) async fn play<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    client: &mut impl Client,
    addresses: &[SocketAddr],
    seen: &mut mpsc::UnboundedReceiver<Seen>,
    script: &str,
) {
    let (mut last, mut before, mut ran): (Option<Seen>, Option<usize>, usize) = (None, None, 0);
    let mut crowd = vec![];
    let operators = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = operators.local_addr().unwrap();
    spawn_local(
        Admin::new(
            router.clone(),
            BufferPool::default(),
            Rc::new(InstanceRegistry::open(None).unwrap()),
            ReportSources::default(),
            24,
        )
        .accept(operators),
    );
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let engine = || last.as_ref().expect("an engine was spoken of").engine;
        match words[..] {
            ["send", name, class] => client.send(name, class, 5000).await,
            ["send", name, class, ms] => client.send(name, class, ms.parse().unwrap()).await,
            ["leave"] => client.leave(),
            ["expect", name, what] => assert_eq!(client.answer(name).await, what, "{line}"),
            ["engine", class] => {
                let next = tokio::time::timeout(Duration::from_secs(4), seen.recv()).await;
                let next = next
                    .unwrap_or_else(|_| panic!("{line}: nothing came"))
                    .unwrap();
                assert_eq!(next.class, class, "{line}");
                if class != "dropped" {
                    ran += 1;
                    before = last.as_ref().map(|s| s.engine);
                    last = Some(next);
                }
            }
            ["reply", what] => {
                let known = [
                    "rows", "full", "error", "half", "spoilt", "cut", "word", "more",
                ];
                let what = known.into_iter().find(|w| *w == what).unwrap();
                last.as_ref().unwrap().orders.send(what).unwrap();
            }
            ["close"] => last.as_ref().unwrap().orders.send("close").unwrap(),
            [what @ ("drain" | "takeover" | "restart")] => {
                router.update_endpoints(&change(addresses, Some((engine(), what))));
            }
            ["back"] => router.update_endpoints(&change(addresses, None)),
            ["moved"] => assert_ne!(Some(engine()), before, "{line}"),
            ["crowd", "closed"] => {
                for mut tcp in crowd.drain(..) {
                    let mut byte = [0];
                    let end = tokio::io::AsyncReadExt::read(&mut tcp, &mut byte);
                    let end = tokio::time::timeout(Duration::from_secs(3), end)
                        .await
                        .expect("a close");
                    assert!(matches!(end, Ok(0) | Err(_)), "{line}");
                }
            }
            ["crowd", n] => {
                for _ in 0..n.parse().unwrap() {
                    crowd.push(
                        tokio::net::TcpStream::connect(client.address())
                            .await
                            .unwrap(),
                    );
                }
            }
            ["callers", n] => {
                for _ in 0..n.parse().unwrap() {
                    crowd.push(TcpStream::connect(at).await.unwrap());
                }
            }
            ["call", code, method, path] => {
                let answer = call(at, method, path).await;
                assert!(
                    answer.starts_with(&format!("HTTP/1.1 {code} ")),
                    "{line}: {answer}"
                );
            }
            [what @ ("detach" | "attach")] => {
                let answer = call(at, "POST", &format!("/_engines/{what}/e{}", engine())).await;
                assert!(answer.starts_with("HTTP/1.1 200 "), "{line}: {answer}");
            }
            ["figures", ref wanted @ ..] => {
                let told = call(at, "GET", "/_vars").await;
                wanted
                    .iter()
                    .for_each(|w| assert!(told.lines().any(|l| l == *w), "{w}: {told}"));
            }
            ["again"] => client.again().await,
            ["wait", ms] => tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["ran", n] => {
                assert!(seen.try_recv().is_err(), "{line}: something more came");
                assert_eq!(ran, n.parse::<usize>().unwrap(), "{line}");
            }
            _ => panic!("no such step: {line}"),
        }
    }
}

/// Scenarios that come out alike on both fronts: what each tells, and its script.
pub(crate) const ALIKE: [(&str, &str); 18] = [
    ("a request is served", "send a lookup\n engine lookup\n reply rows\n expect a served\n ran 1"),
    (
        "a lookup that breaks off is sent again, elsewhere",
        "send a lookup\n engine lookup\n close\n engine lookup\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a lookup whose result breaks off half way is sent again",
        "send a lookup\n engine lookup\n reply half\n close\n engine lookup\n reply rows\n expect a served",
    ),
    (
        "a load that breaks off after it was written is failed and never sent again",
        "send a load\n engine load\n close\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load whose result breaks off half way is failed and never sent again",
        "send a load\n engine load\n reply half\n close\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load that its engine reports as an error may have run",
        "send a load\n engine load\n reply error\n expect a failed\n wait 150\n ran 1",
    ),
    (
        "a load that a full engine turned away never ran and goes elsewhere",
        "send a load\n engine load\n reply full\n engine load\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "what is asked after an engine drains goes to another",
        "send a lookup\n engine lookup\n reply rows\n expect a served\n drain
         send b lookup\n engine lookup\n moved\n reply rows\n expect b served\n ran 2",
    ),
    (
        "a silent engine is dropped at the deadline, and the client told before",
        "send a lookup 300\n engine lookup\n expect a late\n engine dropped\n ran 1",
    ),
    (
        "an address that passes to another engine takes its connections along: a load is failed",
        "send a load\n engine load\n takeover\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "a process that started again has forgotten what it was sent: a lookup goes on",
        "send a lookup\n engine lookup\n restart\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "when every engine is full the request is refused, for nothing ran",
        "send a load\n engine load\n reply full\n engine load\n moved\n reply full
         engine load\n reply full\n expect a refused\n ran 3",
    ),
    (
        "figures tell of each end once, of what is open and of attempts written",
        "figures concurrent=0 targets=2 targets_disabled=0
         send a lookup\n engine lookup\n figures concurrent=1\n reply rows\n expect a served
         send b load\n engine load\n close\n expect b failed
         send c lookup\n engine lookup\n reply full\n engine lookup\n reply full\n engine lookup\n reply full
         expect c refused\n drain
         figures replies.lookup.overload=1 replies.lookup.error=0 replies.load.error=1 replies.load.success=0
         figures concurrent=0 targets=2 targets_disabled=1",
    ),
    (
        "an engine that operators took out gets nothing, whatever the list says, until it is put back",
        "send a lookup\n engine lookup\n reply rows\n expect a served\n detach\n detach\n back
         send b lookup\n engine lookup\n moved\n reply rows\n expect b served\n figures targets_disabled=1
         send c lookup\n engine lookup\n detach\n reply rows\n expect c served
         send d lookup\n expect d refused\n figures targets=2 targets_disabled=2\n attach
         send e lookup\n engine lookup\n reply rows\n expect e served\n figures targets_disabled=1
         call 404 POST /_engines/detach/none\n call 404 POST /_engines/attach/none",
    ),
    (
        "an engine that is put back has started anew: what it had before is gone, a load is failed",
        "send a load\n engine load\n detach\n wait 20\n attach\n expect a failed\n ran 1",
    ),
    (
        "operators are answered though others complete no call, and told what is wrong with theirs",
        "callers 40\n call 200 GET /_ready\n call 404 GET /ready\n call 405 POST /_ready\n call 400 G@T /_vars",
    ),
    (
        "clients that connect and say nothing shut nobody out",
        "crowd 12\n again\n send a lookup\n engine lookup\n reply rows\n expect a served\n ran 1",
    ),
    (
        "a client that leaves has its attempt dropped",
        "send a load\n engine load\n leave\n engine dropped\n wait 50\n ran 1",
    ),
];
