//! The connection pool of each engine: its limits, its idle connections, and the effect of endpoint list
//! changes on them.

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

/// Fraction of the configured idle timeout within which an idle connection is reused, so that it is not
/// used at the moment its engine closes it.
const IDLE_SAFETY_FACTOR: f64 = 0.8;

/// Guard that counts a logged-in connection of an engine, and reports on drop how the connection ended.
pub(super) struct LiveConnection {
    pool: Weak<Pool>,
    engine: String,
    count: Rc<Cell<usize>>,
    /// Whether the connection ended unexpectedly.
    pub(super) broken: bool,
}

impl Drop for LiveConnection {
    fn drop(&mut self) {
        let open_connections = self.count.get().saturating_sub(1);
        self.count.set(open_connections);
        let observation = if self.broken {
            Observation::Broken { open_connections }
        } else {
            Observation::Closed { open_connections }
        };
        if let Some(pool) = self.pool.upgrade() {
            pool.report(&self.engine, observation);
        }
    }
}

/// The address of one engine and its connections.
#[derive(Default)]
struct EnginePool {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    /// Number of connections, idle or in use.
    open: usize,
    /// Number of connections held by sticky sessions.
    sticky: usize,
    /// Number of connections that are logged in.
    live: Rc<Cell<usize>>,
    /// The engine is no longer listed: this entry is removed together with its last connection.
    removed: bool,
}

impl EnginePool {
    /// Closes the idle connections for which `keep` returns false.
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
        // A connection cannot unset its schema: a session without a schema needs a connection that never
        // set one.
        let fits = |connection: &Connection| connection.context.can_enter(&key.context);
        let prepared = self
            .idle
            .iter()
            .rposition(|connection| fits(connection) && connection.statements.contains(key));
        let index = prepared.or_else(|| self.idle.iter().rposition(fits))?;
        Some(self.idle.swap_remove(index))
    }
}

/// The purpose for which a connection is checked out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// A single statement.
    Statement,
    /// A sticky session, which holds the connection across statements.
    StickySession,
}

/// Permit for one connection to an engine. Dropping the permit, however its task ends, stops counting the
/// connection, unless the connection was returned to the pool.
pub(super) struct ConnectionPermit<'a> {
    pool: &'a Pool,
    engine: &'a str,
    usage: ConnectionUse,
    /// The connection has been returned to the pool as idle.
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
    /// Returns the connection to the pool, if the engine still has the address of the connection.
    pub(super) fn return_to_pool(mut self, connection: Connection) {
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

/// A permit with the idle connection it applies to; if `idle` is `None`, the caller opens a connection.
pub(super) struct Checkout<'a> {
    pub(super) permit: ConnectionPermit<'a>,
    pub(super) idle: Option<Connection>,
}

/// Describes the connections that a change of the endpoint list has invalidated.
pub(super) struct Invalidated {
    /// Engines that were restarted or have moved: connections whose opening began before this time no
    /// longer reach the engine.
    replaced_at: HashMap<String, Millis>,
    /// Engine at each address.
    owners: HashMap<SocketAddr, String>,
}

impl Invalidated {
    /// Returns whether a connection of `engine`, whose opening began at `opened`, no longer reaches the
    /// engine.
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
    /// Number of processes that share the connection limit.
    processes: Cell<usize>,
    connector: Rc<Connector>,
    /// Receives the observations made on connections.
    observer: RefCell<Option<Rc<dyn ConnectionObserver>>>,
}

impl Pool {
    pub(super) fn new(connector: Rc<Connector>) -> Rc<Self> {
        Rc::new_cyclic(|weak| Pool {
            weak: weak.clone(),
            engines: RefCell::default(),
            processes: Cell::new(1),
            connector,
            observer: RefCell::default(),
        })
    }

    pub(super) fn set_processes(&self, processes: usize) {
        self.processes.set(processes.max(1));
    }

    pub(super) fn set_observer(&self, observer: Option<Rc<dyn ConnectionObserver>>) {
        *self.observer.borrow_mut() = observer;
    }

