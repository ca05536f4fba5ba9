//! The platform's front and upstream against stand-in clients and engines.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod scenario;

use query_dispatcher::config::MachineLimits;
use query_dispatcher::dispatch::RequestRouter;
use query_dispatcher::frontend::frames::Frontend;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::upstream::resp::RespUpstream;
use scenario::*;
use std::collections::HashMap;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Reads commands and reports them; answers as ordered.
async fn engine(number: usize, tcp: TcpStream, seen: mpsc::UnboundedSender<Seen>) {
    let (read, mut write) = tcp.into_split();
    let mut read = BufReader::new(read);
    let (orders, mut inbox) = mpsc::unbounded_channel::<&'static str>();
    let mut id = String::new();
    loop {
        tokio::select! {
            words = command(&mut read) => {
                let Some(words) = words else { return };
                let class = match words[0].as_str() {
                    "GET" => {
                        id = words[1].clone();
                        words[2].split(',').find_map(|f| f.strip_prefix("cls=")).unwrap().to_string()
                    }
                    "DROP" => "dropped".to_string(),
                    "PAGE" if words[2] == "1" => continue, // the second page never comes
                    other => panic!("engine got {other}"),
                };
                seen.send(Seen { engine: number, class, orders: orders.clone() }).unwrap();
            }
            Some(order) = inbox.recv() => {
                let answer: [&str; 3] = match order {
                    "rows" => ["ACK", "total=1", "1\ta\tb\n"],
                    "half" => ["ACK", "total=2", "1\ta\tb\n"],
                    "full" => ["AGAIN", "-", ""],
                    "error" => ["EIO", "-", ""],
                    "spoilt" => ["ACK", "total=1", "1\ta\tb\n2\tc\n"],
                    "cut" | "more" => ["ACK", "total=1", "1\ta\tb\n"],
                    "word" => ["OKAY", "-", ""],
                    _ => return,
                };
                let bytes = |id: &str| {
                    let words = [&[id][..], &answer].concat();
                    let bulk = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect::<String>();
                    format!("*4\r\n{bulk}").into_bytes()
                };
                let bytes = match order {
                    "more" => [bytes("0000000000000bad"), bytes(&id), bytes(&id)].concat(),
                    _ => bytes(&id),
                };
                // Cut in the middle: an answer may come in any pieces.
                let (a, b) = bytes.split_at(bytes.len() / 2);
                write.write_all(a).await.unwrap();
                if order == "cut" {
                    continue;
                }
                tokio::task::yield_now().await;
                write.write_all(b).await.unwrap();
            }
        }
    }
}

async fn command(read: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> Option<Vec<String>> {
    let number = async |read: &mut BufReader<_>| {
        let mut line = String::new();
        read.read_line(&mut line).await.ok()?;
        line.get(1..)?.trim().parse::<usize>().ok()
    };
    let mut words = vec![];
    for _ in 0..number(read).await? {
        let mut word = vec![0; number(read).await? + 2];
        read.read_exact(&mut word).await.ok()?;
        words.push(String::from_utf8_lossy(&word[..word.len() - 2]).into_owned());
    }
    Some(words)
}

struct FramesClient {
    address: std::net::SocketAddr,
    /// Connections that stay open beside the one in use.
    kept: Vec<OwnedWriteHalf>,
    write: Option<OwnedWriteHalf>,
    answers: mpsc::UnboundedReceiver<(u8, u32, Vec<u8>)>,
    early: HashMap<u32, Vec<u8>>,
    streams: HashMap<String, u32>,
}

impl FramesClient {
    async fn new(address: std::net::SocketAddr) -> Self {
        let (mut read, write) = TcpStream::connect(address).await.unwrap().into_split();
        let (tx, answers) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Ok(n) = read.read_u32().await {
                let mut frame = vec![0; n as usize];
                read.read_exact(&mut frame).await.unwrap();
                let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
                let _ = tx.send((frame[0], stream, frame[5..].to_vec()));
            }
        });
        let kept = vec![];
        FramesClient {
            address,
            kept,
            write: Some(write),
            answers,
            early: HashMap::new(),
            streams: HashMap::new(),
        }
    }

    async fn frame(&mut self, kind: u8, stream: u32, payload: &[u8]) {
        let mut f = (payload.len() as u32 + 5).to_be_bytes().to_vec();
        f.push(kind);
        f.extend(stream.to_be_bytes());
        f.extend(payload);
        self.write.as_mut().unwrap().write_all(&f).await.unwrap();
    }

    async fn request(&mut self, stream: u32, fields: &[(&str, &str)], body: &str) {
        let mut p = vec![fields.len() as u8];
        for (n, v) in fields {
            p.push(n.len() as u8);
            p.extend(n.bytes());
            p.extend((v.len() as u16).to_be_bytes());
            p.extend(v.bytes());
        }
        p.extend(body.bytes());
        self.frame(2, stream, &p).await;
    }

    /// The payload of the next frame on this stream; the end of the connection is none.
    async fn next(&mut self, stream: u32) -> Option<Vec<u8>> {
        while !self.early.contains_key(&stream) {
            let (_, s, payload) = self.answers.recv().await?;
            assert!(
                self.early.insert(s, payload).is_none(),
                "a second answer on stream {s}"
            );
        }
        self.early.remove(&stream)
    }
}

