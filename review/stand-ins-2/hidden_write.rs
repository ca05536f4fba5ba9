//! A write behind a string that ends with a backslash, in a session with NO_BACKSLASH_ESCAPES; its engine dies before the
//! answer.

use crate::client::Client;
use crate::stage::*;
use crate::wire::bad;
use std::io;
use std::time::Duration;

/// One engine of six dies: up to 23% do.
const ENGINES: usize = 6;
const DELETE: &str = "WITH old AS (SELECT id FROM files WHERE dir = 'D:\\') DELETE FROM files WHERE id IN (SELECT id FROM old) \
                      LIMIT 10 /* late(1000) */";

pub fn play(stage: &Stage) -> io::Result<bool> {
    let mut fleet = stage.fleet(ENGINES, "")?;
    let mut client = Client::log_in(&fleet.listen, "guest", "guest")?;
    let set = "SET sql_mode = 'NO_BACKSLASH_ESCAPES'";
    stage.note(&format!("{set} -> {}", client.query(set)?));
    client.send(DELETE)?;
    stage.note(&format!("sent: {DELETE}"));
    let engine = stage.engine_of(&fleet, "committed: WITH old")?;
    if stage.trouble {
        fleet.engines[engine].signal("KILL")?;
        if !fleet.engines[engine].ends_within(Duration::from_secs(3))? {
            return Err(bad("the engine does not end"));
        }
        stage.note(&format!("engine-{engine} has committed it and dies before its answer"));
    }
    stage.note(&format!("answer: {}", client.answer()?));
    let committed = stage.lines(&fleet, "committed: WITH old");
    let runs: usize = committed.iter().map(Vec::len).sum();
    committed.iter().flatten().for_each(|line| stage.note(line));
    stage.note(&format!("the DELETE has run {runs} times"));
    stage.append_logs(&fleet);
    Ok(runs > 1)
}
