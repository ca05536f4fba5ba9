//! Fake engines of the platform's RESP protocol: each listens at its own address, simulates the execution of
//! requests and records when each request arrived.

use bytes::Bytes;
use query_dispatcher::protocol::resp::RespCodec;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio_util::codec::Decoder;

/// Record of a request that reached an engine.
#[derive(Clone, Debug)]
pub struct Execution {
    pub request: String,
    pub engine: usize,
    pub at: Instant,
    /// Time limit that the dispatcher sent with the request.
    pub time_limit: Duration,
    /// Whether the engine rejected it, so that it never ran.
    pub rejected: bool,
    /// Whether the engine sent its answer.
    pub answered: bool,
}

/// How an engine treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Serving,
    /// Accepts requests and never answers them.
    Hanging,
    /// Answers every request with an error.
    Failing,
    /// Sends the first half of an answer and no more.
    Truncating,
    /// Rejects every request as if all slots were in use.
    Full,
}

/// Size of an engine's results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultSize {
    /// One or two pages of one row each.
    Small,
    /// The largest result that the protocol allows: eight full pages.
    Largest,
}

/// Number of pages of the largest result.
const LARGEST_RESULT_PAGES: usize = 8;
/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 6000;

/// Returns a row of a result, which names the request and its engine.
fn result_row(id: &str, engine: usize) -> String {
    format!("{id}\te{engine}\t1\n")
}

/// Returns whether `body` is a whole result of this engine for this request.
pub fn is_result(id: &str, engine: usize, body: &str) -> bool {
    let row = result_row(id, engine);
    let largest = LARGEST_RESULT_PAGES * (MAX_PAGE_BYTES / row.len());
    [1, 2, largest].iter().any(|rows| body == row.repeat(*rows))
}

/// All engines of a test, and the requests that reached them.
#[derive(Default)]
pub struct Fleet {
    pub engines: Vec<Rc<Engine>>,
    executions: Rc<RefCell<Vec<Execution>>>,
}

/// One engine.
pub struct Engine {
    pub number: usize,
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// Simulated execution time of a request.
    pub execution_time: Cell<Duration>,
    /// Maximum number of requests that run at once; more are rejected.
    pub slots: Cell<usize>,
    /// Size of a result; by default, each page holds one row.
    pub result_size: Cell<ResultSize>,
    running: Cell<usize>,
    executions: Rc<RefCell<Vec<Execution>>>,
    listener: RefCell<Option<AbortHandle>>,
    connections: RefCell<Vec<AbortHandle>>,
}

impl Fleet {
    /// Starts `count` engines, whose requests take `execution_time`.
    pub async fn start(count: usize, execution_time: Duration, slots: usize) -> io::Result<Self> {
        let mut fleet = Fleet::default();
        for _ in 0..count {
            fleet.add(execution_time, slots).await?;
        }
        Ok(fleet)
    }

    /// Starts one more engine.
    pub async fn add(&mut self, execution_time: Duration, slots: usize) -> io::Result<Rc<Engine>> {
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        self.add_at(any_address, execution_time, slots).await
    }

    /// Starts one more engine at this address, which an engine that is gone may have had before.
    pub async fn add_at(
        &mut self,
        address: SocketAddr,
        execution_time: Duration,
        slots: usize,
    ) -> io::Result<Rc<Engine>> {
        let listener = TcpListener::bind(address).await?;
        let engine = Rc::new(Engine {
            number: self.engines.len(),
            address: listener.local_addr()?,
            behaviour: Cell::new(Behaviour::Serving),
            execution_time: Cell::new(execution_time),
            slots: Cell::new(slots),
            result_size: Cell::new(ResultSize::Small),
            running: Cell::new(0),
            executions: self.executions.clone(),
            listener: RefCell::default(),
            connections: RefCell::default(),
        });
        engine.listen(listener);
        self.engines.push(engine.clone());
        Ok(engine)
    }

    /// Returns the requests that have reached the engines so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.borrow().clone()
    }
}

