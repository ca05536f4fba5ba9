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
pub const LEAVE: Duration = Duration::from_millis(50);

/// What a connection holds its place for, least first: that is the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// Its client has never asked anything whole.
    Silent,
    /// It has asked whether we are ready, or what could not be used, and no more.
    Asked,
    /// Nothing is open on it.
    Idle,
    Busy,
}

/// One connection's place.
pub struct ConnectionPermit {
    state: Cell<(Activity, Instant)>,
    /// Told to give way.
    pub cut: Notify,
    /// Since when it was.
    leaving: Cell<Option<Instant>>,
    told: Notify,
    home: Rc<ConnectionLimiter>,
}

pub struct ConnectionLimiter {
    most: Cell<usize>,
    /// What gives way at the bound, and all that holds its place for less.
    yields: Activity,
    /// Those told to give way are here until they have gone: until then they hold a descriptor.
    taken: RefCell<Vec<Rc<ConnectionPermit>>>,
    /// Accepted, and waiting for one to go: the queue has no other way to tell that somebody comes.
    door: RefCell<Option<TcpStream>>,
    /// A place has come free, or its connection idle.
    freed: Notify,
}

impl ConnectionLimiter {
    pub fn new(most: usize, yields: Activity) -> Rc<Self> {
        let (most, taken, door) = (Cell::new(most), RefCell::default(), RefCell::default());
        Rc::new(ConnectionLimiter {
            most,
            yields,
            taken,
            door,
            freed: Notify::new(),
        })
    }

    /// What is beyond a lower bound gives way at once, as far as it yields.
    pub fn bound(&self, most: usize) {
        self.most.set(most);
        while self.staying() > most && self.give_way() {}
        self.freed.notify_one();
    }

    /// Connections that were not told to give way.
    fn staying(&self) -> usize {
        self.taken
            .borrow()
            .iter()
            .filter(|p| p.leaving.get().is_none())
            .count()
    }

    /// A new connection would get a place, if need be that of one that gives way.
    pub fn room(&self) -> bool {
        let yields = |p: &Rc<ConnectionPermit>| p.state.get().0 <= self.yields;
        let taken = self.taken.borrow();
        taken.len() < self.most.get() || taken.iter().any(yields)
    }

    /// Accepts a connection once there is a place for it. It stays in the machine's queue until one would give way, where
    /// another process that holds the same listening socket may take it, and nothing is dropped unheard. It is served
    /// once that one has gone: beside those with places one more holds a descriptor.
    pub async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, PermitGuard)> {
        loop {
            if self.door.borrow().is_none() {
                let accepted = poll_fn(|cx| {
                    if self.room() {
                        listener.poll_accept(cx)
                    } else {
                        Poll::Pending
                    }
                });
                tokio::select! {
                    accepted = accepted => *self.door.borrow_mut() = Some(accepted?.0),
                    () = self.freed.notified() => continue,
                }
            }
            if self.taken.borrow().len() < self.most.get()
                && let Some(tcp) = self.door.take()
            {
                return Ok((tcp, self.beyond(Instant::now())));
            }
            let goes =
                |p: &Rc<ConnectionPermit>| p.leaving.get().is_some_and(|at| at.elapsed() < LEAVE);
            let going = self.taken.borrow().iter().any(goes);
            if !going {
                self.give_way();
            }
            tokio::select! {
                () = self.freed.notified() => {}
                () = tokio::time::sleep(LEAVE) => {}
            }
        }
    }

    /// The one that was accepted and waits for a place, if any: what has been accepted is served.
    pub fn at_the_door(&self) -> Option<TcpStream> {
        self.door.take()
    }

    /// A place for a new connection. At the bound the oldest without a request gives way, else the one idle for longest:
    /// clients that connect and say nothing, or keep what they used once, must not shut others out. None if
    /// no one yields.
    pub fn take(self: &Rc<Self>, now: Instant) -> Option<PermitGuard> {
        if self.staying() >= self.most.get() && !self.give_way() {
            return None;
        }
        Some(self.beyond(now))
    }

    /// A place whatever the bound says: for what is already here when the last are let in.
    pub fn beyond(self: &Rc<Self>, now: Instant) -> PermitGuard {
        let place = Rc::new(ConnectionPermit {
            state: Cell::new((Activity::Silent, now)),
            cut: Notify::new(),
            leaving: Cell::default(),
            told: Notify::new(),
            home: self.clone(),
        });
        self.taken.borrow_mut().push(place.clone());
        PermitGuard(place)
    }

    /// Makes one give way, if any yields.
    pub fn give_way(&self) -> bool {
        let taken = self.taken.borrow();
        // By age among those without a request, asked or not: in a crowd that asks and stays, the youngest is
        // likely to be a client on its way to ask.
        let rank = |(what, since): (Activity, Instant)| (what.max(Activity::Asked), since);
        let staying = taken.iter().filter(|p| p.leaving.get().is_none());
        let least = staying.min_by_key(|p| rank(p.state.get()));
        let Some(least) = least.filter(|p| p.state.get().0 <= self.yields) else {
            return false;
        };
        least.leaving.set(Some(Instant::now()));
        least.cut.notify_one();
        least.told.notify_one();
        true
    }
}

impl ConnectionPermit {
    /// It is used for this from now on.
    pub fn uses(&self, what: Activity, now: Instant) {
        self.state.set((what, now));
        if what == Activity::Idle {
            self.home.freed.notify_one();
        }
    }

    /// Ends when it was told to give way and its client has never asked anything whole: nothing is owed then, and the rest
    /// of what has begun is not waited for.
    pub async fn overdue(&self) {
        self.told.notified().await;
        // After that the runtime has heard of all that the machine has unread.
        tokio::task::yield_now().await;
        if self.state.get().0 != Activity::Silent {
            std::future::pending::<()>().await;
        }
    }

    /// It was told to give way to another.
    pub fn gives_way(&self) -> bool {
        self.leaving.get().is_some()
    }

    pub fn state(&self) -> (Activity, Instant) {
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
            .home
            .taken
            .borrow_mut()
            .retain(|p| !Rc::ptr_eq(p, &self.0));
        self.0.home.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
