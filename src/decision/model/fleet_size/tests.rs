use super::{FleetEvidence, FleetSize};

#[test]
fn twice_the_number_may_run_while_it_is_unconfirmed() {
    let size = FleetSize::new(150);
    assert_eq!(size.expected(), 150.0);
    assert_eq!(size.upper_bound(0.0), 300.0);
}

#[test]
fn a_confirmation_expires() {
    let mut size = FleetSize::new(150);
    size.observe(FleetEvidence {
        min_dispatchers: 21,
        confirmed_until: Some(100.0),
    });
    assert_eq!(size.upper_bound(99.0), 150.0);
    assert_eq!(size.upper_bound(100.0), 300.0);
}

#[test]
fn more_dispatchers_seen_than_configured_are_counted() {
    let mut size = FleetSize::new(10);
    size.observe(FleetEvidence {
        min_dispatchers: 35,
        confirmed_until: None,
    });
    assert_eq!(size.expected(), 35.0);
    assert_eq!(size.upper_bound(0.0), 35.0);
}
