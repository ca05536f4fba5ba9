//! Client of the platform's journal service: server-sent events over HTTP/1.1, in order, resumed after the last
//! event that was applied.

use crate::decision::model::{EngineState, ListUpdate};
use crate::discovery::backoff::Backoff;
use crate::discovery::{Change, ChangeHandler, Discovery, Engine};
use crate::log_line;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// A comment comes each second; a stream that is silent for this long is cut off and opened anew: its news count
/// as told whether or not they came, 2 s after a new process has said that it is ready.
const SILENCE: Duration = Duration::from_millis(1500);
const CONNECT: Duration = Duration::from_millis(1000);
/// No head or line of the journal is longer: one event carries the whole list at most.
const LINE_MOST: usize = 1 << 20;

#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    pos: u64,
    #[serde(default)]
    entries: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    pos: Option<u64>,
    hosts: Option<Hosts>,
}

#[derive(Deserialize)]
struct Hosts {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: Option<String>,
    zone: Option<String>,
    machine_type: Option<String>,
    cell: Option<i64>,
    lifecycle: String,
    started_at_ms: Option<f64>,
}

impl Hosts {
    fn change(self) -> Change {
        let update = if self.reset {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Patch
        };
        let engines = self.instances.into_iter().map(|i| Engine {
            address: i.host_port.as_deref().and_then(|a| a.parse().ok()),
            state: match i.lifecycle.as_str() {
                "in_service" => EngineState::Ready,
                "terminating" => EngineState::Draining,
                // A state that is not known is no state to send to.
                _ => EngineState::Gone,
            },
            id: i.instance_id,
            zone: i.zone,
            kind: i.machine_type,
            cell: i.cell.unwrap_or(0),
            started: i.started_at_ms.filter(|t| *t > 0.0),
        });
        Change {
            update,
            engines: engines.collect(),
        }
    }
}

/// A subscription to the journal. Events are applied in order and at most once.
pub struct Journal {
    /// Where the service is now: a new configuration may move it.
    address: watch::Receiver<SocketAddr>,
    pos: u64,
    first: Vec<Change>,
    silence: Duration,
    backoff: Backoff,
    /// The place after which an event could not be read: asked for once more, then passed over.
    unread: Option<u64>,
}

impl Journal {
    /// Creates a subscription that connects to the latest value of `address`.
    ///
    /// `known` is the configuration's initial part of the journal, an object `{"pos": number, "entries": [event, ...]}`,
    /// or null to start with no engines at position 0. `seed` randomizes the delays between connections and should
    /// differ between dispatchers.
    ///
    /// # Errors
    /// `known` is neither null nor an object of that shape.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        known: serde_json::Value,
        seed: u64,
    ) -> Result<Self, serde_json::Error> {
        let (silence, backoff) = (SILENCE, Backoff::new(seed));
        let mut journal = Journal {
            address,
            pos: 0,
            first: vec![],
            silence,
            backoff,
            unread: None,
        };
        if !known.is_null() {
            let known: Known = serde_json::from_value(known)?;
            let mut changes: Vec<Change> = known
                .entries
                .into_iter()
                .filter_map(|e| e.hosts)
                .map(Hosts::change)
                .collect();
            if let Some(first) = changes.first_mut() {
                // What the configuration holds is a list as of the start, whatever its first event says.
                first.update = ListUpdate::Stale;
            }
            journal.pos = known.pos;
            journal.first = changes;
        }
        Ok(journal)
    }

    /// One event of the stream; `id` is its number, or what its data says.
    fn event(&mut self, id: Option<u64>, data: &str) -> std::io::Result<Option<Change>> {
        let event: Event = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(_) if id.is_some_and(|pos| pos <= self.pos) => return Ok(None),
            // Spoilt on its way, it comes whole when asked for again; if not, the news after it count more.
            Err(e) if self.unread != Some(self.pos) => {
                self.unread = Some(self.pos);
                return Err(broken(&format!("an event cannot be read: {e}")));
            }
            Err(e) => {
                log_line!("journal: an event cannot be read and is passed over: {e}");
                self.pos = id.unwrap_or(self.pos);
                return Ok(None);
            }
        };
        let Some(pos) = id.or(event.pos).filter(|pos| *pos > self.pos) else {
            return Ok(None);
        };
        self.pos = pos;
        Ok(event.hosts.map(Hosts::change))
    }

    /// Reads one stream to its end.
    async fn follow(&mut self, address: SocketAddr, sink: &ChangeHandler) -> std::io::Result<()> {
        let mut tcp = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
        tcp.set_nodelay(true)?;
        // Silent is a stream without whole lines: what trickles in is no news.
        let mut silent_at = Instant::now() + self.silence;
        let request = format!(
            "GET /journal HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            address, self.pos
        );
        tokio::time::timeout_at(silent_at, tcp.write_all(request.as_bytes())).await??;
        let mut reader = Reader::default();
        let mut buffer = vec![0; 16 * 1024];
        let mut come = 0;
        loop {
            let n = tokio::time::timeout_at(silent_at, tcp.read(&mut buffer)).await??;
            if n == 0 {
                return Ok(());
            }
            let lines = reader.lines;
            come += n;
            for (id, data) in reader.feed(&buffer[..n])? {
                if let Some(change) = self.event(id, &data)? {
                    sink(change);
                }
            }
            // One event may be a whole list, which takes its time.
            if reader.lines > lines || come >= buffer.len() {
                (silent_at, come) = (Instant::now() + self.silence, 0);
            }
        }
    }
}

