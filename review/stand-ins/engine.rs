//! A stand-in for a MySQL engine, one process each. The engines of a fleet share their tables: the folder that the
//! second argument names, to which each applied effect is appended as one line and synced before it is answered.
//!
//!     engine NAME FOLDER PORT
//!
//! It keeps what a MySQL server keeps for a connection: session variables, temporary tables, named locks, an open
//! transaction (whose rows are applied at COMMIT and dropped with the connection). `/*!NNNNN ... */` is executed, as
//! MySQL does. A statement that holds the word `slowly` takes 1 s after its effect and before its answer; the
//! first one in the fleet writes the engine's name and process id to FOLDER/slow. Where FOLDER/fail is, the next
//! numbered list in the fleet breaks off with an error after three rows, once.
#[path = "wire.rs"]
mod wire;

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wire::*;

struct Engine {
    name: String,
    folder: PathBuf,
    /// Named locks, with the connection that holds each.
    locks: Mutex<BTreeMap<String, u32>>,
    connections: Mutex<BTreeMap<u32, TcpStream>>,
}

#[derive(Default)]
struct Session {
    number: u32,
    variables: BTreeMap<String, String>,
    temporary: BTreeMap<String, Vec<String>>,
    transaction: Option<Vec<(String, String)>>,
}

enum Answer {
    Ok,
    Row(String),
    Rows(Vec<String>),
    /// Rows, and then an error of the storage instead of the rest.
    BrokenOff(Vec<String>),
    Empty,
    Error(u16, &'static str, String),
}

fn millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

impl Engine {
    fn append(&self, file: &str, line: &str) {
        let path = self.folder.join(file);
        let mut file = OpenOptions::new().create(true).append(true).open(path).unwrap();
        file.write_all(format!("{line}\n").as_bytes()).unwrap();
        file.sync_data().unwrap();
    }

    fn log(&self, session: &Session, what: &str) {
        let line = format!("{} {} connection {}: {what}", millis(), self.name, session.number);
        self.append("engines.log", &line);
    }

    /// Applies a row to a table that all engines share, now or at COMMIT.
    fn insert(&self, session: &mut Session, table: &str, row: String) {
        if let Some(rows) = session.temporary.get_mut(table) {
            rows.push(row);
        } else if let Some(open) = &mut session.transaction {
            open.push((table.into(), row));
        } else {
            self.append(table, &row);
            self.log(session, &format!("applied to {table}: {row}"));
        }
    }

