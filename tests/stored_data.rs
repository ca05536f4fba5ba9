//! Files that commit fb33aa2 wrote, under `tests/data/stored`: whatever names the program's parts have, it reads them
//! in full, tells the same of copies that are cut short, and writes the same bytes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "recorded/mysql_client.rs"]
mod mysql_client;
mod process;
#[path = "recorded/program.rs"]
mod program;
mod recorded;
mod stored;

use mysql_client::{MysqlClient, Packet, text};
use process::FakeService;
use program::{call, start_mysql};
use recorded::{TemporaryFolder, assert_recorded, data, file_names, mask_numbers};
use std::path::Path;
use std::time::{Duration, Instant};
use stored::members::{fixed_snapshot, load_snapshot, save_snapshot};
use stored::segments::{read_folder, write_fixed};

/// The user whose results are stored, with an empty password.
const USER: &str = "empty";
const MEMBERS: &str = "members";
const SEGMENT: &str = "segment-00000001";
const MANIFEST: &str = "manifest";
/// The folder of a process's spools.
const OWN: &str = "own-1-1";
/// The folder for state holds the dispatcher's files in a folder of this name.
const STATE: &str = "hitchwinch";

/// Shortens a file to so many bytes.
fn cut(file: &Path, length: usize) {
    let bytes = std::fs::read(file).unwrap();
    std::fs::write(file, &bytes[..length]).unwrap();
}

/// Bytes from the end of the last frames of the stored segment: the last spool's two, and one byte more and less.
const LAST_FRAMES: [usize; 5] = [40, 41, 79, 80, 81];

