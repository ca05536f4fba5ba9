//! An engine drains while the journal service answers late.

use crate::platform::*;
use crate::stage::*;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
const CLIENTS: usize = 4;
/// The list runs 2.8 to 8.6 s further behind for 11 to 28 s.
const BEHIND: Duration = Duration::from_millis(2800);
const SLOW: Duration = Duration::from_secs(27);
/// Whatever the journal service has to tell counts as told no later than 7 s after.
const TOLD: Duration = Duration::from_secs(7);
/// Nothing new later than 1 s after it was told, and 50 ms more on sockets.
const GRACE: Duration = Duration::from_millis(1050);

pub fn play(stage: &Stage) -> io::Result<bool> {
    let started = Arc::new(Mutex::new(vec![]));
    watch(started.clone());
    let runs: Runs = Arc::default();
    let engines: Vec<String> = (0..ENGINES).map(|number| engine(number, runs.clone())).collect::<io::Result<_>>()?;
    let list: Vec<(usize, &str, &str)> =
        engines.iter().enumerate().map(|(number, address)| (number, address.as_str(), "in_service")).collect();
    let first = event(1, true, &list);
    let (journal, journal_address) = Journal::start(first.clone(), BEHIND)?;
    let (listen, peer, admin) = (free_address()?, free_address()?, free_address()?);
    let dispatcher = stage.platform_dispatcher(&platform_config(&listen, &peer, &journal_address, &first), &admin)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_for(&listen)?;

    let began = Instant::now();
    let end = began + Duration::from_secs(32);
    let (answers, listen) = (Arc::new(Mutex::new([0usize; 3])), &listen);
    let (drained, drained_at) = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let answers = answers.clone();
            scope.spawn(move || {
                let mut frames = FramesClient::new(listen);
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let code = frames.ask("lookup", &new_id(client, number), 8000);
                    let index = match code {
                        Ok(0) => 0,
                        Ok(14) => 1,
                        _ => 2,
                    };
                    answers.lock().unwrap()[index] += 1;
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(3));
        if stage.trouble {
            journal.slow_for(SLOW);
            stage.note("the journal service answers 2.8 s late from now on");
        }
        std::thread::sleep(Duration::from_secs(2));
        // The engine that is used most.
        let count = |engine: usize| runs.lock().unwrap().iter().filter(|run| run.engine == engine).count();
        let drained = (0..ENGINES).max_by_key(|engine| count(*engine)).unwrap_or(0);
        journal.announce(event(2, false, &[(drained, &engines[drained], "terminating")]));
        stage.note(&format!("journal: engine-{drained} is terminating"));
        (drained, Instant::now())
    });
    let [served, refused, other] = *answers.lock().unwrap();
    stage.note(&format!("{served} served, {refused} refused, {other} failed or without an answer"));
    let runs = runs.lock().unwrap();
    let at_drained: Vec<&Run> = runs.iter().filter(|run| run.engine == drained && run.at > drained_at).collect();
    let late: Vec<&&Run> = at_drained.iter().filter(|run| run.at > drained_at + TOLD + GRACE).collect();
    let after = |run: &Run| run.at.duration_since(drained_at).as_millis();
    stage.note(&format!("{} requests reached engine-{drained} after the event", at_drained.len()));
    if let Some(last) = at_drained.last() {
        stage.note(&format!("the last one, {}, {} ms after it", last.id, after(last)));
    }
    stage.note(&format!("{} of them came later than 8,050 ms after the event", late.len()));
    stage.append_log("dispatcher.log");
    drop(dispatcher);
    Ok(!late.is_empty())
}
