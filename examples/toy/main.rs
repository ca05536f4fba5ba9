//! Two fake MySQL engines to try the dispatcher with. Each accepts every statement, simulates its execution
//! and answers with the engine's name; the program prints the statements. Run `cargo run --example toy`, then
//! `hitchwinch --mysql examples/toy/toy.toml`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;
use testbed::measurements::membership::{MeasureError, serve_engines};
use tokio::task::LocalSet;

/// Simulated execution time of a statement.
const STATEMENT_DURATION: Duration = Duration::from_millis(50);
/// Interval at which new statements are printed.
const PRINT_INTERVAL: Duration = Duration::from_millis(100);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), MeasureError> {
    let serve = async {
        let engines = serve_engines(2, 4001, STATEMENT_DURATION).await?;
        engines
            .iter()
            .for_each(|e| println!("{} listens on {}", e.name(), e.address()));
        let mut printed = vec![0; engines.len()];
        loop {
            tokio::time::sleep(PRINT_INTERVAL).await;
            for (e, printed) in engines.iter().zip(&mut printed) {
                let executions = e.executions();
                executions[*printed..]
                    .iter()
                    .for_each(|r| println!("{} runs {}", e.name(), r.sql));
                *printed = executions.len();
            }
        }
    };
    LocalSet::new().run_until(serve).await
}
