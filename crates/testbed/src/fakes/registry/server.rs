//! HTTP server of a fake registry: the public REST API over [`Leases`], a response cache, replication, and
//! faults.

use super::document;
use super::leases::{Instance, Leases, Renewed, Rules};
use crate::now;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{
    ACCEPT, ACCEPT_ENCODING, AUTHORIZATION, CONTENT_ENCODING, CONTENT_TYPE, LOCATION,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use query_dispatcher::discovery::eureka::format;
use query_dispatcher::membership::Status;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};

/// Maximum number of recorded calls; the oldest are dropped.
const MAX_CALLS: usize = 10_000;
/// Maximum size of a registration, in bytes.
const MAX_REGISTRATION_BYTES: usize = 1 << 16;

type Body = BoxBody<Bytes, io::Error>;

/// Fault of a node that affects its response to every request for a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Responds with its state at the time when the fault was set.
    Stale,
    /// Delays every response by this duration.
    Delay(Duration),
    /// Responds with status 200 and no instance.
    Empty,
    /// Responds with status 200 and only this number of instances.
    Only(usize),
    /// Responds with status 200 and the HTML page of another service.
    Html,
    /// Responds with status 200 and this number of bytes, which are no whole document; with a
    /// `Content-Length` if `with_length`, otherwise in chunks.
    Huge {
        bytes: u64,
        with_length: bool,
    },
    /// Responds with deltas that contradict their hash code.
    WrongHashCode,
    /// Sends one byte per this interval.
    Drip(Duration),
    /// Closes the connection in the middle of the body.
    Truncated,
    /// Responds with this status and no body.
    Status(u16),
    /// Redirects to the same path below this URL.
    Redirect(String),
}

/// State of a node from which it builds its responses.
#[derive(Debug)]
struct Snapshot {
    /// When it was taken, in milliseconds on the Unix clock.
    at: f64,
    instances: Vec<Instance>,
    delta: Vec<Instance>,
    hashcode: String,
}

struct Inner {
    leases: RefCell<Leases>,
    fault: RefCell<Fault>,
    /// How long a snapshot is used for responses, in milliseconds.
    cache_ttl: Cell<f64>,
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    peers: RefCell<Vec<Weak<Inner>>>,
    /// Delay after which the peers apply a change of this node, in milliseconds.
    replication_lag: Cell<f64>,
    /// Whether replication from this node to its peers is off.
    replication_cut: Cell<bool>,
    /// For each watched instance, when a response first reported that it accepts no new work, in
    /// milliseconds.
    drain_notices: RefCell<BTreeMap<String, Option<f64>>>,
    calls: RefCell<VecDeque<(f64, String)>>,
    bytes_sent: Cell<u64>,
    authorization: RefCell<Option<String>>,
    address: Cell<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// Handle of one registry node. Clones refer to the same node.
#[derive(Clone)]
pub struct Node(Rc<Inner>);

/// Change that is replicated to the peers.
#[derive(Clone, Debug)]
enum EndpointListChange {
    Register(Box<Instance>),
    Renew(String, String),
    Cancel(String, String),
    Override(String, String, Option<Status>),
}

impl Node {
    /// Starts a registry at this address; port 0 selects a free port. It runs until it is dropped or
    /// stopped by [`Node::stop`].
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, rules: Rules) -> io::Result<Self> {
        let inner = Inner {
            leases: RefCell::new(Leases::new(rules)),
            fault: RefCell::new(Fault::None),
            cache_ttl: Cell::new(0.0),
            snapshot: RefCell::default(),
            peers: RefCell::default(),
            replication_lag: Cell::new(0.0),
            replication_cut: Cell::new(false),
            drain_notices: RefCell::default(),
            calls: RefCell::default(),
            bytes_sent: Cell::new(0),
            authorization: RefCell::default(),
            address: Cell::new(address),
            tasks: RefCell::default(),
        };
        let node = Node(Rc::new(inner));
        node.restart().await?;
        Ok(node)
    }

