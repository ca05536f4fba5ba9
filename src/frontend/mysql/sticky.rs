//! The client's end of a sticky session: its statements go to the one engine connection that it holds for a while.

use super::request::{KILLED, RequestGuard, StatementRequest, time_limit};
use super::session::{MAX_READ_AHEAD_BYTES, Session, SessionEnd, contains_quit, end_of_read_ahead};
use super::{Frontend, StatementUpstream};
use crate::clock::duration_from_millis;
use crate::core::NewRequest;
use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    ERR_HEADER, OK_HEADER, PacketError, PayloadReader, parse_err_packet,
};
use crate::protocol::statement::{self, StatementKind};
use crate::spool::AdmissionRequest;
use crate::spool_io::ResultOwner;
use crate::sticky_sessions::{ConnectionDisposition, StatementEffect, TransactionOutcome};
use crate::upstream::mysql::sticky::{
    SessionAnswer, SessionCommand, StickyChannel, loss_reason, session_lost_error,
};
use crate::upstream::mysql::work::{Job, Output, SharedWarnings, Work, error_of_reply};
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// What the request of a sticky session is listed by.
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
pub(super) struct StickyHold<'a, U: StatementUpstream> {
    commands: mpsc::Sender<SessionCommand>,
    channel: Rc<StickyChannel>,
    reply: oneshot::Receiver<Reply<Output>>,
    /// By then its first statement has to have reached an engine.
    begin_deadline: tokio::time::Instant,
    /// A transaction is open.
    pub(super) in_transaction: bool,
    /// Ends the attempt, and with it what is open, before the permit is given back.
    _request: RequestGuard<'a, U>,
    _permit: StickyPermit<'a, U>,
}

impl<U: StatementUpstream> StickyHold<'_, U> {
    /// What the client is told if the connection is lost; `effect` is that of the statement in progress.
    fn lost(&self, effect: Option<StatementEffect>) -> SqlError {
        let reason = loss_reason(self.channel.expired());
        session_lost_error(&reason, TransactionOutcome::of_lost_connection(effect))
    }
}

/// The result of a statement: an answer to send on, or an error of the frontend itself.
pub(super) type ExecutionResult = Result<Reply<Output>, SqlError>;

/// How the wait for a sticky session's answer ended.
enum Waited {
    Answered(SessionAnswer),
    /// The session is not sticky any more.
    Ended(ExecutionResult),
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Executes a statement in the session's context: on the connection that it holds, on one that it holds from now on
    /// if the statement needs that, else anywhere.
    pub(super) async fn execute(
        &mut self,
        request: StatementRequest,
    ) -> Result<ExecutionResult, SessionEnd> {
        let is_prepare = matches!(request.job, Job::Prepare);
        if self.sticky.is_none() && needs_held_connection(&request.kind) && !is_prepare {
            return Ok(Ok(self.ok_reply()));
        }
        let runs = !matches!(request.job, Job::Prepare | Job::EnterContext);
        *self.warnings.borrow_mut() = None;
        let makes_sticky =
            matches!(request.kind, StatementKind::MakesSticky(_)) || !self.state.autocommit();
        let result = match self.sticky.is_some() || runs && makes_sticky {
            true => self.execute_sticky(request).await?,
            false => Ok(self.dispatch(request).await?),
        };
        self.record_result(&result, runs);
        Ok(result)
    }

    /// An OK of the frontend itself.
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

    /// What a statement does to the state on the connection.
    fn effect_of(&self, request: &StatementRequest) -> StatementEffect {
        let StatementRequest { kind, sql, job, .. } = request;
        let is_prepare = matches!(job, Job::Prepare);
        let commits = match (job, kind) {
            // A setting may be autocommit, which commits.
            (Job::EnterContext, _) => true,
            (Job::Prepare, _) | (_, StatementKind::WithinTransaction) => false,
            (_, StatementKind::EndsTransaction) => !statement::is_rollback(sql),
            _ => self.sticky.is_some() && statement::commits_implicitly(sql),
        };
        let acquires = match kind {
            StatementKind::MakesSticky(reason) if !is_prepare => Some(*reason),
            _ => None,
        };
        StatementEffect {
            acquires,
            unlocks_tables: *kind == StatementKind::UnlockTables,
            commits,
        }
    }

