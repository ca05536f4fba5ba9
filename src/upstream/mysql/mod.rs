//! The MySQL upstream: pooled connections, each with one command in progress at a time. A statement is
//! prepared on a connection when that connection first executes it.
//!
//! Modules in dependency order, each depending only on earlier ones: `connection` and
//! `prepared_statements`, `login`, `pool` and `kill`, `executor` and `result`, `sticky`, `attempt`, and
//! this module, which starts and cancels attempts.

mod attempt;
mod connection;
pub mod downstream;
mod errors;
mod executor;
mod kill;
mod login;
mod pool;
mod prepared_statements;
mod result;
pub mod sticky;
pub mod work;

use crate::clock::process_clock_millis;
use crate::config::{EngineCredentials, SocketSettings};
use crate::core::AttemptId;
use crate::decision::model::{Millis, ProgressNote};
use crate::discovery::EndpointListChange;
use crate::discovery::membership_driver::ConnectionObserver;
use crate::dispatch::{RequestRouter, StartAttempt, Upstream};
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::spool_io::Spools;
use crate::transport::buffer_pool::BufferPool;
use attempt::{Attempt, AttemptState};
use executor::{AttemptEvents, Executor};
use kill::Killer;
use login::Connector;
use pool::{Invalidated, Pool};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::task::{AbortHandle, spawn_local};
use work::{Output, Work};

/// The connections to all engines and the attempts on them.
pub struct MysqlUpstream(Rc<Shared>);

struct Shared {
    pool: Rc<Pool>,
    executor: Executor,
    killer: Rc<Killer>,
    connector: Rc<Connector>,
    running: RefCell<HashMap<AttemptId, RunningAttempt>>,
}

/// An attempt in progress.
struct RunningAttempt {
    task: AbortHandle,
    engine: String,
    /// Address of the engine when the attempt began.
    address: Option<SocketAddr>,
    /// Time at which the attempt began, in milliseconds on the clock of the process.
    started: Millis,
    state: Rc<AttemptState>,
}

impl RunningAttempt {
    /// Ends the attempt if the endpoint list change has invalidated its connection.
    fn abandon_if_invalidated(&self, invalidated: &Invalidated) {
        if invalidated.includes(&self.engine, self.started, self.address) {
            self.state.abandoned.notify_one();
        }
    }
}

impl MysqlUpstream {
    /// Creates an upstream that logs in to engines with `credentials` and writes results to `spools`.
    pub fn new(
        credentials: EngineCredentials,
        sockets: SocketSettings,
        pool: BufferPool,
        spools: Rc<Spools>,
    ) -> Self {
        let connector = Rc::new(Connector {
            credentials,
            sockets,
            buffers: pool,
            observed_defaults: Cell::default(),
        });
        MysqlUpstream(Rc::new(Shared {
            pool: Pool::new(connector.clone()),
            executor: Executor {
                spools,
                control_timeout: connector.control_timeout(),
            },
            killer: Killer::new(connector.clone()),
            connector,
            running: RefCell::default(),
        }))
    }

    /// Sets the observer that connection events are reported to; with `None`, they are not reported.
    pub fn set_connection_observer(&self, observer: Option<Rc<dyn ConnectionObserver>>) {
        self.0.pool.set_observer(observer);
    }

    /// Returns the modes in which engines may read the statements of a session that has not set `sql_mode`.
    pub fn default_lexical_modes(&self) -> LexicalModes {
        self.0.connector.observed_defaults.get().modes()
    }

    /// Returns the number of engines that the pool has an entry for.
    pub fn engine_count(&self) -> usize {
        self.0.pool.engine_count()
    }
}

impl Upstream for MysqlUpstream {
    type Work = Work;
    type Output = Output;

    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Work>) {
        let attempt = start.attempt;
        let engine = start.engine.clone();
        let state = Rc::new(AttemptState::default());
        let task = run_attempt(
            self.0.clone(),
            Rc::downgrade(router),
            start,
            work,
            state.clone(),
        );
        let running = RunningAttempt {
            task: spawn_local(task).abort_handle(),
            address: self.0.pool.address(&engine),
            engine,
            started: process_clock_millis(),
            state,
        };
        self.0.running.borrow_mut().insert(attempt, running);
    }

    /// Closes the connection of the attempt. An engine continues a statement after its client has
    /// disconnected, so a statement that has been written is also killed.
    fn cancel_attempt(&self, attempt: AttemptId) {
        let Some(running) = self.0.running.borrow_mut().remove(&attempt) else {
            return;
        };
        running.task.abort();
        if let Some(connection) = running.state.written_on.get() {
            self.0.killer.kill(connection);
        }
    }

    fn set_process_count(&self, processes: usize) {
        self.0.pool.set_processes(processes);
    }

    fn update_endpoints(&self, change: &EndpointListChange) {
        let invalidated = self.0.pool.apply(change);
        for attempt in self.0.running.borrow().values() {
            attempt.abandon_if_invalidated(&invalidated);
        }
    }
}

/// Runs one attempt and reports its outcome to the router.
async fn run_attempt(
    shared: Rc<Shared>,
    router: Weak<RequestRouter<MysqlUpstream>>,
    start: StartAttempt,
    work: Rc<Work>,
    state: Rc<AttemptState>,
) {
    let events = RouterEvents {
        router: router.clone(),
        attempt: start.attempt,
        engine: start.engine.clone(),
    };
    let attempt = Attempt {
        pool: &shared.pool,
        executor: &shared.executor,
        killer: &shared.killer,
        start: &start,
        work: &work,
        state: &state,
        events: &events,
    };
    let result = attempt.run().await;
    shared.running.borrow_mut().remove(&start.attempt);
    let Some(router) = router.upgrade() else {
        return;
    };
    match result {
        Ok(output) => router.attempt_served(start.attempt, vec![], output),
        Err(outcome) => router.attempt_ended(start.attempt, outcome, vec![]),
    }
}

/// Reports the progress of an attempt to its router, while the router exists.
struct RouterEvents<U: Upstream> {
    router: Weak<RequestRouter<U>>,
    attempt: AttemptId,
    engine: String,
}

impl<U: Upstream> AttemptEvents for RouterEvents<U> {
    fn in_service(&self) -> bool {
        self.router
            .upgrade()
            .is_some_and(|router| router.is_in_service(&self.engine))
    }

    fn statement_written(&self) {
        if let Some(router) = self.router.upgrade() {
            router.record_dispatches(1);
        }
    }

    fn session_started(&self) {
        if let Some(router) = self.router.upgrade() {
            router.page_received(self.attempt);
        }
    }

    fn session_idle(&self) {
        if let Some(router) = self.router.upgrade() {
            router.progress(self.attempt, ProgressNote::Idle);
        }
    }

    fn session_active(&self) {
        if let Some(router) = self.router.upgrade() {
            router.progress(self.attempt, ProgressNote::Active);
        }
    }
}