    /// Listens at its address again, with the state that it had.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.0.address.get()).await?;
        self.0.address.set(listener.local_addr()?);
        let node = Rc::downgrade(&self.0);
        let accepting = spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let Some(inner) = node.upgrade() else { return };
                let serve = node.clone();
                let service = service_fn(move |request| {
                    let inner = serve.upgrade();
                    async move {
                        match inner {
                            Some(inner) => Node(inner).handle(request).await,
                            None => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                        }
                    }
                });
                let connection = http1::Builder::new().serve_connection(TokioIo::new(tcp), service);
                let task = spawn_local(async move { drop(connection.await) });
                let mut tasks = inner.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        self.0.tasks.borrow_mut().push(accepting.abort_handle());
        Ok(())
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.0.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    /// Returns its URL as the configuration file of a dispatcher contains it.
    pub fn url(&self) -> String {
        format!("http://{}/eureka", self.address())
    }

    /// Sets the fault of its responses from now on.
    pub fn set_fault(&self, fault: Fault) {
        if fault == Fault::Stale {
            self.snapshot(true);
        }
        *self.0.fault.borrow_mut() = fault;
    }

    /// Sets the maximum age of the state in responses, in milliseconds.
    pub fn cache(&self, ms: f64) {
        self.0.cache_ttl.set(ms);
    }

    /// Replicates changes between two nodes in both directions.
    pub fn peer(&self, other: &Node) {
        self.0.peers.borrow_mut().push(Rc::downgrade(&other.0));
        other.0.peers.borrow_mut().push(Rc::downgrade(&self.0));
    }

    /// Sets the delay after which peers apply a change of this node, in milliseconds.
    pub fn lag(&self, ms: f64) {
        self.0.replication_lag.set(ms);
    }

    /// Stops replication from this node to its peers, or resumes it.
    pub fn cut(&self, cut: bool) {
        self.0.replication_cut.set(cut);
    }

    /// Rejects requests without this value of the `Authorization` header.
    pub fn authorize(&self, value: &str) {
        *self.0.authorization.borrow_mut() = Some(value.into());
    }

    /// Starts to record when a response first reports that this instance accepts no new work.
    pub fn watch(&self, id: &str) {
        self.0.drain_notices.borrow_mut().insert(id.into(), None);
    }

    /// Returns when a response first reported that a watched instance accepts no new work, in milliseconds
    /// on the Unix clock: the time when the response was built, before it was sent.
    pub fn drain_reported_at(&self, id: &str) -> Option<f64> {
        self.0.drain_notices.borrow().get(id).copied().flatten()
    }

    /// Returns the recorded calls, each as `METHOD path`, oldest first.
    pub fn calls(&self) -> Vec<String> {
        self.0.calls.borrow().iter().map(|c| c.1.clone()).collect()
    }

    /// Returns the total size of the sent response bodies, in bytes.
    pub fn bytes(&self) -> u64 {
        self.0.bytes_sent.get()
    }

    /// Returns an instance in its current state at this node.
    pub fn instance(&self, app: &str, id: &str) -> Option<Instance> {
        self.0.leases.borrow().get(app, id).cloned()
    }

    pub fn register(&self, instance: Instance) {
        self.change(EndpointListChange::Register(Box::new(instance)));
    }

    pub fn cancel(&self, app: &str, id: &str) {
        self.change(EndpointListChange::Cancel(app.into(), id.into()));
    }

    /// Sets or clears the operators' override of an instance's status.
    pub fn set_status(&self, app: &str, id: &str, status: Option<Status>) {
        self.change(EndpointListChange::Override(app.into(), id.into(), status));
    }

    /// Evicts expired leases, as real registries do once a minute, and returns their number.
    pub fn evict(&self) -> usize {
        self.0.leases.borrow_mut().evict(now()).len()
    }

    /// Evicts expired leases at this interval until the node is dropped or stopped.
    pub fn evict_every(&self, every: Duration) {
        let node = Rc::downgrade(&self.0);
        let task = spawn_local(async move {
            loop {
                tokio::time::sleep(every).await;
                let Some(inner) = node.upgrade() else { return };
                inner.leases.borrow_mut().evict(now());
            }
        });
        self.0.tasks.borrow_mut().push(task.abort_handle());
    }

