//! The spool index as the streams use it. The only file of this test that names the machine's own items.

use super::recording::{Recording, float, optional, optional_float};
use query_dispatcher::spool::{
    Admission, AdmissionRequest, DiskState, HandleTable, Placement, RestoredSpool, ResumeError,
    SpoolCommand, SpoolIndex, SpoolLimits, SpoolRejection, WriteOutcome,
};

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) memory: u64,
    pub(crate) disk: Option<u64>,
    pub(crate) tenant_quota: u64,
    pub(crate) result_limit: u64,
    pub(crate) time_to_live: f64,
    pub(crate) spool_limit: usize,
}

#[derive(Clone, Copy)]
pub(crate) struct Request {
    pub(crate) tenant: Option<usize>,
    pub(crate) class: usize,
    pub(crate) is_load: bool,
}

#[derive(Clone, Copy)]
pub(crate) enum DiskWrite {
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
pub(crate) struct RecordedSpoolIndex {
    ledger: SpoolIndex,
    handles: HandleTable,
}

impl RecordedSpoolIndex {
    pub(crate) fn new(options: Options, classes: usize) -> Self {
        RecordedSpoolIndex {
            ledger: SpoolIndex::new(limits(options), classes),
            handles: HandleTable::default(),
        }
    }

    pub(crate) fn configure(&mut self, options: Options) {
        self.ledger.configure(limits(options));
    }

