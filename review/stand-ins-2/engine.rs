//! A small MySQL engine. It lexes strings by the session's `sql_mode`, as MySQL's manual describes NO_BACKSLASH_ESCAPES,
//! keeps user variables and transactions for each connection, and writes down what it runs.
//!
//! `rows(N, BYTES)` in a SELECT asks for rows, `work(MS)` in any statement lets it take so long, and `late(MS)` in a write lets
//! its answer come so long after it is committed. CONTROL_MS delays the
//! answers to SET and COM_INIT_DB. Once a file LOG.stop is there the engine shuts down: statements that run end with error
//! 1053, their transactions are rolled back, all connections are closed, and the process ends.

use crate::wire::*;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const AUTOCOMMIT: u16 = 2;
const IN_TRANSACTION: u16 = 1;

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

struct Engine {
    name: String,
    log: Mutex<File>,
    started: Instant,
    connections: AtomicU32,
    open: Mutex<HashMap<u32, TcpStream>>,
    control_delay: Duration,
    stopping: AtomicBool,
}

impl Engine {
    /// Waits for as long as a statement works; returns false if the engine shuts down meanwhile.
    fn work(&self, span: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.stopping.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        !self.stopping.load(Ordering::SeqCst)
    }

    fn shut_down(&self, stop: &str) {
        while !std::path::Path::new(stop).exists() {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.stopping.store(true, Ordering::SeqCst);
        self.note(0, "shuts down");
        std::thread::sleep(Duration::from_millis(200));
        std::process::exit(0);
    }

    fn note(&self, connection: u32, text: &str) {
        let mut log = self.log.lock().unwrap();
        let line = format!("{} {} connection {connection}: {text}\n", now_ms(), self.name);
        log.write_all(line.as_bytes()).unwrap();
    }
}

pub fn serve(name: &str, address: &str, log: &str, control_ms: u64) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let engine = Arc::new(Engine {
        name: name.to_string(),
        log: Mutex::new(OpenOptions::new().create(true).append(true).open(log)?),
        started: Instant::now(),
        connections: AtomicU32::new(1),
        open: Mutex::default(),
        control_delay: Duration::from_millis(control_ms),
        stopping: AtomicBool::new(false),
    });
    let (watched, stop) = (engine.clone(), format!("{log}.stop"));
    std::thread::spawn(move || watched.shut_down(&stop));
    for tcp in listener.incoming() {
        let (engine, tcp) = (engine.clone(), tcp?);
        std::thread::spawn(move || {
            let number = engine.connections.fetch_add(1, Ordering::SeqCst);
            if let Ok(copy) = tcp.try_clone() {
                engine.open.lock().unwrap().insert(number, copy);
            }
            let mut session = Session {
                engine: engine.clone(),
                tcp,
                number,
                no_backslash_escapes: false,
                variables: HashMap::new(),
                settings: HashMap::new(),
                autocommit: true,
                in_transaction: false,
                uncommitted: vec![],
            };
            let _ = session.run();
            engine.open.lock().unwrap().remove(&number);
            if !session.uncommitted.is_empty() {
                engine.note(number, "the connection ended: rolled back");
            }
        });
    }
    Ok(())
}

struct Session {
    engine: Arc<Engine>,
    tcp: TcpStream,
    number: u32,
    no_backslash_escapes: bool,
    variables: HashMap<String, Option<Vec<u8>>>,
    /// System variables that have another value than at the log-in.
    settings: HashMap<String, String>,
    autocommit: bool,
    in_transaction: bool,
    uncommitted: Vec<String>,
}

enum Reply {
    Ok,
    Rows(Vec<String>, Vec<Vec<Option<Vec<u8>>>>),
    Error(u16, String),
}

impl Session {
    fn run(&mut self) -> io::Result<()> {
        self.tcp.set_nodelay(true)?;
        let mut greeting = vec![10];
        greeting.extend_from_slice(b"8.0.0-review\0");
        greeting.extend_from_slice(&self.number.to_le_bytes());
        greeting.extend_from_slice(b"abcdefgh\0");
        // Protocol 4.1, secure connection, transactions, a schema at log-in, plugins.
        let flags: u32 = 0x200 | 0x8000 | 0x2000 | 8 | 0x8_0000 | 1;
        greeting.extend_from_slice(&(flags as u16).to_le_bytes());
        greeting.push(45);
        greeting.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
        greeting.extend_from_slice(&((flags >> 16) as u16).to_le_bytes());
        greeting.push(21);
        greeting.extend_from_slice(&[0; 10]);
        greeting.extend_from_slice(b"ijklmnopqrst\0");
        greeting.extend_from_slice(b"mysql_native_password\0");
        send_packet(&mut self.tcp, &mut 0, &greeting)?;
        read_packet(&mut self.tcp)?;
        send_packet(&mut self.tcp, &mut 2, &ok_payload(AUTOCOMMIT))?;
        loop {
            let (_, command) = read_packet(&mut self.tcp)?;
            let body = command.get(1..).unwrap_or_default();
            let reply = match command.first() {
                Some(1) | None => return Ok(()),
                Some(2) => {
                    std::thread::sleep(self.engine.control_delay);
                    Reply::Ok
                }
                Some(3) => self.query(body),
                Some(14) => Reply::Ok,
                Some(other) => Reply::Error(1047, format!("command {other}")),
            };
            self.reply(reply)?;
            if self.engine.stopping.load(Ordering::SeqCst) {
                return Ok(());
            }
        }
    }

