use super::*;

fn servers() -> Servers {
    let zones = ["b", "a", "b", "a"].map(|zone| Some(zone.to_string()));
    let mut random_numbers = [0.1, 0.9, 0.2, 0.3].into_iter();
    Servers::new(&zones, Some("a"), || random_numbers.next().unwrap())
}

#[test]
fn servers_of_the_own_zone_come_first_and_others_in_random_order() {
    assert_eq!(servers().choose(0.0, 4), [3, 1, 0, 2]);
    assert_eq!(servers().choose(0.0, 2), [3, 1]);
}

#[test]
fn a_failed_server_is_skipped_until_its_backoff_ends() {
    let mut servers = servers();
    servers.record_failure(0.0, 3, 0.0);
    assert_eq!(
        servers.choose(1.0, 2),
        [1, 0],
        "the failed server is skipped"
    );
    assert_eq!(servers.next_retry(1.0), Some(500.0));
    assert_eq!(servers.choose(500.0, 2), [3, 1], "the backoff has ended");
    servers.record_success(3);
    assert_eq!(servers.next_retry(500.0), None);
}

#[test]
fn backoffs_double_up_to_the_maximum_and_depend_on_the_random_number() {
    let mut servers = servers();
    let mut backoffs = vec![];
    for random in [1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.0] {
        servers.record_failure(0.0, 0, random);
        backoffs.push(servers.next_retry(0.0).unwrap());
    }
    assert_eq!(backoffs, [1e3, 2e3, 4e3, 8e3, 16e3, 30e3, 30e3, 15e3]);
    (0..4).for_each(|index| servers.record_failure(0.0, index, 1.0));
    assert!(
        servers.choose(10.0, 4).is_empty(),
        "all servers are in backoff"
    );
    assert!(!servers.choose(1_000.0, 4).is_empty());
}
