//! The task of one connection to an engine: acquires a file descriptor, connects, and serves the
//! connection until it closes.

use crate::clock::{duration_from_millis, process_clock_millis};
use crate::decision::model::{Millis, Outcome};
use crate::dispatch::RequestRouter;
use crate::log_line;
use crate::protocol::resp::{RespCodec, RespError};
use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::framed_connection::{ConnectionEvent, FramedConnection, ReadInterest};
use crate::upstream::resp::RespUpstream;
use crate::upstream::resp::connection::{BlockedOn, Command, Connection, Stage};
use crate::upstream::resp::engine_pool::{ConnectionPool, DescriptorGuard};
use bytes::Bytes;
use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// Interval at which the time limits of a connection are checked, in milliseconds.
const CHECK_INTERVAL_MS: Millis = 150.0;
/// Number of consecutive checks that may find an incomplete reply before replies behind it count as
/// blocked. One check may fall between two reads of a reply.
const PARTIAL_REPLY_CHECKS: u32 = 1;
/// Number of consecutive checks that may find an incomplete reply before the connection is closed.
const STALLED_REPLY_CHECKS: u32 = 5;
/// Time after which a connection is closed whose engine accepts no bytes.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the engine's own idle timeout after which an idle connection is closed, so that no
/// request is sent while the engine closes it.
const IDLE_TIMEOUT_FACTOR: f64 = 0.8;
/// Time in milliseconds for which a cancelled attempt that is partially written may still be completed.
/// An attempt must not begin more than 0.1 s after its client's disconnect, and half of that is reserved
/// for the time until the disconnect is noticed here and until the engine reads its socket. Afterwards
/// the connection is closed, so that the attempt is never completed.
pub(super) const CANCELLED_WRITE_GRACE_MS: Millis = 50.0;
/// Interval at which attempts are tried again whose clients have unread input.
const DEFERRED_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// The task of one connection.
pub(super) struct ConnectionTask {
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) router: Weak<RequestRouter<RespUpstream>>,
    pub(super) engine: String,
    pub(super) connection: Rc<Connection>,
}

impl ConnectionTask {
    /// Runs until the connection ends.
    pub(super) async fn run(self, inbox: mpsc::Receiver<Command>) {
        if let Err(error) = self.connect_and_serve(inbox).await {
            let address = self.connection.address;
            log_line!("engine {} at {address}: {error}", self.engine);
        }
        self.finish();
    }

    async fn connect_and_serve(&self, inbox: mpsc::Receiver<Command>) -> Result<(), RespError> {
        let Some(_descriptor) = self.acquire_descriptor().await else {
            return Ok(());
        };
        let Some(tcp) = self.connect().await? else {
            return Ok(());
        };
        tcp.set_nodelay(true)?;
        // Bytes in the socket's send buffer can't be cancelled, so the buffer is kept small where its
        // size can be set.
        let _ = socket2::SockRef::from(&tcp).set_send_buffer_size(BUFFER_BYTES);
        self.connection.is_established.set(true);
        let mut checks = tokio::time::interval(duration_from_millis(CHECK_INTERVAL_MS));
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let established = EstablishedConnection {
            task: self,
            inbox,
            wire: FramedConnection::new(&self.pool.buffers, tcp.into(), RespCodec),
            checks,
            partial_reply_checks: 0,
            unrecorded_dispatches: 0,
            blocked: None,
            deferred: DeferredAttempts::default(),
        };
        established.run().await
    }

    /// Acquires a file descriptor for the connection; returns `None` if the connection is closed first
    /// or no longer has any attempt.
    async fn acquire_descriptor(&self) -> Option<DescriptorGuard<'_>> {
        let connection = &self.connection;
        loop {
            tokio::select! {
                biased;
                () = connection.close_requested.notified() => return None,
                descriptor = self.pool.acquire_descriptor() => return Some(descriptor),
                () = connection.changed.notified() => {
                    if connection.pending.borrow().is_empty() {
                        return None;
                    }
                }
            }
        }
    }

    /// Connects to the engine; returns `None` if the connection is closed first.
    async fn connect(&self) -> Result<Option<TcpStream>, RespError> {
        let timeout = duration_from_millis(self.pool.sockets.connect_timeout);
        let connect = TcpStream::connect(self.connection.address);
        tokio::select! {
            tcp = tokio::time::timeout(timeout, connect) => {
                Ok(Some(tcp.map_err(io::Error::from)??))
            }
            () = self.connection.close_requested.notified() => Ok(None),
        }
    }

    /// Ends the attempts on the connection: those that were written may have run, the others never did.
    /// Only one attempt reports a reset, because otherwise one broken connection would make a healthy
    /// engine look as if it failed every attempt. The others end as cancelled, by the rule of their
    /// class.
    fn finish(&self) {
        let connection = &self.connection;
        connection.closing.set(true);
        self.pool.remove_connection(&self.engine, connection);
        let pending = std::mem::take(&mut *connection.pending.borrow_mut());
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let mut is_reset_reported = false;
        for attempt in pending.into_values() {
            self.pool.attempts.borrow_mut().remove(&attempt.attempt);
            let outcome = match attempt.stage {
                Stage::Queued { .. } if connection.is_established.get() => Outcome::NeverStarted,
                Stage::Queued { .. } => Outcome::Unreachable,
                _ if is_reset_reported => Outcome::Cancelled,
                _ => {
                    is_reset_reported = true;
                    Outcome::Reset
                }
            };
            router.attempt_ended(attempt.attempt, outcome, vec![]);
        }
    }
}

