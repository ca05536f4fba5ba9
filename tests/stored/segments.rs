//! Segment logs with fixed spools.

use query_dispatcher::storage::segments::{SegmentDirectory, SegmentLimits, SegmentLog};
use std::path::Path;

const LIMITS: SegmentLimits = SegmentLimits {
    segment_bytes: 1 << 16,
    total_bytes: 1 << 20,
};
/// Id of an incomplete spool.
const INCOMPLETE: u64 = 3;
/// Id of a complete spool with a compressed page.
const COMPRESSED: u64 = 7;
/// Id of a complete spool without pages.
const EMPTY: u64 = 0x0102_0304_0506;
/// Length of a page that is long enough to be compressed, in bytes.
const LONG_PAGE_BYTES: usize = 600;

/// Returns a page that compression makes shorter, and that contains bytes of many values.
fn long_page() -> Vec<u8> {
    (0..LONG_PAGE_BYTES)
        .map(|index| {
            if index % 3 == 0 {
                (index / 3) as u8
            } else {
                b'a'
            }
        })
        .collect()
}

/// Writes the fixed spools to a new log.
pub(crate) fn write_fixed(folder: &Path) {
    let (mut log, _) = SegmentLog::open(SegmentDirectory::new(folder).unwrap(), LIMITS).unwrap();
    log.begin_spool(INCOMPLETE, b"the beginning of a spool that does not end")
        .unwrap();
    log.append_page(INCOMPLETE, 1, b"its page").unwrap();
    log.begin_spool(COMPRESSED, b"the beginning of a whole one")
        .unwrap();
    log.append_page(COMPRESSED, 2, b"a short page").unwrap();
    log.append_page(COMPRESSED, 600, &long_page()).unwrap();
    log.end_spool(COMPRESSED, b"its end").unwrap();
    log.begin_spool(EMPTY, &[]).unwrap();
    log.end_spool(EMPTY, &[]).unwrap();
    log.sync().unwrap();
}

/// Returns the content of the log in a folder as text.
pub(crate) fn read_folder(folder: &Path) -> String {
    let (mut log, recovery) = match SegmentLog::open(SegmentDirectory::new(folder).unwrap(), LIMITS)
    {
        Ok(opened) => opened,
        Err(error) => return format!("  {error}\n"),
    };
    let mut text = format!(
        "  dropped {}, torn {}, missing {}\n",
        recovery.dropped_spools, recovery.truncated_bytes, recovery.missing_segments
    );
    for spool in recovery.spools {
        let (begin, end) = (spool.begin.escape_ascii(), spool.end.escape_ascii());
        text += &format!(
            "  spool {}: {} bytes stored, \"{begin}\" to \"{end}\"\n",
            spool.spool, spool.stored_bytes
        );
        for (page, recovered) in spool.pages.iter().enumerate() {
            let (rows, length) = (recovered.rows, recovered.content_bytes);
            let content = log
                .read_page(spool.spool, page as u32)
                .map_err(|error| error.to_string());
            let content = content.map(|content| content.escape_ascii().to_string());
            text += &format!("    page {page}, {rows} rows, {length} bytes: {content:?}\n");
        }
    }
    text
}
