//! Serves one connection to an engine, from its descriptor to its end.

use crate::clock::{duration_from_millis, process_clock_millis};
use crate::decision::model::{Millis, Outcome};
use crate::dispatch::RequestRouter;
use crate::log_line;
use crate::protocol::resp::{RespCodec, RespError};
use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::framed_connection::{ConnectionEvent, FramedConnection, ReadInterest};
use crate::upstream::resp::RespUpstream;
use crate::upstream::resp::connection::{BlockedOn, Command, Connection, Stage};
use crate::upstream::resp::engine_pool::{DescriptorGuard, EnginePool};
use bytes::Bytes;
use std::io;
use std::ops::ControlFlow;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

/// How often the times of a connection are checked.
const CHECK_INTERVAL_MS: Millis = 150.0;
/// An incomplete reply is unread for so many checks before those behind it count as blocked. One check may fall between
/// two reads of it.
const PARTIAL_REPLY_CHECKS: u32 = 1;
/// An incomplete reply is unread for so many checks before its connection is closed.
const STALLED_REPLY_CHECKS: u32 = 5;
/// An engine that takes no bytes for this long is cut off.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection is closed after this part of the engine's own idle timeout: a request must not cross its close.
const IDLE_TIMEOUT_FACTOR: f64 = 0.8;
/// A cancelled attempt that is partially written may be completed for this long: nothing may begin 0.1 s after its
/// client's leave, and half of that is for the leave's way here and the engine's look at its socket. Then the connection
/// is closed, by which the attempt is never complete.
pub(super) const CANCELLED_WRITE_GRACE_MS: Millis = 50.0;

/// The task of one connection.
pub(super) struct ConnectionTask {
    pub(super) pool: Rc<EnginePool>,
    pub(super) router: Weak<RequestRouter<RespUpstream>>,
    pub(super) engine: String,
    pub(super) connection: Rc<Connection>,
}

impl ConnectionTask {
    /// Runs to the connection's end.
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
        // What the system holds unsent can't be cancelled, so it holds little, where the size can be set.
        let _ = socket2::SockRef::from(&tcp).set_send_buffer_size(BUFFER_BYTES);
        self.connection.is_established.set(true);
        let mut checks = tokio::time::interval(duration_from_millis(CHECK_INTERVAL_MS));
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let session = Session {
            task: self,
            inbox,
            wire: FramedConnection::new(&self.pool.pool, tcp.into(), RespCodec),
            checks,
            partial_reply_checks: 0,
            unrecorded_dispatches: 0,
            blocked: None,
        };
        session.run().await
    }

    /// A descriptor for the connection; `None` if it is closed first, or has no attempt any more.
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

    /// Connects to the engine; `None` if the connection is closed first.
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

    /// Ends the attempts on the connection: what was written may have run, the rest never did. That says something of
    /// the engine once, not for each attempt that shared the connection: one bad connection would make a healthy engine
    /// look as if it failed all it is sent. The others only end, by their class's rule.
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

/// What happens on a connection.
enum Event {
    /// The connection is to close at once.
    CloseRequested,
    /// The socket was read or written.
    Wire(ConnectionEvent<Vec<Bytes>, RespError>),
    /// A command is to be written; `None` if none will come any more.
    Command(Option<Command>),
    /// Unread input was read: the blocked command may be tried again.
    InputRead,
    /// A cancelled attempt is still partially written.
    CancelledWriteExpired,
    /// The connection's state has changed.
    Changed,
    /// The times are to be checked.
    Check,
    /// The connection has been idle for long.
    IdleTimeout,
}

/// An established connection, as its task serves it.
pub(super) struct Session<'a> {
    pub(super) task: &'a ConnectionTask,
    inbox: mpsc::Receiver<Command>,
    pub(super) wire: FramedConnection<RespCodec>,
    checks: Interval,
    /// Checks in a row that found an incomplete reply.
    partial_reply_checks: u32,
    /// Attempts that were written since the router was last told.
    pub(super) unrecorded_dispatches: usize,
    /// A command that cannot be written yet: it stays here, where it can be cancelled.
    pub(super) blocked: Option<(Command, BlockedOn)>,
}

impl Session<'_> {
    async fn run(mut self) -> Result<(), RespError> {
        loop {
            if self.settle() {
                return Ok(());
            }
            let event = self.next_event().await;
            if self.handle(event)?.is_break() {
                return Ok(());
            }
        }
    }

    fn owes_nothing(&self) -> bool {
        self.task.connection.pending.borrow().is_empty()
    }

    /// Puts a connection to rest where nothing is left to be written or owed; true if it ends.
    fn settle(&mut self) -> bool {
        if !self.wire.is_flushed() {
            return false;
        }
        let connection = &self.task.connection;
        *connection.partially_written.borrow_mut() = None;
        connection.unwanted_since.set(None);
        // Only now is the last byte of each attempt written.
        if let Some(router) = self.task.router.upgrade() {
            router.record_dispatches(std::mem::take(&mut self.unrecorded_dispatches));
        }
        if !self.owes_nothing() {
            return false;
        }
        if connection.closing.get() || self.task.pool.waiting_connections.get() > 0 {
            return true;
        }
        self.wire.release_buffers();
        false
    }

    /// Waits for what happens next. The socket goes before commands: a reset while the connection was idle must be seen
    /// before an attempt is written into it, for that one would count as run.
    async fn next_event(&mut self) -> Event {
        let task = self.task;
        let connection = &task.connection;
        let owes_nothing = self.owes_nothing();
        let is_flushed = self.wire.is_flushed();
        let has_unread = !self.wire.read_buffer().is_empty();
        let blocked_on = self.blocked.as_ref().map(|(_, blocked_on)| *blocked_on);
        let until_writable = blocked_on == Some(BlockedOn::WriteCapacity);
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
            // After that the runtime has seen all that the system holds unread, and the socket went first.
            () = tokio::task::yield_now(), if blocked_on == Some(BlockedOn::UnreadInput) => {
                Event::InputRead
            }
            () = tokio::time::sleep(write_grace.unwrap_or_default()), if write_grace.is_some() => {
                Event::CancelledWriteExpired
            }
            () = connection.changed.notified() => Event::Changed,
            _ = self.checks.tick(), if !owes_nothing || !is_flushed || has_unread => Event::Check,
            () = tokio::time::sleep(idle_timeout), if owes_nothing => Event::IdleTimeout,
        }
    }

    fn handle(&mut self, event: Event) -> Result<ControlFlow<()>, RespError> {
        match event {
            Event::CloseRequested | Event::Command(None) => return Ok(ControlFlow::Break(())),
            Event::Wire(event) => return self.handle_wire(event),
            Event::Command(Some(command)) => self.write_command(command)?,
            Event::InputRead => self.retry_blocked()?,
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

    fn retry_blocked(&mut self) -> Result<(), RespError> {
        match self.blocked.take() {
            Some((command, _)) => self.write_command(command),
            None => Ok(()),
        }
    }

    /// Checks whether replies and writes go on.
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
