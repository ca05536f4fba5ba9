//! Kills statements on abandoned connections: an engine continues a statement after its client has
//! disconnected.

use super::connection::ConnectionId;
use super::login::Connector;
use crate::log_line;
use crate::protocol::mysql::packet::{COM_QUERY, COM_QUIT, PacketError, read_packet};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Maximum number of kills in progress at a time. Beyond it, a connection is only closed.
const MAX_CONCURRENT_KILLS: usize = 16;

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
            if !matches!(kill, Ok(Ok(()))) {
                let ConnectionId { address, number } = target;
                log_line!("engine at {address}: connection {number} could not be killed");
            }
        });
    }
}

/// Opens a connection to the engine of `target` and sends KILL for `target` on it.
async fn send_kill(connector: &Connector, target: ConnectionId) -> Result<(), PacketError> {
    let mut connection = connector.open(target.address).await?;
    let sql = format!("KILL {}", target.number);
    connection
        .send_command(COM_QUERY, &[sql.as_bytes()])
        .await?;
    read_packet(&mut *connection.wire).await?;
    connection.send_command(COM_QUIT, &[]).await
}
