use super::*;
use crate::decision::tests::{assert_close, entry, settings};

fn engine() -> Engine {
    let mut settings = settings();
    settings.dispatchers = 32;
    Engine::new(&entry("e", Some(100.0)), &settings)
}

#[test]
fn a_budget_below_one_query_is_rounded_at_random() {
    let mut engine = engine();
    // 8 cores sustain 16 threads, for 32 dispatchers.
    assert_close(engine.thread_budget, 0.5);
    assert!(engine.is_budget_fractional(1.0) && !engine.is_budget_fractional(0.5));
    engine.budget_rounding = 0.75;
    assert_close(engine.rounded_budget(1.0), 1.25);
    assert_close(engine.rounded_budget(0.5), 0.5);
}

#[test]
fn capacity_grows_linearly_while_an_engine_is_warming_up() {
    let engine = engine();
    let rules = settings().rules;
    for (now, capacity) in [(100.0, 0.3), (600.0, 0.65), (1100.0, 1.0), (9000.0, 1.0)] {
        assert_close(engine.warm_up_capacity(&rules, 100.0, now), capacity);
    }
}

#[test]
fn a_single_failure_counts_half_and_decays_by_time() {
    let mut engine = engine();
    engine.record_outcome(Outcome::Cancelled);
    assert_eq!(engine.failure_rate(), 0.0);
    engine.record_outcome(Outcome::Reset);
    assert_close(engine.failure_rate(), 0.5);
    engine.record_outcome(Outcome::Served);
    assert_close(engine.failure_rate(), 0.85 / 2.85);
    engine.decay_failures();
    engine.decay_failures();
    assert_eq!(engine.failure_rate(), 0.0);
}

#[test]
fn a_silence_restarts_the_responsive_period() {
    let mut engine = engine();
    for (now, since) in [(10.0, 10.0), (15.0, 10.0), (20.0, 10.0), (26.0, 26.0)] {
        engine.record_activity(now, 5.0);
        assert_eq!(engine.responsive_since, since);
    }
}

#[test]
fn a_reported_table_lock_expires() {
    let mut engine = engine();
    engine.record_table_lock(0.0, 100.0, Some(7));
    engine.record_table_lock(50.0, 100.0, None);
    assert!(engine.is_table_locked(99.0, 100.0, 7));
    assert!(!engine.is_table_locked(100.0, 100.0, 7));
    assert!(!engine.is_table_locked(99.0, 100.0, 8));
}

#[test]
fn a_stale_report_does_not_limit_memory() {
    let mut engine = engine();
    let fields = [super::super::ReportField::MemoryGranted];
    assert!(engine.load.decode(0.0, &fields, &[0.75]));
    assert!(engine.has_memory_for(0.0, 256.0) && !engine.has_memory_for(0.0, 257.0));
    assert!(engine.has_memory_for(501.0, 257.0));
}
