//! A load that is the first statement on a held connection, on an engine that hangs in the middle of it.

use crate::client::{Answer, Client};
use crate::stage::*;
use std::io;
use std::time::{Duration, Instant};

/// One engine of six hangs: up to 17% do, for 8.2 to 24 s.
const ENGINES: usize = 6;
const HANG: Duration = Duration::from_millis(23_800);
const LOAD: &str = "LOAD DATA INFILE 'day.csv' INTO TABLE ledger (day, @cents) SET amount = @cents / 100 /* work(1500) */";

pub fn play(stage: &Stage) -> io::Result<bool> {
    let fleet = stage.fleet(ENGINES, "")?;
    let mut client = Client::log_in(&fleet.listen, "guest", "guest")?;
    let sent = Instant::now();
    client.send(LOAD)?;
    stage.note(&format!("sent: {LOAD}"));
    let engine = stage.engine_of(&fleet, "LOAD DATA")?;
    std::thread::sleep(Duration::from_millis(400));
    if stage.trouble {
        fleet.engines[engine].signal("STOP")?;
        stage.note(&format!("engine-{engine} hangs"));
        let id = fleet.engines[engine].id();
        std::thread::spawn(move || {
            std::thread::sleep(HANG);
            let _ = signal(id, "CONT");
        });
    }
    let answer = client.answer()?;
    stage.note(&format!("answer after {} ms: {answer}", sent.elapsed().as_millis()));
    let is_harmless = match &answer {
        Answer::Error(3024, message) => message.contains("sending it again does no harm"),
        Answer::Error(code, _) => *code == 3168,
        _ => false,
    };
    if is_harmless {
        stage.note(&format!("the client does as it is told -> {}", client.query(LOAD)?));
    }
    if stage.trouble {
        // The engine goes on with what it has begun.
        std::thread::sleep((HANG + Duration::from_secs(3)).saturating_sub(sent.elapsed()));
    }
    let committed = stage.lines(&fleet, "committed: LOAD DATA");
    let runs: usize = committed.iter().map(Vec::len).sum();
    committed.iter().flatten().for_each(|line| stage.note(line));
    stage.note(&format!("the load is in force {runs} times"));
    stage.append_logs(&fleet);
    Ok(runs > 1)
}
