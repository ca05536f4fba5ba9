//! Which keys are taken into use, which one a client is shown, and when their end is told ahead. Pure: the clock is
//! passed in, and what stands in a certificate.

use crate::decision::model::Millis;

/// From when until when a certificate holds, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    pub not_before: Millis,
    pub not_after: Millis,
}

/// Why a key is not taken into use; the one before stays.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CertificateError {
    #[error("it has expired {0:.0} hours ago")]
    Expired(f64),
    #[error("it does not hold before {0:.0} hours from now")]
    NotYetValid(f64),
}

const HOUR: Millis = 3_600_000.0;
const DAY: Millis = 24.0 * HOUR;
/// The end of a key is told when so many days are left, and on each of the last ones.
const AHEAD: [f64; 3] = [30.0, 14.0, 7.0];

/// Whether a certificate may be taken into use now. Clocks differ: an hour too early is no fault.
///
/// # Errors
/// It holds no longer, or not yet.
pub fn check_validity(now: Millis, v: Validity) -> Result<(), CertificateError> {
    match () {
        () if now >= v.not_after => Err(CertificateError::Expired((now - v.not_after) / HOUR)),
        () if now < v.not_before - HOUR => {
            Err(CertificateError::NotYetValid((v.not_before - now) / HOUR))
        }
        () => Ok(()),
    }
}

/// Tells the end of a key ahead: at 30, 14 and 7 days, then each day.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpiryWarning {
    /// The mark that was told last, in days.
    told: Option<f64>,
}

impl ExpiryWarning {
    /// Days that are left, if that is to be told now; below 0 it has expired.
    pub fn due(&mut self, now: Millis, until: Millis) -> Option<f64> {
        let left = (until - now) / DAY;
        let mark = match () {
            () if left > AHEAD[0] => return None,
            () if left > AHEAD[1] => AHEAD[0],
            () if left > AHEAD[2] => AHEAD[1],
            () => left.floor(),
        };
        (self.told != Some(mark)).then(|| {
            self.told = Some(mark);
            left
        })
    }
}

/// Whether a certificate's name covers this host: the same in any case, or `*.` for exactly one label.
pub fn name_matches_host(name: &str, host: &str) -> bool {
    let same = |a: &str, b: &str| a.eq_ignore_ascii_case(b);
    match (name.strip_prefix("*."), host.split_once('.')) {
        (Some(parent), Some((label, rest))) => !label.is_empty() && same(parent, rest),
        _ => same(name, host),
    }
}

/// The key for a client that names this host: the first that covers it, else the first of all.
pub fn select_for_host<'a>(
    names: impl IntoIterator<Item = &'a [String]>,
    host: Option<&str>,
) -> usize {
    let Some(host) = host else { return 0 };
    names
        .into_iter()
        .position(|n| n.iter().any(|n| name_matches_host(n, host)))
        .unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_taken_while_it_holds() {
        let v = Validity {
            not_before: 10.0 * DAY,
            not_after: 20.0 * DAY,
        };
        assert_eq!(check_validity(15.0 * DAY, v), Ok(()));
        assert_eq!(
            check_validity(10.0 * DAY - HOUR / 2.0, v),
            Ok(()),
            "a clock half an hour behind"
        );
        assert_eq!(
            check_validity(9.0 * DAY, v),
            Err(CertificateError::NotYetValid(24.0))
        );
        assert_eq!(
            check_validity(20.0 * DAY, v),
            Err(CertificateError::Expired(0.0))
        );
    }

    #[test]
    fn its_end_is_told_ahead_and_not_all_the_time() {
        let (mut n, until) = (ExpiryWarning::default(), 100.0 * DAY);
        let told: Vec<i64> = (0..=2424u32)
            .filter_map(|h| {
                n.due(f64::from(h) * HOUR, until)
                    .map(|left| left.floor() as i64)
            })
            .collect();
        assert_eq!(told, [30, 14, 7, 6, 5, 4, 3, 2, 1, 0, -1]);
    }

    #[test]
    fn a_host_is_covered_by_its_name_or_by_one_label() {
        for (name, host, wanted) in [
            ("db.example", "DB.example", true),
            ("*.example", "db.example", true),
            ("*.example", "a.db.example", false),
            ("*.example", "example", false),
            ("*.example", ".example", false),
            ("db.example", "db2.example", false),
        ] {
            assert_eq!(name_matches_host(name, host), wanted, "{name} and {host}");
        }
        let keys = [
            vec!["a.example".to_string()],
            vec!["b.example".into(), "*.c.example".into()],
        ];
        let of = |host| select_for_host(keys.iter().map(Vec::as_slice), host);
        assert_eq!(
            (
                of(Some("x.c.example")),
                of(Some("b.example")),
                of(Some("z")),
                of(None)
            ),
            (1, 1, 0, 0)
        );
    }
}
