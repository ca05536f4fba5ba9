//! Reads the replies of an engine and assembles results from their pages.

use crate::clock::process_clock_millis;
use crate::core::AttemptId;
use crate::decision::model::{Millis, Outcome};
use crate::dispatch::RequestRouter;
use crate::protocol::resp::RespError;
use crate::protocol::resp::reply::{field, is_page, load_report, progress_note};
use crate::upstream::resp::RespUpstream;
use crate::upstream::resp::connection::{PendingAttempt, Stage};
use crate::upstream::resp::connection_task::EstablishedConnection;
use bytes::Bytes;
use std::rc::Rc;

/// Maximum size of a result in bytes.
const MAX_RESULT_BYTES: usize = 48_000;
/// Maximum number of pages of a result. A row is never split between pages, so pages may be small.
const MAX_PAGES: usize = 1024;
/// Time in milliseconds for which the id of a finished attempt is remembered: a duplicate reply to it
/// arrives a few milliseconds after the first.
const FINISHED_ID_TTL_MS: Millis = 2000.0;

/// Parses a number from the fields of a reply.
fn number_field(fields: &str, name: &str) -> Result<usize, RespError> {
    let value = field(fields, name).ok_or(RespError::Malformed)?;
    value.parse().map_err(|_| RespError::Malformed)
}

