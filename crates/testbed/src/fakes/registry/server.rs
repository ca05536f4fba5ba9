//! A registry on a socket: the public REST API over [`Leases`], a response cache, replicas, and trouble on demand.

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

/// Calls that are remembered.
const CALLS: usize = 10_000;
/// The longest registration, in bytes.
const MOST: usize = 1 << 16;

type Body = BoxBody<Bytes, io::Error>;

/// Trouble that a node makes with every list that it is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Answers as of now, whatever changes.
    Stale,
    /// Every answer comes so much later.
    Delay(Duration),
    /// 200, and no instance in it.
    Empty,
    /// 200, and only the first so many.
    Only(usize),
    /// 200, and a page of another service.
    Html,
    /// 200, and so many bytes without an end; `told` by a length, or in chunks.
    Huge {
        bytes: u64,
        told: bool,
    },
    /// No delta adds up: the hash code is another.
    Hash,
    /// A byte at a time.
    Drip(Duration),
    /// The connection ends in the middle of the body.
    Torn,
    Status(u16),
    Redirect(String),
}

/// What a node shows: its leases as of a moment.
#[derive(Debug)]
struct Shown {
    at: f64,
    instances: Vec<Instance>,
    delta: Vec<Instance>,
    hashcode: String,
}

struct Inner {
    leases: RefCell<Leases>,
    fault: RefCell<Fault>,
    /// Answers are made anew after this, in milliseconds.
    cache: Cell<f64>,
    shown: RefCell<Option<Rc<Shown>>>,
    peers: RefCell<Vec<Weak<Inner>>>,
    /// What changes here is at the replicas so much later, in milliseconds; never, if they are cut off.
    lag: Cell<f64>,
    cut: Cell<bool>,
    /// When an answer first told of each of these that it takes nothing new, in milliseconds.
    watched: RefCell<BTreeMap<String, Option<f64>>>,
    calls: RefCell<VecDeque<(f64, String)>>,
    bytes: Cell<u64>,
    authorization: RefCell<Option<String>>,
    address: Cell<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// One registry. Cloned handles are the same registry.
#[derive(Clone)]
pub struct Node(Rc<Inner>);

/// A change that replicas copy.
#[derive(Clone, Debug)]
enum Copied {
    Register(Box<Instance>),
    Renew(String, String),
    Cancel(String, String),
    Override(String, String, Option<Status>),
}

impl Node {
    /// A registry at this address; port 0 takes a free one. Runs until it is dropped or away.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, rules: Rules) -> io::Result<Self> {
        let inner = Inner {
            leases: RefCell::new(Leases::new(rules)),
            fault: RefCell::new(Fault::None),
            cache: Cell::new(0.0),
            shown: RefCell::default(),
            peers: RefCell::default(),
            lag: Cell::new(0.0),
            cut: Cell::new(false),
            watched: RefCell::default(),
            calls: RefCell::default(),
            bytes: Cell::new(0),
            authorization: RefCell::default(),
            address: Cell::new(address),
            tasks: RefCell::default(),
        };
        let node = Node(Rc::new(inner));
        node.back().await?;
        Ok(node)
    }

    /// Listens again at its address, with what it held.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn back(&self) -> io::Result<()> {
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
                            Some(inner) => Node(inner).answer(request).await,
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

    /// Takes no connection, and ends all that it has.
    pub fn away(&self) {
        self.0.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    /// As the operators' file of a dispatcher names it.
    pub fn url(&self) -> String {
        format!("http://{}/eureka", self.address())
    }

    pub fn fault(&self, fault: Fault) {
        if fault == Fault::Stale {
            self.shown(true);
        }
        *self.0.fault.borrow_mut() = fault;
    }

    /// Answers are up to so old, in milliseconds.
    pub fn cache(&self, ms: f64) {
        self.0.cache.set(ms);
    }

    /// Changes at either are copied to the other.
    pub fn peer(&self, other: &Node) {
        self.0.peers.borrow_mut().push(Rc::downgrade(&other.0));
        other.0.peers.borrow_mut().push(Rc::downgrade(&self.0));
    }

    /// What changes here is at the replicas so much later, in milliseconds.
    pub fn lag(&self, ms: f64) {
        self.0.lag.set(ms);
    }

    /// Nothing is copied from here any more, or again.
    pub fn cut(&self, cut: bool) {
        self.0.cut.set(cut);
    }

    /// Only whoever names this `Authorization` is answered.
    pub fn authorize(&self, value: &str) {
        *self.0.authorization.borrow_mut() = Some(value.into());
    }

    /// From now on it is noted when an answer first tells that this instance takes nothing new.
    pub fn watch(&self, id: &str) {
        self.0.watched.borrow_mut().insert(id.into(), None);
    }

    /// When an answer first told so, in milliseconds: the moment it was worded, before it was sent.
    pub fn told(&self, id: &str) -> Option<f64> {
        self.0.watched.borrow().get(id).copied().flatten()
    }

    /// Calls so far, each `METHOD path`, oldest first.
    pub fn calls(&self) -> Vec<String> {
        self.0.calls.borrow().iter().map(|c| c.1.clone()).collect()
    }

    /// Bytes of bodies sent.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.get()
    }

