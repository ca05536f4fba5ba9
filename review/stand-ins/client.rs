//! Stand-ins for clients, one subcommand for each case; and `ports N`, which prints N free ports.
//!
//! `client CASE PORT FOLDER` connects to the dispatcher at 127.0.0.1:PORT. Each user's password is its name. FOLDER
//! holds the tables of the engines. It prints what it sends and gets, and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.
#[path = "wire.rs"]
mod wire;

use std::io;
use std::net::{TcpListener, TcpStream};
use std::process::exit;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::*;

#[derive(Debug, Clone, PartialEq)]
enum Reply {
    Ok,
    Rows(Vec<String>),
    Error(u16, String),
}

struct Client {
    wire: Wire,
    name: &'static str,
}

fn say(text: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    println!("{now} {text}");
}

fn cannot_run(text: &str) -> ! {
    say(&format!("cannot run: {text}"));
    exit(2)
}

impl Client {
    fn connect(port: &str, name: &'static str) -> io::Result<Client> {
        let tcp = TcpStream::connect(format!("127.0.0.1:{port}"))?;
        tcp.set_read_timeout(Some(Duration::from_secs(40)))?;
        let mut wire = Wire::new(tcp);
        let greeting = wire.read()?;
        let version_end = 1 + greeting[1..].iter().position(|byte| *byte == 0).unwrap_or(0);
        let rest = &greeting[version_end + 1..];
        let nonce = [&rest[4..12], &rest[31..43]].concat();
        let mut login = CAPABILITIES.to_le_bytes().to_vec();
        login.extend((1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend([0; 23]);
        login.extend(name.as_bytes());
        login.push(0);
        login.push(20);
        login.extend(native_password(name, &nonce));
        login.extend(b"mysql_native_password\0");
        wire.write(&[login])?;
        match wire.read()?.first() {
            Some(0) => Ok(Client { wire, name }),
            _ => Err(io::Error::other("the log-in was turned away")),
        }
    }

    /// Connects once the dispatcher listens and serves.
    fn first(port: &str, name: &'static str) -> Client {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            if let Ok(mut client) = Client::connect(port, name) {
                if let Ok(Reply::Rows(_)) = client.query("SELECT 1") {
                    return client;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        cannot_run("the dispatcher does not serve")
    }

    fn query(&mut self, sql: &str) -> io::Result<Reply> {
        let shown: String = sql.chars().take(200).collect();
        say(&format!("{} sends ({} bytes): {shown}", self.name, sql.len()));
        let reply = self.exchange(sql);
        match &reply {
            Ok(reply) => say(&format!("{} gets: {reply:?}", self.name)),
            Err(error) => say(&format!("{} lost its connection: {error}", self.name)),
        }
        reply
    }

    fn exchange(&mut self, sql: &str) -> io::Result<Reply> {
        self.wire.sequence = 0;
        self.wire.write(&[[b"\x03", sql.as_bytes()].concat()])?;
        let first = self.wire.read()?;
        match first.first() {
            Some(0) => Ok(Reply::Ok),
            Some(0xff) => {
                let code = u16::from_le_bytes([first[1], first[2]]);
                Ok(Reply::Error(code, String::from_utf8_lossy(&first[3..]).into_owned()))
            }
            _ => {
                while !is_eof(&self.wire.read()?) {}
                let mut rows = vec![];
                loop {
                    let packet = self.wire.read()?;
                    if is_eof(&packet) {
                        return Ok(Reply::Rows(rows));
                    }
                    if packet.first() == Some(&0xff) {
                        let code = u16::from_le_bytes([packet[1], packet[2]]);
                        return Ok(Reply::Error(code, String::from_utf8_lossy(&packet[3..]).into()));
                    }
                    let mut rest = &packet[..];
                    let value = take_length(&mut rest).map(|length| rest[..length as usize].to_vec());
                    rows.push(value.map_or("NULL".into(), |v| String::from_utf8_lossy(&v).into()));
                }
            }
        }
    }

    /// Sends a statement that is refused as long as nothing of it runs (3168, 1203) until it is not.
    fn insist(&mut self, sql: &str) -> io::Result<Reply> {
        for _ in 0..40 {
            match self.query(sql)? {
                Reply::Error(3168 | 1203, _) => std::thread::sleep(Duration::from_millis(500)),
                other => return Ok(other),
            }
        }
        cannot_run("refused for 20 s")
    }
}

fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&0xfe) && packet.len() < 9
}

fn rows_of(folder: &str, table: &str, id: &str) -> usize {
    let rows = std::fs::read_to_string(format!("{folder}/{table}")).unwrap_or_default();
    rows.lines().filter(|row| row.split(',').next().map(str::trim) == Some(id)).count()
}

/// A posting into the ledger: one INSERT that names a user variable, without a transaction, so that it commits by
/// itself. The client follows the pages' table of error codes: 1213 begin again, 1317 look and then decide.
fn posting(port: &str, folder: &str) -> ! {
    let mut client = Client::first(port, "till");
    let steps = ["SET @posting = 7", "INSERT INTO ledger VALUES (@posting, 42) /* slowly */"];
    let mut told = vec![];
    'posting: for _ in 0..4 {
        for sql in steps {
            match client.insist(sql) {
                Ok(Reply::Ok) => {}
                Ok(Reply::Error(code, message)) => {
                    told.push((code, message));
                    match code {
                        1213 => continue 'posting,
                        // It may have run: look, then decide.
                        1317 => match client.insist("SELECT COUNT(*) FROM ledger WHERE id = 7") {
                            Ok(Reply::Rows(rows)) if rows == ["0"] => continue 'posting,
                            Ok(Reply::Rows(_)) => break 'posting,
                            other => cannot_run(&format!("{other:?}")),
                        },
                        _ => cannot_run("an answer that the case does not know"),
                    }
                }
                other => cannot_run(&format!("{other:?}")),
            }
        }
        break;
    }
    let rows = rows_of(folder, "ledger", "7");
    say(&format!("errors told: {told:?}; the posting 7 stands {rows} times in the ledger"));
    match rows {
        0 => cannot_run("the posting was never made"),
        1 => exit(0),
        _ => exit(1),
    }
}

