//! The upstream of MySQL: pooled connections that carry one command at a time. Statements are prepared on each
//! connection when it first needs them.
//!
//! Dependencies point one way: `connection` and `prepared_statements`, `login`, `pool` and `kill`, `executor` and
//! `result`, `sticky`, `attempt`, and this module, which starts and cancels attempts.

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
use crate::spool_io::Spools;
use crate::transport::buffer_pool::BufferPool;
use attempt::{Attempt, AttemptState};
use executor::{AttemptEvents, Executor};
use kill::Killer;
use login::Connector;
use pool::{Invalidated, Pool};
use std::cell::RefCell;
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
    running: RefCell<HashMap<AttemptId, RunningAttempt>>,
}

/// An attempt in progress.
struct RunningAttempt {
    task: AbortHandle,
    engine: String,
    /// The engine's address when the attempt began.
    address: Option<SocketAddr>,
    /// When the attempt began.
    started: Millis,
    state: Rc<AttemptState>,
}

impl RunningAttempt {
    /// Ends the attempt if its connection leads nowhere any more.
    fn abandon_if(&self, invalidated: &Invalidated) {
        if invalidated.includes(&self.engine, self.started, self.address) {
            self.state.abandoned.notify_one();
        }
    }
}

impl MysqlUpstream {
    /// An upstream that logs in with this account; results go to `spools`.
    pub fn new(
        access: EngineCredentials,
        sockets: SocketSettings,
        pool: BufferPool,
        spools: Rc<Spools>,
    ) -> Self {
        let connector = Rc::new(Connector {
            access,
            sockets,
            buffers: pool,
        });
        MysqlUpstream(Rc::new(Shared {
            pool: Pool::new(connector.clone()),
            executor: Executor {
                spools,
                control_timeout: connector.control_timeout(),
            },
            killer: Killer::new(connector),
            running: RefCell::default(),
        }))
    }

    /// From now on this witness is told what connections show; none is, if none is given.
    pub fn watch(&self, witness: Option<Rc<dyn ConnectionObserver>>) {
        self.0.pool.set_witness(witness);
    }

    /// Engines that the pool has an entry for.
    pub fn engines(&self) -> usize {
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

    /// Closes the attempt's connection. An engine goes on with a statement whose client has disconnected, so a written
    /// one is also killed.
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
            attempt.abandon_if(&invalidated);
        }
    }
}

/// Carries out one attempt and reports its end to the router.
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

/// Reports an attempt's progress to its router, as long as that lives.
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
