//! An open transaction, whose engine shuts down in order while a statement of it runs.

use crate::client::{Answer, Client};
use crate::stage::*;
use crate::wire::bad;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One engine of six is replaced: up to 17% of the fleet at a time.
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
        engines.push(process);
        listed.push((name, address));
    }
    let (listen, admin) = (free_address()?, free_address()?);
    let dispatcher = stage.dispatcher("dispatcher", &config(&listen, &admin, &listed, ""), None)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_ready(&admin)?;

    let insert = "INSERT INTO orders VALUES (1)";
    let update = "UPDATE stock SET n = n - 1";
    let mut client = Client::log_in(&listen, "guest", "guest")?;
    for sql in ["BEGIN", insert] {
        stage.note(&format!("{sql} -> {}", client.query(sql)?));
    }
    let held = client.query("SELECT engine")?.text().ok_or(bad("no engine"))?;
    stage.note(&format!("the transaction is on {held}"));
    client.send(&format!("{update} /* work(1200) */"))?;
    stage.note(&format!("sent: {update}"));
    std::thread::sleep(Duration::from_millis(400));
    if stage.trouble {
        std::fs::write(stage.path(&format!("{held}.log.stop")), "")?;
        stage.note(&format!("{held} shuts down"));
    }
    let answer = client.answer()?;
    stage.note(&format!("answer: {answer}"));
    // 1213: the transaction is rolled back, begin it again. 1317: look, then decide.
    let is_told = matches!(answer, Answer::Ok | Answer::Error(1213 | 1317, _));
    match &answer {
        Answer::Ok => stage.note(&format!("COMMIT -> {}", client.query("COMMIT")?)),
        Answer::Error(1053, _) => {
            stage.note("1053: 'the dispatcher shuts down: send it again, on a new connection'; the client does so");
            std::thread::sleep(Duration::from_millis(300));
            let mut again = Client::log_in(&listen, "guest", "guest")?;
            for sql in [update, "COMMIT"] {
                stage.note(&format!("{sql} -> {}", again.query(sql)?));
            }
        }
        _ => {}
    }
    let mut committed = vec![];
    for (name, _) in &listed {
        let text = std::fs::read_to_string(stage.path(&format!("{name}.log"))).unwrap_or_default();
        committed.extend(text.lines().filter_map(|line| line.split_once("committed: ").map(|(_, sql)| sql.to_string())));
        stage.append_log(&format!("{name}.log"));
    }
    stage.append_log("dispatcher.log");
    stage.note(&format!("committed on all engines: {committed:?}"));
    drop(dispatcher);
    Ok(!is_told)
}
