//! Compatibility with stored files: the files under `tests/data/stored` were written by commit fb33aa2. The
//! program has to read them in full, report truncated copies of them as recorded, and write the same bytes.

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

/// User whose results are stored, with an empty password.
const USER: &str = "empty";
const MEMBERS: &str = "members";
const SEGMENT: &str = "segment-00000001";
const MANIFEST: &str = "manifest";
/// Name of the folder that contains the spools of a process.
const OWN_DIRECTORY: &str = "own-1-1";
/// Name of the folder below the state folder that contains the files of the dispatcher.
const STATE: &str = "hitchwinch";

/// Truncates a file to this length, in bytes.
fn truncate(file: &Path, length: usize) {
    let bytes = std::fs::read(file).unwrap();
    std::fs::write(file, &bytes[..length]).unwrap();
}

/// Distances from the end of the stored segment, in bytes, at which it is truncated: at and next to the
/// starts of its last two frames, which are those of the last spool.
const NEAR_LAST_FRAMES: [usize; 5] = [40, 41, 79, 80, 81];

/// Returns the lengths to which a file is truncated, from 0 to all but one byte.
fn truncated_lengths(file_length: usize) -> Vec<usize> {
    const STEPS: usize = 12;
    let mut lengths: Vec<usize> = (0..STEPS)
        .map(|step| step * file_length / STEPS)
        .chain([8, 27, 28, file_length - 1])
        .chain(NEAR_LAST_FRAMES.map(|length| file_length.saturating_sub(length)))
        .collect();
    lengths.sort_unstable();
    lengths.dedup();
    lengths
}

fn length(file: &Path) -> usize {
    std::fs::metadata(file).unwrap().len() as usize
}

// ---- snapshot of the membership --------------------------------------------------------------------

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
        "the written bytes differ"
    );
    assert_eq!(file_names(fresh.path()), [MEMBERS]);
}

#[test]
fn truncated_snapshots_are_quarantined() {
    let mut text = String::new();
    for length in truncated_lengths(length(&data("stored/members").join(MEMBERS))) {
        let folder = TemporaryFolder::copy_of("stored/members", &format!("members-{length}"));
        truncate(&folder.path().join(MEMBERS), length);
        let error = load_snapshot(folder.path()).unwrap_err();
        let error = error.replace(folder.path().to_str().unwrap(), "(folder)");
        text += &format!(
            "{length} bytes: {error}; files {:?}\n",
            file_names(folder.path())
        );
    }
    assert_recorded("stored/members-cut.txt", &text);
}

/// Returns the configuration of a program whose registry never responds.
fn registry_configuration(registry: &FakeService, state: &Path) -> String {
    let eureka = format!(
        "[eureka]\nservers = [\"http://{}/eureka\"]\napp = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\n",
        registry.address
    );
    testbed::fixture::dispatcher_file(&format!("state_dir = {state:?}"), &eureka)
}

/// Returns a copy of the state folder that fb33aa2 wrote: a snapshot of the membership, and administratively
/// drained engines.
fn state_folder(name: &str) -> TemporaryFolder {
    TemporaryFolder::copy_of("stored/state", name)
}

