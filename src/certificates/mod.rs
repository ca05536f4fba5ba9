//! TLS certificates: which may be put into service, which one a client gets, and when to warn of their expiry.
//!
//! Everything here is pure: the time and the fields of a certificate are parameters. Times are [`Millis`] on the Unix
//! clock.

mod expiry;
mod host_names;

pub use expiry::{CertificateError, ExpiryWarning, Validity, check_validity};
pub use host_names::{name_matches_host, select_for_host};

#[cfg(doc)]
use crate::decision::model::Millis;