impl Engine {
    pub fn id(&self) -> String {
        format!("e{}", self.number)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let engine = self.clone();
        let task = spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let connection = spawn_local(engine.clone().serve(tcp));
                let mut connections = engine.connections.borrow_mut();
                connections.retain(|connection| !connection.is_finished());
                connections.push(connection.abort_handle());
            }
        });
        *self.listener.borrow_mut() = Some(task.abort_handle());
    }

    /// Simulates the end of the process: resets connections and refuses new ones.
    pub fn crash(&self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
        }
        self.reset_connections();
    }

    /// Simulates the loss of the machine: open connections stay open and silent, and the address is free again.
    pub fn vanish(&self) {
        self.behaviour.set(Behaviour::Hanging);
        if let Some(listener) = self.listener.take() {
            listener.abort();
        }
    }

    /// Resets every connection to the engine.
    pub fn reset_connections(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// Simulates a new process at the same address.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.crash();
        self.running.set(0);
        self.behaviour.set(Behaviour::Serving);
        // The aborted listener is closed when its task is next polled.
        for _ in 0..100 {
            tokio::task::yield_now().await;
            if let Ok(listener) = TcpListener::bind(self.address).await {
                self.listen(listener);
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    async fn serve(self: Rc<Self>, tcp: TcpStream) {
        // With a linger time of zero the connection is reset however this task ends.
        let _ = SockRef::from(&tcp).set_linger(Some(Duration::ZERO));
        let _ = tcp.set_nodelay(true);
        let (mut read, write) = tcp.into_split();
        let write = Rc::new(Mutex::new(write));
        let mut running = RunningRequests::default();
        let mut buffer = bytes::BytesMut::new();
        let mut codec = RespCodec;
        while let Ok(1..) = read.read_buf(&mut buffer).await {
            while let Ok(Some(command)) = codec.decode(&mut buffer) {
                self.handle_command(&command, &write, &mut running);
            }
        }
    }

    fn handle_command(
        self: &Rc<Self>,
        command: &[Bytes],
        write: &Rc<Mutex<OwnedWriteHalf>>,
        running: &mut RunningRequests,
    ) {
        let text = |at: usize| String::from_utf8_lossy(&command[at]).into_owned();
        match (&command[0][..], command.len()) {
            (b"GET", 4) => {
                let (id, fields) = (text(1), text(2));
                let position = self.record(&id, &fields);
                let run = self.clone().run(id.clone(), position, write.clone());
                running.start(id, run);
            }
            (b"DROP", 2) => {
                running.cancel(&text(1));
            }
            (b"PAGE", 3) => {
                let (engine, write) = (self.clone(), write.clone());
                let (id, index) = (text(1), text(2));
                running.tasks.spawn_local(async move {
                    let page = engine.result_page(&id);
                    reply(&write, [&id, "BLOCK", &format!("index={index}"), &page]).await;
                });
            }
            _ => {}
        }
    }

    /// Records the arrival of a request and returns the position of its record.
    fn record(&self, id: &str, fields: &str) -> usize {
        let limit = fields
            .split(',')
            .find_map(|field| field.strip_prefix("limit="));
        let limit = limit.and_then(|limit| limit.parse().ok()).unwrap_or(0);
        let mut executions = self.executions.borrow_mut();
        executions.push(Execution {
            request: id.to_string(),
            engine: self.number,
            at: Instant::now(),
            time_limit: Duration::from_millis(limit),
            rejected: false,
            answered: false,
        });
        executions.len() - 1
    }

    fn result_page(&self, id: &str) -> String {
        let row = result_row(id, self.number);
        match self.result_size.get() {
            ResultSize::Small => row,
            ResultSize::Largest => row.repeat(MAX_PAGE_BYTES / row.len()),
        }
    }

    async fn run(self: Rc<Self>, id: String, position: usize, write: Rc<Mutex<OwnedWriteHalf>>) {
        if self.behaviour.get() == Behaviour::Hanging {
            return std::future::pending().await;
        }
        let load = format!("meter=rif:{};x0:0.1", self.running.get());
        if self.behaviour.get() == Behaviour::Full || self.running.get() >= self.slots.get() {
            self.executions.borrow_mut()[position].rejected = true;
            return reply(&write, [&id, "AGAIN", &load, ""]).await;
        }
        let _guard = RunningGuard::begin(&self);
        tokio::time::sleep(self.execution_time.get()).await;
        let pages = match self.result_size.get() {
            ResultSize::Small => 1 + position % 2,
            ResultSize::Largest => LARGEST_RESULT_PAGES,
        };
        let fields = format!("total={pages},{load}");
        let page = self.result_page(&id);
        match self.behaviour.get() {
            Behaviour::Hanging => std::future::pending().await,
            Behaviour::Failing => reply(&write, [&id, "EIO", "-", ""]).await,
            Behaviour::Truncating => {
                let reply = encode([&id, "ACK", &fields, &page]);
                let _ = write
                    .lock()
                    .await
                    .write_all(&reply[..reply.len() / 2])
                    .await;
                std::future::pending().await
            }
            Behaviour::Serving | Behaviour::Full => {
                reply(&write, [&id, "ACK", &fields, &page]).await;
                self.executions.borrow_mut()[position].answered = true;
            }
        }
    }
}

/// Running requests of one connection, which are aborted when it ends.
#[derive(Default)]
struct RunningRequests {
    tasks: JoinSet<()>,
    by_id: HashMap<String, AbortHandle>,
}

impl RunningRequests {
    fn start(&mut self, id: String, run: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        self.by_id.retain(|_, task| !task.is_finished());
        let task = self.tasks.spawn_local(run);
        self.by_id.insert(id, task);
    }

    fn cancel(&mut self, id: &str) {
        if let Some(task) = self.by_id.remove(id) {
            task.abort();
        }
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Rc<Engine>);

impl RunningGuard {
    fn begin(engine: &Rc<Engine>) -> Self {
        engine.running.set(engine.running.get() + 1);
        RunningGuard(engine.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
    }
}

fn encode(fields: [&str; 4]) -> Vec<u8> {
    let bulk: String = fields
        .iter()
        .map(|field| format!("${}\r\n{field}\r\n", field.len()))
        .collect();
    format!("*4\r\n{bulk}").into_bytes()
}

async fn reply(write: &Mutex<OwnedWriteHalf>, fields: [&str; 4]) {
    let _ = write.lock().await.write_all(&encode(fields)).await;
}
