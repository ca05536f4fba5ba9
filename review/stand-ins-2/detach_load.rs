//! A load on a connection from between an engine's start and the report of it; the engine is detached by hand.

use crate::engine::now_ms;
use crate::platform::*;
use crate::stage::*;
use crate::wire::bad;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let started = Arc::new(Mutex::new(vec![]));
    watch(started.clone());
    let address = engine(0, Runs::default())?;
    let first = event(1, true, &[(0, &address, "in_service")]);
    let (journal, journal_address) = Journal::start(first.clone(), Duration::ZERO)?;
    let (listen, peer, admin) = (free_address()?, free_address()?, free_address()?);
    let dispatcher = stage.platform_dispatcher(&platform_config(&listen, &peer, &journal_address, &first), &admin)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_ready(&admin)?;
    let engine_start = now_ms();
    std::thread::sleep(Duration::from_millis(500));
    let client = std::thread::spawn(move || {
        let mut client = FramesClient::new(&listen);
        let lookup = client.ask("lookup", &new_id(1, 1), 8000)?;
        std::thread::sleep(Duration::from_millis(1500));
        Ok::<_, io::Error>((lookup, client.ask("load", &new_id(1, 2), 15_000)?))
    });
    std::thread::sleep(Duration::from_millis(2300));
    let start = format!("\"startedAtMs\":{engine_start}");
    journal.announce(event(2, false, &[(0, &address, "in_service")]).replace("\"startedAtMs\":0", &start));
    stage.note("journal: engine-0 started 2.8 s ago");
    std::thread::sleep(Duration::from_millis(1000));
    if stage.trouble {
        let (status, _) = call(&admin, "POST", "/_engines/detach/engine-0")?;
        stage.note(&format!("operator: detach engine-0 -> {status}"));
    }
    let (lookup, load) = client.join().map_err(|_| bad("the client failed"))??;
    stage.note(&format!("the look-up is answered with {lookup}, the load with {load} (0 served, 2 failed)"));
    stage.append_log("dispatcher.log");
    drop(dispatcher);
    Ok(load != 0)
}
