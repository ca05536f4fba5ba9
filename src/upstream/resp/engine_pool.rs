//! The connections to each engine, and their share of the process's descriptors.

use crate::clock::process_clock_millis;
use crate::config::SocketSettings;
use crate::core::AttemptId;
use crate::decision::model::{EngineState, ListUpdate};
use crate::discovery::{DiscoveredEngine, EndpointListChange};
use crate::dispatch::RequestRouter;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::descriptors::DescriptorBudget;
use crate::upstream::resp::RespUpstream;
use crate::upstream::resp::connection::Connection;
use crate::upstream::resp::connection_task::ConnectionTask;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

/// Connections to one engine at most.
const MAX_CONNECTIONS_PER_ENGINE: usize = 8;
/// The same where processes share the limit.
const MIN_CONNECTIONS_PER_ENGINE: usize = 2;
/// Commands on their way to one connection.
const MAX_QUEUED_COMMANDS: usize = 1024;

/// One engine: where it is, and the connections to it.
#[derive(Default)]
pub(super) struct EngineSlot {
    pub(super) address: Option<SocketAddr>,
    /// The address that it has, or had when it was gone.
    last_address: Option<SocketAddr>,
    pub(super) connections: Vec<Rc<Connection>>,
}

/// The engine that was given each address last. It stays until its slot is removed: the list may name the owner of an
/// address gone before it names the next, and connections to the former may be left.
#[derive(Default)]
struct AddressOwners(HashMap<SocketAddr, String>);

impl AddressOwners {
    /// The address is this engine's from now on; returns the engine that had it before.
    fn assign(&mut self, address: SocketAddr, engine: &str) -> Option<String> {
        if self.0.get(&address).is_some_and(|owner| owner == engine) {
            return None;
        }
        self.0.insert(address, engine.to_string())
    }

    /// The engine has no connection there any more, and may not be found there.
    fn release(&mut self, address: Option<SocketAddr>, engine: &str) {
        let Some(address) = address else {
            return;
        };
        if self.0.get(&address).is_some_and(|owner| owner == engine) {
            self.0.remove(&address);
        }
    }
}

/// The connections to all engines.
pub(super) struct EnginePool {
    pub(super) engines: RefCell<HashMap<String, EngineSlot>>,
    address_owners: RefCell<AddressOwners>,
    /// Where each attempt is: its connection and its id there.
    pub(super) attempts: RefCell<HashMap<AttemptId, (Rc<Connection>, String)>>,
    pub(super) sockets: SocketSettings,
    pub(super) report_fields: Vec<String>,
    pub(super) pool: BufferPool,
    pub(super) next_number: Cell<u64>,
    /// Connections to one engine at most.
    pub(super) max_connections_per_engine: Cell<usize>,
    /// Connections to all engines at most.
    pub(super) max_connections: Cell<usize>,
    /// The descriptor limit that this is a part of.
    pub(super) descriptors: Cell<usize>,
    /// Processes of this dispatcher that share the limits.
    pub(super) processes: Cell<usize>,
    /// Connections that hold a descriptor.
    pub(super) open_connections: Cell<usize>,
    /// Connections that wait for one.
    pub(super) waiting_connections: Cell<usize>,
    /// Notified when a descriptor is freed.
    pub(super) freed: Notify,
}

/// A descriptor for a connection to an engine.
pub(super) struct DescriptorGuard<'a>(&'a EnginePool);

impl Drop for DescriptorGuard<'_> {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
        self.0.freed.notify_one();
    }
}

/// Counts a connection while it waits for a descriptor.
struct WaitingGuard<'a>(&'a Cell<usize>);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl EnginePool {
    /// A pool without connections, bounded by nothing but the connections to one engine.
    pub(super) fn new(
        sockets: SocketSettings,
        report_fields: Vec<String>,
        pool: BufferPool,
    ) -> Self {
        EnginePool {
            engines: RefCell::default(),
            address_owners: RefCell::default(),
            attempts: RefCell::default(),
            sockets,
            report_fields,
            pool,
            next_number: Cell::new(0),
            max_connections_per_engine: Cell::new(MAX_CONNECTIONS_PER_ENGINE),
            max_connections: Cell::new(usize::MAX),
            descriptors: Cell::new(usize::MAX),
            processes: Cell::new(1),
            open_connections: Cell::new(0),
            waiting_connections: Cell::new(0),
            freed: Notify::new(),
        }
    }

