//! Client of the platform's journal service: server-sent events over HTTP/1.1, applied in order and resumed
//! after the last applied event.

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

/// Time without a complete line after which a stream is closed and opened again. The service sends a comment
/// every second, and it considers its events delivered 2 s after a new process has reported that it is ready.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of a line and of an event's data, in bytes. The largest event carries the whole endpoint
/// list.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The initial part of the journal, from the configuration: its events up to `pos`.
#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    pos: u64,
    #[serde(default)]
    entries: Vec<Event>,
}

/// The data of one event. An event without `hosts` does not concern engines and is ignored.
#[derive(Deserialize)]
struct Event {
    pos: Option<u64>,
    hosts: Option<Hosts>,
}

/// The instances that changed, or all instances if `reset` is set.
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
    fn into_change(self) -> EndpointListChange {
        let update = if self.reset {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Patch
        };
        let engines = self.instances.into_iter().map(|instance| DiscoveredEngine {
            address: instance
                .host_port
                .as_deref()
                .and_then(|address| address.parse().ok()),
            state: match instance.lifecycle.as_str() {
                "in_service" => EngineState::Ready,
                "terminating" => EngineState::Draining,
                // Nothing is sent to an engine in an unknown state.
                _ => EngineState::Gone,
            },
            id: instance.instance_id,
            zone: instance.zone,
            kind: instance.machine_type,
            cell: instance.cell.unwrap_or(0),
            started: instance.started_at_ms.filter(|started| *started > 0.0),
        });
        EndpointListChange {
            update,
            engines: engines.collect(),
        }
    }
}

/// A subscription to the journal. Events are applied in order and at most once.
pub struct Journal {
    /// The address of the journal service; a new configuration may change it.
    address: watch::Receiver<SocketAddr>,
    /// Position of the last applied event.
    position: u64,
    /// The configuration's endpoint list, delivered before the first connection.
    initial_changes: Vec<EndpointListChange>,
    idle_timeout: Duration,
    backoff: Backoff,
    /// Position after which an event could not be parsed. The event is requested once more, then skipped.
    unparsed_after: Option<u64>,
}

