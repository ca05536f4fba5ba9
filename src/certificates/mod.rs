//! Rules for TLS certificates: which are accepted, which one a client receives, and when their
//! expiry is reported.
//!
//! All functions are pure: the time and the fields of a certificate are parameters. Times are
//! [`Millis`] since the Unix epoch.

mod expiry;
mod host_names;

pub use expiry::{CertificateError, ExpiryWarning, Validity, check_validity};
pub use host_names::{name_matches_host, select_for_host};

#[cfg(doc)]
use crate::decision::model::Millis;