impl EstablishedConnection<'_> {
    /// Handles a reply of the engine, which consists of an id, a word, fields and a body.
    pub(super) fn handle_reply(&mut self, strings: &[Bytes]) -> Result<(), RespError> {
        let Some(router) = self.task.router.upgrade() else {
            return Ok(());
        };
        let [id, word, rest @ ..] = strings else {
            return Err(RespError::Malformed);
        };
        let txn = std::str::from_utf8(id).map_err(|_| RespError::Malformed)?;
        let word = std::str::from_utf8(word).map_err(|_| RespError::Malformed)?;
        let fields = rest.first().map(|fields| String::from_utf8_lossy(fields));
        let fields = fields.unwrap_or_default();
        let body = rest.get(1).cloned().unwrap_or_default();
        let attempt = {
            let pending = self.task.connection.pending.borrow();
            pending.get(txn).map(|pending| pending.attempt)
        };
        // A late reply: the attempt has already ended.
        let Some(attempt) = attempt else {
            return Ok(());
        };
        let outcome = match word {
            "EVENT" => {
                if let Some(note) = progress_note(&fields) {
                    router.progress(attempt, note);
                }
                return Ok(());
            }
            "ACK" => {
                let page = self.receive_first_page(txn, &fields, body);
                return self.handle_page_received(&router, txn, attempt, page);
            }
            "BLOCK" => {
                let page = self.receive_further_page(txn, &fields, body);
                return self.handle_page_received(&router, txn, attempt, page);
            }
            "AGAIN" => Outcome::Rejected,
            "STALE" => Outcome::NeverStarted,
            "EIO" => Outcome::Error,
            "READY" => return Ok(()),
            // After a reply of an unknown form, nothing else on this connection can be trusted.
            _ => return Err(RespError::Malformed),
        };
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::NeverStarted);
        if never_ran && let Some(pending) = self.task.connection.pending.borrow().get(txn) {
            pending.record_never_ran();
        }
        self.remove_attempt(txn, attempt);
        let report = load_report(&fields, &self.task.pool.report_fields);
        router.attempt_ended(attempt, outcome, report);
        Ok(())
    }

    /// Continues after a page: finishes the attempt if its result is complete, or fails it if the page
    /// is invalid.
    fn handle_page_received(
        &mut self,
        router: &Rc<RequestRouter<RespUpstream>>,
        txn: &str,
        attempt: AttemptId,
        page: Result<(), RespError>,
    ) -> Result<(), RespError> {
        if let Err(error) = page {
            // The attempt has run, and its result is damaged.
            self.remove_attempt(txn, attempt);
            router.attempt_ended(attempt, Outcome::Error, vec![]);
            return Err(error);
        }
        router.page_received(attempt);
        self.finish_if_complete(router, txn, attempt);
        Ok(())
    }

    /// Stores the first page of a result and requests the others. A duplicate is ignored.
    fn receive_first_page(
        &mut self,
        txn: &str,
        fields: &str,
        body: Bytes,
    ) -> Result<(), RespError> {
        let mut pending = self.task.connection.pending.borrow_mut();
        let stage = pending.get_mut(txn).map(|attempt| &mut attempt.stage);
        let stage = match stage {
            Some(stage @ Stage::Written) => stage,
            // A reply to an attempt that has not been written yet.
            Some(Stage::Queued { .. }) => return Err(RespError::Malformed),
            Some(Stage::Paging { .. }) | None => return Ok(()),
        };
        let total = number_field(fields, "total")?;
        if !(1..=MAX_PAGES).contains(&total) {
            return Err(RespError::Length(total));
        }
        // Only a result without rows has an empty page.
        if !is_page(&body) || body.is_empty() && total > 1 {
            return Err(RespError::Page);
        }
        let result_bytes = body.len();
        let mut pages = vec![None; total];
        pages[0] = Some(body);
        *stage = Stage::Paging {
            pages,
            missing_pages: total - 1,
            result_bytes,
            last_page_at: process_clock_millis(),
            report: load_report(fields, &self.task.pool.report_fields),
        };
        drop(pending);
        for index in 1..total {
            let index = index.to_string();
            let strings: [&[u8]; 3] = [b"PAGE", txn.as_bytes(), index.as_bytes()];
            self.wire.enqueue(&strings[..])?;
        }
        Ok(())
    }

    /// Stores a further page of a result. A duplicate is ignored.
    fn receive_further_page(
        &mut self,
        txn: &str,
        fields: &str,
        body: Bytes,
    ) -> Result<(), RespError> {
        let mut pending = self.task.connection.pending.borrow_mut();
        let stage = pending.get_mut(txn).map(|attempt| &mut attempt.stage);
        let (pages, missing_pages, result_bytes, last_page_at) = match stage {
            Some(Stage::Paging {
                pages,
                missing_pages,
                result_bytes,
                last_page_at,
                ..
            }) => (pages, missing_pages, result_bytes, last_page_at),
            // A further page before the first one, or a reply to an attempt that has not been written yet.
            Some(Stage::Queued { .. } | Stage::Written) => return Err(RespError::Malformed),
            None => return Ok(()),
        };
        let index = number_field(fields, "index")?;
        let page = pages.get_mut(index).ok_or(RespError::Length(index))?;
        if page.is_some() {
            return Ok(());
        }
        if body.is_empty() || !is_page(&body) {
            return Err(RespError::Page);
        }
        *result_bytes += body.len();
        if *result_bytes > MAX_RESULT_BYTES {
            return Err(RespError::Length(*result_bytes));
        }
        *page = Some(body);
        *last_page_at = process_clock_millis();
        *missing_pages -= 1;
        Ok(())
    }

    /// Passes the assembled result to the router once all its pages have arrived.
    fn finish_if_complete(
        &self,
        router: &Rc<RequestRouter<RespUpstream>>,
        txn: &str,
        attempt: AttemptId,
    ) {
        let connection = &self.task.connection;
        let is_complete = |attempt: &PendingAttempt| {
            matches!(
                attempt.stage,
                Stage::Paging {
                    missing_pages: 0,
                    ..
                }
            )
        };
        if !connection
            .pending
            .borrow()
            .get(txn)
            .is_some_and(is_complete)
        {
            return;
        }
        let finished = connection.pending.borrow_mut().remove(txn);
        connection.remember_ended_id(txn, process_clock_millis() + FINISHED_ID_TTL_MS);
        self.task.pool.attempts.borrow_mut().remove(&attempt);
        if let Some(PendingAttempt {
            stage: Stage::Paging { pages, report, .. },
            ..
        }) = finished
        {
            let mut result = self.task.pool.buffers.take();
            for page in pages.iter().flatten() {
                result.extend_from_slice(page);
            }
            router.attempt_served(attempt, report, result);
        }
    }

    /// Removes a finished attempt from the connection.
    pub(super) fn remove_attempt(&self, txn: &str, attempt: AttemptId) {
        let connection = &self.task.connection;
        let removed = connection.pending.borrow_mut().remove(txn);
        if removed.is_some_and(|attempt| !matches!(attempt.stage, Stage::Queued { .. })) {
            connection.remember_ended_id(txn, process_clock_millis() + FINISHED_ID_TTL_MS);
        }
        self.task.pool.attempts.borrow_mut().remove(&attempt);
    }
}
