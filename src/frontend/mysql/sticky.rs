//! The client side of a sticky session, which sends its statements to the engine connection that it holds.

use super::request::{KILLED_REASON, RequestGuard, StatementRequest, time_limit};
use super::session::{MAX_READ_AHEAD_BYTES, Session, SessionEnd, contains_quit, end_of_read_ahead};
use super::settings::set_error;
use super::{Frontend, StatementUpstream};
use crate::clock::duration_from_millis;
use crate::core::NewRequest;
use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    ERR_HEADER, OK_HEADER, PacketError, PayloadReader, parse_err_packet,
};
use crate::protocol::statement::{ConnectionEffects, StatementKind};
use crate::spool::AdmissionRequest;
use crate::spool_io::ResultOwner;
use crate::sticky_sessions::{Commits, ConnectionDisposition, StatementEffect, TransactionState};
use crate::upstream::mysql::sticky::{
    SessionAnswer, SessionCommand, StickyChannel, loss_reason, session_lost_error,
};
use crate::upstream::mysql::work::{Job, Output, SharedWarnings, Work, error_of_reply};
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Text in place of the statement in the work of a sticky session's request.
const SESSION_DESCRIPTION: &str = "a transaction";

/// Counts a sticky session of a tenant until it is dropped.
struct StickyPermit<'a, U: StatementUpstream> {
    frontend: &'a Frontend<U>,
    tenant: Option<usize>,
}

impl<U: StatementUpstream> Drop for StickyPermit<'_, U> {
    fn drop(&mut self) {
        self.frontend
            .sticky_sessions
            .borrow_mut()
            .release(self.tenant);
    }
}

/// The engine connection that a session holds.
pub(super) struct HeldConnection<'a, U: StatementUpstream> {
    commands: mpsc::Sender<SessionCommand>,
    channel: Rc<StickyChannel>,
    reply: oneshot::Receiver<Reply<Output>>,
    /// Time by which an engine has to begin executing the first statement.
    begin_deadline: tokio::time::Instant,
    /// State of the transaction after the last answer.
    pub(super) transaction: TransactionState,
    /// Dropped before the permit, so that the attempt and an open transaction end before another session may
    /// begin.
    _request: RequestGuard<'a, U>,
    _permit: StickyPermit<'a, U>,
}

impl<U: StatementUpstream> HeldConnection<'_, U> {
    /// Returns the error for a client whose engine connection was lost; `effect` is that of the statement in
    /// flight.
    fn connection_lost_error(&self, effect: Option<StatementEffect>) -> SqlError {
        let reason = loss_reason(self.channel.expired());
        session_lost_error(&reason, self.transaction.outcome_of_loss(effect))
    }
}

/// Completes at the deadline if no engine has begun with the first statement by then. Once one has, the statement may have
/// run, so that only the limits of sticky sessions end the wait.
async fn not_begun_by(deadline: tokio::time::Instant, channel: &StickyChannel) {
    tokio::time::sleep_until(deadline).await;
    if channel.has_begun() {
        std::future::pending().await
    }
}

/// The result of a statement: an answer to forward, or an error of the frontend itself.
pub(super) type ExecutionResult = Result<Reply<Output>, SqlError>;

/// How the wait for an answer in a sticky session ended.
enum WaitOutcome {
    Answered(SessionAnswer),
    /// The session is no longer sticky; the result answers the statement.
    Ended(ExecutionResult),
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Executes a statement in the session's context: on the engine connection that the session holds, on a
    /// newly held one if the statement makes the session sticky, or else on any engine.
    pub(super) async fn execute(
        &mut self,
        request: StatementRequest,
    ) -> Result<ExecutionResult, SessionEnd> {
        let is_prepare = matches!(request.job, Job::Prepare);
        if self.sticky.is_none() && request.requires_sticky_session() && !is_prepare {
            return Ok(Ok(self.ok_reply()));
        }
        let runs = request.runs();
        let dropped_schema = request.effects.dropped_schema.clone();
        *self.warnings.borrow_mut() = None;
        let makes_sticky =
            matches!(request.kind, StatementKind::MakesSticky(_)) || !self.state.autocommit();
        let result = match self.sticky.is_some() || runs && makes_sticky {
            true => self.execute_sticky(request).await?,
            false => Ok(self.dispatch(request).await?),
        };
        self.record_result(&result, runs);
        if let Some(schema) = dropped_schema
            && self.last_error.is_none()
        {
            self.state.schema_dropped(&schema);
        }
        Ok(result)
    }

