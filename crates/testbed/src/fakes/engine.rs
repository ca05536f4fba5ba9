//! A stand-in for an engine that speaks MySQL: it runs every statement for a while, keeps an exact account of what
//! it was sent and when, and can end, return, and hang.

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

/// The password that a dispatcher's `[engines]` names.
pub const PASSWORD: &str = "lab";
/// Statements that are remembered.
const REMEMBERED: usize = 1_000_000;

/// One statement that an engine was sent whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// When its last byte was here, in milliseconds.
    pub at: f64,
    pub sql: String,
    /// The process of the engine, counted from its first start.
    pub process: u32,
    /// The connection that brought it, by its number at the engine.
    pub connection: u32,
    /// Its answer was written.
    pub answered: bool,
    /// For how long it held its connection, in milliseconds, once it was answered.
    pub held: f64,
}

/// Rows that a statement asks for by `rows(N, BYTES)` somewhere in it; `rows(N, BYTES, K)` breaks the connection
/// behind K of them where the engine was told to ([`Engine::breaks_once`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rows {
    pub n: u64,
    pub bytes: usize,
    pub breaks: Option<u64>,
}

impl Rows {
    fn read(sql: &str) -> Option<Self> {
        let inner = sql.split_once("rows(")?.1.split_once(')')?.0;
        let mut numbers = inner.split(',').map(|n| n.trim().parse::<u64>());
        let (n, bytes) = (numbers.next()?.ok()?, numbers.next()?.ok()?);
        Some(Rows {
            n,
            bytes: (bytes as usize).min(1 << 20),
            breaks: numbers.next().and_then(Result::ok),
        })
    }
}

/// The text in the first column of a row: its number, filled up to the length asked for.
pub fn filled(row: u64, bytes: usize) -> String {
    let mut text = format!("{row}:");
    // What a report holds: words that repeat, and numbers that do not.
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
    work: Cell<Duration>,
    process: Cell<u32>,
    /// When this process started, in milliseconds.
    started: Cell<f64>,
    ran: RefCell<Vec<Execution>>,
    /// Changes of rows that are committed, in that order.
    lasting: RefCell<Vec<String>>,
    /// A COMMIT is carried out and its answer lost with its connection; once.
    loses_commit: Cell<bool>,
    running: Cell<usize>,
    most_running: Cell<usize>,
    tasks: RefCell<Vec<AbortHandle>>,
    connections: Cell<u32>,
    breaks: Cell<bool>,
}

/// One engine. Cloned handles are the same engine.
#[derive(Clone)]
pub struct Engine(Rc<Inner>);

