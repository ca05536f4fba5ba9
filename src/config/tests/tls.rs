//! Tests of `[tls]`.

use super::rejection;
use crate::config::tls::{CertificateFiles, RawTls, TlsVersion};

#[test]
fn an_invalid_key_is_named() {
    let check = |text: &str| toml::from_str::<RawTls>(text).unwrap().check();
    let key = "[[key]]\ncert = \"c\"\nkey = \"k\"\n";
    let valid = check(&format!("required = true\nmin_version = \"1.3\"\n{key}")).unwrap();
    assert!(valid.required);
    assert_eq!(valid.min_version, TlsVersion::Tls13);
    let files = CertificateFiles {
        chain: "c".into(),
        private_key: "k".into(),
    };
    assert_eq!(valid.certificates, [files]);
    assert!(rejection(check("")).starts_with("tls.key"));
    let message = rejection(check(&format!("min_version = \"1.1\"\n{key}")));
    assert!(message.starts_with("tls.min_version"), "{message}");
    assert!(check(&key.repeat(33)).is_err());
}
