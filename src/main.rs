//! The dispatcher's program. Without arguments it serves the platform's protocol, configured by its environment; with
//! `--mysql FILE` it serves the MySQL protocol, configured by that file.

use query_dispatcher::server::{ServerError, mysql, platform};
use query_dispatcher::transport::descriptors;
use std::process::ExitCode;
use tokio::task::LocalSet;

const USAGE: &str = "usage: hitchwinch [--mysql FILE]";

fn main() -> ExitCode {
    // Counted before anything is opened.
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

/// Serves on this thread until the process is told to stop.
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
