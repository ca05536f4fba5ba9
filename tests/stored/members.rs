//! The snapshot of membership as a record.

use query_dispatcher::membership::{PersistedInstance, SNAPSHOT_FORMAT_VERSION, Snapshot, Version};
use query_dispatcher::storage::{LocalFileSystem, RecordError, RecordKind, RecordStore};
use std::path::Path;

const FILE: &str = "members";
const MOST_BYTES: usize = 64 << 20;

fn store(folder: &Path) -> RecordStore {
    RecordStore::new(
        LocalFileSystem,
        folder,
        FILE,
        RecordKind {
            tag: *b"MEMB",
            version: SNAPSHOT_FORMAT_VERSION,
        },
        MOST_BYTES,
    )
}

/// What the stored file holds: every field with and without a value.
pub(crate) fn fixed_snapshot() -> Snapshot {
    let engine = |id: &str, port: u16, in_service: bool| PersistedInstance {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: None,
        kind: None,
        in_service,
        since: 1_700_000_000_000.0,
        newest_version: Version::new(0, 0),
        drained_version: None,
        started_at: None,
    };
    let whole = PersistedInstance {
        zone: Some("north".into()),
        kind: Some("gen-a".into()),
        newest_version: Version::new(1_700_000_000_123, 1_700_000_000_456),
        drained_version: Some(Version::new(1_600_000_000_123, 1_600_000_000_456)),
        started_at: Some(1_699_999_999_999.5),
        ..engine("engine-1", 4001, true)
    };
    let drained = Version::new(1_700_000_000_789, 1_700_000_000_790);
    let draining = PersistedInstance {
        newest_version: drained,
        drained_version: Some(drained),
        ..engine("engine-3", 4003, false)
    };
    let odd = engine("host/../x:80 %\u{e9}", 4004, true);
    Snapshot {
        taken_at: 1_700_000_001_000.25,
        instances: vec![whole, engine("engine-2", 4002, true), draining, odd],
    }
}

pub(crate) fn save_snapshot(folder: &Path, snapshot: &Snapshot) {
    store(folder)
        .save(&serde_json::to_vec(snapshot).unwrap())
        .unwrap();
}

/// The snapshot in this folder, or the message that tells why there is none.
pub(crate) fn load_snapshot(folder: &Path) -> Result<Option<Snapshot>, String> {
    let read = |content: &[u8]| {
        serde_json::from_slice(content).map_err(|error| RecordError::Content(error.to_string()))
    };
    store(folder).load(read).map_err(|error| error.to_string())
}