/// An event on a connection.
enum Event {
    /// The connection is to be closed at once.
    CloseRequested,
    /// The socket was read or written.
    Wire(ConnectionEvent<Vec<Bytes>, RespError>),
    /// A command is to be written; `None` if no more commands will arrive.
    Command(Option<Command>),
    /// Unread input has been read: the blocked command may be tried again.
    InputRead,
    /// The attempts whose clients had unread input may be tried again.
    DeferredDue,
    /// A cancelled attempt is still partially written after its grace period.
    CancelledWriteExpired,
    /// The state of the connection has changed.
    Changed,
    /// The time limits are to be checked.
    Check,
    /// The connection has been idle for its idle timeout.
    IdleTimeout,
}

/// An established connection, as served by its task.
pub(super) struct EstablishedConnection<'a> {
    pub(super) task: &'a ConnectionTask,
    inbox: mpsc::Receiver<Command>,
    pub(super) wire: FramedConnection<RespCodec>,
    checks: Interval,
    /// Number of consecutive checks that found an incomplete reply.
    partial_reply_checks: u32,
    /// Number of attempts written since dispatches were last reported to the router.
    pub(super) unrecorded_dispatches: usize,
    /// A command that cannot be written yet. It is held here, where it can still be cancelled.
    pub(super) blocked: Option<(Command, BlockedOn)>,
    /// Attempts whose clients have unread input.
    pub(super) deferred: DeferredAttempts,
}

/// Attempts that wait until their clients' input is read. They are held here, where they can still be
/// cancelled, and no other attempt waits behind them.
#[derive(Default)]
pub(super) struct DeferredAttempts {
    ids: VecDeque<String>,
    retry_at: Option<Instant>,
}

impl DeferredAttempts {
    /// Adds an attempt, to be tried again after [`DEFERRED_RETRY_INTERVAL`].
    pub(super) fn push(&mut self, txn: String) {
        self.ids.push_back(txn);
        self.retry_at
            .get_or_insert_with(|| Instant::now() + DEFERRED_RETRY_INTERVAL);
    }

    /// Adds attempts in their order.
    pub(super) fn extend(&mut self, ids: impl Iterator<Item = String>) {
        ids.for_each(|txn| self.push(txn));
    }

    /// Takes all attempts.
    pub(super) fn take_due(&mut self) -> VecDeque<String> {
        self.retry_at = None;
        std::mem::take(&mut self.ids)
    }
}

