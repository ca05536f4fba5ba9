//! The spool index as the streams use it. The only file of this test that names the machine's own items.

use super::recording::{Recording, float, optional, optional_float};
use query_dispatcher::spool::disk_health::Wrote;
use query_dispatcher::spool::{
    Admission, AdmissionRequest, DiskState, Handles, Order, Placement, ResumeError, SpoolIndex,
    SpoolLimits, SpoolRejection,
};

#[derive(Clone, Copy)]
pub struct Options {
    pub memory: u64,
    pub disk: Option<u64>,
    pub tenant_quota: u64,
    pub result_limit: u64,
    pub time_to_live: f64,
    pub spool_limit: usize,
}

#[derive(Clone, Copy)]
pub struct Request {
    pub tenant: Option<usize>,
    pub class: usize,
    pub is_load: bool,
}

#[derive(Clone, Copy)]
pub enum DiskWrite {
    Well,
    Full,
    Failed,
}

fn limits(options: Options) -> SpoolLimits {
    SpoolLimits {
        memory_bytes: options.memory,
        disk_bytes: options.disk,
        tenant_bytes: options.tenant_quota,
        result_bytes: options.result_limit,
        retention: options.time_to_live,
        max_spools: options.spool_limit,
    }
}

fn ask(request: Request) -> AdmissionRequest {
    AdmissionRequest {
        tenant: request.tenant,
        class: request.class,
        protected: request.is_load,
    }
}

/// The account of spools together with the handles that clients resume by.
pub struct RecordedSpoolIndex {
    ledger: SpoolIndex,
    handles: Handles,
}

impl RecordedSpoolIndex {
    pub fn new(options: Options, classes: usize) -> Self {
        RecordedSpoolIndex {
            ledger: SpoolIndex::new(limits(options), classes),
            handles: Handles::default(),
        }
    }

    pub fn configure(&mut self, options: Options) {
        self.ledger.configure(limits(options));
    }

    pub fn admit(&mut self, now: f64, request: Request, recording: &mut Recording) {
        match self.ledger.admit(now, ask(request)) {
            Admission::Admitted => {
                recording.count("admitted");
                recording.state("admitted");
            }
            Admission::Rejected {
                reason,
                retry_after,
            } => {
                recording.count("not admitted");
                recording.state(&format!("not admitted {}", optional_float(retry_after)));
                recording.wording(reason);
            }
        }
    }

    pub fn open(&mut self, now: f64, request: Request, recording: &mut Recording) -> Option<u64> {
        match self.ledger.open(now, ask(request)) {
            Ok((spool, orders)) => {
                recording.count("opened");
                recording.state(&format!("opened {spool}"));
                self.carry_out(&orders, recording);
                Some(spool)
            }
            Err(error) => {
                record_unfit(error, recording);
                None
            }
        }
    }

    /// A page has come; true if it was stored.
    pub fn page(&mut self, now: f64, spool: u64, bytes: u64, recording: &mut Recording) -> bool {
        let (taken, orders) = self.ledger.take(now, spool, bytes);
        let stored = taken.is_ok();
        match taken {
            Ok(place) => record_place(place, recording),
            Err(error) => record_unfit(error, recording),
        }
        self.carry_out(&orders, recording);
        stored
    }

    /// Records the orders; the handle of an evicted spool expires.
    fn carry_out(&mut self, orders: &[Order], recording: &mut Recording) {
        for order in orders {
            match order {
                Order::Evict(spool) => {
                    recording.count("evict");
                    recording.state(&format!("evict {spool}"));
                    self.handles.expire(*spool);
                }
                Order::Spill(spool) => {
                    recording.count("spill to disk");
                    recording.state(&format!("spill {spool}"));
                }
            }
        }
    }

    pub fn complete(
        &mut self,
        now: f64,
        spool: u64,
        user: &str,
        random: u128,
        recording: &mut Recording,
    ) -> String {
        self.ledger.whole(now, spool);
        let handle = self.handles.give(spool, user, random);
        recording.count("handle given");
        recording.state(&format!("handle {handle} {:?}", self.handles.of(spool)));
        handle
    }

    pub fn persist(&mut self, now: f64, spool: u64, recording: &mut Recording) {
        let orders = self.ledger.persist(now, spool);
        self.carry_out(&orders, recording);
    }

    pub fn fail(&mut self, spool: u64) {
        self.ledger.fail(spool);
        self.handles.expire(spool);
    }

    pub fn returned(&mut self, spool: u64, bytes: u64) {
        self.ledger.returned(spool, bytes);
    }

    /// A complete spool of an earlier process is found on the disk.
    pub fn found(
        &mut self,
        now: f64,
        request: Request,
        bytes: u64,
        completed: f64,
        user: &str,
        handle: &str,
    ) -> u64 {
        let spool = self.ledger.reserve();
        self.ledger
            .found(now, spool, ask(request), bytes, completed);
        self.handles.put(spool, user, handle);
        spool
    }

