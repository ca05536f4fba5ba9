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
    let text = format!(
        ": hello\n{}\r\n{}",
        event(4, "a", "in_service"),
        event(5, "b", "terminating")
    );
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
    let endless = [PLAIN.as_bytes(), &vec![b'x'; MAX_LINE_BYTES + 1]].concat();
    assert!(
        Reader::default().feed(&endless).is_err(),
        "a line without an end"
    );
}

/// Streams that break off, repeat events and fall silent: each event is told once and in order, and each
/// new connection asks from where the list in hand ends.
#[test]
fn the_journal_goes_on_where_it_was_cut_off_and_reopens_what_is_silent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let known = r#"{"pos":3,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[]}}]}"#;
        let known = serde_json::from_str(known).unwrap();
        let (_at, address) = watch::channel(listener.local_addr().unwrap());
        let mut journal = Journal::new(address, known, 1).unwrap();
        journal.silence = Duration::from_millis(60);
        let told = Rc::new(RefCell::new(vec![]));
        let tell = told.clone();
        let sink: ChangeHandler = Box::new(move |c| {
            tell.borrow_mut()
                .push((c.update, c.engines.first().map(|e| (e.id.clone(), e.state))));
        });
        let half = event(5, "b", "in_service");
        let half = &half[..half.len() / 2];
        let streams = [
            (3, "id: 4\ndata: {\"pos\":4,\"ho#sts\":[}\n\n".into(), false), // spoilt
            (3, format!("{}{half}", event(4, "a", "in_service")), true),    // cut inside an event
            (
                4,
                event(4, "a", "in_service") + &event(5, "b", "terminating"),
                false,
            ), // then silent
            (5, event(6, "a", "terminated"), true),
        ];
        let service = async {
            let mut silent = vec![];
            for (from, text, ends) in streams {
                let (mut tcp, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 1024];
                let n = tcp.read(&mut buffer).await.unwrap();
                let asked = String::from_utf8_lossy(&buffer[..n]).into_owned();
                assert!(
                    asked.contains(&format!("Last-Event-ID: {from}\r\n")),
                    "{asked}"
                );
                tcp.write_all(format!("{PLAIN}{text}").as_bytes())
                    .await
                    .unwrap();
                if !ends {
                    silent.push(tcp);
                }
            }
            listener.accept().await.unwrap(); // the last stream has been worked through
        };
        tokio::select! { () = service => {}, () = journal.run(sink) => {} }
        use EngineState::{Draining, Gone, Ready};
        let patch = |id: &str, state| (ListUpdate::Patch, Some((id.to_string(), state)));
        let wanted = [
            (ListUpdate::Stale, None),
            patch("a", Ready),
            patch("b", Draining),
            patch("a", Gone),
        ];
        assert_eq!(told.take(), wanted);
    });
}

/// A new configuration moves the service: the open stream at the old address must not be waited for.
#[test]
fn the_journal_moves_at_once_and_reads_on_from_the_same_number() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (at, address) = watch::channel(old.local_addr().unwrap());
        let journal =
            Journal::new(address, serde_json::from_str(r#"{"pos":3}"#).unwrap(), 1).unwrap();
        let told = Rc::new(RefCell::new(vec![]));
        let tell = told.clone();
        let sink: ChangeHandler = Box::new(move |c| {
            tell.borrow_mut()
                .extend(c.engines.into_iter().map(|e| e.id))
        });
        let service = async {
            let (mut tcp, _) = old.accept().await.unwrap();
            let first = event(4, "a", "in_service");
            tcp.write_all(format!("{PLAIN}{first}").as_bytes())
                .await
                .unwrap();
            while told.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            at.send(new.local_addr().unwrap()).unwrap();
            // Well before the old stream would count as silent.
            let soon = Duration::from_millis(500);
            let (mut moved, _) = tokio::time::timeout(soon, new.accept())
                .await
                .expect("at once")
                .unwrap();
            let mut buffer = [0; 1024];
            let n = moved.read(&mut buffer).await.unwrap();
            assert!(String::from_utf8_lossy(&buffer[..n]).contains("Last-Event-ID: 4\r\n"));
            // What the old one still says counts for nothing.
            let _ = tcp
                .write_all(event(5, "old", "in_service").as_bytes())
                .await;
            moved
                .write_all(format!("{PLAIN}{}", event(5, "b", "in_service")).as_bytes())
                .await
                .unwrap();
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_at, address) = watch::channel(listener.local_addr().unwrap());
        let mut journal = Journal::new(address, serde_json::Value::Null, 1).unwrap();
        journal.silence = Duration::from_millis(60);
        let told = Rc::new(RefCell::new(vec![]));
        let tell = told.clone();
        let sink: ChangeHandler = Box::new(move |c| tell.borrow_mut().extend(c.engines.into_iter().map(|e| e.state)));
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
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
        assert!(
            spread(&calls[..40]) > Duration::from_millis(60),
            "{calls:?}"
        );
        assert!(
            spread(&calls[40..]) > Duration::from_millis(60),
            "{calls:?}"
        );
    });
}