    /// Sets the descriptor limit of the process, of which connections to engines have their share.
    pub(super) fn set_descriptors(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
        let budget = DescriptorBudget::per_process(descriptors, self.processes.get());
        self.max_connections.set(budget.engines);
        // Connections beyond a lower limit are closed as far as they are idle.
        for _ in budget.engines..self.open_connections.get() {
            self.close_idle_one();
        }
        self.freed.notify_one();
    }

    /// Sets how many processes share the limits.
    pub(super) fn set_process_count(&self, processes: usize) {
        let per_engine = (MAX_CONNECTIONS_PER_ENGINE / processes).max(MIN_CONNECTIONS_PER_ENGINE);
        self.max_connections_per_engine.set(per_engine);
        self.processes.set(processes);
        self.set_descriptors(self.descriptors.get());
    }

    /// A connection to the engine for an attempt of this id, or a new one. An attempt that must be alone gets a
    /// connection to itself while there may be more.
    pub(super) fn connection(
        self: &Rc<Self>,
        router: &Rc<RequestRouter<RespUpstream>>,
        engine: &str,
        txn: &str,
        alone: bool,
    ) -> Option<Rc<Connection>> {
        let mut engines = self.engines.borrow_mut();
        let slot = engines.get(engine)?;
        let address = slot.address?;
        let now = process_clock_millis();
        // Established ones go first: another may be established late, or never.
        let accepting = [true, false].into_iter().flat_map(|established| {
            slot.connections.iter().filter(move |connection| {
                connection.is_established.get() == established
                    && connection.accepts(txn, now, &self.sockets)
            })
        });
        let free = accepting
            .clone()
            .find(|connection| connection.is_free(alone));
        if let Some(connection) = free {
            return Some(connection.clone());
        }
        // A further one only if a descriptor is left for each engine that has none.
        let open = slot.connections.len();
        if open >= self.max_connections_per_engine.get()
            || open > 0 && self.is_short_of_descriptors(&engines)
        {
            return accepting.clone().next().cloned();
        }
        let connection = self.open(router, engine, address);
        engines
            .get_mut(engine)?
            .connections
            .push(connection.clone());
        Some(connection)
    }

    /// Starts a connection's task.
    fn open(
        self: &Rc<Self>,
        router: &Rc<RequestRouter<RespUpstream>>,
        engine: &str,
        address: SocketAddr,
    ) -> Rc<Connection> {
        let (commands, inbox) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(Connection::new(number, address, commands));
        let task = ConnectionTask {
            pool: self.clone(),
            router: Rc::downgrade(router),
            engine: engine.to_string(),
            connection: connection.clone(),
        };
        spawn_local(task.run(inbox));
        connection
    }

    /// Follows the endpoint list. An address may pass to another engine, or an engine restart under its id: connections
    /// from before lead to nobody. A change costs no more than the engines that it names, for thousands may come one by one.
    pub(super) fn update_endpoints(&self, change: &EndpointListChange) {
        let mut engines = self.engines.borrow_mut();
        if change.update != ListUpdate::Patch {
            self.unlist_missing(&mut engines, change);
        }
        for endpoint in &change.engines {
            if let Some(address) = endpoint.address
                && endpoint.state != EngineState::Gone
            {
                self.assign_address(&mut engines, address, &endpoint.id);
            }
            engines
                .entry(endpoint.id.clone())
                .or_default()
                .update(endpoint);
            self.remove_if_unused(&mut engines, &endpoint.id);
        }
    }

    /// Engines that a whole list does not name have no address any more.
    fn unlist_missing(
        &self,
        engines: &mut HashMap<String, EngineSlot>,
        change: &EndpointListChange,
    ) {
        let listed: HashSet<&str> = change.engines.iter().map(|e| e.id.as_str()).collect();
        let mut owners = self.address_owners.borrow_mut();
        engines.retain(|id, slot| {
            if listed.contains(id.as_str()) {
                return true;
            }
            slot.address = None;
            if slot.connections.is_empty() {
                owners.release(slot.last_address, id);
            }
            !slot.connections.is_empty()
        });
    }