impl Client for FramesClient {
    async fn send(&mut self, name: &str, class: &str, ms: u64) {
        let stream = self.streams.len() as u32 + 1;
        self.streams.insert(name.into(), stream);
        let (txn, limit) = (format!("{stream:016x}"), ms.to_string());
        let fields = [
            ("verb", class),
            ("txn", &txn),
            ("limit", &limit),
            ("team", "acme"),
        ];
        self.request(stream, &fields, "select * from sales_17.orders")
            .await;
    }

    async fn answer(&mut self, name: &str) -> &'static str {
        let payload = self.next(self.streams[name]).await.expect("an answer");
        let late = String::from_utf8_lossy(&payload).contains("the time is over");
        match payload[0] {
            _ if late => "late",
            0 => {
                assert_eq!(
                    &payload[1..],
                    b"\x001\ta\tb\n",
                    "no fields, and the rows as the engine sent them"
                );
                "served"
            }
            14 => "refused",
            _ => "failed",
        }
    }

    fn leave(&mut self) {
        self.write = None;
    }

    fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    async fn again(&mut self) {
        let mut fresh = FramesClient::new(self.address).await;
        fresh.kept = self.kept.drain(..).chain(self.write.take()).collect();
        *self = fresh;
    }
}

type SetUp = (
    std::rc::Rc<RequestRouter<RespUpstream>>,
    FramesClient,
    Vec<std::net::SocketAddr>,
    mpsc::UnboundedReceiver<Seen>,
);

async fn set_up() -> SetUp {
    set_up_with_notes(0.0).await
}

/// A client before the front, with both engines behind it that are to tell notes this often.
async fn set_up_with_notes(notes: f64) -> SetUp {
    let (addresses, seen) = engines(engine).await;
    let (core, names, mut sockets) = core();
    sockets.progress_interval = notes;
    let pool = BufferPool::default();
    let router = RequestRouter::new(
        core,
        names,
        RespUpstream::new(sockets, vec![], pool.clone()),
    );
    router.update_endpoints(&change(&addresses, None));
    spawn_local(router.clone().run_clock());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(
        Frontend::new(
            router.clone(),
            pool,
            &MachineLimits {
                memory_mb: 4,
                max_sockets: 20,
            },
        )
        .accept(listener),
    );
    (router, FramesClient::new(address).await, addresses, seen)
}

#[test]
fn shared_frontend_scenarios_pass_on_frames() {
    for (tells, script) in ALIKE {
        println!("{tells}");
        on_one_thread(async {
            let (router, mut client, addresses, mut seen) = set_up().await;
            play(&router, &mut client, &addresses, &mut seen, script).await;
        });
    }
}

/// It stays open and leads to nobody. A load on it is waited for: to give it up would gain nothing.
#[test]
fn connection_without_progress_reports_is_dead_unless_it_carries_a_load() {
    let script = "send a lookup\n engine lookup\n engine lookup\n reply rows\n expect a served
        send b load\n engine load\n wait 500\n reply rows\n expect b served\n ran 3";
    on_one_thread(async {
        let (router, mut client, addresses, mut seen) = set_up_with_notes(50.0).await;
        play(&router, &mut client, &addresses, &mut seen, script).await;
    });
}

/// What is turned away at the door counts as well; what its client has left does not.
#[test]
fn every_outcome_and_attempt_is_counted_once() {
    let script = "send a lookup\n engine lookup\n figures dispatches=1\n close\n engine lookup\n reply rows
        expect a served\n send b nothing\n expect b failed\n send c lookup 1\n expect c refused
        send d load\n engine load\n leave\n engine dropped
        figures replies.lookup.success=1 replies.lookup.overload=1 replies.lookup.error=0 replies.load.error=0
        figures dispatches=3 concurrent=0";
    on_one_thread(async {
        let (router, mut client, addresses, mut seen) = set_up().await;
        play(&router, &mut client, &addresses, &mut seen, script).await;
    });
}

