//! A slow reader of a spooled result, whose dispatcher is restarted while it reads.

use crate::client::{Answer, Client};
use crate::engine::row_text;
use crate::stage::*;
use crate::wire::bad;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROWS: usize = 48_000;
const ROW_BYTES: usize = 1000;
/// `keep_s`, and the time for which the client reads before the restart.
const KEEP: Duration = Duration::from_secs(10);
const READ: Duration = Duration::from_secs(14);
/// How long the client stays away at least.
const AWAY: Duration = Duration::from_secs(4);

/// A row of SHOW HITCHWINCH RESULTS: handle, pages and rows.
pub struct Listed {
    pub handle: String,
    pub statement: String,
    pub pages: usize,
    pub rows: usize,
    pub line: String,
}

pub fn list(client: &mut Client) -> io::Result<Vec<Listed>> {
    let Answer::Rows(rows) = client.query("SHOW HITCHWINCH RESULTS")? else {
        return Err(bad("no list of results"));
    };
    let texts = rows.into_iter().map(|row| {
        let text = |value: Option<Vec<u8>>| String::from_utf8_lossy(&value.unwrap_or_default()).into_owned();
        row.into_iter().map(text).collect::<Vec<String>>()
    });
    Ok(texts
        .map(|row| Listed {
            handle: row[0].clone(),
            statement: row[1].clone(),
            pages: row[2].parse().unwrap_or(1),
            rows: row[3].parse().unwrap_or(0),
            line: row.join(" | "),
        })
        .collect())
}

/// Reads rows at about 1 MB a second for this time, or until the connection ends; returns the number of the next row.
pub fn read_slowly(client: &mut Client, span: Duration, row_bytes: usize) -> io::Result<usize> {
    let began = Instant::now();
    let mut next = 0;
    while began.elapsed() < span {
        let row = match client.row() {
            Ok(Ok(row)) => row,
            Ok(Err(end)) => return Err(bad(&format!("the result ended early, or was read too fast: {end}"))),
            Err(_) => return Ok(next),
        };
        check_row(&row, next, row_bytes)?;
        next += 1;
        if next % 64 == 0 {
            std::thread::sleep(Duration::from_millis(60));
        }
    }
    Ok(next)
}

pub fn check_row(row: &[Option<Vec<u8>>], number: usize, row_bytes: usize) -> io::Result<()> {
    let wanted = row_text(number, row_bytes).into_bytes();
    match row.first() {
        Some(Some(text)) if *text == wanted => Ok(()),
        _ => Err(bad(&format!("row {number} is another one"))),
    }
}

/// Fetches the pages from `page` on, and checks that the rows up to the end are those of the result; returns whether it
/// was all there.
pub fn fetch(stage: &Stage, client: &mut Client, listed: &Listed, next: usize, row_bytes: usize) -> io::Result<bool> {
    let rows_of_page = listed.rows.div_ceil(listed.pages.max(1));
    let page = (next / rows_of_page.max(1)).saturating_sub(1);
    let sql = format!("FETCH HITCHWINCH RESULT '{}' FROM PAGE {page}", listed.handle);
    client.send(&sql)?;
    if let Some(answer) = client.begin_rows()? {
        stage.note(&format!("{sql} -> {answer}"));
        return Ok(false);
    }
    let mut number: Option<usize> = None;
    loop {
        match client.row()? {
            Ok(row) => {
                let text = row.first().cloned().flatten().unwrap_or_default();
                let text = String::from_utf8_lossy(&text).into_owned();
                let first = text.split(':').next().and_then(|word| word.parse().ok()).unwrap_or(usize::MAX);
                let expected = *number.get_or_insert(first);
                check_row(&row, expected, row_bytes)?;
                number = Some(expected + 1);
            }
            Err(end) => {
                stage.note(&format!("{sql} -> rows up to {number:?}, then {end}"));
                return Ok(matches!(end, Answer::Ok) && number == Some(listed.rows));
            }
        }
    }
}

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
    let mut text = config(&listen, &admin, &listed, &format!("state_dir = \"{}\"", stage.path("state")));
    text.push_str(&format!(
        "[spool]\ndir = \"{}\"\nresult = \"64 MiB\"\nkeep_s = {}\n",
        stage.path("spool"),
        KEEP.as_secs()
    ));
    let mut dispatcher = stage.dispatcher("dispatcher", &text, None)?;
    started.lock().unwrap().push(dispatcher.id());
    wait_ready(&admin)?;

    let mut reader = Client::log_in(&listen, "guest", "guest")?;
    reader.send(&format!("SELECT r FROM report /* rows({ROWS}, {ROW_BYTES}) */"))?;
    if let Some(answer) = reader.begin_rows()? {
        return Err(bad(&format!("no result: {answer}")));
    }
    stage.note(&format!("the report of {ROWS} rows is whole; the client reads about 1 MB a second, keep_s is {}", KEEP.as_secs()));
    let next = read_slowly(&mut reader, READ, ROW_BYTES)?;
    let mut other = Client::log_in(&listen, "guest", "guest")?;
    let result = list(&mut other)?.pop().ok_or(bad("the result is not listed"))?;
    stage.note(&format!("SHOW HITCHWINCH RESULTS -> {}", result.line));
    stage.note(&format!("the client has read {next} rows"));
    drop(other);
    let left = Instant::now();
    if stage.trouble {
        dispatcher.signal("TERM")?;
        stage.note("SIGTERM: the dispatcher is restarted");
        let more = read_slowly_on(&mut reader, next, Duration::from_secs(3))?;
        stage.note(&format!("the client has read {more} rows when its link breaks"));
        // The links break with the process: what the client has not taken from its socket is lost.
        if !dispatcher.ends_within(Duration::from_secs(10))? {
            return Err(bad("the dispatcher does not end"));
        }
        dispatcher = stage.dispatcher("dispatcher", &text, None)?;
        started.lock().unwrap().push(dispatcher.id());
        wait_ready(&admin)?;
        stage.note("the new process is ready");
    }
    drop(reader);
    std::thread::sleep(AWAY.saturating_sub(left.elapsed()));
    let mut back = Client::log_in(&listen, "guest", "guest")?;
    stage.note(&format!("the client is back, {} ms after its last page", left.elapsed().as_millis()));
    let all_there = fetch(stage, &mut back, &result, next, ROW_BYTES)?;
    stage.append_log("dispatcher.log");
    drop(dispatcher);
    Ok(!all_there)
}

/// Reads on at the same pace for this time, or until the connection ends.
fn read_slowly_on(client: &mut Client, mut next: usize, span: Duration) -> io::Result<usize> {
    let began = Instant::now();
    while began.elapsed() < span {
        match client.row() {
            Ok(Ok(row)) => check_row(&row, next, ROW_BYTES)?,
            Ok(Err(end)) => return Err(bad(&format!("the result ended: {end}"))),
            Err(_) => return Ok(next),
        }
        next += 1;
        if next % 64 == 0 {
            std::thread::sleep(Duration::from_millis(60));
        }
    }
    Ok(next)
}
