//! The snapshot of the membership, stored as a record.

use query_dispatcher::membership::{PersistedInstance, SNAPSHOT_FORMAT_VERSION, Snapshot, Version};
use query_dispatcher::storage::{LocalFileSystem, RecordError, RecordKind, RecordStore};
use std::path::Path;

const FILE_NAME: &str = "members";
const MAX_CONTENT_BYTES: usize = 64 << 20;

fn store(folder: &Path) -> RecordStore {
    RecordStore::new(
        LocalFileSystem,
        folder,
        FILE_NAME,
        RecordKind {
            tag: *b"MEMB",
            version: SNAPSHOT_FORMAT_VERSION,
        },
        MAX_CONTENT_BYTES,
    )
}

/// Returns the content of the stored file, in which every optional field occurs with and without a value.
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
    let complete = PersistedInstance {
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
    let unusual_id = engine("host/../x:80 %\u{e9}", 4004, true);
    Snapshot {
        taken_at: 1_700_000_001_000.25,
        instances: vec![
            complete,
            engine("engine-2", 4002, true),
            draining,
            unusual_id,
        ],
    }
}

pub(crate) fn save_snapshot(folder: &Path, snapshot: &Snapshot) {
    store(folder)
        .save(&serde_json::to_vec(snapshot).unwrap())
        .unwrap();
}

/// Returns the snapshot in this folder, or the message of the error.
pub(crate) fn load_snapshot(folder: &Path) -> Result<Option<Snapshot>, String> {
    let parse = |content: &[u8]| {
        serde_json::from_slice(content).map_err(|error| RecordError::Content(error.to_string()))
    };
    store(folder).load(parse).map_err(|error| error.to_string())
}
