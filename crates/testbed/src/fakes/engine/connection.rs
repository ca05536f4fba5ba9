//! One connection to the fake engine: its log-in and its commands.

use super::responses::{Wire, column_definition, is_select, length_encoded_text, ok_with_status};
use super::{Engine, GeneratedRows, PASSWORD, RunningGuard};
use crate::fakes::engine_session::{Session, SessionResponse};
use crate::now;
use bytes::Bytes;
use futures_util::SinkExt;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::{SqlError, code};
use query_dispatcher::protocol::mysql::packet::*;
use query_dispatcher::transport::memory_budget::Reservation;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

/// Maximum size of a packet, in bytes.
const MAX_PACKET: usize = 1 << 22;
/// Query for the time that the engine's process has run.
const UPTIME_QUERY: &str = "SHOW GLOBAL STATUS LIKE 'Uptime'";

/// A statement that is to be executed.
struct Statement {
    sql: String,
    /// The `sql_mode` in which it was prepared; its result has the binary format then.
    prepared_in: Option<String>,
}

/// A connection after its log-in.
struct Connection<'a> {
    engine: &'a Engine,
    wire: Wire,
    session: Session,
    /// Prepared statements by their ids, with the `sql_mode` in which they were read.
    prepared: HashMap<u32, (String, String)>,
    /// Id of the last statement that was prepared.
    last_id: u32,
    /// Number of the engine's process that it was opened to.
    process: u32,
}

impl Engine {
    /// Serves a connection until it ends.
    pub(super) async fn serve_connection(&self, tcp: TcpStream) -> Result<(), PacketError> {
        tcp.set_nodelay(true)?;
        let codec = PacketCodec {
            max_packet: MAX_PACKET,
            sequence: 0,
            memory: Reservation::default(),
        };
        let mut wire = Framed::new(tcp, codec);
        let sql_mode = self.0.sql_mode.borrow().clone();
        let Some(number) = self.log_in(&mut wire, &sql_mode).await? else {
            return Ok(());
        };
        let connection = Connection {
            engine: self,
            wire,
            session: Session::new(number, &self.0.name, &sql_mode),
            prepared: HashMap::new(),
            last_id: 0,
            process: self.0.process.get(),
        };
        let killed = Rc::new(Notify::new());
        self.0.killable.borrow_mut().insert(number, killed.clone());
        tokio::select! {
            end = connection.serve() => end,
            () = killed.notified() => Ok(()),
        }
    }

    /// Logs a client in and returns the number of its connection; `None` if it is turned away.
    async fn log_in(&self, wire: &mut Wire, sql_mode: &str) -> Result<Option<u32>, PacketError> {
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
            return Ok(None);
        };
        let login = Login::read(login?)?;
        if !auth::verify_auth_response(&login.plugin, PASSWORD, &greeting.nonce, &login.auth) {
            let denied = SqlError::new(code::ER_ACCESS_DENIED, "wrong password");
            wire.send(&err_packet(&denied)[..]).await?;
            return Ok(None);
        }
        let session = Session::new(number, &self.0.name, sql_mode);
        wire.send(&ok_with_status(session.status())[..]).await?;
        Ok(Some(number))
    }
}

