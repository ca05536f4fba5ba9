//! Certificates and private keys of the MySQL listener: loaded together from their files, and
//! replaced while serving without affecting open sessions. [`crate::certificates`] decides which
//! are accepted and when expiry is reported.

use crate::certificates::{self, CertificateError, ExpiryWarning, Validity};
use crate::clock::wall_clock_millis;
use crate::config::tls::{CertificateFiles, TlsSettings, TlsVersion};
use crate::log_line;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio_rustls::rustls::crypto::{CryptoProvider, ring};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, pem};
use tokio_rustls::rustls::server::danger::ClientCertVerifier;
use tokio_rustls::rustls::server::{ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use tokio_rustls::rustls::sign::CertifiedKey;
use tokio_rustls::rustls::{self, RootCertStore, ServerConfig, version};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// Interval between checks of the files and of the certificates' expiry.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of one file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why certificates and keys could not be loaded. The path is that of the file concerned.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The file is larger than 1 MiB.
    #[error("{0}: larger than 1 MiB")]
    TooLarge(PathBuf),
    /// The file is not valid PEM, or has no private key where one is expected.
    #[error("{0}: {1}")]
    Pem(PathBuf, pem::Error),
    /// The file has no certificate.
    #[error("{0}: contains no certificate")]
    NoCertificate(PathBuf),
    /// The certificate is not accepted, for instance because it has expired.
    #[error("{0}: {1}")]
    Rejected(PathBuf, CertificateError),
    /// The certificate is not valid X.509.
    #[error("{0}: the first certificate is not valid X.509")]
    InvalidCertificate(PathBuf),
    /// The private key cannot be used or does not belong to the certificate, or a CA certificate is invalid.
    #[error("{0}: {1}")]
    Key(PathBuf, rustls::Error),
    /// No verifier of client certificates could be built from the CA file.
    #[error("{0}: {1}")]
    Verifier(PathBuf, rustls::server::VerifierBuilderError),
    /// The TLS library does not support the configured protocol versions.
    #[error(transparent)]
    Rustls(#[from] rustls::Error),
}

/// Selects the certificate by the server name (SNI) in the client hello.
#[derive(Debug)]
struct SniResolver(Vec<NamedKey>);

/// A certificate with its key, and the DNS names that it is valid for.
#[derive(Debug)]
struct NamedKey {
    names: Vec<String>,
    key: Arc<CertifiedKey>,
}

impl ResolvesServerCert for SniResolver {
    fn resolve(&self, hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let index = certificates::select_for_host(
            self.0.iter().map(|k| k.names.as_slice()),
            hello.server_name(),
        );
        self.0.get(index).map(|k| k.key.clone())
    }
}

/// Certificates and keys loaded together.
struct Loaded {
    config: Arc<ServerConfig>,
    /// Path and expiry time of each certificate, in milliseconds since the Unix epoch.
    expiries: Vec<(PathBuf, f64)>,
}

/// Modification time and length in bytes of each file, to detect changes; `None` for a file that
/// cannot be read.
type FileStamps = Vec<Option<(SystemTime, u64)>>;

/// The certificates and keys in use.
pub struct TlsKeys {
    source: RefCell<TlsSettings>,
    loaded: RefCell<Loaded>,
    stamps: RefCell<FileStamps>,
    warnings: RefCell<Vec<ExpiryWarning>>,
}

impl TlsKeys {
    /// Loads the files that `source` names.
    ///
    /// # Errors
    /// A file cannot be read or used, or the protocol versions are not supported.
    pub fn load(source: &TlsSettings) -> Result<Rc<Self>, TlsError> {
        let stamps = file_stamps(source);
        let loaded = load_all(source, wall_clock_millis())?;
        let warnings = RefCell::new(vec![ExpiryWarning::default(); loaded.expiries.len()]);
        let (loaded, stamps, source) = (
            RefCell::new(loaded),
            RefCell::new(stamps),
            RefCell::new(source.clone()),
        );
        Ok(Rc::new(TlsKeys {
            source,
            loaded,
            stamps,
            warnings,
        }))
    }

    /// Returns the configuration for the next handshake.
    pub fn server_config(&self) -> Arc<ServerConfig> {
        self.loaded.borrow().config.clone()
    }

    /// Returns whether clients without TLS are rejected.
    pub fn required(&self) -> bool {
        self.source.borrow().required
    }

    /// Loads other files, or reloads the same ones. Open sessions keep the keys of their handshake.
    ///
    /// # Errors
    /// As [`load`](Self::load); the previous certificates and keys stay in use.
    pub fn replace(&self, source: &TlsSettings) -> Result<(), TlsError> {
        let stamps = file_stamps(source);
        let loaded = load_all(source, wall_clock_millis())?;
        *self.warnings.borrow_mut() = vec![ExpiryWarning::default(); loaded.expiries.len()];
        *self.loaded.borrow_mut() = loaded;
        *self.stamps.borrow_mut() = stamps;
        *self.source.borrow_mut() = source.clone();
        Ok(())
    }

    /// Checks every 2 s whether the files have changed or a certificate is about to expire, until
    /// `keys` is dropped.
    pub async fn watch_files(keys: Weak<Self>) {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let Some(keys) = keys.upgrade() else { return };
            keys.check_files();
        }
    }

    /// Reloads the files if they have changed, and logs certificates that are about to expire or
    /// have expired.
    fn check_files(&self) {
        let source = self.source.borrow().clone();
        let current = file_stamps(&source);
        if current != *self.stamps.borrow() {
            // Each state of the files is loaded and logged once, whether or not it is valid.
            *self.stamps.borrow_mut() = current;
            match self.replace(&source) {
                Ok(()) => log_line!("tls: the keys have changed and are in force"),
                Err(e) => log_line!("tls: {e}; the previous keys stay in force"),
            }
        }
        let loaded = self.loaded.borrow();
        for ((file, not_after), warning) in loaded
            .expiries
            .iter()
            .zip(self.warnings.borrow_mut().iter_mut())
        {
            match warning.due(wall_clock_millis(), *not_after) {
                Some(left) if left < 0.0 => {
                    log_line!("tls: {}: the certificate has expired", file.display())
                }
                Some(left) => log_line!(
                    "tls: {}: the certificate expires in {left:.1} days",
                    file.display()
                ),
                None => {}
            }
        }
    }
}

