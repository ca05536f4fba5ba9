//! A user variable of a session in NO_BACKSLASH_ESCAPES, whose engine is drained.

use crate::client::Client;
use crate::stage::*;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The value that the client sets: a backslash is a plain character in this mode.
const VALUE: &str = r"C:\new\table";

pub fn play(stage: &Stage) -> io::Result<bool> {
    let started = Arc::new(Mutex::new(vec![]));
    watch(started.clone());
    let mut engines = vec![];
    let mut listed = vec![];
    for number in 0..2 {
        let (name, address) = (format!("engine-{number}"), free_address()?);
        let process = stage.engine(&name, &address, 0)?;
        started.lock().unwrap().push(process.id());
        engines.push(process);
        listed.push((name, address));
    }
    let (listen, admin) = (free_address()?, free_address()?);
    let dispatcher = stage.dispatcher("dispatcher", &config(&listen, &admin, &listed, ""), None)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_ready(&admin)?;
    // engine-1 is out for maintenance at first.
    let (status, _) = call(&admin, "POST", "/_engines/detach/engine-1")?;
    stage.note(&format!("operator: detach engine-1 -> {status}"));

    let mut client = Client::log_in(&listen, "guest", "guest")?;
    let set = format!("SET @dir = '{VALUE}'");
    for sql in ["SET sql_mode = 'NO_BACKSLASH_ESCAPES'", &set] {
        stage.note(&format!("{sql} -> {}", client.query(sql)?));
    }
    let before = client.query("SELECT @dir")?.text();
    stage.note(&format!("SELECT @dir -> {before:?}"));
    if before.as_deref() != Some(VALUE) {
        return Err(crate::wire::bad("the value is wrong before the disruption"));
    }
    if stage.trouble {
        for call_path in ["/_engines/attach/engine-1", "/_engines/detach/engine-0"] {
            let (status, _) = call(&admin, "POST", call_path)?;
            stage.note(&format!("operator: POST {call_path} -> {status}"));
        }
    }
    // engine-1 counts as just started and is sent little at first.
    std::thread::sleep(Duration::from_millis(500));
    let mut broken = false;
    for _ in 0..3 {
        let after = client.query("SELECT @dir")?;
        stage.note(&format!("SELECT @dir -> {after} {:?}", after.text()));
        broken |= after.text().is_some_and(|text| text != VALUE);
        let insert = client.query("INSERT INTO folders VALUES (@dir)")?;
        stage.note(&format!("INSERT INTO folders VALUES (@dir) -> {insert}"));
        std::thread::sleep(Duration::from_millis(200));
    }
    for (name, _) in &listed {
        stage.append_log(&format!("{name}.log"));
    }
    stage.append_log("dispatcher.log");
    Ok(broken)
}
