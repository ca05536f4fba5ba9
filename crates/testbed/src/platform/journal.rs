//! Fake of the journal service, which sends numbered events about engines as server-sent events.

use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

/// Interval of the comments that keep an idle stream alive.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// State of an engine as the service reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    InService,
    Draining,
    Gone,
}

/// One engine in an event.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: Lifecycle,
    /// Unix time of a recent start, in milliseconds; 0 for an engine that started long ago.
    pub started_at_ms: f64,
}

impl Instance {
    fn json(&self) -> Value {
        let lifecycle = match self.lifecycle {
            Lifecycle::InService => "in_service",
            Lifecycle::Draining => "terminating",
            Lifecycle::Gone => "terminated",
        };
        json!({
            "instanceId": self.id, "hostPort": self.address.to_string(), "zone": "east",
            "machineType": "std", "cell": 0, "lifecycle": lifecycle, "weight": 1,
            "startedAtMs": self.started_at_ms,
        })
    }
}

fn event(position: u64, reset: bool, instances: &[Instance]) -> Value {
    let instances: Vec<Value> = instances.iter().map(Instance::json).collect();
    json!({"pos": position, "hosts": {"generation": position, "reset": reset, "instances": instances}})
}

/// How the service treats its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// Streams stay open, and nothing is sent on them.
    Silent,
    /// Every connection is closed.
    Down,
}

/// Fake journal service.
pub struct Journal {
    address: SocketAddr,
    events: RefCell<Vec<Value>>,
    changed: watch::Sender<u64>,
    mode: Cell<Mode>,
    streams: RefCell<Vec<AbortHandle>>,
}

impl Journal {
    /// Starts a service on a free loopback port, whose first event lists these instances.
    pub async fn start(instances: &[Instance]) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (changed, _) = watch::channel(1);
        let journal = Rc::new(Journal {
            address: listener.local_addr()?,
            events: RefCell::new(vec![event(1, true, instances)]),
            changed,
            mode: Cell::new(Mode::Serving),
            streams: RefCell::default(),
        });
        let service = journal.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                if service.mode.get() == Mode::Down {
                    continue;
                }
                let stream = spawn_local(service.clone().serve(tcp));
                service.streams.borrow_mut().push(stream.abort_handle());
            }
        });
        Ok(journal)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all events so far, in the form of the configuration's `known` section.
    pub fn known_section(&self) -> Value {
        let events = self.events.borrow();
        json!({"pos": events.len(), "entries": *events})
    }

    /// Appends an event about these instances and sends it to the callers.
    pub fn announce(&self, instances: &[Instance]) {
        let position = self.events.borrow().len() as u64 + 1;
        self.events
            .borrow_mut()
            .push(event(position, false, instances));
        self.changed.send_replace(position);
    }

    pub fn mode(&self) -> Mode {
        self.mode.get()
    }

    pub fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
        if mode == Mode::Down {
            for stream in self.streams.borrow_mut().drain(..) {
                stream.abort();
            }
        }
    }

    async fn serve(self: Rc<Self>, tcp: TcpStream) {
        let _ = self.stream(tcp).await;
    }

    async fn stream(&self, tcp: TcpStream) -> io::Result<()> {
        let (read, mut write) = tcp.into_split();
        let mut sent = last_event_id(&mut BufReader::new(read)).await?;
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n";
        write.write_all(head).await?;
        let mut changed = self.changed.subscribe();
        loop {
            if self.mode.get() == Mode::Serving {
                let unsent = self.events_after(sent);
                sent = sent.max(self.events.borrow().len() as u64);
                write.write_all(unsent.as_bytes()).await?;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(COMMENT_INTERVAL) => {}
            }
        }
    }

    fn events_after(&self, position: u64) -> String {
        let events = self.events.borrow();
        let numbered = (1u64..).zip(events.iter());
        let newer = numbered.filter(|(number, _)| *number > position);
        let text: String = newer
            .map(|(number, event)| format!("id: {number}\ndata: {event}\n\n"))
            .collect();
        format!(": alive\n{text}")
    }
}

/// Reads the head of a request and returns its Last-Event-ID, or 0 without one.
async fn last_event_id(head: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> io::Result<u64> {
    let mut position = 0;
    loop {
        let mut line = String::new();
        if head.read_line(&mut line).await? == 0 || line.trim().is_empty() {
            return Ok(position);
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("last-event-id")
        {
            position = value.trim().parse().unwrap_or(0);
        }
    }
}
