//! Tests of the frame frontend and the RESP upstream with fake clients and engines.

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

/// Serves one connection of a fake engine: reports the commands that it receives and answers as instructed.
async fn engine(number: usize, tcp: TcpStream, requests: mpsc::UnboundedSender<EngineRequest>) {
    let (read, mut write) = tcp.into_split();
    let mut read = BufReader::new(read);
    let (instructions, mut inbox) = mpsc::unbounded_channel::<&'static str>();
    let mut id = String::new();
    loop {
        tokio::select! {
            words = command(&mut read) => {
                let Some(words) = words else { return };
                let class = match words[0].as_str() {
                    "GET" => {
                        id = words[1].clone();
                        words[2].split(',').find_map(|field| field.strip_prefix("cls=")).unwrap().to_string()
                    }
                    "DROP" => "dropped".to_string(),
                    "PAGE" if words[2] == "1" => continue, // the second page is never sent
                    other => panic!("engine got {other}"),
                };
                let instructions = instructions.clone();
                requests.send(EngineRequest { engine: number, class, instructions }).unwrap();
            }
            Some(instruction) = inbox.recv() => {
                let answer: [&str; 3] = match instruction {
                    "rows" => ["ACK", "total=1", "1\ta\tb\n"],
                    "half" => ["ACK", "total=2", "1\ta\tb\n"],
                    "full" => ["AGAIN", "-", ""],
                    "error" => ["EIO", "-", ""],
                    "malformed" => ["ACK", "total=1", "1\ta\tb\n2\tc\n"],
                    "cut" | "duplicates" => ["ACK", "total=1", "1\ta\tb\n"],
                    "unknown" => ["OKAY", "-", ""],
                    _ => return,
                };
                let bytes = |id: &str| {
                    let words = [&[id][..], &answer].concat();
                    let bulk = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect::<String>();
                    format!("*4\r\n{bulk}").into_bytes()
                };
                let bytes = match instruction {
                    "duplicates" => [bytes("0000000000000bad"), bytes(&id), bytes(&id)].concat(),
                    _ => bytes(&id),
                };
                // Written in two pieces, since an answer may arrive in any fragments.
                let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
                write.write_all(first_half).await.unwrap();
                if instruction == "cut" {
                    continue;
                }
                tokio::task::yield_now().await;
                write.write_all(second_half).await.unwrap();
            }
        }
    }
}

/// Reads one RESP command; `None` at the end of the connection.
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
    /// Write halves of earlier connections, which stay open.
    kept: Vec<OwnedWriteHalf>,
    write: Option<OwnedWriteHalf>,
    answers: mpsc::UnboundedReceiver<(u8, u32, Vec<u8>)>,
    /// Payloads that were received and not requested yet, by stream.
    received: HashMap<u32, Vec<u8>>,
    /// Stream numbers by the names of requests.
    streams: HashMap<String, u32>,
}

impl FramesClient {
    async fn new(address: std::net::SocketAddr) -> Self {
        let (mut read, write) = TcpStream::connect(address).await.unwrap().into_split();
        let (sender, answers) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Ok(n) = read.read_u32().await {
                let mut frame = vec![0; n as usize];
                read.read_exact(&mut frame).await.unwrap();
                let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
                let _ = sender.send((frame[0], stream, frame[5..].to_vec()));
            }
        });
        let kept = vec![];
        FramesClient {
            address,
            kept,
            write: Some(write),
            answers,
            received: HashMap::new(),
            streams: HashMap::new(),
        }
    }

    async fn frame(&mut self, kind: u8, stream: u32, payload: &[u8]) {
        let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
        frame.push(kind);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        self.write
            .as_mut()
            .unwrap()
            .write_all(&frame)
            .await
            .unwrap();
    }

    async fn request(&mut self, stream: u32, fields: &[(&str, &str)], body: &str) {
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.bytes());
        }
        payload.extend(body.bytes());
        self.frame(2, stream, &payload).await;
    }

    /// Returns the payload of the next frame on this stream; `None` at the end of the connection.
    async fn next(&mut self, stream: u32) -> Option<Vec<u8>> {
        while !self.received.contains_key(&stream) {
            let (_, other, payload) = self.answers.recv().await?;
            assert!(
                self.received.insert(other, payload).is_none(),
                "a second answer on stream {other}"
            );
        }
        self.received.remove(&stream)
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
        let payload = self
            .next(self.streams[name])
            .await
            .expect("an answer before the connection ends");
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

    fn disconnect(&mut self) {
        self.write = None;
    }

    fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    async fn reconnect(&mut self) {
        let mut client = FramesClient::new(self.address).await;
        client.kept = self.kept.drain(..).chain(self.write.take()).collect();
        *self = client;
    }
}

