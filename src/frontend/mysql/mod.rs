//! The MySQL frontend, which serves client sessions. The frontend keeps the state of a session (schema and
//! settings, prepared statements, long data), so that each statement can run on any engine. State that only
//! an engine connection can hold makes the session sticky for as long as that state exists.

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
mod statement_effect;
mod sticky;
mod stored_results;
mod text_result;

use crate::config::MysqlFrontendConfig;
use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::protocol::mysql::sql_mode::LexicalModes;
use crate::spool_io::Spools;
use crate::sticky_sessions::StickySessionTable;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection_limiter::{Activity, ConnectionLimiter};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::memory_budget::MemoryBudget;
use crate::transport::tls::TlsKeys;
use crate::upstream::mysql::MysqlUpstream;
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::work::{Output, Work};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time limit for sending an answer: a client that has not read it by then is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// An upstream that executes MySQL statements.
pub trait StatementUpstream: Upstream<Work = Work, Output = Output> {
    /// Returns the modes in which engines may read the statements of a session that has not set `sql_mode`.
    fn default_lexical_modes(&self) -> LexicalModes;
}

impl StatementUpstream for MysqlUpstream {
    fn default_lexical_modes(&self) -> LexicalModes {
        MysqlUpstream::default_lexical_modes(self)
    }
}

/// Accepts MySQL clients and serves their sessions.
pub struct Frontend<U: StatementUpstream> {
    router: Rc<RequestRouter<U>>,
    buffers: BufferPool,
    /// Replaced as a whole on a reload; sessions read the current configuration at each step.
    config: RefCell<Rc<MysqlFrontendConfig>>,
    spools: Rc<Spools>,
    limiter: Rc<ConnectionLimiter>,
    /// Maximum number of file descriptors that the processes of this dispatcher may hold together.
    descriptor_limit: Cell<usize>,
    /// Number of processes of this dispatcher that share the limits.
    process_count: Cell<usize>,
    /// Number of clients beyond the limit to which an error is being sent.
    rejections: Cell<usize>,
    next_session_number: Cell<u32>,
    /// Keys for clients that request TLS; `None` if TLS is not offered.
    tls_keys: RefCell<Option<Rc<TlsKeys>>>,
    /// Number of sessions that hold an engine connection, in total and by tenant.
    sticky_sessions: RefCell<StickySessionTable>,
    /// Open sessions by session number.
    sessions: RefCell<BTreeMap<u32, SessionEntry>>,
    /// Memory of clients' packets, until their commands have ended.
    packet_memory: MemoryBudget,
    /// Memory of clients' prepared statements and their long data.
    statement_memory: MemoryBudget,
    stopping: tokio::sync::watch::Sender<bool>,
    /// Whether another process accepts this dispatcher's clients.
    handed_over: Cell<bool>,
    /// Number of commands that are being answered and of shutdown errors that are being sent.
    pending_answers: Cell<usize>,
}

/// The data of an open session that KILL QUERY from another session needs.
struct SessionEntry {
    user: String,
    downstream: Rc<Downstream>,
}

/// Maximum memory of all clients' packets, until their commands have ended, in bytes.
const PACKET_MEMORY_BYTES: usize = 32 << 20;
/// Maximum memory of all clients' prepared statements, in bytes.
const STATEMENT_MEMORY_BYTES: usize = 32 << 20;

/// Counts a pending answer to a client until it is dropped.
struct PendingAnswerGuard<'a>(&'a Cell<usize>);

impl<'a> PendingAnswerGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        PendingAnswerGuard(count)
    }
}

impl Drop for PendingAnswerGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<U: StatementUpstream> Frontend<U> {
    /// Creates a frontend whose requests go through `router`.
    pub fn new(
        router: Rc<RequestRouter<U>>,
        pool: BufferPool,
        config: MysqlFrontendConfig,
        spools: Rc<Spools>,
    ) -> Rc<Self> {
        let (stopping, _) = tokio::sync::watch::channel(false);
        // Sessions that have logged in are not evicted while idle: they would lose their prepared statements.
        let limiter = ConnectionLimiter::new(config.max_clients, Activity::NoRequest);
        Rc::new(Frontend {
            router,
            buffers: pool,
            config: RefCell::new(Rc::new(config)),
            spools,
            limiter,
            descriptor_limit: Cell::new(usize::MAX),
            process_count: Cell::new(1),
            rejections: Cell::new(0),
            next_session_number: Cell::new(1),
            tls_keys: RefCell::default(),
            sticky_sessions: RefCell::default(),
            sessions: RefCell::default(),
            packet_memory: MemoryBudget::new(PACKET_MEMORY_BYTES),
            statement_memory: MemoryBudget::new(STATEMENT_MEMORY_BYTES),
            stopping,
            handed_over: Cell::new(false),
            pending_answers: Cell::new(0),
        })
    }

    fn config(&self) -> Rc<MysqlFrontendConfig> {
        self.config.borrow().clone()
    }

    /// Applies a new configuration. Open sessions continue under its limits.
    pub fn configure(&self, config: MysqlFrontendConfig) {
        *self.config.borrow_mut() = Rc::new(config);
        self.apply_client_limit();
    }

    /// Offers TLS to clients that connect from now on.
    pub fn enable_tls(&self, keys: Rc<TlsKeys>) {
        *self.tls_keys.borrow_mut() = Some(keys);
    }

    /// Sets the number of processes of this dispatcher that share the limit of clients.
    pub fn set_process_count(&self, processes: u32) {
        self.process_count.set(processes.max(1) as usize);
        let processes = self.process_count.get();
        self.packet_memory
            .set_limit(PACKET_MEMORY_BYTES / processes);
        self.statement_memory
            .set_limit(STATEMENT_MEMORY_BYTES / processes);
        self.apply_client_limit();
    }

    fn apply_client_limit(&self) {
        let configured = self.config().max_clients / self.process_count.get();
        let limit = configured.min(self.descriptor_budget().clients).max(1);
        self.limiter.set_limit(limit);
    }

    fn descriptor_budget(&self) -> DescriptorBudget {
        DescriptorBudget::per_process(self.descriptor_limit.get(), self.process_count.get())
    }

    /// Sets the number of file descriptors that the processes of this dispatcher may hold together. Fewer
    /// clients than configured are admitted if the other uses of descriptors would otherwise run short.
    pub fn set_descriptor_limit(&self, descriptors: usize) {
        self.descriptor_limit.set(descriptors);
        let max_clients = self.config().max_clients;
        let clients = self.descriptor_budget().clients;
        if clients < max_clients {
            log_line!(
                "max_clients is {max_clients}, but {descriptors} file descriptors suffice \
                 for {clients} clients; admitting at most {clients}"
            );
        }
        self.apply_client_limit();
    }

    /// Begins the graceful shutdown: idle sessions end now, the others after their pending answer. With
    /// `handed_over`, another process holds the listening socket and accepts clients.
    pub fn announce_shutdown(&self, handed_over: bool) {
        self.handed_over.set(handed_over);
        self.stopping.send_replace(true);
    }

    /// Returns the number of answers to clients that are not completely sent.
    pub fn pending_answers(&self) -> usize {
        self.pending_answers.get()
    }
}