impl Journal {
    /// Creates a subscription that connects to the latest value of `address`.
    ///
    /// `known` is the initial part of the journal from the configuration: an object
    /// `{"pos": number, "entries": [event, ...]}`, or null to start with no engines at position 0. `seed`
    /// randomizes the delays between connections and should differ between dispatchers.
    ///
    /// # Errors
    /// `known` is neither null nor an object of that shape.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        known: serde_json::Value,
        seed: u64,
    ) -> Result<Self, serde_json::Error> {
        let mut journal = Journal {
            address,
            position: 0,
            initial_changes: vec![],
            idle_timeout: IDLE_TIMEOUT,
            backoff: Backoff::new(seed),
            unparsed_after: None,
        };
        if !known.is_null() {
            let known: Known = serde_json::from_value(known)?;
            let mut changes: Vec<EndpointListChange> = known
                .entries
                .into_iter()
                .filter_map(|event| event.hosts)
                .map(Hosts::into_change)
                .collect();
            if let Some(first) = changes.first_mut() {
                // The configuration's list describes the state at the start: it is stale, whatever its first
                // event states.
                first.update = ListUpdate::Stale;
            }
            journal.position = known.pos;
            journal.initial_changes = changes;
        }
        Ok(journal)
    }

    /// Parses one event of the stream and advances the position; returns the change that it carries, if it is
    /// new. `id` is the event's position, which its data may give instead.
    fn parse_event(
        &mut self,
        id: Option<u64>,
        data: &str,
    ) -> std::io::Result<Option<EndpointListChange>> {
        let event: Event = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(_) if id.is_some_and(|pos| pos <= self.position) => return Ok(None),
            // If the event was corrupted in transit, requesting it again helps; if not, skipping it lets the
            // events after it through.
            Err(e) if self.unparsed_after != Some(self.position) => {
                self.unparsed_after = Some(self.position);
                return Err(invalid_data(&format!("an event cannot be parsed: {e}")));
            }
            Err(e) => {
                log_line!("journal: skipping an event that cannot be parsed: {e}");
                self.position = id.unwrap_or(self.position);
                return Ok(None);
            }
        };
        let Some(pos) = id.or(event.pos).filter(|pos| *pos > self.position) else {
            return Ok(None);
        };
        self.position = pos;
        Ok(event.hosts.map(Hosts::into_change))
    }

    /// Passes the changes of one read's events to `sink`. Consecutive patches are merged into one change,
    /// because each change costs a round of decisions.
    fn deliver(
        &mut self,
        events: Vec<ServerSentEvent>,
        sink: &ChangeHandler,
    ) -> std::io::Result<()> {
        let mut pending: Option<EndpointListChange> = None;
        let mut outcome = Ok(());
        for (id, data) in events {
            let change = match self.parse_event(id, &data) {
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

    /// Opens one stream and delivers its events until it ends.
    async fn follow(&mut self, address: SocketAddr, sink: &ChangeHandler) -> std::io::Result<()> {
        let mut tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        tcp.set_nodelay(true)?;
        // Only complete lines extend the deadline, so that a stream that trickles single bytes times out.
        let mut deadline = Instant::now() + self.idle_timeout;
        let request = format!(
            "GET /journal HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            address, self.position
        );
        tokio::time::timeout_at(deadline, tcp.write_all(request.as_bytes())).await??;
        let mut parser = EventStreamParser::default();
        let mut buffer = vec![0; 16 * 1024];
        let mut bytes_since_line = 0;
        loop {
            let read = tokio::time::timeout_at(deadline, tcp.read(&mut buffer)).await??;
            if read == 0 {
                return Ok(());
            }
            let lines_before = parser.lines;
            bytes_since_line += read;
            let events = parser.feed(&buffer[..read])?;
            self.deliver(events, sink)?;
            // Thousands of events may arrive in a row; yield so that requests are served between two reads.
            tokio::task::yield_now().await;
            // An event may carry the whole list in one line, which takes long to arrive, so a buffer's worth
            // of bytes extends the deadline too.
            if parser.lines > lines_before || bytes_since_line >= buffer.len() {
                (deadline, bytes_since_line) = (Instant::now() + self.idle_timeout, 0);
            }
        }
    }
}

impl Discovery for Journal {
    async fn run(mut self, sink: ChangeHandler) {
        std::mem::take(&mut self.initial_changes)
            .into_iter()
            .for_each(&sink);
        tokio::time::sleep(self.backoff.initial()).await;
        loop {
            let position_before = self.position;
            let address = *self.address.borrow_and_update();
            let mut address_changes = self.address.clone();
            // Positions continue at the new address, so the old stream is dropped at once.
            let follow_once = async {
                if let Err(e) = self.follow(address, &sink).await {
                    log_line!(
                        "journal {address}: {e}; resuming after position {}",
                        self.position
                    );
                }
                // Received events show that the service works; without any, the delay grows.
                let received_events = self.position > position_before;
                tokio::time::sleep(self.backoff.after(received_events)).await;
            };
            let address_changed = tokio::select! {
                () = follow_once => false,
                Ok(()) = address_changes.changed() => true,
            };
            if address_changed {
                tokio::time::sleep(self.backoff.initial()).await;
            }
        }
    }
}

/// The position and the data of an event.
type ServerSentEvent = (Option<u64>, String);

/// Incremental parser of an HTTP response of server-sent events.
#[derive(Default)]
struct EventStreamParser {
    /// Bytes that have not been parsed yet.
    unparsed: Vec<u8>,
    /// Whether the body is chunked; `None` until the head is complete.
    chunked: Option<bool>,
    /// Number of bytes left of the current chunk.
    chunk_bytes_left: usize,
    /// The current line so far.
    line: Vec<u8>,
    /// Position of the current event, if its line was received.
    id: Option<u64>,
    /// Data of the current event so far.
    data: Option<String>,
    /// Number of complete lines so far.
    lines: u64,
}

fn invalid_data(message: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, message.to_string())
}

impl EventStreamParser {
    /// Parses more bytes of the response, which may be split anywhere, and returns the events that they
    /// complete.
    fn feed(&mut self, bytes: &[u8]) -> std::io::Result<Vec<ServerSentEvent>> {
        self.unparsed.extend_from_slice(bytes);
        let mut events = vec![];
        if self.chunked.is_none() && !self.parse_head()? {
            return Ok(events);
        }
        if self.chunked == Some(true) {
            self.decode_chunks(&mut events)?;
        } else {
            let bytes = std::mem::take(&mut self.unparsed);
            self.parse_text(&bytes, &mut events)?;
        }
        Ok(events)
    }

    /// Parses the response head; returns whether it is complete.
    fn parse_head(&mut self) -> std::io::Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        match response
            .parse(&self.unparsed)
            .map_err(|e| invalid_data(&e.to_string()))?
        {
            httparse::Status::Partial if self.unparsed.len() > 16 * 1024 => {
                Err(invalid_data("the response head is longer than 16 KiB"))
            }
            httparse::Status::Partial => Ok(false),
            httparse::Status::Complete(end) => {
                if response.code != Some(200) {
                    return Err(invalid_data(&format!(
                        "the response status is {:?}, expected 200",
                        response.code
                    )));
                }
                let chunked = response.headers.iter().any(|header| {
                    header.name.eq_ignore_ascii_case("transfer-encoding")
                        && header.value.to_ascii_lowercase().ends_with(b"chunked")
                });
                self.chunked = Some(chunked);
                self.unparsed.drain(..end);
                Ok(true)
            }
        }
    }

    /// Decodes the chunked body as far as it has been received.
    fn decode_chunks(&mut self, events: &mut Vec<ServerSentEvent>) -> std::io::Result<()> {
        loop {
            if self.chunk_bytes_left > 0 {
                let available = self.chunk_bytes_left.min(self.unparsed.len());
                let part: Vec<u8> = self.unparsed.drain(..available).collect();
                self.chunk_bytes_left -= available;
                self.parse_text(&part, events)?;
                if self.chunk_bytes_left > 0 {
                    return Ok(());
                }
            }
            // Skips the line end after the previous chunk.
            while self.unparsed.starts_with(b"\r\n") {
                self.unparsed.drain(..2);
            }
            match httparse::parse_chunk_size(&self.unparsed) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.unparsed.drain(..used);
                    if size == 0 {
                        return Ok(());
                    }
                    self.chunk_bytes_left = usize::try_from(size)
                        .map_err(|_| invalid_data("a chunk size does not fit in memory"))?;
                }
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err(invalid_data("a chunk size is invalid")),
            }
        }
    }

    /// Splits the body into lines and collects the events that they complete.
    fn parse_text(
        &mut self,
        part: &[u8],
        events: &mut Vec<ServerSentEvent>,
    ) -> std::io::Result<()> {
        for &byte in part {
            if byte != b'\n' {
                if self.line.len() >= MAX_LINE_BYTES {
                    return Err(invalid_data(&format!(
                        "a line is longer than {MAX_LINE_BYTES} bytes"
                    )));
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
                self.parse_field(line)?;
            }
        }
        Ok(())
    }

    /// Parses a line that is not empty: a field of the current event, or a comment.
    fn parse_field(&mut self, line: &[u8]) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(line);
        let (name, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.trim().parse().ok(),
            "data" => match &mut self.data {
                Some(data) if data.len() + value.len() >= MAX_LINE_BYTES => {
                    return Err(invalid_data(&format!(
                        "an event is longer than {MAX_LINE_BYTES} bytes"
                    )));
                }
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_string()),
            },
            _ => {} // a comment or an unused field
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