/// Lengths to which a file is cut, from nothing to all but one byte.
fn cuts(whole: usize) -> Vec<usize> {
    const STEPS: usize = 12;
    let mut cuts: Vec<usize> = (0..STEPS)
        .map(|step| step * whole / STEPS)
        .chain([8, 27, 28, whole - 1])
        .chain(LAST_FRAMES.map(|length| whole.saturating_sub(length)))
        .collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

fn length(file: &Path) -> usize {
    std::fs::metadata(file).unwrap().len() as usize
}

// ---- the snapshot of membership --------------------------------------------------------------------

#[test]
fn snapshot_round_trips() {
    let folder = TemporaryFolder::copy_of("stored/members", "members");
    assert_eq!(load_snapshot(folder.path()), Ok(Some(fixed_snapshot())));
    let fresh = TemporaryFolder::new("members-fresh");
    save_snapshot(fresh.path(), &fixed_snapshot());
    let read = |folder: &Path| std::fs::read(folder.join(MEMBERS)).unwrap();
    assert_eq!(
        read(fresh.path()),
        read(&data("stored/members")),
        "other bytes are written"
    );
    assert_eq!(file_names(fresh.path()), [MEMBERS]);
}

#[test]
fn snapshots_that_are_cut_short_are_set_aside() {
    let mut told = String::new();
    for length in cuts(length(&data("stored/members").join(MEMBERS))) {
        let folder = TemporaryFolder::copy_of("stored/members", &format!("members-{length}"));
        cut(&folder.path().join(MEMBERS), length);
        let error = load_snapshot(folder.path()).unwrap_err();
        let error = error.replace(folder.path().to_str().unwrap(), "(folder)");
        told += &format!(
            "{length} bytes: {error}; files {:?}\n",
            file_names(folder.path())
        );
    }
    assert_recorded("stored/members-cut.txt", &told);
}

/// The operators' file of a program whose registry never answers.
fn registry_file(registry: &FakeService, state: &Path) -> String {
    let eureka = format!(
        "[eureka]\nservers = [\"http://{}/eureka\"]\napp = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\n",
        registry.address
    );
    testbed::fixture::dispatcher_file(&format!("state_dir = {state:?}"), &eureka)
}

/// A folder for state as fb33aa2 left it: a snapshot of membership, and engines that are out by hand.
fn state_folder(name: &str) -> TemporaryFolder {
    TemporaryFolder::copy_of("stored/state", name)
}

#[test]
fn the_program_serves_the_snapshot_with_engines_out_by_hand() {
    const MOMENTARY: [&str; 8] = [
        "answered_age_ms",
        "failures",
        "last_failure_age_ms",
        "snapshot_age_ms",
        "state_age_ms",
        "started_age_ms",
        "since_age_ms",
        "turns",
    ];
    let (registry, folder) = (FakeService::down(), state_folder("state"));
    let (program, log) = start_mysql(&registry_file(&registry, folder.path()));
    let until = Instant::now() + Duration::from_secs(5);
    let page = loop {
        let page = call(program.admin, "GET", "/_members");
        if page.contains("\"serving\": true") {
            break page;
        }
        assert!(Instant::now() < until, "{page}");
        std::thread::sleep(Duration::from_millis(5));
    };
    let body = page.split_once("\r\n\r\n").unwrap().1;
    let body = body.replace(&registry.address.to_string(), "(registry)");
    assert_recorded("stored/state-members.txt", &mask_numbers(&body, &MOMENTARY));
    assert!(
        log.iter()
            .any(|line| line.starts_with("members: a snapshot of 4 engines, ")),
        "{log:?}"
    );
}

#[test]
fn the_program_sets_a_snapshot_that_is_cut_short_aside() {
    let (registry, folder) = (FakeService::down(), state_folder("state-cut"));
    let file = folder.path().join(STATE).join(MEMBERS);
    std::fs::copy(data("stored/cut").join(MEMBERS), &file).unwrap();
    let (_program, log) = start_mysql(&registry_file(&registry, folder.path()));
    let log = log
        .join("\n")
        .replace(folder.path().to_str().unwrap(), "(folder)");
    let names = file_names(&folder.path().join(STATE));
    let names = names
        .iter()
        .filter(|name| !name.starts_with("here-"))
        .map(|name| format!("{name}\n"));
    assert_recorded(
        "stored/state-cut.txt",
        &format!("{log}\n{}", names.collect::<String>()),
    );
}

// ---- engines that are out by hand ------------------------------------------------------------------

/// Their ids: plain, one that needs escapes in a file name, and an empty one.
const OUT_BY_HAND: [&str; 3] = ["", "engine-2", "host/../x:80 %\u{e9}"];

#[test]
fn engines_out_by_hand_are_read_and_written_alike() {
    let folder = state_folder("shared");
    assert_eq!(stored::shared::drained_engines(folder.path()), OUT_BY_HAND);
    let fresh = TemporaryFolder::new("shared-fresh");
    stored::shared::drain_engine(fresh.path(), &OUT_BY_HAND);
    let outs = |folder: &Path| {
        let names = file_names(&folder.join(STATE))
            .into_iter()
            .filter(|name| name.starts_with("out-"));
        names
            .map(|name| (length(&folder.join(STATE).join(&name)), name))
            .collect::<Vec<_>>()
    };
    assert_eq!(outs(fresh.path()), outs(&data("stored/state")));
    stored::shared::undrain(fresh.path(), &OUT_BY_HAND);
    assert_eq!(outs(fresh.path()), []);
}

/// These files are empty: what can be cut short is their names.
#[test]
fn names_that_are_cut_short_are_skipped_or_name_another_engine() {
    const WHOLE: &str = "out-host%2F..%2Fx%3A80%20%25%C3%A9";
    let mut told = String::new();
    for length in 1..WHOLE.len() {
        let folder = TemporaryFolder::new("shared-cut");
        std::fs::create_dir(folder.path().join(STATE)).unwrap();
        std::fs::write(folder.path().join(STATE).join(&WHOLE[..length]), []).unwrap();
        told += &format!(
            "{:?}: {:?}\n",
            &WHOLE[..length],
            stored::shared::drained_engines(folder.path())
        );
    }
    assert_recorded("stored/shared-cut.txt", &told);
}

// ---- spools ----------------------------------------------------------------------------------------

#[test]
fn segments_are_read_in_full_and_written_alike() {
    let folder = TemporaryFolder::copy_of("stored/segments", "segments");
    assert_recorded("stored/segments.txt", &read_folder(folder.path()));
    let fresh = TemporaryFolder::new("segments-fresh");
    write_fixed(fresh.path());
    for name in [MANIFEST, SEGMENT] {
        let read = |folder: &Path| std::fs::read(folder.join(name)).unwrap();
        assert!(
            read(fresh.path()) == read(&data("stored/segments")),
            "{name}: other bytes are written"
        );
    }
    assert_eq!(file_names(fresh.path()), [MANIFEST, SEGMENT]);
}

#[test]
fn segments_and_manifests_that_are_cut_short() {
    let mut told = String::new();
    for name in [SEGMENT, MANIFEST] {
        for length in cuts(length(&data("stored/segments").join(name))) {
            let folder =
                TemporaryFolder::copy_of("stored/segments", &format!("segments-{name}-{length}"));
            cut(&folder.path().join(name), length);
            let read =
                read_folder(folder.path()).replace(folder.path().to_str().unwrap(), "(folder)");
            told += &format!(
                "{name}, {length} bytes: files {:?}\n{read}",
                file_names(folder.path())
            );
        }
    }
    assert_recorded("stored/segments-cut.txt", &told);
}

/// The operators' file of a program that keeps results in this folder; its engine is never asked.
fn spool_file(folder: &Path) -> String {
    let engine = "[[engine]]\nid = \"engine-1\"\naddress = \"127.0.0.1:1\"\n";
    let user = "[[user]]\nname = \"empty\"\npassword = \"\"\n";
    let spool = format!(
        "[spool]\ndir = {:?}\nkeep_s = 604800\n",
        folder.join("spool")
    );
    testbed::fixture::dispatcher_file("", &format!("{user}{engine}{spool}"))
}

/// A listing of results with its last two columns, which count from now, left out: handles, statements and sizes.
fn listed(client: &mut MysqlClient) -> Vec<Vec<String>> {
    let packets = client.query("SHOW HITCHWINCH RESULTS");
    const COLUMNS: usize = 7;
    let rows = &packets[COLUMNS + 2..packets.len() - 1];
    let mut rows: Vec<_> = rows
        .iter()
        .map(|row| texts(&row.payload)[..COLUMNS - 2].to_vec())
        .collect();
    rows.sort();
    rows
}

/// The columns of a row whose texts are all shorter than 251 bytes.
fn texts(mut row: &[u8]) -> Vec<String> {
    let mut columns = vec![];
    while let Some((length, rest)) = row.split_first() {
        let (text, rest) = rest.split_at(usize::from(*length));
        columns.push(String::from_utf8(text.to_vec()).unwrap());
        row = rest;
    }
    columns
}

/// The answer's number of packets and the CRC-32 of them as text, or all of it where it is an error.
fn summary(packets: &[Packet]) -> String {
    match packets {
        [only] => only.text().trim().to_string(),
        all => format!(
            "{} packets, CRC-32 {:08x}",
            all.len(),
            crc32fast::hash(text(all).as_bytes())
        ),
    }
}

/// All results that the program gives back from a folder: the log of its start, the listing and the packets of each.
fn results_of(folder: &TemporaryFolder) -> String {
    let (program, log) = start_mysql(&spool_file(folder.path()));
    let mut told = log
        .join("\n")
        .replace(folder.path().to_str().unwrap(), "(folder)")
        + "\n";
    let mut client = MysqlClient::log_in(program.address, USER);
    for row in listed(&mut client) {
        told += &format!("{row:?}\n");
        let (handle, pages) = (&row[0], row[2].parse::<u32>().unwrap());
        for page in 0..=pages {
            let packets = client.query(&format!(
                "FETCH HITCHWINCH RESULT '{handle}' FROM PAGE {page}"
            ));
            told += &format!("  from page {page}: {}\n", summary(&packets));
        }
    }
    told
}

fn spool_folder(name: &str) -> TemporaryFolder {
    TemporaryFolder::copy_of("stored/spools", name)
}

#[test]
fn the_program_gives_stored_results_back() {
    assert_recorded("stored/spools.txt", &results_of(&spool_folder("spools")));
}

#[test]
fn the_program_gives_back_what_is_whole_of_a_segment_that_is_cut_short() {
    let folder = spool_folder("spools-cut");
    let file = folder.path().join("spool").join(OWN).join(SEGMENT);
    std::fs::copy(data("stored/cut").join(SEGMENT), file).unwrap();
    assert_recorded("stored/spools-cut.txt", &results_of(&folder));
}
