//! Requests of clients that have left, and ids that come again: an id of a class with an effect runs once, at
//! whichever process of the dispatcher it arrives.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use testbed::platform::clients::{Connection, RequestLog, Target, encode_frame};
use testbed::platform::dispatcher::Dispatcher;
use testbed::platform::engines::{Behaviour, Fleet};
use testbed::platform::hostile_clients::{encode_request, in_service, settings};
use testbed::platform::journal::{Instance, Journal};
use testbed::program::Folder;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use query_dispatcher::protocol::frames::{code, kind};

/// Time after a client's close by which the last of its requests has to reach an engine.
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);
const ID: &str = "00000000000000a1";
const LIMIT: Duration = Duration::from_millis(3000);
/// Number of requests of a closing client, and of the frames behind them.
const UNREAD_REQUESTS: u32 = 20;
const UNREAD_FRAMES: usize = 50_000;
const CLOSING_CLIENTS: usize = 4;
/// Time for which a closing client writes.
const FILLER_FRAMES: usize = 200;
const FILLER_BYTES: usize = 200_000;
const WRITE_TIME: Duration = Duration::from_millis(300);
/// Time until a forwarded request has reached its engine.
const FORWARDING_TIME: Duration = Duration::from_millis(150);

struct Environment {
    folder: Folder,
    fleet: Fleet,
    journal: Rc<Journal>,
}

impl Environment {
    async fn start(name: &str, execution_time: Duration) -> Self {
        let fleet = Fleet::start(2, execution_time, 10_000).await.unwrap();
        let listed: Vec<Instance> = fleet.engines.iter().map(in_service).collect();
        Environment {
            folder: Folder::new(&format!("request-ids-{name}")).unwrap(),
            journal: Journal::start(&listed).await.unwrap(),
            fleet,
        }
    }

    /// Starts a process; processes of one environment share the state directory.
    async fn process(&self, name: &str) -> Dispatcher {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let known = self.journal.known_section();
        let config = settings().config_file(0, listen, self.journal.address(), &known);
        let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
        let state_directory = self.folder.path();
        Dispatcher::start_sharing(binary, &self.folder, name, &config, state_directory)
            .await
            .unwrap()
    }

    /// Returns how often the id has reached an engine.
    fn runs(&self, id: &str) -> usize {
        let executions = self.fleet.executions();
        executions.iter().filter(|run| run.request == id).count()
    }
}

fn target(dispatcher: &Dispatcher) -> Target {
    Target {
        address: dispatcher.address,
        dispatcher: 0,
        process: 0,
    }
}

/// Sends the id on a new connection and returns the code of its answer.
async fn answer_code(dispatcher: &Dispatcher, class: &'static str, id: &str) -> Option<u8> {
    let log = RequestLog::default();
    let connection = Connection::open(target(dispatcher), &log).await.unwrap();
    connection.send(id, class, LIMIT).await.unwrap();
    connection.wait_until_idle(LIMIT * 2).await;
    let requests = log.requests();
    requests[0].answers.first().map(|answer| answer.code)
}

/// Sends a request of class `load` that stays at its engine, and closes the connection.
async fn leave_running_load(environment: &Environment, dispatcher: &Dispatcher) {
    let log = RequestLog::default();
    let connection = Connection::open(target(dispatcher), &log).await.unwrap();
    connection.send(ID, "load", LIMIT).await.unwrap();
    tokio::time::sleep(FORWARDING_TIME).await;
    assert_eq!(environment.runs(ID), 1);
    connection.close().await;
    tokio::time::sleep(FORWARDING_TIME).await;
}

async fn leave_and_come_again(name: &str, processes: usize) {
    let environment = Environment::start(name, Duration::from_millis(600)).await;
    let first = environment.process("first").await;
    let second = match processes {
        1 => None,
        _ => Some(environment.process("second").await),
    };
    leave_running_load(&environment, &first).await;
    let code = answer_code(second.as_ref().unwrap_or(&first), "load", ID).await;
    assert_eq!(environment.runs(ID), 1, "the second answer was {code:?}");
    assert_eq!(code, Some(code::FAILED));
}

#[tokio::test(flavor = "current_thread")]
async fn an_id_that_comes_again_after_its_client_has_left_runs_once() {
    LocalSet::new()
        .run_until(leave_and_come_again("again", 1))
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    LocalSet::new()
        .run_until(leave_and_come_again("upgrade", 2))
        .await;
}

