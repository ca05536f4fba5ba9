//! Adapter to the spool index: the only file of this test that uses the library's spool items.

use super::recording::{Recording, float, optional, optional_float};
use query_dispatcher::spool::{
    Admission, AdmissionRequest, DiskState, HandleTable, Placement, RestoredSpool, ResumeError,
    SpoolCommand, SpoolIndex, SpoolLimits, SpoolRejection, WriteOutcome,
};

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) memory_bytes: u64,
    pub(crate) disk_bytes: Option<u64>,
    pub(crate) tenant_quota_bytes: u64,
    pub(crate) max_result_bytes: u64,
    pub(crate) retention: f64,
    pub(crate) max_spools: usize,
}

#[derive(Clone, Copy)]
pub(crate) struct Request {
    pub(crate) tenant: Option<usize>,
    pub(crate) class: usize,
    pub(crate) is_load: bool,
}

#[derive(Clone, Copy)]
pub(crate) enum DiskWrite {
    Successful,
    Full,
    Failed,
}

fn limits(options: Options) -> SpoolLimits {
    SpoolLimits {
        memory_bytes: options.memory_bytes,
        disk_bytes: options.disk_bytes,
        tenant_bytes: options.tenant_quota_bytes,
        result_bytes: options.max_result_bytes,
        retention: options.retention,
        max_spools: options.max_spools,
    }
}

fn admission_request(request: Request) -> AdmissionRequest {
    AdmissionRequest {
        tenant: request.tenant,
        class: request.class,
        protected: request.is_load,
    }
}

/// The spool index with the handles by which clients resume their results.
pub(crate) struct RecordedSpoolIndex {
    index: SpoolIndex,
    handles: HandleTable,
}

impl RecordedSpoolIndex {
    pub(crate) fn new(options: Options, classes: usize) -> Self {
        RecordedSpoolIndex {
            index: SpoolIndex::new(limits(options), classes),
            handles: HandleTable::default(),
        }
    }

    pub(crate) fn configure(&mut self, options: Options) {
        self.index.configure(limits(options));
    }