    /// The address is this engine's from now on: closes the connections of the engine that had it before.
    fn assign_address(
        &self,
        engines: &mut HashMap<String, EngineSlot>,
        address: SocketAddr,
        engine: &str,
    ) {
        let mut owners = self.address_owners.borrow_mut();
        let slot = engines.entry(engine.to_string()).or_default();
        if slot.last_address != Some(address) {
            owners.release(slot.last_address, engine);
            slot.last_address = Some(address);
        }
        let former = owners.assign(address, engine);
        let Some(slot) = former.and_then(|former| engines.get_mut(&former)) else {
            return;
        };
        for connection in &slot.connections {
            if connection.address == address {
                connection.close();
            }
        }
        slot.address = slot.address.filter(|other| *other != address);
    }

    /// Removes the slot of an engine that is gone once it has no connection.
    fn remove_if_unused(&self, engines: &mut HashMap<String, EngineSlot>, engine: &str) {
        let is_used = |slot: &EngineSlot| slot.address.is_some() || !slot.connections.is_empty();
        if engines.get(engine).is_none_or(is_used) {
            return;
        }
        if let Some(slot) = engines.remove(engine) {
            self.address_owners
                .borrow_mut()
                .release(slot.last_address, engine);
        }
    }

    /// A connection has ended.
    pub(super) fn remove_connection(&self, engine: &str, connection: &Connection) {
        let mut engines = self.engines.borrow_mut();
        if let Some(slot) = engines.get_mut(engine) {
            slot.connections
                .retain(|other| other.number != connection.number);
        }
        self.remove_if_unused(&mut engines, engine);
    }

    /// Whether all descriptors are in use, or reserved for engines without a connection.
    pub(super) fn is_short_of_descriptors(&self, engines: &HashMap<String, EngineSlot>) -> bool {
        let mut open = 0;
        let mut unconnected = 0;
        for slot in engines.values() {
            open += slot.connections.len();
            unconnected += usize::from(slot.connections.is_empty() && slot.address.is_some());
        }
        open + unconnected >= self.max_connections.get()
    }

    /// Closes the connection that has been idle for longest, if any is.
    pub(super) fn close_idle_one(&self) {
        let engines = self.engines.borrow();
        let connections = engines.values().flat_map(|s| &s.connections);
        let idle = connections.filter(|connection| {
            !connection.closing.get() && connection.pending.borrow().is_empty()
        });
        idle.min_by(|a, b| a.last_activity.get().total_cmp(&b.last_activity.get()))
            .inspect(|connection| connection.close());
    }

    /// A descriptor, once there is one: an idle connection is closed for it, now or as soon as one is idle.
    pub(super) async fn acquire_descriptor(&self) -> DescriptorGuard<'_> {
        self.waiting_connections
            .set(self.waiting_connections.get() + 1);
        let _waiting = WaitingGuard(&self.waiting_connections);
        if self.open_connections.get() >= self.max_connections.get() {
            self.close_idle_one();
        }
        while self.open_connections.get() >= self.max_connections.get() {
            self.freed.notified().await;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        if self.open_connections.get() < self.max_connections.get() {
            self.freed.notify_one();
        }
        DescriptorGuard(self)
    }
}

impl EngineSlot {
    /// Follows the endpoint list.
    fn update(&mut self, endpoint: &DiscoveredEngine) {
        for connection in &self.connections {
            let moved = endpoint
                .address
                .is_some_and(|address| address != connection.address);
            let restarted = endpoint
                .started
                .is_some_and(|started| connection.opened < started);
            if moved || restarted {
                connection.close();
            } else if endpoint.state == EngineState::Gone {
                // What it still replies counts; a process that has ended resets its connections itself.
                connection.closing.set(true);
                if connection.pending.borrow().is_empty() {
                    connection.close();
                }
            }
        }
        self.address = match endpoint.state {
            EngineState::Gone => None,
            _ => endpoint.address.or(self.address),
        };
    }
}
