//! Drives [`Membership`]: applies registry updates and connection observations to it, passes its changes to
//! the dispatcher, saves its snapshot to disk and serves operators' queries.

use crate::clock::duration_from_millis;
use crate::clock::process_clock_millis;
use crate::config::EurekaSettings;
use crate::decision::model::Millis;
use crate::discovery::ChangeHandler;
use crate::log_line;
use crate::membership::report::{Query, QueryError, Report};
use crate::membership::{
    EndpointListChange, Membership, Observation, SNAPSHOT_FORMAT_VERSION, Snapshot, SourceUpdate,
};
use crate::storage::{LoadError, LocalFileSystem, RecordError, RecordKind, RecordStore};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of queued observations; beyond it the oldest is dropped.
const MAX_OBSERVATIONS: usize = 4096;
/// Delay from a change to the write of the snapshot, so that a burst of changes takes one write.
const SAVE_DELAY: Duration = Duration::from_millis(500);
/// Maximum interval between snapshots, so that after a restart the snapshot's age is close to the time since
/// the previous process ended.
const MAX_SAVE_INTERVAL: Duration = Duration::from_secs(30);
/// File name of the snapshot's record.
const RECORD_NAME: &str = "members";
const RECORD_KIND: RecordKind = RecordKind {
    tag: *b"MEMB",
    version: SNAPSHOT_FORMAT_VERSION,
};
/// Maximum size of the snapshot, in bytes; 20,000 engines need about 6 MB.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// Receives observations of engines from the connections to them.
pub trait ConnectionObserver {
    /// Queues an observation whose outcome the caller does not need. `engine` is the engine's ID.
    fn report(&self, engine: &str, observation: Observation);
    /// Records that a connection to `engine` was opened; the connection attempt began at `at`, in
    /// milliseconds since the Unix epoch. Returns whether the engine has restarted: if so, nothing that was
    /// meant for its previous process may be written on the connection.
    fn opened(&self, engine: &str, at: Millis) -> bool;
}

/// The membership of one Eureka source. It is kept across configuration changes for the life of the process.
pub struct MembershipDriver {
    membership: RefCell<Membership>,
    sink: ChangeHandler,
    /// Queued observations, with their engines' IDs.
    observations: RefCell<VecDeque<(String, Observation)>>,
    /// Wakes `run_timers`, the task that runs the timers.
    wake: Notify,
    /// Wakes `save_snapshots`, the task that writes the snapshot.
    changed: Notify,
    store: Option<Arc<RecordStore>>,
    /// Whether any endpoint list has been passed to `sink` yet.
    serving: Cell<bool>,
    /// Why the last read or write of the snapshot failed; cleared when a write succeeds.
    snapshot_problem: RefCell<Option<String>>,
    registration_mismatch: RefCell<Option<RegistrationMismatch>>,
    administrative_drains: AdministrativeDrains,
}

/// Returns how the registry's entry of this dispatcher differs from its registration; `None` if it does not.
pub type RegistrationMismatch = Rc<dyn Fn() -> Option<String>>;
/// Returns the IDs of the engines under an administrative drain.
pub type AdministrativeDrains = Box<dyn Fn() -> BTreeSet<String>>;

/// The body of `GET /_members`.
#[derive(Serialize)]
struct ReportPage {
    /// Whether the dispatcher has an endpoint list; if not, it still waits for a registry.
    serving: bool,
    #[serde(flatten)]
    report: Report,
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot_problem: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    registration: Option<String>,
}

impl MembershipDriver {
    /// Creates the driver and restores the snapshot if there is a valid one; an unreadable snapshot is
    /// logged.
    ///
    /// `state_directory` must exist; without one no snapshot is saved. `sink` receives every change,
    /// `administrative_drains` returns the engines that operators have drained.
    pub fn new(
        source: &EurekaSettings,
        state_directory: Option<&Path>,
        sink: ChangeHandler,
        administrative_drains: AdministrativeDrains,
    ) -> Rc<Self> {
        let store = state_directory.map(|directory| {
            Arc::new(RecordStore::new(
                LocalFileSystem,
                directory,
                RECORD_NAME,
                RECORD_KIND,
                MAX_SNAPSHOT_BYTES,
            ))
        });
        let mut membership = Membership::new(source.rules.clone());
        let mut snapshot_problem = None;
        if let Some(store) = &store {
            match load_snapshot(store) {
                Ok(Some(snapshot)) => {
                    let (age_seconds, engines) = (
                        (process_clock_millis() - snapshot.taken_at) / 1000.0,
                        snapshot.instances.len(),
                    );
                    log_line!(
                        "members: a snapshot of {engines} engines, {age_seconds:.0} s old, was loaded"
                    );
                    membership.restore(process_clock_millis(), snapshot);
                }
                Ok(None) => {}
                Err(e) => {
                    log_line!("members: {e}");
                    snapshot_problem = Some(e.to_string());
                }
            }
        }
        Rc::new(MembershipDriver {
            membership: RefCell::new(membership),
            sink,
            observations: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            store,
            serving: Cell::new(false),
            snapshot_problem: RefCell::new(snapshot_problem),
            registration_mismatch: RefCell::default(),
            administrative_drains,
        })
    }

    /// Sets the function that provides `registration` in the body of `GET /_members`.
    pub fn set_registration_mismatch(&self, mismatch: RegistrationMismatch) {
        *self.registration_mismatch.borrow_mut() = Some(mismatch);
    }

    /// Returns whether any endpoint list has been passed to the sink yet.
    pub fn serving(&self) -> bool {
        self.serving.get()
    }

