//! Background task that handles completed disk writes, expiry and retries.

use super::disk::{DiskCommand, DiskCompletion, WriteFailure, Written};
use super::result::{BufferedPageState, SpooledResult};
use super::spools::Spools;
use super::status::describe_disk_state;
use crate::clock::process_clock_millis;
use crate::log_line;
use crate::spool::{SpoolId, WriteOutcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval between checks for expired results and for writes to retry.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

impl Spools {
    /// Processes the completions of disk writes, and removes expired results. Never returns.
    pub async fn run(self: Rc<Self>, completions: Option<mpsc::UnboundedReceiver<DiskCompletion>>) {
        // Without a disk, an open channel that never receives a message keeps the loop running on the timer
        // alone.
        let (_keeps_open, no_completions) = mpsc::unbounded_channel();
        let mut completions = completions.unwrap_or(no_completions);
        let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
        loop {
            tokio::select! {
                Some(completion) = completions.recv() => self.on_completion(completion),
                _ = maintenance.tick() => self.maintain(),
            }
        }
    }

    fn maintain(&self) {
        let expired = self.index.borrow_mut().expire(process_clock_millis());
        for id in expired {
            self.remove_result(id);
        }
        let Some(disk) = &self.disk else { return };
        self.unsent_removals
            .borrow_mut()
            .retain(|id| !disk.try_send(DiskCommand::Remove { spool: *id }));
        let disk_accepts_writes = self
            .index
            .borrow()
            .disk_health()
            .accepts_writes(process_clock_millis());
        if self.retry_writes.get() && disk_accepts_writes {
            self.retry_writes.set(false);
            self.persist_complete_results();
        }
    }

    /// Persists the complete results that are not on disk yet.
    fn persist_complete_results(&self) {
        let unpersisted: Vec<SpoolId> = self
            .results
            .borrow()
            .iter()
            .filter(|(_, result)| result.needs_persisting())
            .map(|(id, _)| *id)
            .collect();
        for id in unpersisted {
            let commands = self.index.borrow_mut().persist(process_clock_millis(), id);
            self.execute(commands);
            self.write_to_disk(id);
        }
    }

    fn on_completion(&self, completion: DiskCompletion) {
        self.record_disk_health(&completion);
        if completion.result.is_err() {
            self.retry_writes.set(true);
        }
        if let Written::Page { bytes, .. } = completion.written {
            // The bytes are no longer pending, even if the result has been removed in the meantime.
            let pending = self.pending_write_bytes.get();
            self.pending_write_bytes.set(pending.saturating_sub(bytes));
        }
        let mut results = self.results.borrow_mut();
        if let Some(result) = results.get_mut(&completion.spool) {
            self.apply_completion(result, &completion);
        }
        drop(results);
        self.write_completed.notify_waiters();
    }

    fn record_disk_health(&self, completion: &DiskCompletion) {
        let outcome = match &completion.result {
            Ok(()) => WriteOutcome::Success,
            Err(WriteFailure::Full) => WriteOutcome::Full,
            Err(WriteFailure::Disk(message)) => WriteOutcome::Failed(message.clone()),
            Err(WriteFailure::Skipped) => return,
        };
        let now = process_clock_millis();
        let duration_ms = completion.duration.as_secs_f64() * 1000.0;
        let mut index = self.index.borrow_mut();
        if index.record_disk_write(now, duration_ms, outcome) {
            let state = index.disk_health().state();
            log_line!("spools: the disk is {}", describe_disk_state(state, now));
        }
    }

    fn apply_completion(&self, result: &mut SpooledResult, completion: &DiskCompletion) {
        let failed = completion.result.is_err();
        match completion.written {
            Written::Page { page, .. } => {
                self.apply_page_completion(result, completion, page as usize);
            }
            Written::Begin if failed => result.begin_sent = false,
            Written::End if failed => result.end_sent = false,
            Written::Begin | Written::End => {}
        }
    }

    fn apply_page_completion(
        &self,
        result: &mut SpooledResult,
        completion: &DiskCompletion,
        page: usize,
    ) {
        let Some(position) = page.checked_sub(result.pages_on_disk) else {
            return;
        };
        let Some(buffered) = result.buffered_pages.get_mut(position) else {
            return;
        };
        if buffered.state != BufferedPageState::Writing {
            return;
        }
        if completion.result.is_ok() {
            // Pages are written in order, so this is the first page in memory.
            result.buffered_pages.remove(position);
            result.pages_on_disk += 1;
        } else {
            buffered.state = BufferedPageState::InMemory;
            let bytes = buffered.bytes.len() as u64;
            self.index
                .borrow_mut()
                .return_to_memory(completion.spool, bytes);
        }
    }
}