    /// Opens the sticky session's request: one attempt, on an engine that the decision module chooses.
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
        self.sticky = Some(StickyHold {
            commands,
            channel,
            reply,
            begin_deadline: tokio::time::Instant::now() + duration_from_millis(limit),
            in_transaction: false,
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
            sql: Bytes::new(),
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

    /// Sends a statement to the connection that the session holds, and waits for its answer.
    async fn execute_sticky(
        &mut self,
        request: StatementRequest,
    ) -> Result<ExecutionResult, SessionEnd> {
        let config = self.frontend.config();
        let class = config
            .class_rules
            .class_of(request.reads(), None, &request.sql);
        let admission = self.admission_request(class, &request);
        let runs = !matches!(request.job, Job::Prepare | Job::EnterContext);
        if runs && let Err(rejection) = self.admit_result(admission) {
            return Ok(Ok(rejection));
        }
        let effect = self.effect_of(&request);
        let rolls_back = request.kind == StatementKind::EndsTransaction && !effect.commits;
        if self.sticky.is_none()
            && let Err(error) = self.begin_sticky()
        {
            return Ok(Err(error));
        }
        let work = self.work(request, admission);
        let result = match self.send_sticky(work, effect).await? {
            Waited::Answered(answer) => {
                self.state.transaction_began();
                if let Some(sticky) = &mut self.sticky {
                    sticky.in_transaction = answer.in_transaction;
                }
                if answer.disposition == ConnectionDisposition::Release {
                    self.sticky = None;
                }
                return Ok(Ok(Reply::Served(answer.output)));
            }
            Waited::Ended(result) => result,
        };
        self.sticky = None;
        Ok(match result {
            // With its connection the transaction is rolled back, as it was asked for.
            Err(_) if rolls_back => Ok(self.ok_reply()),
            result => result,
        })
    }

    async fn send_sticky(
        &mut self,
        work: Work,
        effect: StatementEffect,
    ) -> Result<Waited, SessionEnd> {
        let Some(sticky) = self.sticky.as_mut() else {
            let error = session_lost_error(
                &loss_reason(None),
                TransactionOutcome::of_lost_connection(None),
            );
            return Ok(Waited::Ended(Err(error)));
        };
        let (reply, mut answer) = oneshot::channel();
        let command = SessionCommand {
            work,
            effect,
            reply,
        };
        if sticky.commands.send(command).await.is_err() {
            // It ended while nothing was asked of it.
            return Ok(Waited::Ended(Err(sticky.lost(None))));
        }
        let result = tokio::select! {
            biased;
            answer = &mut answer => match answer {
                Ok(answer) => return Ok(Waited::Answered(answer)),
                Err(_) => Err(sticky.lost(Some(effect))),
            },
            reply = &mut sticky.reply => match reply {
                // No engine has begun with it: that is the statement's answer.
                Ok(reply) if !sticky.channel.has_begun() => Ok(reply),
                _ => Err(sticky.lost(Some(effect))),
            },
            // The engine is told by its connection's end: what is open is rolled back.
            () = self.downstream.killed() => {
                let outcome = TransactionOutcome::of_lost_connection(Some(effect));
                Err(session_lost_error(KILLED, outcome))
            }
            end = self.wire.read_ahead(MAX_READ_AHEAD_BYTES, contains_quit) => {
                return Err(end_of_read_ahead(end));
            }
            () = tokio::time::sleep_until(sticky.begin_deadline), if !sticky.channel.has_begun() => {
                Ok(Reply::TimedOut { retry_safe: true })
            }
        };
        Ok(Waited::Ended(result))
    }
}

/// Statements about state on the connection: without one that the session holds there is nothing to do.
fn needs_held_connection(kind: &StatementKind) -> bool {
    matches!(
        kind,
        StatementKind::EndsTransaction
            | StatementKind::WithinTransaction
            | StatementKind::UnlockTables
    )
}

/// The insert id of an OK packet.
fn last_insert_id(ok: &[u8]) -> Result<u64, PacketError> {
    let mut reader = PayloadReader(Bytes::copy_from_slice(ok).slice(1..));
    let _affected_rows = reader.length_encoded_integer()?;
    reader.length_encoded_integer()
}