impl Discovery for Journal {
    async fn run(mut self, sink: ChangeHandler) {
        std::mem::take(&mut self.first).into_iter().for_each(&sink);
        tokio::time::sleep(self.backoff.initial()).await;
        loop {
            let before = self.pos;
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            // The numbers go on at the new address; the old stream, which tells nothing more, is let go at once.
            let following = async {
                if let Err(e) = self.follow(address, &sink).await {
                    log_line!("journal {address}: {e}; asking again from {}", self.pos);
                }
                // News shows that the service is well; without any, ask ever more slowly.
                let news = self.pos > before;
                tokio::time::sleep(self.backoff.after(news)).await;
            };
            let moved = tokio::select! {
                () = following => false,
                Ok(()) = moved.changed() => true,
            };
            if moved {
                tokio::time::sleep(self.backoff.initial()).await;
            }
        }
    }
}

/// An HTTP response of server-sent events, fed in pieces as they come, cut anywhere.
#[derive(Default)]
struct Reader {
    raw: Vec<u8>,
    chunked: Option<bool>,
    /// Left of the chunk in hand.
    chunk: usize,
    line: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
    /// Whole lines so far.
    lines: u64,
}

fn broken(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_string())
}

impl Reader {
    fn feed(&mut self, bytes: &[u8]) -> std::io::Result<Vec<(Option<u64>, String)>> {
        self.raw.extend_from_slice(bytes);
        let mut events = vec![];
        if self.chunked.is_none() && !self.head()? {
            return Ok(events);
        }
        if self.chunked == Some(true) {
            self.chunks(&mut events)?;
        } else {
            let raw = std::mem::take(&mut self.raw);
            self.text(&raw, &mut events)?;
        }
        Ok(events)
    }

    fn head(&mut self) -> std::io::Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        match response
            .parse(&self.raw)
            .map_err(|e| broken(&e.to_string()))?
        {
            httparse::Status::Partial if self.raw.len() > 16 * 1024 => {
                Err(broken("the head is too long"))
            }
            httparse::Status::Partial => Ok(false),
            httparse::Status::Complete(end) => {
                if response.code != Some(200) {
                    return Err(broken(&format!("status {:?}", response.code)));
                }
                let chunked = response.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.to_ascii_lowercase().ends_with(b"chunked")
                });
                self.chunked = Some(chunked);
                self.raw.drain(..end);
                Ok(true)
            }
        }
    }

    fn chunks(&mut self, events: &mut Vec<(Option<u64>, String)>) -> std::io::Result<()> {
        loop {
            if self.chunk > 0 {
                let n = self.chunk.min(self.raw.len());
                let part: Vec<u8> = self.raw.drain(..n).collect();
                self.chunk -= n;
                self.text(&part, events)?;
                if self.chunk > 0 {
                    return Ok(());
                }
            }
            // The line feed that ends the chunk before is passed over with the next size.
            while self.raw.starts_with(b"\r\n") {
                self.raw.drain(..2);
            }
            match httparse::parse_chunk_size(&self.raw) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.raw.drain(..used);
                    if size == 0 {
                        return Ok(());
                    }
                    self.chunk =
                        usize::try_from(size).map_err(|_| broken("a chunk is too long"))?;
                }
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err(broken("a chunk size cannot be read")),
            }
        }
    }

    fn text(
        &mut self,
        part: &[u8],
        events: &mut Vec<(Option<u64>, String)>,
    ) -> std::io::Result<()> {
        for &b in part {
            if b != b'\n' {
                if self.line.len() >= LINE_MOST {
                    return Err(broken("a line is too long"));
                }
                self.line.push(b);
                continue;
            }
            self.lines += 1;
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                let (id, data) = (self.id.take(), self.data.take());
                events.extend(data.map(|d| (id, d)));
                continue;
            }
            let text = String::from_utf8_lossy(line);
            let (name, value) = text.split_once(':').unwrap_or((&text, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => self.id = value.trim().parse().ok(),
                "data" => match &mut self.data {
                    Some(data) if data.len() + value.len() >= LINE_MOST => {
                        return Err(broken("an event is too long"));
                    }
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => self.data = Some(value.to_string()),
                },
                _ => {} // a comment, or a field that is not used here
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
