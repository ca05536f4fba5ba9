//! The account of all spools, and what is to be done with them.

use crate::decision::model::Millis;
use crate::spool::disk_health::{DiskWatch, Wrote};
use std::collections::{BTreeMap, BTreeSet};

pub type SpoolId = u64;

/// What the operators' file says of spools. Sizes in bytes, spans in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SpoolLimits {
    /// All pages in memory together.
    pub memory_bytes: u64,
    /// All pages on the disk together; none without a folder.
    pub disk_bytes: Option<u64>,
    /// All results of one tenant together, wherever they lie; requests without a tenant count as one.
    pub tenant_bytes: u64,
    /// One result.
    pub result_bytes: u64,
    /// A result stays for so long after it was whole and after it was last read.
    pub retention: Millis,
    /// Spools at a time.
    pub max_spools: usize,
}

impl Default for SpoolLimits {
    fn default() -> Self {
        SpoolLimits {
            memory_bytes: 64 << 20,
            disk_bytes: None,
            tenant_bytes: u64::MAX,
            result_bytes: 1 << 20,
            retention: 60_000.0,
            max_spools: 10_000,
        }
    }
}

/// A result that is about to be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    pub tenant: Option<usize>,
    pub class: usize,
    /// It must not run twice: what it brings cannot be brought again.
    pub protected: bool,
}

/// Whether there will be room.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    Admitted,
    /// Nothing is to be sent: nowhere would its result fit. `later`: when room may come, in milliseconds from now.
    Rejected {
        reason: &'static str,
        retry_after: Option<Millis>,
    },
}

/// Why a page is not taken, and the whole result with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpoolRejection {
    #[error("the result is above the bound of {0} bytes")]
    Result(u64),
    #[error("its tenant's results are above their bound of {0} bytes")]
    Tenant(u64),
    #[error("neither memory nor disk has room for the result")]
    Room,
    #[error("too many results wait for their readers")]
    Many,
    #[error("there is no such spool")]
    Unknown,
}

/// Where a page goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Memory,
    Disk,
}

/// What is to be done before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// All its pages are forgotten, and its handle is one of an expired result.
    Evict(SpoolId),
    /// Its pages in memory go to the disk, and those that follow.
    Spill(SpoolId),
}

#[derive(Clone, Debug, PartialEq)]
struct Spool {
    tenant: Option<usize>,
    class: usize,
    protected: bool,
    /// When its last page came; none while the engine still answers.
    whole: Option<Millis>,
    memory_bytes: u64,
    disk_bytes: u64,
    /// Pages go to the disk from now on.
    spilled: bool,
    readers: usize,
    /// Everything was read to its end at some time.
    read: bool,
    used: Millis,
}

impl Spool {
    fn bytes(&self) -> u64 {
        self.memory_bytes + self.disk_bytes
    }

    /// It may be thrown away: it is whole, and nobody reads it.
    fn idle(&self) -> bool {
        self.whole.is_some() && self.readers == 0
    }
}

/// What a class's results were like of late, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sizes {
    mean: f64,
    spread: f64,
    seen: f64,
}

/// A result up to this, in bytes, is handed over at once: it needs no room here.
pub const SHORT: usize = 64 << 10;
/// The weight that a class's sizes keep at each result.
const KEEP: f64 = 0.95;
/// Results before their sizes are believed.
const BELIEVE: f64 = 5.0;

/// The account.
#[derive(Clone, Debug)]
pub struct SpoolIndex {
    rules: SpoolLimits,
    spools: BTreeMap<SpoolId, Spool>,
    next: SpoolId,
    memory_bytes: u64,
    disk_bytes: u64,
    tenants: BTreeMap<Option<usize>, u64>,
    sizes: Vec<Sizes>,
    pub watch: DiskWatch,
    /// Since the start: refused before they were asked for, failed after, evicted, expired, spilled.
    pub refused: u64,
    pub failed: u64,
    pub evicted: u64,
    pub expired: u64,
    pub spilled: u64,
}

