//! Execution of the MySQL protocol commands of a session.

use super::accept::{LOGIN_TIMEOUT, timed_out};
use super::administrative_statements;
use super::login::{auth_switch_request, random_nonce};
use super::request::StatementRequest;
use super::session::{Session, SessionEnd};
use super::{StatementUpstream, text_result};
use crate::protocol::mysql::auth::MYSQL_NATIVE_PASSWORD;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    COM_CHANGE_USER, COM_INIT_DB, COM_PING, COM_QUERY, COM_QUIT, COM_RESET_CONNECTION,
    COM_SET_OPTION, COM_STATISTICS, COM_STMT_CLOSE, COM_STMT_EXECUTE, COM_STMT_FETCH,
    COM_STMT_PREPARE, COM_STMT_RESET, COM_STMT_SEND_LONG_DATA, Login, PayloadReader, eof_packet,
    read_packet,
};
use crate::protocol::mysql::session::SessionState;
use crate::protocol::statement::{self, StatementKind};
use crate::upstream::mysql::work::Job;
use bytes::Bytes;
use futures_util::SinkExt;

/// Body of a COM_SET_OPTION that turns off several statements in one command.
const MULTI_STATEMENTS_OFF: [u8; 2] = [1, 0];
/// Text in place of the client's host name in the error of a failed COM_CHANGE_USER.
const CHANGE_USER_HOST: &str = "this session";

