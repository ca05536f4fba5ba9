//! The program on the MySQL front, with the lines that it logged while it started.

use crate::process::{Program, connect};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest that a start takes.
const START: Duration = Duration::from_secs(10);

/// Starts the program on this file and waits until it listens: the program, and all that it logged before.
pub(crate) fn start_mysql(file: &str) -> (Program, Vec<String>) {
    let mut program = Program::spawn(file, &["--mysql"], None);
    let mut lines = vec![];
    while program.address.port() == 0 {
        let line = program
            .log
            .recv_timeout(START)
            .unwrap_or_else(|_| panic!("it does not start: {lines:?}"));
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

/// One HTTP call at the operators' address: the whole response.
pub(crate) fn call(admin: SocketAddr, method: &str, path: &str) -> String {
    let mut connection = connect(admin);
    connection
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: test\r\n\r\n").as_bytes())
        .unwrap();
    let mut response = String::new();
    connection.read_to_string(&mut response).unwrap();
    response
}
