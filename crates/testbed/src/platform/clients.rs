//! Clients of the platform's framed protocol. They record each request with the time at which it was written.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, Notify};
use tokio::task::{AbortHandle, spawn_local};

use query_dispatcher::protocol::frames::{code, kind};

/// Maximum time by which a request may precede the dispatcher's end of an otherwise idle connection and still
/// count as crossing it. Clients send such a request again.
const CROSSING_WINDOW: Duration = Duration::from_millis(50);

/// An answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: Instant,
    pub code: u8,
    /// Rows of a served request, or the error message of any other.
    pub body: String,
}

/// Record of one request on the client's side.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    /// Rank of the dispatcher that it was sent to, and the number of that dispatcher's process.
    pub dispatcher: usize,
    pub process: usize,
    /// Time at which it was written.
    pub sent_at: Instant,
    pub limit: Duration,
    /// Time at which the client cancelled it or closed the connection.
    pub abandoned_at: Option<Instant>,
    pub answers: Vec<Answer>,
    /// Time at which the dispatcher ended the connection, if that came before the answer.
    pub connection_ended_at: Option<Instant>,
    /// Whether it crossed the end of a connection on which no older request was open.
    pub crossed_idle_close: bool,
}

impl Request {
    pub fn deadline(&self) -> Instant {
        self.sent_at + self.limit
    }
}

/// Log of all requests of a test.
#[derive(Clone, Default)]
pub struct RequestLog(Rc<RefCell<Vec<Request>>>);

impl RequestLog {
    pub fn requests(&self) -> Vec<Request> {
        self.0.borrow().clone()
    }

    fn add(&self, request: Request) -> usize {
        self.0.borrow_mut().push(request);
        self.0.borrow().len() - 1
    }

    fn sent_at(&self, position: usize) -> Instant {
        self.0.borrow()[position].sent_at
    }

    fn update(&self, position: usize, change: impl FnOnce(&mut Request)) {
        change(&mut self.0.borrow_mut()[position]);
    }
}

/// Dispatcher process that a connection leads to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub dispatcher: usize,
    pub process: usize,
}

/// A connection of a client.
pub struct Connection {
    target: Target,
    write: Mutex<OwnedWriteHalf>,
    next_stream: Cell<u32>,
    open: Rc<RefCell<HashMap<u32, usize>>>,
    log: RequestLog,
    reader: AbortHandle,
    state: Rc<ConnectionState>,
}

#[derive(Default)]
struct ConnectionState {
    ended: Cell<bool>,
    goodbye: Cell<bool>,
    changed: Notify,
}

impl Connection {
    pub async fn open(target: Target, log: &RequestLog) -> io::Result<Rc<Self>> {
        let tcp = TcpStream::connect(target.address).await?;
        tcp.set_nodelay(true)?;
        let (read, write) = tcp.into_split();
        let open: Rc<RefCell<HashMap<u32, usize>>> = Rc::default();
        let state: Rc<ConnectionState> = Rc::default();
        let reader = spawn_local(read_frames(read, open.clone(), log.clone(), state.clone()));
        Ok(Rc::new(Connection {
            target,
            write: Mutex::new(write),
            next_stream: Cell::new(1),
            open,
            log: log.clone(),
            reader: reader.abort_handle(),
            state,
        }))
    }

    /// Returns whether the dispatcher has closed or reset the connection.
    pub fn has_ended(&self) -> bool {
        self.state.ended.get()
    }

    /// Returns whether the dispatcher has sent GOODBYE and accepts no new request on the connection.
    pub fn has_received_goodbye(&self) -> bool {
        self.state.goodbye.get()
    }

    pub fn open_requests(&self) -> usize {
        self.open.borrow().len()
    }

    /// Sends a request and returns its stream number.
    pub async fn send(&self, id: &str, class: &'static str, limit: Duration) -> io::Result<u32> {
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        let limit_text = limit.as_millis().to_string();
        let fields = [("verb", class), ("txn", id), ("limit", &limit_text)];
        let frame = encode_with_fields(
            kind::REQUEST,
            stream,
            &fields,
            b"select 1 from sales_17.orders",
        );
        let mut write = self.write.lock().await;
        // Recorded before the write, because the answer may be read before this task runs again.
        let position = self.log.add(Request {
            id: id.to_string(),
            class,
            dispatcher: self.target.dispatcher,
            process: self.target.process,
            sent_at: Instant::now(),
            limit,
            abandoned_at: None,
            answers: vec![],
            connection_ended_at: None,
            crossed_idle_close: false,
        });
        self.open.borrow_mut().insert(stream, position);
        if let Err(error) = write.write_all(&frame).await {
            // The frame was not written whole, so the request was never sent.
            self.open.borrow_mut().remove(&stream);
            self.log.update(position, |request| {
                request.abandoned_at = Some(request.sent_at)
            });
            return Err(error);
        }
        if self.state.ended.get() {
            self.log.update(position, |request| {
                let ended_at = *request.connection_ended_at.get_or_insert_with(Instant::now);
                request.crossed_idle_close |= request.sent_at + CROSSING_WINDOW >= ended_at;
            });
        }
        Ok(stream)
    }