/// Asks for a list of five goods that is numbered by a user variable. `None`: it broke off, and the client was told.
fn numbered_list(client: &mut Client) -> Option<Vec<String>> {
    match client.insist("SET @n := 0") {
        Ok(Reply::Ok) => {}
        other => cannot_run(&format!("{other:?}")),
    }
    match client.insist("SELECT @n := @n + 1 FROM goods") {
        Ok(Reply::Rows(rows)) => Some(rows),
        Ok(Reply::Error(..)) => None,
        other => cannot_run(&format!("{other:?}")),
    }
}

/// A client asks for its list, and once more if it broke off; then 100 sessions of another user ask for theirs, once
/// each.
fn numbers(port: &str) -> ! {
    let expected: Vec<String> = (1..=5).map(|number| number.to_string()).collect();
    let mut wrong = vec![];
    let mut check = |name: &str, rows: Option<Vec<String>>| {
        let wrong_rows = rows.filter(|rows| *rows != expected);
        wrong.extend(wrong_rows.map(|rows| format!("{name}: SET @n := 0 was answered OK, and the numbers are {rows:?}")));
    };
    let mut first = Client::first(port, "till");
    let mut rows = numbered_list(&mut first);
    if rows.is_none() {
        rows = numbered_list(&mut first);
    }
    check("till", rows);
    drop(first);
    for _ in 0..100 {
        match Client::connect(port, "depot") {
            Ok(mut other) => check("depot", numbered_list(&mut other)),
            Err(error) => cannot_run(&format!("no connection: {error}")),
        }
    }
    for line in &wrong {
        say(line);
    }
    exit(i32::from(!wrong.is_empty()))
}

fn troubled(statement: impl Fn() -> String) -> Option<String> {
    (std::env::var("TROUBLE").as_deref() != Ok("0")).then(statement)
}

/// A client that asks one thing after the other.
struct Usual {
    thread: std::thread::JoinHandle<Vec<String>>,
}

impl Usual {
    /// Sends `sql` again and again for this time. Returns what was not answered, and what was answered later than
    /// half a second after `deadline`.
    fn start(port: &str, name: &'static str, sql: &'static str, time: f64, deadline: f64) -> Usual {
        let mut client = Client::first(port, name);
        let thread = std::thread::spawn(move || {
            let started = Instant::now();
            let mut broken = vec![];
            while started.elapsed().as_secs_f64() < time {
                let sent = Instant::now();
                let reply = client.exchange(sql);
                let took = sent.elapsed().as_secs_f64();
                if took > 0.5 {
                    say(&format!("{name}: {sql}: {reply:?} after {took:.2} s"));
                }
                match reply {
                    Err(error) => {
                        broken.push(format!("{name}: {sql}: no answer, {error}"));
                        return broken;
                    }
                    Ok(_) if took > deadline + 0.55 => {
                        broken.push(format!("{name}: {sql}: answered after {took:.2} s of {deadline} s"));
                    }
                    Ok(_) => {}
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            broken
        });
        Usual { thread }
    }
}

/// Usual clients beside one whose statement is not to be read.
fn beside(port: &str, bad: Option<String>) -> ! {
    let reader = Usual::start(port, "till", "SELECT 1", 6.0, 10.0);
    let writer = Usual::start(port, "depot", "INSERT INTO ledger VALUES (7, 42) /* slowly */", 6.0, 20.0);
    std::thread::sleep(Duration::from_secs(2));
    if let Some(sql) = bad {
        match Client::connect(port, "kitchen") {
            Ok(mut other) => {
                let _ = other.wire.tcp.set_read_timeout(Some(Duration::from_secs(60)));
                let _ = other.query(&sql);
            }
            Err(error) => cannot_run(&format!("no connection: {error}")),
        }
    }
    let mut broken = reader.thread.join().unwrap_or_default();
    broken.extend(writer.thread.join().unwrap_or_default());
    for line in &broken {
        say(&format!("broken: {line}"));
    }
    exit(i32::from(!broken.is_empty()))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let argument = |index: usize| arguments.get(index).map_or("", String::as_str);
    match argument(1) {
        "ports" => {
            let count = argument(2).parse().unwrap_or(1);
            let held: Vec<TcpListener> =
                (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
            for listener in &held {
                println!("{}", listener.local_addr().unwrap().port());
            }
        }
        "posting" => posting(argument(2), argument(3)),
        "numbers" => numbers(argument(2)),
        // A user variable whose value opens 16,300 parentheses, in 16.3 KB.
        "nested" => beside(argument(2), troubled(|| format!("SET @x = {}", "(".repeat(16_300)))),
        other => cannot_run(&format!("no such case: {other:?}")),
    }
}
