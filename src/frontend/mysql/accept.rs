//! Accepts clients up to the connection limit, and rejects them during shutdown.

use super::session::{Session, SessionEnd};
use super::{Frontend, PendingAnswerGuard, StatementUpstream, WRITE_TIMEOUT};
use crate::log_line;
use crate::protocol::mysql::error::{ErrorCode, SqlError, code};
use crate::protocol::mysql::packet::{PacketCodec, PacketError, err_packet};
use crate::transport::connection_limiter::{Activity, ConnectionPermit, PermitGuard};
use crate::transport::framed_connection::FramedConnection;
use crate::transport::listener;
use crate::transport::stream::Stream;
use futures_util::SinkExt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Time limit for a client to log in.
pub(super) const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of clients beyond the limit that are sent an error at the same time; the connections of
/// others are closed without one.
const MAX_CONCURRENT_REJECTIONS: usize = 64;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connection to a client.
pub(super) type ClientConnection = FramedConnection<PacketCodec, Stream>;

/// Counts a rejection while it is being sent.
struct RejectionGuard<U: StatementUpstream>(Rc<Frontend<U>>);

impl<U: StatementUpstream> RejectionGuard<U> {
    fn new(frontend: &Rc<Frontend<U>>) -> Self {
        frontend.rejections.set(frontend.rejections.get() + 1);
        RejectionGuard(frontend.clone())
    }
}

impl<U: StatementUpstream> Drop for RejectionGuard<U> {
    fn drop(&mut self) {
        self.0.rejections.set(self.0.rejections.get() - 1);
    }
}

impl<U: StatementUpstream> Frontend<U> {
    /// Accepts clients until the shutdown begins. Connections in the listen queue at that time get a shutdown
    /// error, unless another process holds the listening socket and will accept them.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut stopping = self.stopping.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            match accepted {
                Ok((tcp, peer)) => self.admit(tcp, peer),
                Err(error) if listener::is_transient(&error) => {}
                Err(error) => {
                    log_line!("mysql accept: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        if !self.handed_over.get() {
            self.reject_accepted(listener);
        }
    }

    fn rejection_limit(&self) -> usize {
        MAX_CONCURRENT_REJECTIONS.min(self.descriptor_budget().shutdown_clients)
    }

    /// Serves a client, or rejects it, in a new task.
    fn admit(self: &Rc<Self>, tcp: TcpStream, peer: SocketAddr) {
        let permit: Option<PermitGuard> = self.limiter.try_acquire(Instant::now());
        let rejected = usize::from(permit.is_none());
        if self.rejections.get() + rejected > self.rejection_limit() {
            return;
        }
        let rejection = permit.is_none().then(|| RejectionGuard::new(self));
        let frontend = self.clone();
        spawn_local(async move {
            let host = peer.ip().to_string();
            let end = frontend.serve_client(tcp, &host, permit.as_deref()).await;
            if let Err(SessionEnd::Broken(error)) = end {
                log_line!("mysql client {peer}: {error}");
            }
            drop(rejection);
        });
    }

    /// Sends a shutdown error to the clients in the listen queue.
    fn reject_accepted(self: &Rc<Self>, listener: TcpListener) {
        for tcp in listener::drain_accept_queue(listener, self.rejection_limit()) {
            let frontend = self.clone();
            spawn_local(async move {
                let mut connection = frontend.client_connection(tcp);
                frontend.send_shutdown(&mut connection).await
            });
        }
    }

    fn client_connection(&self, tcp: TcpStream) -> ClientConnection {
        let codec = PacketCodec {
            max_packet: self.config().max_packet,
            sequence: 0,
            memory: self.packet_memory.empty_reservation(),
        };
        FramedConnection::new(&self.buffers, Stream::from(tcp), codec)
    }

    /// Sends a client the error that asks it to connect again, and closes the connection.
    pub(super) async fn send_shutdown(
        &self,
        connection: &mut ClientConnection,
    ) -> Result<(), SessionEnd> {
        let _pending = PendingAnswerGuard::new(&self.pending_answers);
        let message = "the dispatcher shuts down; connect again".to_string();
        reject(connection, code::ER_SERVER_SHUTDOWN, message).await
    }

    async fn serve_client(
        self: &Rc<Self>,
        tcp: TcpStream,
        host: &str,
        permit: Option<&ConnectionPermit>,
    ) -> Result<(), SessionEnd> {
        tcp.set_nodelay(true).map_err(PacketError::from)?;
        let mut connection = self.client_connection(tcp);
        let Some(permit) = permit else {
            let message = "Too many connections".into();
            return reject(&mut connection, code::ER_CON_COUNT, message).await;
        };
        let mut stopping = self.stopping.subscribe();
        let login = tokio::select! {
            login = tokio::time::timeout(LOGIN_TIMEOUT, self.log_in(&mut connection, host)) => Some(login),
            _ = stopping.wait_for(|stopping| *stopping) => None,
            () = permit.eviction.notified() => return Ok(()),
        };
        let Some(login) = login else {
            return self.send_shutdown(&mut connection).await;
        };
        let Some(client) = login.map_err(timed_out)?? else {
            return Ok(());
        };
        permit.set_activity(Activity::Idle, Instant::now());
        Session::open(self, connection, client).serve().await
    }
}

/// Converts a client's timeout to an I/O error of the connection.
pub(super) fn timed_out(elapsed: tokio::time::error::Elapsed) -> PacketError {
    PacketError::from(io::Error::from(elapsed))
}

/// Sends a client a final error and closes the connection.
pub(super) async fn reject(
    connection: &mut ClientConnection,
    code: ErrorCode,
    message: String,
) -> Result<(), SessionEnd> {
    let packet = err_packet(&SqlError::new(code, message));
    tokio::time::timeout(WRITE_TIMEOUT, connection.send(&packet[..]))
        .await
        .map_err(timed_out)??;
    connection.close_gracefully().await;
    Ok(())
}