    /// Cancels a request.
    pub async fn cancel(&self, stream: u32) -> io::Result<()> {
        let position = self.open.borrow_mut().remove(&stream);
        let Some(position) = position else {
            return Ok(());
        };
        let frame = encode_frame(kind::LEAVE, stream, &[]);
        self.write.lock().await.write_all(&frame).await?;
        self.log.update(position, |request| {
            request.abandoned_at = Some(Instant::now())
        });
        Ok(())
    }

    /// Closes the connection, even if requests are open on it.
    pub async fn close(&self) {
        self.reader.abort();
        let _ = self.write.lock().await.shutdown().await;
        for (_, position) in self.open.borrow_mut().drain() {
            self.log.update(position, |request| {
                request.abandoned_at = Some(Instant::now())
            });
        }
    }

    /// Sends raw bytes.
    pub async fn send_raw(&self, bytes: &[u8]) -> io::Result<()> {
        self.write.lock().await.write_all(bytes).await
    }

    /// Requests the dispatcher's readiness on a separate connection.
    pub async fn request_readiness(address: SocketAddr) -> io::Result<bool> {
        let mut tcp = TcpStream::connect(address).await?;
        tcp.write_all(&encode_frame(kind::ASK, 1, &[0])).await?;
        let (kind, _, payload) = read_frame(&mut tcp).await?;
        Ok(kind == kind::STATE && payload.first() == Some(&code::SERVED))
    }

    /// Waits until no request is open or the connection has ended, at most for `timeout`.
    pub async fn wait_until_idle(&self, timeout: Duration) {
        let wait = async {
            while !self.open.borrow().is_empty() && !self.has_ended() {
                self.state.changed.notified().await;
            }
        };
        let _ = tokio::time::timeout(timeout, wait).await;
    }
}

async fn read_frames(
    mut read: OwnedReadHalf,
    open: Rc<RefCell<HashMap<u32, usize>>>,
    log: RequestLog,
    state: Rc<ConnectionState>,
) {
    let mut answered: HashMap<u32, usize> = HashMap::new();
    while let Ok((kind, stream, payload)) = read_frame(&mut read).await {
        if kind == kind::GOODBYE {
            state.goodbye.set(true);
        }
        if kind != kind::ANSWER || stream == 0 {
            continue;
        }
        let position = open.borrow_mut().remove(&stream);
        let position = position.or_else(|| answered.get(&stream).copied());
        if let Some(position) = position {
            answered.insert(stream, position);
            let answer = decode_answer(&payload);
            log.update(position, |request| request.answers.push(answer));
        }
        state.changed.notify_one();
    }
    state.ended.set(true);
    let ended_at = Instant::now();
    let open: Vec<usize> = open
        .borrow_mut()
        .drain()
        .map(|(_, position)| position)
        .collect();
    let is_crossing = |position: &usize| log.sent_at(*position) + CROSSING_WINDOW >= ended_at;
    let all_cross = open.iter().all(is_crossing);
    for position in open {
        log.update(position, |request| {
            request.connection_ended_at = Some(ended_at);
            request.crossed_idle_close = all_cross;
        });
    }
    state.changed.notify_one();
}

async fn read_frame<R: AsyncReadExt + Unpin>(read: &mut R) -> io::Result<(u8, u32, Vec<u8>)> {
    let length = read.read_u32().await? as usize;
    let mut frame = vec![0; length.max(5)];
    read.read_exact(&mut frame).await?;
    let stream = u32::from_be_bytes([frame[1], frame[2], frame[3], frame[4]]);
    Ok((frame[0], stream, frame.split_off(5)))
}

/// Encodes a frame: length, kind, stream and payload.
pub fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    [&length[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// Encodes a frame whose payload consists of these fields and this body.
pub fn encode_with_fields(kind: u8, stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend_from_slice(name.as_bytes());
        payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
        payload.extend_from_slice(value.as_bytes());
    }
    payload.extend_from_slice(body);
    encode_frame(kind, stream, &payload)
}

/// Decodes the code and the body of an answer; a malformed answer has the code 255.
fn decode_answer(payload: &[u8]) -> Answer {
    let malformed = || Answer {
        at: Instant::now(),
        code: u8::MAX,
        body: String::new(),
    };
    let parse = || {
        let (&code, rest) = payload.split_first()?;
        let (&count, mut rest) = rest.split_first()?;
        for _ in 0..count {
            let name = usize::from(*rest.first()?);
            rest = rest.get(1 + name..)?;
            let value = usize::from(u16::from_be_bytes([*rest.first()?, *rest.get(1)?]));
            rest = rest.get(2 + value..)?;
        }
        Some(Answer {
            at: Instant::now(),
            code,
            body: String::from_utf8_lossy(rest).into_owned(),
        })
    };
    parse().unwrap_or_else(malformed)
}
