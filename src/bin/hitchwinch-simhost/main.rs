//! Adapter between the simulator and the decision module: hosts one
//! [`Controller`](query_dispatcher::Controller) for each simulated dispatcher. It translates the simulator's
//! JSON lines on standard input into events, and the resulting actions into JSON lines on standard output; it
//! makes no decisions.

mod error;
mod host;
mod instance;
mod wire;

use error::{HostError, LineError};
use host::Host;
use std::io::{BufRead, Write};
use std::ops::ControlFlow;

fn main() {
    // A controller's panic is reported as a fault of its instance; standard error gets at most one line.
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(error) = run(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("hitchwinch-simhost: {error}");
        std::process::exit(1);
    }
}

/// Handles all lines of `input`.
fn run(mut input: impl BufRead, output: impl Write) -> Result<(), LineError> {
    let mut host = Host::new(output);
    let mut line = String::new();
    let mut number = 0;
    loop {
        number += 1;
        match handle_next_line(&mut input, &mut line, &mut host) {
            Ok(ControlFlow::Continue(())) => {}
            Ok(ControlFlow::Break(())) => return Ok(()),
            Err(error) => return Err(LineError { number, error }),
        }
    }
}

/// Reads and handles one line; returns `Break` at the end of the input.
fn handle_next_line<W: Write>(
    input: &mut impl BufRead,
    line: &mut String,
    host: &mut Host<W>,
) -> Result<ControlFlow<()>, HostError> {
    line.clear();
    let is_at_end = input.read_line(line)? == 0;
    if is_at_end && host.is_inside_batch() {
        return Err(HostError::UnfinishedBatch);
    }
    if is_at_end {
        return Ok(ControlFlow::Break(()));
    }
    if !line.trim().is_empty() {
        host.handle_line(line)?;
    }
    Ok(ControlFlow::Continue(()))
}