    fn status(&self) -> u16 {
        let autocommit = if self.autocommit { AUTOCOMMIT } else { 0 };
        autocommit | if self.in_transaction { IN_TRANSACTION } else { 0 }
    }

    fn reply(&mut self, reply: Reply) -> io::Result<()> {
        let (mut out, mut sequence) = (vec![], 1);
        match reply {
            Reply::Ok => put_packet(&mut out, &mut sequence, &ok_payload(self.status())),
            Reply::Error(code, message) => {
                let state = if code == 1053 { "08S01" } else { "HY000" };
                put_packet(&mut out, &mut sequence, &error_payload(code, state, &message));
            }
            Reply::Rows(names, rows) => {
                put_packet(&mut out, &mut sequence, &[names.len() as u8]);
                for name in &names {
                    put_packet(&mut out, &mut sequence, &column_payload(name));
                }
                put_packet(&mut out, &mut sequence, &eof_payload(self.status()));
                for row in &rows {
                    let mut packet = vec![];
                    for value in row {
                        match value {
                            Some(value) => put_text(&mut packet, value),
                            None => packet.push(0xfb),
                        }
                    }
                    put_packet(&mut out, &mut sequence, &packet);
                }
                put_packet(&mut out, &mut sequence, &eof_payload(self.status()));
            }
        }
        self.tcp.write_all(&out)
    }

    fn query(&mut self, sql: &[u8]) -> Reply {
        let sql = String::from_utf8_lossy(sql).into_owned();
        let mut text = sql.trim();
        while let Some(rest) = text.strip_prefix("/*") {
            text = rest.split_once("*/").map_or("", |(_, after)| after).trim_start();
        }
        let text = text.trim_end_matches(';').trim().to_string();
        let lower = text.to_lowercase();
        if lower.starts_with("show global status") {
            let uptime = self.engine.started.elapsed().as_secs().to_string();
            let row = vec![Some(b"Uptime".to_vec()), Some(uptime.into_bytes())];
            return Reply::Rows(vec!["Variable_name".into(), "Value".into()], vec![row]);
        }
        if lower.starts_with("show warnings") {
            return Reply::Rows(vec!["Level".into(), "Code".into(), "Message".into()], vec![]);
        }
        if let Some(number) = lower.strip_prefix("kill ") {
            let number = number.trim().parse().unwrap_or(0);
            if let Some(tcp) = self.engine.open.lock().unwrap().get(&number) {
                let _ = tcp.shutdown(std::net::Shutdown::Both);
            }
            return Reply::Ok;
        }
        self.engine.note(self.number, &text);
        let work = lower.split_once("work(").and_then(|(_, rest)| rest.split(')').next()?.trim().parse().ok());
        if !self.engine.work(Duration::from_millis(work.unwrap_or(0))) {
            if !std::mem::take(&mut self.uncommitted).is_empty() {
                self.engine.note(self.number, "rolled back: the engine shuts down");
            }
            self.in_transaction = false;
            return Reply::Error(1053, "Server shutdown in progress".into());
        }
        if let Some(list) = lower.strip_prefix("set ").map(|_| &text[4..]) {
            std::thread::sleep(self.engine.control_delay);
            return self.set(list);
        }
        match lower.split_whitespace().next().unwrap_or_default() {
            "begin" | "start" => {
                self.commit();
                self.in_transaction = true;
                Reply::Ok
            }
            "commit" => {
                self.commit();
                Reply::Ok
            }
            "rollback" => {
                self.uncommitted.clear();
                self.in_transaction = false;
                Reply::Ok
            }
            "select" => self.select(&text[6..]),
            _ => {
                self.in_transaction |= !self.autocommit;
                self.uncommitted.push(self.with_values(&text));
                if !self.in_transaction {
                    self.commit();
                }
                let late = lower.split_once("late(").and_then(|(_, rest)| rest.split(')').next()?.trim().parse().ok());
                std::thread::sleep(Duration::from_millis(late.unwrap_or(0)));
                Reply::Ok
            }
        }
    }

    fn commit(&mut self) {
        for statement in std::mem::take(&mut self.uncommitted) {
            self.engine.note(self.number, &format!("committed: {statement}"));
        }
        self.in_transaction = false;
    }

    /// Returns the statement with the values of the user variables in place of their names.
    fn with_values(&self, text: &str) -> String {
        let mut text = text.to_string();
        for (name, value) in &self.variables {
            if let Some(value) = value {
                text = text.replace(name.as_str(), &format!("{:?}", String::from_utf8_lossy(value)));
            }
        }
        text
    }