type Fixture = (
    std::rc::Rc<RequestRouter<RespUpstream>>,
    FramesClient,
    Vec<std::net::SocketAddr>,
    mpsc::UnboundedReceiver<EngineRequest>,
);

async fn set_up() -> Fixture {
    set_up_with_progress_interval(0.0).await
}

/// Starts a dispatcher with two engines and connects a client. Engines are expected to send progress notes at
/// this interval in milliseconds; zero for none.
async fn set_up_with_progress_interval(interval_ms: f64) -> Fixture {
    let (addresses, requests) = start_engines(engine).await;
    let (core, names, mut sockets) = core();
    sockets.progress_interval = interval_ms;
    let pool = BufferPool::default();
    let router = RequestRouter::new(
        core,
        names,
        RespUpstream::new(sockets, vec![], pool.clone()),
    );
    router.update_endpoints(&endpoint_list_snapshot(&addresses, None));
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
    (
        router,
        FramesClient::new(address).await,
        addresses,
        requests,
    )
}

#[test]
fn shared_frontend_scenarios_pass_on_frames() {
    for (label, script) in SHARED_SCENARIOS {
        println!("{label}");
        on_one_thread(async {
            let (router, mut client, addresses, mut requests) = set_up().await;
            run_script(&router, &mut client, &addresses, &mut requests, script).await;
        });
    }
}

/// An open connection without progress notes is taken for dead, and its lookup is retried. A load on it is
/// kept, since giving it up would gain nothing.
#[test]
fn connection_without_progress_reports_is_dead_unless_it_carries_a_load() {
    let script = "send a lookup\n engine lookup\n engine lookup\n reply rows\n expect a served
        send b load\n engine load\n wait 500\n reply rows\n expect b served\n ran 3";
    on_one_thread(async {
        let (router, mut client, addresses, mut requests) =
            set_up_with_progress_interval(50.0).await;
        run_script(&router, &mut client, &addresses, &mut requests, script).await;
    });
}

/// Requests that the frontend rejects count as well; requests that their client has abandoned do not.
#[test]
fn every_outcome_and_attempt_is_counted_once() {
    let script = "send a lookup\n engine lookup\n metrics dispatches=1\n close\n engine lookup\n reply rows
        expect a served\n send b nothing\n expect b failed\n send c lookup 1\n expect c refused
        send d load\n engine load\n leave\n engine dropped
        metrics replies.lookup.success=1 replies.lookup.overload=1 replies.lookup.error=0 replies.load.error=0
        metrics dispatches=3 concurrent=0";
    on_one_thread(async {
        let (router, mut client, addresses, mut requests) = set_up().await;
        run_script(&router, &mut client, &addresses, &mut requests, script).await;
    });
}