impl SpoolIndex {
    /// `classes` is how many classes there are.
    pub fn new(rules: SpoolLimits, classes: usize) -> Self {
        SpoolIndex {
            watch: DiskWatch::new(rules.disk_bytes.is_some()),
            rules,
            spools: BTreeMap::new(),
            next: 1,
            memory_bytes: 0,
            disk_bytes: 0,
            tenants: BTreeMap::new(),
            sizes: vec![Sizes::default(); classes],
            refused: 0,
            failed: 0,
            evicted: 0,
            expired: 0,
            spilled: 0,
        }
    }

    pub fn rules(&self) -> &SpoolLimits {
        &self.rules
    }

    /// Other bounds are in force. What is there stays until it expires or makes room.
    pub fn configure(&mut self, rules: SpoolLimits) {
        if rules.disk_bytes.is_some() != self.rules.disk_bytes.is_some() {
            self.watch = DiskWatch::new(rules.disk_bytes.is_some());
        }
        self.rules = rules;
    }

    /// What a result of this class is likely to need, in bytes: the mean and one spread above it, as the last ones
    /// were. Nothing is expected of a class that has brought none.
    pub fn expected(&self, class: usize) -> u64 {
        match self.sizes.get(class) {
            Some(s) if s.seen >= BELIEVE => {
                ((s.mean + s.spread) as u64).min(self.rules.result_bytes)
            }
            _ => 0,
        }
    }

    /// Is a request to be sent at all? Refused here, nothing has run.
    pub fn admit(&mut self, now: Millis, ask: AdmissionRequest) -> Admission {
        let expected = self.expected(ask.class);
        let no = |reason| Some(reason);
        let reason = match () {
            // What is short waits nowhere.
            () if expected <= SHORT as u64 => None,
            () if self.spools.len() >= self.rules.max_spools
                && self.evictable(ask.protected).next().is_none() =>
            {
                no("too many results wait for their readers")
            }
            () if self.tenant_room(ask.tenant, ask.protected) < expected => {
                no("its tenant's results leave no room for another")
            }
            () if self.room(now, ask.protected) < expected => {
                no("neither memory nor disk has room for its result")
            }
            () => None,
        };
        match reason {
            None => Admission::Admitted,
            Some(reason) => {
                self.refused += 1;
                Admission::Rejected {
                    reason,
                    retry_after: self.next_expiry().map(|at| (at - now).max(0.0)),
                }
            }
        }
    }

    /// What one result can have at most: in memory, or on the disk, for one that outgrows memory goes there whole. What
    /// is free counts, and what may be thrown away for it.
    fn room(&self, now: Millis, load: bool) -> u64 {
        let takes = self.watch.takes(now);
        let mut memory = self.rules.memory_bytes.saturating_sub(self.memory_bytes);
        let mut disk = self
            .rules
            .disk_bytes
            .filter(|_| takes)
            .map_or(0, |d| d.saturating_sub(self.disk_bytes));
        for s in self.evictable(load).filter_map(|id| self.spools.get(id)) {
            memory += s.memory_bytes;
            disk += if takes { s.disk_bytes } else { 0 };
        }
        memory.max(disk)
    }

    fn tenant_room(&self, tenant: Option<usize>, load: bool) -> u64 {
        let used = self.tenants.get(&tenant).copied().unwrap_or(0);
        let own = self
            .evictable(load)
            .filter_map(|id| self.spools.get(id))
            .filter(|s| s.tenant == tenant);
        self.rules.tenant_bytes.saturating_sub(used) + own.map(Spool::bytes).sum::<u64>()
    }

    /// What may be thrown away for a result: what is whole and read by nobody; for a report no load's.
    fn evictable(&self, load: bool) -> impl Iterator<Item = &SpoolId> {
        self.spools
            .iter()
            .filter(move |(_, s)| s.idle() && (load || !s.protected))
            .map(|(id, _)| id)
    }

    /// A result outgrows what is handed over at once: from now on it is a spool.
    ///
    /// # Errors
    /// [`Unfit::Many`].
    pub fn open(
        &mut self,
        now: Millis,
        ask: AdmissionRequest,
    ) -> Result<(SpoolId, Vec<Order>), SpoolRejection> {
        let mut orders = vec![];
        if self.spools.len() >= self.rules.max_spools {
            let Some(victim) = self.victim(ask.protected, |_| true) else {
                self.failed += 1;
                return Err(SpoolRejection::Many);
            };
            self.evict(victim, &mut orders);
        }
        let id = self.next;
        self.next += 1;
        let spool = Spool {
            tenant: ask.tenant,
            class: ask.class,
            protected: ask.protected,
            whole: None,
            memory_bytes: 0,
            disk_bytes: 0,
            spilled: false,
            readers: 0,
            read: false,
            used: now,
        };
        self.spools.insert(id, spool);
        Ok((id, orders))
    }

