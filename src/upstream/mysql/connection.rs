//! One connection to an engine: its session context, its prepared statements and the writing of commands.

use super::downstream::Downstream;
use super::pool::LiveConnection;
use super::prepared_statements::PreparedStatements;
use crate::decision::model::Millis;
use crate::protocol::mysql::packet::{PacketCodec, PacketError, is_err, parse_err_packet};
use crate::protocol::mysql::session::ConnectionContext;
use crate::transport::framed_connection::FramedConnection;
use crate::transport::framed_connection::Socket;
use crate::transport::pending_input::{self, PendingInput};
use bytes::BufMut;
use futures_util::{FutureExt, SinkExt};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio_stream::StreamExt;

/// Time limit for writing a whole command; an engine that does not accept it in time is treated as broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Error number ER_CLIENT_INTERACTION_TIMEOUT: the engine closes a connection that was idle for too long.
const CLIENT_INTERACTION_TIMEOUT: u16 = 4031;

/// Identifies a connection at its engine, so that it can be killed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionId {
    pub(super) address: SocketAddr,
    /// Connection number that the engine assigned.
    pub(super) number: u32,
    /// Time at which opening it began, in milliseconds on the clock of the process.
    pub(super) opened: Millis,
}

/// The client of a request and the deadline of the request, which are checked before each write on the
/// client's behalf.
#[derive(Clone, Copy)]
pub(super) struct WaitingClient<'a> {
    pub(super) downstream: &'a Downstream,
    /// Deadline of the request, in milliseconds on the clock of the process.
    pub(super) deadline: Millis,
}

impl WaitingClient<'_> {
    pub(super) async fn ensure_waiting(&self) -> Result<(), PacketError> {
        self.downstream.ensure_waiting(self.deadline).await
    }
}

/// A logged-in connection to an engine.
pub(super) struct Connection {
    /// Counts the connection among the logged-in connections of its engine; `None` for a connection
    /// outside the pool.
    pub(super) live: Option<LiveConnection>,
    pub(super) wire: FramedConnection<PacketCodec>,
    pub(super) id: ConnectionId,
    /// Status flags of the last answer that was not an error.
    pub(super) status: u16,
    /// Number of warnings in that answer.
    pub(super) warnings: u16,
    /// What is known of the session context that the connection is in.
    pub(super) context: ConnectionContext,
    /// A statement may have changed the state of the connection in any way: no other session may use it.
    pub(super) is_unpredictable: bool,
    pub(super) statements: PreparedStatements,
    /// Time at which opening the connection began, in milliseconds on the clock of the process.
    pub(super) opened: Millis,
    pub(super) last_used: Instant,
    /// A command has been written, partly or completely, and its answer has not arrived completely.
    pub(super) command_in_progress: bool,
}

impl Drop for Connection {
    /// Discards the unsent bytes of a command that the socket still holds: an engine that reads nothing
    /// at that moment would otherwise receive the whole command when it resumes reading, long after the
    /// client has disconnected.
    fn drop(&mut self) {
        if self.command_in_progress {
            // Where linger can't be set, the connection is only closed.
            let _ =
                socket2::SockRef::from(self.wire.get_ref().tcp()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    /// Creates a connection whose login was answered with these status flags.
    pub(super) fn new(
        wire: FramedConnection<PacketCodec>,
        id: ConnectionId,
        opened: Millis,
        status: u16,
    ) -> Self {
        let mut context = ConnectionContext::default();
        context.observe_status(status);
        Connection {
            live: None,
            wire,
            id,
            status,
            warnings: 0,
            context,
            is_unpredictable: false,
            statements: PreparedStatements::default(),
            opened,
            last_used: Instant::now(),
            command_in_progress: false,
        }
    }

    /// Writes one command for a client, in pieces as the engine accepts them, and checks the client
    /// before each piece: a command that is incomplete when the client disconnects is never completed.
    /// `before` is called right before the first byte.
    pub(super) async fn write_command(
        &mut self,
        client: WaitingClient<'_>,
        command: u8,
        parts: &[&[u8]],
        before: impl FnOnce() -> Result<(), PacketError>,
    ) -> Result<(), PacketError> {
        let packet = command_packet(command, parts);
        let write = async {
            client.ensure_waiting().await?;
            before()?;
            self.command_in_progress = true;
            self.wire.codec_mut().sequence = 0;
            self.wire.enqueue(&packet[..])?;
            loop {
                if let Some(flushed) = SinkExt::<&[u8]>::flush(&mut *self.wire).now_or_never() {
                    return flushed;
                }
                poll_fn(|cx| self.wire.get_ref().tcp().poll_write_ready(cx)).await?;
                client.ensure_waiting().await?;
            }
        };
        tokio::time::timeout(WRITE_TIMEOUT, write)
            .await
            .map_err(io::Error::from)?
    }

    /// Writes one command without checking for a waiting client.
    pub(super) async fn send_command(
        &mut self,
        command: u8,
        parts: &[&[u8]],
    ) -> Result<(), PacketError> {
        self.wire.codec_mut().sequence = 0;
        let packet = command_packet(command, parts);
        tokio::time::timeout(WRITE_TIMEOUT, self.wire.send(&packet[..]))
            .await
            .map_err(io::Error::from)?
    }

    /// Returns whether an idle connection can be reused. A connection that the engine has closed
    /// meanwhile, or has sent data on, must not be given a statement: a statement whose connection
    /// breaks after the write may have run.
    pub(super) fn is_reusable(&mut self) -> bool {
        // The socket is checked too: the runtime may not yet have seen input that arrived during this poll.
        let pending = pending_input::peek(self.wire.get_ref().tcp());
        let Some(packet) = self.wire.next().now_or_never() else {
            if pending == PendingInput::Closed {
                self.mark_broken();
            }
            return pending == PendingInput::Empty;
        };
        // An engine that closes an idle connection for its idle timeout reports so: its process has not
        // ended.
        let idle_timeout = matches!(
            &packet,
            Some(Ok(packet))
                if is_err(packet) && parse_err_packet(packet).code == CLIENT_INTERACTION_TIMEOUT
        );
        if !idle_timeout {
            self.mark_broken();
        }
        false
    }

    /// Marks the connection as ended unexpectedly.
    fn mark_broken(&mut self) {
        if let Some(live) = &mut self.live {
            live.broken = true;
        }
    }
}

/// Returns the payload of a command packet: the command byte followed by `parts`.
fn command_packet(command: u8, parts: &[&[u8]]) -> Vec<u8> {
    let length = 1 + parts.iter().map(|part| part.len()).sum::<usize>();
    let mut packet = Vec::with_capacity(length);
    packet.put_u8(command);
    for part in parts {
        packet.put_slice(part);
    }
    packet
}
