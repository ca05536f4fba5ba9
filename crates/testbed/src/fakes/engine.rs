//! Fake MySQL engine. It executes every statement for a configurable time, records each statement with its
//! time of arrival, and can be stopped, restarted and slowed down by a test.

use crate::fakes::engine_session::{Session, SessionResponse};
use crate::now;
use bytes::Bytes;
use futures_util::SinkExt;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::{SqlError, code};
use query_dispatcher::protocol::mysql::packet::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

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
    connections: Cell<u32>,
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
            break_result: Cell::new(false),
        };
        let engine = Engine(Rc::new(inner));
        engine.restart().await?;
        Ok(engine)
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
        self.0.tasks.borrow_mut().push(accepting.abort_handle());
        Ok(())
    }

    /// Ends the engine's process: open connections are closed and new ones are refused.
    pub fn stop(&self) {
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

    async fn serve_connection(&self, tcp: TcpStream) -> Result<(), PacketError> {
        tcp.set_nodelay(true)?;
        let mut wire = Framed::new(
            tcp,
            PacketCodec {
                max_packet: 1 << 22,
                sequence: 0,
            },
        );
        let number = self.0.connections.get() + 1;
        self.0.connections.set(number);
        let nonce: Vec<u8> = (0..20u32)
            .map(|i| (33 + (number.wrapping_mul(31) + i * 7) % 90) as u8)
            .collect();
        let greeting = Greeting {
            connection: number,
            nonce,
            plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
            capabilities: BASE_CAPABILITIES,
        };
        wire.send(&greeting.write("8.0.0-lab")[..]).await?;
        let Some(login) = wire.next().await else {
            return Ok(());
        };
        let login = Login::read(login?)?;
        if !auth::verify_auth_response(&login.plugin, PASSWORD, &greeting.nonce, &login.auth) {
            return wire
                .send(&err_packet(&SqlError::new(code::ER_ACCESS_DENIED, "wrong password"))[..])
                .await;
        }
        wire.send(&ok_packet()[..]).await?;
        let mut statements: HashMap<u32, String> = HashMap::new();
        let mut last_id = 0;
        let mut session = Session::new(number, &self.0.name);
        loop {
            wire.codec_mut().sequence = 0;
            let Some(command) = wire.next().await else {
                return Ok(());
            };
            let command: Bytes = command?;
            let Some((&kind, body)) = command.split_first() else {
                return Ok(());
            };
            let text = String::from_utf8_lossy(body).into_owned();
            let id = PayloadReader(command.slice(1..)).u32().unwrap_or(0);
            let (sql, binary) = match kind {
                COM_QUIT => return Ok(()),
                COM_QUERY if text.starts_with("SET ") || text.starts_with("KILL ") => {
                    match session.execute(&text) {
                        Some(SessionResponse::Error(code, state, message)) => {
                            wire.send(
                                &err_packet(&SqlError {
                                    code,
                                    state,
                                    message,
                                })[..],
                            )
                            .await?;
                        }
                        _ => wire.send(&ok_with_status(session.status())[..]).await?,
                    }
                    self.0.committed.borrow_mut().append(&mut session.committed);
                    continue;
                }
                COM_QUERY => (text, false),
                COM_STMT_EXECUTE => match statements.get(&id) {
                    Some(sql) => (sql.clone(), true),
                    None => {
                        wire.send(
                            &err_packet(&SqlError::new(
                                code::ER_UNKNOWN_STMT_HANDLER,
                                "unknown statement",
                            ))[..],
                        )
                        .await?;
                        continue;
                    }
                },
                COM_STMT_PREPARE => {
                    last_id += 1;
                    self.send_prepared(&mut wire, last_id, &text, session.column_count(&text))
                        .await?;
                    statements.insert(last_id, text);
                    continue;
                }
                COM_STMT_CLOSE => {
                    statements.remove(&id);
                    continue;
                }
                COM_STMT_SEND_LONG_DATA => continue,
                COM_INIT_DB => {
                    session.use_schema(&text);
                    wire.send(&ok_with_status(session.status())[..]).await?;
                    continue;
                }
                _ => {
                    wire.send(&ok_with_status(session.status())[..]).await?;
                    continue;
                }
            };
            let response = session.execute(&sql);
            self.0.committed.borrow_mut().append(&mut session.committed);
            if self.loses_response(&sql) {
                self.record_execution(&sql, &session)?;
                return Err(PacketError::Protocol("the test loses this response"));
            }
            if let Some(error) = self.failure_of(&sql) {
                wire.send(&err_packet(&error)[..]).await?;
                continue;
            }
            self.run(&mut wire, sql, binary, response, &session).await?;
        }
    }

    /// Sends the response to a prepared statement. `known_columns` is the number of columns of a SELECT
    /// that the session evaluates itself.
    async fn send_prepared(
        &self,
        wire: &mut Wire,
        id: u32,
        sql: &str,
        known_columns: Option<usize>,
    ) -> Result<(), PacketError> {
        let parameters = sql.matches('?').count().min(250) as u8;
        let columns =
            known_columns.map_or(if is_select(sql) { 2 } else { 0 }, |n| n.min(250) as u8);
        let head = [
            &[0][..],
            &id.to_le_bytes(),
            &[columns, 0, parameters, 0, 0, 0, 0],
        ]
        .concat();
        wire.feed(&head[..]).await?;
        for _ in 0..parameters {
            wire.feed(&column_definition("?")[..]).await?;
        }
        if parameters > 0 {
            wire.feed(EOF).await?;
        }
        if columns > 0 {
            for n in 0..columns {
                let name = ["engine", "process", "more"][usize::from(n.min(2))];
                wire.feed(&column_definition(name)[..]).await?;
            }
            wire.feed(EOF).await?;
        }
        SinkExt::<&[u8]>::flush(wire).await
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

    async fn run(
        &self,
        wire: &mut Wire,
        sql: String,
        binary: bool,
        response: Option<SessionResponse>,
        session: &Session,
    ) -> Result<(), PacketError> {
        let inner = &*self.0;
        let index = self.record_execution(&sql, session)?;
        inner.running.set(inner.running.get() + 1);
        inner
            .max_running
            .set(inner.max_running.get().max(inner.running.get()));
        let running = RunningGuard(inner);
        // The runtime's timer has a granularity of 1 ms, so even a zero sleep would take time.
        if !inner.execution_time.get().is_zero() {
            tokio::time::sleep(inner.execution_time.get()).await;
        }
        drop(running);
        let mut end = eof_packet(session.status());
        end[1..3].copy_from_slice(&session.warnings().to_le_bytes());
        if let Some(response) = response {
            self.send_response(wire, response, binary, session.status())
                .await?;
        } else if let Some(rows) = GeneratedRows::parse(&sql) {
            self.send_generated_rows(wire, rows, binary).await?;
        } else if is_select(&sql) {
            let head: &[u8] = if binary { &[0, 0] } else { &[] };
            let row = [
                head,
                &length_encoded_text(&inner.name),
                &length_encoded_text(&inner.process.get().to_string()),
            ]
            .concat();
            for p in [
                &[2][..],
                &column_definition("engine"),
                &column_definition("process"),
                &end,
                &row,
                &end,
            ] {
                wire.feed(p).await?;
            }
            SinkExt::<&[u8]>::flush(wire).await?;
        } else {
            let mut ok = ok_with_status(session.status());
            ok[5..7].copy_from_slice(&session.warnings().to_le_bytes());
            wire.send(&ok[..]).await?;
        }
        let mut executions = inner.executions.borrow_mut();
        (executions[index].answered, executions[index].held) = (true, now() - executions[index].at);
        Ok(())
    }
}

/// Returns an OK packet with these status flags.
fn ok_with_status(status: u16) -> Vec<u8> {
    let [low, high] = status.to_le_bytes();
    vec![0, 0, 0, low, high, 0, 0]
}

impl Engine {
    /// Sends a response of the session itself.
    async fn send_response(
        &self,
        wire: &mut Wire,
        response: SessionResponse,
        binary: bool,
        status: u16,
    ) -> Result<(), PacketError> {
        let (names, rows) = match response {
            SessionResponse::Ok => return wire.send(&ok_with_status(status)[..]).await,
            SessionResponse::Error(code, state, message) => {
                return wire
                    .send(
                        &err_packet(&SqlError {
                            code,
                            state,
                            message,
                        })[..],
                    )
                    .await;
            }
            SessionResponse::Row(names, row) => (names, vec![row]),
            SessionResponse::Rows(names, rows) => (names, rows),
        };
        wire.feed(&[names.len() as u8][..]).await?;
        for name in &names {
            wire.feed(&column_definition(name)[..]).await?;
        }
        wire.feed(&eof_packet(status)[..]).await?;
        for row in &rows {
            let mut p = if binary {
                vec![0; 1 + (row.len() + 9) / 8]
            } else {
                vec![]
            };
            for (i, value) in row.iter().enumerate() {
                match value {
                    Some(v) => p.extend(length_encoded_text(v)),
                    None if binary => p[1 + (i + 2) / 8] |= 1 << ((i + 2) % 8),
                    None => p.push(0xfb),
                }
            }
            wire.feed(&p[..]).await?;
        }
        wire.feed(&eof_packet(status)[..]).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }

    async fn send_generated_rows(
        &self,
        wire: &mut Wire,
        rows: GeneratedRows,
        binary: bool,
    ) -> Result<(), PacketError> {
        for p in [
            &[2][..],
            &column_definition("engine"),
            &column_definition("process"),
            EOF,
        ] {
            wire.feed(p).await?;
        }
        let process = self.0.process.get().to_string();
        let head: &[u8] = if binary { &[0, 0] } else { &[] };
        // Long rows differ in their numbers only, so that the fake generates them faster than a dispatcher
        // reads them.
        let filler = padded_text(0, rows.row_bytes);
        for n in 0..rows.count {
            if rows.break_after == Some(n) && self.0.break_result.replace(false) {
                SinkExt::<&[u8]>::flush(wire).await?;
                return Err(PacketError::Protocol("the test truncates this result"));
            }
            let long = if rows.row_bytes < 2000 {
                padded_text(n, rows.row_bytes)
            } else {
                format!("{n}:{}", &filler[2..])
            };
            let row = [
                head,
                &length_encoded_text(&long),
                &length_encoded_text(&process),
            ]
            .concat();
            wire.feed(&row[..]).await?;
        }
        wire.feed(EOF).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }

    /// Truncates the next result that contains a break point, and closes its connection; see
    /// [`GeneratedRows`].
    pub fn truncate_next_result(&self) {
        self.0.break_result.set(true);
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }
}

type Wire = Framed<TcpStream, PacketCodec>;

const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// Returns whether a statement is a SELECT, with at most one comment before it.
fn is_select(sql: &str) -> bool {
    let sql = sql.trim_start();
    let sql = sql
        .strip_prefix("/*")
        .and_then(|s| s.split_once("*/"))
        .map_or(sql, |s| s.1.trim_start());
    sql.get(..6)
        .is_some_and(|s| s.eq_ignore_ascii_case("select"))
}

/// Returns a text as a length-encoded string.
fn length_encoded_text(s: &str) -> Vec<u8> {
    let mut p = vec![];
    put_length_encoded_integer(&mut p, s.len() as u64);
    p.extend(s.bytes());
    p
}

/// Returns the definition of a text column.
fn column_definition(name: &str) -> Vec<u8> {
    let words: Vec<u8> = ["def", "", "", "", name, name]
        .into_iter()
        .flat_map(length_encoded_text)
        .collect();
    [
        &words[..],
        &[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0],
    ]
    .concat()
}