    pub(crate) fn admit(&mut self, now: f64, request: Request, recording: &mut Recording) {
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

    pub(crate) fn open(
        &mut self,
        now: f64,
        request: Request,
        recording: &mut Recording,
    ) -> Option<u64> {
        match self.ledger.open(now, ask(request)) {
            Ok(opened) => {
                let spool = opened.id;
                recording.count("opened");
                recording.state(&format!("opened {spool}"));
                self.carry_out(&opened.commands, recording);
                Some(spool)
            }
            Err(error) => {
                record_unfit(error, recording);
                None
            }
        }
    }

    /// A page has come; true if it was stored.
    pub(crate) fn page(
        &mut self,
        now: f64,
        spool: u64,
        bytes: u64,
        recording: &mut Recording,
    ) -> bool {
        let outcome = self.ledger.add_page(now, spool, bytes);
        let stored = outcome.placement.is_ok();
        match outcome.placement {
            Ok(place) => record_place(place, recording),
            Err(error) => record_unfit(error, recording),
        }
        self.carry_out(&outcome.commands, recording);
        stored
    }

    /// Records the orders; the handle of an evicted spool expires.
    fn carry_out(&mut self, orders: &[SpoolCommand], recording: &mut Recording) {
        for order in orders {
            match order {
                SpoolCommand::Evict(spool) => {
                    recording.count("evict");
                    recording.state(&format!("evict {spool}"));
                    self.handles.expire(*spool);
                }
                SpoolCommand::Spill(spool) => {
                    recording.count("spill to disk");
                    recording.state(&format!("spill {spool}"));
                }
            }
        }
    }

    pub(crate) fn complete(
        &mut self,
        now: f64,
        spool: u64,
        user: &str,
        random: u128,
        recording: &mut Recording,
    ) -> String {
        self.ledger.complete(now, spool);
        let handle = self.handles.issue(spool, user, random);
        recording.count("handle given");
        recording.state(&format!(
            "handle {handle} {:?}",
            self.handles.of_spool(spool)
        ));
        handle
    }

    pub(crate) fn persist(&mut self, now: f64, spool: u64, recording: &mut Recording) {
        let orders = self.ledger.persist(now, spool);
        self.carry_out(&orders, recording);
    }

    pub(crate) fn fail(&mut self, spool: u64) {
        self.ledger.fail(spool);
        self.handles.expire(spool);
    }

    pub(crate) fn returned(&mut self, spool: u64, bytes: u64) {
        self.ledger.return_to_memory(spool, bytes);
    }

    /// A complete spool of an earlier process is found on the disk.
    pub(crate) fn found(
        &mut self,
        now: f64,
        request: Request,
        bytes: u64,
        completed: f64,
        user: &str,
        handle: &str,
    ) -> u64 {
        let spool = self.ledger.reserve_id();
        let restored = RestoredSpool {
            id: spool,
            request: ask(request),
            bytes,
            completed_at: completed,
        };
        self.ledger.restore(now, restored);
        self.handles.restore(spool, user, handle);
        spool
    }

    pub(crate) fn attach(&mut self, now: f64, spool: u64, recording: &mut Recording) -> bool {
        let attached = self.ledger.attach_reader(now, spool);
        recording.count(if attached {
            "reader attached"
        } else {
            "reader without spool"
        });
        recording.state(&format!("attached {attached}"));
        attached
    }

    pub(crate) fn reading(&mut self, now: f64, spool: u64) {
        self.ledger.record_read(now, spool);
    }

    pub(crate) fn detach(&mut self, now: f64, spool: u64, complete: bool) {
        self.ledger.detach_reader(now, spool, complete);
    }

    pub(crate) fn disk_write(
        &mut self,
        now: f64,
        took: f64,
        write: DiskWrite,
        recording: &mut Recording,
    ) {
        let outcome = match write {
            DiskWrite::Well => WriteOutcome::Success,
            DiskWrite::Full => WriteOutcome::Full,
            DiskWrite::Failed => WriteOutcome::Failed("read-only".into()),
        };
        let changed = self.ledger.record_disk_write(now, took, outcome);
        recording.state(&format!("disk changed {changed}"));
    }

    pub(crate) fn learn_size(&mut self, class: usize, bytes: f64) {
        self.ledger.record_result_size(class, bytes);
    }

    pub(crate) fn expire(&mut self, now: f64, recording: &mut Recording) {
        for spool in self.ledger.expire(now) {
            recording.count("expired");
            recording.state(&format!("expired {spool}"));
            self.handles.expire(spool);
        }
    }

    pub(crate) fn resume(&mut self, user: &str, handle: &str, recording: &mut Recording) {
        match self.handles.resolve(user, handle) {
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

    pub(crate) fn record_all(
        &self,
        now: f64,
        spools: &[u64],
        classes: usize,
        recording: &mut Recording,
    ) {
        let ledger = &self.ledger;
        assert!(ledger.is_consistent(), "the account of all spools adds up");
        let counters = ledger.counters();
        let totals = [
            counters.rejected,
            counters.failed,
            counters.evicted,
            counters.expired,
            counters.spilled,
        ];
        let usage = ledger.usage();
        let expected: Vec<u64> = (0..classes)
            .map(|class| ledger.expected_bytes(class))
            .collect();
        recording.state(&format!(
            "used {:?} {} {}",
            (usage.memory_bytes, usage.disk_bytes),
            ledger.len(),
            ledger.is_empty()
        ));
        recording.state(&format!("totals {totals:?} expected {expected:?}"));
        recording.state(&format!(
            "next expiry {}",
            optional_float(ledger.next_expiry())
        ));
        for (tenant, bytes) in ledger.bytes_by_tenant() {
            recording.state(&format!("tenant {} {bytes}", optional(*tenant)));
        }
        let disk = [
            disk_text(ledger.disk_health().state()),
            ledger.disk_health().accepts_writes(now).to_string(),
        ];
        recording.count(disk_kind(ledger.disk_health().state()));
        recording.state(&format!(
            "disk {disk:?} {}",
            ledger.disk_health().failures()
        ));
        let handles = &self.handles;
        let rejections = handles.rejections();
        let refused = [
            rejections.other_user,
            rejections.unknown,
            rejections.expired,
        ];
        recording.state(&format!(
            "handles {} {} {:?}",
            handles.len(),
            handles.is_empty(),
            refused
        ));
        spools
            .iter()
            .for_each(|spool| self.record_spool(*spool, recording));
    }

    fn record_spool(&self, spool: u64, recording: &mut Recording) {
        let life = self.ledger.lifetime(spool).map(|lifetime| {
            [
                float(lifetime.completed_at),
                optional_float(lifetime.expires_at),
            ]
        });
        let (present, spilled) = (self.ledger.contains(spool), self.ledger.is_spilled(spool));
        recording.state(&format!(
            "spool {spool} {present} {spilled} {life:?} {:?}",
            self.handles.of_spool(spool)
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
        SpoolRejection::ResultTooLarge(_) => "above result limit",
        SpoolRejection::TenantQuota(_) => "above tenant quota",
        SpoolRejection::NoCapacity => "no room",
        SpoolRejection::TooManySpools => "too many spools",
        SpoolRejection::UnknownSpool => "unknown spool",
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
        DiskState::Healthy => "disk well",
        DiskState::Full { .. } => "disk full",
        DiskState::Failing { .. } => "disk failing",
        DiskState::Slow { .. } => "disk slow",
    }
}

fn disk_text(state: &DiskState) -> String {
    let particulars = match state {
        DiskState::Absent | DiskState::Healthy => String::new(),
        DiskState::Full { since } | DiskState::Slow { since } => float(*since),
        DiskState::Failing { since, reason } => format!("{} {reason}", float(*since)),
    };
    format!("{} {particulars}", disk_kind(state))
}
