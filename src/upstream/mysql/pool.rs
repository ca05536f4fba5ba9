//! The pool of connections to each engine: its limits, its idle connections, and what the endpoint list makes of them.

use super::connection::Connection;
use super::login::Connector;
use super::prepared_statements::StatementKey;
use crate::clock::duration_from_millis;
use crate::decision::model::{EngineState, ListUpdate, Millis, Outcome};
use crate::discovery::EndpointListChange;
use crate::discovery::membership_driver::ConnectionObserver;
use crate::membership::Observation;
use crate::protocol::mysql::packet::PacketError;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// An idle connection is used within this part of the configured idle time, before its engine closes it.
const IDLE_SAFETY_FACTOR: f64 = 0.8;

/// Counts an engine's connections that are logged in, and reports how each ended.
pub(super) struct LiveConnection {
    pool: Weak<Pool>,
    engine: String,
    count: Rc<Cell<usize>>,
    /// It ended as it should not have.
    pub(super) broken: bool,
}

impl Drop for LiveConnection {
    fn drop(&mut self) {
        let left = self.count.get().saturating_sub(1);
        self.count.set(left);
        let observation = if self.broken {
            Observation::Broken {
                open_connections: left,
            }
        } else {
            Observation::Closed {
                open_connections: left,
            }
        };
        if let Some(pool) = self.pool.upgrade() {
            pool.report(&self.engine, observation);
        }
    }
}

/// What is known of one engine, and its connections.
#[derive(Default)]
struct EnginePool {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    /// Connections, idle or not.
    open: usize,
    /// Those of them that sticky sessions hold.
    sticky: usize,
    /// Those of them that are logged in.
    live: Rc<Cell<usize>>,
    /// The engine is not listed any more: the entry is removed with its last connection.
    removed: bool,
}

impl EnginePool {
    /// Closes the idle connections that are not to be kept.
    fn retain_idle(&mut self, keep: impl FnMut(&mut Connection) -> bool) {
        let before = self.idle.len();
        self.idle.retain_mut(keep);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }

    fn close_idle(&mut self) {
        self.retain_idle(|_| false);
    }

    /// Takes an idle connection that can enter the context, preferably one that has prepared the statement.
    fn take_idle(&mut self, key: &StatementKey) -> Option<Connection> {
        let (context, _) = key;
        // A connection cannot leave all schemas again: a session without one needs a fresh connection.
        let fits = |connection: &Connection| connection.can_enter(context);
        let prepared = self
            .idle
            .iter()
            .rposition(|connection| fits(connection) && connection.statements.contains(key));
        let index = prepared.or_else(|| self.idle.iter().rposition(fits))?;
        Some(self.idle.swap_remove(index))
    }
}

/// What a connection is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// One statement.
    Statement,
    /// A session that holds it for a while.
    StickySession,
}

/// Counts one of an engine's connections until it is dropped, however its task ends.
pub(super) struct ConnectionPermit<'a> {
    pool: &'a Pool,
    engine: &'a str,
    usage: ConnectionUse,
    /// The connection is idle in the pool again.
    returned: bool,
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        let mut engines = self.pool.engines.borrow_mut();
        let Some(engine) = engines.get_mut(self.engine) else {
            return;
        };
        if self.usage == ConnectionUse::StickySession {
            engine.sticky = engine.sticky.saturating_sub(1);
        }
        if !self.returned {
            engine.open = engine.open.saturating_sub(1);
            if engine.removed && engine.open == 0 {
                engines.remove(self.engine);
            }
        }
    }
}

impl ConnectionPermit<'_> {
    /// Returns the connection to the pool, if its engine is still at its address.
    pub(super) fn give_back(mut self, connection: Connection) {
        let mut engines = self.pool.engines.borrow_mut();
        if let Some(engine) = engines
            .get_mut(self.engine)
            .filter(|engine| engine.address == Some(connection.id.address))
        {
            engine.idle.push(connection);
            self.returned = true;
        }
    }
}

/// A permit, and the idle connection that it is for; without one a connection is to be opened.
pub(super) struct Checkout<'a> {
    pub(super) permit: ConnectionPermit<'a>,
    pub(super) idle: Option<Connection>,
}

