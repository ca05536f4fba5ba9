use super::*;
use ReportField::{CpuBusy, DiskBusy, Inflight, MemoryGranted};

#[test]
fn a_report_is_decoded_by_its_fields() {
    let mut load = LoadReport::default();
    assert!(!load.is_known() && !load.is_fresh(0.0));
    let fields = [Inflight, DiskBusy, CpuBusy, MemoryGranted];
    assert!(load.decode(10.0, &fields, &[3.0, 0.9, 0.5]));
    assert_eq!(load.inflight, 3.0);
    assert_eq!(load.cpu_busy, 0.5);
    assert_eq!(load.memory_granted, 0.0, "absent in a short report");
    assert!(load.is_known() && load.is_fresh(510.0) && !load.is_fresh(511.0));
}

#[test]
fn an_invalid_report_changes_nothing() {
    let mut load = LoadReport::default();
    for report in [&[][..], &[f64::NAN], &[f64::INFINITY], &[-1.0]] {
        assert!(!load.decode(10.0, &[Inflight], report), "{report:?}");
        assert!(!load.is_known());
    }
}
