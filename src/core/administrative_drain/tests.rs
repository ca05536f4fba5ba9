use super::*;

fn entry(state: EngineState, started: Option<Millis>) -> EngineEntry {
    EngineEntry {
        engine: "a".into(),
        state,
        started,
        kind: None,
        zone: None,
        cell: 0,
    }
}

#[test]
fn a_drain_overrides_ready_and_nothing_else() {
    let mut drains = AdministrativeDrains::default();
    assert!(drains.drain("a"));
    assert!(!drains.drain("a"), "it is already drained");
    let state = |listed| drains.apply_to(entry(listed, None)).state;
    assert_eq!(state(EngineState::Ready), EngineState::Draining);
    assert_eq!(state(EngineState::Draining), EngineState::Draining);
    assert_eq!(state(EngineState::Gone), EngineState::Gone);
}

#[test]
fn an_engine_counts_as_restarted_when_its_drain_ends() {
    let mut drains = AdministrativeDrains::default();
    assert!(!drains.undrain("a"), "it was not drained");
    drains.drain("a");
    assert!(drains.undrain("a"));
    drains.record_restart(500.0, "a");
    let started = |listed| drains.apply_to(entry(EngineState::Ready, listed)).started;
    assert_eq!(started(None), Some(500.0));
    assert_eq!(started(Some(400.0)), Some(500.0));
    assert_eq!(started(Some(600.0)), Some(600.0));
}

#[test]
fn a_restart_time_is_removed_with_its_engine_and_by_the_next_drain() {
    let started =
        |drains: &AdministrativeDrains| drains.apply_to(entry(EngineState::Ready, None)).started;
    let mut drains = AdministrativeDrains::default();
    drains.record_restart(500.0, "a");
    drains.retain_restarts(|engine| engine == "a");
    assert_eq!(started(&drains), Some(500.0));
    drains.retain_restarts(|_| false);
    assert_eq!(started(&drains), None);
    drains.record_restart(500.0, "a");
    drains.drain("a");
    assert_eq!(started(&drains), None);
}
