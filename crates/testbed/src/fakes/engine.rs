//! Fake MySQL engine. It executes every statement for a configurable time, records each statement with its
//! time of arrival, and can be stopped, restarted and slowed down by a test.

mod connection;
mod responses;

use crate::fakes::engine_session::{INSTALLED_SQL_MODE, Session};
use crate::now;
use query_dispatcher::protocol::mysql::error::SqlError;
use query_dispatcher::protocol::mysql::packet::PacketError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

/// Password that the `[engines]` section of a dispatcher has to contain.
pub const PASSWORD: &str = "lab";
/// Maximum number of recorded statements; a further statement closes its connection.
const MAX_EXECUTIONS: usize = 1_000_000;

/// One statement that the engine received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// When the engine received its last byte, in milliseconds on the Unix clock.
    pub at: f64,
    pub sql: String,
    /// Number of the engine process that executed it; 1 is the first.
    pub process: u32,
    /// Number of the connection that it was sent on, as the engine counts connections.
    pub connection: u32,
    /// Whether its response was written.
    pub answered: bool,
    /// Time from its arrival to the end of its response, in milliseconds; 0 before that.
    pub held: f64,
}

/// Generated rows that a statement requests by containing `rows(N, BYTES)`. With `rows(N, BYTES, K)` the
/// engine closes the connection after K rows, if the test requested that by [`Engine::truncate_next_result`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedRows {
    pub count: u64,
    pub row_bytes: usize,
    pub break_after: Option<u64>,
}

impl GeneratedRows {
    fn parse(sql: &str) -> Option<Self> {
        let inner = sql.split_once("rows(")?.1.split_once(')')?.0;
        let mut numbers = inner.split(',').map(|n| n.trim().parse::<u64>());
        let (count, row_bytes) = (numbers.next()?.ok()?, numbers.next()?.ok()?);
        Some(GeneratedRows {
            count,
            row_bytes: (row_bytes as usize).min(1 << 20),
            break_after: numbers.next().and_then(Result::ok),
        })
    }
}

/// Returns the text in the first column of a generated row: the number of the row, padded to `bytes` bytes.
pub fn padded_text(row: u64, bytes: usize) -> String {
    let mut text = format!("{row}:");
    // Repeating words and random numbers, so that the text compresses about as well as a report.
    let mut n = row.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    while text.len() < bytes {
        n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        text.push_str(["depot ", "kitchen ", "crate of greens ", "litchi "][(n >> 62) as usize]);
        text.push_str(&format!("{} ", n >> 52));
    }
    text.truncate(bytes.max(text.find(':').unwrap_or(0) + 1));
    text
}

struct Inner {
    name: String,
    address: Cell<SocketAddr>,
    execution_time: Cell<Duration>,
    process: Cell<u32>,
    /// When the current process started, in milliseconds on the Unix clock.
    started: Cell<f64>,
    executions: RefCell<Vec<Execution>>,
    /// Committed statements that change rows, in the order of their commits.
    committed: RefCell<Vec<String>>,
    /// Beginning of a statement that takes effect and loses its response with the connection, once.
    lose_response: RefCell<Option<String>>,
    /// Beginning of a statement that fails after it has been executed, once, and the error's number.
    failure: RefCell<Option<(String, u16)>>,
    running: Cell<usize>,
    max_running: Cell<usize>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Number of connections of the current process so far.
    connections: Cell<u32>,
    /// Connections of the current process that a KILL ends, by their numbers.
    killable: RefCell<HashMap<u32, Rc<Notify>>>,
    listener: RefCell<Option<AbortHandle>>,
    /// Processes up to this one have vanished: their connections stay open and silent.
    vanished: Cell<u32>,
    /// The `sql_mode` of connections that are opened from now on.
    sql_mode: RefCell<String>,
    /// Whether the next result that contains a break point ends there.
    break_result: Cell<bool>,
}

/// Handle of a fake engine. Clones refer to the same engine.
#[derive(Clone)]
pub struct Engine(Rc<Inner>);