/// The second process starts after the id was forwarded, as in an upgrade under load.
#[tokio::test(flavor = "current_thread")]
async fn an_id_that_was_forwarded_before_the_new_process_of_an_upgrade_started_runs_once() {
    let run = async {
        let environment = Environment::start("upgrade-later", Duration::from_millis(600)).await;
        let first = environment.process("first").await;
        leave_running_load(&environment, &first).await;
        let second = environment.process("second").await;
        let code = answer_code(&second, "load", ID).await;
        assert_eq!(environment.runs(ID), 1, "the second answer was {code:?}");
        assert_eq!(code, Some(code::FAILED));
    };
    LocalSet::new().run_until(run).await;
}

/// Both processes get the id in the same moment: one forwards it.
#[tokio::test(flavor = "current_thread")]
async fn an_id_at_both_processes_of_an_upgrade_in_the_same_moment_runs_once() {
    let run = async {
        let environment = Environment::start("upgrade-both", Duration::from_millis(50)).await;
        let first = environment.process("first").await;
        let second = environment.process("second").await;
        for number in 0..50 {
            let id = format!("{number:016x}");
            let (one, other) = tokio::join!(
                answer_code(&first, "load", &id),
                answer_code(&second, "load", &id)
            );
            assert_eq!(environment.runs(&id), 1, "answers {one:?} and {other:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_id_that_comes_again_after_its_answer_runs_once() {
    let run = async {
        let environment = Environment::start("served", Duration::from_millis(20)).await;
        let dispatcher = environment.process("first").await;
        let first = answer_code(&dispatcher, "load", ID).await;
        assert_eq!(first, Some(code::SERVED));
        let again = answer_code(&dispatcher, "load", ID).await;
        assert_eq!(environment.runs(ID), 1, "the second answer was {again:?}");
        let page = dispatcher.fetch_page("/_clients").await.unwrap();
        for line in [
            "rejected.id_may_have_run=1",
            "memory.requests.limit=8388608",
        ] {
            assert!(page.lines().any(|other| other == line), "{line} in {page}");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// An id of which the engine said that it never ran may come again.
#[tokio::test(flavor = "current_thread")]
async fn an_id_that_never_ran_may_come_again() {
    let run = async {
        let environment = Environment::start("refused", Duration::from_millis(20)).await;
        let dispatcher = environment.process("first").await;
        for engine in &environment.fleet.engines {
            engine.behaviour.set(Behaviour::Full);
        }
        let first = answer_code(&dispatcher, "load", ID).await;
        assert_eq!(first, Some(code::REFUSED));
        for engine in &environment.fleet.engines {
            engine.behaviour.set(Behaviour::Serving);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let again = answer_code(&dispatcher, "load", ID).await;
        assert_eq!(again, Some(code::SERVED));
    };
    LocalSet::new().run_until(run).await;
}

/// The process stands still while clients write requests, much behind them, and close. When it goes on, the close
/// is longer ago than an attempt may begin after it.
#[tokio::test(flavor = "current_thread")]
async fn requests_that_are_unread_when_their_client_closes_are_not_forwarded() {
    let run = async {
        let environment = Environment::start("unread", Duration::from_millis(2)).await;
        let dispatcher = environment.process("first").await;
        let mut clients = vec![];
        for _ in 0..CLOSING_CLIENTS {
            let mut tcp = TcpStream::connect(dispatcher.address).await.unwrap();
            // The kernel's receive buffer grows to its maximum with the traffic.
            let filler = encode_frame(kind::LEAVE, 1, &[0; FILLER_BYTES]);
            for _ in 0..FILLER_FRAMES {
                tcp.write_all(&filler).await.unwrap();
            }
            clients.push(tcp);
        }
        // The connections have warmed up: engines and clients are connected.
        assert_eq!(
            answer_code(&dispatcher, "lookup", ID).await,
            Some(code::SERVED)
        );
        let unread = encode_frame(kind::LEAVE, 1, &[0; 100]).repeat(UNREAD_FRAMES);
        dispatcher.signal("STOP").await;
        for (client, mut tcp) in clients.into_iter().enumerate() {
            let requests =
                (1..=UNREAD_REQUESTS).flat_map(|stream| encode_request(client, stream, &[], 0));
            let frames: Vec<u8> = requests.chain(unread.iter().copied()).collect();
            let _ = tokio::time::timeout(WRITE_TIME, tcp.write_all(&frames)).await;
        }
        tokio::time::sleep(2 * MAX_START_AFTER_CLOSE).await;
        let before = environment.fleet.executions().len();
        dispatcher.signal("CONT").await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let late = environment.fleet.executions().len() - before;
        assert_eq!(late, 0, "attempts of clients that had closed");
    };
    LocalSet::new().run_until(run).await;
}