    /// Applies a change and replicates it. Returns whether it had an effect.
    fn change(&self, change: EndpointListChange) -> bool {
        let done = self.apply(&change);
        if done && !self.0.replication_cut.get() {
            for peer in self.0.peers.borrow().iter() {
                let (lag, change, peer) =
                    (self.0.replication_lag.get(), change.clone(), peer.clone());
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_secs_f64(lag / 1000.0)).await;
                    if let Some(peer) = peer.upgrade() {
                        let _ = Node(peer).apply(&change);
                    }
                });
            }
        }
        done
    }

    fn apply(&self, change: &EndpointListChange) -> bool {
        let mut leases = self.0.leases.borrow_mut();
        match change {
            EndpointListChange::Register(i) => {
                leases.register(now(), (**i).clone());
                true
            }
            EndpointListChange::Renew(app, id) => {
                leases.renew(now(), app, id, None) == Renewed::Done
            }
            EndpointListChange::Cancel(app, id) => leases.cancel(now(), app, id),
            EndpointListChange::Override(app, id, status) => {
                leases.set_override(now(), app, id, *status)
            }
        }
    }

    /// Returns the cached snapshot, or takes a new one if it has expired or `refresh` is set.
    fn snapshot(&self, refresh: bool) -> Rc<Snapshot> {
        let mut cached = self.0.snapshot.borrow_mut();
        let stale = *self.0.fault.borrow() == Fault::Stale;
        if let Some(s) = cached
            .as_ref()
            .filter(|s| !refresh && (stale || s.at + self.0.cache_ttl.get() > now()))
        {
            return s.clone();
        }
        let leases = self.0.leases.borrow();
        let fresh = Rc::new(Snapshot {
            at: now(),
            instances: leases.instances().cloned().collect(),
            delta: leases.delta(now()),
            hashcode: leases.hashcode(),
        });
        *cached = Some(fresh.clone());
        fresh
    }

    /// Records which watched instances this response reports as accepting no new work.
    fn record_drain_notices(&self, instances: &[&Instance]) {
        let mut drain_notices = self.0.drain_notices.borrow_mut();
        for (id, noticed) in drain_notices.iter_mut().filter(|w| w.1.is_none()) {
            if instances
                .iter()
                .any(|i| i.id == *id && (i.listed() != Status::Up || i.action == "DELETED"))
            {
                *noticed = Some(now());
            }
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("", |p| p.as_str())
            .to_string();
        let method = request.method().clone();
        {
            let mut calls = self.0.calls.borrow_mut();
            if calls.len() >= MAX_CALLS {
                calls.pop_front();
            }
            calls.push_back((now(), format!("{method} {path}")));
        }
        let header = |name| {
            request
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        let required = self.0.authorization.borrow().clone();
        if required.is_some_and(|w| header(AUTHORIZATION) != w) {
            return Ok(plain_response(StatusCode::UNAUTHORIZED, ""));
        }
        let xml = header(ACCEPT).contains("xml");
        let gzip = header(ACCEPT_ENCODING).contains("gzip");
        let Some(rest) = path.strip_prefix("/eureka") else {
            return Ok(plain_response(StatusCode::NOT_FOUND, ""));
        };
        let (rest, query) = rest.split_once('?').unwrap_or((rest, ""));
        let parts: Vec<String> = rest
            .split('/')
            .skip(1)
            .map(|p| {
                url::form_urlencoded::parse(p.as_bytes())
                    .next()
                    .map_or(String::new(), |p| p.0.into_owned())
            })
            .collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match (&method, &parts[..]) {
            (&Method::POST, ["apps", app]) => {
                let body = Limited::new(request.into_body(), MAX_REGISTRATION_BYTES)
                    .collect()
                    .await;
                let Ok(body) = body else {
                    return Ok(plain_response(StatusCode::BAD_REQUEST, "too long"));
                };
                return Ok(self.handle_registration(app, &body.to_bytes()));
            }
            (&Method::PUT, ["apps", app, id]) => {
                let dirty =
                    query_parameter(query, "lastDirtyTimestamp").and_then(|d| d.parse().ok());
                let renewed = self.0.leases.borrow_mut().renew(now(), app, id, dirty);
                if renewed == Renewed::Done {
                    self.change(EndpointListChange::Renew(app.to_string(), id.to_string()));
                    return Ok(plain_response(StatusCode::OK, ""));
                }
                return Ok(plain_response(StatusCode::NOT_FOUND, ""));
            }
            (&Method::DELETE, ["apps", app, id]) => {
                let done = self.change(EndpointListChange::Cancel(app.to_string(), id.to_string()));
                return Ok(plain_response(
                    if done {
                        StatusCode::OK
                    } else {
                        StatusCode::NOT_FOUND
                    },
                    "",
                ));
            }
            (&Method::PUT | &Method::DELETE, ["apps", app, id, "status"]) => {
                let status = query_parameter(query, "value").filter(|_| method == Method::PUT);
                let status = status.map(|s| Status::parse(&s));
                let done = self.change(EndpointListChange::Override(
                    app.to_string(),
                    id.to_string(),
                    status,
                ));
                return Ok(plain_response(
                    if done {
                        StatusCode::OK
                    } else {
                        StatusCode::NOT_FOUND
                    },
                    "",
                ));
            }
            (&Method::GET, _) => {}
            _ => return Ok(plain_response(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
        let fault = self.0.fault.borrow().clone();
        if let Fault::Delay(span) = fault {
            tokio::time::sleep(span).await;
        }
        let Some(text) = self.document(&fault, xml, &parts) else {
            return Ok(plain_response(StatusCode::NOT_FOUND, ""));
        };
        Ok(self.respond(fault, xml, gzip, text, rest))
    }

    fn handle_registration(&self, app: &str, body: &[u8]) -> Response<Body> {
        // Parsed with the dispatcher's own parser: a registration that the dispatcher sends must be
        // readable for it.
        let Ok(document) = format::json(body) else {
            return plain_response(StatusCode::BAD_REQUEST, "no instance");
        };
        let Some(i) = document
            .applications
            .iter()
            .flat_map(|a| &a.instances)
            .next()
        else {
            return plain_response(StatusCode::BAD_REQUEST, "no instance");
        };
        let raw: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let raw = &raw["instance"];
        let text = |k: &str| raw[k].as_str().unwrap_or_default().to_string();
        let seconds = raw["leaseInfo"]["durationInSecs"].as_f64().unwrap_or(90.0);
        let metadata = raw["metadata"].as_object().into_iter().flatten();
        let instance = Instance {
            host: text("hostName"),
            ip: text("ipAddr"),
            vip: text("vipAddress"),
            status: Status::parse(&i.status),
            metadata: metadata
                .filter_map(|(k, v)| Some((k.clone(), v.as_str()?.to_string())))
                .collect(),
            duration: seconds * 1000.0,
            dirty: i.dirty.unwrap_or(0.0) as u64,
            up: 0.0,
            ..Instance::engine(
                app,
                &i.id,
                i.port.and_then(|p| p.number).unwrap_or(0),
                now(),
            )
        };
        self.change(EndpointListChange::Register(Box::new(instance)));
        plain_response(StatusCode::NO_CONTENT, "")
    }

    /// Returns the document at a path; `None` if no instance is listed there.
    fn document(&self, fault: &Fault, xml: bool, parts: &[&str]) -> Option<String> {
        let snapshot = self.snapshot(false);
        let empty = (vec![], String::new());
        let all = || snapshot.instances.iter();
        let limited = |list: Vec<&Instance>| -> (Vec<Instance>, String) {
            match fault {
                Fault::Empty => empty.clone(),
                Fault::Only(n) => {
                    let first: Vec<Instance> = list.into_iter().take(*n).cloned().collect();
                    let hash = if first.is_empty() {
                        String::new()
                    } else {
                        format!("UP_{}_", first.len())
                    };
                    (first, hash)
                }
                _ => (
                    list.into_iter().cloned().collect(),
                    snapshot.hashcode.clone(),
                ),
            }
        };
        match parts {
            ["apps"] | ["apps", ""] => {
                let (list, hash) = limited(all().collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.record_drain_notices(&list);
                Some(document::applications(xml, &hash, &list))
            }
            ["apps", "delta"] => match fault {
                Fault::Empty => Some(document::applications(xml, "", &[])),
                Fault::Only(n) => Some(document::applications(xml, &format!("UP_{n}_"), &[])),
                Fault::WrongHashCode => Some(document::applications(xml, "UP_0_", &[])),
                _ => {
                    let list: Vec<&Instance> = snapshot.delta.iter().collect();
                    self.record_drain_notices(&list);
                    Some(document::applications(xml, &snapshot.hashcode, &list))
                }
            },
            ["apps", app] => {
                let (list, _) =
                    limited(all().filter(|i| i.app.eq_ignore_ascii_case(app)).collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.record_drain_notices(&list);
                (!list.is_empty()).then(|| document::application(xml, &app.to_uppercase(), &list))
            }
            ["apps", _, id] | ["instances", id] => {
                let found = all().find(|i| i.id == *id)?;
                Some(document::instance(xml, found))
            }
            [kind @ ("vips" | "svips"), name] => {
                let has_vip = |i: &&Instance| {
                    if *kind == "vips" {
                        i.vip == *name
                    } else {
                        i.svip == *name
                    }
                };
                let (list, hash) = limited(all().filter(has_vip).collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.record_drain_notices(&list);
                (!list.is_empty()).then(|| document::applications(xml, &hash, &list))
            }
            _ => None,
        }
    }

    /// Builds the response with this document, altered by the fault.
    fn respond(
        &self,
        fault: Fault,
        xml: bool,
        gzip: bool,
        text: String,
        path: &str,
    ) -> Response<Body> {
        let kind = if xml {
            "application/xml"
        } else {
            "application/json"
        };
        let ok = || Response::builder().header(CONTENT_TYPE, kind);
        let built = match fault {
            Fault::Html => Response::builder()
                .header(CONTENT_TYPE, "text/html")
                .body(full(
                    "<html><body>Please log in to the network</body></html>".into(),
                )),
            Fault::Status(code) => {
                return plain_response(
                    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
                    "",
                );
            }
            Fault::Redirect(to) => Response::builder()
                .status(302)
                .header(LOCATION, format!("{to}{path}"))
                .body(full(Bytes::new())),
            Fault::Huge { bytes, with_length } => {
                let mut response = ok();
                if with_length {
                    response = response.header("content-length", bytes);
                }
                response.body(huge_body(bytes))
            }
            Fault::Drip(every) => ok()
                .header("content-length", text.len())
                .body(slow_body(text.into(), every)),
            Fault::Truncated => {
                let half = Bytes::from(text.clone()).slice(..text.len() / 2);
                let broken = Err(io::Error::from(io::ErrorKind::ConnectionReset));
                let frames = stream::iter([Ok(Frame::data(half)), broken]);
                ok().header("content-length", text.len())
                    .body(BodyExt::boxed(StreamBody::new(frames)))
            }
            _ if gzip && text.len() > 1024 => {
                let mut packed = flate2::write::GzEncoder::new(vec![], flate2::Compression::fast());
                let _ = packed.write_all(text.as_bytes());
                let packed = Bytes::from(packed.finish().unwrap_or_default());
                self.0
                    .bytes_sent
                    .set(self.0.bytes_sent.get() + packed.len() as u64);
                ok().header(CONTENT_ENCODING, "gzip").body(full(packed))
            }
            _ => {
                self.0
                    .bytes_sent
                    .set(self.0.bytes_sent.get() + text.len() as u64);
                ok().body(full(text.into()))
            }
        };
        built.unwrap_or_else(|_| plain_response(StatusCode::INTERNAL_SERVER_ERROR, ""))
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a body of this size that begins like a list.
fn huge_body(bytes: u64) -> Body {
    let chunk = Bytes::from(vec![b'a'; 64 * 1024]);
    let head = Bytes::from_static(br#"{"applications":{"apps__hashcode":""#);
    let frames = stream::unfold((bytes, head, chunk), |(left, next, chunk)| async move {
        if left == 0 {
            return None;
        }
        let piece = next.slice(..(next.len() as u64).min(left) as usize);
        let left = left - piece.len() as u64;
        Some((Ok(Frame::data(piece)), (left, chunk.clone(), chunk)))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Returns a body that sends one byte per interval.
fn slow_body(bytes: Bytes, every: Duration) -> Body {
    let frames = stream::unfold(bytes, move |rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(every).await;
        Some((Ok(Frame::data(rest.slice(..1))), rest.slice(1..)))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Returns the decoded value of a query parameter.
fn query_parameter(query: &str, key: &str) -> Option<String> {
    let mut pairs = url::form_urlencoded::parse(query.as_bytes());
    pairs.find(|(k, _)| k == key).map(|(_, v)| v.into_owned())
}