    fn run(&self, session: &mut Session, sql: &str) -> Answer {
        let text = uncommented(sql);
        let lower = text.to_lowercase();
        let words: Vec<&str> = lower.split_whitespace().collect();
        let quoted = || text.split('\'').nth(1).unwrap_or("").to_string();
        match &words[..] {
            ["set", ..] => {
                self.set(session, &text[3..]);
                Answer::Ok
            }
            ["begin"] | ["start", "transaction"] => {
                session.transaction = Some(vec![]);
                Answer::Ok
            }
            ["commit"] => {
                for (table, row) in session.transaction.take().unwrap_or_default() {
                    self.append(&table, &row);
                    self.log(session, &format!("applied to {table}: {row}"));
                }
                Answer::Ok
            }
            ["rollback"] => {
                session.transaction = None;
                Answer::Ok
            }
            ["create", "temporary", "table", name, ..] => {
                session.temporary.insert(name.to_string(), vec![]);
                Answer::Ok
            }
            ["insert", "into", table, "select", .., source] => {
                let Some(rows) = session.temporary.get(*source).cloned() else {
                    return Answer::Error(1146, "42S02", format!("Table '{source}' doesn't exist"));
                };
                for row in rows {
                    self.insert(session, table, row);
                }
                Answer::Ok
            }
            ["insert", "into", table, ..] => {
                let values = text.split(['(', ')']).nth(1).unwrap_or("");
                let value = |value: &str| match value.trim() {
                    name if name.starts_with('@') => {
                        session.variables.get(&name.to_lowercase()).cloned().unwrap_or("NULL".into())
                    }
                    literal => literal.to_string(),
                };
                let row: Vec<String> = values.split(',').map(value).collect();
                self.insert(session, table, row.join(", "));
                Answer::Ok
            }
            ["select", "count(*)", "from", table, "where", "id", "=", id] => {
                let rows = std::fs::read_to_string(self.folder.join(table)).unwrap_or_default();
                let of_id = |row: &&str| row.split(',').next().map(str::trim) == Some(id);
                Answer::Row(rows.lines().filter(of_id).count().to_string())
            }
            ["select", call, ..] if call.starts_with("get_lock(") => {
                let mut locks = self.locks.lock().unwrap();
                let holder = *locks.entry(quoted()).or_insert(session.number);
                Answer::Row(u8::from(holder == session.number).to_string())
            }
            // A row for each of the five goods, numbered by a user variable.
            ["select", name, ":=", read, "+", "1", "from", "goods"] if name == read => {
                let number = session.variables.get(*name).and_then(|value| value.parse::<i64>().ok());
                let Some(first) = number else {
                    return Answer::Rows(vec!["NULL".into(); 5]);
                };
                let rows = if self.fails() { 3 } else { 5 };
                session.variables.insert(name.to_string(), (first + rows).to_string());
                let numbers = (1..=rows).map(|row| (first + row).to_string()).collect();
                match rows {
                    5 => Answer::Rows(numbers),
                    _ => Answer::BrokenOff(numbers),
                }
            }
            ["select", name] if name.starts_with("@@session.") => {
                let known = session.variables.get(name.trim_start_matches("@@session."));
                Answer::Row(known.cloned().unwrap_or_else(|| "SYSTEM".into()))
            }
            ["select", name] if name.starts_with('@') => {
                Answer::Row(session.variables.get(*name).cloned().unwrap_or("NULL".into()))
            }
            ["select", "1", ..] => Answer::Row("1".into()),
            ["show", "warnings", ..] => Answer::Empty,
            ["kill", .., number] => {
                let number = number.parse().unwrap_or(0);
                if let Some(tcp) = self.connections.lock().unwrap().remove(&number) {
                    let _ = tcp.shutdown(std::net::Shutdown::Both);
                }
                Answer::Ok
            }
            _ => Answer::Error(1064, "42000", format!("this stand-in does not know: {text}")),
        }
    }

    fn set(&self, session: &mut Session, assignments: &str) {
        for assignment in assignments.split(',') {
            let Some((name, value)) = assignment.split_once('=') else {
                continue;
            };
            let name = name.trim().trim_end_matches(':').to_lowercase();
            let name = name.trim_start_matches("session ").trim_start_matches("@@session.").trim();
            let value = value.trim().trim_matches('\'').to_string();
            if value.eq_ignore_ascii_case("default") || value.eq_ignore_ascii_case("null") {
                session.variables.remove(name);
            } else {
                session.variables.insert(name.into(), value);
            }
        }
    }

    fn serve(&self, tcp: TcpStream, number: u32) -> io::Result<()> {
        let mut wire = Wire::new(tcp);
        let nonce = b"abcdefghijklmnopqrst";
        let mut greeting = vec![10];
        greeting.extend(b"8.0.36-stand-in\0");
        greeting.extend(number.to_le_bytes());
        greeting.extend(&nonce[..8]);
        greeting.push(0);
        greeting.extend((CAPABILITIES as u16).to_le_bytes());
        greeting.push(45);
        greeting.extend(2u16.to_le_bytes());
        greeting.extend(((CAPABILITIES >> 16) as u16).to_le_bytes());
        greeting.push(21);
        greeting.extend([0; 10]);
        greeting.extend(&nonce[8..]);
        greeting.push(0);
        greeting.extend(b"mysql_native_password\0");
        wire.write(&[greeting])?;
        wire.read()?;
        wire.write(&[vec![0, 0, 0, 2, 0, 0, 0]])?;
        let mut session = Session { number, ..Session::default() };
        loop {
            wire.sequence = 0;
            let command = wire.read()?;
            match command.first() {
                Some(1) | None => return Ok(()),
                Some(2 | 14) => {
                    let ok = ok(&session);
                    wire.write(&[ok])?;
                }
                Some(3) => {
                    let sql = String::from_utf8_lossy(&command[1..]).into_owned();
                    self.log(&session, &sql.chars().take(200).collect::<String>());
                    let answer = self.run(&mut session, &sql);
                    if sql.contains("slowly") {
                        self.take_time();
                    }
                    let packets = packets(&session, answer);
                    wire.write(&packets)?;
                }
                Some(other) => {
                    let message = format!("this stand-in does not know command {other}");
                    let error = Answer::Error(1047, "08S01", message);
                    let packets = packets(&session, error);
                    wire.write(&packets)?;
                }
            }
        }
    }

