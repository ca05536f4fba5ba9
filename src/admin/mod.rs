//! Where operators call: HTTP/1.1, one call a connection, at an address of its own. Its places are its own as
//! well, so that clients' load takes none of them and a caller who completes no call delays nobody.

use crate::discovery::membership_driver::MembershipDriver;
use crate::dispatch::request_router::{RequestRouter, Upstream};
use crate::log_line;
use crate::server::instance_registry::{self, InstanceRegistry};
use crate::spool_io::Spools;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection_limiter::{Activity, ConnectionLimiter, PermitGuard};
use crate::transport::framed_connection::FramedConnection;
use crate::transport::pending_input::{self, PendingInput};
use bytes::{BufMut, BytesMut};
use futures_util::SinkExt;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Decoder, Encoder};

/// A call comes whole within this, and its answer is taken within it.
const CALL: Duration = Duration::from_secs(10);
/// A call's head is no longer.
const HEAD: usize = 8 * 1024;

/// A call, as far as it counts: its body, if it has one, means nothing here.
#[derive(Debug, PartialEq)]
pub struct Call {
    method: String,
    path: String,
}

#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("the call cannot be read: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the call's head is too long")]
    Long,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What a caller gets.
#[derive(Debug, PartialEq)]
pub struct Answer {
    code: u16,
    json: bool,
    text: String,
}

fn answer(code: u16, text: impl Into<String>) -> Answer {
    Answer {
        code,
        json: false,
        text: text.into(),
    }
}

struct HttpCodec;

impl Decoder for HttpCodec {
    type Item = Call;
    type Error = CallError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Call>, CallError> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(src)? {
            httparse::Status::Partial if src.len() > HEAD => Err(CallError::Long),
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete(_) => Ok(Some(Call {
                method: request.method.unwrap_or_default().into(),
                path: request.path.unwrap_or_default().into(),
            })),
        }
    }
}

impl Encoder<&Answer> for HttpCodec {
    type Error = CallError;

    fn encode(&mut self, a: &Answer, dst: &mut BytesMut) -> Result<(), CallError> {
        let reason = match a.code {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            _ => "Service Unavailable",
        };
        let head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}; charset=utf-8\r\nContent-Length: {}\r\n\
             Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            a.code,
            if a.json {
                "application/json"
            } else {
                "text/plain"
            },
            a.text.len()
        );
        dst.put_slice(head.as_bytes());
        dst.put_slice(a.text.as_bytes());
        Ok(())
    }
}

pub struct Admin<U: Upstream> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    shared: Rc<InstanceRegistry>,
    watched: Watched,
    places: Rc<ConnectionLimiter>,
}

/// What operators can look at beside the hub, where there is such.
#[derive(Clone, Default)]
pub struct Watched {
    /// What is believed of engines that a registry lists, while one does.
    pub members: Rc<RefCell<Option<Rc<MembershipDriver>>>>,
    /// Results that wait for their readers.
    pub spools: Option<Rc<Spools>>,
}

impl<U: Upstream> Admin<U> {
    /// So many callers at a time; the oldest without a whole call gives way to a new one.
    pub fn new(
        router: Rc<RequestRouter<U>>,
        pool: BufferPool,
        shared: Rc<InstanceRegistry>,
        watched: Watched,
        callers: usize,
    ) -> Rc<Self> {
        Rc::new(Admin {
            router,
            pool,
            shared,
            watched,
            places: ConnectionLimiter::new(callers, Activity::NoRequest),
        })
    }

    /// Accepts callers for ever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match self.places.accept(&listener).await {
                Ok((tcp, place)) => {
                    let admin = self.clone();
                    tokio::task::spawn_local(async move {
                        if let Err(e) = admin.caller(tcp, place).await {
                            log_line!("operator: {e}");
                        }
                    });
                }
                Err(e) => {
                    log_line!("admin accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn caller(&self, tcp: TcpStream, place: PermitGuard) -> Result<(), CallError> {
        tcp.set_nodelay(true)?;
        let mut wire = FramedConnection::new(&self.pool, tcp, HttpCodec);
        let (by, mut yields) = (tokio::time::Instant::now() + CALL, false);
        let call = loop {
            tokio::select! {
                biased;
                call = tokio::time::timeout_at(by, wire.next_item()) => break call,
                () = place.eviction.notified(), if !yields => yields = true,
                // What the machine holds of its call is read first.
                () = std::future::ready(()), if yields && pending_input::peek(wire.get_ref()) != PendingInput::Bytes => {
                    return Ok(());
                }
            }
        };
        // From here on it ends within the time for its answer, and gives way to nobody.
        place.set_activity(Activity::Busy, Instant::now());
        let answer = match call {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(call))) => self.call(&call),
            Ok(Some(Err(CallError::Io(e)))) => return Err(e.into()),
            Ok(Some(Err(e))) => answer(400, format!("{e}\n")),
            Err(_) => answer(408, "no whole call came\n"),
        };
        tokio::time::timeout(CALL, wire.send(&answer))
            .await
            .map_err(io::Error::from)??;
        wire.close_gracefully().await;
        Ok(())
    }

    /// Carries a call out.
    fn call(&self, call: &Call) -> Answer {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let engine = |what| {
            path.strip_prefix("/_engines/")?
                .strip_prefix(what)?
                .strip_prefix('/')
        };
        let (method, reply): (&str, &dyn Fn() -> Answer) = match path {
            "/_ready" => ("GET", &|| match self.router.is_ready() {
                true => answer(200, "ready\n"),
                false => answer(503, "not ready: no list of engines yet, or shutting down\n"),
            }),
            "/_vars" => ("GET", &|| {
                let spools = self
                    .watched
                    .spools
                    .as_ref()
                    .map_or(String::new(), |s| s.metrics());
                answer(200, self.router.metrics() + &spools)
            }),
            "/_spools" => ("GET", &|| match &self.watched.spools {
                Some(spools) => Answer {
                    code: 200,
                    json: true,
                    text: spools.status_page(),
                },
                None => answer(404, "no results are kept here\n"),
            }),
            "/_members" => ("GET", &|| self.page(query)),
            _ if engine("detach").is_some() => ("POST", &|| {
                self.administratively_drained(engine("detach"), true)
            }),
            _ if engine("attach").is_some() => ("POST", &|| {
                self.administratively_drained(engine("attach"), false)
            }),
            _ => return answer(404, format!("no call is named {path}\n")),
        };
        match call.method == method {
            true => reply(),
            false => answer(405, format!("{path} is called with {method}\n")),
        }
    }

    /// What is believed of the engines, and why.
    fn page(&self, query: &str) -> Answer {
        match self
            .watched
            .members
            .borrow()
            .as_ref()
            .map(|m| m.page(query))
        {
            Some(Ok(text)) => Answer {
                code: 200,
                json: true,
                text,
            },
            Some(Err(e)) => answer(400, format!("{e}\n")),
            None => answer(404, "no registry lists the engines\n"),
        }
    }

    /// Kept first, so that a yes holds whatever becomes of this process.
    fn administratively_drained(&self, engine: Option<&str>, out: bool) -> Answer {
        let Some(id) = engine
            .and_then(instance_registry::decode_engine_id)
            .filter(|id| self.router.is_known(id))
        else {
            return answer(404, "no engine has this id\n");
        };
        let kept = if out {
            self.shared.drain_engine(&id)
        } else {
            self.shared.undrain(&id)
        };
        if let Err(e) = kept {
            return answer(503, format!("it could not be kept: {e}\n"));
        }
        self.router.set_administrative_drain(&id, out);
        answer(200, if out { "out\n" } else { "in use\n" })
    }
}