    /// A whole spool that an earlier process left on the disk.
    pub fn found(
        &mut self,
        now: Millis,
        id: SpoolId,
        ask: AdmissionRequest,
        bytes: u64,
        whole: Millis,
    ) {
        self.next = self.next.max(id + 1);
        let spool = Spool {
            tenant: ask.tenant,
            class: ask.class,
            protected: ask.protected,
            whole: Some(whole.min(now)),
            memory_bytes: 0,
            disk_bytes: bytes,
            spilled: true,
            readers: 0,
            read: false,
            used: whole.min(now),
        };
        self.disk_bytes += bytes;
        *self.tenants.entry(ask.tenant).or_default() += bytes;
        self.spools.insert(id, spool);
    }

    /// A page of so many bytes has come. On an error the whole result is given up: see [`SpoolIndex::fail`]. The orders hold
    /// either way: what was thrown away is gone.
    pub fn take(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
    ) -> (Result<Placement, SpoolRejection>, Vec<Order>) {
        let mut orders = vec![];
        let taken = self.try_take(now, id, bytes, &mut orders);
        (taken, orders)
    }

    fn try_take(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
        orders: &mut Vec<Order>,
    ) -> Result<Placement, SpoolRejection> {
        let Some(s) = self.spools.get(&id) else {
            return Err(SpoolRejection::Unknown);
        };
        let (tenant, load) = (s.tenant, s.protected);
        if s.bytes() + bytes > self.rules.result_bytes {
            return Err(SpoolRejection::Result(self.rules.result_bytes));
        }
        // Nothing is thrown away for what would not fit all the same.
        if self.tenant_room(tenant, load) < bytes {
            return Err(SpoolRejection::Tenant(self.rules.tenant_bytes));
        }
        if self.room(now, load) < bytes {
            return Err(SpoolRejection::Room);
        }
        while self.tenants.get(&tenant).copied().unwrap_or(0) + bytes > self.rules.tenant_bytes {
            let own = self.victim(load, |s| s.tenant == tenant);
            let Some(own) = own else {
                return Err(SpoolRejection::Tenant(self.rules.tenant_bytes));
            };
            self.evict(own, orders);
        }
        let place = loop {
            if let Some(place) = self.place(now, id, bytes, orders) {
                break place;
            }
            // Room has to be made: the least missed goes, until it is enough.
            let Some(victim) = self.victim(load, |_| true) else {
                return Err(SpoolRejection::Room);
            };
            self.evict(victim, orders);
        };
        *self.tenants.entry(tenant).or_default() += bytes;
        match place {
            Placement::Memory => self.memory_bytes += bytes,
            Placement::Disk => self.disk_bytes += bytes,
        }
        if let Some(s) = self.spools.get_mut(&id) {
            match place {
                Placement::Memory => s.memory_bytes += bytes,
                Placement::Disk => s.disk_bytes += bytes,
            }
            s.used = now;
        }
        Ok(place)
    }

    /// Where a page fits as things are; spools move to the disk if that makes room in memory.
    fn place(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
        orders: &mut Vec<Order>,
    ) -> Option<Placement> {
        let spilled = self.spools.get(&id).is_some_and(|s| s.spilled);
        let disk_has = |l: &SpoolIndex, n: u64| {
            l.watch.takes(now) && l.rules.disk_bytes.is_some_and(|d| l.disk_bytes + n <= d)
        };
        if spilled && disk_has(self, bytes) {
            return Some(Placement::Disk);
        }
        if self.memory_bytes + bytes <= self.rules.memory_bytes {
            return Some(Placement::Memory);
        }
        // The one that holds most of memory goes to the disk: it is the one whose reader is furthest behind, and
        // after it memory serves the many small ones again.
        while self.memory_bytes + bytes > self.rules.memory_bytes {
            let most = self
                .spools
                .iter()
                .filter(|(_, s)| s.memory_bytes > 0)
                .max_by_key(|(_, s)| s.memory_bytes);
            let (victim, memory) = most.map(|(id, s)| (*id, s.memory_bytes))?;
            if !disk_has(self, memory + bytes) {
                return None;
            }
            self.spill(victim, orders);
            if victim == id {
                return disk_has(self, bytes).then_some(Placement::Disk);
            }
        }
        Some(Placement::Memory)
    }

