//! `[tls]`: TLS certificates of the MySQL frontend, and the requirements on clients.

use crate::config::{ConfigError, Problem};
use serde::Deserialize;
use std::path::PathBuf;

const MAX_CERTIFICATES: usize = 32;

/// Certificates of the server, and requirements on clients.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSettings {
    /// Oldest version that is accepted.
    pub min_version: TlsVersion,
    /// True if clients that do not use TLS are rejected.
    pub required: bool,
    /// File with the certificate authorities that may sign clients' certificates.
    pub client_ca: Option<PathBuf>,
    /// Certificates of the server.
    pub certificates: Vec<CertificateFiles>,
}

/// Version of TLS.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TlsVersion {
    /// TLS 1.2.
    Tls12,
    /// TLS 1.3.
    Tls13,
}

/// Files of one certificate, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateFiles {
    /// File with the certificate and its chain.
    pub chain: PathBuf,
    /// File with the private key of the certificate.
    pub private_key: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    min_version: Option<String>,
    #[serde(default)]
    required: bool,
    client_ca: Option<PathBuf>,
    #[serde(default)]
    key: Vec<RawKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    cert: PathBuf,
    key: PathBuf,
}

impl RawTls {
    /// Returns true if clients can authenticate with certificates.
    pub(super) fn trusts_client_certificates(&self) -> bool {
        self.client_ca.is_some()
    }

    pub(super) fn check(self) -> Result<TlsSettings, ConfigError> {
        if !(1..=MAX_CERTIFICATES).contains(&self.key.len()) {
            let max = MAX_CERTIFICATES;
            return Err(ConfigError::invalid(
                "tls.key",
                Problem::CertificateCount { max },
            ));
        }
        let certificates = self.key.into_iter().map(|raw| CertificateFiles {
            chain: raw.cert,
            private_key: raw.key,
        });
        Ok(TlsSettings {
            min_version: check_min_version(self.min_version)?,
            required: self.required,
            client_ca: self.client_ca,
            certificates: certificates.collect(),
        })
    }
}

fn check_min_version(configured: Option<String>) -> Result<TlsVersion, ConfigError> {
    match configured.as_deref() {
        None | Some("1.2") => Ok(TlsVersion::Tls12),
        Some("1.3") => Ok(TlsVersion::Tls13),
        Some(other) => {
            let problem = Problem::UnknownValue {
                text: other.into(),
                expected: "\"1.2\" or \"1.3\"",
            };
            Err(ConfigError::invalid("tls.min_version", problem))
        }
    }
}
