//! Kills statements on abandoned connections: an engine continues a statement after its client has
//! disconnected.
//!
//! Connection numbers begin anew with each process of an engine. Another process may have taken the address since the
//! abandoned connection was opened, and the number may then be that of another client's connection. A connection is
//! therefore killed only if the process that answers has run for longer than the connection exists.

use super::connection::{Connection, ConnectionId};
use super::login::Connector;
use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::log_line;
use crate::protocol::mysql::packet::{
    COM_QUERY, COM_QUIT, ERR_HEADER, OK_HEADER, PacketError, PayloadReader, eof_status, is_err,
    read_packet,
};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Maximum number of kills in progress at a time. Beyond it, a connection is only closed.
const MAX_CONCURRENT_KILLS: usize = 16;
/// Asks for the time that the engine's process has run.
const UPTIME_QUERY: &str = "SHOW GLOBAL STATUS LIKE 'Uptime'";
/// Maximum number of rows of the answer that are read; there is one.
const MAX_UPTIME_ROWS: usize = 16;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Kills connections by sending KILL on separate connections.
pub(super) struct Killer {
    connector: Rc<Connector>,
    in_progress: Cell<usize>,
}

/// Guard that counts a kill while it is in progress.
struct KillPermit(Rc<Killer>);

impl Drop for KillPermit {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl Killer {
    pub(super) fn new(connector: Rc<Connector>) -> Rc<Self> {
        Rc::new(Killer {
            connector,
            in_progress: Cell::new(0),
        })
    }

    /// Kills a connection in a separate task.
    pub(super) fn kill(self: &Rc<Self>, target: ConnectionId) {
        if self.in_progress.get() >= MAX_CONCURRENT_KILLS {
            return;
        }
        self.in_progress.set(self.in_progress.get() + 1);
        let permit = KillPermit(self.clone());
        spawn_local(async move {
            let connector = &permit.0.connector;
            let limit = connector.control_timeout();
            let kill = tokio::time::timeout(limit, send_kill(connector, target)).await;
            drop(permit);
            let ConnectionId {
                address, number, ..
            } = target;
            match kill {
                Ok(Ok(Kill::Sent)) => {}
                Ok(Ok(Kill::OtherProcess)) => log_line!(
                    "engine at {address}: connection {number} was not killed, since another process may answer there"
                ),
                _ => log_line!("engine at {address}: connection {number} could not be killed"),
            }
        });
    }
}

/// What was done to kill a connection.
enum Kill {
    Sent,
    /// Nothing was killed: another process may have taken the address.
    OtherProcess,
}

/// Opens a connection to the engine of `target` and sends KILL for `target` on it, if the same process answers.
async fn send_kill(connector: &Connector, target: ConnectionId) -> Result<Kill, PacketError> {
    let mut connection = connector.open(target.address).await?;
    let uptime = read_uptime(&mut connection).await?;
    let kill = if is_same_process(&connection, uptime, target) {
        let sql = format!("KILL {}", target.number);
        connection
            .send_command(COM_QUERY, &[sql.as_bytes()])
            .await?;
        read_packet(&mut *connection.wire).await?;
        Kill::Sent
    } else {
        Kill::OtherProcess
    };
    connection.send_command(COM_QUIT, &[]).await?;
    Ok(kill)
}

/// Returns whether the process at the other end of `connection` is the one that `target` was opened to. An engine that
/// does not tell its uptime is known only by its connection numbers, which rise.
fn is_same_process(connection: &Connection, uptime: Option<Millis>, target: ConnectionId) -> bool {
    let age = process_clock_millis() - target.opened;
    connection.id.number > target.number && uptime.is_none_or(|uptime| uptime >= age)
}

/// Asks for the time that the engine's process has run, in whole seconds; returns it in milliseconds, or `None` if the
/// engine does not tell.
async fn read_uptime(connection: &mut Connection) -> Result<Option<Millis>, PacketError> {
    connection
        .send_command(COM_QUERY, &[UPTIME_QUERY.as_bytes()])
        .await?;
    let head = read_packet(&mut *connection.wire).await?;
    if matches!(head.first(), None | Some(&OK_HEADER | &ERR_HEADER)) {
        return Ok(None);
    }
    while eof_status(&read_packet(&mut *connection.wire).await?).is_none() {}
    let mut uptime = None;
    for _ in 0..MAX_UPTIME_ROWS {
        let row = read_packet(&mut *connection.wire).await?;
        if eof_status(&row).is_some() || is_err(&row) {
            return Ok(uptime);
        }
        uptime = uptime.or_else(|| parse_uptime(row));
    }
    Err(PacketError::Protocol("the uptime has too many rows"))
}

/// Parses the row `Uptime`, SECONDS.
fn parse_uptime(row: Bytes) -> Option<Millis> {
    let mut reader = PayloadReader(row);
    let _name = reader.length_encoded_bytes().ok()?;
    let seconds = reader.length_encoded_bytes().ok()?;
    let seconds: f64 = std::str::from_utf8(&seconds).ok()?.parse().ok()?;
    Some(seconds * MILLIS_PER_SECOND)
}