    fn spill(&mut self, id: SpoolId, orders: &mut Vec<Order>) {
        if let Some(s) = self.spools.get_mut(&id) {
            self.memory_bytes -= s.memory_bytes;
            self.disk_bytes += s.memory_bytes;
            s.disk_bytes += s.memory_bytes;
            (s.memory_bytes, s.spilled) = (0, true);
            self.spilled += 1;
            orders.push(Order::Spill(id));
        }
    }

    /// The least missed of those that may go: read to its end, then a report, then unused for longest.
    fn victim(&self, load: bool, also: impl Fn(&Spool) -> bool) -> Option<SpoolId> {
        let ids = self
            .evictable(load)
            .filter_map(|id| Some((id, self.spools.get(id)?)));
        ids.filter(|(_, s)| also(s))
            .min_by(|(_, a), (_, b)| {
                b.read
                    .cmp(&a.read)
                    .then(a.protected.cmp(&b.protected))
                    .then(a.used.total_cmp(&b.used))
            })
            .map(|(id, _)| *id)
    }

    fn evict(&mut self, id: SpoolId, orders: &mut Vec<Order>) {
        self.remove(id);
        self.evicted += 1;
        orders.push(Order::Evict(id));
    }

    fn remove(&mut self, id: SpoolId) {
        let Some(s) = self.spools.remove(&id) else {
            return;
        };
        self.memory_bytes -= s.memory_bytes;
        self.disk_bytes -= s.disk_bytes;
        if s.disk_bytes > 0 {
            self.watch.freed();
        }
        if let Some(t) = self.tenants.get_mut(&s.tenant) {
            *t -= s.bytes();
            if *t == 0 {
                self.tenants.remove(&s.tenant);
            }
        }
    }

    /// So many bytes that were to go to the disk did not get there: they are still in memory, above its bound if need
    /// be, until their spool ends.
    pub fn returned(&mut self, id: SpoolId, bytes: u64) {
        if let Some(s) = self.spools.get_mut(&id) {
            let bytes = bytes.min(s.disk_bytes);
            (s.disk_bytes, s.memory_bytes, s.spilled) =
                (s.disk_bytes - bytes, s.memory_bytes + bytes, false);
            (self.disk_bytes, self.memory_bytes) =
                (self.disk_bytes - bytes, self.memory_bytes + bytes);
        }
    }

    /// Its pages could not be written, or its engine failed: nothing of it is kept.
    pub fn fail(&mut self, id: SpoolId) {
        if self.spools.contains_key(&id) {
            self.failed += 1;
            self.remove(id);
        }
    }

    /// The last page is here.
    pub fn whole(&mut self, now: Millis, id: SpoolId) {
        let Some(s) = self.spools.get_mut(&id) else {
            return;
        };
        (s.whole, s.used) = (Some(now), now);
        let (class, bytes) = (s.class, s.bytes() as f64);
        self.learn(class, bytes);
    }

    /// A result of this size was brought, as a spool or at once.
    pub fn learn(&mut self, class: usize, bytes: f64) {
        if let Some(s) = self.sizes.get_mut(class) {
            let keep = KEEP.min(s.seen / (s.seen + 1.0));
            let far = (bytes - s.mean).abs();
            s.mean = keep * s.mean + (1.0 - keep) * bytes;
            s.spread = if s.seen > 0.0 {
                keep * s.spread + (1.0 - keep) * far
            } else {
                0.0
            };
            s.seen += 1.0;
        }
    }