/// Engines whose connections a change of the endpoint list has invalidated.
pub(super) struct Invalidated {
    /// Engines that were restarted or have moved: connections begun before this time lead nowhere.
    replaced_at: HashMap<String, Millis>,
    /// The engine at each address.
    owners: HashMap<SocketAddr, String>,
}

impl Invalidated {
    /// Whether a connection of this engine, begun at `opened`, leads to the engine no more.
    pub(super) fn includes(
        &self,
        engine: &str,
        opened: Millis,
        address: Option<SocketAddr>,
    ) -> bool {
        let is_replaced = self
            .replaced_at
            .get(engine)
            .is_some_and(|replaced_at| opened < *replaced_at);
        let has_other_owner = address
            .and_then(|address| self.owners.get(&address))
            .is_some_and(|owner| engine != owner);
        is_replaced || has_other_owner
    }
}

/// The connections to all engines.
pub(super) struct Pool {
    weak: Weak<Pool>,
    engines: RefCell<HashMap<String, EnginePool>>,
    /// Processes that share the limit of connections.
    processes: Cell<usize>,
    connector: Rc<Connector>,
    /// Who is told what connections show.
    witness: RefCell<Option<Rc<dyn ConnectionObserver>>>,
}

impl Pool {
    pub(super) fn new(connector: Rc<Connector>) -> Rc<Self> {
        Rc::new_cyclic(|weak| Pool {
            weak: weak.clone(),
            engines: RefCell::default(),
            processes: Cell::new(1),
            connector,
            witness: RefCell::default(),
        })
    }

    pub(super) fn set_processes(&self, processes: usize) {
        self.processes.set(processes.max(1));
    }

    pub(super) fn set_witness(&self, witness: Option<Rc<dyn ConnectionObserver>>) {
        *self.witness.borrow_mut() = witness;
    }

    /// Engines that the pool has an entry for.
    pub(super) fn engine_count(&self) -> usize {
        self.engines.borrow().len()
    }

    pub(super) fn address(&self, engine: &str) -> Option<SocketAddr> {
        self.engines.borrow().get(engine)?.address
    }

    /// An engine's connections that are logged in.
    pub(super) fn live_count(&self, engine: &str) -> usize {
        self.engines
            .borrow()
            .get(engine)
            .map_or(0, |engine| engine.live.get())
    }

    pub(super) fn report(&self, engine: &str, observation: Observation) {
        if let Some(witness) = self.witness.borrow().as_ref() {
            witness.report(engine, observation);
        }
    }

    /// Reports a connection begun at `opened`; true if the engine has restarted since its last connections.
    pub(super) fn report_opened(&self, engine: &str, opened: Millis) -> bool {
        let witness = self.witness.borrow().clone();
        witness.is_some_and(|witness| witness.opened(engine, opened))
    }

