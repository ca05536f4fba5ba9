use super::*;
use crate::decision::tests::{assert_close, entry, settings};

fn engine(settings: &Settings) -> Engine {
    Engine::new(&entry("e", None), settings)
}

#[test]
fn utilization_is_unknown_without_a_report() {
    let settings = settings();
    let utilization = Utilization::new(&settings);
    assert_eq!(utilization.observed(&engine(&settings), 0.0), None);
}

#[test]
fn utilization_is_the_larger_of_threads_and_memory() {
    let mut settings = settings();
    settings.report_fields = vec![ReportField::Inflight, ReportField::MemoryGranted];
    let utilization = Utilization::new(&settings);
    let mut engine = engine(&settings);
    // 8 cores sustain 16 threads.
    let fields = &settings.report_fields;
    assert!(engine.load.decode(0.0, fields, &[4.0, 0.1]));
    assert_close(utilization.observed(&engine, 0.0).unwrap(), 0.25);
    assert!(engine.load.decode(0.0, fields, &[4.0, 0.5]));
    assert_close(utilization.observed(&engine, 0.0).unwrap(), 0.5);
    assert_eq!(utilization.observed(&engine, 501.0), None, "a stale report");
}

#[test]
fn threads_follow_from_idle_cores_if_queries_are_not_reported() {
    let mut settings = settings();
    settings.report_fields = vec![ReportField::CpuBusy];
    let utilization = Utilization::new(&settings);
    let mut engine = engine(&settings);
    let busy = 1.0 - (-1.0_f64).exp();
    assert!(engine.load.decode(0.0, &settings.report_fields, &[busy]));
    // One thread per core, of the two that a core sustains.
    assert_close(utilization.observed(&engine, 0.0).unwrap(), 0.5);
}

#[test]
fn a_zone_is_known_once_its_samples_weigh_three() {
    let mut utilization = Utilization::new(&settings());
    for _ in 0..3 {
        utilization.record(Some(1), 2.0);
    }
    assert_eq!(utilization.known_zones().count(), 0, "their weight decays");
    utilization.record(Some(1), 2.0);
    assert_eq!(utilization.known_zones().count(), 1);
    assert_close(utilization.zone(Some(1)), 2.0);
    assert_eq!(utilization.zone(Some(2)), 0.0);
}