    /// Whether this statement is the one in the fleet whose storage fails: FOLDER/fail is there, once.
    fn fails(&self) -> bool {
        std::fs::remove_file(self.folder.join("fail")).is_ok()
    }

    fn take_time(&self) {
        let path = self.folder.join("slow");
        if let Ok(mut file) = OpenOptions::new().create_new(true).write(true).open(path) {
            let _ = file.write_all(format!("{} {}\n", self.name, std::process::id()).as_bytes());
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// The statement without comments; what MySQL executes of them stays.
fn uncommented(sql: &str) -> String {
    let mut rest = sql.trim().trim_end_matches(';');
    let mut text = String::new();
    while let Some(start) = rest.find("/*") {
        text.push_str(&rest[..start]);
        let end = rest[start..].find("*/").map_or(rest.len(), |end| start + end);
        if let Some(executed) = rest[start + 2..end].strip_prefix('!') {
            text.push_str(executed.trim_start_matches(|c: char| c.is_ascii_digit()));
        }
        rest = rest.get(end + 2..).unwrap_or("");
    }
    text.push_str(rest);
    text.trim().to_string()
}

fn status(session: &Session) -> u16 {
    2 | u16::from(session.transaction.is_some())
}

fn ok(session: &Session) -> Vec<u8> {
    let mut packet = vec![0, 0, 0];
    packet.extend(status(session).to_le_bytes());
    packet.extend([0, 0]);
    packet
}

fn eof(session: &Session) -> Vec<u8> {
    let mut packet = vec![0xfe, 0, 0];
    packet.extend(status(session).to_le_bytes());
    packet
}

fn packets(session: &Session, answer: Answer) -> Vec<Vec<u8>> {
    let rows = match answer {
        Answer::Ok => return vec![ok(session)],
        Answer::Error(code, state, message) => {
            let mut packet = vec![0xff];
            packet.extend(code.to_le_bytes());
            packet.push(b'#');
            packet.extend(state.as_bytes());
            packet.extend(message.as_bytes());
            return vec![packet];
        }
        Answer::Row(value) => vec![value],
        Answer::Rows(values) => values,
        Answer::BrokenOff(values) => {
            let mut all = packets(session, Answer::Rows(values));
            all.pop();
            let message = "Got error 5 - 'Input/output error' from storage engine".to_string();
            all.extend(packets(session, Answer::Error(1030, "HY000", message)));
            return all;
        }
        Answer::Empty => vec![],
    };
    let mut column = vec![];
    for text in ["def", "", "", "", "value", ""] {
        put_text(&mut column, text.as_bytes());
    }
    column.push(12);
    column.extend([45, 0, 255, 0, 0, 0, 253, 0, 0, 0, 0, 0]);
    let mut all = vec![vec![1], column, eof(session)];
    for value in rows {
        let mut row = vec![];
        put_text(&mut row, value.as_bytes());
        all.push(row);
    }
    all.push(eof(session));
    all
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let engine = Arc::new(Engine {
        name: arguments[1].clone(),
        folder: PathBuf::from(&arguments[2]),
        locks: Mutex::default(),
        connections: Mutex::default(),
    });
    let listener = TcpListener::bind(format!("127.0.0.1:{}", arguments[3])).unwrap();
    for (number, tcp) in (1..).zip(listener.incoming()) {
        let Ok(tcp) = tcp else { continue };
        let engine = engine.clone();
        std::thread::spawn(move || {
            if let Ok(other) = tcp.try_clone() {
                engine.connections.lock().unwrap().insert(number, other);
            }
            let _ = engine.serve(tcp, number);
            engine.connections.lock().unwrap().remove(&number);
            engine.locks.lock().unwrap().retain(|_, holder| *holder != number);
        });
    }
}