    /// Returns the number of engines that the pool has an entry for.
    pub(super) fn engine_count(&self) -> usize {
        self.engines.borrow().len()
    }

    pub(super) fn address(&self, engine: &str) -> Option<SocketAddr> {
        self.engines.borrow().get(engine)?.address
    }

    /// Returns the number of connections to the engine that are logged in.
    pub(super) fn live_count(&self, engine: &str) -> usize {
        self.engines
            .borrow()
            .get(engine)
            .map_or(0, |engine| engine.live.get())
    }

    pub(super) fn report(&self, engine: &str, observation: Observation) {
        if let Some(observer) = self.observer.borrow().as_ref() {
            observer.report(engine, observation);
        }
    }

    /// Reports a connection whose opening began at `opened`, and returns whether the engine has
    /// restarted since its previous connections.
    pub(super) fn report_opened(&self, engine: &str, opened: Millis) -> bool {
        let observer = self.observer.borrow().clone();
        observer.is_some_and(|observer| observer.opened(engine, opened))
    }

    /// Checks out an idle connection for a statement, or a permit to open one.
    ///
    /// # Errors
    /// Returns `Unreachable` if the engine is unknown, and `Rejected` if all its connections are in use.
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
        let limit = (self.connector.credentials.max_connections / self.processes.get()).max(1);
        // Sticky sessions may use three quarters of the connections: the rest is reserved for single
        // statements, which hold a connection only briefly.
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
                // An idle connection that does not fit the context is closed to make room for a new one.
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
    /// Returns the error of connecting or logging in, or a protocol error if the engine has no known address.
    pub(super) async fn connect(&self, engine: &str) -> Result<Connection, PacketError> {
        let address = self
            .address(engine)
            .ok_or(PacketError::Protocol("the engine has no known address"))?;
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

    /// Closes those idle connections of an engine that can't be reused: an engine whose process has
    /// ended loses all of its connections at once.
    pub(super) fn close_unusable(&self, engine: &str) {
        if let Some(engine) = self.engines.borrow_mut().get_mut(engine) {
            engine.retain_idle(Connection::is_reusable);
        }
    }

    /// Applies a change of the endpoint list, and returns which connections it invalidates.
    pub(super) fn apply(&self, change: &EndpointListChange) -> Invalidated {
        let mut engines = self.engines.borrow_mut();
        if change.update != ListUpdate::Patch {
            remove_unlisted(&mut engines, change);
        }
        let owners = owners(change);
        close_at_reassigned_addresses(&mut engines, &owners);
        let replaced_at = update_listed(&mut engines, change);
        // New engine ids keep arriving, so entries of removed engines are dropped to bound the map.
        engines.retain(|_, engine| !engine.removed || engine.open > 0);
        Invalidated {
            replaced_at,
            owners,
        }
    }
}

/// Marks the engines that a whole list does not name as removed, and closes their idle connections.
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

/// Returns the engine at each address, as the change lists it.
fn owners(change: &EndpointListChange) -> HashMap<SocketAddr, String> {
    change
        .engines
        .iter()
        .filter(|engine| engine.state != EngineState::Gone)
        .filter_map(|engine| Some((engine.address?, engine.id.clone())))
        .collect()
}

/// Closes idle connections to addresses that now belong to another engine, also if an earlier change has
/// already removed the previous engine.
fn close_at_reassigned_addresses(
    engines: &mut HashMap<String, EnginePool>,
    owners: &HashMap<SocketAddr, String>,
) {
    for (id, engine) in engines.iter_mut() {
        let is_reassigned =
            |address: &SocketAddr| owners.get(address).is_some_and(|owner| owner != id);
        engine.retain_idle(|connection| !is_reassigned(&connection.id.address));
        engine.address = engine.address.filter(|address| !is_reassigned(address));
    }
}

/// Updates the listed engines. Returns the engines that were restarted, with their start time, and those
/// that have moved to another address, with infinity.
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
