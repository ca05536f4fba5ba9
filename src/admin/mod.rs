//! HTTP/1.1 service for operators, with one request per connection, on a separate address.
//!
//! Its connection limit is separate from that of the clients, so that client load cannot use up operators'
//! connections and a caller that never completes its request delays no other. `request` parses requests,
//! `routes` executes them and `response` encodes the responses.

mod request;
mod response;
mod routes;

use crate::discovery::membership_driver::MembershipDriver;
use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::server::instance_registry::InstanceRegistry;
use crate::spool_io::Spools;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection_limiter::{Activity, ConnectionLimiter, PermitGuard};
use crate::transport::framed_connection::FramedConnection;
use crate::transport::framed_connection::Socket;
use crate::transport::listener;
use crate::transport::pending_input::{self, PendingInput};
use futures_util::SinkExt;
use request::{Request, RequestError};
use response::Response;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum time to receive a complete request, and maximum time for its caller to accept the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The operators' HTTP service.
pub struct Admin<U: Upstream> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    instances: Rc<InstanceRegistry>,
    sources: ReportSources,
    connections: Rc<ConnectionLimiter>,
}

/// Sources of operators' reports other than the request router; each is optional.
#[derive(Clone, Default)]
pub struct ReportSources {
    /// Membership of the engines that a registry lists; `None` while no registry is in use.
    pub membership: Rc<RefCell<Option<Rc<MembershipDriver>>>>,
    /// Spooled results that clients have yet to fetch; `None` if this process keeps none.
    pub spools: Option<Rc<Spools>>,
    /// Formats the state of the clients' connections; `None` if the frontend reports none.
    pub clients: Option<Rc<dyn Fn() -> String>>,
}

/// Codec that decodes requests and encodes responses.
struct HttpCodec;

impl Decoder for HttpCodec {
    type Item = Request;
    type Error = RequestError;

    fn decode(&mut self, src: &mut bytes::BytesMut) -> Result<Option<Request>, RequestError> {
        request::parse(src)
    }
}

impl Encoder<&Response> for HttpCodec {
    type Error = RequestError;

    fn encode(
        &mut self,
        response: &Response,
        dst: &mut bytes::BytesMut,
    ) -> Result<(), RequestError> {
        response.write(dst);
        Ok(())
    }
}

impl<U: Upstream> Admin<U> {
    /// Returns a service for at most `max_callers` concurrent connections. At the limit a new connection
    /// evicts the oldest one that has not sent a complete request.
    pub fn new(
        router: Rc<RequestRouter<U>>,
        pool: BufferPool,
        instances: Rc<InstanceRegistry>,
        sources: ReportSources,
        max_callers: usize,
    ) -> Rc<Self> {
        Rc::new(Admin {
            router,
            pool,
            instances,
            sources,
            connections: ConnectionLimiter::new(max_callers, Activity::NoRequest),
        })
    }

    /// Accepts connections; never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match self.connections.accept(&listener).await {
                Ok((tcp, permit)) => {
                    let admin = self.clone();
                    spawn_local(async move {
                        if let Err(error) = admin.serve(tcp, permit).await {
                            log_line!("operator: {error}");
                        }
                    });
                }
                Err(error) if listener::is_transient(&error) => {}
                Err(error) => {
                    log_line!("admin accept: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves one connection until it is closed.
    async fn serve(&self, tcp: TcpStream, permit: PermitGuard) -> Result<(), RequestError> {
        tcp.set_nodelay(true)?;
        let mut connection = FramedConnection::new(&self.pool, tcp.into(), HttpCodec);
        let Some(received) = receive(&mut connection, &permit).await else {
            return Ok(());
        };
        // From here on the response timeout bounds the connection's lifetime, and it is not evicted.
        permit.set_activity(Activity::Busy, Instant::now());
        let response = match received {
            Received::Closed => return Ok(()),
            Received::Request(Ok(request)) => self.respond(&request),
            Received::Request(Err(RequestError::Io(error))) => return Err(error.into()),
            Received::Request(Err(error)) => Response::text(400, format!("{error}\n")),
            Received::TimedOut => Response::text(408, "no whole call came\n"),
        };
        tokio::time::timeout(REQUEST_TIMEOUT, connection.send(&response))
            .await
            .map_err(io::Error::from)??;
        connection.close_gracefully().await;
        Ok(())
    }
}

/// Result of waiting for a request.
enum Received {
    Request(Result<Request, RequestError>),
    /// The caller closed the connection first.
    Closed,
    TimedOut,
}

/// Receives the caller's request; returns `None` if the connection was evicted before one arrived.
async fn receive(
    connection: &mut FramedConnection<HttpCodec>,
    permit: &PermitGuard,
) -> Option<Received> {
    let deadline = tokio::time::Instant::now() + REQUEST_TIMEOUT;
    let mut evicted = false;
    loop {
        tokio::select! {
            biased;
            received = tokio::time::timeout_at(deadline, connection.next_item()) => {
                return Some(match received {
                    Ok(Some(request)) => Received::Request(request),
                    Ok(None) => Received::Closed,
                    Err(_) => Received::TimedOut,
                });
            }
            () = permit.eviction.notified(), if !evicted => evicted = true,
            // Bytes that are already in the socket's receive buffer are read before the eviction takes
            // effect.
            () = std::future::ready(()),
                if evicted && pending_input::peek(connection.get_ref().tcp()) != PendingInput::Bytes =>
            {
                return None;
            }
        }
    }
}