    /// Takes an idle connection for a statement, or the permit to open one.
    ///
    /// # Errors
    /// The engine is unknown, or all its connections are in use.
    pub(super) fn checkout<'a>(
        &'a self,
        engine_id: &'a str,
        key: &StatementKey,
        usage: ConnectionUse,
    ) -> Result<Checkout<'a>, Outcome> {
        let mut engines = self.engines.borrow_mut();
        let engine = engines.get_mut(engine_id).ok_or(Outcome::Unreachable)?;
        let idle_limit =
            duration_from_millis(self.connector.sockets.idle_timeout * IDLE_SAFETY_FACTOR);
        let limit = (self.connector.access.max_connections / self.processes.get()).max(1);
        // Sticky sessions leave some connections to statements that need none for long.
        let sticky_limit = (limit - limit / 4).max(1);
        if usage == ConnectionUse::StickySession && engine.sticky >= sticky_limit {
            return Err(Outcome::Rejected);
        }
        engine.retain_idle(|connection| {
            connection.last_used.elapsed() < idle_limit && connection.is_reusable()
        });
        let idle = engine.take_idle(key);
        if idle.is_none() {
            if engine.open >= limit {
                // One that does not fit is closed for one that does.
                if engine.idle.pop().is_none() {
                    return Err(Outcome::Rejected);
                }
                engine.open -= 1;
            }
            engine.open += 1;
        }
        if usage == ConnectionUse::StickySession {
            engine.sticky += 1;
        }
        let permit = ConnectionPermit {
            pool: self,
            engine: engine_id,
            usage,
            returned: false,
        };
        Ok(Checkout { permit, idle })
    }

    /// Opens a connection to the engine.
    ///
    /// # Errors
    /// Those of connecting and logging in, or the engine has no address.
    pub(super) async fn connect(&self, engine: &str) -> Result<Connection, PacketError> {
        let address = self
            .address(engine)
            .ok_or(PacketError::Protocol("it has no address"))?;
        let mut connection = self.connector.open(address).await?;
        let count = self
            .engines
            .borrow()
            .get(engine)
            .map(|engine| engine.live.clone())
            .unwrap_or_default();
        count.set(count.get() + 1);
        connection.live = Some(LiveConnection {
            pool: self.weak.clone(),
            engine: engine.to_string(),
            count,
            broken: false,
        });
        Ok(connection)
    }

    /// Closes the idle connections of an engine that can't be used again: one that has ended takes all along.
    pub(super) fn close_unusable(&self, engine: &str) {
        if let Some(engine) = self.engines.borrow_mut().get_mut(engine) {
            engine.retain_idle(Connection::is_reusable);
        }
    }

    /// Applies a change of the endpoint list.
    pub(super) fn apply(&self, change: &EndpointListChange) -> Invalidated {
        let mut engines = self.engines.borrow_mut();
        if change.update != ListUpdate::Patch {
            remove_unlisted(&mut engines, change);
        }
        let owners = owners(change);
        close_at_foreign_addresses(&mut engines, &owners);
        let replaced_at = update_listed(&mut engines, change);
        // New ids keep coming: nothing is kept of engines that were removed.
        engines.retain(|_, engine| !engine.removed || engine.open > 0);
        Invalidated {
            replaced_at,
            owners,
        }
    }
}

fn remove_unlisted(engines: &mut HashMap<String, EnginePool>, change: &EndpointListChange) {
    let listed: HashSet<&str> = change
        .engines
        .iter()
        .map(|engine| engine.id.as_str())
        .collect();
    let unlisted = engines
        .iter_mut()
        .filter(|(id, _)| !listed.contains(id.as_str()));
    for (_, engine) in unlisted {
        engine.address = None;
        engine.removed = true;
        engine.close_idle();
    }
}

/// The engine at each address, by the change.
fn owners(change: &EndpointListChange) -> HashMap<SocketAddr, String> {
    change
        .engines
        .iter()
        .filter(|engine| engine.state != EngineState::Gone)
        .filter_map(|engine| Some((engine.address?, engine.id.clone())))
        .collect()
}

/// What is open at an address that now belongs to another engine leads nowhere, also if the list has removed the old
/// engine before.
fn close_at_foreign_addresses(
    engines: &mut HashMap<String, EnginePool>,
    owners: &HashMap<SocketAddr, String>,
) {
    for (id, engine) in engines.iter_mut() {
        let is_foreign =
            |address: &SocketAddr| owners.get(address).is_some_and(|owner| owner != id);
        engine.retain_idle(|connection| !is_foreign(&connection.id.address));
        engine.address = engine.address.filter(|address| !is_foreign(address));
    }
}

/// Updates the listed engines; returns those that were restarted or have moved, with the time of it.
fn update_listed(
    engines: &mut HashMap<String, EnginePool>,
    change: &EndpointListChange,
) -> HashMap<String, Millis> {
    let mut replaced_at: HashMap<String, Millis> = HashMap::new();
    for listed in &change.engines {
        let is_gone = listed.state == EngineState::Gone;
        let engine = engines.entry(listed.id.clone()).or_default();
        engine.removed = is_gone;
        let both_addressed = engine.address.is_some() && listed.address.is_some();
        if both_addressed && engine.address != listed.address {
            engine.close_idle();
            replaced_at.insert(listed.id.clone(), f64::INFINITY);
        }
        if let Some(started) = listed.started {
            engine.retain_idle(|connection| connection.opened >= started);
            replaced_at.entry(listed.id.clone()).or_insert(started);
        }
        engine.address = match is_gone {
            true => None,
            false => listed.address.or(engine.address),
        };
        if listed.state != EngineState::Ready {
            engine.close_idle();
        }
    }
    replaced_at
}