    pub(crate) fn admit(&mut self, now: f64, request: Request, recording: &mut Recording) {
        match self.index.admit(now, admission_request(request)) {
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
        match self.index.open(now, admission_request(request)) {
            Ok(opened) => {
                let spool = opened.id;
                recording.count("opened");
                recording.state(&format!("opened {spool}"));
                self.execute(&opened.commands, recording);
                Some(spool)
            }
            Err(error) => {
                record_rejection(error, recording);
                None
            }
        }
    }

    /// Adds a page to a spool; returns true if it was stored.
    pub(crate) fn page(
        &mut self,
        now: f64,
        spool: u64,
        bytes: u64,
        recording: &mut Recording,
    ) -> bool {
        let outcome = self.index.add_page(now, spool, bytes);
        let stored = outcome.placement.is_ok();
        match outcome.placement {
            Ok(placement) => record_placement(placement, recording),
            Err(error) => record_rejection(error, recording),
        }
        self.execute(&outcome.commands, recording);
        stored
    }

    /// Records and executes the commands; the handle of an evicted spool expires.
    fn execute(&mut self, commands: &[SpoolCommand], recording: &mut Recording) {
        for command in commands {
            match command {
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
        self.index.complete(now, spool);
        let handle = self.handles.issue(spool, user, random);
        recording.count("handle given");
        recording.state(&format!(
            "handle {handle} {:?}",
            self.handles.of_spool(spool)
        ));
        handle
    }

    pub(crate) fn persist(&mut self, now: f64, spool: u64, recording: &mut Recording) {
        let commands = self.index.persist(now, spool);
        self.execute(&commands, recording);
    }

    pub(crate) fn fail(&mut self, spool: u64) {
        self.index.fail(spool);
        self.handles.expire(spool);
    }

    pub(crate) fn return_to_memory(&mut self, spool: u64, bytes: u64) {
        self.index.return_to_memory(spool, bytes);
    }

    /// Restores a complete spool of an earlier process from the disk.
    pub(crate) fn restore(
        &mut self,
        now: f64,
        request: Request,
        bytes: u64,
        completed: f64,
        user: &str,
        handle: &str,
    ) -> u64 {
        let spool = self.index.reserve_id();
        let restored = RestoredSpool {
            id: spool,
            request: admission_request(request),
            bytes,
            completed_at: completed,
        };
        self.index.restore(now, restored);
        self.handles.restore(spool, user, handle);
        spool
    }

    pub(crate) fn attach(&mut self, now: f64, spool: u64, recording: &mut Recording) -> bool {
        let attached = self.index.attach_reader(now, spool);
        recording.count(if attached {
            "reader attached"
        } else {
            "reader without spool"
        });
        recording.state(&format!("attached {attached}"));
        attached
    }

    pub(crate) fn record_read(&mut self, now: f64, spool: u64) {
        self.index.record_read(now, spool);
    }

    pub(crate) fn detach(&mut self, now: f64, spool: u64, complete: bool) {
        self.index.detach_reader(now, spool, complete);
    }

    pub(crate) fn disk_write(
        &mut self,
        now: f64,
        duration: f64,
        write: DiskWrite,
        recording: &mut Recording,
    ) {
        let outcome = match write {
            DiskWrite::Successful => WriteOutcome::Success,
            DiskWrite::Full => WriteOutcome::Full,
            DiskWrite::Failed => WriteOutcome::Failed("read-only".into()),
        };
        let changed = self.index.record_disk_write(now, duration, outcome);
        recording.state(&format!("disk changed {changed}"));
    }

    pub(crate) fn record_size(&mut self, class: usize, bytes: f64) {
        self.index.record_result_size(class, bytes);
    }

    pub(crate) fn expire(&mut self, now: f64, recording: &mut Recording) {
        for spool in self.index.expire(now) {
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
        let index = &self.index;
        assert!(index.is_consistent(), "the index is consistent");
        let counters = index.counters();
        let totals = [
            counters.rejected,
            counters.failed,
            counters.evicted,
            counters.expired,
            counters.spilled,
        ];
        let usage = index.usage();
        let expected: Vec<u64> = (0..classes)
            .map(|class| index.expected_bytes(class))
            .collect();
        recording.state(&format!(
            "used {:?} {} {}",
            (usage.memory_bytes, usage.disk_bytes),
            index.len(),
            index.is_empty()
        ));
        recording.state(&format!("totals {totals:?} expected {expected:?}"));
        recording.state(&format!(
            "next expiry {}",
            optional_float(index.next_expiry())
        ));
        for (tenant, bytes) in index.bytes_by_tenant() {
            recording.state(&format!("tenant {} {bytes}", optional(*tenant)));
        }
        let disk = [
            disk_text(index.disk_health().state()),
            index.disk_health().accepts_writes(now).to_string(),
        ];
        recording.count(disk_kind(index.disk_health().state()));
        recording.state(&format!("disk {disk:?} {}", index.disk_health().failures()));
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
        let lifetime = self.index.lifetime(spool).map(|lifetime| {
            [
                float(lifetime.completed_at),
                optional_float(lifetime.expires_at),
            ]
        });
        let (present, spilled) = (self.index.contains(spool), self.index.is_spilled(spool));
        recording.state(&format!(
            "spool {spool} {present} {spilled} {lifetime:?} {:?}",
            self.handles.of_spool(spool)
        ));
    }
}

fn record_placement(placement: Placement, recording: &mut Recording) {
    let kind = match placement {
        Placement::Memory => "page in memory",
        Placement::Disk => "page on disk",
    };
    recording.count(kind);
    recording.state(kind);
}

fn record_rejection(error: SpoolRejection, recording: &mut Recording) {
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
    let details = match state {
        DiskState::Absent | DiskState::Healthy => String::new(),
        DiskState::Full { since } | DiskState::Slow { since } => float(*since),
        DiskState::Failing { since, reason } => format!("{} {reason}", float(*since)),
    };
    format!("{} {details}", disk_kind(state))
}
