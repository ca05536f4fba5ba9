use super::*;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;

fn event(position: u64, id: &str, lifecycle: &str) -> String {
    format!(
        "id: {position}\ndata: {{\"pos\":{position},\"hosts\":{{\"reset\":false,\"instances\":[{{\
         \"instanceId\":\"{id}\",\
         \"hostPort\":\"127.0.0.1:1\",\"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}]}}}}\n\n"
    )
}

const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn a_stream_parses_the_same_wherever_it_is_split() {
    let text = format!(
        ": hello\n{}\r\n{}",
        event(4, "a", "in_service"),
        event(5, "b", "terminating")
    );
    let plain = format!("{PLAIN_HEAD}{text}").into_bytes();
    let mut chunked = CHUNKED_HEAD.as_bytes().to_vec();
    for part in text.as_bytes().chunks(37) {
        chunked.extend(format!("{:x}\r\n", part.len()).bytes());
        chunked.extend(part);
        chunked.extend(b"\r\n");
    }
    for stream in [plain, chunked] {
        for size in [1, 2, 7, 64, stream.len()] {
            let mut parser = EventStreamParser::default();
            let mut events = vec![];
            for piece in stream.chunks(size) {
                events.extend(parser.feed(piece).unwrap());
            }
            let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
            assert_eq!(ids, [Some(4), Some(5)], "split into pieces of {size} bytes");
            assert!(events[1].1.contains("terminating"));
        }
    }
    assert!(
        EventStreamParser::default()
            .feed(b"HTTP/1.1 503 No\r\n\r\n")
            .is_err()
    );
    let endless = [PLAIN_HEAD.as_bytes(), &vec![b'x'; MAX_LINE_BYTES + 1]].concat();
    assert!(
        EventStreamParser::default().feed(&endless).is_err(),
        "a line that exceeds the maximum size"
    );
}

/// Streams that end early, repeat events or stop sending: each event is delivered once and in order, and each
/// new connection resumes after the last applied position.
#[test]
fn the_journal_resumes_after_the_last_event_and_reopens_idle_streams() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let known = r#"{"pos":3,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[]}}]}"#;
        let known = serde_json::from_str(known).unwrap();
        let (_address_sender, address) = watch::channel(listener.local_addr().unwrap());
        let mut journal = Journal::new(address, known, 1).unwrap();
        journal.idle_timeout = Duration::from_millis(60);
        let delivered = Rc::new(RefCell::new(vec![]));
        let delivered_by_sink = delivered.clone();
        let sink: ChangeHandler = Box::new(move |change| {
            delivered_by_sink.borrow_mut().push((
                change.update,
                change
                    .engines
                    .first()
                    .map(|engine| (engine.id.clone(), engine.state)),
            ));
        });
        let half = event(5, "b", "in_service");
        let half = &half[..half.len() / 2];
        let streams = [
            (3, "id: 4\ndata: {\"pos\":4,\"ho#sts\":[}\n\n".into(), false), // corrupted
            (3, format!("{}{half}", event(4, "a", "in_service")), true),    // ends inside an event
            (
                4,
                event(4, "a", "in_service") + &event(5, "b", "terminating"),
                false,
            ), // then idle
            (5, event(6, "a", "terminated"), true),
        ];
        let service = async {
            let mut idle = vec![];
            for (last_event_id, text, ends) in streams {
                let (mut tcp, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 1024];
                let read = tcp.read(&mut buffer).await.unwrap();
                let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
                assert!(
                    request.contains(&format!("Last-Event-ID: {last_event_id}\r\n")),
                    "{request}"
                );
                tcp.write_all(format!("{PLAIN_HEAD}{text}").as_bytes())
                    .await
                    .unwrap();
                if !ends {
                    idle.push(tcp);
                }
            }
            listener.accept().await.unwrap(); // the last stream has been read to its end
        };
        tokio::select! { () = service => {}, () = journal.run(sink) => {} }
        use EngineState::{Draining, Gone, Ready};
        let patch = |id: &str, state| (ListUpdate::Patch, Some((id.to_string(), state)));
        let expected = [
            (ListUpdate::Stale, None),
            patch("a", Ready),
            patch("b", Draining),
            patch("a", Gone),
        ];
        assert_eq!(delivered.take(), expected);
    });
}

