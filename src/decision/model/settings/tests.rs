use super::*;
use crate::decision::tests::settings;

fn problem(change: impl FnOnce(&mut Settings)) -> Option<String> {
    let mut settings = settings();
    change(&mut settings);
    settings.check().err().map(|error| error.to_string())
}

#[test]
fn the_first_invalid_field_is_named_by_its_key() {
    assert_eq!(problem(|_| {}), None);
    let expect = |problem: Option<String>, expected: &str| {
        assert_eq!(problem.as_deref(), Some(expected));
    };
    expect(problem(|s| s.classes.clear()), "classes: no class");
    expect(
        problem(|s| s.dispatchers = 0),
        "gateways: must be at least 1",
    );
    expect(
        problem(|s| s.classes[1].threads = 0.5),
        "classes[1].threads: must be at least 1",
    );
    expect(
        problem(|s| s.classes[0].priority_weight = 0.0),
        "classes[0].worth: must be above 0",
    );
    expect(
        problem(|s| s.classes[0].allowed_kinds = Some(vec![0, 1])),
        "classes[0].only_kinds: names no listed kind",
    );
    expect(
        problem(|s| s.kinds[0].cores = 0.0),
        "kinds[0].cores: must be above 0",
    );
    expect(
        problem(|s| s.rules.overload_window = f64::NAN),
        "rules.fall_window: must be finite and not negative",
    );
}

#[test]
fn a_class_allows_only_listed_zones_and_kinds() {
    let mut class = settings().classes.remove(0);
    assert!(class.allows(None, None));
    class.allowed_zones = Some(vec![1]);
    class.allowed_kinds = Some(vec![0]);
    assert!(class.allows(Some(1), Some(0)));
    assert!(!class.allows(Some(0), Some(0)));
    assert!(!class.allows(Some(1), Some(1)));
    assert!(
        !class.allows(None, Some(0)),
        "an unknown zone is not allowed"
    );
}