    /// The instance as it stands here.
    pub fn instance(&self, app: &str, id: &str) -> Option<Instance> {
        self.0.leases.borrow().get(app, id).cloned()
    }

    pub fn register(&self, instance: Instance) {
        self.change(Copied::Register(Box::new(instance)));
    }

    pub fn cancel(&self, app: &str, id: &str) {
        self.change(Copied::Cancel(app.into(), id.into()));
    }

    /// Operators set a status over an instance's.
    pub fn set_status(&self, app: &str, id: &str, status: Option<Status>) {
        self.change(Copied::Override(app.into(), id.into(), status));
    }

    /// Lets go what was not renewed, as real registries do once a minute.
    pub fn evict(&self) -> usize {
        self.0.leases.borrow_mut().evict(now()).len()
    }

    /// Evicts for as long as the node lives.
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

    fn change(&self, change: Copied) -> bool {
        let done = self.apply(&change);
        if done && !self.0.cut.get() {
            for peer in self.0.peers.borrow().iter() {
                let (lag, change, peer) = (self.0.lag.get(), change.clone(), peer.clone());
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

    fn apply(&self, change: &Copied) -> bool {
        let mut leases = self.0.leases.borrow_mut();
        match change {
            Copied::Register(i) => {
                leases.register(now(), (**i).clone());
                true
            }
            Copied::Renew(app, id) => leases.renew(now(), app, id, None) == Renewed::Done,
            Copied::Cancel(app, id) => leases.cancel(now(), app, id),
            Copied::Override(app, id, status) => leases.set_override(now(), app, id, *status),
        }
    }

    fn shown(&self, anew: bool) -> Rc<Shown> {
        let mut shown = self.0.shown.borrow_mut();
        let stale = *self.0.fault.borrow() == Fault::Stale;
        if let Some(s) = shown
            .as_ref()
            .filter(|s| !anew && (stale || s.at + self.0.cache.get() > now()))
        {
            return s.clone();
        }
        let leases = self.0.leases.borrow();
        let fresh = Rc::new(Shown {
            at: now(),
            instances: leases.instances().cloned().collect(),
            delta: leases.delta(now()),
            hashcode: leases.hashcode(),
        });
        *shown = Some(fresh.clone());
        fresh
    }

    /// Notes who is told to take nothing new.
    fn note(&self, instances: &[&Instance]) {
        let mut watched = self.0.watched.borrow_mut();
        for (id, told) in watched.iter_mut().filter(|w| w.1.is_none()) {
            if instances
                .iter()
                .any(|i| i.id == *id && (i.listed() != Status::Up || i.action == "DELETED"))
            {
                *told = Some(now());
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("", |p| p.as_str())
            .to_string();
        let method = request.method().clone();
        {
            let mut calls = self.0.calls.borrow_mut();
            if calls.len() >= CALLS {
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
        let wanted = self.0.authorization.borrow().clone();
        if wanted.is_some_and(|w| header(AUTHORIZATION) != w) {
            return Ok(plain(StatusCode::UNAUTHORIZED, ""));
        }
        let xml = header(ACCEPT).contains("xml");
        let gzip = header(ACCEPT_ENCODING).contains("gzip");
        let Some(rest) = path.strip_prefix("/eureka") else {
            return Ok(plain(StatusCode::NOT_FOUND, ""));
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
                let body = Limited::new(request.into_body(), MOST).collect().await;
                let Ok(body) = body else {
                    return Ok(plain(StatusCode::BAD_REQUEST, "too long"));
                };
                return Ok(self.registered(app, &body.to_bytes()));
            }
            (&Method::PUT, ["apps", app, id]) => {
                let dirty = value(query, "lastDirtyTimestamp").and_then(|d| d.parse().ok());
                let renewed = self.0.leases.borrow_mut().renew(now(), app, id, dirty);
                if renewed == Renewed::Done {
                    self.change(Copied::Renew(app.to_string(), id.to_string()));
                    return Ok(plain(StatusCode::OK, ""));
                }
                return Ok(plain(StatusCode::NOT_FOUND, ""));
            }
            (&Method::DELETE, ["apps", app, id]) => {
                let done = self.change(Copied::Cancel(app.to_string(), id.to_string()));
                return Ok(plain(
                    if done {
                        StatusCode::OK
                    } else {
                        StatusCode::NOT_FOUND
                    },
                    "",
                ));
            }
            (&Method::PUT | &Method::DELETE, ["apps", app, id, "status"]) => {
                let status = value(query, "value").filter(|_| method == Method::PUT);
                let status = status.map(|s| Status::parse(&s));
                let done = self.change(Copied::Override(app.to_string(), id.to_string(), status));
                return Ok(plain(
                    if done {
                        StatusCode::OK
                    } else {
                        StatusCode::NOT_FOUND
                    },
                    "",
                ));
            }
            (&Method::GET, _) => {}
            _ => return Ok(plain(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
        let fault = self.0.fault.borrow().clone();
        if let Fault::Delay(span) = fault {
            tokio::time::sleep(span).await;
        }
        let Some(text) = self.list(&fault, xml, &parts) else {
            return Ok(plain(StatusCode::NOT_FOUND, ""));
        };
        Ok(self.troubled(fault, xml, gzip, text, rest))
    }

    fn registered(&self, app: &str, body: &[u8]) -> Response<Body> {
        // The reader is the dispatcher's own: what it sends must at least read as what it meant.
        let Ok(document) = format::json(body) else {
            return plain(StatusCode::BAD_REQUEST, "no instance");
        };
        let Some(i) = document
            .applications
            .iter()
            .flat_map(|a| &a.instances)
            .next()
        else {
            return plain(StatusCode::BAD_REQUEST, "no instance");
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
        self.change(Copied::Register(Box::new(instance)));
        plain(StatusCode::NO_CONTENT, "")
    }

    /// The list that a path asks for; none if nobody stands under that name.
    fn list(&self, fault: &Fault, xml: bool, parts: &[&str]) -> Option<String> {
        let shown = self.shown(false);
        let empty = (vec![], String::new());
        let all = || shown.instances.iter();
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
                _ => (list.into_iter().cloned().collect(), shown.hashcode.clone()),
            }
        };
        match parts {
            ["apps"] | ["apps", ""] => {
                let (list, hash) = limited(all().collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.note(&list);
                Some(document::applications(xml, &hash, &list))
            }
            ["apps", "delta"] => match fault {
                Fault::Empty => Some(document::applications(xml, "", &[])),
                Fault::Only(n) => Some(document::applications(xml, &format!("UP_{n}_"), &[])),
                Fault::Hash => Some(document::applications(xml, "UP_0_", &[])),
                _ => {
                    let list: Vec<&Instance> = shown.delta.iter().collect();
                    self.note(&list);
                    Some(document::applications(xml, &shown.hashcode, &list))
                }
            },
            ["apps", app] => {
                let (list, _) =
                    limited(all().filter(|i| i.app.eq_ignore_ascii_case(app)).collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.note(&list);
                (!list.is_empty()).then(|| document::application(xml, &app.to_uppercase(), &list))
            }
            ["apps", _, id] | ["instances", id] => {
                let found = all().find(|i| i.id == *id)?;
                Some(document::instance(xml, found))
            }
            [kind @ ("vips" | "svips"), name] => {
                let under = |i: &&Instance| {
                    if *kind == "vips" {
                        i.vip == *name
                    } else {
                        i.svip == *name
                    }
                };
                let (list, hash) = limited(all().filter(under).collect());
                let list: Vec<&Instance> = list.iter().collect();
                self.note(&list);
                (!list.is_empty()).then(|| document::applications(xml, &hash, &list))
            }
            _ => None,
        }
    }

    fn troubled(
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
                return plain(
                    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
                    "",
                );
            }
            Fault::Redirect(to) => Response::builder()
                .status(302)
                .header(LOCATION, format!("{to}{path}"))
                .body(full(Bytes::new())),
            Fault::Huge { bytes, told } => {
                let mut response = ok();
                if told {
                    response = response.header("content-length", bytes);
                }
                response.body(endless(bytes))
            }
            Fault::Drip(every) => ok()
                .header("content-length", text.len())
                .body(drip(text.into(), every)),
            Fault::Torn => {
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
                self.0.bytes.set(self.0.bytes.get() + packed.len() as u64);
                ok().header(CONTENT_ENCODING, "gzip").body(full(packed))
            }
            _ => {
                self.0.bytes.set(self.0.bytes.get() + text.len() as u64);
                ok().body(full(text.into()))
            }
        };
        built.unwrap_or_else(|_| plain(StatusCode::INTERNAL_SERVER_ERROR, ""))
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

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// What looks like a list, for so many bytes.
fn endless(bytes: u64) -> Body {
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

/// A byte at a time.
fn drip(bytes: Bytes, every: Duration) -> Body {
    let frames = stream::unfold(bytes, move |rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(every).await;
        Some((Ok(Frame::data(rest.slice(..1))), rest.slice(1..)))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

fn value(query: &str, key: &str) -> Option<String> {
    let mut pairs = url::form_urlencoded::parse(query.as_bytes());
    pairs.find(|(k, _)| k == key).map(|(_, v)| v.into_owned())
}
