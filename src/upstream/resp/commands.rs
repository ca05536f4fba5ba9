//! Writes attempts and their cancellations to a connection.

use crate::clock::process_clock_millis;
use crate::decision::model::Outcome;
use crate::dispatch::StartAttempt;
use crate::frontend::frames::Work;
use crate::protocol::resp::RespError;
use crate::transport::framed_connection::Socket;
use crate::transport::pending_input::{self, PendingInput};
use crate::upstream::resp::connection::{BlockedOn, Command, Stage};
use crate::upstream::resp::connection_task::{CANCELLED_WRITE_GRACE_MS, EstablishedConnection};

impl EstablishedConnection<'_> {
    /// Writes a command; nothing else may be waiting to be written. A command of which the operating
    /// system accepts no byte becomes the blocked command, and is checked again before it is written: by
    /// then its client may have disconnected, its deadline may have passed or its engine may be
    /// draining.
    pub(super) fn write_command(&mut self, command: Command) -> Result<(), RespError> {
        match command {
            Command::Cancel(txn) => self.wire.enqueue(&[b"DROP", txn.as_bytes()][..]),
            Command::Send(txn) => self.write_attempt(txn),
        }
    }

    /// Tries again to write the attempts whose clients had unread input, until one has to wait for this
    /// connection.
    pub(super) fn retry_deferred(&mut self) -> Result<(), RespError> {
        let mut due = self.deferred.take_due().into_iter();
        while self.blocked.is_none()
            && self.wire.is_flushed()
            && let Some(txn) = due.next()
        {
            self.write_attempt(txn)?;
        }
        self.deferred.extend(due);
        Ok(())
    }

    /// Writes an attempt, unless it was cancelled, is too late or its engine is out of service.
    fn write_attempt(&mut self, txn: String) -> Result<(), RespError> {
        let task = self.task;
        let connection = &task.connection;
        let Some(router) = task.router.upgrade() else {
            return Ok(());
        };
        let mut pending = connection.pending.borrow_mut();
        // The attempt was cancelled before any byte of it was written.
        let Some(attempt) = pending.get_mut(&txn) else {
            return Ok(());
        };
        let Stage::Queued {
            start,
            work,
            input_checked,
        } = &mut attempt.stage
        else {
            return Ok(());
        };
        let now = process_clock_millis();
        let write_by = start.write_by;
        let time_left = start.deadline - now;
        let is_late = time_left < 1.0 || now >= write_by;
        // While the connection was being established, the engine may have started to drain, or the
        // deadline of the request or the time limit for its retry may have passed. The attempt never
        // ran.
        if is_late || !router.is_in_service(&task.engine) {
            let id = start.attempt;
            drop(pending);
            self.remove_attempt(&txn, id);
            let outcome = if is_late {
                Outcome::NeverStarted
            } else {
                Outcome::Unreachable
            };
            router.attempt_ended(id, outcome, vec![]);
            return Ok(());
        }
        // No attempt begins for a client that has disconnected. Its close may be behind any amount of
        // unread input, so that is read first; meanwhile other clients' attempts are written.
        if work.client_input() != PendingInput::Empty {
            self.deferred.push(txn);
            return Ok(());
        }
        // The engine may have closed the connection since this task last read it.
        let is_first_check = !std::mem::replace(input_checked, true);
        if is_first_check && pending_input::peek(self.wire.get_ref().tcp()) != PendingInput::Empty {
            self.blocked = Some((Command::Send(txn), BlockedOn::UnreadInput));
            return Ok(());
        }
        let fields = attempt_fields(start, work, time_left);
        let strings: [&[u8]; 4] = [b"GET", txn.as_bytes(), fields.as_bytes(), &work.statement];
        if !self.wire.start_write(&strings[..])? {
            *input_checked = false;
            self.blocked = Some((Command::Send(txn), BlockedOn::WriteCapacity));
            return Ok(());
        }
        // From here on the attempt counts as written, even if the write is interrupted.
        attempt.executions.record_start();
        attempt.stage = Stage::Written;
        if !self.wire.is_flushed() {
            *connection.partially_written.borrow_mut() = Some(txn);
            // A retry that is not completely written by its time limit is never completed.
            let unwanted_since = write_by - CANCELLED_WRITE_GRACE_MS;
            let unwanted_since = write_by.is_finite().then_some(unwanted_since);
            connection.unwanted_since.set(unwanted_since);
        }
        self.unrecorded_dispatches += 1;
        Ok(())
    }
}

/// Returns the fields of an attempt, with its remaining time in milliseconds.
fn attempt_fields(start: &StartAttempt, work: &Work, time_left: f64) -> String {
    let mut fields = format!("cls={},limit={}", work.class, time_left as u64);
    if start.memory_mb >= 1.0 {
        fields.push_str(&format!(",pool={}", start.memory_mb.round() as u64));
    }
    fields
}
