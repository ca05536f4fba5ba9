//! Segments of spools.

use query_dispatcher::storage::segments::{SegmentDirectory, SegmentLimits, SegmentLog};
use std::path::Path;

const LIMITS: SegmentLimits = SegmentLimits {
    segment_bytes: 1 << 16,
    total_bytes: 1 << 20,
};
/// The first never ends, the others are whole; the second is packed, the third has no page.
const UNFINISHED: u64 = 3;
const PACKED: u64 = 7;
const EMPTY: u64 = 0x0102_0304_0506;
/// A page that is long enough to be packed.
const LONG_PAGE: usize = 600;

/// A page that packing makes shorter, with some bytes of every value.
fn long_page() -> Vec<u8> {
    (0..LONG_PAGE)
        .map(|index| {
            if index % 3 == 0 {
                (index / 3) as u8
            } else {
                b'a'
            }
        })
        .collect()
}

/// Writes the fixed spools.
pub(crate) fn write_fixed(folder: &Path) {
    let (mut segments, _) =
        SegmentLog::open(SegmentDirectory::new(folder).unwrap(), LIMITS).unwrap();
    segments
        .begin_spool(UNFINISHED, b"the beginning of a spool that does not end")
        .unwrap();
    segments.append_page(UNFINISHED, 1, b"its page").unwrap();
    segments
        .begin_spool(PACKED, b"the beginning of a whole one")
        .unwrap();
    segments.append_page(PACKED, 2, b"a short page").unwrap();
    segments.append_page(PACKED, 600, &long_page()).unwrap();
    segments.end_spool(PACKED, b"its end").unwrap();
    segments.begin_spool(EMPTY, &[]).unwrap();
    segments.end_spool(EMPTY, &[]).unwrap();
    segments.sync().unwrap();
}

/// All that a folder holds, as text.
pub(crate) fn read_folder(folder: &Path) -> String {
    let (mut segments, found) =
        match SegmentLog::open(SegmentDirectory::new(folder).unwrap(), LIMITS) {
            Ok(opened) => opened,
            Err(error) => return format!("  {error}\n"),
        };
    let mut told = format!(
        "  dropped {}, torn {}, missing {}\n",
        found.dropped_spools, found.truncated_bytes, found.missing_segments
    );
    for spool in found.spools {
        let (begin, end) = (spool.begin.escape_ascii(), spool.end.escape_ascii());
        told += &format!(
            "  spool {}: {} bytes stored, \"{begin}\" to \"{end}\"\n",
            spool.spool, spool.stored_bytes
        );
        for (page, recovered) in spool.pages.iter().enumerate() {
            let (rows, length) = (recovered.rows, recovered.content_bytes);
            let content = segments
                .read_page(spool.spool, page as u32)
                .map_err(|error| error.to_string());
            let content = content.map(|content| content.escape_ascii().to_string());
            told += &format!("    page {page}, {rows} rows, {length} bytes: {content:?}\n");
        }
    }
    told
}
