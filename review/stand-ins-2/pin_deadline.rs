//! A statement within a transaction, on an engine that takes it and hangs.

use crate::client::Client;
use crate::stage::*;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `deadline_ms` of the class that transactions belong to.
const DEADLINE: Duration = Duration::from_secs(20);
/// What the pages allow after it: half a second, and 50 ms more on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// How long the engine hangs: engines take requests and answer none for 8.2 to 24 s.
const HANG: Duration = Duration::from_millis(23_800);
/// One engine of six hangs: up to 17% do.
const ENGINES: usize = 6;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let started = Arc::new(Mutex::new(vec![]));
    watch(started.clone());
    let mut engines = vec![];
    let mut listed = vec![];
    for number in 0..ENGINES {
        let (name, address) = (format!("engine-{number}"), free_address()?);
        let process = stage.engine(&name, &address, 0)?;
        started.lock().unwrap().push(process.id());
        engines.push((name.clone(), process));
        listed.push((name, address));
    }
    let (listen, admin) = (free_address()?, free_address()?);
    let dispatcher = stage.dispatcher("dispatcher", &config(&listen, &admin, &listed, ""), None)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_ready(&admin)?;

    let mut client = Client::log_in(&listen, "guest", "guest")?;
    for sql in ["BEGIN", "INSERT INTO orders VALUES (1)"] {
        stage.note(&format!("{sql} -> {}", client.query(sql)?));
    }
    let held = client.query("SELECT engine")?.text().unwrap_or_default();
    stage.note(&format!("the transaction is on {held}"));
    let process = engines
        .iter()
        .find(|(name, _)| *name == held)
        .map(|(_, process)| process.id())
        .ok_or(crate::wire::bad("the engine is not known"))?;
    if stage.trouble {
        signal(process, "STOP")?;
        stage.note(&format!("{held} hangs"));
        std::thread::spawn(move || {
            std::thread::sleep(HANG);
            let _ = signal(process, "CONT");
        });
    }
    let sql = "UPDATE orders SET paid = 1";
    let sent = Instant::now();
    client.send(sql)?;
    stage.note(&format!("sent: {sql}"));
    client.tcp.set_read_timeout(Some(DEADLINE + SLACK))?;
    let answer = client.answer();
    let in_time = answer.is_ok() && sent.elapsed() <= DEADLINE + SLACK;
    match answer {
        Ok(answer) => stage.note(&format!("answer after {} ms: {answer}", sent.elapsed().as_millis())),
        Err(_) => {
            stage.note(&format!("no answer after {} ms, the deadline is 20,000 ms", sent.elapsed().as_millis()));
            client.tcp.set_read_timeout(Some(Duration::from_secs(10)))?;
            match client.answer() {
                Ok(answer) => stage.note(&format!("answer after {} ms: {answer}", sent.elapsed().as_millis())),
                Err(error) => stage.note(&format!("none after {} ms: {error}", sent.elapsed().as_millis())),
            }
        }
    }
    for (name, _) in &listed {
        stage.append_log(&format!("{name}.log"));
    }
    stage.append_log("dispatcher.log");
    Ok(!in_time)
}