impl EstablishedConnection<'_> {
    async fn run(mut self) -> Result<(), RespError> {
        loop {
            if self.handle_flushed() {
                return Ok(());
            }
            let event = self.next_event().await;
            if self.handle(event)?.is_break() {
                return Ok(());
            }
        }
    }

    fn has_no_pending_attempts(&self) -> bool {
        self.task.connection.pending.borrow().is_empty()
    }

    /// Updates the connection once all output is flushed, and releases its buffers if it has no pending
    /// attempt. Returns whether the connection ends.
    fn handle_flushed(&mut self) -> bool {
        self.wire.release_buffers();
        if !self.wire.is_flushed() {
            return false;
        }
        let connection = &self.task.connection;
        *connection.partially_written.borrow_mut() = None;
        connection.unwanted_since.set(None);
        // An attempt counts as dispatched only once its last byte is written.
        if let Some(router) = self.task.router.upgrade() {
            router.record_dispatches(std::mem::take(&mut self.unrecorded_dispatches));
        }
        if !self.has_no_pending_attempts() {
            return false;
        }
        if connection.closing.get() || self.task.pool.waiting_connections.get() > 0 {
            return true;
        }
        false
    }

    /// Waits for the next event. The socket has priority over commands: a reset while the connection was
    /// idle must be detected before an attempt is written, because a written attempt counts as one that
    /// may have run.
    async fn next_event(&mut self) -> Event {
        let task = self.task;
        let connection = &task.connection;
        let has_no_pending = self.has_no_pending_attempts();
        let is_flushed = self.wire.is_flushed();
        let has_unread = !self.wire.read_buffer().is_empty();
        let blocked_on = self.blocked.as_ref().map(|(_, blocked_on)| *blocked_on);
        let until_writable = blocked_on == Some(BlockedOn::WriteCapacity);
        let has_deferred = self.deferred.retry_at.is_some();
        let deferred_until = self.deferred.retry_at.unwrap_or_else(Instant::now);
        let write_grace = connection.unwanted_since.get().map(|since| {
            duration_from_millis(since + CANCELLED_WRITE_GRACE_MS - process_clock_millis())
        });
        let idle_timeout =
            duration_from_millis(task.pool.sockets.idle_timeout * IDLE_TIMEOUT_FACTOR);
        tokio::select! {
            biased;
            () = connection.close_requested.notified() => Event::CloseRequested,
            event = self.wire.next_event(ReadInterest::Items, until_writable) => {
                Event::Wire(event)
            }
            command = self.inbox.recv(), if is_flushed && blocked_on.is_none() => {
                Event::Command(command)
            }
            // After the yield the runtime has seen all unread input, and the socket branch has priority
            // over this one.
            () = tokio::task::yield_now(), if blocked_on == Some(BlockedOn::UnreadInput) => {
                Event::InputRead
            }
            () = tokio::time::sleep_until(deferred_until),
                if is_flushed && blocked_on.is_none() && has_deferred => Event::DeferredDue,
            () = tokio::time::sleep(write_grace.unwrap_or_default()), if write_grace.is_some() => {
                Event::CancelledWriteExpired
            }
            () = connection.changed.notified() => Event::Changed,
            _ = self.checks.tick(), if !has_no_pending || !is_flushed || has_unread => Event::Check,
            () = tokio::time::sleep(idle_timeout), if has_no_pending => Event::IdleTimeout,
        }
    }

    fn handle(&mut self, event: Event) -> Result<ControlFlow<()>, RespError> {
        match event {
            Event::CloseRequested | Event::Command(None) => return Ok(ControlFlow::Break(())),
            Event::Wire(event) => return self.handle_wire(event),
            Event::Command(Some(command)) => self.write_command(command)?,
            Event::InputRead => self.retry_blocked()?,
            Event::DeferredDue => self.retry_deferred()?,
            Event::CancelledWriteExpired => return Err(RespError::Stalled),
            Event::Changed => {}
            Event::Check => self.check()?,
            Event::IdleTimeout => self.task.connection.closing.set(true),
        }
        Ok(ControlFlow::Continue(()))
    }

    fn handle_wire(
        &mut self,
        event: ConnectionEvent<Vec<Bytes>, RespError>,
    ) -> Result<ControlFlow<()>, RespError> {
        match event {
            ConnectionEvent::Written | ConnectionEvent::Discarded(_) => {}
            ConnectionEvent::Writable => self.retry_blocked()?,
            ConnectionEvent::Closed => return Ok(ControlFlow::Break(())),
            ConnectionEvent::Failed(error) => return Err(error),
            ConnectionEvent::Item(reply) => {
                self.partial_reply_checks = 0;
                let connection = &self.task.connection;
                connection.has_partial_reply.set(false);
                connection.last_activity.set(process_clock_millis());
                self.handle_reply(&reply)?;
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Tries again to write the blocked command, if there is one.
    fn retry_blocked(&mut self) -> Result<(), RespError> {
        match self.blocked.take() {
            Some((command, _)) => self.write_command(command),
            None => Ok(()),
        }
    }

    /// Checks whether replies and writes still make progress.
    fn check(&mut self) -> Result<(), RespError> {
        if self.wire.read_buffer().is_empty() {
            self.partial_reply_checks = 0;
        } else {
            self.partial_reply_checks += 1;
        }
        let connection = &self.task.connection;
        let is_partial = self.partial_reply_checks > PARTIAL_REPLY_CHECKS;
        connection.has_partial_reply.set(is_partial);
        let now = process_clock_millis();
        if self.partial_reply_checks > STALLED_REPLY_CHECKS
            || connection.is_stalled(now)
            || connection.is_dead(now, self.task.pool.sockets.progress_interval)
            || self.wire.is_write_stalled(WRITE_STALL_TIMEOUT)
        {
            return Err(RespError::Stalled);
        }
        Ok(())
    }
}
