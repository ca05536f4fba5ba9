//! The upstream on the platform: RESP over pooled connections, with paged results and progress notes.
//!
//! [`RespUpstream`] starts and cancels attempts; `engine_pool` holds the connections to each engine and
//! limits their number; `connection` is the state of one connection, `connection_task` serves it,
//! `commands` writes attempts on it and `replies` reads the replies.

mod commands;
mod connection;
mod connection_task;
mod engine_pool;
mod replies;

use crate::clock::process_clock_millis;
use crate::config::SocketSettings;
use crate::core::AttemptId;
use crate::decision::model::Outcome;
use crate::discovery::EndpointListChange;
use crate::dispatch::{RequestRouter, StartAttempt, Upstream};
use crate::frontend::frames::Work;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use connection::{Command, PendingAttempt, Stage};
use engine_pool::ConnectionPool;
use std::rc::Rc;

/// Sends attempts to the platform's engines.
pub struct RespUpstream(Rc<ConnectionPool>);

impl RespUpstream {
    /// Creates an upstream that reads the fields `report_fields` of load reports, in this order.
    pub fn new(sockets: SocketSettings, report_fields: Vec<String>, pool: BufferPool) -> Self {
        RespUpstream(Rc::new(ConnectionPool::new(sockets, report_fields, pool)))
    }

    /// Sets the file descriptor limit of the process, a share of which is for connections to engines.
    pub fn set_descriptor_limit(&self, descriptors: usize) {
        self.0.set_descriptor_limit(descriptors);
    }
}

impl Upstream for RespUpstream {
    type Work = Work;
    type Output = Buffer;

    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Work>) {
        let attempt = start.attempt;
        let exclusive = start.exclusive_connection;
        let Some(connection) =
            self.0
                .connection_for_attempt(router, &start.engine, &work.txn, exclusive)
        else {
            return router.attempt_ended(attempt, Outcome::Unreachable, vec![]);
        };
        let txn = work.txn.clone();
        let pending = PendingAttempt {
            attempt,
            exclusive,
            executions: work.executions(),
            stage: Stage::Queued {
                start,
                work,
                input_checked: false,
            },
        };
        let command = Command::Send(txn.clone());
        if connection.commands.try_send(command).is_err() {
            return router.attempt_ended(attempt, Outcome::Unreachable, vec![]);
        }
        if connection.pending.borrow().is_empty() {
            connection.last_activity.set(process_clock_millis());
        }
        connection.pending.borrow_mut().insert(txn.clone(), pending);
        let mut attempts = self.0.attempts.borrow_mut();
        attempts.insert(attempt, (connection, txn));
    }

    fn cancel_attempt(&self, attempt: AttemptId) {
        let cancelled = self.0.attempts.borrow_mut().remove(&attempt);
        if let Some((connection, txn)) = cancelled {
            connection.cancel(txn);
        }
    }

    fn set_process_count(&self, processes: usize) {
        self.0.set_process_count(processes);
    }

    fn update_endpoints(&self, change: &EndpointListChange) {
        self.0.update_endpoints(change);
    }
}