    pub fn attach(&mut self, now: f64, spool: u64, recording: &mut Recording) -> bool {
        let attached = self.ledger.attach(now, spool);
        recording.count(if attached {
            "reader attached"
        } else {
            "reader without spool"
        });
        recording.state(&format!("attached {attached}"));
        attached
    }

    pub fn reading(&mut self, now: f64, spool: u64) {
        self.ledger.reading(now, spool);
    }

    pub fn detach(&mut self, now: f64, spool: u64, complete: bool) {
        self.ledger.detach(now, spool, complete);
    }

    pub fn disk_write(&mut self, now: f64, took: f64, write: DiskWrite, recording: &mut Recording) {
        let outcome = match write {
            DiskWrite::Well => Wrote::Well,
            DiskWrite::Full => Wrote::Full,
            DiskWrite::Failed => Wrote::Failed("read-only".into()),
        };
        let changed = self.ledger.wrote(now, took, outcome);
        recording.state(&format!("disk changed {changed}"));
    }

    pub fn learn_size(&mut self, class: usize, bytes: f64) {
        self.ledger.learn(class, bytes);
    }

    pub fn expire(&mut self, now: f64, recording: &mut Recording) {
        for spool in self.ledger.expire(now) {
            recording.count("expired");
            recording.state(&format!("expired {spool}"));
            self.handles.expire(spool);
        }
    }

    pub fn resume(&mut self, user: &str, handle: &str, recording: &mut Recording) {
        match self.handles.find(user, handle) {
            Ok(spool) => {
                recording.count("resumed");
                recording.state(&format!("resumed {spool}"));
            }
            Err(error) => {
                recording.count(resume_error_kind(error));
                recording.state(resume_error_kind(error));
                recording.wording(&error.to_string());
            }
        }
    }

    pub fn record_all(&self, now: f64, spools: &[u64], classes: usize, recording: &mut Recording) {
        let ledger = &self.ledger;
        assert!(ledger.adds_up(), "the account of all spools adds up");
        let totals = [
            ledger.refused,
            ledger.failed,
            ledger.evicted,
            ledger.expired,
            ledger.spilled,
        ];
        let expected: Vec<u64> = (0..classes).map(|class| ledger.expected(class)).collect();
        recording.state(&format!(
            "used {:?} {} {}",
            ledger.used(),
            ledger.len(),
            ledger.is_empty()
        ));
        recording.state(&format!("totals {totals:?} expected {expected:?}"));
        recording.state(&format!(
            "next expiry {}",
            optional_float(ledger.next_expiry())
        ));
        for (tenant, bytes) in ledger.tenants() {
            recording.state(&format!("tenant {} {bytes}", optional(*tenant)));
        }
        let disk = [
            disk_text(ledger.watch.state()),
            ledger.watch.takes(now).to_string(),
        ];
        recording.count(disk_kind(ledger.watch.state()));
        recording.state(&format!("disk {disk:?} {}", ledger.watch.failures));
        let handles = &self.handles;
        recording.state(&format!(
            "handles {} {} {:?}",
            handles.len(),
            handles.is_empty(),
            handles.refused
        ));
        spools
            .iter()
            .for_each(|spool| self.record_spool(*spool, recording));
    }

    fn record_spool(&self, spool: u64, recording: &mut Recording) {
        let life = self
            .ledger
            .life(spool)
            .map(|(whole, until)| [float(whole), optional_float(until)]);
        let (present, spilled) = (self.ledger.contains(spool), self.ledger.is_spilled(spool));
        recording.state(&format!(
            "spool {spool} {present} {spilled} {life:?} {:?}",
            self.handles.of(spool)
        ));
    }
}

fn record_place(place: Placement, recording: &mut Recording) {
    let kind = match place {
        Placement::Memory => "page in memory",
        Placement::Disk => "page on disk",
    };
    recording.count(kind);
    recording.state(kind);
}

fn record_unfit(error: SpoolRejection, recording: &mut Recording) {
    let kind = match error {
        SpoolRejection::Result(_) => "above result limit",
        SpoolRejection::Tenant(_) => "above tenant quota",
        SpoolRejection::Room => "no room",
        SpoolRejection::Many => "too many spools",
        SpoolRejection::Unknown => "unknown spool",
    };
    recording.count(kind);
    recording.state(kind);
    recording.wording(&error.to_string());
}

fn resume_error_kind(error: ResumeError) -> &'static str {
    match error {
        ResumeError::Unknown => "handle unknown",
        ResumeError::Expired => "handle expired",
        ResumeError::Malformed => "handle malformed",
    }
}

fn disk_kind(state: &DiskState) -> &'static str {
    match state {
        DiskState::Absent => "disk absent",
        DiskState::Well => "disk well",
        DiskState::Full { .. } => "disk full",
        DiskState::Failing { .. } => "disk failing",
        DiskState::Slow { .. } => "disk slow",
    }
}

fn disk_text(state: &DiskState) -> String {
    let particulars = match state {
        DiskState::Absent | DiskState::Well => String::new(),
        DiskState::Full { since } | DiskState::Slow { since } => float(*since),
        DiskState::Failing { since, reason } => format!("{} {reason}", float(*since)),
    };
    format!("{} {particulars}", disk_kind(state))
}
