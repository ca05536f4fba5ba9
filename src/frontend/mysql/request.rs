//! Execution of a session's statements as requests of the core.

use super::session::{MAX_READ_AHEAD_BYTES, Session, SessionEnd, contains_quit, end_of_read_ahead};
use super::sticky::ExecutionResult;
use super::{Frontend, StatementUpstream};
use crate::config::MysqlFrontendConfig;
use crate::core::{FailureReason, NewRequest, RejectionReason, RequestId, RequestOutcome};
use crate::decision::model::{ClassId, Millis};
use crate::dispatch::{Reply, RequestRouter};
use crate::frontend::estimates::{
    MAX_ESTIMATED_MEMORY_MB, MAX_ESTIMATED_WORK_MS, MAX_TIME_LIMIT_MS,
};
use crate::protocol::mysql::session::SessionContext;
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::protocol::statement::{self, ConnectionEffects, Hints, StatementKind};
use crate::spool::{Admission, AdmissionRequest};
use crate::spool_io::{MAX_STATEMENT_CHARS, ResultOwner};
use crate::upstream::mysql::work::{Job, Output, Work};
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Reason of the failure of a request that another session of the same user has killed.
pub(super) const KILLED_REASON: &str = "it was killed by KILL QUERY";
/// Time limit of a request whose class has no configured one, in milliseconds.
const DEFAULT_TIME_LIMIT_MS: Millis = 10_000.0;

/// A statement to be executed by an engine.
pub(super) struct StatementRequest {
    pub(super) kind: StatementKind,
    /// Session state that the engine connection has to have.
    pub(super) context: SessionContext,
    pub(super) sql: Bytes,
    pub(super) job: Job,
    /// Modes in which an engine may read the statement.
    pub(super) modes: LexicalModes,
    /// Session state in which a prepared statement was read, if it was another one.
    pub(super) preparation: Option<SessionContext>,
    /// Changes that the statement makes to the state of its engine connection.
    pub(super) effects: ConnectionEffects,
}

impl StatementRequest {
    /// Creates a request for a statement that an engine reads in one of these modes.
    pub(super) fn new(
        kind: StatementKind,
        context: SessionContext,
        sql: Bytes,
        modes: LexicalModes,
        job: Job,
    ) -> Self {
        let effects = match runs_statement(&job) {
            true => ConnectionEffects::of(&sql, modes),
            false => ConnectionEffects::default(),
        };
        StatementRequest {
            kind,
            context,
            sql,
            job,
            modes,
            preparation: None,
            effects,
        }
    }

    /// Creates a request that only takes a connection to this context.
    pub(super) fn enter_context(context: SessionContext) -> Self {
        Self::new(
            StatementKind::Read,
            context,
            Bytes::new(),
            LexicalModes::default(),
            Job::EnterContext,
        )
    }

    /// Returns whether the engine runs a statement, rather than prepare one or enter a context.
    pub(super) fn runs(&self) -> bool {
        runs_statement(&self.job)
    }

    pub(super) fn reads(&self) -> bool {
        self.kind == StatementKind::Read
    }
}

fn runs_statement(job: &Job) -> bool {
    !matches!(job, Job::Prepare | Job::EnterContext)
}

/// Abandons a request when dropped, since the client may disconnect at any time.
pub(super) struct RequestGuard<'a, U: StatementUpstream> {
    router: &'a Rc<RequestRouter<U>>,
    id: RequestId,
}

impl<U: StatementUpstream> Drop for RequestGuard<'_, U> {
    fn drop(&mut self) {
        self.router.abandon(self.id);
    }
}

impl<U: StatementUpstream> Frontend<U> {
    /// Opens a request; the receiver gets its only answer.
    pub(super) fn open_request(
        &self,
        request: NewRequest,
        work: Work,
    ) -> (RequestGuard<'_, U>, oneshot::Receiver<Reply<Output>>) {
        let (sender, receiver) = oneshot::channel();
        let id = self.router.open(
            request,
            work,
            Box::new(move |reply| drop(sender.send(reply))),
        );
        let guard = RequestGuard {
            router: &self.router,
            id,
        };
        (guard, receiver)
    }
}

/// Returns the time limit of a class, in milliseconds.
pub(super) fn time_limit(config: &MysqlFrontendConfig, class: ClassId) -> Millis {
    config
        .deadlines
        .get(class)
        .copied()
        .unwrap_or(DEFAULT_TIME_LIMIT_MS)
}