/// Counts what runs, however it ends.
struct Running<'a>(&'a Inner);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Engine {
    /// An engine at this address (port 0 takes a free one) that works on each statement for `work`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(name: &str, address: SocketAddr, work: Duration) -> io::Result<Self> {
        let inner = Inner {
            name: name.into(),
            address: Cell::new(address),
            work: Cell::new(work),
            process: Cell::new(0),
            started: Cell::new(now()),
            ran: RefCell::default(),
            lasting: RefCell::default(),
            loses_commit: Cell::new(false),
            running: Cell::new(0),
            most_running: Cell::new(0),
            tasks: RefCell::default(),
            connections: Cell::new(0),
            breaks: Cell::new(false),
        };
        let engine = Engine(Rc::new(inner));
        engine.again().await?;
        Ok(engine)
    }

    /// Its process starts anew, at the same address.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn again(&self) -> io::Result<()> {
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
                let task = spawn_local(async move { drop(session.session(tcp).await) });
                let mut tasks = engine.0.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        self.0.tasks.borrow_mut().push(accepting.abort_handle());
        Ok(())
    }

    /// Its process ends: all connections break off, and new ones are refused.
    pub fn end(&self) {
        self.0.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    /// When its process started last, in milliseconds.
    pub fn started(&self) -> f64 {
        self.0.started.get()
    }

    /// How long it works on a statement from now on.
    pub fn work(&self, span: Duration) {
        self.0.work.set(span);
    }

    /// All that it was sent, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.0.ran.borrow().clone()
    }

    /// What is committed here, in that order.
    pub fn lasting(&self) -> Vec<String> {
        self.0.lasting.borrow().clone()
    }

    /// The next COMMIT holds, and its answer is lost with its connection.
    pub fn loses_commit_once(&self) {
        self.0.loses_commit.set(true);
    }

    /// The last moment at which a statement came, in milliseconds.
    pub fn last(&self) -> Option<f64> {
        self.0.ran.borrow().last().map(|r| r.at)
    }

    pub fn count(&self) -> usize {
        self.0.ran.borrow().len()
    }

    /// The most that ran at a time since the last call.
    pub fn most_running(&self) -> usize {
        self.0.most_running.replace(self.0.running.get())
    }

    async fn session(&self, tcp: TcpStream) -> Result<(), PacketError> {
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
        let mut next = 0;
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
            let said = String::from_utf8_lossy(body).into_owned();
            let id = PayloadReader(command.slice(1..)).u32().unwrap_or(0);
            let (sql, binary) = match kind {
                COM_QUIT => return Ok(()),
                COM_QUERY if said.starts_with("SET ") || said.starts_with("KILL ") => {
                    match session.says(&said) {
                        Some(SessionResponse::Error(code, state, text)) => {
                            wire.send(
                                &err_packet(&SqlError {
                                    code,
                                    state,
                                    message: text,
                                })[..],
                            )
                            .await?;
                        }
                        _ => wire.send(&done(session.status())[..]).await?,
                    }
                    self.0.lasting.borrow_mut().append(&mut session.lasting);
                    continue;
                }
                COM_QUERY => (said, false),
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
                    next += 1;
                    self.prepared(&mut wire, next, &said, session.columns(&said))
                        .await?;
                    statements.insert(next, said);
                    continue;
                }
                COM_STMT_CLOSE => {
                    statements.remove(&id);
                    continue;
                }
                COM_STMT_SEND_LONG_DATA => continue,
                _ => {
                    wire.send(&done(session.status())[..]).await?;
                    continue;
                }
            };
            let said = session.says(&sql);
            let commits = sql.trim_start().to_ascii_lowercase().starts_with("commit");
            self.0.lasting.borrow_mut().append(&mut session.lasting);
            if commits && self.0.loses_commit.replace(false) {
                return Err(PacketError::Protocol("it breaks here"));
            }
            self.run(&mut wire, sql, binary, said, &session).await?;
        }
    }

    async fn prepared(
        &self,
        wire: &mut Wire,
        id: u32,
        sql: &str,
        own: Option<usize>,
    ) -> Result<(), PacketError> {
        let parameters = sql.matches('?').count().min(250) as u8;
        let columns = own.map_or(if reads(sql) { 2 } else { 0 }, |n| n.min(250) as u8);
        let head = [
            &[0][..],
            &id.to_le_bytes(),
            &[columns, 0, parameters, 0, 0, 0, 0],
        ]
        .concat();
        wire.feed(&head[..]).await?;
        for _ in 0..parameters {
            wire.feed(&column("?")[..]).await?;
        }
        if parameters > 0 {
            wire.feed(EOF).await?;
        }
        if columns > 0 {
            for n in 0..columns {
                wire.feed(&column(["engine", "process", "more"][usize::from(n.min(2))])[..])
                    .await?;
            }
            wire.feed(EOF).await?;
        }
        SinkExt::<&[u8]>::flush(wire).await
    }

    async fn run(
        &self,
        wire: &mut Wire,
        sql: String,
        binary: bool,
        said: Option<SessionResponse>,
        session: &Session,
    ) -> Result<(), PacketError> {
        let inner = &*self.0;
        let place = {
            let mut ran = inner.ran.borrow_mut();
            if ran.len() >= REMEMBERED {
                return Err(PacketError::Protocol("the account is full"));
            }
            ran.push(Execution {
                at: now(),
                sql: sql.clone(),
                process: inner.process.get(),
                connection: session.number(),
                answered: false,
                held: 0.0,
            });
            ran.len() - 1
        };
        inner.running.set(inner.running.get() + 1);
        inner
            .most_running
            .set(inner.most_running.get().max(inner.running.get()));
        let running = Running(inner);
        // The runtime's clock ticks in milliseconds: no work is to take no time.
        if !inner.work.get().is_zero() {
            tokio::time::sleep(inner.work.get()).await;
        }
        drop(running);
        let mut end = eof_packet(session.status());
        end[1..3].copy_from_slice(&session.warnings().to_le_bytes());
        if let Some(said) = said {
            self.tell(wire, said, binary, session.status()).await?;
        } else if let Some(rows) = Rows::read(&sql) {
            self.many(wire, rows, binary).await?;
        } else if reads(&sql) {
            let head: &[u8] = if binary { &[0, 0] } else { &[] };
            let row = [
                head,
                &text(&inner.name),
                &text(&inner.process.get().to_string()),
            ]
            .concat();
            for p in [
                &[2][..],
                &column("engine"),
                &column("process"),
                &end,
                &row,
                &end,
            ] {
                wire.feed(p).await?;
            }
            SinkExt::<&[u8]>::flush(wire).await?;
        } else {
            let mut done = done(session.status());
            done[5..7].copy_from_slice(&session.warnings().to_le_bytes());
            wire.send(&done[..]).await?;
        }
        let mut ran = inner.ran.borrow_mut();
        (ran[place].answered, ran[place].held) = (true, now() - ran[place].at);
        Ok(())
    }
}

