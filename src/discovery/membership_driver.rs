//! Drives [`Membership`]: passes its changes to the hub, feeds it what registries and connections report, keeps its
//! snapshot on disk and answers operators' queries.

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
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

/// What connections showed and nobody has worked through yet.
const MOST_SEEN: usize = 4096;
/// The snapshot is written this long after a change, and at least this often so that its age tells something.
const SAVE: Duration = Duration::from_millis(500);
const SAVE_ANYWAY: Duration = Duration::from_secs(30);
/// The snapshot's file, and its longest content in bytes: 20,000 engines need about 6 MB.
const NAME: &str = "members";
const KIND: RecordKind = RecordKind {
    tag: *b"MEMB",
    version: SNAPSHOT_FORMAT_VERSION,
};
const MOST_FILE: usize = 64 << 20;

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
    seen: RefCell<VecDeque<(String, Observation)>>,
    wake: Notify,
    changed: Notify,
    store: Option<Arc<RecordStore>>,
    /// Something was told to the hub.
    serving: Cell<bool>,
    /// The last write that failed, until one succeeds.
    unsaved: RefCell<Option<String>>,
    lease: RefCell<Option<Shown>>,
    /// The engines that are out by hand now.
    hands: Hands,
}

/// Returns how the registry's entry of this dispatcher differs from what was registered, if it does.
pub type Shown = Rc<dyn Fn() -> Option<String>>;
/// Returns the IDs of the engines that operators have drained by hand.
pub type Hands = Box<dyn Fn() -> BTreeSet<String>>;

/// `GET /_members`, beside what membership itself reports.
#[derive(Serialize)]
struct Page {
    /// Engines have been told to the dispatcher; before, a registry is waited for.
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
        let store =
            folder.map(|f| Arc::new(RecordStore::new(LocalFileSystem, f, NAME, KIND, MOST_FILE)));
        let mut membership = Membership::new(source.rules.clone());
        let mut unsaved = None;
        if let Some(store) = &store {
            match load(store) {
                Ok(Some(snapshot)) => {
                    let (age, n) = (
                        (unix_time_millis() - snapshot.taken_at) / 1000.0,
                        snapshot.instances.len(),
                    );
                    log_line!("members: a snapshot of {n} engines, {age:.0} s old, is at hand");
                    membership.restore(unix_time_millis(), snapshot);
                }
                Ok(None) => {}
                Err(e) => {
                    log_line!("members: {e}");
                    unsaved = Some(e.to_string());
                }
            }
        }
        Rc::new(MembershipDriver {
            membership: RefCell::new(membership),
            sink,
            seen: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            store,
            serving: Cell::new(false),
            unsaved: RefCell::new(unsaved),
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
        self.work_through();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.hands)());
        let change = self
            .membership
            .borrow_mut()
            .apply_update(unix_time_millis(), view);
        self.tell(change);
    }

    /// Records that the registry `source` could not be used; `problem` is shown to operators.
    pub fn failed(&self, source: &str, problem: String) {
        let change =
            self.membership
                .borrow_mut()
                .record_source_failure(unix_time_millis(), source, problem);
        self.tell(change);
    }

    /// Applies a new configuration's servers and rules; what is known of the engines is kept.
    pub fn configure(&self, source: &EurekaSettings) {
        let change = self.membership.borrow_mut().configure(
            unix_time_millis(),
            source.rules.clone(),
            &source.names(),
        );
        self.tell(change);
    }

    /// Serves the engines of the restored snapshot, if there is one: for when no registry has answered.
    pub fn serve_restored(&self) {
        let change = self
            .membership
            .borrow_mut()
            .serve_restored(unix_time_millis());
        if let Some(change) = &change {
            log_line!(
                "members: no registry answers: {} engines of the snapshot are served",
                change.engines.len()
            );
        }
        self.tell(change);
    }

    /// The body of `GET /_members`: an indented JSON object and a newline. `query` is the URL's query string.
    ///
    /// # Errors
    /// The query string is not valid.
    pub fn page(&self, query: &str) -> Result<String, QueryError> {
        let query = Query::parse(query)?;
        self.work_through();
        self.membership
            .borrow_mut()
            .set_administratively_drained((self.hands)());
        let report = self.membership.borrow().report(unix_time_millis(), &query);
        let lease = self.lease.borrow().clone();
        let page = Page {
            serving: self.serving.get(),
            report,
            snapshot_problem: self.unsaved.borrow().clone(),
            registration: lease.and_then(|differs| differs()),
        };
        Ok(serde_json::to_string_pretty(&page).unwrap_or_default() + "\n")
    }

    fn tell(&self, change: Option<Change>) {
        let news = self.membership.borrow_mut().drain_log_lines();
        news.iter().for_each(|line| log_line!("members: {line}"));
        if let Some(change) = change {
            self.serving.set(true);
            (self.sink)(change);
            self.changed.notify_one();
        }
        self.wake.notify_one();
    }

    /// Takes in what connections showed, in the order seen.
    fn work_through(&self) {
        loop {
            let Some((engine, seen)) = self.seen.borrow_mut().pop_front() else {
                return;
            };
            let mut membership = self.membership.borrow_mut();
            let outcome = membership.record_observation(unix_time_millis(), &engine, seen);
            drop(membership);
            if outcome.change.is_some() {
                self.tell(outcome.change);
            }
        }
    }

    /// Runs the timers of membership, and applies observations as they are reported. Does not return.
    pub async fn clock(self: Rc<Self>) {
        loop {
            let next = self.membership.borrow().next_wakeup(unix_time_millis());
            let sleep = duration_from_millis(
                next.map_or(1000.0, |at| at - unix_time_millis())
                    .clamp(1.0, 1000.0),
            );
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.wake.notified() => {}
            }
            self.work_through();
            let change = self.membership.borrow_mut().tick(unix_time_millis());
            if change.is_some() {
                self.tell(change);
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
            let _ = tokio::time::timeout(SAVE_ANYWAY, self.changed.notified()).await;
            // Changes come in bursts: one write for all of them.
            tokio::time::sleep(SAVE).await;
            let Some(snapshot) = self.membership.borrow().snapshot(unix_time_millis()) else {
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
            *self.unsaved.borrow_mut() = problem;
        }
    }
}

impl ConnectionObserver for MembershipDriver {
    fn report(&self, engine: &str, seen: Observation) {
        let mut queue = self.seen.borrow_mut();
        if queue.len() >= MOST_SEEN {
            queue.pop_front();
        }
        queue.push_back((engine.to_string(), seen));
        self.wake.notify_one();
    }

    fn opened(&self, engine: &str, at: Millis) -> bool {
        self.work_through();
        let outcome = self.membership.borrow_mut().record_observation(
            unix_time_millis(),
            engine,
            Observation::Opened { at },
        );
        if outcome.change.is_some() || outcome.restarted {
            self.tell(outcome.change);
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
