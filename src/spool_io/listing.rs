//! Look-up of spooled results by id, by handle and by user.

use super::disk::{DiskCommand, SpoolPredicate};
use super::reader::ResultReader;
use super::result::{PersistedBegin, SpooledResult, decode_with_json};
use super::spools::Spools;
use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::spool::{ResumeError, SpoolId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Maximum number of results of other processes that one listing imports.
const MAX_IMPORTS_PER_LISTING: usize = 16;

/// Description of a result that its owner can resume.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultListing {
    /// Handle for resuming the result.
    pub handle: String,
    /// Beginning of the statement.
    pub statement: String,
    /// Number of pages.
    pub pages: usize,
    /// Number of rows.
    pub rows: u64,
    /// Size of all pages, in bytes.
    pub bytes: u64,
    /// Seconds since the result was completed.
    pub age_s: f64,
    /// Seconds until the result expires. `None` while it has readers.
    pub expires_in_s: Option<f64>,
}

impl Spools {
    /// Returns a reader of the result that starts at this page, or `None` if the result does not exist.
    pub fn reader(self: &Rc<Self>, id: SpoolId, first_page: u32) -> Option<ResultReader> {
        let exists = self
            .index
            .borrow_mut()
            .attach_reader(process_clock_millis(), id);
        exists.then(|| ResultReader::new(self.clone(), id, first_page))
    }

    /// Calls `inspect` with a result. Returns `None` if the result does not exist.
    pub fn with_result<T>(
        &self,
        id: SpoolId,
        inspect: impl FnOnce(&SpooledResult) -> T,
    ) -> Option<T> {
        self.results.borrow().get(&id).map(inspect)
    }

    /// Returns the handle of a result.
    pub fn handle(&self, id: SpoolId) -> Option<String> {
        self.handles.borrow().of_spool(id).map(str::to_string)
    }

    /// Finds the result with this handle of this user, also in the directories of other processes.
    ///
    /// # Errors
    /// See [`ResumeError`].
    pub async fn resume(self: &Rc<Self>, user: &str, handle: &str) -> Result<SpoolId, ResumeError> {
        let found = self.handles.borrow_mut().resolve(user, handle);
        if found != Err(ResumeError::Unknown) || self.disk.is_none() {
            return found;
        }
        let user = user.to_string();
        let handle = handle.to_ascii_lowercase();
        let predicate = move |begin: &[u8]| {
            decode_with_json::<PersistedBegin>(begin)
                .is_some_and(|(begin, _)| begin.user == user && begin.handle == handle)
        };
        self.import(Box::new(predicate))
            .await
            .ok_or(ResumeError::Unknown)
    }

    /// Returns the complete results of a user, including those of other processes.
    pub async fn list(self: &Rc<Self>, user: &str) -> Vec<ResultListing> {
        self.import_results_of(user).await;
        let now = process_clock_millis();
        let results = self.results.borrow();
        results
            .iter()
            .filter(|(_, result)| result.owner.user == user && result.trailer.is_some())
            .filter_map(|(id, result)| self.listing_of(*id, result, now))
            .collect()
    }

    fn listing_of(
        &self,
        id: SpoolId,
        result: &SpooledResult,
        now: Millis,
    ) -> Option<ResultListing> {
        let lifetime = self.index.borrow().lifetime(id)?;
        Some(ResultListing {
            handle: self.handle(id)?,
            statement: result.owner.statement.clone(),
            pages: result.page_count(),
            rows: result.rows,
            bytes: result.bytes,
            age_s: (now - lifetime.completed_at) / 1000.0,
            expires_in_s: lifetime
                .expires_at
                .map(|expires_at| (expires_at - now) / 1000.0),
        })
    }

    async fn import_results_of(self: &Rc<Self>, user: &str) {
        for _ in 0..MAX_IMPORTS_PER_LISTING {
            let is_only_process = self.process_count.get() < 2;
            if is_only_process {
                return;
            }
            let user = user.to_string();
            let known_handles = self.known_handles();
            let predicate = move |begin: &[u8]| {
                decode_with_json::<PersistedBegin>(begin).is_some_and(|(begin, _)| {
                    begin.user == user && !known_handles.contains(&begin.handle)
                })
            };
            if self.import(Box::new(predicate)).await.is_none() {
                return;
            }
        }
    }

    fn known_handles(&self) -> Vec<String> {
        let results = self.results.borrow();
        results.keys().filter_map(|id| self.handle(*id)).collect()
    }

    /// Copies a result of another process into the directory of this one. Only one import runs at a time,
    /// since each reads all that the other processes have written.
    async fn import(self: &Rc<Self>, predicate: SpoolPredicate) -> Option<SpoolId> {
        let disk = self.disk.as_ref()?;
        if self.import_in_progress.replace(true) {
            return None;
        }
        let id = self.index.borrow_mut().reserve_id();
        let (reply, imported) = oneshot::channel();
        let command = DiskCommand::Import {
            spool: id,
            predicate,
            reply,
        };
        let persisted = if disk.send(command).await {
            imported.await.ok().flatten()
        } else {
            None
        };
        self.import_in_progress.set(false);
        self.restore(id, &persisted?).then_some(id)
    }
}
