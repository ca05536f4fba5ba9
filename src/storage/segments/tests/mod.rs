mod compaction;
mod directory;
mod failures;
mod faulty_files;
mod recovery;

use super::*;
use faulty_files::FaultyFiles;

const LIMITS: SegmentLimits = SegmentLimits {
    segment_bytes: 600,
    total_bytes: 1 << 20,
};

fn page_content(spool: u64, page: u32) -> Vec<u8> {
    format!("spool {spool} page {page} ").repeat(8).into_bytes()
}

fn write_spool<F: SegmentFiles>(
    log: &mut SegmentLog<F>,
    spool: u64,
    pages: u32,
) -> Result<(), SegmentError> {
    log.begin_spool(spool, format!("begin {spool}").as_bytes())?;
    for page in 0..pages {
        log.append_page(spool, page + 1, &page_content(spool, page))?;
    }
    log.end_spool(spool, b"end")
}

fn write_spools<F: SegmentFiles>(
    log: &mut SegmentLog<F>,
    spools: impl IntoIterator<Item = u64>,
    pages: u32,
) {
    for spool in spools {
        write_spool(log, spool, pages).unwrap();
    }
}

/// Checks that the spool has exactly these pages.
fn check_spool<F: SegmentFiles>(log: &mut SegmentLog<F>, spool: u64, pages: u32) {
    for page in 0..pages {
        assert_eq!(
            log.read_page(spool, page).unwrap(),
            page_content(spool, page),
            "spool {spool}"
        );
    }
    assert!(matches!(
        log.read_page(spool, pages),
        Err(SegmentError::UnknownSpool(_))
    ));
}

fn open(files: &FaultyFiles) -> (SegmentLog<FaultyFiles>, Recovery) {
    SegmentLog::open(files.clone(), LIMITS).unwrap()
}

fn recovered_ids(recovery: &Recovery) -> Vec<u64> {
    recovery.spools.iter().map(|spool| spool.spool).collect()
}