    /// What is whole goes to the disk if that takes it, so that it outlives the process.
    pub fn persist(&mut self, now: Millis, id: SpoolId) -> Vec<Order> {
        let mut orders = vec![];
        let memory = self
            .spools
            .get(&id)
            .filter(|s| s.whole.is_some())
            .map_or(0, |s| s.memory_bytes);
        let fits = self
            .rules
            .disk_bytes
            .is_some_and(|d| self.disk_bytes + memory <= d);
        if memory > 0 && fits && self.watch.takes(now) {
            self.spill(id, &mut orders);
            self.spilled -= 1; // not for want of memory
        }
        orders
    }

    /// Its pages go to the disk.
    pub fn is_spilled(&self, id: SpoolId) -> bool {
        self.spools.get(&id).is_some_and(|s| s.spilled)
    }

    /// A number for a spool that may be found.
    pub fn reserve(&mut self) -> SpoolId {
        self.next += 1;
        self.next - 1
    }

    /// Somebody reads it; it stays as long as that goes on. False if it is not there.
    pub fn attach(&mut self, now: Millis, id: SpoolId) -> bool {
        let Some(s) = self.spools.get_mut(&id) else {
            return false;
        };
        (s.readers, s.used) = (s.readers + 1, now);
        true
    }

    /// A reader has gone on: its result is not about to expire.
    pub fn reading(&mut self, now: Millis, id: SpoolId) {
        if let Some(s) = self.spools.get_mut(&id) {
            s.used = now;
        }
    }

    /// A reader has gone; `to_the_end` if it had all of it.
    pub fn detach(&mut self, now: Millis, id: SpoolId, to_the_end: bool) {
        if let Some(s) = self.spools.get_mut(&id) {
            (s.readers, s.used) = (s.readers.saturating_sub(1), now);
            s.read |= to_the_end;
        }
    }

    /// How a write to the disk ended. True if the disk's state is another by it.
    pub fn wrote(&mut self, now: Millis, took: Millis, what: Wrote) -> bool {
        self.watch.wrote(now, took, what)
    }

    /// Results that nobody came for in time; they are forgotten.
    pub fn expire(&mut self, now: Millis) -> Vec<SpoolId> {
        let keep = self.rules.retention;
        let over = self
            .spools
            .iter()
            .filter(|(_, s)| s.idle() && s.used + keep <= now);
        let over: Vec<SpoolId> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.remove(*id);
            self.expired += 1;
        }
        over
    }

    /// When the next result expires, if nobody comes for it.
    pub fn next_expiry(&self) -> Option<Millis> {
        let idle = self.spools.values().filter(|s| s.idle());
        idle.map(|s| s.used + self.rules.retention).reduce(f64::min)
    }

    pub fn contains(&self, id: SpoolId) -> bool {
        self.spools.contains_key(&id)
    }

    /// Since when it is whole, and when it expires unless it is read.
    pub fn life(&self, id: SpoolId) -> Option<(Millis, Option<Millis>)> {
        let s = self.spools.get(&id)?;
        Some((
            s.whole?,
            (s.readers == 0).then_some(s.used + self.rules.retention),
        ))
    }

    /// Bytes in memory and on the disk.
    pub fn used(&self) -> (u64, u64) {
        (self.memory_bytes, self.disk_bytes)
    }

    pub fn len(&self) -> usize {
        self.spools.len()
    }

    pub fn is_empty(&self) -> bool {
        self.spools.is_empty()
    }

    /// Bytes by tenant.
    pub fn tenants(&self) -> &BTreeMap<Option<usize>, u64> {
        &self.tenants
    }

    /// The account adds up. For tests: it looks at everything.
    pub fn adds_up(&self) -> bool {
        let sum = |f: fn(&Spool) -> u64| self.spools.values().map(f).sum::<u64>();
        let tenants: BTreeSet<_> = self.spools.values().map(|s| s.tenant).collect();
        let by_tenant = tenants.iter().all(|t| {
            let own = self
                .spools
                .values()
                .filter(|s| s.tenant == *t)
                .map(Spool::bytes)
                .sum::<u64>();
            self.tenants.get(t).copied().unwrap_or(0) == own
        });
        sum(|s| s.memory_bytes) == self.memory_bytes
            && sum(|s| s.disk_bytes) == self.disk_bytes
            && by_tenant
    }
}