/// Returns the value of a numeric hint, or `None` if it is missing, not positive or above `max`.
fn numeric_hint(hints: &Hints, name: &str, max: f64) -> Option<f64> {
    hints
        .get(name)
        .and_then(|value| value.parse::<f64>().ok())
        .filter(|value| *value > 0.0 && *value <= max)
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Opens a request for a statement and waits for its answer, or for the client to disconnect.
    pub(super) async fn dispatch(
        &mut self,
        request: StatementRequest,
    ) -> Result<Reply<Output>, SessionEnd> {
        let config = self.frontend.config();
        let hints = Hints::parse(&request.sql);
        let is_prepare = matches!(request.job, Job::Prepare);
        let class = match is_prepare {
            // Preparing executes nothing, so it is idempotent for every statement.
            true => config.class_rules.read_class,
            false => config
                .class_rules
                .class_of(request.reads(), hints.get("class"), &request.sql),
        };
        let admission = self.admission_request(class, &request);
        // If the result could not be stored, the request is rejected before anything is executed.
        if !is_prepare && let Err(rejection) = self.admit_result(admission) {
            self.frontend
                .router
                .record_frontend_answer(class, RequestOutcome::Overload);
            return Ok(rejection);
        }
        let limit = time_limit(&config, class);
        let new_request = NewRequest {
            class,
            tenant: self.tenant,
            group: statement::table_group(&request.sql),
            deadline: self.frontend.router.earliest_arrival()
                + numeric_hint(&hints, "limit", MAX_TIME_LIMIT_MS)
                    .unwrap_or(limit)
                    .min(limit),
            work: numeric_hint(&hints, "cpu", MAX_ESTIMATED_WORK_MS),
            memory_mb: numeric_hint(&hints, "mem", MAX_ESTIMATED_MEMORY_MB),
        };
        let work = self.work(request, admission);
        self.wait_for_reply(new_request, work).await
    }

    async fn wait_for_reply(
        &mut self,
        request: NewRequest,
        work: Work,
    ) -> Result<Reply<Output>, SessionEnd> {
        let frontend = self.frontend;
        let (_guard, mut reply) = frontend.open_request(request, work);
        tokio::select! {
            biased;
            reply = &mut reply => {
                Ok(reply.unwrap_or(Reply::Failed { reason: FailureReason::Adapter("the request was lost") }))
            }
            () = self.downstream.killed() => {
                Ok(Reply::Failed { reason: FailureReason::Adapter(KILLED_REASON) })
            }
            // A client that sends its next command early is still waiting; one that sends COM_QUIT or closes
            // the connection is not.
            end = self.connection.read_ahead(MAX_READ_AHEAD_BYTES, contains_quit) => {
                Err(end_of_read_ahead(end))
            }
        }
    }

    pub(super) fn admission_request(
        &self,
        class: ClassId,
        request: &StatementRequest,
    ) -> AdmissionRequest {
        AdmissionRequest {
            tenant: self.tenant,
            class,
            protected: !request.reads(),
        }
    }

    /// Checks whether a result can be stored.
    ///
    /// # Errors
    /// It cannot be: the answer that rejects the request.
    pub(super) fn admit_result(&self, request: AdmissionRequest) -> Result<(), Reply<Output>> {
        match self.frontend.spools.admit(request) {
            Admission::Rejected {
                reason,
                retry_after,
            } => Err(Reply::Rejected {
                retry_after,
                reason: RejectionReason::Adapter(reason),
            }),
            _ => Ok(()),
        }
    }

    /// Returns the work of a statement, owned by this session's user.
    pub(super) fn work(&self, request: StatementRequest, admission: AdmissionRequest) -> Work {
        let statement = String::from_utf8_lossy(&request.sql)
            .chars()
            .take(MAX_STATEMENT_CHARS)
            .collect();
        Work {
            owner: ResultOwner {
                user: self.user.clone(),
                statement,
                binary: matches!(request.job, Job::Execute(_)),
            },
            context: request.context,
            preparation: request.preparation,
            effects: request.effects,
            sql: request.sql,
            job: request.job,
            admission,
            warnings: self.warnings.clone(),
            downstream: self.downstream.clone(),
        }
    }

    /// Executes a statement and sends its answer.
    pub(super) async fn execute_and_reply(
        &mut self,
        request: StatementRequest,
    ) -> Result<(), SessionEnd> {
        let result = self.execute(request).await?;
        self.send_execution_result(result).await
    }

    pub(super) async fn send_execution_result(
        &mut self,
        result: ExecutionResult,
    ) -> Result<(), SessionEnd> {
        match result {
            Ok(reply) => self.send_reply(reply).await,
            Err(error) => self.send_error(&error).await,
        }
    }
}
