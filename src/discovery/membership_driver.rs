//! Drives [`Membership`]: passes its changes to the hub, feeds it what registries and connections report, keeps its
//! snapshot on disk and answers operators' queries.

use crate::clock::duration_from_millis;
use crate::clock::process_clock_millis;
use crate::config::EurekaSettings;
use crate::decision::model::Millis;
use crate::discovery::ChangeHandler;
use crate::log_line;
use crate::membership::report::{Query, QueryError, Report};
use crate::membership::{
    Change, Membership, Observation, SNAPSHOT_FORMAT_VERSION, Snapshot, SourceUpdate,
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

/// Maximum number of observations that wait to be applied; the oldest are dropped.
const MAX_OBSERVATIONS: usize = 4096;
/// Delay from a change to the snapshot, so that a burst of changes takes one write.
const SAVE_DELAY: Duration = Duration::from_millis(500);
/// Maximum interval between snapshots, so that a snapshot's age is that of its process's end.
const MAX_SAVE_INTERVAL: Duration = Duration::from_secs(30);
/// Name of the snapshot's record.
const NAME: &str = "members";
const KIND: RecordKind = RecordKind {
    tag: *b"MEMB",
    version: SNAPSHOT_FORMAT_VERSION,
};
/// Maximum size of the snapshot, in bytes; 20,000 engines need about 6 MB.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// Receives what connections to engines show of them.
pub trait ConnectionObserver {
    /// Records an observation that needs no answer. `engine` is the engine's ID.
    fn report(&self, engine: &str, seen: Observation);
    /// Records that a connection to `engine` was opened; the attempt began at `at`, in milliseconds since the Unix
    /// epoch. Returns whether the engine has restarted: if so, nothing that was meant for its previous process may be
    /// written on the connection.
    fn opened(&self, engine: &str, at: Millis) -> bool;
}

/// The membership of one Eureka source, kept for the life of the process across configuration changes.
pub struct MembershipDriver {
    membership: RefCell<Membership>,
    sink: ChangeHandler,
    /// Observations that wait to be applied, with their engines' IDs.
    observations: RefCell<VecDeque<(String, Observation)>>,
    /// Wakes `clock`.
    wake: Notify,
    /// Wakes `keep`.
    changed: Notify,
    store: Option<Arc<RecordStore>>,
    /// Whether any list of engines has been passed to `sink` yet.
    serving: Cell<bool>,
    /// Why the last write or read of the snapshot failed, until a write succeeds.
    snapshot_problem: RefCell<Option<String>>,
    lease: RefCell<Option<Shown>>,
    /// The engines that operators have drained.
    hands: Hands,
}

/// Returns how the registry's entry of this dispatcher differs from what was registered, if it does.
pub type Shown = Rc<dyn Fn() -> Option<String>>;
/// Returns the IDs of the engines that operators have drained by hand.
pub type Hands = Box<dyn Fn() -> BTreeSet<String>>;

/// The body of `GET /_members`.
#[derive(Serialize)]
struct Page {
    /// Whether the dispatcher has a list of engines, or still waits for a registry.
    serving: bool,
    #[serde(flatten)]
    report: Report,
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot_problem: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    registration: Option<String>,
}

impl MembershipDriver {
    /// Creates the driver and restores the snapshot, if there is one that can be read; an unreadable one is logged.
    ///
    /// `folder` is the existing state directory; without one no snapshot is kept. `sink` receives every change,
    /// `hands` names the engines that operators have drained.
    pub fn new(
        source: &EurekaSettings,
        folder: Option<&Path>,
        sink: ChangeHandler,
        hands: Hands,
    ) -> Rc<Self> {
        let store = folder.map(|f| {
            Arc::new(RecordStore::new(
                LocalFileSystem,
                f,
                NAME,
                KIND,
                MAX_SNAPSHOT_BYTES,
            ))
        });
        let mut membership = Membership::new(source.rules.clone());
        let mut snapshot_problem = None;
        if let Some(store) = &store {
            match load(store) {
                Ok(Some(snapshot)) => {
                    let (age, n) = (
                        (process_clock_millis() - snapshot.taken_at) / 1000.0,
                        snapshot.instances.len(),
                    );
                    log_line!("members: a snapshot of {n} engines, {age:.0} s old, is at hand");
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
            lease: RefCell::default(),
            hands,
        })
    }

    /// Sets what `/_members` reports as the difference between this dispatcher's registration and the registry's entry.
    pub fn lease(&self, differs: Shown) {
        *self.lease.borrow_mut() = Some(differs);
    }

    /// Whether any list of engines has been passed to the hub yet.
    pub fn serving(&self) -> bool {
        self.serving.get()
    }

    /// Applies a registry's answer, together with the engines that operators have drained.
    pub fn view(&self, view: SourceUpdate) {
        self.apply_observations();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.hands)());
        let change = self
            .membership
            .borrow_mut()
            .apply_update(process_clock_millis(), view);
        self.publish(change);
    }

    /// Records that the registry `source` could not be used; `problem` is shown to operators.
    pub fn failed(&self, source: &str, problem: String) {
        let change = self.membership.borrow_mut().record_source_failure(
            process_clock_millis(),
            source,
            problem,
        );
        self.publish(change);
    }

    /// Applies a new configuration's servers and rules; what is known of the engines is kept.
    pub fn configure(&self, source: &EurekaSettings) {
        let change = self.membership.borrow_mut().configure(
            process_clock_millis(),
            source.rules.clone(),
            &source.names(),
        );
        self.publish(change);
    }

    /// Serves the engines of the restored snapshot, if there is one: for when no registry has answered.
    pub fn serve_restored(&self) {
        let change = self
            .membership
            .borrow_mut()
            .serve_restored(process_clock_millis());
        if let Some(change) = &change {
            log_line!(
                "members: no registry answers: {} engines of the snapshot are served",
                change.engines.len()
            );
        }
        self.publish(change);
    }

    /// The body of `GET /_members`: an indented JSON object and a newline. `query` is the URL's query string.
    ///
    /// # Errors
    /// The query string is not valid.
    pub fn page(&self, query: &str) -> Result<String, QueryError> {
        let query = Query::parse(query)?;
        self.apply_observations();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.hands)());
        let report = self
            .membership
            .borrow()
            .report(process_clock_millis(), &query);
        let lease = self.lease.borrow().clone();
        let page = Page {
            serving: self.serving.get(),
            report,
            snapshot_problem: self.snapshot_problem.borrow().clone(),
            registration: lease.and_then(|differs| differs()),
        };
        Ok(serde_json::to_string_pretty(&page).unwrap_or_default() + "\n")
    }

    /// Logs what membership has to say, passes a change on and wakes the timers.
    fn publish(&self, change: Option<Change>) {
        let lines = self.membership.borrow_mut().drain_log_lines();
        lines.iter().for_each(|line| log_line!("members: {line}"));
        if let Some(change) = change {
            self.serving.set(true);
            (self.sink)(change);
            self.changed.notify_one();
        }
        self.wake.notify_one();
    }

    /// Applies the waiting observations, in order.
    fn apply_observations(&self) {
        loop {
            let Some((engine, seen)) = self.observations.borrow_mut().pop_front() else {
                return;
            };
            let mut membership = self.membership.borrow_mut();
            let outcome = membership.record_observation(process_clock_millis(), &engine, seen);
            drop(membership);
            if outcome.change.is_some() {
                self.publish(outcome.change);
            }
        }
    }

    /// Runs the timers of membership, and applies observations as they are reported. Does not return.
    pub async fn clock(self: Rc<Self>) {
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

    /// Writes the snapshot after changes, and at least every 30 s, on the blocking thread pool. Returns at once if there
    /// is no state directory, else never.
    pub async fn keep(self: Rc<Self>) {
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
    fn report(&self, engine: &str, seen: Observation) {
        let mut queue = self.observations.borrow_mut();
        if queue.len() >= MAX_OBSERVATIONS {
            queue.pop_front();
        }
        queue.push_back((engine.to_string(), seen));
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

/// The snapshot in the store, if there is one that can be read.
fn load(store: &RecordStore) -> Result<Option<Snapshot>, LoadError> {
    store.load(|content| {
        serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
    })
}
