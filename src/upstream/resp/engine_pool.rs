//! The connections to each engine, and their share of the file descriptors of the process.

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

/// Maximum number of connections to one engine.
const MAX_CONNECTIONS_PER_ENGINE: usize = 8;
/// Lower bound for that maximum when several processes share it.
const MIN_CONNECTIONS_PER_ENGINE: usize = 2;
/// Maximum number of commands queued for one connection.
const MAX_QUEUED_COMMANDS: usize = 1024;

/// One engine: its address and the connections to it.
#[derive(Default)]
pub(super) struct EngineSlot {
    pub(super) address: Option<SocketAddr>,
    /// Address that the engine has, or had before it was removed.
    last_address: Option<SocketAddr>,
    pub(super) connections: Vec<Rc<Connection>>,
}

/// The engine that each address was last assigned to. An entry is kept until the slot of its engine is
/// removed: the endpoint list may report the owner of an address as gone before it names the next one,
/// and connections to the former owner may remain.
#[derive(Default)]
struct AddressOwners(HashMap<SocketAddr, String>);

impl AddressOwners {
    /// Assigns the address to the engine, and returns the engine that had it before.
    fn assign(&mut self, address: SocketAddr, engine: &str) -> Option<String> {
        if self.0.get(&address).is_some_and(|owner| owner == engine) {
            return None;
        }
        self.0.insert(address, engine.to_string())
    }

    /// Removes the assignment of the address, if it is still this engine's.
    fn release(&mut self, address: Option<SocketAddr>, engine: &str) {
        let Some(address) = address else {
            return;
        };
        if self.0.get(&address).is_some_and(|owner| owner == engine) {
            self.0.remove(&address);
        }
    }
}

/// The connections to all engines, and the limits on their number.
pub(super) struct ConnectionPool {
    pub(super) engines: RefCell<HashMap<String, EngineSlot>>,
    address_owners: RefCell<AddressOwners>,
    /// Connection of each attempt, and the id of the attempt on that connection.
    pub(super) attempts: RefCell<HashMap<AttemptId, (Rc<Connection>, String)>>,
    pub(super) sockets: SocketSettings,
    pub(super) report_fields: Vec<String>,
    pub(super) buffers: BufferPool,
    pub(super) next_number: Cell<u64>,
    /// Maximum number of connections to one engine.
    pub(super) max_connections_per_engine: Cell<usize>,
    /// Maximum number of connections to all engines.
    pub(super) max_connections: Cell<usize>,
    /// File descriptor limit that `max_connections` is derived from.
    pub(super) descriptor_limit: Cell<usize>,
    /// Number of processes of this dispatcher that share the limits.
    pub(super) processes: Cell<usize>,
    /// Number of connections that hold a descriptor.
    pub(super) open_connections: Cell<usize>,
    /// Number of connections that wait for a descriptor.
    pub(super) waiting_connections: Cell<usize>,
    /// Notified when a descriptor is freed.
    pub(super) descriptor_freed: Notify,
}

/// Guard that holds a file descriptor for a connection to an engine.
pub(super) struct DescriptorGuard<'a>(&'a ConnectionPool);

impl Drop for DescriptorGuard<'_> {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
        self.0.descriptor_freed.notify_one();
    }
}

/// Guard that counts a connection while it waits for a file descriptor.
struct WaitingGuard<'a>(&'a Cell<usize>);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionPool {
    /// Creates a pool without connections, limited only in the number of connections to one engine.
    pub(super) fn new(
        sockets: SocketSettings,
        report_fields: Vec<String>,
        buffers: BufferPool,
    ) -> Self {
        ConnectionPool {
            engines: RefCell::default(),
            address_owners: RefCell::default(),
            attempts: RefCell::default(),
            sockets,
            report_fields,
            buffers,
            next_number: Cell::new(0),
            max_connections_per_engine: Cell::new(MAX_CONNECTIONS_PER_ENGINE),
            max_connections: Cell::new(usize::MAX),
            descriptor_limit: Cell::new(usize::MAX),
            processes: Cell::new(1),
            open_connections: Cell::new(0),
            waiting_connections: Cell::new(0),
            descriptor_freed: Notify::new(),
        }
    }

    /// Sets the file descriptor limit of the process, a share of which is for connections to engines.
    pub(super) fn set_descriptor_limit(&self, descriptors: usize) {
        self.descriptor_limit.set(descriptors);
        let budget = DescriptorBudget::per_process(descriptors, self.processes.get());
        self.max_connections.set(budget.engines);
        // If the limit was lowered, idle connections beyond it are closed.
        for _ in budget.engines..self.open_connections.get() {
            self.close_idle_one();
        }
        self.descriptor_freed.notify_one();
    }

