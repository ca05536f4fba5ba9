//! Clients of the soak that hold what they can: they stop half way through a large request, write it slowly, or send
//! requests with very many fields, and leave without an answer.

use super::*;
use crate::platform::hostile_clients::{MAX_FRAME_BYTES, encode_request, run_hostile_clients};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Time for which the clients stay.
const STAY: Duration = Duration::from_millis(700);
/// Number of requests of one client, with as many fields as a head can have.
const REQUESTS_WITH_FIELDS: u32 = 8;
/// Size of the pieces of a slow request, and the pause between them.
const PIECE_BYTES: usize = 16 * 1024;
const PIECE_INTERVAL: Duration = Duration::from_millis(40);

/// Number of the first hostile client: its ids are no other client's.
const HOSTILE_IDS: usize = 0x7000_0000;

/// What a hostile client does.
#[derive(Clone, Copy)]
enum Manner {
    StopHalfWay,
    WriteSlowly,
    SendManyFields,
}

const MANNERS: [Manner; 3] = [
    Manner::StopHalfWay,
    Manner::WriteSlowly,
    Manner::SendManyFields,
];

impl SoakRun {
    /// Lets many hostile clients connect to one dispatcher at once.
    pub(super) async fn hostile_clients(self: Rc<Self>, mut random: Stream) {
        if self.scale.hostile_clients == 0 {
            return;
        }
        let mut first = 0;
        loop {
            random.pause(1500.0).await;
            let node = &self.nodes[random.below(self.nodes.len())];
            let Some(target) = Self::target(node) else {
                continue;
            };
            self.count_fault("hostile clients");
            let manner = MANNERS[random.below(MANNERS.len())];
            let numbers = first..first + self.scale.hostile_clients;
            first = numbers.end;
            let use_connection = move |number, tcp| misbehave(tcp, manner, numbers.start + number);
            let (stop, stopped) = oneshot::channel();
            let count = self.scale.hostile_clients;
            std::thread::spawn(move || {
                run_hostile_clients(target.address, count, use_connection, stopped)
            });
            tokio::time::sleep(STAY).await;
            drop(stop);
        }
    }

    /// Records the peak memory of a process, and a crash if it is above the limit.
    pub(super) fn check_memory(&self, node: &Node, process: &Dispatcher) {
        let peak = process.peak_memory_mb();
        self.peak_memory_mb.set(self.peak_memory_mb.get().max(peak));
        if peak > self.scale.memory_mb as f64 {
            let text = format!("n{}.{}: {peak:.1} MB", node.rank, node.process.get());
            self.crashes.borrow_mut().push(text);
        }
    }
}

async fn misbehave(mut tcp: TcpStream, manner: Manner, number: usize) -> std::io::Result<()> {
    let large = |stream| encode_request(HOSTILE_IDS + number, stream, &[], MAX_FRAME_BYTES - 200);
    match manner {
        Manner::StopHalfWay => {
            let frame = large(1);
            tcp.write_all(&frame[..frame.len() - 100]).await?;
        }
        Manner::WriteSlowly => {
            for piece in large(1).chunks(PIECE_BYTES) {
                tcp.write_all(piece).await?;
                tokio::time::sleep(PIECE_INTERVAL).await;
            }
        }
        Manner::SendManyFields => {
            let fields = [("note", "12345678"); 252];
            for stream in 1..=REQUESTS_WITH_FIELDS {
                let request = encode_request(HOSTILE_IDS + number, stream, &fields, 0);
                tcp.write_all(&request).await?;
            }
        }
    }
    std::future::pending().await
}
