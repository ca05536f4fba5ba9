//! Results between engines and clients: pages in memory, pages on the disk, and who reads them. What is decided of
//! them is [`crate::spool`]'s; here it is done.

pub mod disk;
pub mod reader;
pub mod writer;

pub use reader::{ResultReader, SpoolError};
pub use writer::{MAX_STATEMENT_CHARS, ResultOwner, ResultWriter, StoredResult};

use crate::clock::unix_time_millis;
use crate::config::SpoolSettings;
use crate::decision::model::Millis;
use crate::log_line;
use crate::spool::disk_health::Wrote;
use crate::spool::{
    Admission, AdmissionRequest, DiskState, Handles, Order, Placement, ResumeError, SpoolId,
    SpoolIndex, SpoolLimits, SpoolRejection,
};
use bytes::{BufMut, Bytes, BytesMut};
use disk::{Disk, Done, Failure, PersistedSpool};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};

pub use crate::spool::index::SHORT;
/// A page is closed at this, in bytes, if not before by its rows. One row may be longer. Each slow reader holds
/// a page, and each page on the disk has its place in the index.
pub const PAGE: usize = 64 << 10;
/// Bytes on their way to the disk; beyond, engines are read no faster than the disk writes.
const PENDING: u64 = 4 << 20;
/// Between two looks at what has expired.
const LOOK: Duration = Duration::from_millis(250);
/// Results of other processes that one listing brings over.
const BROUGHT: usize = 16;

/// A result that waits for its reader.
pub struct SpooledResult {
    pub owner: ResultOwner,
    pub request: AdmissionRequest,
    /// What stands before the rows: the count of columns, the columns, their end.
    pub header: Bytes,
    /// The last packet, once the result is whole.
    pub trailer: Option<Bytes>,
    /// So many pages are on the disk: always the first ones. The others follow.
    stored: usize,
    pages: VecDeque<Page>,
    pub rows: u64,
    pub bytes: u64,
    pub created: Millis,
    /// Its beginning, and its end, are at the disk or on their way.
    begun: bool,
    ended: bool,
}

enum Page {
    Memory {
        rows: u32,
        bytes: Bytes,
    },
    /// On its way to the disk, and still here.
    Writing {
        rows: u32,
        bytes: Bytes,
    },
}

impl SpooledResult {
    pub fn page_count(&self) -> usize {
        self.stored + self.pages.len()
    }
}

/// What is written of a spool before its pages, as JSON before the head's bytes.
#[derive(Serialize, Deserialize)]
struct Beginning {
    user: String,
    tenant: Option<String>,
    class: String,
    load: bool,
    handle: String,
    binary: bool,
    statement: String,
    created: Millis,
}

/// What is written behind its pages, as JSON before the last packet.
#[derive(Serialize, Deserialize)]
struct Ending {
    rows: u64,
    bytes: u64,
    whole: Millis,
}

fn framed(json: &impl Serialize, rest: &[u8]) -> Vec<u8> {
    let json = serde_json::to_vec(json).unwrap_or_default();
    let mut bytes = Vec::with_capacity(4 + json.len() + rest.len());
    bytes.put_u32(json.len() as u32);
    bytes.put_slice(&json);
    bytes.put_slice(rest);
    bytes
}

fn unframed<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<(T, Bytes)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (json, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    Some((
        serde_json::from_slice(json).ok()?,
        Bytes::copy_from_slice(rest),
    ))
}

/// A line of what a user can come back for.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultListing {
    pub handle: String,
    pub statement: String,
    pub pages: usize,
    pub rows: u64,
    pub bytes: u64,
    pub age_s: f64,
    /// None while it is read.
    pub expires_in_s: Option<f64>,
}

/// All results that wait.
pub struct Spools {
    ledger: RefCell<SpoolIndex>,
    handles: RefCell<Handles>,
    held: RefCell<BTreeMap<SpoolId, SpooledResult>>,
    disk: Option<Disk>,
    pending: Cell<u64>,
    /// Something was written, or given up.
    written: Notify,
    page_rows: Cell<u32>,
    stall: Cell<Duration>,
    classes: Vec<String>,
    tenants: Vec<String>,
    rules: RefCell<SpoolLimits>,
    processes: Cell<u64>,
    looking: Cell<bool>,
    /// Something did not get to the disk: it is tried again.
    stuck: Cell<bool>,
    /// Results that the disk has not been told to forget yet.
    unforgotten: RefCell<Vec<SpoolId>>,
    /// Pages that were torn; engines' bytes taken.
    pub torn: Cell<u64>,
    pub taken: Cell<u64>,
}

