//! The platform's front: its frames, read and written, and nothing decided.

mod connection;
mod request;

pub use crate::protocol::frames::{Frame, FrameCodec, FrameError, Send, fields};
pub use request::{Budget, Work};

use crate::clock::duration_from_millis;
use crate::config::MachineLimits;
use crate::dispatch::request_router::{RequestRouter, Upstream};
use crate::log_line;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::connection_limiter::{Activity, ConnectionLimiter, PermitGuard};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::listener;
use request::Ids;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub const REQUEST: u8 = 2;
pub const ANSWER: u8 = 4;
pub const LEAVE: u8 = 8;
pub const ASK: u8 = 16;
pub const STATE: u8 = 32;
pub const GOODBYE: u8 = 64;

pub const SERVED: u8 = 0;
pub const REFUSED: u8 = 14;
pub const FAILED: u8 = 2;

/// How far the end is, as connections are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// No new request is wanted.
    Goodbye,
    /// Each connection ends once nothing is owed on it and nothing unread.
    Ending,
}

/// All that the connections of this front share.
pub struct Frontend<U: Upstream<Work = Work, Output = Buffer>> {
    pub router: Rc<RequestRouter<U>>,
    pub pool: BufferPool,
    pub budget: Budget,
    ids: Ids,
    places: Rc<ConnectionLimiter>,
    limits: RefCell<MachineLimits>,
    processes: Cell<usize>,
    /// Another process of this dispatcher takes its clients.
    handed_over: Cell<bool>,
    phase: watch::Sender<Phase>,
    connections: Cell<usize>,
}

impl<U: Upstream<Work = Work, Output = Buffer>> Frontend<U> {
    pub fn new(router: Rc<RequestRouter<U>>, pool: BufferPool, limits: &MachineLimits) -> Rc<Self> {
        let (phase, _) = watch::channel(Phase::Serving);
        let (budget, places) = (Budget::new(0), ConnectionLimiter::new(0, Activity::Idle));
        let frontend = Frontend {
            router,
            pool,
            budget,
            ids: Ids::default(),
            places,
            limits: RefCell::new(limits.clone()),
            processes: Cell::new(1),
            handed_over: Cell::new(false),
            phase,
            connections: Cell::new(0),
        };
        frontend.bound();
        Rc::new(frontend)
    }

    /// Bounds by the machine's limits, which a new configuration may change.
    pub fn limit(&self, limits: &MachineLimits) {
        *self.limits.borrow_mut() = limits.clone();
        self.bound();
    }

    /// So many processes of this dispatcher share the limits.
    pub fn share(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        self.bound();
    }

    fn bound(&self) {
        let (limits, processes) = (self.limits.borrow(), self.processes.get());
        // A quarter of the memory for statements.
        self.budget
            .most
            .set(limits.memory_mb * 1024 * 1024 / 4 / processes);
        self.places
            .set_limit(DescriptorBudget::per_process(limits.max_sockets, processes).clients);
    }

    /// No new request is wanted on any connection; what comes all the same is answered. `to_another`: another
    /// process holds the listening socket and takes clients.
    pub fn goodbye(&self, to_another: bool) {
        self.handed_over.set(to_another);
        self.phase.send_replace(Phase::Goodbye);
    }

    /// Every connection ends as soon as it owes nothing and nothing is unread on it.
    pub fn end(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Connections of clients: each of them may owe an answer, or the rest of one.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// A connection that ends may stay until its client has taken what was written: while clients hold no more than half of
    /// the descriptors.
    fn may_part(&self) -> bool {
        self.connections.get() <= self.limits.borrow().max_sockets / 2 / self.processes.get()
    }

    /// Accepts connections until the goodbye. Those that the machine has accepted by then are served as well, for their
    /// requests count as taken, unless another process holds the listening socket and will accept them.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = self.places.accept(&listener) => accepted,
                _ = phase.wait_for(|p| *p > Phase::Serving) => break,
            };
            match accepted {
                Ok((tcp, place)) => self.clone().serve(tcp, place),
                Err(e) => {
                    // Out of descriptors: some have to come back.
                    log_line!("accept: {e}");
                    self.places.evict_one();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        let last = match self.handed_over.get() {
            true => vec![],
            // Beyond the bound, which is for as long as they last.
            false => {
                let last = DescriptorBudget::per_process(
                    self.limits.borrow().max_sockets,
                    self.processes.get(),
                )
                .final_clients;
                listener::accepted(listener, last)
            }
        };
        for tcp in self.places.take_pending_accept().into_iter().chain(last) {
            let place = self.places.acquire_beyond_limit(Instant::now());
            self.clone().serve(tcp, place);
        }
    }

    fn serve(self: Rc<Self>, tcp: TcpStream, place: PermitGuard) {
        self.connections.set(self.connections.get() + 1);
        tokio::task::spawn_local(async move {
            let ended = tokio::select! {
                biased;
                ended = connection::connection(&self, &place, tcp) => ended,
                () = place.evicted_before_request() => Ok(()),
            };
            if let Err(e) = ended {
                log_line!("client: {e}");
            }
            self.connections.set(self.connections.get() - 1);
        });
    }
}

/// How long after SIGTERM connections are still accepted, and until when every answer must be given.
pub const ACCEPT_FOR: Duration = Duration::from_millis(500);

/// After that, clients may take their last answers for so long: the kill comes 350 ms after every answer is given.
pub const WRITE_ON: Duration = Duration::from_millis(250);

/// SIGKILL comes no earlier than the longest deadline (3 s at most counts, 5 s where another process has taken
/// over) plus 0.7 s.
pub fn stop_span(longest: f64, handed_over: bool) -> Duration {
    duration_from_millis(longest.min(if handed_over { 5000.0 } else { 3000.0 }) + 700.0 - 350.0)
}
