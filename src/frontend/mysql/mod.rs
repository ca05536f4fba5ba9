//! The MySQL frontend: sessions of clients. What a session holds (its schema and settings, its prepared statements, long
//! data) is kept here, so that each statement can run on any engine; what only an engine connection can hold makes the
//! session sticky for a while.

mod accept;
pub mod administrative_statements;
mod commands;
mod cursor;
mod login;
mod prepared_statements;
mod replies;
mod request;
mod session;
mod settings;
mod sticky;
mod stored_results;
mod text_result;

use crate::config::MysqlFrontendConfig;
use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::spool_io::Spools;
use crate::sticky_sessions::StickySessionTable;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection_limiter::{Activity, ConnectionLimiter};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::tls::TlsKeys;
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::work::{Output, Work};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A client that does not take an answer within this is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// An upstream that executes MySQL statements.
pub trait StatementUpstream: Upstream<Work = Work, Output = Output> {}

impl<U: Upstream<Work = Work, Output = Output>> StatementUpstream for U {}

/// Serves MySQL clients.
pub struct Frontend<U: StatementUpstream> {
    router: Rc<RequestRouter<U>>,
    buffers: BufferPool,
    /// Replaced as a whole by a new configuration; a session reads the current one at each step.
    config: RefCell<Rc<MysqlFrontendConfig>>,
    spools: Rc<Spools>,
    limiter: Rc<ConnectionLimiter>,
    /// File descriptors that the machine lets the processes hold.
    descriptors: Cell<usize>,
    /// Processes that share the limits.
    processes: Cell<usize>,
    /// Clients beyond the limit that are being told so.
    rejections: Cell<usize>,
    next_session_number: Cell<u32>,
    /// For clients that ask for TLS.
    tls_keys: RefCell<Option<Rc<TlsKeys>>>,
    /// Counts the sessions that hold engine connections.
    sticky_sessions: RefCell<StickySessionTable>,
    /// Open sessions by their numbers.
    sessions: RefCell<BTreeMap<u32, SessionEntry>>,
    stopping: tokio::sync::watch::Sender<bool>,
    /// Another process accepts this dispatcher's clients.
    handed_over: Cell<bool>,
    /// Commands that are being answered, and shutdown messages.
    busy: Cell<usize>,
}

/// An open session, as other sessions see it.
struct SessionEntry {
    user: String,
    downstream: Rc<Downstream>,
}

/// Counts while something is owed to a client.
struct BusyGuard<'a>(&'a Cell<usize>);

impl<'a> BusyGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        BusyGuard(count)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<U: StatementUpstream> Frontend<U> {
    /// A frontend whose requests go through `router`.
    pub fn new(
        router: Rc<RequestRouter<U>>,
        pool: BufferPool,
        config: MysqlFrontendConfig,
        spools: Rc<Spools>,
    ) -> Rc<Self> {
        let (stopping, _) = tokio::sync::watch::channel(false);
        // Sessions keep their connection while they are idle, for they hold what they prepared.
        let limiter = ConnectionLimiter::new(config.max_clients, Activity::NoRequest);
        Rc::new(Frontend {
            router,
            buffers: pool,
            config: RefCell::new(Rc::new(config)),
            spools,
            limiter,
            descriptors: Cell::new(usize::MAX),
            processes: Cell::new(1),
            rejections: Cell::new(0),
            next_session_number: Cell::new(1),
            tls_keys: RefCell::default(),
            sticky_sessions: RefCell::default(),
            sessions: RefCell::default(),
            stopping,
            handed_over: Cell::new(false),
            busy: Cell::new(0),
        })
    }

    fn config(&self) -> Rc<MysqlFrontendConfig> {
        self.config.borrow().clone()
    }

    /// Applies a new configuration: sessions that are open go on, within its limits.
    pub fn configure(&self, config: MysqlFrontendConfig) {
        *self.config.borrow_mut() = Rc::new(config);
        self.apply_client_limit();
    }

    /// From now on clients may switch to TLS.
    pub fn secure(&self, keys: Rc<TlsKeys>) {
        *self.tls_keys.borrow_mut() = Some(keys);
    }

    /// So many processes of this dispatcher share the limit of clients.
    pub fn share(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        self.apply_client_limit();
    }

    fn apply_client_limit(&self) {
        let configured = self.config().max_clients / self.processes.get();
        let limit = configured.min(self.descriptor_shares().clients).max(1);
        self.limiter.set_limit(limit);
    }

    fn descriptor_shares(&self) -> DescriptorBudget {
        DescriptorBudget::per_process(self.descriptors.get(), self.processes.get())
    }

    /// The machine lets this dispatcher's processes hold so many file descriptors: no more clients are admitted than
    /// leave enough for the rest.
    pub fn within(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
        let max_clients = self.config().max_clients;
        let clients = self.descriptor_shares().clients;
        if clients < max_clients {
            log_line!(
                "max_clients {max_clients}: {descriptors} descriptors have places for {clients}, so that many are let in"
            );
        }
        self.apply_client_limit();
    }

    /// Begins the graceful shutdown: idle sessions end now, the others after the answer that they wait for.
    /// `to_another`: another process holds the listening socket and accepts clients.
    pub fn stop(&self, to_another: bool) {
        self.handed_over.set(to_another);
        self.stopping.send_replace(true);
    }

    /// Sessions that are owed an answer, or the rest of one.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }
}
