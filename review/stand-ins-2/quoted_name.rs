//! A bad client's SET, whose quoted name is no name; then sessions of another user.

use crate::client::Client;
use crate::stage::*;
use std::io;
use std::time::Duration;

const SESSIONS: usize = 24;
const BAD: &str = "SET `time_zone = '+05:00', sql_mode` = ''";

pub fn play(stage: &Stage) -> io::Result<bool> {
    let fleet = stage.fleet(2, "")?;
    if stage.trouble {
        let mut client = Client::log_in(&fleet.listen, "guest", "guest")?;
        stage.note(&format!("the bad client, as guest: {BAD} -> {}", client.query(BAD)?));
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut wrong = 0;
    for number in 0..SESSIONS {
        let mut client = Client::log_in(&fleet.listen, "till", "till")?;
        let zone = client.query("SELECT @@time_zone")?.text();
        stage.note(&format!("session {number} of till: SELECT @@time_zone -> {zone:?}"));
        wrong += usize::from(zone.is_some_and(|zone| zone != "SYSTEM"));
    }
    stage.note(&format!("{wrong} of {SESSIONS} sessions are in a time zone that their user has not set"));
    stage.append_logs(&fleet);
    Ok(wrong > 0)
}