impl<U: StatementUpstream> Session<'_, U> {
    /// Runs one command and answers it.
    pub(super) async fn run_command(&mut self, packet: Bytes) -> Result<(), SessionEnd> {
        let Some(&command) = packet.first() else {
            let error = SqlError::new(code::ER_MALFORMED_PACKET, "an empty packet");
            return self.send_error(&error).await;
        };
        let body = packet.slice(1..);
        match command {
            COM_QUIT => Err(SessionEnd::Quit),
            COM_PING => self.send_ok().await,
            COM_INIT_DB => {
                self.state
                    .use_schema(String::from_utf8_lossy(&body).into_owned());
                self.send_ok().await
            }
            COM_RESET_CONNECTION => {
                self.reset();
                self.send_ok().await
            }
            COM_CHANGE_USER => self.change_user(body).await,
            COM_SET_OPTION => self.set_option(&body).await,
            COM_STATISTICS => self.statistics().await,
            COM_QUERY => self.query(body).await,
            COM_STMT_PREPARE => self.prepare(body).await,
            COM_STMT_EXECUTE => self.execute_prepared(body).await,
            // COM_STMT_SEND_LONG_DATA and COM_STMT_CLOSE have no answer, even for an unknown statement.
            COM_STMT_SEND_LONG_DATA => {
                self.add_long_data(&body);
                Ok(())
            }
            COM_STMT_CLOSE => {
                self.statements.close(&body);
                Ok(())
            }
            COM_STMT_RESET => {
                let reset = self.statements.reset(&body);
                self.send_ok_or_error(reset).await
            }
            COM_STMT_FETCH => self.fetch_rows(body).await,
            other => {
                let message = format!("command {other:#04x} is not known");
                let error = SqlError::new(code::ER_UNKNOWN_COM, message);
                self.send_error(&error).await
            }
        }
    }

    /// Restores the initial state of the session, except for user and schema. Dropping the held engine
    /// connection ends an open transaction there.
    fn reset(&mut self) {
        self.statements.clear();
        self.release_connection();
        self.state.reset();
        *self.warnings.borrow_mut() = None;
        self.last_error = None;
    }

    /// Answers COM_SET_OPTION. Several statements in one command are not supported, so turning them off has
    /// no effect and turning them on is an error.
    async fn set_option(&mut self, body: &[u8]) -> Result<(), SessionEnd> {
        if body == MULTI_STATEMENTS_OFF {
            let packet = eof_packet(self.status_flags());
            return self.send_packet(&packet).await;
        }
        let message = "several statements at once are not carried";
        self.send_error(&SqlError::new(code::ER_NOT_SUPPORTED_YET, message))
            .await
    }

    async fn statistics(&mut self) -> Result<(), SessionEnd> {
        let text = format!("Sessions: {}", self.frontend.sessions.borrow().len());
        self.send_packet(text.as_bytes()).await
    }

    /// Answers COM_CHANGE_USER: the session continues as another user if the client authenticates as that
    /// user, else it ends.
    async fn change_user(&mut self, body: Bytes) -> Result<(), SessionEnd> {
        let mut reader = PayloadReader(body);
        let user = reader.text();
        let response_length = reader.u8()?;
        reader.bytes(response_length.into())?;
        let schema = Some(reader.text()).filter(|schema| !schema.is_empty());
        // The response in the command belongs to the nonce of the login, so a new one is requested for a new
        // nonce.
        let nonce = random_nonce()?;
        self.connection
            .send(&auth_switch_request(&nonce)[..])
            .await?;
        let response = tokio::time::timeout(LOGIN_TIMEOUT, read_packet(&mut *self.connection))
            .await
            .map_err(timed_out)??;
        let login = Login {
            user,
            auth: response.to_vec(),
            schema,
            plugin: MYSQL_NATIVE_PASSWORD.into(),
            result_format: self.result_format,
        };
        let verified = self
            .frontend
            .authenticate(&mut self.connection, &login, &nonce, CHANGE_USER_HOST)
            .await?;
        let Some(verified) = verified else {
            return Err(SessionEnd::Quit);
        };
        self.reset();
        self.state = SessionState::new(login.schema);
        self.tenant = verified.tenant;
        self.user = login.user;
        self.register();
        Ok(())
    }

    /// Executes a statement of the text protocol (COM_QUERY).
    async fn query(&mut self, sql: Bytes) -> Result<(), SessionEnd> {
        match administrative_statements::parse(&sql) {
            Some(Ok(statement)) => return self.run_administrative(statement, false).await,
            Some(Err(error)) => {
                let error = SqlError::new(code::ER_PARSE, error.to_string());
                return self.send_error(&error).await;
            }
            None => {}
        }
        let modes = self.lexical_modes();
        match statement::classify(&sql, modes) {
            StatementKind::Unsupported(reason) => {
                self.send_error(&SqlError::new(code::ER_NOT_SUPPORTED_YET, reason))
                    .await
            }
            StatementKind::ShowWarnings => self.show_warnings().await,
            StatementKind::KillQuery(number) => {
                let killed = self.kill_query(number);
                self.send_ok_or_error(killed).await
            }
            StatementKind::Set => self.set(sql).await,
            StatementKind::Use(schema) => {
                self.state.use_schema(schema);
                self.send_ok().await
            }
            kind => {
                let context = self.context_for(&sql, modes);
                let request = StatementRequest::new(kind, context, sql, modes, Job::Query);
                self.execute_and_reply(request).await
            }
        }
    }

    /// Answers SHOW WARNINGS with the warnings, or else the error, of the previous statement.
    async fn show_warnings(&mut self) -> Result<(), SessionEnd> {
        let warnings = self.warnings.borrow().clone();
        let result = warnings.unwrap_or_else(|| {
            let rows = self.last_error.iter().map(|error| {
                vec![
                    "Error".into(),
                    error.code.to_string(),
                    error.message.clone(),
                ]
            });
            text_result::join_packets(&text_result::text_table(
                &["Level", "Code", "Message"],
                rows,
                text_result::RowFormat::Text,
                self.status_flags(),
            ))
        });
        self.send_result(result).await
    }

    /// Kills the request of a session of the same user.
    fn kill_query(&self, number: u32) -> Result<(), SqlError> {
        match self.frontend.sessions.borrow().get(&number) {
            Some(session) if session.user == self.user => {
                session.downstream.kill();
                Ok(())
            }
            Some(_) => Err(SqlError::new(
                code::ER_KILL_DENIED,
                format!("You are not owner of thread {number}"),
            )),
            None => Err(SqlError::new(
                code::ER_NO_SUCH_THREAD,
                format!("Unknown thread id: {number}"),
            )),
        }
    }
}