    /// Returns an OK that the frontend itself gives as the answer.
    fn ok_reply(&self) -> Reply<Output> {
        Reply::Served(Output::one_packet(&self.ok_packet()))
    }

    /// Records a statement's error and insert id.
    fn record_result(&mut self, result: &ExecutionResult, runs: bool) {
        self.last_error = match result {
            Ok(reply) => error_of_reply(reply),
            Err(error) => Some(error.clone()),
        };
        let Ok(Reply::Served(output)) = result else {
            return;
        };
        let Some(packet) = output.first_packet() else {
            return;
        };
        match packet.first() {
            Some(&OK_HEADER) if runs => {
                let id = last_insert_id(packet).unwrap_or(0);
                self.state.record_insert_id(id);
            }
            Some(&ERR_HEADER) => {
                self.last_error = Some(parse_err_packet(&Bytes::copy_from_slice(packet)));
            }
            _ => {}
        }
    }

    /// Opens the request of a sticky session, which has one attempt, on an engine that the decision module
    /// selects.
    fn begin_sticky(&mut self) -> Result<(), SqlError> {
        let frontend = self.frontend;
        let config = frontend.config();
        let limits = config.sticky_sessions.clone();
        frontend
            .sticky_sessions
            .borrow_mut()
            .acquire(&limits, self.tenant)
            .map_err(|error| {
                SqlError::new(
                    code::ER_TOO_MANY_USER_CONNECTIONS,
                    format!("{error}; nothing ran, try again later"),
                )
            })?;
        let permit = StickyPermit {
            frontend,
            tenant: self.tenant,
        };
        let class = config.transaction_class;
        let limit = time_limit(&config, class);
        let max_lifetime = limits.max_lifetime;
        let (channel, commands) =
            StickyChannel::new(limits, self.state.next_transaction_statement());
        let work = self.sticky_work(channel.clone(), class);
        let request = NewRequest {
            class,
            tenant: self.tenant,
            group: None,
            deadline: frontend.router.earliest_arrival() + limit + max_lifetime,
            work: None,
            memory_mb: None,
        };
        let (guard, reply) = frontend.open_request(request, work);
        self.sticky = Some(HeldConnection {
            commands,
            channel,
            reply,
            begin_deadline: tokio::time::Instant::now() + duration_from_millis(limit),
            transaction: TransactionState::default(),
            _request: guard,
            _permit: permit,
        });
        Ok(())
    }

    fn sticky_work(
        &self,
        channel: Rc<StickyChannel>,
        class: crate::decision::model::ClassId,
    ) -> Work {
        Work {
            context: self.state.context().clone(),
            preparation: None,
            sql: Bytes::new(),
            effects: ConnectionEffects::default(),
            job: Job::StickySession(channel),
            admission: AdmissionRequest {
                tenant: self.tenant,
                class,
                protected: true,
            },
            owner: ResultOwner {
                user: self.user.clone(),
                statement: SESSION_DESCRIPTION.into(),
                binary: false,
            },
            warnings: SharedWarnings::default(),
            downstream: self.downstream.clone(),
        }
    }

