//! The platform's journal service: server-sent events over HTTP, in order, from where the list in hand ends.

use super::pause::Pauses;
use super::{Change, Discovery, Engine, Sink};
use crate::interface::{EngineState, ListUpdate};
use crate::say;
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
        let update = if self.reset { ListUpdate::Whole } else { ListUpdate::Patch };
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
        Change { update, engines: engines.collect() }
    }
}

/// The place in the journal, and the rule that no event is applied twice or out of order.
pub struct Journal {
    /// Where the service is now: a new configuration may move it.
    address: watch::Receiver<SocketAddr>,
    pos: u64,
    first: Vec<Change>,
    silence: Duration,
    pauses: Pauses,
    /// The place after which an event could not be read: asked for once more, then passed over.
    unread: Option<u64>,
}

impl Journal {
    /// `known` holds the events up to the start; `seed` is this dispatcher's own.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        known: serde_json::Value,
        seed: u64,
    ) -> Result<Self, serde_json::Error> {
        let (silence, pauses) = (SILENCE, Pauses::new(seed));
        let mut journal = Journal { address, pos: 0, first: vec![], silence, pauses, unread: None };
        if !known.is_null() {
            let known: Known = serde_json::from_value(known)?;
            let mut changes: Vec<Change> =
                known.entries.into_iter().filter_map(|e| e.hosts).map(Hosts::change).collect();
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
                say!("journal: an event cannot be read and is passed over: {e}");
                self.pos = id.unwrap_or(self.pos);
                return Ok(None);
            }
        };
        let Some(pos) = id.or(event.pos).filter(|pos| *pos > self.pos) else { return Ok(None) };
        self.pos = pos;
        Ok(event.hosts.map(Hosts::change))
    }

    /// Reads one stream to its end.
    async fn follow(&mut self, address: SocketAddr, sink: &Sink) -> std::io::Result<()> {
        let mut tcp = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
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
    async fn run(mut self, sink: Sink) {
        std::mem::take(&mut self.first).into_iter().for_each(&sink);
        tokio::time::sleep(self.pauses.first()).await;
        loop {
            let before = self.pos;
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            // The numbers go on at the new address; the old stream, which tells nothing more, is let go at once.
            let following = async {
                if let Err(e) = self.follow(address, &sink).await {
                    say!("journal {address}: {e}; asking again from {}", self.pos);
                }
                // News shows that the service is well; without any, ask ever more slowly.
                let news = self.pos > before;
                tokio::time::sleep(self.pauses.after(news)).await;
            };
            let moved = tokio::select! {
                () = following => false,
                Ok(()) = moved.changed() => true,
            };
            if moved {
                tokio::time::sleep(self.pauses.first()).await;
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
        match response.parse(&self.raw).map_err(|e| broken(&e.to_string()))? {
            httparse::Status::Partial if self.raw.len() > 16 * 1024 => Err(broken("the head is too long")),
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
                    self.chunk = usize::try_from(size).map_err(|_| broken("a chunk is too long"))?;
                }
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err(broken("a chunk size cannot be read")),
            }
        }
    }

    fn text(&mut self, part: &[u8], events: &mut Vec<(Option<u64>, String)>) -> std::io::Result<()> {
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
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::rc::Rc;
    use tokio::net::TcpListener;

    fn event(pos: u64, id: &str, state: &str) -> String {
        format!(
            "id: {pos}\ndata: {{\"pos\":{pos},\"hosts\":{{\"reset\":false,\"instances\":[{{\"instanceId\":\"{id}\",\
             \"hostPort\":\"127.0.0.1:1\",\"lifecycle\":\"{state}\",\"startedAtMs\":0}}]}}}}\n\n"
        )
    }

    const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    #[test]
    fn a_stream_reads_alike_wherever_it_is_cut() {
        let text = format!(": hello\n{}\r\n{}", event(4, "a", "in_service"), event(5, "b", "terminating"));
        let plain = format!("{PLAIN}{text}").into_bytes();
        let mut chunked = CHUNKED.as_bytes().to_vec();
        for part in text.as_bytes().chunks(37) {
            chunked.extend(format!("{:x}\r\n", part.len()).bytes());
            chunked.extend(part);
            chunked.extend(b"\r\n");
        }
        for stream in [plain, chunked] {
            for size in [1, 2, 7, 64, stream.len()] {
                let mut reader = Reader::default();
                let mut events = vec![];
                for piece in stream.chunks(size) {
                    events.extend(reader.feed(piece).unwrap());
                }
                let ids: Vec<_> = events.iter().map(|e| e.0).collect();
                assert_eq!(ids, [Some(4), Some(5)], "pieces of {size}");
                assert!(events[1].1.contains("terminating"));
            }
        }
        assert!(Reader::default().feed(b"HTTP/1.1 503 No\r\n\r\n").is_err());
        let endless = [PLAIN.as_bytes(), &vec![b'x'; LINE_MOST + 1]].concat();
        assert!(Reader::default().feed(&endless).is_err(), "a line without an end");
    }

    /// Streams that break off, repeat events and fall silent: each event is told once and in order, and each
    /// new connection asks from where the list in hand ends.
    #[test]
    fn the_journal_goes_on_where_it_was_cut_off_and_reopens_what_is_silent() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let known = r#"{"pos":3,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[]}}]}"#;
            let known = serde_json::from_str(known).unwrap();
            let (_at, address) = watch::channel(listener.local_addr().unwrap());
            let mut journal = Journal::new(address, known, 1).unwrap();
            journal.silence = Duration::from_millis(60);
            let told = Rc::new(RefCell::new(vec![]));
            let tell = told.clone();
            let sink: Sink = Box::new(move |c| {
                tell.borrow_mut().push((c.update, c.engines.first().map(|e| (e.id.clone(), e.state))));
            });
            let half = event(5, "b", "in_service");
            let half = &half[..half.len() / 2];
            let streams = [
                (3, "id: 4\ndata: {\"pos\":4,\"ho#sts\":[}\n\n".into(), false), // spoilt
                (3, format!("{}{half}", event(4, "a", "in_service")), true),    // cut inside an event
                (4, event(4, "a", "in_service") + &event(5, "b", "terminating"), false), // then silent
                (5, event(6, "a", "terminated"), true),
            ];
            let service = async {
                let mut silent = vec![];
                for (from, text, ends) in streams {
                    let (mut tcp, _) = listener.accept().await.unwrap();
                    let mut buffer = [0; 1024];
                    let n = tcp.read(&mut buffer).await.unwrap();
                    let asked = String::from_utf8_lossy(&buffer[..n]).into_owned();
                    assert!(asked.contains(&format!("Last-Event-ID: {from}\r\n")), "{asked}");
                    tcp.write_all(format!("{PLAIN}{text}").as_bytes()).await.unwrap();
                    if !ends {
                        silent.push(tcp);
                    }
                }
                listener.accept().await.unwrap(); // the last stream has been worked through
            };
            tokio::select! { () = service => {}, () = journal.run(sink) => {} }
            use EngineState::{Draining, Gone, Ready};
            let patch = |id: &str, state| (ListUpdate::Patch, Some((id.to_string(), state)));
            let wanted =
                [(ListUpdate::Stale, None), patch("a", Ready), patch("b", Draining), patch("a", Gone)];
            assert_eq!(told.take(), wanted);
        });
    }

    /// A new configuration moves the service: the open stream at the old address must not be waited for.
    #[test]
    fn the_journal_moves_at_once_and_reads_on_from_the_same_number() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let (old, new) = (
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
            );
            let (at, address) = watch::channel(old.local_addr().unwrap());
            let journal = Journal::new(address, serde_json::from_str(r#"{"pos":3}"#).unwrap(), 1).unwrap();
            let told = Rc::new(RefCell::new(vec![]));
            let tell = told.clone();
            let sink: Sink = Box::new(move |c| tell.borrow_mut().extend(c.engines.into_iter().map(|e| e.id)));
            let service = async {
                let (mut tcp, _) = old.accept().await.unwrap();
                let first = event(4, "a", "in_service");
                tcp.write_all(format!("{PLAIN}{first}").as_bytes()).await.unwrap();
                while told.borrow().is_empty() {
                    tokio::task::yield_now().await;
                }
                at.send(new.local_addr().unwrap()).unwrap();
                // Well before the old stream would count as silent.
                let soon = Duration::from_millis(500);
                let (mut moved, _) =
                    tokio::time::timeout(soon, new.accept()).await.expect("at once").unwrap();
                let mut buffer = [0; 1024];
                let n = moved.read(&mut buffer).await.unwrap();
                assert!(String::from_utf8_lossy(&buffer[..n]).contains("Last-Event-ID: 4\r\n"));
                // What the old one still says counts for nothing.
                let _ = tcp.write_all(event(5, "old", "in_service").as_bytes()).await;
                moved.write_all(format!("{PLAIN}{}", event(5, "b", "in_service")).as_bytes()).await.unwrap();
                while told.borrow().len() < 2 {
                    tokio::task::yield_now().await;
                }
            };
            tokio::select! { () = service => {}, () = journal.run(sink) => {} }
            assert_eq!(told.take(), ["a", "b"]);
        });
    }

    /// A head that never comes, a stream that falls silent, silent again right after, and one that trickles bytes and
    /// never a line: each is given up within the span, and the drain is told by the next that speaks.
    #[test]
    fn a_stream_without_lines_is_silent_however_it_comes() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_at, address) = watch::channel(listener.local_addr().unwrap());
            let mut journal = Journal::new(address, serde_json::Value::Null, 1).unwrap();
            journal.silence = Duration::from_millis(60);
            let told = Rc::new(RefCell::new(vec![]));
            let tell = told.clone();
            let sink: Sink = Box::new(move |c| tell.borrow_mut().extend(c.engines.into_iter().map(|e| e.state)));
            let service = async {
                let mut kept = vec![];
                for text in ["", PLAIN, PLAIN] {
                    let (mut tcp, _) = listener.accept().await.unwrap();
                    tcp.write_all(text.as_bytes()).await.unwrap();
                    kept.push(tcp);
                }
                let (mut trickles, _) = listener.accept().await.unwrap();
                trickles.write_all(PLAIN.as_bytes()).await.unwrap();
                let (mut speaks, _) = loop {
                    tokio::select! {
                        next = listener.accept() => break next.unwrap(),
                        () = tokio::time::sleep(Duration::from_millis(10)) => drop(trickles.write_all(b":").await),
                    }
                };
                speaks.write_all(format!("{PLAIN}{}", event(1, "a", "terminating")).as_bytes()).await.unwrap();
                while told.borrow().is_empty() {
                    tokio::task::yield_now().await;
                }
            };
            let all = async { tokio::select! { () = service => {}, () = journal.run(sink) => {} } };
            tokio::time::timeout(Duration::from_secs(4), all).await.expect("none is waited for");
            assert_eq!(told.take(), [EngineState::Draining]);
        });
    }

    /// All start in the same moment and the service, which starts as well, ends each stream at once.
    #[test]
    fn dispatchers_that_restart_at_once_call_the_service_one_after_the_other() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_at, address) = watch::channel(listener.local_addr().unwrap());
            for seed in 0..40 {
                let journal = Journal::new(address.clone(), serde_json::Value::Null, seed).unwrap();
                tokio::task::spawn_local(journal.run(Box::new(|_| {})));
            }
            let start = std::time::Instant::now();
            let mut calls = vec![];
            while calls.len() < 80 {
                drop(listener.accept().await.unwrap());
                calls.push(start.elapsed());
            }
            let spread = |c: &[Duration]| c[c.len() - 1] - c[0];
            assert!(spread(&calls[..40]) > Duration::from_millis(60), "{calls:?}");
            assert!(spread(&calls[40..]) > Duration::from_millis(60), "{calls:?}");
        });
    }
}
