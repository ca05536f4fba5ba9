//! Entry point of the dispatcher. Without arguments it serves the platform's protocol, configured by
//! environment variables; with `--mysql FILE` it serves the MySQL protocol, configured by that file.

use query_dispatcher::server::{ServerError, mysql, platform};
use query_dispatcher::transport::descriptors;
use std::process::ExitCode;
use tokio::task::LocalSet;

const USAGE: &str = "usage: hitchwinch [--mysql FILE]";

fn main() -> ExitCode {
    // Inherited descriptors are counted before the process opens any of its own.
    let inherited_descriptors = descriptors::inherited_count();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments, inherited_descriptors) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hitchwinch: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves clients on this thread until SIGTERM.
fn run(arguments: &[String], inherited_descriptors: usize) -> Result<(), ServerError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    match arguments {
        [] => local.block_on(&runtime, platform::serve(inherited_descriptors)),
        [flag, path] if flag == "--mysql" => {
            local.block_on(&runtime, mysql::serve(path, inherited_descriptors))
        }
        _ => Err(ServerError::Usage(USAGE)),
    }
}
