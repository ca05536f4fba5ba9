//! Limits clients' connections: how many there may be, and which one is evicted for a new one at the limit.
//!
//! A [`ConnectionLimiter`] gives each connection a [`ConnectionPermit`], held through a [`PermitGuard`]. An evicted
//! connection keeps its permit until it has ended, since it holds a descriptor until then.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// An evicted connection ends within this, or another is evicted as well. A request that crosses the close by no more
/// is retried by its client.
pub const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// What a connection is used for. The least are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// Its client has never sent a complete request.
    NoRequest,
    /// Its client has asked whether the dispatcher is ready, or sent requests that could not be used, and no more.
    Probed,
    /// No request is open on it.
    Idle,
    /// A request is open on it.
    Busy,
}

/// One connection's permit.
pub struct ConnectionPermit {
    activity: Cell<Activity>,
    /// Since when it has had this activity.
    active_since: Cell<Instant>,
    /// Notified once the connection is evicted, for the task that serves it.
    pub eviction: Notify,
    /// The same, for [`ConnectionPermit::evicted_before_request`].
    eviction_notice: Notify,
    evicted_at: Cell<Option<Instant>>,
    limiter: Rc<ConnectionLimiter>,
}

/// Limits the connections of one listening address.
pub struct ConnectionLimiter {
    limit: Cell<usize>,
    /// Connections of this activity, and of all below it, may be evicted.
    evictable: Activity,
    /// All connections, evicted ones included until they have ended.
    permits: RefCell<Vec<Rc<ConnectionPermit>>>,
    /// Accepted, and waiting for another to end: the listen queue has no other way to tell that a client is there.
    pending_accept: RefCell<Option<TcpStream>>,
    /// Notified when a permit is free, a connection is idle or the limit has changed.
    freed: Notify,
}

impl ConnectionLimiter {
    /// A limiter for `limit` connections that evicts those with at most the activity `evictable`.
    pub fn new(limit: usize, evictable: Activity) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            limit: Cell::new(limit),
            evictable,
            permits: RefCell::default(),
            pending_accept: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Sets the limit. Connections beyond a lower one are evicted at once, as far as they may be.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        while self.not_evicted() > limit && self.evict_one() {}
        self.freed.notify_one();
    }

    /// Connections that have not been evicted.
    fn not_evicted(&self) -> usize {
        let permits = self.permits.borrow();
        permits.iter().filter(|permit| !permit.is_evicted()).count()
    }

    /// Whether a new connection would get a permit, if need be by the eviction of another.
    pub fn has_capacity(&self) -> bool {
        let permits = self.permits.borrow();
        permits.len() < self.limit.get()
            || permits
                .iter()
                .any(|permit| permit.activity() <= self.evictable)
    }

    /// Accepts a connection once there is a permit for it. It stays in the listen queue until one could be evicted for
    /// it: there another process that holds the same listening socket may accept it. It is served once the evicted one
    /// has ended; until then one descriptor more than the limit is held.
    ///
    /// # Errors
    /// The system cannot accept, for want of descriptors or memory.
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

    /// The next connection, not looked for while there is no capacity.
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

    /// Whether an evicted connection still has time to end.
    fn is_eviction_underway(&self) -> bool {
        let permits = self.permits.borrow();
        permits
            .iter()
            .filter_map(|permit| permit.evicted_at.get())
            .any(|at| at.elapsed() < EVICTION_GRACE)
    }

    /// The connection that was accepted and waits for a permit, if any: what has been accepted is served.
    pub fn take_pending_accept(&self) -> Option<TcpStream> {
        self.pending_accept.take()
    }

    /// A permit for a new connection; `None` if at the limit no other may be evicted for it.
    pub fn try_acquire(self: &Rc<Self>, now: Instant) -> Option<PermitGuard> {
        if self.not_evicted() >= self.limit.get() && !self.evict_one() {
            return None;
        }
        Some(self.acquire_beyond_limit(now))
    }

    /// A permit whatever the limit: for connections that the system has accepted when the process shuts down.
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

    /// Evicts the connection that has been without a request for longest, else the one that has been idle for longest:
    /// clients that connect and send nothing, or keep what they used once, must not shut others out. False if none may
    /// be evicted.
    pub fn evict_one(&self) -> bool {
        let permits = self.permits.borrow();
        // By age among those without a request, probed or not: in a burst of clients that ask and stay, the youngest
        // is likely to be a client on its way to ask.
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
    /// Sets what the connection is used for from now on.
    pub fn set_activity(&self, activity: Activity, now: Instant) {
        self.activity.set(activity);
        self.active_since.set(now);
        if activity == Activity::Idle {
            self.limiter.freed.notify_one();
        }
    }

    /// Completes when the connection is evicted and its client has never sent a complete request: nothing is owed then,
    /// and the rest of a request that has begun is not waited for.
    pub async fn evicted_before_request(&self) {
        self.eviction_notice.notified().await;
        // After that the runtime has seen all that the machine holds unread.
        tokio::task::yield_now().await;
        if self.activity() != Activity::NoRequest {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted_at.get().is_some()
    }

    /// What the connection is used for.
    pub fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Since when it has been used for that.
    pub fn active_since(&self) -> Instant {
        self.active_since.get()
    }
}

/// Holds a permit; dropping it frees the permit.
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
