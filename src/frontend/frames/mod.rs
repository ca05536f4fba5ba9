//! The platform's frontend: clients' frames, read and answered. It decides nothing itself.
//!
//! [`Frontend`] accepts connections; `connection` serves one of them, `client` holds what its client has asked,
//! `request` reads a request and `replies` writes the answers.

mod client;
mod connection;
mod replies;
mod request;
mod stream_numbers;

pub use request::{StatementBudget, Work};

use crate::config::MachineLimits;
use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::protocol::frames::FrameCodec;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::client_socket::ClientSocket;
use crate::transport::connection_limiter::{Activity, ConnectionLimiter, PermitGuard};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::framed_connection;
use crate::transport::listener;
use connection::serve_connection;
use request::OpenIds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// After an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Statements may hold this part of the memory limit.
const STATEMENT_MEMORY_DIVISOR: usize = 4;

type FramedConnection = framed_connection::FramedConnection<FrameCodec, ClientSocket>;

/// How far shutdown is, as connections are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Shutdown has not begun.
    Serving,
    /// No new request is wanted.
    Goodbye,
    /// Each connection ends once nothing is owed on it and nothing unread.
    Ending,
}

/// All that the connections of this frontend share.
pub struct Frontend<U: Upstream<Work = Work, Output = Buffer>> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    budget: StatementBudget,
    ids: OpenIds,
    limiter: Rc<ConnectionLimiter>,
    limits: RefCell<MachineLimits>,
    /// Processes of this dispatcher that share the limits.
    processes: Cell<usize>,
    /// Another process of this dispatcher takes its clients.
    handed_over: Cell<bool>,
    phase: watch::Sender<Phase>,
    /// Connections that are being served.
    connections: Cell<usize>,
}

impl<U: Upstream<Work = Work, Output = Buffer>> Frontend<U> {
    /// A frontend within these limits.
    pub fn new(router: Rc<RequestRouter<U>>, pool: BufferPool, limits: &MachineLimits) -> Rc<Self> {
        let (phase, _) = watch::channel(Phase::Serving);
        let frontend = Frontend {
            router,
            pool,
            budget: StatementBudget::new(0),
            ids: OpenIds::default(),
            limiter: ConnectionLimiter::new(0, Activity::Idle),
            limits: RefCell::new(limits.clone()),
            processes: Cell::new(1),
            handed_over: Cell::new(false),
            phase,
            connections: Cell::new(0),
        };
        frontend.divide_limits();
        Rc::new(frontend)
    }

    /// Applies the machine's limits, which a new configuration may change.
    pub fn apply_limits(&self, limits: &MachineLimits) {
        *self.limits.borrow_mut() = limits.clone();
        self.divide_limits();
    }

    /// So many processes of this dispatcher share the limits.
    pub fn set_process_count(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        self.divide_limits();
    }

    fn divide_limits(&self) {
        let limits = self.limits.borrow();
        let processes = self.processes.get();
        let memory_bytes = limits.memory_mb * 1024 * 1024;
        self.budget
            .set_limit(memory_bytes / STATEMENT_MEMORY_DIVISOR / processes);
        self.limiter
            .set_limit(DescriptorBudget::per_process(limits.max_sockets, processes).clients);
    }

    /// No new request is wanted on any connection; what comes all the same is answered. With `handed_over`, another
    /// process holds the listening socket and takes the clients.
    pub fn announce_shutdown(&self, handed_over: bool) {
        self.handed_over.set(handed_over);
        self.phase.send_replace(Phase::Goodbye);
    }

    /// Every connection ends as soon as it owes nothing and nothing is unread on it.
    pub fn close_when_idle(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Connections of clients: each of them may owe an answer, or the rest of one.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// Requests that are read and unanswered.
    pub fn unanswered_requests(&self) -> usize {
        self.router.unanswered_requests()
    }

    /// A connection that ends may stay until its client has taken what was written: while clients hold no more than half of
    /// the descriptors.
    fn may_linger(&self) -> bool {
        self.connections.get() <= self.limits.borrow().max_sockets / 2 / self.processes.get()
    }

    /// Accepts connections until the goodbye. Those that the system has accepted by then are served as well, for their
    /// requests count as taken, unless another process holds the listening socket and will accept them.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = self.limiter.accept(&listener) => accepted,
                _ = phase.wait_for(|phase| *phase > Phase::Serving) => break,
            };
            match accepted {
                Ok((tcp, permit)) => self.clone().serve(tcp, permit),
                Err(error) if listener::is_transient(&error) => {}
                Err(error) => {
                    log_line!("accept: {error}");
                    // What the whole machine lacks for a moment is not freed by a client that gives way.
                    if listener::is_out_of_descriptors(&error) {
                        self.limiter.evict_one();
                    }
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        let queued = self.accept_queued(listener);
        for tcp in self.limiter.take_pending_accept().into_iter().chain(queued) {
            let permit = self.limiter.acquire_beyond_limit(Instant::now());
            self.clone().serve(tcp, permit);
        }
    }

    /// The connections in the listen queue, unless another process accepts them. They are beyond the limit, which does
    /// not matter for as long as they last.
    fn accept_queued(&self, listener: TcpListener) -> Vec<TcpStream> {
        if self.handed_over.get() {
            return vec![];
        }
        let budget =
            DescriptorBudget::per_process(self.limits.borrow().max_sockets, self.processes.get());
        listener::drain_accept_queue(listener, budget.shutdown_clients)
    }

    fn serve(self: Rc<Self>, tcp: TcpStream, permit: PermitGuard) {
        self.connections.set(self.connections.get() + 1);
        spawn_local(async move {
            let served = tokio::select! {
                biased;
                served = serve_connection(&self, &permit, tcp) => served,
                () = permit.evicted_before_request() => Ok(()),
            };
            if let Err(error) = served {
                log_line!("client: {error}");
            }
            self.connections.set(self.connections.get() - 1);
        });
    }
}