    /// Applies a registry's response, after refreshing the set of administratively drained engines.
    pub(super) fn apply_update(&self, update: SourceUpdate) {
        self.apply_observations();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.administrative_drains)());
        let change = self
            .membership
            .borrow_mut()
            .apply_update(process_clock_millis(), update);
        self.publish(change);
    }

    /// Records that polling the registry `source` failed; `problem` is reported at `/_members`.
    pub(super) fn record_source_failure(&self, source: &str, problem: String) {
        let change = self.membership.borrow_mut().record_source_failure(
            process_clock_millis(),
            source,
            problem,
        );
        self.publish(change);
    }

    /// Applies the servers and rules of a new configuration; the members are kept.
    pub fn configure(&self, source: &EurekaSettings) {
        let change = self.membership.borrow_mut().configure(
            process_clock_millis(),
            source.rules.clone(),
            &source.names(),
        );
        self.publish(change);
    }

    /// Publishes the engines of the restored snapshot, if there is one. Used when no registry has responded.
    pub fn serve_restored(&self) {
        let change = self
            .membership
            .borrow_mut()
            .serve_restored(process_clock_millis());
        if let Some(change) = &change {
            log_line!(
                "members: no registry has responded; serving {} engines from the snapshot",
                change.engines.len()
            );
        }
        self.publish(change);
    }

    /// Returns the body of `GET /_members`: an indented JSON object and a newline. `query` is the URL's query
    /// string.
    ///
    /// # Errors
    /// The query string is not valid.
    pub fn report_page(&self, query: &str) -> Result<String, QueryError> {
        let query = Query::parse(query)?;
        self.apply_observations();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.administrative_drains)());
        let report = self
            .membership
            .borrow()
            .report(process_clock_millis(), &query);
        let mismatch = self.registration_mismatch.borrow().clone();
        let page = ReportPage {
            serving: self.serving.get(),
            report,
            snapshot_problem: self.snapshot_problem.borrow().clone(),
            registration: mismatch.and_then(|describe| describe()),
        };
        Ok(serde_json::to_string_pretty(&page).unwrap_or_default() + "\n")
    }

    /// Writes membership's pending log lines, passes a change to the sink and wakes the timers.
    fn publish(&self, change: Option<EndpointListChange>) {
        let lines = self.membership.borrow_mut().drain_log_lines();
        lines.iter().for_each(|line| log_line!("members: {line}"));
        if let Some(change) = change {
            self.serving.set(true);
            (self.sink)(change);
            self.changed.notify_one();
        }
        self.wake.notify_one();
    }

    /// Applies the queued observations, in order.
    fn apply_observations(&self) {
        loop {
            let Some((engine, observation)) = self.observations.borrow_mut().pop_front() else {
                return;
            };
            let mut membership = self.membership.borrow_mut();
            let outcome =
                membership.record_observation(process_clock_millis(), &engine, observation);
            drop(membership);
            if outcome.change.is_some() {
                self.publish(outcome.change);
            }
        }
    }

    /// Runs membership's timers and applies observations as they are reported. Does not return.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.membership.borrow().next_wakeup(process_clock_millis());
            let sleep = duration_from_millis(
                next.map_or(1000.0, |at| at - process_clock_millis())
                    .clamp(1.0, 1000.0),
            );
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.wake.notified() => {}
            }
            self.apply_observations();
            let change = self.membership.borrow_mut().tick(process_clock_millis());
            if change.is_some() {
                self.publish(change);
            }
        }
    }

    /// Writes the snapshot after changes, and at least every `MAX_SAVE_INTERVAL`, on the blocking thread
    /// pool. Returns immediately if there is no state directory, and never otherwise.
    pub async fn save_snapshots(self: Rc<Self>) {
        let Some(store) = self.store.clone() else {
            return;
        };
        loop {
            let _ = tokio::time::timeout(MAX_SAVE_INTERVAL, self.changed.notified()).await;
            tokio::time::sleep(SAVE_DELAY).await;
            let Some(snapshot) = self.membership.borrow().snapshot(process_clock_millis()) else {
                continue;
            };
            let store = store.clone();
            let saved = tokio::task::spawn_blocking(move || {
                let content = serde_json::to_vec(&snapshot).map_err(std::io::Error::other)?;
                store.save(&content)
            });
            let problem = match saved.await {
                Ok(Ok(())) => None,
                Ok(Err(e)) => Some(format!("the snapshot cannot be written: {e}")),
                Err(_) => Some("the snapshot cannot be written".to_string()),
            };
            if let Some(problem) = &problem {
                log_line!("members: {problem}");
            }
            *self.snapshot_problem.borrow_mut() = problem;
        }
    }
}

impl ConnectionObserver for MembershipDriver {
    fn report(&self, engine: &str, observation: Observation) {
        let mut queue = self.observations.borrow_mut();
        if queue.len() >= MAX_OBSERVATIONS {
            queue.pop_front();
        }
        queue.push_back((engine.to_string(), observation));
        self.wake.notify_one();
    }

    fn opened(&self, engine: &str, at: Millis) -> bool {
        self.apply_observations();
        let outcome = self.membership.borrow_mut().record_observation(
            process_clock_millis(),
            engine,
            Observation::Opened { at },
        );
        if outcome.change.is_some() || outcome.restarted {
            self.publish(outcome.change);
        }
        outcome.restarted
    }
}

/// Reads the snapshot from the store; `None` if there is none.
fn load_snapshot(store: &RecordStore) -> Result<Option<Snapshot>, LoadError> {
    store.load(|content| {
        serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
    })
}
