//! A new engine at the address of one that is gone, told of in any order: nothing runs twice, every request has its
//! answer, and the new engine gets work as itself.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use testbed::platform::clients::{Connection, RequestLog, Target};
use testbed::platform::dispatcher::Dispatcher;
use testbed::platform::engines::{Engine, Fleet};
use testbed::platform::hostile_clients::{in_service, settings};
use testbed::platform::journal::{Instance, Journal, Lifecycle};
use testbed::platform::verdict::{DrainNotice, Records, find_violations};
use testbed::program::Folder;
use tokio::task::LocalSet;

const EXECUTION_TIME: Duration = Duration::from_millis(40);
const SLOTS: usize = 100;
const LIMIT: Duration = Duration::from_millis(1500);
const INTERVAL: Duration = Duration::from_millis(10);
/// Number of the engine that is replaced.
const REPLACED: usize = 0;

/// How the old engine ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Its connections are reset.
    Crash,
    /// Its connections stay open and silent.
    Vanish,
}

/// The order in which the journal tells of the two engines.
#[derive(Clone, Copy, Debug)]
enum Notice {
    OneEvent,
    OldFirst,
    NewFirst,
}

const NOTICES: [Notice; 3] = [Notice::OneEvent, Notice::OldFirst, Notice::NewFirst];

struct Run {
    fleet: Fleet,
    journal: Rc<Journal>,
    connection: Rc<Connection>,
    log: RequestLog,
    next_id: u64,
}

impl Run {
    /// Sends requests of both classes in turn for this span.
    async fn send_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.next_id += 1;
            let class = ["lookup", "load"][(self.next_id % 2) as usize];
            let id = format!("{:016x}", self.next_id);
            self.connection.send(&id, class, LIMIT).await.unwrap();
            tokio::time::sleep(INTERVAL).await;
        }
    }

    async fn replace(&mut self, end: End) -> Rc<Engine> {
        let old = self.fleet.engines[REPLACED].clone();
        match end {
            End::Crash => old.crash(),
            End::Vanish => old.vanish(),
        }
        tokio::time::sleep(INTERVAL).await;
        let new = self.fleet.add_at(old.address, EXECUTION_TIME, SLOTS).await;
        new.unwrap()
    }

    fn announce(&self, new: &Rc<Engine>, notice: Notice) {
        let old = Instance {
            lifecycle: Lifecycle::Gone,
            ..in_service(&self.fleet.engines[REPLACED])
        };
        let new = in_service(new);
        match notice {
            Notice::OneEvent => self.journal.announce(&[old, new]),
            Notice::OldFirst => {
                self.journal.announce(&[old]);
                self.journal.announce(&[new]);
            }
            Notice::NewFirst => {
                self.journal.announce(&[new]);
                self.journal.announce(&[old]);
            }
        }
    }
}

async fn play(end: End, notice: Notice) {
    let folder = Folder::new(&format!("engine-replacement-{end:?}-{notice:?}")).unwrap();
    let fleet = Fleet::start(3, EXECUTION_TIME, SLOTS).await.unwrap();
    let listed: Vec<Instance> = fleet.engines.iter().map(in_service).collect();
    let journal = Journal::start(&listed).await.unwrap();
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let known = journal.known_section();
    let config = settings().config_file(0, listen, journal.address(), &known);
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let dispatcher = Dispatcher::start(binary, &folder, "n0", &config, None)
        .await
        .unwrap();
    let target = Target {
        address: dispatcher.address,
        dispatcher: 0,
        process: 0,
    };
    let log = RequestLog::default();
    let epoch = Instant::now();
    let mut run = Run {
        fleet,
        journal,
        connection: Connection::open(target, &log).await.unwrap(),
        log,
        next_id: 0,
    };
    run.send_for(Duration::from_millis(300)).await;
    let new = run.replace(end).await;
    // The new engine serves at the address before the journal tells of it.
    run.send_for(Duration::from_millis(300)).await;
    run.announce(&new, notice);
    let notified_at = Instant::now();
    run.send_for(Duration::from_millis(1500)).await;
    run.connection.wait_until_idle(LIMIT * 2).await;
    let executions = run.fleet.executions();
    let at_new = executions.iter().filter(|e| e.engine == new.number);
    assert!(at_new.count() > 0, "{end:?} {notice:?}");
    let records = Records {
        requests: run.log.requests(),
        executions,
        drains: vec![DrainNotice {
            engine: REPLACED,
            notified_at,
            until: None,
        }],
        ..Records::default()
    };
    let violations = find_violations(&records, &settings(), epoch);
    assert!(
        violations.is_empty(),
        "{end:?} {notice:?}: {} of {} requests: {:#?}",
        violations.len(),
        records.requests.len(),
        violations.first()
    );
}

#[tokio::test(flavor = "current_thread")]
async fn an_engine_at_the_address_of_a_crashed_one_gets_no_work_twice() {
    let run = async {
        for notice in NOTICES {
            play(End::Crash, notice).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_engine_at_the_address_of_a_vanished_one_gets_no_work_twice() {
    let run = async {
        for notice in NOTICES {
            play(End::Vanish, notice).await;
        }
    };
    LocalSet::new().run_until(run).await;
}