impl Connection<'_> {
    async fn serve(mut self) -> Result<(), PacketError> {
        loop {
            self.wire.codec_mut().sequence = 0;
            let Some(command) = self.wire.next().await else {
                return Ok(());
            };
            let command: Bytes = command?;
            if matches!(command.first(), None | Some(&COM_QUIT)) {
                return Ok(());
            }
            if let Some(statement) = self.answer_command(&command).await? {
                self.execute(statement).await?;
            }
        }
    }

    /// Answers a command, or returns the statement that it is to execute.
    async fn answer_command(&mut self, command: &Bytes) -> Result<Option<Statement>, PacketError> {
        let text = String::from_utf8_lossy(&command[1..]).into_owned();
        let id = PayloadReader(command.slice(1..)).u32().unwrap_or(0);
        match command[0] {
            COM_QUERY if text == UPTIME_QUERY => self.answer_uptime().await?,
            COM_QUERY if text.starts_with("SET ") || text.starts_with("KILL ") => {
                self.answer_control(&text).await?;
            }
            COM_QUERY => {
                return Ok(Some(Statement {
                    sql: text,
                    prepared_in: None,
                }));
            }
            COM_STMT_EXECUTE => match self.prepared.get(&id).cloned() {
                Some((sql, sql_mode)) => {
                    return Ok(Some(Statement {
                        sql,
                        prepared_in: Some(sql_mode),
                    }));
                }
                None => {
                    let unknown = SqlError::new(code::ER_UNKNOWN_STMT_HANDLER, "unknown statement");
                    self.wire.send(&err_packet(&unknown)[..]).await?;
                }
            },
            COM_STMT_PREPARE => {
                self.last_id += 1;
                let columns = self.session.column_count(&text);
                self.engine
                    .send_prepared(&mut self.wire, self.last_id, &text, columns)
                    .await?;
                let sql_mode = self.session.sql_mode().to_string();
                self.prepared.insert(self.last_id, (text, sql_mode));
            }
            COM_STMT_CLOSE => drop(self.prepared.remove(&id)),
            COM_STMT_SEND_LONG_DATA => {}
            COM_INIT_DB => {
                self.session.use_schema(&text);
                self.send_ok().await?;
            }
            _ => self.send_ok().await?,
        }
        Ok(None)
    }

    async fn send_ok(&mut self) -> Result<(), PacketError> {
        let ok = ok_with_status(self.session.status());
        self.wire.send(&ok[..]).await
    }

    /// Answers how long the engine's process has run, in seconds.
    async fn answer_uptime(&mut self) -> Result<(), PacketError> {
        let uptime = ((now() - self.engine.started()) / 1000.0) as u64;
        let names = vec!["Variable_name".to_string(), "Value".to_string()];
        let row = vec![Some("Uptime".to_string()), Some(uptime.to_string())];
        let response = SessionResponse::Row(names, row);
        let status = self.session.status();
        self.engine
            .send_response(&mut self.wire, response, false, status)
            .await
    }

    /// Answers a SET or KILL of the dispatcher, which is not recorded as an execution.
    async fn answer_control(&mut self, sql: &str) -> Result<(), PacketError> {
        if let Some(number) = sql.strip_prefix("KILL ").and_then(|n| n.parse().ok()) {
            self.engine.kill(number);
        }
        let response = self.session.execute(sql);
        self.record_commits();
        match response {
            Some(SessionResponse::Error(code, state, message)) => {
                let error = SqlError {
                    code,
                    state,
                    message,
                };
                self.wire.send(&err_packet(&error)[..]).await
            }
            _ => self.send_ok().await,
        }
    }

    fn record_commits(&mut self) {
        let mut committed = self.engine.0.committed.borrow_mut();
        committed.append(&mut self.session.committed);
    }

    /// Executes a statement and sends its response, unless the test has it fail or lose its response.
    async fn execute(&mut self, statement: Statement) -> Result<(), PacketError> {
        let response = match &statement.prepared_in {
            Some(sql_mode) => self.session.execute_prepared(&statement.sql, sql_mode),
            None => self.session.execute(&statement.sql),
        };
        self.record_commits();
        if self.engine.loses_response(&statement.sql) {
            self.engine
                .record_execution(&statement.sql, &self.session)?;
            return Err(PacketError::Protocol("the test loses this response"));
        }
        if let Some(error) = self.engine.failure_of(&statement.sql) {
            return self.wire.send(&err_packet(&error)[..]).await;
        }
        self.respond(statement, response).await
    }

    /// Sends the response to a statement after the execution time.
    async fn respond(
        &mut self,
        statement: Statement,
        response: Option<SessionResponse>,
    ) -> Result<(), PacketError> {
        let Connection {
            engine,
            wire,
            session,
            ..
        } = self;
        let Statement { sql, prepared_in } = statement;
        let binary = prepared_in.is_some();
        let inner = &*engine.0;
        let index = engine.record_execution(&sql, session)?;
        inner.running.set(inner.running.get() + 1);
        inner
            .max_running
            .set(inner.max_running.get().max(inner.running.get()));
        let running = RunningGuard(inner);
        // The runtime's timer has a granularity of 1 ms, so even a zero sleep would take time.
        if !inner.execution_time.get().is_zero() {
            tokio::time::sleep(inner.execution_time.get()).await;
        }
        if self.process <= inner.vanished.get() {
            return std::future::pending().await;
        }
        drop(running);
        let mut end = eof_packet(session.status());
        end[1..3].copy_from_slice(&session.warnings().to_le_bytes());
        if let Some(response) = response {
            engine
                .send_response(wire, response, binary, session.status())
                .await?;
        } else if let Some(rows) = GeneratedRows::parse(&sql) {
            engine.send_generated_rows(wire, rows, binary).await?;
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
        let execution = &mut inner.executions.borrow_mut()[index];
        execution.answered = true;
        execution.held = now() - execution.at;
        Ok(())
    }
}
