//! Limits the number of client connections, and selects the connection to evict for a new one at
//! the limit.
//!
//! A [`ConnectionLimiter`] issues a [`ConnectionPermit`] for each connection, held through a
//! [`PermitGuard`]. An evicted connection keeps its permit until it has closed, because it holds a
//! descriptor until then.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Time for an evicted connection to close before another one is evicted as well. A client whose
/// request crosses the close within this time retries it.
pub const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// What a connection is used for. Connections with the lowest activity are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// The client has never sent a complete request.
    NoRequest,
    /// The client has only sent readiness probes or invalid requests.
    Probed,
    /// No request is open on the connection.
    Idle,
    /// A request is open on the connection.
    Busy,
}

/// The permit of one connection.
pub struct ConnectionPermit {
    activity: Cell<Activity>,
    /// When the connection entered its current activity.
    active_since: Cell<Instant>,
    /// Notified when the connection is evicted, for the task that serves it.
    pub eviction: Notify,
    /// Notified when the connection is evicted, for [`ConnectionPermit::evicted_before_request`].
    eviction_notice: Notify,
    evicted_at: Cell<Option<Instant>>,
    limiter: Rc<ConnectionLimiter>,
}

/// Limits the number of connections of one listening address.
pub struct ConnectionLimiter {
    limit: Cell<usize>,
    /// The highest activity of a connection that may be evicted.
    evictable: Activity,
    /// Permits of all connections, including evicted ones that have not closed yet.
    permits: RefCell<Vec<Rc<ConnectionPermit>>>,
    /// A connection that was accepted and waits for another to close: accepting it is the only way
    /// to detect a waiting client in the listen queue.
    pending_accept: RefCell<Option<TcpStream>>,
    /// Notified when a permit is freed, a connection becomes idle or the limit changes.
    freed: Notify,
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` connections that evicts only connections with at most the
    /// activity `evictable`.
    pub fn new(limit: usize, evictable: Activity) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            limit: Cell::new(limit),
            evictable,
            permits: RefCell::default(),
            pending_accept: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Sets the limit. If it is lower than before, excess connections that may be evicted are
    /// evicted at once.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        while self.not_evicted() > limit && self.evict_one() {}
        self.freed.notify_one();
    }

    /// Returns the number of connections that have not been evicted.
    fn not_evicted(&self) -> usize {
        let permits = self.permits.borrow();
        permits.iter().filter(|permit| !permit.is_evicted()).count()
    }

    /// Returns whether a new connection would get a permit, possibly by evicting another connection.
    pub fn has_capacity(&self) -> bool {
        let permits = self.permits.borrow();
        permits.len() < self.limit.get()
            || permits
                .iter()
                .any(|permit| permit.activity() <= self.evictable)
    }

    /// Accepts a connection once a permit is available for it. Until a connection can be evicted
    /// for it, the new one stays in the listen queue, where another process with the same listening
    /// socket can accept it. The new connection is served once the evicted one has closed; until
    /// then, one descriptor more than the limit is held.
    ///
    /// # Errors
    /// The operating system cannot accept a connection, for lack of descriptors or memory.
    pub async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, PermitGuard)> {
        loop {
            if self.pending_accept.borrow().is_none() {
                tokio::select! {
                    accepted = self.accept_with_capacity(listener) => {
                        *self.pending_accept.borrow_mut() = Some(accepted?);
                    }
                    () = self.freed.notified() => continue,
                }
            }
            if self.permits.borrow().len() < self.limit.get()
                && let Some(tcp) = self.pending_accept.take()
            {
                return Ok((tcp, self.acquire_beyond_limit(Instant::now())));
            }
            if !self.is_eviction_underway() {
                self.evict_one();
            }
            tokio::select! {
                () = self.freed.notified() => {}
                () = tokio::time::sleep(EVICTION_GRACE) => {}
            }
        }
    }

    /// Accepts the next connection; the listening socket is not polled while there is no capacity.
    async fn accept_with_capacity(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        poll_fn(|context| {
            if self.has_capacity() {
                listener.poll_accept(context)
            } else {
                Poll::Pending
            }
        })
        .await
        .map(|(tcp, _)| tcp)
    }

    /// Returns whether an evicted connection is still within [`EVICTION_GRACE`].
    fn is_eviction_underway(&self) -> bool {
        let permits = self.permits.borrow();
        permits
            .iter()
            .filter_map(|permit| permit.evicted_at.get())
            .any(|at| at.elapsed() < EVICTION_GRACE)
    }

    /// Takes the connection that was accepted and waits for a permit, if any: an accepted
    /// connection is always served.
    pub fn take_pending_accept(&self) -> Option<TcpStream> {
        self.pending_accept.take()
    }

    /// Issues a permit for a new connection; `None` if the limit is reached and no connection may be evicted.
    pub fn try_acquire(self: &Rc<Self>, now: Instant) -> Option<PermitGuard> {
        if self.not_evicted() >= self.limit.get() && !self.evict_one() {
            return None;
        }
        Some(self.acquire_beyond_limit(now))
    }

    /// Issues a permit regardless of the limit, for connections that the operating system has
    /// accepted when the process shuts down.
    pub fn acquire_beyond_limit(self: &Rc<Self>, now: Instant) -> PermitGuard {
        let permit = Rc::new(ConnectionPermit {
            activity: Cell::new(Activity::NoRequest),
            active_since: Cell::new(now),
            eviction: Notify::new(),
            eviction_notice: Notify::new(),
            evicted_at: Cell::default(),
            limiter: self.clone(),
        });
        self.permits.borrow_mut().push(permit.clone());
        PermitGuard(permit)
    }

    /// Evicts the connection that has been without a request for longest, or else the one that has
    /// been idle for longest: clients that connect and send nothing, or keep an idle connection,
    /// must not lock out others. Returns false if no connection may be evicted.
    pub fn evict_one(&self) -> bool {
        let permits = self.permits.borrow();
        // Connections without a request are ranked by age, probed or not: in a burst of clients
        // that probe and stay connected, the youngest is probably about to send its first request.
        let rank = |permit: &ConnectionPermit| {
            (
                permit.activity().max(Activity::Probed),
                permit.active_since.get(),
            )
        };
        let candidates = permits.iter().filter(|permit| !permit.is_evicted());
        let Some(permit) = candidates
            .min_by_key(|permit| rank(permit))
            .filter(|permit| permit.activity() <= self.evictable)
        else {
            return false;
        };
        permit.evicted_at.set(Some(Instant::now()));
        permit.eviction.notify_one();
        permit.eviction_notice.notify_one();
        true
    }
}

impl ConnectionPermit {
    /// Sets the activity of the connection from `now` on.
    pub fn set_activity(&self, activity: Activity, now: Instant) {
        self.activity.set(activity);
        self.active_since.set(now);
        if activity == Activity::Idle {
            self.limiter.freed.notify_one();
        }
    }

    /// Completes when the connection is evicted and its client has never sent a complete request.
    /// Such a client has no pending answer, and the rest of a partial request is not awaited.
    pub async fn evicted_before_request(&self) {
        self.eviction_notice.notified().await;
        // After the yield, the runtime has polled all input that the operating system held at the eviction.
        tokio::task::yield_now().await;
        if self.activity() != Activity::NoRequest {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted_at.get().is_some()
    }

    /// Returns the current activity of the connection.
    pub fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Returns when the connection entered its current activity.
    pub fn active_since(&self) -> Instant {
        self.active_since.get()
    }
}

/// Holds a permit and frees it on drop.
pub struct PermitGuard(Rc<ConnectionPermit>);

impl std::ops::Deref for PermitGuard {
    type Target = ConnectionPermit;

    fn deref(&self) -> &ConnectionPermit {
        &self.0
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let limiter = &self.0.limiter;
        limiter
            .permits
            .borrow_mut()
            .retain(|permit| !Rc::ptr_eq(permit, &self.0));
        limiter.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
