//! The stand-ins of the second review and the plays of its cases.
//!
//!     stand-ins engine NAME ADDRESS LOG CONTROL_MS     a small MySQL engine, until it is ended
//!     stand-ins case NAME RECORD                       plays a case, or a fault without one that the report names; exits
//!                                                      with 1 if its rule was broken, 0 if it held, 2 if it could not
//!                                                      run. TROUBLE=0 leaves out the disruption.

mod client;
mod detach_load;
mod engine;
mod engine_shutdown;
mod first_statement;
mod hidden_write;
mod platform;
mod quoted_name;
mod resume;
mod slow_journal;
mod stage;
mod upgrade;
mod variables;
mod wire;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words[..] {
        ["engine", name, address, log, control_ms] => {
            let control_ms = control_ms.parse().unwrap_or(0);
            match engine::serve(name, address, log, control_ms) {
                Ok(()) => 0,
                Err(error) => {
                    eprintln!("engine {name}: {error}");
                    2
                }
            }
        }
        ["case", name, record] => stage::play(record, |stage| match name {
            "engine-shutdown" => engine_shutdown::play(stage),
            "first-statement" => first_statement::play(stage),
            "detach-load" => detach_load::play(stage),
            "hidden-write" => hidden_write::play(stage),
            "quoted-name" => quoted_name::play(stage),
            "variables" => variables::play(stage),
            "resume" => resume::play(stage),
            "slow-journal" => slow_journal::play(stage),
            "upgrade" => upgrade::play(stage),
            other => Err(wire::bad(&format!("no case is named {other}"))),
        }),
        _ => {
            eprintln!("see the head of main.rs");
            2
        }
    };
    std::process::exit(code);
}
