//! Places for clients' connections: how many there may be, and whose gives way when all are taken.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What was told to give way goes within this, or another is told as well: a request that crosses such a close by no more
/// is sent again.
pub const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// What a connection holds its place for, least first: that is the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// Its client has never asked anything whole.
    NoRequest,
    /// It has asked whether we are ready, or what could not be used, and no more.
    Probed,
    /// Nothing is open on it.
    Idle,
    Busy,
}

/// One connection's permit.
pub struct ConnectionPermit {
    state: Cell<(Activity, Instant)>,
    /// Told to give way.
    pub eviction: Notify,
    /// Since when it was.
    evicted_at: Cell<Option<Instant>>,
    eviction_notice: Notify,
    limiter: Rc<ConnectionLimiter>,
}

pub struct ConnectionLimiter {
    limit: Cell<usize>,
    /// What gives way at the bound, and all that holds its place for less.
    evictable: Activity,
    /// Those told to give way are here until they have gone: until then they hold a descriptor.
    permits: RefCell<Vec<Rc<ConnectionPermit>>>,
    /// Accepted, and waiting for one to go: the queue has no other way to tell that somebody comes.
    pending_accept: RefCell<Option<TcpStream>>,
    /// A place has come free, or its connection idle.
    freed: Notify,
}

impl ConnectionLimiter {
    pub fn new(most: usize, evictable: Activity) -> Rc<Self> {
        let (limit, permits, pending_accept) =
            (Cell::new(most), RefCell::default(), RefCell::default());
        Rc::new(ConnectionLimiter {
            limit,
            evictable,
            permits,
            pending_accept,
            freed: Notify::new(),
        })
    }

    /// What is beyond a lower bound gives way at once, as far as it evicts.
    pub fn set_limit(&self, most: usize) {
        self.limit.set(most);
        while self.not_evicted() > most && self.evict_one() {}
        self.freed.notify_one();
    }

    /// Connections that were not told to give way.
    fn not_evicted(&self) -> usize {
        self.permits
            .borrow()
            .iter()
            .filter(|p| p.evicted_at.get().is_none())
            .count()
    }

    /// A new connection would get a permit, if need be that of one that gives way.
    pub fn has_capacity(&self) -> bool {
        let evictable = |p: &Rc<ConnectionPermit>| p.state.get().0 <= self.evictable;
        let taken = self.permits.borrow();
        taken.len() < self.limit.get() || taken.iter().any(evictable)
    }

    /// Accepts a connection once there is a place for it. It stays in the machine's queue until one would give way, where
    /// another process that holds the same listening socket may take it, and nothing is dropped unheard. It is served
    /// once that one has gone: beside those with limiter one more holds a descriptor.
    pub async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, PermitGuard)> {
        loop {
            if self.pending_accept.borrow().is_none() {
                let accepted = poll_fn(|cx| {
                    if self.has_capacity() {
                        listener.poll_accept(cx)
                    } else {
                        Poll::Pending
                    }
                });
                tokio::select! {
                    accepted = accepted => *self.pending_accept.borrow_mut() = Some(accepted?.0),
                    () = self.freed.notified() => continue,
                }
            }
            if self.permits.borrow().len() < self.limit.get()
                && let Some(tcp) = self.pending_accept.take()
            {
                return Ok((tcp, self.acquire_beyond_limit(Instant::now())));
            }
            let goes = |p: &Rc<ConnectionPermit>| {
                p.evicted_at
                    .get()
                    .is_some_and(|at| at.elapsed() < EVICTION_GRACE)
            };
            let going = self.permits.borrow().iter().any(goes);
            if !going {
                self.evict_one();
            }
            tokio::select! {
                () = self.freed.notified() => {}
                () = tokio::time::sleep(EVICTION_GRACE) => {}
            }
        }
    }

    /// The one that was accepted and waits for a permit, if any: what has been accepted is served.
    pub fn take_pending_accept(&self) -> Option<TcpStream> {
        self.pending_accept.take()
    }

    /// A place for a new connection. At the bound the oldest without a request gives way, else the one idle for longest:
    /// clients that connect and say nothing, or keep what they used once, must not shut others out. None if
    /// no one evicts.
    pub fn try_acquire(self: &Rc<Self>, now: Instant) -> Option<PermitGuard> {
        if self.not_evicted() >= self.limit.get() && !self.evict_one() {
            return None;
        }
        Some(self.acquire_beyond_limit(now))
    }

    /// A place whatever the bound says: for what is already here when the last are let in.
    pub fn acquire_beyond_limit(self: &Rc<Self>, now: Instant) -> PermitGuard {
        let permit = Rc::new(ConnectionPermit {
            state: Cell::new((Activity::NoRequest, now)),
            eviction: Notify::new(),
            evicted_at: Cell::default(),
            eviction_notice: Notify::new(),
            limiter: self.clone(),
        });
        self.permits.borrow_mut().push(permit.clone());
        PermitGuard(permit)
    }

    /// Makes one give way, if any evicts.
    pub fn evict_one(&self) -> bool {
        let taken = self.permits.borrow();
        // By age among those without a request, asked or not: in a crowd that asks and stays, the youngest is
        // likely to be a client on its way to ask.
        let rank = |(what, since): (Activity, Instant)| (what.max(Activity::Probed), since);
        let staying = taken.iter().filter(|p| p.evicted_at.get().is_none());
        let least = staying.min_by_key(|p| rank(p.state.get()));
        let Some(least) = least.filter(|p| p.state.get().0 <= self.evictable) else {
            return false;
        };
        least.evicted_at.set(Some(Instant::now()));
        least.eviction.notify_one();
        least.eviction_notice.notify_one();
        true
    }
}

impl ConnectionPermit {
    /// It is used for this from now on.
    pub fn set_activity(&self, what: Activity, now: Instant) {
        self.state.set((what, now));
        if what == Activity::Idle {
            self.limiter.freed.notify_one();
        }
    }

    /// Ends when it was told to give way and its client has never asked anything whole: nothing is owed then, and the rest
    /// of what has begun is not waited for.
    pub async fn evicted_before_request(&self) {
        self.eviction_notice.notified().await;
        // After that the runtime has heard of all that the machine has unread.
        tokio::task::yield_now().await;
        if self.state.get().0 != Activity::NoRequest {
            std::future::pending::<()>().await;
        }
    }

    /// It was told to give way to another.
    pub fn is_evicted(&self) -> bool {
        self.evicted_at.get().is_some()
    }

    pub fn activity(&self) -> (Activity, Instant) {
        self.state.get()
    }
}

/// A place while it is taken.
pub struct PermitGuard(Rc<ConnectionPermit>);

impl std::ops::Deref for PermitGuard {
    type Target = ConnectionPermit;
    fn deref(&self) -> &ConnectionPermit {
        &self.0
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.0
            .limiter
            .permits
            .borrow_mut()
            .retain(|p| !Rc::ptr_eq(p, &self.0));
        self.0.limiter.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
