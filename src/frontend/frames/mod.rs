//! The platform's frontend, which reads clients' frames and answers them. Dispatch decisions are made by the
//! router.
//!
//! [`Frontend`] accepts connections; `connection` serves one connection, `client` tracks the requests of its
//! client, `request` parses a request, `request_ids` keeps an id from running twice, `stream_numbers` detects reused stream numbers, `replies` encodes the
//! answers and `statistics` counts ended connections and rejected requests.

mod client;
mod connection;
mod replies;
mod request;
mod request_ids;
mod statistics;
mod stream_numbers;

pub use request::Work;
pub use request_ids::Executions;

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
use crate::transport::memory_budget::MemoryBudget;
use connection::serve_connection;
use request_ids::RequestIds;
use statistics::{CloseReason, Statistics, budget_text};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Requests, unfinished or open, may hold the memory limit divided by this number.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Results that are not written yet may hold the memory limit divided by this number.
const ANSWER_MEMORY_DIVISOR: usize = 8;

type FramedConnection = framed_connection::FramedConnection<FrameCodec, ClientSocket>;

/// The phase of the shutdown, as connections are notified of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Shutdown has not begun.
    Serving,
    /// Clients are asked to send no new requests; requests that arrive all the same are answered.
    ShutdownAnnounced,
    /// Each connection closes once all of its frames are answered and no input is unread.
    Closing,
}

/// Accepts clients and holds the state that their connections share.
pub struct Frontend<U: Upstream<Work = Work, Output = Buffer>> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    /// Memory of requests, from the first byte of their frame to their end.
    request_memory: MemoryBudget,
    ids: RequestIds,
    /// Memory of results that are not written yet.
    answer_memory: MemoryBudget,
    statistics: Statistics,
    limiter: Rc<ConnectionLimiter>,
    limits: RefCell<MachineLimits>,
    /// Number of processes of this dispatcher that share the limits.
    process_count: Cell<usize>,
    /// Whether another process accepts this dispatcher's clients.
    handed_over: Cell<bool>,
    phase: watch::Sender<Phase>,
    /// Number of connections that are being served.
    connections: Cell<usize>,
}

impl<U: Upstream<Work = Work, Output = Buffer>> Frontend<U> {
    /// Creates a frontend with the machine's limits.
    pub fn new(router: Rc<RequestRouter<U>>, pool: BufferPool, limits: &MachineLimits) -> Rc<Self> {
        let (phase, _) = watch::channel(Phase::Serving);
        let frontend = Frontend {
            router,
            pool,
            request_memory: MemoryBudget::new(0),
            ids: RequestIds::default(),
            answer_memory: MemoryBudget::new(0),
            statistics: Statistics::default(),
            limiter: ConnectionLimiter::new(0, Activity::Idle),
            limits: RefCell::new(limits.clone()),
            process_count: Cell::new(1),
            handed_over: Cell::new(false),
            phase,
            connections: Cell::new(0),
        };
        frontend.divide_limits();
        Rc::new(frontend)
    }

    /// Applies the machine's limits, which a reload of the configuration may change.
    pub fn apply_limits(&self, limits: &MachineLimits) {
        *self.limits.borrow_mut() = limits.clone();
        self.divide_limits();
    }

    /// Sets the number of processes of this dispatcher that share the limits.
    pub fn set_process_count(&self, processes: u32) {
        self.process_count.set(processes.max(1) as usize);
        self.ids.set_process_count(self.process_count.get());
        self.divide_limits();
    }

    /// Shares the ids of requests that must not run twice with the dispatcher's other processes, in a file in this
    /// directory.
    ///
    /// # Errors
    /// The file cannot be opened or read.
    pub fn share_request_ids(&self, directory: &Path) -> io::Result<()> {
        self.ids.share(directory)
    }

    fn divide_limits(&self) {
        let limits = self.limits.borrow();
        let process_count = self.process_count.get();
        let memory_bytes = limits.memory_mb * 1024 * 1024;
        self.request_memory
            .set_limit(memory_bytes / REQUEST_MEMORY_DIVISOR / process_count);
        self.answer_memory
            .set_limit(memory_bytes / ANSWER_MEMORY_DIVISOR / process_count);
        self.limiter
            .set_limit(DescriptorBudget::per_process(limits.max_sockets, process_count).clients);
    }

    /// Asks the clients of all connections to send no new requests; those that arrive all the same are
    /// answered. With `handed_over`, another process holds the listening socket and accepts clients.
    pub fn announce_shutdown(&self, handed_over: bool) {
        self.handed_over.set(handed_over);
        self.phase.send_replace(Phase::ShutdownAnnounced);
    }

    /// Closes every connection as soon as all of its frames are answered and no input is unread.
    pub fn close_when_idle(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns the number of client connections. Each may have an answer pending or partly written.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// Formats the state of the clients for operators, a line `NAME=VALUE` for each figure: connections, why
    /// connections ended, why requests were not opened, and the memory that is reserved for clients.
    pub fn client_report(&self) -> String {
        let connections = format!("connections={}\n", self.connection_count());
        let requests = budget_text("requests", self.request_memory.usage());
        let answers = budget_text("answers", self.answer_memory.usage());
        connections + &self.statistics.text() + &requests + &answers
    }

    /// Returns the number of requests that have been read and not answered.
    pub fn unanswered_requests(&self) -> usize {
        self.router.unanswered_requests()
    }

    /// Returns whether a closing connection may stay open until its client has read the last answers: only
    /// while client connections use no more than half of this process's share of the descriptors.
    fn may_linger(&self) -> bool {
        self.connections.get() <= self.limits.borrow().max_sockets / 2 / self.process_count.get()
    }

    /// Accepts connections until shutdown is announced. Connections that are in the listen queue by then are
    /// served too, since their clients see them as accepted, unless another process holds the listening
    /// socket and accepts them.
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
                    // An eviction frees a descriptor. It does not help when the machine as a whole is short
                    // of a resource.
                    if listener::is_out_of_descriptors(&error) {
                        self.limiter.evict_one();
                    }
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        let queued = self.accept_listen_queue(listener);
        for tcp in self.limiter.take_pending_accept().into_iter().chain(queued) {
            let permit = self.limiter.acquire_beyond_limit(Instant::now());
            self.clone().serve(tcp, permit);
        }
    }

    /// Accepts the connections in the listen queue, unless another process accepts them. They may exceed the
    /// limit of connections: the process ends soon.
    fn accept_listen_queue(&self, listener: TcpListener) -> Vec<TcpStream> {
        if self.handed_over.get() {
            return vec![];
        }
        let budget = DescriptorBudget::per_process(
            self.limits.borrow().max_sockets,
            self.process_count.get(),
        );
        listener::drain_accept_queue(listener, budget.shutdown_clients)
    }

    fn serve(self: Rc<Self>, tcp: TcpStream, permit: PermitGuard) {
        self.connections.set(self.connections.get() + 1);
        spawn_local(async move {
            let served = tokio::select! {
                biased;
                served = serve_connection(&self, &permit, tcp) => served,
                () = permit.evicted_before_request() => Ok(CloseReason::Evicted),
            };
            let reason = served.unwrap_or_else(|error| CloseReason::from(&error));
            self.statistics.record_close(reason);
            self.connections.set(self.connections.get() - 1);
        });
    }
}