/// Returns the current stamps of all files that `source` names.
fn file_stamps(source: &TlsSettings) -> FileStamps {
    let stamp = |path: &Path| {
        std::fs::metadata(path)
            .ok()
            .and_then(|m| Some((m.modified().ok()?, m.len())))
    };
    let keys = source
        .certificates
        .iter()
        .flat_map(|files| [&files.chain, &files.private_key]);
    keys.chain(&source.client_ca)
        .map(|path| stamp(path))
        .collect()
}

/// Reads a file of at most [`MAX_FILE_BYTES`].
fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    let failed = |e| TlsError::File(path.into(), e);
    if std::fs::metadata(path).map_err(failed)?.len() > MAX_FILE_BYTES {
        return Err(TlsError::TooLarge(path.into()));
    }
    std::fs::read(path).map_err(failed)
}

/// Reads the certificates of a PEM file that has at least one.
fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&read(path)?).collect();
    match all.map_err(|e| TlsError::Pem(path.into(), e))? {
        list if list.is_empty() => Err(TlsError::NoCertificate(path.into())),
        all => Ok(all),
    }
}

/// Returns the DNS names (subject alternative names) and the validity period of a DER certificate.
fn names_and_validity(der: &[u8]) -> Option<(Vec<String>, Validity)> {
    let (_, certificate) = X509Certificate::from_der(der).ok()?;
    let mut names: Vec<String> = vec![];
    if let Ok(Some(alternatives)) = certificate.subject_alternative_name() {
        names.extend(
            alternatives
                .value
                .general_names
                .iter()
                .filter_map(|n| match n {
                    GeneralName::DNSName(n) => Some((*n).to_string()),
                    _ => None,
                }),
        );
    }
    let millis = |seconds: i64| seconds as f64 * 1000.0;
    let validity = certificate.validity();
    Some((
        names,
        Validity {
            not_before: millis(validity.not_before.timestamp()),
            not_after: millis(validity.not_after.timestamp()),
        },
    ))
}

/// Returns the first common name of the subject of a DER certificate; `None` if there is none or
/// the certificate is invalid.
pub fn common_name(der: &[u8]) -> Option<String> {
    let (_, certificate) = X509Certificate::from_der(der).ok()?;
    let name = certificate
        .subject()
        .iter_common_name()
        .next()?
        .as_str()
        .ok()?
        .to_string();
    Some(name)
}

/// Loads all files of `source` and builds the configuration; `now` is in milliseconds since the Unix epoch.
fn load_all(source: &TlsSettings, now: f64) -> Result<Loaded, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let (mut keys, mut expiries) = (vec![], vec![]);
    for files in &source.certificates {
        let (named, not_after) = load_certificate(files, &provider, now)?;
        keys.push(named);
        expiries.push((files.chain.clone(), not_after));
    }
    let versions: &[&rustls::SupportedProtocolVersion] = if source.min_version == TlsVersion::Tls13
    {
        &[&version::TLS13]
    } else {
        &[&version::TLS13, &version::TLS12]
    };
    let builder =
        ServerConfig::builder_with_provider(provider.clone()).with_protocol_versions(versions)?;
    let builder = match &source.client_ca {
        Some(path) => builder.with_client_cert_verifier(client_verifier(path, provider)?),
        None => builder.with_no_client_auth(),
    };
    Ok(Loaded {
        config: Arc::new(builder.with_cert_resolver(Arc::new(SniResolver(keys)))),
        expiries,
    })
}

/// Loads a certificate chain with its private key. Also returns the expiry time in milliseconds
/// since the Unix epoch.
fn load_certificate(
    CertificateFiles { chain, private_key }: &CertificateFiles,
    provider: &CryptoProvider,
    now: f64,
) -> Result<(NamedKey, f64), TlsError> {
    let certificates = certificates(chain)?;
    let first = certificates
        .first()
        .ok_or_else(|| TlsError::NoCertificate(chain.clone()))?;
    let (names, validity) =
        names_and_validity(first).ok_or_else(|| TlsError::InvalidCertificate(chain.clone()))?;
    certificates::check_validity(now, validity)
        .map_err(|e| TlsError::Rejected(chain.clone(), e))?;
    let key = PrivateKeyDer::from_pem_slice(&read(private_key)?)
        .map_err(|e| TlsError::Pem(private_key.clone(), e))?;
    // Fails if the key does not belong to the certificate.
    let certified = CertifiedKey::from_der(certificates, key, provider)
        .map_err(|e| TlsError::Key(private_key.clone(), e))?;
    let key = Arc::new(certified);
    Ok((NamedKey { names, key }, validity.not_after))
}

/// Builds a verifier of client certificates from the CA certificates in a file. Clients without a
/// certificate are allowed.
fn client_verifier(
    path: &Path,
    provider: Arc<CryptoProvider>,
) -> Result<Arc<dyn ClientCertVerifier>, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        roots
            .add(certificate)
            .map_err(|e| TlsError::Key(path.into(), e))?;
    }
    WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider)
        .allow_unauthenticated()
        .build()
        .map_err(|e| TlsError::Verifier(path.into(), e))
}