    fn select(&mut self, list: &str) -> Reply {
        let list = list.trim();
        if let Some(arguments) = list.split_once("rows(").map(|(_, rest)| rest) {
            let inner = arguments.split(')').next().unwrap_or_default();
            let mut numbers = inner.split(',').filter_map(|number| number.trim().parse::<usize>().ok());
            let (count, bytes) = (numbers.next().unwrap_or(1), numbers.next().unwrap_or(8));
            let row = |number: usize| vec![Some(row_text(number, bytes).into_bytes())];
            return Reply::Rows(vec!["r".into()], (0..count).map(row).collect());
        }
        let name = list.split_whitespace().next().unwrap_or_default();
        if let Some(setting) = name.strip_prefix("@@") {
            let value = self.settings.get(&setting.to_lowercase()).cloned().unwrap_or("SYSTEM".into());
            return Reply::Rows(vec![name.into()], vec![vec![Some(value.into_bytes())]]);
        }
        if name.starts_with('@') {
            let value = self.variables.get(&name.to_lowercase()).cloned().flatten();
            return Reply::Rows(vec![name.into()], vec![vec![value]]);
        }
        Reply::Rows(vec!["engine".into()], vec![vec![Some(self.engine.name.clone().into_bytes())]])
    }

    /// Runs SET. The whole statement is lexed in the mode of its begin; then the assignments take effect in turn.
    fn set(&mut self, list: &str) -> Reply {
        if list.trim_start().to_lowercase().starts_with("names") {
            return Reply::Ok;
        }
        let Some(assignments) = assignments(list, self.no_backslash_escapes) else {
            return Reply::Error(1064, format!("the SET cannot be read: {list}"));
        };
        for (name, value) in assignments {
            if name.starts_with('@') {
                self.variables.insert(name, value);
                continue;
            }
            let text = String::from_utf8_lossy(&value.unwrap_or_default()).into_owned();
            match text.to_uppercase().as_str() {
                "DEFAULT" => self.settings.remove(&name),
                _ => self.settings.insert(name.clone(), text.clone()),
            };
            let text = text.to_uppercase();
            match name.as_str() {
                "sql_mode" => self.no_backslash_escapes = text.contains("NO_BACKSLASH_ESCAPES"),
                "autocommit" => {
                    self.autocommit = text != "0" && text != "OFF";
                    if self.autocommit {
                        self.commit();
                    }
                }
                _ => {}
            }
        }
        Reply::Ok
    }
}

/// The text of a row: its number, padded.
pub fn row_text(number: usize, bytes: usize) -> String {
    let mut text = format!("{number}:");
    let mut state = number as u64 + 1;
    while text.len() < bytes {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        text.push_str(&format!("{:x} ", state >> 20));
    }
    text.truncate(bytes.max(8));
    text
}

type Assignment = (String, Option<Vec<u8>>);

/// Reads `NAME = VALUE, ...`; names are in lower case and without SESSION.
fn assignments(list: &str, no_backslash_escapes: bool) -> Option<Vec<Assignment>> {
    let bytes = list.as_bytes();
    let (mut all, mut at) = (vec![], 0);
    loop {
        let equals = at + bytes[at..].iter().position(|byte| *byte == b'=')?;
        let name = list[at..equals].trim().trim_end_matches(':').trim().to_lowercase();
        let name = name.strip_prefix("session ").unwrap_or(&name).trim().replace('`', "");
        at = equals + 1;
        while bytes.get(at) == Some(&b' ') {
            at += 1;
        }
        let mut value = vec![];
        let mut is_null = false;
        match bytes.get(at) {
            Some(&quote @ (b'\'' | b'"')) => {
                at += 1;
                loop {
                    let byte = *bytes.get(at)?;
                    at += 1;
                    if byte == quote {
                        if bytes.get(at) != Some(&quote) {
                            break;
                        }
                        at += 1;
                        value.push(quote);
                    } else if byte == b'\\' && !no_backslash_escapes {
                        let escaped = *bytes.get(at)?;
                        at += 1;
                        value.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            b'0' => 0,
                            b'b' => 8,
                            b'Z' => 26,
                            other => other,
                        });
                    } else {
                        value.push(byte);
                    }
                }
            }
            _ => {
                let end = bytes[at..].iter().position(|byte| *byte == b',');
                let end = end.map_or(bytes.len(), |length| at + length);
                value = list[at..end].trim().as_bytes().to_vec();
                is_null = value.eq_ignore_ascii_case(b"null");
                at = end;
            }
        }
        all.push((name, (!is_null).then_some(value)));
        while bytes.get(at) == Some(&b' ') {
            at += 1;
        }
        match bytes.get(at) {
            None => return Some(all),
            Some(b',') => at += 1,
            Some(_) => return None,
        }
    }
}
