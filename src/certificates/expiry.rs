//! The validity period of a certificate, and the warnings before it ends.

use crate::decision::model::Millis;

#[cfg(test)]
mod tests;

const HOUR_MS: Millis = 3_600_000.0;
const DAY_MS: Millis = 24.0 * HOUR_MS;

/// Tolerance for a `not_before` in the future, in milliseconds, because clocks differ.
const CLOCK_SKEW_MS: Millis = HOUR_MS;

/// Days before the expiry at which the first warning is due.
const FIRST_WARNING_DAYS: f64 = 30.0;
/// Days before the expiry at which the second warning is due.
const SECOND_WARNING_DAYS: f64 = 14.0;
/// Days before the expiry from which on a warning is due each day.
const DAILY_WARNING_DAYS: f64 = 7.0;

/// The validity period of a certificate, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    /// The certificate is not valid before this time.
    pub not_before: Millis,
    /// The certificate has expired from this time on.
    pub not_after: Millis,
}

/// Why a certificate is rejected. The previous one stays in use.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CertificateError {
    /// The validity period ended this many hours ago.
    #[error("the certificate expired {0:.0} hours ago")]
    Expired(f64),
    /// The validity period begins in this many hours.
    #[error("the certificate is not valid until {0:.0} hours from now")]
    NotYetValid(f64),
}

/// Checks whether a certificate may be put into use now. A validity that begins up to one hour from
/// now is tolerated.
///
/// # Errors
/// The certificate has expired, or is not valid yet.
pub fn check_validity(now: Millis, validity: Validity) -> Result<(), CertificateError> {
    if now >= validity.not_after {
        let hours = (now - validity.not_after) / HOUR_MS;
        return Err(CertificateError::Expired(hours));
    }
    if now < validity.not_before - CLOCK_SKEW_MS {
        let hours = (validity.not_before - now) / HOUR_MS;
        return Err(CertificateError::NotYetValid(hours));
    }
    Ok(())
}

/// Determines when the expiry of one certificate is logged: 30, 14 and 7 days before it, and then each day.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpiryWarning {
    /// The milestone of the last warning, in days before the expiry.
    last_milestone: Option<f64>,
}

impl ExpiryWarning {
    /// Returns the number of days until the expiry at `not_after` if a warning is due now; negative
    /// after the expiry. Each milestone is returned once.
    pub fn due(&mut self, now: Millis, not_after: Millis) -> Option<f64> {
        let days_left = (not_after - now) / DAY_MS;
        let milestone = if days_left > FIRST_WARNING_DAYS {
            return None;
        } else if days_left > SECOND_WARNING_DAYS {
            FIRST_WARNING_DAYS
        } else if days_left > DAILY_WARNING_DAYS {
            SECOND_WARNING_DAYS
        } else {
            days_left.floor()
        };
        if self.last_milestone == Some(milestone) {
            return None;
        }
        self.last_milestone = Some(milestone);
        Some(days_left)
    }
}