    /// Sets how many processes share the limits.
    pub(super) fn set_process_count(&self, processes: usize) {
        let per_engine = (MAX_CONNECTIONS_PER_ENGINE / processes).max(MIN_CONNECTIONS_PER_ENGINE);
        self.max_connections_per_engine.set(per_engine);
        self.processes.set(processes);
        self.set_descriptor_limit(self.descriptor_limit.get());
    }

    /// Returns a connection to the engine on which an attempt with this id can be sent, and opens one if
    /// necessary. An attempt that needs an exclusive connection gets one as long as a further connection
    /// may be opened. Returns `None` if the engine has no address, or if no connection accepts the
    /// attempt and none may be opened.
    pub(super) fn connection_for_attempt(
        self: &Rc<Self>,
        router: &Rc<RequestRouter<RespUpstream>>,
        engine: &str,
        txn: &str,
        exclusive: bool,
    ) -> Option<Rc<Connection>> {
        let mut engines = self.engines.borrow_mut();
        let slot = engines.get(engine)?;
        let address = slot.address?;
        let now = process_clock_millis();
        // Established connections are preferred: another one may be established late, or never.
        let accepting = [true, false].into_iter().flat_map(|established| {
            slot.connections.iter().filter(move |connection| {
                connection.is_established.get() == established
                    && connection.accepts(txn, now, &self.sockets)
            })
        });
        let free = accepting
            .clone()
            .find(|connection| connection.is_available(exclusive));
        if let Some(connection) = free {
            return Some(connection.clone());
        }
        // A further connection is opened only if a descriptor remains for each engine without a connection.
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

    /// Creates a connection and starts its task.
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

    /// Applies a change of the endpoint list. An address may be reassigned to another engine, or an
    /// engine may restart under the same id: earlier connections then no longer reach the engine. The
    /// cost of a patch is proportional to the number of engines that it names, because thousands of
    /// changes may arrive one by one.
    pub(super) fn update_endpoints(&self, change: &EndpointListChange) {
        let mut engines = self.engines.borrow_mut();
        if change.update != ListUpdate::Patch {
            self.remove_unlisted(&mut engines, change);
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

    /// Clears the address of the engines that a whole list does not name, and removes the slots without
    /// connections.
    fn remove_unlisted(
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

    /// Assigns the address to the engine, and closes the connections to it of the engine that had it before.
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

    /// Removes the slot of an engine that has neither an address nor a connection.
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

    /// Removes a connection that has ended.
    pub(super) fn remove_connection(&self, engine: &str, connection: &Connection) {
        let mut engines = self.engines.borrow_mut();
        if let Some(slot) = engines.get_mut(engine) {
            slot.connections
                .retain(|other| other.number != connection.number);
        }
        self.remove_if_unused(&mut engines, engine);
    }

    /// Returns whether all descriptors are in use or reserved for engines without a connection.
    pub(super) fn is_short_of_descriptors(&self, engines: &HashMap<String, EngineSlot>) -> bool {
        let mut open = 0;
        let mut unconnected = 0;
        for slot in engines.values() {
            open += slot.connections.len();
            unconnected += usize::from(slot.connections.is_empty() && slot.address.is_some());
        }
        open + unconnected >= self.max_connections.get()
    }

    /// Closes the connection that has been idle for longest, if any connection is idle.
    pub(super) fn close_idle_one(&self) {
        let engines = self.engines.borrow();
        let connections = engines.values().flat_map(|s| &s.connections);
        let idle = connections.filter(|connection| {
            !connection.closing.get() && connection.pending.borrow().is_empty()
        });
        idle.min_by(|a, b| a.last_activity.get().total_cmp(&b.last_activity.get()))
            .inspect(|connection| connection.close());
    }

    /// Waits for a free file descriptor and acquires it. If there is none, an idle connection is closed
    /// to free one, now or as soon as a connection becomes idle.
    pub(super) async fn acquire_descriptor(&self) -> DescriptorGuard<'_> {
        self.waiting_connections
            .set(self.waiting_connections.get() + 1);
        let _waiting = WaitingGuard(&self.waiting_connections);
        if self.open_connections.get() >= self.max_connections.get() {
            self.close_idle_one();
        }
        while self.open_connections.get() >= self.max_connections.get() {
            self.descriptor_freed.notified().await;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        if self.open_connections.get() < self.max_connections.get() {
            self.descriptor_freed.notify_one();
        }
        DescriptorGuard(self)
    }
}

impl EngineSlot {
    /// Applies the entry of the engine in the endpoint list.
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
                // Pending replies still count; if the process has ended, its connections are reset anyway.
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
