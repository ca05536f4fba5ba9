use super::*;

#[test]
fn certificate_is_accepted_within_its_validity_period() {
    let validity = Validity {
        not_before: 10.0 * DAY_MS,
        not_after: 20.0 * DAY_MS,
    };
    assert_eq!(check_validity(15.0 * DAY_MS, validity), Ok(()));
    assert_eq!(
        check_validity(10.0 * DAY_MS - HOUR_MS / 2.0, validity),
        Ok(()),
        "a clock half an hour behind is tolerated"
    );
    assert_eq!(
        check_validity(9.0 * DAY_MS, validity),
        Err(CertificateError::NotYetValid(24.0))
    );
    assert_eq!(
        check_validity(20.0 * DAY_MS, validity),
        Err(CertificateError::Expired(0.0))
    );
}

#[test]
fn expiry_warning_is_due_once_per_milestone() {
    const HOURS: u32 = 2424;
    let mut warning = ExpiryWarning::default();
    let not_after = 100.0 * DAY_MS;
    let warnings: Vec<i64> = (0..=HOURS)
        .filter_map(|hour| warning.due(f64::from(hour) * HOUR_MS, not_after))
        .map(|days_left| days_left.floor() as i64)
        .collect();
    assert_eq!(warnings, [30, 14, 7, 6, 5, 4, 3, 2, 1, 0, -1]);
}
