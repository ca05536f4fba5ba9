//! The operators' HTTP/1.1 service, one request a connection, at an address of its own.
//!
//! Its connections are limited apart from the clients', so that clients' load takes none of them and a caller that
//! never completes its request delays nobody. `request` reads requests, `routes` carries them out and
//! `response` writes the answers.

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

/// A request arrives whole within this, and its response is taken within it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// After an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The service.
pub struct Admin<U: Upstream> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    instances: Rc<InstanceRegistry>,
    sources: ReportSources,
    connections: Rc<ConnectionLimiter>,
}

/// What operators can read beside the request router, where there is such.
#[derive(Clone, Default)]
pub struct ReportSources {
    /// The membership of the registry that lists the engines, while one does.
    pub membership: Rc<RefCell<Option<Rc<MembershipDriver>>>>,
    /// Spooled results that wait for their readers.
    pub spools: Option<Rc<Spools>>,
}

/// Requests in, responses out.
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
    /// A service for `max_callers` at a time; the oldest without a whole request is evicted for a new one.
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

    /// Accepts callers; runs for ever.
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

    /// Serves one connection to its end.
    async fn serve(&self, tcp: TcpStream, permit: PermitGuard) -> Result<(), RequestError> {
        tcp.set_nodelay(true)?;
        let mut connection = FramedConnection::new(&self.pool, tcp.into(), HttpCodec);
        let Some(received) = receive(&mut connection, &permit).await else {
            return Ok(());
        };
        // From here on it ends within the time for its response, and is not evicted.
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

/// What came of the wait for a request.
enum Received {
    Request(Result<Request, RequestError>),
    /// The caller closed the connection first.
    Closed,
    TimedOut,
}

/// The caller's request; `None` if its connection was evicted before one arrived.
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
            // What the machine holds of its request is read first.
            () = std::future::ready(()),
                if evicted && pending_input::peek(connection.get_ref().tcp()) != PendingInput::Bytes =>
            {
                return None;
            }
        }
    }
}
