//! One connection to an engine: its session context, its prepared statements and the writing of commands.

use super::downstream::Downstream;
use super::pool::LiveConnection;
use super::prepared_statements::PreparedStatements;
use crate::decision::model::Millis;
use crate::protocol::mysql::packet::{PacketCodec, PacketError, is_err, parse_err_packet};
use crate::protocol::mysql::session::SessionContext;
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

/// An engine that does not take a whole command within this is broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// ER_CLIENT_INTERACTION_TIMEOUT: an engine closes a connection that was idle for too long.
const CLIENT_INTERACTION_TIMEOUT: u16 = 4031;

/// Names a connection at its engine, by which it can be killed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionId {
    pub(super) address: SocketAddr,
    /// Its number at the engine.
    pub(super) number: u32,
}

/// The client of a request and the request's deadline: checked before each byte that is written on its behalf.
#[derive(Clone, Copy)]
pub(super) struct WaitingClient<'a> {
    pub(super) downstream: &'a Downstream,
    /// Milliseconds on the clock of the process.
    pub(super) deadline: Millis,
}

impl WaitingClient<'_> {
    pub(super) async fn ensure_waiting(&self) -> Result<(), PacketError> {
        self.downstream.ensure_waiting(self.deadline).await
    }
}

/// A connection that is logged in.
pub(super) struct Connection {
    /// Counts it among its engine's connections; none for a connection outside the pool.
    pub(super) live: Option<LiveConnection>,
    pub(super) wire: FramedConnection<PacketCodec>,
    pub(super) id: ConnectionId,
    /// The status flags of its last answer that was no error.
    pub(super) status: u16,
    /// The number of warnings in that answer.
    pub(super) warnings: u16,
    pub(super) context: SessionContext,
    pub(super) statements: PreparedStatements,
    /// When the connection was begun.
    pub(super) opened: Millis,
    pub(super) last_used: Instant,
    /// A command is written, in part or whole, and its answer has not arrived completely.
    pub(super) command_in_progress: bool,
}

impl Drop for Connection {
    /// Discards what the socket holds unsent of a command: an engine that takes no bytes just then would get it
    /// whole whenever it reads on, long after its client has disconnected.
    fn drop(&mut self) {
        if self.command_in_progress {
            // Where linger can't be set, the close has to do.
            let _ =
                socket2::SockRef::from(self.wire.get_ref().tcp()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    pub(super) fn new(
        wire: FramedConnection<PacketCodec>,
        id: ConnectionId,
        opened: Millis,
    ) -> Self {
        Connection {
            live: None,
            wire,
            id,
            status: 0,
            warnings: 0,
            context: SessionContext::default(),
            statements: PreparedStatements::default(),
            opened,
            last_used: Instant::now(),
            command_in_progress: false,
        }
    }

    /// Writes one command for a client, piece by piece as the engine takes it, and checks the client before each: what
    /// is incomplete when the client disconnects is never completed. `before` is called right before the first byte.
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

    /// Writes one command that no client waits for.
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

    /// Whether an idle connection can be used again. One that the engine has closed meanwhile, or has sent something
    /// on, must not get a statement: what breaks after the write may have run.
    pub(super) fn is_reusable(&mut self) -> bool {
        // The socket is asked as well: the runtime may not have learned yet of what arrived during this poll.
        let pending = pending_input::peek(self.wire.get_ref().tcp());
        let Some(packet) = self.wire.next().now_or_never() else {
            if pending == PendingInput::Closed {
                self.mark_broken();
            }
            return pending == PendingInput::Empty;
        };
        // An engine that closes an idle connection says so, and has not ended.
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

    /// The connection ended as it should not have.
    fn mark_broken(&mut self) {
        if let Some(live) = &mut self.live {
            live.broken = true;
        }
    }

    /// Whether it can be taken to this context: what it has set can be changed, but not unset.
    pub(super) fn can_enter(&self, context: &SessionContext) -> bool {
        let current = &self.context;
        (context.schema.is_some() || current.schema.is_none())
            && (context.names.is_some() || current.names.is_none())
    }
}

fn command_packet(command: u8, parts: &[&[u8]]) -> Vec<u8> {
    let length = 1 + parts.iter().map(|part| part.len()).sum::<usize>();
    let mut packet = Vec::with_capacity(length);
    packet.put_u8(command);
    for part in parts {
        packet.put_slice(part);
    }
    packet
}
