//! Reads what an engine replies, and puts results together from their pages.

use crate::clock::process_time_millis;
use crate::core::AttemptId;
use crate::decision::model::{Millis, Outcome};
use crate::dispatch::RequestRouter;
use crate::protocol::resp::RespError;
use crate::protocol::resp::reply::{field, is_page, load_report, progress_note};
use crate::upstream::resp::RespUpstream;
use crate::upstream::resp::connection::{PendingAttempt, Stage};
use crate::upstream::resp::connection_task::Session;
use bytes::Bytes;
use std::rc::Rc;

/// Bytes of a result at most.
const MAX_RESULT_BYTES: usize = 48_000;
/// Pages of a result at most; rows are whole in a page, so pages may be small.
const MAX_PAGES: usize = 1024;
/// A finished id is remembered for this long: a second reply to it comes some milliseconds after the first.
const FINISHED_ID_TTL_MS: Millis = 2000.0;

/// A number among a reply's fields.
fn number(fields: &str, name: &str) -> Result<usize, RespError> {
    let value = field(fields, name).ok_or(RespError::Malformed)?;
    value.parse().map_err(|_| RespError::Malformed)
}

impl Session<'_> {
    /// Takes an engine's reply: an id, a word, fields and a body.
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
        // Late: nobody waits for it any more.
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
                let page = self.take_first_page(txn, &fields, body);
                return self.finish_page(&router, txn, attempt, page);
            }
            "BLOCK" => {
                let page = self.take_further_page(txn, &fields, body);
                return self.finish_page(&router, txn, attempt, page);
            }
            "AGAIN" => Outcome::Rejected,
            "STALE" => Outcome::NeverStarted,
            "EIO" => Outcome::Error,
            "READY" => return Ok(()),
            // After what can't be read, nothing else on this connection can be trusted.
            _ => return Err(RespError::Malformed),
        };
        self.forget_attempt(txn, attempt);
        let report = load_report(&fields, &self.task.pool.report_fields);
        router.attempt_ended(attempt, outcome, report);
        Ok(())
    }

    /// Goes on after a page: with a result that is complete, or with a failure of the attempt.
    fn finish_page(
        &mut self,
        router: &Rc<RequestRouter<RespUpstream>>,
        txn: &str,
        attempt: AttemptId,
        page: Result<(), RespError>,
    ) -> Result<(), RespError> {
        if let Err(error) = page {
            // It has run, and its result is damaged.
            self.forget_attempt(txn, attempt);
            router.attempt_ended(attempt, Outcome::Error, vec![]);
            return Err(error);
        }
        router.page_received(attempt);
        self.finish_if_complete(router, txn, attempt);
        Ok(())
    }

    /// Takes the first page of a result, and asks for the others. A second copy changes nothing.
    fn take_first_page(&mut self, txn: &str, fields: &str, body: Bytes) -> Result<(), RespError> {
        let mut pending = self.task.connection.pending.borrow_mut();
        let stage = pending.get_mut(txn).map(|attempt| &mut attempt.stage);
        let stage = match stage {
            Some(stage @ Stage::Written) => stage,
            // A reply to what was not written yet.
            Some(Stage::Queued { .. }) => return Err(RespError::Malformed),
            Some(Stage::Paging { .. }) | None => return Ok(()),
        };
        let total = number(fields, "total")?;
        if !(1..=MAX_PAGES).contains(&total) {
            return Err(RespError::Length(total));
        }
        // Only a result of no rows has an empty page.
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
            last_page_at: process_time_millis(),
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

    /// Takes a further page of a result. A second copy changes nothing.
    fn take_further_page(&mut self, txn: &str, fields: &str, body: Bytes) -> Result<(), RespError> {
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
            // A page before the first, or a reply to what was not written yet.
            Some(Stage::Queued { .. } | Stage::Written) => return Err(RespError::Malformed),
            None => return Ok(()),
        };
        let index = number(fields, "index")?;
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
        *last_page_at = process_time_millis();
        *missing_pages -= 1;
        Ok(())
    }

    /// Hands a result on in one piece once all its pages have arrived.
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
        connection.abandon(txn, process_time_millis() + FINISHED_ID_TTL_MS);
        self.task.pool.attempts.borrow_mut().remove(&attempt);
        if let Some(PendingAttempt {
            stage: Stage::Paging { pages, report, .. },
            ..
        }) = finished
        {
            let mut result = self.task.pool.pool.take();
            for page in pages.iter().flatten() {
                result.extend_from_slice(page);
            }
            router.attempt_served(attempt, report, result);
        }
    }

    /// Takes a finished attempt off the connection.
    pub(super) fn forget_attempt(&self, txn: &str, attempt: AttemptId) {
        let connection = &self.task.connection;
        let forgotten = connection.pending.borrow_mut().remove(txn);
        if forgotten.is_some_and(|attempt| !matches!(attempt.stage, Stage::Queued { .. })) {
            connection.abandon(txn, process_time_millis() + FINISHED_ID_TTL_MS);
        }
        self.task.pool.attempts.borrow_mut().remove(&attempt);
    }
}
