//! Two toy engines that speak MySQL, for trying the dispatcher: each takes every statement, takes its time over it and
//! answers with its own name; what it runs is shown. `cargo run --example toy`, then
//! `hitchwinch --mysql examples/toy/toy.toml`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;
use testbed::measurements::membership::{MeasureError, serve_engines};
use tokio::task::LocalSet;

const WORK: Duration = Duration::from_millis(50);
const LOOK: Duration = Duration::from_millis(100);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), MeasureError> {
    let serve = async {
        let engines = serve_engines(2, 4001, WORK).await?;
        engines
            .iter()
            .for_each(|e| println!("{} listens on {}", e.name(), e.address()));
        let mut shown = vec![0; engines.len()];
        loop {
            tokio::time::sleep(LOOK).await;
            for (e, shown) in engines.iter().zip(&mut shown) {
                let ran = e.executions();
                ran[*shown..]
                    .iter()
                    .for_each(|r| println!("{} runs {}", e.name(), r.sql));
                *shown = ran.len();
            }
        }
    };
    LocalSet::new().run_until(serve).await
}
