//! Starts the program with its MySQL front and collects the lines that it logs during startup.

use crate::process::{Program, connect};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time between two log lines during startup.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the program with this configuration file and waits until it listens. Returns the program and the
/// lines that it logged before, without those that name its addresses.
pub(crate) fn start_mysql(config_file: &str) -> (Program, Vec<String>) {
    let mut program = Program::spawn(config_file, &["--mysql"], None);
    let mut lines = vec![];
    while program.address.port() == 0 {
        let line = program
            .log
            .recv_timeout(STARTUP_TIMEOUT)
            .unwrap_or_else(|_| panic!("the program does not listen; log lines: {lines:?}"));
        if let Some((_, address)) = line.split_once("operators call at ") {
            program.admin = address.parse().unwrap();
        } else if let Some((_, address)) = line.split_once("listens on ") {
            program.address = address.parse().unwrap();
        } else {
            lines.push(line);
        }
    }
    (program, lines)
}

/// Makes one HTTP call to the operators' address and returns the whole response.
pub(crate) fn call(admin: SocketAddr, method: &str, path: &str) -> String {
    let mut connection = connect(admin);
    connection
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: test\r\n\r\n").as_bytes())
        .unwrap();
    let mut response = String::new();
    connection.read_to_string(&mut response).unwrap();
    response
}
