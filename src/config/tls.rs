//! `[tls]`: the keys of the MySQL front.

use super::{ConfigError, bad};
use serde::Deserialize;
use std::path::PathBuf;

/// Keys and what is asked of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSettings {
    /// TLS 1.3 alone; else 1.2 as well.
    pub only_13: bool,
    /// Clients in the clear are turned away.
    pub required: bool,
    /// Whose certificates of clients are trusted.
    pub client_ca: Option<PathBuf>,
    /// Files of a certificate with its chain, and of its key.
    pub keys: Vec<(PathBuf, PathBuf)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTls {
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
    /// Certificates of clients can be trusted.
    pub fn knows_clients(&self) -> bool {
        self.client_ca.is_some()
    }

    /// # Errors
    /// No key is named, too many, or a version that is not known.
    pub fn check(self) -> Result<TlsSettings, ConfigError> {
        if !(1..=32).contains(&self.key.len()) {
            return Err(bad("tls.key", "1 to 32 keys are to be named"));
        }
        let only_13 = match self.min_version.as_deref() {
            None | Some("1.2") => false,
            Some("1.3") => true,
            Some(other) => {
                return Err(bad(
                    "tls.min_version",
                    format!("{other:?} is not 1.2 or 1.3"),
                ));
            }
        };
        let keys = self.key.into_iter().map(|k| (k.cert, k.key)).collect();
        Ok(TlsSettings {
            only_13,
            required: self.required,
            client_ca: self.client_ca,
            keys,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fault_names_its_key() {
        let check = |text: &str| toml::from_str::<RawTls>(text).unwrap().check();
        let key = "[[key]]\ncert = \"c\"\nkey = \"k\"\n";
        let good = check(&format!("required = true\nmin_version = \"1.3\"\n{key}")).unwrap();
        assert!(good.required && good.only_13 && good.keys == [("c".into(), "k".into())]);
        assert!(check("").unwrap_err().to_string().starts_with("tls.key"));
        let old = check(&format!("min_version = \"1.1\"\n{key}")).unwrap_err();
        assert!(old.to_string().starts_with("tls.min_version"), "{old}");
        assert!(check(&key.repeat(33)).is_err());
    }
}