    /// Sends a statement to the engine connection that the session holds, or gets one first, and waits for
    /// the answer.
    async fn execute_sticky(
        &mut self,
        request: StatementRequest,
    ) -> Result<ExecutionResult, SessionEnd> {
        let config = self.frontend.config();
        let class = config
            .class_rules
            .class_of(request.reads(), None, &request.sql);
        let admission = self.admission_request(class, &request);
        if request.runs()
            && let Err(rejection) = self.admit_result(admission)
        {
            return Ok(Ok(rejection));
        }
        let effect = request.session_effect(self.state.autocommit());
        let rolls_back =
            request.kind == StatementKind::EndsTransaction && effect.commits == Commits::Nothing;
        let work = self.work(request, admission);
        let assigned = work.effects.assigned_variables.clone();
        if let Err(error) = self.state.check_connection_variables(&assigned) {
            return Ok(Err(set_error(&error)));
        }
        if self.sticky.is_none()
            && let Err(error) = self.begin_sticky()
        {
            return Ok(Err(error));
        }
        let result = match self.send_sticky(work, effect).await? {
            WaitOutcome::Answered(answer) => {
                if answer.executed {
                    self.state.add_connection_variables(&assigned);
                }
                return Ok(Ok(self.record_answer(answer)));
            }
            WaitOutcome::Ended(result) => result,
        };
        self.release_connection();
        Ok(match result {
            // The loss of the connection has rolled back the transaction, as the statement requested.
            Err(_) if rolls_back => Ok(self.ok_reply()),
            result => result,
        })
    }

    /// Records the answer to a statement on the held connection, and returns its output.
    fn record_answer(&mut self, answer: SessionAnswer) -> Reply<Output> {
        self.state.transaction_began();
        if let Some(sticky) = &mut self.sticky {
            sticky.transaction = answer.transaction;
        }
        if answer.disposition == ConnectionDisposition::Release {
            self.release_connection();
        }
        Reply::Served(answer.output)
    }

    /// Stops being sticky. What statements have assigned to variables on the connection is lost.
    pub(super) fn release_connection(&mut self) {
        self.sticky = None;
        self.state.clear_connection_variables();
    }

    async fn send_sticky(
        &mut self,
        work: Work,
        effect: StatementEffect,
    ) -> Result<WaitOutcome, SessionEnd> {
        let Some(sticky) = self.sticky.as_mut() else {
            let outcome = TransactionState::default().outcome_of_loss(None);
            let error = session_lost_error(&loss_reason(None), outcome);
            return Ok(WaitOutcome::Ended(Err(error)));
        };
        let (reply, mut answer) = oneshot::channel();
        let command = SessionCommand {
            work,
            effect,
            reply,
        };
        if sticky.commands.send(command).await.is_err() {
            // The session ended while no statement was in flight.
            return Ok(WaitOutcome::Ended(Err(sticky.connection_lost_error(None))));
        }
        let result = tokio::select! {
            biased;
            answer = &mut answer => match answer {
                Ok(answer) => return Ok(WaitOutcome::Answered(answer)),
                Err(_) => Err(sticky.connection_lost_error(Some(effect))),
            },
            reply = &mut sticky.reply => match reply {
                // No engine has begun to execute the session, so this is the answer to the statement.
                Ok(reply) if !sticky.channel.has_begun() => Ok(reply),
                _ => Err(sticky.connection_lost_error(Some(effect))),
            },
            // Closing the connection makes the engine roll back an open transaction, but nothing else.
            () = self.downstream.killed() => {
                let outcome = sticky.transaction.outcome_of_loss(Some(effect));
                Err(session_lost_error(KILLED_REASON, outcome))
            }
            end = self.connection.read_ahead(MAX_READ_AHEAD_BYTES, contains_quit) => {
                return Err(end_of_read_ahead(end));
            }
            () = not_begun_by(sticky.begin_deadline, &sticky.channel) => {
                Ok(Reply::TimedOut { retry_safe: true })
            }
        };
        Ok(WaitOutcome::Ended(result))
    }
}

/// Returns the insert id of an OK packet.
fn last_insert_id(ok: &[u8]) -> Result<u64, PacketError> {
    let mut reader = PayloadReader(Bytes::copy_from_slice(ok).slice(1..));
    let _affected_rows = reader.length_encoded_integer()?;
    reader.length_encoded_integer()
}
