//! Requests while the memory for requests is exhausted: each is refused, and its connection goes on.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod protocol;
mod scenario;

use protocol::fixture::{DispatcherFixture, Parts};
use protocol::{
    Client, SMALL_BUFFER_BYTES, encode_reply, encode_request, read_request_id, request_id,
};
use query_dispatcher::config::MachineLimits;
use query_dispatcher::protocol::frames::{code, kind};
use scenario::{core, on_one_thread};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Number of requests that are sent at once: more than are read ahead.
const REQUESTS: u32 = 200;

fn limits(memory_mb: usize) -> MachineLimits {
    MachineLimits {
        memory_mb,
        max_sockets: 1024,
    }
}

async fn start() -> DispatcherFixture {
    let (core, names, sockets) = core();
    DispatcherFixture::start(Parts {
        core,
        names,
        sockets,
        engine: TcpListener::bind("127.0.0.1:0").await.unwrap(),
        client_send_buffer: SMALL_BUFFER_BYTES,
    })
    .await
}

fn request(stream: u32) -> Vec<u8> {
    encode_request(stream, stream.into(), "lookup", "select 1")
}

/// Guards against a connection that is closed with its requests unanswered when there is no memory for them.
#[test]
fn requests_without_memory_are_refused_and_their_connection_goes_on() {
    on_one_thread(async {
        let dispatcher = start().await;
        dispatcher.frontend.apply_limits(&limits(0));
        let mut client = Client::connect(dispatcher.address).await;
        let requests: Vec<u8> = (1..=REQUESTS).flat_map(request).collect();
        client.send(&requests).await;
        let mut refused = vec![];
        while refused.len() < REQUESTS as usize {
            let (kind, stream, payload) = client.receive().await.expect("an answer");
            assert_eq!((kind, payload[0]), (kind::ANSWER, code::REFUSED));
            refused.push(stream);
        }
        refused.sort_unstable();
        assert!(refused.into_iter().eq(1..=REQUESTS));
        dispatcher.frontend.apply_limits(&limits(64));
        client.send(&request(REQUESTS + 1)).await;
        let mut engine = dispatcher.accept_upstream().await;
        let forwarded = read_request_id(&mut engine).await;
        assert_eq!(forwarded, request_id(u64::from(REQUESTS) + 1));
    });
}

/// Guards against results that pile up because their client reads none of them.
#[test]
fn results_without_memory_are_withheld_and_each_request_has_its_answer() {
    const REQUESTS: u32 = 12;
    on_one_thread(async {
        let dispatcher = start().await;
        dispatcher.frontend.apply_limits(&limits(1));
        let mut client = Client::with_small_buffer(dispatcher.address).await;
        let requests: Vec<u8> = (1..=REQUESTS).flat_map(request).collect();
        client.send(&requests).await;
        let mut engine = dispatcher.accept_upstream().await;
        let page = "abcdefgh\tb\tc\n".repeat(450);
        let mut replies = vec![];
        for _ in 0..REQUESTS {
            let id = read_request_id(&mut engine).await;
            replies.extend(encode_reply([&id, "ACK", "total=1", &page]));
        }
        engine.write_all(&replies).await.unwrap();
        let mut codes = vec![];
        while codes.len() < REQUESTS as usize {
            let (_, _, payload) = client.receive().await.expect("an answer");
            codes.push(payload[0]);
        }
        let withheld = codes.iter().filter(|code| **code == code::FAILED).count();
        let served = codes.iter().filter(|code| **code == code::SERVED).count();
        assert_eq!(served + withheld, codes.len(), "{codes:?}");
        assert!(served > 0 && withheld > 0, "{codes:?}");
        let report = dispatcher.frontend.client_report();
        let expected = format!("rejected.answer_memory={withheld}\n");
        assert!(report.contains(&expected), "{report}");
        assert!(report.contains("memory.answers.reserved=0\n"), "{report}");
    });
}