impl Spools {
    /// Opens what the configuration names. Results of earlier processes are there again.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn open(
        source: &SpoolSettings,
        classes: Vec<String>,
        tenants: Vec<String>,
    ) -> io::Result<(Rc<Self>, Option<mpsc::UnboundedReceiver<Done>>)> {
        let mut ledger = SpoolIndex::new(source.rules.clone(), classes.len());
        let (mut handles, mut held, mut disk, mut done) =
            (Handles::default(), BTreeMap::new(), None, None);
        if let (Some(dir), Some(most)) = (&source.directory, source.rules.disk_bytes) {
            let (started, told, found) = Disk::start(dir, most, 1)?;
            let n = found.len();
            for (id, kept) in found {
                if let Some(h) = again(&kept, &classes, &tenants) {
                    let bytes = kept.pages.iter().map(|p| u64::from(p.1)).sum();
                    ledger.found(unix_time_millis(), id, h.0.request, bytes, h.2);
                    handles.put(id, &h.0.owner.user, &h.1);
                    held.insert(id, h.0);
                } else {
                    started.order(disk::Order::Forget { spool: id });
                }
            }
            if n > 0 {
                log_line!(
                    "spools: {} results of earlier processes are there",
                    held.len()
                );
            }
            (disk, done) = (Some(started), Some(told));
        }
        let spools = Spools {
            ledger: RefCell::new(ledger),
            handles: RefCell::new(handles),
            held: RefCell::new(held),
            disk,
            pending: Cell::new(0),
            written: Notify::new(),
            page_rows: Cell::new(source.page_rows),
            stall: Cell::new(source.stall_timeout),
            classes,
            tenants,
            rules: RefCell::new(source.rules.clone()),
            processes: Cell::new(1),
            looking: Cell::new(false),
            stuck: Cell::new(false),
            unforgotten: RefCell::default(),
            torn: Cell::new(0),
            taken: Cell::new(0),
        };
        Ok((Rc::new(spools), done))
    }

    /// Other bounds are in force; what waits stays.
    pub fn configure(&self, source: &SpoolSettings) {
        *self.rules.borrow_mut() = source.rules.clone();
        self.page_rows.set(source.page_rows);
        self.stall.set(source.stall_timeout);
        self.set_process_count(self.processes.get() as u32);
    }

    /// So many processes of this dispatcher share the bounds.
    pub fn set_process_count(&self, processes: u32) {
        let n = u64::from(processes.max(1));
        self.processes.set(n);
        let all = self.rules.borrow().clone();
        let rules = SpoolLimits {
            memory_bytes: all.memory_bytes / n,
            disk_bytes: all.disk_bytes.map(|d| d / n),
            ..all
        };
        if let (Some(disk), Some(bytes)) = (&self.disk, rules.disk_bytes) {
            disk.order(disk::Order::Most { bytes });
        }
        self.ledger.borrow_mut().configure(rules);
    }

    /// A client that takes nothing for so long is closed.
    pub fn client_stall_timeout(&self) -> Duration {
        self.stall.get()
    }

    /// Is a request to be sent at all?
    pub fn admit(&self, ask: AdmissionRequest) -> Admission {
        self.ledger.borrow_mut().admit(unix_time_millis(), ask)
    }

    /// For the result of one attempt.
    pub fn writer(self: &Rc<Self>, ask: AdmissionRequest, who: ResultOwner) -> ResultWriter {
        ResultWriter::new(self.clone(), ask, who)
    }

    pub fn learn(&self, class: usize, bytes: usize) {
        self.ledger.borrow_mut().learn(class, bytes as f64);
    }

    fn begin(
        &self,
        ask: AdmissionRequest,
        who: ResultOwner,
        head: Bytes,
    ) -> Result<SpoolId, SpoolRejection> {
        let now = unix_time_millis();
        let (id, orders) = self.ledger.borrow_mut().open(now, ask)?;
        let mut random = [0; 16];
        if getrandom::fill(&mut random).is_err() {
            // Without random numbers no handle can be given that is not to be guessed.
            self.ledger.borrow_mut().fail(id);
            return Err(SpoolRejection::Many);
        }
        self.handles
            .borrow_mut()
            .give(id, &who.user, u128::from_be_bytes(random));
        let held = SpooledResult {
            owner: who,
            request: ask,
            header: head,
            trailer: None,
            stored: 0,
            pages: VecDeque::new(),
            rows: 0,
            bytes: 0,
            created: now,
            begun: false,
            ended: false,
        };
        self.held.borrow_mut().insert(id, held);
        self.carry_out(orders);
        Ok(id)
    }

    /// A page of a result that is still coming. Waits while too much is on its way to the disk.
    async fn page(&self, id: SpoolId, rows: u32, bytes: Bytes) -> Result<(), SpoolRejection> {
        let n = bytes.len() as u64;
        let (taken, orders) = self.ledger.borrow_mut().take(unix_time_millis(), id, n);
        let Ok(taken) = taken else {
            self.carry_out(orders);
            return taken.map(|_| ());
        };
        self.taken.set(self.taken.get() + n);
        if let Some(held) = self.held.borrow_mut().get_mut(&id) {
            held.pages.push_back(Page::Memory { rows, bytes });
            (held.rows, held.bytes) = (held.rows + u64::from(rows), held.bytes + n);
        }
        self.carry_out(orders);
        if taken == Placement::Disk {
            self.push_out(id);
        }
        while self.pending.get() > PENDING {
            self.written.notified().await;
        }
        Ok(())
    }

    /// The last packet is here. What can be, goes to the disk: so it outlives the process.
    fn whole(&self, id: SpoolId, tail: Bytes) {
        let now = unix_time_millis();
        if let Some(held) = self.held.borrow_mut().get_mut(&id) {
            held.trailer = Some(tail);
        }
        let orders = {
            let mut ledger = self.ledger.borrow_mut();
            ledger.whole(now, id);
            ledger.persist(now, id)
        };
        self.carry_out(orders);
        self.push_out(id);
    }

    /// An attempt ended without a whole result.
    fn give_up(&self, id: SpoolId) {
        self.ledger.borrow_mut().fail(id);
        self.drop_pages(id);
        self.handles.borrow_mut().expire(id);
    }

    fn carry_out(&self, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Evict(id) => {
                    self.drop_pages(id);
                    self.handles.borrow_mut().expire(id);
                }
                Order::Spill(id) => self.push_out(id),
            }
        }
    }

    fn drop_pages(&self, id: SpoolId) {
        let Some(held) = self.held.borrow_mut().remove(&id) else {
            return;
        };
        if let Some(disk) = self.disk.as_ref().filter(|_| held.begun || held.ended)
            && !disk.order(disk::Order::Forget { spool: id })
        {
            self.unforgotten.borrow_mut().push(id);
        }
    }

    /// Sends to the disk what of a spilled spool is still here, in order.
    fn push_out(&self, id: SpoolId) {
        let Some(disk) = &self.disk else { return };
        if !self.ledger.borrow().is_spilled(id) {
            return;
        }
        let handle = self.handles.borrow().of(id).unwrap_or_default().to_string();
        let mut all = self.held.borrow_mut();
        let Some(held) = all.get_mut(&id) else { return };
        if !held.begun {
            let beginning = Beginning {
                user: held.owner.user.clone(),
                tenant: held
                    .request
                    .tenant
                    .and_then(|t| self.tenants.get(t).cloned()),
                class: self
                    .classes
                    .get(held.request.class)
                    .cloned()
                    .unwrap_or_default(),
                load: held.request.protected,
                handle,
                binary: held.owner.binary,
                statement: held.owner.statement.clone(),
                created: held.created,
            };
            let begin = framed(&beginning, &held.header);
            held.begun = disk.order(disk::Order::Begin { spool: id, begin });
            if !held.begun {
                self.stuck.set(true);
                return;
            }
        }
        for (n, page) in (held.stored..).zip(held.pages.iter_mut()) {
            let Page::Memory { rows, bytes } = page else {
                continue;
            };
            let (rows, bytes) = (*rows, bytes.clone());
            let order = disk::Order::Page {
                spool: id,
                page: n as u32,
                rows,
                bytes: bytes.clone(),
            };
            if !disk.order(order) {
                // It stays in memory for now.
                self.stuck.set(true);
                return;
            }
            self.pending.set(self.pending.get() + bytes.len() as u64);
            *page = Page::Writing { rows, bytes };
        }
        if let Some(tail) = held.trailer.clone().filter(|_| !held.ended) {
            let ending = Ending {
                rows: held.rows,
                bytes: held.bytes,
                whole: unix_time_millis(),
            };
            held.ended = disk.order(disk::Order::End {
                spool: id,
                end: framed(&ending, &tail),
            });
            self.stuck.set(self.stuck.get() || !held.ended);
        }
    }

    /// Takes in what the disk has done, and lets go what has expired; runs for ever.
    pub async fn run(self: Rc<Self>, done: Option<mpsc::UnboundedReceiver<Done>>) {
        let (silent, nothing) = mpsc::unbounded_channel();
        let mut done = done.unwrap_or(nothing);
        // Without a disk nothing is ever told, and the loop goes on with the clock.
        let _silent = silent;
        let mut look = tokio::time::interval(LOOK);
        loop {
            tokio::select! {
                Some(d) = done.recv() => self.done(d),
                _ = look.tick() => self.look(),
            }
        }
    }

    fn look(&self) {
        let over = self.ledger.borrow_mut().expire(unix_time_millis());
        for id in over {
            self.drop_pages(id);
            self.handles.borrow_mut().expire(id);
        }
        let Some(disk) = &self.disk else { return };
        self.unforgotten
            .borrow_mut()
            .retain(|id| !disk.order(disk::Order::Forget { spool: *id }));
        if self.stuck.get() && self.ledger.borrow().watch.takes(unix_time_millis()) {
            self.stuck.set(false);
            self.again_to_disk();
        }
    }

    /// Whole results that are not on the disk yet, and spilled ones of which something is still here.
    fn again_to_disk(&self) {
        let late: Vec<SpoolId> = self
            .held
            .borrow()
            .iter()
            .filter(|(_, h)| h.trailer.is_some() && !h.ended)
            .map(|h| *h.0)
            .collect();
        for id in late {
            let orders = self.ledger.borrow_mut().persist(unix_time_millis(), id);
            self.carry_out(orders);
            self.push_out(id);
        }
    }

    fn done(&self, d: Done) {
        let now = unix_time_millis();
        let what = match &d.result {
            Ok(()) => Some(Wrote::Well),
            Err(Failure::Full) => Some(Wrote::Full),
            Err(Failure::Disk(e)) => Some(Wrote::Failed(e.clone())),
            Err(Failure::Skipped) => None,
        };
        if let Some(what) = what
            && self.ledger.borrow_mut().wrote(now, d.took_ms, what)
        {
            log_line!(
                "spools: the disk is {}",
                told(self.ledger.borrow().watch.state(), now)
            );
        }
        if d.result.is_err() {
            self.stuck.set(true);
        }
        let mut all = self.held.borrow_mut();
        let held = all.get_mut(&d.spool);
        match (d.page, held) {
            (Some(n), held) => {
                // Also where its spool went while it was on its way.
                self.pending.set(self.pending.get().saturating_sub(d.bytes));
                if let Some(h) = held
                    && let Some(at) = (n as usize).checked_sub(h.stored)
                    && let Some(Page::Writing { rows, bytes }) = h.pages.get(at)
                {
                    let (rows, bytes) = (*rows, bytes.clone());
                    match d.result {
                        // Pages are written in order: it is the first of those that are here.
                        Ok(()) => {
                            h.pages.remove(at);
                            h.stored += 1;
                        }
                        Err(_) => {
                            self.ledger
                                .borrow_mut()
                                .returned(d.spool, bytes.len() as u64);
                            h.pages[at] = Page::Memory { rows, bytes };
                        }
                    }
                }
            }
            (None, Some(held)) if d.result.is_err() => match d.ended {
                true => held.ended = false,
                false => held.begun = false,
            },
            _ => {}
        }
        drop(all);
        self.written.notify_waiters();
    }

    // ---- readers ---------------------------------------------------------------------------------

    /// Reads a result from a page on. None if it is not there.
    pub fn reader(self: &Rc<Self>, id: SpoolId, from: u32) -> Option<ResultReader> {
        self.ledger
            .borrow_mut()
            .attach(unix_time_millis(), id)
            .then(|| ResultReader::new(self.clone(), id, from))
    }

    /// Finds what a user's handle stands for, also in the folders of other processes.
    ///
    /// # Errors
    /// See [`ResumeError`].
    pub async fn resume(self: &Rc<Self>, user: &str, handle: &str) -> Result<SpoolId, ResumeError> {
        let found = self.handles.borrow_mut().find(user, handle);
        if found != Err(ResumeError::Unknown) || self.disk.is_none() {
            return found;
        }
        let (user_, handle_) = (user.to_string(), handle.to_ascii_lowercase());
        let wanted = move |begin: &[u8]| {
            unframed::<Beginning>(begin)
                .is_some_and(|(b, _)| b.user == user_ && b.handle == handle_)
        };
        self.bring(Box::new(wanted))
            .await
            .ok_or(ResumeError::Unknown)
    }

    /// What a user can come back for.
    pub async fn list(self: &Rc<Self>, user: &str) -> Vec<ResultListing> {
        for _ in 0..BROUGHT {
            let user = user.to_string();
            let known: Vec<String> = {
                let handles = self.handles.borrow();
                self.held
                    .borrow()
                    .keys()
                    .filter_map(|id| handles.of(*id).map(str::to_string))
                    .collect()
            };
            let wanted = move |begin: &[u8]| {
                unframed::<Beginning>(begin)
                    .is_some_and(|(b, _)| b.user == user && !known.contains(&b.handle))
            };
            if self.processes.get() < 2 || self.bring(Box::new(wanted)).await.is_none() {
                break;
            }
        }
        let (now, held) = (unix_time_millis(), self.held.borrow());
        let own = held
            .iter()
            .filter(|(_, h)| h.owner.user == user && h.trailer.is_some());
        own.filter_map(|(id, h)| {
            let (whole, expires) = self.ledger.borrow().life(*id)?;
            Some(ResultListing {
                handle: self.handles.borrow().of(*id)?.to_string(),
                statement: h.owner.statement.clone(),
                pages: h.page_count(),
                rows: h.rows,
                bytes: h.bytes,
                age_s: (now - whole) / 1000.0,
                expires_in_s: expires.map(|at| (at - now) / 1000.0),
            })
        })
        .collect()
    }

    /// Copies a result of another process over. One look at a time: it reads what others have written.
    async fn bring(self: &Rc<Self>, wanted: disk::Wanted) -> Option<SpoolId> {
        let disk = self.disk.as_ref()?;
        if self.looking.replace(true) {
            return None;
        }
        let id = self.ledger.borrow_mut().reserve();
        let (reply, answer) = oneshot::channel();
        let asked = disk
            .order_in_turn(disk::Order::Look {
                spool: id,
                wanted,
                reply,
            })
            .await;
        let kept = if asked {
            answer.await.ok().flatten()
        } else {
            None
        };
        self.looking.set(false);
        let kept = kept?;
        let Some((held, handle, whole)) = again(&kept, &self.classes, &self.tenants) else {
            disk.order(disk::Order::Forget { spool: id });
            return None;
        };
        let bytes = kept.pages.iter().map(|p| u64::from(p.1)).sum();
        self.ledger
            .borrow_mut()
            .found(unix_time_millis(), id, held.request, bytes, whole);
        self.handles.borrow_mut().put(id, &held.owner.user, &handle);
        self.held.borrow_mut().insert(id, held);
        Some(id)
    }

    /// What of a result a reader needs before its pages.
    pub fn with_result<T>(&self, id: SpoolId, f: impl FnOnce(&SpooledResult) -> T) -> Option<T> {
        self.held.borrow().get(&id).map(f)
    }

    pub fn handle(&self, id: SpoolId) -> Option<String> {
        self.handles.borrow().of(id).map(str::to_string)
    }

    // ---- operators -------------------------------------------------------------------------------

    /// `GET /_spools`, as JSON.
    pub fn status_page(&self) -> String {
        let (now, ledger, handles) = (
            unix_time_millis(),
            self.ledger.borrow(),
            self.handles.borrow(),
        );
        let (memory, on_disk) = ledger.used();
        let rules = ledger.rules();
        let name = |t: &Option<usize>| {
            t.and_then(|t| self.tenants.get(t).cloned())
                .unwrap_or_else(|| "(none)".into())
        };
        let tenants: BTreeMap<String, u64> = ledger
            .tenants()
            .iter()
            .map(|(t, n)| (name(t), *n))
            .collect();
        let page = serde_json::json!({
            "results": ledger.len(), "most_results": rules.max_spools,
            "memory_bytes": memory, "most_memory_bytes": rules.memory_bytes,
            "disk_bytes": on_disk, "most_disk_bytes": rules.disk_bytes,
            "disk": told(ledger.watch.state(), now), "disk_failures": ledger.watch.failures,
            "on_the_way_to_disk_bytes": self.pending.get(),
            "tenant_bytes": tenants,
            "refused": ledger.refused, "failed": ledger.failed, "evicted": ledger.evicted,
            "expired": ledger.expired, "spilled": ledger.spilled, "torn_pages": self.torn.get(),
            "bytes_taken": self.taken.get(),
            "handles": { "others": handles.refused[0], "wrong": handles.refused[1], "expired": handles.refused[2] },
        });
        serde_json::to_string_pretty(&page).unwrap_or_default() + "\n"
    }

    /// Lines for `/_vars`.
    pub fn metrics(&self) -> String {
        let ledger = self.ledger.borrow();
        let (memory, disk) = ledger.used();
        let well = matches!(ledger.watch.state(), DiskState::Well | DiskState::Absent);
        format!(
            "spool.results={}\nspool.memory_bytes={memory}\nspool.disk_bytes={disk}\nspool.disk_well={}\n\
             spool.refused={}\nspool.failed={}\nspool.evicted={}\nspool.expired={}\n",
            ledger.len(),
            u8::from(well),
            ledger.refused,
            ledger.failed,
            ledger.evicted,
            ledger.expired
        )
    }
}

