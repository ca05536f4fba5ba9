//! Environment of tests that speak MySQL to the program: a dispatcher process before fake engines.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::Path;
use std::time::Duration;
use testbed::clients::mysql::{Session, SessionOptions, error, texts};
use testbed::fakes::engine::Engine;
use testbed::fixture;
use testbed::program::{Folder, Program};

/// Runs a test on a single-threaded runtime, for at most 60 s.
pub(crate) fn run(test: impl Future<Output = ()>) {
    fixture::run_within(Duration::from_secs(60), test);
}

pub(crate) async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A dispatcher process with fake engines.
pub(crate) struct Fixture {
    pub(crate) engines: Vec<Engine>,
    pub(crate) program: Program,
    _folder: Folder,
}

/// Starts a dispatcher with this number of engines. `top` and `tables` are added to the top level and to the
/// end of its configuration file.
pub(crate) async fn start(name: &str, engine_count: usize, top: &str, tables: &str) -> Fixture {
    let engines = fixture::engines(engine_count, Duration::from_millis(1))
        .await
        .unwrap();
    let engine_tables = engines.iter().map(|e| {
        format!(
            "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
            e.name(),
            e.address()
        )
    });
    let text = fixture::dispatcher_file(
        top,
        &format!("{}{tables}", engine_tables.collect::<String>()),
    );
    let folder = Folder::new(&format!("sessions-{name}")).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let program = Program::start(binary, &folder, "a", &text).await.unwrap();
    Fixture {
        engines,
        program,
        _folder: folder,
    }
}

impl Fixture {
    pub(crate) async fn session(&self) -> Session {
        Session::log_in(
            self.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await
        .unwrap()
    }

    /// Returns the statements that were committed on any engine, sorted.
    pub(crate) fn committed(&self) -> Vec<String> {
        let mut statements: Vec<String> = self.engines.iter().flat_map(Engine::committed).collect();
        statements.sort();
        statements
    }

    /// Returns how often engines have executed this statement.
    pub(crate) fn execution_count(&self, sql: &str) -> usize {
        self.engines
            .iter()
            .flat_map(Engine::executions)
            .filter(|execution| execution.sql == sql)
            .count()
    }

    /// Returns the engine that has executed this statement, and the other engines.
    pub(crate) fn partition_by_execution(&self, sql: &str) -> (&Engine, Vec<&Engine>) {
        let has_executed =
            |e: &&Engine| e.executions().iter().any(|execution| execution.sql == sql);
        let executing = self.engines.iter().find(has_executed).unwrap();
        (
            executing,
            self.engines
                .iter()
                .filter(|e| e.name() != executing.name())
                .collect(),
        )
    }

    /// Calls `detach` or `attach` for an engine as an operator.
    pub(crate) async fn call_operator_action(&self, action: &str, engine: &Engine) {
        let path = format!("/_engines/{action}/{}", engine.name());
        assert_eq!(self.program.call("POST", &path).await.unwrap().0, 200);
    }
}

/// Runs a query that succeeds and returns its rows.
pub(crate) async fn query_rows(session: &mut Session, sql: &str) -> Vec<Vec<String>> {
    let answer = session
        .query(sql)
        .await
        .unwrap_or_else(|e| panic!("{sql}: {e}"));
    answer.rows.iter().map(texts).collect()
}

/// Runs a query that fails and returns the number and the message of the error.
pub(crate) async fn query_error(session: &mut Session, sql: &str) -> (u16, String) {
    let e = error(session.query(sql).await).unwrap_or_else(|| panic!("{sql}: expected an error"));
    (e.code, e.message)
}
