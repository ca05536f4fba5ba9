//! Client of the platform's journal service: server-sent events over HTTP/1.1, in order, resumed after the last
//! event that was applied.

use crate::decision::model::{EngineState, ListUpdate};
use crate::discovery::backoff::Backoff;
use crate::discovery::{ChangeHandler, DiscoveredEngine, Discovery, EndpointListChange};
use crate::log_line;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time without a complete line after which a stream is closed and opened again. The service sends a comment every
/// second; its events count as delivered 2 s after a new process has reported that it is ready.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time limit for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of a line and of an event's data, in bytes: an event carries at most the whole list.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The part of the journal in the configuration: its events up to `pos`.
#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    pos: u64,
    #[serde(default)]
    entries: Vec<Event>,
}

/// The data of one event; one without hosts concerns something else.
#[derive(Deserialize)]
struct Event {
    pos: Option<u64>,
    hosts: Option<Hosts>,
}

/// Instances that changed, or with `reset` all instances.
#[derive(Deserialize)]
struct Hosts {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

/// An engine, as the platform describes it.
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
    fn change(self) -> EndpointListChange {
        let update = if self.reset {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Patch
        };
        let engines = self.instances.into_iter().map(|i| DiscoveredEngine {
            address: i.host_port.as_deref().and_then(|a| a.parse().ok()),
            state: match i.lifecycle.as_str() {
                "in_service" => EngineState::Ready,
                "terminating" => EngineState::Draining,
                // Nothing is sent to an engine in an unknown state.
                _ => EngineState::Gone,
            },
            id: i.instance_id,
            zone: i.zone,
            kind: i.machine_type,
            cell: i.cell.unwrap_or(0),
            started: i.started_at_ms.filter(|t| *t > 0.0),
        });
        EndpointListChange {
            update,
            engines: engines.collect(),
        }
    }
}

/// A subscription to the journal. Events are applied in order and at most once.
pub struct Journal {
    /// The service's address, which a new configuration may change.
    address: watch::Receiver<SocketAddr>,
    /// Number of the last event that was applied.
    pos: u64,
    /// The configuration's list, delivered before the first connection.
    first: Vec<EndpointListChange>,
    silence: Duration,
    backoff: Backoff,
    /// Position after which an event could not be parsed: it is requested once more, then skipped.
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
            let mut changes: Vec<EndpointListChange> = known
                .entries
                .into_iter()
                .filter_map(|e| e.hosts)
                .map(Hosts::change)
                .collect();
            if let Some(first) = changes.first_mut() {
                // The configuration's list is as of the start, whatever its first event says.
                first.update = ListUpdate::Stale;
            }
            journal.pos = known.pos;
            journal.first = changes;
        }
        Ok(journal)
    }

    /// Applies one event of the stream; `id` is its number, which its data may give instead.
    fn event(
        &mut self,
        id: Option<u64>,
        data: &str,
    ) -> std::io::Result<Option<EndpointListChange>> {
        let event: Event = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(_) if id.is_some_and(|pos| pos <= self.pos) => return Ok(None),
            // If it was corrupted in transit, a second request helps; if not, the events after it matter more.
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

    /// Applies the events of one read. Patches in a row are one change, for each change costs a round of decisions.
    fn apply(&mut self, events: Vec<ServerSentEvent>, sink: &ChangeHandler) -> std::io::Result<()> {
        let mut pending: Option<EndpointListChange> = None;
        let mut outcome = Ok(());
        for (id, data) in events {
            let change = match self.event(id, &data) {
                Ok(Some(change)) => change,
                Ok(None) => continue,
                Err(error) => {
                    outcome = Err(error);
                    break;
                }
            };
            match &mut pending {
                Some(pending) if change.update == ListUpdate::Patch => {
                    pending.engines.extend(change.engines);
                }
                _ => {
                    if let Some(earlier) = pending.replace(change) {
                        sink(earlier);
                    }
                }
            }
        }
        if let Some(change) = pending {
            sink(change);
        }
        outcome
    }

    /// Reads one stream to its end.
    async fn follow(&mut self, address: SocketAddr, sink: &ChangeHandler) -> std::io::Result<()> {
        let mut tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        tcp.set_nodelay(true)?;
        // Only complete lines count as a sign of life, not single bytes.
        let mut deadline = Instant::now() + self.silence;
        let request = format!(
            "GET /journal HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            address, self.pos
        );
        tokio::time::timeout_at(deadline, tcp.write_all(request.as_bytes())).await??;
        let mut reader = Reader::default();
        let mut buffer = vec![0; 16 * 1024];
        let mut received = 0;
        loop {
            let n = tokio::time::timeout_at(deadline, tcp.read(&mut buffer)).await??;
            if n == 0 {
                return Ok(());
            }
            let lines = reader.lines;
            received += n;
            let events = reader.feed(&buffer[..n])?;
            self.apply(events, sink)?;
            // Thousands of events may come in a row: requests have their turn between two reads.
            tokio::task::yield_now().await;
            // An event may be a whole list, whose one line takes a while: a full buffer counts as a sign of life too.
            if reader.lines > lines || received >= buffer.len() {
                (deadline, received) = (Instant::now() + self.silence, 0);
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
            // Event numbers continue at the new address; the old stream brings no more events and is dropped at once.
            let following = async {
                if let Err(e) = self.follow(address, &sink).await {
                    log_line!("journal {address}: {e}; asking again from {}", self.pos);
                }
                // Events show that the service works; without any, the delays grow.
                let brought_events = self.pos > before;
                tokio::time::sleep(self.backoff.after(brought_events)).await;
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

/// The number and the data of an event.
type ServerSentEvent = (Option<u64>, String);

/// Incremental parser of an HTTP response of server-sent events.
#[derive(Default)]
struct Reader {
    /// Bytes that have not been parsed yet.
    raw: Vec<u8>,
    /// Whether the body is chunked, once the head is complete.
    chunked: Option<bool>,
    /// Bytes left of the current chunk.
    chunk: usize,
    /// The current line so far.
    line: Vec<u8>,
    /// Number and data of the current event so far.
    id: Option<u64>,
    data: Option<String>,
    /// Number of complete lines so far.
    lines: u64,
}

fn broken(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_string())
}

impl Reader {
    /// Parses more bytes of the response, however it is split, and returns the events that they complete.
    fn feed(&mut self, bytes: &[u8]) -> std::io::Result<Vec<ServerSentEvent>> {
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

    /// Parses the head; returns whether it is complete.
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

    /// Decodes the chunked body as far as it has come.
    fn chunks(&mut self, events: &mut Vec<ServerSentEvent>) -> std::io::Result<()> {
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
            // The line end after the previous chunk is skipped together with the next size.
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

    /// Splits the body into lines.
    fn text(&mut self, part: &[u8], events: &mut Vec<ServerSentEvent>) -> std::io::Result<()> {
        for &byte in part {
            if byte != b'\n' {
                if self.line.len() >= MAX_LINE_BYTES {
                    return Err(broken("a line is too long"));
                }
                self.line.push(byte);
                continue;
            }
            self.lines += 1;
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                let (id, data) = (self.id.take(), self.data.take());
                events.extend(data.map(|data| (id, data)));
            } else {
                self.field(line)?;
            }
        }
        Ok(())
    }

    /// Takes in a line that is not empty: a field of the current event, or a comment.
    fn field(&mut self, line: &[u8]) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(line);
        let (name, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.trim().parse().ok(),
            "data" => match &mut self.data {
                Some(data) if data.len() + value.len() >= MAX_LINE_BYTES => {
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
        Ok(())
    }
}

#[cfg(test)]
mod tests;
