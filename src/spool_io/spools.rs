//! The spooled results of a process: opening them, and their configuration.

use super::disk::{DiskCommand, DiskCompletion, DiskHandle, PersistedSpool};
use super::result::{RestoredResult, ResultOwner, SpooledResult};
use super::writer::ResultWriter;
use crate::clock::process_clock_millis;
use crate::config::SpoolSettings;
use crate::log_line;
use crate::spool::{
    Admission, AdmissionRequest, HandleTable, RestoredSpool, SpoolId, SpoolIndex, SpoolLimits,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// Id of the first spool of a process.
const FIRST_SPOOL_ID: SpoolId = 1;

/// All spooled results of a process.
pub struct Spools {
    pub(super) index: RefCell<SpoolIndex>,
    pub(super) handles: RefCell<HandleTable>,
    pub(super) results: RefCell<BTreeMap<SpoolId, SpooledResult>>,
    /// `None` without a spool directory.
    pub(super) disk: Option<DiskHandle>,
    /// Bytes of pages in pending disk writes.
    pub(super) pending_write_bytes: Cell<u64>,
    /// Notified when a write is completed.
    pub(super) write_completed: Notify,
    pub(super) page_rows: Cell<u32>,
    client_stall_timeout: Cell<Duration>,
    /// Names of the request classes, by index.
    pub(super) classes: Vec<String>,
    /// Names of the tenants, by index.
    pub(super) tenants: Vec<String>,
    /// Limits that apply to all processes of this dispatcher together.
    dispatcher_limits: RefCell<SpoolLimits>,
    pub(super) process_count: Cell<u64>,
    pub(super) import_in_progress: Cell<bool>,
    /// Whether a write has failed or could not be sent, and has to be retried.
    pub(super) retry_writes: Cell<bool>,
    /// Removed results whose removal could not be sent to the disk yet.
    pub(super) unsent_removals: RefCell<Vec<SpoolId>>,
    /// Number of pages whose content on disk was corrupt when it was read.
    pub(super) corrupt_pages: Cell<u64>,
    /// Bytes of all pages received from engines.
    pub(super) received_bytes: Cell<u64>,
}

impl Spools {
    /// Opens the configured spool directory, if there is one, and restores the results of earlier processes.
    /// The returned receiver has to be passed to [`Spools::run`].
    ///
    /// # Errors
    /// The directory cannot be used.
    pub fn open(
        settings: &SpoolSettings,
        classes: Vec<String>,
        tenants: Vec<String>,
    ) -> io::Result<(Rc<Self>, Option<mpsc::UnboundedReceiver<DiskCompletion>>)> {
        let limits = settings.rules.clone();
        let mut spools = Spools {
            index: RefCell::new(SpoolIndex::new(limits.clone(), classes.len())),
            handles: RefCell::default(),
            results: RefCell::default(),
            disk: None,
            pending_write_bytes: Cell::new(0),
            write_completed: Notify::new(),
            page_rows: Cell::new(settings.page_rows),
            client_stall_timeout: Cell::new(settings.stall_timeout),
            classes,
            tenants,
            dispatcher_limits: RefCell::new(limits.clone()),
            process_count: Cell::new(1),
            import_in_progress: Cell::new(false),
            retry_writes: Cell::new(false),
            unsent_removals: RefCell::default(),
            corrupt_pages: Cell::new(0),
            received_bytes: Cell::new(0),
        };
        let mut completions = None;
        if let (Some(directory), Some(quota_bytes)) = (&settings.directory, limits.disk_bytes) {
            let startup = DiskHandle::start(directory, quota_bytes, FIRST_SPOOL_ID)?;
            spools.disk = Some(startup.disk);
            spools.restore_all(&startup.spools);
            completions = Some(startup.completions);
        }
        Ok((Rc::new(spools), completions))
    }

    fn restore_all(&self, found: &[(SpoolId, PersistedSpool)]) {
        for (id, persisted) in found {
            self.restore(*id, persisted);
        }
        if !found.is_empty() {
            log_line!(
                "spools: {} results of earlier processes are there",
                self.results.borrow().len()
            );
        }
    }

    /// Adds a result that is stored on the disk. Returns whether it could be decoded; if not, it is removed
    /// from the disk.
    pub(super) fn restore(&self, id: SpoolId, persisted: &PersistedSpool) -> bool {
        let Some(restored) = RestoredResult::decode(persisted, &self.classes, &self.tenants) else {
            if let Some(disk) = &self.disk {
                disk.try_send(DiskCommand::Remove { spool: id });
            }
            return false;
        };
        let result = restored.result;
        let entry = RestoredSpool {
            id,
            request: result.request,
            bytes: persisted.content_bytes(),
            completed_at: restored.completed_at,
        };
        self.index
            .borrow_mut()
            .restore(process_clock_millis(), entry);
        self.handles
            .borrow_mut()
            .restore(id, &result.owner.user, &restored.handle);
        self.results.borrow_mut().insert(id, result);
        true
    }

    /// Applies a new configuration. Existing results are kept.
    pub fn configure(&self, settings: &SpoolSettings) {
        *self.dispatcher_limits.borrow_mut() = settings.rules.clone();
        self.page_rows.set(settings.page_rows);
        self.client_stall_timeout.set(settings.stall_timeout);
        self.divide_limits();
    }

    /// Divides the memory and disk limits among this number of processes.
    pub fn set_process_count(&self, processes: u32) {
        self.process_count.set(u64::from(processes.max(1)));
        self.divide_limits();
    }

    fn divide_limits(&self) {
        let processes = self.process_count.get();
        let dispatcher_limits = self.dispatcher_limits.borrow().clone();
        let limits = SpoolLimits {
            memory_bytes: dispatcher_limits.memory_bytes / processes,
            disk_bytes: dispatcher_limits.disk_bytes.map(|bytes| bytes / processes),
            ..dispatcher_limits
        };
        if let (Some(disk), Some(bytes)) = (&self.disk, limits.disk_bytes) {
            disk.try_send(DiskCommand::SetQuota { bytes });
        }
        self.index.borrow_mut().configure(limits);
    }

    /// Returns the time after which a client that reads nothing is disconnected.
    pub fn client_stall_timeout(&self) -> Duration {
        self.client_stall_timeout.get()
    }

    /// Decides whether a statement may be sent.
    pub fn admit(&self, request: AdmissionRequest) -> Admission {
        self.index
            .borrow_mut()
            .admit(process_clock_millis(), request)
    }

    /// Returns a writer for the result of one attempt.
    pub fn writer(self: &Rc<Self>, request: AdmissionRequest, owner: ResultOwner) -> ResultWriter {
        ResultWriter::new(self.clone(), request, owner)
    }

    /// Records the size of a result, in bytes, for the estimate of its class.
    pub(super) fn record_result_size(&self, class: usize, bytes: usize) {
        self.index
            .borrow_mut()
            .record_result_size(class, bytes as f64);
    }
}
