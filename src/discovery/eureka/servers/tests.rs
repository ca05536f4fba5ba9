use super::*;

fn servers() -> Servers {
    let zones = ["b", "a", "b", "a"].map(|z| Some(z.to_string()));
    let mut draws = [0.1, 0.9, 0.2, 0.3].into_iter();
    Servers::new(&zones, Some("a"), || draws.next().unwrap())
}

#[test]
fn the_own_zone_goes_first_and_draws_spread_the_rest() {
    assert_eq!(servers().choose(0.0, 4), [3, 1, 0, 2]);
    assert_eq!(servers().choose(0.0, 2), [3, 1]);
}

#[test]
fn a_failed_server_is_passed_over_and_returned_to() {
    let mut s = servers();
    s.failed(0.0, 3, 0.0);
    assert_eq!(s.choose(1.0, 2), [1, 0], "fail-over");
    assert_eq!(s.next_retry(1.0), Some(500.0));
    assert_eq!(s.choose(500.0, 2), [3, 1], "return");
    s.answered(3);
    assert_eq!(s.next_retry(500.0), None);
}

#[test]
fn pauses_double_up_to_a_bound_and_differ_by_the_draw() {
    let mut s = servers();
    let mut pauses = vec![];
    for draw in [1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.0] {
        s.failed(0.0, 0, draw);
        pauses.push(s.next_retry(0.0).unwrap());
    }
    assert_eq!(pauses, [1e3, 2e3, 4e3, 8e3, 16e3, 30e3, 30e3, 15e3]);
    (0..4).for_each(|i| s.failed(0.0, i, 1.0));
    assert!(s.choose(10.0, 4).is_empty(), "all rest");
    assert!(!s.choose(1_000.0, 4).is_empty());
}