/// An OK with this status.
fn done(status: u16) -> Vec<u8> {
    let [low, high] = status.to_le_bytes();
    vec![0, 0, 0, low, high, 0, 0]
}

impl Engine {
    async fn tell(
        &self,
        wire: &mut Wire,
        said: SessionResponse,
        binary: bool,
        status: u16,
    ) -> Result<(), PacketError> {
        let (names, rows) = match said {
            SessionResponse::Ok => return wire.send(&done(status)[..]).await,
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
            wire.feed(&column(name)[..]).await?;
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
                    Some(v) => p.extend(text(v)),
                    None if binary => p[1 + (i + 2) / 8] |= 1 << ((i + 2) % 8),
                    None => p.push(0xfb),
                }
            }
            wire.feed(&p[..]).await?;
        }
        wire.feed(&eof_packet(status)[..]).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }

    async fn many(&self, wire: &mut Wire, rows: Rows, binary: bool) -> Result<(), PacketError> {
        for p in [&[2][..], &column("engine"), &column("process"), EOF] {
            wire.feed(p).await?;
        }
        let process = self.0.process.get().to_string();
        let head: &[u8] = if binary { &[0, 0] } else { &[] };
        // Long rows differ in their numbers only: the stand-in is to be quicker than what it stands before.
        let filler = filled(0, rows.bytes);
        for n in 0..rows.n {
            if rows.breaks == Some(n) && self.0.breaks.replace(false) {
                SinkExt::<&[u8]>::flush(wire).await?;
                return Err(PacketError::Protocol("it breaks here"));
            }
            let long = if rows.bytes < 2000 {
                filled(n, rows.bytes)
            } else {
                format!("{n}:{}", &filler[2..])
            };
            let row = [head, &text(&long), &text(&process)].concat();
            wire.feed(&row[..]).await?;
        }
        wire.feed(EOF).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }

    /// The next result that is to break off half way does; see [`Rows`].
    pub fn breaks_once(&self) {
        self.0.breaks.set(true);
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }
}

type Wire = Framed<TcpStream, PacketCodec>;

const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

fn reads(sql: &str) -> bool {
    let sql = sql.trim_start();
    let sql = sql
        .strip_prefix("/*")
        .and_then(|s| s.split_once("*/"))
        .map_or(sql, |s| s.1.trim_start());
    sql.get(..6)
        .is_some_and(|s| s.eq_ignore_ascii_case("select"))
}

fn text(s: &str) -> Vec<u8> {
    let mut p = vec![];
    put_length_encoded_integer(&mut p, s.len() as u64);
    p.extend(s.bytes());
    p
}

fn column(name: &str) -> Vec<u8> {
    let words: Vec<u8> = ["def", "", "", "", name, name]
        .into_iter()
        .flat_map(text)
        .collect();
    [
        &words[..],
        &[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0],
    ]
    .concat()
}