/// Counts a statement as running until it is dropped.
struct RunningGuard<'a>(&'a Inner);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Engine {
    /// Starts an engine at this address (port 0 selects a free port) that executes each statement for
    /// `work`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(name: &str, address: SocketAddr, work: Duration) -> io::Result<Self> {
        let inner = Inner {
            name: name.into(),
            address: Cell::new(address),
            execution_time: Cell::new(work),
            process: Cell::new(0),
            started: Cell::new(now()),
            executions: RefCell::default(),
            committed: RefCell::default(),
            lose_response: RefCell::default(),
            failure: RefCell::default(),
            running: Cell::new(0),
            max_running: Cell::new(0),
            tasks: RefCell::default(),
            connections: Cell::new(0),
            killable: RefCell::default(),
            listener: RefCell::default(),
            vanished: Cell::new(0),
            sql_mode: RefCell::new(INSTALLED_SQL_MODE.into()),
            break_result: Cell::new(false),
        };
        let engine = Engine(Rc::new(inner));
        engine.restart().await?;
        Ok(engine)
    }

    /// Sets the default `sql_mode`, for connections that are opened from now on.
    pub fn set_default_sql_mode(&self, sql_mode: &str) {
        *self.0.sql_mode.borrow_mut() = sql_mode.into();
    }

    /// Starts a new process of the engine at the same address.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.0.address.get()).await?;
        self.0.address.set(listener.local_addr()?);
        self.0.process.set(self.0.process.get() + 1);
        self.0.started.set(now());
        self.0.connections.set(0);
        self.0.killable.borrow_mut().clear();
        let inner = Rc::downgrade(&self.0);
        let accepting = spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let Some(engine) = inner.upgrade().map(Engine) else {
                    return;
                };
                let session = engine.clone();
                let task = spawn_local(async move { drop(session.serve_connection(tcp).await) });
                let mut tasks = engine.0.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        *self.0.listener.borrow_mut() = Some(accepting.abort_handle());
        Ok(())
    }

    /// Simulates the loss of the engine's machine: new connections are refused, and open ones stay open and silent.
    pub fn vanish(&self) {
        self.0.vanished.set(self.0.process.get());
        self.stop_listening();
    }

    fn stop_listening(&self) {
        if let Some(listener) = self.0.listener.take() {
            listener.abort();
        }
    }

    /// Ends a connection of the current process, as KILL does.
    fn kill(&self, number: u32) {
        if let Some(connection) = self.0.killable.borrow().get(&number) {
            connection.notify_one();
        }
    }

    /// Ends the engine's process: open connections are closed and new ones are refused.
    pub fn stop(&self) {
        self.stop_listening();
        self.0.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    /// Returns when its current process started, in milliseconds on the Unix clock.
    pub fn started(&self) -> f64 {
        self.0.started.get()
    }

    /// Sets the time that statements execute from now on.
    pub fn set_execution_time(&self, span: Duration) {
        self.0.execution_time.set(span);
    }

    /// Returns all statements that it received, in the order of arrival.
    pub fn executions(&self) -> Vec<Execution> {
        self.0.executions.borrow().clone()
    }

    /// Returns the committed statements that change rows, in the order of their commits.
    pub fn committed(&self) -> Vec<String> {
        self.0.committed.borrow().clone()
    }

    /// Lets the next statement that begins with this text take effect, and closes its connection before the
    /// response.
    pub fn lose_next_response(&self, statement: &str) {
        *self.0.lose_response.borrow_mut() = Some(statement.into());
    }

    /// Lets the next statement that begins with this text fail with this error after it has been executed.
    pub fn fail_next(&self, statement: &str, error: u16) {
        *self.0.failure.borrow_mut() = Some((statement.into(), error));
    }

    /// Truncates the next result that contains a break point, and closes its connection; see
    /// [`GeneratedRows`].
    pub fn truncate_next_result(&self) {
        self.0.break_result.set(true);
    }

    /// Returns the error with which this statement is to fail.
    fn failure_of(&self, sql: &str) -> Option<SqlError> {
        let mut failure = self.0.failure.borrow_mut();
        let (_, code) = failure.take_if(|(statement, _)| sql.starts_with(statement.as_str()))?;
        Some(SqlError {
            code,
            state: "HY000",
            message: "the test lets this statement fail".into(),
        })
    }

    /// Returns whether the response to this statement is to be lost.
    fn loses_response(&self, sql: &str) -> bool {
        self.0
            .lose_response
            .borrow_mut()
            .take_if(|lost| sql.starts_with(lost.as_str()))
            .is_some()
    }

    /// Records a statement that was received, and returns its index.
    fn record_execution(&self, sql: &str, session: &Session) -> Result<usize, PacketError> {
        let mut executions = self.0.executions.borrow_mut();
        if executions.len() >= MAX_EXECUTIONS {
            return Err(PacketError::Protocol("the record of executions is full"));
        }
        executions.push(Execution {
            at: now(),
            sql: sql.to_string(),
            process: self.0.process.get(),
            connection: session.number(),
            answered: false,
            held: 0.0,
        });
        Ok(executions.len() - 1)
    }

    /// Returns when the most recent statement arrived, in milliseconds on the Unix clock.
    pub fn last(&self) -> Option<f64> {
        self.0.executions.borrow().last().map(|r| r.at)
    }

    /// Returns the number of statements that it received.
    pub fn count(&self) -> usize {
        self.0.executions.borrow().len()
    }

    /// Returns the maximum number of statements that ran at a time since the previous call.
    pub fn most_running(&self) -> usize {
        self.0.max_running.replace(self.0.running.get())
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
        }
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }
}
