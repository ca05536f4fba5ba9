//! Requests as clients' frames bring them, and what they hold while they are open.

use crate::clock::MAX_ESTIMATED_MEMORY_MB;
use crate::clock::MAX_ESTIMATED_WORK_MS;
use crate::config::position_of;
use crate::core::NewRequest;
use crate::decision::model::{ClassId, Millis};
use crate::dispatch::request_router::{RequestRouter, Upstream};
use crate::protocol::frames::{Frame, FrameError, fields};
use crate::protocol::statement;
use crate::transport::client_socket::SocketProbe;
use crate::transport::pending_input::PendingInput;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// A request as the engines get it: id, class and statement unchanged.
#[derive(Debug)]
pub struct Work {
    pub txn: String,
    pub class: String,
    pub statement: Bytes,
    held: Held,
    named: Named,
    client: Option<SocketProbe>,
}

/// Bytes of statements held in all; more are refused, or a few connections could fill the memory.
pub struct Budget {
    pub(super) most: Cell<usize>,
    held: Rc<Cell<usize>>,
}

#[derive(Debug, Default)]
pub(super) struct Held(usize, Option<Rc<Cell<usize>>>);

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget {
            most: Cell::new(bytes),
            held: Rc::default(),
        }
    }

    pub(super) fn take(&self, bytes: usize) -> Option<Held> {
        let held = self.held.get() + bytes;
        (held <= self.most.get()).then(|| {
            self.held.set(held);
            Held(bytes, Some(self.held.clone()))
        })
    }
}

/// Ids of requests that are open. Bounded by these; an id is known by its number.
#[derive(Clone, Default)]
pub(super) struct Ids(Rc<RefCell<HashSet<u64>>>);

/// An id while its request is open.
#[derive(Default)]
pub(super) struct Named(u64, Option<Ids>);

impl Ids {
    pub(super) fn take(&self, txn: &str) -> Option<Named> {
        let id = u64::from_str_radix(txn, 16).ok()?;
        self.0
            .borrow_mut()
            .insert(id)
            .then(|| Named(id, Some(self.clone())))
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        if let Some(home) = &self.1 {
            home.0.borrow_mut().remove(&self.0);
        }
    }
}

impl std::fmt::Debug for Named {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(home) = &self.1 {
            home.set(home.get() - self.0);
        }
    }
}

impl Work {
    /// Work that counts towards no budget.
    pub fn free(txn: &str, class: &str, statement: Bytes) -> Self {
        let (held, named) = (Held::default(), Named::default());
        Work {
            txn: txn.into(),
            class: class.into(),
            statement,
            held,
            named,
            client: None,
        }
    }

    /// It holds its bytes and its id for as long as it lives, and is its client's.
    pub(super) fn hold(&mut self, held: Held, named: Named, client: SocketProbe) {
        (self.held, self.named, self.client) = (held, named, Some(client));
    }

    /// What the machine holds unread of its client: asked before an attempt begins, for the client may have gone.
    pub fn client(&self) -> PendingInput {
        self.client
            .as_ref()
            .map_or(PendingInput::Empty, SocketProbe::pending_input)
    }
}

/// Why a request is failed at the door, and the class that it named, if any.
pub(super) type AtTheDoor = (Option<ClassId>, String);

/// The class that a request names.
pub(super) fn class<U: Upstream>(router: &RequestRouter<U>, frame: Frame) -> Option<ClassId> {
    let (fields, _) = fields(frame.payload).ok()?;
    let named = fields.iter().find(|f| f.0 == "verb")?;
    position_of(&router.names().classes, &named.1)
}

/// Reads a request that arrived at this Unix time; the error is the message of a `failed`.
pub(super) fn request<U: Upstream>(
    router: &RequestRouter<U>,
    payload: Bytes,
    arrived: Millis,
) -> Result<Result<(NewRequest, Work), AtTheDoor>, FrameError> {
    let named = Cell::new(None);
    let (fields, statement) = fields(payload)?;
    let field = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str());
    // An absurd figure would spoil what is learned of all others, so that its request is failed.
    let number = |name: &str, most: f64| {
        let read = |v: &str| {
            v.trim()
                .parse::<f64>()
                .ok()
                .filter(|v| (0.0..=most).contains(v))
        };
        let figure =
            |v: &str| read(v).ok_or_else(|| format!("{name}: {v:?} is no number from 0 to {most}"));
        field(name).map(figure).transpose()
    };
    let read = || {
        let class = field("verb").ok_or("the field `verb` is missing")?;
        let index = position_of(&router.names().classes, class)
            .ok_or(format!("verb: no class is named {class:?}"))?;
        named.set(Some(index));
        let txn = field("txn").ok_or("the field `txn` is missing")?;
        if txn.len() != 16 || !txn.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(format!("txn: {txn:?} is not 16 hex digits"));
        }
        let ms = number("limit", MAX_ESTIMATED_WORK_MS)?.ok_or("the field `limit` is missing")?;
        let tenants = &router.names().tenants;
        let tenant = match field("team") {
            _ if tenants.is_empty() => None,
            None => return Err("the field `team` is missing".to_string()),
            Some(t) => Some(
                position_of(tenants, t).ok_or_else(|| format!("team: no tenant is named {t:?}"))?,
            ),
        };
        // Engines close on what they cannot read, whatever else is open on that connection.
        let odd = |c: char| c.is_control() && !c.is_whitespace();
        if std::str::from_utf8(&statement).map_or(true, |s| s.trim().is_empty() || s.contains(odd))
        {
            return Err("the statement is no text".to_string());
        }
        let new = NewRequest {
            class: index,
            tenant,
            group: statement::table_group(&statement),
            deadline: arrived + ms,
            work: number("cpu", MAX_ESTIMATED_WORK_MS)?.filter(|v| *v > 0.0),
            memory_mb: number("mem", MAX_ESTIMATED_MEMORY_MB)?.filter(|v| *v > 0.0),
        };
        Ok((new, Work::free(txn, class, statement)))
    };
    Ok(read().map_err(|reason: String| (named.get(), reason)))
}
