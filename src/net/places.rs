//! Places for clients' connections: how many there may be, and whose gives way when all are taken.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a connection holds its place for, least first: that is the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Its client has never asked anything whole.
    Silent,
    /// It has asked whether we are ready, or what could not be used, and no more.
    Asked,
    /// Nothing is open on it.
    Idle,
    Busy,
}

/// One connection's place.
pub struct Place {
    state: Cell<(Use, Instant)>,
    /// Told to give way.
    pub cut: Notify,
    home: Rc<Places>,
}

pub struct Places {
    most: Cell<usize>,
    /// What gives way at the bound, and all that holds its place for less.
    yields: Use,
    taken: RefCell<Vec<Rc<Place>>>,
    /// A place has come free, or its connection idle.
    freed: Notify,
}

impl Places {
    pub fn new(most: usize, yields: Use) -> Rc<Self> {
        Rc::new(Places { most: Cell::new(most), yields, taken: RefCell::default(), freed: Notify::new() })
    }

    pub fn bound(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_one();
    }

    /// A new connection would get a place, if need be that of one that gives way.
    pub fn room(&self) -> bool {
        let yields = |p: &Rc<Place>| p.state.get().0 <= self.yields;
        let taken = self.taken.borrow();
        taken.len() < self.most.get() || taken.iter().any(yields)
    }

    /// Accepts a connection once there is a place for it. It stays in the machine's queue until then, where
    /// another process that holds the same listening socket may take it, and nothing is dropped unheard.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) -> io::Result<(TcpStream, Taken)> {
        loop {
            let accepted = poll_fn(|cx| if self.room() { listener.poll_accept(cx) } else { Poll::Pending });
            let (tcp, _) = tokio::select! {
                accepted = accepted => accepted?,
                () = self.freed.notified() => continue,
            };
            if let Some(place) = self.take(Instant::now()) {
                return Ok((tcp, place));
            }
        }
    }

    /// A place for a new connection. At the bound the oldest without a request gives way, else the one idle for longest:
    /// clients that connect and say nothing, or keep what they used once, must not shut others out. None if
    /// no one yields.
    pub fn take(self: &Rc<Self>, now: Instant) -> Option<Taken> {
        if self.taken.borrow().len() >= self.most.get() && !self.give_way() {
            return None;
        }
        Some(self.beyond(now))
    }

    /// A place whatever the bound says: for what is already here when the last are let in.
    pub fn beyond(self: &Rc<Self>, now: Instant) -> Taken {
        let place =
            Rc::new(Place { state: Cell::new((Use::Silent, now)), cut: Notify::new(), home: self.clone() });
        self.taken.borrow_mut().push(place.clone());
        Taken(place)
    }

    /// Makes one give way, if any yields.
    pub fn give_way(&self) -> bool {
        let mut taken = self.taken.borrow_mut();
        // By age among those without a request, asked or not: in a crowd that asks and stays, the youngest is
        // likely to be a client on its way to ask.
        let rank = |(what, since): (Use, Instant)| (what.max(Use::Asked), since);
        let least = (0..taken.len()).min_by_key(|&i| rank(taken[i].state.get()));
        match least.filter(|&i| taken[i].state.get().0 <= self.yields) {
            Some(i) => {
                taken.swap_remove(i).cut.notify_one();
                true
            }
            None => false,
        }
    }
}

impl Place {
    /// It is used for this from now on.
    pub fn uses(&self, what: Use, now: Instant) {
        self.state.set((what, now));
        if what == Use::Idle {
            self.home.freed.notify_one();
        }
    }

    pub fn state(&self) -> (Use, Instant) {
        self.state.get()
    }
}

/// A place while it is taken.
pub struct Taken(Rc<Place>);

impl std::ops::Deref for Taken {
    type Target = Place;
    fn deref(&self) -> &Place {
        &self.0
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.home.taken.borrow_mut().retain(|p| !Rc::ptr_eq(p, &self.0));
        self.0.home.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
