//! Slow readers of spooled results, whose dispatcher is replaced by a new version under load: all come back at once.

use crate::client::Client;
use crate::resume::{fetch, list, read_slowly};
use crate::stage::*;
use crate::wire::bad;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Barrier, Mutex};
use std::time::Duration;

const READERS: usize = 6;
const ROWS: usize = 14_000;
const ROW_BYTES: usize = 1000;

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
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let listen = listener.local_addr()?.to_string();
    let (old_admin, new_admin) = (free_address()?, free_address()?);
    let text = |admin: &str| {
        let more = format!("state_dir = \"{}\"\ninherited_fd = 7", stage.path("state"));
        let spool = format!("[spool]\ndir = \"{}\"\n", stage.path("spool"));
        config(&listen, admin, &listed, &more) + &spool
    };
    let mut old = stage.dispatcher("old", &text(&old_admin), Some(&listener))?;
    started.lock().unwrap().push(old.id());
    wait_ready(&old_admin)?;

    // Each client asks for its report, and reads it at about 1 MB a second.
    let mut readers = vec![];
    for number in 0..READERS {
        let mut client = Client::log_in(&listen, "guest", "guest")?;
        client.send(&format!("SELECT r{number} FROM report /* rows({ROWS}, {ROW_BYTES}) */"))?;
        if let Some(answer) = client.begin_rows()? {
            return Err(bad(&format!("no result: {answer}")));
        }
        readers.push(client);
    }
    let mut other = Client::log_in(&listen, "guest", "guest")?;
    let results = list(&mut other)?;
    drop(other);
    stage.note(&format!("{} results wait for their readers", results.len()));
    let new = match stage.trouble {
        true => {
            let new = stage.dispatcher("new", &text(&new_admin), Some(&listener))?;
            started.lock().unwrap().push(new.id());
            wait_ready(&new_admin)?;
            stage.note("the new version is ready");
            Some(new)
        }
        false => None,
    };
    // Both processes know of each other within a second.
    std::thread::sleep(Duration::from_millis(1200));
    if new.is_some() {
        old.signal("TERM")?;
        stage.note("SIGTERM to the old version");
    }
    // The clients read until their connections end: with the old process, or after 2 s.
    let span = Duration::from_secs(if stage.trouble { 8 } else { 2 });
    let barrier = Arc::new(Barrier::new(READERS));
    let broken = std::thread::scope(|scope| {
        let threads: Vec<_> = readers
            .into_iter()
            .enumerate()
            .map(|(number, mut client)| {
                let (listen, results) = (&listen, &results);
                let barrier = barrier.clone();
                scope.spawn(move || -> io::Result<bool> {
                    let next = read_slowly(&mut client, span, ROW_BYTES)?;
                    drop(client);
                    // The links break together, as the old process ends; the clients come back one after the other, 40 ms apart.
                    barrier.wait();
                    std::thread::sleep(Duration::from_millis(40 * number as u64));
                    let result = results
                        .iter()
                        .find(|result| result.statement.contains(&format!("r{number} ")))
                        .ok_or(bad("a result is not listed"))?;
                    let mut back = Client::log_in(listen, "guest", "guest")?;
                    stage.note(&format!("client {number} is back after {next} rows"));
                    fetch(stage, &mut back, result, next, ROW_BYTES).map(|all_there| !all_there)
                })
            })
            .collect();
        let mut broken = 0;
        for thread in threads {
            broken += usize::from(thread.join().map_err(|_| bad("a client failed"))??);
        }
        Ok::<usize, io::Error>(broken)
    })?;
    stage.note(&format!("{broken} of {READERS} clients did not get their pages"));
    if stage.trouble && !old.ends_within(Duration::from_secs(8))? {
        return Err(bad("the old process does not end"));
    }
    stage.append_log("old.log");
    stage.append_log("new.log");
    Ok(broken > 0)
}