#[test]
fn bad_requests_get_an_error_and_bad_frames_close_the_connection() {
    on_one_thread(async {
        let (_hub, mut c, _, _seen) = set_up().await;
        let txn = "0123456789abcdef";
        let good = [
            ("verb", "lookup"),
            ("txn", txn),
            ("limit", "500"),
            ("team", "acme"),
        ];
        let with = |name, value| {
            good.into_iter()
                .filter(|f| f.0 != name)
                .chain([(name, value)])
                .collect::<Vec<_>>()
        };
        let absurd = [
            with("cpu", "1e300"),
            with("mem", "-4"),
            with("cpu", "NaN"),
            with("limit", "1e18"),
            with("team", "nobody"),
        ];
        let cases: [(&[(&str, &str)], &str); 11] = [
            (&absurd[0], "cpu"),
            (&absurd[1], "mem"),
            (&absurd[2], "cpu"),
            (&absurd[3], "limit"),
            (&absurd[4], "nobody"),
            (
                &[("verb", "lookup"), ("txn", txn), ("limit", "500")],
                "team",
            ),
            (
                &[("verb", "lookup"), ("txn", txn), ("limit", "soon")],
                "limit",
            ),
            (
                &[("verb", "nonsense"), ("txn", txn), ("limit", "500")],
                "nonsense",
            ),
            (&[("txn", txn), ("limit", "500")], "verb"),
            (
                &[("verb", "lookup"), ("txn", "12"), ("limit", "500")],
                "txn",
            ),
            (&[("verb", "lookup"), ("txn", txn)], "limit"),
        ];
        for (i, (fields, message)) in cases.into_iter().enumerate() {
            c.request(i as u32 + 1, fields, "select 1").await;
            let payload = c.next(i as u32 + 1).await.unwrap();
            assert!(
                payload[0] == 2 && String::from_utf8_lossy(&payload).contains(message),
                "{payload:?}"
            );
        }
        c.request(70, &good, "\0").await;
        assert_eq!(c.next(70).await.unwrap()[0], 2, "no text");
        // Two under one id, and a stream that is used twice.
        c.request(71, &good, "select 1").await;
        c.request(72, &good, "select 2").await;
        assert_eq!(c.next(72).await.unwrap()[0], 2);
        c.frame(16, 77, &[0]).await;
        assert_eq!(c.next(77).await.unwrap(), [0, 0], "ready");
        c.frame(8, 99, &[]).await; // a stream that nobody knows
        c.frame(2, 100, &[3, 200, 1]).await; // fields that end too early
        assert_eq!(c.next(0).await.unwrap()[0], 2);
        assert!(c.next(101).await.is_none(), "and the connection ends");
    });
}

/// Alone on this front: on the other, sessions are kept, and a silent client is given more time.
#[test]
fn unused_connections_are_evicted_first() {
    on_one_thread(async {
        let (router, mut client, addresses, mut seen) = set_up().await;
        let once =
            "again\n send x lookup\n engine lookup\n reply rows\n expect x served\n".repeat(10);
        play(&router, &mut client, &addresses, &mut seen, &once).await;
        play(
            &router,
            &mut client,
            &addresses,
            &mut seen,
            "crowd 5\n crowd closed",
        )
        .await;
    });
}

#[test]
fn incomplete_frame_closes_its_connection() {
    on_one_thread(async {
        let (_hub, mut c, _, _seen) = set_up().await;
        c.frame(16, 1, &[0]).await;
        assert_eq!(c.next(1).await.unwrap(), [0, 0]);
        c.write
            .as_mut()
            .unwrap()
            .write_all(&[0, 0, 1, 0, 2])
            .await
            .unwrap();
        assert_eq!(c.next(0).await.unwrap()[0], 2);
        assert!(c.next(1).await.is_none(), "and the connection ends");
    });
}

/// What engines alike do now and then: none of it may reach a client as served, nor cost another request.
const BAD_PEERS: [(&str, &str); 7] = [
    (
        "a spoilt page is not passed on, and a lookup goes elsewhere",
        "send a lookup\n engine lookup\n reply spoilt\n engine lookup\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a load whose page is spoilt has run",
        "send a load\n engine load\n reply spoilt\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "an answer of no kind ends its connection",
        "send a lookup\n engine lookup\n reply word\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a result that stops short is not waited for",
        "send a lookup\n engine lookup\n reply half\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "an answer that stops short is not waited for",
        "send a load\n engine load\n reply cut\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "a load shares no connection with a lookup that breaks it",
        "send a lookup\n engine lookup\n drain\n send b load 700\n engine load\n send c lookup\n engine lookup
         close\n engine lookup\n reply rows\n expect c served\n expect b late\n engine dropped\n ran 4",
    ),
    (
        "a second copy and an answer for nobody cost nothing",
        "send a lookup\n engine lookup\n reply more\n expect a served
         send b lookup\n engine lookup\n reply rows\n expect b served\n ran 2",
    ),
];

#[test]
fn malformed_engine_responses_are_never_served() {
    for (tells, script) in BAD_PEERS {
        println!("{tells}");
        on_one_thread(async {
            let (router, mut client, addresses, mut seen) = set_up().await;
            play(&router, &mut client, &addresses, &mut seen, script).await;
        });
    }
}