#[test]
fn the_program_serves_the_snapshot_with_drained_engines() {
    const TIME_DEPENDENT_KEYS: [&str; 8] = [
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
    let (program, log) = start_mysql(&registry_configuration(&registry, folder.path()));
    let deadline = Instant::now() + Duration::from_secs(5);
    let page = loop {
        let page = call(program.admin, "GET", "/_members");
        if page.contains("\"serving\": true") {
            break page;
        }
        assert!(Instant::now() < deadline, "{page}");
        std::thread::sleep(Duration::from_millis(5));
    };
    let body = page.split_once("\r\n\r\n").unwrap().1;
    let body = body.replace(&registry.address.to_string(), "(registry)");
    assert_recorded(
        "stored/state-members.txt",
        &mask_numbers(&body, &TIME_DEPENDENT_KEYS),
    );
    assert!(
        log.iter()
            .any(|line| line.starts_with("members: a snapshot of 4 engines, ")),
        "{log:?}"
    );
}

#[test]
fn the_program_quarantines_a_truncated_snapshot() {
    let (registry, folder) = (FakeService::down(), state_folder("state-cut"));
    let file = folder.path().join(STATE).join(MEMBERS);
    std::fs::copy(data("stored/cut").join(MEMBERS), &file).unwrap();
    let (_program, log) = start_mysql(&registry_configuration(&registry, folder.path()));
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

// ---- administratively drained engines --------------------------------------------------------------

/// Ids of the drained engines: an empty one, a plain one, and one that has to be escaped in a file name.
const DRAINED_ENGINES: [&str; 3] = ["", "engine-2", "host/../x:80 %\u{e9}"];

#[test]
fn drained_engines_are_read_and_written_as_recorded() {
    let folder = state_folder("shared");
    assert_eq!(
        stored::shared::drained_engines(folder.path()),
        DRAINED_ENGINES
    );
    let fresh = TemporaryFolder::new("shared-fresh");
    stored::shared::drain_engines(fresh.path(), &DRAINED_ENGINES);
    let drained_files = |folder: &Path| {
        let names = file_names(&folder.join(STATE))
            .into_iter()
            .filter(|name| name.starts_with("out-"));
        names
            .map(|name| (length(&folder.join(STATE).join(&name)), name))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        drained_files(fresh.path()),
        drained_files(&data("stored/state"))
    );
    stored::shared::undrain_engines(fresh.path(), &DRAINED_ENGINES);
    assert_eq!(drained_files(fresh.path()), []);
}

/// The files of drained engines are empty, so only their names can be truncated.
#[test]
fn truncated_names_are_skipped_or_name_another_engine() {
    const FILE_NAME: &str = "out-host%2F..%2Fx%3A80%20%25%C3%A9";
    let mut text = String::new();
    for length in 1..FILE_NAME.len() {
        let folder = TemporaryFolder::new("shared-cut");
        std::fs::create_dir(folder.path().join(STATE)).unwrap();
        std::fs::write(folder.path().join(STATE).join(&FILE_NAME[..length]), []).unwrap();
        text += &format!(
            "{:?}: {:?}\n",
            &FILE_NAME[..length],
            stored::shared::drained_engines(folder.path())
        );
    }
    assert_recorded("stored/shared-cut.txt", &text);
}

// ---- spools ----------------------------------------------------------------------------------------

#[test]
fn segments_are_read_in_full_and_written_as_recorded() {
    let folder = TemporaryFolder::copy_of("stored/segments", "segments");
    assert_recorded("stored/segments.txt", &read_folder(folder.path()));
    let fresh = TemporaryFolder::new("segments-fresh");
    write_fixed(fresh.path());
    for name in [MANIFEST, SEGMENT] {
        let read = |folder: &Path| std::fs::read(folder.join(name)).unwrap();
        assert!(
            read(fresh.path()) == read(&data("stored/segments")),
            "{name}: the written bytes differ"
        );
    }
    assert_eq!(file_names(fresh.path()), [MANIFEST, SEGMENT]);
}

#[test]
fn truncated_segments_and_manifests_are_read_as_recorded() {
    let mut text = String::new();
    for name in [SEGMENT, MANIFEST] {
        for length in truncated_lengths(length(&data("stored/segments").join(name))) {
            let folder =
                TemporaryFolder::copy_of("stored/segments", &format!("segments-{name}-{length}"));
            truncate(&folder.path().join(name), length);
            let read =
                read_folder(folder.path()).replace(folder.path().to_str().unwrap(), "(folder)");
            text += &format!(
                "{name}, {length} bytes: files {:?}\n{read}",
                file_names(folder.path())
            );
        }
    }
    assert_recorded("stored/segments-cut.txt", &text);
}

/// Returns the configuration of a program that spools results in this folder. The engine never receives a
/// request.
fn spool_configuration(folder: &Path) -> String {
    let engine = "[[engine]]\nid = \"engine-1\"\naddress = \"127.0.0.1:1\"\n";
    let user = "[[user]]\nname = \"empty\"\npassword = \"\"\n";
    let spool = format!(
        "[spool]\ndir = {:?}\nkeep_s = 604800\n",
        folder.join("spool")
    );
    testbed::fixture::dispatcher_file("", &format!("{user}{engine}{spool}"))
}

/// Returns the listed results without the last two columns, which depend on the current time: handles,
/// statements and sizes.
fn list_results(client: &mut MysqlClient) -> Vec<Vec<String>> {
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

/// Returns the columns of a row, each of which is shorter than 251 bytes.
fn texts(mut row: &[u8]) -> Vec<String> {
    let mut columns = vec![];
    while let Some((length, rest)) = row.split_first() {
        let (text, rest) = rest.split_at(usize::from(*length));
        columns.push(String::from_utf8(text.to_vec()).unwrap());
        row = rest;
    }
    columns
}

/// Returns the number of packets of a response and the CRC-32 of their text, or the whole response if it is a
/// single packet.
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

/// Returns the results that the program serves from a folder as text: the log of its start, the listing and
/// the packets of each result.
fn results_of(folder: &TemporaryFolder) -> String {
    let (program, log) = start_mysql(&spool_configuration(folder.path()));
    let mut text = log
        .join("\n")
        .replace(folder.path().to_str().unwrap(), "(folder)")
        + "\n";
    let mut client = MysqlClient::log_in(program.address, USER);
    for row in list_results(&mut client) {
        text += &format!("{row:?}\n");
        let (handle, pages) = (&row[0], row[2].parse::<u32>().unwrap());
        for page in 0..=pages {
            let packets = client.query(&format!(
                "FETCH HITCHWINCH RESULT '{handle}' FROM PAGE {page}"
            ));
            text += &format!("  from page {page}: {}\n", summary(&packets));
        }
    }
    text
}

fn spool_folder(name: &str) -> TemporaryFolder {
    TemporaryFolder::copy_of("stored/spools", name)
}

#[test]
fn the_program_serves_stored_results() {
    assert_recorded("stored/spools.txt", &results_of(&spool_folder("spools")));
}

#[test]
fn the_program_serves_the_complete_results_of_a_truncated_segment() {
    let folder = spool_folder("spools-cut");
    let file = folder
        .path()
        .join("spool")
        .join(OWN_DIRECTORY)
        .join(SEGMENT);
    std::fs::copy(data("stored/cut").join(SEGMENT), file).unwrap();
    assert_recorded("stored/spools-cut.txt", &results_of(&folder));
}