#[test]
fn bad_requests_get_an_error_and_bad_frames_close_the_connection() {
    on_one_thread(async {
        let (_router, mut client, _, _requests) = set_up().await;
        let txn = "0123456789abcdef";
        let good = [
            ("verb", "lookup"),
            ("txn", txn),
            ("limit", "500"),
            ("team", "acme"),
        ];
        let with = |name, value| {
            good.into_iter()
                .filter(|field| field.0 != name)
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
            client.request(i as u32 + 1, fields, "select 1").await;
            let payload = client.next(i as u32 + 1).await.unwrap();
            assert!(
                payload[0] == 2 && String::from_utf8_lossy(&payload).contains(message),
                "{payload:?}"
            );
        }
        client.request(70, &good, "\0").await;
        assert_eq!(
            client.next(70).await.unwrap()[0],
            2,
            "the statement is not text"
        );
        // Two open requests with one id.
        client.request(71, &good, "select 1").await;
        client.request(72, &good, "select 2").await;
        assert_eq!(client.next(72).await.unwrap()[0], 2);
        client.frame(16, 77, &[0]).await;
        assert_eq!(client.next(77).await.unwrap(), [0, 0], "ready");
        client.frame(8, 99, &[]).await; // a cancel frame for an unknown stream
        client.frame(2, 100, &[3, 200, 1]).await; // truncated fields
        assert_eq!(client.next(0).await.unwrap()[0], 2);
        assert!(client.next(101).await.is_none(), "and the connection ends");
    });
}

/// Runs on the frame frontend only: the MySQL frontend keeps sessions, and gives a silent client more time.
#[test]
fn unused_connections_are_evicted_first() {
    on_one_thread(async {
        let (router, mut client, addresses, mut requests) = set_up().await;
        let served_connections =
            "reconnect\n send x lookup\n engine lookup\n reply rows\n expect x served\n".repeat(10);
        run_script(
            &router,
            &mut client,
            &addresses,
            &mut requests,
            &served_connections,
        )
        .await;
        run_script(
            &router,
            &mut client,
            &addresses,
            &mut requests,
            "silent_clients 5\n silent closed",
        )
        .await;
    });
}

#[test]
fn incomplete_frame_closes_its_connection() {
    on_one_thread(async {
        let (_router, mut client, _, _requests) = set_up().await;
        client.frame(16, 1, &[0]).await;
        assert_eq!(client.next(1).await.unwrap(), [0, 0]);
        client
            .write
            .as_mut()
            .unwrap()
            .write_all(&[0, 0, 1, 0, 2])
            .await
            .unwrap();
        assert_eq!(client.next(0).await.unwrap()[0], 2);
        assert!(client.next(1).await.is_none(), "and the connection ends");
    });
}

/// Faulty responses of engines, with a label and a script each: none may be served to a client or affect
/// another request.
const FAULTY_ENGINES: [(&str, &str); 7] = [
    (
        "a malformed page is not forwarded, and a lookup is retried on another engine",
        "send a lookup\n engine lookup\n reply malformed\n engine lookup\n moved\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a load whose page is malformed has run, and fails",
        "send a load\n engine load\n reply malformed\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "an answer of an unknown kind ends its connection",
        "send a lookup\n engine lookup\n reply unknown\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "a result that stalls is not waited for until the deadline",
        "send a lookup\n engine lookup\n reply half\n engine lookup\n reply rows\n expect a served\n ran 2",
    ),
    (
        "an answer that stalls is not waited for until the deadline",
        "send a load\n engine load\n reply cut\n expect a failed\n wait 100\n ran 1",
    ),
    (
        "a load shares no connection with a lookup that may break it",
        "send a lookup\n engine lookup\n drain\n send b load 700\n engine load\n send c lookup\n engine lookup
         close\n engine lookup\n reply rows\n expect c served\n expect b late\n engine dropped\n ran 4",
    ),
    (
        "a duplicate answer and an answer to an unknown request have no effect",
        "send a lookup\n engine lookup\n reply duplicates\n expect a served
         send b lookup\n engine lookup\n reply rows\n expect b served\n ran 2",
    ),
];

#[test]
fn malformed_engine_responses_are_never_served() {
    for (label, script) in FAULTY_ENGINES {
        println!("{label}");
        on_one_thread(async {
            let (router, mut client, addresses, mut requests) = set_up().await;
            run_script(&router, &mut client, &addresses, &mut requests, script).await;
        });
    }
}