/// After a new configuration moved the service, the journal must not wait for the open stream at the old
/// address.
#[test]
fn the_journal_moves_at_once_and_resumes_at_the_same_position() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (address_sender, address) = watch::channel(old.local_addr().unwrap());
        let journal =
            Journal::new(address, serde_json::from_str(r#"{"pos":3}"#).unwrap(), 1).unwrap();
        let delivered = Rc::new(RefCell::new(vec![]));
        let delivered_by_sink = delivered.clone();
        let sink: ChangeHandler = Box::new(move |change| {
            delivered_by_sink
                .borrow_mut()
                .extend(change.engines.into_iter().map(|engine| engine.id))
        });
        let service = async {
            let (mut tcp, _) = old.accept().await.unwrap();
            let first = event(4, "a", "in_service");
            tcp.write_all(format!("{PLAIN_HEAD}{first}").as_bytes())
                .await
                .unwrap();
            while delivered.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            address_sender.send(new.local_addr().unwrap()).unwrap();
            // Well before the old stream would time out.
            let limit = Duration::from_millis(500);
            let (mut moved, _) = tokio::time::timeout(limit, new.accept())
                .await
                .expect("a connection to the new address")
                .unwrap();
            let mut buffer = [0; 1024];
            let read = moved.read(&mut buffer).await.unwrap();
            assert!(String::from_utf8_lossy(&buffer[..read]).contains("Last-Event-ID: 4\r\n"));
            // Events of the old stream are ignored.
            let _ = tcp
                .write_all(event(5, "old", "in_service").as_bytes())
                .await;
            moved
                .write_all(format!("{PLAIN_HEAD}{}", event(5, "b", "in_service")).as_bytes())
                .await
                .unwrap();
            while delivered.borrow().len() < 2 {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! { () = service => {}, () = journal.run(sink) => {} }
        assert_eq!(delivered.take(), ["a", "b"]);
    });
}

/// A response without a head, two streams that send nothing after the head, and one that trickles bytes
/// without a complete line: each is closed at the idle timeout, and the drain is delivered by the next stream
/// that sends it.
#[test]
fn a_stream_without_complete_lines_times_out() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, address) = watch::channel(listener.local_addr().unwrap());
        let mut journal = Journal::new(address, serde_json::Value::Null, 1).unwrap();
        journal.idle_timeout = Duration::from_millis(60);
        let delivered = Rc::new(RefCell::new(vec![]));
        let delivered_by_sink = delivered.clone();
        let sink: ChangeHandler = Box::new(move |change| {
            let states = change.engines.into_iter().map(|engine| engine.state);
            delivered_by_sink.borrow_mut().extend(states)
        });
        let service = async {
            let mut open = vec![];
            for text in ["", PLAIN_HEAD, PLAIN_HEAD] {
                let (mut tcp, _) = listener.accept().await.unwrap();
                tcp.write_all(text.as_bytes()).await.unwrap();
                open.push(tcp);
            }
            let (mut trickling, _) = listener.accept().await.unwrap();
            trickling.write_all(PLAIN_HEAD.as_bytes()).await.unwrap();
            let (mut sending, _) = loop {
                tokio::select! {
                    next = listener.accept() => break next.unwrap(),
                    () = tokio::time::sleep(Duration::from_millis(10)) => {
                        drop(trickling.write_all(b":").await)
                    }
                }
            };
            let stream = format!("{PLAIN_HEAD}{}", event(1, "a", "terminating"));
            sending.write_all(stream.as_bytes()).await.unwrap();
            while delivered.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
        };
        let whole_test = async {
            tokio::select! { () = service => {}, () = journal.run(sink) => {} }
        };
        tokio::time::timeout(Duration::from_secs(4), whole_test)
            .await
            .expect("each idle stream is closed in time");
        assert_eq!(delivered.take(), [EngineState::Draining]);
    });
}

/// All dispatchers start at the same moment, and the service, which is starting too, ends each stream at
/// once.
#[test]
fn connections_of_dispatchers_that_restart_at_once_are_spread_out() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, address) = watch::channel(listener.local_addr().unwrap());
        for seed in 0..40 {
            let journal = Journal::new(address.clone(), serde_json::Value::Null, seed).unwrap();
            tokio::task::spawn_local(journal.run(Box::new(|_| {})));
        }
        let start = std::time::Instant::now();
        let mut connected_at = vec![];
        while connected_at.len() < 80 {
            drop(listener.accept().await.unwrap());
            connected_at.push(start.elapsed());
        }
        let spread = |times: &[Duration]| times[times.len() - 1] - times[0];
        assert!(
            spread(&connected_at[..40]) > Duration::from_millis(60),
            "{connected_at:?}"
        );
        assert!(
            spread(&connected_at[40..]) > Duration::from_millis(60),
            "{connected_at:?}"
        );
    });
}