/// The disk's state in words.
fn told(state: &DiskState, now: Millis) -> String {
    let s = |since: &Millis| ((now - since) / 1000.0).max(0.0).round();
    match state {
        DiskState::Absent => "none".into(),
        DiskState::Well => "well".into(),
        DiskState::Full { since } => format!("full for {} s", s(since)),
        DiskState::Failing { since, reason } => format!("failing for {} s: {reason}", s(since)),
        DiskState::Slow { since } => format!("slow for {} s", s(since)),
    }
}

/// A result as it was found on the disk, with its handle and since when it is whole.
fn again(
    kept: &PersistedSpool,
    classes: &[String],
    tenants: &[String],
) -> Option<(SpooledResult, String, Millis)> {
    let (b, head) = unframed::<Beginning>(&kept.begin)?;
    let (e, tail) = unframed::<Ending>(&kept.end)?;
    let place = |list: &[String], name: &str| list.iter().position(|n| n == name);
    let ask = AdmissionRequest {
        tenant: b.tenant.as_deref().and_then(|t| place(tenants, t)),
        class: place(classes, &b.class).unwrap_or(usize::MAX),
        protected: b.load,
    };
    let held = SpooledResult {
        owner: ResultOwner {
            user: b.user,
            statement: b.statement,
            binary: b.binary,
        },
        request: ask,
        header: head,
        trailer: Some(tail),
        stored: kept.pages.len(),
        pages: VecDeque::new(),
        rows: e.rows,
        bytes: e.bytes,
        created: b.created,
        begun: true,
        ended: true,
    };
    Some((held, b.handle, e.whole))
}

/// Packets one behind the other, each behind its length.
pub fn put_packet(dst: &mut BytesMut, payload: &[u8]) {
    dst.put_u32(payload.len() as u32);
    dst.put_slice(payload);
}

/// The packets of a page.
pub fn packets(mut rest: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let (head, tail) = rest.split_first_chunk::<4>()?;
        let (payload, tail) = tail.split_at_checked(u32::from_be_bytes(*head) as usize)?;
        rest = tail;
        Some(payload)
    })
}
